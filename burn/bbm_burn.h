/** @file
 *  How fast each objective uses up its error budget.
 *
 *  An objective says which share of requests must be good.  The burn rate is
 *  the share of bad ones over the share that is allowed: at 1 the budget
 *  lasts just as long as it is meant to.  Two windows together tell a fault
 *  that goes on from one that is over.
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
    BBM_BURN_5_MIN,        /**< Five minutes. */
    BBM_BURN_30_MIN,       /**< Half an hour. */
    BBM_BURN_1_H,          /**< One hour. */
    BBM_BURN_6_H,          /**< Six hours. */
    BBM_BURN_WINDOW_COUNT, /**< Number of windows. */
} bbm_burn_window;

/** What an operator should do. */
typedef enum bbm_burn_level {
    BBM_BURN_NONE,   /**< Nothing. */
    BBM_BURN_TICKET, /**< Look at it today. */
    BBM_BURN_PAGE,   /**< Look at it now. */
} bbm_burn_level;

/** One request that has ended. */
typedef struct bbm_burn_sample {
    const char *customer;      /**< Whose, or "". */
    const char *route;         /**< Name of its route. */
    bbm_time first_token_time; /**< Time to the first token; 0: none came. */
    bool truncated;            /**< Its answer was cut. */
    bool refused_within_rate;  /**< Refused though inside its rate. */
} bbm_burn_sample;

/** One objective's state. */
typedef struct bbm_burn_row {
    char name[BBM_NAME_SIZE];              /**< Of the objective. */
    double target;                         /**< Share that must be good. */
    uint64_t total[BBM_BURN_WINDOW_COUNT]; /**< Requests counted. */
    uint64_t bad[BBM_BURN_WINDOW_COUNT];   /**< Bad ones. */
    double rate[BBM_BURN_WINDOW_COUNT];    /**< Burn rates. */
    bbm_burn_level level;                  /**< What to do. */
} bbm_burn_row;

/** The counters; opaque. */
typedef struct bbm_burn bbm_burn;

/** No objectives yet. */
bbm_burn *bbm_burn_create(void);
/** Release; NULL is allowed. */
void bbm_burn_destroy(bbm_burn *b);
/** Take over objectives; those that stay keep their counts. */
void bbm_burn_configure(bbm_burn *b, const bbm_config *cfg);
/** Count a request. */
void bbm_burn_record(bbm_burn *b, const bbm_burn_sample *s, bbm_time now);
/** The i-th objective; false past the end. */
bool bbm_burn_at(bbm_burn *b, size_t i, bbm_time now, bbm_burn_row *row);
/** Burn rates and level from counts, also of several VMs added up. */
void bbm_burn_evaluate(bbm_burn_row *row);
/** "fine", "ticket" or "page". */
const char *bbm_burn_level_text(bbm_burn_level level);

#endif
