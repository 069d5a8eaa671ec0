#include "watcher.h"

#include "answer_reader.h"
#include "bbm_table.h"
#include "calls.h"
#include "connections.h"
#include "control.h"
#include "watcher_report.h"

#include <curl/curl.h>
#include <jansson.h>
#include <limits.h>
#include <stdlib.h>
#include <string.h>

#define POLL_WAIT_MS 20
#define REPORT_TIMEOUT_MS 1000L
#define CONNECT_TIMEOUT_MS 500L
#define REPORT_BYTES_MAX ((size_t)64 * 1024 * 1024)

typedef enum job_kind {
    JOB_WATCH,
    JOB_ORDER,
} job_kind;

typedef struct job {
    job_kind kind;
    bbm_action action;
} job;

typedef struct watched_engine {
    char name[BBM_NAME_SIZE];
    char url[BBM_URL_SIZE];
    uint64_t incarnation; /* of the last report; 0: none yet */
    uint64_t last_event; /* sequence number of the last cache event reported */
    bool needs_snapshot; /* the next poll requests all blocks */
    bool in_flight;      /* a poll is in flight */
    bool unwatched;      /* released when the poll in flight has ended */
    bbm_time next_poll_at;
    UT_hash_handle hh;
} watched_engine;

/* A poll of an engine, or an order. */
typedef struct call {
    watched_engine *engine; /* NULL for an order */
    char id[BBM_NAME_SIZE];
    answer_reader *reader;
    bbm_buf answer;
    char *body; /* of an order; owned */
    struct curl_slist *headers;
    bbm_time not_after; /* 0: no limit */
    bool expired;       /* not sent, as not_after had passed */
    watcher *thread;
    CURL *easy;
    char number[24]; /* stands for an id, which calls don't have */
    connection_use connection;
    bool fresh_connection;    /* never use an idle connection */
    bool unusable_connection; /* its answer couldn't be told from another */
} call;

struct watcher {
    mailbox *control;
    bbm_time period;
    calls *calls;
    connections *connections;
    uint64_t last_call; /* number of the last call */
    watched_engine *engines;
};

/* ---- called by other threads ---- */

static void
queue_job(watcher *w, job_kind kind, const bbm_action *action)
{
    job *j = bbm_calloc(1, sizeof(*j));
    j->kind = kind;
    if (action)
        j->action = *action;
    calls_put(w->calls, j);
}

void
watcher_watch(watcher *w, const char *engine, const char *url, bool on)
{
    bbm_action a = {.kind = BBM_ACT_WATCH_RUNNER};
    bbm_name_set(a.u.watch_runner.engine, engine);
    bbm_text_set(a.u.watch_runner.url, BBM_URL_SIZE, url);
    a.u.watch_runner.on = on;
    queue_job(w, JOB_WATCH, &a);
}

void
watcher_order(watcher *w, const bbm_action *action)
{
    queue_job(w, JOB_ORDER, action);
}

/* ---- calls ---- */

static void
record_malformed(const call *c, const char *fault)
{
    connection_use_record_malformed(&c->connection, c->id,
                                    c->engine ? c->engine->name : "", fault);
}

static size_t
on_data(char *data, size_t size, size_t n, void *context)
{
    call *c = context;
    size_t len = size * n;
    const char *fault = answer_reader_body(c->reader, data, len, &c->answer);
    if (fault)
        record_malformed(c, fault);
    return fault || c->answer.len > REPORT_BYTES_MAX ? 0 : len;
}

/* libcurl calls this right before it sends the request.  Aborts an order that
   is past its time limit, and a poll whose answer couldn't be told from a late
   one. */
static int
on_before_send(void *context, char *remote_ip, char *local_ip, int remote_port,
               int local_port)
{
    (void)local_ip;
    call *c = context;
    c->expired = c->not_after && control_now() > c->not_after;
    if (c->expired)
        return CURL_PREREQFUNC_ABORT;
    connections_find(c->thread->connections, &c->connection, remote_ip,
                     remote_port, local_port, c->number);
    c->unusable_connection =
        !c->fresh_connection
        && connection_use_conflicts(&c->connection, "", c->engine->name);
    if (c->unusable_connection)
        return CURL_PREREQFUNC_ABORT;
    connections_record(c->thread->connections, &c->connection, c->number);
    return CURL_PREREQFUNC_OK;
}

/* Of any answer but a report a copy may come where the next report is due.  A
   copied report shows by the numbers of its events. */
static size_t
on_header(char *data, size_t size, size_t n, void *context)
{
    const call *c = context;
    size_t len = size * n;
    answer_line line = answer_reader_line(c->reader, data, len);
    switch (line.kind) {
    case ANSWER_LINE_HEAD_END:
        calls_keep_if_ok(c->easy, &c->connection);
        break;
    case ANSWER_LINE_STATUS:
    case ANSWER_LINE_FIELD:
    case ANSWER_LINE_INTERIM_END:
        break;
    case ANSWER_LINE_MALFORMED:
        record_malformed(c, line.u.fault);
        return 0;
    }
    return len;
}

static CURL *
new_call(watcher *w, call *c, const char *url, long timeout_ms)
{
    CURL *e = calls_create_easy(url, "http,https", CONNECT_TIMEOUT_MS);
    c->thread = w;
    c->easy = e;
    c->reader = answer_reader_create();
    snprintf(c->number, sizeof(c->number), "%llu",
             (unsigned long long)++w->last_call);
    calls_track_connection(e, w->connections, &c->connection);
    curl_easy_setopt(e, CURLOPT_PRIVATE, c);
    curl_easy_setopt(e, CURLOPT_TIMEOUT_MS, timeout_ms);
    curl_easy_setopt(e, CURLOPT_HEADERFUNCTION, on_header);
    curl_easy_setopt(e, CURLOPT_HEADERDATA, c);
    curl_easy_setopt(e, CURLOPT_WRITEFUNCTION, on_data);
    curl_easy_setopt(e, CURLOPT_WRITEDATA, c);
    curl_easy_setopt(e, CURLOPT_PREREQFUNCTION, on_before_send);
    curl_easy_setopt(e, CURLOPT_PREREQDATA, c);
    return e;
}

static void
free_call(call *c)
{
    bbm_buf_free(&c->answer);
    answer_reader_destroy(c->reader);
    curl_slist_free_all(c->headers);
    free(c->body);
    free(c);
}

static void
poll_engine(watcher *w, watched_engine *r, bbm_time now)
{
    call *c = bbm_calloc(1, sizeof(*c));
    char url[BBM_URL_SIZE + BBM_NAME_SIZE];
    c->engine = r;
    if (r->needs_snapshot)
        snprintf(url, sizeof(url), "%s/v1/state?whole=1", r->url);
    else
        snprintf(url, sizeof(url), "%s/v1/state?after=%llu", r->url,
                 (unsigned long long)r->last_event);
    r->in_flight = true;
    r->next_poll_at = now + w->period;
    calls_add(w->calls, new_call(w, c, url, REPORT_TIMEOUT_MS));
}

static void
send_order(watcher *w, const bbm_action *a)
{
    call *c = bbm_calloc(1, sizeof(*c));
    char url[BBM_URL_SIZE + BBM_NAME_SIZE];
    snprintf(url, sizeof(url), "%s/v1/orders", a->u.order.url);
    bbm_name_set(c->id, a->u.order.id);
    c->not_after = a->u.order.not_after;
    json_t *doc =
        json_pack("{s:s, s:s, s:s, s:s, s:I}", "id", a->u.order.id, "action",
                  "load", "weights", a->u.order.weights, "source",
                  a->u.order.source, "fence", (json_int_t)a->u.order.fence);
    c->body = json_dumps(doc, JSON_COMPACT);
    json_decref(doc);
    long limit = (long)(a->u.order.timeout / BBM_MS);
    CURL *e = new_call(w, c, url, limit);
    c->headers = curl_slist_append(NULL, "Content-Type: application/json");
    curl_easy_setopt(e, CURLOPT_HTTPHEADER, c->headers);
    curl_easy_setopt(e, CURLOPT_POSTFIELDS, c->body);
    c->fresh_connection = true;
    calls_forbid_reuse(e);
    calls_add(w->calls, e);
}

/* ---- answers ---- */

static void
report_failure(watcher *w, const watched_engine *r)
{
    control_item *item = control_item_create(CONTROL_REPORT_FAILED);
    bbm_name_set(item->name, r->name);
    if (!mailbox_put(w->control, item))
        control_item_destroy(item);
}

static void
handle_report(watcher *w, watched_engine *r, call *c)
{
    control_item *item = control_item_create(CONTROL_REPORT);
    bbm_name_set(item->name, r->name);
    int rc = watcher_report_parse((char *)c->answer.data, c->answer.len,
                                  &item->report, &item->events);
    if (rc < 0) {
        control_item_destroy(item);
        report_failure(w, r);
        return;
    }
    uint64_t last_sequence = item->report.last_event;
    bool restarted = r->incarnation != item->report.incarnation;
    bool is_snapshot = item->report.is_snapshot;
    uint64_t incarnation = item->report.incarnation;
    /* A full mailbox drops the report.  Its events are needed, so the next
       poll requests a snapshot. */
    if (!mailbox_put(w->control, item)) {
        control_item_destroy(item);
        r->needs_snapshot = true;
        return;
    }
    r->last_event = last_sequence;
    r->needs_snapshot = restarted && !is_snapshot;
    r->incarnation = incarnation;
}

static void
handle_order_answer(watcher *w, const call *c, CURLcode rc, unsigned status)
{
    control_item *item = control_item_create(CONTROL_ORDER_RESULT);
    bbm_name_set(item->name, c->id);
    bool accepted = rc == CURLE_OK && status >= 200 && status < 300;
    item->code = accepted ? BBM_OK : BBM_ERR_UPSTREAM;
    if (rc == CURLE_OK && status == 409)
        item->code = BBM_ERR_ORDER_FENCED;
    mailbox_put_waiting(w->control, item);
}

static void
finish_call(void *context, CURL *easy, CURLcode libcurl_rc)
{
    watcher *w = context;
    call *c = NULL;
    curl_easy_getinfo(easy, CURLINFO_PRIVATE, &c);
    if (c->unusable_connection) {
        c->unusable_connection = false;
        c->fresh_connection = true;
        calls_restart(w->calls, easy, &c->connection);
        return;
    }
    unsigned status = answer_reader_status(c->reader);
    CURLcode rc = calls_result(easy, libcurl_rc, c->reader, 0, false);
    if (calls_is_malformed(rc))
        record_malformed(c, curl_easy_strerror(rc));
    calls_remove(w->calls, easy);
    curl_easy_cleanup(easy);
    watched_engine *r = c->engine;
    if (!r) {
        handle_order_answer(w, c, rc, status);
    }
    else {
        r->in_flight = false;
        if (r->unwatched)
            free(r);
        else if (rc == CURLE_OK && status == 200)
            handle_report(w, r, c);
        else
            report_failure(w, r);
    }
    free_call(c);
}

/* ---- the thread ---- */

static void
stop_watching(watcher *w, watched_engine *r)
{
    HASH_DEL(w->engines, r);
    if (r->in_flight)
        r->unwatched = true;
    else
        free(r);
}

static void
watch(watcher *w, const bbm_action *a)
{
    watched_engine *r = NULL;
    HASH_FIND_STR(w->engines, a->u.watch_runner.engine, r);
    if (!a->u.watch_runner.on) {
        if (r)
            stop_watching(w, r);
        return;
    }
    if (!r) {
        r = bbm_calloc(1, sizeof(*r));
        bbm_name_set(r->name, a->u.watch_runner.engine);
        HASH_ADD_STR(w->engines, name, r);
    }
    bbm_text_set(r->url, sizeof(r->url), a->u.watch_runner.url);
    r->needs_snapshot = true;
    r->next_poll_at = 0;
}

static void
run_job(void *context, void *data)
{
    watcher *w = context;
    job *j = data;
    switch (j->kind) {
    case JOB_WATCH:
        watch(w, &j->action);
        break;
    case JOB_ORDER:
        send_order(w, &j->action);
        break;
    }
    free(j);
}

static void
poll_due_engines(void *context)
{
    watcher *w = context;
    bbm_time now = control_now();
    for (watched_engine *r = w->engines; r; r = r->hh.next) {
        if (!r->in_flight && now >= r->next_poll_at)
            poll_engine(w, r, now);
    }
}

watcher *
watcher_create(mailbox *control, bbm_time period)
{
    watcher *w = bbm_calloc(1, sizeof(*w));
    w->control = control;
    w->period = period;
    w->connections = connections_create();
    w->calls = calls_create(&(calls_desc){
        .context = w,
        .run_job = run_job,
        .transfer_done = finish_call,
        .before_poll = poll_due_engines,
        .free_job = free,
        .wait_ms = POLL_WAIT_MS,
    });
    return w;
}

/* Waits for the calls in flight; each ends by its timeout at the latest. */
void
watcher_destroy(watcher *w)
{
    if (!w)
        return;
    calls_stop(w->calls, INT_MAX, POLL_WAIT_MS);
    BBM_TABLE_FREE(watched_engine, w->engines);
    calls_destroy(w->calls);
    connections_destroy(w->connections);
    free(w);
}
