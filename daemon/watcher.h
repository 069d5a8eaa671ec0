/** @file
 *  The thread that polls engines for their reports and sends them orders.
 *
 *  Each engine is polled at a fixed period, with one poll in flight at a time.
 *  A poll that fails gives a CONTROL_REPORT_FAILED.
 */
#ifndef WATCHER_H
#define WATCHER_H

#include "bbm_node.h"
#include "mailbox.h"

/** Watcher thread; opaque. */
typedef struct watcher watcher;

/** Start the thread.  It polls each engine every @p period (nanoseconds) and
 *  puts the results into the mailbox @p control. */
watcher *watcher_create(mailbox *control, bbm_time period);
/** Start polling an engine at the base URL @p url, or stop.  The first poll
 *  requests a snapshot of its cached blocks, later ones the changes since. */
void watcher_watch(watcher *w, const char *engine, const char *url, bool on);
/** Send an order; fields as in BBM_ACT_ORDER.  The result is a
 *  CONTROL_ORDER_RESULT. */
void watcher_order(watcher *w, const bbm_action *action);
/** Stop and release; NULL is allowed. */
void watcher_destroy(watcher *w);

#endif
