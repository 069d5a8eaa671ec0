#include "bbm_codes.h"

#include "bbm_table.h"
#include "rate_message.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/* A report goes out so often, and sooner when something is short. */
#define REPORT_PERIOD BBM_SECOND
#define REPORT_SOONEST (25 * BBM_MS)
/* Time constant of the measure of demand. */
#define DEMAND_SPAN (4 * BBM_SECOND)
/* Demand below this is none. */
#define DEMAND_LEAST 0.5
/* Ask for more than one request needs: others are likely to follow. */
#define WANT_FACTOR 2.0

typedef struct part {
    char customer[BBM_NAME_SIZE];
    uint64_t life; /* of our holding at the owner */
    uint64_t seq;
    uint64_t reported_seq; /* last one that a report told of */
    double added;          /* of this life, in all */
    double taken;          /* of this life, in all */
    double capacity;
    double rate;
    double level;
    double reserved;
    double returned;
    double demand; /* tokens per second, decaying */
    double want;
    bbm_time at; /* level and demand are as of here */
    UT_hash_handle hh;
} part;

struct bbm_rate_holder {
    bbm_rate_desc desc;
    part *parts;
    uint64_t epoch;
    bbm_time lease_until;
    bbm_time reported;
    bool urgent;
    bool was_cut;
};

bbm_rate_holder *
bbm_rate_holder_create(const bbm_rate_desc *desc)
{
    bbm_rate_holder *h = bbm_calloc(1, sizeof(*h));
    h->desc = *desc;
    if (!h->desc.lease)
        h->desc.lease = RATE_LEASE;
    return h;
}

void
bbm_rate_holder_destroy(bbm_rate_holder *h)
{
    if (!h)
        return;
    BBM_TABLE_FREE(part, h->parts);
    free(h);
}

static part *
part_of(bbm_rate_holder *h, const char *customer, bbm_time now)
{
    part *p = NULL;
    HASH_FIND_STR(h->parts, customer, p);
    if (p)
        return p;
    p = bbm_calloc(1, sizeof(*p));
    bbm_name_set(p->customer, customer);
    p->at = now;
    HASH_ADD_STR(h->parts, customer, p);
    return p;
}

/* Level and what has not run yet never pass the capacity; what is over goes
   back to the owner. */
static void
clamp_level(const bbm_rate_holder *h, part *p, bool give_back)
{
    double reserved = h->desc.unsafe_no_reserve ? 0 : p->reserved;
    double room = p->capacity - reserved;
    if (room < 0)
        room = 0;
    if (p->level <= room)
        return;
    if (give_back)
        p->returned += p->level - room;
    p->level = room;
}

/* Bring a part to the present: it refills while the lease lasts, and is void
   when the lease has ended. */
static void
refresh(const bbm_rate_holder *h, part *p, bbm_time now)
{
    if (now <= p->at)
        return;
    bbm_time until = now < h->lease_until ? now : h->lease_until;
    if (until > p->at)
        p->level += p->rate * (double)(until - p->at) / (double)BBM_SECOND;
    if (now >= h->lease_until) {
        p->capacity = 0;
        p->rate = 0;
    }
    clamp_level(h, p, false);
    p->demand *= exp(-(double)(now - p->at) / (double)DEMAND_SPAN);
    p->at = now;
}

bbm_rate_verdict
bbm_rate_reserve(bbm_rate_holder *h, const char *customer, double tokens,
                 bool again, bbm_time now)
{
    part *p = part_of(h, customer, now);
    refresh(h, p, now);
    if (!again)
        p->demand += tokens / ((double)DEMAND_SPAN / (double)BBM_SECOND);
    if (p->level >= tokens) {
        p->level -= tokens;
        p->reserved += tokens;
        p->want = 0;
        return BBM_RATE_RESERVED;
    }
    double want = (tokens - p->level) * WANT_FACTOR;
    if (want > p->want)
        p->want = want;
    h->urgent = true;
    return BBM_RATE_INSUFFICIENT;
}

void
bbm_rate_consume(bbm_rate_holder *h, const char *customer, double tokens,
                 bbm_time now)
{
    part *p = part_of(h, customer, now);
    refresh(h, p, now);
    p->reserved -= tokens;
    if (p->reserved >= 0)
        return;
    /* More ran than was taken: the estimate was low, and the bucket pays. */
    p->level += p->reserved;
    p->reserved = 0;
}

void
bbm_rate_release(bbm_rate_holder *h, const char *customer, double tokens,
                 bbm_time now)
{
    part *p = part_of(h, customer, now);
    refresh(h, p, now);
    double back = tokens < p->reserved ? tokens : p->reserved;
    p->reserved -= back;
    p->level += back;
    clamp_level(h, p, true);
}

void
bbm_rate_clear_shortfall(bbm_rate_holder *h, const char *customer)
{
    part *p = NULL;
    HASH_FIND_STR(h->parts, customer, p);
    if (p)
        p->want = 0;
}

bbm_rate_allocation
bbm_rate_allocation_of(bbm_rate_holder *h, const char *customer, bbm_time now)
{
    part *p = part_of(h, customer, now);
    refresh(h, p, now);
    return (bbm_rate_allocation){
        .capacity = p->capacity,
        .rate = p->rate,
        .level = p->level,
        .reserved = p->reserved,
    };
}

/* ---- reports ---- */

/* What the holder can still make run, whatever is taken from it now. */
static double
held_capacity(const bbm_rate_holder *h, const part *p)
{
    double reserved = h->desc.unsafe_no_reserve ? 0 : p->reserved;
    double bound = p->level + reserved;
    return p->capacity > bound ? p->capacity : bound;
}

static bool
is_idle(const part *p)
{
    return p->capacity <= 0 && p->reserved <= 0 && p->want <= 0
           && p->demand < DEMAND_LEAST && p->rate <= 0
           && p->reported_seq == p->seq;
}

static void
begin_life(part *p, uint64_t life)
{
    p->life = life;
    p->seq = 0;
    p->reported_seq = 0;
    p->added = 0;
    p->taken = 0;
}

/* A holder without any part has nothing to tell, and no lease to keep. */
static bool
has_something(const bbm_rate_holder *h)
{
    for (const part *p = h->parts; p; p = p->hh.next) {
        if (!is_idle(p))
            return true;
    }
    return false;
}

bool
bbm_rate_report_due(const bbm_rate_holder *h, bbm_time now)
{
    if (!has_something(h))
        return false;
    bbm_time age = now - h->reported;
    if (!h->reported || age >= REPORT_PERIOD)
        return true;
    return (h->urgent || h->was_cut) && age >= REPORT_SOONEST;
}

void
bbm_rate_report(bbm_rate_holder *h, uint64_t epoch, bbm_time now, bbm_buf *buf)
{
    if (epoch > h->epoch) {
        h->epoch = epoch;
        for (part *p = h->parts; p; p = p->hh.next)
            begin_life(p, 0);
    }
    rate_report r = {.epoch = epoch, .run = h->desc.run, .sent = now};
    bbm_name_set(r.node, h->desc.node);
    r.rows = bbm_calloc(HASH_COUNT(h->parts), sizeof(*r.rows));
    part *p, *next;
    HASH_ITER(hh, h->parts, p, next)
    {
        refresh(h, p, now);
        if (is_idle(p) || r.len == RATE_ROWS_MOST)
            continue;
        rate_report_row *row = &r.rows[r.len++];
        bbm_name_set(row->customer, p->customer);
        row->life = p->life;
        row->seq = p->seq;
        p->reported_seq = p->seq;
        row->capacity = held_capacity(h, p);
        row->rate = p->rate;
        row->returned = p->returned;
        row->level = p->level > 0 ? p->level : 0;
        row->demand = p->demand < DEMAND_LEAST ? 0 : p->demand;
        row->want = p->want;
    }
    rate_report_encode(&r, buf);
    free(r.rows);
    h->reported = now;
    h->urgent = false;
    h->was_cut = false;
}

static void
take_row(bbm_rate_holder *h, const rate_grant_row *row, bbm_time now)
{
    part *p = part_of(h, row->customer, now);
    refresh(h, p, now);
    if (row->life > p->life)
        begin_life(p, row->life);
    if (row->life < p->life || row->seq <= p->seq)
        return;
    p->seq = row->seq;
    double back = row->take - p->taken;
    if (row->capacity < p->capacity || row->rate < p->rate || back > 0)
        h->was_cut = true;
    p->capacity = row->capacity;
    p->rate = row->rate;
    p->level += row->add - p->added;
    p->added = row->add;
    p->taken = row->take;
    if (back > p->level)
        back = p->level;
    if (back > 0) {
        p->level -= back;
        p->returned += back;
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
    bool ours = g.epoch == h->epoch && g.run == h->desc.run;
    bbm_time until = g.echo + h->desc.lease;
    if (ours && until > now) {
        /* A part that was void stays so: refresh before the lease grows. */
        for (part *p = h->parts; p; p = p->hh.next)
            refresh(h, p, now);
        if (until > h->lease_until)
            h->lease_until = until;
        for (size_t i = 0; i < g.len; i++)
            take_row(h, &g.rows[i], now);
        *changed = g.len;
    }
    free(g.rows);
    return BBM_OK;
}

bool
bbm_rate_was_reduced(const bbm_rate_holder *h)
{
    return h->was_cut;
}
