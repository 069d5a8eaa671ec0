/** @file
 *  Retry budget: limits the ratio of retries to original requests.
 *
 *      bbm_retry_budget b = bbm_retry_budget_of(0.1, 10);
 *      bbm_retry_fill(&b);                unless it may have been used lately
 *      bbm_retry_record_request(&b);      each original request
 *      if (bbm_retry_acquire(&b)) ...     retry
 */
#ifndef BBM_RETRY_H
#define BBM_RETRY_H

#include <stdbool.h>

/** A budget.  Fractions of a retry accumulate. */
typedef struct bbm_retry_budget {
    double retries_per_request; /**< Added by each original request. */
    double retries_max;         /**< Limit of `available`. */
    double available;           /**< Retries that can be made now. */
} bbm_retry_budget;

/** Make an empty budget. */
bbm_retry_budget bbm_retry_budget_of(double retries_per_request,
                                     double retries_max);
/** Make it full. */
void bbm_retry_fill(bbm_retry_budget *b);
/** Change the limit of the retries that can be saved up. */
void bbm_retry_set_max(bbm_retry_budget *b, double retries_max);
/** Credit the budget for an original request. */
void bbm_retry_record_request(bbm_retry_budget *b);
/** Take the credit of an original request back. */
void bbm_retry_retract_request(bbm_retry_budget *b);
/** Charge one retry; false if none is available. */
bool bbm_retry_acquire(bbm_retry_budget *b);

#endif
