/** @file
 *  Enforces a customer's token rate and burst over all VMs together.
 *
 *  Every VM that serves a customer holds an allocation of the customer's
 *  token bucket: a capacity, a refill rate and a level.  One VM, the owner,
 *  distributes the allocations.  The sum of their capacities never exceeds
 *  the burst, and the sum of their rates never exceeds the rate.  Over any
 *  window of length d all VMs together therefore run at most
 *  burst + rate * d tokens, however each uses its allocation.  While the
 *  allocation suffices, a request needs no message to another VM.
 *
 *  Holder, on every VM:
 *
 *      bbm_rate_holder *h = bbm_rate_holder_create(&desc);
 *      switch (bbm_rate_reserve(h, "jardin", 900, false, now)) {
 *      case BBM_RATE_RESERVED: ... start the request ...
 *      case BBM_RATE_INSUFFICIENT: ... send bbm_rate_report to the owner ...
 *      }
 *      bbm_rate_consume(h, "jardin", 800, now); tokens that ran
 *      bbm_rate_release(h, "jardin", 100, now); tokens that will not run
 *
 *  Owner, on the leader of the control VMs:
 *
 *      bbm_rate_owner *o = bbm_rate_owner_create(&desc);
 *      bbm_rate_owner_set_customer(o, "jardin", rate, burst, now);
 *      bbm_rate_owner_apply_report(o, bytes, len, now);
 *      while (bbm_rate_owner_next_grant(o, &grant)) ... send the grant ...
 *
 *  The bound rests on these rules:
 *
 *  - Tokens reserved for a request count against the holder's capacity until
 *    they have run, so a bucket cannot refill while a long answer still runs.
 *  - An allocation grows only from what the owner has not allocated, and that
 *    grows only by what a holder has confirmed to have given up.
 *  - Grants are numbered.  A lost grant loses tokens; a duplicated or late
 *    one is ignored.  A holder reports returned tokens as a running total.
 *  - A holder stops when its lease ends by its own clock.  The owner reclaims
 *    the allocation only after `reclaim_after`, which exceeds the lease by
 *    the clock drift, the longest freeze and the time to abort streams.
 *  - The owner's ledger is part of the replicated state.  A grant is sent
 *    only after the ledger that covers it has been committed.  A new owner
 *    continues from that ledger; a customer without a ledger has never been
 *    granted anything.
 */
#ifndef BBM_RATE_H
#define BBM_RATE_H

#include "bbm_pack.h"
#include "bbm_time.h"

/** Parameters of a holder or owner.  The lease and `reclaim_after` must be
 *  the same on all VMs. */
typedef struct bbm_rate_desc {
    char node[BBM_NAME_SIZE]; /**< Name of this VM. */
    uint64_t run;             /**< Holder: run of its process, higher than in
                                   earlier runs of the VM. */
    uint64_t epoch;           /**< Owner: its term, higher than those of
                                   earlier owners. */
    bbm_time lease;           /**< Holder: time for which its allocations are
                                   valid after a report that the owner
                                   answered; 0: 5 s. */
    bbm_time reclaim_after;   /**< Owner: silence after which it reclaims
                                   allocations; 0: 15 s. */
    bool unsafe_no_reserve;   /**< Tests only: don't count reserved tokens
                                   against the capacity. */
} bbm_rate_desc;

/** Result of a reservation. */
typedef enum bbm_rate_verdict {
    BBM_RATE_RESERVED,     /**< The tokens are reserved. */
    BBM_RATE_INSUFFICIENT, /**< Too few tokens: report to the owner. */
} bbm_rate_verdict;

/** A share of a customer's token bucket. */
typedef struct bbm_rate_allocation {
    double capacity; /**< Tokens. */
    double rate;     /**< Refill, tokens per second. */
    double level;    /**< Tokens that can be reserved now. */
    double reserved; /**< Reserved tokens that have not run yet. */
} bbm_rate_allocation;

/** All customers' allocations of one VM; opaque. */
typedef struct bbm_rate_holder bbm_rate_holder;
/** All customers' allocations of all VMs, as counted by the owner; opaque. */
typedef struct bbm_rate_owner bbm_rate_owner;

/** Create a holder without allocations. */
bbm_rate_holder *bbm_rate_holder_create(const bbm_rate_desc *desc);
/** Free a holder; NULL is allowed. */
void bbm_rate_holder_destroy(bbm_rate_holder *h);

/** Reserve tokens for a request.  Pass @p is_retry for a request that was
 *  refused before, so that its demand is counted once. */
bbm_rate_verdict bbm_rate_reserve(bbm_rate_holder *h, const char *customer,
                                  double tokens, bool is_retry, bbm_time now);
/** Record that reserved tokens have run.  Tokens beyond the reservation lower
 *  the level, below zero if necessary. */
void bbm_rate_consume(bbm_rate_holder *h, const char *customer, double tokens,
                      bbm_time now);
/** Return reserved tokens that will not run. */
void bbm_rate_release(bbm_rate_holder *h, const char *customer, double tokens,
                      bbm_time now);
/** Stop requesting further tokens from the owner for a customer, after a
 *  request was refused or abandoned.  Requests that still wait request them
 *  again with their next bbm_rate_reserve. */
void bbm_rate_clear_shortfall(bbm_rate_holder *h, const char *customer);
/** This VM's allocation of a customer; all zero if it has none. */
bbm_rate_allocation bbm_rate_allocation_of(bbm_rate_holder *h,
                                           const char *customer, bbm_time now);

/** True if the report period has passed, or if a request lacks tokens or an
 *  allocation was reduced and the shortest interval has passed. */
bool bbm_rate_report_due(const bbm_rate_holder *h, bbm_time now);
/** Append a report for the owner of @p epoch to @p buf. */
void bbm_rate_report(bbm_rate_holder *h, uint64_t epoch, bbm_time now,
                     bbm_buf *buf);
/** Apply a grant from the owner.  @p changed receives the number of
 *  allocations in it, or 0 if it is stale.  BBM_ERR_DECODE. */
int bbm_rate_apply_grant(bbm_rate_holder *h, const uint8_t *data, size_t len,
                         bbm_time now, size_t *changed);
/** True if a grant since the last report reduced an allocation; the owner can
 *  reuse it only after the next report. */
bool bbm_rate_was_reduced(const bbm_rate_holder *h);

/** A message from the owner to a holder. */
typedef struct bbm_rate_grant {
    char node[BBM_NAME_SIZE]; /**< Receiving VM. */
    bool changes_ledger;      /**< Send only after the ledger is committed. */
    bbm_buf bytes;            /**< Encoded; whoever receives the struct frees
                                   it. */
} bbm_rate_grant;

/** Create an owner without customers. */
bbm_rate_owner *bbm_rate_owner_create(const bbm_rate_desc *desc);
/** Free an owner; NULL is allowed. */
void bbm_rate_owner_destroy(bbm_rate_owner *o);

/** Set a customer's rate, in tokens per second, and burst, in tokens.  The
 *  bucket of a new customer is full. */
void bbm_rate_owner_set_customer(bbm_rate_owner *o, const char *customer,
                                 double rate, double burst, bbm_time now);
/** Apply a holder's report and queue the grants that follow from it.  Stale
 *  reports are ignored.  BBM_ERR_DECODE. */
int bbm_rate_owner_apply_report(bbm_rate_owner *o, const uint8_t *data,
                                size_t len, bbm_time now);
/** Append to @p buf the ledger of one customer whose ledger has changed since
 *  it was last returned, and write the name to @p customer; false if there is
 *  none. */
bool bbm_rate_owner_next_ledger(bbm_rate_owner *o,
                                char customer[BBM_NAME_SIZE], bbm_buf *buf);
/** Continue from a customer's ledger of an earlier owner; ignored unless
 *  bbm_rate_owner_set_customer was called for it.  BBM_ERR_DECODE. */
int bbm_rate_owner_restore(bbm_rate_owner *o, const char *customer,
                           const uint8_t *data, size_t len, bbm_time now);
/** Reclaim the allocations of holders that have not reported for
 *  `reclaim_after`. */
void bbm_rate_owner_tick(bbm_rate_owner *o, bbm_time now);
/** Move the next queued grant into @p grant; false if there is none. */
bool bbm_rate_owner_next_grant(bbm_rate_owner *o, bbm_rate_grant *grant);
/** What no holder has of a customer's bucket; `reserved` is 0.  All zero for
 * an unknown customer. */
bbm_rate_allocation bbm_rate_owner_unallocated(const bbm_rate_owner *o,
                                               const char *customer);

#endif
