#!/usr/bin/env bash
# Verifies the models and their mutants by exhaustive search. A mutant is a model without one of its rules; the search must find an error
# in it.
set -u
cd "$(dirname "$0")/.."
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
passed=0
failed=0

# Verifies one model. @return 0 if there are no errors, 1 if an assertion is violated, 2 if the search failed or was incomplete
verify() { # model, defines...
    local model=$PWD/models/$1 directory
    shift
    directory=$(mktemp -d -p "$work")
    (cd "$directory" && spin -a "$@" "$model" >spin.log 2>&1 &&
        gcc -O2 -DSAFETY -DCOLLAPSE -DMEMLIM=4096 -o pan pan.c >gcc.log 2>&1) || {
        cat "$directory/spin.log" "$directory/gcc.log" 2>/dev/null
        return 2
    }
    (cd "$directory" && timeout 120 ./pan -E -m200000 >pan.log 2>&1)
    grep -q "errors: 0" "$directory/pan.log" || { grep -q "assertion violated" "$directory/pan.log" && return 1; cat "$directory/pan.log"; return 2; }
    grep -qE 'max search depth too small|out of memory|Search not completed' "$directory/pan.log" && return 2
    states=$(grep -oE '[0-9.e+]+ states, stored' "$directory/pan.log")
    return 0
}

expect() { # holds|broken, model, defines...
    local expected=$1 result
    shift
    verify "$@"
    result=$?
    if { [ "$expected" = holds ] && [ $result = 0 ]; } || { [ "$expected" = broken ] && [ $result = 1 ]; }; then
        echo "ok    $expected: $*${states:+ ($states)}"
        passed=$((passed + 1))
    else
        echo "FAIL  expected $expected, search gave $result: $*"
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
for table in 1 2; do
    expect holds restored_tables.pml "-DTABLE=$table"
done
for rule in COMPARE_BY_NUMBER ADOPT_OLDER; do
    expect broken restored_tables.pml -DTABLE=1 "-D$rule"
done
for rule in RESTORED_ENTRY_WINS REVIVE_REMOVED MISSING_IS_REMOVED; do
    expect broken restored_tables.pml -DTABLE=2 "-D$rule"
done
expect holds restored_lease.pml
for rule in TAKE_FREE_AT_ONCE TRUST_OWN_ROW TOKEN_BY_ROW; do
    expect broken restored_lease.pml "-D$rule"
done
echo "models: $passed passed, $failed failed"
[ $failed = 0 ]
