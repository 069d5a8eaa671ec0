#include "provider.h"

#include "answer_reader.h"
#include "bbm_log.h"
#include "bbm_table.h"
#include "calls.h"
#include "connections.h"
#include "control.h"

#include <curl/curl.h>
#include <stdlib.h>
#include <string.h>

#define POLL_WAIT_MS 200
#define CONNECT_TIMEOUT_MS 150L
#define LIST_TIMEOUT_MS 900L
/* A store holds a call open for up to one second before it answers. */
#define STORE_TIMEOUT_MS 1700L
/* Delay until the next call to a store: after one that it answered, and after
   a failed one. */
#define STORE_POLL_PERIOD (500 * BBM_MS)
#define STORE_RETRY_DELAY (200 * BBM_MS)
#define BODY_BYTES_MAX ((size_t)8 * 1024 * 1024)
#define PAGES_MAX 200
/* Longer header lines of an answer are ignored. */
#define HEADER_LINE_BYTES 1024
#define URL_SIZE 384
#define IDLE_CONNECTIONS_MAX 8L
/* At shutdown calls in flight are waited for by at most this number of waits
   of this length. */
#define SHUTDOWN_WAITS_MAX 10
#define SHUTDOWN_WAIT_MS 10
/* A connection that was idle for longer is not reused: an order must not be
   sent on one that the runner has closed. */
#define CONNECTION_IDLE_MAX_S 1L

typedef enum job_kind {
    JOB_LIST,
    JOB_ROLLOUT,
    JOB_STORE,
} job_kind;

typedef struct job {
    job_kind kind;
    bbm_rollout_action act;
    bbm_time not_after;
    char address[BBM_NAME_SIZE];
    bool on; /* JOB_STORE: start polling, or stop */
} job;

typedef enum call_kind {
    CALL_LIST,
    CALL_REPORT,
    CALL_ORDER,
    CALL_STORE,
} call_kind;

typedef struct watched_store {
    char address[BBM_NAME_SIZE];
    uint64_t cursor; /* position in its updates; 0: from the start */
    bool on;         /* polled; false once polling was stopped */
    bool in_flight;  /* a call to it is in flight */
    bbm_time next_poll_at;
    UT_hash_handle hh;
} watched_store;

typedef struct call {
    call_kind kind;
    char id[BBM_NAME_SIZE];
    bbm_time not_after; /* CALL_ORDER: latest time of sending */
    bool expired;       /* not sent, as not_after had passed */
    bbm_buf answer;
    answer_reader *reader;
    platform_response parsed_head;
    char *body; /* of an order; owned */
    struct curl_slist *headers;
    watched_store *store; /* CALL_STORE */
    provider *thread;
    CURL *easy;
    char number[24]; /* stands for an id, which calls don't have */
    connection_use connection;
    bool fresh_connection;    /* never use an idle connection */
    bool unusable_connection; /* its answer couldn't be told from another */
} call;

struct provider {
    provider_desc desc;
    calls *calls;
    connections *connections;
    uint64_t last_call;       /* number of the last call */
    bbm_listing listing;      /* from the pages read so far */
    size_t bad_entries;       /* unreadable entries in these pages */
    size_t pages;             /* pages read that named a next one */
    bool listing_in_progress; /* a read of the list has begun */
    watched_store *stores;
};

/* ---- called by other threads ---- */

static job *
new_job(job_kind kind)
{
    job *j = bbm_calloc(1, sizeof(*j));
    j->kind = kind;
    return j;
}

void
provider_read_listing(provider *p)
{
    calls_put(p->calls, new_job(JOB_LIST));
}

void
provider_send_rollout(provider *p, const bbm_rollout_action *act,
                      bbm_time not_after)
{
    job *j = new_job(JOB_ROLLOUT);
    j->act = *act;
    j->not_after = not_after;
    calls_put(p->calls, j);
}

void
provider_watch_store(provider *p, const char *address, bool on)
{
    job *j = new_job(JOB_STORE);
    bbm_name_set(j->address, address);
    j->on = on;
    calls_put(p->calls, j);
}

/* ---- calls ---- */

/* Nothing that the answer has said so far is used. */
static void
record_malformed(call *c, const char *fault)
{
    c->parsed_head = (platform_response){0};
    connection_use_record_malformed(&c->connection, "", c->id, fault);
}

static size_t
on_data(char *data, size_t size, size_t n, void *context)
{
    call *c = context;
    size_t len = size * n;
    const char *fault = answer_reader_body(c->reader, data, len, &c->answer);
    if (fault)
        record_malformed(c, fault);
    return fault || c->answer.len > BODY_BYTES_MAX ? 0 : len;
}

/* libcurl calls this right before it sends the request.  Aborts an order that
   is past its time limit. */
static int
on_before_send(void *context, char *remote_ip, char *local_ip, int remote_port,
               int local_port)
{
    (void)local_ip;
    call *c = context;
    c->expired = c->kind == CALL_ORDER && control_now() > c->not_after;
    connections_find(c->thread->connections, &c->connection, remote_ip,
                     remote_port, local_port, c->number);
    if (c->expired)
        return CURL_PREREQFUNC_ABORT;
    c->unusable_connection =
        !c->fresh_connection
        && connection_use_conflicts(&c->connection, "", c->id);
    if (c->unusable_connection)
        return CURL_PREREQFUNC_ABORT;
    connections_record(c->thread->connections, &c->connection, c->number);
    return CURL_PREREQFUNC_OK;
}

static call *
new_call(provider *p, call_kind kind, const char *id)
{
    call *c = bbm_calloc(1, sizeof(*c));
    c->kind = kind;
    c->thread = p;
    snprintf(c->number, sizeof(c->number), "%llu",
             (unsigned long long)++p->last_call);
    bbm_name_set(c->id, id);
    c->reader = answer_reader_create();
    return c;
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
parse_field(call *c, const answer_line *line)
{
    char text[HEADER_LINE_BYTES];
    const char *value = answer_field_copy(line, text, sizeof(text));
    if (value)
        platform_response_add_header(&c->parsed_head, NULL, text, value);
}

static size_t
on_header(char *data, size_t size, size_t n, void *context)
{
    call *c = context;
    size_t len = size * n;
    answer_line line = answer_reader_line(c->reader, data, len);
    switch (line.kind) {
    case ANSWER_LINE_STATUS:
        c->parsed_head = (platform_response){0};
        break;
    case ANSWER_LINE_FIELD:
        parse_field(c, &line);
        break;
    case ANSWER_LINE_HEAD_END:
        calls_keep_if_ok(c->easy, &c->connection);
        break;
    case ANSWER_LINE_INTERIM_END:
        break;
    case ANSWER_LINE_MALFORMED:
        record_malformed(c, line.u.fault);
        return 0;
    }
    return len;
}

/* Calls whose answer does harm if it belongs to an earlier call.

   A page doesn't say which one it is: with an old one in its place an upstream
   would be missing.  An order must be sent once only, while libcurl resends a
   request on a new connection if a reused one turns out to be closed.

   The others keep their connections, as upstreams and stores take few.  An old
   report has an old sequence number, and of a store's answer only its arrival
   counts. */
static bool
needs_own_connection(call_kind kind)
{
    switch (kind) {
    case CALL_LIST:
    case CALL_ORDER:
        return true;
    case CALL_REPORT:
    case CALL_STORE:
        return false;
    }
    return true;
}

static void
start_call(provider *p, call *c, const char *address, const char *path,
           long timeout_ms)
{
    char url[URL_SIZE];
    snprintf(url, sizeof(url), "http://%s%s", address, path);
    CURL *e = calls_create_easy(url, "http", CONNECT_TIMEOUT_MS);
    c->easy = e;
    calls_track_connection(e, p->connections, &c->connection);
    curl_easy_setopt(e, CURLOPT_PRIVATE, c);
    curl_easy_setopt(e, CURLOPT_TIMEOUT_MS, timeout_ms);
    curl_easy_setopt(e, CURLOPT_MAXAGE_CONN, CONNECTION_IDLE_MAX_S);
    curl_easy_setopt(e, CURLOPT_HEADERFUNCTION, on_header);
    curl_easy_setopt(e, CURLOPT_HEADERDATA, c);
    curl_easy_setopt(e, CURLOPT_WRITEFUNCTION, on_data);
    curl_easy_setopt(e, CURLOPT_WRITEDATA, c);
    curl_easy_setopt(e, CURLOPT_PREREQFUNCTION, on_before_send);
    curl_easy_setopt(e, CURLOPT_PREREQDATA, c);
    if (c->headers)
        curl_easy_setopt(e, CURLOPT_HTTPHEADER, c->headers);
    if (c->body)
        curl_easy_setopt(e, CURLOPT_POSTFIELDS, c->body);
    c->fresh_connection = needs_own_connection(c->kind);
    if (c->fresh_connection)
        calls_forbid_reuse(e);
    calls_add(p->calls, e);
}

/* Starts the call again, on a new connection. */
static void
reconnect(provider *p, call *c)
{
    c->unusable_connection = false;
    c->fresh_connection = true;
    calls_restart(p->calls, c->easy, &c->connection);
}

static void
request_page(provider *p, const char *page)
{
    bbm_buf path = {0};
    platform_listing_path(page, &path);
    start_call(p, new_call(p, CALL_LIST, ""), p->desc.list_address,
               (char *)path.data, LIST_TIMEOUT_MS);
    bbm_buf_free(&path);
}

static void
start_listing(provider *p)
{
    if (p->listing_in_progress || !p->desc.list_address[0])
        return;
    p->listing_in_progress = true;
    p->pages = 0;
    p->bad_entries = 0;
    bbm_listing_free(&p->listing);
    request_page(p, "");
}

static void
start_rollout_call(provider *p, const job *j)
{
    const bbm_rollout_action *act = &j->act;
    long timeout_ms = (long)(act->timeout / BBM_MS);
    if (!act->is_order) {
        start_call(p, new_call(p, CALL_REPORT, act->id), act->address,
                   platform_report_path(), timeout_ms);
        return;
    }
    call *c = new_call(p, CALL_ORDER, act->id);
    bbm_buf body = {0};
    char line[2 * BBM_NAME_SIZE];
    platform_order_body(act, p->desc.owner, &body);
    bbm_buf_add(&body, "", 1);
    c->body = (char *)body.data;
    c->not_after = j->not_after;
    snprintf(line, sizeof(line), "%s: %s", platform_instance_header(),
             act->id);
    c->headers = curl_slist_append(NULL, "Content-Type: application/json");
    c->headers = curl_slist_append(c->headers, line);
    start_call(p, c, act->address, platform_order_path(), timeout_ms);
}

/* ---- stores ---- */

static void
watch_store(provider *p, const job *j)
{
    watched_store *s = NULL;
    HASH_FIND_STR(p->stores, j->address, s);
    if (!s) {
        s = bbm_calloc(1, sizeof(*s));
        bbm_name_set(s->address, j->address);
        HASH_ADD_STR(p->stores, address, s);
    }
    s->on = j->on;
}

static void
poll_stores(void *context)
{
    provider *p = context;
    bbm_time now = control_now();
    for (watched_store *s = p->stores; s; s = s->hh.next) {
        if (!s->on || s->in_flight || now < s->next_poll_at)
            continue;
        bbm_buf path = {0};
        platform_store_events_path(s->cursor, &path);
        call *c = new_call(p, CALL_STORE, s->address);
        c->store = s;
        c->headers = curl_slist_append(NULL, platform_store_wait_header());
        s->in_flight = true;
        start_call(p, c, s->address, (char *)path.data, STORE_TIMEOUT_MS);
        bbm_buf_free(&path);
    }
}

/* A status 429 counts as alive too: the store only limits the rate of the
   calls. */
static void
finish_store(provider *p, call *c, bool answered, unsigned status)
{
    watched_store *s = c->store;
    bool alive = answered && (status == 200 || status == 429);
    s->in_flight = false;
    s->next_poll_at =
        control_now() + (alive ? STORE_POLL_PERIOD : STORE_RETRY_DELAY);
    bool parsed = status == 200
                  && platform_store_events_read((char *)c->answer.data,
                                                c->answer.len, &s->cursor)
                         == BBM_OK;
    if (!alive || !parsed)
        s->cursor = 0;
    if (!s->on)
        return;
    control_item *item = control_item_create(CONTROL_STORE_STATUS);
    bbm_name_set(item->name, s->address);
    item->succeeded = alive;
    mailbox_put_waiting(p->desc.control, item);
}

/* ---- answers ---- */

static void
report_listing(provider *p, bool succeeded)
{
    control_item *item = control_item_create(CONTROL_LISTING);
    p->listing_in_progress = false;
    item->succeeded = succeeded;
    item->id = p->bad_entries;
    item->listing = p->listing;
    p->listing = (bbm_listing){0};
    mailbox_put_waiting(p->desc.control, item);
}

static void
finish_page(provider *p, const call *c, bool succeeded)
{
    char next_page[BBM_NAME_SIZE];
    if (succeeded)
        succeeded =
            platform_listing_read((char *)c->answer.data, c->answer.len,
                                  &p->listing, &p->bad_entries, next_page)
            == BBM_OK;
    if (succeeded && next_page[0] && ++p->pages < PAGES_MAX)
        request_page(p, next_page);
    else
        report_listing(p, succeeded);
}

static void
finish_report(provider *p, const call *c, bool succeeded)
{
    control_item *item = control_item_create(CONTROL_ROLLOUT_REPORT);
    bbm_name_set(item->name, c->id);
    platform_response_notice(&c->parsed_head, 0, &item->notice);
    item->succeeded =
        succeeded
        && platform_report_read((char *)c->answer.data, c->answer.len,
                                &item->runner_report)
               == BBM_OK;
    mailbox_put_waiting(p->desc.control, item);
}

static void
finish_order(provider *p, const call *c, bool answered, unsigned status)
{
    control_item *item = control_item_create(CONTROL_ROLLOUT_ANSWER);
    bbm_name_set(item->name, c->id);
    platform_response_notice(&c->parsed_head, 0, &item->notice);
    item->order_answer =
        answered ? platform_order_answer(status) : BBM_ORDER_NO_ANSWER;
    mailbox_put_waiting(p->desc.control, item);
}

static void
finish_call(void *context, CURL *easy, CURLcode libcurl_rc)
{
    provider *p = context;
    call *c = NULL;
    curl_easy_getinfo(easy, CURLINFO_PRIVATE, &c);
    if (c->unusable_connection) {
        reconnect(p, c);
        return;
    }
    unsigned status = answer_reader_status(c->reader);
    CURLcode rc = calls_result(easy, libcurl_rc, c->reader, 0, false);
    if (calls_is_malformed(rc))
        record_malformed(c, curl_easy_strerror(rc));
    calls_remove(p->calls, easy);
    curl_easy_cleanup(easy);
    bool answered = rc == CURLE_OK;
    switch (c->kind) {
    case CALL_LIST:
        finish_page(p, c, answered && status == 200);
        break;
    case CALL_REPORT:
        finish_report(p, c, answered && status == 200);
        break;
    case CALL_ORDER:
        finish_order(p, c, answered, status);
        break;
    case CALL_STORE:
        finish_store(p, c, answered, status);
        break;
    }
    free_call(c);
}

/* ---- the thread ---- */

static void
run_job(void *context, void *data)
{
    provider *p = context;
    job *j = data;
    switch (j->kind) {
    case JOB_LIST:
        start_listing(p);
        break;
    case JOB_ROLLOUT:
        start_rollout_call(p, j);
        break;
    case JOB_STORE:
        watch_store(p, j);
        break;
    }
    free(j);
}

provider *
provider_create(const provider_desc *desc)
{
    provider *p = bbm_calloc(1, sizeof(*p));
    p->desc = *desc;
    p->connections = connections_create();
    p->calls = calls_create(&(calls_desc){
        .context = p,
        .run_job = run_job,
        .transfer_done = finish_call,
        .before_poll = poll_stores,
        .free_job = free,
        .wait_ms = POLL_WAIT_MS,
        .idle_connections_max = IDLE_CONNECTIONS_MAX,
    });
    return p;
}

/* Calls that have not ended after SHUTDOWN_WAITS_MAX waits are abandoned:
   their sockets are closed at the end of the process. */
void
provider_destroy(provider *p)
{
    if (!p)
        return;
    calls_stop(p->calls, SHUTDOWN_WAITS_MAX, SHUTDOWN_WAIT_MS);
    bbm_listing_free(&p->listing);
    BBM_TABLE_FREE(watched_store, p->stores);
    calls_destroy(p->calls);
    connections_destroy(p->connections);
    free(p);
}
