/** @file
 *  A node: creation, dispatch of events and messages to the modules of node/,
 *  readiness, shutdown and metrics.
 */
#include "node_core.h"

#include "bbm_table.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#define DEFAULT_KEY_AGE_MAX (5 * BBM_SECOND)
#define DEFAULT_KEY_AGE_ABORT (10 * BBM_SECOND)
#define DEFAULT_ENTRY_TTL (10 * BBM_SECOND)
#define DEFAULT_RATE_TIMEOUT (150 * BBM_MS)
#define DEFAULT_ELECTION_TIMEOUT BBM_SECOND
#define DEFAULT_REQUESTS_MAX 4000
#define DEFAULT_SNAPSHOT_INTERVAL_ENTRIES 512
#define DEFAULT_SNAPSHOT_INTERVAL_BYTES ((size_t)1024 * 1024)
#define DEFAULT_LIST_PERIOD BBM_SECOND
#define DEFAULT_LOAD_PERIOD (250 * BBM_MS)
#define BAD_MESSAGE_LOG_PERIOD BBM_SECOND
/* Retries allowed for each fresh request. */
#define RETRY_RATIO 0.1
/* Unused retries that can be saved up. */
#define RETRY_BURST_COUNT 10
/* Without discovery, a node is ready this long after its first configuration
   even if no runner has reported yet. */
#define READY_TIMEOUT (3 * BBM_SECOND)

/* ---- readiness and shutdown ---- */

/* Also true if no engines are configured. */
static bool
any_runner_usable(const bbm_node *n)
{
    const bbm_config *cfg = node_config(n);
    for (const bbm_engine *e = cfg->engines; e; e = e->hh.next) {
        if (bbm_fleet_usable(n->fleet, e->name, n->now))
            return true;
    }
    return cfg->engines == NULL;
}

/* With discovery: the configuration has been current once and a listing was
   received.  Without: a runner is usable, or READY_TIMEOUT has passed since
   the first configuration. */
static bool
upstreams_known(const bbm_node *n)
{
    if (n->gate)
        return n->caught_up && n->listing_read_at > 0;
    return n->now - n->first_configured_at >= READY_TIMEOUT
           || any_runner_usable(n);
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
    bbm_fleet_set_vm_count(n->fleet, count_serving(n));
    bool ready = n->config_revision > 0 && !n->draining && !n->keys_stale
                 && upstreams_known(n);
    if (ready != n->ready_reported) {
        n->ready_reported = ready;
        node_push_action(n, BBM_ACT_READY)->u.ready.on = ready;
        node_log(n, ready ? BBM_EVENT_READY : BBM_EVENT_NOT_READY, "", "");
    }
    bbm_members_update_self(n->members, n->ready_reported, n->draining,
                            (uint32_t)HASH_COUNT(n->requests),
                            n->config_revision);
}

/* A stopping VM serves until every entries answer that may list it has
   expired, and stops when its last request has ended, or at stop_timeout. */
static void
update_stop(bbm_node *n)
{
    bbm_time since = n->now - n->draining_since;
    bool entries_expired = n->stopping && since >= n->desc.entry_ttl;
    bool has_open =
        n->requests || (n->gate && bbm_gate_count(n->gate).open_requests > 0);
    bool timed_out =
        n->stopping && n->desc.stop_timeout && since >= n->desc.stop_timeout;
    if (((entries_expired && !has_open) || timed_out)
        && !n->stopped_reported) {
        n->stopped_reported = true;
        node_push_action(n, BBM_ACT_STOPPED);
    }
}

/* ---- members ---- */

static void
process_members_outputs(bbm_node *n)
{
    bbm_members_output *out;
    while ((out = bbm_members_next_output(n->members)) != NULL) {
        if (!out->changed) {
            bbm_action *a = node_send_to(n, out->member, NODE_MEMBERS);
            bbm_put_bytes(&a->u.send.bytes, out->bytes.data, out->bytes.len);
            if (!out->member[0])
                memcpy(a->u.send.address, out->address, BBM_ADDRESS_SIZE);
            continue;
        }
        const bbm_member *m = bbm_members_find(n->members, out->member);
        if (m)
            node_log(n, BBM_EVENT_MEMBER, m->name,
                     bbm_member_status_text(m->status));
    }
}

/* ---- messages ---- */

static int
dispatch(bbm_node *n, const char *from, node_message_kind kind, bbm_reader *rd)
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
        return node_relay_answer_poll(n, from, rd);
    case NODE_POLL_REPLY:
        return node_relay_receive(n, from, rd, true);
    case NODE_PUSH:
        return node_relay_receive(n, from, rd, false);
    case NODE_PROPOSE:
        return node_propose_receive(n, from, rd);
    case NODE_OUTCOME:
        return node_propose_outcome(n, rd);
    case NODE_RATE_REPORT:
    case NODE_RATE_GRANT:
        return node_rate_receive(n, from, kind, rd);
    case NODE_BOOTSTRAP:
        return node_join_bootstrap(n, from, rd);
    case NODE_LISTING:
        return node_upstreams_receive_listing(n, from, rd);
    case NODE_LOADS:
        return node_news_receive_loads(n, from, rd);
    case NODE_TOTALS:
        return node_news_receive_totals(n, from, rd);
    case NODE_ORIGINS:
        return node_origins_receive(n, rd);
    case NODE_ORIGIN_QUERY:
        return node_origins_answer(n, from, rd);
    case NODE_ORIGIN:
        return node_origins_receive_answer(n, rd);
    case NODE_RELEASE:
        return node_release_receive(n, from, rd);
    case NODE_MESSAGE_COUNT:
        break;
    }
    return BBM_ERR_DECODE;
}

static bool
may_read(const bbm_node *n, uint64_t format, uint64_t kind)
{
    node_message_kind end = n->desc.format < BBM_FORMAT_ORIGINS ? NODE_ORIGINS
                            : n->desc.format < BBM_FORMAT_RELEASES
                                ? NODE_RELEASE
                                : NODE_MESSAGE_COUNT;
    bool stated =
        format >= BBM_FORMAT_STATED && format <= (uint64_t)n->desc.format;
    return kind < end && (format == NODE_MESSAGE_VERSION || stated);
}

/* One line a period, as VMs of another build may send many. */
static void
reject(bbm_node *n, const char *from, uint64_t format, uint64_t kind,
       size_t len)
{
    n->counts.bad_messages++;
    n->bad_messages_unlogged++;
    if (n->bad_message_logged_at
        && n->now - n->bad_message_logged_at < BAD_MESSAGE_LOG_PERIOD)
        return;
    bbm_action *a = node_log_event(n, BBM_EVENT_BAD_PEER_MESSAGE);
    node_log_text(a, "subject", from);
    node_log_number(a, "kind", (int64_t)kind);
    node_log_number(a, "format", (int64_t)format);
    node_log_number(a, "sender_format", node_known_format(n, from));
    node_log_number(a, "bytes", (int64_t)len);
    node_log_number(a, "rejected", (int64_t)n->bad_messages_unlogged);
    n->bad_message_logged_at = n->now;
    n->bad_messages_unlogged = 0;
}

static void
receive(bbm_node *n, const char *from, const uint8_t *data, size_t len)
{
    n->counts.messages_in++;
    n->counts.bytes_in += len;
    bbm_reader rd = bbm_reader_of(data, len);
    uint64_t format = bbm_get_u64(&rd);
    uint64_t kind = bbm_get_u64(&rd);
    int rc = BBM_ERR_DECODE;
    if (!rd.failed && may_read(n, format, kind)) {
        n->received_format = format == NODE_MESSAGE_VERSION
                                 ? BBM_FORMAT_UNKNOWN
                                 : (bbm_format)format;
        /* Builds before that know no such messages. */
        if (kind >= NODE_ORIGINS && n->desc.format >= BBM_FORMAT_STATED)
            node_observe_format(n, from, BBM_FORMAT_ORIGINS);
        rc = dispatch(n, from, (node_message_kind)kind, &rd);
    }
    if (rc == BBM_ERR_DECODE)
        reject(n, from, format, kind, len);
}

/* ---- events ---- */

static void
tick(bbm_node *n, int64_t wall_ms)
{
    n->wall_ms = wall_ms;
    n->wall_at = n->now;
    if (n->gate)
        bbm_gate_set_calendar(n->gate, wall_ms * BBM_MS, n->now);
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
        node_quarantine_tick(n);
        node_origins_tick(n);
        node_release_tick(n);
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
apply_report(bbm_node *n, const char *engine, const bbm_report *report)
{
    bbm_report_effect effect =
        bbm_fleet_report(n->fleet, engine, report, n->now);
    if (effect.new_incarnation)
        node_log(n, BBM_EVENT_UPSTREAM_RESTARTED, engine, "");
    if (effect.gap) {
        node_watch *w = NULL;
        HASH_FIND_STR(n->watches, engine, w);
        if (w)
            node_watch_runner(n, w->engine, w->url, true);
        node_log(n, BBM_EVENT_CACHE_EVENTS_LOST, engine, "");
    }
    node_request_dispatch_queued(n);
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
        node_run_progress(n, ev->u.progress.request,
                          ev->u.progress.output_tokens);
        return;
    case BBM_EV_FINISHED:
        node_run_finished(n, &ev->u.finished);
        return;
    case BBM_EV_CLIENT_DISCONNECTED:
        node_run_client_disconnected(n, ev->u.disconnected.request);
        if (n->gate)
            bbm_gate_client_disconnected(n->gate, ev->u.disconnected.request,
                                         ev->u.disconnected.may_read, n->now);
        return;
    case BBM_EV_REPORT:
        apply_report(n, ev->u.report.engine, &ev->u.report.report);
        return;
    case BBM_EV_REPORT_FAILED:
        bbm_fleet_report_failed(n->fleet, ev->u.report.engine, n->now);
        return;
    case BBM_EV_ORDER_RESULT:
        node_orders_result(n, ev->u.order.id, ev->u.order.code);
        return;
    case BBM_EV_OPERATOR:
        node_operator_call(n, &ev->u.call);
        return;
    case BBM_EV_ENTRIES:
        node_operator_entries(n, ev->u.entries.op, ev->u.entries.client_hash,
                              ev->u.entries.zone, ev->u.entries.max);
        return;
    case BBM_EV_POOL_REQUEST:
        node_gate_request(n, &ev->u.pool_request);
        return;
    case BBM_EV_RESPONSE_HEAD:
        if (n->gate)
            bbm_gate_record_head(n->gate, ev->u.response_head.request,
                                 ev->u.response_head.attempt,
                                 ev->u.response_head.origin,
                                 &ev->u.response_head.notice, n->now);
        return;
    case BBM_EV_STREAM_PROGRESS:
        if (n->gate)
            bbm_gate_record_progress(n->gate, ev->u.stream_progress.request,
                                     ev->u.stream_progress.attempt,
                                     ev->u.stream_progress.began_at, n->now);
        return;
    case BBM_EV_FORWARD_FINISHED:
        if (n->gate)
            bbm_gate_end_attempt(n->gate, &ev->u.forwarded, n->now);
        return;
    case BBM_EV_LISTING:
        if (n->gate)
            node_upstreams_process_read(n, ev->u.listing.listing);
        return;
    case BBM_EV_ROLLOUT_REPORT:
        if (n->gate)
            bbm_gate_record_notice(n->gate, ev->u.rollout_report.id,
                                   &ev->u.rollout_report.notice, n->now);
        node_rollout_apply_report(n, ev->u.rollout_report.id,
                                  ev->u.rollout_report.report);
        return;
    case BBM_EV_ROLLOUT_ANSWER:
        if (n->gate)
            bbm_gate_record_notice(n->gate, ev->u.rollout_answer.id,
                                   &ev->u.rollout_answer.notice, n->now);
        node_rollout_apply_answer(n, ev->u.rollout_answer.id,
                                  ev->u.rollout_answer.answer);
        return;
    case BBM_EV_STORE_STATUS:
        if (n->gate)
            node_gate_store_status(n, ev->u.store_status.address,
                                   ev->u.store_status.alive);
        return;
    case BBM_EV_SEEDS:
        bbm_members_set_seeds(n->members, ev->u.seeds.addresses,
                              ev->u.seeds.len);
        return;
    case BBM_EV_STOP:
        n->stopping = true;
        node_apply_config(n);
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
    node_control_process_outputs(n);
    node_gate_process_outputs(n);
    process_members_outputs(n);
}

/* ---- creation ---- */

static void
fill_defaults(bbm_node_desc *d)
{
    if (!d->election_timeout)
        d->election_timeout = DEFAULT_ELECTION_TIMEOUT;
    if (!d->key_age_max)
        d->key_age_max = DEFAULT_KEY_AGE_MAX;
    if (!d->key_age_abort)
        d->key_age_abort = DEFAULT_KEY_AGE_ABORT;
    if (!d->entry_ttl)
        d->entry_ttl = DEFAULT_ENTRY_TTL;
    if (!d->rate_timeout)
        d->rate_timeout = DEFAULT_RATE_TIMEOUT;
    if (!d->requests_max)
        d->requests_max = DEFAULT_REQUESTS_MAX;
    if (!d->snapshot_interval_entries)
        d->snapshot_interval_entries = DEFAULT_SNAPSHOT_INTERVAL_ENTRIES;
    if (!d->snapshot_interval_bytes)
        d->snapshot_interval_bytes = DEFAULT_SNAPSHOT_INTERVAL_BYTES;
    if (!d->list_period)
        d->list_period = DEFAULT_LIST_PERIOD;
    if (!d->load_period)
        d->load_period = DEFAULT_LOAD_PERIOD;
    if (!d->format)
        d->format = BBM_FORMAT_LATEST;
}

static void
create_members(bbm_node *n)
{
    bbm_members_desc desc = {
        .run = n->desc.run,
        .seed = n->desc.seed,
        .probe_period = n->desc.gossip_period,
    };
    desc.self.format = n->desc.format;
    bbm_name_set(desc.self.name, n->desc.name);
    bbm_name_set(desc.self.zone, n->desc.zone);
    memcpy(desc.self.address, n->desc.address, BBM_ADDRESS_SIZE);
    memcpy(desc.self.entry_url, n->desc.entry_url, BBM_ADDRESS_SIZE);
    n->members = bbm_members_create(&desc);
    for (size_t i = 0; i < n->desc.peers_len; i++) {
        bbm_members_add_peer(n->members, n->desc.peers[i].name,
                             n->desc.peers[i].address);
    }
    bbm_members_set_seeds(n->members, n->desc.seeds, n->desc.seeds_len);
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
    /* The keys of a new node count as too old until an update arrives. */
    n->keys_stale = true;
    n->fresh_at = desc->now - n->desc.key_age_abort;
    TAILQ_INIT(&n->actions);
    TAILQ_INIT(&n->rate_waiters);
    STAILQ_INIT(&n->pending_grants);
    n->started_at = desc->now;
    n->last_group_leader_at = desc->now;
    TAILQ_INIT(&n->reads);
    n->unstated_format = BBM_FORMAT_STATED - 1;
    n->state = node_create_state(n);
    create_members(n);
    bbm_fleet_desc fleet = {.seed = desc->seed, .policy = desc->policy};
    bbm_name_set(fleet.zone, desc->zone);
    n->fleet = bbm_fleet_create(&fleet);
    n->burn = bbm_burn_create();
    bbm_rate_desc rate = {.run = desc->run};
    bbm_name_set(rate.node, desc->name);
    n->rate_holder = bbm_rate_holder_create(&rate);
    n->retry_budget = bbm_retry_budget_of(RETRY_RATIO, RETRY_BURST_COUNT);
    bbm_retry_fill(&n->retry_budget);
    if (desc->discovery)
        node_gate_create(n);
    if (desc->disk_id)
        node_control_create(n);
    /* What the caller's pointers refer to is valid only during this call. */
    n->desc.peers = NULL;
    n->desc.saved = NULL;
    node_control_process_outputs(n);
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
    node_rollout_reset(n);
    node_upstreams_destroy(n);
    node_origins_destroy(n);
    node_release_destroy(n);
    bbm_releases_free(&n->known_releases);
    bbm_gate_destroy(n->gate);
    bbm_state_destroy(n->lagging_state);
    node_orders_reset(n);
    node_propose_destroy(n);
    node_relay_destroy(n);
    node_control_destroy(n);
    destroy_tables(n);
    node_queued_action *q;
    while ((q = TAILQ_FIRST(&n->actions)) != NULL) {
        TAILQ_REMOVE(&n->actions, q, link);
        node_free_action(q);
    }
    node_free_action(n->current_action);
    node_rate_reset_owner(n);
    bbm_rate_holder_destroy(n->rate_holder);
    bbm_burn_destroy(n->burn);
    bbm_fleet_destroy(n->fleet);
    bbm_members_destroy(n->members);
    bbm_state_destroy(n->state);
    free(n);
}

/* ---- queries ---- */

size_t
bbm_node_text_bytes(const bbm_node *n)
{
    return bbm_registry_text_bytes(bbm_state_registry(n->state));
}

size_t
bbm_node_change_bytes(const bbm_node *n)
{
    size_t bytes = bbm_state_tail_bytes(n->state);
    if (n->raft)
        bytes += bbm_raft_log_bytes(n->raft) + bbm_raft_snapshot_bytes(n->raft)
                 + bbm_raft_unsynced_bytes(n->raft);
    return bytes;
}

bbm_node_counts
bbm_node_count(const bbm_node *n, bbm_time now)
{
    bbm_node_counts c = n->counts;
    c.open = HASH_COUNT(n->requests);
    for (const node_queue *q = n->queues; q; q = q->hh.next)
        c.queued += bbm_admission_len(q->admission);
    c.term = n->leader_term;
    c.is_leader = node_leads(n);
    c.oldest_format = node_oldest_format(n);
    c.state_unreadable = n->state_unreadable;
    c.key_age_ms = (uint64_t)((now - n->fresh_at) / BBM_MS);
    c.totals_age_ms =
        n->totals_at ? (uint64_t)((now - n->totals_at) / BBM_MS) : 0;
    if (n->raft) {
        c.log_entries = bbm_raft_log_len(n->raft);
        c.log_bytes = bbm_raft_log_bytes(n->raft);
        c.snapshot_bytes = bbm_raft_snapshot_bytes(n->raft);
        c.unwritten_bytes = bbm_raft_unsynced_bytes(n->raft);
    }
    c.tail_bytes = bbm_state_tail_bytes(n->state);
    for (const node_proposal *p = n->proposals; p; p = p->hh.next)
        c.proposal_bytes += p->bytes.len;
    if (n->rollout) {
        bbm_rollout_progress p = bbm_rollout_get_progress(n->rollout, now);
        c.rollout_pending = p.pending;
        c.rollout_in_progress = p.in_progress;
        c.rollout_silent = p.silent;
        c.rollout_age_ms = (uint64_t)(p.age / BBM_MS);
    }
    if (n->gate) {
        c.gate = bbm_gate_count(n->gate);
        c.upstreams = n->listing.len;
        c.listing_age_ms =
            n->listing_read_at
                ? (uint64_t)((now - n->listing_read_at) / BBM_MS)
                : 0;
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
