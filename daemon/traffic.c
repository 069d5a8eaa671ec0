#include "traffic.h"

#include "bbm_codes.h"
#include "bbm_log.h"
#include "calls.h"
#include "connections.h"
#include "control.h"
#include "traffic_request.h"

#include <curl/curl.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <uthash.h>

/* Also the shortest time between two checks of the time limits. */
#define POLL_WAIT_MS 50
/* Shortest time between two reports of a request's generated tokens. */
#define PROGRESS_PERIOD (200 * BBM_MS)
/* Until the answer begins, the client's connection is checked at this
   period. */
#define CLIENT_CHECK_PERIOD (1000 * BBM_MS)
/* Idle upstream connections kept open by each thread. */
#define IDLE_CONNECTIONS_MAX 256L

typedef enum job_kind {
    JOB_START,
    JOB_CANCEL,
    JOB_RESUME,
} job_kind;

typedef struct job {
    job_kind kind;
    exchange *ex;
    uint64_t request;
    bbm_start start;
} job;

struct traffic {
    mailbox *control;
    calls *calls;
    connections *connections;
    traffic_transfer *transfers;
    bbm_buf body;           /* of the piece of an answer that is being read */
    bbm_time last_check_at; /* of the time limits */
};

/* ---- called by other threads ---- */

static void
queue_job(traffic *t, job_kind kind, uint64_t request, exchange *ex,
          const bbm_start *start)
{
    job *j = bbm_calloc(1, sizeof(*j));
    j->kind = kind;
    j->request = request;
    j->ex = ex ? exchange_ref(ex) : NULL;
    if (start)
        j->start = *start;
    calls_put(t->calls, j);
}

static void
on_drained(exchange *ex)
{
    queue_job(ex->producer, JOB_RESUME, ex->id, NULL, NULL);
}

void
traffic_start(traffic *t, exchange *ex, const bbm_start *start)
{
    exchange_set_producer(ex, t, on_drained);
    queue_job(t, JOB_START, start->request, ex, start);
}

void
traffic_cancel(traffic *t, uint64_t request)
{
    queue_job(t, JOB_CANCEL, request, NULL, NULL);
}

/* ---- reports to control ---- */

static void
report_finished(traffic_transfer *x, int code)
{
    answer_parser_finish(&x->parser);
    control_item *item = control_item_create(CONTROL_FINISHED);
    const answer_parser *p = &x->parser;
    bool has_usage = p->bytes && p->output_tokens >= 0;
    item->id = x->request;
    item->attempt = x->start.attempt;
    item->finished = (bbm_finished_event){
        .request = x->request,
        .attempt = x->start.attempt,
        .code = code,
        .sent = x->sent,
        .answer_started = x->answer_started,
        .status = x->status,
        .prompt_tokens = p->bytes ? p->prompt_tokens : -1,
        .output_tokens = has_usage ? p->output_tokens : p->data_events,
    };
    bbm_name_set(item->content_type, x->content_type);
    if (x->start.return_body && code == BBM_OK) {
        size_t len = p->bytes;
        item->finished.body_len = len;
        if (len <= BBM_ANSWER_BYTES_MAX && !p->is_event_stream)
            bbm_buf_add(&item->bytes, p->text.data, p->text.len);
        else
            item->finished.body_len = BBM_ANSWER_BYTES_MAX + 1;
    }
    mailbox_put_waiting(x->thread->control, item);
}

static void
report_first_byte(traffic_transfer *x)
{
    control_item *item = control_item_create(CONTROL_FIRST_BYTE);
    item->id = x->request;
    item->attempt = x->start.attempt;
    mailbox_put_waiting(x->thread->control, item);
}

static void
report_progress(traffic_transfer *x, bbm_time now)
{
    if (!x->parser.data_events || now - x->last_report_at < PROGRESS_PERIOD)
        return;
    x->last_report_at = now;
    control_item *item = control_item_create(CONTROL_PROGRESS);
    item->id = x->request;
    item->output_tokens = x->parser.data_events;
    if (!mailbox_put(x->thread->control, item))
        control_item_destroy(item);
}

/* ---- libcurl callbacks ---- */

/* What the heads before the final one state isn't about the answer. */
static void
begin_head(traffic_transfer *x)
{
    x->content_type[0] = '\0';
    x->named_request = false;
    x->wrong_request_id = false;
}

static void
parse_request_id(traffic_transfer *x, const char *value, size_t len)
{
    bool same = len == strlen(x->start.request_id)
                && memcmp(value, x->start.request_id, len) == 0;
    x->named_request = x->named_request || same;
    x->wrong_request_id = x->wrong_request_id || !same;
    if (!same)
        snprintf(x->other_id, sizeof(x->other_id), "%.*s", (int)len, value);
}

static void
parse_field(traffic_transfer *x, const answer_line *line)
{
    const answer_field *f = &line->u.field;
    if (answer_field_is(line, "Content-Type"))
        snprintf(x->content_type, sizeof(x->content_type), "%.*s",
                 (int)f->value_len, f->value);
    else if (answer_field_is(line, "X-Request-Id"))
        parse_request_id(x, f->value, f->value_len);
}

static void
record_malformed(const traffic_transfer *x, const char *fault)
{
    connection_use_record_malformed(&x->connection, x->start.request_id,
                                    x->start.upstream, fault);
}

/* Over TLS the connection doesn't show when the request was acknowledged: it
   is closed behind a message of TLS itself. */
static void
watch_end(const traffic_transfer *x)
{
    bool tls = strncasecmp(x->start.url, "https:", 6) == 0;
    if (x->ex->body.len && !tls
        && calls_is_unframed_success(x->easy, x->reader))
        connections_watch_end(x->thread->connections, &x->connection,
                              x->ex->body.len);
}

static size_t
on_header(char *data, size_t size, size_t n, void *context)
{
    traffic_transfer *x = context;
    size_t len = size * n;
    answer_line line = answer_reader_line(x->reader, data, len);
    switch (line.kind) {
    case ANSWER_LINE_STATUS:
        begin_head(x);
        break;
    case ANSWER_LINE_FIELD:
        parse_field(x, &line);
        break;
    case ANSWER_LINE_HEAD_END:
        watch_end(x);
        break;
    case ANSWER_LINE_INTERIM_END:
        break;
    case ANSWER_LINE_MALFORMED:
        record_malformed(x, line.u.fault);
        return 0;
    }
    return len;
}

/* Returns whether the status says that the upstream didn't execute the
   request, so that another one may.  If the request must not be repeated, its
   answer is passed on whatever the status. */
static bool
is_rejection(const traffic_transfer *x)
{
    if (x->start.no_retry)
        return false;
    return x->status == 409 || x->status == 412 || x->status == 429
           || x->status == 502 || x->status == 503 || x->status == 504;
}

/* An upstream may send an answer twice, and the copy where the next one is
   due. On a new connection nothing but the request's own answer can come. */
static bool
is_own_answer(const traffic_transfer *x)
{
    return !x->wrong_request_id
           && (x->named_request || !x->connection.carried);
}

/* A connection is kept only while its next answer can be told from a copy of
   those before. */
static bool
may_keep_connection(const traffic_transfer *x)
{
    return is_own_answer(x) && x->named_request && !is_rejection(x)
           && !connection_use_is_last(&x->connection);
}

static void
log_foreign_answer(const traffic_transfer *x)
{
    char status[24];
    snprintf(status, sizeof(status), "%u", x->status);
    const char *other = x->wrong_request_id ? x->other_id : "";
    bool copy = connections_record_foreign(x->thread->connections,
                                           &x->connection, other);
    connection_use_log(&x->connection, BBM_EVENT_FOREIGN_ANSWER,
                       x->start.request_id, x->start.upstream,
                       (const char *[4]){"status", status,
                                         copy ? "copy_of" : "answers", other});
}

static bool
start_answer(traffic_transfer *x)
{
    x->status = answer_reader_status(x->reader);
    if (!may_keep_connection(x))
        curl_easy_setopt(x->easy, CURLOPT_FORBID_REUSE, 1L);
    bool own = is_own_answer(x);
    if (!own)
        log_foreign_answer(x);
    if (!own || is_rejection(x)) {
        x->rejected = true;
        return true;
    }
    x->parser.is_event_stream =
        strncmp(x->content_type, "text/event-stream", 17) == 0;
    x->answer_started = true;
    report_first_byte(x);
    int64_t cached_tokens =
        x->start.weights[0] ? (int64_t)x->start.cached_tokens : -1;
    bool connected = exchange_set_head(x->ex, x->status, x->content_type,
                                       x->start.upstream, cached_tokens);
    /* A request with an idempotency claim runs on without its client: the
       answer is stored for a repeat of the request. */
    return connected || x->start.return_body;
}

static size_t
on_data(char *data, size_t size, size_t n, void *context)
{
    traffic_transfer *x = context;
    size_t len = size * n;
    x->last_byte_at = control_now();
    if (x->answer_started && !exchange_has_room(x->ex)) {
        x->paused = true;
        return CURL_WRITEFUNC_PAUSE;
    }
    bbm_buf *body = &x->thread->body;
    body->len = 0;
    const char *fault = answer_reader_body(x->reader, data, len, body);
    if (fault) {
        record_malformed(x, fault);
        return CURL_WRITEFUNC_ERROR;
    }
    if (!x->answer_started && !x->rejected && !start_answer(x))
        return CURL_WRITEFUNC_ERROR;
    if (x->rejected)
        return len;
    exchange_write(x->ex, body->data, body->len);
    answer_parser_append(&x->parser, (char *)body->data, body->len);
    report_progress(x, x->last_byte_at);
    return len;
}

/* libcurl calls this right before it sends the request, and again if it is
   about to resend it because a reused connection was dead. */
static int
on_before_send(void *context, char *remote_ip, char *local_ip, int remote_port,
               int local_port)
{
    (void)local_ip;
    traffic_transfer *x = context;
    const char *id = x->start.request_id;
    if (control_now() > x->start.not_after) {
        x->timed_out = true;
        return CURL_PREREQFUNC_ABORT;
    }
    connections_find(x->thread->connections, &x->connection, remote_ip,
                     remote_port, local_port, id);
    x->unusable_connection =
        !x->fresh_connection
        && connection_use_conflicts(&x->connection, id, x->start.upstream);
    if (x->unusable_connection)
        return CURL_PREREQFUNC_ABORT;
    if (!exchange_begin_send(x->ex))
        return CURL_PREREQFUNC_ABORT;
    connections_record(x->thread->connections, &x->connection, id);
    x->sent = true;
    return CURL_PREREQFUNC_OK;
}

/* ---- starting ---- */

static void
create_easy(traffic_transfer *x)
{
    traffic_request_build(x);
    CURL *e = x->easy;
    calls_track_connection(e, x->thread->connections, &x->connection);
    curl_easy_setopt(e, CURLOPT_HEADERFUNCTION, on_header);
    curl_easy_setopt(e, CURLOPT_HEADERDATA, x);
    curl_easy_setopt(e, CURLOPT_WRITEFUNCTION, on_data);
    curl_easy_setopt(e, CURLOPT_WRITEDATA, x);
    curl_easy_setopt(e, CURLOPT_PREREQFUNCTION, on_before_send);
    curl_easy_setopt(e, CURLOPT_PREREQDATA, x);
}

static void
free_transfer(traffic *t, traffic_transfer *x)
{
    HASH_DEL(t->transfers, x);
    calls_remove(t->calls, x->easy);
    curl_easy_cleanup(x->easy);
    connections_drop_end(t->connections, &x->connection);
    curl_slist_free_all(x->headers);
    answer_reader_destroy(x->reader);
    answer_parser_free(&x->parser);
    exchange_unref(x->ex);
    free(x);
}

static traffic_transfer *
find_transfer(traffic *t, uint64_t request)
{
    traffic_transfer *x = NULL;
    HASH_FIND(hh, t->transfers, &request, sizeof(request), x);
    return x;
}

static void
start(traffic *t, const job *j)
{
    traffic_transfer *old = find_transfer(t, j->request);
    if (old)
        free_transfer(t, old);
    traffic_transfer *x = bbm_calloc(1, sizeof(*x));
    x->request = j->request;
    x->ex = exchange_ref(j->ex);
    x->thread = t;
    x->start = j->start;
    x->reader = answer_reader_create();
    x->started_at = control_now();
    x->last_byte_at = x->started_at;
    x->fresh_connection = x->start.no_retry;
    HASH_ADD(hh, t->transfers, request, sizeof(x->request), x);
    create_easy(x);
    calls_add(t->calls, x->easy);
}

/* Starts the transfer again, on a new connection. */
static void
reconnect(traffic *t, traffic_transfer *x)
{
    x->unusable_connection = false;
    x->fresh_connection = true;
    calls_restart(t->calls, x->easy, &x->connection);
}

/* ---- ending ---- */

/* An event stream without its end mark is truncated, even if the connection
   was closed in good order. */
static int
result_of(const traffic_transfer *x, CURLcode rc)
{
    if (x->timed_out)
        return x->sent ? BBM_ERR_UPSTREAM_TIMEOUT : BBM_ERR_UPSTREAM_CONNECT;
    if (rc == CURLE_OK && x->rejected)
        return BBM_ERR_UPSTREAM;
    bool truncated = x->parser.is_event_stream && x->status >= 200
                     && x->status < 300 && !x->parser.saw_done;
    if (rc == CURLE_OK && !truncated)
        return BBM_OK;
    if (!x->sent)
        return BBM_ERR_UPSTREAM_CONNECT;
    return x->answer_started ? BBM_ERR_UPSTREAM_CUT : BBM_ERR_UPSTREAM;
}

static void
finish(traffic *t, traffic_transfer *x, CURLcode libcurl_rc)
{
    CURLcode rc =
        calls_result(x->easy, libcurl_rc, x->reader, x->ex->body.len,
                     connections_ended_early(t->connections, &x->connection));
    /* libcurl doesn't call on_data for an answer without a body. */
    bool empty = rc == CURLE_OK && !x->answer_started && !x->rejected;
    if (empty)
        start_answer(x);
    int code = result_of(x, rc);
    if (calls_is_malformed(rc))
        record_malformed(x, curl_easy_strerror(rc));
    report_finished(x, code);
    if (code == BBM_OK)
        exchange_finish(x->ex, false);
    else if (x->answer_started)
        exchange_fail(x->ex, code, 0);
    free_transfer(t, x);
}

static bool
may_be_reset(void *context, CURL *easy)
{
    const traffic *t = context;
    traffic_transfer *x = NULL;
    curl_easy_getinfo(easy, CURLINFO_PRIVATE, &x);
    return connections_may_be_reset(t->connections, &x->connection);
}

static void
on_done(void *context, CURL *easy, CURLcode code)
{
    traffic_transfer *x = NULL;
    curl_easy_getinfo(easy, CURLINFO_PRIVATE, &x);
    if (x->unusable_connection)
        reconnect(context, x);
    else
        finish(context, x, code);
}

static bool
is_over_time_limit(const traffic_transfer *x, bbm_time now)
{
    if (x->paused)
        return false;
    if (x->answer_started)
        return now - x->last_byte_at > x->start.idle_timeout;
    return now - x->started_at > x->start.first_byte_timeout;
}

static void
report_client_disconnected(traffic_transfer *x)
{
    control_item *item = control_item_create(CONTROL_CLIENT_DISCONNECTED);
    item->id = x->request;
    mailbox_put_waiting(x->thread->control, item);
}

static void
check_time_limits(void *context)
{
    traffic *t = context;
    bbm_time now = control_now();
    if (now - t->last_check_at <= POLL_WAIT_MS * BBM_MS)
        return;
    t->last_check_at = now;
    traffic_transfer *x, *next;
    HASH_ITER(hh, t->transfers, x, next)
    {
        if (is_over_time_limit(x, now)) {
            x->timed_out = true;
            finish(t, x, CURLE_OPERATION_TIMEDOUT);
            continue;
        }
        if (now - x->last_report_at > CLIENT_CHECK_PERIOD
            && !x->answer_started) {
            x->last_report_at = now;
            if (!exchange_client_connected(x->ex))
                report_client_disconnected(x);
        }
    }
}

/* ---- the thread ---- */

static void
resume(traffic *t, uint64_t request)
{
    traffic_transfer *x = find_transfer(t, request);
    if (!x || !x->paused)
        return;
    x->paused = false;
    x->last_byte_at = control_now();
    curl_easy_pause(x->easy, CURLPAUSE_CONT);
}

static void
free_job(void *data)
{
    job *j = data;
    exchange_unref(j->ex);
    free(j);
}

static void
run_job(void *context, void *data)
{
    traffic *t = context;
    job *j = data;
    traffic_transfer *x;
    switch (j->kind) {
    case JOB_START:
        start(t, j);
        break;
    case JOB_CANCEL:
        x = find_transfer(t, j->request);
        if (x)
            free_transfer(t, x);
        break;
    case JOB_RESUME:
        resume(t, j->request);
        break;
    }
    free_job(j);
}

traffic *
traffic_create(mailbox *control)
{
    traffic *t = bbm_calloc(1, sizeof(*t));
    t->control = control;
    t->connections = connections_create();
    t->calls = calls_create(&(calls_desc){
        .context = t,
        .run_job = run_job,
        .transfer_done = on_done,
        .may_be_reset = may_be_reset,
        .before_poll = check_time_limits,
        .free_job = free_job,
        .wait_ms = POLL_WAIT_MS,
        .idle_connections_max = IDLE_CONNECTIONS_MAX,
    });
    return t;
}

void
traffic_stop(traffic *t)
{
    calls_stop(t->calls, 0, 0);
    traffic_transfer *x, *next;
    HASH_ITER(hh, t->transfers, x, next)
    {
        exchange_fail(x->ex, BBM_ERR_STOPPED, 0);
        free_transfer(t, x);
    }
}

void
traffic_destroy(traffic *t)
{
    if (!t)
        return;
    calls_destroy(t->calls);
    connections_destroy(t->connections);
    bbm_buf_free(&t->body);
    free(t);
}
