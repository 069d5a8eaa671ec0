#include "front.h"

#include "bbm_config.h"
#include "clients.h"
#include "control.h"
#include "front_admin.h"
#include "front_provider.h"

#include <arpa/inet.h>
#include <jansson.h>
#include <linux/filter.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

/* Size of the blocks in which libmicrohttpd reads an answer. */
#define ANSWER_BLOCK_BYTES ((size_t)16 * 1024)
/* Counted for a connection; more from its first request on, as libmicrohttpd
   then has written to all of its memory and keeps it until the connection
   ends; and for an open request besides its body and answer: the exchange with
   its headers. */
#define CONNECTION_BYTES ((size_t)8 * 1024)
#define CONNECTION_USED_BYTES (EXCHANGE_HEADS_BYTES - (size_t)6 * 1024)
#define REQUEST_BYTES ((size_t)6 * 1024)
/* Counted for a request from its submission on, for libcurl's buffers and
   handle of its transfer to an upstream.  One attempt is open at a time. */
#define TRANSFER_BYTES ((size_t)40 * 1024)
/* Bytes of answers that the kernel takes beyond what it may send now.  Without
   the limit it buffers up to 4 MB for each client that doesn't read, which
   counts as memory of the process's control group but not in the budget. */
#define UNSENT_BYTES_MAX (128 * 1024)
/* Period of the log lines on refused connections. */
#define REFUSED_LOG_PERIOD BBM_SECOND
/* A longer Idempotency-Key is ignored. */
#define IDEMPOTENCY_KEY_BYTES_MAX 255
/* A longer API key is ignored. */
#define API_KEY_BYTES_MAX 512
/* Time that a request's head may take until the configuration says, and the
   period at which that is checked. */
#define HEAD_TIME_DEFAULT (10 * BBM_SECOND)
#define HEAD_CHECK_US 100000
/* Of these checks; after them the process's descriptors are counted. */
#define CHECKS_PER_SAMPLE 5
/* Part of the connections that libmicrohttpd allows from which on new ones
   replace others: it accepts none beyond its limit. */
#define CONNECTIONS_SHARE 0.9
/* /healthz fails if control's last tick is longer ago. */
#define TICK_AGE_MAX (5 * BBM_SECOND)

struct front {
    front_desc desc;
    struct MHD_Daemon *daemon;
    char *cert;           /* PEM; NULL: no TLS */
    char *key;            /* PEM; wiped on release */
    pthread_mutex_t lock; /* guards the fields below */
    bool rejecting;
    TAILQ_HEAD(, exchange) exchanges; /* until libmicrohttpd has ended them */
    atomic_ullong refused;   /* connections for which there was no room */
    atomic_llong refused_at; /* of the last log line on these */
    clients *clients;        /* NULL: for operators */
    descriptors_user user;   /* valid if there are clients */
    pthread_t expiry_thread; /* the same */
    atomic_bool expiry_done;
    atomic_ullong closed;   /* connections that gave way, or had late heads */
    atomic_llong closed_at; /* of the last log line on these */
};

/* ---- answers ---- */

/* A client of HTTP/1.0 takes the orderly close of its connection for the end
   of an answer without length.  This resets the connection instead, which
   libmicrohttpd then closes. */
static void
reset_connection(int fd)
{
    struct sockaddr none = {.sa_family = AF_UNSPEC};
    /* It fails only if the client has closed the connection already. */
    (void)connect(fd, &none, sizeof(none));
}

static ssize_t
read_answer(void *context, uint64_t pos, char *buf, size_t max)
{
    (void)pos;
    exchange *ex = context;
    bool drained = false;
    ssize_t result;
    pthread_mutex_lock(&ex->lock);
    size_t available = ex->out.len - ex->out_pos;
    ex->read_at = control_now();
    if (available) {
        size_t n = available < max ? available : max;
        memcpy(buf, ex->out.data + ex->out_pos, n);
        ex->out_pos += n;
        drained =
            ex->upstream_paused && available - n < EXCHANGE_LOW_WATER_BYTES;
        if (drained)
            ex->upstream_paused = false;
        result = (ssize_t)n;
    }
    else if (ex->finished) {
        if (ex->truncated && ex->is_http_1_0 && ex->socket >= 0)
            reset_connection(ex->socket);
        result = ex->truncated ? MHD_CONTENT_READER_END_WITH_ERROR
                               : MHD_CONTENT_READER_END_OF_STREAM;
    }
    else {
        ex->suspended = true;
        MHD_suspend_connection(ex->connection);
        result = 0;
    }
    pthread_mutex_unlock(&ex->lock);
    if (drained && ex->on_drained)
        ex->on_drained(ex);
    return result;
}

static void
release_answer(void *context)
{
    exchange_unref(context);
}

static void
add_header(struct MHD_Response *response, const char *name, const char *value)
{
    MHD_add_response_header(response, name, value);
}

/* The provider's interface allows fractions of a second in Retry-After; the
   daemon's own sends whole seconds, rounded up. */
static void
add_retry_after(const exchange *ex, struct MHD_Response *response)
{
    char text[BBM_NAME_SIZE];
    if (ex->retry_after_ms <= 0)
        return;
    if (ex->kind == EXCHANGE_POOL)
        snprintf(text, sizeof(text), "%.3f",
                 (double)ex->retry_after_ms / 1000);
    else
        snprintf(text, sizeof(text), "%lld",
                 (long long)(ex->retry_after_ms + 999) / 1000);
    add_header(response, "Retry-After", text);
}

static void
add_headers(const front *f, const exchange *ex, struct MHD_Response *response)
{
    char text[BBM_NAME_SIZE];
    if (ex->closes_connection || atomic_load(f->desc.closing))
        add_header(response, "Connection", "close");
    if (ex->verbatim) {
        for (size_t i = 0; i < ex->answer_headers.len; i++)
            add_header(response, ex->answer_headers.items[i].name,
                       ex->answer_headers.items[i].value);
        return;
    }
    add_header(response, "Content-Type", ex->answer_type);
    snprintf(text, sizeof(text), "%016llx-%llu",
             (unsigned long long)f->desc.run_id, (unsigned long long)ex->id);
    add_header(response, "X-Request-Id", text);
    if (ex->upstream[0])
        add_header(response, "X-Served-By", ex->upstream);
    if (ex->cached_tokens >= 0) {
        snprintf(text, sizeof(text), "%lld", (long long)ex->cached_tokens);
        add_header(response, "X-Cached-Tokens", text);
    }
    add_retry_after(ex, response);
    if (ex->status == MHD_HTTP_UNAUTHORIZED)
        add_header(response, "WWW-Authenticate", "Bearer");
}

/* Called with the exchange's lock held.  A complete answer is sent with its
   Content-Length, so that the connection can be reused. */
static enum MHD_Result
queue_answer(const front *f, exchange *ex)
{
    struct MHD_Response *response;
    if (ex->finished && !ex->truncated) {
        bbm_buf answer = exchange_take_answer(ex);
        response = MHD_create_response_from_buffer(
            answer.len, answer.data,
            answer.data ? MHD_RESPMEM_MUST_FREE : MHD_RESPMEM_PERSISTENT);
        if (!response)
            bbm_buf_free(&answer);
    }
    else {
        uint64_t size = ex->content_length >= 0 ? (uint64_t)ex->content_length
                                                : MHD_SIZE_UNKNOWN;
        /* libmicrohttpd's block of the answer. */
        memory_budget_force(ex->memory, MEMORY_CONNECTIONS,
                            ANSWER_BLOCK_BYTES);
        ex->connection_counted += ANSWER_BLOCK_BYTES;
        response = MHD_create_response_from_callback(
            size, ANSWER_BLOCK_BYTES, read_answer, exchange_ref(ex),
            release_answer);
    }
    if (!response)
        return MHD_NO;
    ex->head_queued = true;
    ex->read_at = control_now();
    add_headers(f, ex, response);
    enum MHD_Result rc =
        MHD_queue_response(ex->connection, ex->status, response);
    MHD_destroy_response(response);
    return rc;
}

static enum MHD_Result
answer_or_suspend(const front *f, exchange *ex)
{
    enum MHD_Result rc = MHD_YES;
    pthread_mutex_lock(&ex->lock);
    if (ex->has_head) {
        rc = queue_answer(f, ex);
    }
    else {
        ex->suspended = true;
        MHD_suspend_connection(ex->connection);
    }
    pthread_mutex_unlock(&ex->lock);
    return rc;
}

static bool
serves_callers(const front *f)
{
    return f->desc.kind == FRONT_CALLERS || f->desc.kind == FRONT_POOL_CALLERS;
}

/* ---- room ---- */

/* Called with the exchange's lock held.  Returns false if it holds nothing
   that may be given up: its request may be about to be answered. */
static bool
describe(const exchange *ex, memory_body *body)
{
    bool unfinished = !ex->submitted && !ex->has_head;
    bool unread =
        ex->head_queued && (ex->out.len > ex->out_pos || ex->finished);
    bbm_time begin = ex->body_grew_at ? ex->body_grew_at : ex->received_at;
    *body = (memory_body){
        .bytes = ex->body_counted + ex->answer_counted,
        .idle_at = unfinished ? begin : ex->read_at,
        .is_answer = unread,
    };
    return ex->socket >= 0 && !ex->evicted && (unfinished || unread);
}

static void
log_evicted(const exchange *ex, const memory_body *body, bbm_time now)
{
    char number[24];
    char bytes[24];
    char idle[24];
    const char *id = exchange_client_id(ex);
    snprintf(number, sizeof(number), "%llu", (unsigned long long)ex->id);
    snprintf(bytes, sizeof(bytes), "%zu", body->bytes);
    snprintf(idle, sizeof(idle), "%lld",
             (long long)((now - body->idle_at) / BBM_MS));
    bbm_log(BBM_EVENT_CONNECTION_EVICTED, "id", id[0] ? id : number, "holds",
            body->is_answer ? "unread answer" : "unfinished request", "bytes",
            bytes, "idle_ms", idle, NULL);
}

/* Ends the connection of one request that is idle.  libmicrohttpd finds its
   socket closed, and releases what it holds right after. */
static bool
evict(front *f, const exchange *except)
{
    exchange *victim = NULL;
    memory_body first = {0};
    exchange *ex;
    bbm_time now = control_now();
    pthread_mutex_lock(&f->lock);
    TAILQ_FOREACH(ex, &f->exchanges, link)
    {
        memory_body body;
        pthread_mutex_lock(&ex->lock);
        bool may = ex != except && describe(ex, &body)
                   && memory_budget_may_evict(&body, SIZE_MAX, now);
        pthread_mutex_unlock(&ex->lock);
        if (!may
            || (victim && !memory_budget_evict_before(&body, &first, now)))
            continue;
        victim = ex;
        first = body;
    }
    if (victim) {
        pthread_mutex_lock(&victim->lock);
        log_evicted(victim, &first, now);
        victim->evicted = true;
        if (victim->socket >= 0)
            shutdown(victim->socket, SHUT_RDWR);
        pthread_mutex_unlock(&victim->lock);
        atomic_fetch_add(&f->desc.memory->evictions, 1);
    }
    pthread_mutex_unlock(&f->lock);
    return victim != NULL;
}

/* Makes room for a request, besides its body.  Returns false if there is
   none. */
static bool
make_room(front *f, const exchange *ex)
{
    return memory_budget_has_room(f->desc.memory, MEMORY_TRANSFERS,
                                  TRANSFER_BYTES, TRANSFER_BYTES)
           || bodies_evict(f->desc.bodies, ex, TRANSFER_BYTES) || evict(f, ex);
}

/* Counts what the head of a request makes the daemon hold beyond
   REQUEST_BYTES, and releases most of it if there is no room. */
static bool
take_head(front *f, exchange *ex)
{
    platform_request *parsed = &ex->parsed_headers;
    size_t bytes = ex->head_bytes + platform_request_bytes(parsed)
                   + bbm_gate_parts_bytes(parsed->parts_len);
    if (memory_budget_take(f->desc.memory, MEMORY_CONNECTIONS, bytes, bytes)) {
        ex->connection_counted += bytes;
        return true;
    }
    platform_request_drop_parts(parsed);
    return false;
}

/* ---- connections without a request ---- */

/* -1: unknown. */
static int
socket_of(struct MHD_Connection *connection)
{
    const union MHD_ConnectionInfo *info =
        MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    return info ? info->connect_fd : -1;
}

static client *
client_of(struct MHD_Connection *connection)
{
    const union MHD_ConnectionInfo *info = MHD_get_connection_info(
        connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
    return info ? info->socket_context : NULL;
}

/* At most one line per period. */
static void
log_closed(front *f, const clients_report *report)
{
    if (!report->closed)
        return;
    bbm_time now = control_now();
    unsigned long long closed =
        atomic_fetch_add(&f->closed, report->closed) + report->closed;
    if (now - atomic_load(&f->closed_at) < REFUSED_LOG_PERIOD)
        return;
    atomic_store(&f->closed_at, now);
    char count[24];
    char client_ip[INET_ADDRSTRLEN] = "";
    struct in_addr in = {.s_addr = report->address};
    inet_ntop(AF_INET, &in, client_ip, sizeof(client_ip));
    snprintf(count, sizeof(count), "%llu", closed);
    bbm_log(BBM_EVENT_CLIENTS_CLOSED, "address", f->desc.address, "client",
            client_ip, "why",
            report->late ? "head not complete in time" : "no room", "closed",
            count, NULL);
}

static void
on_clients_closed(void *context, const clients_report *report)
{
    log_closed(context, report);
}

/* Closes a connection without a request, of any listener. */
static bool
evict_client(front *f)
{
    if (f->desc.descriptors)
        return descriptors_evict(f->desc.descriptors);
    clients_report report;
    bool evicted = clients_evict(f->clients, control_now(), &report);
    log_closed(f, &report);
    return evicted;
}

static void *
expire_heads(void *context)
{
    front *f = context;
    unsigned checks = 0;
    while (!atomic_load(&f->expiry_done)) {
        long long ms = atomic_load(&f->desc.limits->header_timeout_ms);
        clients_report report;
        clients_expire(f->clients, ms ? ms * BBM_MS : HEAD_TIME_DEFAULT,
                       control_now(), &report);
        log_closed(f, &report);
        if (serves_callers(f) && checks++ % CHECKS_PER_SAMPLE == 0)
            descriptors_sample(f->desc.descriptors);
        usleep(HEAD_CHECK_US);
    }
    return NULL;
}

static bool
start_expiry(front *f)
{
    f->clients = clients_create();
    f->user = (descriptors_user){
        .clients = f->clients,
        .closed = on_clients_closed,
        .context = f,
    };
    if (pthread_create(&f->expiry_thread, NULL, expire_heads, f) == 0) {
        descriptors_add(f->desc.descriptors, &f->user);
        return true;
    }
    clients_destroy(f->clients);
    f->clients = NULL;
    return false;
}

static void
stop_expiry(front *f)
{
    if (!f->clients)
        return;
    descriptors_remove(f->desc.descriptors, &f->user);
    atomic_store(&f->expiry_done, true);
    pthread_join(f->expiry_thread, NULL);
    clients_destroy(f->clients);
}

/* ---- requests ---- */

static const char *
header(struct MHD_Connection *connection, const char *name)
{
    return MHD_lookup_connection_value(connection, MHD_HEADER_KIND, name);
}

static void
read_key(const front *f, struct MHD_Connection *connection, exchange *ex)
{
    const char *text = header(connection, "Authorization");
    static const char scheme[] = "Bearer ";
    size_t skip = sizeof(scheme) - 1;
    if (!text || strncasecmp(text, scheme, skip) != 0)
        return;
    size_t len = strlen(text + skip);
    if (len == 0 || len > API_KEY_BYTES_MAX)
        return;
    ex->has_key = true;
    ex->key_digest = bbm_digest_of(text + skip, len, f->desc.key_secret);
}

/* An API key must not reach an upstream: a query that contains the key of the
   Authorization header is dropped. */
static void
drop_query_with_key(struct MHD_Connection *connection, exchange *ex)
{
    const char *text = header(connection, "Authorization");
    const char *space = text ? strchr(text, ' ') : NULL;
    if (space && space[1] && strstr(ex->query, space + 1))
        ex->query[0] = '\0';
}

static void
read_idempotency_key(struct MHD_Connection *connection, exchange *ex)
{
    const char *text = header(connection, "Idempotency-Key");
    size_t len = text ? strlen(text) : 0;
    if (len == 0 || len > IDEMPOTENCY_KEY_BYTES_MAX)
        return;
    ex->has_idempotency_key = true;
    ex->idempotency_digest = bbm_digest_of(text, len, NULL);
}

static uint64_t
caller_hash(const exchange *ex, struct MHD_Connection *connection)
{
    if (ex->has_key)
        return bbm_hash64(ex->key_digest.bytes, BBM_DIGEST_SIZE, 0);
    const union MHD_ConnectionInfo *info = MHD_get_connection_info(
        connection, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
    if (!info || info->client_addr->sa_family != AF_INET)
        return 0;
    const struct sockaddr_in *in = (const void *)info->client_addr;
    return bbm_hash64(&in->sin_addr, sizeof(in->sin_addr), 0);
}

static void
read_request_head(front *f, struct MHD_Connection *connection, const char *url,
                  const char *method, exchange *ex)
{
    ex->connection = connection;
    ex->method = bbm_strdup(method);
    ex->path = bbm_strdup(url);
    /* The configuration's limit is for callers: a configuration that is longer
       could not be sent again. */
    long long body_bytes_max =
        serves_callers(f) ? atomic_load(&f->desc.limits->body_bytes_max) : 0;
    ex->body_bytes_max =
        (size_t)(body_bytes_max ? body_bytes_max
                                : f->desc.settings->body_most);
    /* Another thread may look for a connection to evict. */
    pthread_mutex_lock(&ex->lock);
    ex->socket = socket_of(connection);
    pthread_mutex_unlock(&ex->lock);
    bbm_text_set(ex->content_type, sizeof(ex->content_type),
                 header(connection, "Content-Type"));
    bbm_text_set(ex->accept, sizeof(ex->accept), header(connection, "Accept"));
    read_key(f, connection, ex);
    read_idempotency_key(connection, ex);
    drop_query_with_key(connection, ex);
    const char *length = header(connection, "Content-Length");
    if (length && strtoull(length, NULL, 10) > ex->body_bytes_max)
        ex->too_large = true;
    if (f->desc.kind == FRONT_POOL_CALLERS)
        front_provider_read_headers(ex, connection, f->desc.key_secret);
    /* The provider's and operators' calls are few, and tell how the VM is. */
    if (!ex->finished && serves_callers(f)
        && (!make_room(f, ex) || !take_head(f, ex))) {
        ex->closes_connection = true;
        exchange_fail(ex, BBM_ERR_MEMORY, EXCHANGE_MEMORY_RETRY_MS);
    }
    size_t declared = length ? (size_t)strtoull(length, NULL, 10) : 0;
    if (!ex->finished && !ex->too_large
        && !bodies_admit(f->desc.bodies, ex, declared)) {
        ex->closes_connection = true;
        exchange_fail(ex, BBM_ERR_MEMORY, EXCHANGE_MEMORY_RETRY_MS);
    }
}

static void
append_body(const front *f, exchange *ex, const char *data, size_t len)
{
    ex->body_received += len;
    if (!ex->too_large && ex->body_received > ex->body_bytes_max) {
        ex->too_large = true;
        bodies_discard(ex);
    }
    if (!ex->too_large)
        bodies_append(f->desc.bodies, ex, data, len);
}

static void
digest_request(exchange *ex)
{
    bbm_buf encoded = {0};
    bbm_put_str(&encoded, ex->method);
    bbm_put_str(&encoded, ex->path);
    bbm_put_str(&encoded, ex->query);
    bbm_put_bytes_head(&encoded, ex->body.len);
    ex->request_digest =
        bbm_digest_of_two(bbm_buf_view(&encoded), bbm_buf_view(&ex->body));
    bbm_buf_free(&encoded);
}

static bool
is_completion_path(const char *path)
{
    const char *known;
    for (size_t i = 0; (known = bbm_config_model_path(i)) != NULL; i++) {
        if (strcmp(path, known) == 0)
            return true;
    }
    return false;
}

static int
read_route_request(exchange *ex)
{
    if (ex->too_large)
        return BBM_ERR_TOO_LARGE;
    digest_request(ex);
    if (!is_completion_path(ex->path))
        return BBM_OK;
    if (strcmp(ex->method, "POST") != 0)
        return BBM_ERR_METHOD;
    return bbm_completion_request_parse(ex->body.data ? (char *)ex->body.data
                                                      : "",
                                        ex->body.len, &ex->completion);
}

static void
submit(front *f, exchange *ex)
{
    if (ex->kind == EXCHANGE_POOL || ex->kind == EXCHANGE_ROUTE) {
        if (!make_room(f, ex)) {
            exchange_fail(ex, BBM_ERR_MEMORY, EXCHANGE_MEMORY_RETRY_MS);
            return;
        }
        ex->transfer_counted = TRANSFER_BYTES;
        memory_budget_force(ex->memory, MEMORY_TRANSFERS, TRANSFER_BYTES);
    }
    control_item *item = control_item_create(CONTROL_EXCHANGE);
    item->ex = exchange_ref(ex);
    /* Nothing is put once requests are rejected: nobody would take it. */
    pthread_mutex_lock(&f->lock);
    bool rejecting = f->rejecting;
    /* The connection of an evicted request is closed: nothing may run. */
    ex->submitted = !rejecting && !ex->evicted
                    && mailbox_put(f->desc.control_mailbox, item);
    pthread_mutex_unlock(&f->lock);
    if (ex->submitted)
        return;
    control_item_destroy(item);
    exchange_fail(ex, rejecting ? BBM_ERR_DRAINING : BBM_ERR_BUSY, 1000);
}

static void
answer_health(const front *f, exchange *ex)
{
    int64_t last_tick = atomic_load(f->desc.last_tick);
    bool alive = control_now() - last_tick < TICK_AGE_MAX;
    const char *text = alive ? "ok\n" : "control is stuck\n";
    exchange_answer(ex, alive ? 200 : 503, "text/plain", text, strlen(text));
}

static void
answer_ready(const front *f, exchange *ex)
{
    bool ready = atomic_load(f->desc.ready);
    const char *text = ready ? "ready\n" : "not ready\n";
    exchange_answer(ex, ready ? 200 : 503, "text/plain", text, strlen(text));
}

static void
handle_caller(front *f, struct MHD_Connection *connection, exchange *ex)
{
    if (strcmp(ex->path, "/healthz") == 0) {
        answer_health(f, ex);
        return;
    }
    if (strcmp(ex->path, "/readyz") == 0) {
        answer_ready(f, ex);
        return;
    }
    if (strcmp(ex->path, "/metrics") == 0)
        ex->kind = EXCHANGE_METRICS;
    if (strcmp(ex->path, "/v1/entries") == 0) {
        ex->kind = EXCHANGE_ENTRIES;
        ex->caller_hash = caller_hash(ex, connection);
        const char *zone = MHD_lookup_connection_value(
            connection, MHD_GET_ARGUMENT_KIND, "zone");
        bbm_name_set(ex->zone, zone);
    }
    if (ex->kind == EXCHANGE_ROUTE) {
        int rc = read_route_request(ex);
        if (rc < 0) {
            exchange_fail(ex, rc, 0);
            return;
        }
    }
    submit(f, ex);
}

/* Of a call that is refused before it was submitted. */
static int64_t
retry_after_ms(int code)
{
    return code == BBM_ERR_MEMORY ? EXCHANGE_MEMORY_RETRY_MS : 0;
}

static void
handle_operator(front *f, exchange *ex)
{
    ex->kind = EXCHANGE_OPERATOR;
    int rc = ex->too_large
                 ? BBM_ERR_TOO_LARGE
                 : front_admin_parse(f->desc.settings, f->desc.key_secret, ex);
    if (rc < 0)
        exchange_fail(ex, rc, retry_after_ms(rc));
    else
        submit(f, ex);
}

static void
handle_pool_caller(front *f, exchange *ex)
{
    ex->kind = EXCHANGE_POOL;
    if (ex->too_large) {
        ex->closes_connection = true;
        exchange_fail(ex, BBM_ERR_TOO_LARGE, 0);
        return;
    }
    front_provider_set_fingerprint(ex);
    submit(f, ex);
}

static void
handle_provider(front *f, struct MHD_Connection *connection, exchange *ex)
{
    const char *zone = MHD_lookup_connection_value(
        connection, MHD_GET_ARGUMENT_KIND, platform_zone_query_parameter());
    ex->caller_hash = caller_hash(ex, connection);
    bbm_name_set(ex->zone, zone);
    int rc = ex->too_large ? BBM_ERR_TOO_LARGE
                           : front_provider_parse(ex, f->desc.key_secret);
    if (rc < 0)
        exchange_fail(ex, rc, retry_after_ms(rc));
    else if (ex->provider_call == PLATFORM_READY)
        answer_ready(f, ex);
    else
        submit(f, ex);
}

static void
dispatch(front *f, struct MHD_Connection *connection, exchange *ex)
{
    switch (f->desc.kind) {
    case FRONT_CALLERS:
        handle_caller(f, connection, ex);
        return;
    case FRONT_OPERATORS:
        if (strcmp(ex->path, "/metrics") == 0) {
            ex->kind = EXCHANGE_METRICS;
            submit(f, ex);
            return;
        }
        handle_operator(f, ex);
        return;
    case FRONT_POOL_CALLERS:
        handle_pool_caller(f, ex);
        return;
    case FRONT_PROVIDER:
        handle_provider(f, connection, ex);
        return;
    }
}

static bool
is_rejecting(front *f)
{
    pthread_mutex_lock(&f->lock);
    bool rejecting = f->rejecting;
    pthread_mutex_unlock(&f->lock);
    return rejecting;
}

static enum MHD_Result
on_request(void *context, struct MHD_Connection *connection, const char *url,
           const char *method, const char *version, const char *data,
           size_t *len, void **state)
{
    front *f = context;
    exchange *ex = *state;
    if (!ex)
        return MHD_NO;
    if (!ex->method) {
        ex->is_http_1_0 = strcmp(version, MHD_HTTP_VERSION_1_0) == 0;
        if (f->clients)
            clients_begin(f->clients, client_of(connection));
        read_request_head(f, connection, url, method, ex);
        /* A request of ambiguous length has already been answered; its body
           isn't read. */
        return ex->finished ? answer_or_suspend(f, ex) : MHD_YES;
    }
    if (*len) {
        append_body(f, ex, data, *len);
        *len = 0;
        return MHD_YES;
    }
    bodies_end(f->desc.bodies, ex);
    if (!ex->submitted && !ex->has_head) {
        if (is_rejecting(f))
            exchange_fail(ex, BBM_ERR_DRAINING, 1000);
        else if (ex->body_discarded && !ex->too_large)
            exchange_fail(ex, BBM_ERR_MEMORY, EXCHANGE_MEMORY_RETRY_MS);
        else
            dispatch(f, connection, ex);
    }
    return answer_or_suspend(f, ex);
}

/* ---- connections ---- */

/* Connections are accepted by what a new one takes.  One that is used for the
   first time makes another one without a request give way, if all together
   have more than their share. */
static void
count_used_connection(front *f, struct MHD_Connection *connection)
{
    client *x = f->clients ? client_of(connection) : NULL;
    if (!x || !clients_first_request(f->clients, x))
        return;
    memory_budget_force(f->desc.memory, MEMORY_CONNECTIONS,
                        CONNECTION_USED_BYTES);
    if (!memory_budget_has_room(f->desc.memory, MEMORY_CONNECTIONS, 1,
                                MEMORY_SMALL_BYTES + 1))
        evict_client(f);
}

/* The first callback of libmicrohttpd for a request: creates its exchange.
   @p uri is the request target as received. */
static void *
on_request_target(void *context, const char *uri,
                  struct MHD_Connection *connection)
{
    front *f = context;
    uint64_t id = atomic_fetch_add(f->desc.next_id, 1) + 1;
    exchange *ex = exchange_create(EXCHANGE_ROUTE, id);
    size_t used = f->clients ? 0 : CONNECTION_USED_BYTES;
    exchange_set_memory(ex, f->desc.memory, REQUEST_BYTES + used);
    count_used_connection(f, connection);
    ex->received_at = control_now();
    const char *query = strchr(uri, '?');
    ex->query = bbm_strdup(query ? query : "");
    ex->request_target = bbm_strdup(uri);
    ex->provider_call = PLATFORM_NONE;
    pthread_mutex_lock(&f->lock);
    TAILQ_INSERT_TAIL(&f->exchanges, ex, link);
    pthread_mutex_unlock(&f->lock);
    return ex;
}

static void
on_completed(void *context, struct MHD_Connection *connection, void **state,
             enum MHD_RequestTerminationCode reason)
{
    front *f = context;
    exchange *ex = *state;
    if (!ex)
        return;
    *state = NULL;
    if (f->clients)
        clients_end(f->clients, client_of(connection), control_now());
    bodies_end(f->desc.bodies, ex);
    pthread_mutex_lock(&f->lock);
    TAILQ_REMOVE(&f->exchanges, ex, link);
    pthread_mutex_unlock(&f->lock);
    bool was_paused;
    bool unfinished = exchange_detach(ex, reason, &was_paused);
    if (was_paused && ex->on_drained)
        ex->on_drained(ex);
    if (ex->submitted && unfinished) {
        control_item *item = control_item_create(CONTROL_CLIENT_DISCONNECTED);
        item->id = ex->id;
        mailbox_put_waiting(f->desc.control_mailbox, item);
    }
    exchange_unref(ex);
}

/* Keeps an idle connection 1 to 2 s longer than the limit that control set, so
   that a client which reuses it within the limit doesn't meet a close.

   The timeout always differs from that of the daemon: libmicrohttpd asks for
   the answer of a resumed connection before it reads from it again only if the
   connection has a timeout of its own.  Otherwise it would take the end of a
   client's sending side for an error, and close without the answer.  As it
   then looks at each connection in each round, the daemon's own interface,
   which may have many more and takes such a client for one that has left, has
   none. */
static void
set_idle_timeout(const front *f, struct MHD_Connection *connection)
{
    long long idle_ms = atomic_load(&f->desc.limits->idle_timeout_ms);
    long long default_s = f->desc.settings->idle_s;
    long long idle_s = idle_ms ? (idle_ms + 999) / 1000 + 1 : default_s;
    if (f->desc.kind == FRONT_CALLERS && !idle_ms)
        return;
    if (idle_s == default_s)
        idle_s++;
    MHD_set_connection_option(connection, MHD_CONNECTION_OPTION_TIMEOUT,
                              (unsigned)idle_s);
}

/* Without the option, the kernel buffers as much as it likes. */
static void
limit_unsent_bytes(struct MHD_Connection *connection)
{
    int bytes = UNSENT_BYTES_MAX;
    (void)setsockopt(socket_of(connection), IPPROTO_TCP, TCP_NOTSENT_LOWAT,
                     &bytes, sizeof(bytes));
}

static client *
add_client(front *f, struct MHD_Connection *connection)
{
    const union MHD_ConnectionInfo *from = MHD_get_connection_info(
        connection, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
    uint32_t address = 0;
    if (from && from->client_addr->sa_family == AF_INET) {
        const struct sockaddr_in *in = (const void *)from->client_addr;
        address = in->sin_addr.s_addr;
    }
    return clients_add(f->clients, socket_of(connection), address,
                       control_now());
}

static void
remove_client(front *f, client *x)
{
    if (clients_had_request(f->clients, x))
        memory_budget_give(f->desc.memory, MEMORY_CONNECTIONS,
                           CONNECTION_USED_BYTES);
    clients_remove(f->clients, x);
}

static void
on_connection(void *context, struct MHD_Connection *connection, void **state,
              enum MHD_ConnectionNotificationCode event)
{
    front *f = context;
    if (event == MHD_CONNECTION_NOTIFY_CLOSED) {
        descriptors_close(f->desc.descriptors);
        memory_budget_give(f->desc.memory, MEMORY_CONNECTIONS,
                           CONNECTION_BYTES);
        if (f->clients && *state)
            remove_client(f, *state);
        *state = NULL;
        return;
    }
    memory_budget_force(f->desc.memory, MEMORY_CONNECTIONS, CONNECTION_BYTES);
    limit_unsent_bytes(connection);
    set_idle_timeout(f, connection);
    descriptors_open(f->desc.descriptors);
    if (f->clients)
        *state = add_client(f, connection);
}

static void
log_refused_connection(front *f)
{
    char count[24];
    bbm_time now = control_now();
    unsigned long long refused = atomic_fetch_add(&f->refused, 1) + 1;
    if (now - atomic_load(&f->refused_at) < REFUSED_LOG_PERIOD)
        return;
    atomic_store(&f->refused_at, now);
    snprintf(count, sizeof(count), "%llu", refused);
    bbm_log(BBM_EVENT_CONNECTION_REFUSED, "address", f->desc.address,
            "refused", count, NULL);
}

static bool
has_room_for_connection(const front *f)
{
    double max =
        CONNECTIONS_SHARE * (double)f->desc.settings->connections_most;
    return (double)clients_len(f->clients) < max
           && memory_budget_has_room(f->desc.memory, MEMORY_CONNECTIONS,
                                     CONNECTION_BYTES, MEMORY_SMALL_BYTES + 1);
}

/* Clients' connections may use their share of the memory, and all but
   operators' the descriptors but for those that are reserved.  A new one
   replaces one without a request, or else one whose request is idle.  One that
   is refused is closed unread. */
static enum MHD_Result
on_accept(void *context, const struct sockaddr *address, socklen_t len)
{
    (void)address;
    (void)len;
    front *f = context;
    if (!f->clients)
        return MHD_YES;
    if (descriptors_may_accept(f->desc.descriptors, serves_callers(f))
        && (has_room_for_connection(f) || evict_client(f)
            || bodies_evict(f->desc.bodies, NULL, CONNECTION_BYTES)
            || evict(f, NULL) || !serves_callers(f)))
        return MHD_YES;
    log_refused_connection(f);
    return MHD_NO;
}

static struct MHD_Daemon *
start_daemon(front *f, const struct sockaddr_in *address)
{
    const bbm_settings *s = f->desc.settings;
    unsigned flags =
        MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ITC;
    unsigned threads = serves_callers(f) ? (unsigned)s->caller_threads : 1;
    struct MHD_OptionItem options[12];
    size_t len = 0;
    if (threads > 1)
        options[len++] = (struct MHD_OptionItem){MHD_OPTION_THREAD_POOL_SIZE,
                                                 (intptr_t)threads, NULL};
    if (f->cert && f->key) {
        flags |= MHD_USE_TLS;
        options[len++] =
            (struct MHD_OptionItem){MHD_OPTION_HTTPS_MEM_CERT, 0, f->cert};
        options[len++] =
            (struct MHD_OptionItem){MHD_OPTION_HTTPS_MEM_KEY, 0, f->key};
    }
    options[len] = (struct MHD_OptionItem){MHD_OPTION_END, 0, NULL};
    return MHD_start_daemon(
        flags, 0, on_accept, f, on_request, f, MHD_OPTION_SOCK_ADDR, address,
        MHD_OPTION_URI_LOG_CALLBACK, on_request_target, f,
        MHD_OPTION_NOTIFY_COMPLETED, on_completed, f,
        MHD_OPTION_NOTIFY_CONNECTION, on_connection, f,
        MHD_OPTION_CONNECTION_LIMIT, (unsigned)s->connections_most,
        MHD_OPTION_PER_IP_CONNECTION_LIMIT, (unsigned)s->per_address_most,
        MHD_OPTION_CONNECTION_TIMEOUT, (unsigned)s->idle_s,
        MHD_OPTION_CONNECTION_MEMORY_LIMIT, EXCHANGE_HEADS_BYTES,
        MHD_OPTION_LISTEN_BACKLOG_SIZE, 4096u,
        MHD_OPTION_LISTENING_ADDRESS_REUSE, 1u, MHD_OPTION_ARRAY, options,
        MHD_OPTION_END);
}

front *
front_create(const front_desc *desc)
{
    front *f = bbm_calloc(1, sizeof(*f));
    f->desc = *desc;
    pthread_mutex_init(&f->lock, NULL);
    TAILQ_INIT(&f->exchanges);
    const bbm_settings *s = desc->settings;
    bool tls = desc->kind == FRONT_CALLERS && s->tls_cert_file[0];
    bool valid = true;
    if (tls) {
        size_t len;
        f->cert = bbm_read_file(s->tls_cert_file, &len);
        f->key = bbm_read_file(s->tls_key_file, &len);
        valid = f->cert && f->key;
    }
    struct sockaddr_in address;
    if (valid && desc->kind != FRONT_OPERATORS)
        valid = start_expiry(f);
    if (valid && bbm_address_parse(desc->address, &address))
        f->daemon = start_daemon(f, &address);
    if (f->daemon)
        return f;
    front_destroy(f);
    return NULL;
}

/* Were the listening socket closed at once, or no longer accepted from, the
   kernel would still make connections, and reset them with the requests that
   they carry.  So it first drops the SYN segments alone: connections that have
   been made, or are half made, are accepted and answered. */
void
front_refuse_connections(front *f)
{
    struct sock_filter drop_syn[] = {
        BPF_STMT(BPF_LD | BPF_B | BPF_ABS, offsetof(struct tcphdr, th_flags)),
        BPF_STMT(BPF_ALU | BPF_AND | BPF_K, TH_SYN | TH_ACK),
        BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, TH_SYN, 0, 1),
        BPF_STMT(BPF_RET | BPF_K, 0),
        BPF_STMT(BPF_RET | BPF_K, UINT32_MAX),
    };
    struct sock_fprog program = {.len = BBM_COUNT(drop_syn),
                                 .filter = drop_syn};
    const union MHD_DaemonInfo *info =
        MHD_get_daemon_info(f->daemon, MHD_DAEMON_INFO_LISTEN_FD);
    if (!info
        || setsockopt(info->listen_fd, SOL_SOCKET, SO_ATTACH_FILTER, &program,
                      sizeof(program))
               < 0)
        bbm_log(BBM_EVENT_LISTENER_OPEN, "address", f->desc.address, NULL);
}

void
front_reject_requests(front *f)
{
    pthread_mutex_lock(&f->lock);
    f->rejecting = true;
    pthread_mutex_unlock(&f->lock);
}

/* libmicrohttpd ends the process if a connection is still suspended when it is
   stopped. */
void
front_fail_open_requests(front *f)
{
    exchange *ex;
    pthread_mutex_lock(&f->lock);
    TAILQ_FOREACH(ex, &f->exchanges, link)
    {
        if (ex->submitted && exchange_fail(ex, BBM_ERR_STOPPED, 0))
            bbm_log(BBM_EVENT_REQUEST_UNOWNED, "id", exchange_client_id(ex),
                    "path", ex->path, NULL);
    }
    pthread_mutex_unlock(&f->lock);
}

void
front_destroy(front *f)
{
    if (!f)
        return;
    if (f->daemon)
        MHD_stop_daemon(f->daemon);
    stop_expiry(f);
    if (f->key)
        explicit_bzero(f->key, strlen(f->key));
    free(f->cert);
    free(f->key);
    pthread_mutex_destroy(&f->lock);
    free(f);
}

size_t
front_unread_answers(front *f)
{
    size_t unread = 0;
    exchange *ex;
    pthread_mutex_lock(&f->lock);
    TAILQ_FOREACH(ex, &f->exchanges, link)
    {
        pthread_mutex_lock(&ex->lock);
        unread += ex->submitted && ex->has_head && !ex->error_code
                  && !ex->truncated && !ex->evicted;
        pthread_mutex_unlock(&ex->lock);
    }
    pthread_mutex_unlock(&f->lock);
    return unread;
}

unsigned
front_connections(const front *f)
{
    const union MHD_DaemonInfo *info =
        MHD_get_daemon_info(f->daemon, MHD_DAEMON_INFO_CURRENT_CONNECTIONS);
    return info ? info->num_connections : 0;
}
