/** @file
 *  A customer's rate and burst over all VMs together.
 *
 *  Every VM that serves a customer is a holder of a part of the customer's
 *  token bucket: a capacity, a rate at which it refills, and a level.  One
 *  VM, the owner, deals out the parts.  The sum of the capacities never
 *  passes the burst and the sum of the rates never the rate, so that over any
 *  window of length d all VMs together run at most burst + rate * d tokens,
 *  whatever each does with its part and without a message on the way of a
 *  request.
 *
 *  Holder, on every VM:
 *
 *      bbm_rate_holder *h = bbm_rate_holder_create(&desc);
 *      switch (bbm_rate_reserve(h, "jardin", 900, false, now)) {
 *      case BBM_RATE_RESERVED: ... start the request ...
 *      case BBM_RATE_INSUFFICIENT: ... ask the owner: bbm_rate_report ...
 *      }
 *      bbm_rate_consume(h, "jardin", 800, now);     tokens ran
 *      bbm_rate_release(h, "jardin", 100, now); tokens that won't run
 *
 *  Owner, on the leader of the control VMs:
 *
 *      bbm_rate_owner *o = bbm_rate_owner_create(&desc);
 *      bbm_rate_owner_set_customer(o, "jardin", rate, burst, now);
 *      bbm_rate_owner_apply_report(o, bytes, len, now);    a report came in
 *      while (bbm_rate_owner_next_grant(o, &grant)) ...    grants to send
 *
 *  What makes the bound hold:
 *
 *  - Tokens taken for a request count against the holder's capacity until
 *    they have run, so a bucket can't refill behind a long answer.
 *  - A part grows only out of the owner's pool, and the pool grows only by
 *    what a holder has confirmed that it gave up.
 *  - Grants are numbered; a lost one loses tokens, a doubled or late one is
 *    passed over.  What a holder gave back is told as a running total.
 *  - A holder stops by its own clock when its lease ends; the owner takes the
 *    part back only after `reclaim`, which is longer by the drift of clocks,
 *    the longest freeze and the time to cut streams.
 *  - The owner's books are kept in the replicated state: a grant goes out
 *    only after the books that allow for it are agreed.  A new owner goes on
 *    from them; nothing was ever granted to a customer without books.
 */
#ifndef BBM_RATE_H
#define BBM_RATE_H

#include "bbm_pack.h"
#include "bbm_time.h"

/** Shared by holders and owner; all VMs must agree. */
typedef struct bbm_rate_desc {
    char node[BBM_NAME_SIZE]; /**< This VM. */
    uint64_t run;             /**< This run of it. */
    uint64_t epoch;           /**< Owner: its term. */
    bbm_time lease;           /**< A holder's lease; 0: 5 s. */
    bbm_time reclaim_after;   /**< Owner's patience; 0: 15 s. */
    bool unsafe_no_reserve;   /**< Tests only: forget what has not run. */
} bbm_rate_desc;

/** Answer of a holder. */
typedef enum bbm_rate_verdict {
    BBM_RATE_RESERVED,     /**< The tokens are taken. */
    BBM_RATE_INSUFFICIENT, /**< Not enough here: report to the owner. */
} bbm_rate_verdict;

/** A customer's part as a holder sees it. */
typedef struct bbm_rate_allocation {
    double capacity; /**< Tokens. */
    double rate;     /**< Tokens per second. */
    double level;    /**< Tokens that may be taken now. */
    double reserved; /**< Tokens taken that have not run. */
} bbm_rate_allocation;

/** A holder; opaque. */
typedef struct bbm_rate_holder bbm_rate_holder;
/** An owner; opaque. */
typedef struct bbm_rate_owner bbm_rate_owner;

/** A holder without any part. */
bbm_rate_holder *bbm_rate_holder_create(const bbm_rate_desc *desc);
/** Release; NULL is allowed. */
void bbm_rate_holder_destroy(bbm_rate_holder *h);

/** Take tokens for a request; @p again if it was short before. */
bbm_rate_verdict bbm_rate_reserve(bbm_rate_holder *h, const char *customer,
                                  double tokens, bool again, bbm_time now);
/** So many of the tokens taken have run; more than were taken lower the
 *  level, below zero if need be. */
void bbm_rate_consume(bbm_rate_holder *h, const char *customer, double tokens,
                      bbm_time now);
/** So many of the tokens taken will not run. */
void bbm_rate_release(bbm_rate_holder *h, const char *customer, double tokens,
                      bbm_time now);
/** The request that was short has been given up or served. */
void bbm_rate_clear_shortfall(bbm_rate_holder *h, const char *customer);
/** Present part of a customer. */
bbm_rate_allocation bbm_rate_allocation_of(bbm_rate_holder *h,
                                           const char *customer, bbm_time now);

/** True if a report is due: a period has passed, or something is short. */
bool bbm_rate_report_due(const bbm_rate_holder *h, bbm_time now);
/** Append a report for the owner of an epoch. */
void bbm_rate_report(bbm_rate_holder *h, uint64_t epoch, bbm_time now,
                     bbm_buf *buf);
/** A grant came in.  *customers receives how many parts changed. */
int bbm_rate_apply_grant(bbm_rate_holder *h, const uint8_t *data, size_t len,
                         bbm_time now, size_t *changed);
/** True if the last grant took something away: report soon. */
bool bbm_rate_was_reduced(const bbm_rate_holder *h);

/** A message from the owner to a holder. */
typedef struct bbm_rate_grant {
    char node[BBM_NAME_SIZE]; /**< The holder. */
    bool changes_ledger;      /**< Not before the books are agreed. */
    bbm_buf bytes;            /**< Message; the taker frees it. */
} bbm_rate_grant;

/** An owner without customers. */
bbm_rate_owner *bbm_rate_owner_create(const bbm_rate_desc *desc);
/** Release; NULL is allowed. */
void bbm_rate_owner_destroy(bbm_rate_owner *o);

/** A customer's rate and burst; its pool starts full. */
void bbm_rate_owner_set_customer(bbm_rate_owner *o, const char *customer,
                                 double rate, double burst, bbm_time now);
/** A report came in. */
int bbm_rate_owner_apply_report(bbm_rate_owner *o, const uint8_t *data,
                                size_t len, bbm_time now);
/** Append the books of a customer that changed since they were last asked
 *  for, and its name to @p customer; false if there is none. */
bool bbm_rate_owner_next_ledger(bbm_rate_owner *o,
                                char customer[BBM_NAME_SIZE], bbm_buf *buf);
/** Go on from the books of an earlier owner.  BBM_ERR_DECODE. */
int bbm_rate_owner_restore(bbm_rate_owner *o, const char *customer,
                           const uint8_t *data, size_t len, bbm_time now);
/** Time has passed. */
void bbm_rate_owner_tick(bbm_rate_owner *o, bbm_time now);
/** Move the next grant into @p grant; false if there is none. */
bool bbm_rate_owner_next_grant(bbm_rate_owner *o, bbm_rate_grant *grant);
/** What the owner has left of a customer: capacity, rate, level. */
bbm_rate_allocation bbm_rate_owner_unallocated(const bbm_rate_owner *o,
                                               const char *customer);

#endif
