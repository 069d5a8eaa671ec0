#include "bbm_chains.h"

#include "bbm_mem.h"
#include "bbm_table.h"

#include <math.h>

/* Maximum number of chains; beyond it, the one whose last request is longest
   ago is removed. */
#define CHAINS_MAX 4096
/* Time constant of the smoothed rates. */
#define SMOOTHING_TIME (4 * BBM_SECOND)
/* The own requests for a chain are a sample only from this smoothed count on:
   one earlier request within the last seconds. */
#define SAMPLE_MIN 0.3
/* Share of a runner's time that one chain should take. */
#define HOME_LOAD 0.25

typedef struct chain {
    uint64_t key;
    double own_requests; /* smoothed count */
    bbm_time own_at;
    double placed_rate; /* highest rate by placements, decaying */
    bbm_time placed_at;
    UT_hash_handle hh; /* by key, least recently requested first */
} chain;

struct bbm_chains {
    chain *chains;
};

bbm_chains *
bbm_chains_create(void)
{
    return bbm_calloc(1, sizeof(bbm_chains));
}

void
bbm_chains_destroy(bbm_chains *c)
{
    if (!c)
        return;
    BBM_TABLE_FREE(chain, c->chains);
    free(c);
}

static double
decay(bbm_time since, bbm_time now)
{
    return exp(-(double)(now - since) / (double)SMOOTHING_TIME);
}

static chain *
find_chain(const bbm_chains *c, uint64_t key)
{
    chain *x = NULL;
    HASH_FIND(hh, c->chains, &key, sizeof(key), x);
    return x;
}

void
bbm_chains_add_request(bbm_chains *c, uint64_t chain_key, bbm_time now)
{
    chain *x = find_chain(c, chain_key);
    if (x) {
        /* The table keeps insertion order. */
        HASH_DEL(c->chains, x);
    }
    else {
        x = bbm_calloc(1, sizeof(*x));
        x->key = chain_key;
    }
    x->own_requests = x->own_requests * decay(x->own_at, now) + 1;
    x->own_at = now;
    HASH_ADD(hh, c->chains, key, sizeof(x->key), x);
    if (HASH_COUNT(c->chains) > CHAINS_MAX) {
        chain *oldest = c->chains;
        HASH_DEL(c->chains, oldest);
        free(oldest);
    }
}

double
bbm_chains_rate(bbm_chains *c, const bbm_chain_query *q, bbm_time now)
{
    chain *x = find_chain(c, q->chain);
    double rate = q->placed_rate;
    if (!x)
        return rate;
    double remembered = x->placed_rate * decay(x->placed_at, now);
    if (remembered > rate)
        rate = remembered;
    else {
        x->placed_rate = rate;
        x->placed_at = now;
    }
    double own = x->own_requests * decay(x->own_at, now);
    double sampled =
        own * (double)q->vms * (double)BBM_SECOND / (double)SMOOTHING_TIME;
    return q->news_lost && own >= SAMPLE_MIN && sampled > rate ? sampled
                                                               : rate;
}

size_t
bbm_chains_homes(double rate, double service_ms)
{
    double homes = ceil(rate * service_ms / 1000 / HOME_LOAD);
    return homes > 1 ? (size_t)homes : 1;
}
