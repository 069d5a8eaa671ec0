/** @file
 *  The owner's books, shared by its sources (private).
 */
#ifndef RATE_OWNER_H
#define RATE_OWNER_H

#include "rate_message.h"

#include <sys/queue.h>
#include <uthash.h>

/** Echo of a holder that is known from the books alone. */
#define RATE_NEVER_HEARD INT64_MIN

/** A holder's part of a customer's bucket, as the owner counts it. */
typedef struct rate_holding {
    char node[BBM_NAME_SIZE];
    uint64_t run;
    uint64_t life;   /* unique under this owner */
    uint64_t seq;    /* last grant sent */
    uint64_t taken;  /* last grant confirmed */
    double capacity; /* most that it may hold */
    double rate;     /* most that it may refill by */
    double returned; /* running total, as last told */
    bool returned_known;
    double level; /* as last told */
    double demand;
    double want;
    double added;  /* given in this life, in all */
    double asked;  /* asked back in this life, in all */
    bbm_time sent; /* when the last grant was */
    UT_hash_handle hh;
} rate_holding;

/** A customer's bucket. */
typedef struct rate_account {
    char customer[BBM_NAME_SIZE];
    double rate;
    double burst;
    double level; /* of the pool */
    bool changed; /* since the books were asked for */
    bbm_time at;
    rate_holding *holdings;
    UT_hash_handle hh;
} rate_account;

/** What of a bucket is in nobody's part. */
typedef struct rate_pool {
    double capacity; /* tokens */
    double rate;     /* tokens per second */
    double demand;   /* of all holders, tokens per second */
} rate_pool;

/** A VM that reports. */
typedef struct rate_holder_row {
    char node[BBM_NAME_SIZE];
    uint64_t run;
    bbm_time heard;
    bbm_time echo;
    UT_hash_handle hh;
} rate_holder_row;

/** A grant to be taken. */
typedef struct rate_queued_grant {
    bbm_rate_grant grant;
    TAILQ_ENTRY(rate_queued_grant) link;
} rate_queued_grant;

/** The owner. */
struct bbm_rate_owner {
    bbm_rate_desc desc;
    rate_account *accounts;
    rate_holder_row *holders;
    uint64_t lives;
    TAILQ_HEAD(, rate_queued_grant) grants;
};

/** Capacity and rate that no holder has, and the demand on them. */
rate_pool rate_pool_of(const rate_account *a);
/** Bring a pool's level to the present. */
void rate_refresh(rate_account *a, bbm_time now);
/** A VM by name; made, of run 0, if there is none. */
rate_holder_row *rate_holder_of(bbm_rate_owner *o, const char *node);
/** A holder's part; made if there is none. */
rate_holding *rate_holding_of(bbm_rate_owner *o, rate_account *a,
                              const rate_report *r);
/** What a part should be from now on; false if it stays as it is. */
bool rate_make_deal(rate_account *a, rate_holding *h, rate_grant_row *row);
/** Queue a grant; also one without rows, which renews the lease. */
void rate_send_grant(bbm_rate_owner *o, const char *node, rate_grant_row *rows,
                     size_t len);
/** True if some holder is short. */
bool rate_is_wanted(const rate_account *a);
/** Serve who is short, from the pool and from the richest. */
void rate_serve_waiting(bbm_rate_owner *o, rate_account *a);

#endif
