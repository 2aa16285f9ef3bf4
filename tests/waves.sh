#!/bin/sh
# One server under 150 balancers that restart in waves, with what load/waves.txt says: the rules hold, no op is left without
# an answer but those whose connection its balancer broke, and it leaves by itself. Usage: waves.sh LOAD PROGRAM SCRIPT
rm -rf waves.folder
"$1" --quiet --server "$2" --folder waves.folder --script "$3" --rate 180 --seconds 5 --callers 150 >waves.said 2>&1
echo "load: exit $?"
grep -o 'rules: .*' waves.said
grep -o 'server: exit [0-9]*' waves.said
grep -c 'reload: vm' waves.folder/server.log
grep -o 'announce: reported again' waves.folder/server.log | head -1
awk '/^(bay-check|booking) /{ asked += $2; intime += $3 } END { print (asked > 500 ? "asked enough" : "asked " asked), (intime > asked / 4 ? "over a quarter in time" : intime " of " asked " in time") }' waves.said
rm -rf waves.folder waves.said
