#include "bbm_share.h"

#include "bbm_table.h"

#include <math.h>
#include <string.h>

/* Demand is smoothed over about this many seconds: a few requests of a caller.
 */
#define DEMAND_SPAN 8.0
/* Demand at the moment, over so many seconds. */
#define NOW_SPAN 0.5
/* Each VM keeps count of what all VMs together have left: burst and this part
   of the slack at most.  Parts bind when less than the first share of it is
   left, and no longer when the second is, or when no sum was heard lately. */
#define BANK_SLACK 0.3
#define BIND_FROM 0.6
#define BIND_UNTIL 0.85
#define HEARD_MOST (4 * BBM_SECOND)
#define STEP_MOST (2 * BBM_SECOND)
/* Part of the mean demand that each VM is taken to have at least, so that a
   caller that moves finds tokens before the next sum is heard. */
#define FLOOR_SHARE 0.5
/* Part of the tolerated overrun that is dealt out; the rest covers demand
   that moves between two sums. */
#define SLACK_DEALT 0.75

/* Parts of fewer requests than this are left to chance, which admits this
   share of the rate; who has none comes back after this. */
#define PART_LEAST 4.0
#define CHANCE_RATE 0.85
#define CHANCE_WAIT (700 * BBM_MS)

typedef struct share_row {
    char customer[BBM_NAME_SIZE];
    bbm_share_limits terms;
    double share;     /* of the whole, 0 to 1 */
    double level;     /* tokens that may be taken */
    double asked;     /* demand, tokens per second */
    double asked_now; /* the same over a shorter time */
    bool heard;       /* a sum was heard */
    double total_now; /* of all VMs, as last heard */
    double chance;    /* of a request, where parts are too small */
    double bank;      /* what all VMs have left, by the sums */
    bool loose; /* the part doesn't bind: demand is well below the rate */
    bbm_time heard_at;
    bbm_time at; /* of level and asked */
    UT_hash_handle hh;
} share_row;

struct bbm_shares {
    bbm_rng rng;
    share_row *rows;
    size_t vms;
};

bbm_shares *
bbm_shares_create(uint64_t seed)
{
    bbm_shares *s = bbm_calloc(1, sizeof(*s));
    s->rng = bbm_rng_of(seed);
    s->vms = 1;
    return s;
}

void
bbm_shares_destroy(bbm_shares *s)
{
    if (!s)
        return;
    BBM_TABLE_FREE(share_row, s->rows);
    free(s);
}

static share_row *
find_row(const bbm_shares *s, const char *customer)
{
    share_row *row = NULL;
    HASH_FIND_STR(s->rows, customer, row);
    return row;
}

static double
capacity_of(const share_row *row)
{
    return row->share
           * (row->terms.burst + row->terms.overrun_max * SLACK_DEALT);
}

static void
refresh(share_row *row, bbm_time now)
{
    if (now <= row->at)
        return;
    double span = (double)(now - row->at) / (double)BBM_SECOND;
    row->at = now;
    row->level += row->terms.rate * row->share * span;
    if (row->level > capacity_of(row))
        row->level = capacity_of(row);
    row->asked *= exp(-span / DEMAND_SPAN);
    row->asked_now *= exp(-span / NOW_SPAN);
}

/* A part that grows gets room, not tokens: those that another part loses with
   its room may have run there already. */
static void
set_share(share_row *row, double share)
{
    row->share = share;
    if (row->level > capacity_of(row))
        row->level = capacity_of(row);
}

void
bbm_shares_set_customer(bbm_shares *s, const char *customer,
                        const bbm_share_limits *terms, bbm_time now)
{
    share_row *row = find_row(s, customer);
    if (!row) {
        row = bbm_calloc(1, sizeof(*row));
        bbm_name_set(row->customer, customer);
        row->terms = *terms;
        row->at = now;
        row->share = 1.0 / (double)s->vms;
        row->level = capacity_of(row);
        HASH_ADD_STR(s->rows, customer, row);
        return;
    }
    refresh(row, now);
    if (terms->rate < row->terms.rate) {
        row->loose = false;
        row->bank = 0;
    }
    row->terms = *terms;
    if (row->level > capacity_of(row))
        row->level = capacity_of(row);
}

bool
bbm_shares_reserve(bbm_shares *s, const char *customer, double tokens,
                   bbm_time now, bbm_time *wait)
{
    *wait = 0;
    share_row *row = find_row(s, customer);
    if (!row)
        return true;
    refresh(row, now);
    row->asked += tokens / DEMAND_SPAN;
    row->asked_now += tokens / NOW_SPAN;
    if (row->loose && now - row->heard_at < HEARD_MOST) {
        row->level -= tokens;
        /* What was run loosely binds later for one part at most. */
        if (row->level < -capacity_of(row))
            row->level = -capacity_of(row);
        return true;
    }
    bool known = row->heard_at && now - row->heard_at < HEARD_MOST;
    if (known && tokens * PART_LEAST > capacity_of(row)) {
        bool lucky = bbm_rng_unit(&s->rng) < row->chance;
        *wait = lucky ? 0 : CHANCE_WAIT;
        return lucky;
    }
    /* A request larger than the whole part runs on a full one, or it never
       would; the part is then in debt. */
    double needed = tokens < capacity_of(row) ? tokens : capacity_of(row);
    if (row->level >= needed) {
        row->level -= tokens;
        return true;
    }
    double rate = row->terms.rate * row->share;
    double missing = needed - row->level;
    *wait = rate > 0 ? (bbm_time)(missing / rate * (double)BBM_SECOND)
                     : BBM_SECOND;
    return false;
}

void
bbm_shares_refund(bbm_shares *s, const char *customer, double tokens)
{
    share_row *row = find_row(s, customer);
    if (!row)
        return;
    row->level += tokens;
    if (row->level > capacity_of(row))
        row->level = capacity_of(row);
}

bbm_share_demand
bbm_shares_demand(bbm_shares *s, const char *customer, bbm_time now)
{
    bbm_share_demand d = {0};
    share_row *row = find_row(s, customer);
    if (!row)
        return d;
    refresh(row, now);
    d.long_term = row->asked;
    d.short_term = row->asked_now;
    return d;
}

static double
bank_most(const share_row *row)
{
    return row->terms.burst + row->terms.overrun_max * BANK_SLACK;
}

/* What all VMs have run since the last sum, as far as the sums tell. */
static void
count_bank(share_row *row, double demand, bbm_time now)
{
    bbm_time since = row->heard_at ? now - row->heard_at : 0;
    if (since > STEP_MOST)
        since = STEP_MOST;
    double span = (double)since / (double)BBM_SECOND;
    double most = bank_most(row);
    double ran = demand > row->total_now ? demand : row->total_now;
    row->bank += (row->terms.rate - ran * row->chance) * span;
    if (row->bank > most || !row->heard_at)
        row->bank = most;
    if (row->bank < -most)
        row->bank = -most;
    row->heard_at = now;
    row->total_now = demand;
    row->chance = 1;
    if (row->bank < most * BIND_FROM && demand > 0)
        row->chance = row->terms.rate * CHANCE_RATE / demand;
    if (row->chance > 1)
        row->chance = 1;
    if (row->bank > most * BIND_UNTIL)
        row->loose = true;
    else if (row->bank < most * BIND_FROM)
        row->loose = false;
}

void
bbm_shares_set_total(bbm_shares *s, const char *customer,
                     const bbm_share_demand *total, size_t vms, bbm_time now)
{
    share_row *row = find_row(s, customer);
    if (!row || vms == 0)
        return;
    refresh(row, now);
    count_bank(row, total->short_term, now);
    double mean = total->long_term / (double)vms;
    double low = mean * FLOOR_SHARE;
    if (mean <= 0) {
        set_share(row, 1.0 / (double)vms);
        return;
    }
    row->heard = true;
    /* The sum is of a moment ago: own demand that has risen since counts in
       both, so that no part is larger than the whole. */
    double whole =
        total->long_term > row->asked ? total->long_term : row->asked;
    set_share(row, (row->asked + low) / (whole + low * (double)vms));
}

void
bbm_shares_set_vm_count(bbm_shares *s, size_t vms)
{
    if (vms == 0 || vms == s->vms)
        return;
    s->vms = vms;
    for (share_row *row = s->rows; row; row = row->hh.next) {
        if (!row->heard)
            set_share(row, 1.0 / (double)vms);
    }
}
