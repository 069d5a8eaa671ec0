/** @file
 *  The thread that makes the HTTP calls for pools: it reads the provider's
 *  list of upstreams, requests reports from runners, sends them orders, and
 *  polls KV cache stores.
 *
 *  Results are decoded by platform/ and put into control's mailbox.
 *
 *      provider *p = provider_create(
 *          &(provider_desc){.list_address = "10.0.0.1:80", ...});
 *      provider_read_listing(p);
 *      provider_send_rollout(p, &act, not_after);
 *      provider_watch_store(p, "10.0.0.2:80", true);
 */
#ifndef PROVIDER_H
#define PROVIDER_H

#include "bbm_node.h"
#include "mailbox.h"

/** Parameters of provider_create(). */
typedef struct provider_desc {
    const char *list_address; /**< IP:port of the list; "": none.  Outlives
                                   the thread. */
    const char *owner;        /**< Name of this daemon, sent in orders.
                                   Outlives the thread. */
    mailbox *control;         /**< Receives the results. */
} provider_desc;

/** Provider thread; opaque. */
typedef struct provider provider;

/** Start the thread. */
provider *provider_create(const provider_desc *desc);
/** Read all pages of the list, unless a read is in progress; the result is a
 *  CONTROL_LISTING. */
void provider_read_listing(provider *p);
/** Request a runner's report, or send it an order, which is not sent after
 *  @p not_after (control_now()).  The result is a CONTROL_ROLLOUT_REPORT or a
 *  CONTROL_ROLLOUT_ANSWER. */
void provider_send_rollout(provider *p, const bbm_rollout_action *act,
                           bbm_time not_after);
/** Start or stop polling a store; each poll results in a
 *  CONTROL_STORE_STATUS. */
void provider_watch_store(provider *p, const char *address, bool on);
/** Stop and release; NULL is allowed. */
void provider_destroy(provider *p);

#endif
