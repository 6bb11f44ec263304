#!/usr/bin/env bash
# Rejects two constructs that g++ 12 miscompiles: an aggregate created inside a co_await expression, and a co_await inside a conditional
# expression. In both cases, the temporary is copied bitwise and destroyed twice. Name the temporary, or use an if statement.
cd "$(dirname "$0")/.."
conditionals=$(grep -rnE '(if|while) \(.*!co_await|[?:&|] co_await' src platform standins include tests --include=*.cpp --include=*.h)
found=$conditionals$(grep -rnE 'co_await[^"]*[(, ]([A-Za-z]+)?\{' src platform standins include tests --include=*.cpp --include=*.h | grep -vE '\) \{$')
if [ -n "$found" ]; then
    echo "$found"
    echo "check-coroutines: g++ 12 miscompiles these expressions; assign the temporary to a variable before the co_await"
    exit 1
fi
