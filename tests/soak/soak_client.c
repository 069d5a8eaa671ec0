#include "soak_world.h"

#include "bbm_mem.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* A client waits this long for an answer, the daemon knows of 5 s. */
#define CLIENT_TIMEOUT_MS 6500
#define DAEMON_TIMEOUT_MS 5000
/* A connection that is closed later than this after its request was sent whole
   has been read from. */
#define LOSS_SLACK_MS 200
#define PAUSE_MS 5
#define RECONNECT_MS 50
#define ANSWER_BYTES_MAX 16384
#define RETRIES_MAX 4
/* Of 10 requests, those after which a client of that kind closes its sending
   side, or leaves; and the longest wait before. */
#define HALF_CLOSES_OF_10 3
#define LEAVES_OF_10 2
#define HALF_CLOSE_MS_MAX 300
#define LEAVE_MS_MAX 300

typedef enum request_kind { KIND_ONCE, KIND_SAFE, KIND_STREAM } request_kind;

static const char *const kind_names[] = {"once", "safe", "stream"};

/* What a client does after it has sent a request. */
typedef enum ending { STAYS, HALF_CLOSES, LEAVES } ending;

static const char *const ending_names[] = {"stays", "half-closed", "left"};

typedef struct client {
    int number;
    int vm;
    uint16_t port;
    soak_random random;
    pthread_t thread;
    int requests;
} client;

static atomic_bool stopping;
static client *clients;
static soak_callers callers;
static int vms_len;

typedef struct sent_request {
    char id[64];       /* of this attempt */
    char order_id[64]; /* of its first attempt */
    int vm;
    request_kind kind;
    ending ending;
    int64_t sent_at;
    int64_t ended_at;
    bool kept; /* not the first request of its connection */
    char text[512];
} sent_request;

static bool
is_promise(int status)
{
    return status == 503 || status == 429 || status == 408 || status == 421;
}

static void
check_runs(const sent_request *q, int status)
{
    int count = soak_run_count(q->id);
    int order_count = soak_run_count(q->order_id);
    if (q->kind != KIND_ONCE)
        return;
    if (order_count > 1)
        soak_break("TWICE %s ran %d times, %d as %s", q->order_id, order_count,
                   count, q->id);
    if (count && is_promise(status))
        soak_break("REFUSED %s was answered %d and ran", q->id, status);
    soak_record_order(q->id, is_promise(status));
}

static bool
is_own_body(const sent_request *q, const char *body)
{
    char expected[256] = "";
    size_t len = 0;
    if (q->kind != KIND_STREAM)
        return strcmp(body, q->id) == 0;
    for (int i = 1; i <= 5; i++)
        len += (size_t)snprintf(expected + len, sizeof(expected) - len,
                                "id: %d\ndata: abc\n\n", i);
    return strcmp(body, expected) == 0;
}

/* Returns the status. */
static int
judge_answer(const sent_request *q, const char *text, const char *body)
{
    int status = 0;
    sscanf(text, "HTTP/1.1 %d", &status);
    check_runs(q, status);
    if (status == 200) {
        atomic_fetch_add(&soak_count.served, 1);
        if (q->ending == HALF_CLOSES && q->kind == KIND_ONCE)
            atomic_fetch_add(&soak_count.half_closed_served, 1);
        if (!is_own_body(q, body))
            soak_break("MIXED %s %s got: %.100s", kind_names[q->kind], q->id,
                       body);
        return status;
    }
    bool refused = status == 503 || status == 429;
    atomic_fetch_add(refused ? &soak_count.refused : &soak_count.failed, 1);
    if (status < 500 && status != 429 && status != 408)
        soak_break("DENIED %s got %d from vm-%d", q->id, status, q->vm + 1);
    return status;
}

/* The connection ended, or the time did, before a complete answer. */
static void
judge_loss(const sent_request *q, size_t received)
{
    int error = errno;
    /* An upstream records the run before it works. */
    soak_sleep_ms(20);
    int count = soak_run_count(q->id);
    check_runs(q, 0);
    bool late = q->ended_at - q->sent_at > LOSS_SLACK_MS;
    const char *end = error == 0           ? "closed"
                      : error == ETIMEDOUT ? "unanswered"
                                           : "reset";
    if (!count && !late && !received) {
        atomic_fetch_add(&soak_count.unread, 1);
        return;
    }
    /* A stream ends with its upstream's, and with a client that seems to have
       left. */
    if (q->kind == KIND_STREAM
        && (soak_upstreams_fail() || q->ending == HALF_CLOSES))
        return;
    if (soak_is_excused(q->vm, q->sent_at - LOSS_SLACK_MS, q->ended_at))
        return;
    soak_break("LOST %s at vm-%d %s %lld ms after it was sent at %lld on a "
               "%s connection, %zu bytes of an answer, ran %d times; its "
               "caller %s",
               q->id, q->vm + 1, end, (long long)(q->ended_at - q->sent_at),
               (long long)q->sent_at, q->kept ? "kept" : "new", received,
               count, ending_names[q->ending]);
}

static ending
draw_ending(client *c)
{
    if (!callers.half_close && !callers.leave)
        return STAYS;
    uint64_t n = soak_draw(&c->random, 10);
    if (callers.half_close && n < HALF_CLOSES_OF_10)
        return HALF_CLOSES;
    return callers.leave && n >= 10 - LEAVES_OF_10 ? LEAVES : STAYS;
}

/* Sends an attempt of its order, @p tries attempts after the first. */
static bool
send_attempt(client *c, int fd, sent_request *q, int tries)
{
    q->vm = c->vm;
    if (tries && callers.same_id)
        soak_record_retry(q->id);
    else
        snprintf(q->id, sizeof(q->id), "%.40s.%d", q->order_id, tries);
    snprintf(q->text, sizeof(q->text),
             "POST /%s/x HTTP/1.1\r\nHost: a.example\r\n"
             "X-Bluebellmoor-Attempt-Id: %s\r\n"
             "X-Bluebellmoor-Deadline-Ms: %d\r\nX-Work-Ms: %d\r\n"
             "Content-Length: 2\r\n\r\n{}",
             kind_names[q->kind], q->id, DAEMON_TIMEOUT_MS,
             (int)(20 + soak_draw(&c->random, 600)));
    q->sent_at = soak_now_ms();
    return soak_send(fd, q->text, strlen(q->text));
}

static bool
send_request(client *c, int fd, sent_request *q)
{
    q->kind = (request_kind)soak_draw(&c->random, 3);
    snprintf(q->order_id, sizeof(q->order_id), "c%d-%d", c->number,
             ++c->requests);
    q->ending = draw_ending(c);
    return send_attempt(c, fd, q, 0);
}

/* Sends an order whose connection has ended without a byte a second time, to
   the next VM if its own refuses connections. */
static void
resend(client *c, sent_request *q, char *text)
{
    char ip[32];
    size_t received;
    const char *body;
    if (soak_is_excused(q->vm, q->sent_at - LOSS_SLACK_MS, q->ended_at))
        return;
    int fd;
    while ((fd = soak_connect(soak_vm_ip(c->vm, ip),
                              (uint16_t)(c->port + SOAK_CALLERS)))
               < 0
           && !atomic_load(&stopping)) {
        c->vm = (c->vm + 1) % vms_len;
        soak_sleep_ms(RECONNECT_MS);
    }
    if (fd < 0)
        return;
    if (soak_send(fd, q->text, strlen(q->text))
        && soak_read_message(fd, text, ANSWER_BYTES_MAX,
                             soak_now_ms() + CLIENT_TIMEOUT_MS, &received,
                             &body))
        judge_answer(q, text, body);
    close(fd);
}

/* Tries an order again, on new connections, until it is told something else
   than that the order has not run. */
static void
retry(client *c, sent_request *q, int status, char *text)
{
    char ip[32];
    size_t received;
    const char *body;
    for (int i = 1; i <= RETRIES_MAX && is_promise(status); i++) {
        soak_sleep_ms(PAUSE_MS);
        status = 0;
        int fd = soak_connect(soak_vm_ip(c->vm, ip),
                              (uint16_t)(c->port + SOAK_CALLERS));
        if (fd < 0)
            return;
        if (send_attempt(c, fd, q, i)
            && soak_read_message(fd, text, ANSWER_BYTES_MAX,
                                 q->sent_at + CLIENT_TIMEOUT_MS, &received,
                                 &body))
            status = judge_answer(q, text, body);
        close(fd);
    }
}

/* Returns false if the client has left. */
static bool
end_sending(client *c, int fd, const sent_request *q)
{
    switch (q->ending) {
    case STAYS:
        break;
    case HALF_CLOSES:
        soak_sleep_ms((int64_t)soak_draw(&c->random, HALF_CLOSE_MS_MAX));
        shutdown(fd, SHUT_WR);
        if (q->kind == KIND_ONCE)
            atomic_fetch_add(&soak_count.half_closed_orders, 1);
        break;
    case LEAVES:
        soak_sleep_ms((int64_t)soak_draw(&c->random, LEAVE_MS_MAX));
        atomic_fetch_add(&soak_count.left, 1);
        if (q->kind == KIND_ONCE)
            soak_record_order(q->id, false);
        return false;
    }
    return true;
}

/* Returns false if the connection can't be used again. */
static bool
run_request(client *c, int fd, char *text, bool kept)
{
    sent_request q = {.kept = kept};
    const char *body;
    char value[64];
    size_t received;
    if (!send_request(c, fd, &q)) {
        atomic_fetch_add(&soak_count.unread, 1);
        return false;
    }
    if (!end_sending(c, fd, &q))
        return false;
    bool complete =
        soak_read_message(fd, text, ANSWER_BYTES_MAX,
                          q.sent_at + CLIENT_TIMEOUT_MS, &received, &body);
    q.ended_at = soak_now_ms();
    if (!complete) {
        judge_loss(&q, received);
        if (callers.resend && q.kind == KIND_ONCE && !received)
            resend(c, &q, text);
        return false;
    }
    int status = judge_answer(&q, text, body);
    if (callers.retry && q.kind == KIND_ONCE && is_promise(status)) {
        retry(c, &q, status, text);
        return false;
    }
    return q.ending == STAYS && (status == 200 || !callers.wander)
           && strcasecmp(soak_header(text, "Connection", value), "close") != 0;
}

/* Asks the directory of a random VM where to go. */
static void
wander(client *c, char *text)
{
    static const char request[] =
        "GET /-/resolve?name=a.example&region=r&zone=zone-1 HTTP/1.1\r\n"
        "Host: d\r\nConnection: close\r\n\r\n";
    static const char address[] = "127.0.2.";
    char ip[32];
    size_t received;
    const char *body;
    int asked = (int)soak_draw(&c->random, (uint64_t)vms_len);
    int fd = soak_connect(soak_vm_ip(asked, ip),
                          (uint16_t)(c->port + SOAK_DIRECTORY));
    if (fd < 0)
        return;
    bool answered =
        soak_send(fd, request, strlen(request))
        && soak_read_message(fd, text, ANSWER_BYTES_MAX, soak_now_ms() + 1000,
                             &received, &body);
    close(fd);
    uint64_t seen = 0;
    const char *at = answered ? body : "";
    while ((at = strstr(at, address)) != NULL) {
        at += strlen(address);
        int vm = (int)strtol(at, NULL, 10) - 1;
        if (soak_draw(&c->random, ++seen) == 0 && vm >= 0 && vm < vms_len)
            c->vm = vm;
    }
}

static void *
run_client(void *context)
{
    client *c = context;
    char ip[32];
    char *text = bbm_calloc(1, ANSWER_BYTES_MAX);
    while (!atomic_load(&stopping)) {
        int fd = soak_connect(soak_vm_ip(c->vm, ip),
                              (uint16_t)(c->port + SOAK_CALLERS));
        if (fd < 0) {
            atomic_fetch_add(&soak_count.unread, 1);
            soak_sleep_ms(RECONNECT_MS);
        }
        else {
            bool kept = false;
            while (!atomic_load(&stopping) && run_request(c, fd, text, kept)) {
                kept = true;
                soak_sleep_ms(PAUSE_MS);
            }
            close(fd);
            soak_sleep_ms(PAUSE_MS);
        }
        if (callers.wander)
            wander(c, text);
    }
    free(text);
    return NULL;
}

void
soak_clients_start(const soak_callers *desc, int vms, uint16_t port,
                   uint64_t seed)
{
    callers = *desc;
    vms_len = vms;
    clients = bbm_calloc((size_t)callers.count, sizeof(*clients));
    for (int i = 0; i < callers.count; i++) {
        client *c = &clients[i];
        *c = (client){.number = i,
                      .vm = i % vms,
                      .port = port,
                      .random = {seed * 1000 + (uint64_t)i}};
        if (pthread_create(&c->thread, NULL, run_client, c) != 0)
            abort();
    }
}

void
soak_clients_stop(void)
{
    atomic_store(&stopping, true);
    for (int i = 0; i < callers.count; i++)
        pthread_join(clients[i].thread, NULL);
    free(clients);
}
