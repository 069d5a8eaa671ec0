/** @file
 *  Bringing the runners of a pool to the newest weights.
 *
 *  One daemon, the leader, gives the orders.  A runner that is next first gets
 *  no new work, is then asked what it holds, gets the order on top of what it
 *  answered, and is asked until it holds the new weights.  A runner that
 *  doesn't answer is asked again: the order may be carried out late, and then
 *  its condition no longer holds.
 *
 *      bbm_rollout *ro = bbm_rollout_create(&(bbm_rollout_desc){.fence = 7});
 *      bbm_rollout_set_target(ro, "m", 3, now);
 *      bbm_rollout_set_runners(ro, &listing);
 *      while ((act = bbm_rollout_next_action(ro, now)) != NULL) ... ask or
 * order ... bbm_rollout_apply_report(ro, id, &report, now);
 *      bbm_rollout_apply_answer(ro, id, BBM_ORDER_ACCEPTED, now);
 *      bbm_rollout_mark_listing(ro, &listing);       who holds what, who is
 * loading
 *
 *  The load it answers: versions that follow each other faster than all
 *  runners can take them.  Less than half of the runners are under way at a
 *  time: most of that is waiting for their runs to end, not loading.  Those
 *  with the oldest weights come first, then the least busy; one that has not
 *  begun when a newer version is named goes to that at once.  When those that
 *  are done carry the load without a backlog the others follow slowly: a
 *  version that comes soon spares them a load.
 */
#ifndef BBM_ROLLOUT_H
#define BBM_ROLLOUT_H

#include "bbm_listing.h"
#include "bbm_time.h"

/** How to make a rollout.  Zero means the default. */
typedef struct bbm_rollout_desc {
    uint64_t fence;          /**< Fencing number of all its orders. */
    double concurrent_share; /**< Runners under way, of all; 0: 0.25. */
    size_t concurrent_min;   /**< But so many at least; 0: 3. */
    size_t slow_concurrent;  /**< Runners under way when there is no haste;
                                0: 2. */
    double slow_backlog_ms;  /**< Backlog of the runners that are done, up to
                          which there is none; 0: 40 ms. */
    bbm_time slow_time_max; /**< Haste again so long after a version was named;
                             0: 4 s. */
} bbm_rollout_desc;

/** What a runner reports. */
typedef struct bbm_runner_report {
    uint64_t started_at_ms; /**< Calendar time of its start; 0: untold. */
    uint64_t sequence;      /**< Orders that it accepted. */
    bool order_in_progress; /**< One is under way. */
    bbm_loaded_model models[BBM_RUNNER_MODELS_MAX]; /**< What it holds. */
    size_t models_len;                              /**< How many. */
} bbm_runner_report;

/** How a runner answered an order. */
typedef enum bbm_order_answer {
    BBM_ORDER_ACCEPTED,     /**< It carries it out. */
    BBM_ORDER_ALREADY_DONE, /**< It was so already. */
    BBM_ORDER_CONFLICT, /**< Another order is under way, or came between. */
    BBM_ORDER_FENCED,   /**< A higher fencing number was used. */
    BBM_ORDER_WRONG_RUNNER, /**< It is another runner. */
    BBM_ORDER_REFUSED,      /**< It doesn't know the order or version. */
    BBM_ORDER_NO_ANSWER,    /**< No answer: it may or may not have it. */
} bbm_order_answer;

/** Something to be done at a runner. */
typedef struct bbm_rollout_action {
    bool is_order;               /**< Give the order; else ask for a report. */
    char id[BBM_NAME_SIZE];      /**< Runner. */
    char address[BBM_NAME_SIZE]; /**< IP:port. */
    char model[BBM_NAME_SIZE];   /**< Order: model. */
    uint64_t version;            /**< Order: version. */
    uint64_t sequence;           /**< Order: on top of so many. */
    uint64_t fence;              /**< Order: fencing number. */
} bbm_rollout_action;

/** A rollout; opaque. */
typedef struct bbm_rollout bbm_rollout;

/** Without runners and targets. */
bbm_rollout *bbm_rollout_create(const bbm_rollout_desc *desc);
/** Release; NULL is allowed. */
void bbm_rollout_destroy(bbm_rollout *ro);
/** The newest version of a model. */
void bbm_rollout_set_target(bbm_rollout *ro, const char *model,
                            uint64_t version, bbm_time now);
/** The runners as they are listed. */
void bbm_rollout_set_runners(bbm_rollout *ro, const bbm_listing *listing);
/** Requests of all VMs at a runner, and the milliseconds that their unread
 *  prompts take. */
void bbm_rollout_set_load(bbm_rollout *ro, const char *id, double open,
                          double backlog_ms);
/** The next act, or NULL; valid until the next call. */
const bbm_rollout_action *bbm_rollout_next_action(bbm_rollout *ro,
                                                  bbm_time now);
/** A runner's report came in; NULL: it didn't answer. */
void bbm_rollout_apply_report(bbm_rollout *ro, const char *id,
                              const bbm_runner_report *report, bbm_time now);
/** A runner answered an order. */
void bbm_rollout_apply_answer(bbm_rollout *ro, const char *id,
                              bbm_order_answer answer, bbm_time now);
/** Write into a listing what is known better than it: versions, and which
 *  runners get no work because they load. */
void bbm_rollout_mark_listing(const bbm_rollout *ro, bbm_listing *listing);
/** True if a runner said that another has taken over. */
bool bbm_rollout_is_fenced(const bbm_rollout *ro);

#endif
