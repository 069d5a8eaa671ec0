/* Bytes that come behind an answer, before the next request is sent. */
#include "forward_world.h"
#include "test_main.h"

#include <stdio.h>
#include <string.h>

/* Answers odd requests in the framing that is set, with half a copy in the
   same segment; its rest comes when the next request on the connection has
   arrived.
 */
static void
answer_with_half_a_copy(upstream *u, int fd, int n)
{
    if (n % 2 == 0) {
        if (u->copied_to == atomic_load(&u->connections))
            send_text(u, fd, u->copy + strlen(u->copy) / 2);
        send_answer(u, fd, u->id, "");
        return;
    }
    char text[1024];
    snprintf(u->copy, sizeof(u->copy),
             "HTTP/1.1 200 OK\r\nX-Bluebellmoor-Attempt-Id: %s\r\n"
             "X-Bluebellmoor-Server-Stamp: s\r\n%s",
             u->id, u->refusal);
    u->copied_to = atomic_load(&u->connections);
    size_t len = strlen(u->copy);
    memcpy(text, u->copy, len);
    memcpy(text + len, u->copy, len / 2);
    send_bytes(u, fd, text, len + len / 2);
}

/* libcurl 7.88 drops the bytes that it has read behind an answer, and keeps
   the connection unless the answer has a length: the next answer on it was
   lost. */
START_TEST(connection_with_bytes_behind_an_answer_is_not_used_again)
{
    static const char *const ends[] = {
        "Content-Length: 2\r\n\r\nok",
        "Content-Length: 0\r\n\r\n",
        "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
    };
    bbm_forward_outcome outcomes[BBM_COUNT(ends)];
    for (size_t i = 0; i < BBM_COUNT(ends); i++) {
        fixture w;
        set_up(&w, answer_with_half_a_copy);
        w.upstream.refusal = ends[i];
        ended first = run_request(&w, false, false);
        ended second = run_request(&w, false, false);
        outcomes[i] = second.result.outcome;
        exchange_unref(first.ex);
        exchange_unref(second.ex);
        tear_down(&w);
    }
    for (size_t i = 0; i < BBM_COUNT(ends); i++)
        ck_assert_msg(outcomes[i] == BBM_FORWARD_COMPLETE, "%s: outcome %d",
                      ends[i], (int)outcomes[i]);
}
END_TEST

TEST_MAIN("excess", connection_with_bytes_behind_an_answer_is_not_used_again);
