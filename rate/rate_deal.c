#include "rate_owner.h"

#include <stdlib.h>
#include <string.h>

/* How the owner deals out the parts of a bucket. */

/* Shares of burst and rate that are dealt out by demand; the rest stays in
   the pool for who is short. */
#define DEAL_CAPACITY 0.7
#define DEAL_RATE 0.9
/* A smaller change than this share of the whole is not worth a message. */
#define CHANGE_LEAST 0.02
/* Of a holder's level so much is asked for at once, from so many. */
#define PULL_SHARE 0.5
#define PULLS_MOST 3
/* Fewer tokens aren't worth asking for. */
#define PULL_LEAST 10.0
/* A grant that isn't confirmed is sent again after this. */
#define RESEND (60 * BBM_MS)

/* ---- pools ---- */

/* Parts that are still counted may be more than there is, after a cut. */
rate_pool
rate_pool_of(const rate_account *a)
{
    rate_pool p = {0};
    double held_capacity = 0;
    double held_rate = 0;
    for (const rate_holding *h = a->holdings; h; h = h->hh.next) {
        held_capacity += h->capacity;
        held_rate += h->rate;
        p.demand += h->demand;
    }
    p.capacity = a->burst > held_capacity ? a->burst - held_capacity : 0;
    p.rate = a->rate > held_rate ? a->rate - held_rate : 0;
    return p;
}

void
rate_refresh(rate_account *a, bbm_time now)
{
    rate_pool p = rate_pool_of(a);
    if (now > a->at) {
        a->level += p.rate * (double)(now - a->at) / (double)BBM_SECOND;
        a->at = now;
    }
    if (a->level > p.capacity)
        a->level = p.capacity;
}

/* ---- dealing ---- */

static double
at_most(double a, double b)
{
    return a < b ? a : b;
}

/* Capacity that a holding should have, and tokens that go with it.  Growth
   takes its share of the pool's tokens; who is short gets more of both. */
static double
deal_capacity(const rate_account *a, const rate_holding *h, const rate_pool *v,
              double *add)
{
    double share = v->demand > 0 ? h->demand / v->demand : 0;
    double goal = a->burst * DEAL_CAPACITY * share;
    double capacity = at_most(goal, h->capacity + v->capacity);
    double grown = capacity - h->capacity;
    *add = grown > 0 && v->capacity > 0 ? a->level * grown / v->capacity : 0;
    if (h->want <= 0)
        return capacity;
    if (grown < 0) {
        capacity = h->capacity;
        grown = 0;
    }
    /* Room as well as tokens: what runs there may fill its capacity. */
    double room = at_most(h->want, v->capacity - grown);
    if (room <= 0)
        return capacity;
    double more = at_most(h->want - *add, a->level - *add);
    if (more > 0)
        *add += at_most(more, room);
    return capacity + room;
}

static bool
is_small(double change, double whole)
{
    return change < whole * CHANGE_LEAST && change > -whole * CHANGE_LEAST;
}

/* A grant has totals, so that a later one makes good for one that is lost or
   late. */
static void
fill_row(const rate_account *a, rate_holding *h, double capacity, double rate,
         rate_grant_row *row)
{
    *row = (rate_grant_row){
        .life = h->life,
        .seq = ++h->seq,
        .capacity = capacity,
        .rate = rate,
        .add = h->added,
        .take = h->asked,
    };
    bbm_name_set(row->customer, a->customer);
    h->sent = a->at;
}

/* A grant that is on its way is waited for: with a newer one always under way
   no cut would ever be confirmed. */
static bool
is_awaited(const rate_account *a, const rate_holding *h)
{
    return h->taken != h->seq && a->at - h->sent < RESEND;
}

/* A cut counts only when it is confirmed; growth is limited to what the pool
   has. */
bool
rate_make_deal(rate_account *a, rate_holding *h, rate_grant_row *row)
{
    if (is_awaited(a, h))
        return false;
    rate_pool v = rate_pool_of(a);
    double add;
    double capacity = deal_capacity(a, h, &v, &add);
    double share = v.demand > 0 ? h->demand / v.demand : 0;
    double rate = at_most(a->rate * DEAL_RATE * share, h->rate + v.rate);
    bool small = is_small(capacity - h->capacity, a->burst)
                 && is_small(rate - h->rate, a->rate);
    bool pending = h->taken != h->seq;
    bool idle = h->demand <= 0 && (h->capacity > 0 || h->rate > 0);
    if (small && !pending && !idle && add <= 0)
        return false;
    a->changed = true;
    h->added += add;
    fill_row(a, h, capacity, rate, row);
    if (capacity > h->capacity)
        h->capacity = capacity;
    if (rate > h->rate)
        h->rate = rate;
    a->level -= add;
    h->level += add;
    h->want = add >= h->want ? 0 : h->want - add;
    return true;
}

/* Ask a holder for tokens that another one is short of. */
static double
make_pull(rate_account *a, rate_holding *h, double short_of,
          rate_grant_row *row)
{
    double take = at_most(h->level * PULL_SHARE, short_of);
    a->changed = true;
    h->asked += take;
    fill_row(a, h, h->capacity > take ? h->capacity - take : 0, h->rate, row);
    h->level -= take;
    return take;
}

void
rate_send_grant(bbm_rate_owner *o, const char *node, rate_grant_row *rows,
                size_t len)
{
    rate_holder_row *r = NULL;
    HASH_FIND_STR(o->holders, node, r);
    if (!r || r->echo == RATE_NEVER_HEARD)
        return;
    rate_grant g = {
        .epoch = o->desc.epoch,
        .run = r->run,
        .echo = r->echo,
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
still_short(const rate_account *a)
{
    double want = 0;
    for (const rate_holding *h = a->holdings; h; h = h->hh.next)
        want += h->want;
    return want - a->level;
}

bool
rate_is_wanted(const rate_account *a)
{
    for (const rate_holding *h = a->holdings; h; h = h->hh.next) {
        if (h->want > 0)
            return true;
    }
    return false;
}

static rate_holding *
richest(const rate_account *a)
{
    rate_holding *best = NULL;
    for (rate_holding *h = a->holdings; h; h = h->hh.next) {
        if (h->want <= 0 && !is_awaited(a, h)
            && (!best || h->level > best->level))
            best = h;
    }
    return best;
}

/* Who waits is served from the pool; if that isn't enough, those who have
   most are asked for some. */
void
rate_serve_waiting(bbm_rate_owner *o, rate_account *a)
{
    rate_grant_row row;
    for (rate_holding *h = a->holdings; h; h = h->hh.next) {
        if (h->want > 0 && rate_make_deal(a, h, &row))
            rate_send_grant(o, h->node, &row, 1);
    }
    double short_of = still_short(a);
    for (int i = 0; i < PULLS_MOST && short_of > 0; i++) {
        rate_holding *h = richest(a);
        if (!h || h->level < PULL_LEAST)
            return;
        short_of -= make_pull(a, h, short_of, &row);
        rate_send_grant(o, h->node, &row, 1);
    }
}
