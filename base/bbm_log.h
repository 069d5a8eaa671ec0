/** @file
 *  Numbered log events, one line of JSON each.
 *
 *  Every event stands once in the table below with its number, level and
 *  text; docs/EVENTS.md is checked against it.  Fields are named at the call,
 *  in pairs of name and value, closed by NULL.  Values are escaped, so that
 *  outside input can't forge a line, and cut to a bounded length.
 *
 *      bbm_log_setup(&(bbm_log_desc){.node = "vm-1", .level = BBM_INFO});
 *      bbm_log(BBM_EVENT_STARTED, "address", "127.0.0.1:8080", NULL);
 *
 *  Nothing that is or was a key is passed to a log call.
 *
 *  X(name, number, level, text)
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
    X(BBM_EVENT_SETTINGS, 105, ERROR, "settings have a mistake")              \
    X(BBM_EVENT_LISTEN_FAILED, 106, ERROR, "cannot listen on an address")     \
    X(BBM_EVENT_ROLE, 200, INFO, "control role changed")                      \
    X(BBM_EVENT_GROUP_BOOTSTRAPPED, 201, INFO, "control group founded")       \
    X(BBM_EVENT_SNAPSHOT, 202, INFO, "snapshot written")                      \
    X(BBM_EVENT_SNAPSHOT_INSTALLED, 203, INFO,                                \
      "snapshot taken over from a peer")                                      \
    X(BBM_EVENT_STORE_FAILED, 204, ERROR, "data folder failed")               \
    X(BBM_EVENT_TORN_TAIL, 205, WARN, "unsynced tail of the log was cut")     \
    X(BBM_EVENT_BAD_PEER_MESSAGE, 206, WARN, "message of a peer was refused") \
    X(BBM_EVENT_VOTERS, 207, INFO, "control voters changed")                  \
    X(BBM_EVENT_REVISION, 300, INFO, "configuration in force")                \
    X(BBM_EVENT_CONFIG_REFUSED, 306, WARN, "configuration has mistakes")      \
    X(BBM_EVENT_KEY_ADDED, 301, INFO, "key given")                            \
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
    X(BBM_EVENT_ORDER_COMPLETED, 404, INFO, "engine took an order")                \
    X(BBM_EVENT_ORDER_FAILED, 405, WARN, "engine refused or missed an order") \
    X(BBM_EVENT_JOINING, 208, INFO, "joining by seed addresses")              \
    X(BBM_EVENT_GROUP_REPAIRED, 209, INFO, "control group changed by itself") \
    X(BBM_EVENT_CATCH_UP_ENDED, 210, INFO,                                    \
      "configuration is known to be current")                                 \
    X(BBM_EVENT_WEIGHTS_VERSION_SET, 305, INFO, "newer weights named")              \
    X(BBM_EVENT_RELOADED, 107, INFO, "settings read again")                   \
    X(BBM_EVENT_LISTING_FAILED, 410, WARN, "list of upstreams can't be read") \
    X(BBM_EVENT_LISTING_RESTORED, 411, INFO,                                  \
      "list of upstreams is read again")                                      \
    X(BBM_EVENT_UPSTREAM_NEW, 412, INFO, "upstream found")                    \
    X(BBM_EVENT_UPSTREAM_LEAVING, 413, INFO, "upstream leaves")               \
    X(BBM_EVENT_UPSTREAM_UNLISTED, 414, INFO, "upstream is listed no more")   \
    X(BBM_EVENT_LISTING_BAD_ENTRY, 415, WARN,                                 \
      "entry of the list passed over")                                        \
    X(BBM_EVENT_ROLLOUT_ACTION, 416, INFO, "runner asked or ordered for weights")    \
    X(BBM_EVENT_ROLLOUT_ANSWER, 417, INFO, "runner answered the rollout")     \
    X(BBM_EVENT_STORE_UP, 418, INFO, "store of KV cache answers")             \
    X(BBM_EVENT_STORE_DOWN, 419, WARN, "store of KV cache doesn't answer")    \
    X(BBM_EVENT_REQUEST_SENT, 510, INFO, "request sent to an upstream")       \
    X(BBM_EVENT_REQUEST_RETRIED, 511, INFO,                                   \
      "request sent to another upstream")                                     \
    X(BBM_EVENT_REQUEST_REFUSED, 512, INFO, "request refused, not run")       \
    X(BBM_EVENT_REQUEST_ABORTED, 513, WARN,                                   \
      "request ended without its answer")                                     \
    X(BBM_EVENT_REQUEST_COMPLETED, 514, INFO, "answer passed on whole")       \
    X(BBM_EVENT_ATTEMPT_FAILED, 515, INFO, "attempt ended without an answer") \
    X(BBM_EVENT_REQUEST_DENIED, 516, INFO, "request not allowed")             \
    X(BBM_EVENT_REQUEST_FAILED, 500, WARN, "request ended with an error")     \
    X(BBM_EVENT_RETRY, 501, INFO, "request tried again")                      \
    X(BBM_EVENT_CLAIM_UNKNOWN, 502, WARN, "claim closed, outcome unknown")    \
    X(BBM_EVENT_DROPPED, 600, WARN, "work shed because a queue was full")     \
    X(BBM_EVENT_LINES_DROPPED, 601, WARN, "log lines dropped: slow reader")

/** How grave an event is. */
typedef enum bbm_level {
    BBM_DEBUG, /**< For a developer. */
    BBM_INFO,  /**< A change of state. */
    BBM_WARN,  /**< Service may suffer. */
    BBM_ERROR, /**< An operator must act. */
} bbm_level;

/** All log events; the value is the event's number. */
typedef enum bbm_log_event {
#define X(name, number, level, text) name = (number),
    BBM_EVENT_TABLE(X)
#undef X
} bbm_log_event;

/** How to log. */
typedef struct bbm_log_desc {
    const char *node;         /**< Written in each line; kept by reference. */
    FILE *file;               /**< NULL means standard error. */
    bbm_level min_level;      /**< Lesser events are passed over. */
    int64_t (*wall_ms)(void); /**< NULL means the system's clock. */
} bbm_log_desc;

/** From now on lines go through a buffer of fixed size to a thread of their
 *  own, so that no caller waits for the reader.  What finds no room is
 * dropped; a line tells how many were, when there is room again. */
int bbm_log_start(void);
/** Write what is buffered, for a moment at most, and end the thread. */
void bbm_log_stop(void);
/** Lines dropped so far. */
uint64_t bbm_log_dropped(void);

/** Fields of one event at most. */
#define BBM_LOG_PAIRS_MAX 18

/** A field of an event. */
typedef struct bbm_log_pair {
    const char *name; /**< A literal. */
    char value[64];   /**< Cut to its size. */
} bbm_log_pair;

/** Write one event with its fields. */
void bbm_log_write(bbm_log_event event, const bbm_log_pair *pairs, size_t len);

/** Set how to log; before any thread starts. */
void bbm_log_setup(const bbm_log_desc *desc);

/** Write one event; pairs of name and value, closed by NULL. */
void bbm_log(bbm_log_event event, ...) __attribute__((sentinel));

/** The text of an event. */
const char *bbm_log_text(bbm_log_event event);

/** A level by its name; -1 if there is none. */
int bbm_level_parse(const char *name);

#endif
