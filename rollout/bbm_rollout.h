/** @file
 *  Rollout of new weights to the runners of a pool.
 *
 *  Only one daemon, the leader, sends orders.  A runner that is to be updated
 *  first gets no new requests, and may finish those it has: a runner rejects
 *  what it has queued when an order arrives, after these requests have waited
 *  there in vain.  Then the leader requests its report, sends an order that is
 *  conditional on the sequence number of that report, and polls the runner
 *  until it holds the new weights.  An order without an answer is sent again
 *  with the same sequence number: if both arrive, the second one no longer
 *  meets its condition, and the runner rejects it.
 *
 *      bbm_rollout *ro = bbm_rollout_create(&(bbm_rollout_desc){.fence = 7});
 *      bbm_rollout_set_target(ro, "m", 3, now);
 *      bbm_rollout_set_runners(ro, &listing);
 *      while ((action = bbm_rollout_next_action(ro, now)) != NULL) ...
 *      bbm_rollout_apply_report(ro, id, &report, now);
 *      bbm_rollout_apply_answer(ro, id, BBM_ORDER_ACCEPTED, now);
 *      bbm_rollout_mark_listing(ro, &listing);
 *
 *  The design handles versions that follow each other faster than all runners
 *  can load them.  There are places for a share of the runners that answer, by
 *  default a quarter, but for at least 3, so that the others serve meanwhile.
 *  For most of that time a runner waits for its running requests to end, not
 *  for the loading of the weights.  If the updates would otherwise last for
 *  longer than allowed, there are places for up to half of the runners.
 *
 *  A runner has its place only while it answers: a silent one is asked for a
 *  report from time to time, without a place, and awaits its turn once it
 *  answers.  So the time of a rollout doesn't depend on silent runners.
 *
 *  Runners that are known to work come first, of these the ones with the
 * oldest weights, then the least busy.  A runner that has not begun when a
 * newer version is set skips to the newer one.  Once half of the runners are
 * updated and serve almost without a backlog, the others are updated slowly:
 * if another version follows soon, they load only that one.
 */
#ifndef BBM_ROLLOUT_H
#define BBM_ROLLOUT_H

#include "bbm_listing.h"
#include "bbm_time.h"

/** Parameters of a rollout.  Zero means the default, except for the fence. */
typedef struct bbm_rollout_desc {
    uint64_t fence; /**< Fencing number of all its orders: the term of the
                         leader. */
    double concurrent_share;  /**< Share of the runners that may be in progress
                                   unless time is short; 0: 0.25. */
    size_t concurrent_min;    /**< Lower bound of that maximum, in
                                   runners; 0: 3. */
    size_t slow_concurrent;   /**< Maximum of runners in progress while
                                   the rollout is slow; 0: 2. */
    double slow_backlog_ms;   /**< The rollout is slow only up to this mean
                                   backlog of the updated runners; 0: 40 ms. */
    bbm_time drain_time_min;  /**< Time from marking a runner as loading until
                                   no VM sends it new requests; 0: 20 ms. */
    bbm_time drain_time_max;  /**< A runner is ordered to load once it has no
                                   open requests, or after this time; 0: after
                                   drain_time_min. */
    bbm_time slow_time_max;   /**< Time after which the rollout of a version
                                    is no longer slow; 0: 4 s. */
    bbm_time update_time_max; /**< Time after the naming of a version by which
                                   all runners are to have it, with up to half
                                   of them in progress; 0: unlimited. */
} bbm_rollout_desc;

/** Report of a runner. */
typedef struct bbm_runner_report {
    uint64_t started_at_ms; /**< Start of the runner in ms of calendar time;
                                 0: unknown. */
    uint64_t sequence;      /**< Number of orders accepted so far. */
    bool order_in_progress; /**< An order is being carried out. */
    bbm_loaded_model models[BBM_RUNNER_MODELS_MAX]; /**< Loaded models. */
    size_t models_len; /**< Number of loaded models. */
} bbm_runner_report;

/** Answer of a runner to an order. */
typedef enum bbm_order_answer {
    BBM_ORDER_ACCEPTED,     /**< The runner is carrying it out. */
    BBM_ORDER_ALREADY_DONE, /**< The runner held that version already. */
    BBM_ORDER_CONFLICT,     /**< Another order is in progress, or was accepted
                                 since the report. */
    BBM_ORDER_FENCED,       /**< It has seen a higher fencing number. */
    BBM_ORDER_WRONG_RUNNER, /**< Another runner answers at this address. */
    BBM_ORDER_REFUSED,   /**< It doesn't support the order or the version. */
    BBM_ORDER_NO_ANSWER, /**< Unknown whether the runner received it. */
} bbm_order_answer;

/** A request to send to a runner.  Fields marked "order" are meaningful only
 *  if @c is_order is set. */
typedef struct bbm_rollout_action {
    bool is_order;               /**< Send an order; else request a report. */
    char id[BBM_NAME_SIZE];      /**< Name of the runner. */
    char address[BBM_NAME_SIZE]; /**< IP:port. */
    char model[BBM_NAME_SIZE];   /**< Order: model. */
    uint64_t version;            /**< Order: version to load. */
    uint64_t sequence; /**< Order: must equal the runner's own sequence. */
    uint64_t fence;    /**< Order: fencing number. */
    bbm_time timeout;  /**< Time for which its answer is awaited. */
} bbm_rollout_action;

/** Load of a runner. */
typedef struct bbm_rollout_load {
    double open_requests; /**< Requests in progress on it, of all VMs. */
    double backlog_ms;    /**< Time that it needs for their prompts not yet
                               processed, in ms. */
    bool is_suspected;    /**< VMs suspect that it has failed. */
    bool answers_lately;  /**< It has answered requests in the last second. */
} bbm_rollout_load;

/** Progress of a rollout. */
typedef struct bbm_rollout_progress {
    size_t runners;     /**< Known runners. */
    size_t pending;     /**< Those that hold an older version than the
                             newest. */
    size_t in_progress; /**< Those that have one of the places. */
    size_t silent;      /**< Those pending that don't answer, or are suspected
                             to have failed. */
    bbm_time age; /**< Time since the first version was named that a runner
                       lacks; 0: none is pending. */
} bbm_rollout_progress;

/** A rollout; opaque. */
typedef struct bbm_rollout bbm_rollout;

/** Create a rollout without runners and targets. */
bbm_rollout *bbm_rollout_create(const bbm_rollout_desc *desc);
/** Release; NULL is allowed. */
void bbm_rollout_destroy(bbm_rollout *ro);
/** Set the newest version of a model, which was named at @p named_at; one that
 *  isn't higher than the present one is ignored. */
void bbm_rollout_set_target(bbm_rollout *ro, const char *model,
                            uint64_t version, bbm_time named_at);
/** Replace the runners by the entries of the listing that have models.  A
 *  runner that is listed with an older version than it is believed to have is
 *  asked for a report, if its last answer is more than 3 s old. */
void bbm_rollout_set_runners(bbm_rollout *ro, const bbm_listing *listing);
/** Set the load of a runner; no effect if there is no such runner. */
void bbm_rollout_set_load(bbm_rollout *ro, const char *id,
                          const bbm_rollout_load *load);
/** The next action that is due, or NULL; valid until the next call. */
const bbm_rollout_action *bbm_rollout_next_action(bbm_rollout *ro,
                                                  bbm_time now);
/** Process the report of a runner; NULL: it didn't answer.  Ignored unless a
 *  report was requested from that runner.  A lower version than before is
 *  believed if the sequence number shows an order that isn't one of this
 *  rollout, or not known to be accepted. */
void bbm_rollout_apply_report(bbm_rollout *ro, const char *id,
                              const bbm_runner_report *report, bbm_time now);
/** Process the answer of a runner to an order; ignored unless an order was
 *  due or sent. */
void bbm_rollout_apply_answer(bbm_rollout *ro, const char *id,
                              bbm_order_answer answer, bbm_time now);
/** Update a listing: the versions as last reported by the runners, and the
 *  mark @c loading on runners in progress, which get no new requests. */
void bbm_rollout_mark_listing(const bbm_rollout *ro, bbm_listing *listing);
/** Progress at time @p now. */
bbm_rollout_progress bbm_rollout_get_progress(const bbm_rollout *ro,
                                              bbm_time now);
/** True if a runner has answered that it has seen a higher fencing number:
 *  another daemon is the leader.  No further actions follow. */
bool bbm_rollout_is_fenced(const bbm_rollout *ro);

#endif
