/** @file
 *  Connections of clients that have no request at work: which are closed
 *  because a request's head doesn't become complete, and which to make room.
 *
 *  Load that it handles: clients that open as many connections as they can and
 *  send the beginning of a request, a byte at a time, or nothing; also ones
 *  that come again as fast as they are closed.
 *
 *  A connection waits from its begin, and from the end of a request, until the
 *  head of the next one is complete.  Once the first byte of a head has come,
 *  the rest has a limited time.  The HTTP library doesn't tell of that byte,
 * so the kernel is asked how many a connection has received, four times in the
 *  limit.  To make room, one that waits is closed: of the address that has
 * most unfinished heads the oldest of these, or else of the address that has
 * most idle connections the one that is idle for longest.
 *
 *      clients *c = clients_create();
 *      client *x = clients_add(c, fd, address, now);
 *      clients_begin(c, x);        the head of a request is complete
 *      clients_end(c, x, now);     the answer is sent
 *      clients_expire(c, 3 * BBM_SECOND, now, &report);
 *      if (clients_evict(c, now, &report)) ... there is room for another
 *      clients_remove(c, x);
 *
 *  Any thread may call it.  Closing shuts the socket down; its owner then ends
 *  the connection.
 */
#ifndef CLIENTS_H
#define CLIENTS_H

#include "bbm_time.h"

#include <stdatomic.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Counts over all connections of the process. */
typedef struct clients_counts {
    atomic_ullong late_heads; /**< Closed: a head wasn't complete in time. */
    atomic_ullong evicted;    /**< Closed to make room for others. */
} clients_counts;

/** The process's counts. */
extern clients_counts clients_count;

/** Why connections were closed, for the log. */
typedef struct clients_report {
    size_t closed;    /**< Number of connections; 0: none. */
    uint32_t address; /**< IPv4 address of the last one, network order. */
    bool late;        /**< A head was late; otherwise there was no room. */
} clients_report;

/** One connection; opaque. */
typedef struct client client;
/** The connections; opaque. */
typedef struct clients clients;

/** Create an empty set. */
clients *clients_create(void);
/** Destroy it, once all connections were removed; NULL is allowed. */
void clients_destroy(clients *c);
/** A connection begins, and waits for a request.
 *  @param fd      Its socket; valid until clients_remove().
 *  @param address IPv4 address of the client, network order. */
client *clients_add(clients *c, int fd, uint32_t address, bbm_time now);
/** The connection has ended; releases @p x. */
void clients_remove(clients *c, client *x);
/** The head of a request is complete: the connection isn't closed until
 *  clients_end(). */
void clients_begin(clients *c, client *x);
/** The request has ended, and the connection waits for another. */
void clients_end(clients *c, client *x, bbm_time now);
/** Close connections on which a head has been unfinished for @p head_time.  To
 *  be called several times in that span. */
void clients_expire(clients *c, bbm_time head_time, bbm_time now,
                    clients_report *report);
/** Close one connection that waits, to make room.  False if there is none. */
bool clients_evict(clients *c, bbm_time now, clients_report *report);
/** Number of connections that wait or have a request; not those that were
 *  closed and are about to end. */
size_t clients_len(clients *c);
/** Number of connections without a request at work. */
size_t clients_waiting(clients *c);
/** Records that a request has begun to come on a connection; true if it is the
 *  first one there. */
bool clients_first_request(clients *c, client *x);
/** True if a request has begun to come on a connection. */
bool clients_had_request(clients *c, const client *x);

#endif
