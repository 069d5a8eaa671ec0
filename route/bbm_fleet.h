/** @file
 *  The model runners as seen by one VM, and the choice of a runner for each
 *  request.
 *
 *  A request is sent to the runner with the least expected time to its first
 *  token: the work queued there plus the prompt tokens not cached there, at
 *  the runner's own speed.  Load reports arrive late, so the requests that
 *  this VM has sent since the report was made are added.  They are multiplied
 *  by the number of VMs, on the assumption that each of the others sends as
 *  much.
 *
 *      bbm_fleet *f = bbm_fleet_create(&(bbm_fleet_desc){.zone = "a"});
 *      bbm_fleet_configure(f, config, now);
 *      bbm_fleet_report(f, "runner-1", &report, now);
 *      switch (bbm_fleet_pick(f, &prompt, now, &pick)) {
 *      case BBM_PICK_START: ... pick.slot, pick.engine ...
 *      case BBM_PICK_WAIT:  ... all runners are full: queue it ...
 *      case BBM_PICK_NONE:  ... no runner can serve it ...
 *      }
 *      bbm_fleet_started(f, &prompt, &pick, now);
 *      bbm_fleet_ended(f, pick.slot, &outcome, now);
 *
 *  Baseline policies are included for comparison in benches.
 */
#ifndef BBM_FLEET_H
#define BBM_FLEET_H

#include "bbm_cache.h"
#include "bbm_config.h"
#include "bbm_time.h"

/** How a runner is chosen. */
typedef enum bbm_policy {
    BBM_POLICY_COST,        /**< Least expected time to first token. */
    BBM_POLICY_ROUND_ROBIN, /**< Baseline: round robin. */
    BBM_POLICY_LEAST_LOAD,  /**< Baseline: fewest requests. */
    BBM_POLICY_HASH,        /**< Baseline: hash of the first block. */
} bbm_policy;

/** Parameters of a fleet.  The `no_` switches are for comparison in
 *  benches. */
typedef struct bbm_fleet_desc {
    char zone[BBM_NAME_SIZE]; /**< Zone of this VM; "": ignore zones. */
    uint64_t seed;            /**< Of the random generator. */
    bbm_policy policy;        /**< 0: BBM_POLICY_COST. */
    bool no_own_load;         /**< Ignore requests sent since the report. */
    bool no_hot_copies;       /**< Don't copy hot prefixes to more runners. */
    bool no_rendezvous;       /**< Don't place uncached prefixes by hash. */
    bool no_ejection;         /**< Don't eject failing runners. */
    bbm_cache_desc cache;     /**< Parameters of the cache index. */
} bbm_fleet_desc;

/** A runner's report. */
typedef struct bbm_report {
    uint64_t incarnation;        /**< New at each start; not 0. */
    char weights[BBM_NAME_SIZE]; /**< Weight version loaded. */
    uint32_t running;            /**< Requests in the batch. */
    uint32_t queued;             /**< Requests queued at the runner. */
    double backlog_tokens;       /**< Prompt tokens still to compute. */
    bbm_time age;                /**< Time since the values were measured. */
    bool leaving;                /**< Accepts no new requests. */
    bool loading;                /**< Is loading weights. */
    uint64_t first_event;        /**< Sequence number of the first of `events`;
                                      0: none. */
    uint64_t last_event;         /**< Sequence number of the runner's last
                                      event; 0: none so far. */
    bool is_snapshot;            /**< The events list all cached blocks. */
    const struct bbm_cache_event *events; /**< In order; not owned. */
    size_t events_len;                    /**< Number of events. */
} bbm_report;

/** A change of a runner's cache. */
typedef struct bbm_cache_event {
    uint64_t sequence; /**< Starts at 1 in an incarnation; no gaps. */
    bool removed;      /**< True: evicted; false: stored. */
    bbm_block_id id;   /**< Chain hash of the block. */
} bbm_cache_event;

/** A prompt for which a runner is chosen. */
typedef struct bbm_prompt {
    const char *model;          /**< Requested model. */
    const char *scope;          /**< Scope of its cache entries. */
    const bbm_block_id *blocks; /**< Hashes of its blocks, unchained. */
    size_t block_count;         /**< Complete blocks of the prompt. */
    double tokens;              /**< Tokens of the complete prompt. */
    double block_tokens;        /**< Tokens in a block. */
    const bbm_names *excluded;  /**< Runners that failed it, or NULL. */
} bbm_prompt;

/** Blocks of a prompt that are matched and indexed; further ones are not. */
#define BBM_PROMPT_BLOCKS_MAX 512

/** The chosen runner. */
typedef struct bbm_pick {
    uint32_t slot;                  /**< Index of the runner in the fleet. */
    char engine[BBM_NAME_SIZE];     /**< Name of the runner. */
    char weights[BBM_NAME_SIZE];    /**< Weight version loaded there. */
    double cached_tokens;           /**< Prompt tokens cached there. */
    double cached_elsewhere_tokens; /**< Tokens by which the longest match of
                                         all usable runners exceeds this
                                         one's. */
    bool import;                    /**< Importing from the KV store is faster
                                         than computing. */
    bbm_time score;                 /**< Wait, weighted computing time and cost
                                         of another zone; the runner was
                                         compared with others by it. */
    double uncached_tokens; /**< Prompt tokens that aren't known to be cached
                                 there, as counted in its backlog; at least
                                 1. */
} bbm_pick;

/** Result of a choice. */
typedef enum bbm_pick_result {
    BBM_PICK_START, /**< Send the request. */
    BBM_PICK_WAIT,  /**< All runners that could serve it are full. */
    BBM_PICK_NONE,  /**< No runner can serve it. */
} bbm_pick_result;

/** How a request ended at a runner. */
typedef struct bbm_request_outcome {
    bool failed;            /**< Failed because of the runner. */
    bool answer_started;    /**< The first byte was received. */
    bbm_time duration;      /**< From start to end. */
    double uncached_tokens; /**< As in the pick. */
} bbm_request_outcome;

/** State of a runner, for reports to operators. */
typedef struct bbm_runner_view {
    char name[BBM_NAME_SIZE];    /**< Name of the engine. */
    char weights[BBM_NAME_SIZE]; /**< Weight version last reported. */
    uint64_t incarnation;        /**< 0: no report yet. */
    uint32_t running;            /**< As last reported. */
    uint32_t queued;             /**< As last reported. */
    uint32_t local_requests;     /**< Open requests that this VM sent there. */
    size_t blocks;               /**< Blocks in the cache index. */
    bool is_reporting;           /**< Last report is at most 5 s old. */
    bool ejected;                /**< Excluded for a while after failures. */
    bool leaving;                /**< Gets no new requests. */
} bbm_runner_view;

/** The runners; opaque. */
typedef struct bbm_fleet bbm_fleet;

/** Create a fleet without runners. */
bbm_fleet *bbm_fleet_create(const bbm_fleet_desc *desc);
/** Free a fleet; NULL is allowed. */
void bbm_fleet_destroy(bbm_fleet *f);

/** Apply the engines of a configuration.  Existing runners keep their state;
 *  runners that are no longer configured get no new requests. */
void bbm_fleet_configure(bbm_fleet *f, const bbm_config *cfg, bbm_time now);

/** Set the number of VMs that send requests, this one included; 1 at first.
 *  What the others sent since a report is estimated from what this one
 *  sent. */
void bbm_fleet_set_vm_count(bbm_fleet *f, size_t vms);

/** Effect of a report. */
typedef struct bbm_report_effect {
    bool new_incarnation; /**< The runner restarted since its last report. */
    bool gap;             /**< Events were lost: request a snapshot. */
} bbm_report_effect;

/** Apply a runner's report; ignored for an unknown engine. */
bbm_report_effect bbm_fleet_report(bbm_fleet *f, const char *engine,
                                   const bbm_report *report, bbm_time now);
/** Record that polling a runner for its report failed.  Counts as one of the
 *  consecutive failures, but does not eject the runner by itself. */
void bbm_fleet_report_failed(bbm_fleet *f, const char *engine, bbm_time now);
/** Sequence number of the last event applied from a runner; 0: none, or the
 *  index was cleared, so request a snapshot. */
uint64_t bbm_fleet_last_event(const bbm_fleet *f, const char *engine);

/** Choose a runner; @p pick is set on BBM_PICK_START only. */
bbm_pick_result bbm_fleet_pick(bbm_fleet *f, const bbm_prompt *prompt,
                               bbm_time now, bbm_pick *pick);
/** Record that the request was sent to the chosen runner. */
void bbm_fleet_started(bbm_fleet *f, const bbm_prompt *prompt,
                       const bbm_pick *pick, bbm_time now);
/** Record the first token of a request: its @p uncached_tokens, as in the
 *  pick, are computed. */
void bbm_fleet_first_token(bbm_fleet *f, uint32_t slot,
                           double uncached_tokens);
/** Record the end of a request.  Returns true if it ejected the runner. */
bool bbm_fleet_ended(bbm_fleet *f, uint32_t slot,
                     const bbm_request_outcome *outcome, bbm_time now);
/** Estimated time before the prompt of a new request for a model can be
 *  computed, for Retry-After and deadlines.  @p ahead_tokens are queued on
 * this VM before it.  1 s if the model has no usable runner. */
bbm_time bbm_fleet_estimate_wait(const bbm_fleet *f, const char *model,
                                 double ahead_tokens, bbm_time now);
/** True if a runner gets new requests; false for an unknown engine. */
bool bbm_fleet_usable(const bbm_fleet *f, const char *engine, bbm_time now);
/** The i-th runner; false past the end. */
bool bbm_fleet_at(const bbm_fleet *f, size_t i, bbm_time now,
                  bbm_runner_view *view);

#endif
