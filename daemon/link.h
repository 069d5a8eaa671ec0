/** @file
 *  The life of a connection to another daemon.  It only decides: events and
 *  times in, decisions out; links.c opens and closes.
 *
 *  Whether a connection still carries anything is the kernel's to say, by the
 *  peer's acknowledgements (see io_source.c): they come from a peer that is
 *  slow, frozen or has nothing to say, too.
 *
 *      link_life life;
 *      link_open(&life, now);
 *      if (link_before_send(&life, connected, losses, now) == LINK_REOPEN) ...
 */
#ifndef LINK_H
#define LINK_H

#include "bbm_gate.h"

/** Sent bytes, or a probe of an idle connection, may be unacknowledged for so
 *  long; then the connection is lost.  A fraction of the time after which a
 *  daemon must have what others have, and longer than TCP needs to send a
 *  segment again twice. */
#define LINK_UNACKED_TIMEOUT (700 * BBM_MS)
/** A connection attempt is restarted after this time.  While a machine is down
 *  its SYN packets are lost, and the kernel would resend the first only after
 *  one second. */
#define LINK_CONNECT_TIMEOUT (200 * BBM_MS)

/** What to do before a message is sent. */
typedef enum link_decision {
    LINK_USE,    /**< Send it: the connection is there, or being made. */
    LINK_REOPEN, /**< Close the socket and open another one first. */
} link_decision;

/** Life of the connections of one socket. */
typedef struct link_life {
    bbm_time trying_since; /**< When it was opened, or lost its connection. */
    bbm_time connected_at; /**< Of the current or last connection; 0: none. */
    bbm_time sent_at;      /**< Last message; 0: none. */
    uint64_t losses;       /**< Connections lost that have been told. */
    bbm_time window_at;    /**< Begin of a span of LINK_UNACKED_TIMEOUT. */
    uint32_t window_sent;  /**< Messages sent in that span. */
    uint32_t earlier_sent; /**< Messages sent in the span before. */
} link_life;

/** A connection that was lost, for the log. */
typedef struct link_loss {
    bool lost;         /**< One was lost since the last call. */
    bbm_time age;      /**< From its begin, or from its opening. */
    bbm_time idle;     /**< Since the last message that was sent on it. */
    uint32_t unproved; /**< Messages that it may not have delivered, at most
                            those of the last two spans. */
} link_loss;

/** A socket was opened. */
void link_open(link_life *life, bbm_time now);
/** A connection was made. */
void link_connected(link_life *life, bbm_time now);
/** Take note of the number of connections lost so far. */
link_loss link_take_loss(link_life *life, uint64_t losses, bbm_time now);
/** Decide before a message is sent. */
link_decision link_before_send(const link_life *life, bool connected,
                               bbm_time now);
/** A message was sent. */
void link_sent(link_life *life, bbm_time now);

#endif
