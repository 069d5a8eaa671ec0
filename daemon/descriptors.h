/** @file
 *  Which connection gives way when the process runs out of descriptors.
 *
 *  Load that it handles: clients that keep connections open, to any of the
 *  process's listeners.  Without free descriptors no upstream, VM or file can
 *  be reached, and a listener doesn't accept until one of its own connections
 *  ends.  Clients' connections are counted as they come and go, all other
 *  descriptors now and then.
 *
 *      descriptors *d = descriptors_create(0);
 *      descriptors_add(d, &user);            a listener and its connections
 *      if (!descriptors_may_accept(d, first)) ... close a new connection
 *      descriptors_open(d);                  it was accepted
 *      descriptors_close(d);                 it has ended
 *      descriptors_remove(d, &user);
 *
 *  All functions may be called from any thread.  A NULL object counts and
 *  refuses nothing; it has nothing to evict.
 */
#ifndef DESCRIPTORS_H
#define DESCRIPTORS_H

#include "clients.h"

#include <sys/queue.h>

/** Descriptors of a process; opaque. */
typedef struct descriptors descriptors;

/** A listener whose connections can be closed for others. */
typedef struct descriptors_user {
    clients *clients;
    /** Called after some were closed, for the log. */
    void (*closed)(void *context, const clients_report *report);
    void *context;                      /**< Of `closed`. */
    TAILQ_ENTRY(descriptors_user) link; /**< In the list of the process. */
} descriptors_user;

/** Create.  @p limit is the number of descriptors that may be open; 0: that of
 *  the process.  An eighth is kept for what isn't a client's connection. */
descriptors *descriptors_create(size_t limit);
/** Free; NULL is allowed.  All users have been removed. */
void descriptors_destroy(descriptors *d);
/** Add a listener, whose memory is the caller's. */
void descriptors_add(descriptors *d, descriptors_user *user);
/** Remove a listener. */
void descriptors_remove(descriptors *d, descriptors_user *user);
/** True if there is room for a new connection until others have given way.
 *  @p first: of a listener that is to have room after others have none. */
bool descriptors_may_accept(const descriptors *d, bool first);
/** Close a connection without a request, of the listener that has the most of
 *  them.  Returns false if there is none. */
bool descriptors_evict(descriptors *d);
/** Count a connection.  If few descriptors are free, calls
 *  descriptors_evict(). */
void descriptors_open(descriptors *d);
/** Count a connection no longer. */
void descriptors_close(descriptors *d);
/** Count all other descriptors; to be called each 500 ms or so. */
void descriptors_sample(descriptors *d);

#endif
