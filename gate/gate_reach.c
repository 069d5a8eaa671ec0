#include "bbm_codes.h"
#include "gate_core.h"

#include <string.h>

/* Pools whose upstreams this VM doesn't reach while other VMs do.

   Answers the loss of this VM's own links, when all its requests would fail
   although their upstreams work.  Another VM that reaches the pool forwards
   them instead; it treats them as those of its own clients, and doesn't relay
   them again.  What fails here meanwhile says nothing about the upstreams. */

/* A pool counts as cut off once new connections to this number of its
   upstreams have failed in a row which other VMs reach. */
#define UNREACHED_TO_CUT 3
#define UNREACHED_TO_CUT_SMALL 2
#define SMALL_POOL_MAX 5
/* Failures that are older say nothing about the present. */
#define UNREACHED_MEMORY (5 * BBM_SECOND)
/* A request is relayed after this number of failed connections, whatever is
   known of the pool. */
#define UNSENT_TO_RELAY 2
/* Period at which a request is sent to an upstream of a pool that is cut off,
   to see whether it can be reached again. */
#define TRIAL_PERIOD BBM_SECOND
/* What a VM has said of its pools holds for this time. */
#define PEER_CUT_MEMORY (1500 * BBM_MS)
/* A VM that couldn't be reached gets no requests for this time. */
#define PEER_AVOID_TIME (2 * BBM_SECOND)

/* ---- pools of this VM ---- */

static void
push_reach(bbm_gate *g, const gate_pool *p)
{
    bbm_gate_output *out = gate_push_output(g, BBM_GATE_POOL_REACH, NULL);
    bbm_name_set(out->u.pool_reach.pool, p->name);
    out->u.pool_reach.cut = p->cut;
}

static size_t
cut_threshold(size_t listed)
{
    if (listed > SMALL_POOL_MAX)
        return UNREACHED_TO_CUT;
    return listed < UNREACHED_TO_CUT_SMALL ? 1 : UNREACHED_TO_CUT_SMALL;
}

/* What no VM reaches is down. */
static bool
answers_elsewhere(const gate_upstream *u)
{
    return u->totals.answered_vms > u->reported.answered_vms;
}

bool
gate_record_unreached(bbm_gate *g, gate_upstream *u)
{
    gate_pool *p = u->pool;
    if (!p || !answers_elsewhere(u))
        return false;
    if (!p->unreached_since || g->now - p->unreached_since > UNREACHED_MEMORY)
        p->unreached_since = g->now;
    u->unreached_at = g->now;
    size_t listed = 0;
    size_t unreached = 0;
    for (const gate_upstream *o = g->upstreams; o; o = o->hh.next) {
        if (o->pool != p || !o->listed)
            continue;
        listed++;
        unreached += o->unreached_at >= p->unreached_since;
    }
    if (p->cut || unreached < cut_threshold(listed))
        return true;
    p->cut = true;
    p->next_trial_at = g->now + TRIAL_PERIOD;
    push_reach(g, p);
    return true;
}

/* The failures before were those of this VM's links. */
static void
forgive_unreached(bbm_gate *g, const gate_pool *p)
{
    for (gate_upstream *u = g->upstreams; u; u = u->hh.next) {
        if (u->pool != p || !u->unreached_at)
            continue;
        gate_reset_health(u);
        u->unreached_at = 0;
    }
}

void
gate_record_reached(bbm_gate *g, gate_upstream *u)
{
    gate_pool *p = u->pool;
    u->unreached_at = 0;
    if (!p)
        return;
    p->unreached_since = 0;
    if (!p->cut)
        return;
    p->cut = false;
    forgive_unreached(g, p);
    push_reach(g, p);
}

bool
gate_is_cut_off(const gate_upstream *u)
{
    return u->pool && u->pool->cut;
}

/* ---- other VMs ---- */

void
bbm_gate_set_peers(bbm_gate *g, const bbm_gate_peer *peers, size_t len)
{
    gate_peer *old = g->peers;
    g->peers = NULL;
    for (size_t i = 0; i < len; i++) {
        gate_peer *p = NULL;
        HASH_FIND(hh, old, &peers[i].vm, sizeof(peers[i].vm), p);
        if (p)
            HASH_DEL(old, p);
        else
            p = bbm_calloc(1, sizeof(*p));
        p->info = peers[i];
        HASH_ADD(hh, g->peers, info.vm, sizeof(p->info.vm), p);
    }
    gate_peer *p, *next;
    HASH_ITER(hh, old, p, next)
    {
        HASH_DEL(old, p);
        free(p);
    }
}

static gate_peer *
find_peer(const bbm_gate *g, uint64_t vm)
{
    gate_peer *p = NULL;
    HASH_FIND(hh, g->peers, &vm, sizeof(vm), p);
    return p;
}

void
gate_put_cut_pools(const bbm_gate *g, bool news_follow, bbm_buf *buf)
{
    size_t len = 0;
    for (const gate_pool *p = g->pools; p; p = p->hh.next)
        len += p->cut;
    if (!len && !news_follow)
        return;
    bbm_put_u64(buf, len < GATE_CUT_POOLS_MAX ? len : GATE_CUT_POOLS_MAX);
    len = 0;
    for (const gate_pool *p = g->pools; p && len < GATE_CUT_POOLS_MAX;
         p = p->hh.next) {
        if (p->cut)
            bbm_put_u64(buf, bbm_hash_text(p->name, 0));
        len += p->cut;
    }
}

void
gate_get_cut_pools(bbm_gate *g, bbm_reader *rd, uint64_t vm)
{
    gate_peer *peer = find_peer(g, vm);
    size_t len = 0;
    if (!rd->failed && rd->pos < rd->len)
        len = bbm_get_u32(rd, GATE_CUT_POOLS_MAX);
    for (size_t i = 0; i < len; i++) {
        uint64_t pool = bbm_get_u64(rd);
        if (peer)
            peer->cut_pools[i] = pool;
    }
    if (!peer)
        return;
    peer->cut_pools_len = len;
    peer->cut_pools_at = g->now;
}

void
gate_convert_cut_pools(bbm_reader *rd, bbm_format from, bbm_format to,
                       bbm_buf *buf)
{
    if (from < BBM_FORMAT_ORIGINS || rd->failed || rd->pos == rd->len)
        return;
    size_t len = bbm_get_u32(rd, GATE_CUT_POOLS_MAX);
    if (to >= BBM_FORMAT_ORIGINS)
        bbm_put_u64(buf, len);
    for (size_t i = 0; i < len && !rd->failed; i++) {
        uint64_t pool = bbm_get_u64(rd);
        if (to >= BBM_FORMAT_ORIGINS)
            bbm_put_u64(buf, pool);
    }
}

static bool
reaches(const bbm_gate *g, const gate_peer *p, const char *pool)
{
    uint64_t hash = bbm_hash_text(pool, 0);
    if (g->now < p->avoid_until)
        return false;
    if (g->now - p->cut_pools_at > PEER_CUT_MEMORY)
        return true;
    for (size_t i = 0; i < p->cut_pools_len; i++) {
        if (p->cut_pools[i] == hash)
            return false;
    }
    return true;
}

static bool
has_tried(const gate_request *r, const gate_peer *p)
{
    for (uint32_t i = 0; i < r->relays; i++) {
        if (r->relay_vms[i] == p->info.vm)
            return true;
    }
    return false;
}

/* A random VM that reaches the pool, in this VM's zone if there is one. */
static gate_peer *
choose_peer(bbm_gate *g, const gate_request *r)
{
    gate_peer *chosen = NULL;
    size_t count = 0;
    for (gate_peer *p = g->peers; p; p = p->hh.next) {
        if (has_tried(r, p) || !reaches(g, p, r->pools[0])
            || (chosen && chosen->info.same_zone && !p->info.same_zone))
            continue;
        if (chosen && p->info.same_zone && !chosen->info.same_zone)
            count = 0;
        count++;
        if (bbm_rng_below(&g->rng, count) == 0 || count == 1)
            chosen = p;
    }
    return chosen;
}

/* ---- requests ---- */

static bool
may_relay(const gate_request *r)
{
    bool begun = r->last_event_id[0] || r->head_at;
    bool may_run = r->attempts_run == 0
                   || (r->repeatable && r->attempts_run < r->attempts_max);
    return !r->is_relayed && !begun && may_run && r->relays < GATE_RELAYS_MAX;
}

static void
relay_to(bbm_gate *g, gate_request *r, const gate_peer *peer)
{
    gate_dequeue(g, r);
    r->stage = GATE_SENT;
    r->attempts++;
    r->sent_at = g->now;
    r->is_relaying = true;
    r->relay_vms[r->relays++] = peer->info.vm;
    bbm_shares_refund(g->shares, r->customer, r->reserved_tokens);
    r->reserved_tokens = 0;
    gate_pool *p = gate_find_pool(g, r->pools[0]);
    if (p && r->relays == 1)
        bbm_retry_retract_request(&p->retry_budget);
    g->counts.relayed++;
    bbm_gate_output *out = gate_push_send(g, r);
    out->u.send.send = (bbm_forward_request){
        .request = r->number,
        .attempt = r->attempts,
        .relay = true,
        .attempts_used = r->attempts_run,
        .deadline = r->deadline,
        .repeatable = r->repeatable,
        .stream = r->stream,
        .priority = -1,
        .ended_attempt = r->ended_attempt,
    };
    bbm_name_set(out->u.send.send.upstream, peer->info.name);
    bbm_name_set(out->u.send.send.address, peer->info.address);
    bbm_name_set(out->u.send.send.pool, r->pools[0]);
}

bool
gate_relay(bbm_gate *g, gate_request *r)
{
    const gate_peer *peer = may_relay(r) ? choose_peer(g, r) : NULL;
    if (peer)
        relay_to(g, r, peer);
    return peer != NULL;
}

bool
gate_relay_to(bbm_gate *g, gate_request *r, uint64_t vm)
{
    const gate_peer *peer = find_peer(g, vm);
    if (!peer || !may_relay(r) || has_tried(r, peer)
        || !reaches(g, peer, r->pools[0]))
        return false;
    relay_to(g, r, peer);
    return true;
}

bool
gate_relay_if_cut(bbm_gate *g, gate_request *r)
{
    gate_pool *p = gate_find_pool(g, r->pools[0]);
    r->is_trial_connection = false;
    if (r->unsent >= UNSENT_TO_RELAY)
        return gate_relay(g, r);
    if (!p || !p->cut)
        return false;
    if (g->now >= p->next_trial_at && may_relay(r)) {
        p->next_trial_at = g->now + TRIAL_PERIOD;
        r->is_trial_connection = true;
        return false;
    }
    return gate_relay(g, r);
}

static void
end_relay_unsent(bbm_gate *g, gate_request *r)
{
    gate_peer *peer = find_peer(g, r->relay_vms[r->relays - 1]);
    if (peer)
        peer->avoid_until = g->now + PEER_AVOID_TIME;
    r->is_relaying = false;
    r->stage = GATE_WAITING;
    r->link.tqe_prev = NULL;
    if (r->client_half_closed) {
        gate_abandon(g, r);
        return;
    }
    if (g->now < r->deadline && gate_relay(g, r))
        return;
    gate_refuse(g, r, BBM_ERR_NO_UPSTREAM, r->target_latency,
                "no upstream, and no VM that reaches one, could be reached");
}

void
gate_end_relayed(bbm_gate *g, gate_request *r,
                 const bbm_forward_result *result)
{
    bbm_gate_output *out;
    switch (result->outcome) {
    case BBM_FORWARD_COMPLETE:
        out = gate_push_output(g, BBM_GATE_ENDED, r);
        bbm_name_set(out->u.ended.upstream, "another VM");
        out->u.ended.head_ms = (r->head_at - r->arrived_at) / BBM_MS;
        out->u.ended.total_ms = (g->now - r->arrived_at) / BBM_MS;
        out->u.ended.attempts = r->attempts;
        out->u.ended.status = result->status;
        gate_request_free(g, r);
        return;
    case BBM_FORWARD_UNSENT:
        end_relay_unsent(g, r);
        return;
    case BBM_FORWARD_TRUNCATED:
        gate_abort(g, r, BBM_ERR_UPSTREAM_CUT,
                   "the VM that forwards it ended the answer early");
        return;
    case BBM_FORWARD_NOT_RUN:
    case BBM_FORWARD_FAILED:
    case BBM_FORWARD_NO_ANSWER:
        gate_abort(g, r, BBM_ERR_UPSTREAM,
                   "the VM that forwards it didn't answer");
        return;
    }
}
