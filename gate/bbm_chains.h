/** @file
 *  Demand for chains of shared prompt parts, and with it the number of runners
 *  that should serve a chain.
 *
 *  Answers the load of many VMs that hear of each other late.  Each chain has
 *  one home among the runners, by a hash that all VMs compute alike, so that
 *  its parts are processed once.  A chain that is asked for more often than
 *  one runner can serve needs more homes, and all VMs should come to about the
 *  same number.
 *
 *  The rate of a chain over all VMs comes from the placements of the others.
 *  While these don't arrive, a VM that has seen a chain more than once lately
 *  takes its own requests as a sample: with hundreds of VMs, a chain of
 *  ordinary demand is hardly ever seen twice within seconds.
 *
 *      bbm_chains *chains = bbm_chains_create();
 *      double rate = bbm_chains_rate(chains, &query, now);
 *      size_t homes = bbm_chains_homes(rate, service_ms);
 *      bbm_chains_add_request(chains, chain, now);
 *
 *  Pure: the caller passes in the time.
 */
#ifndef BBM_CHAINS_H
#define BBM_CHAINS_H

#include "bbm_time.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** The question for the rate of a chain. */
typedef struct bbm_chain_query {
    uint64_t chain;     /**< Hash of the chain; the same for all versions of
                             the weights. */
    double placed_rate; /**< Requests per second for it over all VMs under the
                             current weights, by their placements. */
    size_t vms;         /**< Number of VMs. */
    bool news_lost;     /**< No placements of other VMs arrive now. */
} bbm_chain_query;

/** Demand by chain; opaque. */
typedef struct bbm_chains bbm_chains;

/** Create it without any demand. */
bbm_chains *bbm_chains_create(void);
/** Destroy it; NULL is allowed. */
void bbm_chains_destroy(bbm_chains *c);
/** Record a request of this VM. */
void bbm_chains_add_request(bbm_chains *c, uint64_t chain_key, bbm_time now);
/** Estimated requests per second for a chain, over all VMs.  A rate by
 *  placements is remembered for some seconds, so that it survives new
 *  weights. */
double bbm_chains_rate(bbm_chains *c, const bbm_chain_query *q, bbm_time now);
/** Number of runners that should serve a chain, at least 1.
 *  @param service_ms Time of a runner for the part of a request that is not
 *                    shared. */
size_t bbm_chains_homes(double rate, double service_ms);

#endif
