#include "rate_owner.h"

#include <stdlib.h>
#include <string.h>

/* Distribution of a bucket over its holders. */

/* Shares of burst and rate that are distributed by demand.  The rest stays
   unallocated for holders with a shortfall. */
#define DISTRIBUTED_BURST_SHARE 0.7
#define DISTRIBUTED_RATE_SHARE 0.9
/* A change below this share of the burst or rate is not worth a message. */
#define CHANGE_MIN_SHARE 0.02
/* Share of a holder's level that one grant recalls at most, and limit of the
   recalls for one shortfall. */
#define RECALL_LEVEL_SHARE 0.5
#define RECALLS_MAX 3
/* Nothing is recalled from a holder with a lower level. */
#define RECALL_LEVEL_MIN_TOKENS 10.0
/* If a grant is not confirmed within this time, a new one is sent. */
#define RESEND_AFTER_NS (60 * BBM_MS)

/* ---- unallocated tokens ---- */

/* After rate or burst were lowered the holdings can exceed them until the
   holders confirm the reduction. */
rate_unallocated
rate_unallocated_of(const rate_account *a)
{
    rate_unallocated u = {0};
    double held_capacity = 0;
    double held_rate = 0;
    for (const rate_holding *h = a->holdings; h; h = h->hh.next) {
        held_capacity += h->capacity;
        held_rate += h->rate;
        u.demand += h->demand;
    }
    u.capacity = a->burst > held_capacity ? a->burst - held_capacity : 0;
    u.rate = a->rate > held_rate ? a->rate - held_rate : 0;
    return u;
}

void
rate_refresh(rate_account *a, bbm_time now)
{
    rate_unallocated u = rate_unallocated_of(a);
    if (now > a->updated_at) {
        a->level +=
            u.rate * (double)(now - a->updated_at) / (double)BBM_SECOND;
        a->updated_at = now;
    }
    if (a->level > u.capacity)
        a->level = u.capacity;
}

/* ---- allocation ---- */

static double
min_double(double a, double b)
{
    return a < b ? a : b;
}

/* The capacity that a holding should have; @p add receives the tokens that go
   with it.  Growth takes a proportional part of the unallocated tokens; a
   holder with a shortfall gets more capacity and more tokens. */
static double
target_capacity(const rate_account *a, const rate_holding *h,
                const rate_unallocated *u, double *add)
{
    double share = u->demand > 0 ? h->demand / u->demand : 0;
    double target = a->burst * DISTRIBUTED_BURST_SHARE * share;
    double capacity = min_double(target, h->capacity + u->capacity);
    double grown = capacity - h->capacity;
    *add = grown > 0 && u->capacity > 0 ? a->level * grown / u->capacity : 0;
    if (h->shortfall <= 0)
        return capacity;
    if (grown < 0) {
        capacity = h->capacity;
        grown = 0;
    }
    /* The tokens come with additional capacity, as running requests may have
       reserved all of the present capacity. */
    double room = min_double(h->shortfall, u->capacity - grown);
    if (room <= 0)
        return capacity;
    double more = min_double(h->shortfall - *add, a->level - *add);
    if (more > 0)
        *add += min_double(more, room);
    return capacity + room;
}

static bool
is_small(double change, double total)
{
    return change < total * CHANGE_MIN_SHARE
           && change > -total * CHANGE_MIN_SHARE;
}

/* A grant carries totals, so that a later grant replaces a lost or late
   one. */
static void
fill_row(const rate_account *a, rate_holding *h, double capacity, double rate,
         rate_grant_row *row)
{
    *row = (rate_grant_row){
        .generation = h->generation,
        .seq = ++h->seq,
        .capacity = capacity,
        .rate = rate,
        .granted_total = h->granted_total,
        .recalled_total = h->recalled_total,
    };
    bbm_name_set(row->customer, a->customer);
    h->sent_at = a->updated_at;
}

/* No new grant is made while one is in flight: if a newer one were always in
   flight, no reduction would ever be confirmed. */
static bool
is_grant_pending(const rate_account *a, const rate_holding *h)
{
    return h->confirmed_seq != h->seq
           && a->updated_at - h->sent_at < RESEND_AFTER_NS;
}

/* A reduction counts only once it is confirmed; growth is limited to what is
   unallocated. */
bool
rate_update_holding(rate_account *a, rate_holding *h, rate_grant_row *row)
{
    if (is_grant_pending(a, h))
        return false;
    rate_unallocated u = rate_unallocated_of(a);
    double add;
    double capacity = target_capacity(a, h, &u, &add);
    double share = u.demand > 0 ? h->demand / u.demand : 0;
    double rate =
        min_double(a->rate * DISTRIBUTED_RATE_SHARE * share, h->rate + u.rate);
    bool small = is_small(capacity - h->capacity, a->burst)
                 && is_small(rate - h->rate, a->rate);
    bool unconfirmed = h->confirmed_seq != h->seq;
    bool idle = h->demand <= 0 && (h->capacity > 0 || h->rate > 0);
    if (small && !unconfirmed && !idle && add <= 0)
        return false;
    a->ledger_changed = true;
    h->granted_total += add;
    fill_row(a, h, capacity, rate, row);
    if (capacity > h->capacity)
        h->capacity = capacity;
    if (rate > h->rate)
        h->rate = rate;
    a->level -= add;
    h->level += add;
    h->shortfall = add >= h->shortfall ? 0 : h->shortfall - add;
    return true;
}

/* Recall tokens from a holder to cover the shortfall of another. */
static double
recall_tokens(rate_account *a, rate_holding *h, double shortfall,
              rate_grant_row *row)
{
    double recalled = min_double(h->level * RECALL_LEVEL_SHARE, shortfall);
    a->ledger_changed = true;
    h->recalled_total += recalled;
    fill_row(a, h, h->capacity > recalled ? h->capacity - recalled : 0,
             h->rate, row);
    h->level -= recalled;
    return recalled;
}

void
rate_queue_grant(bbm_rate_owner *o, const char *node, rate_grant_row *rows,
                 size_t len)
{
    rate_holder_row *r = NULL;
    HASH_FIND_STR(o->holders, node, r);
    if (!r || r->holder_clock == RATE_CLOCK_UNKNOWN)
        return;
    rate_grant g = {
        .epoch = o->desc.epoch,
        .run = r->run,
        .holder_clock = r->holder_clock,
        .rows = rows,
        .len = len,
    };
    rate_queued_grant *q = bbm_calloc(1, sizeof(*q));
    bbm_name_set(q->grant.node, node);
    q->grant.changes_ledger = len > 0;
    rate_grant_encode(&g, &q->grant.bytes);
    TAILQ_INSERT_TAIL(&o->grants, q, link);
}

bool
bbm_rate_owner_next_grant(bbm_rate_owner *o, bbm_rate_grant *grant)
{
    rate_queued_grant *q = TAILQ_FIRST(&o->grants);
    if (!q)
        return false;
    TAILQ_REMOVE(&o->grants, q, link);
    *grant = q->grant;
    free(q);
    return true;
}

static double
uncovered_shortfall(const rate_account *a)
{
    double sum = 0;
    for (const rate_holding *h = a->holdings; h; h = h->hh.next)
        sum += h->shortfall;
    return sum - a->level;
}

bool
rate_has_shortfall(const rate_account *a)
{
    for (const rate_holding *h = a->holdings; h; h = h->hh.next) {
        if (h->shortfall > 0)
            return true;
    }
    return false;
}

static rate_holding *
highest_level(const rate_account *a)
{
    rate_holding *best = NULL;
    for (rate_holding *h = a->holdings; h; h = h->hh.next) {
        if (h->shortfall <= 0 && !is_grant_pending(a, h)
            && (!best || h->level > best->level))
            best = h;
    }
    return best;
}

void
rate_cover_shortfalls(bbm_rate_owner *o, rate_account *a)
{
    rate_grant_row row;
    for (rate_holding *h = a->holdings; h; h = h->hh.next) {
        if (h->shortfall > 0 && rate_update_holding(a, h, &row))
            rate_queue_grant(o, h->node, &row, 1);
    }
    double shortfall = uncovered_shortfall(a);
    for (int i = 0; i < RECALLS_MAX && shortfall > 0; i++) {
        rate_holding *h = highest_level(a);
        if (!h || h->level < RECALL_LEVEL_MIN_TOKENS)
            return;
        shortfall -= recall_tokens(a, h, shortfall, &row);
        rate_queue_grant(o, h->node, &row, 1);
    }
}
