/** @file
 *  The callers' and the operators' side of the daemon, over HTTP.
 *
 *  Connections are served by the library's own threads.  A request that is
 *  complete is handed to control as an exchange; the connection sleeps until
 *  there is something to write.
 *
 *      front *f = front_create(&(front_desc){.settings = s, .box = box, ...});
 *      ...
 *      front_quiesce(f);      take no new connections
 *      front_destroy(f);
 */
#ifndef FRONT_H
#define FRONT_H

#include "bbm_settings.h"
#include "exchange.h"
#include "mailbox.h"

/** Who speaks to a front. */
typedef enum front_kind {
    FRONT_CALLERS,      /**< Callers, in our own interface. */
    FRONT_OPERATORS,    /**< Operators, in our own interface. */
    FRONT_POOL_CALLERS, /**< Callers whose requests go on as they are. */
    FRONT_PROVIDER,     /**< The provider and its operators. */
} front_kind;

/** Limits on callers, told by control. */
typedef struct front_limits {
    atomic_llong idle_timeout_ms;    /**< A kept connection may be idle; 0: as set. */
    atomic_llong body_bytes_max; /**< Of a request's body; 0: as set. */
} front_limits;

/** What a front is for. */
typedef struct front_desc {
    const bbm_settings *settings;  /**< Outlives the front. */
    front_kind kind;               /**< Who speaks to it. */
    const char *address;           /**< host:port to listen on. */
    const atomic_bool *closing;    /**< Connections end with their answer. */
    front_limits *limits;          /**< On callers. */
    uint64_t run_id;                  /**< For request identifiers. */
    const uint8_t *key_secret;     /**< Key of the digests of keys. */
    const atomic_bool *ready;      /**< For /readyz. */
    const atomic_llong *last_tick; /**< Of control, for /healthz. */
    atomic_ullong *next_id;        /**< Numbers for exchanges. */
    mailbox *control_mailbox;                  /**< Control's. */
} front_desc;

/** A front; opaque. */
typedef struct front front;

/** Listen.  NULL if the address can't be had or the certificate is bad. */
front *front_create(const front_desc *desc);
/** Close the listening socket; open connections go on. */
void front_quiesce(front *f);
/** From now on answer every request at once that this VM is leaving. */
void front_reject_requests(front *f);
/** End all connections and release; none may be asleep. */
void front_destroy(front *f);
/** Connections that are open. */
unsigned front_connections(const front *f);

#endif
