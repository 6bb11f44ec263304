#!/usr/bin/env bash
# Checks the models exhaustively, and each mutant of them: a mutant is the model without one rule, and must be found broken.
set -u
cd "$(dirname "$0")/.."
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
passed=0
failed=0

# Verifies one model. @return 0 without errors, 1 with an error found, 2 where the search was not complete
verify() { # model, defines...
    local model=$PWD/models/$1 place
    shift
    place=$(mktemp -d -p "$work")
    (cd "$place" && spin -a "$@" "$model" >spin.log 2>&1 &&
        gcc -O2 -DSAFETY -DCOLLAPSE -DMEMLIM=4096 -o pan pan.c >gcc.log 2>&1) || {
        cat "$place/spin.log" "$place/gcc.log" 2>/dev/null
        return 2
    }
    (cd "$place" && timeout 120 ./pan -E -m200000 >pan.log 2>&1)
    grep -q "errors: 0" "$place/pan.log" || { grep -q "assertion violated" "$place/pan.log" && return 1; cat "$place/pan.log"; return 2; }
    grep -qE 'max search depth too small|out of memory|Search not completed' "$place/pan.log" && return 2
    states=$(grep -oE '[0-9.e+]+ states, stored' "$place/pan.log")
    return 0
}

expect() { # holds|broken, model, defines...
    local wanted=$1 result
    shift
    verify "$@"
    result=$?
    if { [ "$wanted" = holds ] && [ $result = 0 ]; } || { [ "$wanted" = broken ] && [ $result = 1 ]; }; then
        echo "ok    $wanted: $*${states:+ ($states)}"
        passed=$((passed + 1))
    else
        echo "FAIL  expected $wanted, search gave $result: $*"
        failed=$((failed + 1))
    fi
    states=
}

states=
for checks in 1 0; do
    expect holds lease_orders.pml "-DCHECKS=$checks"
done
for rule in NO_LAPSE_BEFORE_TAKE NO_FENCE NO_GUARD; do
    expect broken lease_orders.pml -DCHECKS=1 "-D$rule"
done
for rule in NO_ADOPT NO_PENDING RECONNECT NO_CLOSE_CHECK; do
    expect broken lease_orders.pml -DCHECKS=0 "-D$rule"
done
expect holds configuration.pml
for rule in NO_MAJORITY_TO_ACCEPT NO_MAJORITY_TO_ADMIT IGNORE_OFFER RESTART_KEEPS_VOTE NOT_MONOTONIC; do
    expect broken configuration.pml "-D$rule"
done
echo "models: $passed passed, $failed failed"
[ $failed = 0 ]
