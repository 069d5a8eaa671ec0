/** @file
 *  All that one daemon decides, behind one object.
 *
 *  A node admits, places, retries, refuses, claims, spreads and votes.  It
 *  has no socket, thread, clock or file: events and the time go in, typed
 *  actions come out.  The daemon is a thin shell around it, and another
 *  program may drive a fleet of nodes message by message in its own time.
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
 *  - Give BBM_EV_TICK every 10 to 50 ms, with the calendar time.
 *  - Carry out actions in order.  An action is valid until the next call of
 *    bbm_node_next_action; what it owns may be moved out of it (leave zeros).
 *  - BBM_ACT_PERSIST: write and sync, then give BBM_EV_PERSISTED.  It may be
 *    done in another thread, but in order.
 *  - BBM_ACT_START: check not_after against the clock right before the first
 *    byte is sent; if it has passed, give BBM_EV_FINISHED with sent false.
 *  - Every BBM_EV_REQUEST gets exactly one BBM_ACT_ANSWER, or the answer of
 *    the upstream that BBM_ACT_START named last.  After BBM_ACT_ABORT the
 *    driver aborts the connection of the caller and of the upstream.
 *  - Messages may be lost, doubled, late or out of order.  They must come
 *    from who they say: the driver authenticates them.
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

/** Control VMs that may be named as founders. */
#define BBM_FOUNDERS_MAX 7
/** Bytes of an upstream's address, its end mark included. */
#define BBM_URL_SIZE 256

/** Another daemon, as settings name it. */
typedef struct bbm_peer {
    char name[BBM_NAME_SIZE];       /**< Its name. */
    char address[BBM_ADDRESS_SIZE]; /**< For messages. */
} bbm_peer;

/** How to make a node.  Zero means the default. */
typedef struct bbm_node_desc {
    char name[BBM_NAME_SIZE];         /**< Of this daemon. */
    char zone[BBM_NAME_SIZE];         /**< Availability zone. */
    char address[BBM_ADDRESS_SIZE];   /**< For other daemons. */
    char entry_url[BBM_ADDRESS_SIZE]; /**< URL for callers. */
    uint64_t run;                     /**< This run: calendar and random. */
    uint64_t seed;                    /**< For choices. */
    bbm_member_id disk_id; /**< Identity of the data folder; 0: none. */
    bbm_raft_saved *saved; /**< What the folder holds; emptied. */
    const bbm_peer *peers; /**< Daemons to begin with. */
    size_t peers_len;      /**< How many. */
    char founders[BBM_FOUNDERS_MAX][BBM_NAME_SIZE]; /**< First voters. */
    size_t founders_len;                            /**< How many. */
    char seeds[BBM_SEEDS_MAX][BBM_ADDRESS_SIZE];    /**< To join by. */
    size_t seeds_len;                               /**< How many. */
    bool first_start;          /**< The system has never run: the first seed
                                    founds the control group. */
    bool self_repair;          /**< Lost control VMs are replaced unasked. */
    bool discovery;            /**< Upstreams are found by a list. */
    bbm_time list_period;      /**< Between looks at the list; 0: 1 s. */
    bbm_time load_period;      /**< Between tales of load; 0: 250 ms. */
    bbm_time gossip_period;    /**< Between pings; 0: 1 s. */
    bbm_time stop_timeout;     /**< A stopping VM ends by then; 0: never. */
    size_t revision_texts_max; /**< Texts of revisions kept; 0: 64. */
    bbm_gate_desc gate; /**< Requests to pools; zone and seed are ours. */
    bbm_time now;       /**< Present moment. */
    bbm_time election_timeout; /**< Election timeout; 0: 1 s. */
    bbm_time
        key_age_max; /**< Keyed routes stop when keys are older; 0: 5 s. */
    bbm_time key_age_abort; /**< Keyed streams are cut then; 0: 10 s. */
    bbm_time entry_ttl;     /**< An entries answer may be kept; 0: 10 s. */
    bbm_time rate_timeout;  /**< Wait for the rate's owner; 0: 150 ms. */
    size_t requests_max;    /**< Requests open; 0: 4,000. */
    size_t snapshot_interval_entries; /**< Log entries between snapshots; 0:
                                         512. */
    bbm_policy policy;                /**< How runners are chosen. */
    bool no_fair_queuing;   /**< Switch off: fair queuing, for benches. */
    bool unsafe_stale_keys; /**< Tests only: serve with stale keys. */
    bool unsafe_no_claim;   /**< Tests only: run without a claim. */
    bool unsafe_no_sync;    /**< Tests only: acknowledge unsynced. */
    bool unsafe_no_prevote; /**< Tests only: elections at once. */
    bool unsafe_no_lease;   /**< Tests only: votes are never held back. */
} bbm_node_desc;

/* ---- events ---- */

/** Kinds of event. */
typedef enum bbm_event_kind {
    BBM_EV_TICK,                /**< Time has passed. */
    BBM_EV_MESSAGE,             /**< Another daemon's message. */
    BBM_EV_PERSISTED,           /**< A write is synced. */
    BBM_EV_REQUEST,             /**< A caller's request. */
    BBM_EV_FIRST_BYTE,          /**< An upstream began to answer. */
    BBM_EV_PROGRESS,            /**< Tokens have been generated. */
    BBM_EV_FINISHED,            /**< An attempt ended. */
    BBM_EV_CLIENT_DISCONNECTED, /**< The caller went away. */
    BBM_EV_REPORT,              /**< A runner's report. */
    BBM_EV_REPORT_FAILED,       /**< A runner could not be asked. */
    BBM_EV_ORDER_RESULT,        /**< What an engine said to an order. */
    BBM_EV_OPERATOR,            /**< An operator's call. */
    BBM_EV_ENTRIES,             /**< A caller asks which address to use. */
    BBM_EV_POOL_REQUEST,        /**< A caller's request on a host's route. */
    BBM_EV_RESPONSE_HEAD,       /**< The head of its answer was passed on. */
    BBM_EV_FORWARD_FINISHED,    /**< An attempt of it ended. */
    BBM_EV_LISTING,             /**< The list of upstreams was read. */
    BBM_EV_ROLLOUT_REPORT,      /**< A runner's report for the rollout. */
    BBM_EV_ROLLOUT_ANSWER,      /**< A runner answered the rollout's order. */
    BBM_EV_STORE_STATUS, /**< A store of KV cache answers, or doesn't. */
    BBM_EV_SEEDS,        /**< Settings name other addresses to join by. */
    BBM_EV_STOP,         /**< Shut down gracefully. */
} bbm_event_kind;

/** A caller's request. */
typedef struct bbm_request_event {
    uint64_t request;    /**< Number, unique in this run. */
    bool has_key;        /**< A key was shown. */
    bbm_digest key;      /**< Its digest, keyed by the system's secret. */
    const char *path;    /**< Path, without the query. */
    const char *model;   /**< Model asked for, or "" on service routes. */
    size_t prompt_bytes; /**< Bytes of prompt. */
    const bbm_block_id *units; /**< Hashes of its units. */
    size_t units_len;          /**< Units. */
    int64_t output_tokens_max; /**< Output tokens asked for; 0: not said. */
    bool has_idem;             /**< An Idempotency-Key came. */
    bbm_digest idem_key;       /**< Its digest. */
    bbm_digest body_digest;    /**< Digest of method, path and body. */
} bbm_request_event;

/** How an attempt at an upstream ended. */
typedef struct bbm_finished_event {
    uint64_t request;         /**< Number. */
    uint32_t attempt;         /**< As in BBM_ACT_START. */
    int code;                 /**< BBM_OK if the whole answer came. */
    bool sent;                /**< A byte may have reached the upstream. */
    bool answer_started;      /**< A byte of the answer went to the caller. */
    uint32_t status;          /**< HTTP status of the upstream; 0: none. */
    int64_t prompt_tokens;    /**< As the upstream counted; -1: it didn't. */
    int64_t output_tokens;    /**< As it counted, or events seen. */
    const char *content_type; /**< Content type, for a claim's answer. */
    const uint8_t *body;      /**< Answer's body, for a claim. */
    size_t body_len; /**< Bytes; more than BBM_ANSWER_BYTES_MAX: not kept. */
} bbm_finished_event;

/** What an operator wants. */
typedef enum bbm_verb {
    BBM_VERB_STATUS,       /**< State of this daemon. */
    BBM_VERB_MEMBERS,      /**< All VMs. */
    BBM_VERB_RUNNERS,      /**< All runners as seen from here. */
    BBM_VERB_BURN,         /**< Objectives' counts here. */
    BBM_VERB_SHOW,         /**< A revision; number 0: in force. */
    BBM_VERB_HISTORY,      /**< All revisions. */
    BBM_VERB_PUBLISH,      /**< Publish text as id on top of number. */
    BBM_VERB_KEYS,         /**< All keys, by name. */
    BBM_VERB_KEY_ADD,      /**< Give key name to other, with digest. */
    BBM_VERB_KEY_WITHDRAW, /**< Withdraw key name. */
    BBM_VERB_DRAIN,        /**< VM name leaves (on) or is back. */
    BBM_VERB_ORDERS,       /**< All orders. */
    BBM_VERB_ORDER,        /**< Order id: engine name loads other. */
    BBM_VERB_PAUSE,        /**< Stop (on) or go on with orders. */
    BBM_VERB_REPLACE,      /**< Control VM name is replaced by other. */
    BBM_VERB_SOURCE,       /**< The newest revision's source, or a refusal. */
    BBM_VERB_WEIGHTS,      /**< Model name's weights have version number. */
} bbm_verb;

/** An operator's call; names are cut to their size by the driver. */
typedef struct bbm_operator_event {
    uint64_t op;                    /**< Number, unique in this run. */
    bbm_verb verb;                  /**< What. */
    char id[BBM_NAME_SIZE];         /**< Identifier, for resends. */
    char author[BBM_NAME_SIZE];     /**< Operator. */
    char name[BBM_NAME_SIZE];       /**< First object. */
    char other_name[BBM_NAME_SIZE]; /**< Second object. */
    uint64_t revision;              /**< Revision. */
    bool on;                        /**< Switch. */
    bbm_digest digest;              /**< Of a key. */
    bbm_bytes text;                 /**< Document. */
    uint64_t version;               /**< Of the operator's own; 0: number. */
    bbm_bytes source;               /**< What the document was made from. */
} bbm_operator_event;

/** A caller's request on a host's route. */
typedef struct bbm_pool_request_event {
    bbm_gate_request_desc request; /**< Its number and prompt. */
    const char *host;              /**< That the caller names. */
    const char *path;              /**< Path, without the query. */
    bool has_key;                  /**< A key was shown. */
    bbm_digest key;                /**< Its digest. */
} bbm_pool_request_event;

/** An event. */
typedef struct bbm_event {
    bbm_event_kind kind; /**< Which member of the union holds. */
    union {
        struct {
            int64_t wall_ms; /**< Calendar time, milliseconds. */
        } tick;              /**< BBM_EV_TICK. */
        struct {
            const char *from;    /**< Sender, authenticated. */
            const uint8_t *data; /**< Bytes. */
            size_t len;          /**< How many. */
        } message;               /**< BBM_EV_MESSAGE. */
        struct {
            uint64_t seq;          /**< As in BBM_ACT_PERSIST. */
        } persisted;               /**< BBM_EV_PERSISTED. */
        bbm_request_event request; /**< BBM_EV_REQUEST. */
        struct {
            uint64_t request; /**< Number. */
            uint32_t attempt; /**< As in BBM_ACT_START. */
        } first_byte;         /**< BBM_EV_FIRST_BYTE. */
        struct {
            uint64_t request;        /**< Number. */
            int64_t output;          /**< Tokens generated so far. */
        } progress;                  /**< BBM_EV_PROGRESS. */
        bbm_finished_event finished; /**< BBM_EV_FINISHED. */
        struct {
            uint64_t request; /**< Number. */
        } gone;               /**< BBM_EV_CLIENT_DISCONNECTED. */
        struct {
            const char *engine; /**< Its name. */
            bbm_report report;  /**< What it said; unused if unheard. */
        } report;               /**< BBM_EV_REPORT, BBM_EV_REPORT_FAILED. */
        struct {
            const char *id;      /**< Of the order. */
            int code;            /**< BBM_OK, BBM_ERR_ORDER_FENCED or other. */
        } order;                 /**< BBM_EV_ORDER_RESULT. */
        bbm_operator_event call; /**< BBM_EV_OPERATOR. */
        struct {
            uint64_t op;      /**< Number, unique in this run. */
            uint64_t caller;  /**< Hash of who asks. */
            const char *zone; /**< Zone that it names, or "". */
            size_t most;      /**< Entries wanted; 0: the default. */
        } entries;            /**< BBM_EV_ENTRIES. */
        bbm_pool_request_event request_to_pool; /**< BBM_EV_POOL_REQUEST. */
        struct {
            uint64_t request;         /**< Number. */
            uint32_t attempt;         /**< As in bbm_forward_request. */
        } head;                       /**< BBM_EV_RESPONSE_HEAD. */
        bbm_forward_result forwarded; /**< BBM_EV_FORWARD_FINISHED. */
        struct {
            const bbm_listing *listing; /**< NULL: it could not be read. */
        } listing;                      /**< BBM_EV_LISTING. */
        struct {
            const char *id;                  /**< Runner. */
            const bbm_runner_report *report; /**< NULL: no answer. */
        } runner;                            /**< BBM_EV_ROLLOUT_REPORT. */
        struct {
            const char *id;          /**< Runner. */
            bbm_order_answer answer; /**< What it said. */
        } ordered;                   /**< BBM_EV_ROLLOUT_ANSWER. */
        struct {
            const char *address; /**< Store. */
            bool alive;          /**< It answers. */
        } store;                 /**< BBM_EV_STORE_STATUS. */
        struct {
            const char (*addresses)[BBM_ADDRESS_SIZE]; /**< To join by. */
            size_t len;                                /**< How many. */
        } seeds;                                       /**< BBM_EV_SEEDS. */
    } u;                                               /**< By kind. */
} bbm_event;

/* ---- actions ---- */

/** Kinds of action. */
typedef enum bbm_action_kind {
    BBM_ACT_SEND,         /**< Message to another daemon. */
    BBM_ACT_PERSIST,      /**< Write to the data folder. */
    BBM_ACT_START,        /**< Send a request to an upstream. */
    BBM_ACT_ANSWER,       /**< Final answer to a caller. */
    BBM_ACT_ABORT,        /**< Abort a request that runs. */
    BBM_ACT_REPLY,        /**< Answer to an operator or about entries. */
    BBM_ACT_ORDER,        /**< Send an order to an engine. */
    BBM_ACT_WATCH_RUNNER, /**< Ask a runner for reports, or stop. */
    BBM_ACT_READY,        /**< Readiness changed. */
    BBM_ACT_FORWARD,      /**< Send a request to a pool's upstream. */
    BBM_ACT_RESUBMIT, /**< Give a request's BBM_EV_POOL_REQUEST again soon. */
    BBM_ACT_READ_LISTING, /**< Read the list of upstreams. */
    BBM_ACT_ROLLOUT,      /**< Ask a runner, or give it an order. */
    BBM_ACT_WATCH_STORE,  /**< Watch a store of KV cache, or stop. */
    BBM_ACT_LIMITS,       /**< Limits on callers changed. */
    BBM_ACT_LOG,          /**< Log an event. */
    BBM_ACT_STOPPED,      /**< Nothing is open any more: exit. */
} bbm_action_kind;

/** Send a request to an upstream. */
typedef struct bbm_start {
    uint64_t request;               /**< Number. */
    uint32_t attempt;               /**< From 1. */
    char request_id[BBM_NAME_SIZE]; /**< Identifier to pass on. */
    char upstream[BBM_NAME_SIZE];   /**< Name of the engine or service. */
    char url[BBM_URL_SIZE];         /**< Base address. */
    char weights[BBM_NAME_SIZE];    /**< Version asked for; "": service. */
    char cache_salt[BBM_NAME_SIZE]; /**< Scope of cache entries. */
    uint32_t priority;              /**< 0 is the most urgent. */
    bool import_cache;              /**< Import from the KV store. */
    bool no_retry;                  /**< May not be repeated. */
    bool return_body;               /**< Give the body in BBM_EV_FINISHED. */
    bbm_time first_byte_timeout;    /**< Time allowed to the first byte. */
    bbm_time idle_timeout;          /**< Time allowed between bytes. */
    bbm_time not_after;             /**< Don't send after this moment. */
    double cached_tokens;           /**< Prompt tokens held there. */
} bbm_start;

/** An action. */
typedef struct bbm_action {
    bbm_action_kind kind; /**< Which member of the union holds. */
    union {
        struct {
            char to[BBM_NAME_SIZE];         /**< Receiver. */
            char address[BBM_ADDRESS_SIZE]; /**< Its address; "": unknown. */
            bbm_buf bytes;                  /**< Message. */
        } send;                             /**< BBM_ACT_SEND. */
        bbm_raft_persist persist;           /**< BBM_ACT_PERSIST. */
        bbm_start start;                    /**< BBM_ACT_START. */
        struct {
            uint64_t request;         /**< Number. */
            int code;                 /**< BBM_OK: the body is an answer. */
            int64_t retry_after_ms;   /**< When to come back; 0: not said. */
            uint32_t status;          /**< HTTP status of a kept answer. */
            char type[BBM_NAME_SIZE]; /**< Its content type. */
            bbm_buf body;             /**< Its body. */
        } answer;                     /**< BBM_ACT_ANSWER. */
        struct {
            uint64_t request; /**< Number. */
            int code;         /**< Why. */
        } cut;                /**< BBM_ACT_ABORT. */
        struct {
            uint64_t op;  /**< Number of the call. */
            int code;     /**< Result. */
            bbm_buf body; /**< JSON. */
        } reply;          /**< BBM_ACT_REPLY. */
        struct {
            char id[BBM_NAME_SIZE];      /**< Of the order. */
            char url[BBM_URL_SIZE];      /**< Engine's base address. */
            char weights[BBM_NAME_SIZE]; /**< Version to load. */
            char source[BBM_URL_SIZE];   /**< Where it loads from. */
            uint64_t fence;              /**< Fencing number. */
            bbm_time not_after;          /**< Don't send after this. */
            bbm_time limit;              /**< Time on the wire. */
        } order;                         /**< BBM_ACT_ORDER. */
        struct {
            char engine[BBM_NAME_SIZE]; /**< Runner. */
            char url[BBM_URL_SIZE];     /**< Base address. */
            bool on; /**< Start, with all its blocks, or stop. */
        } watch;     /**< BBM_ACT_WATCH_RUNNER. */
        struct {
            bool on; /**< Ready. */
        } ready;     /**< BBM_ACT_READY. */
        struct {
            bbm_forward_request send; /**< What goes where. */
            bool resumes;             /**< Goes on after last_event. */
            char last_event[BBM_EVENT_ID_SIZE]; /**< Passed on last. */
        } forward;                              /**< BBM_ACT_FORWARD. */
        struct {
            uint64_t request; /**< Number. */
        } later;              /**< BBM_ACT_RESUBMIT. */
        struct {
            bbm_rollout_action act; /**< What. */
            bbm_time not_after;     /**< Don't send after this. */
        } rollout;                  /**< BBM_ACT_ROLLOUT. */
        struct {
            char address[BBM_NAME_SIZE]; /**< IP:port. */
            bool on;                     /**< Watch it. */
        } store;                         /**< BBM_ACT_WATCH_STORE. */
        bbm_limits limits;               /**< BBM_ACT_LIMITS. */
        struct {
            bbm_log_event event;                   /**< Which. */
            bbm_log_pair pairs[BBM_LOG_PAIRS_MAX]; /**< Its fields. */
            size_t len;                            /**< How many. */
        } log;                                     /**< BBM_ACT_LOG. */
    } u;                                           /**< By kind. */
} bbm_action;

/* ---- the object ---- */

/** Counters of a node, for metrics; they only rise unless said otherwise. */
typedef struct bbm_node_counts {
    uint64_t requests;         /**< Requests taken in. */
    uint64_t started;          /**< Attempts started. */
    uint64_t retries;          /**< Attempts after the first. */
    uint64_t finished;         /**< Answers that came whole. */
    uint64_t failed;           /**< Requests that ended with an error. */
    uint64_t aborted;          /**< Requests cut by us. */
    uint64_t refused_rate;     /**< Refused: rate used up. */
    uint64_t refused_load;     /**< Refused: could not start in time. */
    uint64_t refused_key;      /**< Refused: key missing, bad or stale. */
    uint64_t refused_other;    /**< Refused: other causes. */
    uint64_t prompt_tokens;    /**< Prompt tokens of started requests. */
    uint64_t cached_tokens;    /**< Of these, expected in the cache. */
    uint64_t elsewhere_tokens; /**< Of the rest, cached at another runner. */
    uint64_t output_tokens;    /**< Tokens generated. */
    uint64_t claims;           /**< Claims made. */
    uint64_t repeats;          /**< Repeats answered from a claim. */
    uint64_t messages_out;     /**< Messages to daemons. */
    uint64_t bytes_out;        /**< Their bytes. */
    uint64_t messages_in;      /**< Messages from daemons. */
    uint64_t bytes_in;         /**< Their bytes. */
    uint64_t bad_messages;     /**< Refused messages. */
    uint64_t open;             /**< Open now (a gauge). */
    uint64_t queued;           /**< Waiting for a runner now (a gauge). */
    uint64_t revision;         /**< Configuration in force (a gauge). */
    uint64_t term;             /**< Term of the control group (a gauge). */
    uint64_t is_leader;        /**< 1 if leading (a gauge). */
    uint64_t key_age_ms;       /**< Age of the keys (a gauge). */
    uint64_t listing_age_ms;   /**< Age of the list of upstreams (a gauge). */
    uint64_t upstreams;        /**< Upstreams in it (a gauge). */
    bbm_gate_counts gate;      /**< Requests to pools. */
} bbm_node_counts;

/** A node; opaque. */
typedef struct bbm_node bbm_node;

/** Make a node. */
bbm_node *bbm_node_create(const bbm_node_desc *desc);
/** Release; NULL is allowed. */
void bbm_node_destroy(bbm_node *n);
/** Something happened at a moment. */
void bbm_node_step(bbm_node *n, const bbm_event *ev, bbm_time now);
/** The next action, or NULL. */
bbm_action *bbm_node_next_action(bbm_node *n);
/** Counters at a moment. */
bbm_node_counts bbm_node_count(const bbm_node *n, bbm_time now);

/** The replicated state, to look at. */
const bbm_state *bbm_node_state(const bbm_node *n);
/** The members, to look at. */
const bbm_members *bbm_node_members(const bbm_node *n);
/** The log's member, or NULL without a disk; to look at. */
const bbm_raft *bbm_node_raft(const bbm_node *n);

#endif
