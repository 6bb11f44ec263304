# Sourced by demo.sh and bench.sh, from the project's root: starting programs in the background, with their logs.
build=${BUILD_DIR:-build}
work=$(mktemp -d)
declare -A pids

start() { # name, command...
    local name=$1
    shift
    "$@" >"$work/$name.log" 2>&1 &
    pids[$name]=$!
    disown
}

# Ends what was started, and waits until it has ended.
stop_all() {
    for name in "${!pids[@]}"; do
        kill "${pids[$name]}" 2>/dev/null
    done
    for name in "${!pids[@]}"; do
        while kill -0 "${pids[$name]}" 2>/dev/null; do sleep 0.05; done
    done
    pids=()
}
