#!/usr/bin/env bash
# g++ 12 copies an aggregate that is made inside a co_await expression bit by bit and destroys it twice, and so the result of
# a co_await inside a conditional expression. This check refuses both; give the temporary a name, or use an if.
cd "$(dirname "$0")/.."
conditions=$(grep -rnE '(if|while) \(.*!co_await|[?:&|] co_await' src platform standins include tests --include=*.cpp --include=*.h)
found=$conditions$(grep -rnE 'co_await[^"]*[(, ]([A-Za-z]+)?\{' src platform standins include tests --include=*.cpp --include=*.h | grep -vE '\) \{$')
if [ -n "$found" ]; then
    echo "$found"
    echo "check-coroutines: name these temporaries before the co_await"
    exit 1
fi
