# Functions for starting daemons and stand-ins on loopback; sourced by scripts/demo and the
# measuring scripts. Everything started is stopped by stopAll, by its own process id.
run_dir=$(mktemp -d)
pids=()

stopAll() {
    local it
    for it in "${pids[@]:-}"; do
        [ -n "$it" ] && kill "$it" 2>/dev/null || true
    done
    for it in "${pids[@]:-}"; do
        [ -n "$it" ] && wait "$it" 2>/dev/null || true
    done
    pids=()
    rm -rf "$run_dir"
}

# waitFor SECONDS COMMAND...: until the command succeeds.
waitFor() {
    local limit=$(( SECONDS + $1 ))
    shift
    until "$@" >/dev/null 2>&1; do
        if [ "$SECONDS" -ge "$limit" ]; then
            echo "timed out waiting for: $*" >&2
            return 1
        fi
        sleep 0.05
    done
}

# startStandin NAME ROLE [OPTIONS...]: sets PORT.
startStandin() {
    local name=$1
    shift
    "$bin/tests/coursehead-standin" "$@" >"$run_dir/$name.out" 2>"$run_dir/$name.err" &
    pids+=( $! )
    waitFor 10 grep -q '^port=' "$run_dir/$name.out"
    PORT=$(sed -n 's/^port=//p' "$run_dir/$name.out")
}

# portOf NAME EVENT: the port in a daemon's log.
portOf() {
    waitFor 10 grep -q "event=$2 " "$run_dir/$1.err"
    sed -n "s/.*event=$2 port=//p" "$run_dir/$1.err" | head -1
}

# listVm NAME ROLE PORT HALL: puts a VM on the platform's list.
listVm() {
    curl -sf -X POST "http://127.0.0.1:$store_port/apis/coursehead/v1/vms" -d "{\"metadata\":{\"name\":\"$1\"},
        \"spec\":{\"ip\":\"127.0.0.1\",\"port\":$3,\"hall\":\"$4\",\"region\":\"r1\",\"role\":\"$2\",\"state\":\"live\"}}" >/dev/null
}

# startAgent NAME HALL KIND URL [OPTIONS...]
startAgent() {
    local name=$1 hall=$2 kind=$3 url=$4
    shift 4
    "$bin/coursehead" agent --vm "$name" --hall "$hall" --region r1 --store "http://127.0.0.1:$store_port" \
        --peer-token "$token" --listen 127.0.0.1:0 --http-listen 127.0.0.1:0 --upstream "$kind" \
        --upstream-kind "$kind" --upstream-url "$url" "$@" >"$run_dir/$name.out" 2>"$run_dir/$name.err" &
    pids+=( $! )
    listVm "$name" "$kind" "$(portOf "$name" peer_listening)" "$hall"
}

# startEntry NAME HALL [OPTIONS...]: sets PORT.
startEntry() {
    local name=$1 hall=$2
    shift 2
    "$bin/coursehead" entry --vm "$name" --hall "$hall" --region r1 --store "http://127.0.0.1:$store_port" \
        --peer-token "$token" --listen 127.0.0.1:0 "$@" >"$run_dir/$name.out" 2>"$run_dir/$name.err" &
    pids+=( $! )
    PORT=$(portOf "$name" http_listening)
    listVm "$name" entry "$PORT" "$hall"
}
