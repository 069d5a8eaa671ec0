/** @file
 *  The thread that speaks with the provider: its list of upstreams, runners'
 *  reports, orders, and stores of KV cache.
 *
 *  What comes back is decoded by platform/ and told to control.
 *
 *      provider *p = provider_create(&(provider_desc){.list = "10.0.0.1:80"});
 *      provider_read_listing(p);
 *      provider_send_rollout(p, &act, not_after);
 *      provider_watch_store(p, "10.0.0.2:80", true);
 */
#ifndef PROVIDER_H
#define PROVIDER_H

#include "bbm_node.h"
#include "mailbox.h"

/** How to make the thread. */
typedef struct provider_desc {
    const char *list_address;  /**< host:port of the list; outlives the thread. */
    const char *owner; /**< Name under which orders are given. */
    mailbox *control;  /**< Told what came back. */
} provider_desc;

/** The thread; opaque. */
typedef struct provider provider;

/** Start. */
provider *provider_create(const provider_desc *desc);
/** Read the whole list. */
void provider_read_listing(provider *p);
/** Ask a runner for its report, or give it an order unless it is later than
 *  @p not_after. */
void provider_send_rollout(provider *p, const bbm_rollout_action *act,
                      bbm_time not_after);
/** Watch whether a store answers, or stop. */
void provider_watch_store(provider *p, const char *address, bool on);
/** Stop and release; NULL is allowed. */
void provider_destroy(provider *p);

#endif
