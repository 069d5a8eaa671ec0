/* The forwarding thread against an upstream that sends late, foreign, cut or
   endless answers. */
#include "bbm_codes.h"
#include "forward_world.h"
#include "relay.h"
#include "test_main.h"

#include <arpa/inet.h>
#include <linux/filter.h>
#include <netinet/in.h>
#include <pthread.h>
#include <stdio.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

/* Bytes of an answer without end that may be read before it is cut. */
#define READ_BYTES_MAX ((uint64_t)32 * 1024 * 1024)

static uint64_t
resident_peak_kib(void)
{
    struct rusage usage;
    getrusage(RUSAGE_SELF, &usage);
    return (uint64_t)usage.ru_maxrss;
}

/* ---- answers of other requests ---- */

static void
answer_then_copy(upstream *u, int fd, int n)
{
    static char previous[BBM_NAME_SIZE];
    if (n % 2 == 0)
        send_answer(u, fd, previous, "");
    bbm_name_set(previous, u->id);
    send_answer(u, fd, u->id, "");
}

/* A copy of the previous answer arrives where the next answer is expected. */
START_TEST(late_copy_is_not_the_next_answer)
{
    fixture w;
    set_up(&w, answer_then_copy);
    ended first = run_request(&w, false, false);
    check_whole(&first);
    ended second = run_request(&w, false, false);
    check_nothing_passed(&second);
    ended third = run_request(&w, false, false);
    check_whole(&third);
    tear_down(&w);
}
END_TEST

static void
answer_with_copy_behind(upstream *u, int fd, int n)
{
    (void)n;
    send_answer(u, fd, u->id, "");
    send_answer(u, fd, u->id, "");
}

/* A second copy directly behind an answer is never read as an answer, and
   its connection isn't used again. */
START_TEST(copy_behind_an_answer_is_dropped)
{
    fixture w;
    set_up(&w, answer_with_copy_behind);
    for (int i = 0; i < 5; i++) {
        ended e = run_request(&w, false, false);
        check_whole(&e);
        usleep(20000);
    }
    ck_assert_int_eq(atomic_load(&w.upstream.connections), 5);
    tear_down(&w);
}
END_TEST

static void
answer_without_id(upstream *u, int fd, int n)
{
    if (n == 1)
        send_answer(u, fd, u->id, "");
    else
        send_text(u, fd,
                  "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
                  "X-Bluebellmoor-Server-Stamp: s\r\n\r\nno");
}

/* Without its id, an answer on a connection that was in use before may be
   another request's. */
START_TEST(answer_without_id_is_not_passed_on)
{
    fixture w;
    set_up(&w, answer_without_id);
    ended first = run_request(&w, false, false);
    check_whole(&first);
    ended second = run_request(&w, false, false);
    check_nothing_passed(&second);
    ck_assert_int_eq(second.result.outcome, BBM_FORWARD_NO_ANSWER);
    tear_down(&w);
}
END_TEST

static void
answer_without_stamp(upstream *u, int fd, int n)
{
    char text[256];
    (void)n;
    snprintf(text, sizeof(text),
             "HTTP/1.1 200 OK\r\nX-Bluebellmoor-Attempt-Id: %s\r\n"
             "Content-Length: 2\r\n\r\nno",
             u->id);
    send_text(u, fd, text);
}

START_TEST(success_without_signature_is_not_passed_on)
{
    fixture w;
    set_up(&w, answer_without_stamp);
    ended e = run_request(&w, false, false);
    check_nothing_passed(&e);
    ck_assert_int_eq(e.result.outcome, BBM_FORWARD_NO_ANSWER);
    tear_down(&w);
}
END_TEST

/* The upstream's head arrives after control has answered with an error that
   the client's thread hasn't queued yet.  The client then got the upstream's
   status and signature with the error's body. */
START_TEST(late_head_does_not_change_an_error)
{
    exchange *ex = create_exchange(1);
    exchange_headers headers = {0};
    exchange_headers_add(&headers, "X-Bluebellmoor-Server-Stamp", "s");
    exchange_fail(ex, BBM_ERR_UPSTREAM_TIMEOUT, 0);
    size_t len = ex->out.len;
    exchange_set_verbatim_head(ex, 200, 10, &headers);
    exchange_write(ex, "0123456789", 10);
    exchange_finish(ex, false);
    ck_assert_uint_eq(ex->status, 504);
    ck_assert(!ex->verbatim);
    ck_assert_uint_eq(ex->out.len, len);
    exchange_answer(ex, 200, "text/plain", "x", 1);
    exchange_set_head(ex, 200, "text/plain", "u", -1);
    ck_assert_uint_eq(ex->status, 504);
    ck_assert_uint_eq(ex->out.len, len);
    exchange_headers_free(&headers);
    exchange_unref(ex);
}
END_TEST

/* ---- answers without end ---- */

static const char head_start[] = "HTTP/1.1 200 OK\r\n";

static void
send_forever(upstream *u, int fd, const char *text)
{
    static char block[65536];
    size_t len = strlen(text);
    size_t fill = sizeof(block) - sizeof(block) % len;
    for (size_t i = 0; i < fill; i++)
        block[i] = text[i % len];
    while (!atomic_load(&u->stopping) && send_bytes(u, fd, block, fill)
           && atomic_load(&u->sent_bytes) < 8 * READ_BYTES_MAX)
        ;
}

static void
endless_status_line(upstream *u, int fd, int n)
{
    (void)n;
    send_text(u, fd, "HTTP/1.1 200 ");
    send_forever(u, fd, "OK");
}

static void
endless_header_line(upstream *u, int fd, int n)
{
    (void)n;
    send_text(u, fd, head_start);
    send_text(u, fd, "X-Long: ");
    send_forever(u, fd, "abcdefgh");
}

static void
endless_headers(upstream *u, int fd, int n)
{
    (void)n;
    send_text(u, fd, head_start);
    send_forever(u, fd, "X-More: 1\r\n");
}

static void
endless_interim_answers(upstream *u, int fd, int n)
{
    (void)n;
    send_forever(u, fd, "HTTP/1.1 102 Processing\r\n\r\n");
}

static void
endless_bytes_without_head(upstream *u, int fd, int n)
{
    (void)n;
    send_forever(u, fd, "no answer at all");
}

static void
endless_chunk_extension(upstream *u, int fd, int n)
{
    (void)n;
    send_head(u, fd, "200 OK", "Transfer-Encoding: chunked\r\n");
    send_text(u, fd, "5;x=");
    send_forever(u, fd, "abcdefgh");
}

static void
endless_trailers(upstream *u, int fd, int n)
{
    (void)n;
    send_head(u, fd, "200 OK", "Transfer-Encoding: chunked\r\n");
    send_text(u, fd, "5\r\nhello\r\n0\r\n");
    send_forever(u, fd, "X-More: 1\r\n");
}

static void
endless_refused_body(upstream *u, int fd, int n)
{
    char text[256];
    (void)n;
    snprintf(text, sizeof(text),
             "HTTP/1.1 503 Full\r\nX-Bluebellmoor-Attempt-Id: %s\r\n"
             "X-Bluebellmoor-Not-Executed: 1\r\n"
             "Transfer-Encoding: chunked\r\n\r\n",
             u->id);
    send_text(u, fd, text);
    send_forever(u, fd, "8\r\nabcdefgh\r\n");
}

static void
slow_refused_body(upstream *u, int fd, int n)
{
    char text[256];
    (void)n;
    snprintf(text, sizeof(text),
             "HTTP/1.1 503 Full\r\nX-Bluebellmoor-Attempt-Id: %s\r\n"
             "X-Bluebellmoor-Not-Executed: 1\r\nContent-Length: 1000\r\n\r\n",
             u->id);
    send_text(u, fd, text);
    for (int i = 0; i < 60 && !atomic_load(&u->stopping); i++) {
        if (!send_text(u, fd, "a"))
            return;
        usleep(100000);
    }
}

/* Each ends by itself, in bounded bytes, time and memory, and its connection
   is closed. */
START_TEST(answers_without_end_are_cut)
{
    static const struct {
        upstream_script *script;
        bbm_forward_outcome outcome;
    } rows[] = {
        {endless_status_line, BBM_FORWARD_NO_ANSWER},
        {endless_header_line, BBM_FORWARD_NO_ANSWER},
        {endless_headers, BBM_FORWARD_NO_ANSWER},
        {endless_interim_answers, BBM_FORWARD_NO_ANSWER},
        {endless_bytes_without_head, BBM_FORWARD_NO_ANSWER},
        {endless_chunk_extension, BBM_FORWARD_TRUNCATED},
        {endless_trailers, BBM_FORWARD_TRUNCATED},
        {endless_refused_body, BBM_FORWARD_NOT_RUN},
        {slow_refused_body, BBM_FORWARD_NOT_RUN},
    };
    for (size_t i = 0; i < BBM_COUNT(rows); i++) {
        fixture w;
        set_up(&w, rows[i].script);
        uint64_t before_kib = resident_peak_kib();
        ended e = run_request(&w, false, false);
        ck_assert_msg(e.result.outcome == rows[i].outcome,
                      "row %zu: outcome %d", i, (int)e.result.outcome);
        ck_assert_msg(e.ms < END_MS_MAX, "row %zu: %lld ms", i,
                      (long long)e.ms);
        ck_assert_msg(atomic_load(&w.upstream.sent_bytes) < READ_BYTES_MAX,
                      "row %zu: %llu bytes", i,
                      atomic_load(&w.upstream.sent_bytes));
        ck_assert_msg(resident_peak_kib() - before_kib < 8192,
                      "row %zu: memory grew by %llu KiB", i,
                      (unsigned long long)(resident_peak_kib() - before_kib));
        exchange_unref(e.ex);
        w.upstream.script = answer_then_copy;
        atomic_store(&w.upstream.requests, 0);
        ended next = run_request(&w, false, false);
        check_whole(&next);
        ck_assert_int_eq(atomic_load(&w.upstream.connections), 2);
        tear_down(&w);
    }
}
END_TEST

static void
endless_event(upstream *u, int fd, int n)
{
    (void)n;
    send_head(u, fd, "200 OK", "");
    send_text(u, fd, "id: 1\ndata: x\n\ndata: ");
    send_forever(u, fd, "abcdefgh");
}

/* LOST: an event without end on a resumable stream was held back in memory
   until the process was killed.  The stream is broken off after its last
   complete event. */
START_TEST(event_without_end_is_cut)
{
    fixture w;
    set_up(&w, endless_event);
    uint64_t before_kib = resident_peak_kib();
    ended e = run_attempt(&w, &resumable_stream, "");
    ck_assert_int_eq(e.result.outcome, BBM_FORWARD_TRUNCATED);
    ck_assert_str_eq(e.result.last_event_id, "1");
    ck_assert_uint_eq(e.ex->out.len, strlen("id: 1\ndata: x\n\n"));
    ck_assert_uint_lt(atomic_load(&w.upstream.sent_bytes), READ_BYTES_MAX);
    ck_assert_uint_lt(resident_peak_kib() - before_kib, 8192);
    exchange_unref(e.ex);
    tear_down(&w);
}
END_TEST

static void
body_beyond_its_length(upstream *u, int fd, int n)
{
    (void)n;
    send_answer(u, fd, u->id, "");
    send_forever(u, fd, "more");
}

START_TEST(bytes_beyond_the_length_are_dropped)
{
    fixture w;
    set_up(&w, body_beyond_its_length);
    for (int i = 0; i < 3; i++) {
        ended e = run_request(&w, false, false);
        check_whole(&e);
        usleep(20000);
    }
    ck_assert_int_eq(atomic_load(&w.upstream.connections), 3);
    ck_assert(atomic_load(&w.upstream.sent_bytes) < READ_BYTES_MAX);
    /* Without the delay they may arrive after the next request was sent, whose
       answer is then lost, but not mixed. */
    for (int i = 0; i < 20; i++) {
        ended e = run_request(&w, false, false);
        if (e.result.outcome == BBM_FORWARD_COMPLETE)
            check_whole(&e);
        else
            check_nothing_passed(&e);
    }
    tear_down(&w);
}
END_TEST

/* A sound stream with long pauses between its events isn't cut. */
static void
slow_stream(upstream *u, int fd, int n)
{
    (void)n;
    send_head(u, fd, "200 OK", "Transfer-Encoding: chunked\r\n");
    for (int i = 0; i < 4; i++) {
        send_text(u, fd, "9\r\ndata: x\n\n\r\n");
        usleep(400000);
    }
    send_text(u, fd, "0\r\n\r\n");
}

static void
stalled_stream(upstream *u, int fd, int n)
{
    (void)n;
    send_head(u, fd, "200 OK", "Transfer-Encoding: chunked\r\n");
    send_text(u, fd, "9\r\ndata: x\n\n\r\n");
    for (int i = 0; i < 100 && !atomic_load(&u->stopping); i++) {
        if (!send_text(u, fd, "1\r\n:\r\n"))
            return;
        usleep(100000);
    }
}

/* A byte now and then is no event: the stream is cut. */
START_TEST(stalled_streams_are_cut)
{
    fixture w;
    set_up(&w, stalled_stream);
    ended e = run_request(&w, false, true);
    ck_assert_int_eq(e.result.outcome, BBM_FORWARD_TRUNCATED);
    ck_assert_int_ge(e.ms, STALL_MS);
    exchange_unref(e.ex);
    tear_down(&w);
}
END_TEST

START_TEST(slow_streams_are_not_cut)
{
    fixture w;
    set_up(&w, slow_stream);
    ended e = run_request(&w, false, true);
    ck_assert_int_eq(e.result.outcome, BBM_FORWARD_COMPLETE);
    ck_assert_uint_eq(e.ex->out.len, 4 * strlen("data: x\n\n"));
    exchange_unref(e.ex);
    tear_down(&w);
}
END_TEST

/* ---- streams that are broken off ---- */

#define LF_STREAM                                                             \
    ": hello\nid: 1\nevent: token\ndata: one\ndata: more\n\n"                 \
    "id: 2\ndata: two\n\n: ping\n\nid: 3\ndata: three\n\n"
#define CRLF_STREAM                                                           \
    ": hello\r\nid: 1\r\nevent: token\r\ndata: one\r\ndata: more\r\n\r\n"     \
    "id: 2\r\ndata: two\r\n\r\n: ping\r\n\r\nid: 3\r\ndata: three\r\n\r\n"

static void
send_broken_stream(upstream *u, int fd, int n)
{
    (void)n;
    const struct broken_stream *s = &u->stream;
    struct linger reset = {.l_onoff = 1};
    char head[512];
    char framing[64] = "";
    if (s->framing == LENGTH)
        snprintf(framing, sizeof(framing), "Content-Length: %zu\r\n",
                 strlen(s->body));
    else if (s->framing == CHUNKED)
        snprintf(framing, sizeof(framing), "Transfer-Encoding: chunked\r\n");
    snprintf(head, sizeof(head),
             "HTTP/1.1 %u OK\r\nX-Bluebellmoor-Attempt-Id: %s\r\n"
             "X-Bluebellmoor-Server-Stamp: s\r\n"
             "Content-Type: text/event-stream\r\n%s%s\r\n",
             s->status, u->id, framing,
             s->announces_close ? "Connection: close\r\n" : "");
    send_text(u, fd, head);
    if (s->framing == CHUNKED && s->sent_len) {
        snprintf(head, sizeof(head), "%zx\r\n", s->sent_len);
        send_text(u, fd, head);
    }
    send_bytes(u, fd, s->body, s->sent_len);
    if (s->framing == CHUNKED && s->sent_len)
        send_text(u, fd, "\r\n");
    if (s->ends_chunks)
        send_text(u, fd, "0\r\n\r\n");
    if (s->resets)
        setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
    shutdown(fd, s->resets ? SHUT_RD : SHUT_WR);
}

/* True if no event has begun after the last one that ended. */
static bool
is_between_events(const char *body, size_t len)
{
    bool lf = len >= 2 && memcmp(body + len - 2, "\n\n", 2) == 0;
    bool crlf = len >= 4 && memcmp(body + len - 4, "\r\n\r\n", 4) == 0;
    return lf || crlf;
}

/* Plays one stream for a first attempt of both kinds and for a resumed one.
   Each must end as broken off, or each as complete. */
static void
check_stream(const struct broken_stream *s, bool complete)
{
    static const struct {
        const bbm_forward_request *kind;
        const char *last_event;
    } attempts[] = {{&plain_stream, ""},
                    {&resumable_stream, ""},
                    {&resumable_stream, "1"}};
    for (size_t i = 0; i < BBM_COUNT(attempts); i++) {
        if (attempts[i].last_event[0] && s->status != 200)
            continue;
        fixture w;
        set_up(&w, send_broken_stream);
        w.upstream.stream = *s;
        ended e = run_attempt(&w, attempts[i].kind, attempts[i].last_event);
        bool ended_complete = e.result.outcome == BBM_FORWARD_COMPLETE;
        ck_assert_msg(ended_complete == complete,
                      "attempt %zu, status %u, framing %d, reset %d: outcome "
                      "%d after '%.*s'",
                      i, s->status, (int)s->framing, s->resets,
                      (int)e.result.outcome, (int)s->sent_len, s->body);
        ck_assert_int_eq(e.ex->finished, complete);
        if (complete) {
            ck_assert_uint_eq(e.ex->out.len, s->sent_len);
            ck_assert_mem_eq(e.ex->out.data, s->body, s->sent_len);
        }
        exchange_unref(e.ex);
        tear_down(&w);
    }
}

/* ORDER on rota-sladoled: a stream without length or chunks whose connection
   closed between two lines of an event was passed on as complete. */
START_TEST(unframed_stream_cut_within_an_event_is_not_complete)
{
    static const char *const bodies[] = {LF_STREAM, CRLF_STREAM};
    static const unsigned statuses[] = {200, 206};
    for (size_t i = 0; i < BBM_COUNT(bodies) * BBM_COUNT(statuses); i++) {
        struct broken_stream s = {.body = bodies[i % 2],
                                  .status = statuses[i / 2]};
        size_t len = strlen(s.body);
        for (s.sent_len = 0; s.sent_len < len; s.sent_len++) {
            s.announces_close = s.sent_len % 2;
            if (!is_between_events(s.body, s.sent_len))
                check_stream(&s, false);
        }
        check_stream(&s, true);
    }
}
END_TEST

START_TEST(framed_stream_without_its_end_is_not_complete)
{
    struct broken_stream s = {.body = LF_STREAM, .status = 200};
    size_t len = strlen(s.body);
    for (s.sent_len = 0; s.sent_len < len; s.sent_len++) {
        s.framing = s.sent_len % 2 ? CHUNKED : LENGTH;
        check_stream(&s, false);
    }
    s.framing = CHUNKED;
    check_stream(&s, false);
    s.ends_chunks = true;
    check_stream(&s, true);
    s.framing = LENGTH;
    s.ends_chunks = false;
    check_stream(&s, true);
    /* A proxy at the upstream may close the chunks of a stream that broke. */
    s.framing = CHUNKED;
    s.ends_chunks = true;
    s.sent_len = (size_t)(strstr(s.body, "data: more") - s.body);
    check_stream(&s, false);
}
END_TEST

START_TEST(stream_that_is_reset_is_not_complete)
{
    struct broken_stream s = {
        .body = LF_STREAM, .status = 200, .resets = true};
    size_t len = strlen(s.body);
    for (s.sent_len = 0; s.sent_len <= len; s.sent_len++)
        check_stream(&s, false);
}
END_TEST

START_TEST(stream_answer_without_content_is_complete)
{
    fixture w;
    set_up(&w, send_broken_stream);
    w.upstream.stream = (struct broken_stream){.body = "", .status = 204};
    ended e = run_attempt(&w, &plain_stream, "");
    ck_assert_int_eq(e.result.outcome, BBM_FORWARD_COMPLETE);
    exchange_unref(e.ex);
    tear_down(&w);
}
END_TEST

/* An answer that is no stream may end with its connection, but not by a
   reset. */
START_TEST(unframed_answer_is_complete_unless_reset)
{
    static const bbm_forward_request plain = {0};
    for (int resets = 0; resets < 2; resets++) {
        fixture w;
        set_up(&w, send_broken_stream);
        w.upstream.stream = (struct broken_stream){
            .body = "whole", .sent_len = 5, .status = 200, .resets = resets};
        ended e = run_attempt(&w, &plain, "");
        ck_assert_int_eq(e.result.outcome == BBM_FORWARD_COMPLETE, !resets);
        ck_assert_int_eq(e.ex->finished, !resets);
        exchange_unref(e.ex);
        tear_down(&w);
    }
}
END_TEST

/* ---- crashes ---- */

static void
close_without_answer(upstream *u, int fd, int n)
{
    (void)u;
    (void)n;
    shutdown(fd, SHUT_RDWR);
}

static void
reset_without_answer(upstream *u, int fd, int n)
{
    struct linger reset = {.l_onoff = 1};
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
    close_without_answer(u, fd, n);
}

/* Answers once, then ends with the next request on the same connection, as a
   process that crashes: nothing listens any more. */
static void
crash_at_second_request(upstream *u, int fd, int n)
{
    if (n == 1) {
        send_answer(u, fd, u->id, "");
        return;
    }
    shutdown(u->listener, SHUT_RDWR);
    close_without_answer(u, fd, n);
}

static void
answer_with_error(upstream *u, int fd, int n)
{
    (void)n;
    char text[256];
    snprintf(text, sizeof(text),
             "HTTP/1.1 500 Error\r\nX-Bluebellmoor-Attempt-Id: %s\r\n"
             "X-Bluebellmoor-Server-Stamp: s\r\nContent-Length: 0\r\n\r\n",
             u->id);
    send_text(u, fd, text);
}

/* What accuses a prompt must be an end by the upstream, not a limit of this
   daemon or an answer. */
START_TEST(only_closed_connections_count_as_disconnects)
{
    static const struct {
        upstream_script *script;
        bool stream;
        bool disconnected;
    } rows[] = {
        {close_without_answer, false, true},
        {reset_without_answer, true, true},
        {send_broken_stream, true, true},
        {stalled_stream, true, false},
        {endless_headers, false, false},
        {answer_with_error, true, false},
        {slow_stream, true, false},
    };
    for (size_t i = 0; i < BBM_COUNT(rows); i++) {
        fixture w;
        set_up(&w, rows[i].script);
        w.upstream.stream = (struct broken_stream){
            .body = LF_STREAM, .status = 200, .sent_len = 20};
        ended e = run_request(&w, false, rows[i].stream);
        ck_assert_msg(e.result.disconnected == rows[i].disconnected,
                      "row %zu: outcome %d", i, (int)e.result.outcome);
        exchange_unref(e.ex);
        tear_down(&w);
    }
}
END_TEST

/* libcurl connects again after a close on a connection that was in use
   before, and is refused. */
START_TEST(crash_on_a_reused_connection_is_a_disconnect)
{
    for (int repeatable = 0; repeatable < 2; repeatable++) {
        fixture w;
        set_up(&w, crash_at_second_request);
        ended first = run_request(&w, repeatable, false);
        check_whole(&first);
        ck_assert(!first.result.disconnected);
        ck_assert_int_gt(first.result.began_at, 0);
        ended second = run_request(&w, repeatable, false);
        ck_assert_int_eq(second.result.outcome, BBM_FORWARD_NO_ANSWER);
        ck_assert(second.result.disconnected);
        exchange_unref(second.ex);
        tear_down(&w);
    }
}
END_TEST

START_TEST(long_streams_are_reported_as_sound)
{
    fixture w;
    set_up(&w, slow_stream);
    exchange *ex = start_request(&w, false, true);
    control_item *item = expect_item(&w, CONTROL_STREAM_PROGRESS, END_MS_MAX);
    ck_assert_uint_eq(item->id, ex->id);
    ck_assert_int_ge(control_now() - item->began_at, BBM_SECOND);
    control_item_destroy(item);
    exchange_unref(ex);
    tear_down(&w);
}
END_TEST

/* ---- what upstreams say of themselves ---- */

static void
leaving_answer(upstream *u, int fd, int n)
{
    char text[256];
    if (n == 1) {
        send_answer(u, fd, u->id, "Server-Leaving: 1\r\n");
        return;
    }
    snprintf(text, sizeof(text),
             "HTTP/1.1 503 Full\r\nX-Bluebellmoor-Attempt-Id: %s\r\n"
             "X-Bluebellmoor-Not-Executed: 1\r\nServer-Leaving: 1\r\n"
             "Retry-After: 1.25\r\nContent-Length: 0\r\n\r\n",
             u->id);
    send_text(u, fd, text);
}

START_TEST(notices_are_reported)
{
    fixture w;
    set_up(&w, leaving_answer);
    exchange *ex = start_request(&w, false, false);
    control_item *head = expect_item(&w, CONTROL_RESPONSE_HEAD, END_MS_MAX);
    ck_assert(head->notice.leaving);
    control_item_destroy(head);
    control_item *end = expect_item(&w, CONTROL_FORWARD_FINISHED, END_MS_MAX);
    ck_assert(end->forwarded.notice.leaving);
    ck_assert_int_eq(end->forwarded.notice.pause, 0);
    control_item_destroy(end);
    exchange_unref(ex);
    ended e = run_request(&w, false, false);
    ck_assert_int_eq(e.result.outcome, BBM_FORWARD_NOT_RUN);
    ck_assert(e.result.notice.leaving);
    ck_assert_int_eq(e.result.notice.pause, 1250 * BBM_MS);
    exchange_unref(e.ex);
    tear_down(&w);
}
END_TEST

/* ---- upstreams that are silent for a while ---- */

static int silence_ms;

/* The machine of the upstream neither sends nor acknowledges anything. */
static void
fall_silent(int fd)
{
    struct sock_filter drop[] = {BPF_STMT(BPF_RET | BPF_K, 0)};
    struct sock_fprog program = {.len = 1, .filter = drop};
    int unused = 0;
    ck_assert_int_eq(setsockopt(fd, SOL_SOCKET, SO_ATTACH_FILTER, &program,
                                sizeof(program)),
                     0);
    usleep((useconds_t)silence_ms * 1000);
    setsockopt(fd, SOL_SOCKET, SO_DETACH_FILTER, &unused, sizeof(unused));
}

static void
fall_silent_in_answer(upstream *u, int fd, int n)
{
    static const char part[] = "HTTP/1.1 200 OK\r\n"
                               "X-Bluebellmoor-Server-Stamp: s\r\n"
                               "Content-Length: 24\r\n\r\n"
                               "id: 1\ndata: a\n\n";
    static const char rest[] = "data: b\n\n";
    (void)u;
    (void)n;
    (void)!write(fd, part, sizeof(part) - 1);
    usleep(50000);
    fall_silent(fd);
    (void)!write(fd, rest, sizeof(rest) - 1);
}

/* A sound runner may be silent for a second or so and go on: its answer must
   not be broken off, as clients wait for two seconds at least. */
START_TEST(answer_goes_on_after_a_silence)
{
    static const int silences[] = {500, 1000, 1500, 1800};
    for (size_t i = 0; i < BBM_COUNT(silences); i++) {
        fixture w;
        silence_ms = silences[i];
        set_up(&w, fall_silent_in_answer);
        ended e = run_request(&w, false, false);
        ck_assert_msg(e.result.outcome == BBM_FORWARD_COMPLETE,
                      "%d ms: outcome %d", silence_ms, (int)e.result.outcome);
        exchange_unref(e.ex);
        tear_down(&w);
    }
}
END_TEST

/* One that is silent for good is noticed before a client can have left. */
START_TEST(answer_of_a_dead_machine_ends_after_two_seconds)
{
    fixture w;
    silence_ms = 3500;
    set_up(&w, fall_silent_in_answer);
    ended e = run_request(&w, false, false);
    ck_assert_int_eq(e.result.outcome, BBM_FORWARD_TRUNCATED);
    ck_assert(!e.result.disconnected);
    ck_assert_int_le(e.ms, 2400);
    exchange_unref(e.ex);
    tear_down(&w);
}
END_TEST

static void
fall_silent_after_answer(upstream *u, int fd, int n)
{
    struct timeval timeout = {.tv_sec = 5};
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
    send_answer(u, fd, u->id, "");
    if (n == 1)
        fall_silent(fd);
}

/* The second request is sent into the silence, on the same connection. */
START_TEST(request_sent_into_a_silence_is_answered)
{
    static const int silences[] = {500, 1000, 1500, 2000};
    for (size_t i = 0; i < BBM_COUNT(silences); i++) {
        fixture w;
        silence_ms = silences[i];
        set_up(&w, fall_silent_after_answer);
        ended first = run_request(&w, false, false);
        check_whole(&first);
        ended second = {.ex = start_request(&w, false, false)};
        /* TCP repeats the request after 3 s at the latest. */
        control_item *item =
            expect_item(&w, CONTROL_FORWARD_FINISHED, END_MS_MAX + 2000);
        second.result = item->forwarded;
        control_item_destroy(item);
        ck_assert_msg(second.result.outcome == BBM_FORWARD_COMPLETE,
                      "%d ms: outcome %d", silence_ms,
                      (int)second.result.outcome);
        check_whole(&second);
        ck_assert_int_eq(atomic_load(&w.upstream.connections), 1);
        tear_down(&w);
    }
}
END_TEST

/* ---- requests that another VM forwards ---- */

static void
refuse_as_vm(upstream *u, int fd, int n)
{
    static const char refusal[] = "HTTP/1.1 503 Service Unavailable\r\n"
                                  "Retry-After: 0.300\r\n"
                                  "Content-Length: 2\r\n\r\nno";
    (void)u;
    (void)n;
    (void)!write(fd, refusal, sizeof(refusal) - 1);
}

/* The other VM's refusal is the client's answer: it has no runner's signature,
   and from an upstream it would not be passed on. */
START_TEST(refusal_of_the_vm_that_forwards_is_passed_on)
{
    fixture w;
    set_up(&w, refuse_as_vm);
    bbm_forward_request kind = {.relay = true};
    ended e = run_attempt(&w, &kind, "");
    ck_assert_int_eq(e.result.outcome, BBM_FORWARD_COMPLETE);
    ck_assert_uint_eq(e.result.status, 503);
    ck_assert_uint_eq(e.ex->status, 503);
    ck_assert_uint_eq(e.ex->out.len, 2);
    exchange_unref(e.ex);
    ended direct = run_request(&w, false, false);
    check_nothing_passed(&direct);
    tear_down(&w);
}
END_TEST

static void
answer_each(upstream *u, int fd, int n)
{
    (void)n;
    send_answer(u, fd, u->id, "");
}

/* The ids that a connection remembers are bounded. */
START_TEST(connection_is_replaced_after_256_requests)
{
    fixture w;
    set_up(&w, answer_each);
    for (int i = 0; i < 300; i++) {
        ended e = run_request(&w, i % 2 == 0, false);
        check_whole(&e);
    }
    ck_assert_int_eq(atomic_load(&w.upstream.connections), 2);
    tear_down(&w);
}
END_TEST

/* A stream in chunks that ends within an event, with a trailer that looks like
   a status line. */
static void
end_with_status_line(upstream *u, int fd, int n)
{
    (void)n;
    send_head(u, fd, "200 OK", "Transfer-Encoding: chunked\r\n");
    send_text(u, fd,
              "4\r\ndata\r\n0\r\nHTTP/1.1 503 Full\r\n"
              "X-Bluebellmoor-Not-Executed: 1\r\n\r\n");
}

/* ORDER: the status line of an answer came where the trailers of the one
   before were due, and a stream that was cut counted as complete. */
START_TEST(trailer_is_not_a_status_line)
{
    fixture w;
    set_up(&w, end_with_status_line);
    ended e = run_attempt(&w, &plain_stream, "");
    ck_assert_uint_eq(e.result.status, 200);
    ck_assert_int_eq(e.result.outcome, BBM_FORWARD_TRUNCATED);
    exchange_unref(e.ex);
    tear_down(&w);
}
END_TEST

/* Thousands of refusals a second would each open a connection between VMs. */
START_TEST(connection_between_vms_outlasts_refusals)
{
    fixture w;
    bbm_forward_request kind = {.relay = true};
    set_up(&w, refuse_as_vm);
    for (int i = 0; i < 10; i++) {
        ended e = run_attempt(&w, &kind, "");
        ck_assert_uint_eq(e.ex->status, 503);
        exchange_unref(e.ex);
    }
    int connections = atomic_load(&w.upstream.connections);
    tear_down(&w);
    ck_assert_int_eq(connections, 1);
}
END_TEST

/* The refusal was decided before the attempt's turn came. */
START_TEST(request_that_was_refused_is_not_sent_later)
{
    fixture w;
    set_up(&w, refuse_as_vm);
    exchange *ex = create_exchange(++w.requests);
    bbm_forward_request send = {.request = ex->id,
                                .attempt = 1,
                                .priority = -1,
                                .deadline = control_now() + DEADLINE};
    bbm_name_set(send.upstream, "u");
    snprintf(send.address, sizeof(send.address), "127.0.0.1:%u",
             w.upstream.port);
    exchange_fail(ex, BBM_ERR_OVERLOAD, 0);
    forward_start(w.forward, ex, &send, "");
    control_item *item = expect_item(&w, CONTROL_FORWARD_FINISHED, END_MS_MAX);
    ck_assert_int_eq(item->forwarded.outcome, BBM_FORWARD_UNSENT);
    ck_assert_uint_eq(ex->status, 503);
    ck_assert_int_eq(atomic_load(&w.upstream.requests), 0);
    control_item_destroy(item);
    exchange_unref(ex);
    tear_down(&w);
}
END_TEST

/* A client could otherwise choose whose key its request has. */
START_TEST(only_a_vm_can_say_that_a_request_was_relayed)
{
    char value[PLATFORM_RELAYED_SIZE];
    exchange *sent = create_exchange(1);
    sent->has_key = true;
    sent->key_digest = bbm_digest_of("key", 3, test_secret);
    relay_header_write(sent, 1, test_secret, value);
    exchange *got = create_exchange(1);
    ck_assert(relay_header_read(got, value, test_secret));
    ck_assert(got->is_relayed && got->has_key);
    ck_assert_uint_eq(got->attempts_used, 1);
    ck_assert(bbm_digest_same(&got->key_digest, &sent->key_digest));
    static const uint8_t other_secret[BBM_DIGEST_SIZE] = {8};
    exchange *forged = create_exchange(1);
    ck_assert(!relay_header_read(forged, value, other_secret));
    ck_assert(!forged->is_relayed && !forged->has_key);
    exchange *other = create_exchange(2);
    ck_assert(!relay_header_read(other, value, test_secret));
    value[0] = '0';
    ck_assert(!relay_header_read(forged, value, test_secret));
    ck_assert(!relay_header_read(forged, "1 - 0", test_secret));
    exchange_unref(sent);
    exchange_unref(got);
    exchange_unref(forged);
    exchange_unref(other);
}
END_TEST

/* ---- attempts that control started without knowing of an answer ---- */

/* The first request's answer breaks off after its first piece; another one
   would serve the whole. */
static void
break_off_first(upstream *u, int fd, int n)
{
    struct linger reset = {.l_onoff = 1};
    if (n == 1) {
        send_head(u, fd, "200 OK", "Transfer-Encoding: chunked\r\n");
        send_text(u, fd, "11\r\nid: 1\ndata: one\n\n\r\n");
        usleep(50000);
        setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
        shutdown(fd, SHUT_RD);
        return;
    }
    send_head(u, fd, "200 OK", "Transfer-Encoding: chunked\r\n");
    send_text(u, fd, "11\r\nid: 2\ndata: two\n\n\r\n0\r\n\r\n");
}

/* Starts another attempt of a request, as control does that knows of the
   results of attempts up to @p ended_attempt. */
static void
start_further(fixture *w, exchange *ex, const bbm_forward_request *kind,
              uint32_t number, uint32_t ended_attempt, const char *last_event)
{
    bbm_forward_request send = *kind;
    send.request = ex->id;
    send.attempt = number;
    send.ended_attempt = ended_attempt;
    send.deadline = control_now() + DEADLINE;
    send.priority = -1;
    bbm_name_set(send.upstream, "v");
    snprintf(send.address, sizeof(send.address), "127.0.0.1:%u",
             w->upstream.port);
    forward_start(w->forward, ex, &send, last_event);
}

static bbm_forward_result
expect_result(fixture *w, uint32_t attempt)
{
    control_item *item = expect_item(w, CONTROL_FORWARD_FINISHED, END_MS_MAX);
    bbm_forward_result f = item->forwarded;
    control_item_destroy(item);
    ck_assert_uint_eq(f.attempt, attempt);
    return f;
}

static void
expect_head(fixture *w, uint32_t attempt, uint64_t origin)
{
    control_item *item = expect_item(w, CONTROL_RESPONSE_HEAD, END_MS_MAX);
    ck_assert_uint_eq(item->attempt, attempt);
    ck_assert_uint_eq(item->origin, origin);
    control_item_destroy(item);
}

/* ORDER and MIXED: after a freeze, control found a request silent and started
   another attempt, while the first one's answer had begun and had already been
   broken off.  The second run was joined to the bytes of the first. */
START_TEST(second_run_is_not_joined_to_an_answer_that_broke_off)
{
    static const bbm_forward_request kinds[] = {
        {.stream = true, .repeatable = true, .resumable = true, .origin = 7},
        {.repeatable = true, .origin = 7},
    };
    for (size_t i = 0; i < BBM_COUNT(kinds); i++) {
        fixture w;
        set_up(&w, break_off_first);
        exchange *ex = start_attempt(&w, &kinds[i], "");
        expect_head(&w, 1, 7);
        ck_assert(!expect_result(&w, 1).adopted);
        start_further(&w, ex, &kinds[i], 2, 0, "");
        expect_head(&w, 2, 7);
        bbm_forward_result f = expect_result(&w, 2);
        ck_assert(f.adopted);
        ck_assert_int_eq(f.outcome, BBM_FORWARD_TRUNCATED);
        ck_assert_int_eq(atomic_load(&w.upstream.requests), 1);
        ck_assert_uint_eq(ex->out.len, 17);
        if (kinds[i].resumable) {
            ck_assert_str_eq(f.last_event_id, "1");
            start_further(&w, ex, &kinds[i], 3, 2, "1");
            expect_head(&w, 3, 7);
            ck_assert_int_eq(expect_result(&w, 3).outcome,
                             BBM_FORWARD_COMPLETE);
            ck_assert_uint_eq(ex->out.len, 34);
            ck_assert_mem_eq(ex->out.data,
                             "id: 1\ndata: one\n\nid: 2\ndata: two\n\n", 34);
        }
        exchange_unref(ex);
        tear_down(&w);
    }
}
END_TEST

/* As above, for an answer that is complete: the request doesn't run twice. */
START_TEST(complete_answer_is_not_asked_for_again)
{
    fixture w;
    set_up(&w, answer_then_copy);
    bbm_forward_request kind = {.repeatable = true};
    exchange *ex = start_attempt(&w, &kind, "");
    ck_assert_int_eq(expect_result(&w, 1).outcome, BBM_FORWARD_COMPLETE);
    start_further(&w, ex, &kind, 2, 0, "");
    ck_assert_int_eq(expect_result(&w, 2).outcome, BBM_FORWARD_COMPLETE);
    ck_assert_int_eq(atomic_load(&w.upstream.requests), 1);
    ck_assert(ex->finished);
    exchange_unref(ex);
    tear_down(&w);
}
END_TEST

/* ---- headers ---- */

/* UNASKED: a header of more than 8 KiB, within the limit that the
   configuration states, reached the upstream without its end. */
START_TEST(long_header_is_passed_on_whole)
{
    static char value[12000];
    static char line[12100];
    fixture w;
    set_up(&w, answer_then_copy);
    for (size_t i = 0; i < sizeof(value) - 1; i++)
        value[i] = (char)('a' + i % 26);
    exchange *ex = create_exchange(++w.requests);
    exchange_headers_add(&ex->headers, "X-Bluebellmoor-Prefix-Hash", value);
    bbm_forward_request kind = {0};
    start_further(&w, ex, &kind, 1, 0, "");
    ck_assert_int_eq(expect_result(&w, 1).outcome, BBM_FORWARD_COMPLETE);
    snprintf(line, sizeof(line), "\r\nX-Bluebellmoor-Prefix-Hash: %s\r\n",
             value);
    ck_assert_ptr_nonnull(strstr(w.upstream.head, line));
    exchange_unref(ex);
    tear_down(&w);
}
END_TEST

TEST_MAIN("forward", connection_is_replaced_after_256_requests,
          trailer_is_not_a_status_line,
          connection_between_vms_outlasts_refusals,
          long_header_is_passed_on_whole,
          second_run_is_not_joined_to_an_answer_that_broke_off,
          complete_answer_is_not_asked_for_again,
          answer_goes_on_after_a_silence,
          answer_of_a_dead_machine_ends_after_two_seconds,
          request_sent_into_a_silence_is_answered,
          refusal_of_the_vm_that_forwards_is_passed_on,
          request_that_was_refused_is_not_sent_later,
          only_a_vm_can_say_that_a_request_was_relayed,
          late_copy_is_not_the_next_answer, copy_behind_an_answer_is_dropped,
          answer_without_id_is_not_passed_on,
          success_without_signature_is_not_passed_on,
          late_head_does_not_change_an_error, answers_without_end_are_cut,
          bytes_beyond_the_length_are_dropped, event_without_end_is_cut,
          stalled_streams_are_cut, slow_streams_are_not_cut,
          unframed_stream_cut_within_an_event_is_not_complete,
          framed_stream_without_its_end_is_not_complete,
          stream_that_is_reset_is_not_complete,
          stream_answer_without_content_is_complete,
          unframed_answer_is_complete_unless_reset,
          only_closed_connections_count_as_disconnects,
          crash_on_a_reused_connection_is_a_disconnect,
          long_streams_are_reported_as_sound, notices_are_reported);
