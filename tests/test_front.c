/* A client's connection from end to end: a front, the forwarding thread, and
   an upstream that answers as the test says.  The test stands for control. */
#include "bbm_codes.h"
#include "control.h"
#include "forward.h"
#include "front.h"
#include "test_main.h"

#include <arpa/inet.h>
#include <poll.h>
#include <pthread.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define FRONT_ADDRESS "127.0.0.1:17691"
#define FRONT_PORT 17691
#define MESSAGE_BYTES_MAX ((size_t)128 * 1024)
#define HEADER_VALUE_BYTES_MAX 4096

static const uint8_t secret[BBM_DIGEST_SIZE] = {5};

typedef struct fixture {
    char address[BBM_ADDRESS_SIZE];
    char no_file[1];
    bbm_settings settings;
    atomic_bool closing;
    atomic_bool ready;
    atomic_llong last_tick;
    atomic_ullong next_id;
    front_limits limits;
    mailbox *box;
    front *front;
    forward *forward;
    int listener;
    uint16_t upstream_port;
    pthread_t upstream;
    atomic_int runs;
    size_t answer_headers; /* that the upstream adds to its answer */
    size_t answer_value_len;
} fixture;

static void
add_headers(bbm_buf *out, const char *name, size_t count, size_t value_len)
{
    char value[HEADER_VALUE_BYTES_MAX + 1] = "";
    char line[HEADER_VALUE_BYTES_MAX + 64];
    memset(value, 'v', value_len);
    for (size_t i = 0; i < count; i++) {
        int len =
            snprintf(line, sizeof(line), "%s-%zu: %s\r\n", name, i, value);
        bbm_buf_add(out, line, (size_t)len);
    }
}

static void
add_text(bbm_buf *out, const char *text)
{
    bbm_buf_add(out, text, strlen(text));
}

/* Reads until the bytes hold the end of a head, and @p body_len more. */
static size_t
read_message(int fd, char *text, size_t body_len)
{
    size_t len = 0;
    text[0] = '\0';
    for (;;) {
        const char *end = strstr(text, "\r\n\r\n");
        if (end && len >= (size_t)(end - text) + 4 + body_len)
            return len;
        ssize_t n = recv(fd, text + len, MESSAGE_BYTES_MAX - 1 - len, 0);
        if (n <= 0)
            return len;
        len += (size_t)n;
        text[len] = '\0';
    }
}

static void *
run_upstream(void *context)
{
    fixture *w = context;
    char *text = bbm_calloc(1, MESSAGE_BYTES_MAX);
    int fd;
    while ((fd = accept(w->listener, NULL, NULL)) >= 0) {
        read_message(fd, text, 2);
        atomic_fetch_add(&w->runs, 1);
        bbm_buf out = {0};
        add_text(&out, "HTTP/1.1 200 OK\r\nX-Bluebellmoor-Attempt-Id: a\r\n"
                       "X-Bluebellmoor-Server-Stamp: s\r\n"
                       "Connection: close\r\n");
        add_headers(&out, "X-A", w->answer_headers, w->answer_value_len);
        add_text(&out, "Content-Length: 2\r\n\r\nok");
        (void)!send(fd, out.data, out.len, MSG_NOSIGNAL);
        bbm_buf_free(&out);
        close(fd);
    }
    free(text);
    return NULL;
}

static void
set_up(fixture *w)
{
    struct sockaddr_in to = {.sin_family = AF_INET,
                             .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    socklen_t len = sizeof(to);
    *w = (fixture){.address = FRONT_ADDRESS};
    w->listener = socket(AF_INET, SOCK_STREAM, 0);
    ck_assert_int_eq(bind(w->listener, (void *)&to, sizeof(to)), 0);
    ck_assert_int_eq(listen(w->listener, 16), 0);
    getsockname(w->listener, (void *)&to, &len);
    w->upstream_port = ntohs(to.sin_port);
    pthread_create(&w->upstream, NULL, run_upstream, w);
    w->settings = (bbm_settings){.caller_threads = 1,
                                 .connections_most = 100,
                                 .per_address_most = 100,
                                 .idle_s = 30,
                                 .body_most = 65536,
                                 .tls_cert_file = w->no_file,
                                 .tls_key_file = w->no_file};
    w->box = mailbox_create(256);
    w->forward = forward_create(w->box, secret);
    w->front = front_create(&(front_desc){.settings = &w->settings,
                                          .kind = FRONT_POOL_CALLERS,
                                          .address = w->address,
                                          .closing = &w->closing,
                                          .limits = &w->limits,
                                          .key_secret = secret,
                                          .ready = &w->ready,
                                          .last_tick = &w->last_tick,
                                          .next_id = &w->next_id,
                                          .control_mailbox = w->box});
    ck_assert_ptr_nonnull(w->front);
}

static void
tear_down(fixture *w)
{
    front_reject_requests(w->front);
    forward_stop(w->forward);
    front_destroy(w->front);
    forward_destroy(w->forward);
    shutdown(w->listener, SHUT_RDWR);
    pthread_join(w->upstream, NULL);
    close(w->listener);
    control_item *item;
    while ((item = mailbox_take(w->box)) != NULL)
        control_item_destroy(item);
    mailbox_destroy(w->box);
}

/* Sends the request on as one that may run once. */
static void
start_attempt(const fixture *w, exchange *ex)
{
    bbm_forward_request send = {.request = ex->id,
                                .attempt = 1,
                                .upstream = "i-1",
                                .priority = -1,
                                .deadline = control_now() + 5 * BBM_SECOND};
    snprintf(send.address, sizeof(send.address), "127.0.0.1:%d",
             w->upstream_port);
    forward_start(w->forward, ex, &send, "");
}

static bool
is_readable(int fd)
{
    struct pollfd p = {.fd = fd, .events = POLLIN};
    return poll(&p, 1, 0) > 0;
}

/* Plays control until the attempt has ended, the client @p fd has an answer,
   or 2 s have passed. */
static void
play_control(const fixture *w, int fd)
{
    exchange *open = NULL;
    bbm_time until = control_now() + 2 * BBM_SECOND;
    bool ended = false;
    while (!ended && !is_readable(fd) && control_now() < until) {
        mailbox_wait(w->box, 20);
        control_item *item;
        while ((item = mailbox_take(w->box)) != NULL) {
            if (item->kind == CONTROL_EXCHANGE) {
                open = exchange_ref(item->ex);
                start_attempt(w, open);
            }
            /* The end of the attempt before may still come. */
            bool finished = item->kind == CONTROL_FORWARD_FINISHED && open
                            && item->id == open->id;
            ended = ended || finished;
            if (finished && item->forwarded.outcome != BBM_FORWARD_COMPLETE)
                exchange_fail(open, BBM_ERR_UPSTREAM, 0);
            control_item_destroy(item);
        }
    }
    exchange_unref(open);
}

/* Sends an order with more headers.  Returns the status of the answer; 0: the
   connection was closed without one. */
static int
send_order(const fixture *w, size_t headers, size_t value_len)
{
    struct sockaddr_in to = {.sin_family = AF_INET,
                             .sin_port = htons(FRONT_PORT),
                             .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    struct timeval timeout = {.tv_sec = 3};
    BBM_AUTO_FREE char *text = bbm_calloc(1, MESSAGE_BYTES_MAX);
    bbm_buf out = {0};
    int status = 0;
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
    ck_assert_int_eq(connect(fd, (void *)&to, sizeof(to)), 0);
    add_text(&out, "POST /once/x HTTP/1.1\r\nHost: a.example\r\n"
                   "X-Bluebellmoor-Attempt-Id: a\r\n");
    add_headers(&out, "X-R", headers, value_len);
    add_text(&out, "Content-Length: 2\r\n\r\n{}");
    ck_assert_int_eq(send(fd, out.data, out.len, MSG_NOSIGNAL),
                     (ssize_t)out.len);
    bbm_buf_free(&out);
    play_control(w, fd);
    read_message(fd, text, 0);
    sscanf(text, "HTTP/1.1 %d", &status);
    close(fd);
    return status;
}

/* LOST, and TWICE with callers that resend: the connection was closed without
   a byte where the heads of request and answer together were too long. */
START_TEST(order_whose_answer_has_a_long_head_is_answered)
{
    static const struct {
        size_t headers;
        size_t value_len;
    } heads[] = {{0, 0},    {1, 4000},  {2, 4000}, {3, 4000},
                 {5, 4000}, {12, 4000}, {50, 60},  {100, 60},
                 {160, 60}, {200, 4},   {900, 20}};
    fixture w;
    set_up(&w);
    for (size_t i = 0; i < BBM_COUNT(heads); i++) {
        for (size_t j = 0; j < BBM_COUNT(heads); j++) {
            int before = atomic_load(&w.runs);
            w.answer_headers = heads[j].headers;
            w.answer_value_len = heads[j].value_len;
            int status = send_order(&w, heads[i].headers, heads[i].value_len);
            bool ran = atomic_load(&w.runs) > before;
            ck_assert_msg(status != 0, "request %zu x %zu, answer %zu x %zu",
                          heads[i].headers, heads[i].value_len,
                          heads[j].headers, heads[j].value_len);
            ck_assert(ran ? status == 200 || status == 502
                          : status == 431 || status == 414);
            /* Heads of usual length are delivered. */
            if (heads[i].headers <= 2 && heads[j].headers <= 2)
                ck_assert_int_eq(status, 200);
        }
    }
    tear_down(&w);
}
END_TEST

TEST_MAIN("front", order_whose_answer_has_a_long_head_is_answered);
