#!/usr/bin/env bash
# g++ 12 copies an aggregate that is made inside a co_await expression bit by bit and destroys it twice. This check refuses
# braced temporaries there; give them a name first.
cd "$(dirname "$0")/.."
conditions=$(grep -rnE '(if|while) \(.*!co_await' src standins include tests --include=*.cpp --include=*.h)
found=$conditions$(grep -rnE 'co_await[^"]*[(, ]([A-Za-z]+)?\{' src standins include tests --include=*.cpp --include=*.h | grep -vE '\) \{$')
if [ -n "$found" ]; then
    echo "$found"
    echo "check-coroutines: name these temporaries before the co_await"
    exit 1
fi
