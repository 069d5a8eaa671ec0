/** @file
 *  When refused clients should return.
 *
 *  Answers the load that follows a refusal.  If many clients are refused while
 *  capacity is missing until a known moment, and all are told that moment,
 *  they return together and most are refused again.  So each is given a moment
 *  of its own: the first one refused returns first, as soon as there is
 *  capacity, and the others follow at the rate at which they can be served.
 *
 *      bbm_returns returns = {0};
 *      bbm_time at = bbm_returns_schedule(&returns, ready_at, spacing, now);
 *      ... Retry-After: at - now ...
 *
 *  Pure: the caller passes in the time.
 */
#ifndef BBM_RETURNS_H
#define BBM_RETURNS_H

#include "bbm_time.h"

/** Schedule of returns; all zero at the start. */
typedef struct bbm_returns {
    bbm_time next; /**< Earliest moment that is given to the next client. */
} bbm_returns;

/** Give a client its moment of return.
 *  @param ready_at When there is capacity again.
 *  @param spacing  Time that serving one client takes of that capacity.
 *  @param now      Current time; an earlier @p ready_at counts as now. */
static inline bbm_time
bbm_returns_schedule(bbm_returns *returns, bbm_time ready_at, bbm_time spacing,
                     bbm_time now)
{
    bbm_time at = ready_at > now ? ready_at : now;
    if (returns->next > at)
        at = returns->next;
    returns->next = at + spacing;
    return at;
}

#endif
