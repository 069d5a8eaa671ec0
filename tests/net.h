/** @file
 *  A seeded network for histories: loses, doubles, delays and reorders.
 */
#ifndef NET_H
#define NET_H

#include "bbm_hash.h"
#include "bbm_pack.h"
#include "bbm_time.h"

#define NET_PLACES 512

/** How the network behaves. */
typedef struct net_desc {
    uint64_t seed;
    double loss;      /**< Share of messages that is lost. */
    double doubled;   /**< Share that comes twice. */
    bbm_time longest; /**< Delay, drawn from 0 up. */
} net_desc;

/** A message under way. */
typedef struct net_mail {
    int from;
    int to;
    bbm_time at; /**< Comes then. */
    bbm_buf bytes;
} net_mail;

/** The network. */
typedef struct net {
    net_desc desc;
    bbm_rng rng;
    net_mail *mails;
    size_t len;
    size_t cap;
    bool cut[NET_PLACES][NET_PLACES];
} net;

void net_init(net *n, const net_desc *desc);
void net_free(net *n);
/** Send a copy of the bytes. */
void net_post(net *n, bbm_time now, int from, int to, const void *data,
              size_t len);
/** Take a message that is due; false if none is.  The taker frees it. */
bool net_take(net *n, bbm_time now, net_mail *mail);
/** Cut a place off from all others, or heal it. */
void net_isolate(net *n, int place, bool cut);
/** End all faults. */
void net_heal(net *n);

#endif
