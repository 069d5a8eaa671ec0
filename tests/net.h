/** @file
 *  A simulated network with a seeded random generator, for tests in virtual
 *  time: it drops, duplicates, delays and reorders messages.
 */
#ifndef NET_H
#define NET_H

#include "bbm_hash.h"
#include "bbm_pack.h"
#include "bbm_time.h"

/** Maximum number of nodes, which are numbered from 0. */
#define NET_NODES_MAX 512

/** Parameters of net_init(). */
typedef struct net_desc {
    uint64_t seed;
    double loss;        /**< Share of messages that is lost, 0 to 1. */
    double duplicated;  /**< Share that is delivered twice, 0 to 1. */
    bbm_time delay_max; /**< Delays are uniform from 0 to this,
                             nanoseconds. */
} net_desc;

/** A message in transit. */
typedef struct net_message {
    int from;
    int to;
    bbm_time deliver_at;
    bbm_buf bytes;
} net_message;

/** A network. */
typedef struct net {
    net_desc desc;
    bbm_rng rng;
    net_message *messages; /**< In transit, in the order sent. */
    size_t len;
    size_t cap;
    bool blocked[NET_NODES_MAX][NET_NODES_MAX]; /**< By sender and receiver:
                                                     messages sent now are
                                                     lost. */
    int64_t link_bytes_per_s[NET_NODES_MAX];    /**< By sender, which sends one
                                                     message after the other; 0:
                                                     without limit. */
    bbm_time sends_until[NET_NODES_MAX];        /**< Its link is busy until
                                                     then. */
    size_t long_message_bytes; /**< Messages of at least so many are counted;
                                    0: none. */
    size_t lost_long_messages; /**< So many of the next ones are lost. */
    size_t long_messages;      /**< Their number. */
    size_t waiting_bytes_max[NET_NODES_MAX]; /**< Most bytes that have waited
                                                  for its link. */
} net;

void net_init(net *n, const net_desc *desc);
void net_free(net *n);
/** Send a copy of the bytes. */
void net_send(net *n, bbm_time now, int from, int to, const void *data,
              size_t len);
/** Move the earliest message that is due at @p now to @p message; the caller
 *  frees its bytes.  False if none is due. */
bool net_receive(net *n, bbm_time now, net_message *message);
/** Block a node's links in both directions, or unblock them.  Messages in
 *  transit are still delivered. */
void net_isolate(net *n, int node, bool blocked);
/** End losses, duplicates and blocks; delays remain. */
void net_heal(net *n);

#endif
