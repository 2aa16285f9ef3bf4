#!/usr/bin/env bash
# Ten recordings of different troubles, from real sockets, each replayed a hundred times and once by a build with one
# decision changed, which has to be found. Usage: load/recordings.sh FOLDER [TIMES [RATE [SECONDS]]]
# About two minutes. Exit 0: all the same, all changes found.
set -u
cd "$(dirname "$0")/.."
folder=${1:?a folder}
times=${2:-100}
rate=${3:-150}
seconds=${4:-5}
wrong=0
same=0
all=0
for scene in load/scenes/*.txt; do
  name=$(basename "$scene" .txt)
  rm -rf "${folder:?}/$name"
  build/cometshift_load --quiet --folder "$folder/$name" --record --script "$scene" --rate "$rate" \
    --seconds "$seconds" --seed 7 >"$folder-$name.txt" 2>&1
  rules=$?
  files=("$folder/$name"/recordings/*.capture)
  if build/cometshift replay --times "$times" "${files[@]}" >"$folder-$name.replay" 2>&1; then
    said=$(tail -1 "$folder-$name.replay")
    same=$((same + times))
  else
    said="DIFFERS"
    wrong=1
  fi
  all=$((all + times))
  found="not looked for"
  if [ -x build/cometshift_replay_changed ]; then
    build/cometshift_replay_changed "${files[@]}" >/dev/null 2>&1
    if [ $? = 1 ]; then found="found"; else found="NOT FOUND" wrong=1; fi
  fi
  [ "$rules" = 0 ] || wrong=1
  printf '%-14s load exit %d; %s; a changed decision: %s\n' "$name" "$rules" "$said" "$found"
  grep -h -E '^importance|^server|^rules' "$folder-$name.txt" | sed 's/^/    /'
  head -1 "$folder-$name.replay" | sed 's/^/    /'
done
echo "$same of $all replays identical"
exit $wrong
