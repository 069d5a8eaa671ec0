/** @file
 *  This daemon's connections to its peers, and the queues of messages for
 *  them.
 *
 *  The control thread sends: directly while a socket takes it, and the I/O
 *  thread sends what is left.  One lock guards all links.  The I/O thread
 *  alone releases a link, as it may be about to handle an event of it.
 */
#ifndef LINKS_H
#define LINKS_H

#include "io_source.h"
#include "link.h"
#include "memory_budget.h"

#include <sys/queue.h>

/** Links; opaque. */
typedef struct links links;

/** A message with its head, to be sent. */
typedef struct links_message {
    STAILQ_ENTRY(links_message) link;
    size_t len;      /**< Of the head and the message. */
    size_t pos;      /**< Bytes that have been sent. */
    uint8_t bytes[]; /**< As in frames.h. */
} links_message;

/** Counts since the start, and of now. */
typedef struct links_counts {
    uint64_t connected;    /**< Peers connected to now. */
    uint64_t lost;         /**< Connections that have ended. */
    uint64_t lost_age_ms;  /**< Since the last one did; 0: none has. */
    uint64_t dropped;      /**< Messages for which the queues had no room. */
    uint64_t queued_bytes; /**< In the queues now. */
} links_counts;

/** Create links whose events go to @p epoll.  @p wake is an eventfd that
 *  wakes the thread which waits for them.  @p memory counts the queues; NULL:
 *  nothing does. */
links *links_create(int epoll, int wake, memory_budget *memory);
/** Close all connections and release, once the I/O thread has ended. */
void links_destroy(links *ls);
/** Send a message to a daemon, or queue it; takes over @p m.  @p name is the
 *  peer's, or its address as long as that isn't known.  From one thread
 *  only. */
void links_send(links *ls, const char *name, const char *address,
                links_message *m);
/** Handle an event of a source of kind IO_SOURCE_LINK; I/O thread only. */
void links_handle_event(links *ls, io_source *s, uint32_t events);
/** Make the connections that are due, and release closed links.  Returns when
 *  more is due; BBM_NEVER: nothing is.  I/O thread only. */
bbm_time links_run_timers(links *ls);
/** From any thread. */
links_counts links_count(links *ls);

#endif
