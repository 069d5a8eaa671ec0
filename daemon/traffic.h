/** @file
 *  A traffic thread: sends requests to upstreams and passes their answers on.
 *
 *  Each thread has its own upstream connections.  Answer bytes go into the
 *  exchange's buffer; while that is full the transfer is paused.  A request
 *  that must not be repeated goes out on a new connection that is closed
 *  afterwards, so that libcurl can't resend it by itself.
 */
#ifndef TRAFFIC_H
#define TRAFFIC_H

#include "exchange.h"
#include "mailbox.h"

/** A traffic thread; opaque. */
typedef struct traffic traffic;

/** Start a thread; it reports to the mailbox @p control. */
traffic *traffic_create(mailbox *control);
/** Send a request; takes its own reference to @p ex.  An attempt of the same
 *  request that is still open is aborted. */
void traffic_start(traffic *t, exchange *ex, const bbm_start *start);
/** Abort a request's attempt, if one is open; nothing is reported. */
void traffic_cancel(traffic *t, uint64_t request);
/** End the thread; requests with an open attempt fail with BBM_ERR_STOPPED.
 *  The fronts' threads may still queue jobs until traffic_destroy(). */
void traffic_stop(traffic *t);
/** Release; only after traffic_stop() and once all fronts are destroyed, as
 *  their threads may still call exchange.on_drained.  NULL is allowed. */
void traffic_destroy(traffic *t);

#endif
