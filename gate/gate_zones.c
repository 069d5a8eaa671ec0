#include "gate_core.h"

#include <string.h>

/* Passes the load by zone to the decision whether a request leaves its zone
   (bbm_zones.h), and counts what left and what stayed. */

/* The load by zone is added up at most once in this time, the shortest period
   of news. */
#define UPDATE_PERIOD (40 * BBM_MS)
/* Requests of other zones may fill a runner up to this backlog.  Targets are
   400 ms and more, so that its own zone's requests still meet theirs. */
#define RECEIVE_BACKLOG_MS 100.0
/* Wait that an upstream counts with that is full.  With less, a zone whose
   memory is used up would seem as fast as an idle one. */
#define FULL_WAIT_MS 150.0
/* News of other VMs counts as arriving up to this age. */
#define NEWS_FRESH_TIME (400 * BBM_MS)
/* Bytes of a call without a prompt, and of its answer: an estimate. */
#define CALL_BYTES 400.0

static bbm_zones_price
price_of(const bbm_gate *g)
{
    return (bbm_zones_price){.delay_ms = g->desc.zone_delay_ms,
                             .byte_ms = g->desc.zone_byte_price};
}

bool
gate_is_in_zone(const bbm_gate *g, const gate_upstream *u)
{
    return strcmp(g->desc.zone, u->info.zone) == 0;
}

bool
gate_zones_priced(const bbm_gate *g)
{
    bbm_zones_price price = price_of(g);
    return bbm_zones_is_priced(&price);
}

static double
bytes_of(const gate_request *r)
{
    return bbm_zones_bytes(r->prompt_tokens, r->output_tokens_max)
           + (r->prompt_tokens > 0 ? 0 : CALL_BYTES);
}

double
gate_leave_ms(const bbm_gate *g, const gate_request *r)
{
    bbm_zones_price price = price_of(g);
    return bbm_zones_leave_ms(&price, bytes_of(r));
}

static uint64_t
zone_hash(const char *zone)
{
    return bbm_hash_text(zone, 0);
}

static bool
may_get_requests(const bbm_gate *g, const gate_upstream *u)
{
    return !u->info.loading && !gate_is_leaving(u) && !gate_is_paused(g, u)
           && !gate_is_avoided(g, u);
}

static void
add_upstream(const bbm_gate *g, const gate_upstream *u, bbm_zones_load *zones,
             size_t *len)
{
    uint64_t zone = zone_hash(u->info.zone);
    size_t i = 0;
    while (i < *len && zones[i].zone != zone)
        i++;
    if (i == BBM_ZONES_MAX)
        return;
    if (i == *len)
        zones[(*len)++] = (bbm_zones_load){.zone = zone};
    bbm_zones_load *l = &zones[i];
    if (u->unreached_at && g->now - u->unreached_at < BBM_ZONES_CUT_TIME) {
        l->unreached++;
        if (u->unreached_at > l->unreached_at)
            l->unreached_at = u->unreached_at;
    }
    if (u->last_answer_at > l->answered_at)
        l->answered_at = u->last_answer_at;
    if (!may_get_requests(g, u))
        return;
    double room = gate_room(g, u, RECEIVE_BACKLOG_MS);
    zones[i].upstreams++;
    zones[i].room += room;
    zones[i].wait_ms += gate_wait_ms(g, u) + (room > 0 ? 0 : FULL_WAIT_MS);
}

/* VMs of this zone; without a list of VMs, its part of all. */
static size_t
count_zone_vms(const bbm_gate *g, size_t zones)
{
    size_t vms = 1;
    for (const struct gate_peer *p = g->peers; p; p = p->hh.next)
        vms += p->info.same_zone;
    if (!g->peers && zones)
        vms = (g->vms + zones - 1) / zones;
    return vms;
}

void
gate_update_zones(bbm_gate *g, gate_pool *p)
{
    bbm_zones_load zones[BBM_ZONES_MAX];
    size_t len = 0;
    if (p->zones.updated_at && g->now - p->zones.updated_at < UPDATE_PERIOD)
        return;
    for (const gate_upstream *u = g->upstreams; u; u = u->hh.next) {
        if (u->pool == p && u->listed)
            add_upstream(g, u, zones, &len);
    }
    for (size_t i = 0; i < len; i++) {
        if (zones[i].upstreams)
            zones[i].wait_ms /= (double)zones[i].upstreams;
    }
    bbm_zones_update(
        &p->zones,
        &(bbm_zones_news){
            .zones = zones,
            .zones_len = len,
            .own = zone_hash(g->desc.zone),
            .zone_vms = count_zone_vms(g, len),
            .fresh = g->vms <= 1 || g->now - g->totals_at <= NEWS_FRESH_TIME,
        },
        g->now);
}

/* What a request takes of the room: memory and prompt processing of a runner,
   a slot of a service. */
static double
work_of(const gate_request *r, const gate_pool *p)
{
    return p->is_engine ? r->prompt_tokens + r->output_tokens_max : 1;
}

bool
gate_is_zone_cut(const bbm_gate *g, const gate_upstream *u)
{
    return !gate_is_in_zone(g, u)
           && bbm_zones_is_cut(&u->pool->zones, zone_hash(u->info.zone));
}

bbm_zones_verdict
gate_decide_zone(const bbm_gate *g, const gate_request *r, gate_pool *p,
                 const gate_upstream *other, bbm_zones_question *q)
{
    q->leave_ms = gate_leave_ms(g, r);
    q->work = work_of(r, p);
    if (other)
        q->other_zone = zone_hash(other->info.zone);
    return bbm_zones_decide(&p->zones, q);
}

bbm_zones_verdict
gate_zone_verdict(const bbm_gate *g, const bbm_zones_verdict *v,
                  const gate_upstream *u)
{
    bool leaves = !gate_is_in_zone(g, u);
    if (leaves && !gate_zones_priced(g))
        return (bbm_zones_verdict){.leaves = true,
                                   .cause = BBM_ZONES_UNPRICED};
    /* The zone's own upstream may be chosen all the same, and one elsewhere if
       the zone has none and the others are full. */
    if (leaves == v->leaves)
        return *v;
    return (bbm_zones_verdict){
        .leaves = leaves, .cause = leaves ? BBM_ZONES_NONE : BBM_ZONES_STAYS};
}

void
gate_record_zone(bbm_gate *g, const gate_request *r, const gate_choice *c)
{
    bbm_zones_counts *counts = &g->counts.zones;
    counts->requests[c->zone.cause]++;
    counts->bytes[c->zone.cause] += (uint64_t)bytes_of(r);
    counts->tokens[c->zone.cause] += (uint64_t)r->prompt_tokens;
}
