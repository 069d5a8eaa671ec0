/** @file
 *  The owner's ledger, shared by the sources of the owner (private).
 */
#ifndef RATE_OWNER_H
#define RATE_OWNER_H

#include "rate_message.h"

#include <sys/queue.h>
#include <uthash.h>

/** Clock of a holder that is in a restored ledger but has not reported to
 *  this owner. */
#define RATE_CLOCK_UNKNOWN INT64_MIN

/** One holder's allocation of a customer's bucket, as the owner counts it. */
typedef struct rate_holding {
    char node[BBM_NAME_SIZE];
    uint64_t run;        /* of the holder */
    uint64_t generation; /* new for each holding; higher under later owners */
    uint64_t seq;        /* of the last grant sent; 0: none */
    uint64_t confirmed_seq; /* last grant that a report confirmed; 0: none */
    double capacity;        /* upper bound of what the holder has, tokens */
    double rate;            /* upper bound, tokens per second */
    double returned_total;  /* as last reported, tokens */
    bool returned_known;    /* returned_total has been reported */
    double level;     /* tokens, as last reported, changed by later grants */
    double demand;    /* as last reported, tokens per second */
    double shortfall; /* tokens, as last reported less later grants */
    double granted_total;  /* in this generation, tokens */
    double recalled_total; /* in this generation, tokens */
    bbm_time sent_at;      /* of the last grant */
    UT_hash_handle hh;
} rate_holding;

/** A customer's bucket. */
typedef struct rate_account {
    char customer[BBM_NAME_SIZE];
    double rate;         /* tokens per second, over all VMs */
    double burst;        /* tokens, over all VMs */
    double level;        /* unallocated tokens */
    bool ledger_changed; /* since bbm_rate_owner_next_ledger returned it */
    bbm_time updated_at; /* moment for which the level holds */
    rate_holding *holdings;
    UT_hash_handle hh;
} rate_account;

/** What no holder has of a bucket, and the demand on the whole bucket. */
typedef struct rate_unallocated {
    double capacity; /* tokens */
    double rate;     /* tokens per second */
    double demand;   /* of all holders, tokens per second */
} rate_unallocated;

/** A VM that reports. */
typedef struct rate_holder_row {
    char node[BBM_NAME_SIZE];
    uint64_t run;            /* 0: no report yet */
    bbm_time last_report_at; /* or restored at, by the owner's clock */
    bbm_time holder_clock;   /* `sent_at` of its last report, or
                                RATE_CLOCK_UNKNOWN */
    UT_hash_handle hh;
} rate_holder_row;

/** A grant that waits for bbm_rate_owner_next_grant. */
typedef struct rate_queued_grant {
    bbm_rate_grant grant;
    TAILQ_ENTRY(rate_queued_grant) link;
} rate_queued_grant;

/** The owner. */
struct bbm_rate_owner {
    bbm_rate_desc desc;
    rate_account *accounts;   /* by customer */
    rate_holder_row *holders; /* by node */
    uint64_t last_generation;
    TAILQ_HEAD(, rate_queued_grant) grants;
};

/** Compute what no holder has of a bucket, and the demand on it. */
rate_unallocated rate_unallocated_of(const rate_account *a);
/** Refill the unallocated tokens up to @p now. */
void rate_refresh(rate_account *a, bbm_time now);
/** The row of a VM; created with run 0 if there is none. */
rate_holder_row *rate_holder_of(bbm_rate_owner *o, const char *node);
/** The holding of the VM that sent @p r; created, with the next generation,
 *  if there is none. */
rate_holding *rate_holding_of(bbm_rate_owner *o, rate_account *a,
                              const rate_report *r);
/** Recompute a holding and fill @p row with the grant; false if it does not
 *  change, or an earlier grant is in flight. */
bool rate_update_holding(rate_account *a, rate_holding *h,
                         rate_grant_row *row);
/** Queue a grant.  One without rows (@p len 0) only renews the lease.  Not
 *  queued for a VM that has not reported to this owner. */
void rate_queue_grant(bbm_rate_owner *o, const char *node,
                      rate_grant_row *rows, size_t len);
/** True if some holder has a shortfall. */
bool rate_has_shortfall(const rate_account *a);
/** Grant tokens to the holders with a shortfall: unallocated tokens first,
 *  then tokens recalled from the holders with the highest levels. */
void rate_cover_shortfalls(bbm_rate_owner *o, rate_account *a);

#endif
