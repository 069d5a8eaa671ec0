#include "fleet_core.h"

#include <math.h>
#include <string.h>

/* Limit of the weight versions that are matched for one prompt; runners with
   further versions count as caching nothing of it. */
#define VERSIONS_MAX 4
/* Requests that can be queued at a runner, as a share of its slots. */
#define QUEUE_SLOTS_SHARE 1.0
/* Scores count as equal to the lowest if they exceed it by at most the larger
   of these, the second as a share of it. */
#define TIE_NS (5.0 * (double)BBM_MS)
#define TIE_SCORE_SHARE 0.1
/* Weight of computing time.  Computing a prompt delays other requests at the
   runner and evicts blocks that they need, so it costs more than its own
   time. */
#define COMPUTE_WEIGHT 12.0
/* Cost of a runner in another zone. */
#define OTHER_ZONE_NS (1.0 * (double)BBM_MS)
/* Share of a runner's slots that one prefix may keep busy before it is copied
   to a further runner. */
#define HOT_SLOTS_SHARE 0.8
/* While a copy is needed, one in this number of requests, drawn at random, is
   sent to a runner without the longest match. */
#define HOT_COPY_ONE_IN 4

/* Chain hashes of a prompt, for each weight version in use. */
typedef struct chains {
    char weights[VERSIONS_MAX][BBM_NAME_SIZE];
    bbm_block_id ids[VERSIONS_MAX][BBM_PROMPT_BLOCKS_MAX];
    size_t len;    /* versions */
    size_t blocks; /* in each chain */
} chains;

typedef struct candidate {
    uint32_t slot;
    bool has_room;
    size_t matched; /* blocks cached there */
    double load;    /* requests */
    double uncached_tokens;
    bool import;  /* from the KV store, as that is faster */
    double score; /* ns */
} candidate;

typedef struct choice {
    candidate list[BBM_CACHE_RUNNERS_MAX];
    size_t len;
    size_t matched_max; /* highest `matched` */
    size_t stored;      /* highest number of blocks that any runner caches, of
                           any weights; the KV store is assumed to have them */
    bbm_block_id root;  /* chain hash of the first block */
} choice;

/* ---- candidates ---- */

static size_t
chain_for(chains *c, const bbm_prompt *p, const char *weights)
{
    for (size_t i = 0; i < c->len; i++) {
        if (strcmp(c->weights[i], weights) == 0)
            return i;
    }
    size_t at = c->len < VERSIONS_MAX ? c->len++ : VERSIONS_MAX - 1;
    bbm_name_set(c->weights[at], weights);
    bbm_block_id chain = bbm_chain_start(p->scope, weights);
    for (size_t i = 0; i < c->blocks; i++) {
        chain = bbm_chain_next(chain, p->blocks[i]);
        c->ids[at][i] = chain;
    }
    return at;
}

static bool
has_room(const bbm_fleet *f, const fleet_runner *r, bbm_time now)
{
    /* The baseline policies have no admission control. */
    if (f->desc.policy != BBM_POLICY_COST)
        return true;
    double slots = fleet_slots(r, now);
    return fleet_load(f, r) < slots + ceil(slots * QUEUE_SLOTS_SHARE);
}

static void
compute_score(const bbm_fleet *f, const bbm_prompt *p, candidate *c,
              size_t stored, bbm_time now)
{
    const fleet_runner *r = &f->runners[c->slot];
    double cached = (double)c->matched * p->block_tokens;
    c->uncached_tokens = p->tokens - cached;
    if (c->uncached_tokens < 1)
        c->uncached_tokens = 1;
    double compute =
        c->uncached_tokens * COMPUTE_WEIGHT / r->prefill_tokens_per_s;
    /* Blocks that another runner computed can be imported from the store. */
    double stored_tokens = (double)(stored - c->matched) * p->block_tokens;
    if (r->import_tokens_per_s > 0 && stored_tokens > 0) {
        double imported = stored_tokens / r->import_tokens_per_s
                          + (c->uncached_tokens - stored_tokens)
                                * COMPUTE_WEIGHT / r->prefill_tokens_per_s;
        c->import = imported < compute;
        if (c->import)
            compute = imported;
    }
    c->score = fleet_wait_ns(f, r, now) + compute * (double)BBM_SECOND;
    if (f->desc.zone[0] && strcmp(r->zone, f->desc.zone) != 0)
        c->score += OTHER_ZONE_NS;
}

static void
collect_candidates(const bbm_fleet *f, const bbm_prompt *p, chains *ch,
                   choice *out, bbm_time now)
{
    static _Thread_local size_t matched[VERSIONS_MAX][BBM_CACHE_RUNNERS_MAX];
    size_t versions_done = 0;
    for (uint32_t i = 0; i < f->len; i++) {
        const fleet_runner *r = &f->runners[i];
        bool fits = fleet_is_usable(f, r, now)
                    && strcmp(r->model, p->model) == 0
                    && !(p->excluded && bbm_names_has(p->excluded, r->name));
        if (!fits)
            continue;
        size_t v = chain_for(ch, p, r->weights);
        if (v >= versions_done) {
            bbm_cache_match_all(f->cache, ch->ids[v], ch->blocks, now,
                                matched[v], f->len);
            versions_done = v + 1;
            for (uint32_t j = 0; j < f->len; j++) {
                if (matched[v][j] > out->stored)
                    out->stored = matched[v][j];
            }
        }
        candidate *c = &out->list[out->len++];
        *c = (candidate){
            .slot = i,
            .has_room = has_room(f, r, now),
            .matched = matched[v][i],
            .load = fleet_load(f, r),
        };
        if (c->matched > out->matched_max)
            out->matched_max = c->matched;
    }
    for (size_t i = 0; i < out->len; i++)
        compute_score(f, p, &out->list[i], out->stored, now);
}

/* ---- choosing ---- */

static uint64_t
rendezvous(const bbm_fleet *f, const choice *ch, const candidate *c)
{
    uint64_t words[2] = {ch->root.high ^ ch->root.low,
                         f->runners[c->slot].name_hash};
    return bbm_hash64(words, sizeof(words), 0);
}

/* The candidate with the lowest score, even without room: a full runner that
   caches the prefix may still be faster than a free one that must compute it.
   @p exclude_holders leaves out those with the longest match. */
static const candidate *
lowest_score(const choice *ch, bool exclude_holders)
{
    const candidate *best = NULL;
    for (size_t i = 0; i < ch->len; i++) {
        const candidate *c = &ch->list[i];
        bool out = exclude_holders && c->matched == ch->matched_max;
        if (!out && (!best || c->score < best->score))
            best = c;
    }
    return best;
}

/* Among candidates with an equal score and room: for a cached prefix the less
   loaded of two drawn at random, for an uncached one the home by rendezvous
   hashing, which is the same on every VM. */
static const candidate *
break_tie(bbm_fleet *f, const choice *ch, const candidate *best)
{
    double limit = best->score + TIE_NS;
    if (best->score * (1 + TIE_SCORE_SHARE) > limit)
        limit = best->score * (1 + TIE_SCORE_SHARE);
    bool cold = best->matched == 0 && !f->desc.no_rendezvous;
    const candidate *chosen = best;
    uint64_t highest = cold ? rendezvous(f, ch, best) : 0;
    const candidate *equals[BBM_CACHE_RUNNERS_MAX];
    size_t len = 0;
    for (size_t i = 0; i < ch->len; i++) {
        const candidate *c = &ch->list[i];
        if (!c->has_room || c->score > limit || c->matched < best->matched)
            continue;
        equals[len++] = c;
        if (!cold)
            continue;
        uint64_t weight = rendezvous(f, ch, c);
        if (weight > highest) {
            highest = weight;
            chosen = c;
        }
    }
    if (cold || len < 2)
        return chosen;
    const candidate *a = equals[bbm_rng_below(&f->rng, len)];
    const candidate *b = equals[bbm_rng_below(&f->rng, len)];
    return a->load <= b->load ? a : b;
}

/* Number of runners that must cache the prefix of @p best so that its requests
   do not queue. */
static double
copies_needed(const bbm_fleet *f, const choice *ch, const candidate *best,
              bbm_time now)
{
    const fleet_runner *r = &f->runners[best->slot];
    /* Assumes that the other VMs send as many of its requests as this one. */
    double rate = fleet_hot_rate(f, ch->root, now) * f->vm_factor;
    double busy = rate * r->service_time_ns / (double)BBM_SECOND;
    return ceil(busy / (r->slots * HOT_SLOTS_SHARE));
}

static bool
needs_copy(bbm_fleet *f, const choice *ch, const candidate *best, bbm_time now)
{
    if (f->desc.no_hot_copies || best->matched == 0)
        return false;
    double holders = 0;
    for (size_t i = 0; i < ch->len; i++)
        holders += ch->list[i].matched > 0;
    return copies_needed(f, ch, best, now) > holders
           && bbm_rng_below(&f->rng, HOT_COPY_ONE_IN) == 0;
}

static const candidate *
choose_by_cost(bbm_fleet *f, const choice *ch, bbm_time now)
{
    const candidate *best = lowest_score(ch, false);
    if (!best)
        return NULL;
    if (needs_copy(f, ch, best, now)) {
        const candidate *copy = lowest_score(ch, true);
        if (copy && copy->has_room)
            return copy;
    }
    const candidate *chosen = break_tie(f, ch, best);
    return chosen->has_room ? chosen : NULL;
}

static const candidate *
choose_round_robin(bbm_fleet *f, const choice *ch)
{
    for (size_t tries = 0; tries < ch->len; tries++) {
        const candidate *c = &ch->list[f->next_turn++ % ch->len];
        if (c->has_room)
            return c;
    }
    return NULL;
}

static const candidate *
choose_least_load(const choice *ch)
{
    const candidate *best = NULL;
    for (size_t i = 0; i < ch->len; i++) {
        const candidate *c = &ch->list[i];
        if (c->has_room && (!best || c->load < best->load))
            best = c;
    }
    return best;
}

static const candidate *
choose_by_hash(const bbm_fleet *f, const choice *ch)
{
    const candidate *best = NULL;
    uint64_t highest = 0;
    for (size_t i = 0; i < ch->len; i++) {
        const candidate *c = &ch->list[i];
        uint64_t weight = rendezvous(f, ch, c);
        if (c->has_room && (!best || weight > highest)) {
            best = c;
            highest = weight;
        }
    }
    return best;
}

static const candidate *
choose(bbm_fleet *f, const choice *ch, bbm_time now)
{
    switch (f->desc.policy) {
    case BBM_POLICY_COST:
        return choose_by_cost(f, ch, now);
    case BBM_POLICY_ROUND_ROBIN:
        return choose_round_robin(f, ch);
    case BBM_POLICY_LEAST_LOAD:
        return choose_least_load(ch);
    case BBM_POLICY_HASH:
        return choose_by_hash(f, ch);
    }
    return NULL;
}

/* Blocks that are only expected count as cached for the choice, which keeps
   their requests together, but not for the backlog: until the first of them is
   computed, a runner may compute them for each request that it has. */
static double
backlog_tokens(const bbm_fleet *f, const bbm_prompt *p, const chains *ch,
               const candidate *c)
{
    size_t confirmed = 0;
    for (size_t v = 0; v < ch->len; v++) {
        if (strcmp(ch->weights[v], f->runners[c->slot].weights) == 0)
            confirmed = bbm_cache_match_confirmed(f->cache, c->slot,
                                                  ch->ids[v], ch->blocks);
    }
    double tokens = p->tokens - (double)confirmed * p->block_tokens;
    return tokens < 1 ? 1 : tokens;
}

bbm_pick_result
bbm_fleet_pick(bbm_fleet *f, const bbm_prompt *prompt, bbm_time now,
               bbm_pick *pick)
{
    static _Thread_local chains ch;
    static _Thread_local choice out;
    ch.len = 0;
    ch.blocks = prompt->block_count;
    if (ch.blocks > BBM_PROMPT_BLOCKS_MAX)
        ch.blocks = BBM_PROMPT_BLOCKS_MAX;
    out.len = 0;
    out.matched_max = 0;
    out.stored = 0;
    collect_candidates(f, prompt, &ch, &out, now);
    if (!out.len)
        return BBM_PICK_NONE;
    /* All prompts that share the first block have the same root; without a
       complete block it is that of the scope and weights. */
    out.root = bbm_chain_start(prompt->scope, ch.weights[0]);
    if (ch.blocks)
        out.root = ch.ids[0][0];
    const candidate *c = choose(f, &out, now);
    if (!c)
        return BBM_PICK_WAIT;
    const fleet_runner *r = &f->runners[c->slot];
    *pick = (bbm_pick){
        .slot = c->slot,
        .cached_tokens = (double)c->matched * prompt->block_tokens,
        .cached_elsewhere_tokens =
            (double)(out.matched_max - c->matched) * prompt->block_tokens,
        .import = c->import,
        .score = (bbm_time)c->score,
        .uncached_tokens = backlog_tokens(f, prompt, &ch, c),
    };
    bbm_name_set(pick->engine, r->name);
    bbm_name_set(pick->weights, r->weights);
    return BBM_PICK_START;
}
