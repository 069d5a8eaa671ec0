/** @file
 *  A customer's rate held by shares of demand.
 *
 *  Each VM holds the part of a customer's token bucket that answers to its
 *  part of the customer's demand.  VMs tell their demand to the leader and
 *  hear the sum; what one VM may run is rate x own demand / sum.  There is no
 *  ledger: nothing is lost when VMs or the leader are killed, and after a
 *  start a VM holds an equal part until it hears a sum.  The price is that the
 *  sum of all parts may pass the rate for as long as a change of demand takes
 *  to get round; the deployment says how much of that it tolerates.
 *
 *  While the sum of the demand is well below the rate no part binds.  With
 * many VMs a part is smaller than a few requests and says little: there each
 *  request is admitted by the chance that the rate leaves it.
 *
 *      bbm_shares *s = bbm_shares_create(seed);
 *      bbm_shares_set_customer(s, "jardin", &terms, now);
 *      if (!bbm_shares_reserve(s, "jardin", 900, now, &wait))
 *          ... refuse, come back after `wait` ...
 *      bbm_shares_refund(s, "jardin", 900);        it did not run
 *      bbm_shares_set_total(s, "jardin", demand_of_all, vms, now);
 *
 *  The load it answers: few callers of a customer on each VM, so that equal
 *  parts would refuse some below the rate.  The ledger of bbm_rate.h is for
 *  deployments that tolerate no overrun at all.
 */
#ifndef BBM_SHARE_H
#define BBM_SHARE_H

#include "bbm_hash.h"
#include "bbm_mem.h"
#include "bbm_time.h"

/** What a customer may run over all VMs. */
typedef struct bbm_share_limits {
    double rate;        /**< Tokens per second. */
    double burst;       /**< Tokens at once. */
    double overrun_max; /**< Tokens of overrun that are tolerated. */
} bbm_share_limits;

/** The parts of all customers on this VM; opaque. */
typedef struct bbm_shares bbm_shares;

/** Without customers; the seed is for the chances. */
bbm_shares *bbm_shares_create(uint64_t seed);
/** Release; NULL is allowed. */
void bbm_shares_destroy(bbm_shares *s);
/** A customer's terms, new or changed. */
void bbm_shares_set_customer(bbm_shares *s, const char *customer,
                             const bbm_share_limits *terms, bbm_time now);
/** Take tokens for a request; else @p wait receives when they will be there.
 *  A customer without terms is not limited. */
bool bbm_shares_reserve(bbm_shares *s, const char *customer, double tokens,
                        bbm_time now, bbm_time *wait);
/** So many tokens that were taken did not run. */
void bbm_shares_refund(bbm_shares *s, const char *customer, double tokens);
/** Demand, tokens per second. */
typedef struct bbm_share_demand {
    double
        long_term; /**< Over the last seconds: what parts are measured by. */
    double short_term; /**< Over the last second or so: whether they bind. */
} bbm_share_demand;

/** Demand on this VM; 0 for an unknown customer. */
bbm_share_demand bbm_shares_demand(bbm_shares *s, const char *customer,
                                   bbm_time now);
/** Demand over so many VMs. */
void bbm_shares_set_total(bbm_shares *s, const char *customer,
                          const bbm_share_demand *total, size_t vms,
                          bbm_time now);
/** So many VMs share the rates, until a sum is heard. */
void bbm_shares_set_vm_count(bbm_shares *s, size_t vms);

#endif
