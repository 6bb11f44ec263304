#!/usr/bin/env bash
# Runs the case of this folder and writes record.txt there. TROUBLE=0 leaves out the disruption. KEEP_LOGS=1 keeps the nodes' logs.
# Exits with 0 if the rule held, 1 if it was broken, 2 if the case could not run.
case=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$case/../.." || exit 2
program=target/review/case-$(basename "$case")
[ -x "$program" ] || { echo "missing $program: run review/build.sh"; exit 2; }
[ "${TROUBLE:-1}" = 0 ] && trouble=0 || trouble=1
folder=$(mktemp -d) || exit 2
# The program ends the nodes that it has started, and the kernel ends them if the program is killed.
TROUBLE=$trouble timeout --kill-after=2 115 "$program" "$case/record.txt" "$folder"
status=$?
if [ -n "${KEEP_LOGS:-}" ]; then echo "logs: $folder"; else rm -rf "$folder"; fi
case $status in 0 | 1) exit $status ;; *) exit 2 ;; esac
