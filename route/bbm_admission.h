/** @file
 *  The queue before a model's runners, fair between customers.
 *
 *  Start-time fair queuing by tokens: a customer's requests get start tags
 *  that advance with the tokens that it asks for, over its weight, and the
 *  lowest tag goes first.  A customer that sends ten times as much moves its
 *  own tags only.  A more urgent priority goes before a less urgent one.
 *
 *      bbm_admission *q = bbm_admission_create();
 *      double ahead = bbm_admission_tokens_ahead(q, &ticket);   tokens before
 * it bbm_admission_push(q, &ticket); while (bbm_admission_at(q, 0, &ticket) &&
 * ... room ...) bbm_admission_remove(q, ticket.request); while
 * (bbm_admission_next_expired(q, now, &ticket)) ...   refuse these
 *
 *  Source: start-time fair queuing by Goyal, Vin and Cheng.
 */
#ifndef BBM_ADMISSION_H
#define BBM_ADMISSION_H

#include "bbm_mem.h"
#include "bbm_time.h"

/** A request that waits. */
typedef struct bbm_ticket {
    uint64_t request;             /**< Its number. */
    char customer[BBM_NAME_SIZE]; /**< Whose, or "" on open routes. */
    double weight;                /**< The customer's. */
    double tokens;                /**< What it costs. */
    uint32_t priority;            /**< 0 is the most urgent. */
    bbm_time deadline;            /**< Must have started by then. */
} bbm_ticket;

/** The queue; opaque. */
typedef struct bbm_admission bbm_admission;

/** An empty queue; @p in_order switches fairness off, for benches. */
bbm_admission *bbm_admission_create(bool in_order);
/** Release; NULL is allowed. */
void bbm_admission_destroy(bbm_admission *q);
/** Tokens that would go before a ticket. */
double bbm_admission_tokens_ahead(const bbm_admission *q, const bbm_ticket *t);
/** Queue a ticket. */
void bbm_admission_push(bbm_admission *q, const bbm_ticket *t);
/** Count a request that started without waiting, so that tags advance. */
void bbm_admission_record_start(bbm_admission *q, const bbm_ticket *t);
/** The i-th ticket in the order in which they go; false past the end. */
bool bbm_admission_at(const bbm_admission *q, size_t i, bbm_ticket *t);
/** Take a ticket out, as started or as given up. */
bool bbm_admission_remove(bbm_admission *q, uint64_t request, bool started);
/** A ticket whose deadline has passed; it is taken out. */
bool bbm_admission_next_expired(bbm_admission *q, bbm_time now, bbm_ticket *t);
/** Tickets in the queue. */
size_t bbm_admission_len(const bbm_admission *q);
/** Tokens in the queue. */
double bbm_admission_tokens(const bbm_admission *q);

#endif
