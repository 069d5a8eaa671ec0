# Functions that run a fleet on loopback, for the demo, the benches and the
# process tests; to be sourced.  `fleet_start DIR DAEMONS FOUNDERS` starts it,
# `fleet_publish FILE REVISION` publishes a configuration, `fleet_stop` stops
# it.  Daemon N uses the ports from FLEET_PORT + 10 * N.  Only processes that
# these functions started are stopped, by process id.

FLEET_PORT=${FLEET_PORT:-7400}
FLEET_BUILD=${FLEET_BUILD:-build}
fleet_pids=()
declare -A fleet_daemon_pid

fleet_run() { # LOG COMMAND...: starts a background process and records its id
    local log=$1
    shift
    "$@" >>"$log" 2>&1 &
    fleet_last_pid=$!
    fleet_pids+=("$fleet_last_pid")
}

fleet_peer_port() { echo $((FLEET_PORT + 10 * $1)); }
fleet_caller_port() { echo $((FLEET_PORT + 10 * $1 + 1)); }
fleet_admin_port() { echo $((FLEET_PORT + 10 * $1 + 2)); }

fleet_secret() { # DIR: creates the secret file and the operator key
    local dir=$1
    [ -f "$dir/secret" ] || head -c 48 /dev/urandom | base64 >"$dir/secret"
    [ -f "$dir/operator.key" ] \
        || head -c 24 /dev/urandom | base64 >"$dir/operator.key"
    "$FLEET_BUILD/bluebellmoor" digest "$dir/secret" \
        <"$dir/operator.key" >"$dir/operator.digest"
}

fleet_settings() { # DIR NUMBER DAEMONS FOUNDERS [JSON FIELDS]: writes the settings
    local dir=$1 i=$2 daemons=$3 founders=$4 more=${5:-} peers="" names="" j
    for ((j = 1; j <= daemons; j++)); do
        [ "$j" -eq "$i" ] && continue
        peers+="${peers:+, }{\"name\": \"vm-$j\", \"address\": "
        peers+="\"127.0.0.1:$(fleet_peer_port "$j")\"}"
    done
    for ((j = 1; j <= founders; j++)); do
        names+="${names:+, }\"vm-$j\""
    done
    local folder=""
    [ "$i" -le "$founders" ] && folder="$dir/vm-$i"
    [ -n "${FLEET_DISKS:-}" ] && [ "$i" -le "$FLEET_DISKS" ] \
        && folder="$dir/vm-$i"
    cat >"$dir/vm-$i.json" <<JSON
{"name": "vm-$i", "zone": "zone-$((1 + (i - 1) % 2))",
 "peer_address": "127.0.0.1:$(fleet_peer_port "$i")",
 "caller_address": "127.0.0.1:$(fleet_caller_port "$i")",
 "admin_address": "127.0.0.1:$(fleet_admin_port "$i")",
 "data_folder": "$folder", "secret_file": "$dir/secret",
 "founders": [$names], "peers": [$peers],
 "operators": [{"name": "demo", "digest": "$(cat "$dir/operator.digest")"}]
 ${more:+, $more}}
JSON
}

fleet_daemon() { # DIR NUMBER: starts a daemon, with FLEET_DESCRIPTORS descriptors if that is set
    local limited=()
    # shellcheck disable=SC2016 # expanded by that shell
    [ -n "${FLEET_DESCRIPTORS:-}" ] && limited=(bash -c 'ulimit -n "$0"; exec "$@"' "$FLEET_DESCRIPTORS")
    fleet_run "$1/vm-$2.log" "${limited[@]}" "$FLEET_BUILD/bluebellmoord" \
        --settings "$1/vm-$2.json"
    fleet_daemon_pid[$2]=$fleet_last_pid
}

fleet_start() { # DIR DAEMONS FOUNDERS [JSON FIELDS]: starts the fleet
    local dir=$1 daemons=$2 founders=$3 i
    fleet_secret "$dir"
    FLEET_ADMIN=""
    for ((i = 1; i <= daemons; i++)); do
        fleet_settings "$dir" "$i" "$daemons" "$founders" "${4:-}"
        fleet_daemon "$dir" "$i"
        FLEET_ADMIN+="${FLEET_ADMIN:+,}127.0.0.1:$(fleet_admin_port "$i")"
    done
    export BLUEBELLMOOR_ADMIN=$FLEET_ADMIN
    BLUEBELLMOOR_KEY=$(cat "$dir/operator.key")
    export BLUEBELLMOOR_KEY
}

fleet_operator() { "$FLEET_BUILD/bluebellmoor" "$@"; }

fleet_until() { # SECONDS COMMAND...: retries until it succeeds or time is up
    local end=$((SECONDS + $1))
    shift
    until "$@" >/dev/null 2>&1; do
        [ $SECONDS -lt $end ] || return 1
        sleep 0.1
    done
}

fleet_has_leader() { fleet_operator --json status | grep -q '"role": "leader"\|"leader": "vm-'; }

fleet_publish() { # FILE EXPECTED-REVISION: waits for a leader, then publishes
    fleet_until 20 fleet_has_leader || return 1
    fleet_operator publish "$1" "$2"
}

fleet_ready() { # NUMBER: whether that daemon is ready
    curl -sf "http://127.0.0.1:$(fleet_caller_port "$1")/readyz"
}

fleet_terminate() { # PID: sends SIGTERM to a process of fleet_run and waits for it
    kill -TERM "$1" 2>/dev/null || return 0
    wait "$1" 2>/dev/null
    return 0
}

fleet_stop() { # kills all processes of fleet_run
    local pid
    for pid in "${fleet_pids[@]}"; do
        kill -CONT "$pid" 2>/dev/null
        kill -KILL "$pid" 2>/dev/null
    done
    for pid in "${fleet_pids[@]}"; do
        wait "$pid" 2>/dev/null
    done
    fleet_pids=()
}
