#!/bin/bash
# Runs the case. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/apricotarch ] || [ ! -x target/review-2/case-10 ]; then
    echo "run the build of deploy/system.toml and review/build-2.sh first" >&2
    exit 2
fi
timeout --kill-after=5 110 target/review-2/case-10 review/10/record.txt
status=$?
tail -n 2 review/10/record.txt
[ "$status" -le 1 ] && exit "$status"
exit 2
