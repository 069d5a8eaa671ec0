#!/usr/bin/env bash
# Machine vm-1 freezes for 1.9 s while servers break off streams that it hasn't
# read yet.  No client may get a piece twice.
record_name=record.txt # what was sent, answered and run
# shellcheck source=review/lib.sh
. "$(dirname "$0")/../lib.sh"
requests=12
list_all() {
    local i list=()
    for i in 0 1 2 3; do list+=("$(entry "llm-$i" llm "${server_port[i]}")"); done
    write_list "${list[@]}"
}
start_all 4
sleep 11 # a machine that has just started retries nothing
client_request "$dir/request" POST /stream/ask "{}" \
    "X-Bluebellmoor-Model: m0" "X-Bluebellmoor-Token-Count: 100,8" \
    "X-Bluebellmoor-Prefix-Hash: a@N@:60,b@N@:40" "X-Bluebellmoor-Deadline-Ms: 15000"
send 1 30 20 2400 "$dir/request" "$dir/before" >"$dir/before"
grep -q ' 200 complete' "$dir/before" || give_up "nothing is served"
sleep 1
: >"$dir/runs"
[ "$TROUBLE" = 0 ] || touch "$dir/hold"
send 1 $requests 0 2400 "$dir/request" "$dir/out" >"$dir/sent" &
sender=$!
pids+=("$sender")
if [ "$TROUBLE" != 0 ]; then
    sleep 0.1 # all requests are at their servers
    kill -STOP "${vm_pid[1]}"
    sleep 0.3
    touch "$dir/release"
    sleep 1.6
    kill -CONT "${vm_pid[1]}"
fi
wait "$sender"
[ "$(wc -l <"$dir/runs")" -ge $requests ] || give_up "not all requests ran"
note "runs: time, server, target, id, number, event, length of the prefix"
cat "$dir/runs" >>"$record"
note "answers: number, id, status, end, started, ended, pieces"
bad=0
while read -r number id status end started ended; do
    pieces=$(sed -n 's/^id: \([0-9][0-9]*\)$/\1/p' "$dir/out-$number.body" | tr '\n' ' ')
    note "$number $id $status $end $started $ended pieces: $pieces"
    twice=$(tr ' ' '\n' <<<"$pieces" | grep . | sort -n | uniq -d | wc -l)
    [ "$twice" -gt 0 ] && bad=$((bad + 1))
done < <(sort -n "$dir/sent")
conclude $bad "$bad of $requests clients got a piece twice"
