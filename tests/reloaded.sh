#!/bin/sh
# Starts, ends and restarts a recording by reloads under load: no rule may be violated, and both recordings must
# replay. Usage: reloaded.sh LOAD PROGRAM SCRIPT
rm -rf reloaded.folder
"$1" --quiet --server "$2" --folder reloaded.folder --script "$3" --rate 60 --seconds 2.5 --tries 0 >reloaded.said 2>&1
echo "load: exit $?"
grep -o 'rules: .*' reloaded.said
ls reloaded.folder/recordings | wc -l
for file in reloaded.folder/recordings/*.capture; do
  "$2" replay "$file" | tail -1 | cut -d, -f1
done
grep -c 'recording: begun' reloaded.folder/server.log
rm -rf reloaded.folder reloaded.said
