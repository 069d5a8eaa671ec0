#include "gate_core.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Where a request goes.

   Answers the load of prompts with long shared parts: each goes where its
   answer begins first, by what waits there, what the runner lacks of the
   prompt, and whether that can be fetched.  Where nothing is known of a prompt
   it has a home by rendezvous over the runners that may get it, so that VMs
   which have just started agree. */

/* Milliseconds that one open request adds to each step of a runner. */
#define STEP_PER_OPEN 0.3
/* Running requests hold their tokens in the memory that keeps shared parts,
   and more of them than a runner reads from at a time end no sooner: so much
   of the memory is for them, and so long a backlog. */
#define RUNNING_SHARE 0.45
#define BACKLOG_MS 500.0
/* A runner that is full is waited for if another would cost so much more. */
#define PREFER_MS 150.0
/* Share of fetches that are taken to find nothing. */
#define FETCH_DOUBT 0.5
/* For so long a VM that has started doesn't know what others placed. */
#define LEARN_TIME (10 * BBM_SECOND)
/* A runner that has had its weights for so long has its chains. */
#define WARM_TIME (8 * BBM_SECOND)
/* Milliseconds in favour of the home of a prompt that nobody has. */
#define HOME_MS 30.0
/* What is fetched drives out something else: that costs so much of the time
   that reading it would take. */
#define COPY_SHARE 0.1
/* A third place for a chain costs so many times its reading. */
#define CROWDING 2.0
/* A runner without a free slot keeps a request for about so long. */
#define SLOT_MS 300.0
/* A way to another zone and back, milliseconds, in favour of the own one. */
#define ZONE_MS 2.0
/* Runners with the newest weights are preferred while the answer begins within
   so many times its aim. */
#define AIMS_FOR_NEW 0.7
/* Of what they could read, the runners with the newest weights are given this
   share by choice; more comes by the time that VMs don't know of each other.
 */
#define NEW_SHARE 0.8
/* The rate of what is sent to be read is smoothed over this. */
#define RATE_TIME BBM_SECOND
/* Where VMs hear late of each other, all would choose the same runner.  So
   only a few are looked at first: those that hold the prompt, its home and so
   many others by chance. */
#define BY_CHANCE 3.0
#define NOT_DRAWN_MS 150.0
/* A request may wait at its runner for as long as its caller waits for its
   beginning, and must not begin on weights that are too old by then; callers
   that wait longer than this don't keep runners idle. */
#define OLD_WAIT_MOST (3 * BBM_SECOND)
/* Times of old weights are kept by this margin for clocks and messages. */
#define FINE_MARGIN (100 * BBM_MS)

typedef struct candidate {
    gate_upstream *upstream;
    uint64_t weight; /* of the rendezvous */
    uint64_t version;
    bool old; /* newer weights were named too long ago */
    gate_cached cached;
    double miss; /* prompt tokens that it must read */
    bool full;   /* more would only wait there, and drive out what is kept */
    double cost;
} candidate;

typedef struct field {
    candidate *items;
    size_t len;
    bool blind;     /* who has the prompt is a guess */
    size_t loading; /* runners that will have newer weights soon */
    size_t others;  /* listed, but avoided */
} field;

/* ---- what is known of an upstream ---- */

static double
beyond(uint32_t all, uint32_t told)
{
    return all > told ? (double)(all - told) : 0;
}

double
gate_open_requests(const gate_upstream *u)
{
    return beyond(u->totals.open_requests, u->reported.open_requests)
           + u->open_requests;
}

double
gate_unread_tokens(const gate_upstream *u)
{
    return beyond(u->totals.unread_tokens, u->reported.unread_tokens)
           + u->unread_tokens;
}

static double
memory_at(const gate_upstream *u)
{
    return beyond(u->totals.memory_tokens, u->reported.memory_tokens)
           + u->memory_tokens;
}

static uint32_t
slots_of(const gate_upstream *u)
{
    return u->info.slots ? u->info.slots : u->pool->slots;
}

static bool
failed_before(const gate_request *r, const gate_upstream *u)
{
    for (size_t i = 0; i < r->failed_len; i++) {
        if (r->failed_upstreams[i] == u->hash)
            return true;
    }
    return false;
}

/* ---- candidates ---- */

static const gate_weights *
weights_of(const bbm_gate *g, const char *model)
{
    gate_weights *w = NULL;
    HASH_FIND_STR(g->weights, model, w);
    return w;
}

static uint64_t
weight_of(const gate_request *r, const gate_upstream *u)
{
    return bbm_hash64(&r->chain_key, sizeof(r->chain_key), u->hash);
}

/* For how long newer weights than these have been named; 0: not at all. */
static bbm_time
age_of(const bbm_gate *g, const gate_weights *w, uint64_t version)
{
    for (size_t i = 0; w && version && i < w->len; i++) {
        if (w->versions[i] > version)
            return g->now - w->named_at[i];
    }
    return 0;
}

static void
add_candidate(const bbm_gate *g, field *f, gate_upstream *u,
              const gate_request *r, const gate_weights *w)
{
    uint64_t version = bbm_listing_entry_version(&u->info, r->model);
    bbm_time age = age_of(g, w, version);
    bbm_time wait = r->start_deadline - g->now;
    if (wait > OLD_WAIT_MOST)
        wait = OLD_WAIT_MOST;
    if (age + wait + FINE_MARGIN >= g->desc.old_weights_max) {
        f->loading++;
        return;
    }
    f->items[f->len++] = (candidate){
        .upstream = u,
        .weight = weight_of(r, u),
        .version = version,
        .old = age >= g->desc.old_weights_grace - FINE_MARGIN,
    };
}

static void
gather(bbm_gate *g, const gate_request *r, const char *pool, bool avoided,
       field *f)
{
    const gate_weights *w = weights_of(g, r->model);
    f->len = 0;
    f->loading = 0;
    f->others = 0;
    for (gate_upstream *u = g->upstreams; u; u = u->hh.next) {
        if (!u->listed || !u->pool || strcmp(u->info.pool, pool) != 0
            || u->info.leaving)
            continue;
        if (u->info.loading) {
            f->loading++;
            continue;
        }
        if (failed_before(r, u))
            continue;
        if (!avoided && gate_is_avoided(g, u)) {
            f->others++;
            continue;
        }
        add_candidate(g, f, u, r, w);
    }
}

static int
by_weight(const void *a, const void *b)
{
    const candidate *x = a;
    const candidate *y = b;
    if (x->weight == y->weight)
        return 0;
    return x->weight > y->weight ? -1 : 1;
}

static size_t
count_old(const field *f)
{
    size_t old = 0;
    for (size_t i = 0; i < f->len; i++)
        old += f->items[i].old;
    return old;
}

/* ---- cost ---- */

static double
zone_ms(const bbm_gate *g, const gate_upstream *u)
{
    return strcmp(g->desc.zone, u->info.zone) == 0 ? 0 : ZONE_MS;
}

static bool
is_full(const gate_request *r, const gate_upstream *u)
{
    double running = memory_at(u);
    double room = u->pool->memory_tokens * RUNNING_SHARE;
    /* One that runs nothing takes a request of any size. */
    if (running <= 0)
        return false;
    return running + r->prompt_tokens + r->output_tokens_max > room
           || gate_unread_tokens(u) / u->pool->prefill_tokens_per_ms
                  > BACKLOG_MS;
}

double
gate_runner_capacity(const gate_request *r, const gate_upstream *u)
{
    double room = u->pool->memory_tokens * RUNNING_SHARE - memory_at(u);
    double backlog =
        BACKLOG_MS * u->pool->prefill_tokens_per_ms - gate_unread_tokens(u);
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
                  + open * STEP_PER_OPEN;
    if (open >= slots_of(u))
        wait += SLOT_MS * (1 + open - slots_of(u)) / slots_of(u);
    return wait;
}

/* What it costs to place a chain away from its home when nothing is known of
   it.  Its second runner gets it from the first, though nobody knows for sure
   that it has it; any further one also drives out what it holds for others. */
static double
away_ms(const gate_request *r, const candidate *c, size_t rank)
{
    double fetch = gate_fetch_ms(c->upstream, r->shared_tokens, false);
    double read = r->shared_tokens / c->upstream->pool->prefill_tokens_per_ms;
    if (rank == 0)
        return 0;
    if (rank > 1)
        return read * CROWDING;
    return fetch < read ? fetch + (read - fetch) * FETCH_DOUBT : read;
}

static void
guess(const gate_request *r, candidate *c, size_t rank)
{
    c->miss = r->prompt_tokens - r->shared_tokens;
    c->cost += away_ms(r, c, rank)
               + c->miss / c->upstream->pool->prefill_tokens_per_ms;
    if (rank > 0)
        c->miss += r->shared_tokens * FETCH_DOUBT;
}

static void
reckon(const gate_request *r, candidate *c, size_t rank)
{
    const gate_cached *k = &c->cached;
    double speed = c->upstream->pool->prefill_tokens_per_ms;
    double there = k->offered_tokens > 0 ? k->offered_tokens : k->held_tokens;
    c->miss = r->prompt_tokens - there;
    c->cost += c->miss / speed + k->fetch_ms;
    c->cost += (there - k->held_tokens) / speed * COPY_SHARE;
    if (rank > 0 && there < r->shared_tokens)
        c->cost += HOME_MS;
}

static void
cost_runners(bbm_gate *g, const gate_request *r, field *f)
{
    qsort(f->items, f->len, sizeof(*f->items), by_weight);
    f->blind = g->now - g->places_since < LEARN_TIME;
    for (size_t i = 0; i < f->len && f->blind; i++)
        f->blind = !gate_has_placement(g, r, f->items[i].version);
    for (size_t i = 0; i < f->len; i++) {
        candidate *c = &f->items[i];
        c->cost = runner_wait(c->upstream) + zone_ms(g, c->upstream);
        c->full = is_full(r, c->upstream);
        gate_find_cached(g, r, c->upstream, c->version, &c->cached);
        bool drawn = i == 0 || c->cached.prefixes_held == r->prefixes_len
                     || bbm_rng_unit(&g->rng) * (double)f->len < BY_CHANCE;
        if (g->placements_delayed && !drawn)
            c->cost += NOT_DRAWN_MS;
        if (f->blind)
            guess(r, c, i);
        else
            reckon(r, c, i);
    }
}

static void
cost_plain(bbm_gate *g, field *f)
{
    for (size_t i = 0; i < f->len; i++) {
        candidate *c = &f->items[i];
        const gate_upstream *u = c->upstream;
        double open = gate_open_requests(u);
        double slots = slots_of(u);
        double cost = u->pool->service_ms;
        if (open >= slots)
            cost += (open - slots + 1) / slots * u->pool->service_ms;
        /* Below that the emptier one still is the safer one. */
        cost += open / slots * u->pool->service_ms / 2;
        cost += u->lateness_ms > 0 ? u->lateness_ms : 0;
        cost += bbm_rng_unit(&g->rng);
        c->cost = cost + zone_ms(g, u);
    }
}

static const candidate *
cheapest(const field *f, bool with_full)
{
    const candidate *best = NULL;
    for (size_t i = 0; i < f->len; i++) {
        const candidate *c = &f->items[i];
        if ((with_full || !c->full) && (!best || c->cost < best->cost))
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
        /* Under unknown weights nothing is shared with anyone. */
        snprintf(salt, BBM_SALT_SIZE, "one/%.48s", r->id);
}

/* Who likely holds the chain, if it isn't the chosen one.  A runner that comes
   before it in the chain's order was its home, though it may get no new work
   now; if none does, and the chosen one has only just begun under these
   weights, the next in the order was. */
static const gate_upstream *
likely_holder(const bbm_gate *g, const gate_request *r,
              const candidate *chosen)
{
    const gate_upstream *before = NULL;
    const gate_upstream *after = NULL;
    uint64_t before_weight = 0;
    uint64_t after_weight = 0;
    bbm_time begun = chosen->upstream->cache_empty_since;
    for (const gate_upstream *u = g->upstreams; u; u = u->hh.next) {
        bool same = u != chosen->upstream && u->listed
                    && u->pool == chosen->upstream->pool
                    && g->now >= u->suspect_until
                    && bbm_listing_entry_version(&u->info, r->model)
                           == chosen->version;
        if (!same)
            continue;
        uint64_t weight = weight_of(r, u);
        if (weight > chosen->weight) {
            if (!before || weight > before_weight) {
                before = u;
                before_weight = weight;
            }
        }
        else if (u->cache_empty_since < begun
                 && (!after || weight > after_weight)) {
            after = u;
            after_weight = weight;
        }
    }
    if (before)
        return before;
    return g->now - begun < WARM_TIME ? after : NULL;
}

static void
plan_cache(const bbm_gate *g, const gate_request *r, const field *f,
           const candidate *chosen, gate_choice *c)
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
        f->blind ? likely_holder(g, r, chosen) : NULL;
    if (chosen->cached.source_address)
        bbm_name_set(c->source_address, chosen->cached.source_address);
    else if (holder)
        bbm_name_set(c->source_address, holder->info.address);
}

static void
count_read(bbm_gate *g, double tokens)
{
    double span = (double)(g->now - g->prefill_rate_at) / (double)RATE_TIME;
    double ms = (double)RATE_TIME / (double)BBM_MS;
    g->prefill_rate = g->prefill_rate * exp(-span) + tokens / ms;
    g->prefill_rate_at = g->now;
}

static void
fill_choice(bbm_gate *g, const gate_request *r, const field *f,
            const candidate *best, gate_choice *c)
{
    c->upstream = best->upstream;
    c->expected_ms = best->cost;
    c->candidates = (uint32_t)f->len;
    c->miss_tokens = best->miss;
    if (best->upstream->pool->is_engine)
        count_read(g, best->miss);
    if (best->upstream->pool->is_engine && r->model[0]) {
        c->version = best->version;
        plan_cache(g, r, f, best, c);
    }
}

/* ---- choosing ---- */

/* The best that a field offers. */
typedef struct option {
    const candidate *best; /* NULL: nothing */
    bool hold;             /* it is full: wait for it */
    double expected_ms;    /* until the answer begins */
} option;

static double
ms_since(const bbm_gate *g, bbm_time then)
{
    return (double)(g->now - then) / (double)BBM_MS;
}

/* What waits here, and likely at the other VMs, goes first to a full field. */
static double
queue_ms(const bbm_gate *g, const gate_request *r, const field *f)
{
    double speed =
        f->items[0].upstream->pool->prefill_tokens_per_ms * (double)f->len;
    double ahead = (double)g->waiting_len * (double)g->vms;
    return ahead * (r->prompt_tokens - r->shared_tokens / 2) / speed;
}

static option
look(bbm_gate *g, const gate_request *r, field *f)
{
    option o = {0};
    if (!f->len)
        return o;
    bool runners = f->items[0].upstream->pool->is_engine;
    if (runners)
        cost_runners(g, r, f);
    else
        cost_plain(g, f);
    const candidate *best = cheapest(f, true);
    const candidate *open = cheapest(f, false);
    o.hold = best->full && (!open || open->cost > best->cost + PREFER_MS);
    o.best = !o.hold && open ? open : best;
    o.expected_ms = o.best->cost;
    if (o.hold)
        o.expected_ms += queue_ms(g, r, f);
    return o;
}

static gate_pick
take(bbm_gate *g, const gate_request *r, const field *f, const option *o,
     gate_choice *c)
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
keep_only(const field *all, bool old, field *f)
{
    f->len = 0;
    for (size_t i = 0; i < all->len; i++) {
        if (all->items[i].old == old)
            f->items[f->len++] = all->items[i];
    }
}

/* Where VMs hear late of each other, the runners with new weights would get
   what all of them choose at once. */
static bool
new_ones_bear_it(bbm_gate *g, const field *f)
{
    if (!g->placements_delayed)
        return true;
    double all = g->prefill_rate * (double)g->vms;
    double most =
        f->items[0].upstream->pool->prefill_tokens_per_ms * (double)f->len;
    return bbm_rng_unit(&g->rng) * all < most * NEW_SHARE;
}

/* Runners with old weights: what they make is worth little, but more than an
   answer that comes far too late.  So the newest ones get what they can begin
   in good time, the old ones what they may and can, and the newest the rest
   as long as the callers wait for it. */
static gate_pick
choose_by_weights(bbm_gate *g, const gate_request *r, const field *all,
                  gate_choice *c)
{
    field f = {.items = bbm_calloc(all->len, sizeof(*f.items))};
    gate_pick pick = GATE_PICK_HOLD;
    keep_only(all, false, &f);
    option newest = look(g, r, &f);
    double aim = (double)r->target_latency / (double)BBM_MS * AIMS_FOR_NEW;
    double by_then = ms_since(g, r->arrived_at) + newest.expected_ms;
    bool good = newest.best && by_then <= aim && new_ones_bear_it(g, &f);
    if (good)
        pick = take(g, r, &f, &newest, c);
    if (!good) {
        field g_old = {.items = bbm_calloc(all->len, sizeof(*f.items))};
        keep_only(all, true, &g_old);
        option old = look(g, r, &g_old);
        good = old.best && !old.hold
               && take(g, r, &g_old, &old, c) == GATE_PICK_SEND;
        if (good)
            pick = GATE_PICK_SEND;
        free(g_old.items);
    }
    if (!good && newest.best)
        pick = take(g, r, &f, &newest, c);
    else if (!good && g->now >= r->start_deadline)
        pick = GATE_PICK_TOO_LATE;
    free(f.items);
    return pick;
}

static gate_pick
choose_in(bbm_gate *g, const gate_request *r, const char *pool, field *f,
          gate_choice *c)
{
    gather(g, r, pool, false, f);
    if (!f->len && f->others)
        gather(g, r, pool, true, f);
    if (!f->len && g->now >= r->start_deadline)
        return GATE_PICK_TOO_LATE;
    if (!f->len)
        return f->loading ? GATE_PICK_HOLD : GATE_PICK_NO_UPSTREAM;
    if (count_old(f))
        return choose_by_weights(g, r, f, c);
    option o = look(g, r, f);
    return take(g, r, f, &o, c);
}

gate_pick
gate_choose(bbm_gate *g, const gate_request *r, gate_choice *c)
{
    *c = (gate_choice){0};
    gate_pick pick = GATE_PICK_NO_UPSTREAM;
    field f = {0};
    f.items = bbm_calloc(HASH_COUNT(g->upstreams), sizeof(*f.items));
    for (size_t i = 0; i < r->pools_len && pick == GATE_PICK_NO_UPSTREAM; i++)
        pick = choose_in(g, r, r->pools[i], &f, c);
    free(f.items);
    return pick;
}
