/** @file
 *  The logic of one daemon as a single state machine.
 *
 *  Each VM runs one daemon with one node.  Upstreams are engines (model
 *  runners) and services; they are named in the configuration, or found in
 *  the provider's listing as members of pools.
 *
 *  A node admits, places, retries and refuses requests, replicates the
 *  configuration and takes part in elections.  It has no socket, thread,
 *  clock or file: events and the time go in, typed actions come out.  The
 *  daemon does the I/O around it; a simulator can drive many nodes in one
 *  process, message by message, on a clock of its own.
 *
 *      bbm_node *n = bbm_node_create(&(bbm_node_desc){
 *          .name = "vm-1", .zone = "a", .address = "10.0.0.1:7400",
 *          .run = run, .now = now});
 *      bbm_event ev = {.kind = BBM_EV_TICK};
 *      bbm_node_step(n, &ev, now);
 *      bbm_action *a;
 *      while ((a = bbm_node_next_action(n)) != NULL) {
 *          switch (a->kind) { ... }
 *      }
 *      bbm_node_destroy(n);
 *
 *  Rules for a driver:
 *
 *  - Pass BBM_EV_TICK every 10 to 50 ms, with the calendar time.
 *  - Carry out actions in order.  An action is valid until the next call of
 *    bbm_node_next_action; the driver may move owned data out of it if it
 *    leaves zeros behind.
 *  - BBM_ACT_PERSIST: write and sync, then pass BBM_EV_PERSISTED.  The write
 *    may be done in another thread, but in order.
 *  - BBM_ACT_START: compare not_after with the clock right before the first
 *    byte is sent; if it has passed, pass BBM_EV_FINISHED with sent false.
 *  - Every BBM_EV_REQUEST is answered exactly once: by a BBM_ACT_ANSWER, or
 *    by the response of the upstream named in the last BBM_ACT_START.  On
 *    BBM_ACT_ABORT the driver aborts the connections to the client and to
 *    the upstream.
 *  - BBM_EV_POOL_REQUEST is answered in the same way, with BBM_ACT_FORWARD in
 *    place of BBM_ACT_START.  BBM_ACT_RESUBMIT postpones it: the driver passes
 *    the event again after a short time.
 *  - Messages may be lost, duplicated, delayed or reordered.  The driver
 *    must authenticate their senders.
 */
#ifndef BBM_NODE_H
#define BBM_NODE_H

#include "bbm_burn.h"
#include "bbm_codes.h"
#include "bbm_fleet.h"
#include "bbm_gate.h"
#include "bbm_log.h"
#include "bbm_members.h"
#include "bbm_prompt_text.h"
#include "bbm_raft.h"
#include "bbm_rollout.h"
#include "bbm_state.h"

/** Maximum number of control VMs that can be named as founders. */
#define BBM_FOUNDERS_MAX 7
/** Size of an upstream's URL in bytes, including the terminating NUL. */
#define BBM_URL_SIZE 256

/** Another daemon, as named in the settings. */
typedef struct bbm_peer {
    char name[BBM_NAME_SIZE];
    char address[BBM_ADDRESS_SIZE]; /**< IP:port for daemon messages. */
} bbm_peer;

/** Parameters of a node.  Zero selects the default. */
typedef struct bbm_node_desc {
    char name[BBM_NAME_SIZE];         /**< Name of this daemon. */
    char zone[BBM_NAME_SIZE];         /**< Availability zone. */
    char address[BBM_ADDRESS_SIZE];   /**< IP:port for other daemons. */
    char entry_url[BBM_ADDRESS_SIZE]; /**< URL for clients. */
    uint64_t run;  /**< Run number from the calendar clock and random bits: a
                        later run has a higher one.  Must not be 0. */
    uint64_t seed; /**< Seed of the random number generator. */
    bbm_member_id disk_id; /**< Identity of the data folder; 0: none. */
    bbm_raft_saved *saved; /**< Contents of the data folder; the node moves
                                them out. */
    const bbm_peer *peers; /**< Daemons known at the start; copied. */
    size_t peers_len;
    char founders[BBM_FOUNDERS_MAX][BBM_NAME_SIZE]; /**< Initial voters. */
    size_t founders_len;
    char seeds[BBM_SEEDS_MAX][BBM_ADDRESS_SIZE]; /**< IP:port of daemons
                                                      that are asked for the
                                                      list of members. */
    size_t seeds_len;
    bool first_start; /**< The system has never run: the daemon at the first
                           seed address bootstraps the control
                           group. */
    bool self_repair; /**< Replace lost control VMs without an operator. */
    bool discovery;   /**< Read the upstreams from the provider's list. */
    bbm_time list_period; /**< Interval between the leader's reads of
                               the listing; 0: 1 s. */
    bbm_time load_period; /**< Interval between load reports of up to 16
                               VMs, which also report each change; more
                               VMs: 1 ms for each, at least 40 ms.
                               0: 250 ms. */
    bool zone_relay; /**< As the leader of 17 to 99 VMs, send totals to one VM
                          of each other zone, which forwards them there. */
    bbm_time gossip_period;    /**< Interval between member pings; 0: 1 s. */
    bbm_time stop_timeout;     /**< A stopping VM exits after this time even
                                    with open requests; 0: never. */
    size_t revision_texts_max; /**< Old revisions whose texts the state
                                    holds; 0: 64. */
    bbm_gate_desc gate;        /**< Parameters of the gate, which handles pool
                                    requests; the node sets zone and seed. */
    bbm_time now;              /**< Current time. */
    bbm_time election_timeout; /**< 0: 1 s. */
    bbm_time key_age_max;      /**< Routes that need a key refuse requests
                                    while the keys are older, and the VM is not
                                    ready; 0: 5 s. */
    bbm_time key_age_abort;    /**< Requests with a key on these routes are
                                    ended at this age of the keys;
                                    0: 10 s. */
    bbm_time entry_ttl;        /**< Time for which a stopping VM goes on
                                    accepting requests.  Clients may cache
                                    entry addresses for half of it;
                                    0: 10 s. */
    bbm_time rate_timeout;     /**< Maximum wait for a grant of the rate's
                                    owner; 0: 150 ms. */
    double release_share; /**< Requests of a pool that a bad build may get,
                               as a share of all until the release has to
                               end; 0: 0.1. */
    double release_slack; /**< Number of requests that it may get in
                               addition; 0: 50. */
    bbm_time release_revert_time; /**< Time after the 50th bad answer from
                                       which it gets none; 0: 5 s. */
    size_t requests_max;          /**< Maximum of open requests to engines and
                                       services; 0: 4,000. */
    size_t snapshot_interval_entries; /**< Most log entries between snapshots;
                                           0: 512. */
    size_t snapshot_interval_bytes;   /**< Most bytes of these entries, unless
                                           the last snapshot has more; 0:
                                           1 MiB. */
    size_t backlog_bytes_max;         /**< As in bbm_raft_desc. */
    bool serve_stale_keys; /**< Pool routes that need a key serve whatever the
                                age of the keys. */
    bbm_policy policy;     /**< How a runner is chosen. */
    bool no_fair_queuing;  /**< Benchmarks only: no fair queuing. */
    bbm_format format; /**< Latest format that is used; 0: BBM_FORMAT_LATEST.
                            Tests only: a VM before BBM_FORMAT_STATED reads and
                            writes just that one, as builds of that time
                            do. */
    bool unsafe_stale_keys; /**< Tests only: serve with stale keys. */
    bool unsafe_no_claim;   /**< Tests only: run without a claim. */
    bool unsafe_no_sync;    /**< Tests only: acknowledge before the sync
                                 is done. */
    bool unsafe_no_prevote; /**< Tests only: elections without a
                                 pre-vote. */
    bool unsafe_no_lease;   /**< Tests only: grant votes while a leader's
                                 lease may still be valid. */
} bbm_node_desc;

/* ---- events ---- */

/** Event kinds. */
typedef enum bbm_event_kind {
    BBM_EV_TICK,                /**< Periodic tick. */
    BBM_EV_MESSAGE,             /**< Message from another daemon. */
    BBM_EV_PERSISTED,           /**< A write is synced. */
    BBM_EV_REQUEST,             /**< Client request for an engine or a
                                     service. */
    BBM_EV_FIRST_BYTE,          /**< First byte from the upstream. */
    BBM_EV_PROGRESS,            /**< Tokens were generated. */
    BBM_EV_FINISHED,            /**< An attempt ended. */
    BBM_EV_CLIENT_DISCONNECTED, /**< The client closed its connection, or its
                                     sending side. */
    BBM_EV_REPORT,              /**< Report of an engine. */
    BBM_EV_REPORT_FAILED,       /**< An engine's report could not be read. */
    BBM_EV_ORDER_RESULT,        /**< Engine's answer to an order. */
    BBM_EV_OPERATOR,            /**< Operator call. */
    BBM_EV_ENTRIES,             /**< A client asks for entry addresses. */
    BBM_EV_POOL_REQUEST,        /**< Client request on a host's route. */
    BBM_EV_RESPONSE_HEAD,       /**< The head of the upstream's response was
                                     passed on. */
    BBM_EV_STREAM_PROGRESS,     /**< The stream of a pool request has been
                                     sending events for long. */
    BBM_EV_FORWARD_FINISHED,    /**< An attempt of a pool request ended. */
    BBM_EV_LISTING,             /**< The list of upstreams was read. */
    BBM_EV_ROLLOUT_REPORT,      /**< Runner's report for the rollout. */
    BBM_EV_ROLLOUT_ANSWER,      /**< Runner's answer to a rollout order. */
    BBM_EV_STORE_STATUS,        /**< Whether a KV cache store answers. */
    BBM_EV_SEEDS,               /**< The settings have new seed addresses. */
    BBM_EV_STOP,                /**< Shut down gracefully. */
} bbm_event_kind;

/** A client's request for an engine or a service. */
typedef struct bbm_request_event {
    uint64_t request;    /**< Request number, unique in this run. */
    bool has_key;        /**< The request has an API key. */
    bbm_digest key;      /**< Keyed digest of the API key under the system's
                              secret. */
    const char *path;    /**< Path, without the query. */
    const char *model;   /**< Requested model; "" on service routes. */
    size_t prompt_bytes; /**< Size of the prompt. */
    const bbm_block_id *units; /**< Hashes of the prompt's units. */
    size_t units_len;
    int64_t output_tokens_max; /**< Requested limit; 0: unspecified. */
    bool has_idem;             /**< Has an Idempotency-Key header. */
    bbm_digest idem_key;       /**< Digest of the Idempotency-Key. */
    bbm_digest body_digest;    /**< Digest of method, path and body. */
} bbm_request_event;

/** Result of an attempt at an upstream. */
typedef struct bbm_finished_event {
    uint64_t request;         /**< Request number. */
    uint32_t attempt;         /**< As in BBM_ACT_START. */
    int code;                 /**< BBM_OK if the answer is complete. */
    bool sent;                /**< Bytes may have reached the upstream. */
    bool answer_started;      /**< Bytes of the answer reached the client. */
    uint32_t status;          /**< HTTP status of the upstream; 0: none. */
    int64_t prompt_tokens;    /**< Upstream's count; -1: not given. */
    int64_t output_tokens;    /**< Upstream's count, else events seen. */
    const char *content_type; /**< For a claim's stored answer. */
    const uint8_t *body;      /**< For a claim's stored answer. */
    size_t body_len; /**< Bytes; over BBM_ANSWER_BYTES_MAX it isn't stored. */
} bbm_finished_event;

/** Operator calls. */
typedef enum bbm_verb {
    BBM_VERB_STATUS,       /**< State of this daemon. */
    BBM_VERB_MEMBERS,      /**< All VMs. */
    BBM_VERB_RUNNERS,      /**< All runners, as seen by this VM. */
    BBM_VERB_BURN,         /**< Counts of the service level
                                objectives at this VM. */
    BBM_VERB_SHOW,         /**< Revision `revision`; 0: the one in force. */
    BBM_VERB_HISTORY,      /**< All revisions. */
    BBM_VERB_PUBLISH,      /**< Publish `text` as `id` after `revision`. */
    BBM_VERB_KEYS,         /**< All keys, by name. */
    BBM_VERB_KEY_ADD,      /**< Add key `name` with `digest` for customer
                                `other_name`. */
    BBM_VERB_KEY_WITHDRAW, /**< Withdraw key `name`. */
    BBM_VERB_DRAIN,        /**< Drain VM `name` (`on`) or undo that. */
    BBM_VERB_ORDERS,       /**< All orders. */
    BBM_VERB_ORDER,        /**< Order `id`: engine `name` loads weights
                                `other_name`. */
    BBM_VERB_PAUSE,        /**< Pause (`on`) or resume orders. */
    BBM_VERB_REPLACE,      /**< Replace control VM `name` by
                                `other_name`. */
    BBM_VERB_SOURCE,       /**< Source of the newest revision; refused if the
                                view can't be proved fresh. */
    BBM_VERB_WEIGHTS,      /**< Set the weights version of model `name`. */
    BBM_VERB_RELEASE,      /**< Release build `other_name` to pool `name`
                                within `revision` milliseconds. */
    BBM_VERB_RELEASE_GET,  /**< Latest release of pool `name`; refused if the
                                view can't be proved fresh. */
} bbm_verb;

/** An operator call.  The driver truncates names to their size. */
typedef struct bbm_operator_event {
    uint64_t op; /**< Call number, unique in this run. */
    bbm_verb verb;
    char id[BBM_NAME_SIZE];         /**< Same id: a resend of that call. */
    char author[BBM_NAME_SIZE];     /**< Name of the operator. */
    char name[BBM_NAME_SIZE];       /**< First object, by verb. */
    char other_name[BBM_NAME_SIZE]; /**< Second object, by verb. */
    uint64_t revision;              /**< Revision number, the version of
                                         BBM_VERB_WEIGHTS, or the time of
                                         BBM_VERB_RELEASE, milliseconds. */
    bool on;                        /**< Switch of BBM_VERB_DRAIN and
                                         BBM_VERB_PAUSE. */
    bbm_digest digest;              /**< Digest of a key. */
    bbm_bytes text;                 /**< Configuration document. */
    uint64_t version;               /**< The operator's own version of the
                                         document; 0: revision is used. */
    bbm_bytes source;               /**< Text the document was made from. */
} bbm_operator_event;

/** A client's request on a host's route. */
typedef struct bbm_pool_request_event {
    bbm_gate_request_desc request; /**< Request number and prompt. */
    const char *host;              /**< Host header. */
    const char *path;              /**< Path, without the query. */
    bool has_key;                  /**< The request has an API key. */
    bbm_digest key;                /**< Digest of the API key. */
} bbm_pool_request_event;

/** An event.  What its pointers refer to must be valid during bbm_node_step;
 *  the node copies what it needs later. */
typedef struct bbm_event {
    bbm_event_kind kind; /**< Selects the member of the union. */
    union {
        struct {
            int64_t wall_ms; /**< Calendar time, milliseconds. */
        } tick;              /**< BBM_EV_TICK. */
        struct {
            const char *from;    /**< Sender, authenticated. */
            const uint8_t *data; /**< Message. */
            size_t len;          /**< Bytes. */
        } message;               /**< BBM_EV_MESSAGE. */
        struct {
            uint64_t seq;          /**< As in BBM_ACT_PERSIST. */
        } persisted;               /**< BBM_EV_PERSISTED. */
        bbm_request_event request; /**< BBM_EV_REQUEST. */
        struct {
            uint64_t request; /**< Request number. */
            uint32_t attempt; /**< As in BBM_ACT_START. */
        } first_byte;         /**< BBM_EV_FIRST_BYTE. */
        struct {
            uint64_t request;        /**< Request number. */
            int64_t output_tokens;   /**< Tokens generated so far by this
                                          attempt. */
        } progress;                  /**< BBM_EV_PROGRESS. */
        bbm_finished_event finished; /**< BBM_EV_FINISHED. */
        struct {
            uint64_t request; /**< Request number. */
            bool may_read;    /**< It has closed its sending side; whether it
                                   still reads isn't known. */
        } disconnected;       /**< BBM_EV_CLIENT_DISCONNECTED. */
        struct {
            const char *engine; /**< Name of the engine. */
            bbm_report report;  /**< Unused by BBM_EV_REPORT_FAILED. */
        } report;               /**< BBM_EV_REPORT, BBM_EV_REPORT_FAILED. */
        struct {
            const char *id;      /**< Id of the order. */
            int code;            /**< BBM_OK, BBM_ERR_ORDER_FENCED or other. */
        } order;                 /**< BBM_EV_ORDER_RESULT. */
        bbm_operator_event call; /**< BBM_EV_OPERATOR. */
        struct {
            uint64_t op;          /**< Call number, unique in this run. */
            uint64_t client_hash; /**< Hash of the client's API key, or
                                       of its address without one. */
            const char *zone;     /**< Zone the client names, or "". */
            size_t max;           /**< Maximum of entries; 0: the default. */
        } entries;                /**< BBM_EV_ENTRIES. */
        bbm_pool_request_event pool_request; /**< BBM_EV_POOL_REQUEST. */
        struct {
            uint64_t request;           /**< Request number. */
            uint32_t attempt;           /**< As in bbm_forward_request. */
            uint64_t origin;            /**< As in bbm_forward_request. */
            bbm_upstream_notice notice; /**< What it says of the upstream. */
        } response_head;                /**< BBM_EV_RESPONSE_HEAD. */
        struct {
            uint64_t request;         /**< Request number. */
            uint32_t attempt;         /**< As in bbm_forward_request. */
            bbm_time began_at;        /**< When its first bytes arrived. */
        } stream_progress;            /**< BBM_EV_STREAM_PROGRESS. */
        bbm_forward_result forwarded; /**< BBM_EV_FORWARD_FINISHED. */
        struct {
            const bbm_listing *listing; /**< NULL: the read failed. */
        } listing;                      /**< BBM_EV_LISTING. */
        struct {
            const char *id;                  /**< Runner. */
            const bbm_runner_report *report; /**< NULL: no answer. */
            bbm_upstream_notice notice;      /**< What the answer states. */
        } rollout_report;                    /**< BBM_EV_ROLLOUT_REPORT. */
        struct {
            const char *id;             /**< Runner. */
            bbm_order_answer answer;    /**< Its answer. */
            bbm_upstream_notice notice; /**< What the answer states. */
        } rollout_answer;               /**< BBM_EV_ROLLOUT_ANSWER. */
        struct {
            const char *address; /**< IP:port of the store. */
            bool alive;          /**< The store answers. */
        } store_status;          /**< BBM_EV_STORE_STATUS. */
        struct {
            const char (*addresses)[BBM_ADDRESS_SIZE]; /**< Seeds. */
            size_t len;                                /**< Their number. */
        } seeds;                                       /**< BBM_EV_SEEDS. */
    } u;                                               /**< By kind. */
} bbm_event;

/* ---- actions ---- */

/** Action kinds. */
typedef enum bbm_action_kind {
    BBM_ACT_SEND,         /**< Send a message to another daemon. */
    BBM_ACT_PERSIST,      /**< Write to the data folder. */
    BBM_ACT_START,        /**< Send a request to an upstream. */
    BBM_ACT_ANSWER,       /**< Final answer to a client. */
    BBM_ACT_ABORT,        /**< Abort a running request. */
    BBM_ACT_REPLY,        /**< Answer to an operator or entries call. */
    BBM_ACT_ORDER,        /**< Send an order to an engine. */
    BBM_ACT_WATCH_RUNNER, /**< Start or stop reading a runner's reports. */
    BBM_ACT_READY,        /**< Readiness changed. */
    BBM_ACT_FORWARD,      /**< Send a request to a pool's upstream. */
    BBM_ACT_RESUBMIT,     /**< Pass a request's BBM_EV_POOL_REQUEST again
                               shortly. */
    BBM_ACT_READ_LISTING, /**< Read the list of upstreams. */
    BBM_ACT_ROLLOUT,      /**< Request a runner's report, or send it an
                               order. */
    BBM_ACT_WATCH_STORE,  /**< Start or stop checking a KV cache store. */
    BBM_ACT_LIMITS,       /**< Limits on clients changed. */
    BBM_ACT_LOG,          /**< Log an event. */
    BBM_ACT_STOPPED,      /**< Shutdown is complete: exit. */
} bbm_action_kind;

/** Send a request to an upstream. */
typedef struct bbm_start {
    uint64_t request;               /**< Request number. */
    uint32_t attempt;               /**< Starts at 1. */
    char request_id[BBM_NAME_SIZE]; /**< Sent to the upstream. */
    char upstream[BBM_NAME_SIZE];   /**< Name of the engine or service. */
    char url[BBM_URL_SIZE];         /**< Base URL. */
    char weights[BBM_NAME_SIZE];    /**< Requested weights; "": service. */
    char cache_salt[BBM_NAME_SIZE]; /**< Scope of cache entries, as
                                         bbm_config_model_scope. */
    uint32_t priority;              /**< 0 is the most urgent. */
    bool import_cache;              /**< Import from the KV store. */
    bool no_retry;                  /**< The request must not be repeated. */
    bool return_body;               /**< Put the body into BBM_EV_FINISHED. */
    bbm_time first_byte_timeout;    /**< Until the first byte. */
    bbm_time idle_timeout;          /**< Between bytes. */
    bbm_time not_after;   /**< Don't start sending later than this. */
    double cached_tokens; /**< Prompt tokens cached at the upstream,
                               estimated. */
} bbm_start;

/** An action. */
typedef struct bbm_action {
    bbm_action_kind kind; /**< Selects the member of the union. */
    union {
        struct {
            char to[BBM_NAME_SIZE];         /**< Name of the receiver. */
            char address[BBM_ADDRESS_SIZE]; /**< Its IP:port; "": unknown. */
            bbm_buf bytes;                  /**< Message. */
        } send;                             /**< BBM_ACT_SEND. */
        bbm_raft_persist persist;           /**< BBM_ACT_PERSIST. */
        bbm_start start;                    /**< BBM_ACT_START. */
        struct {
            uint64_t request;       /**< Request number. */
            int code;               /**< BBM_OK: body is the answer. */
            int64_t retry_after_ms; /**< Retry-After; 0: none. */
            uint32_t status;        /**< HTTP status of a stored answer. */
            char content_type[BBM_NAME_SIZE]; /**< Its content type. */
            bbm_buf body;                     /**< Its body. */
        } answer;                             /**< BBM_ACT_ANSWER. */
        struct {
            uint64_t request; /**< Request number. */
            int code;         /**< Reason; BBM_OK: client disconnected. */
        } abort;              /**< BBM_ACT_ABORT. */
        struct {
            uint64_t op;  /**< Call number. */
            int code;     /**< Result. */
            bbm_buf body; /**< JSON. */
        } reply;          /**< BBM_ACT_REPLY. */
        struct {
            char id[BBM_NAME_SIZE];      /**< Id of the order. */
            char url[BBM_URL_SIZE];      /**< Base URL of the engine. */
            char weights[BBM_NAME_SIZE]; /**< Weights to load. */
            char source[BBM_URL_SIZE];   /**< URL to load them from. */
            uint64_t fence;              /**< Fencing token. */
            bbm_time not_after;          /**< Don't send later than this. */
            bbm_time timeout;            /**< Timeout of the HTTP request. */
        } order;                         /**< BBM_ACT_ORDER. */
        struct {
            char engine[BBM_NAME_SIZE]; /**< Name of the runner. */
            char url[BBM_URL_SIZE];     /**< Base URL. */
            bool on;    /**< Start from a report of all blocks, or stop. */
        } watch_runner; /**< BBM_ACT_WATCH_RUNNER. */
        struct {
            bool on; /**< Ready. */
        } ready;     /**< BBM_ACT_READY. */
        struct {
            bbm_forward_request send; /**< Request and upstream. */
            bool resumes; /**< Resume the stream after last_event_id. */
            char last_event_id[BBM_EVENT_ID_SIZE]; /**< Id of the last event
                                                        passed on. */
        } forward;                                 /**< BBM_ACT_FORWARD. */
        struct {
            uint64_t request; /**< Request number. */
        } resubmit;           /**< BBM_ACT_RESUBMIT. */
        struct {
            bbm_rollout_action action; /**< Request for a runner. */
            bbm_time not_after;        /**< Don't send later than this. */
        } rollout;                     /**< BBM_ACT_ROLLOUT. */
        struct {
            char address[BBM_NAME_SIZE]; /**< IP:port. */
            bool on;                     /**< Start or stop. */
        } watch_store;                   /**< BBM_ACT_WATCH_STORE. */
        bbm_limits limits;               /**< BBM_ACT_LIMITS. */
        struct {
            bbm_log_event event;                   /**< Event to log. */
            bbm_log_pair pairs[BBM_LOG_PAIRS_MAX]; /**< Its fields. */
            size_t len;                            /**< Number of fields. */
        } log;                                     /**< BBM_ACT_LOG. */
    } u;                                           /**< By kind. */
} bbm_action;

/* ---- the object ---- */

/** Kinds of messages between daemons, as counted. */
typedef enum bbm_traffic_kind {
    BBM_TRAFFIC_CONTROL, /**< Log, state, commands and data folders. */
    BBM_TRAFFIC_MEMBERS, /**< Failure detector. */
    BBM_TRAFFIC_RATES,   /**< Reports and grants of rates. */
    BBM_TRAFFIC_LISTING, /**< Listings and their changes. */
    BBM_TRAFFIC_LOADS,   /**< Reports of load and news. */
    BBM_TRAFFIC_TOTALS,  /**< Totals of the load, and news. */
    BBM_TRAFFIC_ORIGINS, /**< Origins of streams. */
    BBM_TRAFFIC_COUNT,   /**< Number of kinds. */
} bbm_traffic_kind;

/** Bytes sent to other daemons. */
typedef struct bbm_traffic {
    uint64_t in_zone;  /**< To VMs of this VM's zone. */
    uint64_t out_zone; /**< To others, and to VMs whose zone isn't known. */
} bbm_traffic;

/** Metrics of a node: counters, unless marked as a gauge.  Pool requests are
 *  counted in `gate`; besides that in `requests`, and in refused_key or
 *  refused_other if they are refused before they reach the gate. */
typedef struct bbm_node_counts {
    bbm_histogram event_time;  /**< Time that one event takes on the thread
                                    that decides; filled in by the driver. */
    uint64_t requests;         /**< Requests received, refused ones included;
                                    not those to be resubmitted. */
    uint64_t started;          /**< Attempts started. */
    uint64_t retries;          /**< Attempts after the first. */
    uint64_t finished;         /**< Requests with a complete answer. */
    uint64_t failed;           /**< Requests whose last attempt failed. */
    uint64_t aborted;          /**< Requests aborted by the router. */
    uint64_t refused_rate;     /**< Refused: rate limit exhausted. */
    uint64_t refused_load;     /**< Refused: could not start in time. */
    uint64_t refused_key;      /**< Refused: key missing, invalid or stale; on
                                    pool routes also without a route. */
    uint64_t refused_other;    /**< Refused for other reasons; on pool routes
                                    those with status 503. */
    uint64_t prompt_tokens;    /**< Prompt tokens of started requests,
                                    estimated. */
    uint64_t cached_tokens;    /**< Prompt tokens expected in the cache of the
                                    chosen runner. */
    uint64_t elsewhere_tokens; /**< Prompt tokens cached only at another
                                    runner. */
    uint64_t output_tokens;    /**< Output tokens of complete answers. */
    uint64_t claims;           /**< Claims recorded in the log. */
    uint64_t repeats;          /**< Repeats answered from a claim. */
    uint64_t messages_out;     /**< Messages sent to daemons. */
    uint64_t bytes_out;        /**< Bytes sent to daemons. */
    bbm_traffic traffic[BBM_TRAFFIC_COUNT]; /**< The same by kind. */
    uint64_t messages_in;      /**< Messages received from daemons. */
    uint64_t bytes_in;         /**< Bytes received from daemons. */
    uint64_t bad_messages;     /**< Messages that could not be decoded. */
    uint64_t oldest_format;    /**< Oldest format of the alive VMs; 0: unknown
                                    (gauge). */
    uint64_t state_unreadable; /**< 1: this VM can't read the log's state and
                                    has left the control group (gauge). */
    uint64_t open;             /**< Open requests (gauge). */
    uint64_t queued;           /**< Requests waiting for a runner (gauge). */
    uint64_t revision;         /**< Configuration in force (gauge). */
    uint64_t term;             /**< Term of the control group (gauge). */
    uint64_t is_leader;        /**< 1 if leading, else 0 (gauge). */
    uint64_t key_age_ms;       /**< Age of the keys (gauge). */
    uint64_t totals_age_ms;    /**< Age of the leader's totals of the load at
                                    upstreams (gauge); 0: none received. */
    uint64_t listing_age_ms;   /**< Age of the listing; 0 if it was never read
                                    (gauge). */
    uint64_t upstreams;        /**< Upstreams in the listing (gauge). */
    uint64_t rollout_pending;  /**< Leader: runners that hold an older
                                    version than the newest (gauge). */
    uint64_t rollout_in_progress; /**< Leader: runners that occupy a place of
                                       the rollout (gauge). */
    uint64_t rollout_silent;      /**< Leader: pending runners that don't
                                       answer it, or are suspected (gauge). */
    uint64_t rollout_age_ms;      /**< Leader: time since the first version was
                                       named that a runner lacks (gauge). */
    bbm_gate_counts gate;         /**< Requests to pools. */
    uint64_t log_entries;     /**< Of the control group, after the snapshot. */
    uint64_t log_bytes;       /**< Of these entries, in memory. */
    uint64_t snapshot_bytes;  /**< Of the control group's snapshot. */
    uint64_t tail_bytes;      /**< Public commands kept for other VMs. */
    uint64_t proposal_bytes;  /**< Proposals without an outcome yet. */
    uint64_t unwritten_bytes; /**< Writes to the data folder that aren't
                                   confirmed. */
    uint64_t folder_bytes;    /**< Of the data folder; filled in by the
                                   driver. */
} bbm_node_counts;

/** A node; opaque. */
typedef struct bbm_node bbm_node;

/** Create a node.  The strings and arrays in @p desc are copied. */
bbm_node *bbm_node_create(const bbm_node_desc *desc);
/** Destroy a node; NULL is allowed. */
void bbm_node_destroy(bbm_node *n);
/** Process an event at time @p now. */
void bbm_node_step(bbm_node *n, const bbm_event *ev, bbm_time now);
/** Next action, or NULL.  The previous one is released. */
bbm_action *bbm_node_next_action(bbm_node *n);
/** Bytes of the texts of the configuration that the node keeps. */
size_t bbm_node_text_bytes(const bbm_node *n);
/** Bytes that the node keeps of changes besides: the log of the control group,
 *  its snapshot, unconfirmed writes, and the commands for other VMs. */
size_t bbm_node_change_bytes(const bbm_node *n);
/** Metrics at time @p now. */
bbm_node_counts bbm_node_count(const bbm_node *n, bbm_time now);

/** Replicated state, read-only; valid until the next step. */
const bbm_state *bbm_node_state(const bbm_node *n);
/** Failure detector, read-only. */
const bbm_members *bbm_node_members(const bbm_node *n);
/** Raft member, read-only; NULL without a data folder. */
const bbm_raft *bbm_node_raft(const bbm_node *n);

#endif
