/** @file
 *  The model runners as one VM sees them, and where a request goes.
 *
 *  A request goes to the runner with the least expected time to its first
 *  token: the work ahead of it there, and the prompt tokens that are not
 *  cached there, at the runner's own pace.  Load reports come late, so what
 *  this VM sent since the report was made is added to it, once for each VM:
 *  the others are taken to do as it does.
 *
 *      bbm_fleet *f = bbm_fleet_create(&(bbm_fleet_desc){.zone = "a"});
 *      bbm_fleet_configure(f, config, now);
 *      bbm_fleet_report(f, "runner-1", &report, now);
 *      switch (bbm_fleet_pick(f, &prompt, now, &pick)) {
 *      case BBM_PICK_START: ... pick.slot, pick.engine ...
 *      case BBM_PICK_WAIT:  ... all are full: queue it ...
 *      case BBM_PICK_NONE:  ... no runner can serve it ...
 *      }
 *      bbm_fleet_started(f, &pick, now);
 *      bbm_fleet_ended(f, pick.slot, &ending, now);
 *
 *  Baseline policies stand beside ours for comparison in benches.
 */
#ifndef BBM_FLEET_H
#define BBM_FLEET_H

#include "bbm_cache.h"
#include "bbm_config.h"
#include "bbm_time.h"

/** How a runner is chosen. */
typedef enum bbm_policy {
    BBM_POLICY_COST,        /**< Least expected time to first token. */
    BBM_POLICY_ROUND_ROBIN, /**< Baseline: in turn. */
    BBM_POLICY_LEAST_LOAD,  /**< Baseline: fewest requests. */
    BBM_POLICY_HASH,        /**< Baseline: hash of the first block. */
} bbm_policy;

/** How to make a fleet. */
typedef struct bbm_fleet_desc {
    char zone[BBM_NAME_SIZE]; /**< Zone of this VM. */
    uint64_t seed;            /**< For ties. */
    bbm_policy policy;        /**< 0: ours. */
    bool no_own_load;         /**< Switch off: own work since the report. */
    bool no_hot_copies;       /**< Switch off: copies of hot prefixes. */
    bool no_rendezvous;       /**< Switch off: one place for a new prefix. */
    bool no_ejection;         /**< Switch off: ejection. */
    bbm_cache_desc cache;     /**< How the index is kept. */
} bbm_fleet_desc;

/** What a runner says of itself. */
typedef struct bbm_report {
    uint64_t incarnation;        /**< Drawn at its start. */
    char weights[BBM_NAME_SIZE]; /**< Version loaded. */
    uint32_t running;            /**< Requests in its batch. */
    uint32_t queued;             /**< Requests that wait there. */
    double backlog_tokens;       /**< Prompt tokens still to compute. */
    bbm_time age;                /**< How old these figures are. */
    bool leaving;                /**< Wants no new work. */
    bool loading;                /**< Is loading weights. */
    uint64_t first_event;        /**< Number of the first event; 0: none. */
    uint64_t last_event;         /**< Number of the last event so far. */
    bool is_snapshot;            /**< Events list all blocks, from none. */
    const struct bbm_cache_event *events; /**< In order. */
    size_t events_len;                    /**< Events. */
} bbm_report;

/** A change of a runner's cache. */
typedef struct bbm_cache_event {
    uint64_t sequence; /**< Rises by one. */
    bool removed;      /**< Evicted rather than stored. */
    bbm_block_id id;   /**< Chain hash of the block. */
} bbm_cache_event;

/** A prompt to be placed. */
typedef struct bbm_prompt {
    const char *model;          /**< Asked for. */
    const char *scope;          /**< Customer, or "" for open caches. */
    const bbm_block_id *blocks; /**< Hashes of its blocks, unchained. */
    size_t block_count;         /**< Whole blocks. */
    double tokens;              /**< Prompt tokens in all. */
    double block_tokens;        /**< Tokens in a block. */
    const bbm_names *excluded;  /**< Runners that failed it, or NULL. */
} bbm_prompt;

/** Longest prompt that is looked at, in blocks. */
#define BBM_PROMPT_BLOCKS_MAX 512

/** Where a prompt goes. */
typedef struct bbm_pick {
    uint32_t slot;                  /**< Of the runner. */
    char engine[BBM_NAME_SIZE];     /**< Its name. */
    char weights[BBM_NAME_SIZE];    /**< Version that it has. */
    double cached_tokens;           /**< Prompt tokens cached there. */
    double cached_elsewhere_tokens; /**< More tokens cached at another one. */
    bool import;                    /**< Importing beats computing. */
    bbm_time expected_first_token_time; /**< To the first token. */
    double uncached_tokens;             /**< Tokens to compute. */
} bbm_pick;

/** Result of a choice. */
typedef enum bbm_pick_result {
    BBM_PICK_START, /**< Send it. */
    BBM_PICK_WAIT,  /**< All that could serve it are full. */
    BBM_PICK_NONE,  /**< None can serve it. */
} bbm_pick_result;

/** How a request ended at a runner. */
typedef struct bbm_request_outcome {
    bool failed;            /**< The runner is to blame. */
    bool answer_started;    /**< It had begun to answer. */
    bbm_time duration;      /**< From start to end. */
    double uncached_tokens; /**< As in the pick. */
} bbm_request_outcome;

/** State of a runner, for reports to operators. */
typedef struct bbm_runner_view {
    char name[BBM_NAME_SIZE];    /**< Its name. */
    char weights[BBM_NAME_SIZE]; /**< Version it told of. */
    uint64_t incarnation;        /**< 0: never heard. */
    uint32_t running;            /**< As it told. */
    uint32_t queued;             /**< As it told. */
    uint32_t local_requests;     /**< Requests of this VM there. */
    size_t blocks;               /**< Blocks in the index. */
    bool is_reporting;           /**< Reports come in. */
    bool ejected;                /**< Gets no work for a while. */
    bool leaving;                /**< Gets no new work. */
} bbm_runner_view;

/** The runners; opaque. */
typedef struct bbm_fleet bbm_fleet;

/** A fleet without runners. */
bbm_fleet *bbm_fleet_create(const bbm_fleet_desc *desc);
/** Release; NULL is allowed. */
void bbm_fleet_destroy(bbm_fleet *f);

/** Take over the engines of a configuration; known ones keep their state. */
void bbm_fleet_configure(bbm_fleet *f, const bbm_config *cfg, bbm_time now);

/** So many daemons place requests, this one included: what they sent since a
 *  report is guessed from what this one sent. */
void bbm_fleet_set_vm_count(bbm_fleet *f, size_t daemons);

/** What a report led to. */
typedef struct bbm_report_effect {
    bool new_incarnation; /**< The runner started anew. */
    bool gap;             /**< Events were lost: ask for the whole list. */
} bbm_report_effect;

/** A runner's report came in. */
bbm_report_effect bbm_fleet_report(bbm_fleet *f, const char *engine,
                                   const bbm_report *report, bbm_time now);
/** A runner could not be asked for its report. */
void bbm_fleet_report_failed(bbm_fleet *f, const char *engine, bbm_time now);
/** Number of the last event taken from a runner; 0: ask for the whole. */
uint64_t bbm_fleet_last_event(const bbm_fleet *f, const char *engine);

/** Choose a runner. */
bbm_pick_result bbm_fleet_pick(bbm_fleet *f, const bbm_prompt *prompt,
                               bbm_time now, bbm_pick *pick);
/** The request was sent there. */
void bbm_fleet_started(bbm_fleet *f, const bbm_prompt *prompt,
                       const bbm_pick *pick, bbm_time now);
/** The first token came after so long. */
void bbm_fleet_first_token(bbm_fleet *f, uint32_t slot, double miss);
/** The request ended there.  True if the runner was ejected by this. */
bool bbm_fleet_ended(bbm_fleet *f, uint32_t slot,
                     const bbm_request_outcome *ending, bbm_time now);
/** Time until a model's runners have worked off what waits: for Retry-After
 *  and for deadlines.  @p ahead is what is queued before them, in tokens. */
bbm_time bbm_fleet_estimate_wait(const bbm_fleet *f, const char *model,
                                 double ahead, bbm_time now);
/** True if a runner gets new work. */
bool bbm_fleet_usable(const bbm_fleet *f, const char *engine, bbm_time now);
/** The i-th runner; false past the end. */
bool bbm_fleet_at(const bbm_fleet *f, size_t i, bbm_time now,
                  bbm_runner_view *view);

#endif
