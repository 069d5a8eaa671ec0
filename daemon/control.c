#include "control.h"

#include "disk.h"
#include "forward.h"
#include "front.h"
#include "front_provider.h"
#include "metrics.h"
#include "provider.h"
#include "traffic.h"
#include "transport.h"
#include "watcher.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <uthash.h>

#define TICK_PERIOD (20 * BBM_MS)
#define TICK_PERIOD_MS 20
/* Disconnected clients handled per check; the next check finds the rest. */
#define DISCONNECTS_PER_CHECK_MAX 256
/* Postponed requests resubmitted to the node per tick. */
#define RESUBMITS_PER_TICK_MAX 256
/* Period of the check for disconnected clients of pools; a disconnect must be
   noticed within half a second. */
#define CLIENT_CHECK_PERIOD (120 * BBM_MS)
/* Items handled between two checks for a due tick, so that a full mailbox does
   not delay the tick. */
#define ITEMS_PER_TURN_MAX 512
/* Events that take as long are logged, one per period. */
#define SLOW_EVENT_MIN (100 * BBM_MS)
#define SLOW_EVENT_LOG_PERIOD BBM_SECOND

/* An exchange from its arrival until its answer is complete or has failed. */
typedef struct open_exchange {
    uint64_t id;
    exchange *ex;       /* counted reference */
    uint32_t attempt;   /* last attempt that was started; 0: none */
    bool attempt_ended; /* that attempt has ended */
    bool half_closed;   /* the client's sending side; the node was told */
    bbm_time received_at;
    bool resubmit_pending; /* to be resubmitted to the node */
    UT_hash_handle hh;
} open_exchange;

typedef struct control {
    const control_desc *desc;
    bbm_node *node;
    open_exchange *exchanges;
    bbm_time next_client_check_at;
    size_t state_bytes;        /* counted in the memory budget */
    uint64_t trimmed_revision; /* after which memory was given back */
    bool any_resubmit_pending; /* of at least one exchange */
    bbm_histogram event_time;
    bbm_time slow_logged_at; /* 0: never */
    bool stopped;
} control;

/* ---- clocks and items ---- */

bbm_time
control_now(void)
{
    struct timespec ts;
    /* Unlike CLOCK_MONOTONIC this clock runs while the VM is suspended, so
       that a lease that expired during a suspension counts as expired. */
    clock_gettime(CLOCK_BOOTTIME, &ts);
    return (bbm_time)ts.tv_sec * BBM_SECOND + ts.tv_nsec;
}

int64_t
control_wall_ms(void)
{
    struct timespec ts;
    clock_gettime(CLOCK_REALTIME, &ts);
    return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / BBM_MS;
}

control_item *
control_item_create(control_kind kind)
{
    control_item *item = bbm_calloc(1, sizeof(*item));
    item->kind = kind;
    return item;
}

size_t
control_item_bytes(const void *item)
{
    const control_item *i = item;
    return sizeof(*i) + i->bytes.cap
           + i->listing.len * sizeof(*i->listing.items)
           + i->report.events_len * sizeof(*i->events);
}

void
control_item_destroy(control_item *item)
{
    exchange_unref(item->ex);
    bbm_buf_free(&item->bytes);
    bbm_listing_free(&item->listing);
    free(item->events);
    free(item);
}

/* ---- time of events ---- */

static const char *
kind_name(control_kind kind)
{
    switch (kind) {
    case CONTROL_EXCHANGE:
        return "request";
    case CONTROL_CLIENT_DISCONNECTED:
        return "client disconnected";
    case CONTROL_MESSAGE:
        return "message of a VM";
    case CONTROL_PERSISTED:
        return "write synced";
    case CONTROL_FIRST_BYTE:
    case CONTROL_RESPONSE_HEAD:
        return "answer begun";
    case CONTROL_PROGRESS:
    case CONTROL_STREAM_PROGRESS:
        return "answer goes on";
    case CONTROL_FINISHED:
    case CONTROL_FORWARD_FINISHED:
        return "attempt ended";
    case CONTROL_REPORT:
    case CONTROL_REPORT_FAILED:
    case CONTROL_ROLLOUT_REPORT:
        return "report";
    case CONTROL_ORDER_RESULT:
    case CONTROL_ROLLOUT_ANSWER:
        return "answer to an order";
    case CONTROL_LISTING:
        return "list of upstreams";
    case CONTROL_STORE_STATUS:
        return "status of a store";
    case CONTROL_LOG:
    case CONTROL_RELOAD:
    case CONTROL_STOP:
        break;
    }
    return "other";
}

/* Counts an event, and logs it if it was slow, with a line per period at
   most.  Returns the time now. */
static bbm_time
record_event_time(control *c, const char *name, bbm_time begin)
{
    bbm_time now = control_now();
    bbm_histogram_add(&c->event_time, now - begin);
    bool logged =
        c->slow_logged_at && now - c->slow_logged_at < SLOW_EVENT_LOG_PERIOD;
    if (now - begin < SLOW_EVENT_MIN || logged)
        return now;
    c->slow_logged_at = now;
    char ms[24];
    snprintf(ms, sizeof(ms), "%lld", (long long)((now - begin) / BBM_MS));
    bbm_log(BBM_EVENT_SLOW_EVENT, "event", name, "ms", ms, NULL);
    return now;
}

/* ---- open exchanges ---- */

static open_exchange *
find_exchange(const control *c, uint64_t id)
{
    open_exchange *row = NULL;
    HASH_FIND(hh, c->exchanges, &id, sizeof(id), row);
    return row;
}

static void
remove_exchange(control *c, open_exchange *row)
{
    HASH_DEL(c->exchanges, row);
    exchange_unref(row->ex);
    free(row);
}

static traffic *
traffic_for(const control *c, uint64_t id)
{
    return c->desc->traffic[id % c->desc->traffic_len];
}

/* ---- actions ---- */

static void
do_resubmit(control *c, uint64_t request)
{
    open_exchange *row = find_exchange(c, request);
    if (!row)
        return;
    row->resubmit_pending = true;
    c->any_resubmit_pending = true;
}

static void
do_start(control *c, const bbm_start *start)
{
    open_exchange *row = find_exchange(c, start->request);
    if (!row)
        return;
    row->attempt = start->attempt;
    row->attempt_ended = false;
    traffic_start(traffic_for(c, start->request), row->ex, start);
}

static void
do_forward(control *c, const bbm_action *a)
{
    const bbm_forward_request *send = &a->u.forward.send;
    open_exchange *row = find_exchange(c, send->request);
    if (!row)
        return;
    row->attempt = send->attempt;
    row->attempt_ended = false;
    forward_start(c->desc->forward, row->ex, send,
                  a->u.forward.resumes ? a->u.forward.last_event_id : "");
}

static void
do_answer(control *c, const bbm_action *a)
{
    open_exchange *row = find_exchange(c, a->u.answer.request);
    if (!row)
        return;
    if (a->u.answer.code == BBM_OK)
        exchange_answer(row->ex, a->u.answer.status, a->u.answer.content_type,
                        a->u.answer.body.data, a->u.answer.body.len);
    else
        exchange_fail(row->ex, a->u.answer.code, a->u.answer.retry_after_ms);
    remove_exchange(c, row);
}

static void
do_abort(control *c, uint64_t id, int code)
{
    open_exchange *row = find_exchange(c, id);
    if (row && row->ex->kind == EXCHANGE_POOL)
        forward_cancel(c->desc->forward, id);
    else if (c->desc->traffic_len)
        traffic_cancel(traffic_for(c, id), id);
    if (!row)
        return;
    exchange_fail(row->ex, code, 0);
    remove_exchange(c, row);
}

/* Adds the new API key to the answer to the operator who created it.  It is
   sent nowhere else. */
static void
answer_with_key(exchange *ex, const bbm_action *a)
{
    json_error_t error;
    json_t *doc = json_loadb((char *)a->u.reply.body.data, a->u.reply.body.len,
                             0, &error);
    json_object_set_new(doc, "key", json_string(ex->new_key));
    BBM_AUTO_FREE char *text = json_dumps(doc, JSON_COMPACT);
    json_decref(doc);
    if (text)
        exchange_answer(ex, 200, "application/json", text, strlen(text));
}

static void
do_reply(control *c, const bbm_action *a)
{
    open_exchange *row = find_exchange(c, a->u.reply.op);
    if (!row)
        return;
    if (row->ex->provider_call != PLATFORM_NONE)
        front_provider_reply(row->ex, c->desc->settings, a->u.reply.code,
                             &a->u.reply.body);
    else if (row->ex->new_key && a->u.reply.code == BBM_OK)
        answer_with_key(row->ex, a);
    else
        exchange_answer(row->ex, bbm_code_status(a->u.reply.code),
                        "application/json", a->u.reply.body.data,
                        a->u.reply.body.len);
    remove_exchange(c, row);
}

static void
do_action(control *c, bbm_action *a)
{
    switch (a->kind) {
    case BBM_ACT_SEND:
        transport_send(c->desc->transport, a->u.send.to, a->u.send.address,
                       &a->u.send.bytes);
        return;
    case BBM_ACT_PERSIST:
        disk_write(c->desc->disk, &a->u.persist);
        return;
    case BBM_ACT_START:
        do_start(c, &a->u.start);
        return;
    case BBM_ACT_ANSWER:
        do_answer(c, a);
        return;
    case BBM_ACT_ABORT:
        do_abort(c, a->u.abort.request, a->u.abort.code);
        return;
    case BBM_ACT_REPLY:
        do_reply(c, a);
        return;
    case BBM_ACT_ORDER:
        watcher_order(c->desc->watcher, a);
        return;
    case BBM_ACT_WATCH_RUNNER:
        watcher_watch(c->desc->watcher, a->u.watch_runner.engine,
                      a->u.watch_runner.url, a->u.watch_runner.on);
        return;
    case BBM_ACT_READY:
        atomic_store(c->desc->ready, a->u.ready.on);
        return;
    case BBM_ACT_LOG:
        bbm_log_write(a->u.log.event, a->u.log.pairs, a->u.log.len);
        return;
    case BBM_ACT_FORWARD:
        do_forward(c, a);
        return;
    case BBM_ACT_RESUBMIT:
        do_resubmit(c, a->u.resubmit.request);
        return;
    case BBM_ACT_READ_LISTING:
        if (c->desc->provider)
            provider_read_listing(c->desc->provider);
        return;
    case BBM_ACT_ROLLOUT:
        if (c->desc->provider)
            provider_send_rollout(c->desc->provider, &a->u.rollout.action,
                                  a->u.rollout.not_after);
        return;
    case BBM_ACT_WATCH_STORE:
        if (c->desc->provider)
            provider_watch_store(c->desc->provider, a->u.watch_store.address,
                                 a->u.watch_store.on);
        return;
    case BBM_ACT_LIMITS:
        atomic_store(&c->desc->limits->idle_timeout_ms, a->u.limits.idle_ms);
        atomic_store(&c->desc->limits->header_timeout_ms,
                     a->u.limits.header_ms);
        atomic_store(&c->desc->limits->body_bytes_max, a->u.limits.body_bytes);
        return;
    case BBM_ACT_STOPPED:
        c->stopped = true;
        return;
    }
}

static void
step(control *c, const bbm_event *ev)
{
    bbm_node_step(c->node, ev, control_now());
    bbm_action *a;
    while ((a = bbm_node_next_action(c->node)) != NULL)
        do_action(c, a);
}

/* ---- items ---- */

static void
answer_metrics(control *c, exchange *ex)
{
    bbm_node_counts counts = bbm_node_count(c->node, control_now());
    counts.event_time = c->event_time;
    if (c->desc->disk)
        counts.folder_bytes = disk_stored_bytes(c->desc->disk);
    bbm_buf text = {0};
    transport_counts links = transport_count(c->desc->transport);
    metrics_write(&counts, &links, mailbox_memory(c->desc->box), &text);
    exchange_answer(ex, 200, "text/plain; version=0.0.4", text.data, text.len);
    bbm_buf_free(&text);
}

static void
fill_request(const exchange *ex, bbm_request_event *r)
{
    r->request = ex->id;
    r->has_key = ex->has_key;
    r->key = ex->key_digest;
    r->path = ex->path;
    r->model = ex->completion.model;
    r->prompt_bytes = ex->completion.prompt_bytes;
    r->units = ex->completion.units;
    r->units_len = ex->completion.units_len;
    r->output_tokens_max = ex->completion.output_tokens_max;
    r->has_idem = ex->has_idempotency_key;
    r->idem_key = ex->idempotency_digest;
    r->body_digest = ex->request_digest;
}

static void
handle_exchange(control *c, exchange *ex)
{
    if (ex->kind == EXCHANGE_METRICS) {
        answer_metrics(c, ex);
        return;
    }
    open_exchange *row = bbm_calloc(1, sizeof(*row));
    row->id = ex->id;
    row->ex = exchange_ref(ex);
    row->received_at = control_now();
    HASH_ADD(hh, c->exchanges, id, sizeof(row->id), row);
    bbm_event ev = {0};
    switch (ex->kind) {
    case EXCHANGE_ROUTE:
        ev.kind = BBM_EV_REQUEST;
        fill_request(ex, &ev.u.request);
        break;
    case EXCHANGE_POOL:
        ev.kind = BBM_EV_POOL_REQUEST;
        front_provider_fill_event(ex, &ev.u.pool_request);
        break;
    case EXCHANGE_ENTRIES:
        ev.kind = BBM_EV_ENTRIES;
        ev.u.entries.max = ex->entries_max;
        ev.u.entries.op = ex->id;
        ev.u.entries.client_hash = ex->caller_hash;
        ev.u.entries.zone = ex->zone;
        break;
    case EXCHANGE_OPERATOR:
        ev.kind = BBM_EV_OPERATOR;
        ev.u.call = ex->operator_event;
        break;
    case EXCHANGE_METRICS:
        return;
    }
    step(c, &ev);
}

/* Resubmits the requests that the node postponed.  The ids are collected
   first, as a step may remove any exchange. */
static void
resubmit_requests(control *c)
{
    uint64_t ids[RESUBMITS_PER_TICK_MAX];
    size_t len = 0;
    if (!c->any_resubmit_pending)
        return;
    c->any_resubmit_pending = false;
    for (open_exchange *row = c->exchanges; row; row = row->hh.next) {
        if (!row->resubmit_pending)
            continue;
        if (len == RESUBMITS_PER_TICK_MAX) {
            c->any_resubmit_pending = true;
            break;
        }
        row->resubmit_pending = false;
        ids[len++] = row->id;
    }
    bbm_time now = control_now();
    for (size_t i = 0; i < len; i++) {
        open_exchange *row = find_exchange(c, ids[i]);
        if (!row)
            continue;
        bbm_event ev = {.kind = BBM_EV_POOL_REQUEST};
        front_provider_fill_event(row->ex, &ev.u.pool_request);
        ev.u.pool_request.request.waited = now - row->received_at;
        step(c, &ev);
    }
}

static void
handle_finished(control *c, control_item *item)
{
    open_exchange *row = find_exchange(c, item->id);
    bool current = row && row->attempt == item->attempt;
    if (current)
        row->attempt_ended = true;
    bbm_event ev = {.kind = BBM_EV_FINISHED};
    ev.u.finished = item->finished;
    ev.u.finished.content_type = item->content_type;
    ev.u.finished.body = item->bytes.data;
    step(c, &ev);
    /* If the node has not started another attempt and the answer has begun,
       the traffic thread has already ended the exchange. */
    row = find_exchange(c, item->id);
    if (row && current && row->attempt_ended && item->finished.answer_started)
        remove_exchange(c, row);
}

static void
handle_forward_finished(control *c, const bbm_forward_result *f)
{
    open_exchange *row = find_exchange(c, f->request);
    if (row && row->attempt == f->attempt)
        row->attempt_ended = true;
    bbm_event ev = {.kind = BBM_EV_FORWARD_FINISHED};
    ev.u.forwarded = *f;
    step(c, &ev);
    row = find_exchange(c, f->request);
    if (row && row->attempt_ended && f->outcome == BBM_FORWARD_COMPLETE)
        remove_exchange(c, row);
}

static void
handle_listing(control *c, const control_item *item)
{
    if (item->id) {
        char count_text[24];
        snprintf(count_text, sizeof(count_text), "%llu",
                 (unsigned long long)item->id);
        bbm_log(BBM_EVENT_LISTING_BAD_ENTRY, "entries", count_text, NULL);
    }
    bbm_event ev = {.kind = BBM_EV_LISTING};
    ev.u.listing.listing = item->succeeded ? &item->listing : NULL;
    step(c, &ev);
}

static void
handle_disconnect(control *c, uint64_t id, bool may_read)
{
    bbm_event ev = {.kind = BBM_EV_CLIENT_DISCONNECTED};
    ev.u.disconnected.request = id;
    ev.u.disconnected.may_read = may_read;
    step(c, &ev);
    /* The node has forgotten a request that no attempt runs for.  Its client
       may still read, and its connection is suspended until it is answered. */
    open_exchange *row = find_exchange(c, id);
    if (!row || (row->attempt && !row->attempt_ended))
        return;
    exchange_fail(
        row->ex,
        row->attempt ? BBM_ERR_CLIENT_LEFT : BBM_ERR_CLIENT_LEFT_EARLY, 0);
    remove_exchange(c, row);
}

static void
handle_item(control *c, control_item *item)
{
    bbm_event ev = {0};
    switch (item->kind) {
    case CONTROL_EXCHANGE:
        handle_exchange(c, item->ex);
        return;
    case CONTROL_CLIENT_DISCONNECTED:
        handle_disconnect(c, item->id, false);
        return;
    case CONTROL_FINISHED:
        handle_finished(c, item);
        return;
    case CONTROL_LOG:
        bbm_log(item->event, "detail", item->name, NULL);
        return;
    case CONTROL_MESSAGE:
        ev.kind = BBM_EV_MESSAGE;
        ev.u.message.from = item->name;
        ev.u.message.data = item->bytes.data;
        ev.u.message.len = item->bytes.len;
        break;
    case CONTROL_PERSISTED:
        ev.kind = BBM_EV_PERSISTED;
        ev.u.persisted.seq = item->id;
        break;
    case CONTROL_FIRST_BYTE:
        ev.kind = BBM_EV_FIRST_BYTE;
        ev.u.first_byte.request = item->id;
        ev.u.first_byte.attempt = item->attempt;
        break;
    case CONTROL_PROGRESS:
        ev.kind = BBM_EV_PROGRESS;
        ev.u.progress.request = item->id;
        ev.u.progress.output_tokens = item->output_tokens;
        break;
    case CONTROL_REPORT:
    case CONTROL_REPORT_FAILED:
        ev.kind = item->kind == CONTROL_REPORT ? BBM_EV_REPORT
                                               : BBM_EV_REPORT_FAILED;
        ev.u.report.engine = item->name;
        ev.u.report.report = item->report;
        break;
    case CONTROL_ORDER_RESULT:
        ev.kind = BBM_EV_ORDER_RESULT;
        ev.u.order.id = item->name;
        ev.u.order.code = item->code;
        break;
    case CONTROL_RESPONSE_HEAD:
        ev.kind = BBM_EV_RESPONSE_HEAD;
        ev.u.response_head.request = item->id;
        ev.u.response_head.attempt = item->attempt;
        ev.u.response_head.origin = item->origin;
        ev.u.response_head.notice = item->notice;
        break;
    case CONTROL_STREAM_PROGRESS:
        ev.kind = BBM_EV_STREAM_PROGRESS;
        ev.u.stream_progress.request = item->id;
        ev.u.stream_progress.attempt = item->attempt;
        ev.u.stream_progress.began_at = item->began_at;
        break;
    case CONTROL_FORWARD_FINISHED:
        handle_forward_finished(c, &item->forwarded);
        return;
    case CONTROL_LISTING:
        handle_listing(c, item);
        return;
    case CONTROL_ROLLOUT_REPORT:
        ev.kind = BBM_EV_ROLLOUT_REPORT;
        ev.u.rollout_report.id = item->name;
        ev.u.rollout_report.report =
            item->succeeded ? &item->runner_report : NULL;
        ev.u.rollout_report.notice = item->notice;
        break;
    case CONTROL_ROLLOUT_ANSWER:
        ev.kind = BBM_EV_ROLLOUT_ANSWER;
        ev.u.rollout_answer.id = item->name;
        ev.u.rollout_answer.answer = item->order_answer;
        ev.u.rollout_answer.notice = item->notice;
        break;
    case CONTROL_STORE_STATUS:
        ev.kind = BBM_EV_STORE_STATUS;
        ev.u.store_status.address = item->name;
        ev.u.store_status.alive = item->succeeded;
        break;
    case CONTROL_RELOAD:
        ev.kind = BBM_EV_SEEDS;
        ev.u.seeds.addresses = item->seeds;
        ev.u.seeds.len = item->seeds_len;
        break;
    case CONTROL_STOP:
        ev.kind = BBM_EV_STOP;
        atomic_store(c->desc->closing, true);
        break;
    }
    step(c, &ev);
}

/* ---- the thread ---- */

static bbm_node *
create_node(const control_desc *desc, bbm_raft_saved *saved,
            bbm_member_id disk_id)
{
    const bbm_settings *s = desc->settings;
    bbm_node_desc d = {
        .run = desc->run,
        .seed = desc->run,
        .disk_id = disk_id,
        .saved = saved,
        .peers = s->peers,
        .peers_len = s->peers_len,
        .now = control_now(),
        .election_timeout = s->election_ms * BBM_MS,
        .key_age_max = s->fresh_bound_ms * BBM_MS,
        .key_age_abort = s->cut_bound_ms * BBM_MS,
        .zone_relay = s->zone_relay,
        .serve_stale_keys = s->serve_stale_keys,
        .entry_ttl = s->entry_ms * BBM_MS,
        .requests_max = (size_t)s->requests_most,
        .seeds_len = s->seeds_len,
        .first_start = s->first_start,
        .self_repair = s->self_repair,
        .discovery = s->list_address[0] != '\0',
        .list_period = s->list_ms * BBM_MS,
        .gossip_period = s->gossip_ms * BBM_MS,
        .stop_timeout = s->stop_ms * BBM_MS,
        .revision_texts_max = (size_t)s->texts_kept,
        .release_share = s->release_share,
        .release_slack = s->release_slack,
        .release_revert_time = s->release_revert_ms * BBM_MS,
        .gate =
            {
                .retry_share = s->retry_share,
                .retry_slack = s->retry_slack,
                .retry_window =
                    (bbm_time)(s->retry_window_s * (double)BBM_SECOND),
                .rate_slack = s->rate_slack,
                .rate_overrun = s->rate_overrun,
                .rate_window_s = s->rate_window_s,
                .old_weights_grace = s->old_weights_fine_ms * BBM_MS,
                .old_weights_max = s->old_weights_most_ms * BBM_MS,
                .accused_parts_max = (size_t)s->accused_parts_most,
                .zone_delay_ms = s->zone_delay_ms,
                .zone_byte_price = s->zone_byte_price,
            },
    };
    memcpy(d.seeds, s->seeds, sizeof(d.seeds));
    bbm_name_set(d.name, s->name);
    bbm_name_set(d.zone, s->zone);
    bbm_text_set(d.address, sizeof(d.address), s->peer_address);
    bbm_text_set(d.entry_url, sizeof(d.entry_url), s->entry_url);
    if (!s->entry_url[0])
        snprintf(d.entry_url, sizeof(d.entry_url), "http%s://%.100s",
                 s->tls_cert_file[0] ? "s" : "", s->caller_address);
    for (size_t i = 0; i < s->founders.len; i++)
        bbm_name_set(d.founders[i], s->founders.items[i]);
    d.founders_len = s->founders.len;
    return bbm_node_create(&d);
}

/* libmicrohttpd does not notice the end of a suspended connection, so the
   sockets are checked here. */
static void
check_clients(control *c)
{
    bbm_time now = control_now();
    if (now < c->next_client_check_at)
        return;
    c->next_client_check_at = now + CLIENT_CHECK_PERIOD;
    struct {
        uint64_t id;
        bool may_read;
    } left[DISCONNECTS_PER_CHECK_MAX];
    size_t len = 0;
    for (open_exchange *row = c->exchanges;
         row && len < DISCONNECTS_PER_CHECK_MAX; row = row->hh.next) {
        if (row->ex->kind != EXCHANGE_POOL)
            continue;
        exchange_client state = exchange_client_state(row->ex);
        bool may_read = state == EXCHANGE_CLIENT_HALF_CLOSED;
        if (state == EXCHANGE_CLIENT_CONNECTED
            || (may_read && row->half_closed))
            continue;
        row->half_closed = may_read;
        left[len].id = row->id;
        left[len++].may_read = may_read;
    }
    for (size_t i = 0; i < len; i++)
        handle_disconnect(c, left[i].id, left[i].may_read);
}

static void
count_state(control *c)
{
    memory_budget *memory = mailbox_memory(c->desc->box);
    size_t bytes =
        bbm_node_text_bytes(c->node) + bbm_node_change_bytes(c->node);
    memory_budget_force(memory, MEMORY_CONFIGS, bytes);
    memory_budget_give(memory, MEMORY_CONFIGS, c->state_bytes);
    c->state_bytes = bytes;
}

/* The tree of a revision that was applied since the last tick is free again.
   All VMs apply each revision. */
static void
trim_after_revision(control *c)
{
    uint64_t revision =
        bbm_registry_revision(bbm_state_registry(bbm_node_state(c->node)));
    bool applied = revision != c->trimmed_revision;
    c->trimmed_revision = revision;
    if (applied && bbm_node_text_bytes(c->node) > MEMORY_SMALL_BYTES)
        bbm_trim();
}

static void
tick(control *c)
{
    check_clients(c);
    count_state(c);
    trim_after_revision(c);
    bbm_event ev = {.kind = BBM_EV_TICK};
    ev.u.tick.wall_ms = control_wall_ms();
    step(c, &ev);
    resubmit_requests(c);
    atomic_store(c->desc->last_tick, control_now());
}

static void
fail_open_exchanges(control *c)
{
    open_exchange *row, *next;
    HASH_ITER(hh, c->exchanges, row, next)
    {
        /* A request without an attempt has not run, so its client may retry
           it.  An operator's call may have been accepted elsewhere. */
        bool has_run = row->attempt || row->ex->kind == EXCHANGE_OPERATOR;
        exchange_fail(row->ex, has_run ? BBM_ERR_STOPPED : BBM_ERR_DRAINING,
                      0);
        remove_exchange(c, row);
    }
}

void
control_run(const control_desc *desc, const atomic_bool *stop_now)
{
    control c = {.desc = desc};
    bbm_raft_saved saved = {0};
    bbm_member_id id = 0;
    if (desc->disk)
        id = disk_load(desc->disk, &saved);
    c.node = create_node(desc, id ? &saved : NULL, id);
    bbm_time next_tick = 0;
    while (!c.stopped && !atomic_load(stop_now)) {
        bbm_time now = control_now();
        if (now >= next_tick) {
            next_tick = now + TICK_PERIOD;
            tick(&c);
            now = record_event_time(&c, "tick", now);
        }
        control_item *item = NULL;
        /* A turn ends in time for the next tick, which keeps the leader's
           term. */
        for (int i = 0; i < ITEMS_PER_TURN_MAX; i++) {
            if (i && now >= next_tick)
                break;
            item = mailbox_take(desc->box);
            if (!item)
                break;
            handle_item(&c, item);
            now = record_event_time(&c, kind_name(item->kind), now);
            control_item_destroy(item);
        }
        if (!item)
            mailbox_wait(desc->box, TICK_PERIOD_MS);
    }
    fail_open_exchanges(&c);
    bbm_node_destroy(c.node);
}
