#include "forward.h"

#include "calls.h"
#include "control.h"
#include "events.h"

#include <curl/curl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <uthash.h>

#define WAIT_MS 1000
/* An upstream that hasn't taken a connection by then gets no request. */
#define CONNECT_MS 300L
/* Bytes sent that an upstream's machine doesn't confirm for so long end the
   connection; a silent connection is probed each second. */
#define UNCONFIRMED_MS 1200
#define PROBE_S 1
#define PROBES 2
/* Idle connections that are kept, and how long one is used again: an upstream
   that doesn't tell when it closes may do so after little more than a second.
   What may not be sent twice goes on fresh ones only. */
#define KEEP_CONNECTIONS 128L
#define REUSE_UNTOLD_S 1L
#define REUSE_ONCE_S 1L
#define READ_BYTES 16384L
#define HEADER_LINE 8192

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

/* An attempt under way. */
typedef struct flight {
    uint64_t request;
    exchange *ex;
    forward *thread;
    bbm_forward_request send;
    char after[BBM_EVENT_ID_SIZE]; /* goes on after this event */
    CURL *easy;
    struct curl_slist *lines;
    exchange_headers head;
    platform_response says;
    long status;
    int64_t length;
    event_splitter events;
    char tail[2]; /* last bytes of a stream */
    bool sent;    /* the upstream may have a byte of it */
    bool passed;  /* its answer goes to the caller */
    bool judged;  /* the head was looked at */
    bool paused;
    bbm_forward_outcome verdict; /* if it isn't passed */
    UT_hash_handle hh;
} flight;

struct forward {
    mailbox *control;
    calls *calls;
    flight *flights;
    long reuse_s; /* shortest time told for which connections are kept */
};

/* ---- other threads' side ---- */

static void
put_job(forward *f, job_kind kind, uint64_t request, exchange *ex,
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
    put_job(ex->producer, JOB_RESUME, ex->id, NULL, NULL, "");
}

void
forward_start(forward *f, exchange *ex, const bbm_forward_request *send,
              const char *last_event)
{
    exchange_set_producer(ex, f, on_drained);
    put_job(f, JOB_START, send->request, ex, send, last_event);
}

void
forward_cancel(forward *f, uint64_t request)
{
    put_job(f, JOB_CANCEL, request, NULL, NULL, "");
}

/* ---- telling control ---- */

static void
tell_head(const flight *x)
{
    control_item *item = control_item_create(CONTROL_RESPONSE_HEAD);
    item->id = x->request;
    item->attempt = x->send.attempt;
    mailbox_put_waiting(x->thread->control, item);
}

static void
tell_end(const flight *x, bbm_forward_outcome end)
{
    control_item *item = control_item_create(CONTROL_FORWARD_FINISHED);
    item->id = x->request;
    item->forwarded = (bbm_forward_result){
        .request = x->request,
        .attempt = x->send.attempt,
        .outcome = end,
        .status = (uint32_t)x->status,
    };
    memcpy(item->forwarded.last_event_id, x->events.last_id,
           sizeof(x->events.last_id));
    mailbox_put_waiting(x->thread->control, item);
}

/* ---- the head of an answer ---- */

static void
begin_head(flight *x, const char *line, size_t len)
{
    char text[32] = "";
    size_t n = len < sizeof(text) - 1 ? len : sizeof(text) - 1;
    memcpy(text, line, n);
    const char *space = strchr(text, ' ');
    x->status = space ? strtol(space + 1, NULL, 10) : 0;
    x->says = (platform_response){.keep_alive_s = -1};
    x->length = -1;
    exchange_headers_free(&x->head);
}

static void
take_line(flight *x, const char *line, size_t len)
{
    char text[HEADER_LINE];
    if (len >= sizeof(text))
        return;
    memcpy(text, line, len);
    text[len] = '\0';
    char *colon = strchr(text, ':');
    if (!colon)
        return;
    *colon = '\0';
    char *value = colon + 1;
    value += strspn(value, " \t");
    size_t end = strlen(value);
    while (end && strchr(" \t\r\n", value[end - 1]))
        value[--end] = '\0';
    if (strcasecmp(text, "Content-Length") == 0)
        x->length = strtoll(value, NULL, 10);
    if (platform_response_add_header(&x->says, x->ex->parsed_headers.id, text, value))
        exchange_headers_add(&x->head, text, value);
}

/* An upstream that answers before it has all of the body must get the rest of
   it or none on this connection. */
static void
check_upload(const flight *x)
{
    curl_off_t up = 0;
    curl_easy_getinfo(x->easy, CURLINFO_SIZE_UPLOAD_T, &up);
    if (up < (curl_off_t)x->ex->body.len)
        curl_easy_setopt(x->easy, CURLOPT_FORBID_REUSE, 1L);
}

static void
note_keep(const flight *x)
{
    long keep = (long)x->says.keep_alive_s - 1;
    if (x->says.keep_alive_s >= 0
        && (!x->thread->reuse_s || keep < x->thread->reuse_s))
        x->thread->reuse_s = keep > 0 ? keep : REUSE_UNTOLD_S;
}

/* False if the connection must not be read on. */
static bool
end_head(flight *x)
{
    if (x->status < 200)
        return true;
    x->judged = true;
    check_upload(x);
    note_keep(x);
    x->says.head.status = (uint32_t)x->status;
    bool passes = bbm_gate_accept_head(&x->send, &x->says.head, &x->verdict);
    bool goes_on = x->after[0] != '\0';
    if (passes && goes_on && x->status != 200) {
        passes = false;
        x->verdict = BBM_FORWARD_FAILED;
    }
    if (!passes)
        return x->verdict != BBM_FORWARD_NO_ANSWER;
    x->passed = true;
    int64_t length = x->send.stream ? -1 : x->length;
    if (!goes_on)
        exchange_set_verbatim_head(x->ex, (unsigned)x->status, length, &x->head);
    tell_head(x);
    return true;
}

static size_t
on_header(char *data, size_t size, size_t n, void *context)
{
    flight *x = context;
    size_t len = size * n;
    if (len >= 5 && memcmp(data, "HTTP/", 5) == 0)
        begin_head(x, data, len);
    else if (len == 2 && data[0] == '\r')
        return end_head(x) ? len : 0;
    else if (!x->judged)
        take_line(x, data, len);
    return len;
}

/* ---- the body of an answer ---- */

static void
pass_events(flight *x, const char *data, size_t len)
{
    size_t whole = event_splitter_append(&x->events, data, len);
    if (!whole)
        return;
    exchange_write(x->ex, x->events.bytes.data, whole);
    event_splitter_consume(&x->events, whole);
}

static void
remember_tail(flight *x, const char *data, size_t len)
{
    if (len >= 2)
        memcpy(x->tail, data + len - 2, 2);
    else if (len == 1) {
        x->tail[0] = x->tail[1];
        x->tail[1] = data[0];
    }
}

static size_t
on_data(char *data, size_t size, size_t n, void *context)
{
    flight *x = context;
    size_t len = size * n;
    if (!x->passed)
        return len;
    if (!exchange_write(x->ex, NULL, 0)) {
        x->paused = true;
        return CURL_WRITEFUNC_PAUSE;
    }
    remember_tail(x, data, len);
    if (x->send.resumable)
        pass_events(x, data, len);
    else
        exchange_write(x->ex, data, len);
    return len;
}

/* ---- sending ---- */

/* Called right before the request goes out, and again when the library wants
   to send it once more because a kept connection was dead. */
static int
on_connected(void *context, char *remote_ip, char *local_ip, int remote_port,
             int local_port)
{
    (void)remote_ip;
    (void)local_ip;
    (void)remote_port;
    (void)local_port;
    flight *x = context;
    if (x->sent && !x->send.repeatable)
        return CURL_PREREQFUNC_ABORT;
    x->sent = true;
    return CURL_PREREQFUNC_OK;
}

static int
on_socket(void *context, curl_socket_t fd, curlsocktype purpose)
{
    (void)context;
    (void)purpose;
    unsigned unconfirmed = UNCONFIRMED_MS;
    int probes = PROBES;
    setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &unconfirmed,
               sizeof(unconfirmed));
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof(probes));
    return CURL_SOCKOPT_OK;
}

static void
add_line(void *context, const char *name, const char *value)
{
    flight *x = context;
    char line[HEADER_LINE];
    /* The library drops a header without a value unless it is marked so. */
    if (value[0])
        snprintf(line, sizeof(line), "%s: %s", name, value);
    else
        snprintf(line, sizeof(line), "%s;", name);
    calls_append_header(&x->lines, line);
}

static bool
is_sent_along(const exchange *ex, const char *name)
{
    for (size_t i = 0; i < ex->headers.len; i++) {
        if (strcasecmp(ex->headers.items[i].name, name) == 0)
            return true;
    }
    return false;
}

/* What the library would add by itself and the caller didn't send. */
static void
drop_own(flight *x, const char *name)
{
    char line[64];
    if (is_sent_along(x->ex, name))
        return;
    snprintf(line, sizeof(line), "%s:", name);
    calls_append_header(&x->lines, line);
}

static void
add_headers(flight *x)
{
    const exchange *ex = x->ex;
    bool goes_on = x->after[0] != '\0';
    add_line(x, "Host", ex->host);
    for (size_t i = 0; i < ex->headers.len; i++) {
        const exchange_header *h = &ex->headers.items[i];
        bool replaced = goes_on && strcasecmp(h->name, "Last-Event-Id") == 0;
        if (!replaced)
            add_line(x, h->name, h->value);
    }
    drop_own(x, "Accept");
    drop_own(x, "Expect");
    drop_own(x, "Content-Type");
    int64_t left_ms = 0;
    if (ex->parsed_headers.client_timeout_ms > 0)
        left_ms = (x->send.deadline - control_now()) / BBM_MS;
    if (ex->parsed_headers.client_timeout_ms > 0 && left_ms < 1)
        left_ms = 1;
    platform_forward_headers(&x->send, left_ms, x->after, add_line, x);
    curl_easy_setopt(x->easy, CURLOPT_HTTPHEADER, x->lines);
}

static void
make_easy(flight *x)
{
    const exchange *ex = x->ex;
    char url[BBM_NAME_SIZE + 16];
    long reuse = x->thread->reuse_s ? x->thread->reuse_s : REUSE_UNTOLD_S;
    if (!x->send.repeatable && reuse > REUSE_ONCE_S)
        reuse = REUSE_ONCE_S;
    snprintf(url, sizeof(url), "http://%s/", x->send.address);
    CURL *e = calls_create_easy(url, "http", CONNECT_MS);
    x->easy = e;
    curl_easy_setopt(e, CURLOPT_REQUEST_TARGET, ex->request_target);
    curl_easy_setopt(e, CURLOPT_PRIVATE, x);
    curl_easy_setopt(e, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(e, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(e, CURLOPT_BUFFERSIZE, READ_BYTES);
    curl_easy_setopt(e, CURLOPT_MAXAGE_CONN, reuse);
    curl_easy_setopt(e, CURLOPT_TCP_KEEPALIVE, 1L);
    curl_easy_setopt(e, CURLOPT_TCP_KEEPIDLE, (long)PROBE_S);
    curl_easy_setopt(e, CURLOPT_TCP_KEEPINTVL, (long)PROBE_S);
    curl_easy_setopt(e, CURLOPT_SOCKOPTFUNCTION, on_socket);
    curl_easy_setopt(e, CURLOPT_HEADERFUNCTION, on_header);
    curl_easy_setopt(e, CURLOPT_HEADERDATA, x);
    curl_easy_setopt(e, CURLOPT_WRITEFUNCTION, on_data);
    curl_easy_setopt(e, CURLOPT_WRITEDATA, x);
    curl_easy_setopt(e, CURLOPT_PREREQFUNCTION, on_connected);
    curl_easy_setopt(e, CURLOPT_PREREQDATA, x);
    bool framed = ex->parsed_headers.content_length_count || ex->parsed_headers.transfer_encoding_count;
    calls_set_request(e, ex->method, framed ? &ex->body : NULL);
    add_headers(x);
}

/* ---- attempts ---- */

static flight *
find_flight(const forward *f, uint64_t request)
{
    flight *x = NULL;
    HASH_FIND(hh, f->flights, &request, sizeof(request), x);
    return x;
}

static void
free_flight(forward *f, flight *x)
{
    HASH_DEL(f->flights, x);
    calls_remove(f->calls, x->easy);
    curl_easy_cleanup(x->easy);
    curl_slist_free_all(x->lines);
    exchange_headers_free(&x->head);
    event_splitter_free(&x->events);
    exchange_unref(x->ex);
    free(x);
}

static void
start(forward *f, const job *j)
{
    flight *old = find_flight(f, j->request);
    if (old && old->passed) {
        /* Its answer began while the next attempt was decided: that one is not
           made, and the answer goes on in its name. */
        old->send.attempt = j->send.attempt;
        tell_head(old);
        return;
    }
    if (old)
        free_flight(f, old);
    flight *x = bbm_calloc(1, sizeof(*x));
    x->request = j->request;
    x->ex = exchange_ref(j->ex);
    x->thread = f;
    x->send = j->send;
    x->says.keep_alive_s = -1;
    x->length = -1;
    memcpy(x->after, j->last_event, sizeof(x->after));
    memcpy(x->events.last_id, j->last_event, sizeof(x->after));
    HASH_ADD(hh, f->flights, request, sizeof(x->request), x);
    make_easy(x);
    calls_add(f->calls, x->easy);
}

/* A stream without a length that ends inside an event was cut, however
   politely. */
static bool
ends_inside(const flight *x)
{
    if (!x->send.stream || x->status != 200 || x->length >= 0)
        return false;
    return x->send.resumable ? x->events.bytes.len > 0
                             : x->tail[1] && x->tail[1] != '\n';
}

static bbm_forward_outcome
judge(const flight *x, CURLcode rc)
{
    if (x->judged && !x->passed)
        return x->verdict;
    if (rc == CURLE_OK && x->passed)
        return ends_inside(x) ? BBM_FORWARD_TRUNCATED : BBM_FORWARD_COMPLETE;
    if (x->passed)
        return BBM_FORWARD_TRUNCATED;
    return x->sent ? BBM_FORWARD_NO_ANSWER : BBM_FORWARD_UNSENT;
}

static void
finish(forward *f, flight *x, CURLcode rc)
{
    bbm_forward_outcome end = judge(x, rc);
    if (end == BBM_FORWARD_COMPLETE) {
        if (x->events.bytes.len)
            exchange_write(x->ex, x->events.bytes.data, x->events.bytes.len);
        exchange_finish(x->ex, false);
    }
    tell_end(x, end);
    free_flight(f, x);
}

static void
on_done(void *context, CURL *easy, CURLcode code)
{
    flight *x = NULL;
    curl_easy_getinfo(easy, CURLINFO_PRIVATE, &x);
    finish(context, x, code);
}

/* ---- the thread ---- */

static void
resume(const forward *f, uint64_t request)
{
    flight *x = find_flight(f, request);
    if (!x || !x->paused)
        return;
    x->paused = false;
    curl_easy_pause(x->easy, CURLPAUSE_CONT);
}

static void
drop_job(void *what)
{
    job *j = what;
    exchange_unref(j->ex);
    free(j);
}

static void
do_job(void *context, void *what)
{
    forward *f = context;
    job *j = what;
    flight *x;
    switch (j->kind) {
    case JOB_START:
        start(f, j);
        break;
    case JOB_CANCEL:
        x = find_flight(f, j->request);
        if (x)
            free_flight(f, x);
        break;
    case JOB_RESUME:
        resume(f, j->request);
        break;
    }
    drop_job(j);
}

forward *
forward_create(mailbox *control)
{
    forward *f = bbm_calloc(1, sizeof(*f));
    f->control = control;
    f->calls = calls_create(&(calls_desc){
        .context = f,
        .run_job = do_job,
        .transfer_done = on_done,
        .free_job = drop_job,
        .wait_ms = WAIT_MS,
        .idle_connections_max = KEEP_CONNECTIONS,
    });
    return f;
}

void
forward_stop(forward *f)
{
    if (!f)
        return;
    calls_stop(f->calls, 0, 0);
    flight *x, *next;
    HASH_ITER(hh, f->flights, x, next)
    {
        exchange_fail(x->ex, BBM_ERR_UPSTREAM_CUT, 0);
        free_flight(f, x);
    }
}

void
forward_destroy(forward *f)
{
    if (!f)
        return;
    calls_destroy(f->calls);
    free(f);
}
