#include "gate_core.h"

/* Upstreams that fall over if they must refuse too many requests for want of
   room.

   Answers a burst, or the loss of some upstreams, while the upstreams of a
   pool state that they are brittle: they let few requests wait, so that what
   was room for them isn't.  Requests go only to slots that are surely free and
   wait at the VMs: of services each VM has slots of its own, and one without
   any passes its calls to one that has.  An upstream that still refuses one is
   left alone by all VMs for as long as it counts its refusals. */

/* A statement holds for this time after the last answer that made it. */
#define STATEMENT_MEMORY (10 * BBM_SECOND)
/* Share of a runner's slots that is used: what other VMs have sent since their
   last reports isn't known. */
#define SURE_SLOT_SHARE 0.75
/* An upstream counts its refusals over this time. */
#define REFUSAL_WINDOW BBM_SECOND

bool
gate_record_brittle(bbm_gate *g, gate_pool *p,
                    const bbm_upstream_notice *notice)
{
    if (!notice->brittle || !p)
        return false;
    bool news = !gate_is_brittle(g, p);
    p->brittle_until = g->now + STATEMENT_MEMORY;
    return news;
}

bool
gate_is_brittle(const bbm_gate *g, const gate_pool *p)
{
    return g->now < p->brittle_until;
}

/* A slot of a service belongs to one VM, as turns do.  Its calls end within
   milliseconds, so that reports of other VMs' load come too late. */
static uint32_t
owned_slots(const bbm_gate *g, const gate_upstream *u)
{
    bbm_turn_order order = gate_turn_order(g, u->hash);
    uint32_t owned = 0;
    for (uint32_t slot = 0; slot < gate_slots_of(u); slot++)
        owned += bbm_turn_is_own(&order, slot);
    return owned;
}

bool
gate_is_brittle_full(const bbm_gate *g, const gate_upstream *u)
{
    if (!gate_is_brittle(g, u->pool))
        return false;
    if (!u->pool->is_engine)
        return u->open_requests >= owned_slots(g, u);
    return gate_open_requests(g, u) + 1 > gate_slots_of(u) * SURE_SLOT_SHARE;
}

bool
gate_relay_to_slot_owner(bbm_gate *g, gate_request *r)
{
    const gate_pool *p = gate_find_pool(g, r->pools[0]);
    if (!p || p->is_engine || !gate_is_brittle(g, p) || r->is_relayed)
        return false;
    const gate_upstream *drawn = NULL;
    uint64_t slots = 0;
    uint64_t at = 0;
    for (const gate_upstream *u = g->upstreams; u; u = u->hh.next) {
        if (u->pool != p || !u->listed || gate_is_leaving(u))
            continue;
        if (owned_slots(g, u))
            return false;
        slots += gate_slots_of(u);
        uint64_t slot = slots ? bbm_rng_below(&g->rng, slots) : 0;
        if (slot >= gate_slots_of(u))
            continue;
        drawn = u;
        at = slot;
    }
    if (!drawn)
        return false;
    bbm_turn_order order = gate_turn_order(g, drawn->hash);
    return gate_relay_to(g, r, bbm_turn_owner(&order, (int64_t)at));
}

/* The other VMs hear of a refusal as of a pause. */
bool
gate_has_refused_lately(const bbm_gate *g, const gate_upstream *u)
{
    return gate_is_brittle(g, u->pool)
           && u->totals.paused_vms > u->reported.paused_vms;
}

void
gate_record_brittle_refusal(bbm_gate *g, gate_upstream *u)
{
    if (!u->pool || !gate_is_brittle(g, u->pool))
        return;
    if (u->pause_until < g->now + REFUSAL_WINDOW)
        u->pause_until = g->now + REFUSAL_WINDOW;
    g->load_changed = true;
}
