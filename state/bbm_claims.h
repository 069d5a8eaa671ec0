/** @file
 *  Idempotency claims: a request that may not be repeated runs at most once.
 *
 *  A claim is agreed by the control VMs before the first byte of the request
 *  goes to an upstream.  It is scoped by customer.  A repeat with the same
 *  key gets the kept answer, "still running" or "outcome unknown"; another
 *  body under the same key is refused.
 *
 *      bbm_claims *claims = bbm_claims_create(&(bbm_claims_desc){0});
 *      bbm_claims_apply(claims, &command, &outcome);
 *
 *  Claims are kept for keep_ms after they were made, counted by the calendar
 *  times in the commands, never by a clock.  When a customer's claims are at
 *  their limit, new ones are refused; none is dropped early.
 */
#ifndef BBM_CLAIMS_H
#define BBM_CLAIMS_H

#include "bbm_command.h"

/** How to keep claims. */
typedef struct bbm_claims_desc {
    int64_t retention_ms; /**< Time of keeping, milliseconds; 0: 24 hours. */
    size_t claims_per_customer_max; /**< Claims of one customer; 0: 20,000. */
    size_t answer_bytes_max; /**< Bytes of kept answers in all; 0: 32 MiB. */
} bbm_claims_desc;

/** The claims; opaque. */
typedef struct bbm_claims bbm_claims;

/** No claims yet. */
bbm_claims *bbm_claims_create(const bbm_claims_desc *desc);
/** Release; NULL is allowed. */
void bbm_claims_destroy(bbm_claims *claims);
/** Apply BBM_CMD_CLAIM, BBM_CMD_CLAIM_END or BBM_CMD_RUN_ENDED. */
void bbm_claims_apply(bbm_claims *claims, const bbm_command *cmd,
                      bbm_outcome *out);
/** Claims that are kept. */
size_t bbm_claims_count(const bbm_claims *claims);
/** Is told of a running claim's VM and run; returns false to end. */
typedef bool bbm_claims_fn(void *context, const char *node, uint64_t run);
/** Tell of every running claim. */
void bbm_claims_each_running(const bbm_claims *claims, bbm_claims_fn *fn,
                             void *context);
/** Append all claims. */
void bbm_claims_encode(const bbm_claims *claims, bbm_buf *buf);
/** Replace all claims.  On an error they are unchanged. */
int bbm_claims_decode(bbm_claims *claims, bbm_reader *rd);

#endif
