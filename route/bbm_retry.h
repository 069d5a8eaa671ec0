/** @file
 *  A budget for retries: a share of the fresh requests.
 *
 *      bbm_retry_budget b = bbm_retry_budget_of(0.1, 10);
 *      bbm_retry_record_request(&b);            each fresh request
 *      if (bbm_retry_acquire(&b)) ...     may try again
 */
#ifndef BBM_RETRY_H
#define BBM_RETRY_H

#include <stdbool.h>

/** A budget. */
typedef struct bbm_retry_budget {
    double retries_per_request; /**< Retries for each fresh request. */
    double retries_max;         /**< Retries that can be saved up. */
    double available;           /**< Retries that may be made now. */
} bbm_retry_budget;

/** A full budget. */
bbm_retry_budget bbm_retry_budget_of(double share, double most);
/** A fresh request was made. */
void bbm_retry_record_request(bbm_retry_budget *b);
/** True if a retry may be made; it is taken. */
bool bbm_retry_acquire(bbm_retry_budget *b);

#endif
