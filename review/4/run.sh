#!/usr/bin/env bash
# Runs the case of this folder. Exits with 0 if the rule held, 1 if it was broken, 2 if the case could not run.
exec "$(dirname "$0")/../common/run.sh" "$(cd "$(dirname "$0")" && pwd)"
