# Runs a case; to be sourced by its run.sh, which sets `number`, `daemons` and
# `memory_mb`, and `program_of` if the program is another case's.  Starts the daemons with the
# command of the deploy file, again if one ends, and settings as deploy/node.tmpl makes them.
# Exits with the status of the case.
set -u
here=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
cd "$here/.." || exit 2
daemon=target/bluebellmoord
program=target/review-3/case-${program_of:-$number}
[ -x $daemon ] && [ -x "$program" ] || { echo "not built"; exit 2; }
dir=$(mktemp -d) || exit 2
pids=()
stop_all() {
    exec 2>/dev/null
    local pid
    touch "$dir/stop"
    for pid in "${pids[@]}" $(cat "$dir"/vm-*.pid 2>/dev/null); do
        kill -KILL "$pid" 2>/dev/null
    done
    wait 2>/dev/null
    rm -rf "$dir"
}
trap stop_all EXIT
trap 'exit 2' INT TERM

in_use() { # PORT: whether a process listens there, on any address
    grep -qi ":$(printf %04x "$1") [0-9A-F]*:0000 0A" /proc/net/tcp
}
free_ports() { # COUNT: the first of so many free ports below the local range
    local first i
    while :; do
        first=$((12000 + RANDOM % 18000))
        for ((i = 0; i < $1; i++)); do in_use $((first + i)) && break; done
        [ $i -eq "$1" ] && break
    done
    echo "$first"
}
port=$(free_ports 24)
front=$port ready=$((port + 1)) control=$((port + 2)) directory=$((port + 3))
peer=$((port + 4)) admin=$((port + 5)) list=$((port + 6)) servers=$((port + 8))
key=wu3fexd9dnn2ctnfzs98

addresses=() seeds=""
for ((i = 0; i < daemons; i++)); do
    addresses+=("127.0.0.$((i + 2))")
    [ $i -lt 3 ] && seeds+="${seeds:+, }\"${addresses[$i]}:$control\""
done
for ((i = 0; i < daemons; i++)); do
    ip=${addresses[$i]}
    folder=""
    [ $i -lt 3 ] && folder="\"data_folder\": \"$dir/data-$i\","
    cat >"$dir/vm-$i.json" <<JSON
{
  "name": "edge-$i", "zone": "zona-a",
  "peer_address": "$ip:$peer",
  "caller_address": "$ip:$front",
  "admin_address": "$ip:$admin",
  "ready_address": "$ip:$ready",
  "control_address": "$ip:$control",
  "directory_address": "$ip:$directory",
  "list_address": "127.0.0.1:$list",
  $folder
  "private_network": true,
  "seeds": [$seeds],
  "first_start": true,
  "self_repair": true,
  "grace_s": 8,
  "retry_share": 0.2, "retry_slack": 58,
  "rate_slack": 110000, "rate_overrun": 0.1, "rate_window_s": 8,
  "old_weights_most_ms": 8000,
  "election_ms": 450, "gossip_ms": 300, "list_ms": 900,
  "fresh_bound_ms": 600000, "cut_bound_ms": 600000, "serve_stale_keys": true,
  "memory_mb": $memory_mb,
  "zone_relay": true, "texts_kept": 2, "caller_threads": 1,
  "log_level": "info"
}
JSON
done
cat >"$dir/config.json" <<JSON
{"version": 1,
 "routes": [
  {"name": "r-ask", "host": "a.example", "path-prefix": "/llm/",
   "type": "stream", "timeout-ms": 15000, "target-latency-ms": 400,
   "priority": 0, "service": "llm", "max-attempts": 2, "public": false,
   "sticky": true, "resumable": true, "target-gap-ms": 300},
  {"name": "r-order", "host": "a.example", "path-prefix": "/order/",
   "type": "unsafe", "timeout-ms": 2500, "target-latency-ms": 150,
   "priority": 1, "service": "api", "max-attempts": 2, "public": false,
   "sticky": false, "resumable": false, "target-gap-ms": 300},
  {"name": "r-read", "host": "a.example", "path-prefix": "/read/",
   "type": "safe", "timeout-ms": 2500, "target-latency-ms": 150,
   "priority": 1, "service": "api", "max-attempts": 2, "public": false,
   "sticky": false, "resumable": false, "target-gap-ms": 300}],
 "services": [
  {"name": "llm", "health-path": "/healthz", "max-connections": 370,
   "protocol": "h1", "tls": false,
   "engine": {"slots": 64, "kv-capacity": 113846, "kv-token-bytes": 163840,
    "link-mbps": 550000.0, "migrations": true, "backups": true, "stride": 4,
    "max-concurrency": 12, "pin-ms": 4000.0, "hold-ms": 2000.0,
    "handle_s": 5.0, "models": [{"name": "m1"}]}},
  {"name": "api", "health-path": "/healthz", "max-connections": 110,
   "protocol": "h1", "tls": false}],
 "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304,
  "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
 "tenants": [{"name": "t1", "api-keys": ["$key"], "priority": 1,
  "unit": "tokens", "uncached-tokens": 200, "isolated": false,
  "rate-per-s": 0, "burst": 0}]}
JSON
# A further route, where @ stands for its own text.
cat >"$dir/route.json" <<JSON
  {"name": "r-@", "host": "a.example", "path-prefix": "/@/",
   "type": "safe", "timeout-ms": 2500, "target-latency-ms": 150,
   "priority": 1, "service": "api", "max-attempts": 2, "public": false,
   "sticky": false, "resumable": false, "target-gap-ms": 300},
JSON

MEMORY_MB=$memory_mb "$program" review/wire-3.txt "review/$number/record.txt" "$dir/config.json" \
    "$list" "$servers" "$front" "$control" "$ready" "$directory" "$key" \
    "${addresses[@]}" >"$dir/out" 2>&1 &
case_pid=$!
pids+=("$case_pid")
for ((i = 0; i < 50; i++)); do
    grep -qs listening "$dir/out" && break
    sleep 0.1
done
supervise() { # NUMBER: as the platform does, with the descriptors of a machine
    # and a short delay
    local settings=$dir/vm-$1.json
    until [ -e "$dir/stop" ]; do
        (ulimit -n 4100 && exec $daemon --settings "$settings") \
            >>"$dir/vm-$1.log" 2>&1 &
        echo $! >"$dir/vm-$1.tmp"
        mv "$dir/vm-$1.tmp" "$dir/vm-$1.pid"
        wait $! 2>/dev/null
        sed -i '/first_start/d' "$settings"
        sleep 0.5
    done
}
for ((i = 0; i < daemons; i++)); do
    supervise $i 2>/dev/null &
    pids+=($!)
done
wait "$case_pid"
status=$?
tail -n 1 "$dir/out"
[ $status -le 1 ] || status=2
exit $status
