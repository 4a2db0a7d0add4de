#!/bin/sh
# See claim.txt; what was sent, answered and run is written to record.txt. Exit: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")" || exit 2
[ -d ../../target/review-2 ] || { echo "run review/build-2.sh first" >&2; exit 2; }
exec java -Xmx256m -cp ../../target/review-2 Case8 record.txt
