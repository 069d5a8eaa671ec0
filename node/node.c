#include "node_core.h"

#include "bbm_table.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#define DEFAULT_FRESH (5 * BBM_SECOND)
#define DEFAULT_CUT (10 * BBM_SECOND)
#define DEFAULT_ENTRY (10 * BBM_SECOND)
#define DEFAULT_RATE_WAIT (150 * BBM_MS)
#define DEFAULT_ELECTION BBM_SECOND
#define DEFAULT_REQUESTS 4000
#define DEFAULT_SNAPSHOT 512
#define DEFAULT_LIST BBM_SECOND
#define DEFAULT_LOADS (250 * BBM_MS)
/* Retries may be a tenth of the fresh requests. */
#define RETRY_SHARE 0.1
#define RETRY_SAVED 10
/* Not all runners need have been heard to be ready after this. */
#define READY_PATIENCE (3 * BBM_SECOND)

/* ---- readiness and shutdown ---- */

static bool
runners_heard(const bbm_node *n)
{
    const bbm_config *cfg = node_config(n);
    for (const bbm_engine *e = cfg->engines; e; e = e->hh.next) {
        if (bbm_fleet_usable(n->fleet, e->name, n->now))
            return true;
    }
    return cfg->engines == NULL;
}

/* True if the upstreams are known: all that could be, or for long enough. */
static bool
is_warm(const bbm_node *n)
{
    if (n->gate)
        return n->caught_up && n->list_read > 0;
    return n->now - n->configured_at >= READY_PATIENCE || runners_heard(n);
}

static size_t
count_serving(const bbm_node *n)
{
    size_t serving = 0;
    const bbm_member *m;
    for (size_t i = 0; (m = bbm_members_at(n->members, i)) != NULL; i++)
        serving += m->ready && m->status != BBM_MEMBER_DEAD;
    return serving;
}

static void
update_ready(bbm_node *n)
{
    bbm_fleet_daemons(n->fleet, count_serving(n));
    bool ready = n->configured > 0 && !n->draining && !n->stale && is_warm(n);
    if (ready != n->ready) {
        n->ready = ready;
        node_act(n, BBM_ACT_READY)->u.ready.on = ready;
        node_log(n, ready ? BBM_EVENT_READY : BBM_EVENT_NOT_READY, "", "");
    }
    bbm_members_describe(n->members, n->ready, n->draining,
                         (uint32_t)HASH_COUNT(n->requests), n->configured);
}

/* A stopping VM serves on until every answer that named it has expired, and
   ends when its last request has. */
static void
update_stop(bbm_node *n)
{
    bbm_time since = n->now - n->drain_since;
    bool served = n->stopping && since >= n->desc.entry_time;
    bool open = n->requests || (n->gate && bbm_gate_count(n->gate).open > 0);
    bool at_once =
        n->stopping && n->desc.stop_most && since >= n->desc.stop_most;
    if (((served && !open) || at_once) && !n->stopped) {
        n->stopped = true;
        node_act(n, BBM_ACT_STOPPED);
    }
}

/* ---- members ---- */

static void
drain_members(bbm_node *n)
{
    bbm_members_output *out;
    while ((out = bbm_members_take(n->members)) != NULL) {
        if (!out->changed) {
            bbm_action *a = node_send_to(n, out->to, NODE_MEMBERS);
            bbm_put_bytes(&a->u.send.bytes, out->bytes.data, out->bytes.len);
            if (!out->to[0])
                memcpy(a->u.send.address, out->address, BBM_ADDRESS_SIZE);
            continue;
        }
        const bbm_member *m = bbm_members_find(n->members, out->to);
        if (m)
            node_log(n, BBM_EVENT_MEMBER, m->name,
                     bbm_member_status_text(m->status));
    }
}

/* ---- messages ---- */

static int
dispatch(bbm_node *n, const char *from, node_message kind, bbm_reader *rd)
{
    bbm_bytes inner;
    switch (kind) {
    case NODE_RAFT:
        return node_control_raft(n, from, rd);
    case NODE_MEMBERS:
        inner = bbm_get_bytes(rd);
        return rd->failed ? BBM_ERR_DECODE
                          : bbm_members_receive(n->members, inner.data,
                                                inner.len, n->now);
    case NODE_HELLO:
        return node_join_hello(n, from, rd);
    case NODE_POLL:
        return node_relay_poll(n, from, rd);
    case NODE_NEWS:
        return node_relay_news(n, from, rd, true);
    case NODE_PUSH:
        return node_relay_news(n, from, rd, false);
    case NODE_PROPOSE:
        return node_propose_receive(n, from, rd);
    case NODE_OUTCOME:
        return node_propose_outcome(n, rd);
    case NODE_REPORT:
    case NODE_GRANT:
        return node_rate_receive(n, from, kind, rd);
    case NODE_FOUND:
        return node_join_found(n, from, rd);
    case NODE_UPSTREAMS:
        return node_upstreams_told(n, from, rd);
    case NODE_LOADS:
        return node_upstreams_loads(n, from, rd);
    case NODE_TOTALS:
        return node_upstreams_totals(n, from, rd);
    case NODE_MESSAGES:
        break;
    }
    return BBM_ERR_DECODE;
}

static void
receive(bbm_node *n, const char *from, const uint8_t *data, size_t len)
{
    n->counts.messages_in++;
    n->counts.bytes_in += len;
    bbm_reader rd = bbm_reader_of(data, len);
    bool known = bbm_get_u64(&rd) == NODE_FORMAT;
    node_message kind = (node_message)bbm_get_u32(&rd, NODE_MESSAGES - 1);
    int rc = BBM_ERR_DECODE;
    if (known && !rd.failed)
        rc = dispatch(n, from, kind, &rd);
    if (rc == BBM_ERR_DECODE) {
        n->counts.bad_messages++;
        node_log(n, BBM_EVENT_BAD_PEER, from, "");
    }
}

/* ---- events ---- */

static void
tick(bbm_node *n, int64_t wall_ms)
{
    n->wall_ms = wall_ms;
    node_control_tick(n);
    node_join_tick(n);
    bbm_members_tick(n->members, n->now);
    node_propose_tick(n);
    node_relay_tick(n);
    node_read_tick(n);
    if (n->gate) {
        node_upstreams_tick(n);
        node_rollout_tick(n);
        node_gate_tick(n);
    }
    else {
        node_rate_tick(n);
    }
    node_request_tick(n);
    node_orders_tick(n);
    update_ready(n);
    update_stop(n);
}

static void
take_report(bbm_node *n, const char *engine, const bbm_report *report)
{
    bbm_report_effect effect =
        bbm_fleet_report(n->fleet, engine, report, n->now);
    if (effect.new_incarnation)
        node_log(n, BBM_EVENT_RUNNER_BACK, engine, "");
    if (effect.gap) {
        node_watch *w = NULL;
        HASH_FIND_STR(n->watches, engine, w);
        if (w)
            node_watch_runner(n, w->engine, w->url, true);
        node_log(n, BBM_EVENT_RUNNER_GAP, engine, "");
    }
    node_request_pump(n);
}

static void
step(bbm_node *n, const bbm_event *ev)
{
    switch (ev->kind) {
    case BBM_EV_TICK:
        tick(n, ev->u.tick.wall_ms);
        return;
    case BBM_EV_MESSAGE:
        receive(n, ev->u.message.from, ev->u.message.data, ev->u.message.len);
        return;
    case BBM_EV_PERSISTED:
        if (n->raft)
            bbm_raft_persisted(n->raft, ev->u.persisted.seq, n->now);
        return;
    case BBM_EV_REQUEST:
        node_request_begin(n, &ev->u.request);
        return;
    case BBM_EV_FIRST_BYTE:
        node_run_first_byte(n, ev->u.first_byte.request,
                            ev->u.first_byte.attempt);
        return;
    case BBM_EV_PROGRESS:
        node_run_progress(n, ev->u.progress.request, ev->u.progress.output);
        return;
    case BBM_EV_FINISHED:
        node_run_finished(n, &ev->u.finished);
        return;
    case BBM_EV_CALLER_GONE:
        node_run_gone(n, ev->u.gone.request);
        if (n->gate)
            bbm_gate_gone(n->gate, ev->u.gone.request, n->now);
        return;
    case BBM_EV_REPORT:
        take_report(n, ev->u.report.engine, &ev->u.report.report);
        return;
    case BBM_EV_UNHEARD:
        bbm_fleet_unheard(n->fleet, ev->u.report.engine, n->now);
        return;
    case BBM_EV_ORDER_RESULT:
        node_orders_result(n, ev->u.order.id, ev->u.order.code);
        return;
    case BBM_EV_OPERATOR:
        node_operator_call(n, &ev->u.call);
        return;
    case BBM_EV_ENTRIES:
        node_operator_entries(n, ev->u.entries.op, ev->u.entries.caller,
                              ev->u.entries.zone, ev->u.entries.most);
        return;
    case BBM_EV_CALL:
        node_gate_call(n, &ev->u.request_to_pool);
        return;
    case BBM_EV_HEAD:
        if (n->gate)
            bbm_gate_head(n->gate, ev->u.head.request, ev->u.head.attempt,
                          n->now);
        return;
    case BBM_EV_FORWARDED:
        if (n->gate)
            bbm_gate_end(n->gate, &ev->u.forwarded, n->now);
        return;
    case BBM_EV_LISTING:
        if (n->gate)
            node_upstreams_read(n, ev->u.listing.listing);
        return;
    case BBM_EV_RUNNER:
        node_rollout_report(n, ev->u.runner.id, ev->u.runner.report);
        return;
    case BBM_EV_ORDERED:
        node_rollout_ordered(n, ev->u.ordered.id, ev->u.ordered.answer);
        return;
    case BBM_EV_STORE:
        if (n->gate)
            node_gate_store(n, ev->u.store.address, ev->u.store.alive);
        return;
    case BBM_EV_SEEDS:
        bbm_members_join(n->members, ev->u.seeds.addresses, ev->u.seeds.len);
        return;
    case BBM_EV_STOP:
        n->stopping = true;
        node_configure(n);
        update_ready(n);
        return;
    }
}

void
bbm_node_step(bbm_node *n, const bbm_event *ev, bbm_time now)
{
    if (now > n->now)
        n->now = now;
    step(n, ev);
    node_control_drain(n);
    node_gate_drain(n);
    drain_members(n);
}

/* ---- making ---- */

static void
fill_defaults(bbm_node_desc *d)
{
    if (!d->election)
        d->election = DEFAULT_ELECTION;
    if (!d->fresh_bound)
        d->fresh_bound = DEFAULT_FRESH;
    if (!d->cut_bound)
        d->cut_bound = DEFAULT_CUT;
    if (!d->entry_time)
        d->entry_time = DEFAULT_ENTRY;
    if (!d->rate_wait)
        d->rate_wait = DEFAULT_RATE_WAIT;
    if (!d->requests_most)
        d->requests_most = DEFAULT_REQUESTS;
    if (!d->snapshot_entries)
        d->snapshot_entries = DEFAULT_SNAPSHOT;
    if (!d->list_period)
        d->list_period = DEFAULT_LIST;
    if (!d->load_period)
        d->load_period = DEFAULT_LOADS;
}

static void
create_members(bbm_node *n)
{
    bbm_members_desc desc = {
        .run = n->desc.run,
        .seed = n->desc.seed,
        .period = n->desc.gossip,
    };
    bbm_name_set(desc.self.name, n->desc.name);
    bbm_name_set(desc.self.zone, n->desc.zone);
    memcpy(desc.self.address, n->desc.address, BBM_ADDRESS_SIZE);
    memcpy(desc.self.entry, n->desc.entry, BBM_ADDRESS_SIZE);
    n->members = bbm_members_create(&desc);
    for (size_t i = 0; i < n->desc.peers_len; i++) {
        bbm_members_seed(n->members, n->desc.peers[i].name,
                         n->desc.peers[i].address);
    }
    bbm_members_join(n->members, n->desc.seeds, n->desc.seeds_len);
}

bbm_node *
bbm_node_create(const bbm_node_desc *desc)
{
    assert(desc->name[0] && desc->run);
    bbm_node *n = bbm_calloc(1, sizeof(*n));
    n->desc = *desc;
    fill_defaults(&n->desc);
    n->rng = bbm_rng_of(desc->seed);
    n->now = desc->now;
    n->stale = true;
    n->fresh_at = desc->now - n->desc.cut_bound;
    TAILQ_INIT(&n->actions);
    TAILQ_INIT(&n->waiting_rate);
    STAILQ_INIT(&n->held_grants);
    n->started = desc->now;
    n->group_led = desc->now;
    TAILQ_INIT(&n->reads);
    n->state =
        bbm_state_create(&(bbm_state_desc){.texts_kept = desc->texts_kept});
    create_members(n);
    bbm_fleet_desc fleet = {.seed = desc->seed, .policy = desc->policy};
    bbm_name_set(fleet.zone, desc->zone);
    n->fleet = bbm_fleet_create(&fleet);
    n->burn = bbm_burn_create();
    bbm_rate_desc rate = {.run = desc->run};
    bbm_name_set(rate.node, desc->name);
    n->holder = bbm_rate_holder_create(&rate);
    n->retries = bbm_retry_budget_of(RETRY_SHARE, RETRY_SAVED);
    if (desc->discovery)
        node_gate_create(n);
    if (desc->disk)
        node_control_create(n);
    /* What the arguments pointed to is not kept. */
    n->desc.peers = NULL;
    n->desc.saved = NULL;
    node_control_drain(n);
    return n;
}

static void
destroy_tables(bbm_node *n)
{
    node_queue *q, *next_queue;
    HASH_ITER(hh, n->queues, q, next_queue)
    {
        HASH_DEL(n->queues, q);
        bbm_admission_destroy(q->admission);
        free(q);
    }
    BBM_TABLE_FREE(node_watch, n->watches);
    BBM_TABLE_FREE(node_customer, n->customers);
}

void
bbm_node_destroy(bbm_node *n)
{
    if (!n)
        return;
    node_request_destroy(n);
    node_read_destroy(n);
    node_rollout_forget(n);
    node_upstreams_destroy(n);
    bbm_gate_destroy(n->gate);
    bbm_state_destroy(n->behind);
    node_orders_forget(n);
    node_propose_destroy(n);
    node_relay_destroy(n);
    node_control_destroy(n);
    destroy_tables(n);
    node_queued *q;
    while ((q = TAILQ_FIRST(&n->actions)) != NULL) {
        TAILQ_REMOVE(&n->actions, q, link);
        node_free_action(q);
    }
    node_free_action(n->taken);
    node_rate_resign(n);
    bbm_rate_holder_destroy(n->holder);
    bbm_burn_destroy(n->burn);
    bbm_fleet_destroy(n->fleet);
    bbm_members_destroy(n->members);
    bbm_state_destroy(n->state);
    free(n);
}

/* ---- what can be asked ---- */

bbm_node_counts
bbm_node_count(const bbm_node *n, bbm_time now)
{
    bbm_node_counts c = n->counts;
    c.open = HASH_COUNT(n->requests);
    for (const node_queue *q = n->queues; q; q = q->hh.next)
        c.queued += bbm_admission_len(q->admission);
    c.term = n->leader_term;
    c.is_leader = node_leads(n);
    c.fresh_age_ms = (uint64_t)((now - n->fresh_at) / BBM_MS);
    if (n->gate) {
        c.gate = bbm_gate_count(n->gate);
        c.upstreams = n->listing.len;
        c.list_age_ms =
            n->list_read ? (uint64_t)((now - n->list_read) / BBM_MS) : 0;
    }
    return c;
}

const bbm_state *
bbm_node_state(const bbm_node *n)
{
    return n->state;
}

const bbm_members *
bbm_node_members(const bbm_node *n)
{
    return n->members;
}

const bbm_raft *
bbm_node_raft(const bbm_node *n)
{
    return n->raft;
}
