#!/usr/bin/env bash
# Checks that dependencies between the layers go one way: app -> transport -> protocol -> coordination -> state -> base.
cd "$(dirname "$0")/.."
layers=(base state coordination protocol transport app)
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
exit $failed
