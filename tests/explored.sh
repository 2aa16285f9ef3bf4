#!/bin/sh
# All orders of a few events in small state spaces of leases: no violation, and the number of states; then, with each of the faults put
# into the module, the shortest schedule that shows it. Usage: explored.sh EXPLORER FAULTS SOURCE 'OBJECTS...' JOBS COMPILER...
export explorer=$1 faults=$2 source=$3 objects=$4 jobs=$5
shift 5
export compile="$*"
worlds() {
  echo "0 2 0 0 0 2"
  echo "1 2 0 0 0 1"
  echo "1 2 1 0 0 0"
  echo "1 2 0 1 0 0"
  echo "1 2 0 0 1 0"
}
in_world() { # PROGRAM ROUNDS SECOND LOST DOUBLED LATE CRASHES
  "$1" --held --horizon 2.1 --threads 2 --rounds "$2" --second "$3" --lost "$4" --doubled "$5" --late "$6" --crashes "$7"
}
one() {
  name=$(basename "$1" .txt)
  made=explored.made/$name
  cmake -DFROM="$source" -DFAULT="$1" -DTO="$made.cpp" -P "$(dirname "$faults")/../mutate.cmake" >"$made.log" 2>&1 || echo "$name: not made"
  $compile -w "$made.cpp" $objects -o "$made" >>"$made.log" 2>&1 || { echo "$name: does not compile"; return; }
  worlds | while read -r world; do
    in_world "$made" $world >"$made.said" 2>&1
    if [ $? = 1 ]; then
      echo "$name:"
      sed -n '2,$p' "$made.said"
      exit 1
    fi
  done && echo "$name: NOT SEEN"
}
if [ "${MUTANT:-}" ]; then
  one "$MUTANT" >"explored.made/$(basename "$MUTANT").shown"
  exit
fi
rm -rf explored.made
mkdir -p explored.made
worlds | while read -r world; do in_world "$explorer" $world; done
for name in $FAULTS; do ls "$faults/$name"-*.txt; done | xargs -P "$jobs" -I{} env MUTANT={} sh "$0" "$explorer" "$faults" "$source" "$objects" "$jobs" "$compile"
cat explored.made/*.shown
