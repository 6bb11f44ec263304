# Functions that start and stop programs in the background. Sourced by demo.sh and bench.sh in the project's root directory.
build=${BUILD_DIR:-build}
work=$(mktemp -d)
declare -A pids

# Starts a command in the background, with its output in $work/NAME.log.
start() { # name, command...
    local name=$1
    shift
    "$@" >"$work/$name.log" 2>&1 &
    pids[$name]=$!
    disown
}

# Stops all started programs and waits until they have exited.
stop_all() {
    for name in "${!pids[@]}"; do
        kill "${pids[$name]}" 2>/dev/null
    done
    for name in "${!pids[@]}"; do
        while kill -0 "${pids[$name]}" 2>/dev/null; do sleep 0.05; done
    done
    pids=()
}
