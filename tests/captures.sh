#!/bin/sh
# Replays each stored recording a hundred times with the normal build, once with a build without optimisation, and
# once with a build in which one decision is changed; that replay must differ. Finally compares the decisions of a
# build with a queue limit of one fifth under overload, and checks the rules for both sides.
# Usage: captures.sh PROGRAM PLAIN CHANGED SHORTER FOLDER
for file in "$5"/*.capture; do
  name=$(basename "$file" .capture)
  echo "$name: $("$1" replay --times 100 "$file" | tail -1)"
  echo "$name, plain: $("$2" "$file" | tail -1)"
  "$3" "$file" >changed.out 2>&1
  echo "$name, changed: exit $?, $(head -1 changed.out | cut -d: -f1)"
done
"$4" --compare "$5/overload.capture" >shorter.out
echo "overload, a shorter line: exit $?"
grep -E '^ +[0-9]+  |ops end as they did|^rules' shorter.out | sed 's/; first difference.*//'
grep -o 'runs that only it started.*' shorter.out
