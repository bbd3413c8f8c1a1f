#!/usr/bin/env bash
# Case 2 with the real programs as separate processes: see claim.txt. TROUBLE=0 runs the
# same without the disruptions. Exits with 1 if STALE was broken, 0 if it held, 2 if the case
# could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/anviltack ] && [ -x target/review-standin ] || exit 2
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
timeout -k 5 100 target/review-standin -scenario survivor -rule STALE -time 18s -clients 30 \
	-trouble=$trouble -record review/2/record.txt
code=$?
[ $code = 0 ] || [ $code = 1 ] || exit 2
exit $code
