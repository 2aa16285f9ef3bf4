#!/usr/bin/env bash
# What a recording costs a server: CPU for each try, memory, the answers' 99.9th percentile; without one, with one, with
# a disk that takes three seconds for a write now and then, and with a full one. In turns, on one machine.
# Usage: load/recording-cost.sh FOLDER [ROUNDS [RATE [SECONDS]]]
set -eu
cd "$(dirname "$0")/.."
folder=${1:?a folder}
rounds=${2:-3}
rate=${3:-190}
seconds=${4:-10}
for round in $(seq "$rounds"); do
  for how in without with slow full; do
    rm -rf "${folder:?}/$how"
    more=(--record)
    unset SLOW_DISK_MS SLOW_DISK_EVERY SLOW_DISK_FULL_AFTER LD_PRELOAD
    case $how in
    without) more=() ;;
    slow) export SLOW_DISK_MS=3000 SLOW_DISK_EVERY=10 LD_PRELOAD="$PWD/build/libslow_disk.so" ;;
    full) export SLOW_DISK_FULL_AFTER=100000 LD_PRELOAD="$PWD/build/libslow_disk.so" ;;
    esac
    build/cometshift_load --quiet --folder "$folder/$how" "${more[@]}" --rate "$rate" --cores 7 --seconds "$seconds" \
      --seed 5 >"$folder-$how.txt"
    unset LD_PRELOAD
    echo "$how: $(grep -h -o -E 'CPU.*peak memory [0-9]+ KB' "$folder-$how.txt"); $(grep -h -o "answers' p99.9 [0-9.]* ms" "$folder-$how.txt"); $(grep -h -c 'lost 0, late 0' "$folder-$how.txt") of 1 with the rules kept"
    [ "$how" = without ] || grep -h 'recording: ended' "$folder/$how/server.log" | sed 's/.*ended: /    /'
    [ "$how" = without ] || build/cometshift replay "$folder/$how"/recordings/*.capture 2>&1 | tail -1 | sed 's/^/    /'
  done
done
