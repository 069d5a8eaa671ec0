#include "bbm_share.h"

#include "bbm_table.h"

#include <math.h>
#include <string.h>

/* Time constant of the long-term demand; a client sends a few requests in
   it. */
#define DEMAND_TIME_CONSTANT_S 8.0
/* Time constant of the short-term demand. */
#define SHORT_TERM_TIME_CONSTANT_S 0.5
/* From the totals each VM estimates the balance: the tokens that all VMs
   together have left.  Its maximum is the burst plus this share of the
   tolerated overrun. */
#define BALANCE_OVERRUN_SHARE 0.3
/* A VM that has just started doesn't know what its customers have run.  It
   learns that from the totals; until then it holds this share of its part.
   If no VM has known for KNOWN_TIME, all have started lately, and nothing is
   assumed to be left.  Customers that are configured more than STARTING_TIME
   after the first are new. */
#define START_LEVEL_SHARE 0.25
#define KNOWN_TIME (2 * BBM_SECOND)
#define STARTING_TIME (2 * BBM_SECOND)
/* In a shorter time after the start a single request would look like many. */
#define DEMAND_AGE_MIN (150 * BBM_MS)
/* Shares are enforced from when the balance falls below ENFORCE_BELOW_SHARE of
   its maximum until it exceeds RELAX_ABOVE_SHARE, and while no total has been
   received for TOTAL_AGE_MAX_NS. */
#define ENFORCE_BELOW_SHARE 0.6
#define RELAX_ABOVE_SHARE 0.85
#define TOTAL_AGE_MAX_NS (4 * BBM_SECOND)
/* Limit of the debt of all VMs, as a multiple of the balance's maximum, and
   the time in which random admission repays it. */
#define DEBT_MAX 4.0
#define DEBT_TIME_S 8.0
/* After a sudden rise the smoothed demand takes this time to show it. */
#define UNSEEN_TIME (2 * BBM_SECOND)
/* Limit of the interval between two totals that is charged to the balance. */
#define BALANCE_INTERVAL_MAX_NS (2 * BBM_SECOND)
/* Each VM is assumed to have at least this share of the mean demand, so that
   a client that moves finds tokens before the next total is received. */
#define DEMAND_FLOOR_SHARE 0.5
/* Share of the tolerated overrun that is distributed; the rest covers demand
   that moves between two totals. */
#define OVERRUN_DISTRIBUTED_SHARE 0.75

/* Own demands of the past that are remembered, and the time between two. */
#define SAMPLES_MAX 24
#define SAMPLE_PERIOD (25 * BBM_MS)

/* A request is small if the mean token belongs to a request that is this many
   times as large.  Random admission takes small requests first: they are most
   of a customer's requests, but use little of its rate.  The others keep this
   share of their probability, so that none is starved. */
#define SMALL_SIZE_RATIO 8.0
#define LARGE_ADMIT_SHARE_MIN 0.5

/* Weight of a request in the mean size when the next one has arrived. */
#define SIZE_DECAY 0.98

/* Requests are admitted at random if the capacity of the share is less than
   SHARE_REQUESTS_MIN times their mean size.  Random admission distributes
   RANDOM_RATE_SHARE of the rate; a refused request may retry after
   RANDOM_RETRY_NS. */
#define SHARE_REQUESTS_MIN 4.0
#define RANDOM_RATE_SHARE 0.85
#define RANDOM_RETRY_NS (700 * BBM_MS)

/* Own long-term demand at a moment. */
typedef struct demand_sample {
    bbm_time at; /* 0: none */
    double demand;
} demand_sample;

typedef struct share_row {
    char customer[BBM_NAME_SIZE];
    bbm_share_limits limits;
    double share;             /* of the bucket, 0 to 1 */
    double level;             /* tokens that can be reserved */
    double demand;            /* long-term, tokens per second */
    double short_term_demand; /* tokens per second */
    double small_demand;      /* part of `demand`: of small requests */
    double size_tokens;       /* of the latest requests; see SIZE_DECAY */
    double size_squares;      /* squares of their sizes */
    demand_sample samples[SAMPLES_MAX]; /* ring */
    size_t samples_next;
    bool has_total;           /* a total above 0 has been received */
    double total_short_term;  /* short-term demand of all VMs, last received */
    double admit_probability; /* of a request, for random admission */
    double balance;           /* tokens that all VMs have left, estimated */
    bbm_time known_at;        /* from then on the balance is known; 0: unknown
                                 until a total is received */
    bool relaxed;             /* not enforced: demand is well below the rate */
    bbm_time enforced_at;     /* when that ended last; 0: it never began */
    double charged_demand;    /* that the balance has been charged for since,
                                 as if it had been so high before */
    bbm_time total_at;        /* when the last total was received; 0: never */
    bbm_time updated_at;      /* moment for which level and demand hold */
    UT_hash_handle hh;
} share_row;

struct bbm_shares {
    bbm_rng rng;
    share_row *rows;
    size_t vms;          /* for equal shares */
    bbm_time totals_age; /* of what is in a total when it arrives */
    bbm_time started_at; /* when the first customer was set; 0: none was */
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
           * (row->limits.burst
              + row->limits.overrun_max * OVERRUN_DISTRIBUTED_SHARE);
}

static double
balance_max(const share_row *row)
{
    return row->limits.burst + row->limits.overrun_max * BALANCE_OVERRUN_SHARE;
}

static bool
is_known(const share_row *row, bbm_time now)
{
    return row->known_at && now >= row->known_at;
}

static void
refresh(share_row *row, bbm_time now)
{
    if (now <= row->updated_at)
        return;
    double span = (double)(now - row->updated_at) / (double)BBM_SECOND;
    row->updated_at = now;
    row->level += row->limits.rate * row->share * span;
    if (row->level > capacity_of(row))
        row->level = capacity_of(row);
    row->demand *= exp(-span / DEMAND_TIME_CONSTANT_S);
    row->small_demand *= exp(-span / DEMAND_TIME_CONSTANT_S);
    row->short_term_demand *= exp(-span / SHORT_TERM_TIME_CONSTANT_S);
}

/* A share that grows gains capacity but no tokens: those that another VM
   loses with its capacity may already have run there. */
static void
set_share(share_row *row, double share)
{
    row->share = share;
    if (row->level > capacity_of(row))
        row->level = capacity_of(row);
}

void
bbm_shares_set_customer(bbm_shares *s, const char *customer,
                        const bbm_share_limits *limits, bbm_time now)
{
    share_row *row = find_row(s, customer);
    if (!s->started_at)
        s->started_at = now;
    if (!row) {
        bool is_new = now - s->started_at > STARTING_TIME;
        row = bbm_calloc(1, sizeof(*row));
        bbm_name_set(row->customer, customer);
        row->limits = *limits;
        row->updated_at = now;
        row->share = 1.0 / (double)s->vms;
        row->level = capacity_of(row) * (is_new ? 1 : START_LEVEL_SHARE);
        row->balance = is_new ? balance_max(row) : 0;
        row->known_at = is_new ? now : 0;
        HASH_ADD_STR(s->rows, customer, row);
        return;
    }
    refresh(row, now);
    /* A lowered rate is enforced at once. */
    if (limits->rate < row->limits.rate) {
        row->relaxed = false;
        row->balance = 0;
    }
    row->limits = *limits;
    if (row->level > capacity_of(row))
        row->level = capacity_of(row);
}

static void
record_size(share_row *row, double tokens)
{
    row->size_tokens = row->size_tokens * SIZE_DECAY + tokens;
    row->size_squares = row->size_squares * SIZE_DECAY + tokens * tokens;
}

/* Size of the request that the mean token is part of. */
static double
mean_size(const share_row *row)
{
    return row->size_tokens > 0 ? row->size_squares / row->size_tokens : 0;
}

static bool
is_small(const share_row *row, double tokens)
{
    return tokens * SMALL_SIZE_RATIO <= mean_size(row);
}

/* Probability of random admission for a request of this size.  The tokens that
   all requests of this VM are expected to use are the same as if each had the
   probability of the row. */
static double
admit_probability_of(const share_row *row, double tokens)
{
    double p = row->admit_probability;
    double small = row->demand > 0 ? row->small_demand / row->demand : 0;
    if (small <= 0 || small >= 1)
        return p;
    double p_large = (p - small) / (1 - small);
    if (p_large < p * LARGE_ADMIT_SHARE_MIN)
        p_large = p * LARGE_ADMIT_SHARE_MIN;
    return is_small(row, tokens) ? (p - (1 - small) * p_large) / small
                                 : p_large;
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
    record_size(row, tokens);
    row->demand += tokens / DEMAND_TIME_CONSTANT_S;
    row->short_term_demand += tokens / SHORT_TERM_TIME_CONSTANT_S;
    if (is_small(row, tokens))
        row->small_demand += tokens / DEMAND_TIME_CONSTANT_S;
    if (row->relaxed && now - row->total_at < TOTAL_AGE_MAX_NS) {
        row->level -= tokens;
        return true;
    }
    bool has_fresh_total =
        row->total_at && now - row->total_at < TOTAL_AGE_MAX_NS;
    /* All sizes at random: if large ones were admitted at random and small
       ones by the level, each would have the rate. */
    if (has_fresh_total
        && mean_size(row) * SHARE_REQUESTS_MIN > capacity_of(row)) {
        bool admitted =
            bbm_rng_unit(&s->rng) < admit_probability_of(row, tokens);
        *wait = admitted ? 0 : RANDOM_RETRY_NS;
        if (admitted && row->level > -capacity_of(row))
            row->level -= tokens;
        return admitted;
    }
    /* A request larger than the whole share is admitted when the share is
       full, or it never would be; the level then becomes negative. */
    double needed = tokens < capacity_of(row) ? tokens : capacity_of(row);
    if (row->level >= needed) {
        row->level -= tokens;
        return true;
    }
    double rate = row->limits.rate * row->share;
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

static void
add_sample(share_row *row, bbm_time now)
{
    const demand_sample *last =
        &row->samples[(row->samples_next + SAMPLES_MAX - 1) % SAMPLES_MAX];
    if (last->at && now - last->at < SAMPLE_PERIOD)
        return;
    row->samples[row->samples_next] =
        (demand_sample){.at = now, .demand = row->demand};
    row->samples_next = (row->samples_next + 1) % SAMPLES_MAX;
}

/* Own demand of the time that a total is about.  While demand rises, the
   present one is higher than what the total has of it, and the shares of all
   VMs would add up to more than 1. */
static double
demand_in_total(const bbm_shares *s, const share_row *row, bbm_time now)
{
    const demand_sample *newest = NULL;
    for (size_t i = 0; i < SAMPLES_MAX; i++) {
        const demand_sample *d = &row->samples[i];
        if (d->at && d->at <= now - s->totals_age
            && (!newest || d->at > newest->at))
            newest = d;
    }
    return newest && newest->demand < row->demand ? newest->demand
                                                  : row->demand;
}

bbm_share_demand
bbm_shares_demand(bbm_shares *s, const char *customer, bbm_time now)
{
    bbm_share_demand d = {0};
    share_row *row = find_row(s, customer);
    if (!row)
        return d;
    refresh(row, now);
    add_sample(row, now);
    d.long_term = row->demand;
    d.short_term = row->short_term_demand;
    d.spent_known = is_known(row, now);
    if (d.spent_known && row->balance < balance_max(row))
        d.spent = balance_max(row) - row->balance;
    return d;
}

/* A VM that doesn't know the balance takes over what others know. */
static void
learn_balance(share_row *row, const bbm_share_demand *total, bbm_time now)
{
    if (is_known(row, now))
        return;
    if (!total->spent_known) {
        if (!row->known_at)
            row->known_at = now + KNOWN_TIME;
        return;
    }
    double max = balance_max(row);
    row->known_at = now;
    row->balance = max - total->spent;
    double level = max > 0 ? capacity_of(row) * row->balance / max : 0;
    if (level > row->level)
        row->level = level;
}

/* If all VMs have started lately, what was before that is missing from their
   smoothed demands. */
static double
short_term_total(const bbm_shares *s, const share_row *row,
                 const bbm_share_demand *total, bbm_time now)
{
    if (is_known(row, now))
        return total->short_term;
    bbm_time age = now - s->started_at;
    if (age < DEMAND_AGE_MIN)
        age = DEMAND_AGE_MIN;
    double span = (double)age / (double)BBM_SECOND;
    return total->short_term / (1 - exp(-span / SHORT_TERM_TIME_CONSTANT_S));
}

/* Charges the balance with what ran before the totals showed the demand: they
   are old, and the demand in them rises slowly to what it was all the time. */
static void
charge_unseen(const bbm_shares *s, share_row *row, double demand)
{
    double unseen_s = (double)s->totals_age / (double)BBM_SECOND
                      + SHORT_TERM_TIME_CONSTANT_S;
    if (demand <= row->charged_demand)
        return;
    row->balance -= (demand - row->charged_demand) * unseen_s;
    row->charged_demand = demand;
}

/* Begins to enforce the share.  The level knows what ran here, but part of it
   may be load that moved here from other VMs and is within the rate: no more
   is kept than the own share of what all VMs seem to owe. */
static void
begin_enforcing(const bbm_shares *s, share_row *row, double demand,
                bbm_time now)
{
    row->relaxed = false;
    row->enforced_at = now;
    row->charged_demand = row->limits.rate;
    charge_unseen(s, row, demand);
    double debt = row->balance < 0 ? -row->balance : 0;
    double floor = -capacity_of(row) - row->share * debt;
    if (row->level < floor)
        row->level = floor;
}

/* Probability that keeps the total within the rate, and repays a debt. */
static double
admit_probability(const share_row *row, double demand)
{
    double max = balance_max(row);
    if (row->balance >= max * ENFORCE_BELOW_SHARE || demand <= 0)
        return 1;
    double rate = row->limits.rate * RANDOM_RATE_SHARE;
    if (row->balance < 0)
        rate += row->balance / DEBT_TIME_S;
    double p = rate / demand;
    return p > 1 ? 1 : p > 0 ? p : 0;
}

/* Charge the balance with what all VMs have run since the last total, as
   estimated from the totals. */
static void
update_balance(const bbm_shares *s, share_row *row, double demand,
               bbm_time now)
{
    bbm_time since = row->total_at ? now - row->total_at : 0;
    if (since > BALANCE_INTERVAL_MAX_NS)
        since = BALANCE_INTERVAL_MAX_NS;
    double span = (double)since / (double)BBM_SECOND;
    double max = balance_max(row);
    double ran =
        demand > row->total_short_term ? demand : row->total_short_term;
    row->balance += (row->limits.rate - ran * row->admit_probability) * span;
    if (row->balance > max)
        row->balance = max;
    if (row->balance < -max * DEBT_MAX)
        row->balance = -max * DEBT_MAX;
    row->total_at = now;
    row->total_short_term = demand;
    if (row->balance > max * RELAX_ABOVE_SHARE)
        row->relaxed = true;
    else if (row->balance < max * ENFORCE_BELOW_SHARE && row->relaxed)
        begin_enforcing(s, row, demand, now);
    else if (!row->relaxed && now - row->enforced_at < UNSEEN_TIME)
        charge_unseen(s, row, demand);
    row->admit_probability = admit_probability(row, demand);
}

void
bbm_shares_set_total(bbm_shares *s, const char *customer,
                     const bbm_share_demand *total, size_t vms, bbm_time now)
{
    share_row *row = find_row(s, customer);
    if (!row || vms == 0)
        return;
    refresh(row, now);
    learn_balance(row, total, now);
    update_balance(s, row, short_term_total(s, row, total, now), now);
    double mean = total->long_term / (double)vms;
    double min_demand = mean * DEMAND_FLOOR_SHARE;
    if (mean <= 0) {
        set_share(row, 1.0 / (double)vms);
        return;
    }
    row->has_total = true;
    /* The total is older than the own demand, which may exceed it by now.  The
       higher one counts, so that no share exceeds 1. */
    double own = demand_in_total(s, row, now);
    double total_demand = total->long_term > own ? total->long_term : own;
    set_share(row,
              (own + min_demand) / (total_demand + min_demand * (double)vms));
}

void
bbm_shares_set_totals_age(bbm_shares *s, bbm_time age)
{
    s->totals_age = age;
}

void
bbm_shares_set_vm_count(bbm_shares *s, size_t vms)
{
    if (vms == 0 || vms == s->vms)
        return;
    s->vms = vms;
    for (share_row *row = s->rows; row; row = row->hh.next) {
        if (!row->has_total)
            set_share(row, 1.0 / (double)vms);
    }
}
