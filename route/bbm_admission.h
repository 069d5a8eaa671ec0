/** @file
 *  Fair queue of the requests for a model's runners.
 *
 *  Start-time fair queuing by tokens: a customer's requests get start tags
 *  that advance by the requested tokens divided by the customer's weight, and
 *  the lowest tag is served first.  A customer that sends ten times as much
 *  advances only its own tags.  Priorities are strict: a more urgent request
 *  is served before all less urgent ones.
 *
 *      bbm_admission *q = bbm_admission_create(false);
 *      double ahead = bbm_admission_tokens_ahead(q, &ticket);
 *      bbm_admission_push(q, &ticket);
 *      while (bbm_admission_at(q, 0, &ticket) && ... a slot is free ...)
 *          bbm_admission_remove(q, ticket.request, true);
 *      while (bbm_admission_next_expired(q, now, &ticket)) ... refuse ...
 *
 *  Source: start-time fair queuing by Goyal, Vin and Cheng.
 */
#ifndef BBM_ADMISSION_H
#define BBM_ADMISSION_H

#include "bbm_mem.h"
#include "bbm_time.h"

/** A queued request. */
typedef struct bbm_ticket {
    uint64_t request;             /**< Identifies the request; unique. */
    char customer[BBM_NAME_SIZE]; /**< Customer; "" on open routes. */
    double weight;                /**< Customer's weight; 0 counts as 1. */
    double tokens;                /**< Cost of the request, tokens. */
    uint32_t priority;            /**< 0 is the most urgent. */
    bbm_time deadline;            /**< From then on it is expired. */
} bbm_ticket;

/** The queue; opaque. */
typedef struct bbm_admission bbm_admission;

/** Create an empty queue.  @p in_order disables fairness within a priority,
 *  for benches. */
bbm_admission *bbm_admission_create(bool in_order);
/** Free a queue; NULL is allowed. */
void bbm_admission_destroy(bbm_admission *q);
/** Tokens of the queued requests that would be served before @p t, which is
 *  not queued itself. */
double bbm_admission_tokens_ahead(const bbm_admission *q, const bbm_ticket *t);
/** Queue a copy of a ticket. */
void bbm_admission_push(bbm_admission *q, const bbm_ticket *t);
/** Advance the tags for a request that started without being queued. */
void bbm_admission_record_start(bbm_admission *q, const bbm_ticket *t);
/** The i-th ticket in the order of service; false past the end. */
bool bbm_admission_at(const bbm_admission *q, size_t i, bbm_ticket *t);
/** Remove a ticket, because its request has @p started or was abandoned;
 *  false if it is not queued. */
bool bbm_admission_remove(bbm_admission *q, uint64_t request, bool started);
/** Move the first ticket whose deadline has passed into @p t; false if there
 *  is none. */
bool bbm_admission_next_expired(bbm_admission *q, bbm_time now, bbm_ticket *t);
/** Number of queued tickets. */
size_t bbm_admission_len(const bbm_admission *q);
/** Sum of the queued tickets' tokens. */
double bbm_admission_tokens(const bbm_admission *q);

#endif
