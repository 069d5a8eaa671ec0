#include "watcher.h"

#include "bbm_table.h"
#include "calls.h"
#include "control.h"
#include "watcher_report.h"

#include <curl/curl.h>
#include <jansson.h>
#include <limits.h>
#include <stdlib.h>
#include <string.h>

#define WAIT_MS 20
#define REPORT_LIMIT_MS 1000L
#define CONNECT_LIMIT_MS 500L
#define REPORT_BYTES_MOST ((size_t)64 * 1024 * 1024)

typedef enum job_kind {
    JOB_WATCH,
    JOB_ORDER,
} job_kind;

typedef struct job {
    job_kind kind;
    bbm_action action;
} job;

typedef struct runner {
    char engine[BBM_NAME_SIZE];
    char url[BBM_URL_SIZE];
    uint64_t incarnation;
    uint64_t after;
    bool whole;
    bool asking;
    bool leaving; /* no longer watched; ends with its question */
    bbm_time next;
    UT_hash_handle hh;
} runner;

/* A question to a runner, or an order. */
typedef struct call {
    runner *runner; /* NULL for an order */
    char id[BBM_NAME_SIZE];
    bbm_buf answer;
    char *body;
    struct curl_slist *headers;
    bbm_time not_after;
    bool late;
} call;

struct watcher {
    mailbox *control;
    bbm_time period;
    calls *calls;
    runner *runners;
};

/* ---- other threads' side ---- */

static void
put_job(watcher *w, job_kind kind, const bbm_action *action)
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
    bbm_name_set(a.u.watch.engine, engine);
    bbm_text_set(a.u.watch.url, BBM_URL_SIZE, url);
    a.u.watch.on = on;
    put_job(w, JOB_WATCH, &a);
}

void
watcher_order(watcher *w, const bbm_action *action)
{
    put_job(w, JOB_ORDER, action);
}

/* ---- calls ---- */

static size_t
on_data(char *data, size_t size, size_t n, void *context)
{
    call *c = context;
    size_t len = size * n;
    if (c->answer.len + len > REPORT_BYTES_MOST)
        return 0;
    bbm_buf_add(&c->answer, data, len);
    return len;
}

/* The last look at the clock before an order goes out. */
static int
on_connected(void *context, char *remote_ip, char *local_ip, int remote_port,
             int local_port)
{
    (void)remote_ip;
    (void)local_ip;
    (void)remote_port;
    (void)local_port;
    call *c = context;
    c->late = c->not_after && control_now() > c->not_after;
    return c->late ? CURL_PREREQFUNC_ABORT : CURL_PREREQFUNC_OK;
}

static CURL *
new_call(call *c, const char *url, long limit_ms)
{
    CURL *e = calls_create_easy(url, "http,https", CONNECT_LIMIT_MS);
    curl_easy_setopt(e, CURLOPT_PRIVATE, c);
    curl_easy_setopt(e, CURLOPT_TIMEOUT_MS, limit_ms);
    curl_easy_setopt(e, CURLOPT_WRITEFUNCTION, on_data);
    curl_easy_setopt(e, CURLOPT_WRITEDATA, c);
    curl_easy_setopt(e, CURLOPT_PREREQFUNCTION, on_connected);
    curl_easy_setopt(e, CURLOPT_PREREQDATA, c);
    return e;
}

static void
free_call(call *c)
{
    bbm_buf_free(&c->answer);
    curl_slist_free_all(c->headers);
    free(c->body);
    free(c);
}

static void
ask(watcher *w, runner *r, bbm_time now)
{
    call *c = bbm_calloc(1, sizeof(*c));
    char url[BBM_URL_SIZE + BBM_NAME_SIZE];
    c->runner = r;
    if (r->whole)
        snprintf(url, sizeof(url), "%s/v1/state?whole=1", r->url);
    else
        snprintf(url, sizeof(url), "%s/v1/state?after=%llu", r->url,
                 (unsigned long long)r->after);
    r->asking = true;
    r->next = now + w->period;
    calls_add(w->calls, new_call(c, url, REPORT_LIMIT_MS));
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
    long limit = (long)(a->u.order.limit / BBM_MS);
    CURL *e = new_call(c, url, limit);
    c->headers = curl_slist_append(NULL, "Content-Type: application/json");
    curl_easy_setopt(e, CURLOPT_HTTPHEADER, c->headers);
    curl_easy_setopt(e, CURLOPT_POSTFIELDS, c->body);
    calls_forbid_reuse(e);
    calls_add(w->calls, e);
}

/* ---- answers ---- */

static void
tell_unheard(watcher *w, const runner *r)
{
    control_item *item = control_item_create(CONTROL_REPORT_FAILED);
    bbm_name_set(item->name, r->engine);
    if (!mailbox_put(w->control, item))
        control_item_destroy(item);
}

static void
take_report(watcher *w, runner *r, call *c)
{
    control_item *item = control_item_create(CONTROL_REPORT);
    bbm_name_set(item->name, r->engine);
    int rc = watcher_report_parse((char *)c->answer.data, c->answer.len,
                                  &item->report, &item->events);
    if (rc < 0) {
        control_item_destroy(item);
        tell_unheard(w, r);
        return;
    }
    uint64_t last = item->report.last_event;
    bool again = r->incarnation != item->report.incarnation;
    bool whole = item->report.is_snapshot;
    uint64_t incarnation = item->report.incarnation;
    /* A report that is shed is asked for again: its events are needed. */
    if (!mailbox_put(w->control, item)) {
        control_item_destroy(item);
        r->whole = true;
        return;
    }
    r->after = last;
    r->whole = again && !whole;
    r->incarnation = incarnation;
}

static void
take_order_answer(watcher *w, const call *c, CURLcode rc, long status)
{
    control_item *item = control_item_create(CONTROL_ORDER_RESULT);
    bbm_name_set(item->name, c->id);
    bool taken = rc == CURLE_OK && status >= 200 && status < 300;
    item->code = taken ? BBM_OK : BBM_ERR_UPSTREAM;
    if (rc == CURLE_OK && status == 409)
        item->code = BBM_ERR_ORDER_FENCED;
    mailbox_put_waiting(w->control, item);
}

static void
end_call(void *context, CURL *easy, CURLcode rc)
{
    watcher *w = context;
    call *c = NULL;
    long status = 0;
    curl_easy_getinfo(easy, CURLINFO_PRIVATE, &c);
    curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
    calls_remove(w->calls, easy);
    curl_easy_cleanup(easy);
    runner *r = c->runner;
    if (!r) {
        take_order_answer(w, c, rc, status);
    }
    else {
        r->asking = false;
        if (r->leaving)
            free(r);
        else if (rc == CURLE_OK && status == 200)
            take_report(w, r, c);
        else
            tell_unheard(w, r);
    }
    free_call(c);
}

/* ---- the thread ---- */

static void
stop_watching(watcher *w, runner *r)
{
    HASH_DEL(w->runners, r);
    if (r->asking)
        r->leaving = true;
    else
        free(r);
}

static void
watch(watcher *w, const bbm_action *a)
{
    runner *r = NULL;
    HASH_FIND_STR(w->runners, a->u.watch.engine, r);
    if (!a->u.watch.on) {
        if (r)
            stop_watching(w, r);
        return;
    }
    if (!r) {
        r = bbm_calloc(1, sizeof(*r));
        bbm_name_set(r->engine, a->u.watch.engine);
        HASH_ADD_STR(w->runners, engine, r);
    }
    bbm_text_set(r->url, sizeof(r->url), a->u.watch.url);
    r->whole = true;
    r->next = 0;
}

static void
do_job(void *context, void *what)
{
    watcher *w = context;
    job *j = what;
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
ask_due(void *context)
{
    watcher *w = context;
    bbm_time now = control_now();
    for (runner *r = w->runners; r; r = r->hh.next) {
        if (!r->asking && now >= r->next)
            ask(w, r, now);
    }
}

watcher *
watcher_create(mailbox *control, bbm_time period)
{
    watcher *w = bbm_calloc(1, sizeof(*w));
    w->control = control;
    w->period = period;
    w->calls = calls_create(&(calls_desc){
        .context = w,
        .run_job = do_job,
        .transfer_done = end_call,
        .before_poll = ask_due,
        .free_job = free,
        .wait_ms = WAIT_MS,
    });
    return w;
}

/* Calls that are still under way end with the process. */
void
watcher_destroy(watcher *w)
{
    if (!w)
        return;
    calls_stop(w->calls, INT_MAX, WAIT_MS);
    BBM_TABLE_FREE(runner, w->runners);
    calls_destroy(w->calls);
    free(w);
}
