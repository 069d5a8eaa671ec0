/** @file
 *  State of a gate, shared by the package's sources (private).
 */
#ifndef GATE_CORE_H
#define GATE_CORE_H

#include "bbm_gate.h"
#include "bbm_hash.h"
#include "bbm_loads.h"
#include "bbm_places.h"
#include "bbm_retry.h"
#include "bbm_share.h"

#include <sys/queue.h>
#include <uthash.h>

/** Pools of one route that are looked at. */
#define GATE_POOLS_MAX 4
/** Upstreams that a request has been refused by or failed at. */
#define GATE_FAILED_MAX 6

/** What is known of a pool. */
typedef struct gate_pool {
    char name[BBM_NAME_SIZE];      /**< Which. */
    bool is_engine;                /**< Of model runners. */
    bool configured;               /**< Still configured. */
    uint32_t slots;                /**< Requests at once, if untold. */
    double prefill_tokens_per_ms;  /**< Prompt tokens read per millisecond. */
    double memory_tokens;          /**< Tokens that a runner holds. */
    double fetch_ms_per_token;     /**< Milliseconds to fetch a token. */
    double service_ms;             /**< Smoothed time of a plain call. */
    bbm_retry_budget retry_budget; /**< For sending again. */
    UT_hash_handle hh;             /**< By name. */
} gate_pool;

/** An upstream; it lives until it is neither listed nor used. */
typedef struct gate_upstream {
    bbm_listing_entry info;     /**< As listed. */
    gate_pool *pool;            /**< Its pool; NULL: none is configured. */
    uint64_t hash;              /**< Of its id. */
    UT_hash_handle by_hash;     /**< By that. */
    bbm_time cache_empty_since; /**< When it last began without what it has. */
    bool was_listed;            /**< It was listed before. */
    bool listed;                /**< In the last listing. */
    uint32_t open_requests;     /**< Requests of this VM. */
    uint32_t unread_tokens;     /**< Their prompt tokens not answered yet. */
    uint32_t memory_tokens;     /**< Their tokens. */
    bbm_load reported;          /**< The same, as last told to the leader. */
    bbm_load totals;            /**< Sums over all VMs, as last heard. */
    bbm_time avoid_until;       /**< Gets no work before, if others can. */
    bbm_time suspect_until;     /**< Told to the others as suspect. */
    uint32_t consecutive_failures; /**< Failures in a row. */
    bool half_open;          /**< One request at a time, until one is good. */
    double failure_share;    /**< Smoothed share of failures. */
    bbm_time last_answer_at; /**< When it last began or ended an answer. */
    double lateness_ms;      /**< Smoothed lateness against the estimate. */
    UT_hash_handle hh;       /**< By id. */
} gate_upstream;

/** Versions of a model's weights that are remembered. */
#define GATE_VERSIONS_MAX 8

/** The versions of a model's weights, oldest first. */
typedef struct gate_weights {
    char model[BBM_NAME_SIZE];            /**< Which. */
    uint64_t versions[GATE_VERSIONS_MAX]; /**< That were named. */
    bbm_time named_at[GATE_VERSIONS_MAX]; /**< When each was. */
    size_t len;                           /**< How many. */
    UT_hash_handle hh;                    /**< By model. */
} gate_weights;

/** A store of KV cache. */
typedef struct gate_store {
    char address[BBM_NAME_SIZE]; /**< IP:port. */
    char zone[BBM_NAME_SIZE];    /**< Its availability zone. */
    uint64_t hash;               /**< Of the address. */
    double memory_tokens;        /**< Tokens that it holds. */
    bool alive;                  /**< Answers. */
    bbm_time alive_since;        /**< It has answered since then. */
    UT_hash_handle hh;           /**< By address. */
} gate_store;

/** A prefix of a prompt that others may share. */
typedef struct gate_prefix {
    uint64_t key;  /**< Hash of its parts and of who may share it. */
    double tokens; /**< Its length. */
} gate_prefix;

/** Where a request is. */
typedef enum gate_stage {
    GATE_WAITING,   /**< For an upstream. */
    GATE_SENT,      /**< No head of an answer yet. */
    GATE_ANSWERING, /**< The head was passed on. */
} gate_stage;

/** A request that is open. */
typedef struct gate_request {
    uint64_t number;                             /**< Its number. */
    char id[BBM_NAME_SIZE];                      /**< The caller's own. */
    gate_stage stage;                            /**< Where it is. */
    char customer[BBM_NAME_SIZE];                /**< Whose, or "". */
    char pools[GATE_POOLS_MAX][BBM_NAME_SIZE];   /**< First choice first. */
    size_t pools_len;                            /**< How many. */
    char model[BBM_NAME_SIZE];                   /**< Model, or "". */
    bbm_prompt_part parts[BBM_PROMPT_PARTS_MAX]; /**< Of its prompt. */
    size_t parts_len;                            /**< How many. */
    gate_prefix
        prefixes[BBM_PLACEMENT_PREFIXES_MAX]; /**< Shared, shortest first. */
    size_t prefixes_len;                      /**< How many. */
    uint64_t chain_key;       /**< Key of the longest of them. */
    double shared_tokens;     /**< Their tokens. */
    double prompt_tokens;     /**< Prompt tokens; 0: none told. */
    double output_tokens_max; /**< Output tokens at most. */
    double reserved_tokens;   /**< Tokens taken from the rate. */
    bool private_cache;       /**< Shares no cache entry. */
    bool repeatable;          /**< May run more than once. */
    bool stream;              /**< Answers with events. */
    bool resumable;           /**< They may go on elsewhere. */
    int priority;             /**< 0 is the most urgent. */
    uint32_t attempts_max;    /**< Upstreams that it may run on. */
    bbm_time target_latency;  /**< Answer aimed at within. */
    bbm_time arrived_at;      /**< When. */
    bbm_time deadline;        /**< Final answer by then. */
    bbm_time start_deadline;  /**< Its answer must have begun by then. */
    bbm_time sent_at;         /**< This attempt. */
    bbm_time head_at;         /**< Its answer began; 0: not yet. */
    double expected_ms;       /**< To the beginning of the answer. */
    bbm_time next_draw_at;    /**< While waiting: its next chance. */
    uint32_t attempts;        /**< Attempts sent. */
    const char
        *previous_outcome;    /**< How the last one ended; NULL: the first. */
    uint32_t previous_status; /**< Its HTTP status; 0: none. */
    uint32_t attempts_run;    /**< Attempts that may have run. */
    uint64_t
        failed_upstreams[GATE_FAILED_MAX]; /**< Upstreams that failed it. */
    size_t failed_len;                     /**< How many. */
    gate_upstream *upstream;               /**< Where it runs. */
    uint32_t unread_tokens;                /**< Counted there. */
    uint32_t memory_tokens;                /**< Counted there. */
    char last_event_id[BBM_EVENT_ID_SIZE]; /**< Passed on last. */
    TAILQ_ENTRY(gate_request) link;        /**< In the queue, while waiting. */
    UT_hash_handle hh;                     /**< By number. */
} gate_request;

TAILQ_HEAD(gate_queue, gate_request);

/** An output in the queue. */
typedef struct gate_queued_output {
    bbm_gate_output out;                   /**< What. */
    STAILQ_ENTRY(gate_queued_output) link; /**< In order. */
} gate_queued_output;

/** A gate. */
struct bbm_gate {
    bbm_gate_desc desc;                  /**< With defaults filled in. */
    bbm_rng rng;                         /**< For choices. */
    bbm_time now;                        /**< Latest moment. */
    size_t vms;                          /**< That share rates and retries. */
    bool placements_delayed;             /**< Of their sends it hears late. */
    gate_pool *pools;                    /**< By name. */
    gate_upstream *upstreams;            /**< By id. */
    gate_upstream *upstreams_by_hash;    /**< The same, by hash. */
    gate_weights *weights;               /**< By model. */
    gate_store *stores;                  /**< By address. */
    bbm_shares *shares;                  /**< Rates of the customers. */
    struct bbm_customer_name *customers; /**< Names by hash. */
    gate_request *requests;              /**< All open. */
    struct gate_queue waiting;           /**< By priority, then by arrival. */
    size_t waiting_len;                  /**< How many. */
    uint32_t held_reported;              /**< That many, as last told. */
    uint32_t held_elsewhere;             /**< Waiting at other VMs. */
    bbm_places *places;                  /**< Where shared parts are kept. */
    bbm_time places_since;               /**< When it began to learn that. */
    bbm_buf unsent_placements;           /**< Sends that others aren't told. */
    size_t unsent_placements_len;        /**< How many. */
    bool load_changed;                   /**< Since it was last told. */
    double prefill_rate;                 /**< Prompt tokens a millisecond that
                                           this VM lately sent to be read. */
    bbm_time prefill_rate_at;            /**< When it was last reckoned. */
    STAILQ_HEAD(, gate_queued_output) outputs; /**< To be taken. */
    gate_queued_output *current_output;        /**< Handed out last. */
    bbm_gate_counts counts;                    /**< For metrics. */
};

/** A customer, found by the hash of its name. */
typedef struct bbm_customer_name {
    uint64_t hash;            /**< Of the name. */
    char name[BBM_NAME_SIZE]; /**< The name. */
    UT_hash_handle hh;        /**< By hash. */
} gate_customer;

/** The present moment; an older one changes nothing. */
static inline void
gate_advance(bbm_gate *g, bbm_time now)
{
    if (now > g->now)
        g->now = now;
}

/** Queue an output about a request. */
bbm_gate_output *gate_output(bbm_gate *g, bbm_gate_kind kind,
                             const gate_request *r);

/** An upstream by the hash of its id, or NULL. */
gate_upstream *gate_find_upstream(const bbm_gate *g, uint64_t hash);
/** A request was sent: remember where its parts are, and tell the others. */
void gate_add_placement(bbm_gate *g, const bbm_placement *row);

/* ---- gate_place.c ---- */

/** Where a request goes. */
typedef struct gate_choice {
    gate_upstream *upstream; /**< Where. */
    uint64_t version;        /**< Weights that it has; 0: unknown. */
    double expected_ms;      /**< Expected to the answer's beginning. */
    double miss_tokens;      /**< Prompt tokens that it must read. */
    size_t prefixes_held;    /**< Shared prefixes that it holds. */
    double held_tokens;      /**< Prompt tokens that it likely holds. */
    double offered_tokens;   /**< That its source does; 0: none known. */
    uint32_t candidates;     /**< How many could have got it. */
    char source_address[BBM_NAME_SIZE]; /**< Holder of its cache entries, or
                                           "". */
    uint64_t source_store_hash;     /**< Hash of its source, if a store; 0. */
    const gate_store *store;        /**< Gets what it reads; NULL: none. */
    char cache_salt[BBM_SALT_SIZE]; /**< Scope of cache entries, or "". */
} gate_choice;

/** Result of a choice. */
typedef enum gate_pick {
    GATE_PICK_SEND,     /**< Send it. */
    GATE_PICK_HOLD,     /**< One will be there soon. */
    GATE_PICK_TOO_LATE, /**< None can serve it in time: wait_ms says when. */
    GATE_PICK_NO_UPSTREAM, /**< There is no upstream. */
} gate_pick;

/** How many requests like this one a runner may get before it is full. */
double gate_runner_capacity(const gate_request *r, const gate_upstream *u);
/** Choose an upstream. */
gate_pick gate_choose(bbm_gate *g, const gate_request *r, gate_choice *c);
/** Requests of all VMs at an upstream, as far as it is known. */
double gate_open_requests(const gate_upstream *u);
/** Prompt tokens there that have no answer yet. */
double gate_unread_tokens(const gate_upstream *u);

/* ---- gate_cache.c ---- */

/** What a runner likely has of a prompt, and who has more. */
typedef struct gate_cached {
    double held_tokens;         /**< Tokens that it has. */
    size_t prefixes_held;       /**< Shared prefixes that it has. */
    const char *source_address; /**< Who has more, or NULL. */
    uint64_t store_hash;   /**< Hash of it, if it is a store; 0: it isn't. */
    double offered_tokens; /**< Tokens that the source has. */
    double fetch_ms;       /**< To fetch what it lacks of them. */
} gate_cached;

/** Milliseconds in which a runner fetches tokens from its own zone, or from
 *  another or an unknown one. */
double gate_fetch_ms(const gate_upstream *u, double tokens, bool near);
/** Look up a prompt at a runner with these weights. */
void gate_find_cached(const bbm_gate *g, const gate_request *r,
                      const gate_upstream *u, uint64_t version,
                      gate_cached *c);
/** True if anyone is known to have been sent all of what it shares. */
bool gate_has_placement(const bbm_gate *g, const gate_request *r,
                        uint64_t version);
/** The store that should get what is read of it, or NULL. */
const gate_store *gate_store_for(const bbm_gate *g, const gate_request *r,
                                 uint64_t version);
/** Remember, and tell the others, where a request is sent. */
void gate_record_placement(bbm_gate *g, const gate_request *r,
                           const gate_choice *c);

/* ---- gate_health.c ---- */

/** An attempt at an upstream was answered well. */
void gate_record_success(bbm_gate *g, gate_upstream *u);
/** An attempt failed in a way that the upstream is to blame for. */
void gate_record_failure(bbm_gate *g, gate_upstream *u,
                         bbm_forward_outcome how);
/** It refused a request without running it. */
void gate_record_refusal(bbm_gate *g, gate_upstream *u, uint32_t status);
/** True if it should get no work while others can. */
bool gate_is_avoided(const bbm_gate *g, const gate_upstream *u);

/* ---- gate_request.c ---- */

/** The shortest time after which a caller is told to come back. */
#define GATE_RETRY_AFTER_MIN (50 * BBM_MS)

/** Try to send a request; it is held or refused otherwise. */
void gate_dispatch(bbm_gate *g, gate_request *r);
/** Look at all requests that wait. */
void gate_dispatch_waiting(bbm_gate *g);
/** Release a request. */
void gate_request_free(bbm_gate *g, gate_request *r);
/** Send a request to the chosen upstream. */
void gate_send(bbm_gate *g, gate_request *r, const gate_choice *c);
/** Take a request off its upstream's counts. */
void gate_release_upstream(bbm_gate *g, gate_request *r);
/** End a request unsent, or with an unknown outcome if it may have run. */
void gate_refuse(bbm_gate *g, gate_request *r, int code, bbm_time back,
                 const char *why);
/** End a request that is under way; without a code nobody is told. */
void gate_abort(bbm_gate *g, gate_request *r, int code, const char *why);
/** A pool by name, or NULL. */
gate_pool *gate_find_pool(const bbm_gate *g, const char *name);

#endif
