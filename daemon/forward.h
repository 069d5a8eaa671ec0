/** @file
 *  The thread that passes requests on to pools' upstreams, and their answers
 *  back, as they came.
 *
 *  Nothing is sent twice but by the gate's word: where a request may run once
 *  only, the library's own resend on a connection that has died is stopped.
 *  Bytes go into the exchange's buffer; when that is full the transfer is
 *  paused.  Of a stream that may go on elsewhere only whole events are passed
 *  on.
 *
 *      forward *f = forward_create(box);
 *      forward_start(f, ex, &send, "");
 *      forward_cancel(f, request);
 */
#ifndef FORWARD_H
#define FORWARD_H

#include "exchange.h"
#include "mailbox.h"

/** The thread; opaque. */
typedef struct forward forward;

/** Start the thread. */
forward *forward_create(mailbox *control);
/** Make an attempt; one of the same request that is under way is dropped.
 *  @p last_event is where a stream goes on, or "". */
void forward_start(forward *f, exchange *ex, const bbm_forward_request *send,
                   const char *last_event);
/** Stop a request, if it is under way. */
void forward_cancel(forward *f, uint64_t request);
/** End the thread; what is under way fails. */
void forward_stop(forward *f);
/** Release; after forward_stop and after the fronts. */
void forward_destroy(forward *f);

#endif
