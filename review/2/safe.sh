#!/usr/bin/env bash
# Machine vm-1 freezes for 0.8 s while servers break off answers that it hasn't
# read yet.  Each client must get one server's whole answer or no complete one.
record_name=record-safe.txt
# shellcheck source=review/lib.sh
. "$(dirname "$0")/../lib.sh"
requests=12
list_all() {
    local i list=()
    for i in 0 1 2 3; do list+=("$(entry "api-$i" api "${server_port[i]}")"); done
    write_list "${list[@]}"
}
start_all 4
sleep 11 # a machine that has just started retries nothing
client_request "$dir/request" GET /safe/page "" "X-Bluebellmoor-Deadline-Ms: 2500"
send 1 30 20 2500 "$dir/request" "$dir/before" >"$dir/before"
grep -q ' 200 complete' "$dir/before" || give_up "nothing is served"
sleep 1
: >"$dir/runs"
[ "$TROUBLE" = 0 ] || touch "$dir/hold"
send 1 $requests 0 2500 "$dir/request" "$dir/out" >"$dir/sent" &
sender=$!
pids+=("$sender")
if [ "$TROUBLE" != 0 ]; then
    sleep 0.1 # all requests are at their servers
    kill -STOP "${vm_pid[1]}"
    sleep 0.2
    touch "$dir/release"
    sleep 0.6
    kill -CONT "${vm_pid[1]}"
fi
wait "$sender"
[ "$(wc -l <"$dir/runs")" -ge $requests ] || give_up "not all requests ran"
note "runs: time, server, target, id, number, event, length of the prefix"
cat "$dir/runs" >>"$record"
note "answers: number, id, status, end, started, ended, body"
mixed=0
while read -r number id status end started ended; do
    body=$(cat "$dir/out-$number.body")
    note "$number $id $status $end $started $ended $body"
    letters=$(grep -o . <<<"$body" | sort -u | wc -l)
    [ "$status" = 200 ] && [ "$end" = complete ] && [ "$letters" -ne 1 ] && mixed=$((mixed + 1))
done < <(sort -n "$dir/sent")
conclude $mixed "$mixed of $requests clients got a complete success that joins bytes of two servers"
