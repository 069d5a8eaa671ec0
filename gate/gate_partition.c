#include "gate_core.h"

/* Division of the runners of pools between short and long prompts; see
   bbm_partition.h. */

static bool
is_short(const gate_request *r, const gate_pool *p)
{
    double gap_ms = (double)r->target_gap / (double)BBM_MS;
    return r->stream
           && bbm_partition_is_short(
               r->prompt_tokens / p->prefill_tokens_per_ms, gap_ms);
}

void
gate_record_size(const gate_request *r, gate_upstream *u)
{
    if (u->pool->is_engine && r->prompt_tokens > 0)
        bbm_partition_add_request(&u->pool->partition, is_short(r, u->pool),
                                  r->memory_tokens);
}

static bbm_partition_load
load_of_pool(const bbm_gate *g, const gate_pool *p)
{
    bbm_partition_load load = {.slots = p->slots};
    for (const gate_upstream *u = g->upstreams; u; u = u->hh.next) {
        if (u->pool != p || !u->listed || gate_is_leaving(u))
            continue;
        load.runners++;
        load.open_requests += u->totals.open_requests;
        load.memory_tokens += u->totals.memory_tokens;
        if (u->info.slots)
            load.slots = u->info.slots;
    }
    return load;
}

/* Up to some VMs, placements arrive before the next requests: the runner with
   the least to do is known, and none is left to a class. */
void
gate_update_partitions(bbm_gate *g)
{
    for (gate_pool *p = g->pools; p; p = p->hh.next) {
        if (!p->is_engine || !g->placements_delayed)
            continue;
        bbm_partition_load load = load_of_pool(g, p);
        bbm_partition_update(&p->partition, &load, g->now);
    }
}

bool
gate_is_in_part(const gate_request *r, const gate_upstream *u)
{
    const bbm_partition *p = &u->pool->partition;
    if (p->share <= 0 || r->prompt_tokens <= 0)
        return true;
    return bbm_partition_has_short(p, u->partition_rank)
           == is_short(r, u->pool);
}
