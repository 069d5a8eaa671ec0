/** @file
 *  Messages between daemons, encrypted with the shared secret.
 *
 *  A daemon listens on one socket, and connects to another daemon when it
 *  first sends to it.  A connection on which nothing is acknowledged for
 *  LINK_UNACKED_TIMEOUT is replaced; what was sent on it may be lost. Received
 *  messages that can't be decrypted, or are for another daemon, are counted
 *  and dropped.  Delivery is not guaranteed.  frames.h has the format.
 */
#ifndef TRANSPORT_H
#define TRANSPORT_H

#include "bbm_settings.h"
#include "mailbox.h"

/** Transport; opaque. */
typedef struct transport transport;

/** Listen on settings->peer_address and put what is received into the mailbox
 *  @p control; NULL if listening fails.  @p settings outlives the transport;
 *  @p message_secret has BBM_DIGEST_SIZE bytes. */
transport *transport_create(const bbm_settings *settings, uint64_t run,
                            const uint8_t *message_secret, mailbox *control);
/** Send bytes to a daemon; they are dropped if it can't be reached.
 *  @p name is "" if only the address is known.  From one thread only. */
void transport_send(transport *t, const char *name, const char *address,
                    const bbm_buf *bytes);
/** Counts since the start. */
typedef struct transport_counts {
    uint64_t rejected;         /**< Received messages that seal_decrypt()
                                    rejected. */
    uint64_t links;            /**< Daemons connected to now. */
    uint64_t links_lost;       /**< Connections that have ended. */
    uint64_t dropped;          /**< Messages for which the queues to slow
                                    peers had no room. */
    uint64_t queued_bytes;     /**< In these queues now. */
    uint64_t link_lost_age_ms; /**< Since the last one did; 0: none has. */
} transport_counts;
/** From any thread. */
transport_counts transport_count(transport *t);
/** Close all connections and release; NULL is allowed.  What is queued for a
 *  slow peer is dropped. */
void transport_destroy(transport *t);

#endif
