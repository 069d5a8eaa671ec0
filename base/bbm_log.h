/** @file
 *  Numbered log events, one line of JSON each.
 *
 *  All events are defined in the table below with number, level and text;
 *  docs/EVENTS.md is checked against it.  A call passes the fields of the line
 *  as pairs of name and value, terminated by NULL.  Values are escaped, so
 *  that outside input can't forge a line, and truncated to a bounded length.
 *
 *      bbm_log_setup(&(bbm_log_desc){.node = "vm-1", .min_level = BBM_INFO});
 *      bbm_log(BBM_EVENT_STARTED, "address", "127.0.0.1:8080", NULL);
 *
 *  Present and withdrawn keys must not be passed to a log call.
 *
 *  Rows: X(name, number, level, text)
 */
#ifndef BBM_LOG_H
#define BBM_LOG_H

#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#define BBM_EVENT_TABLE(X)                                                    \
    X(BBM_EVENT_STARTED, 100, INFO, "daemon started")                         \
    X(BBM_EVENT_STOPPING, 101, INFO, "shutdown began")                        \
    X(BBM_EVENT_STOPPED, 102, INFO, "daemon stopped")                         \
    X(BBM_EVENT_READY, 103, INFO, "ready to serve")                           \
    X(BBM_EVENT_NOT_READY, 104, WARN, "no longer ready to serve")             \
    X(BBM_EVENT_SETTINGS, 105, ERROR, "invalid settings")                     \
    X(BBM_EVENT_LISTEN_FAILED, 106, ERROR, "cannot listen on an address")     \
    X(BBM_EVENT_ANSWERS_UNREAD, 117, INFO,                                    \
      "a stop waits for clients that still read whole answers")               \
    X(BBM_EVENT_SLOW_EVENT, 116, WARN,                                        \
      "an event took long on the thread that decides")                        \
    X(BBM_EVENT_LISTEN_RETRIED, 109, WARN,                                    \
      "an address is in use; trying again for some seconds")                  \
    X(BBM_EVENT_LISTENER_OPEN, 108, WARN,                                     \
      "clients can still connect while the daemon stops")                     \
    X(BBM_EVENT_STOP_REPEATED, 111, INFO,                                     \
      "another signal to stop; the shutdown goes on")                         \
    X(BBM_EVENT_SETTINGS_LATE, 112, WARN,                                     \
      "settings file is missing or incomplete; trying again for some "        \
      "seconds")                                                              \
    X(BBM_EVENT_STORE_LATE, 113, WARN,                                        \
      "data folder can't be used; trying again for some seconds")             \
    X(BBM_EVENT_FATAL_SIGNAL, 114, ERROR, "daemon ended by a fatal signal")   \
    X(BBM_EVENT_ROLE, 200, INFO, "control role changed")                      \
    X(BBM_EVENT_GROUP_BOOTSTRAPPED, 201, INFO, "control group bootstrapped")  \
    X(BBM_EVENT_SNAPSHOT, 202, INFO, "snapshot written")                      \
    X(BBM_EVENT_SNAPSHOT_INSTALLED, 203, INFO,                                \
      "snapshot of a peer installed")                                         \
    X(BBM_EVENT_STORE_FAILED, 204, ERROR, "data folder I/O failed")           \
    X(BBM_EVENT_TORN_TAIL, 205, WARN, "unsynced tail of the log truncated")   \
    X(BBM_EVENT_BAD_PEER_MESSAGE, 206, WARN, "invalid peer message rejected") \
    X(BBM_EVENT_VOTERS, 207, INFO, "control voters changed")                  \
    X(BBM_EVENT_STATE_UNREADABLE, 211, ERROR,                                 \
      "control state is of a later format; left the control group")           \
    X(BBM_EVENT_OLDER_FORMAT, 212, INFO, "VM of an earlier format detected")  \
    X(BBM_EVENT_ZONE_RELAY, 213, INFO,                                        \
      "VM chosen that forwards totals in its zone; none: sent directly")      \
    X(BBM_EVENT_REVISION, 300, INFO, "configuration in force")                \
    X(BBM_EVENT_CONFIG_REFUSED, 306, WARN, "invalid configuration rejected")  \
    X(BBM_EVENT_KEY_ADDED, 301, INFO, "key added")                            \
    X(BBM_EVENT_KEY_WITHDRAWN, 302, INFO, "key withdrawn")                    \
    X(BBM_EVENT_KEYS_STALE, 303, WARN,                                        \
      "keyed routes stopped: keys not fresh")                                 \
    X(BBM_EVENT_KEYS_FRESH, 304, INFO, "keyed routes resumed: keys fresh")    \
    X(BBM_EVENT_MEMBER, 400, INFO, "member changed state")                    \
    X(BBM_EVENT_UPSTREAM_RESTARTED, 401, INFO,                                \
      "upstream has a new incarnation")                                       \
    X(BBM_EVENT_UPSTREAM_EJECTED, 402, WARN, "upstream ejected")              \
    X(BBM_EVENT_CACHE_EVENTS_LOST, 403, WARN,                                 \
      "cache events were lost; index reset")                                  \
    X(BBM_EVENT_ORDER_COMPLETED, 404, INFO, "engine completed an order")      \
    X(BBM_EVENT_ORDER_FAILED, 405, WARN, "order to an engine failed")         \
    X(BBM_EVENT_JOINING, 208, INFO, "joining through seed addresses")         \
    X(BBM_EVENT_GROUP_REPAIRED, 209, INFO,                                    \
      "control group changed automatically")                                  \
    X(BBM_EVENT_CATCH_UP_ENDED, 210, INFO, "configuration catch-up ended")    \
    X(BBM_EVENT_WEIGHTS_VERSION_SET, 305, INFO,                               \
      "newer version of weights set")                                         \
    X(BBM_EVENT_SHARED_SCOPE_CHANGED, 307, INFO,                              \
      "private customers changed: shared cache entries are made again")       \
    X(BBM_EVENT_RELOADED, 107, INFO, "settings reloaded")                     \
    X(BBM_EVENT_LISTING_FAILED, 410, WARN,                                    \
      "reading the list of upstreams failed")                                 \
    X(BBM_EVENT_LISTING_RESTORED, 411, INFO,                                  \
      "reading the list of upstreams works again")                            \
    X(BBM_EVENT_UPSTREAM_NEW, 412, INFO, "upstream added to the list")        \
    X(BBM_EVENT_UPSTREAM_LEAVING, 413, INFO, "upstream is leaving")           \
    X(BBM_EVENT_UPSTREAM_UNLISTED, 414, INFO,                                 \
      "upstream removed from the list")                                       \
    X(BBM_EVENT_LISTING_BAD_ENTRY, 415, WARN,                                 \
      "invalid entries in the list of upstreams skipped")                     \
    X(BBM_EVENT_ROLLOUT_ACTION, 416, INFO,                                    \
      "rollout request sent to a runner")                                     \
    X(BBM_EVENT_ROLLOUT_ANSWER, 417, INFO,                                    \
      "runner answered a rollout request")                                    \
    X(BBM_EVENT_STORE_UP, 418, INFO, "KV cache store is reachable")           \
    X(BBM_EVENT_STORE_DOWN, 419, WARN, "KV cache store is unreachable")       \
    X(BBM_EVENT_UPSTREAM_SAYS_LEAVING, 420, INFO,                             \
      "upstream stated in an answer that it leaves")                          \
    X(BBM_EVENT_UPSTREAM_PAUSED, 421, INFO,                                   \
      "upstream asked for no requests for a while")                           \
    X(BBM_EVENT_UPSTREAM_BAD_NOTICE, 422, WARN,                               \
      "upstream's notice of itself is invalid, ignored")                      \
    X(BBM_EVENT_PART_QUARANTINED, 423, WARN,                                  \
      "prompt part or request quarantined: upstreams crash on it")            \
    X(BBM_EVENT_PART_RELEASED, 424, INFO,                                     \
      "prompt part or request released from quarantine")                      \
    X(BBM_EVENT_UPSTREAM_LIMITED, 425, INFO,                                  \
      "upstream stated how many requests it takes from all VMs")              \
    X(BBM_EVENT_UPSTREAM_UNLIMITED, 426, INFO,                                \
      "upstream states no limit any more")                                    \
    X(BBM_EVENT_POOL_CUT_OFF, 427, WARN,                                      \
      "no upstream of a pool can be reached from this VM")                    \
    X(BBM_EVENT_POOL_REACHED, 428, INFO,                                      \
      "an upstream of the pool answered this VM again")                       \
    X(BBM_EVENT_UPSTREAM_BRITTLE, 429, INFO,                                  \
      "upstream stated that it fails if it must refuse many requests")        \
    X(BBM_EVENT_LINK_LOST, 430, INFO, "connection to a VM was lost")          \
    X(BBM_EVENT_LINK_OPTIONS, 431, WARN,                                      \
      "options of a connection to a VM couldn't be set")                      \
    X(BBM_EVENT_RELEASE_IN_FORCE, 433, INFO, "release of software changed")   \
    X(BBM_EVENT_RELEASE_DECIDED, 434, INFO,                                   \
      "leader decided on a release of software")                              \
    X(BBM_EVENT_ACCEPT_FAILED, 432, WARN,                                     \
      "connection of a VM couldn't be accepted; trying again")                \
    X(BBM_EVENT_MESSAGE_DROPPED, 435, WARN,                                   \
      "message of a VM dropped: no memory for it")                            \
    X(BBM_EVENT_ROLLOUT_PROGRESS, 436, INFO,                                  \
      "progress of a rollout of weights")                                     \
    X(BBM_EVENT_REQUEST_RELAYED, 518, INFO,                                   \
      "request passed to another VM to be forwarded")                         \
    X(BBM_EVENT_REQUEST_SENT, 510, INFO, "request sent to an upstream")       \
    X(BBM_EVENT_REQUEST_RETRIED, 511, INFO,                                   \
      "request sent to another upstream")                                     \
    X(BBM_EVENT_REQUEST_REFUSED, 512, INFO, "request refused, not run")       \
    X(BBM_EVENT_REQUEST_ABORTED, 513, WARN,                                   \
      "request aborted before its answer ended")                              \
    X(BBM_EVENT_REQUEST_COMPLETED, 514, INFO, "complete answer delivered")    \
    X(BBM_EVENT_ATTEMPT_FAILED, 515, INFO, "attempt ended without an answer") \
    X(BBM_EVENT_REQUEST_DENIED, 516, INFO, "request denied")                  \
    X(BBM_EVENT_ATTEMPT_DISCONNECTED, 517, INFO,                              \
      "upstream closed the connection of an attempt")                         \
    X(BBM_EVENT_ANSWER_LIMIT, 519, WARN,                                      \
      "answer of an upstream exceeded a limit and was broken off")            \
    X(BBM_EVENT_ANSWER_HEADER_DROPPED, 520, WARN,                             \
      "header of an upstream's answer is too long, dropped")                  \
    X(BBM_EVENT_FAILED_AFTER_SEND, 521, INFO,                                 \
      "request failed after it had been sent to an upstream")                 \
    X(BBM_EVENT_CLIENT_HALF_CLOSED, 523, INFO,                                \
      "client closed its sending side; its order goes on")                    \
    X(BBM_EVENT_REQUEST_UNOWNED, 522, ERROR,                                  \
      "request was still open at the end of a stop; failed")                  \
    X(BBM_EVENT_CLOSED_AFTER_SEND, 524, WARN,                                 \
      "connection ended before the answer of a request that was sent")        \
    X(BBM_EVENT_BODY_DISCARDED, 525, WARN,                                    \
      "unfinished body discarded: no memory for it")                          \
    X(BBM_EVENT_CONNECTION_REFUSED, 526, WARN,                                \
      "clients' connections closed unread: no memory for them")               \
    X(BBM_EVENT_CLIENTS_CLOSED, 531, WARN,                                    \
      "connections without a whole request closed")                           \
    X(BBM_EVENT_CONNECTION_EVICTED, 527, WARN,                                \
      "idle request's connection closed: no memory")                          \
    X(BBM_EVENT_FOREIGN_ANSWER, 528, WARN,                                    \
      "answer on an attempt's connection is another request's")               \
    X(BBM_EVENT_NOT_RUN, 529, INFO,                                           \
      "upstream stated that a request has not run")                           \
    X(BBM_EVENT_CONNECTION_REPLACED, 530, INFO,                               \
      "kept connection closed: a request couldn't be sent on it")             \
    X(BBM_EVENT_MALFORMED_ANSWER, 532, WARN,                                  \
      "answer of an upstream is malformed; none of it is used any more")      \
    X(BBM_EVENT_REQUEST_FAILED, 500, WARN, "request ended with an error")     \
    X(BBM_EVENT_RETRY, 501, INFO, "request retried")                          \
    X(BBM_EVENT_CLAIM_UNKNOWN, 502, WARN, "claim closed, outcome unknown")    \
    X(BBM_EVENT_DROPPED, 600, WARN, "work dropped: queue full")               \
    X(BBM_EVENT_LINES_DROPPED, 601, WARN, "log lines dropped: slow reader")

/** Severity of an event. */
typedef enum bbm_level {
    BBM_DEBUG, /**< Detail for developers. */
    BBM_INFO,  /**< A change of state. */
    BBM_WARN,  /**< The service may be degraded. */
    BBM_ERROR, /**< An operator has to act. */
} bbm_level;

/** All log events; the value is the number written in the line. */
typedef enum bbm_log_event {
#define X(name, number, level, text) name = (number),
    BBM_EVENT_TABLE(X)
#undef X
} bbm_log_event;

/** Parameters of the log. */
typedef struct bbm_log_desc {
    const char *node;         /**< Name written in each line; must outlive
                                   the log. */
    FILE *file;               /**< Output; NULL: standard error. */
    bbm_level min_level;      /**< Events of a lower level are not written. */
    int64_t (*wall_ms)(void); /**< Calendar time; NULL: the system's clock. */
} bbm_log_desc;

/** Start a writer thread.  From then on lines go through a buffer of fixed
 *  size, so that no caller waits for the reader of the log.  If the buffer is
 *  full, lines are dropped; their number is logged when there is room again.
 *  BBM_OK or BBM_ERR_IO. */
int bbm_log_start(void);
/** Stop the writer thread; waits up to 400 ms until the buffer is empty. */
void bbm_log_stop(void);
/** Number of lines dropped so far. */
uint64_t bbm_log_dropped(void);

/** Capacity of an array of fields that the callers of bbm_log_write collect
 *  for one event. */
#define BBM_LOG_PAIRS_MAX 20

/** A field of an event. */
typedef struct bbm_log_pair {
    const char *name; /**< A string literal. */
    char value[64];   /**< Truncated to 63 bytes. */
} bbm_log_pair;

/** Write one event with its fields. */
void bbm_log_write(bbm_log_event event, const bbm_log_pair *pairs, size_t len);

/** Set the parameters; call before any thread is started. */
void bbm_log_setup(const bbm_log_desc *desc);

/** Write one event; pairs of name and value, both strings, terminated by
 *  NULL. */
void bbm_log(bbm_log_event event, ...) __attribute__((sentinel));

/** The text of an event; "unknown event" if not in the table. */
const char *bbm_log_text(bbm_log_event event);

/** A level by its name; -1 if there is none. */
int bbm_level_parse(const char *name);

#endif
