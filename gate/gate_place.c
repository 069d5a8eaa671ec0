#include "gate_core.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Choice of the upstream for a request.

   Designed for prompts with long shared prefixes.  Each request goes to the
   runner where its answer is expected to begin first, given the queue there,
   the part of the prompt that the runner has cached, and the time to fetch or
   compute the rest.  If no placement of the prompt is known, its home is
   preferred: the runner chosen by rendezvous hashing over the eligible ones.
   So VMs that have just started choose the same one. */

/* A runner counts as full once its open requests occupy this share of its KV
   cache memory, or the time to process its prompt backlog exceeds the maximum.
   Running requests use the same memory as cached prefixes, and a runner that
   gets more prompts than it can process at a time finishes none of them
   sooner. */
#define RUNNING_MEMORY_SHARE 0.45
#define BACKLOG_MAX_MS 500.0
/* A request is held for a full runner if every runner that isn't full costs at
   least this much more. */
#define HOLD_ADVANTAGE_MS 150.0
/* Assumed share of fetches whose source doesn't have the entries, where the
   holders of the prompt are unknown. */
#define FETCH_FAILURE_SHARE 0.5
/* For this time after its first listing, a VM may lack earlier placements of
   the other VMs. */
#define LEARN_TIME (10 * BBM_SECOND)
/* A runner whose cache was last emptied this long ago has by now been sent the
   chains whose home it is. */
#define WARM_TIME (8 * BBM_SECOND)
/* Extra cost of a runner that isn't the home of the prompt and must compute
   some of the shared prefix. */
#define NOT_HOME_COST_MS 30.0
/* Cost of placing a chain on a third or further runner, as a multiple of the
   time to compute its shared prefix, where the holders are unknown. */
#define THIRD_HOLDER_COST_RATIO 2.0
/* Extra cost of an upstream that has asked all other VMs for a pause. */
#define PAUSED_COST_MS 300.0
/* Approximate wait for a slot at a runner whose slots are all occupied. */
#define SLOT_WAIT_MS 300.0
/* Extra cost of an upstream in another availability zone: the round trip. */
#define CROSS_ZONE_MS 2.0
/* Runners with the newest weights are preferred if the answer is expected to
   begin there within this share of the target latency. */
#define NEWEST_TARGET_RATIO 0.7
/* If placements are delayed, the runners with the newest weights are preferred
   only up to this share of their prompt processing rate.  The rest is left for
   requests that VMs send there without knowing of each other's. */
#define NEWEST_LOAD_SHARE 0.8
/* Time constant of the smoothed prefill rate. */
#define RATE_SMOOTHING_TIME (2 * BBM_SECOND)
/* If placements are delayed, all VMs would choose the same runner at once: the
   one that was free at the last report gets all requests until the next one.
   So each request considers a few: the runners that hold the whole shared
   prefix, its home, and this number of others on average, drawn at random. */
#define RANDOM_CANDIDATE_COUNT 3.0
/* Extra cost of the others, which are left to requests that draw them. */
#define NOT_SAMPLED_COST_MS 5000.0
/* Extra cost of a runner outside the part of the pool for such prompts. */
#define OUTSIDE_PART_COST_MS 300.0
/* Load of the other VMs counts in full up to this age, then less and less:
   what they had sent by then has been processed, and where they send now isn't
   known.  Otherwise all VMs would go on avoiding the runners that were busy at
   the last report, and crowd at the others. */
#define TOTALS_FRESH_TIME (400 * BBM_MS)
#define TOTALS_FADING_TIME (600 * BBM_MS)
/* Number of VMs from which placements arrive too late to choose by them. */
#define HOME_VMS_MIN 100
/* If placements are delayed, extra cost of a runner that isn't a home of the
   chain: a share of the time to compute the shared prefix there, as other
   chains lose that room, and for short prefixes the minimum, as a choice by
   late loads would send all VMs to the same runner. */
#define AWAY_COST_RATIO 0.5
#define AWAY_COST_MIN_MS 60.0
/* Share of the time of the stores for fetches of what they may not have, and
   the time for which a VM saves up its part. */
#define STORE_LOAD_SHARE 0.5
#define STORE_BURST_S 5.0
/* Of the homes of a chain with several, each request considers this number,
   drawn at random. */
#define HOMES_DRAWN 2
typedef struct candidate {
    gate_upstream *upstream;
    uint64_t weight; /* rendezvous weight; the home has the highest */
    uint64_t version;
    bbm_time weights_until; /* as in gate_choice */
    bool is_old;            /* a newer version was announced longer ago than
                               the grace period */
    gate_cached cached;
    double miss_tokens; /* prompt tokens that it must process */
    bool is_in_part;    /* in the part of the pool for such prompts */
    bool is_home;       /* a home of the chain that this request considers */
    bool is_left_out;   /* in another zone, and the request stays in this */
    bool is_full; /* a further request would only wait there, and evict cached
                     prefixes */
    double wait_ms; /* expected until the runner begins with it, without the
                       correction factor */
    double cost_ms;
} candidate;

typedef struct candidate_set {
    candidate *items;
    size_t len;
    bool holders_unknown; /* this VM has just started, and has no placement of
                             the prompt on record */
    bool by_home;         /* costs are by the homes of the chain */
    size_t loading; /* number of upstreams that take requests again soon: they
                       load weights, have too old ones, or are brittle and
                       had no room */
    size_t avoided; /* number of upstreams left out because they are avoided */
    size_t paused;  /* number left out because they want no requests now */
    bbm_time pause_end; /* earliest end of that; valid if paused */
    size_t limited;     /* number left out because this VM has no turn there */
    double limit;       /* sum of their limits, in requests per second */
    size_t turns_ahead; /* number of them where it has one soon enough */
} candidate_set;

/* ---- load of an upstream ---- */

/* Load of the other VMs: the totals less what this VM contributed to them, as
   last reported. */
static double
of_other_vms(const bbm_gate *g, uint32_t all, uint32_t reported)
{
    if (all <= reported)
        return 0;
    double age = (double)(g->now - g->totals_at - TOTALS_FRESH_TIME)
                 / (double)TOTALS_FADING_TIME;
    double weight = age <= 0 ? 1 : age >= 1 ? 0 : 1 - age;
    return (double)(all - reported) * weight;
}

double
gate_open_requests(const bbm_gate *g, const gate_upstream *u)
{
    return of_other_vms(g, u->totals.open_requests, u->reported.open_requests)
           + u->open_requests;
}

double
gate_backlog_tokens(const bbm_gate *g, const gate_upstream *u)
{
    return of_other_vms(g, u->totals.backlog_tokens,
                        u->reported.backlog_tokens)
           + u->backlog_tokens;
}

static double
total_memory_tokens(const bbm_gate *g, const gate_upstream *u)
{
    return of_other_vms(g, u->totals.memory_tokens, u->reported.memory_tokens)
           + u->memory_tokens;
}

uint32_t
gate_slots_of(const gate_upstream *u)
{
    return u->info.slots ? u->info.slots : u->pool->slots;
}

static bool
has_failed(const gate_request *r, const gate_upstream *u)
{
    for (size_t i = 0; i < r->failed_len; i++) {
        if (r->failed_upstreams[i] == u->hash)
            return true;
    }
    return false;
}

/* ---- candidates ---- */

static uint64_t
rendezvous_weight(const gate_request *r, const gate_upstream *u)
{
    return bbm_hash64(&r->chain_key, sizeof(r->chain_key), u->hash);
}

static void
add_candidate(const bbm_gate *g, candidate_set *set, gate_upstream *u,
              const gate_request *r, const gate_weights *w)
{
    uint64_t version = bbm_listing_entry_version(&u->info, r->model);
    gate_weights_age age = gate_age_of_weights(g, w, version);
    if (gate_weights_expire(g, r, &age)) {
        set->loading++;
        return;
    }
    set->items[set->len++] = (candidate){
        .upstream = u,
        .weight = rendezvous_weight(r, u),
        .version = version,
        .weights_until = age.until,
        .is_in_part = gate_is_in_part(r, u),
        .is_old = age.is_old,
    };
}

static void
leave_out_paused(candidate_set *set, const gate_upstream *u)
{
    if (!set->paused || u->pause_until < set->pause_end)
        set->pause_end = u->pause_until;
    set->paused++;
}

static void
leave_out_limited(const bbm_gate *g, const gate_request *r, candidate_set *set,
                  const gate_upstream *u)
{
    set->limited++;
    set->limit += u->turns.limit;
    set->turns_ahead += gate_has_turn_before(g, u, gate_hold_limit(r));
}

static void
collect_candidates(bbm_gate *g, const gate_request *r, const char *pool,
                   bool avoided, candidate_set *set)
{
    const gate_weights *w = gate_find_weights(g, r->model);
    set->len = 0;
    set->loading = 0;
    set->avoided = 0;
    set->paused = 0;
    set->limited = 0;
    set->limit = 0;
    set->turns_ahead = 0;
    for (gate_upstream *u = g->upstreams; u; u = u->hh.next) {
        if (!u->listed || !u->pool || strcmp(u->info.pool, pool) != 0
            || gate_is_leaving(u) || !gate_may_go_on(r, u))
            continue;
        if (!gate_release_allows(g, r, u)) {
            set->loading += gate_release_holds(g, u);
            continue;
        }
        if (u->info.loading && !gate_release_is_marked(g, u)) {
            set->loading++;
            continue;
        }
        if (gate_is_paused(g, u)) {
            leave_out_paused(set, u);
            continue;
        }
        if (gate_has_refused_lately(g, u)) {
            set->loading++;
            continue;
        }
        if (has_failed(r, u))
            continue;
        if (!gate_has_turn(g, u)) {
            leave_out_limited(g, r, set, u);
            continue;
        }
        if (!avoided && gate_is_avoided(g, u)) {
            set->avoided++;
            continue;
        }
        add_candidate(g, set, u, r, w);
    }
}

static int
compare_weights(const void *a, const void *b)
{
    const candidate *x = a;
    const candidate *y = b;
    if (x->is_in_part != y->is_in_part)
        return x->is_in_part ? -1 : 1;
    if (x->weight == y->weight)
        return 0;
    return x->weight > y->weight ? -1 : 1;
}

static size_t
count_old(const candidate_set *set)
{
    size_t old = 0;
    for (size_t i = 0; i < set->len; i++)
        old += set->items[i].is_old;
    return old;
}

/* ---- cost ---- */

static double
cross_zone_ms(const bbm_gate *g, const gate_request *r, const gate_upstream *u)
{
    if (gate_is_in_zone(g, u))
        return 0;
    return gate_zones_priced(g) ? gate_leave_ms(g, r) : CROSS_ZONE_MS;
}

/* A faster runner isn't given a longer queue: what waits there occupies memory
   that its cached prefixes need. */
static double
backlog_tokens_max(const gate_upstream *u)
{
    return BACKLOG_MAX_MS * u->pool->prefill_tokens_per_ms
           * (u->speed < 1 ? u->speed : 1);
}

static bbm_room_load
room_load(const bbm_gate *g, const gate_request *r, const gate_upstream *u)
{
    const gate_pool *p = u->pool;
    return (bbm_room_load){
        .memory_tokens = total_memory_tokens(g, u),
        .memory_max = p->memory_tokens * RUNNING_MEMORY_SHARE,
        .backlog_ms = gate_backlog_tokens(g, u) / gate_prefill_rate(u),
        .backlog_max_ms = backlog_tokens_max(u) / gate_prefill_rate(u),
        .open_ahead = gate_open_requests(g, u)
                      * gate_forecast_urgent_share(p, r->priority),
        .slots = gate_slots_of(u),
        .slot_ms = bbm_forecast_slot_ms(&p->forecast, r->priority, g->now),
    };
}

static bool
is_full(const bbm_gate *g, const gate_request *r, const gate_upstream *u)
{
    bbm_room_load load = room_load(g, r, u);
    /* An idle runner accepts a request of any size. */
    if (load.memory_tokens <= 0)
        return false;
    if (gate_is_brittle_full(g, u))
        return true;
    return bbm_room_is_full(&load, r->prompt_tokens + r->output_tokens_max,
                            gate_is_late_at(g, r, u));
}

double
gate_runner_capacity(const bbm_gate *g, const gate_request *r,
                     const gate_upstream *u)
{
    double room = u->pool->memory_tokens * RUNNING_MEMORY_SHARE
                  - total_memory_tokens(g, u);
    double backlog = backlog_tokens_max(u) - gate_backlog_tokens(g, u);
    double size = r->prompt_tokens + r->output_tokens_max;
    room = backlog < room ? backlog : room;
    room = size > 0 ? room / size : room;
    bbm_room_load load = room_load(g, r, u);
    double slots = bbm_room_slots(&load, gate_is_late_at(g, r, u));
    return slots < room ? slots : room;
}

/* Wait at a runner whatever the request, by which zones are compared. */
static double
runner_wait_ms(const bbm_gate *g, const gate_upstream *u)
{
    double open = gate_open_requests(g, u);
    double slots = gate_slots_of(u);
    double wait = gate_backlog_tokens(g, u) / gate_prefill_rate(u);
    return open < slots ? wait
                        : wait + SLOT_WAIT_MS * (1 + open - slots) / slots;
}

double
gate_wait_ms(const bbm_gate *g, const gate_upstream *u)
{
    const gate_pool *p = u->pool;
    if (p->is_engine)
        return runner_wait_ms(g, u);
    double open = gate_open_requests(g, u);
    double slots = gate_slots_of(u);
    double wait = u->lateness_ms > 0 ? u->lateness_ms : 0;
    return open < slots ? wait
                        : wait + (open - slots + 1) / slots * p->service_ms;
}

double
gate_room(const bbm_gate *g, const gate_upstream *u, double backlog_ms)
{
    const gate_pool *p = u->pool;
    if (gate_is_brittle_full(g, u))
        return 0;
    if (!p->is_engine)
        return fmax(0, gate_slots_of(u) - gate_open_requests(g, u));
    double memory =
        p->memory_tokens * RUNNING_MEMORY_SHARE - total_memory_tokens(g, u);
    double backlog =
        backlog_ms * p->prefill_tokens_per_ms - gate_backlog_tokens(g, u);
    return fmax(0, fmin(memory, backlog));
}

/* A runner that asked other VMs for a pause is loaded more than its reported
   load says: the share of the VMs measures by how much. */
static double
paused_elsewhere_ms(const bbm_gate *g, const gate_upstream *u)
{
    double paused =
        of_other_vms(g, u->totals.paused_vms, u->reported.paused_vms);
    return PAUSED_COST_MS * paused / (double)g->vms;
}

/* Extra cost of a runner by its rank in the rendezvous order of the chain (0:
   home), if the holders are unknown.  The runner of rank 1 would fetch the
   prefix from the home, which may not have it; any further one would also
   evict prefixes of other chains. */
static double
away_from_home_ms(const gate_request *r, const candidate *c, size_t rank)
{
    double fetch_ms = gate_fetch_ms(c->upstream, r->shared_tokens, false);
    double compute_ms =
        r->shared_tokens / c->upstream->pool->prefill_tokens_per_ms;
    if (rank == 0)
        return 0;
    if (rank > 1)
        return compute_ms * THIRD_HOLDER_COST_RATIO;
    return fetch_ms < compute_ms
               ? fetch_ms + (compute_ms - fetch_ms) * FETCH_FAILURE_SHARE
               : compute_ms;
}

static void
add_cost_holders_unknown(const gate_request *r, candidate *c, size_t rank)
{
    c->miss_tokens = r->prompt_tokens - r->shared_tokens;
    c->cost_ms += away_from_home_ms(r, c, rank)
                  + c->miss_tokens / c->upstream->pool->prefill_tokens_per_ms;
    if (rank > 0)
        c->miss_tokens += r->shared_tokens * FETCH_FAILURE_SHARE;
}

/* Fetched entries evict as many others.  These are taken to be of prompts like
   this one: the shared part of them has to be computed again. */
static double
eviction_ms(const gate_request *r, double fetched_tokens, double speed)
{
    if (fetched_tokens <= 0 || r->prompt_tokens <= 0)
        return 0;
    return fetched_tokens / speed * r->shared_tokens / r->prompt_tokens;
}

static void
add_cost_holders_known(const gate_request *r, candidate *c, size_t rank)
{
    const gate_cached *cached = &c->cached;
    double speed = c->upstream->pool->prefill_tokens_per_ms;
    double available = cached->offered_tokens > 0 ? cached->offered_tokens
                                                  : cached->held_tokens;
    c->miss_tokens = r->prompt_tokens - available;
    c->cost_ms += c->miss_tokens / speed + cached->fetch_ms;
    c->cost_ms += eviction_ms(r, available - cached->held_tokens, speed);
    if (rank > 0 && available < r->shared_tokens)
        c->cost_ms += NOT_HOME_COST_MS;
}

/* ---- homes ---- */

static bool
is_news_lost(const bbm_gate *g)
{
    return g->now - g->totals_at > TOTALS_FRESH_TIME;
}

/* Below HOME_VMS_MIN VMs, placements of the others arrive soon enough to go
   where a chain was sent last, while they arrive. */
static bool
chooses_by_home(const bbm_gate *g)
{
    return g->placements_delayed
           && (g->vms >= HOME_VMS_MIN || is_news_lost(g));
}

static size_t
count_homes(bbm_gate *g, const gate_request *r, const candidate_set *set)
{
    const candidate *home = &set->items[0];
    const gate_prefix *longest = &r->prefixes[r->prefixes_len - 1];
    bbm_chain_query q = {
        .chain = r->chain_key,
        .placed_rate = bbm_places_rate(
            g->places, gate_versioned_key(longest, home->version), g->now),
        .vms = g->vms,
        .news_lost = is_news_lost(g),
    };
    double own_ms = (r->prompt_tokens - r->shared_tokens)
                    / home->upstream->pool->prefill_tokens_per_ms;
    size_t homes =
        bbm_chains_homes(bbm_chains_rate(g->chains, &q, g->now), own_ms);
    return homes < set->len ? homes : set->len;
}

/* Marks the homes that a request considers: the first one, or some of several
   at random, so that VMs with the same late loads don't choose the same. */
static void
draw_homes(bbm_gate *g, candidate_set *set, size_t homes)
{
    for (size_t i = 0; i < HOMES_DRAWN && homes > 0; i++)
        set->items[bbm_rng_below(&g->rng, homes)].is_home = true;
}

/* Unless the placements of the other VMs tell, a runner may or may not hold
   the part of the shared prefix that this VM hasn't sent there. */
static void
add_home_costs(bbm_gate *g, const gate_request *r, candidate *c)
{
    const gate_cached *cached = &c->cached;
    double speed = c->upstream->pool->prefill_tokens_per_ms;
    double available = cached->offered_tokens > cached->held_tokens
                           ? cached->offered_tokens
                           : cached->held_tokens;
    double unknown =
        r->shared_tokens > available ? r->shared_tokens - available : 0;
    c->miss_tokens = r->prompt_tokens - available;
    if (is_news_lost(g))
        c->miss_tokens -= unknown * (1 - FETCH_FAILURE_SHARE);
    c->cost_ms += c->miss_tokens / speed + cached->fetch_ms;
    if (!c->is_home) {
        double away_ms = r->shared_tokens / speed * AWAY_COST_RATIO;
        c->cost_ms += away_ms > AWAY_COST_MIN_MS ? away_ms : AWAY_COST_MIN_MS;
    }
}

/* A shared prefix that takes less time to process than the request to leave
   the zone is processed in each zone: its home is among the zone's runners, if
   there are any. */
static void
keep_home_in_zone(const bbm_gate *g, const gate_request *r, candidate_set *set)
{
    double speed = set->items[0].upstream->pool->prefill_tokens_per_ms;
    if (!gate_zones_priced(g)
        || r->shared_tokens / speed > gate_leave_ms(g, r))
        return;
    size_t own = 0;
    for (size_t i = 0; i < set->len; i++) {
        candidate c = set->items[i];
        if (!gate_is_in_zone(g, c.upstream))
            continue;
        memmove(&set->items[own + 1], &set->items[own],
                (i - own) * sizeof(*set->items));
        set->items[own++] = c;
    }
}

/* The costs of a runner whatever it holds of the prompt, and what it holds. */
static void
estimate_wait(bbm_gate *g, const gate_request *r, candidate *c)
{
    c->wait_ms = gate_forecast_wait_ms(g, r, c->upstream);
    c->cost_ms = c->wait_ms + cross_zone_ms(g, r, c->upstream)
                 + paused_elsewhere_ms(g, c->upstream);
    if (!c->is_in_part)
        c->cost_ms += OUTSIDE_PART_COST_MS;
    c->is_full = is_full(g, r, c->upstream);
    gate_find_cached(g, r, c->upstream, c->version, &c->cached);
}

/* Placement by many VMs that hear of each other late: by the hash of the
   chain, which needs no news.  Loads only move what a home can't take. */
static void
estimate_costs_by_home(bbm_gate *g, const gate_request *r, candidate_set *set)
{
    qsort(set->items, set->len, sizeof(*set->items), compare_weights);
    keep_home_in_zone(g, r, set);
    draw_homes(g, set, count_homes(g, r, set));
    set->by_home = true;
    for (size_t i = 0; i < set->len; i++) {
        candidate *c = &set->items[i];
        estimate_wait(g, r, c);
        add_home_costs(g, r, c);
    }
}

/* Runners from which a request draws those that it considers. */
typedef struct draw_counts {
    size_t in_part; /* first ones of the set; all if none is in the part of
                       the pool for such prompts */
    size_t in_zone; /* number of these in the zone of this VM */
} draw_counts;

static draw_counts
count_draws(const bbm_gate *g, const candidate_set *set)
{
    draw_counts d = {0};
    while (d.in_part < set->len && set->items[d.in_part].is_in_part)
        d.in_part++;
    if (!d.in_part)
        d.in_part = set->len;
    for (size_t i = 0; i < d.in_part; i++)
        d.in_zone += gate_is_in_zone(g, set->items[i].upstream);
    return d;
}

/* Probability that the i-th runner is drawn.  If leaving the zone has a price,
   half of the draws are from the zone, so that it isn't left only because none
   of its runners was drawn. */
static double
draw_probability(const bbm_gate *g, const candidate_set *set, size_t i,
                 const draw_counts *d)
{
    bool both = d->in_zone && d->in_zone < d->in_part;
    if (!gate_zones_priced(g) || !both)
        return RANDOM_CANDIDATE_COUNT / (double)d->in_part;
    bool in_zone = gate_is_in_zone(g, set->items[i].upstream);
    size_t from = in_zone ? d->in_zone : d->in_part - d->in_zone;
    return RANDOM_CANDIDATE_COUNT / 2 / (double)from;
}

/* True if a request considers the i-th runner of the set.  At a limited one
   the turns spread the requests of the VMs already. */
static bool
is_sampled(bbm_gate *g, const gate_request *r, const candidate_set *set,
           size_t i, const draw_counts *d)
{
    const candidate *c = &set->items[i];
    if (i == 0 || c->cached.prefixes_held == r->prefixes_len
        || gate_is_limited(c->upstream))
        return true;
    if (i >= d->in_part)
        return false;
    return bbm_rng_unit(&g->rng) < draw_probability(g, set, i, d);
}

static void
estimate_runner_costs(bbm_gate *g, const gate_request *r, candidate_set *set)
{
    qsort(set->items, set->len, sizeof(*set->items), compare_weights);
    keep_home_in_zone(g, r, set);
    set->items[0].is_home = true;
    set->holders_unknown = g->now - g->places_since < LEARN_TIME;
    for (size_t i = 0; i < set->len && set->holders_unknown; i++)
        set->holders_unknown =
            !gate_has_placement(g, r, set->items[i].version);
    draw_counts draws = count_draws(g, set);
    for (size_t i = 0; i < set->len; i++) {
        candidate *c = &set->items[i];
        estimate_wait(g, r, c);
        if (g->placements_delayed && !is_sampled(g, r, set, i, &draws))
            c->cost_ms += NOT_SAMPLED_COST_MS;
        if (set->holders_unknown)
            add_cost_holders_unknown(r, c, i);
        else
            add_cost_holders_known(r, c, i);
    }
}

static void
estimate_service_costs(bbm_gate *g, const gate_request *r, candidate_set *set)
{
    for (size_t i = 0; i < set->len; i++) {
        candidate *c = &set->items[i];
        const gate_upstream *u = c->upstream;
        double open = gate_open_requests(g, u);
        double slots = gate_slots_of(u);
        c->is_full = gate_is_brittle_full(g, u);
        double cost = u->pool->service_ms;
        if (open >= slots)
            cost += (open - slots + 1) / slots * u->pool->service_ms;
        /* Also with free slots, the less loaded upstream is preferred. */
        cost += open / slots * u->pool->service_ms / 2;
        cost += u->lateness_ms > 0 ? u->lateness_ms : 0;
        /* Breaks ties at random. */
        cost += bbm_rng_unit(&g->rng);
        c->cost_ms = cost + cross_zone_ms(g, r, u) + paused_elsewhere_ms(g, u);
    }
}

static const candidate *
cheapest(const candidate_set *set, bool with_full)
{
    const candidate *best = NULL;
    for (size_t i = 0; i < set->len; i++) {
        const candidate *c = &set->items[i];
        if (!c->is_left_out && (with_full || !c->is_full)
            && (!best || c->cost_ms < best->cost_ms))
            best = c;
    }
    return best;
}

/* ---- zones ---- */

static const candidate *
cheapest_of(const bbm_gate *g, const candidate_set *set, bool own, bool full)
{
    const candidate *best = NULL;
    for (size_t i = 0; i < set->len; i++) {
        const candidate *c = &set->items[i];
        if (!c->is_left_out && gate_is_in_zone(g, c->upstream) == own
            && c->is_full == full && (!best || c->cost_ms < best->cost_ms))
            best = c;
    }
    return best;
}

static bool
has_own(const bbm_gate *g, const candidate_set *set)
{
    for (size_t i = 0; i < set->len; i++) {
        if (gate_is_in_zone(g, set->items[i].upstream))
            return true;
    }
    return false;
}

/* Part of the cost by which a runner elsewhere is better because of its
   cache. */
static double
cached_elsewhere_ms(const bbm_gate *g, const candidate *own,
                    const candidate *other)
{
    const gate_pool *p = other->upstream->pool;
    if (!p->is_engine || !own)
        return 0;
    double held = other->cached.held_tokens - own->cached.held_tokens;
    double ms = held > 0 ? held / p->prefill_tokens_per_ms : 0;
    if (other->is_home && !own->is_home)
        ms += chooses_by_home(g) ? AWAY_COST_MIN_MS : NOT_HOME_COST_MS;
    return ms;
}

/* Decides whether a request leaves the zone, and leaves out the upstreams of
   the others if not. */
static bbm_zones_verdict
decide_zone(bbm_gate *g, const gate_request *r, candidate_set *set)
{
    gate_pool *pool = set->items[0].upstream->pool;
    gate_update_zones(g, pool);
    for (size_t i = 0; i < set->len && has_own(g, set); i++)
        set->items[i].is_left_out =
            gate_is_zone_cut(g, set->items[i].upstream);
    const candidate *own = cheapest_of(g, set, true, false);
    const candidate *other = cheapest_of(g, set, false, false);
    bool own_full = !own;
    if (!own)
        own = cheapest_of(g, set, true, true);
    bbm_zones_question q = {
        .has_own = own != NULL,
        .own_full = own_full,
        .has_other = other != NULL,
        .random = bbm_rng_unit(&g->rng),
    };
    if (own)
        q.own_ms = own->cost_ms + (own_full ? HOLD_ADVANTAGE_MS : 0);
    if (other) {
        q.other_ms = other->cost_ms;
        q.cached_ms = cached_elsewhere_ms(g, own, other);
    }
    const gate_upstream *to = other ? other->upstream : NULL;
    bbm_zones_verdict v = gate_decide_zone(g, r, pool, to, &q);
    for (size_t i = 0; i < set->len && own && !v.leaves; i++) {
        candidate *c = &set->items[i];
        c->is_left_out = !gate_is_in_zone(g, c->upstream);
    }
    return v;
}

/* ---- cache entries ---- */

/* Without a known version, cache entries aren't shared with any other attempt.
   Clients choose ids, so an id alone may come again.  The text reads like no
   scope with a version: these begin with a name, or with one slash. */
static void
make_salt(bbm_gate *g, const gate_request *r, uint64_t version, char *salt)
{
    if (version)
        snprintf(salt, BBM_SALT_SIZE, "%s/%llu", r->scope,
                 (unsigned long long)version);
    else
        snprintf(salt, BBM_SALT_SIZE, "//%s/%016llx/%016llx", r->customer,
                 (unsigned long long)bbm_hash_text(r->id, 0),
                 (unsigned long long)bbm_rng_next(&g->rng));
}

/* The runner, other than the chosen one, that likely holds the chain, or NULL.
   The runner with the highest rendezvous weight is the home, even if it
   currently gets no new requests.  If that is the chosen one and its cache was
   emptied less than WARM_TIME ago, the home until then was likely the one with
   the next lower weight among the runners that were emptied earlier. */
static const gate_upstream *
likely_holder(const bbm_gate *g, const gate_request *r,
              const candidate *chosen)
{
    const gate_upstream *higher = NULL;
    const gate_upstream *lower = NULL;
    uint64_t higher_weight = 0;
    uint64_t lower_weight = 0;
    bbm_time emptied_at = chosen->upstream->cache_empty_since;
    for (const gate_upstream *u = g->upstreams; u; u = u->hh.next) {
        bool same = u != chosen->upstream && u->listed
                    && u->pool == chosen->upstream->pool
                    && !gate_is_suspect(g, u)
                    && bbm_listing_entry_version(&u->info, r->model)
                           == chosen->version;
        if (!same)
            continue;
        uint64_t weight = rendezvous_weight(r, u);
        if (weight > chosen->weight) {
            if (!higher || weight > higher_weight) {
                higher = u;
                higher_weight = weight;
            }
        }
        else if (u->cache_empty_since < emptied_at
                 && (!lower || weight > lower_weight)) {
            lower = u;
            lower_weight = weight;
        }
    }
    if (higher)
        return higher;
    return g->now - emptied_at < WARM_TIME ? lower : NULL;
}

/* The stores serve one fetch after the other, and a runner waits for its own.
   A runner that is expected to hold the prefix may always be told of the
   store: it fetches only what it has evicted.  If nothing is known, this VM
   uses its part of the time of the stores. */
static bool
may_ask_store(bbm_gate *g, const gate_request *r, const candidate *chosen)
{
    if (chosen->cached.prefixes_held == r->prefixes_len)
        return true;
    double tokens_per_s = 1000 / chosen->upstream->pool->fetch_ms_per_token
                          / GATE_STORE_FETCH_RATIO
                          * (double)HASH_COUNT(g->stores) * STORE_LOAD_SHARE
                          / (double)g->vms;
    double elapsed_s =
        (double)(g->now - g->store_tokens_at) / (double)BBM_SECOND;
    g->store_tokens += elapsed_s * tokens_per_s;
    g->store_tokens_at = g->now;
    if (g->store_tokens > tokens_per_s * STORE_BURST_S)
        g->store_tokens = tokens_per_s * STORE_BURST_S;
    if (g->store_tokens < 0)
        return false;
    g->store_tokens -= r->shared_tokens * FETCH_FAILURE_SHARE;
    return true;
}

static void
set_cache_plan(bbm_gate *g, const gate_request *r, const candidate_set *set,
               const candidate *chosen, gate_choice *c)
{
    make_salt(g, r, chosen->version, c->cache_salt);
    c->prefixes_held = chosen->cached.prefixes_held;
    c->held_tokens = chosen->cached.held_tokens;
    c->offered_tokens = chosen->cached.offered_tokens;
    c->source_store_hash = chosen->cached.store_hash;
    if (!chosen->version || r->shared_tokens <= 0)
        return;
    c->store = gate_store_for(g, r, chosen->version);
    bool holder_unknown =
        set->holders_unknown
        || (set->by_home && chosen->cached.prefixes_held < r->prefixes_len);
    const gate_upstream *holder =
        holder_unknown ? likely_holder(g, r, chosen) : NULL;
    const gate_store *store = set->by_home && may_ask_store(g, r, chosen)
                                  ? gate_store_of(g, r, chosen->version)
                                  : NULL;
    if (chosen->cached.source_address)
        bbm_name_set(c->source_address, chosen->cached.source_address);
    else if (holder)
        bbm_name_set(c->source_address, holder->info.address);
    else if (store)
        bbm_name_set(c->source_address, store->address);
}

static void
record_prefill(bbm_gate *g, double tokens)
{
    double span =
        (double)(g->now - g->prefill_rate_at) / (double)RATE_SMOOTHING_TIME;
    double ms = (double)RATE_SMOOTHING_TIME / (double)BBM_MS;
    g->prefill_rate = g->prefill_rate * exp(-span) + tokens / ms;
    g->prefill_rate_at = g->now;
}

/* Time that a runner needs for the request itself until the answer begins. */
static double
own_ms(const candidate *c)
{
    const gate_pool *p = c->upstream->pool;
    return p->is_engine
               ? c->miss_tokens / p->prefill_tokens_per_ms + c->cached.fetch_ms
               : 0;
}

/* Expected time until the answer begins, corrected by results.  The costs have
   no correction: it is the same for all runners of a pool. */
static double
corrected_ms(const bbm_gate *g, const gate_request *r, const candidate *c)
{
    double factor = gate_forecast_factor(g, r, c->upstream->pool);
    return c->cost_ms + (c->wait_ms + own_ms(c)) * (factor - 1);
}

static void
fill_choice(bbm_gate *g, const gate_request *r, const candidate_set *set,
            const candidate *best, gate_choice *c)
{
    c->upstream = best->upstream;
    c->expected_ms = best->cost_ms;
    c->corrected_ms = corrected_ms(g, r, best);
    c->forecast_ms = best->wait_ms + own_ms(best);
    c->candidates = (uint32_t)set->len;
    c->miss_tokens = best->miss_tokens;
    if (best->upstream->pool->is_engine)
        record_prefill(g, r->prompt_tokens);
    if (best->upstream->pool->is_engine && r->model[0]) {
        c->version = best->version;
        c->weights_until = best->weights_until;
        set_cache_plan(g, r, set, best, c);
    }
}

/* The upstream that a request asks whether its limit still holds, if the
   answer is expected to begin within the target latency; or NULL. */
static const candidate *
find_asked(const bbm_gate *g, const gate_request *r, const candidate_set *set)
{
    double target_ms = (double)r->target_latency / (double)BBM_MS;
    for (size_t i = 0; i < set->len; i++) {
        const candidate *c = &set->items[i];
        if (!c->is_full && !c->is_left_out && c->cost_ms < target_ms
            && gate_must_ask_limit(g, c->upstream))
            return c;
    }
    return NULL;
}

/* ---- choosing ---- */

/* The best use of a set of candidates. */
typedef struct placement_option {
    const candidate *best;  /* NULL: no candidate */
    bool hold;              /* the best one is full: hold the request */
    bbm_zones_verdict zone; /* whether it leaves the zone */
    double expected_ms; /* time until the answer begins, including the hold */
} placement_option;

static double
ms_since(const bbm_gate *g, bbm_time then)
{
    return (double)(g->now - then) / (double)BBM_MS;
}

static double
total_prefill_rate(const candidate_set *set)
{
    double sum = 0;
    for (size_t i = 0; i < set->len; i++)
        sum += gate_prefill_rate(set->items[i].upstream);
    return sum;
}

/* Time to process the prompts of the held requests of all VMs, which are sent
   before a new one.  Assumes that each VM holds as many as this one, that
   their prompts are like this one, and that half of each shared prefix is
   cached. */
static double
held_queue_ms(const bbm_gate *g, const gate_request *r,
              const candidate_set *set)
{
    const gate_pool *p = set->items[0].upstream->pool;
    double ahead = (double)g->waiting_len * (double)g->vms;
    if (!p->is_engine)
        return ahead * p->service_ms
               / (double)(gate_slots_of(set->items[0].upstream) * set->len);
    double speed = total_prefill_rate(set);
    return ahead * (r->prompt_tokens - r->shared_tokens / 2) / speed;
}

static placement_option
evaluate(bbm_gate *g, const gate_request *r, candidate_set *set)
{
    placement_option o = {0};
    if (!set->len)
        return o;
    bool runners = set->items[0].upstream->pool->is_engine;
    if (runners && chooses_by_home(g) && r->prefixes_len)
        estimate_costs_by_home(g, r, set);
    else if (runners)
        estimate_runner_costs(g, r, set);
    else
        estimate_service_costs(g, r, set);
    if (gate_zones_priced(g))
        o.zone = decide_zone(g, r, set);
    const candidate *best = cheapest(set, true);
    const candidate *not_full = cheapest(set, false);
    o.hold = best->is_full
             && (!not_full
                 || not_full->cost_ms > best->cost_ms + HOLD_ADVANTAGE_MS);
    o.best = !o.hold && not_full ? not_full : best;
    const candidate *asked = find_asked(g, r, set);
    if (asked) {
        o.best = asked;
        o.hold = false;
    }
    o.expected_ms = corrected_ms(g, r, o.best);
    if (o.hold)
        o.expected_ms += held_queue_ms(g, r, set);
    return o;
}

static gate_pick
apply_option(bbm_gate *g, const gate_request *r, const candidate_set *set,
             const placement_option *o, gate_choice *c)
{
    c->expected_ms = o->expected_ms;
    if (o->expected_ms >= -ms_since(g, r->start_deadline))
        return GATE_PICK_TOO_LATE;
    if (o->hold)
        return GATE_PICK_HOLD;
    c->zone = gate_zone_verdict(g, &o->zone, o->best->upstream);
    fill_choice(g, r, set, o->best, c);
    return GATE_PICK_SEND;
}

static void
filter_by_age(const candidate_set *all, bool old, candidate_set *set)
{
    set->len = 0;
    for (size_t i = 0; i < all->len; i++) {
        if (all->items[i].is_old == old)
            set->items[set->len++] = all->items[i];
    }
}

/* If placements are delayed, all VMs would send their requests to the runners
   with the newest weights at once.  So a request is sent there only with the
   probability that keeps their load at NEWEST_LOAD_SHARE, if each VM has as
   much load as this one. */
static bool
newest_have_capacity(bbm_gate *g, const candidate_set *set)
{
    if (!g->placements_delayed)
        return true;
    double all = g->prefill_rate * (double)g->vms;
    return bbm_rng_unit(&g->rng) * all
           < total_prefill_rate(set) * NEWEST_LOAD_SHARE;
}

/* An answer from old weights is worth less than one from new weights, but more
   than an answer that comes far too late.  So a request goes
   - to the runners whose weights aren't old, if they can begin the answer well
     within the target latency;
   - otherwise to those with old weights, if one has capacity and can begin the
     answer before the start deadline;
   - otherwise to the first group, if it can begin the answer before the start
     deadline, or is held for it. */
static gate_pick
choose_by_weights(bbm_gate *g, const gate_request *r, const candidate_set *all,
                  gate_choice *c)
{
    candidate_set newest_set = {
        .items = bbm_calloc(all->len, sizeof(*newest_set.items))};
    gate_pick pick = GATE_PICK_HOLD;
    filter_by_age(all, false, &newest_set);
    placement_option newest = evaluate(g, r, &newest_set);
    double target_ms =
        (double)r->target_latency / (double)BBM_MS * NEWEST_TARGET_RATIO;
    double latency_ms = ms_since(g, r->arrived_at) + newest.expected_ms;
    bool chosen = newest.best && latency_ms <= target_ms
                  && newest_have_capacity(g, &newest_set);
    if (chosen)
        pick = apply_option(g, r, &newest_set, &newest, c);
    if (!chosen) {
        candidate_set old_set = {
            .items = bbm_calloc(all->len, sizeof(*newest_set.items))};
        filter_by_age(all, true, &old_set);
        placement_option old = evaluate(g, r, &old_set);
        chosen = old.best && !old.hold
                 && apply_option(g, r, &old_set, &old, c) == GATE_PICK_SEND;
        if (chosen)
            pick = GATE_PICK_SEND;
        free(old_set.items);
    }
    if (!chosen && newest.best)
        pick = apply_option(g, r, &newest_set, &newest, c);
    else if (!chosen && g->now >= r->start_deadline)
        pick = GATE_PICK_TOO_LATE;
    free(newest_set.items);
    return pick;
}

static gate_pick
choose_in_pool(bbm_gate *g, const gate_request *r, const char *pool,
               candidate_set *set, gate_choice *c)
{
    collect_candidates(g, r, pool, false, set);
    if (!set->len && set->avoided)
        collect_candidates(g, r, pool, true, set);
    if (!set->len && g->now >= r->start_deadline)
        return GATE_PICK_TOO_LATE;
    if (!set->len && set->loading)
        return GATE_PICK_HOLD;
    if (!set->len && set->limited) {
        c->limited_pool = gate_find_pool(g, pool);
        c->limit = set->limit;
        c->turns_ahead = set->turns_ahead;
        return GATE_PICK_LIMITED;
    }
    if (!set->len && set->paused) {
        c->paused_pool = gate_find_pool(g, pool);
        c->paused = set->paused;
        c->pause_end = set->pause_end;
        return GATE_PICK_PAUSED;
    }
    if (!set->len)
        return GATE_PICK_NO_UPSTREAM;
    if (count_old(set))
        return choose_by_weights(g, r, set, c);
    placement_option o = evaluate(g, r, set);
    return apply_option(g, r, set, &o, c);
}

gate_pick
gate_choose(bbm_gate *g, const gate_request *r, gate_choice *c)
{
    *c = (gate_choice){.weights_until = BBM_NEVER};
    gate_pick pick = GATE_PICK_NO_UPSTREAM;
    candidate_set set = {0};
    set.items = bbm_calloc(HASH_COUNT(g->upstreams), sizeof(*set.items));
    for (size_t i = 0; i < r->pools_len && pick == GATE_PICK_NO_UPSTREAM;
         i++) {
        pick = choose_in_pool(g, r, r->pools[i], &set, c);
        /* Another pool of the route may take it at once. */
        if (pick == GATE_PICK_PAUSED || pick == GATE_PICK_LIMITED)
            pick = GATE_PICK_NO_UPSTREAM;
    }
    free(set.items);
    if (pick == GATE_PICK_NO_UPSTREAM && c->limited_pool)
        return GATE_PICK_LIMITED;
    if (pick == GATE_PICK_NO_UPSTREAM && c->paused_pool)
        return GATE_PICK_PAUSED;
    return pick;
}
