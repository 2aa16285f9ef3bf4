#!/bin/sh
# Each fault of a folder is put into a source, alone, and the test that judges it has to find it: what it says first is printed.
# Usage: mutants.sh FOLDER SOURCE 'JUDGE.o OTHERS...' 'SEEDS WORDS...' JOBS COMPILER-WITH-OPTIONS...
export faults=$1 source=$2 judge=$3 seeds=$4 jobs=$5
shift 5
export compile="$*"
into=mutants.made/$(basename "$faults")
[ "${MUTANT:-}" ] || rm -rf "$into"
mkdir -p "$into"
one() {
  name=$(basename "$1" .txt)
  made=$into/$name
  cmake -DFROM="$source" -DFAULT="$1" -DTO="$made.cpp" -P "$(dirname "$faults")/../mutate.cmake" >"$made.log" 2>&1 || echo "$name: not made"
  if $compile -w "$made.cpp" $judge -o "$made" >>"$made.log" 2>&1; then
    "$made" $seeds stop >"$made.said" 2>&1
    case $? in
    0) echo "$name: NOT FOUND" ;;
    1) echo "$name: $(sed -n 's/^  first: //p' "$made.said")" ;;
    *) echo "$name: the judge itself failed" ;;
    esac
  else
    echo "$name: does not compile"
  fi
}
if [ "${MUTANT:-}" ]; then
  one "$MUTANT"
  exit
fi
ls "$faults"/*.txt | xargs -P "$jobs" -I{} env MUTANT={} sh "$0" "$faults" "$source" "$judge" "$seeds" "$jobs" "$compile" | sort
