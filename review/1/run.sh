#!/usr/bin/env bash
# A server of streams sends a body without end to one request.  Meanwhile other
# clients of that machine send orders to sound servers on kept connections.
# The platform kills a process that uses more than memory-mb.
record_name=record.txt # what was sent, answered and run
# shellcheck source=review/lib.sh
. "$(dirname "$0")/../lib.sh"
memory_mb=110
orders=150
list_all() {
    local i list=("$(entry llm-a llm "${server_port[0]}")")
    for i in 1 2 3 4; do list+=("$(entry "api-$i" api "${server_port[i]}")"); done
    write_list "${list[@]}"
}
rss_kb() { sed -n 's/^VmRSS:[[:space:]]*\([0-9]*\) kB/\1/p' "/proc/${vm_pid[1]}/status" 2>/dev/null; }
platform() { # kills the process of vm-1 once it uses too much
    local kb highest=0
    while kb=$(rss_kb) && [ -n "$kb" ]; do
        [ "$kb" -gt "$highest" ] && highest=$kb && echo "$highest" >"$dir/highest"
        if [ "$kb" -gt $((memory_mb * 1024)) ]; then
            kill -KILL "${vm_pid[1]}"
            echo "$(date +%s%3N) the platform ends vm-1, which uses $kb kB" >"$dir/killed"
            return
        fi
        sleep 0.03
    done
}
start_all 5
sleep 2
client_request "$dir/request" POST /once/order "{}" "X-Bluebellmoor-Deadline-Ms: 2500"
client_request "$dir/stream" POST /stream/ask "{}" \
    "X-Bluebellmoor-Model: m0" "X-Bluebellmoor-Token-Count: 100,8" \
    "X-Bluebellmoor-Prefix-Hash: a1:60,b1:40" "X-Bluebellmoor-Deadline-Ms: 15000"
[ "$TROUBLE" = 0 ] || echo 40000000 >"$dir/endless"
echo 400 >"$dir/work-ms"
platform &
watcher=$!
pids+=("$watcher")
send 1 $orders 40 2500 "$dir/request" "$dir/out" 6500 >"$dir/sent" &
sender=$!
pids+=("$sender")
sleep 7
send 1 1 0 9000 "$dir/stream" "$dir/stream-out" >"$dir/stream-sent" &
pids+=("$!")
wait "$sender"
note "the platform allows $memory_mb MB; vm-1 used $(cat "$dir/highest") kB at most"
[ -f "$dir/killed" ] && note "$(cat "$dir/killed")"
note "runs: time, server, target, id, number, event, length of the prefix"
cat "$dir/runs" >>"$record"
note "orders on kept connections: number, id, status, end, started, ended"
sort -n "$dir/sent" >>"$record"
lost=0
while read -r _ id status end _; do
    [ "$end" = complete ] && continue
    grep -q " $id " "$dir/runs" && lost=$((lost + 1)) && note "$id ran, and its connection was closed without an answer ($status, $end)"
done <"$dir/sent"
conclude $((lost > 3 ? lost : 0)) "$lost orders on kept connections reached sound servers, and their connections were closed without an answer; 3 are allowed"
