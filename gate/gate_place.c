#include "gate_core.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Choice of the upstream for a request.

   Designed for prompts with long shared prefixes.  Each request goes to the
   runner where its answer is expected to begin first, given the queue there,
   the part of the prompt that the runner has cached, and the time to fetch or
   compute the rest.  If no placement of the prompt is known, it goes to its
   home by rendezvous hashing over the eligible runners, so that VMs that have
   just started choose the same one. */

/* Milliseconds that each open request adds to a decoding step of a runner. */
#define STEP_MS_PER_REQUEST 0.3
/* Running requests occupy the same memory as cached prefixes, and a runner
   that gets more requests than it can process at a time doesn't finish them
   any sooner.  A runner therefore counts as full once its requests occupy this
   share of its memory, or its prompt backlog exceeds this time. */
#define RUNNING_MEMORY_SHARE 0.45
#define BACKLOG_MAX_MS 500.0
/* A request is held for a full runner if any other costs this much more. */
#define PREFERENCE_MS 150.0
/* Assumed share of fetches whose source no longer has the entries. */
#define FETCH_FAILURE_SHARE 0.5
/* For this time after its start, a VM lacks the placements of other VMs. */
#define LEARN_TIME (10 * BBM_SECOND)
/* A runner that has had its weights for this time has been sent the chains
   whose home it is. */
#define WARM_TIME (8 * BBM_SECOND)
/* Extra cost of a runner that isn't the prompt's home, if it can't get the
   whole shared prefix from a cache. */
#define NOT_HOME_COST_MS 30.0
/* Fetched entries evict others: that is charged with this share of the time
   to compute them. */
#define COPY_COST_RATIO 0.1
/* Cost of placing a chain on a third runner or a further one, as a multiple of
   the time to compute its shared prefix. */
#define CROWDING_COST_RATIO 2.0
/* Approximate time until a slot of a fully occupied runner becomes free. */
#define SLOT_WAIT_MS 300.0
/* Round trip to another availability zone: extra cost of an upstream there. */
#define CROSS_ZONE_MS 2.0
/* Runners with the newest weights are preferred while the answer is expected
   to begin within this multiple of the target latency. */
#define NEWEST_TARGET_RATIO 0.7
/* Share of their prompt processing rate up to which the runners with the
   newest weights are preferred.  The rest is left for requests that other VMs
   place there before this VM receives their placements. */
#define NEWEST_LOAD_SHARE 0.8
/* Time constant of the smoothed prefill rate. */
#define RATE_SMOOTHING_TIME BBM_SECOND
/* If placements of other VMs arrive late, all VMs would choose the same runner
   at once.  So each VM prefers a few: the runners that hold the prompt, its
   home, and this number of random ones.  All others get an extra cost. */
#define RANDOM_CANDIDATE_COUNT 3.0
#define NOT_DRAWN_COST_MS 150.0
/* A request may wait at a runner until its start deadline, so a runner is
   eligible only if its weights won't be too old by then.  The wait is capped
   at this time; otherwise long client timeouts would leave runners with old
   weights idle. */
#define OLD_WEIGHTS_WAIT_MAX (3 * BBM_SECOND)
/* Safety margin of the limits on old weights, for clock differences and
   message delays. */
#define OLD_WEIGHTS_MARGIN (100 * BBM_MS)

typedef struct candidate {
    gate_upstream *upstream;
    uint64_t weight; /* rendezvous weight; the highest is the home */
    uint64_t version;
    bool is_old; /* a newer version was announced too long ago */
    gate_cached cached;
    double miss_tokens; /* prompt tokens that it must process */
    bool is_full; /* more requests would wait, and evict cached prefixes */
    double cost_ms;
} candidate;

typedef struct candidate_set {
    candidate *items;
    size_t len;
    bool holders_unknown; /* this VM has just started, and has no placement of
                             the prompt on record */
    size_t loading; /* runners that load weights, or whose weights are too
                       old */
    size_t avoided; /* avoided upstreams that were left out */
} candidate_set;

/* ---- load of an upstream ---- */

static double
excess(uint32_t all, uint32_t reported)
{
    return all > reported ? (double)(all - reported) : 0;
}

double
gate_open_requests(const gate_upstream *u)
{
    return excess(u->totals.open_requests, u->reported.open_requests)
           + u->open_requests;
}

double
gate_unread_tokens(const gate_upstream *u)
{
    return excess(u->totals.unread_tokens, u->reported.unread_tokens)
           + u->unread_tokens;
}

static double
memory_tokens_at(const gate_upstream *u)
{
    return excess(u->totals.memory_tokens, u->reported.memory_tokens)
           + u->memory_tokens;
}

static uint32_t
slots_of(const gate_upstream *u)
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

static const gate_weights *
find_weights(const bbm_gate *g, const char *model)
{
    gate_weights *w = NULL;
    HASH_FIND_STR(g->weights, model, w);
    return w;
}

static uint64_t
rendezvous_weight(const gate_request *r, const gate_upstream *u)
{
    return bbm_hash64(&r->chain_key, sizeof(r->chain_key), u->hash);
}

/* Time since the first version newer than this one was announced; 0: there is
   none. */
static bbm_time
weights_age(const bbm_gate *g, const gate_weights *w, uint64_t version)
{
    for (size_t i = 0; w && version && i < w->len; i++) {
        if (w->versions[i] > version)
            return g->now - w->named_at[i];
    }
    return 0;
}

static void
add_candidate(const bbm_gate *g, candidate_set *f, gate_upstream *u,
              const gate_request *r, const gate_weights *w)
{
    uint64_t version = bbm_listing_entry_version(&u->info, r->model);
    bbm_time age = weights_age(g, w, version);
    bbm_time wait = r->start_deadline - g->now;
    if (wait > OLD_WEIGHTS_WAIT_MAX)
        wait = OLD_WEIGHTS_WAIT_MAX;
    if (age + wait + OLD_WEIGHTS_MARGIN >= g->desc.old_weights_max) {
        f->loading++;
        return;
    }
    f->items[f->len++] = (candidate){
        .upstream = u,
        .weight = rendezvous_weight(r, u),
        .version = version,
        .is_old = age >= g->desc.old_weights_grace - OLD_WEIGHTS_MARGIN,
    };
}

static void
collect_candidates(bbm_gate *g, const gate_request *r, const char *pool,
                   bool avoided, candidate_set *f)
{
    const gate_weights *w = find_weights(g, r->model);
    f->len = 0;
    f->loading = 0;
    f->avoided = 0;
    for (gate_upstream *u = g->upstreams; u; u = u->hh.next) {
        if (!u->listed || !u->pool || strcmp(u->info.pool, pool) != 0
            || u->info.leaving)
            continue;
        if (u->info.loading) {
            f->loading++;
            continue;
        }
        if (has_failed(r, u))
            continue;
        if (!avoided && gate_is_avoided(g, u)) {
            f->avoided++;
            continue;
        }
        add_candidate(g, f, u, r, w);
    }
}

static int
compare_weights(const void *a, const void *b)
{
    const candidate *x = a;
    const candidate *y = b;
    if (x->weight == y->weight)
        return 0;
    return x->weight > y->weight ? -1 : 1;
}

static size_t
count_old(const candidate_set *f)
{
    size_t old = 0;
    for (size_t i = 0; i < f->len; i++)
        old += f->items[i].is_old;
    return old;
}

/* ---- cost ---- */

static double
cross_zone_ms(const bbm_gate *g, const gate_upstream *u)
{
    return strcmp(g->desc.zone, u->info.zone) == 0 ? 0 : CROSS_ZONE_MS;
}

static bool
is_full(const gate_request *r, const gate_upstream *u)
{
    double running = memory_tokens_at(u);
    double room = u->pool->memory_tokens * RUNNING_MEMORY_SHARE;
    /* An idle runner accepts a request of any size. */
    if (running <= 0)
        return false;
    return running + r->prompt_tokens + r->output_tokens_max > room
           || gate_unread_tokens(u) / u->pool->prefill_tokens_per_ms
                  > BACKLOG_MAX_MS;
}

double
gate_runner_capacity(const gate_request *r, const gate_upstream *u)
{
    double room =
        u->pool->memory_tokens * RUNNING_MEMORY_SHARE - memory_tokens_at(u);
    double backlog = BACKLOG_MAX_MS * u->pool->prefill_tokens_per_ms
                     - gate_unread_tokens(u);
    double size = r->prompt_tokens + r->output_tokens_max;
    room = backlog < room ? backlog : room;
    return size > 0 ? room / size : room;
}

static double
runner_wait(const gate_upstream *u)
{
    const gate_pool *p = u->pool;
    double open = gate_open_requests(u);
    double wait = gate_unread_tokens(u) / p->prefill_tokens_per_ms
                  + open * STEP_MS_PER_REQUEST;
    if (open >= slots_of(u))
        wait += SLOT_WAIT_MS * (1 + open - slots_of(u)) / slots_of(u);
    return wait;
}

/* Extra cost of a runner by its rank for the chain (0: home), if the holders
   are unknown.  The second one fetches the prefix from the home, which may not
   have it; any further one would also evict prefixes of other chains. */
static double
away_from_home_ms(const gate_request *r, const candidate *c, size_t rank)
{
    double fetch_ms = gate_fetch_ms(c->upstream, r->shared_tokens, false);
    double compute_ms =
        r->shared_tokens / c->upstream->pool->prefill_tokens_per_ms;
    if (rank == 0)
        return 0;
    if (rank > 1)
        return compute_ms * CROWDING_COST_RATIO;
    return fetch_ms < compute_ms
               ? fetch_ms + (compute_ms - fetch_ms) * FETCH_FAILURE_SHARE
               : compute_ms;
}

static void
add_unknown_cost(const gate_request *r, candidate *c, size_t rank)
{
    c->miss_tokens = r->prompt_tokens - r->shared_tokens;
    c->cost_ms += away_from_home_ms(r, c, rank)
                  + c->miss_tokens / c->upstream->pool->prefill_tokens_per_ms;
    if (rank > 0)
        c->miss_tokens += r->shared_tokens * FETCH_FAILURE_SHARE;
}

static void
add_known_cost(const gate_request *r, candidate *c, size_t rank)
{
    const gate_cached *k = &c->cached;
    double speed = c->upstream->pool->prefill_tokens_per_ms;
    double available =
        k->offered_tokens > 0 ? k->offered_tokens : k->held_tokens;
    c->miss_tokens = r->prompt_tokens - available;
    c->cost_ms += c->miss_tokens / speed + k->fetch_ms;
    c->cost_ms += (available - k->held_tokens) / speed * COPY_COST_RATIO;
    if (rank > 0 && available < r->shared_tokens)
        c->cost_ms += NOT_HOME_COST_MS;
}

static void
cost_runners(bbm_gate *g, const gate_request *r, candidate_set *f)
{
    qsort(f->items, f->len, sizeof(*f->items), compare_weights);
    f->holders_unknown = g->now - g->places_since < LEARN_TIME;
    for (size_t i = 0; i < f->len && f->holders_unknown; i++)
        f->holders_unknown = !gate_has_placement(g, r, f->items[i].version);
    for (size_t i = 0; i < f->len; i++) {
        candidate *c = &f->items[i];
        c->cost_ms = runner_wait(c->upstream) + cross_zone_ms(g, c->upstream);
        c->is_full = is_full(r, c->upstream);
        gate_find_cached(g, r, c->upstream, c->version, &c->cached);
        bool drawn =
            i == 0 || c->cached.prefixes_held == r->prefixes_len
            || bbm_rng_unit(&g->rng) * (double)f->len < RANDOM_CANDIDATE_COUNT;
        if (g->placements_delayed && !drawn)
            c->cost_ms += NOT_DRAWN_COST_MS;
        if (f->holders_unknown)
            add_unknown_cost(r, c, i);
        else
            add_known_cost(r, c, i);
    }
}

static void
cost_services(bbm_gate *g, candidate_set *f)
{
    for (size_t i = 0; i < f->len; i++) {
        candidate *c = &f->items[i];
        const gate_upstream *u = c->upstream;
        double open = gate_open_requests(u);
        double slots = slots_of(u);
        double cost = u->pool->service_ms;
        if (open >= slots)
            cost += (open - slots + 1) / slots * u->pool->service_ms;
        /* With free slots, prefer the less loaded upstream. */
        cost += open / slots * u->pool->service_ms / 2;
        cost += u->lateness_ms > 0 ? u->lateness_ms : 0;
        cost += bbm_rng_unit(&g->rng);
        c->cost_ms = cost + cross_zone_ms(g, u);
    }
}

static const candidate *
cheapest(const candidate_set *f, bool with_full)
{
    const candidate *best = NULL;
    for (size_t i = 0; i < f->len; i++) {
        const candidate *c = &f->items[i];
        if ((with_full || !c->is_full)
            && (!best || c->cost_ms < best->cost_ms))
            best = c;
    }
    return best;
}

/* ---- cache entries ---- */

static void
make_salt(const gate_request *r, uint64_t version, char *salt)
{
    if (version)
        snprintf(salt, BBM_SALT_SIZE, "%s/%llu",
                 r->private_cache ? r->customer : "",
                 (unsigned long long)version);
    else
        /* With unknown weights, cache entries aren't shared at all. */
        snprintf(salt, BBM_SALT_SIZE, "one/%.48s", r->id);
}

/* The runner, other than the chosen one, that likely holds the chain.  The
   runner with the highest rendezvous weight was its home, even if it currently
   gets no new requests.  If that is the chosen one and its cache was emptied
   only recently, the home until then was the next runner in the order among
   those that have had their cache for longer. */
static const gate_upstream *
likely_holder(const bbm_gate *g, const gate_request *r,
              const candidate *chosen)
{
    const gate_upstream *before = NULL;
    const gate_upstream *after = NULL;
    uint64_t before_weight = 0;
    uint64_t after_weight = 0;
    bbm_time emptied_at = chosen->upstream->cache_empty_since;
    for (const gate_upstream *u = g->upstreams; u; u = u->hh.next) {
        bool same = u != chosen->upstream && u->listed
                    && u->pool == chosen->upstream->pool
                    && g->now >= u->suspect_until
                    && bbm_listing_entry_version(&u->info, r->model)
                           == chosen->version;
        if (!same)
            continue;
        uint64_t weight = rendezvous_weight(r, u);
        if (weight > chosen->weight) {
            if (!before || weight > before_weight) {
                before = u;
                before_weight = weight;
            }
        }
        else if (u->cache_empty_since < emptied_at
                 && (!after || weight > after_weight)) {
            after = u;
            after_weight = weight;
        }
    }
    if (before)
        return before;
    return g->now - emptied_at < WARM_TIME ? after : NULL;
}

static void
set_cache_plan(const bbm_gate *g, const gate_request *r,
               const candidate_set *f, const candidate *chosen, gate_choice *c)
{
    make_salt(r, chosen->version, c->cache_salt);
    c->prefixes_held = chosen->cached.prefixes_held;
    c->held_tokens = chosen->cached.held_tokens;
    c->offered_tokens = chosen->cached.offered_tokens;
    c->source_store_hash = chosen->cached.store_hash;
    if (!chosen->version || r->shared_tokens <= 0)
        return;
    c->store = gate_store_for(g, r, chosen->version);
    const gate_upstream *holder =
        f->holders_unknown ? likely_holder(g, r, chosen) : NULL;
    if (chosen->cached.source_address)
        bbm_name_set(c->source_address, chosen->cached.source_address);
    else if (holder)
        bbm_name_set(c->source_address, holder->info.address);
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

static void
fill_choice(bbm_gate *g, const gate_request *r, const candidate_set *f,
            const candidate *best, gate_choice *c)
{
    c->upstream = best->upstream;
    c->expected_ms = best->cost_ms;
    c->candidates = (uint32_t)f->len;
    c->miss_tokens = best->miss_tokens;
    if (best->upstream->pool->is_engine)
        record_prefill(g, best->miss_tokens);
    if (best->upstream->pool->is_engine && r->model[0]) {
        c->version = best->version;
        set_cache_plan(g, r, f, best, c);
    }
}

/* ---- choosing ---- */

/* The best choice among a set of candidates. */
typedef struct placement_option {
    const candidate *best; /* NULL: no candidate */
    bool hold;             /* it is full: hold the request */
    double expected_ms;    /* time until the answer begins */
} placement_option;

static double
ms_since(const bbm_gate *g, bbm_time then)
{
    return (double)(g->now - then) / (double)BBM_MS;
}

/* Time to process the held requests of all VMs, assuming that each VM holds as
   many as this one; they are served first when all candidates are full. */
static double
queue_ms(const bbm_gate *g, const gate_request *r, const candidate_set *f)
{
    double speed =
        f->items[0].upstream->pool->prefill_tokens_per_ms * (double)f->len;
    double ahead = (double)g->waiting_len * (double)g->vms;
    return ahead * (r->prompt_tokens - r->shared_tokens / 2) / speed;
}

static placement_option
evaluate(bbm_gate *g, const gate_request *r, candidate_set *f)
{
    placement_option o = {0};
    if (!f->len)
        return o;
    bool runners = f->items[0].upstream->pool->is_engine;
    if (runners)
        cost_runners(g, r, f);
    else
        cost_services(g, f);
    const candidate *best = cheapest(f, true);
    const candidate *not_full = cheapest(f, false);
    o.hold =
        best->is_full
        && (!not_full || not_full->cost_ms > best->cost_ms + PREFERENCE_MS);
    o.best = !o.hold && not_full ? not_full : best;
    o.expected_ms = o.best->cost_ms;
    if (o.hold)
        o.expected_ms += queue_ms(g, r, f);
    return o;
}

static gate_pick
apply_option(bbm_gate *g, const gate_request *r, const candidate_set *f,
             const placement_option *o, gate_choice *c)
{
    c->expected_ms = o->expected_ms;
    if (o->expected_ms >= -ms_since(g, r->start_deadline))
        return GATE_PICK_TOO_LATE;
    if (o->hold)
        return GATE_PICK_HOLD;
    fill_choice(g, r, f, o->best, c);
    return GATE_PICK_SEND;
}

static void
filter_by_age(const candidate_set *all, bool old, candidate_set *f)
{
    f->len = 0;
    for (size_t i = 0; i < all->len; i++) {
        if (all->items[i].is_old == old)
            f->items[f->len++] = all->items[i];
    }
}

/* If placements of other VMs arrive late, all VMs would send their requests to
   the runners with the newest weights at once.  So a request is sent there
   only with the probability that keeps them below their load share. */
static bool
newest_have_capacity(bbm_gate *g, const candidate_set *f)
{
    if (!g->placements_delayed)
        return true;
    double all = g->prefill_rate * (double)g->vms;
    double capacity =
        f->items[0].upstream->pool->prefill_tokens_per_ms * (double)f->len;
    return bbm_rng_unit(&g->rng) * all < capacity * NEWEST_LOAD_SHARE;
}

/* An answer from old weights is worth less than one from new weights, but more
   than an answer that comes far too late.  So a request goes to the runners
   with the newest weights if they can begin the answer well within the target
   latency; otherwise to those with old weights if these have room and can
   begin it before the start deadline; otherwise to the newest ones if they
   can. */
static gate_pick
choose_by_weights(bbm_gate *g, const gate_request *r, const candidate_set *all,
                  gate_choice *c)
{
    candidate_set f = {.items = bbm_calloc(all->len, sizeof(*f.items))};
    gate_pick pick = GATE_PICK_HOLD;
    filter_by_age(all, false, &f);
    placement_option newest = evaluate(g, r, &f);
    double target_ms =
        (double)r->target_latency / (double)BBM_MS * NEWEST_TARGET_RATIO;
    double latency_ms = ms_since(g, r->arrived_at) + newest.expected_ms;
    bool chosen =
        newest.best && latency_ms <= target_ms && newest_have_capacity(g, &f);
    if (chosen)
        pick = apply_option(g, r, &f, &newest, c);
    if (!chosen) {
        candidate_set old_set = {.items =
                                     bbm_calloc(all->len, sizeof(*f.items))};
        filter_by_age(all, true, &old_set);
        placement_option old = evaluate(g, r, &old_set);
        chosen = old.best && !old.hold
                 && apply_option(g, r, &old_set, &old, c) == GATE_PICK_SEND;
        if (chosen)
            pick = GATE_PICK_SEND;
        free(old_set.items);
    }
    if (!chosen && newest.best)
        pick = apply_option(g, r, &f, &newest, c);
    else if (!chosen && g->now >= r->start_deadline)
        pick = GATE_PICK_TOO_LATE;
    free(f.items);
    return pick;
}

static gate_pick
choose_in_pool(bbm_gate *g, const gate_request *r, const char *pool,
               candidate_set *f, gate_choice *c)
{
    collect_candidates(g, r, pool, false, f);
    if (!f->len && f->avoided)
        collect_candidates(g, r, pool, true, f);
    if (!f->len && g->now >= r->start_deadline)
        return GATE_PICK_TOO_LATE;
    if (!f->len)
        return f->loading ? GATE_PICK_HOLD : GATE_PICK_NO_UPSTREAM;
    if (count_old(f))
        return choose_by_weights(g, r, f, c);
    placement_option o = evaluate(g, r, f);
    return apply_option(g, r, f, &o, c);
}

gate_pick
gate_choose(bbm_gate *g, const gate_request *r, gate_choice *c)
{
    *c = (gate_choice){0};
    gate_pick pick = GATE_PICK_NO_UPSTREAM;
    candidate_set f = {0};
    f.items = bbm_calloc(HASH_COUNT(g->upstreams), sizeof(*f.items));
    for (size_t i = 0; i < r->pools_len && pick == GATE_PICK_NO_UPSTREAM; i++)
        pick = choose_in_pool(g, r, r->pools[i], &f, c);
    free(f.items);
    return pick;
}
