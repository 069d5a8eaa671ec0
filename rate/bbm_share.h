/** @file
 *  Enforces a customer's token rate by shares of demand.
 *
 *  Each VM holds the share of a customer's token bucket that corresponds to
 *  its share of the customer's demand.  VMs report their demand to the leader
 *  and receive the total; one VM may run rate x own demand / total.  There is
 *  no ledger: nothing is lost when VMs or the leader are killed, and after a
 *  start a VM holds a part of an equal share until it receives a total, from
 *  which it also learns what has been spent.  In exchange the shares can add
 *  up to more than the rate until a change of demand has reached all VMs; the
 *  deployment sets how much of that it tolerates.
 *
 *  Shares are not enforced while total demand is well below the rate.  With
 *  many VMs a share is smaller than a few requests, too coarse to enforce;
 *  each request is then admitted with the probability that keeps the total
 *  within the rate.
 *
 *      bbm_shares *s = bbm_shares_create(seed);
 *      bbm_shares_set_customer(s, "jardin", &limits, now);
 *      if (!bbm_shares_reserve(s, "jardin", 900, now, &wait))
 *          ... refuse; retry after `wait` ...
 *      bbm_shares_refund(s, "jardin", 900);           it did not run
 *      bbm_shares_set_total(s, "jardin", &total, vms, now);
 *
 *  Meant for few clients of a customer on each VM, where equal shares would
 *  refuse requests below the rate.  Deployments that tolerate no overrun use
 *  the ledger of bbm_rate.h.
 */
#ifndef BBM_SHARE_H
#define BBM_SHARE_H

#include "bbm_hash.h"
#include "bbm_mem.h"
#include "bbm_time.h"

/** A customer's limits over all VMs. */
typedef struct bbm_share_limits {
    double rate;        /**< Tokens per second. */
    double burst;       /**< Tokens at once. */
    double overrun_max; /**< Tokens above rate and burst that are tolerated. */
} bbm_share_limits;

/** The shares of all customers on this VM; opaque. */
typedef struct bbm_shares bbm_shares;

/** Create an empty set; @p seed is for random admission. */
bbm_shares *bbm_shares_create(uint64_t seed);
/** Free a set; NULL is allowed. */
void bbm_shares_destroy(bbm_shares *s);
/** Set the limits of a customer.  One that is set some time after the first
 *  has a full equal share. */
void bbm_shares_set_customer(bbm_shares *s, const char *customer,
                             const bbm_share_limits *limits, bbm_time now);
/** Reserve tokens for a request.  On false @p wait receives the time until a
 *  retry may succeed.  A customer without limits is always admitted. */
bool bbm_shares_reserve(bbm_shares *s, const char *customer, double tokens,
                        bbm_time now, bbm_time *wait);
/** Return tokens that were reserved but did not run. */
void bbm_shares_refund(bbm_shares *s, const char *customer, double tokens);
/** Demand, and what it has left of the rate. */
typedef struct bbm_share_demand {
    double long_term;  /**< Tokens per second, smoothed over seconds; sets the
                            shares. */
    double short_term; /**< Tokens per second, smoothed over less than a
                            second; decides whether shares are enforced. */
    bool spent_known;  /**< False for a VM that has just started. */
    double spent;      /**< Tokens of burst and overrun that all VMs have used
                            and the rate has not refilled, estimated; in a
                            total the highest estimate. */
} bbm_share_demand;

/** Demand on this VM; 0 for an unknown customer. */
bbm_share_demand bbm_shares_demand(bbm_shares *s, const char *customer,
                                   bbm_time now);
/** Apply the total demand over @p vms VMs, received from the leader. */
void bbm_shares_set_total(bbm_shares *s, const char *customer,
                          const bbm_share_demand *total, size_t vms,
                          bbm_time now);
/** Set the number of VMs, for equal shares until a total is received. */
void bbm_shares_set_vm_count(bbm_shares *s, size_t vms);
/** Set how old the reports in a total are when it arrives, at most half a
 *  second. */
void bbm_shares_set_totals_age(bbm_shares *s, bbm_time age);

#endif
