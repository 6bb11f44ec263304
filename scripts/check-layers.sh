#!/usr/bin/env bash
# Checks that each layer depends only on the layers after it:
# app -> transport -> protocol -> duties -> scheduling -> coordination -> state -> customers -> base.
cd "$(dirname "$0")/.."
layers=(base customers state coordination scheduling duties protocol transport app)
failed=0
for index in "${!layers[@]}"; do
    layer=${layers[$index]}
    for above in "${layers[@]:$((index + 1))}"; do
        found=$(grep -rn "#include \"apricotarch/$above/" "include/apricotarch/$layer" "src/$layer")
        if [ -n "$found" ]; then
            echo "$found"
            echo "check-layers: $layer must not depend on $above"
            failed=1
        fi
    done
done
# Names of the platform are confined to its adapter. Only src/app/front.cpp, which connects the components, may include it.
found=$(grep -rnE '#include "(platform/)' include src | grep -v '^src/app/front.cpp:')
if [ -n "$found" ]; then
    echo "$found"
    echo "check-layers: only src/app/front.cpp may include the platform's adapter"
    failed=1
fi
exit $failed
