#include "soak_world.h"

#include "bbm_mem.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>
#include <uthash.h>

#define EXCUSES_MAX 4096
#define MESSAGE_BYTES_MAX 65536

soak_counts soak_count;

/* ---- numbers, time, sockets ---- */

uint64_t
soak_draw(soak_random *r, uint64_t below)
{
    r->state += 0x9e3779b97f4a7c15u;
    uint64_t z = r->state;
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9u;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebu;
    return (z ^ (z >> 31)) % below;
}

int64_t
soak_now_ms(void)
{
    struct timespec ts;
    clock_gettime(CLOCK_MONOTONIC, &ts);
    return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

void
soak_sleep_ms(int64_t ms)
{
    if (ms > 0)
        usleep((useconds_t)(ms * 1000));
}

const char *
soak_vm_ip(int vm, char text[32])
{
    snprintf(text, 32, "127.0.2.%d", vm + 1);
    return text;
}

int
soak_connect(const char *ip, uint16_t port)
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons(port)};
    inet_pton(AF_INET, ip, &address.sin_addr);
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    struct timeval timeout = {.tv_sec = 1};
    int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof(timeout));
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    if (connect(fd, (void *)&address, sizeof(address)) == 0)
        return fd;
    close(fd);
    return -1;
}

bool
soak_send(int fd, const char *data, size_t len)
{
    while (len) {
        ssize_t n = send(fd, data, len, MSG_NOSIGNAL);
        if (n <= 0)
            return false;
        data += n;
        len -= (size_t)n;
    }
    return true;
}

/* ---- messages ---- */

const char *
soak_header(const char *text, const char *name, char value[64])
{
    char line[96];
    snprintf(line, sizeof(line), "\r\n%s: ", name);
    const char *found = strcasestr(text, line);
    value[0] = '\0';
    if (found)
        sscanf(found + strlen(line), "%63[^\r\n]", value);
    return value;
}

/* Removes the framing of chunks in place.  Returns false if the last chunk is
   missing. */
static bool
join_chunks(char *body)
{
    char *from = body;
    char *to = body;
    for (;;) {
        char *end = strstr(from, "\r\n");
        if (!end)
            return false;
        size_t len = strtoul(from, NULL, 16);
        from = end + 2;
        if (strlen(from) < len + 2)
            return false;
        memmove(to, from, len);
        to += len;
        from += len + 2;
        if (len == 0) {
            *to = '\0';
            return true;
        }
    }
}

static bool
is_complete(char *text, const char **body)
{
    char value[64];
    char *end = strstr(text, "\r\n\r\n");
    if (!end)
        return false;
    *body = end + 4;
    if (soak_header(text, "Transfer-Encoding", value)[0]) {
        size_t len = strlen(*body);
        return len >= 5 && strcmp(*body + len - 5, "0\r\n\r\n") == 0
               && join_chunks(end + 4);
    }
    size_t expected =
        strtoul(soak_header(text, "Content-Length", value), NULL, 10);
    return strlen(*body) >= expected;
}

bool
soak_read_message(int fd, char *text, size_t size, int64_t until_ms,
                  size_t *received, const char **body)
{
    size_t len = 0;
    text[0] = '\0';
    *received = 0;
    for (;;) {
        int64_t left = until_ms - soak_now_ms();
        struct pollfd p = {.fd = fd, .events = POLLIN};
        errno = ETIMEDOUT;
        if (left <= 0 || len + 1 == size || poll(&p, 1, (int)left) <= 0)
            return false;
        errno = 0;
        ssize_t n = recv(fd, text + len, size - 1 - len, 0);
        if (n <= 0)
            return false;
        len += (size_t)n;
        text[len] = '\0';
        *received = len;
        if (is_complete(text, body))
            return true;
    }
}

/* ---- upstreams ---- */

typedef struct run_count {
    char id[64];
    int count;
    UT_hash_handle hh;
} run_count;

typedef struct order {
    char id[64];
    bool promised; /* its client was told that it has not run */
    UT_hash_handle hh;
} order;

static pthread_mutex_t runs_lock = PTHREAD_MUTEX_INITIALIZER;
static run_count *runs;
static order *orders;
static uint16_t first_port;
static soak_upstreams upstreams;
static int64_t upstreams_started_ms;
static atomic_ullong upstream_requests;

static void
count_run(const char *id)
{
    run_count *r = NULL;
    HASH_FIND_STR(runs, id, r);
    if (!r) {
        r = bbm_calloc(1, sizeof(*r));
        bbm_text_set(r->id, sizeof(r->id), id);
        HASH_ADD_STR(runs, id, r);
    }
    r->count++;
}

static void
record_run(const char *id)
{
    char order_id[64];
    bbm_text_set(order_id, sizeof(order_id), id);
    char *point = strchr(order_id, '.');
    pthread_mutex_lock(&runs_lock);
    count_run(id);
    if (point) {
        *point = '\0';
        count_run(order_id);
    }
    pthread_mutex_unlock(&runs_lock);
}

int
soak_run_count(const char *id)
{
    run_count *r = NULL;
    pthread_mutex_lock(&runs_lock);
    HASH_FIND_STR(runs, id, r);
    int count = r ? r->count : 0;
    pthread_mutex_unlock(&runs_lock);
    return count;
}

void
soak_record_order(const char *id, bool promised)
{
    order *o = NULL;
    pthread_mutex_lock(&runs_lock);
    HASH_FIND_STR(orders, id, o);
    if (!o) {
        o = bbm_calloc(1, sizeof(*o));
        bbm_text_set(o->id, sizeof(o->id), id);
        HASH_ADD_STR(orders, id, o);
    }
    /* One that is sent again has two answers. */
    o->promised = o->promised || promised;
    pthread_mutex_unlock(&runs_lock);
}

void
soak_record_retry(const char *id)
{
    order *o = NULL;
    pthread_mutex_lock(&runs_lock);
    HASH_FIND_STR(orders, id, o);
    if (o)
        o->promised = false;
    pthread_mutex_unlock(&runs_lock);
}

void
soak_check_orders(void)
{
    int promised = 0;
    int ran = 0;
    for (const order *o = orders; o; o = o->hh.next) {
        int count = soak_run_count(o->id);
        promised += o->promised;
        ran += count > 0;
        if (count > 1)
            soak_break("TWICE %s ran %d times by the end", o->id, count);
        if (o->promised && count)
            soak_break("REFUSED %s ran by the end", o->id);
    }
    printf("orders: %u, of which %d ran (could break TWICE) and %d were "
           "promised not to run (could break REFUSED)\n",
           HASH_COUNT(orders), ran, promised);
}

/* How often an upstream has started again, @p ago_ms ago.  They do so one
   after the other. */
static int
restarts(int upstream, int64_t ago_ms)
{
    int64_t ms = soak_now_ms() - ago_ms - upstreams_started_ms
                 + upstream * SOAK_RESTART_MS / SOAK_UPSTREAMS;
    return upstreams.restart && ms > 0 ? (int)(ms / SOAK_RESTART_MS) : 0;
}

/* The list shows a new id 200 ms late, and the one before for a second more.
 */
static void
send_list(int fd)
{
    char list[2048] = "";
    char text[2560];
    size_t len = 0;
    for (int i = 1; i <= SOAK_UPSTREAMS; i++) {
        for (int n = restarts(i, 1200); n <= restarts(i, 200); n++)
            len += (size_t)snprintf(
                list + len, sizeof(list) - len,
                "%s{\"id\":\"i-%d-%d\",\"service\":\"api\",\"address\":"
                "\"127.0.0.1:%d\",\"zone\":\"zone-1\",\"version\":\"v1\","
                "\"state\":\"ready\",\"slots\":64}",
                len ? "," : "", i, n, first_port + i);
    }
    snprintf(text, sizeof(text),
             "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
             "Content-Length: %zu\r\n\r\n{\"instances\":[%s]}",
             len + strlen("{\"instances\":[]}"), list);
    soak_send(fd, text, strlen(text));
}

/* A stream of five events; any other answer's body is its id. */
static bool
send_answer(int fd, const char *id, bool stream, int64_t work_ms, int after)
{
    char text[512];
    if (!stream) {
        soak_sleep_ms(work_ms);
        snprintf(text, sizeof(text),
                 "HTTP/1.1 200 OK\r\nX-Bluebellmoor-Attempt-Id: %s\r\n"
                 "X-Bluebellmoor-Server-Stamp: s\r\nContent-Length: %zu\r\n"
                 "\r\n%s",
                 id, strlen(id), id);
        return soak_send(fd, text, strlen(text));
    }
    snprintf(text, sizeof(text),
             "HTTP/1.1 200 OK\r\nX-Bluebellmoor-Attempt-Id: %s\r\n"
             "X-Bluebellmoor-Server-Stamp: s\r\n"
             "Content-Type: text/event-stream\r\n"
             "Transfer-Encoding: chunked\r\n\r\n",
             id);
    bool sent = soak_send(fd, text, strlen(text));
    for (int i = after + 1; i <= 5 && sent; i++) {
        soak_sleep_ms(work_ms / 5);
        snprintf(text, sizeof(text), "11\r\nid: %d\ndata: abc\n\n\r\n", i);
        sent = soak_send(fd, text, strlen(text));
    }
    return sent && soak_send(fd, "0\r\n\r\n", 5);
}

/* What a faulty upstream does with a request instead of answering it. */
typedef enum fault {
    FAULT_NONE,
    FAULT_NOT_RUN,      /* refuses it, and says so */
    FAULT_WRONG_TARGET, /* 421 */
    FAULT_RESET,        /* runs it, and resets the connection */
    FAULT_CLOSE,        /* runs it, and closes */
    FAULT_CUT_HEAD,     /* runs it, and closes within the head */
    FAULT_ERROR,        /* runs it, and answers 500 */
    FAULT_BARE_503,     /* runs it, and answers 503 all the same */
    FAULT_SLOW,         /* runs it for longer */
    FAULTS
} fault;

/* One request in three is played a fault, each kind as often; or one in five
   is refused. */
static fault
draw_fault(void)
{
    soak_random r = {atomic_fetch_add(&upstream_requests, 1)};
    uint64_t n = soak_draw(&r, 3 * (uint64_t)(FAULTS - 1));
    if (upstreams.faulty && n < FAULTS - 1)
        return (fault)(n + 1);
    return upstreams.refuse && soak_draw(&r, 5) == 0 ? FAULT_NOT_RUN
                                                     : FAULT_NONE;
}

static void
format_status(char text[512], const char *id, const char *status,
              const char *more)
{
    snprintf(text, 512,
             "HTTP/1.1 %s\r\nX-Bluebellmoor-Attempt-Id: %s\r\n%s"
             "Content-Length: 0\r\n\r\n",
             status, id, more);
}

static void
send_status(int fd, const char *id, const char *status, const char *more)
{
    char text[512];
    format_status(text, id, status, more);
    soak_send(fd, text, strlen(text));
}

/* Returns false if the connection is to be closed; *work_ms is prolonged by
   FAULT_SLOW, which goes on as if there were no fault.  @p refusal receives a
   refusal's text. */
static bool
play_fault(int fd, fault f, const char *id, int64_t *work_ms,
           char refusal[512])
{
    static const struct linger reset = {.l_onoff = 1};
    bool executes = f != FAULT_NOT_RUN && f != FAULT_WRONG_TARGET;
    if (executes)
        record_run(id);
    if (executes && f != FAULT_SLOW)
        soak_sleep_ms(*work_ms);
    switch (f) {
    case FAULT_NOT_RUN:
        format_status(refusal, id, "503 Service Unavailable",
                      "X-Bluebellmoor-Not-Executed: 1\r\n");
        return soak_send(fd, refusal, strlen(refusal));
    case FAULT_WRONG_TARGET:
        format_status(refusal, id, "421 Misdirected Request", "");
        return soak_send(fd, refusal, strlen(refusal));
    case FAULT_RESET:
        setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
        return false;
    case FAULT_CUT_HEAD:
        soak_send(fd, "HTTP/1.1 200 OK\r\nX-Blue", 23);
        return false;
    case FAULT_ERROR:
        send_status(fd, id, "500 Internal Server Error",
                    "X-Bluebellmoor-Server-Stamp: s\r\n");
        return true;
    case FAULT_BARE_503:
        send_status(fd, id, "503 Service Unavailable", "");
        return true;
    case FAULT_SLOW:
        *work_ms += 1500;
        return true;
    case FAULT_NONE:
    case FAULT_CLOSE:
    case FAULTS:
        break;
    }
    return false;
}

/* An upstream's listener; 0 is the list. */
typedef struct listener {
    int fd;
    int upstream;
} listener;

static listener listeners[SOAK_UPSTREAMS + 1];

typedef struct upstream_connection {
    int fd;
    int upstream;
    int restarts; /* of the upstream, when it accepted the connection */
} upstream_connection;

static bool
expects_another(const char *text, const upstream_connection *c)
{
    char expected[64];
    char own[64];
    soak_header(text, "X-Bluebellmoor-Expect-Instance", expected);
    snprintf(own, sizeof(own), "i-%d-%d", c->upstream, c->restarts);
    return upstreams.restart && expected[0] && strcmp(expected, own) != 0;
}

static void *
serve_connection(void *context)
{
    upstream_connection *c = context;
    int fd = c->fd;
    char *text = bbm_calloc(1, MESSAGE_BYTES_MAX);
    char refusal[512] = "";
    size_t received;
    const char *body;
    bool open = true;
    while (open
           && soak_read_message(fd, text, MESSAGE_BYTES_MAX,
                                soak_now_ms() + 30000, &received, &body)) {
        char id[64];
        char work[64];
        char after[64];
        soak_header(text, "X-Bluebellmoor-Attempt-Id", id);
        soak_header(text, "X-Work-Ms", work);
        soak_header(text, "Last-Event-Id", after);
        if (strncmp(text, "GET /instances", 14) == 0) {
            send_list(fd);
            continue;
        }
        if (c->restarts != restarts(c->upstream, 0)) {
            static const struct linger reset = {.l_onoff = 1};
            setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
            break;
        }
        if (upstreams.copy)
            soak_send(fd, refusal, strlen(refusal));
        refusal[0] = '\0';
        int64_t work_ms = strtol(work, NULL, 10);
        fault f = id[0] ? draw_fault() : FAULT_NONE;
        if (expects_another(text, c))
            f = FAULT_WRONG_TARGET;
        if (f != FAULT_NONE) {
            open = play_fault(fd, f, id, &work_ms, refusal);
            if (f != FAULT_SLOW)
                continue;
        }
        else if (id[0]) {
            record_run(id);
        }
        open = send_answer(fd, id, strstr(text, " /stream/") != NULL, work_ms,
                           (int)strtol(after, NULL, 10));
    }
    free(text);
    free(c);
    close(fd);
    return NULL;
}

static void
start_detached(void *(*run)(void *context), void *context)
{
    pthread_t thread;
    pthread_attr_t attr;
    pthread_attr_init(&attr);
    pthread_attr_setstacksize(&attr, (size_t)256 * 1024);
    pthread_attr_setdetachstate(&attr, PTHREAD_CREATE_DETACHED);
    if (pthread_create(&thread, &attr, run, context) != 0)
        abort();
    pthread_attr_destroy(&attr);
}

static void *
accept_connections(void *context)
{
    const listener *l = context;
    int fd;
    while ((fd = accept4(l->fd, NULL, NULL, SOCK_CLOEXEC)) >= 0) {
        int on = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        upstream_connection *c = bbm_calloc(1, sizeof(*c));
        *c = (upstream_connection){.fd = fd,
                                   .upstream = l->upstream,
                                   .restarts = restarts(l->upstream, 0)};
        start_detached(serve_connection, c);
    }
    return NULL;
}

bool
soak_upstreams_fail(void)
{
    return upstreams.faulty || upstreams.restart;
}

void
soak_upstreams_start(uint16_t port, const soak_upstreams *kinds)
{
    first_port = port;
    upstreams = *kinds;
    upstreams_started_ms = soak_now_ms();
    for (uint16_t i = 0; i <= SOAK_UPSTREAMS; i++) {
        struct sockaddr_in address = {.sin_family = AF_INET,
                                      .sin_port = htons((uint16_t)(port + i)),
                                      .sin_addr.s_addr =
                                          htonl(INADDR_LOOPBACK)};
        int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        int on = 1;
        setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        if (bind(fd, (void *)&address, sizeof(address)) < 0
            || listen(fd, 1024) < 0) {
            perror("soak: listen");
            exit(2);
        }
        listeners[i] = (listener){.fd = fd, .upstream = i};
        start_detached(accept_connections, &listeners[i]);
    }
}

/* ---- excuses ---- */

typedef struct excuse {
    int vm;
    int64_t from_ms;
    int64_t to_ms;
} excuse;

static pthread_mutex_t excuses_lock = PTHREAD_MUTEX_INITIALIZER;
static excuse excuses[EXCUSES_MAX];
static size_t excuses_len;

void
soak_excuse(int vm, int64_t from_ms, int64_t to_ms)
{
    pthread_mutex_lock(&excuses_lock);
    if (excuses_len < EXCUSES_MAX)
        excuses[excuses_len++] =
            (excuse){.vm = vm, .from_ms = from_ms, .to_ms = to_ms};
    pthread_mutex_unlock(&excuses_lock);
}

void
soak_excuse_until(int vm, int64_t to_ms)
{
    pthread_mutex_lock(&excuses_lock);
    size_t i = excuses_len;
    while (i && excuses[i - 1].vm != vm)
        i--;
    if (i)
        excuses[i - 1].to_ms = to_ms;
    pthread_mutex_unlock(&excuses_lock);
}

bool
soak_is_excused(int vm, int64_t from_ms, int64_t to_ms)
{
    bool excused = false;
    pthread_mutex_lock(&excuses_lock);
    for (size_t i = 0; i < excuses_len && !excused; i++)
        excused = excuses[i].vm == vm && excuses[i].from_ms <= to_ms
                  && excuses[i].to_ms >= from_ms;
    pthread_mutex_unlock(&excuses_lock);
    return excused;
}

void
soak_break(const char *format, ...)
{
    char text[512];
    va_list list;
    va_start(list, format);
    vsnprintf(text, sizeof(text), format, list);
    va_end(list);
    atomic_fetch_add(&soak_count.broken, 1);
    printf("BROKEN %lld %s\n", (long long)soak_now_ms(), text);
    fflush(stdout);
}
