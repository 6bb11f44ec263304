#!/usr/bin/env bash
# Removes one rule at a time from the code and asks that the history check finds it. Works on a copy of HEAD.
set -u
cd "$(dirname "$0")/.."
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
git archive HEAD | tar -x -C "$work"
cd "$work" || exit 1
cmake -S . -B build -G Ninja >/dev/null
cmake --build build --target apricotarch-tests >build.log 2>&1 || { tail -20 build.log; exit 1; }
failed=0

mutant() { # name, file, sed expression
    cp "$2" original
    sed -i "$3" "$2"
    if cmp -s "$2" original; then
        echo "FAIL  $1: the expression changes nothing; has the code moved?"
        failed=1
    elif ! cmake --build build --target apricotarch-tests >build.log 2>&1; then
        echo "FAIL  $1: does not compile"
        failed=1
    elif timeout 300 build/tests/apricotarch-tests --run_test=history --log_level=nothing >/dev/null 2>&1; then
        echo "FAIL  $1 survived"
        failed=1
    else
        echo "ok    $1 found"
    fi
    cp original "$2"
}

mutant "different order over a pending sender" src/coordination/order.cpp 's/const bool lateSenderPossible = .*/const bool lateSenderPossible = false;/'
mutant "same fencing token for every send" src/coordination/order.cpp 's/    row.fence = row.fence.next();/    ;/'
mutant "own order over an open one" src/coordination/order.cpp 's/return onItsWay ? OrderStep::Await : OrderStep::Adopt;/return onItsWay ? OrderStep::Await : OrderStep::Issue;/'
mutant "intent without the guard" src/coordination/order.cpp 's/write.guard = authority->lease;/;/'
mutant "taker does not wait" src/coordination/lease.cpp 's/return now - view.unchangedSince >= times.lease ? /return true ? /'
mutant "holder counts from after the write" src/coordination/lease.cpp 's/view.actingUntil = sentAt + times.lease - times.margin;/view.actingUntil = now + times.lease + times.margin;/'
exit $failed
