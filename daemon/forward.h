/** @file
 *  The thread that forwards requests to upstreams of pools and passes their
 *  answers back unchanged.
 *
 *  Only the gate decides whether a request is retried.  If it must not run
 *  twice, libcurl's own resend after a dead connection is prevented.  Answer
 *  bytes go into the exchange's buffer; while that is full the transfer is
 *  paused.  If another upstream can resume a stream, only complete events
 *  are passed on.  A request may also go to another VM, which forwards it as a
 *  client's: its answer is passed on whatever it is.
 *
 *      forward *f = forward_create(box, secret);
 *      forward_start(f, ex, &send, "");
 *      forward_cancel(f, request);
 */
#ifndef FORWARD_H
#define FORWARD_H

#include "exchange.h"
#include "mailbox.h"

/** The forwarding thread; opaque. */
typedef struct forward forward;

/** Start the thread; it reports to the mailbox @p control.  @p secret has
 *  BBM_DIGEST_SIZE bytes, outlives the thread, and authenticates the requests
 *  that other VMs are to forward. */
forward *forward_create(mailbox *control, const uint8_t *secret);
/** Start an attempt; takes its own reference to @p ex.  An attempt of the same
 *  request that is still open is aborted.  If the answer of an attempt after
 *  send->ended_attempt has begun, whether it goes on or has ended, nothing is
 *  sent: its head and its result are reported as the new attempt's.
 *  @p last_event is the id of the
 *  event after which a stream resumes; "": from the beginning. */
void forward_start(forward *f, exchange *ex, const bbm_forward_request *send,
                   const char *last_event);
/** Abort the request's open attempt, if there is one; nothing is reported. */
void forward_cancel(forward *f, uint64_t request);
/** End the thread; requests with an open attempt fail with
 *  BBM_ERR_UPSTREAM_CUT.  NULL is allowed. */
void forward_stop(forward *f);
/** Release; only after forward_stop() and once all fronts are destroyed, as
 *  their threads may still call exchange.on_drained.  NULL is allowed. */
void forward_destroy(forward *f);

#endif
