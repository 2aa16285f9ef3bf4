#!/bin/sh
# Several servers as processes with faults between them: the hard cases of leases by plan, random faults by seed with load on
# the ops, and kills of the member that acts. Prints only what doesn't vary between runs: the counts of violations, and that
# enough acts took place for the check to mean something.
# Usage: fleet_rig.sh RIG SERVER CLOCK PLANS
rig=$1 server=$2 clock=$3 plans=$4
rm -rf fleet_rig.made
mkdir -p fleet_rig.made
play() { # NAME OPTIONS...
  name=$1
  shift
  "$rig" --server "$server" --clock "$clock" --folder "fleet_rig.made/$name" --quiet --svg "fleet_rig.made/$name.svg" "$@" \
    >"fleet_rig.made/$name.txt" 2>&1
  echo "exit $?" >>"fleet_rig.made/$name.txt"
}
play hard --term 0.5 --seconds 51 --plan "$plans/hard.txt" &
play random --term 0.5 --seconds 30 --seed 3 --faults 90 --rate 15 &
play kills --term 0.5 --seconds 30 --seed 1 --kills --members 7 --voters 5 &
wait
for name in hard random kills; do
  echo "# $name"
  sed -n 's/^.*: \([0-9]*\) faults.*/  faults: \1/p
    s/^acts .*; refused as stale \([0-9]*\); \(at once.*\)$/  \2/p
    s/^ops .*: \(rules broken .*\); answers.*/  \1/p
    s/^nothing wrong/  nothing wrong/p; s/^WRONG/  WRONG/p; s/^exit/  exit/p' "fleet_rig.made/$name.txt"
  acts=$(sed -n 's/^acts \([0-9]*\) by \([0-9]*\) holdings.*/\1 \2/p' "fleet_rig.made/$name.txt")
  set -- $acts
  [ "${1:-0}" -gt 150 ] && [ "${2:-0}" -gt 4 ] && echo "  acts by several holders" || echo "  too few acts"
done
stale=$(sed -n 's/^acts .*refused as stale \([0-9]*\);.*/\1/p' fleet_rig.made/hard.txt)
[ "${stale:-0}" -gt 0 ] && echo "acts under a stale token: tried, and refused" || echo "no act under a stale token was tried"
