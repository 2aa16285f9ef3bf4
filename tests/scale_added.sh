#!/bin/sh
# Time that a server adds to an op, counts only: with each thing under way, all ops are answered and acked, none is late by
# its time limit, the echo ran, and the server ends well; without a server that comes up there is no figure. Usage:
# scale_added.sh SCALE PROGRAM
rm -rf scale_added.made
"$1" added --check --server "$2" --folder scale_added.made --case plain reload recording link burst --seconds 1.5
echo "exit $?"
"$1" added --check --server "$2" --folder scale_added.made --tenants 1000 --rate 470 --seconds 1
echo "exit $?"
"$1" added --check --server /bin/false --folder scale_added.made 2>&1
echo "exit $?"
rm -rf scale_added.made
