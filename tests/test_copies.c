/* Copies of refusals: none is taken for an answer, and no more than the first
   one of an upstream takes an answer's place. */
#include "forward_world.h"
#include "test_main.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Refuses odd requests.  Even ones are answered, on the connection of the last
   refusal behind a copy of it. */
static void
refuse_then_copy(upstream *u, int fd, int n)
{
    if (n % 2) {
        snprintf(u->copy, sizeof(u->copy),
                 "HTTP/1.1 %s\r\nX-Bluebellmoor-Attempt-Id: %s\r\n"
                 "Content-Length: 0\r\n\r\n",
                 u->refusal, u->id);
        u->copied_to = atomic_load(&u->connections);
        send_text(u, fd, u->copy);
        return;
    }
    if (u->copied_to == atomic_load(&u->connections))
        send_text(u, fd, u->copy);
    send_answer(u, fd, u->id, "");
}

/* Status lines, and headers, of answers that say that a request has not run.
 */
static const char *const refusals[] = {
    "503 Full\r\nX-Bluebellmoor-Not-Executed: 1",
    "429 Limit\r\nX-Bluebellmoor-Not-Executed: 1",
    "408 Late\r\nX-Bluebellmoor-Not-Executed: 1",
    "400 No\r\nX-Bluebellmoor-Not-Executed: 1",
    "421 Another",
};

/* The last event of a stream that is resumed; "": not resumed. */
static void
check_refused_again(const bbm_forward_request *kind, const char *refusal,
                    const char *last_event)
{
    fixture w;
    set_up(&w, refuse_then_copy);
    w.upstream.refusal = refusal;
    ended first = run_attempt(&w, kind, last_event);
    ck_assert_uint_eq(first.result.status, strtoul(refusal, NULL, 10));
    exchange_unref(first.ex);
    w.requests = 0;
    ended second = run_attempt(&w, kind, last_event);
    ck_assert_int_eq(atomic_load(&w.upstream.requests), 2);
    ck_assert_msg(second.result.status == 200, "%s: the copy was taken",
                  refusal);
    exchange_unref(second.ex);
    tear_down(&w);
}

START_TEST(copied_refusal_is_not_believed_when_a_request_is_sent_again)
{
    static const bbm_forward_request order = {0};
    static const bbm_forward_request relayed = {.relay = true};
    for (size_t i = 0; i < BBM_COUNT(refusals); i++) {
        check_refused_again(&order, refusals[i], "");
        check_refused_again(&plain_stream, refusals[i], "");
        check_refused_again(&resumable_stream, refusals[i], "7");
        check_refused_again(&relayed, refusals[i], "");
    }
}
END_TEST

/* Sends a request that gets a copy in place of its answer, so that the
   upstream's address is known to send copies. */
static void
receive_copy(fixture *w)
{
    ended first = run_request(w, false, false);
    exchange_unref(first.ex);
    ended second = run_request(w, false, false);
    check_nothing_passed(&second);
}

START_TEST(copied_refusal_takes_one_answers_place_at_most)
{
    for (size_t i = 0; i < BBM_COUNT(refusals); i++) {
        fixture w;
        set_up(&w, refuse_then_copy);
        w.upstream.refusal = refusals[i];
        receive_copy(&w);
        for (int n = 0; n < 5; n++) {
            ended refused = run_request(&w, false, false);
            check_nothing_passed(&refused);
            ended next = run_request(&w, false, false);
            check_whole(&next);
        }
        tear_down(&w);
    }
}
END_TEST

static void
refuse_each(upstream *u, int fd, int n)
{
    (void)n;
    dprintf(fd,
            "HTTP/1.1 503 Full\r\nX-Bluebellmoor-Attempt-Id: %s\r\n"
            "X-Bluebellmoor-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
            u->id);
}

/* An upstream that refuses is full, and may reset a further connection. */
START_TEST(refusals_open_no_connections_where_none_was_copied)
{
    fixture w;
    set_up(&w, refuse_each);
    for (int i = 0; i < 20; i++) {
        ended e = run_request(&w, false, false);
        ck_assert_int_eq(e.result.outcome, BBM_FORWARD_NOT_RUN);
        check_nothing_passed(&e);
    }
    ck_assert_int_eq(atomic_load(&w.upstream.connections), 1);
    tear_down(&w);
}
END_TEST

/* Refusals in all framings; %s is the id. */
static const char *const framings[] = {
    "HTTP/1.1 503 Full\r\nX-Bluebellmoor-Attempt-Id: %s\r\n"
    "X-Bluebellmoor-Not-Executed: 1\r\nContent-Length: 4\r\n\r\nfull",
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\n\r\n"
    "HTTP/1.1 503 Full\r\nX-Bluebellmoor-Attempt-Id: %s\r\n"
    "X-Bluebellmoor-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 429 Limit\r\nX-Bluebellmoor-Attempt-Id: %s\r\n"
    "X-Bluebellmoor-Not-Executed: 1\r\nTransfer-Encoding: chunked\r\n"
    "Trailer: X-More\r\n\r\n4\r\nfull\r\n0\r\nX-More: 1\r\n\r\n",
    "HTTP/1.0 503 Full\r\nX-Bluebellmoor-Attempt-Id: %s\r\n"
    "X-Bluebellmoor-Not-Executed: 1\r\nConnection: keep-alive\r\n"
    "Content-Length: 0\r\n\r\n",
    "HTTP/1.1 421 Another\r\nX-Bluebellmoor-Attempt-Id: %s\r\n"
    "Content-Length: 400\r\n\r\npart of the body",
};

/* Answers the first two requests with a copy between them; then refuses odd
   requests in the framing that is set. */
static void
refuse_in_framing(upstream *u, int fd, int n)
{
    if (n == 2)
        send_answer(u, fd, "another", "");
    if (n > 2 && n % 2)
        dprintf(fd, u->refusal, u->id);
    else
        send_answer(u, fd, u->id, "");
}

/* Returns true if the framing is taken for a refusal, and the next request
   goes out on another connection. */
static bool
is_taken_for_a_refusal(const char *framing)
{
    fixture w;
    set_up(&w, refuse_in_framing);
    w.upstream.refusal = framing;
    receive_copy(&w);
    int before = atomic_load(&w.upstream.connections);
    ended first = run_request(&w, false, false);
    bool not_run = first.result.outcome == BBM_FORWARD_NOT_RUN;
    check_nothing_passed(&first);
    ended second = run_request(&w, false, false);
    check_whole(&second);
    int connections = atomic_load(&w.upstream.connections);
    tear_down(&w);
    return not_run && connections == before + 2;
}

/* The refusal's copy took the place of the next answer on its connection. */
START_TEST(connection_of_a_refusal_is_not_used_again)
{
    for (size_t i = 0; i < BBM_COUNT(framings); i++)
        ck_assert_msg(is_taken_for_a_refusal(framings[i]), "%s", framings[i]);
}
END_TEST

/* libcurl takes a line feed alone for the end of a line, and its connection
   was kept. */
START_TEST(refusal_with_bare_line_feeds_is_a_refusal)
{
    ck_assert(is_taken_for_a_refusal(
        "HTTP/1.1 503 Full\nX-Bluebellmoor-Attempt-Id: %s\n"
        "X-Bluebellmoor-Not-Executed: 1\nContent-Length: 0\n\n"));
}
END_TEST

TEST_MAIN("copies",
          copied_refusal_is_not_believed_when_a_request_is_sent_again,
          copied_refusal_takes_one_answers_place_at_most,
          refusals_open_no_connections_where_none_was_copied,
          connection_of_a_refusal_is_not_used_again,
          refusal_with_bare_line_feeds_is_a_refusal);
