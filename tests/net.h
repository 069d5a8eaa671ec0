/** @file
 *  A seeded network for histories: loses, doubles, delays and reorders.
 */
#ifndef NET_H
#define NET_H

#include "bbm_hash.h"
#include "bbm_pack.h"
#include "bbm_time.h"

#define NET_NODES_MAX 512

/** How the network behaves. */
typedef struct net_desc {
    uint64_t seed;
    double loss;      /**< Share of messages that is lost. */
    double duplicated;   /**< Share that comes twice. */
    bbm_time delay_max; /**< Delay, drawn from 0 up. */
} net_desc;

/** A message under way. */
typedef struct net_message {
    int from;
    int to;
    bbm_time deliver_at; /**< Comes then. */
    bbm_buf bytes;
} net_message;

/** The network. */
typedef struct net {
    net_desc desc;
    bbm_rng rng;
    net_message *messages;
    size_t len;
    size_t cap;
    bool blocked[NET_NODES_MAX][NET_NODES_MAX];
} net;

void net_init(net *n, const net_desc *desc);
void net_free(net *n);
/** Send a copy of the bytes. */
void net_send(net *n, bbm_time now, int from, int to, const void *data,
              size_t len);
/** Take a message that is due; false if none is.  The taker frees it. */
bool net_receive(net *n, bbm_time now, net_message *mail);
/** Cut a place off from all others, or heal it. */
void net_isolate(net *n, int place, bool cut);
/** End all faults. */
void net_heal(net *n);

#endif
