#include "soak_judge.h"

#include "bbm_mem.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* A client waits this long for an answer, the daemon knows of 5 s. */
#define CLIENT_TIMEOUT_MS 6500
#define DAEMON_TIMEOUT_MS 5000
#define LOSS_SLACK_MS 200
#define PAUSE_MS 5
#define RECONNECT_MS 50
#define ANSWER_BYTES_MAX 16384
#define RETRIES_MAX 4
#define RETRY_MS_MAX 300
/* Of 10 requests, those after which a client of that kind closes its sending
   side, or leaves; and the longest wait before. */
#define HALF_CLOSES_OF_10 3
#define LEAVES_OF_10 2
#define HALF_CLOSE_MS_MAX 300
#define LEAVE_MS_MAX 300

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

/* Half of the requests are short, so that connections are soon used again. */
static int
draw_work_ms(client *c)
{
    bool is_short = soak_draw(&c->random, 2) == 0;
    return (int)(20 + soak_draw(&c->random, is_short ? 60 : 600));
}

/* Sends an attempt, @p tries attempts after the first. */
static bool
send_attempt(client *c, int fd, sent_request *q, int tries)
{
    char resumption[160] = "";
    q->vm = c->vm;
    snprintf(q->attempt, sizeof(q->attempt), "%.40s.%d", q->order, tries);
    if (!tries || !callers.same_id)
        memcpy(q->id, q->attempt, sizeof(q->id));
    q->resumes = q->stream.last > 0;
    if (q->resumes)
        snprintf(resumption, sizeof(resumption),
                 "Last-Event-Id: %d\r\nResumes: %s\r\n", q->stream.last,
                 q->stream.first_id);
    snprintf(q->text, sizeof(q->text),
             "POST /%s/%s HTTP/1.1\r\nHost: a.example\r\n"
             "X-Bluebellmoor-Attempt-Id: %s\r\nX-Soak-Attempt: %s\r\n"
             "X-Soak-Vm: %d\r\n"
             "X-Bluebellmoor-Deadline-Ms: %d\r\nX-Work-Ms: %d\r\n"
             "%sContent-Length: 2\r\n\r\n{}",
             soak_kind_names[q->kind], q->order, q->id, q->attempt, q->vm,
             DAEMON_TIMEOUT_MS, draw_work_ms(c), resumption);
    q->sent_at = soak_now_ms();
    atomic_fetch_add(&soak_count.retries, tries > 0);
    atomic_fetch_add(&soak_count.resumed, q->resumes);
    return soak_send(fd, q->text, strlen(q->text));
}

static bool
send_request(client *c, int fd, sent_request *q)
{
    q->kind = (request_kind)soak_draw(&c->random, KINDS);
    snprintf(q->order, sizeof(q->order), "c%d-%d", c->number, ++c->requests);
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
        soak_judge_answer(q, text, body);
    close(fd);
}

/* True if a request is tried again after a status; 0: no whole answer. */
static bool
may_retry(const sent_request *q, int status)
{
    if (q->stream.last)
        return callers.resume && q->kind == KIND_STREAM && status != 200;
    if (soak_runs_once(q->kind))
        return callers.retry && soak_is_promise(status);
    return callers.retry && status != 200;
}

/* Reads and judges an answer.  Returns its status, 0 if it isn't whole. */
static int
read_answer(int fd, sent_request *q, char *text, size_t *received)
{
    const char *body;
    bool complete =
        soak_read_message(fd, text, ANSWER_BYTES_MAX,
                          q->sent_at + CLIENT_TIMEOUT_MS, received, &body);
    q->ended_at = soak_now_ms();
    if (complete)
        return soak_judge_answer(q, text, body);
    soak_judge_loss(q, text, *received);
    return 0;
}

/* Tries a request again, on new connections. */
static void
retry(client *c, sent_request *q, int status, char *text)
{
    char ip[32];
    size_t received;
    q->ending = STAYS;
    q->kept = false;
    for (int i = 1; i <= RETRIES_MAX && may_retry(q, status); i++) {
        soak_sleep_ms(soak_draw(&c->random, 2)
                          ? PAUSE_MS
                          : (int64_t)soak_draw(&c->random, RETRY_MS_MAX));
        if (callers.wander)
            c->vm = (int)soak_draw(&c->random, (uint64_t)vms_len);
        int fd = soak_connect(soak_vm_ip(c->vm, ip),
                              (uint16_t)(c->port + SOAK_CALLERS));
        if (fd < 0) {
            atomic_fetch_add(&soak_count.unread, 1);
            continue;
        }
        /* Without the end of its body a request isn't forwarded. */
        status = send_attempt(c, fd, q, i)
                     ? read_answer(fd, q, text, &received)
                     : 0;
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
        if (soak_runs_once(q->kind))
            soak_record_attempt(q->attempt, SOAK_ANSWERED);
        return false;
    }
    return true;
}

/* Returns false if the connection can't be used again. */
static bool
run_request(client *c, int fd, char *text, bool kept)
{
    sent_request q = {.kept = kept};
    char value[64];
    size_t received;
    if (!send_request(c, fd, &q)) {
        atomic_fetch_add(&soak_count.unread, 1);
        return false;
    }
    if (!end_sending(c, fd, &q))
        return false;
    int status = read_answer(fd, &q, text, &received);
    if (!status && callers.resend && q.kind == KIND_ONCE && !received)
        resend(c, &q, text);
    if (may_retry(&q, status)) {
        retry(c, &q, status, text);
        return false;
    }
    if (!status)
        return false;
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
