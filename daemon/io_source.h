/** @file
 *  Sockets of the transport's I/O thread, as it finds them in its events. */
#ifndef IO_SOURCE_H
#define IO_SOURCE_H

#include <stdbool.h>
#include <stdint.h>

/** What an event belongs to. */
typedef enum io_source_kind {
    IO_SOURCE_WAKE,     /**< Another thread has something to do for it. */
    IO_SOURCE_LISTENER, /**< Connections of peers. */
    IO_SOURCE_RECEIVER, /**< A connection that a peer has made. */
    IO_SOURCE_LINK,     /**< A connection to a peer; see links.h. */
} io_source_kind;

/** The first member of what an event belongs to. */
typedef struct io_source {
    io_source_kind kind; /**< Says which struct it is in. */
    int fd;              /**< -1: none. */
} io_source;

/** Add a source to an epoll, or change its events; @p operation and @p events
 *  are epoll_ctl's.  False if it fails. */
bool io_source_watch(int epoll, int operation, io_source *s, uint32_t events);
/** Wake the thread that waits for events, by its eventfd. */
void io_source_wake(int eventfd);
/** Set an option of a socket to a number; false if it fails. */
bool io_source_set_option(int fd, int level, int option, int value);
/** Set the time limits of a connection between daemons.  Connections that are
 *  accepted inherit those of the listening socket.  A failure is logged with
 *  the address. */
void io_source_set_timeouts(int fd, const char *address);

#endif
