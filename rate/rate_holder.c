#include "bbm_codes.h"

#include "bbm_table.h"
#include "rate_message.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/* Reports are sent once per period, and after the shortest interval if a
   request lacks tokens or an allocation was reduced. */
#define REPORT_PERIOD_NS BBM_SECOND
#define REPORT_INTERVAL_MIN_NS (25 * BBM_MS)
/* Time constant of the demand. */
#define DEMAND_TIME_CONSTANT_NS (4 * BBM_SECOND)
/* Demand below this is reported as 0. */
#define DEMAND_MIN_TOKENS_PER_S 0.5
/* The reported shortfall is what one request lacks times this, as further
   requests are likely to follow. */
#define SHORTFALL_FACTOR 2.0

typedef struct allocation {
    char customer[BBM_NAME_SIZE];
    uint64_t generation;   /* of the holding at the owner */
    uint64_t seq;          /* of the last grant applied */
    uint64_t reported_seq; /* of the last grant confirmed by a report */
    double granted_total;  /* in this generation, tokens */
    double recalled_total; /* in this generation, tokens */
    double capacity;       /* tokens */
    double rate;           /* refill, tokens per second */
    double level;          /* tokens; negative after an overrun */
    double reserved;       /* tokens reserved that have not run yet */
    double returned_total; /* in this run, tokens */
    double demand;         /* tokens per second, decaying */
    double shortfall;      /* tokens to request from the owner */
    bbm_time updated_at;   /* moment for which level and demand hold */
    UT_hash_handle hh;
} allocation;

struct bbm_rate_holder {
    bbm_rate_desc desc;
    allocation *allocations;
    uint64_t epoch;       /* of the owner last reported to */
    bbm_time lease_until; /* by this VM's clock */
    bbm_time reported_at; /* last report; 0: none */
    bool urgent;          /* a request lacked tokens since the last report */
    bool was_reduced;     /* by a grant since the last report */
};

bbm_rate_holder *
bbm_rate_holder_create(const bbm_rate_desc *desc)
{
    bbm_rate_holder *h = bbm_calloc(1, sizeof(*h));
    h->desc = *desc;
    if (!h->desc.lease)
        h->desc.lease = RATE_LEASE_NS;
    return h;
}

void
bbm_rate_holder_destroy(bbm_rate_holder *h)
{
    if (!h)
        return;
    BBM_TABLE_FREE(allocation, h->allocations);
    free(h);
}

static allocation *
allocation_of(bbm_rate_holder *h, const char *customer, bbm_time now)
{
    allocation *p = NULL;
    HASH_FIND_STR(h->allocations, customer, p);
    if (p)
        return p;
    p = bbm_calloc(1, sizeof(*p));
    bbm_name_set(p->customer, customer);
    p->updated_at = now;
    HASH_ADD_STR(h->allocations, customer, p);
    return p;
}

/* Level and reserved tokens together never exceed the capacity.  The surplus
   is returned to the owner if @p give_back, and discarded otherwise. */
static void
clamp_level(const bbm_rate_holder *h, allocation *p, bool give_back)
{
    double reserved = h->desc.unsafe_no_reserve ? 0 : p->reserved;
    double room = p->capacity - reserved;
    if (room < 0)
        room = 0;
    if (p->level <= room)
        return;
    if (give_back)
        p->returned_total += p->level - room;
    p->level = room;
}

/* Update an allocation to @p now: it refills until the lease ends and is void
   afterwards. */
static void
refresh(const bbm_rate_holder *h, allocation *p, bbm_time now)
{
    if (now <= p->updated_at)
        return;
    bbm_time until = now < h->lease_until ? now : h->lease_until;
    if (until > p->updated_at)
        p->level +=
            p->rate * (double)(until - p->updated_at) / (double)BBM_SECOND;
    if (now >= h->lease_until) {
        p->capacity = 0;
        p->rate = 0;
    }
    clamp_level(h, p, false);
    p->demand *=
        exp(-(double)(now - p->updated_at) / (double)DEMAND_TIME_CONSTANT_NS);
    p->updated_at = now;
}

bbm_rate_verdict
bbm_rate_reserve(bbm_rate_holder *h, const char *customer, double tokens,
                 bool is_retry, bbm_time now)
{
    allocation *p = allocation_of(h, customer, now);
    refresh(h, p, now);
    if (!is_retry)
        p->demand +=
            tokens / ((double)DEMAND_TIME_CONSTANT_NS / (double)BBM_SECOND);
    if (p->level >= tokens) {
        p->level -= tokens;
        p->reserved += tokens;
        p->shortfall = 0;
        return BBM_RATE_RESERVED;
    }
    double missing = (tokens - p->level) * SHORTFALL_FACTOR;
    if (missing > p->shortfall)
        p->shortfall = missing;
    h->urgent = true;
    return BBM_RATE_INSUFFICIENT;
}

void
bbm_rate_consume(bbm_rate_holder *h, const char *customer, double tokens,
                 bbm_time now)
{
    allocation *p = allocation_of(h, customer, now);
    refresh(h, p, now);
    p->reserved -= tokens;
    if (p->reserved >= 0)
        return;
    /* More ran than was reserved: charge the difference to the level. */
    p->level += p->reserved;
    p->reserved = 0;
}

void
bbm_rate_release(bbm_rate_holder *h, const char *customer, double tokens,
                 bbm_time now)
{
    allocation *p = allocation_of(h, customer, now);
    refresh(h, p, now);
    double returned = tokens < p->reserved ? tokens : p->reserved;
    p->reserved -= returned;
    p->level += returned;
    clamp_level(h, p, true);
}

void
bbm_rate_clear_shortfall(bbm_rate_holder *h, const char *customer)
{
    allocation *p = NULL;
    HASH_FIND_STR(h->allocations, customer, p);
    if (p)
        p->shortfall = 0;
}

bbm_rate_allocation
bbm_rate_allocation_of(bbm_rate_holder *h, const char *customer, bbm_time now)
{
    allocation *p = allocation_of(h, customer, now);
    refresh(h, p, now);
    return (bbm_rate_allocation){
        .capacity = p->capacity,
        .rate = p->rate,
        .level = p->level,
        .reserved = p->reserved,
    };
}

/* ---- reports ---- */

/* Upper bound of the tokens that this holder can still run, even if its
   capacity has been reduced meanwhile. */
static double
held_capacity(const bbm_rate_holder *h, const allocation *p)
{
    double reserved = h->desc.unsafe_no_reserve ? 0 : p->reserved;
    double bound = p->level + reserved;
    return p->capacity > bound ? p->capacity : bound;
}

static bool
is_idle(const allocation *p)
{
    return p->capacity <= 0 && p->reserved <= 0 && p->shortfall <= 0
           && p->demand < DEMAND_MIN_TOKENS_PER_S && p->rate <= 0
           && p->reported_seq == p->seq;
}

static void
begin_generation(allocation *p, uint64_t generation)
{
    p->generation = generation;
    p->seq = 0;
    p->reported_seq = 0;
    p->granted_total = 0;
    p->recalled_total = 0;
}

/* A holder whose allocations are all idle needs neither reports nor a
   lease. */
static bool
has_active(const bbm_rate_holder *h)
{
    for (const allocation *p = h->allocations; p; p = p->hh.next) {
        if (!is_idle(p))
            return true;
    }
    return false;
}

bool
bbm_rate_report_due(const bbm_rate_holder *h, bbm_time now)
{
    if (!has_active(h))
        return false;
    bbm_time age = now - h->reported_at;
    if (!h->reported_at || age >= REPORT_PERIOD_NS)
        return true;
    return (h->urgent || h->was_reduced) && age >= REPORT_INTERVAL_MIN_NS;
}

void
bbm_rate_report(bbm_rate_holder *h, uint64_t epoch, bbm_time now, bbm_buf *buf)
{
    if (epoch > h->epoch) {
        h->epoch = epoch;
        for (allocation *p = h->allocations; p; p = p->hh.next)
            begin_generation(p, 0);
    }
    rate_report r = {.epoch = epoch, .run = h->desc.run, .sent_at = now};
    bbm_name_set(r.node, h->desc.node);
    r.rows = bbm_calloc(HASH_COUNT(h->allocations), sizeof(*r.rows));
    allocation *p, *next;
    HASH_ITER(hh, h->allocations, p, next)
    {
        refresh(h, p, now);
        if (is_idle(p) || r.len == RATE_ROWS_MAX)
            continue;
        rate_report_row *row = &r.rows[r.len++];
        bbm_name_set(row->customer, p->customer);
        row->generation = p->generation;
        row->seq = p->seq;
        p->reported_seq = p->seq;
        row->capacity = held_capacity(h, p);
        row->rate = p->rate;
        row->returned_total = p->returned_total;
        row->level = p->level > 0 ? p->level : 0;
        row->demand = p->demand < DEMAND_MIN_TOKENS_PER_S ? 0 : p->demand;
        row->shortfall = p->shortfall;
    }
    rate_report_encode(&r, buf);
    free(r.rows);
    h->reported_at = now;
    h->urgent = false;
    h->was_reduced = false;
}

static void
apply_row(bbm_rate_holder *h, const rate_grant_row *row, bbm_time now)
{
    allocation *p = allocation_of(h, row->customer, now);
    refresh(h, p, now);
    if (row->generation > p->generation)
        begin_generation(p, row->generation);
    if (row->generation < p->generation || row->seq <= p->seq)
        return;
    p->seq = row->seq;
    double returned = row->recalled_total - p->recalled_total;
    if (row->capacity < p->capacity || row->rate < p->rate || returned > 0)
        h->was_reduced = true;
    p->capacity = row->capacity;
    p->rate = row->rate;
    p->level += row->granted_total - p->granted_total;
    p->granted_total = row->granted_total;
    p->recalled_total = row->recalled_total;
    if (returned > p->level)
        returned = p->level;
    if (returned > 0) {
        p->level -= returned;
        p->returned_total += returned;
    }
    clamp_level(h, p, true);
}

int
bbm_rate_apply_grant(bbm_rate_holder *h, const uint8_t *data, size_t len,
                     bbm_time now, size_t *changed)
{
    *changed = 0;
    rate_grant g;
    int rc = rate_grant_decode(data, len, &g);
    if (rc < 0)
        return rc;
    bool is_current = g.epoch == h->epoch && g.run == h->desc.run;
    bbm_time until = g.holder_clock + h->desc.lease;
    if (is_current && until > now) {
        /* Refresh before the lease is extended, so that an allocation whose
           lease had ended becomes void first. */
        for (allocation *p = h->allocations; p; p = p->hh.next)
            refresh(h, p, now);
        if (until > h->lease_until)
            h->lease_until = until;
        for (size_t i = 0; i < g.len; i++)
            apply_row(h, &g.rows[i], now);
        *changed = g.len;
    }
    free(g.rows);
    return BBM_OK;
}

bool
bbm_rate_was_reduced(const bbm_rate_holder *h)
{
    return h->was_reduced;
}
