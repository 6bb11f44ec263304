#!/usr/bin/env bash
# Runs a benchmark with real processes on loopback: SCENARIO=steady|overload|node-kill|store-outage|booking-storm|slopes, SEED=n.
# Prints one key=value pair per line. The load generator verifies the answers.
set -u
cd "$(dirname "$0")/.."
source scripts/common.sh
scenario=${SCENARIO:-steady}
seed=${SEED:-1}
trap 'stop_all; rm -rf "$work"' EXIT

# Injects faults into the platform's stand-in.
control() { curl -s -d "$1" http://127.0.0.1:19000/control >/dev/null; }

write_settings() { # index, nodes
    echo "node: node-$1"
    echo "zone: zone-$(($1 % 3))"
    echo "cell: all"
    echo "caller_address: 127.0.0.1:$((19100 + $1))"
    echo "peer_address: 127.0.0.1:$((19300 + $1))"
    echo "platform_address: 127.0.0.1:19000"
    echo "peer_key: bench-peer-key-of-the-desk"
    echo "operator_token: bench-operator-token"
    echo "threads: ${THREADS:-1}"
    echo "shutdown_bound_s: 3"
    [ "$2" -gt 1 ] && echo "peers:"
    for other in $(seq 1 "$2"); do
        [ "$other" != "$1" ] && printf '  - node: node-%s\n    address: 127.0.0.1:%s\n' "$other" $((19300 + other))
    done
}

write_questionnaire() { # engines
    cat <<QUESTIONNAIRE
questionnaire: 1
desk: bench
trade: measurement
value: {prefer: goodput, goodput_floor_percent: 50}
language_services:
  - id: advice
    answer_within_ms: 10000
    first_words_within_ms: 2000
    longest_prompt_tokens: 16000
    longest_answer_tokens: 4000
    model: plan
    version: "1"
    replicas:
QUESTIONNAIRE
    for index in $(seq 1 "$1"); do
        echo "      - {id: engine-$index, address: '127.0.0.1:$((19500 + index))', zone: zone-$((index % 3)), checks_fencing: true}"
    done
    cat <<QUESTIONNAIRE
application_services:
  - id: visits
    answer_within_ms: 5000
    operations:
      - {name: book, method: POST, path: /visits, may_be_repeated: false, look_up_path: /visits/by-key}
    replicas:
      - {id: visits-1, address: '127.0.0.1:19401', zone: zone-1}
      - {id: visits-2, address: '127.0.0.1:19402', zone: zone-2}
callers:
  - {id: caller, key_sha256: $("$build/apricotarch" callers hash bench-key), services: [advice, visits]}
QUESTIONNAIRE
}

start_system() { # nodes, engines, engine options...
    local nodes=$1 engines=$2
    shift 2
    start platform "$build/standins/standin-platform" --listen 127.0.0.1:19000
    start booking "$build/standins/standin-booking" --listen 127.0.0.1:19401 --listen 127.0.0.1:19402
    for index in $(seq 1 "$engines"); do
        start "engine-$index" "$build/standins/standin-engine" --listen "127.0.0.1:$((19500 + index))" --model plan --model-version 1 "$@"
    done
    for index in $(seq 1 "$nodes"); do
        write_settings "$index" "$nodes" >"$work/node-$index.yaml"
        start "node-$index" "$build/apricotarch" serve --settings "$work/node-$index.yaml"
    done
    sleep 2
    write_questionnaire "$engines" >"$work/questionnaire.yaml"
    "$build/apricotarch" questionnaire submit "$work/questionnaire.yaml" --base 0 --node 127.0.0.1:19101 --token bench-operator-token >"$work/submit" || cat "$work/submit"
    sleep 3
}

node_options() { for index in $(seq 1 "$1"); do printf -- '--node 127.0.0.1:%s ' $((19100 + index)); done; }
load() { # nodes, options...
    local nodes=$1
    shift
    # shellcheck disable=SC2046
    "$build/bench/apricotarch-load" $(node_options "$nodes") --key bench-key --language-service advice --booking-service visits \
        --booking-runs 127.0.0.1:19401 --seed "$seed" "$@" 2>>"$work/load.log"
}

cpu_ticks() { awk '{print $14 + $15}' "/proc/$1/stat"; }
resident_kb() { awk '/VmRSS/ {print $2}' "/proc/$1/status"; }
heartbeat_bytes() { curl -s http://127.0.0.1:19101/metrics | sed -n 's/.*event="beat_bytes_sent"} //p'; }

# Prints CPU usage, memory and heartbeat bytes of node 1, measured under the current load. @param $1 prefix of the keys @param $2 duration
# in seconds
measure() {
    local t0 t1 b0 b1
    t0=$(cpu_ticks "${pids[node-1]}") b0=$(heartbeat_bytes)
    sleep "$2"
    t1=$(cpu_ticks "${pids[node-1]}") b1=$(heartbeat_bytes)
    awk -v l="$1" -v t=$((t1 - t0)) -v b=$((b1 - b0)) -v s="$2" -v m="$(resident_kb "${pids[node-1]}")" -v hz="$(getconf CLK_TCK)" 'BEGIN {
        printf "%s_core_percent=%.2f\n%s_beat_bytes_per_s=%.0f\n%s_resident_mb=%.1f\n", l, 100 * t / hz / s, l, b / s, l, m / 1024 }'
}

case $scenario in
steady)
    start_system 3 6
    load 3 --rate 60 --bookings 20 --seconds 15
    ;;
overload)
    for factor in 1 2 4; do
        start_system 3 3 --decode-rate 100 --slots 8
        load 3 --rate $((40 * factor)) --output 50 --seconds 15 --deadline-ms 2000 | sed "s/^goodput_per_s=/goodput_${factor}x=/; /^goodput_${factor}x/!s/^/x${factor}_/"
        stop_all
    done
    ;;
node-kill)
    start_system 3 6 --decode-rate 100
    (sleep 5 && kill -9 "${pids[node-1]}") &
    load 3 --rate 30 --output 100 --bookings 20 --seconds 12
    ;;
store-outage)
    start_system 3 6
    (sleep 3 && control '{"outage":true}' && sleep 60 && control '{}') &
    load 3 --rate 30 --bookings 10 --seconds 70
    ;;
booking-storm)
    start_system 3 3
    (for _ in $(seq 1 20); do control '{"lose_answers":3}'; sleep 0.5; done; control '{}') &
    load 3 --rate 5 --bookings 60 --seconds 12
    ;;
slopes)
    for nodes in 3 9 27; do
        start_system "$nodes" 3
        measure "idle_${nodes}_nodes_3_replicas" 10
        stop_all
    done
    for engines in 12 24; do
        start_system 3 "$engines"
        measure "idle_3_nodes_${engines}_replicas" 10
        stop_all
    done
    start_system 1 6 --decode-rate 400 --slots 64
    for rate in 50 100; do
        load 1 --rate $rate --output 20 --seconds 12 >"$work/out" &
        sleep 1
        measure "requests_${rate}_per_s_20_tokens" 8
        wait $!
        grep -E '^goodput=|violations' "$work/out" | sed "s/^/requests_${rate}_20_/"
        load 1 --rate $rate --output 200 --seconds 12 >"$work/out" &
        sleep 1
        measure "requests_${rate}_per_s_200_tokens" 8
        wait $!
        grep -E '^goodput=|violations' "$work/out" | sed "s/^/requests_${rate}_200_/"
    done
    ;;
*)
    echo "bench: unknown SCENARIO '$scenario'; must be one of steady, overload, node-kill, store-outage, booking-storm or slopes" >&2
    exit 2
    ;;
esac
