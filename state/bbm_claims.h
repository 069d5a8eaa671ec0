/** @file
 *  Idempotency claims: a request that isn't safe to repeat runs at most once.
 *
 *  A claim is committed by the control VMs before the first byte of the
 *  request is sent to an upstream.  Keys are scoped by customer.  A repeated
 *  request with the same key gets the stored answer, "still running" or
 *  "outcome unknown"; the same key with a different body is refused.
 *
 *      bbm_claims *claims = bbm_claims_create(&(bbm_claims_desc){0});
 *      bbm_claims_apply(claims, &command, &outcome);
 *
 *  A claim expires retention_ms after its creation.  Its age is measured by
 *  the calendar times in the commands, never by a clock, so that it expires
 *  at the same command on every VM.  If a customer has reached the maximum
 *  number of claims, new ones are refused; none expires early.
 */
#ifndef BBM_CLAIMS_H
#define BBM_CLAIMS_H

#include "bbm_command.h"

/** Limits of claims. */
typedef struct bbm_claims_desc {
    int64_t retention_ms;           /**< 0 means 24 hours. */
    size_t claims_per_customer_max; /**< 0 means 20,000. */
    size_t answer_bytes_max;        /**< Total size of all stored answers; 0
                                         means 32 MiB.  An answer beyond it
                                         isn't stored: repeated requests get
                                         "outcome unknown". */
} bbm_claims_desc;

/** All claims; opaque. */
typedef struct bbm_claims bbm_claims;

/** Create an empty set of claims. */
bbm_claims *bbm_claims_create(const bbm_claims_desc *desc);
/** Free the claims; NULL is allowed. */
void bbm_claims_destroy(bbm_claims *claims);
/** Apply BBM_CMD_CLAIM, BBM_CMD_CLAIM_END or BBM_CMD_RUN_ENDED.  A claim
 *  gives BBM_OK to the request that may run; any other gets the stored answer,
 *  BBM_ERR_IDEM_RUNNING, BBM_ERR_IDEM_UNKNOWN, BBM_ERR_IDEM_REUSED (different
 *  body) or BBM_ERR_IDEM_FULL (limit of the customer). */
void bbm_claims_apply(bbm_claims *claims, const bbm_command *cmd,
                      bbm_outcome *out);
/** Number of stored claims, running or ended.  Expired ones are removed when
 *  the next command is applied. */
size_t bbm_claims_count(const bbm_claims *claims);
/** Receives the VM of a running claim and that VM's run; returns false to
 *  stop the iteration. */
typedef bool bbm_claims_fn(void *context, const char *node, uint64_t run);
/** Call @p fn for each running claim, oldest first. */
void bbm_claims_each_running(const bbm_claims *claims, bbm_claims_fn *fn,
                             void *context);
/** Append the encoded claims. */
void bbm_claims_encode(const bbm_claims *claims, bbm_buf *buf);
/** Replace all claims by decoded ones.  BBM_ERR_DECODE leaves them
 *  unchanged. */
int bbm_claims_decode(bbm_claims *claims, bbm_reader *rd);

#endif
