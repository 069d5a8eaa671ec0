/** @file
 *  Internal state of a gate, shared by the sources in gate/ (private).
 */
#ifndef GATE_CORE_H
#define GATE_CORE_H

#include "bbm_chains.h"
#include "bbm_forecast.h"
#include "bbm_gate.h"
#include "bbm_hash.h"
#include "bbm_loads.h"
#include "bbm_partition.h"
#include "bbm_places.h"
#include "bbm_retry.h"
#include "bbm_returns.h"
#include "bbm_room.h"
#include "bbm_share.h"
#include "bbm_speed.h"
#include "bbm_turns.h"
#include "bbm_versions.h"

#include <sys/queue.h>
#include <uthash.h>

/** Maximum number of pools that are used per request. */
#define GATE_POOLS_MAX 4
/** Maximum number of VMs that a request is relayed to, one after the other. */
#define GATE_RELAYS_MAX 3
/** Maximum number of pools that a VM says that it doesn't reach. */
#define GATE_CUT_POOLS_MAX 8
/** Maximum number of streams of this VM whose origins are kept. */
#define GATE_OWN_ORIGINS_MAX 8192
/** Maximum number of upstreams that are recorded as failed per request. */
#define GATE_FAILED_MAX 6

/** A pool. */
typedef struct gate_pool {
    char name[BBM_NAME_SIZE]; /**< Name of the pool. */
    bool is_engine;           /**< Its upstreams are model runners. */
    bool configured;          /**< In the current configuration. */
    uint32_t slots;           /**< Maximum number of concurrent requests at an
                                   upstream whose entry specifies none. */
    double prefill_tokens_per_ms; /**< Prompt processing rate of a runner, in
                                       tokens per millisecond. */
    double memory_tokens; /**< KV cache capacity of a runner, in tokens. */
    double fetch_ms_per_token; /**< Time to fetch the cache entries of a token
                                    from the own zone. */
    double service_ms;         /**< Time from sending a request to its complete
                                    answer, smoothed; only for services. */
    bbm_retry_budget retry_budget; /**< This VM's part of the retry budget of
                                        the pool. */
    bool retry_slack_granted;      /**< It was filled. */
    bbm_forecast forecast;         /**< Of runners: expected times, checked
                                        against results. */
    uint32_t open_by_class[BBM_FORECAST_PRIORITIES]; /**< Open requests of this
                                                          VM at its upstreams,
                                                          by priority, at the
                                                          last tick. */
    bbm_time brittle_until; /**< Its upstreams have stated that they are
                                 brittle; holds until then. */
    bool cut; /**< This VM reaches none of its upstreams; others may. */
    bbm_time unreached_since; /**< First failed connection since one of its
                                   upstreams answered; 0: none. */
    bbm_time next_trial_at;   /**< While cut: next request to an upstream. */
    uint64_t sole_origin; /**< Of all its listed upstreams; 0: they differ, or
                               none is listed. */
    bbm_time sole_origin_since; /**< Since when, as far as is known. */
    bbm_returns returns; /**< When clients return that were refused because
                              of pauses. */
    bbm_returns limit_returns; /**< The same, because of limits. */
    bbm_partition partition;   /**< Of its runners. */
    bbm_zones zones;   /**< Load of its upstreams by zone, if leaving the zone
                            has a price. */
    UT_hash_handle hh; /**< By name. */
} gate_pool;

/** A statement of an upstream about its limit, and when it was received. */
typedef struct gate_limit {
    bbm_limit_kind kind;
    uint64_t run;        /**< As gate_run_of. */
    uint32_t per_1000_s; /**< BBM_LIMIT_SET: requests per 1,000 seconds. */
    bbm_time at;         /**< When the VM that received it did so. */
} gate_limit;

/** An upstream.  It is removed by the first listing that lacks it while it has
 *  no open requests of this VM. */
typedef struct gate_upstream {
    bbm_listing_entry info;     /**< Its entry in the last listing. */
    gate_pool *pool;            /**< Its pool; NULL: not configured. */
    uint64_t hash;              /**< Hash of its id. */
    uint64_t origin;            /**< Of streams that begin there. */
    UT_hash_handle by_hash;     /**< By hash. */
    double partition_rank;      /**< As in bbm_partition_has_short. */
    bbm_time cache_empty_since; /**< Last time that its cache was emptied, by a
                                     restart or new weights. */
    bool was_listed;            /**< Has been in a listing. */
    bool listed;                /**< In the last listing. */
    uint32_t open_requests;     /**< Open requests of this VM. */
    uint32_t backlog_tokens; /**< Uncached prompt tokens of the open requests
                                  of this VM whose answers haven't begun. */
    uint32_t memory_tokens;  /**< Prompt tokens and output limits of the open
                                  requests of this VM. */
    bbm_load reported;       /**< This VM's load there, as last reported to the
                                  leader; zero if it reported none. */
    bbm_load totals;      /**< Load of all VMs there, as last received from the
                               leader; includes `reported`. */
    bbm_time avoid_until; /**< Gets no requests until then, unless all
                               upstreams of the pool are avoided. */
    bbm_time suspect_until; /**< Reported to the other VMs as suspected to have
                                 failed until then. */
    bbm_time unreached_at;  /**< Last failed connection; 0: none since it
                                 answered. */
    uint32_t consecutive_failures; /**< Failures since the last success. */
    bbm_time pause_until; /**< It has asked for no requests until then. */
    uint64_t leaving_run; /**< Start time, in ms of calendar time plus 1, of
                               the run of the upstream that has told this VM
                               that it leaves; 0: none has. */
    bbm_time unlisted_at; /**< When a listing first lacked it; valid unless
                               listed. */
    gate_limit own_limit; /**< Its last statement to this VM. */
    gate_limit limit;     /**< Its last statement to any VM. */
    bbm_turns turns;      /**< This VM's turns there, while it is limited. */
    gate_limit logged_limit; /**< The last statement that was logged. */
    bool half_open; /**< After a failure: gets one request at a time until one
                         succeeds. */
    double failure_share;    /**< Share of attempts that failed, smoothed. */
    bbm_time last_answer_at; /**< Last time that an answer began or ended
                                  successfully. */
    double lateness_ms; /**< Milliseconds by which answers begin later than
                             expected, smoothed; negative: earlier. */
    double speed;       /**< Rate relative to its pool, as measured. */
    UT_hash_handle hh;  /**< By id. */
} gate_upstream;

/** The last named versions of a model's weights. */
typedef struct gate_weights {
    char model[BBM_NAME_SIZE]; /**< Name of the model. */
    bbm_versions versions;     /**< The versions. */
    UT_hash_handle hh;         /**< By model. */
} gate_weights;

/** A KV cache store. */
typedef struct gate_store {
    char address[BBM_NAME_SIZE]; /**< IP:port. */
    char zone[BBM_NAME_SIZE];    /**< Availability zone. */
    uint64_t hash;               /**< Hash of the address. */
    double memory_tokens;        /**< Capacity in tokens. */
    bool alive;                  /**< It responds. */
    bbm_time alive_since; /**< When it last started to respond; it was empty
                               then. */
    UT_hash_handle hh;    /**< By address. */
} gate_store;

/** Some leading parts of a prompt that other requests may share. */
typedef struct gate_prefix {
    uint64_t key;  /**< Hash of its parts and of the customers that may share
                        it. */
    double tokens; /**< Length in tokens. */
} gate_prefix;

/** Stages of a request. */
typedef enum gate_stage {
    GATE_WAITING,   /**< No attempt is in progress. */
    GATE_SENT,      /**< Sent; the answer hasn't begun. */
    GATE_ANSWERING, /**< The head of the answer was forwarded. */
} gate_stage;

/** How it is known at which build a stream may go on. */
typedef enum gate_origin_state {
    GATE_ORIGIN_ANY,     /**< At any: it begins, or its pool has had only one
                              build for as long as it can have lived. */
    GATE_ORIGIN_ASKED,   /**< Not yet: it waits for the answer. */
    GATE_ORIGIN_KNOWN,   /**< At gate_request::origin. */
    GATE_ORIGIN_UNKNOWN, /**< At none. */
} gate_origin_state;

/** Origins of the streams that began at this VM and were reported lately. */
typedef struct gate_reported_origins {
    struct gate_reported_origin {
        bbm_origin_row row;
        bbm_time at;   /**< When the stream began. */
    } * items;         /**< Oldest first; owned. */
    size_t len;        /**< Number of rows. */
    size_t cap;        /**< Allocated number. */
    size_t unreported; /**< Number of the last ones that are still to be
                            reported. */
} gate_reported_origins;

/** An open request. */
typedef struct gate_request {
    uint64_t number;                           /**< Request number. */
    char id[BBM_NAME_SIZE];                    /**< Request ID given by the
                                                    client. */
    gate_stage stage;                          /**< Current stage. */
    char customer[BBM_NAME_SIZE];              /**< Customer, or "". */
    char pools[GATE_POOLS_MAX][BBM_NAME_SIZE]; /**< Pools in order of
                                                    preference. */
    size_t pools_len;                          /**< Number of pools. */
    char model[BBM_NAME_SIZE];                 /**< Requested model, or "". */
    bbm_prompt_part parts[BBM_PROMPT_PARTS_MAX]; /**< Parts of the prompt. */
    size_t parts_len;                            /**< Number of parts. */
    bool is_trial;        /**< It may be sent although its prompt has a
                               quarantined part. */
    uint64_t *part_ids;   /**< Ids of all parts but the last, and of the whole
                               request if it has a fingerprint; owned. */
    size_t part_ids_len;  /**< Number of these. */
    uint64_t whole_id;    /**< Id of the whole request; 0: none. */
    bbm_time caution_for; /**< Crash for which it was held last. */
    bbm_time caution_until;                           /**< End of that hold. */
    gate_prefix prefixes[BBM_PLACEMENT_PREFIXES_MAX]; /**< Shared prefixes,
                                                           shortest first. */
    size_t prefixes_len;      /**< Number of prefixes. */
    uint64_t chain_key;       /**< Key of the longest shared prefix. */
    double shared_tokens;     /**< Length of the longest shared prefix. */
    double prompt_tokens;     /**< Prompt length; 0: unspecified. */
    double output_tokens_max; /**< Output token limit; 0: unspecified. */
    double reserved_tokens;   /**< Tokens reserved from the customer's rate. */
    char scope[BBM_NAME_SIZE]; /**< Scope of its cache entries. */
    bool repeatable;           /**< May run more than once. */
    bool stream;               /**< The answer is an event stream. */
    bool resumable;            /**< The stream can resume elsewhere. */
    int priority;              /**< 0 is the most urgent. */
    uint32_t attempts_max;   /**< Maximum number of attempts that may have run
                                  it. */
    bbm_time target_latency; /**< Target time from arrival to the head of the
                                  answer. */
    bbm_time target_gap;     /**< Longest time between events of its stream
                                  that is on time. */
    bbm_time arrived_at;     /**< When it arrived. */
    bbm_time deadline;       /**< Time by which the answer must be complete. */
    bbm_time start_deadline; /**< Time by which the answer must begin. */
    bool has_time_limit;     /**< The client or the route has set a limit;
                                  otherwise the deadline ends a request whose
                                  answer hasn't begun. */
    bbm_time silence_limit;  /**< Streams: time without an event after which
                                  the client is assumed to have left. */
    bbm_time sent_at;        /**< When the current attempt was sent. */
    bbm_time head_at;        /**< When its answer began; 0: not yet. */
    double expected_ms;      /**< Expected time from sent_at until the answer
                                  begins. */
    double speed_expected_ms; /**< The same at the configured rate of the pool;
                                   0: its answer tells nothing of that. */
    double corrected_ms;      /**< The same, corrected by results. */
    double forecast_ms;       /**< The same as expected_ms without costs that
                                   aren't times. */
    double miss_tokens;       /**< Prompt tokens that the upstream must process
                                   for the current attempt. */
    bbm_time next_admission_at; /**< While held: time from which it may be
                                     admitted again (see
                                     passes_random_admission). */
    uint32_t attempts; /**< Number of attempts sent; also the number of the
                            current attempt. */
    uint32_t ended_attempt; /**< Last attempt whose result is known. */
    uint64_t stream_key;    /**< Resumable streams: as in bbm_origins.h. */
    bool takes_up;          /**< It takes up a stream of an earlier request. */
    gate_origin_state origin_state; /**< Where the stream may go on. */
    const char *origin_source; /**< How that is known, for the log; or NULL. */
    uint64_t origin;           /**< GATE_ORIGIN_KNOWN. */
    bbm_time origin_asked_at;  /**< GATE_ORIGIN_ASKED: last time. */
    bbm_time origin_deadline;  /**< GATE_ORIGIN_ASKED: end of the wait. */
    uint32_t unsent;           /**< Attempts whose connection failed though
                                    other VMs reach the upstream. */
    bool is_trial_connection;  /**< The next attempt tries whether a pool that
                                    is cut off can be reached again. */
    bool is_relayed;           /**< It comes from another VM. */
    bool is_relaying;          /**< Another VM forwards it now. */
    uint64_t route_hash;       /**< Hash of the route's name. */
    bool tries_release;        /**< It goes to the build that is released. */
    uint32_t release_overdue;  /**< Attempt that the evidence of a release has
                                    as failed, as it waits for too long; 0:
                                    none. */
    bool client_half_closed;   /**< Its client sends no more. */
    uint32_t relays;           /**< Number of VMs that were to forward it. */
    uint64_t relay_vms[GATE_RELAYS_MAX]; /**< These VMs, by hash. */
    const char *previous_outcome; /**< How the previous attempt ended; NULL:
                                       there was none. */
    uint32_t previous_status;     /**< Its HTTP status; 0: no answer. */
    uint32_t attempts_paused; /**< Number of attempts at upstreams that asked
                                   for a pause instead. */
    uint32_t attempts_run;    /**< Number of attempts that run now or may have
                                   run. */
    uint64_t failed_upstreams[GATE_FAILED_MAX]; /**< Upstreams that failed or
                                                     refused it, by hash. */
    size_t failed_len;        /**< Number of these upstreams. */
    gate_upstream *upstream;  /**< Upstream of the current attempt, or NULL. */
    uint64_t weights_version; /**< Version of the weights of the current
                                   attempt's runner; 0: unknown. */
    uint64_t upstream_run;    /**< Its start time when the attempt was sent, as
                                   gate_run_of. */
    uint32_t backlog_tokens;  /**< Its part of the upstream's counter. */
    uint32_t memory_tokens;   /**< Its part of the upstream's counter. */
    char last_event_id[BBM_EVENT_ID_SIZE]; /**< Id of the last event that was
                                                forwarded before the stream was
                                                interrupted; "": not
                                                interrupted, or without an
                                                event. */
    TAILQ_ENTRY(gate_request) link;        /**< Queue of held requests. */
    UT_hash_handle hh;                     /**< By number. */
} gate_request;

TAILQ_HEAD(gate_queue, gate_request);

/** A queued output. */
typedef struct gate_queued_output {
    bbm_gate_output out;                   /**< The output. */
    STAILQ_ENTRY(gate_queued_output) link; /**< Next in the queue. */
} gate_queued_output;

/** Longest times between two events of this VM, other than those for which its
 *  process was stopped. */
typedef struct gate_stalls {
    bbm_time longest;   /**< In the current window of time. */
    bbm_time previous;  /**< In the window before. */
    bbm_time window_at; /**< Begin of the current one. */
} gate_stalls;

/** A gate. */
struct bbm_gate {
    bbm_gate_desc desc; /**< Parameters, with defaults set. */
    bbm_rng rng;        /**< Random number generator. */
    bbm_time now;       /**< Latest time that was passed in. */
    bool was_stopped;   /**< There was a gap in time since held requests were
                             last dispatched. */
    gate_stalls stalls; /**< How late this VM was lately. */
    size_t vms;         /**< Number of VMs that share rates; at least 1. */
    size_t retry_vms;   /**< Number of VMs that share the retry budget, with
                             those lately gone; at least 1. */
    bbm_time retry_vms_seen_at; /**< When there last were so many. */
    bbm_time started_at;      /**< Time of the first configuration; 0: none. */
    bool placements_delayed;  /**< See bbm_gate_set_vm_count. */
    uint64_t *vm_hashes;      /**< Hashes of the names of all VMs; owned. */
    size_t vm_hashes_len;     /**< Number of these; 0: this VM only. */
    uint64_t self_hash;       /**< Hash of the name of this VM. */
    struct gate_peer *peers;  /**< The other VMs, by hash of the name. */
    bbm_time calendar_offset; /**< Calendar time less `now`. */
    gate_pool *pools;         /**< By name. */
    gate_upstream *upstreams; /**< By id. */
    gate_upstream *upstreams_by_hash; /**< The same upstreams, by hash. */
    gate_weights *weights;            /**< By model. */
    gate_store *stores;               /**< By address. */
    bbm_shares *shares;               /**< Rates of the customers. */
    struct gate_customer *customers;  /**< Those of the configuration. */
    char shared_scope[BBM_NAME_SIZE]; /**< Scope of cache entries that
                                           customers share. */
    gate_request *requests;           /**< All open requests. */
    struct gate_queue waiting;        /**< Held requests, by priority, then by
                                           arrival. */
    size_t waiting_len;               /**< Number of held requests. */
    uint32_t held_reported;           /**< waiting_len as last reported to the
                                           leader. */
    uint32_t held_elsewhere; /**< Number of requests held at other VMs, as last
                                  received. */
    double store_tokens;     /**< Tokens that this VM's runners may fetch from
                                  stores that may not have them. */
    bbm_time store_tokens_at; /**< When that was last updated. */
    bbm_time totals_at;       /**< When totals were last received; 0: never. */
    bbm_speed *speeds;        /**< Speeds of the runners. */
    bbm_chains *chains;       /**< Demand for chains of shared prompt parts. */
    bbm_places *places;       /**< Which upstreams and stores likely hold which
                                   shared prefixes. */
    bbm_time places_since; /**< When the first listing was applied, and with it
                                the recording of placements began. */
    bbm_origins *origins;  /**< Of the streams that began at this VM. */
    gate_reported_origins reported_origins; /**< The latest of them. */
    bbm_quarantine *quarantine;    /**< Prompt parts that crash runners. */
    struct gate_release *releases; /**< The latest of each pool. */
    bbm_time releases_fresh_at;    /**< They are complete up to then; 0: not
                                        known. */
    bbm_buf unsent_placements;     /**< Encoded placements that are still to be
                                        sent to the other VMs. */
    size_t unsent_placements_len;  /**< Number of these placements. */
    bool load_changed;   /**< Load or held requests changed since the last
                              report. */
    double prefill_rate; /**< Uncached prompt tokens per millisecond that this
                              VM sends to runners, smoothed. */
    bbm_time prefill_rate_at; /**< When that was last updated. */
    STAILQ_HEAD(, gate_queued_output) outputs; /**< Queued outputs. */
    gate_queued_output *current_output;        /**< Last one handed out; freed
                                                    by the next call. */
    bbm_gate_counts counts;                    /**< Metrics. */
};

/** Another VM that takes requests of clients. */
typedef struct gate_peer {
    bbm_gate_peer info;
    uint64_t cut_pools[GATE_CUT_POOLS_MAX]; /**< Pools that it doesn't reach,
                                                 by hash. */
    size_t cut_pools_len;                   /**< Their number. */
    bbm_time cut_pools_at;                  /**< When it said so. */
    bbm_time avoid_until; /**< It couldn't be reached before that. */
    UT_hash_handle hh;    /**< By hash of the name. */
} gate_peer;

/** The latest release of software to a pool. */
typedef struct gate_release {
    bbm_release_info info; /**< As in force; its pool is the key. */
    bbm_evidence evidence; /**< What this VM has seen since it learned of the
                                order. */
    bbm_time age_base;     /**< Moment at which its age was 0. */
    double credit;         /**< Saved up shares of requests. */
    UT_hash_handle hh;     /**< By pool. */
} gate_release;

/** A customer of the configuration, by the hash of the name. */
typedef struct gate_customer {
    uint64_t hash;             /**< Hash of the name. */
    char name[BBM_NAME_SIZE];  /**< The name. */
    char scope[BBM_NAME_SIZE]; /**< As bbm_config_cache_scope. */
    UT_hash_handle hh;         /**< By hash. */
} gate_customer;

/** Events and ticks normally follow each other within milliseconds.  After a
 *  longer gap this process was stopped, and what it held is out of date. */
#define GATE_CLOCK_GAP (1500 * BBM_MS)

/** Record that no event was processed for a time that ends now. */
void gate_record_stall(bbm_gate *g, bbm_time gap);
/** Longest such time of the last seconds. */
bbm_time gate_longest_stall(const bbm_gate *g);

/** Set the current time; an earlier one than before is ignored. */
static inline void
gate_advance(bbm_gate *g, bbm_time now)
{
    if (now <= g->now)
        return;
    bbm_time gap = now - g->now;
    g->was_stopped = g->was_stopped || gap > GATE_CLOCK_GAP;
    g->now = now;
    if (gap <= GATE_CLOCK_GAP)
        gate_record_stall(g, gap);
}

/** Queue an output that concerns a request, or none (NULL); the caller fills
 * it in. */
bbm_gate_output *gate_push_output(bbm_gate *g, bbm_gate_kind kind,
                                  const gate_request *r);

/** Forget all failures of an upstream. */
void gate_reset_health(gate_upstream *u);
/** Find an open request by its number, or NULL. */
gate_request *gate_find_request(const bbm_gate *g, uint64_t number);
/** Find an upstream by the hash of its id, or NULL. */
gate_upstream *gate_find_upstream(const bbm_gate *g, uint64_t hash);
/** Record a placement of this VM, and queue it for the other VMs. */
void gate_add_placement(bbm_gate *g, const bbm_placement *row);

/* ---- gate_scope.c ---- */

/** Set the scope of a request's cache entries to that of its customer in the
 *  configuration, and its prefixes, which differ by scope. */
void gate_set_scope(const bbm_gate *g, gate_request *r);
/** Do so for the open requests after a change of the configuration: each
 *  attempt is sent under the configuration that is in force then. */
void gate_update_scopes(bbm_gate *g);

/* ---- gate_place.c ---- */

/** The upstream chosen for a request. */
typedef struct gate_choice {
    gate_upstream *upstream; /**< The upstream. */
    uint64_t version;        /**< Version of its weights; 0: unknown. */
    bbm_time weights_until;  /**< Time from which no request may begin on them;
                                  BBM_NEVER: no newer version is known. */
    double expected_ms;      /**< Expected time until the answer begins. */
    double corrected_ms;     /**< The same, corrected by results. */
    double forecast_ms;      /**< The same as expected_ms without costs that
                                  aren't times. */
    double miss_tokens;      /**< Expected number of prompt tokens that it must
                                  process. */
    size_t prefixes_held;    /**< Shared prefixes that it likely has. */
    double held_tokens;      /**< Prompt tokens that it likely has. */
    double offered_tokens;   /**< Prompt tokens that the source likely has; 0:
                                  unknown. */
    uint32_t candidates;     /**< Number of eligible upstreams. */
    gate_pool *paused_pool;  /**< GATE_PICK_PAUSED: the pool. */
    size_t paused;           /**< GATE_PICK_PAUSED: number of its upstreams
                                  that want no requests for a while. */
    bbm_time pause_end;      /**< GATE_PICK_PAUSED: earliest end of that. */
    gate_pool *limited_pool; /**< GATE_PICK_LIMITED: the pool. */
    double limit;            /**< GATE_PICK_LIMITED: sum of the limits of its
                                  upstreams, in requests per second. */
    size_t turns_ahead; /**< GATE_PICK_LIMITED: turns of this VM there that
                             come soon enough for the request. */
    char source_address[BBM_NAME_SIZE]; /**< Where it can fetch cache entries,
                                             or "". */
    uint64_t source_store_hash; /**< Hash of the source if that is a store;
                                     otherwise 0. */
    const gate_store *store; /**< Store that gets a copy of new cache entries;
                                  NULL: none. */
    char cache_salt[BBM_SALT_SIZE]; /**< Scope of cache entries, or "". */
    bbm_zones_verdict zone;         /**< Whether it leaves the zone. */
} gate_choice;

/** Result of gate_choose. */
typedef enum gate_pick {
    GATE_PICK_SEND, /**< Send it to the chosen upstream. */
    GATE_PICK_HOLD, /**< Hold it: its upstreams are full, or load weights. */
    GATE_PICK_TOO_LATE, /**< No upstream can begin the answer in time; the
                             choice's expected_ms says how long it would
                             take; 0: unknown. */
    GATE_PICK_PAUSED,   /**< All upstreams that could take it want no requests
                             for a while. */
    GATE_PICK_LIMITED,  /**< This VM has no turn at the upstreams that could
                             take it. */
    GATE_PICK_NO_UPSTREAM, /**< No pool of the route has an upstream. */
} gate_pick;

/* ---- gate_weights.c ---- */

/** Age of a runner's weights. */
typedef struct gate_weights_age {
    bbm_time until; /**< Time from which no request may begin on them;
                         BBM_NEVER: no newer version is known. */
    bool is_old;    /**< A newer version was named longer ago than the grace
                         period. */
} gate_weights_age;

/** The versions of a model's weights, or NULL. */
const gate_weights *gate_find_weights(const bbm_gate *g, const char *model);
/** Age of a version, 0 if unknown, of these weights, which may be NULL. */
gate_weights_age gate_age_of_weights(const bbm_gate *g, const gate_weights *w,
                                     uint64_t version);
/** True if a request may still wait at a runner when its weights are too
 *  old. */
bool gate_weights_expire(const bbm_gate *g, const gate_request *r,
                         const gate_weights_age *age);
/** True if the current attempt hasn't begun, and has to end now, so that it
 *  doesn't begin on weights that are too old. */
bool gate_must_end_attempt(const bbm_gate *g, const gate_request *r);

/* ---- gate_zones.c ---- */

/** True if an upstream is in the zone of this VM. */
bool gate_is_in_zone(const bbm_gate *g, const gate_upstream *u);
/** True if leaving the zone has a price; otherwise it costs a constant. */
bool gate_zones_priced(const bbm_gate *g);
/** Cost of sending a request to another zone, in ms. */
double gate_leave_ms(const bbm_gate *g, const gate_request *r);
/** Take in the load of a pool's upstreams by zone, if that is due. */
void gate_update_zones(bbm_gate *g, gate_pool *p);
/** True if an upstream is in another zone, and this VM doesn't reach that. */
bool gate_is_zone_cut(const bbm_gate *g, const gate_upstream *u);
/** Decide whether a request leaves the zone.  @p other is the best upstream
 *  elsewhere, or NULL; the caller fills in what @p q says of the best two and
 *  its random number. */
bbm_zones_verdict gate_decide_zone(const bbm_gate *g, const gate_request *r,
                                   gate_pool *p, const gate_upstream *other,
                                   bbm_zones_question *q);
/** The verdict for the upstream that was chosen in the end. */
bbm_zones_verdict gate_zone_verdict(const bbm_gate *g,
                                    const bbm_zones_verdict *v,
                                    const gate_upstream *u);
/** Record an attempt that is sent. */
void gate_record_zone(bbm_gate *g, const gate_request *r,
                      const gate_choice *c);

/* ---- gate_place.c ---- */

/** Expected wait at an upstream, in ms. */
double gate_wait_ms(const bbm_gate *g, const gate_upstream *u);
/** Room of an upstream: tokens of a runner up to a backlog, slots of a
 *  service. */
double gate_room(const bbm_gate *g, const gate_upstream *u, double backlog_ms);
/** Number of requests of this size that a runner can accept before it is full;
 *  may be fractional, or negative if it is overfull. */
double gate_runner_capacity(const bbm_gate *g, const gate_request *r,
                            const gate_upstream *u);
/** Choose an upstream for a request; the choice is complete only if the result
 *  is GATE_PICK_SEND. */
gate_pick gate_choose(bbm_gate *g, const gate_request *r, gate_choice *c);
/** Number of requests that an upstream can run at a time. */
uint32_t gate_slots_of(const gate_upstream *u);
/** Open requests of all VMs at an upstream: own ones, and others as last
 *  reported. */
double gate_open_requests(const bbm_gate *g, const gate_upstream *u);
/** Uncached prompt tokens of the open requests of all VMs at an upstream whose
 *  answers haven't begun. */
double gate_backlog_tokens(const bbm_gate *g, const gate_upstream *u);

/* ---- gate_forecast.c ---- */

/** Expected time until a runner begins to process a request, in milliseconds,
 *  without the correction factor. */
double gate_forecast_wait_ms(const bbm_gate *g, const gate_request *r,
                             const gate_upstream *u);
/** Correction factor of such times; 1 for services. */
double gate_forecast_factor(const bbm_gate *g, const gate_request *r,
                            const gate_pool *p);
/** True if a request to runners can't meet its target latency any more,
 *  wherever it is sent. */
bool gate_is_late(const bbm_gate *g, const gate_request *r);
/** True if it is expected not to meet its target latency at a runner. */
bool gate_is_late_at(const bbm_gate *g, const gate_request *r,
                     const gate_upstream *u);
/** Record that the answer of the current attempt begins now. */
void gate_forecast_record_start(bbm_gate *g, const gate_request *r);
/** Record that the answer of the current attempt hasn't begun until now, and
 *  that the attempt ends. */
void gate_forecast_record_no_start(bbm_gate *g, const gate_request *r);
/** Count the open requests by priority, and how long those wait whose answers
 *  haven't begun. */
void gate_forecast_update(bbm_gate *g);
/** Share of the open requests at upstreams of a pool that are at least as
 *  urgent as this priority; 1 if this VM has none there.  Totals don't tell
 *  priorities, so those of this VM are taken for all; one more urgent request
 *  is added, as this VM has few. */
double gate_forecast_urgent_share(const gate_pool *p, int priority);
/** Record that the current attempt ends with a complete answer. */
void gate_forecast_record_end(bbm_gate *g, const gate_request *r);

/* ---- gate_cache.c ---- */

/** Time per token to fetch from a store, relative to a runner: the link of a
 *  store is about half as fast, and all runners share it. */
#define GATE_STORE_FETCH_RATIO 2.0

/** What a runner likely has cached of a prompt, and where the rest is. */
typedef struct gate_cached {
    double held_tokens;         /**< Prompt tokens that it has. */
    size_t prefixes_held;       /**< Shared prefixes that it has. */
    const char *source_address; /**< Runner or store that likely has more, or
                                     NULL. */
    uint64_t store_hash;        /**< Hash of the source if that is a store;
                                     otherwise 0. */
    double offered_tokens;      /**< Prompt tokens that the source has; 0:
                                     unknown. */
    double fetch_ms; /**< Time to fetch those of them that the runner lacks. */
} gate_cached;

/** Milliseconds that a runner needs to fetch the cache entries of tokens from
 *  its own zone (@p near), or from another or an unknown zone. */
double gate_fetch_ms(const gate_upstream *u, double tokens, bool near);
/** Look up what a runner with this version of the weights likely has cached of
 *  a prompt, and the best source of the rest. */
void gate_find_cached(const bbm_gate *g, const gate_request *r,
                      const gate_upstream *u, uint64_t version,
                      gate_cached *c);
/** Key of a prefix under a version of the weights. */
uint64_t gate_versioned_key(const gate_prefix *prefix, uint64_t version);
/** True if a placement of the longest shared prefix under this version of the
 *  weights is on record, or the prompt has no shared prefix. */
bool gate_has_placement(const bbm_gate *g, const gate_request *r,
                        uint64_t version);
/** The store that gets copies of the longest shared prefix, whether it has one
 *  or not; NULL if the prefix is too short or no store responds. */
const gate_store *gate_store_of(const bbm_gate *g, const gate_request *r,
                                uint64_t version);
/** The store that should get a copy of the longest shared prefix; NULL if a
 *  store has it already, if it is too short, or if no store responds. */
const gate_store *gate_store_for(const bbm_gate *g, const gate_request *r,
                                 uint64_t version);
/** Record the placement of a request, and queue it for the other VMs.  Does
 *  nothing without a version or without shared prefixes. */
void gate_record_placement(bbm_gate *g, const gate_request *r,
                           const gate_choice *c);

/* ---- gate_notice.c ---- */

/** Start time of the run of an upstream in its listing, in ms of calendar time
 *  plus 1, so that an unknown one isn't 0. */
static inline uint64_t
gate_run_of(const bbm_listing_entry *info)
{
    return info->started_at_ms + 1;
}
/** Record what the answer to the current attempt says of its upstream.  If the
 *  upstream has restarted since, that is ignored.  @p answered: there was an
 *  answer, so that what it doesn't say counts too. */
void gate_record_notice(bbm_gate *g, const gate_request *r,
                        const bbm_upstream_notice *notice, bool answered);
/** True if the upstream leaves: by its listing, by its own word, or by what it
 *  told other VMs. */
bool gate_is_leaving(const gate_upstream *u);
/** True if the upstream wants no requests of this VM now. */
bool gate_is_paused(const bbm_gate *g, const gate_upstream *u);
/** True if an upstream that is no longer listed must be kept, as the next
 *  listing may have it again and its notice still holds. */
bool gate_keeps_notice(const bbm_gate *g, const gate_upstream *u);
/** Time after which a client that is refused because of pauses should
 *  return. */
bbm_time gate_pause_retry_after(bbm_gate *g, const gate_request *r,
                                const gate_choice *c);

/* ---- gate_brittle.c ---- */

/** Record whether an upstream of a pool (NULL: of none) states that it is
 *  brittle.  Returns true if that is to be logged. */
bool gate_record_brittle(bbm_gate *g, gate_pool *p,
                         const bbm_upstream_notice *notice);
/** True if the upstreams of a pool are brittle. */
bool gate_is_brittle(const bbm_gate *g, const gate_pool *p);
/** True if a further request may find no free slot at a brittle upstream. */
bool gate_is_brittle_full(const bbm_gate *g, const gate_upstream *u);
/** Let the owner of a slot forward a request to a brittle pool of services, if
 *  this VM owns none; else returns false. */
bool gate_relay_to_slot_owner(bbm_gate *g, gate_request *r);
/** True if a brittle upstream has just refused a request for want of room,
 *  here or at another VM. */
bool gate_has_refused_lately(const bbm_gate *g, const gate_upstream *u);
/** Record that a brittle upstream has refused a request for want of room. */
void gate_record_brittle_refusal(bbm_gate *g, gate_upstream *u);

/* ---- gate_limit.c ---- */

/** Record what an answer of an upstream in its present run says of its limit.
 *  @p sent_at is when its request was sent; BBM_NEVER: an answer without a
 *  limit doesn't end one.  Returns true if that is to be logged. */
bool gate_record_limit(bbm_gate *g, gate_upstream *u,
                       const bbm_upstream_notice *notice, bbm_time sent_at);
/** Apply the last statement that all VMs have received. */
void gate_apply_limit_news(bbm_gate *g, gate_upstream *u);
/** Push an output for the last statement; @p reported by another VM. */
void gate_push_limit(bbm_gate *g, const gate_upstream *u, bool reported);
/** Forget the limit of an upstream that has restarted. */
void gate_forget_limit(gate_upstream *u);
/** The last statement to this VM, to be reported; BBM_LIMIT_UNSTATED if the
 *  others know it by now. */
bbm_limit_statement gate_limit_to_report(const bbm_gate *g,
                                         const gate_upstream *u);
/** True if the upstream states a limit. */
bool gate_is_limited(const gate_upstream *u);
/** True if this VM may send a request to the upstream now, by its limit. */
bool gate_has_turn(bbm_gate *g, gate_upstream *u);
/** True if this VM may send a request to the upstream at a moment that isn't
 *  later than @p until. */
bool gate_has_turn_before(const bbm_gate *g, const gate_upstream *u,
                          bbm_time until);
/** True if a request should ask the upstream whether its limit still holds. */
bool gate_must_ask_limit(const bbm_gate *g, const gate_upstream *u);
/** Calendar time in nanoseconds. */
static inline bbm_time
gate_calendar(const bbm_gate *g)
{
    return g->now + g->calendar_offset;
}
/** Who takes turns at what has this id. */
static inline bbm_turn_order
gate_turn_order(const bbm_gate *g, uint64_t id)
{
    return (bbm_turn_order){
        .id = id,
        .vms = g->vm_hashes,
        .vms_len = g->vm_hashes_len,
        .self = g->self_hash,
    };
}
/** Time after which a client that is refused because of limits should
 *  return. */
bbm_time gate_limit_retry_after(bbm_gate *g, const gate_choice *c);

/* ---- gate_health.c ---- */

/** Record a successful attempt. */
void gate_record_success(bbm_gate *g, gate_upstream *u);
/** Record an attempt that failed through a fault of the upstream. */
void gate_record_failure(bbm_gate *g, gate_upstream *u,
                         bbm_forward_outcome outcome);
/** Record that the upstream refused a request without running it. */
void gate_record_refusal(bbm_gate *g, gate_upstream *u, uint32_t status);
/** True if the upstream should get no requests while another one of its pool
 *  can take them. */
bool gate_is_avoided(const bbm_gate *g, const gate_upstream *u);
/** True if the upstream has likely failed: this VM got no answer from it, or
 *  several others didn't and no VM did. */
bool gate_is_suspect(const bbm_gate *g, const gate_upstream *u);
/** True if the upstream has answered this VM within the last second. */
bool gate_has_answered_lately(const bbm_gate *g, const gate_upstream *u);

/* ---- gate_speed.c ---- */

/** Prompt tokens that a runner processes per millisecond: the configured rate
 *  of its pool, and its measured speed relative to the pool. */
double gate_prefill_rate(const gate_upstream *u);
/** Set what the answer to a request that is sent now would tell of the speed
 * of its upstream; before the counters of that change. */
void gate_expect_speed(const bbm_gate *g, gate_request *r,
                       const gate_choice *c);
/** Record that its answer has begun. */
void gate_record_speed(bbm_gate *g, const gate_request *r);
/** Update the measured upstreams after a new listing or configuration. */
void gate_list_speeds(bbm_gate *g);
/** Apply changed measurements. */
void gate_apply_speeds(bbm_gate *g);
/** Append this VM's samples; nothing if there are none. */
void gate_put_speeds(bbm_gate *g, bbm_buf *buf);
/** Read those of a VM. */
void gate_get_speeds(bbm_gate *g, bbm_reader *rd, bool own);
/** Read them in one format and append them in another. */
void gate_convert_speeds(bbm_reader *rd, bbm_format from, bbm_format to,
                         bbm_buf *buf);

/* ---- gate_quarantine.c ---- */

/** Record that the current attempt was ended by its upstream. */
void gate_record_disconnect(bbm_gate *g, gate_request *r);
/** Record that the answer to the current attempt is sound. */
void gate_record_sound_answer(bbm_gate *g, const gate_request *r,
                              bbm_time began_at);
/** Whether a request may be sent to a pool, by the upstreams that have crashed
 *  on it. */
typedef enum gate_caution {
    GATE_CAUTION_NONE,   /**< It may be sent. */
    GATE_CAUTION_HOLD,   /**< Hold it until all VMs know of the first crash, if
                              too few others work. */
    GATE_CAUTION_REFUSE, /**< It is suspect, and may be sent by one VM at a
                              time, not as a further attempt, and not to the
                              last upstream that works. */
} gate_caution;

/** Decide that for a request that would be sent now. */
gate_caution gate_judge_suspicion(bbm_gate *g, gate_request *r,
                                  const gate_pool *pool);
/** Judge whether a request may be sent, by the parts of its prompt.  @p entry
 *  receives the part for which it isn't clear. */
bbm_parts_verdict gate_judge_parts(const bbm_gate *g, const gate_request *r,
                                   const bbm_quarantine_entry **entry);
/** True if this VM may try a quarantined part or a suspect request now: one VM
 *  at a time, with a pause before the next. */
bool gate_may_try(const bbm_gate *g, uint64_t id);
/** Push outputs for changes of the quarantine, and abort the attempts whose
 *  answers haven't begun and whose prompts have a quarantined part. */
void gate_apply_quarantine(bbm_gate *g);

/* ---- gate_retry.c ---- */

/** Set a new pool's retry budget. */
void gate_create_retry_budget(const bbm_gate *g, gate_pool *p);
/** Set the number of VMs that are alive. */
void gate_set_retry_vms(bbm_gate *g, size_t vms);
/** Credit the budget for a new request. */
void gate_record_retry_request(bbm_gate *g, gate_pool *p);
/** Take a retry from this VM's part of the retry budget; false if there is
 *  none left.  Retries of requests that reached an upstream are limited,
 *  whether the request ran there or not; those of unsent requests aren't. */
bool gate_acquire_retry(bbm_gate *g, const gate_request *r);

/* ---- gate_reach.c ---- */

/** Record that a connection to an upstream failed, or that it hung.  Returns
 *  false if other VMs don't reach it either, as far as is known. */
bool gate_record_unreached(bbm_gate *g, gate_upstream *u);
/** Record that an upstream answered. */
void gate_record_reached(bbm_gate *g, gate_upstream *u);
/** True if this VM reaches no upstream of the pool. */
bool gate_is_cut_off(const gate_upstream *u);
/** Append the pools that this VM doesn't reach; nothing if there are none,
 *  unless more news follow. */
void gate_put_cut_pools(const bbm_gate *g, bool news_follow, bbm_buf *buf);
/** Read those of another VM. */
void gate_get_cut_pools(bbm_gate *g, bbm_reader *rd, uint64_t vm);
/** Read them in one format and append them in another. */
void gate_convert_cut_pools(bbm_reader *rd, bbm_format from, bbm_format to,
                            bbm_buf *buf);
/** Let another VM forward a request, if one can and the request may be sent
 *  again; else returns false. */
bool gate_relay(bbm_gate *g, gate_request *r);
/** Do that with a given VM, unless it has been tried or isn't known. */
bool gate_relay_to(bbm_gate *g, gate_request *r, uint64_t vm);
/** Do that if this VM doesn't reach the request's pool. */
bool gate_relay_if_cut(bbm_gate *g, gate_request *r);
/** Handle the result of a request that another VM forwarded. */
void gate_end_relayed(bbm_gate *g, gate_request *r,
                      const bbm_forward_result *result);

/* ---- gate_origin.c ---- */

/** Set how a new request may be placed, by the stream that it takes up. */
void gate_begin_stream(bbm_gate *g, gate_request *r,
                       const bbm_gate_request_desc *request);
/** Record where the stream of a request goes on, or began. */
void gate_record_origin(bbm_gate *g, gate_request *r, uint64_t origin);
/** What is to be done with a request that is to be placed. */
typedef enum gate_origin_verdict {
    GATE_ORIGIN_PLACE,  /**< Place it where gate_may_go_on allows. */
    GATE_ORIGIN_WAIT,   /**< Hold it until the origin is known. */
    GATE_ORIGIN_REFUSE, /**< It can't go on. */
} gate_origin_verdict;
/** Decide that; asks for the origin again when the answer is late. */
gate_origin_verdict gate_judge_origin(bbm_gate *g, gate_request *r,
                                      const char **reason);
/** True if the stream of a request may begin or go on at an upstream. */
bool gate_may_go_on(const gate_request *r, const gate_upstream *u);
/** Update the origins of upstreams and pools after a new listing. */
void gate_update_origins(bbm_gate *g);

/* ---- gate_release.c ---- */

/** Count a new request, and decide whether it goes to a build that is
 *  released to its first pool. */
void gate_release_begin(bbm_gate *g, gate_request *r, const char *route);
/** To be called before a request is placed: it goes to the old build if no
 *  upstream of the released one can take it. */
void gate_release_prepare(const bbm_gate *g, gate_request *r);
/** True if a release, if there is one, allows to send a request to an
 *  upstream. */
bool gate_release_allows(const bbm_gate *g, const gate_request *r,
                         const gate_upstream *u);
/** True if requests wait for an upstream until the release is known to be in
 *  force. */
bool gate_release_holds(const bbm_gate *g, const gate_upstream *u);
/** True if an upstream is of the build of a known release: the listing's mark
 *  for VMs that don't know of it doesn't count. */
bool gate_release_is_marked(const bbm_gate *g, const gate_upstream *u);
/** Count an attempt that was sent. */
void gate_release_record_send(bbm_gate *g, const gate_request *r);
/** Count the current attempt as failed; the request goes on elsewhere. */
void gate_release_record_failure(bbm_gate *g, gate_request *r);
/** Count the current attempt when the head of its answer is passed on. */
void gate_release_record_head(bbm_gate *g, gate_request *r);
/** Count the current attempt as failed if its answer hasn't begun long after
 *  the expected time. */
void gate_release_check_wait(bbm_gate *g, gate_request *r);
/** Count the current attempt when its client leaves before the answer: that
 *  would have taken longer than the client has waited. */
void gate_release_record_leave(bbm_gate *g, gate_request *r);
/** Count the current attempt when it has ended. */
void gate_release_record_end(bbm_gate *g, gate_request *r,
                             const bbm_forward_result *result);
/** Number of releases in progress. */
size_t gate_release_count(const bbm_gate *g);
/** Free the releases. */
void gate_free_releases(bbm_gate *g);

/* ---- gate_request.c ---- */

/** Latest moment up to which a request is held for upstreams that all want
 *  none for a while, or for a turn at those that state a limit. */
bbm_time gate_hold_limit(const gate_request *r);
/** Minimum Retry-After of a refusal. */
#define GATE_RETRY_AFTER_MIN (50 * BBM_MS)

/** Send a request that has no attempt in progress, or hold, refuse or abort
 *  it.  May free the request. */
void gate_dispatch(bbm_gate *g, gate_request *r);
/** Dispatch all held requests, by priority, then by arrival. */
void gate_dispatch_waiting(bbm_gate *g);
/** Remove a request from the queue of held ones, if it is there. */
void gate_dequeue(bbm_gate *g, gate_request *r);
/** Remove and free a request. */
void gate_request_free(bbm_gate *g, gate_request *r);
/** Queue the output that sends a request; the caller fills in the rest. */
bbm_gate_output *gate_push_send(bbm_gate *g, const gate_request *r);
/** Send a request to the chosen upstream. */
void gate_send(bbm_gate *g, gate_request *r, const gate_choice *c);
/** Remove a request from the counters of its upstream, if it has one. */
void gate_release_upstream(bbm_gate *g, gate_request *r);
/** End a request with an error whose code says that it did not run; if it may
 *  have run, with BBM_ERR_UPSTREAM instead.  Frees the request.  Retry-After
 *  gets a random part, as clients that are refused at the same time would all
 *  return together. */
void gate_refuse(bbm_gate *g, gate_request *r, int code, bbm_time retry_after,
                 const char *reason);
/** Abort a request; with the code BBM_OK the client gets no answer.  Frees the
 *  request. */
void gate_abort(bbm_gate *g, gate_request *r, int code, const char *reason);
/** End a request whose client has left.  It may still read what it is told. */
void gate_abandon(bbm_gate *g, gate_request *r);
/** Find a pool by name, or NULL. */
gate_pool *gate_find_pool(const bbm_gate *g, const char *name);

/* ---- gate_partition.c ---- */

/** Adapt the partitions of all pools to the latest totals. */
void gate_update_partitions(bbm_gate *g);
/** Record a request that is sent to an upstream. */
void gate_record_size(const gate_request *r, gate_upstream *u);
/** True if an upstream is in the part of its pool for such requests, or the
 *  pool isn't divided. */
bool gate_is_in_part(const gate_request *r, const gate_upstream *u);

#endif
