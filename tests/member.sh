#!/bin/sh
# One server as the only member and voter of a fleet, with the target of its task down: SIGUSR1 logs the status, SIGHUP applies a new
# list of voters but no other fleet setting, a second process at the same fleet address can't start, and a drain gives up held leases.
# Usage: member.sh PROGRAM CONFIG
host=127.88.$(($$ % 250)).$(($$ / 250 % 250 + 1))
sed "s/127\.0\.0\.1/$host/g" "$2" >member.json
fleet() { # EPOCH MORE
  printf 'fleet {\n  name "rig"\n  self 1\n  listen "%s:6001"\n  member 1 "%s:6001"\n  member 2 "%s:6002"\n  voters 1\n  epoch %s\n  term "200ms"\n  beat "50ms"\n  silent "200ms"\n%s\n  task "sweep" {\n    every "100ms"\n    limit "50ms"\n    call "%s:8000"\n    fences #true\n  }\n}\n' \
    "$host" "$host" "$host" "$1" "$2" "$host" >member.kdl
}
until_said() { # TIMES WORDS
  n=0
  while [ "$(grep -c "$2" member.log)" -lt "$1" ] && [ $n -lt 100 ]; do sleep 0.05; n=$((n + 1)); done
}
fleet 1
: >member.log # exists before until_said reads it; the background shell may not have made it yet
"$1" serve --config member.json --operator member.kdl 2>member.log &
pid=$!
until_said 1 'fails here'
kill -USR1 $pid
until_said 1 'status of tasks'
echo "# a second process with the fleet address and name of the first"
sed "s/5050/5051/" member.json >other.json
"$1" serve --config other.json --operator member.kdl 2>&1
echo "exit $?"
fleet 3 '  previous-voters 1'
kill -HUP $pid
until_said 1 'not applied yet'
fleet 2 '  previous-voters 1'
kill -HUP $pid
until_said 1 'is settled'
fleet 2 '  previous-voters 1
  most-terms 3'
kill -HUP $pid
until_said 1 'next start'
kill -TERM $pid
wait $pid
echo "exit $?"
echo "# its log"
sed 's/^[0-9.]* //; s/incarnation [0-9a-f]*/incarnation I/; s/token [0-9a-f]*/token T/; s/-*[0-9]* ms/N ms/g; s/[0-9]* rounds/N rounds/; s/here [0-9]* begun, 0 done, [0-9]* failed/here N begun, 0 done, N failed/; s/[0-9]* messages queued, [0-9]* sent, [0-9]* dials/N messages queued/; s/ (\([0-9]*\) more left out)//' member.log |
  grep -E '^(fleet|lease|voters|status|reload: fleet settings|task: sweep: fails)' | grep -v '^status of leases' | sed 's/running/idle/' | awk '!seen[$0]++'
rm -f member.json other.json member.kdl member.log
