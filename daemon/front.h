/** @file
 *  HTTP servers of the daemon, for clients, operators and the provider.
 *
 *  libmicrohttpd's threads serve the connections.  A complete request is
 *  submitted to control as an exchange; its connection stays suspended until
 *  there is something to write.
 *
 *      front *f = front_create(&(front_desc){.settings = s, ...});
 *      ...
 *      front_refuse_connections(f);
 *      front_destroy(f);
 */
#ifndef FRONT_H
#define FRONT_H

#include "bbm_settings.h"
#include "bodies.h"
#include "descriptors.h"
#include "exchange.h"
#include "mailbox.h"

/** The interface that a front serves. */
typedef enum front_kind {
    FRONT_CALLERS,      /**< Clients, the daemon's own interface. */
    FRONT_OPERATORS,    /**< Operators, the daemon's own interface. */
    FRONT_POOL_CALLERS, /**< Clients whose requests are forwarded
                             unchanged. */
    FRONT_PROVIDER,     /**< The provider and its operators. */
} front_kind;

/** Limits for clients; written by control, read by the fronts. */
typedef struct front_limits {
    atomic_llong idle_timeout_ms; /**< Of a connection between requests; 0: as
                                       in the settings. */
    atomic_llong header_timeout_ms; /**< Of a request's head; 0: the
                                         default. */
    atomic_llong body_bytes_max;    /**< Of a request's body; 0: as in the
                                         settings. */
} front_limits;

/** Parameters of front_create().  What the pointers refer to must outlive the
 *  front. */
typedef struct front_desc {
    const bbm_settings *settings;
    front_kind kind;
    const char *address;        /**< IPv4 address and port to listen on,
                                     "a.b.c.d:port". */
    const atomic_bool *closing; /**< While it is set, each answer closes its
                                     connection. */
    front_limits *limits;
    uint64_t run_id;               /**< Number of this run of the process;
                                        part of X-Request-Id. */
    const uint8_t *key_secret;     /**< Secret for the digests of API keys. */
    const atomic_bool *ready;      /**< Answer of /readyz. */
    const atomic_llong *last_tick; /**< control_now() at control's last tick,
                                        for /healthz. */
    atomic_ullong *next_id;        /**< Last exchange id in use; shared by all
                                        fronts. */
    mailbox *control_mailbox;
    memory_budget *memory;    /**< Counts what the front holds; NULL: nothing
                                   does. */
    bodies *bodies;           /**< Of all fronts; NULL without `memory`. */
    descriptors *descriptors; /**< Of all fronts; NULL: there is no limit. */
} front_desc;

/** A front; opaque. */
typedef struct front front;

/** Start listening.  NULL if the address can't be bound, or the certificate or
 *  its key can't be read. */
front *front_create(const front_desc *desc);
/** Let clients make no new connections.  Those that have been made are still
 *  accepted and answered, until front_destroy(). */
void front_refuse_connections(front *f);
/** From now on answer every new request with BBM_ERR_DRAINING. */
void front_reject_requests(front *f);
/** Fail the requests that are still open, and log them: after
 *  front_reject_requests(), once all that answer requests have ended. */
void front_fail_open_requests(front *f);
/** Close all connections and release; none may be suspended.  NULL is
 *  allowed. */
void front_destroy(front *f);
/** Number of whole answers of upstreams and operators' calls that their
 * clients haven't read yet. */
size_t front_unread_answers(front *f);
/** Number of open connections. */
unsigned front_connections(const front *f);

#endif
