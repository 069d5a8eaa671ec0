#include "forward.h"

#include "answer_reader.h"
#include "bbm_codes.h"
#include "bbm_log.h"
#include "calls.h"
#include "connections.h"
#include "control.h"
#include "events.h"
#include "relay.h"

#include <arpa/inet.h>
#include <curl/curl.h>
#include <errno.h>
#include <netinet/in.h>
#include <linux/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>
#include <uthash.h>

#define POLL_WAIT_MS 1000
/* Connect timeout; an attempt that ends by it has sent nothing. */
#define CONNECT_TIMEOUT_MS 300L
/* A connection ends when the upstream's machine acknowledges nothing for this
   time: sent bytes while a request has no answer, and keepalive probes, one
   each second, during the answer.  A sound machine may be silent for a second
   or more.  The first is longer than the time until TCP sends the bytes again
   after that, the second ends an answer before its client gives it up, after
   two seconds at least.  Linux counts no probes where it is set. */
#define UNACKED_REQUEST_TIMEOUT_MS 3200U
#define UNACKED_ANSWER_TIMEOUT_MS 1900U
#define KEEPALIVE_INTERVAL_S 1
#define IDLE_CONNECTIONS_MAX 128L
/* Longest idle time after which a connection is reused.  REUSE_DEFAULT_S holds
   until an upstream has announced its keep-alive timeout: without one it may
   close after little more than a second.  REUSE_NONREPEATABLE_S holds for
   requests that must not be sent twice. */
#define REUSE_DEFAULT_S 1L
#define REUSE_NONREPEATABLE_S 1L
#define READ_BUFFER_BYTES 16384L
/* libcurl's default of 64 KiB for each request that is being sent would exceed
   what most of them have. */
#define UPLOAD_BUFFER_BYTES 16384L
/* Longer header lines of an answer are dropped: they must fit into the memory
   of the client's connection, beside the head of its request. */
#define HEADER_LINE_BYTES 8192
/* Limits on what a faulty upstream may send: the heads of an answer, interim
   ones included; the body of an answer that isn't passed on, and the time for
   it; and bytes of the framing, such as chunk extensions, between two pieces
   of a body. */
#define HEAD_BYTES_MAX ((size_t)64 * 1024)
#define REFUSED_BODY_BYTES_MAX ((size_t)16 * 1024)
#define REFUSED_BODY_TIME_MAX (100 * BBM_MS)
#define FRAMING_BYTES_MAX ((uint64_t)256 * 1024)
/* Period of the checks of the last two limits.  They are checked sooner after
   this number of loops that brought no line of a head and no byte of a body:
   libcurl may be reading much. */
#define CHECK_PERIOD (50 * BBM_MS)
#define SILENT_LOOPS_MAX 4
/* A stream that sends events for this time after its first bytes is reported
   as sound. */
#define PROGRESS_TIME BBM_SECOND

typedef enum job_kind {
    JOB_START,
    JOB_CANCEL,
    JOB_RESUME,
} job_kind;

typedef struct job {
    job_kind kind;
    uint64_t request;
    exchange *ex;
    bbm_forward_request send;
    char last_event[BBM_EVENT_ID_SIZE];
} job;

/* An open attempt: a request at an upstream. */
typedef struct attempt {
    uint64_t request; /* key of the table */
    exchange *ex;     /* one reference */
    forward *thread;
    bbm_forward_request send;
    char resume_after[BBM_EVENT_ID_SIZE]; /* event id; "": not a resumption */
    CURL *easy;
    struct curl_slist *request_headers;
    answer_reader *reader;
    exchange_headers answer_headers; /* to be passed on */
    platform_response parsed_head;
    bbm_upstream_notice notice; /* valid if head_checked */
    event_splitter events; /* of a stream; holds bytes if it is resumable */
    size_t head_bytes;     /* received of all heads */
    size_t refused_bytes;  /* body bytes received of a refused answer */
    bbm_time refused_at;   /* when that head was received */
    uint64_t body_bytes;   /* received of an accepted answer */
    bbm_time progress_at;  /* last complete event, or head, of a stream */
    bbm_time began_at;     /* first bytes of an accepted body; 0: none */
    bool progress_reported;
    uint64_t checked_body_bytes;   /* body_bytes at the last check */
    uint64_t checked_socket_bytes; /* received by the socket by then */
    connection_use connection;
    bool fresh_connection;    /* never use an idle connection */
    bool unusable_connection; /* its answer couldn't be told from another */
    bool sent;                /* the upstream may have received bytes */
    bool accepted;            /* the answer is passed to the client */
    bool adopted;             /* its answer goes on under the number of a later
                                 attempt */
    bool head_checked;        /* the final head has been received */
    bool paused;
    bbm_forward_outcome outcome; /* valid if head_checked and not accepted */
    UT_hash_handle hh;
} attempt;

struct forward {
    memory_budget *memory; /* the mailbox's */
    event_hold event_hold; /* of all attempts */
    bbm_buf body;          /* of the piece of an answer that is being read */
    connections *connections;
    mailbox *control;
    const uint8_t *secret; /* of the headers between VMs */
    calls *calls;
    attempt *attempts;
    bbm_time last_check_at; /* of the limits on faulty answers */
    int silent_loops;       /* loops without a line or a byte of a body */
    /* Longest idle time for reuse: the shortest keep-alive timeout announced
       by an upstream less 1 s, but at least 1 s; 0: none was announced. */
    long reuse_s;
};

/* ---- called by other threads ---- */

static void
queue_job(forward *f, job_kind kind, uint64_t request, exchange *ex,
          const bbm_forward_request *send, const char *last_event)
{
    job *j = bbm_calloc(1, sizeof(*j));
    j->kind = kind;
    j->request = request;
    j->ex = ex ? exchange_ref(ex) : NULL;
    if (send)
        j->send = *send;
    bbm_text_set(j->last_event, sizeof(j->last_event), last_event);
    calls_put(f->calls, j);
}

static void
on_drained(exchange *ex)
{
    queue_job(ex->producer, JOB_RESUME, ex->id, NULL, NULL, "");
}

void
forward_start(forward *f, exchange *ex, const bbm_forward_request *send,
              const char *last_event)
{
    exchange_set_producer(ex, f, on_drained);
    queue_job(f, JOB_START, send->request, ex, send, last_event);
}

void
forward_cancel(forward *f, uint64_t request)
{
    queue_job(f, JOB_CANCEL, request, NULL, NULL, "");
}

/* ---- reports to control ---- */

static void
report_head(const forward *f, const exchange *ex,
            const bbm_upstream_notice *notice)
{
    control_item *item = control_item_create(CONTROL_RESPONSE_HEAD);
    item->id = ex->id;
    item->attempt = ex->source.attempt;
    item->origin = ex->source.origin;
    item->notice = *notice;
    mailbox_put_waiting(f->control, item);
}

static void
report_progress(const attempt *x)
{
    control_item *item = control_item_create(CONTROL_STREAM_PROGRESS);
    item->id = x->request;
    item->attempt = x->send.attempt;
    item->began_at = x->began_at;
    mailbox_put_waiting(x->thread->control, item);
}

/* True if the upstream closed or reset the connection of a request that it may
   have received, before the end of its answer.  A silent machine, whose
   connection times out, doesn't count. */
static bool
is_disconnected(const attempt *x, CURLcode rc, bbm_forward_outcome end)
{
    long error = 0;
    bool unfinished =
        end == BBM_FORWARD_TRUNCATED || end == BBM_FORWARD_NO_ANSWER;
    if (!x->sent || !unfinished)
        return false;
    switch (rc) {
    case CURLE_OK:
        return x->accepted;
    case CURLE_GOT_NOTHING:
    case CURLE_PARTIAL_FILE:
    /* libcurl tries again if a reused connection is closed without an
       answer. */
    case CURLE_COULDNT_CONNECT:
        return true;
    case CURLE_SEND_ERROR:
    case CURLE_RECV_ERROR:
        curl_easy_getinfo(x->easy, CURLINFO_OS_ERRNO, &error);
        return error != ETIMEDOUT;
    default:
        return false;
    }
}

static void
report_result(const attempt *x, bbm_forward_outcome end, CURLcode rc)
{
    control_item *item = control_item_create(CONTROL_FORWARD_FINISHED);
    item->id = x->request;
    item->forwarded = (bbm_forward_result){
        .request = x->request,
        .attempt = x->send.attempt,
        .outcome = end,
        .status = answer_reader_status(x->reader),
        .disconnected = is_disconnected(x, rc, end),
        .adopted = x->adopted,
        .began_at = x->began_at,
        .notice = x->notice,
    };
    memcpy(item->forwarded.last_event_id, x->events.last_id,
           sizeof(x->events.last_id));
    if (x->accepted)
        x->ex->source.result = item->forwarded;
    mailbox_put_waiting(x->thread->control, item);
}

/* @p limit names what was exceeded, for the log. */
static void
log_limit(const attempt *x, const char *limit)
{
    bbm_log(BBM_EVENT_ANSWER_LIMIT, "id", exchange_client_id(x->ex),
            "upstream", x->send.upstream, "limit", limit, NULL);
}

static const char *
attempt_id(const attempt *x)
{
    const char *id = x->ex->parsed_headers.id;
    return id ? id : "";
}

static void
record_malformed(const attempt *x, const char *fault)
{
    connection_use_record_malformed(&x->connection, exchange_client_id(x->ex),
                                    x->send.upstream, fault);
}

/* ---- the head of an answer ---- */

/* An upstream's refusal may come once more, where the answer to the next
   request on its connection is due.  A VM answers once. */
static bool
is_upstreams_refusal(const attempt *x)
{
    return !x->send.relay
           && (x->parsed_head.head.not_run
               || bbm_status_promises_not_run(
                   answer_reader_status(x->reader)));
}

/* Records and logs an answer that names another request, or says that this one
   has not run. */
static void
record_attribution(const attempt *x)
{
    char status[24];
    connections *table = x->thread->connections;
    const char *other = x->parsed_head.other_id;
    snprintf(status, sizeof(status), "%u", answer_reader_status(x->reader));
    if (x->parsed_head.head.wrong_request_id) {
        bool copy = connections_record_foreign(table, &x->connection, other);
        connection_use_log(&x->connection, BBM_EVENT_FOREIGN_ANSWER,
                           exchange_client_id(x->ex), x->send.upstream,
                           (const char *[4]){"status", status,
                                             copy ? "copy_of" : "answers",
                                             other});
        return;
    }
    if (is_upstreams_refusal(x))
        connections_record_refusal(table, &x->connection);
    if (!x->accepted && x->outcome == BBM_FORWARD_NOT_RUN) {
        atomic_fetch_add(&connection_count.not_run, 1);
        connection_use_log(&x->connection, BBM_EVENT_NOT_RUN,
                           exchange_client_id(x->ex), x->send.upstream,
                           (const char *[4]){"status", status});
    }
}

/* What the heads before the final one state isn't about the answer. */
static void
begin_head(attempt *x)
{
    x->parsed_head = (platform_response){.keep_alive_s = -1};
    exchange_headers_free(&x->answer_headers);
}

static void
log_dropped_header(const attempt *x, const answer_field *field)
{
    char name[BBM_NAME_SIZE];
    snprintf(name, sizeof(name), "%.*s", (int)field->name_len, field->name);
    bbm_log(BBM_EVENT_ANSWER_HEADER_DROPPED, "id", exchange_client_id(x->ex),
            "upstream", x->send.upstream, "header", name, NULL);
}

static void
add_answer_header(attempt *x, const answer_line *line)
{
    char text[HEADER_LINE_BYTES];
    const char *value = answer_field_copy(line, text, sizeof(text));
    if (!value) {
        log_dropped_header(x, &line->u.field);
        return;
    }
    if (platform_response_add_header(&x->parsed_head, x->ex->parsed_headers.id,
                                     text, value))
        exchange_headers_add(&x->answer_headers, text, value);
}

static void
update_reuse_limit(const attempt *x)
{
    long reuse_s = (long)x->parsed_head.keep_alive_s - 1;
    if (x->parsed_head.keep_alive_s >= 0
        && (!x->thread->reuse_s || reuse_s < x->thread->reuse_s))
        x->thread->reuse_s = reuse_s > 0 ? reuse_s : REUSE_DEFAULT_S;
}

/* Another VM has judged its upstream's answer; its own refusals are passed on
   too. */
static bool
accepts_head(attempt *x)
{
    if (!x->send.relay)
        return bbm_gate_accept_head(&x->send, &x->parsed_head.head,
                                    &x->outcome);
    x->outcome = BBM_FORWARD_NO_ANSWER;
    return !x->parsed_head.head.wrong_request_id;
}

/* Without a known socket the timeout stays as it is. */
static void
set_unacked_timeout(int fd, unsigned timeout_ms)
{
    if (fd >= 0)
        setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms,
                   sizeof(timeout_ms));
}

/* Returns false if the transfer must be aborted. */
static bool
finish_head(attempt *x)
{
    unsigned status = answer_reader_status(x->reader);
    x->head_checked = true;
    x->parsed_head.head.reused_connection = x->connection.carried > 0;
    platform_response_notice(&x->parsed_head, status, &x->notice);
    /* An upstream that answers before it has read the whole body would take
       the next request on this connection for the rest of it. */
    if (calls_is_partly_uploaded(x->easy, x->ex->body.len)
        || connection_use_is_last(&x->connection))
        curl_easy_setopt(x->easy, CURLOPT_FORBID_REUSE, 1L);
    update_reuse_limit(x);
    x->parsed_head.head.status = status;
    bool accepted = accepts_head(x);
    bool resumes = x->resume_after[0] != '\0';
    if (accepted && x->ex->body.len
        && calls_is_unframed_success(x->easy, x->reader))
        connections_watch_end(x->thread->connections, &x->connection,
                              x->ex->body.len);
    if (accepted && resumes && status != 200) {
        accepted = false;
        x->outcome = BBM_FORWARD_FAILED;
    }
    if (accepted && !resumes
        && !exchange_head_fits(x->ex, &x->answer_headers)) {
        log_limit(x, "bytes of its head beside the request's");
        accepted = false;
        x->outcome = BBM_FORWARD_FAILED;
    }
    if (!accepted) {
        record_attribution(x);
        x->refused_at = control_now();
        return x->outcome != BBM_FORWARD_NO_ANSWER;
    }
    x->accepted = true;
    if (x->send.relay && bbm_status_promises_not_run(status))
        exchange_record_not_run(x->ex);
    x->progress_at = control_now();
    set_unacked_timeout(x->connection.socket, UNACKED_ANSWER_TIMEOUT_MS);
    int64_t length = x->send.stream ? -1 : answer_reader_length(x->reader);
    if (!resumes)
        exchange_set_verbatim_head(x->ex, status, length, &x->answer_headers);
    x->ex->source = (exchange_source){.attempt = x->send.attempt,
                                      .origin = x->send.origin};
    report_head(x->thread, x->ex, &x->notice);
    return true;
}

static size_t
on_header(char *data, size_t size, size_t n, void *context)
{
    attempt *x = context;
    size_t len = size * n;
    x->thread->silent_loops = 0;
    x->head_bytes += len;
    if (x->head_bytes > HEAD_BYTES_MAX) {
        log_limit(x, "bytes of the heads");
        return 0;
    }
    answer_line line = answer_reader_line(x->reader, data, len);
    switch (line.kind) {
    case ANSWER_LINE_STATUS:
        begin_head(x);
        break;
    case ANSWER_LINE_FIELD:
        add_answer_header(x, &line);
        break;
    case ANSWER_LINE_HEAD_END:
        return finish_head(x) ? len : 0;
    case ANSWER_LINE_INTERIM_END:
        break;
    case ANSWER_LINE_MALFORMED:
        record_malformed(x, line.u.fault);
        return 0;
    }
    return len;
}

/* ---- the body of an answer ---- */

static void
write_complete_events(attempt *x, size_t complete_len)
{
    exchange_write(x->ex, x->events.bytes.data, complete_len);
    event_splitter_consume(&x->events, complete_len);
}

/* Returns false if the stream must be broken off. */
static bool
write_stream_bytes(attempt *x, const char *data, size_t len)
{
    size_t complete_len;
    if (x->send.resumable) {
        complete_len = event_splitter_append(&x->events, data, len);
        if (complete_len)
            write_complete_events(x, complete_len);
        if (event_splitter_over_limit(&x->events)) {
            log_limit(x, "bytes of an event");
            return false;
        }
    }
    else {
        complete_len = event_scanner_append(&x->events.scanner, data, len);
        exchange_write(x->ex, data, len);
    }
    if (!complete_len)
        return true;
    x->progress_at = control_now();
    if (!x->progress_reported
        && x->progress_at - x->began_at >= PROGRESS_TIME) {
        x->progress_reported = true;
        report_progress(x);
    }
    return true;
}

/* Returns false if the body of a refused answer is too long. */
static bool
add_refused_bytes(attempt *x, size_t len)
{
    x->thread->silent_loops = 0;
    x->refused_bytes += len;
    if (x->refused_bytes <= REFUSED_BODY_BYTES_MAX)
        return true;
    log_limit(x, "bytes of a refused body");
    return false;
}

/* Returns false if the answer must be broken off. */
static bool
write_body(attempt *x, const bbm_buf *body)
{
    const char *data = (const char *)body->data;
    x->thread->silent_loops = 0;
    if (!x->began_at)
        x->began_at = control_now();
    x->body_bytes += body->len;
    if (x->send.stream)
        return write_stream_bytes(x, data, body->len);
    exchange_write(x->ex, data, body->len);
    return true;
}

static size_t
on_data(char *data, size_t size, size_t n, void *context)
{
    attempt *x = context;
    size_t len = size * n;
    if (x->accepted && !exchange_has_room(x->ex)) {
        x->paused = true;
        return CURL_WRITEFUNC_PAUSE;
    }
    bbm_buf *body = &x->thread->body;
    body->len = 0;
    const char *fault = answer_reader_body(x->reader, data, len, body);
    bool goes_on = !fault;
    if (fault)
        record_malformed(x, fault);
    if (!x->accepted)
        goes_on = add_refused_bytes(x, len) && goes_on;
    else if (body->len)
        goes_on = write_body(x, body) && goes_on;
    return goes_on ? len : 0;
}

/* ---- sending ---- */

/* libcurl calls this right before it sends the request, and again if it is
   about to resend it because a reused connection was dead. */
static int
on_before_send(void *context, char *remote_ip, char *local_ip, int remote_port,
               int local_port)
{
    (void)local_ip;
    attempt *x = context;
    if (x->sent && !x->send.repeatable)
        return CURL_PREREQFUNC_ABORT;
    const char *id = attempt_id(x);
    connections_find(x->thread->connections, &x->connection, remote_ip,
                     remote_port, local_port, id);
    x->unusable_connection =
        !x->fresh_connection
        && connection_use_conflicts(&x->connection, exchange_client_id(x->ex),
                                    x->send.upstream);
    if (x->unusable_connection)
        return CURL_PREREQFUNC_ABORT;
    if (!exchange_begin_send(x->ex))
        return CURL_PREREQFUNC_ABORT;
    set_unacked_timeout(x->connection.socket, UNACKED_REQUEST_TIMEOUT_MS);
    connections_record(x->thread->connections, &x->connection, id);
    x->sent = true;
    return CURL_PREREQFUNC_OK;
}

static int
on_socket(void *context, curl_socket_t fd, curlsocktype purpose)
{
    (void)purpose;
    attempt *x = context;
    connection_use_open(&x->connection, fd);
    set_unacked_timeout(fd, UNACKED_REQUEST_TIMEOUT_MS);
    return CURL_SOCKOPT_OK;
}

static void
add_request_header(void *context, const char *name, const char *value)
{
    attempt *x = context;
    /* libcurl sends a header without a value only if the line ends with a
       semicolon. */
    const char *separator = value[0] ? ": " : ";";
    bbm_buf line = {0};
    bbm_buf_add(&line, name, strlen(name));
    bbm_buf_add(&line, separator, strlen(separator));
    bbm_buf_add(&line, value, strlen(value) + 1);
    calls_append_header(&x->request_headers, (char *)line.data);
    bbm_buf_free(&line);
}

static bool
client_sent_header(const exchange *ex, const char *name)
{
    for (size_t i = 0; i < ex->headers.len; i++) {
        if (strcasecmp(ex->headers.items[i].name, name) == 0)
            return true;
    }
    return false;
}

/* Stops libcurl from adding a header that the client didn't send. */
static void
suppress_default_header(attempt *x, const char *name)
{
    char line[64];
    if (client_sent_header(x->ex, name))
        return;
    snprintf(line, sizeof(line), "%s:", name);
    calls_append_header(&x->request_headers, line);
}

static void
add_headers(attempt *x)
{
    const exchange *ex = x->ex;
    bool resumes = x->resume_after[0] != '\0';
    add_request_header(x, "Host", ex->host);
    for (size_t i = 0; i < ex->headers.len; i++) {
        const exchange_header *h = &ex->headers.items[i];
        bool replaced = resumes && strcasecmp(h->name, "Last-Event-Id") == 0;
        if (!replaced)
            add_request_header(x, h->name, h->value);
    }
    suppress_default_header(x, "Accept");
    suppress_default_header(x, "Expect");
    suppress_default_header(x, "Content-Type");
    int64_t left_ms = 0;
    if (ex->parsed_headers.client_timeout_ms > 0)
        left_ms = (x->send.deadline - control_now()) / BBM_MS;
    if (ex->parsed_headers.client_timeout_ms > 0 && left_ms < 1)
        left_ms = 1;
    if (x->send.relay) {
        char relayed[PLATFORM_RELAYED_SIZE];
        relay_header_write(ex, x->send.attempts_used, x->thread->secret,
                           relayed);
        platform_relay_headers(relayed, left_ms, add_request_header, x);
    }
    else {
        platform_forward_headers(&x->send, left_ms, x->resume_after,
                                 add_request_header, x);
    }
    curl_easy_setopt(x->easy, CURLOPT_HTTPHEADER, x->request_headers);
}

static void
create_easy(attempt *x)
{
    const exchange *ex = x->ex;
    char url[BBM_NAME_SIZE + 16];
    long reuse = x->thread->reuse_s ? x->thread->reuse_s : REUSE_DEFAULT_S;
    if (!x->send.repeatable && reuse > REUSE_NONREPEATABLE_S)
        reuse = REUSE_NONREPEATABLE_S;
    snprintf(url, sizeof(url), "http://%s/", x->send.address);
    CURL *e = calls_create_easy(url, "http", CONNECT_TIMEOUT_MS);
    x->easy = e;
    curl_easy_setopt(e, CURLOPT_REQUEST_TARGET, ex->request_target);
    curl_easy_setopt(e, CURLOPT_PRIVATE, x);
    curl_easy_setopt(e, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(e, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(e, CURLOPT_BUFFERSIZE, READ_BUFFER_BYTES);
    curl_easy_setopt(e, CURLOPT_UPLOAD_BUFFERSIZE, UPLOAD_BUFFER_BYTES);
    curl_easy_setopt(e, CURLOPT_MAXAGE_CONN, reuse);
    curl_easy_setopt(e, CURLOPT_FRESH_CONNECT, x->fresh_connection ? 1L : 0L);
    curl_easy_setopt(e, CURLOPT_TCP_KEEPALIVE, 1L);
    curl_easy_setopt(e, CURLOPT_TCP_KEEPIDLE, (long)KEEPALIVE_INTERVAL_S);
    curl_easy_setopt(e, CURLOPT_TCP_KEEPINTVL, (long)KEEPALIVE_INTERVAL_S);
    curl_easy_setopt(e, CURLOPT_SOCKOPTFUNCTION, on_socket);
    curl_easy_setopt(e, CURLOPT_SOCKOPTDATA, x);
    curl_easy_setopt(e, CURLOPT_CLOSESOCKETFUNCTION, connections_close);
    curl_easy_setopt(e, CURLOPT_CLOSESOCKETDATA, x->thread->connections);
    curl_easy_setopt(e, CURLOPT_HEADERFUNCTION, on_header);
    curl_easy_setopt(e, CURLOPT_HEADERDATA, x);
    curl_easy_setopt(e, CURLOPT_WRITEFUNCTION, on_data);
    curl_easy_setopt(e, CURLOPT_WRITEDATA, x);
    curl_easy_setopt(e, CURLOPT_PREREQFUNCTION, on_before_send);
    curl_easy_setopt(e, CURLOPT_PREREQDATA, x);
    bool has_body = ex->parsed_headers.content_length_count
                    || ex->parsed_headers.transfer_encoding_count;
    calls_set_request(e, ex->method, has_body ? &ex->body : NULL);
    add_headers(x);
}

/* ---- attempts ---- */

static attempt *
find_attempt(const forward *f, uint64_t request)
{
    attempt *x = NULL;
    HASH_FIND(hh, f->attempts, &request, sizeof(request), x);
    return x;
}

static void
free_attempt(forward *f, attempt *x)
{
    HASH_DEL(f->attempts, x);
    calls_remove(f->calls, x->easy);
    curl_easy_cleanup(x->easy);
    connections_drop_end(f->connections, &x->connection);
    curl_slist_free_all(x->request_headers);
    answer_reader_destroy(x->reader);
    exchange_headers_free(&x->answer_headers);
    event_splitter_free(&x->events);
    exchange_unref(x->ex);
    free(x);
}

/* The answer has begun, and control didn't know when it decided on the attempt
   that is to be started.  A second run must not be joined to that answer: it
   is reported as the new attempt's, and so is its end, which control has
   ignored or will ignore under the old number. */
static void
adopt(forward *f, attempt *old, const job *j)
{
    exchange_source *source = &j->ex->source;
    source->attempt = j->send.attempt;
    if (old) {
        old->send.attempt = j->send.attempt;
        old->adopted = true;
        report_head(f, j->ex, &old->notice);
        return;
    }
    source->result.attempt = j->send.attempt;
    source->result.adopted = true;
    report_head(f, j->ex, &source->result.notice);
    control_item *item = control_item_create(CONTROL_FORWARD_FINISHED);
    item->id = j->request;
    item->forwarded = source->result;
    mailbox_put_waiting(f->control, item);
}

static void
start(forward *f, const job *j)
{
    attempt *old = find_attempt(f, j->request);
    if (j->ex->source.attempt > j->send.ended_attempt) {
        adopt(f, old, j);
        return;
    }
    if (old)
        free_attempt(f, old);
    attempt *x = bbm_calloc(1, sizeof(*x));
    x->request = j->request;
    x->ex = exchange_ref(j->ex);
    x->thread = f;
    x->send = j->send;
    x->events.hold = &f->event_hold;
    connection_use_begin(&x->connection);
    x->reader = answer_reader_create();
    x->parsed_head.keep_alive_s = -1;
    x->fresh_connection = j->send.fresh_connection;
    memcpy(x->resume_after, j->last_event, sizeof(x->resume_after));
    memcpy(x->events.last_id, j->last_event, sizeof(x->resume_after));
    HASH_ADD(hh, f->attempts, request, sizeof(x->request), x);
    create_easy(x);
    calls_add(f->calls, x->easy);
}

/* A stream without Content-Length that ends within an event is truncated, even
   if the connection was closed in good order.  If that close is its only end,
   it must have had an event. */
static bool
ends_within_event(const attempt *x)
{
    unsigned status = answer_reader_status(x->reader);
    bool has_events = x->send.stream && status >= 200 && status < 300
                      && status != 204 && strcmp(x->ex->method, "HEAD") != 0;
    if (!has_events || answer_reader_length(x->reader) >= 0)
        return false;
    const event_scanner *sc = &x->events.scanner;
    return event_scanner_within_event(sc)
           || (!answer_reader_is_chunked(x->reader) && !sc->ended_event);
}

static bbm_forward_outcome
outcome_of(const attempt *x, CURLcode rc)
{
    if (x->head_checked && !x->accepted)
        return x->outcome;
    if (rc == CURLE_OK && x->accepted)
        return ends_within_event(x) ? BBM_FORWARD_TRUNCATED
                                    : BBM_FORWARD_COMPLETE;
    if (x->accepted)
        return BBM_FORWARD_TRUNCATED;
    return x->sent ? BBM_FORWARD_NO_ANSWER : BBM_FORWARD_UNSENT;
}

/* Starts the transfer again, on a new connection. */
static void
reconnect(forward *f, attempt *x)
{
    x->unusable_connection = false;
    x->fresh_connection = true;
    connection_use_begin(&x->connection);
    calls_remove(f->calls, x->easy);
    curl_easy_cleanup(x->easy);
    curl_slist_free_all(x->request_headers);
    x->request_headers = NULL;
    create_easy(x);
    calls_add(f->calls, x->easy);
}

static void
finish(forward *f, attempt *x, CURLcode libcurl_rc)
{
    if (x->unusable_connection) {
        reconnect(f, x);
        return;
    }
    CURLcode rc =
        calls_result(x->easy, libcurl_rc, x->reader, x->ex->body.len,
                     connections_ended_early(f->connections, &x->connection));
    bbm_forward_outcome end = outcome_of(x, rc);
    if (calls_is_malformed(rc))
        record_malformed(x, curl_easy_strerror(rc));
    if (end == BBM_FORWARD_COMPLETE) {
        if (x->events.bytes.len)
            exchange_write(x->ex, x->events.bytes.data, x->events.bytes.len);
        exchange_finish(x->ex, false);
    }
    if (end == BBM_FORWARD_NOT_RUN && x->sent)
        exchange_record_not_run(x->ex);
    report_result(x, end, rc);
    free_attempt(f, x);
}

static bool
may_be_reset(void *context, CURL *easy)
{
    const forward *f = context;
    attempt *x = NULL;
    curl_easy_getinfo(easy, CURLINFO_PRIVATE, &x);
    return connections_may_be_reset(f->connections, &x->connection);
}

static void
on_done(void *context, CURL *easy, CURLcode code)
{
    attempt *x = NULL;
    curl_easy_getinfo(easy, CURLINFO_PRIVATE, &x);
    finish(context, x, code);
}

/* ---- limits on faulty answers ---- */

/* Bytes that the attempt's socket has received; 0: unknown. */
static uint64_t
received_by_socket(const attempt *x)
{
    struct tcp_info info = {0};
    socklen_t len = sizeof(info);
    if (x->connection.socket < 0
        || getsockopt(x->connection.socket, IPPROTO_TCP, TCP_INFO, &info, &len)
               < 0
        || len < offsetof(struct tcp_info, tcpi_bytes_received)
                     + sizeof(info.tcpi_bytes_received))
        return 0;
    return info.tcpi_bytes_received;
}

/* True if the upstream has sent much since the last check, but no byte of the
   body. */
static bool
sends_only_framing(attempt *x)
{
    if (x->body_bytes != x->checked_body_bytes || x->paused) {
        x->checked_body_bytes = x->body_bytes;
        x->checked_socket_bytes = 0;
        return false;
    }
    uint64_t received = received_by_socket(x);
    if (!x->checked_socket_bytes)
        x->checked_socket_bytes = received;
    return received > x->checked_socket_bytes + FRAMING_BYTES_MAX;
}

/* A stream that sends some bytes now and then, but no event. */
static bool
is_stalled(const attempt *x, bbm_time now)
{
    return x->send.stream && x->send.stall_timeout && !x->paused
           && now - x->progress_at > x->send.stall_timeout;
}

/* The limit that an answer exceeds, for the log; NULL: none. */
static const char *
exceeded_limit(attempt *x, bbm_time now)
{
    if (!x->head_checked)
        return NULL;
    if (!x->accepted)
        return now - x->refused_at > REFUSED_BODY_TIME_MAX
                   ? "time of a refused body"
                   : NULL;
    if (is_stalled(x, now))
        return "time without an event";
    return sends_only_framing(x) ? "bytes of the framing" : NULL;
}

static void
check_limits(void *context)
{
    forward *f = context;
    bbm_time now = control_now();
    if (now - f->last_check_at < CHECK_PERIOD
        && ++f->silent_loops < SILENT_LOOPS_MAX)
        return;
    f->last_check_at = now;
    f->silent_loops = 0;
    attempt *x, *next;
    HASH_ITER(hh, f->attempts, x, next)
    {
        const char *limit = exceeded_limit(x, now);
        if (!limit)
            continue;
        log_limit(x, limit);
        finish(f, x, CURLE_ABORTED_BY_CALLBACK);
    }
}

/* A refused answer is waited for only until its time limit. */
static int
wait_limit_ms(void *context)
{
    const forward *f = context;
    for (const attempt *x = f->attempts; x; x = x->hh.next) {
        if (x->head_checked && !x->accepted)
            return CHECK_PERIOD / BBM_MS;
    }
    return POLL_WAIT_MS;
}

/* ---- the thread ---- */

static void
resume(const forward *f, uint64_t request)
{
    attempt *x = find_attempt(f, request);
    if (!x || !x->paused)
        return;
    x->paused = false;
    x->progress_at = control_now();
    curl_easy_pause(x->easy, CURLPAUSE_CONT);
}

static void
free_job(void *item)
{
    job *j = item;
    exchange_unref(j->ex);
    free(j);
}

static void
run_job(void *context, void *item)
{
    forward *f = context;
    job *j = item;
    attempt *x;
    switch (j->kind) {
    case JOB_START:
        start(f, j);
        break;
    case JOB_CANCEL:
        x = find_attempt(f, j->request);
        if (x)
            free_attempt(f, x);
        break;
    case JOB_RESUME:
        resume(f, j->request);
        break;
    }
    free_job(j);
}

forward *
forward_create(mailbox *control, const uint8_t *secret)
{
    forward *f = bbm_calloc(1, sizeof(*f));
    f->control = control;
    f->memory = mailbox_memory(control);
    f->event_hold.memory = f->memory;
    if (f->memory && f->memory->shares[MEMORY_EVENTS] < EVENT_HOLD_BYTES_MAX)
        f->event_hold.bytes_max = f->memory->shares[MEMORY_EVENTS];
    f->secret = secret;
    f->connections = connections_create();
    f->calls = calls_create(&(calls_desc){
        .context = f,
        .run_job = run_job,
        .transfer_done = on_done,
        .may_be_reset = may_be_reset,
        .before_poll = check_limits,
        .wait_limit_ms = wait_limit_ms,
        .free_job = free_job,
        .wait_ms = POLL_WAIT_MS,
        .idle_connections_max = IDLE_CONNECTIONS_MAX,
    });
    return f;
}

void
forward_stop(forward *f)
{
    if (!f)
        return;
    calls_stop(f->calls, 0, 0);
    attempt *x, *next;
    HASH_ITER(hh, f->attempts, x, next)
    {
        exchange_fail(x->ex, BBM_ERR_STOPPED, 0);
        free_attempt(f, x);
    }
}

void
forward_destroy(forward *f)
{
    if (!f)
        return;
    calls_destroy(f->calls);
    connections_destroy(f->connections);
    bbm_buf_free(&f->body);
    free(f);
}
