/** @file
 *  Error budget burn rate of each objective.
 *
 *  An objective sets the share of requests that must be good.  The burn rate
 *  is the share of bad requests divided by the allowed share: at 1 the error
 *  budget lasts exactly for its period.  The level is raised only if the burn
 *  rate is high over a short and a long window, so that a fault that is over
 *  does not raise it.
 *
 *      bbm_burn *b = bbm_burn_create();
 *      bbm_burn_configure(b, config);
 *      bbm_burn_record(b, &sample, now);
 *      for (size_t i = 0; bbm_burn_at(b, i, now, &row); i++) ...
 *
 *  Source: multi-window burn rates as in the Site Reliability Workbook.
 */
#ifndef BBM_BURN_H
#define BBM_BURN_H

#include "bbm_config.h"
#include "bbm_time.h"

/** Windows over which a burn rate is computed. */
typedef enum bbm_burn_window {
    BBM_BURN_5_MIN,
    BBM_BURN_30_MIN,
    BBM_BURN_1_H,
    BBM_BURN_6_H,
    BBM_BURN_WINDOW_COUNT,
} bbm_burn_window;

/** Urgency of an objective's state. */
typedef enum bbm_burn_level {
    BBM_BURN_NONE,   /**< No action needed. */
    BBM_BURN_TICKET, /**< Needs attention within the day. */
    BBM_BURN_PAGE,   /**< Needs attention now. */
} bbm_burn_level;

/** One request that has ended. */
typedef struct bbm_burn_sample {
    const char *customer;      /**< Name, or "" on open routes. */
    const char *route;         /**< Name of its route. */
    bbm_time first_token_time; /**< Time to the first token; 0: none came. */
    bool truncated;            /**< The answer ended early. */
    bool refused_within_rate;  /**< Refused although the customer was within
                                    its rate. */
} bbm_burn_sample;

/** State of one objective. */
typedef struct bbm_burn_row {
    char name[BBM_NAME_SIZE];              /**< Of the objective. */
    double target;                         /**< Share that must be good. */
    uint64_t total[BBM_BURN_WINDOW_COUNT]; /**< Requests in each window. */
    uint64_t bad[BBM_BURN_WINDOW_COUNT];   /**< Bad requests among them. */
    double rate[BBM_BURN_WINDOW_COUNT];    /**< Burn rates; 1: as allowed. */
    bbm_burn_level level;                  /**< From the burn rates. */
} bbm_burn_row;

/** Request counts of all objectives; opaque. */
typedef struct bbm_burn bbm_burn;

/** Create a set without objectives. */
bbm_burn *bbm_burn_create(void);
/** Free a set; NULL is allowed. */
void bbm_burn_destroy(bbm_burn *b);
/** Apply the objectives of a configuration; existing ones keep their
 *  counts. */
void bbm_burn_configure(bbm_burn *b, const bbm_config *cfg);
/** Count a request for every objective that covers it. */
void bbm_burn_record(bbm_burn *b, const bbm_burn_sample *s, bbm_time now);
/** State of the i-th objective; false past the end. */
bool bbm_burn_at(bbm_burn *b, size_t i, bbm_time now, bbm_burn_row *row);
/** Compute the burn rates and level of a row from its target and counts,
 *  which may be sums over several VMs. */
void bbm_burn_evaluate(bbm_burn_row *row);
/** "fine", "ticket" or "page". */
const char *bbm_burn_level_text(bbm_burn_level level);

#endif
