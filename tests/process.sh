#!/usr/bin/env bash
# Tests with real processes on loopback: tests/process.sh [NAME...].
# Each scenario starts its own fleet and ends it.
set -u
cd "$(dirname "$0")/.." || exit 1
# shellcheck source=scripts/fleet.sh
. scripts/fleet.sh
FLEET_PORT=${FLEET_PORT:-7600}
passed=0
failed=0
dir=""

begin() {
    dir=$(mktemp -d)
    name=$1
    wrong=0
}
check() { # TEXT COMMAND...
    local text=$1
    shift
    if "$@" >/dev/null 2>&1; then return 0; fi
    echo "  $name: not so: $text"
    wrong=1
}
finish() {
    if [ $wrong -eq 0 ]; then
        passed=$((passed + 1))
        echo "ok   $name"
    else
        failed=$((failed + 1))
        echo "FAIL $name"
        tail -n 3 "$dir"/vm-*.log
    fi
    fleet_stop
    rm -rf "$dir"
}
trap 'fleet_stop; [ -n "$dir" ] && rm -rf "$dir"' EXIT

runners() { # COUNT [OPTIONS...]
    local i count=$1
    shift
    for ((i = 1; i <= count; i++)); do
        fleet_run "$dir/runner-$i.log" "$FLEET_BUILD/stand_runner" \
            --port $((FLEET_PORT + 500 + i)) "$@"
    done
}
booking() { fleet_run "$dir/booking.log" "$FLEET_BUILD/stand_booking" $((FLEET_PORT + 510)); }
config() { # the demo's document on this test's ports
    sed "s/127.0.0.1:75/127.0.0.1:$(((FLEET_PORT + 500) / 100))/; s/20000, \"burst\": 200000/100000000, \"burst\": 1000000000/" \
        examples/demo.json >"$dir/config.json"
}
up() { # DAEMONS FOUNDERS [MORE JSON FIELDS]
    config
    fleet_start "$dir" "$1" "$2" "${3:-}"
    check "the first publish is accepted" fleet_publish "$dir/config.json" 0
    key=$(fleet_operator keys add grower jardin)
    local i
    for ((i = 1; i <= $1; i++)); do
        check "vm-$i becomes ready" fleet_until 15 fleet_ready "$i"
    done
}
url() { echo "http://127.0.0.1:$(fleet_caller_port "$1")$2"; }
ask() { # VM: status code of a completion
    curl -s -o "$dir/answer" -w '%{http_code}' -m 10 "$(url "$1" /v1/completions)" \
        -H "Authorization: Bearer $key" -d '{"model":"garden","prompt":"hello","max_tokens":3}'
}
asks_fine() { [ "$(ask "$1")" = 200 ]; }
asks_not() { [ "$(ask "$1")" != 200 ]; }
book() { # VM NAME [BODY]: status code of a booking
    curl -s -o "$dir/answer" -w '%{http_code}' -m 20 "$(url "$1" /bookings)" \
        -H "Authorization: Bearer $key" -H "Idempotency-Key: $2" \
        -d "${3:-{\"booking\":\"$2\"\}}"
}
runs_of() { curl -s "http://127.0.0.1:$((FLEET_PORT + 510))/runs" | grep -o "\"$1\":[0-9]*" | cut -d: -f2; }
leader() { fleet_operator --json status | sed -n 's/.*"leader": "vm-\([0-9]*\)".*/\1/p'; }
revision_at() { curl -s "$(url "$1" /metrics)" | sed -n 's/^bluebellmoor_revision //p'; }
has_revision() { [ "$(revision_at "$1")" -ge "$2" ]; }
publish_next() { # publish on top of what is in force at any daemon
    local now
    now=$(fleet_operator --json status | sed -n 's/.*"revision": \([0-9]*\).*/\1/p')
    fleet_operator publish "$dir/config.json" "$now"
}

t_streams() { # 1,000 streams of 200 events arrive whole and in order
    begin streams
    runners 4 --token-ms 2 --slots 400
    up 1 1 '"requests_most": 3000'
    sed -i 's/"prefill_tokens_per_s"/"slots": 400, "prefill_tokens_per_s"/; s/"start_ms": 5000/"start_ms": 60000/' "$dir/config.json"
    check "publish with more slots" fleet_operator publish "$dir/config.json" 1
    check "1,000 streams are whole" timeout 120 "$FLEET_BUILD/stand_load" \
        --url "$(url 1 /v1/completions)" --key "$key" --streams 1000 --events 200
    finish
}

t_leader_killed() { # kill -9 of the leader while publishing
    begin leader_killed
    runners 2
    up 3 3
    local old before
    old=$(leader)
    (for i in 1 2 3 4 5 6 7 8; do publish_next; done >"$dir/published" 2>&1) &
    local publisher=$!
    sleep 0.15
    kill -KILL "${fleet_daemon_pid[$old]}"
    wait $publisher
    before=$(grep -c 'is in force' "$dir/published")
    check "a new leader takes publishes" fleet_until 10 publish_next
    local i
    for i in 1 2 3; do
        [ "$i" = "$old" ] && continue
        check "vm-$i holds the $before accepted ones and the last" \
            fleet_until 5 has_revision "$i" $((before + 2))
        check "vm-$i serves" fleet_until 5 asks_fine "$i"
    done
    fleet_daemon "$dir" "$old"
    check "the old leader catches up" fleet_until 10 has_revision "$old" $((before + 2))
    finish
}

t_bookings_once() { # repeats through any VM, also after a lost answer
    begin bookings_once
    booking
    runners 1
    up 3 3
    check "a booking runs" test "$(book 1 one)" = 200
    cp "$dir/answer" "$dir/first"
    check "its repeat elsewhere is answered" test "$(book 2 one)" = 200
    check "with the same answer" cmp "$dir/first" "$dir/answer"
    check "another body is refused" test "$(book 3 one '{"booking":"two"}')" = 422
    curl -s "http://127.0.0.1:$((FLEET_PORT + 510))/fault" -d '{"drop_after":1}' >/dev/null
    check "a lost answer is an error" test "$(book 1 lost)" = 502
    check "which says that the outcome is unknown" grep -q '"ran":"unknown"' "$dir/answer"
    check "a repeat doesn't run it again" test "$(book 2 lost)" = 409
    curl -s "http://127.0.0.1:$((FLEET_PORT + 510))/fault" -d '{"delay_ms":3000}' >/dev/null
    book 1 slow >/dev/null &
    local first=$!
    sleep 0.5
    check "a repeat meanwhile is told that it runs" test "$(book 2 slow)" = 409
    check "by its number" grep -q BBM_ERR_IDEM_RUNNING "$dir/answer"
    kill -KILL "${fleet_daemon_pid[1]}"
    wait $first
    closed() { book 2 slow >/dev/null; grep -q BBM_ERR_IDEM_UNKNOWN "$dir/answer"; }
    check "after its VM is lost the outcome is unknown" fleet_until 20 closed
    curl -s "http://127.0.0.1:$((FLEET_PORT + 510))/fault" -d '{}' >/dev/null
    check "one ran once" test "$(runs_of one)" = 1
    check "lost ran once" test "$(runs_of lost)" = 1
    check "slow ran once" test "$(runs_of slow)" = 1
    finish
}

t_key_withdrawn() { # a connected stream ends with an error, and on every VM
    begin key_withdrawn
    runners 1 --token-ms 50
    up 3 3
    curl -sN -m 30 -o "$dir/stream" "$(url 2 /v1/completions)" \
        -H "Authorization: Bearer $key" \
        -d '{"model":"garden","prompt":"x","stream":true,"max_tokens":400}' &
    local stream=$!
    sleep 0.7
    check "withdraw" fleet_operator keys withdraw grower
    wait $stream
    check "the stream did not end cleanly" test $? -ne 0
    check "its last event is the numbered error" grep -q -e '-113' "$dir/stream"
    local i
    for i in 1 2 3; do
        check "vm-$i refuses the key" test "$(ask $i)" = 401
    done
    check "it can't be given again" bash -c "! '$FLEET_BUILD/bluebellmoor' keys add grower jardin"
    finish
}

t_isolated() { # a VM that is cut off stops keyed routes, and heals
    begin isolated
    runners 1
    touch "$dir/cut-1" "$dir/cut-2" "$dir/cut-3"
    config
    fleet_secret "$dir"
    local i
    FLEET_ADMIN=""
    for i in 1 2 3; do
        fleet_settings "$dir" $i 3 3 "\"testing\": true, \"test_cut_file\": \"$dir/cut-$i\""
        fleet_daemon "$dir" $i
        FLEET_ADMIN+="${FLEET_ADMIN:+,}127.0.0.1:$(fleet_admin_port $i)"
    done
    export BLUEBELLMOOR_ADMIN=$FLEET_ADMIN
    BLUEBELLMOOR_KEY=$(cat "$dir/operator.key")
    export BLUEBELLMOOR_KEY
    check "publish" fleet_publish "$dir/config.json" 0
    key=$(fleet_operator keys add grower jardin)
    check "vm-1 serves" fleet_until 10 asks_fine 1
    local cut other
    cut=$(leader)
    other=$((cut % 3 + 1))
    for i in 1 2 3; do echo "vm-$i"; done | grep -v "vm-$cut" >"$dir/cut-$cut.new"
    mv "$dir/cut-$cut.new" "$dir/cut-$cut"
    local began=$SECONDS
    stale() { ask "$cut"; grep -q BBM_ERR_KEYS_STALE "$dir/answer"; }
    check "the isolated leader stops keyed routes" fleet_until 9 stale
    check "within the bound and a little" test $((SECONDS - began)) -le 8
    check "the others serve on" fleet_until 10 asks_fine "$other"
    export BLUEBELLMOOR_ADMIN=127.0.0.1:$(fleet_admin_port "$other")
    check "and take a publish" fleet_until 10 fleet_operator publish "$dir/config.json" 1
    : >"$dir/cut-$cut"
    check "healed, it catches up" fleet_until 10 has_revision "$cut" 2
    check "and serves" fleet_until 10 asks_fine "$cut"
    finish
}

t_frozen() { # SIGSTOP past the lease: no act on an expired lease, no flapping
    begin frozen
    runners 1
    booking
    up 3 3
    local old
    old=$(leader)
    kill -STOP "${fleet_daemon_pid[$old]}"
    sleep 4
    export BLUEBELLMOOR_ADMIN=127.0.0.1:$(fleet_admin_port $((old % 3 + 1)))
    check "another leads" fleet_until 10 publish_next
    kill -CONT "${fleet_daemon_pid[$old]}"
    check "the frozen one follows" fleet_until 10 has_revision "$old" 2
    check "it serves" fleet_until 10 asks_fine "$old"
    check "nobody was thought dead" bash -c "! grep -q '\"detail\":\"dead\"' '$dir'/vm-*.log"
    finish
}

t_disk_lost() { # an empty disk returns; then a second VM is lost after repair
    begin disk_lost
    runners 1
    FLEET_DISKS=4 up 4 3
    publish_next >/dev/null
    local lost=2 i
    [ "$(leader)" = 2 ] && lost=3
    kill -KILL "${fleet_daemon_pid[$lost]}"
    rm -rf "$dir/vm-$lost"
    fleet_daemon "$dir" $lost
    sleep 2
    check "a VM that answers is not replaced" bash -c "! '$FLEET_BUILD/bluebellmoor' replace vm-$(leader) vm-4"
    check "the empty disk's VM is not lost as a daemon" fleet_until 10 asks_fine $lost
    check "it is replaced by vm-4" fleet_until 20 fleet_operator replace vm-$lost vm-4
    check "vm-4 votes" bash -c "'$FLEET_BUILD/bluebellmoor' --json status | grep -q vm-4"
    for i in 1 2 3; do [ "$i" != "$lost" ] && [ "$i" != "$(leader)" ] && break; done
    kill -KILL "${fleet_daemon_pid[$i]}"
    check "with a second VM lost right after, publishes go on" fleet_until 10 publish_next
    check "none was lost" fleet_until 5 has_revision 4 3
    finish
}

t_restart_500() { # restart of all after 500 changes
    begin restart_500
    runners 1
    up 3 3
    local i
    for ((i = 0; i < 500; i++)); do
        fleet_operator drain "vm-9$((i % 10))" $([ $((i % 2)) = 0 ] && echo on || echo off) >/dev/null || break
    done
    check "500 changes were accepted" test $i -eq 500
    for i in 1 2 3; do kill -KILL "${fleet_daemon_pid[$i]}"; done
    for i in 1 2 3; do fleet_daemon "$dir" $i; done
    for i in 1 2 3; do
        check "vm-$i has the configuration" fleet_until 15 has_revision $i 1
        check "vm-$i serves the old key" fleet_until 15 asks_fine $i
    done
    finish
}

t_operators_race() { # equal numbers: one wins; a resend gets its first answer
    begin operators_race
    runners 1
    up 3 3
    local i won=0 pids=()
    for i in 1 2 3 4 5; do
        fleet_operator publish "$dir/config.json" 1 "race-$i" >"$dir/race-$i" 2>&1 &
        pids+=($!)
    done
    for i in "${pids[@]}"; do wait "$i" && won=$((won + 1)); done
    check "one of five wins" test $won -eq 1
    local winner
    winner=$(grep -l 'revision 2' "$dir"/race-* | sed 's/.*race-//')
    check "its resend gets the first answer" bash -c \
        "'$FLEET_BUILD/bluebellmoor' publish '$dir/config.json' 1 race-$winner | grep -q 'revision 2'"
    check "a loser's resend is still a conflict" bash -c \
        "'$FLEET_BUILD/bluebellmoor' publish '$dir/config.json' 1 race-$((winner % 5 + 1)); test \$? -eq 5"
    finish
}

t_drain() { # SIGTERM: no stream is cut, exit status 0
    begin drain
    runners 2 --token-ms 20
    up 2 1 '"entry_ms": 1500'
    curl -sN -m 30 -o "$dir/stream" "$(url 2 /v1/completions)" \
        -H "Authorization: Bearer $key" \
        -d '{"model":"garden","prompt":"x","stream":true,"max_tokens":200}' &
    local stream=$!
    sleep 0.5
    kill -TERM "${fleet_daemon_pid[2]}"
    sleep 0.3
    check "it still serves who kept its address" asks_fine 2
    check "it is not ready" bash -c "! curl -sf $(url 2 /readyz)"
    not_named() { ! curl -s "$(url 1 /v1/entries)" | grep -q vm-2; }
    check "its address is not handed out" fleet_until 5 not_named
    wait $stream
    check "the stream ended cleanly" test $? -eq 0
    check "and whole" grep -q 'DONE' "$dir/stream"
    wait "${fleet_daemon_pid[2]}"
    check "exit status 0" test $? -eq 0
    finish
}

t_upstream_cut() { # an upstream that ends early is an error at the caller
    begin upstream_cut
    runners 1
    up 1 1
    curl -s "http://127.0.0.1:$((FLEET_PORT + 501))/fault" -d '{"cut_after":3}' >/dev/null
    curl -sN -m 10 -o "$dir/stream" "$(url 1 /v1/completions)" \
        -H "Authorization: Bearer $key" \
        -d '{"model":"garden","prompt":"x","stream":true,"max_tokens":20}'
    check "the connection was broken off" test $? -ne 0
    check "with the numbered error" grep -q -e '-131' "$dir/stream"
    finish
}

t_kv_import() { # what a leaving runner computed is imported, not computed again
    begin kv_import
    fleet_run "$dir/kv.log" "$FLEET_BUILD/stand_kv" $((FLEET_PORT + 530))
    runners 2 --prefill 10000 --kv-store "http://127.0.0.1:$((FLEET_PORT + 530))" --import 200000
    up 1 1
    sed -i 's/"prefill_tokens_per_s": 50000/"prefill_tokens_per_s": 10000, "import_tokens_per_s": 200000/' "$dir/config.json"
    check "publish with import" fleet_operator publish "$dir/config.json" 1
    figure() { curl -s "http://127.0.0.1:$((FLEET_PORT + 500 + $1))/figures" | grep -o "\"$2\":[0-9]*" | cut -d: -f2; }
    printf '{"model":"garden","prompt":"%s","max_tokens":2}' "$(head -c 90000 /dev/zero | tr '\0' g)" >"$dir/long"
    long() { curl -sf -m 20 -o /dev/null "$(url 1 /v1/completions)" -H "Authorization: Bearer $key" -d "@$dir/long"; }
    check "the prompt is served" long
    local first=1
    [ "$(figure 2 served)" -gt 0 ] && first=2
    sleep 1
    curl -s "http://127.0.0.1:$((FLEET_PORT + 500 + first))/fault" -d '{"leaving":true}' >/dev/null
    sleep 1
    check "it is served again" long
    check "by the other runner, which imported its blocks" \
        test "$(figure $((3 - first)) imported_tokens)" -ge 20000
    finish
}

t_crossed_answer() { # an answer to another request never reaches the caller
    begin crossed_answer
    runners 2
    up 1 1
    local i
    for i in 1 2; do
        curl -s "http://127.0.0.1:$((FLEET_PORT + 500 + i))/fault" -d '{"cross":1}' >/dev/null
    done
    check "both runners' crossed answers are an error" test "$(ask 1)" = 502
    check "the next one is served" asks_fine 1
    finish
}

t_leaving_upstream() { # a leaving runner gets no new work within seconds
    begin leaving_upstream
    runners 2
    up 1 1
    curl -s "http://127.0.0.1:$((FLEET_PORT + 501))/fault" -d '{"leaving":true}' >/dev/null
    sleep 2
    served() { curl -s "http://127.0.0.1:$((FLEET_PORT + $1))/figures" | grep -o '"served":[0-9]*' | cut -d: -f2; }
    local before i
    before=$(served 501)
    for i in 1 2 3 4 5 6; do check "still served" asks_fine 1; done
    check "the leaving one got nothing" test "$(served 501)" = "$before"
    check "the other one did" test "$(served 502)" -ge 6
    finish
}

t_bad_input() { # each is a numbered error, and the daemon goes on
    begin bad_input
    runners 1
    up 1 1 '"body_most": 100000, "idle_s": 3'
    local at
    at=$(url 1 /v1/completions)
    code() { curl -s -o "$dir/answer" -w '%{http_code}' -m 10 "$@"; }
    auth=(-H "Authorization: Bearer $key")
    check "not JSON" test "$(code "$at" "${auth[@]}" -d '{')" = 400
    check "not UTF-8" test "$(code "$at" "${auth[@]}" -d $'{"model":"garden","prompt":"\xff"}')" = 400
    check "too deep" test "$(code "$at" "${auth[@]}" -d "$(printf '[%.0s' $(seq 3000))")" = 400
    check "too large" test "$(head -c 200000 /dev/zero | tr '\0' a | code "$at" "${auth[@]}" --data-binary @-)" = 413
    check "no key" test "$(code "$at" -d '{"model":"garden","prompt":"x"}')" = 401
    check "a wrong key" test "$(code "$at" -H 'Authorization: Bearer no' -d '{"model":"garden","prompt":"x"}')" = 401
    check "no such model" test "$(code "$at" "${auth[@]}" -d '{"model":"x","prompt":"x"}')" = 404
    check "no such path" test "$(code "$(url 1 /nothing)" "${auth[@]}")" = 404
    check "wrong method" test "$(code "$at" "${auth[@]}")" = 405
    check "a booking without Idempotency-Key" test "$(code "$(url 1 /bookings)" "${auth[@]}" -d '{}')" = 400
    check "an operator's call with a caller's key" test \
        "$(code "http://127.0.0.1:$(fleet_admin_port 1)/admin/v1/status" "${auth[@]}")" = 401
    exec 9<>"/dev/tcp/127.0.0.1/$(fleet_caller_port 1)"
    printf 'POST /v1/completions HTTP/1.1\r\nHost: x\r\nConte' >&9
    check "slow headers end the connection" timeout 8 cat <&9
    exec 9>&-
    check "it serves on" asks_fine 1
    check "no key was logged" bash -c "! grep -q '${key#bbm-}' '$dir'/vm-*.log"
    finish
}

t_rollout() { # new weights: paced, capacity kept, never a wrong version
    begin rollout
    fleet_run "$dir/store.log" "$FLEET_BUILD/stand_weights" $((FLEET_PORT + 520))
    runners 4 --fencing
    up 1 1
    sed "s/\"weights\": \"v1\"/\"weights\": \"v2\"/; s|{\"name\": \"v1\", \"source\": \"store/garden-v1\"}|{\"name\": \"v1\"}, {\"name\": \"v2\", \"source\": \"http://127.0.0.1:$((FLEET_PORT + 520))/v2\"}|" \
        "$dir/config.json" >"$dir/next.json"
    check "publish" fleet_operator publish "$dir/next.json" 1
    all_new() { [ "$(fleet_operator runners | grep -c ' v2 ')" = 4 ]; }
    served=0
    for i in $(seq 1 60); do
        asks_fine 1 || served=1
        all_new && break
    done
    check "all four have v2" fleet_until 20 all_new
    check "every request meanwhile was served" test $served -eq 0
    check "at most three loaded at once" bash -c \
        "curl -s http://127.0.0.1:$((FLEET_PORT + 520))/most | grep -q '\"most\":[123],'"
    # The leader sees the new weights before their end is agreed.
    orders_done() { [ "$(fleet_operator orders list | grep -c ' done ')" = 4 ]; }
    check "orders are done" fleet_until 5 orders_done
    finish
}

t_no_key_upstream() { # no header, query or address that an upstream sees has it
    begin no_key_upstream
    booking
    runners 1
    up 1 1
    curl -s -o "$dir/answer" "$(url 1 /bookings)?api_key=$key&x=1" \
        -H "Authorization: Bearer $key" -H "X-Api-Key: $key" -H "Cookie: k=$key" \
        -H 'Idempotency-Key: seen' -H 'X-Other: y' -d '{"booking":"seen"}'
    check "it ran" test "$(runs_of seen)" = 1
    curl -s "http://127.0.0.1:$((FLEET_PORT + 510))/seen" >"$dir/seen"
    check "the request's identifier came" grep -qi x-request-id "$dir/seen"
    check "the key did not" bash -c "! grep -q '$key' '$dir/seen'"
    finish
}

t_tls() { # callers over TLS, by settings
    begin tls
    runners 1
    openssl req -x509 -newkey rsa:2048 -nodes -days 2 -subj /CN=localhost \
        -keyout "$dir/key.pem" -out "$dir/cert.pem" 2>/dev/null
    config
    fleet_start "$dir" 1 1 "\"tls_cert_file\": \"$dir/cert.pem\", \"tls_key_file\": \"$dir/key.pem\""
    check "publish" fleet_publish "$dir/config.json" 0
    key=$(fleet_operator keys add grower jardin)
    served() {
        curl -sf --cacert "$dir/cert.pem" -o "$dir/answer" \
            --resolve "localhost:$(fleet_caller_port 1):127.0.0.1" \
            "https://localhost:$(fleet_caller_port 1)/v1/completions" \
            -H "Authorization: Bearer $key" \
            -d '{"model":"garden","prompt":"x","stream":true,"max_tokens":5}'
    }
    check "a stream over TLS" fleet_until 10 served
    check "is whole" grep -q DONE "$dir/answer"
    check "without TLS nothing is answered" bash -c "! curl -sf -m 3 $(url 1 /healthz)"
    finish
}

t_idle_connections() { # two thousand idle callers take bounded memory
    begin idle_connections
    runners 1
    up 1 1 '"idle_s": 30'
    local before after i
    before=$(awk '/VmRSS/ { print $2 }' "/proc/${fleet_daemon_pid[1]}/status")
    bash -c 'for ((i = 0; i < 2000; i++)); do
            exec {fd}<>"/dev/tcp/127.0.0.1/$0" || exit 1
        done; echo held; sleep 20' "$(fleet_caller_port 1)" >"$dir/held" 2>&1 &
    fleet_pids+=($!)
    check "2,000 connections are held" fleet_until 15 grep -q held "$dir/held"
    check "it serves beside them" asks_fine 1
    after=$(awk '/VmRSS/ { print $2 }' "/proc/${fleet_daemon_pid[1]}/status")
    # 24 KiB for the headers of each, and as much again.
    check "they take at most 48 KiB each: $before to $after KiB" \
        test $((after - before)) -le $((2000 * 48))
    finish
}

t_operator_commands() { # each command that the pages name, as text and as JSON
    begin operator_commands
    runners 2
    up 3 3
    local cli="$FLEET_BUILD/bluebellmoor" words
    sed 's/"name": "jardin"/"name": "jardin", "weight": 3/' "$dir/config.json" >"$dir/next.json"
    check "check" "$cli" check "$dir/next.json"
    check "publish" "$cli" publish "$dir/next.json" 1
    for words in status members runners history "keys list" "orders list" burn; do
        # shellcheck disable=SC2086
        check "$words" "$cli" $words
        # shellcheck disable=SC2086
        check "$words as JSON" bash -c "'$cli' --json $words | grep -q '[{[]'"
    done
    check "show gives the document back" bash -c "'$cli' show 1 | cmp - '$dir/config.json'"
    check "diff names what changed" bash -c "'$cli' diff 1 2 | grep -q '^+ customers.*weight'"
    check "and nothing else" test "$("$cli" diff 1 2 | wc -l)" -eq 2
    check "an old revision is published anew" bash -c \
        "'$cli' show 1 >'$dir/old.json' 2>/dev/null && '$cli' publish '$dir/old.json' 2"
    check "orders pause on" "$cli" orders pause on
    check "orders pause off" "$cli" orders pause off
    check "orders give" "$cli" orders give runner-1 v1
    check "drain on" "$cli" drain vm-3 on
    leaves() { "$cli" members | grep 'vm-3 ' | grep -q 'alive *no *yes'; }
    check "vm-3 leaves" fleet_until 10 leaves
    check "drain off" "$cli" drain vm-3 off
    check "a mistake ends with status 2" bash -c "echo '{' >'$dir/bad'; '$cli' check '$dir/bad'; test \$? -eq 2"
    check "nobody there ends with status 3" bash -c "'$cli' --admin 127.0.0.1:1 status; test \$? -eq 3"
    check "an unknown key ends with status 1" bash -c "'$cli' keys withdraw nobody; test \$? -eq 1"
    check "a wrong operator key is refused" bash -c "BLUEBELLMOOR_KEY=no '$cli' status; test \$? -eq 1"
    finish
}

t_disk_full() { # a full disk: nothing unsynced is acknowledged
    begin disk_full
    runners 1
    up 3 3
    local full=2
    [ "$(leader)" = 2 ] && full=3
    # A file-size limit stands in for a full disk.
    fleet_end "${fleet_daemon_pid[$full]}"
    (ulimit -f 40; trap '' XFSZ; exec "$FLEET_BUILD/bluebellmoord" --settings "$dir/vm-$full.json") >>"$dir/vm-$full.log" 2>&1 &
    fleet_pids+=($!)
    local i
    for i in $(seq 1 60); do publish_next >/dev/null; done
    check "its data folder failed, by number" grep -q '"event":204' "$dir/vm-$full.log"
    check "the two others go on" has_revision "$(leader)" 50
    finish
}

# VMs that know seeds, a list of upstreams, and the provider's control address.
pool_vm_ip() { echo "127.0.1.$1"; }
pool_settings() { # VM: settings; a disk on the first three
    local ip folder=""
    ip=$(pool_vm_ip "$1")
    [ "$1" -le 3 ] && folder="$dir/disk-$1"
    cat >"$dir/vm-$1.json" <<JSON
{"name": "vm-$1", "zone": "zone-$((1 + $1 % 2))",
 "peer_address": "$ip:$FLEET_PORT", "caller_address": "$ip:$((FLEET_PORT + 1))",
 "admin_address": "$ip:$((FLEET_PORT + 2))", "ready_address": "$ip:$((FLEET_PORT + 3))",
 "control_address": "$ip:$((FLEET_PORT + 4))", "directory_address": "$ip:$((FLEET_PORT + 5))",
 "list_address": "127.0.0.1:$((FLEET_PORT + 6))", "data_folder": "$folder",
 "private_network": true, "seeds": ["127.0.1.1:1", "127.0.1.2:1", "127.0.1.3:1"],
 "first_start": $2, "self_repair": true, "election_ms": 450, "gossip_ms": 300,
 "list_ms": 300, "fresh_bound_ms": 600000, "cut_bound_ms": 600000}
JSON
}
pool_ready() { curl -sf -m 2 "http://$(pool_vm_ip "$1"):$((FLEET_PORT + 3))/-/readyz"; }
pool_control() { # VM METHOD [BODY]: status of a call about the configuration
    curl -s -m 3 -o "$dir/answer" -w '%{http_code}' -X "$2" ${3:+-d "$3"} \
        "http://$(pool_vm_ip "$1"):$((FLEET_PORT + 4))/-/config"
}
pool_config() { # VERSION
    cat <<JSON
{"version":$1,"routes":[
 {"name":"safe","host":"a.example","path-prefix":"/safe/","type":"safe","timeout-ms":3000,
  "target-latency-ms":500,"max-attempts":3,"public":true,"service":"api"},
 {"name":"once","host":"a.example","path-prefix":"/once/","type":"once","timeout-ms":3000,
  "target-latency-ms":500,"max-attempts":1,"public":true,"service":"api"}],
 "services":[{"name":"api","max-connections":100}],
 "limits":{"max-header-bytes":16384,"max-body-bytes":65536,"header-timeout-ms":3000,"idle-timeout-ms":15000},
 "tenants":[]}
JSON
}
pool_ask() { # VM PATH ID: status of a request
    curl -s -m 5 -o "$dir/answer" -w '%{http_code}' -H 'Host: a.example' \
        -H "X-Bluebellmoor-Attempt-Id: $3" -d '{}' \
        "http://$(pool_vm_ip "$1"):$((FLEET_PORT + 1))$2"
}
pool_asks() { [ "$(pool_ask "$@")" = 200 ]; }
pool_runs() { # ID: at all upstreams
    local port
    for port in 520 521; do
        curl -s "http://127.0.0.1:$((FLEET_PORT + port))/runs"
    done | grep -o "\"$1\": *[0-9]*" | awk -F: '{n += $2} END {print n + 0}'
}
pool_has() { # VM VERSION: the newest configuration there
    [ "$(pool_control "$1" GET)" = 200 ] && grep -q "\"version\":$2" "$dir/answer"
}

t_pools() { # the users' provider: seeds, list, configuration, lost disk, lost upstream
    begin pools
    local i
    fleet_run "$dir/list.log" "$FLEET_BUILD/stand_pool" list $((FLEET_PORT + 6)) \
        $((FLEET_PORT + 520)) $((FLEET_PORT + 521))
    for i in 520 521; do
        fleet_run "$dir/upstream-$i.log" "$FLEET_BUILD/stand_pool" upstream $((FLEET_PORT + i))
    done
    local upstream=$fleet_last_pid
    for i in 1 2 3 4; do
        mkdir -p "$dir/disk-$i"
        pool_settings "$i" true
        fleet_daemon "$dir" "$i"
    done
    check "version 1 is acknowledged at a VM without a disk" \
        fleet_until 10 pool_takes 4 1
    for i in 1 2 3 4; do
        check "vm-$i becomes ready" fleet_until 10 pool_ready "$i"
        check "vm-$i serves" fleet_until 5 pool_asks "$i" /safe/x "first-$i"
    done
    check "a request ran once" test "$(pool_runs first-2)" = 1
    check "an unknown host is refused" test \
        "$(curl -s -o /dev/null -w '%{http_code}' -H 'Host: b.example' "http://127.0.1.1:$((FLEET_PORT + 1))/safe/x")" = 404
    check "a lower version changes nothing" test "$(pool_control 1 PUT "$(pool_config 0)")" != 200
    check "other content under the same version is refused" test \
        "$(pool_control 1 PUT "$(pool_config 1 | sed 's/3000/2000/')")" = 409
    # An upstream that ran a call that may not be repeated, and closed.
    for i in 520 521; do curl -s "http://127.0.0.1:$((FLEET_PORT + i))/fault" >/dev/null; done
    check "its outcome is not known" test "$(pool_ask 1 /once/x lost-1)" = 502
    check "it ran once" test "$(pool_runs lost-1)" = 1
    for i in 520 521; do curl -s "http://127.0.0.1:$((FLEET_PORT + i))/fault?off=1" >/dev/null; done
    # A lost disk: its VM comes back empty, and is told.
    fleet_end "${fleet_daemon_pid[1]}"
    rm -rf "$dir/disk-1"
    mkdir "$dir/disk-1"
    pool_settings 1 false
    check "version 2 is acknowledged without it" fleet_until 10 pool_takes 2 2
    fleet_daemon "$dir" 1
    for i in 1 2 3 4; do
        check "vm-$i has version 2" fleet_until 10 pool_has "$i" 2
    done
    # An upstream that is gone, though the list names it.
    kill -KILL "$upstream"
    for i in 1 2 3 4 5 6 7 8; do
        check "request $i is served by the other" pool_asks 3 /safe/x "gone-$i"
    done
    check "each decision has its line" grep -q '"event":511.*"id":"gone-' "$dir/vm-3.log"
    finish
}
pool_takes() { [ "$(pool_control "$1" PUT "$(pool_config "$2")")" = 200 ]; }

scenarios=(streams leader_killed bookings_once key_withdrawn isolated frozen
    disk_lost restart_500 operators_race drain upstream_cut kv_import crossed_answer leaving_upstream
    bad_input rollout no_key_upstream tls idle_connections
    operator_commands disk_full pools)
[ $# -gt 0 ] && scenarios=("$@")
for scenario in "${scenarios[@]}"; do "t_$scenario"; done
echo "$passed passed, $failed failed"
[ $failed -eq 0 ]
