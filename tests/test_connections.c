/* Which connection carries which request, against an upstream that reads each
   connection by itself and records what arrived on it. */
#include "control.h"
#include "forward.h"
#include "test_main.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define REQUESTS 4000
#define IDS 24
#define OPEN_MAX 8
/* Requests at the beginning, one after the other: the second one's connection
   brings a copy, so that the address is known to send them. */
#define FIRST_REQUESTS 2
#define BODY_BYTES 200000
#define DEADLINE (60 * BBM_SECOND)

/* ---- the upstream ---- */

typedef enum verdict {
    NOT_ARRIVED,
    REFUSED,
    RAN,
} verdict;

static struct {
    int listener;
    uint16_t port;
    atomic_int connections;
    atomic_int open;
    atomic_int sent_twice;    /* ids that came again on their connection */
    atomic_int after_refusal; /* requests on a connection that refused one */
    atomic_int without_id;    /* heads that are no request's */
    atomic_int copies;
    atomic_int verdicts[REQUESTS];
} up;

static unsigned
draw(unsigned *state, unsigned below)
{
    return (unsigned)rand_r(state) % below;
}

static void
send_text(int fd, const char *text)
{
    (void)!send(fd, text, strlen(text), MSG_NOSIGNAL);
}

/* Returns the bytes of the body that are still to be read, or -1 if the
   connection has ended. */
static long
read_head(int fd, char *head, size_t size)
{
    const char *end;
    size_t len = 0;
    do {
        ssize_t n = recv(fd, head + len, size - 1 - len, 0);
        if (n <= 0)
            return -1;
        len += (size_t)n;
        head[len] = '\0';
    } while (!(end = strstr(head, "\r\n\r\n")));
    const char *length = strstr(head, "Content-Length: ");
    long left = length && length < end ? strtol(length + 16, NULL, 10) : 0;
    return left - (long)(head + len - end - 4);
}

static bool
read_body(int fd, long left)
{
    static char block[65536];
    while (left > 0) {
        size_t len =
            (size_t)left < sizeof(block) ? (size_t)left : sizeof(block);
        ssize_t n = recv(fd, block, len, 0);
        if (n <= 0)
            return false;
        left -= n;
    }
    return left == 0;
}

/* Writes an answer: a refusal in one of several framings, or a success. */
static void
write_answer(char *text, size_t size, const char *id, bool refuses,
             unsigned *state)
{
    static const char *const refusals[] = {
        "503 Full\r\nContent-Length: 0\r\n",
        "503 Full\r\nContent-Length: 4\r\n",
        "429 Limit\r\nTransfer-Encoding: chunked\r\n",
        "421 Another\r\nContent-Length: 0\r\n",
    };
    static const char *const bodies[] = {"", "full", "4\r\nfull\r\n0\r\n\r\n",
                                         ""};
    unsigned kind = draw(state, BBM_COUNT(refusals));
    snprintf(text, size,
             "HTTP/1.1 %sX-Bluebellmoor-Attempt-Id: %s\r\n%s\r\n%s",
             refuses ? refusals[kind] : "200 OK\r\nContent-Length: 3\r\n", id,
             refuses ? "X-Bluebellmoor-Not-Executed: 1\r\n"
                     : "X-Bluebellmoor-Server-Stamp: s\r\n",
             refuses ? bodies[kind] : "ran");
}

/* Answers, refuses, hesitates or closes, also before it has read the body.  A
   copy of an earlier answer of the connection precedes some answers. */
static void *
serve(void *context)
{
    int fd = (int)(intptr_t)context;
    unsigned state = (unsigned)atomic_load(&up.connections) * 7919U + 1;
    bool seen[IDS] = {false};
    bool refused = false;
    char head[4096];
    char answer[512] = "";
    char copy[512] = "";
    long body;
    while ((body = read_head(fd, head, sizeof(head))) >= 0) {
        const char *id_header = strstr(head, "Attempt-Id: ");
        atomic_fetch_add(&up.without_id, !id_header);
        if (!id_header)
            break;
        bool early = draw(&state, 2) == 0;
        char id[32] = "";
        unsigned number = 0;
        sscanf(id_header, "Attempt-Id: %30s", id);
        sscanf(strstr(head, " /") + 2, "%u", &number);
        unsigned n = (unsigned)strtoul(id + 3, NULL, 10);
        atomic_fetch_add(&up.sent_twice, seen[n]);
        atomic_fetch_add(&up.after_refusal, refused);
        seen[n] = true;
        bool first = number < FIRST_REQUESTS;
        bool refuses = draw(&state, 3) == 0 && !first;
        if (!early && !read_body(fd, body))
            break;
        if (!refuses)
            atomic_store(&up.verdicts[number], RAN);
        else if (atomic_load(&up.verdicts[number]) == NOT_ARRIVED)
            atomic_store(&up.verdicts[number], REFUSED);
        usleep(draw(&state, 2000));
        if (draw(&state, 10) == 0 && !first)
            break;
        if (copy[0] && (draw(&state, 2) || first)) {
            atomic_fetch_add(&up.copies, 1);
            send_text(fd, copy);
        }
        if (draw(&state, 8) == 0)
            send_text(fd, "HTTP/1.1 103 Hints\r\n"
                          "X-Bluebellmoor-Not-Executed: 1\r\n\r\n");
        write_answer(answer, sizeof(answer), id, refuses, &state);
        if (strncmp(head, "HEAD", 4) == 0)
            *(strstr(answer, "\r\n\r\n") + 4) = '\0';
        if (refuses || draw(&state, 8) == 0 || first)
            memcpy(copy, answer, sizeof(copy));
        send_text(fd, answer);
        refused |= refuses;
        if (early && !read_body(fd, body))
            break;
    }
    close(fd);
    atomic_fetch_sub(&up.open, 1);
    return NULL;
}

static void *
accept_all(void *context)
{
    int fd;
    (void)context;
    while ((fd = accept(up.listener, NULL, NULL)) >= 0) {
        pthread_t thread;
        atomic_fetch_add(&up.connections, 1);
        atomic_fetch_add(&up.open, 1);
        pthread_create(&thread, NULL, serve, (void *)(intptr_t)fd);
        pthread_detach(thread);
    }
    return NULL;
}

/* ---- the requests ---- */

static exchange *
start_request(forward *f, unsigned number, unsigned *state)
{
    static char connection;
    char text[BBM_NAME_SIZE];
    exchange *ex = exchange_create(EXCHANGE_POOL, number);
    ex->connection = (void *)&connection;
    bool first = number < FIRST_REQUESTS;
    ex->method = bbm_strdup(draw(state, 4) || first ? "POST" : "HEAD");
    ex->host = bbm_strdup("h");
    if (ex->method[0] == 'P' && draw(state, 3) == 0 && !first) {
        static const char body[BODY_BYTES];
        bbm_buf_add(&ex->body, body, sizeof(body));
        ex->parsed_headers.content_length_count = 1;
    }
    snprintf(text, sizeof(text), "/%u", number);
    ex->request_target = bbm_strdup(text);
    snprintf(text, sizeof(text), "id-%u", draw(state, IDS));
    ex->parsed_headers.id = bbm_strdup(text);
    exchange_headers_add(&ex->headers, "X-Bluebellmoor-Attempt-Id", text);
    unsigned kind = draw(state, 4);
    bbm_forward_request send = {
        .request = number,
        .attempt = 1,
        .deadline = control_now() + DEADLINE,
        .priority = -1,
        .repeatable = kind & 1,
        .stream = kind & 2,
        .resumable = kind == 3,
    };
    bbm_name_set(send.upstream, "u");
    snprintf(send.address, sizeof(send.address), "127.0.0.1:%u", up.port);
    forward_start(f, ex, &send, kind == 3 ? "7" : "");
    return ex;
}

/* Returns 1 if the attempt ended as something that the upstream didn't say of
   this request. */
static int
check_end(const exchange *ex, const bbm_forward_result *end)
{
    int seen = atomic_load(&up.verdicts[end->request]);
    if (end->outcome == BBM_FORWARD_COMPLETE)
        return seen != RAN;
    bool promised = end->outcome == BBM_FORWARD_NOT_RUN && ex->sends == 0;
    return (promised || end->outcome == BBM_FORWARD_UNSENT) && seen == RAN;
}

/* REFUSED and TWICE: requests come again under their ids, in all orders, to an
   upstream that closes, refuses and copies its answers. */
START_TEST(an_id_is_sent_once_on_a_connection)
{
    static exchange *open[REQUESTS];
    struct sockaddr_in address = {.sin_family = AF_INET};
    socklen_t len = sizeof(address);
    unsigned state = 58;
    unsigned started = 0, ended = 0, outcomes[8] = {0};
    int wrong = 0;
    pthread_t thread;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    up.listener = socket(AF_INET, SOCK_STREAM, 0);
    ck_assert_int_eq(bind(up.listener, (void *)&address, sizeof(address)), 0);
    ck_assert_int_eq(listen(up.listener, 64), 0);
    getsockname(up.listener, (void *)&address, &len);
    up.port = ntohs(address.sin_port);
    pthread_create(&thread, NULL, accept_all, NULL);
    static const uint8_t secret[BBM_DIGEST_SIZE] = {7};
    mailbox *control = mailbox_create(256);
    forward *f = forward_create(control, secret);
    while (ended < REQUESTS) {
        unsigned open_max = started < FIRST_REQUESTS ? 1 : OPEN_MAX;
        if (started < REQUESTS && started - ended < open_max) {
            open[started] = start_request(f, started, &state);
            /* A client that leaves: its attempt is cancelled. */
            if (draw(&state, 20) == 0 && started >= FIRST_REQUESTS) {
                usleep(draw(&state, 1500));
                forward_cancel(f, started);
                exchange_unref(open[started]);
                open[started] = NULL;
                ended++;
            }
            started++;
            continue;
        }
        control_item *item = mailbox_take(control);
        if (!item) {
            mailbox_wait(control, 10);
            continue;
        }
        if (item->kind == CONTROL_FORWARD_FINISHED
            && open[item->forwarded.request]) {
            exchange **ex = &open[item->forwarded.request];
            wrong += check_end(*ex, &item->forwarded);
            outcomes[item->forwarded.outcome]++;
            exchange_unref(*ex);
            *ex = NULL;
            ended++;
        }
        control_item_destroy(item);
    }
    forward_stop(f);
    forward_destroy(f);
    shutdown(up.listener, SHUT_RDWR);
    pthread_join(thread, NULL);
    close(up.listener);
    for (int i = 0; atomic_load(&up.open) && i < 1000; i++)
        usleep(1000);
    control_item *item;
    while ((item = mailbox_take(control)) != NULL)
        control_item_destroy(item);
    mailbox_destroy(control);
    printf("%d connections, %d copies, whole %u, not run %u, unsent %u, "
           "failed %u, no answer %u, cut %u\n",
           atomic_load(&up.connections), atomic_load(&up.copies),
           outcomes[BBM_FORWARD_COMPLETE], outcomes[BBM_FORWARD_NOT_RUN],
           outcomes[BBM_FORWARD_UNSENT], outcomes[BBM_FORWARD_FAILED],
           outcomes[BBM_FORWARD_NO_ANSWER], outcomes[BBM_FORWARD_TRUNCATED]);
    ck_assert_int_gt(atomic_load(&up.copies), 0);
    ck_assert_int_eq(wrong, 0);
    ck_assert_int_eq(atomic_load(&up.without_id), 0);
    ck_assert_int_eq(atomic_load(&up.sent_twice), 0);
    ck_assert_int_eq(atomic_load(&up.after_refusal), 0);
}
END_TEST

TEST_MAIN("connections", an_id_is_sent_once_on_a_connection);
