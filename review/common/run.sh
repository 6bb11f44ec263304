#!/usr/bin/env bash
# Runs the program of a case, which writes record.txt to its folder. @param $1 the folder of the case
case=$1
cd "$case/../.." || exit 2
program=target/review/case-$(basename "$case")
[ -x "$program" ] || { echo "missing $program: run review/build.sh"; exit 2; }
folder=$(mktemp -d) || exit 2
timeout --kill-after=2 115 "$program" "$case/record.txt" "$folder"
status=$?
[ -z "${KEEP_LOGS:-}" ] && rm -rf "$folder" || echo "logs: $folder"
case $status in 0 | 1) exit $status ;; *) exit 2 ;; esac
