#!/usr/bin/env bash
# Removes one rule of the protocol at a time and checks that the history test then fails. Works on a copy of HEAD.
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
        echo "FAIL  $1: the sed expression matches nothing; update it to the present code"
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

mutant "different order despite a pending sender" src/coordination/order.cpp 's/const bool lateOrderPossible = .*/const bool lateOrderPossible = false;/'
mutant "same fencing token for every send" src/coordination/order.cpp 's/    row.fencingToken = row.fencingToken.next();/    ;/'
mutant "new order replaces an open one" src/coordination/order.cpp 's/return isInProgress ? OrderStep::Await : OrderStep::Adopt;/return isInProgress ? OrderStep::Await : OrderStep::Issue;/'
mutant "order row written without the lease guard" src/coordination/order.cpp 's/write.guard = authority->lease;/;/'
mutant "takeover does not wait for the lease to expire" src/coordination/lease.cpp 's/return now - view.unchangedSince >= times.duration ? /return true ? /'
mutant "holder measures the lease from after the write" src/coordination/lease.cpp 's/view.authorityExpiresAt = sentAt + times.duration - times.safetyMargin;/view.authorityExpiresAt = now + times.duration + times.safetyMargin;/'
exit $failed
