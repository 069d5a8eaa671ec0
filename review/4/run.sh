#!/usr/bin/env bash
# A request whose prompt has many parts: its header is 12 KB long, within the
# config's max-header-bytes of 16 KB.  The server must get the client's header.
record_name=record.txt # what was sent, answered and run
# shellcheck source=review/lib.sh
. "$(dirname "$0")/../lib.sh"
parts=1000
[ "$TROUBLE" = 0 ] && parts=100
list_all() { write_list "$(entry llm-a llm "${server_port[0]}")" "$(entry llm-b llm "${server_port[1]}")"; }
start_all 2
sleep 2
prefix=$(for ((i = 1; i <= parts; i++)); do printf '%s%08x:10' "${sep:-}" $((i * 7919)); sep=,; done)
client_request "$dir/request" POST /stream/plan "{}" \
    "X-Bluebellmoor-Model: m0" "X-Bluebellmoor-Token-Count: $((parts * 10)),8" \
    "X-Bluebellmoor-Prefix-Hash: $prefix" "X-Bluebellmoor-Deadline-Ms: 15000"
note "the head of the request has $(wc -c <"$dir/request") bytes, the prefix ${#prefix}"
send 1 3 200 2400 "$dir/request" "$dir/out" >"$dir/sent"
[ -s "$dir/runs" ] || give_up "no request ran: $(cat "$dir/sent")"
note "runs: time, server, target, id, number, event, length of the prefix"
cat "$dir/runs" >>"$record"
note "answers: number, id, status, end, started, ended"
cat "$dir/sent" >>"$record"
changed=0
while read -r _ _ _ id _; do
    [ "$(cat "$dir/value-$id")" = "$prefix" ] || changed=$((changed + 1))
    note "$id ran with a prefix of $(wc -c <"$dir/value-$id") bytes that ends in $(tail -c 24 "$dir/value-$id")"
done <"$dir/runs"
conclude $changed "$changed requests ran with a prefix that isn't the client's, of ${#prefix} bytes"
