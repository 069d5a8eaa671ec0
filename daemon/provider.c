#include "provider.h"

#include "bbm_table.h"
#include "calls.h"
#include "control.h"

#include <curl/curl.h>
#include <stdlib.h>
#include <string.h>

#define WAIT_MS 200
#define CONNECT_MS 150L
#define LIST_MS 900L
#define REPORT_MS 250L
#define ORDER_MS 200L
/* A store keeps a call waiting for a second at most. */
#define STORE_MS 1700L
/* Between two calls to a store, and after a failed one. */
#define STORE_PAUSE (500 * BBM_MS)
#define STORE_AGAIN (200 * BBM_MS)
#define BODY_MOST ((size_t)8 * 1024 * 1024)
#define PAGES_MOST 200
#define URL_SIZE 384
#define KEEP_CONNECTIONS 8L
/* What is under way at the end is waited for so long. */
#define LAST_TURNS 10
#define LAST_WAIT_MS 10
/* Idle connections are not used for longer: an order must not go into a dead
   one. */
#define REUSE_S 1L

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
    bool on;
} job;

typedef enum call_kind {
    CALL_LIST,
    CALL_REPORT,
    CALL_ORDER,
    CALL_STORE,
} call_kind;

typedef struct store_row {
    char address[BBM_NAME_SIZE];
    uint64_t since;
    bool on;
    bool asking;
    bbm_time next;
    UT_hash_handle hh;
} store_row;

typedef struct call {
    call_kind kind;
    char id[BBM_NAME_SIZE];
    bbm_time not_after;
    bool late;
    bbm_buf answer;
    char *body;
    struct curl_slist *lines;
    store_row *store;
} call;

struct provider {
    provider_desc desc;
    calls *calls;
    bbm_listing listing; /* pages read so far */
    size_t bad;          /* entries that can't be read */
    size_t pages;
    bool listing_now;
    store_row *stores;
};

/* ---- other threads' side ---- */

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

static size_t
on_data(char *data, size_t size, size_t n, void *context)
{
    call *c = context;
    size_t len = size * n;
    if (c->answer.len + len > BODY_MOST)
        return 0;
    bbm_buf_add(&c->answer, data, len);
    return len;
}

/* The last look at the clock before an order goes out; one that the library
   would send once more on another connection goes out once. */
static int
on_connected(void *context, char *remote_ip, char *local_ip, int remote_port,
             int local_port)
{
    (void)remote_ip;
    (void)local_ip;
    (void)remote_port;
    (void)local_port;
    call *c = context;
    if (c->kind != CALL_ORDER)
        return CURL_PREREQFUNC_OK;
    c->late = control_now() > c->not_after;
    return c->late ? CURL_PREREQFUNC_ABORT : CURL_PREREQFUNC_OK;
}

static call *
new_call(call_kind kind, const char *id)
{
    call *c = bbm_calloc(1, sizeof(*c));
    c->kind = kind;
    bbm_name_set(c->id, id);
    return c;
}

static void
free_call(call *c)
{
    bbm_buf_free(&c->answer);
    curl_slist_free_all(c->lines);
    free(c->body);
    free(c);
}

static void
begin_call(provider *p, call *c, const char *address, const char *path,
           long limit_ms)
{
    char url[URL_SIZE];
    snprintf(url, sizeof(url), "http://%s%s", address, path);
    CURL *e = calls_create_easy(url, "http", CONNECT_MS);
    curl_easy_setopt(e, CURLOPT_PRIVATE, c);
    curl_easy_setopt(e, CURLOPT_TIMEOUT_MS, limit_ms);
    curl_easy_setopt(e, CURLOPT_MAXAGE_CONN, REUSE_S);
    curl_easy_setopt(e, CURLOPT_WRITEFUNCTION, on_data);
    curl_easy_setopt(e, CURLOPT_WRITEDATA, c);
    curl_easy_setopt(e, CURLOPT_PREREQFUNCTION, on_connected);
    curl_easy_setopt(e, CURLOPT_PREREQDATA, c);
    if (c->lines)
        curl_easy_setopt(e, CURLOPT_HTTPHEADER, c->lines);
    if (c->body)
        curl_easy_setopt(e, CURLOPT_POSTFIELDS, c->body);
    if (c->kind == CALL_ORDER)
        calls_forbid_reuse(e);
    calls_add(p->calls, e);
}

static void
ask_page(provider *p, const char *page)
{
    bbm_buf path = {0};
    platform_listing_path(page, &path);
    begin_call(p, new_call(CALL_LIST, ""), p->desc.list_address, (char *)path.data,
               LIST_MS);
    bbm_buf_free(&path);
}

static void
begin_list(provider *p)
{
    if (p->listing_now || !p->desc.list_address[0])
        return;
    p->listing_now = true;
    p->pages = 0;
    p->bad = 0;
    bbm_listing_free(&p->listing);
    ask_page(p, "");
}

static void
begin_rollout(provider *p, const job *j)
{
    const bbm_rollout_action *act = &j->act;
    if (!act->is_order) {
        begin_call(p, new_call(CALL_REPORT, act->id), act->address,
                   platform_report_path(), REPORT_MS);
        return;
    }
    call *c = new_call(CALL_ORDER, act->id);
    bbm_buf body = {0};
    char line[2 * BBM_NAME_SIZE];
    platform_order_body(act, p->desc.owner, &body);
    bbm_buf_add(&body, "", 1);
    c->body = (char *)body.data;
    c->not_after = j->not_after;
    snprintf(line, sizeof(line), "%s: %s", platform_instance_header(),
             act->id);
    c->lines = curl_slist_append(NULL, "Content-Type: application/json");
    c->lines = curl_slist_append(c->lines, line);
    begin_call(p, c, act->address, platform_order_path(), ORDER_MS);
}

/* ---- stores ---- */

static void
watch_store(provider *p, const job *j)
{
    store_row *s = NULL;
    HASH_FIND_STR(p->stores, j->address, s);
    if (!s) {
        s = bbm_calloc(1, sizeof(*s));
        bbm_name_set(s->address, j->address);
        HASH_ADD_STR(p->stores, address, s);
    }
    s->on = j->on;
}

static void
ask_stores(void *context)
{
    provider *p = context;
    bbm_time now = control_now();
    for (store_row *s = p->stores; s; s = s->hh.next) {
        if (!s->on || s->asking || now < s->next)
            continue;
        bbm_buf path = {0};
        platform_store_events_path(s->since, &path);
        call *c = new_call(CALL_STORE, s->address);
        c->store = s;
        c->lines = curl_slist_append(NULL, platform_store_wait_header());
        s->asking = true;
        begin_call(p, c, s->address, (char *)path.data, STORE_MS);
        bbm_buf_free(&path);
    }
}

/* A store that is asked too often answers nevertheless. */
static void
end_store(provider *p, call *c, bool answered, long status)
{
    store_row *s = c->store;
    bool alive = answered && (status == 200 || status == 429);
    s->asking = false;
    s->next = control_now() + (alive ? STORE_PAUSE : STORE_AGAIN);
    bool read = status == 200
                && platform_store_events_read((char *)c->answer.data, c->answer.len,
                                       &s->since)
                       == BBM_OK;
    if (!alive || !read)
        s->since = 0;
    if (!s->on)
        return;
    control_item *item = control_item_create(CONTROL_STORE_STATUS);
    bbm_name_set(item->name, s->address);
    item->succeeded = alive;
    mailbox_put_waiting(p->desc.control, item);
}

/* ---- answers ---- */

static void
tell_listing(provider *p, bool good)
{
    control_item *item = control_item_create(CONTROL_LISTING);
    p->listing_now = false;
    item->succeeded = good;
    item->id = p->bad;
    item->listing = p->listing;
    p->listing = (bbm_listing){0};
    mailbox_put_waiting(p->desc.control, item);
}

static void
end_page(provider *p, const call *c, bool good)
{
    char next[BBM_NAME_SIZE];
    if (good)
        good = platform_listing_read((char *)c->answer.data, c->answer.len,
                                  &p->listing, &p->bad, next)
               == BBM_OK;
    if (good && next[0] && ++p->pages < PAGES_MOST)
        ask_page(p, next);
    else
        tell_listing(p, good);
}

static void
end_report(provider *p, const call *c, bool good)
{
    control_item *item = control_item_create(CONTROL_ROLLOUT_REPORT);
    bbm_name_set(item->name, c->id);
    item->succeeded = good
                 && platform_report_read((char *)c->answer.data, c->answer.len,
                                         &item->runner_report)
                        == BBM_OK;
    mailbox_put_waiting(p->desc.control, item);
}

static void
end_order(provider *p, const call *c, bool answered, long status)
{
    control_item *item = control_item_create(CONTROL_ROLLOUT_ANSWER);
    bbm_name_set(item->name, c->id);
    item->order_answer = answered ? platform_order_answer((unsigned)status)
                            : BBM_ORDER_NO_ANSWER;
    mailbox_put_waiting(p->desc.control, item);
}

static void
end_call(void *context, CURL *easy, CURLcode rc)
{
    provider *p = context;
    call *c = NULL;
    long status = 0;
    curl_easy_getinfo(easy, CURLINFO_PRIVATE, &c);
    curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
    calls_remove(p->calls, easy);
    curl_easy_cleanup(easy);
    bool answered = rc == CURLE_OK;
    switch (c->kind) {
    case CALL_LIST:
        end_page(p, c, answered && status == 200);
        break;
    case CALL_REPORT:
        end_report(p, c, answered && status == 200);
        break;
    case CALL_ORDER:
        end_order(p, c, answered, status);
        break;
    case CALL_STORE:
        end_store(p, c, answered, status);
        break;
    }
    free_call(c);
}

/* ---- the thread ---- */

static void
do_job(void *context, void *what)
{
    provider *p = context;
    job *j = what;
    switch (j->kind) {
    case JOB_LIST:
        begin_list(p);
        break;
    case JOB_ROLLOUT:
        begin_rollout(p, j);
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
    p->calls = calls_create(&(calls_desc){
        .context = p,
        .run_job = do_job,
        .transfer_done = end_call,
        .before_poll = ask_stores,
        .free_job = free,
        .wait_ms = WAIT_MS,
        .idle_connections_max = KEEP_CONNECTIONS,
    });
    return p;
}

/* Calls that are still under way get a moment; their sockets end with the
   process. */
void
provider_destroy(provider *p)
{
    if (!p)
        return;
    calls_stop(p->calls, LAST_TURNS, LAST_WAIT_MS);
    bbm_listing_free(&p->listing);
    BBM_TABLE_FREE(store_row, p->stores);
    calls_destroy(p->calls);
    free(p);
}
