#include "fleet_core.h"

#include <math.h>
#include <string.h>

/* Different weight versions that may be in use at once. */
#define VERSIONS_MOST 4
/* Requests that may wait at a runner, as a share of its slots. */
#define QUEUE_SHARE 1.0
/* Scores this close are taken as equal. */
#define TIE_NS (5.0 * (double)BBM_MS)
#define TIE_SHARE 0.1
/* What is computed holds up others at the runner, and drives out blocks that
   they need: it counts more than its own time. */
#define MISS_WEIGHT 12.0
/* Cost of another zone. */
#define ZONE_NS (1.0 * (double)BBM_MS)
/* Share of its slots that a prefix may keep busy at each of its holders. */
#define HOT_BUSY 0.8
/* One in so many requests makes a further copy when one is wanted. */
#define HOT_ONE_IN 4

/* Chains of a prompt, one for each version in use. */
typedef struct chains {
    char weights[VERSIONS_MOST][BBM_NAME_SIZE];
    bbm_block_id ids[VERSIONS_MOST][BBM_PROMPT_BLOCKS_MAX];
    size_t len; /* versions */
    size_t blocks;
} chains;

typedef struct candidate {
    uint32_t slot;
    bool room;
    size_t matched; /* blocks */
    double load;
    double miss;
    bool import;
    double score; /* ns */
} candidate;

typedef struct choice {
    candidate list[BBM_CACHE_RUNNERS_MAX];
    size_t len;
    size_t most_matched;
    size_t stored; /* blocks that some runner held: the KV store has them */
    bbm_block_id root;
} choice;

/* ---- candidates ---- */

static size_t
chain_for(chains *c, const bbm_prompt *p, const char *weights)
{
    for (size_t i = 0; i < c->len; i++) {
        if (strcmp(c->weights[i], weights) == 0)
            return i;
    }
    size_t at = c->len < VERSIONS_MOST ? c->len++ : VERSIONS_MOST - 1;
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
    /* The baselines know no admission: they always send. */
    if (f->desc.policy != BBM_POLICY_COST)
        return true;
    double slots = fleet_slots(r, now);
    return fleet_load(f, r) < slots + ceil(slots * QUEUE_SHARE);
}

static void
score(const bbm_fleet *f, const bbm_prompt *p, candidate *c, size_t stored,
      bbm_time now)
{
    const fleet_runner *r = &f->runners[c->slot];
    double cached = (double)c->matched * p->block_tokens;
    c->miss = p->tokens - cached;
    if (c->miss < 1)
        c->miss = 1;
    double compute = c->miss * MISS_WEIGHT / r->prefill;
    /* Blocks that another runner computed can come from the store. */
    double known = (double)(stored - c->matched) * p->block_tokens;
    if (r->import > 0 && known > 0) {
        double imported =
            known / r->import + (c->miss - known) * MISS_WEIGHT / r->prefill;
        c->import = imported < compute;
        if (c->import)
            compute = imported;
    }
    c->score = fleet_wait_ns(f, r, now) + compute * (double)BBM_SECOND;
    if (f->desc.zone[0] && strcmp(r->zone, f->desc.zone) != 0)
        c->score += ZONE_NS;
}

static void
collect(const bbm_fleet *f, const bbm_prompt *p, chains *ch, choice *out,
        bbm_time now)
{
    static _Thread_local size_t matched[VERSIONS_MOST][BBM_CACHE_RUNNERS_MAX];
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
            .room = has_room(f, r, now),
            .matched = matched[v][i],
            .load = fleet_load(f, r),
        };
        if (c->matched > out->most_matched)
            out->most_matched = c->matched;
    }
    for (size_t i = 0; i < out->len; i++)
        score(f, p, &out->list[i], out->stored, now);
}

/* ---- choosing ---- */

static uint64_t
rendezvous(const bbm_fleet *f, const choice *ch, const candidate *c)
{
    uint64_t words[2] = {ch->root.high ^ ch->root.low,
                         f->runners[c->slot].name_hash};
    return bbm_hash64(words, sizeof(words), 0);
}

/* The least score, whether it has room or not: a full runner that holds the
   prefix may still be sooner than a free one that must compute it. */
static const candidate *
least_score(const choice *ch, bool holders_out)
{
    const candidate *best = NULL;
    for (size_t i = 0; i < ch->len; i++) {
        const candidate *c = &ch->list[i];
        bool out = holders_out && c->matched == ch->most_matched;
        if (!out && (!best || c->score < best->score))
            best = c;
    }
    return best;
}

/* Among equals: one that holds the prefix, the least busy of two drawn; for
   a prefix that none holds, the same place from every VM. */
static const candidate *
break_tie(bbm_fleet *f, const choice *ch, const candidate *best)
{
    double limit = best->score + TIE_NS;
    if (best->score * (1 + TIE_SHARE) > limit)
        limit = best->score * (1 + TIE_SHARE);
    bool cold = best->matched == 0 && !f->desc.no_rendezvous;
    const candidate *chosen = best;
    uint64_t highest = cold ? rendezvous(f, ch, best) : 0;
    const candidate *equals[BBM_CACHE_RUNNERS_MAX];
    size_t len = 0;
    for (size_t i = 0; i < ch->len; i++) {
        const candidate *c = &ch->list[i];
        if (!c->room || c->score > limit || c->matched < best->matched)
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

/* Copies that a prefix needs so that its holders don't queue. */
static double
copies_wanted(const bbm_fleet *f, const choice *ch, const candidate *best,
              bbm_time now)
{
    const fleet_runner *r = &f->runners[best->slot];
    /* The other daemons see as much of it as this one. */
    double rate = fleet_hot_rate(f, ch->root, now) * f->daemons;
    double busy = rate * r->service / (double)BBM_SECOND;
    return ceil(busy / (r->slots * HOT_BUSY));
}

static bool
wants_copy(bbm_fleet *f, const choice *ch, const candidate *best, bbm_time now)
{
    if (f->desc.no_hot_copies || best->matched == 0)
        return false;
    double holders = 0;
    for (size_t i = 0; i < ch->len; i++)
        holders += ch->list[i].matched > 0;
    return copies_wanted(f, ch, best, now) > holders
           && bbm_rng_below(&f->rng, HOT_ONE_IN) == 0;
}

static const candidate *
choose_by_cost(bbm_fleet *f, const choice *ch, bbm_time now)
{
    const candidate *best = least_score(ch, false);
    if (!best)
        return NULL;
    if (wants_copy(f, ch, best, now)) {
        const candidate *copy = least_score(ch, true);
        if (copy && copy->room)
            return copy;
    }
    const candidate *chosen = break_tie(f, ch, best);
    return chosen->room ? chosen : NULL;
}

static const candidate *
choose_in_turn(bbm_fleet *f, const choice *ch)
{
    for (size_t tries = 0; tries < ch->len; tries++) {
        const candidate *c = &ch->list[f->turn++ % ch->len];
        if (c->room)
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
        if (c->room && (!best || c->load < best->load))
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
        if (c->room && (!best || weight > highest)) {
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
        return choose_in_turn(f, ch);
    case BBM_POLICY_LEAST_LOAD:
        return choose_least_load(ch);
    case BBM_POLICY_HASH:
        return choose_by_hash(f, ch);
    }
    return NULL;
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
    out.most_matched = 0;
    out.stored = 0;
    collect(f, prompt, &ch, &out, now);
    if (!out.len)
        return BBM_PICK_NONE;
    /* The same root for all that share the first block. */
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
            (double)(out.most_matched - c->matched) * prompt->block_tokens,
        .import = c->import,
        .expected_first_token_time = (bbm_time)c->score,
        .uncached_tokens = c->miss,
    };
    bbm_name_set(pick->engine, r->name);
    bbm_name_set(pick->weights, r->weights);
    return BBM_PICK_START;
}
