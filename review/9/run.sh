#!/bin/sh
# Case 9. Exit: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
exec review/kit-2/start.sh 9
