/** @file
 *  Expected time until a runner begins an answer, checked against results.
 *
 *  Handles the load at which runners have more requests than slots, and at
 *  which the load totals that a VM decides by are older than the time in which
 *  a burst fills a runner.  The expected time has three parts: the prompts
 *  that wait there, the wait for a slot, and the request's own prompt.  The
 *  wait for a slot follows from the measured time for which requests occupy
 *  one, and from the open requests that are at least as urgent, as a runner
 *  admits these first.
 *
 *  Each answer that begins gives a pair of forecast and result.  Their ratio
 *  over the last seconds corrects later forecasts of the same pool and
 *  priority.  The longest waits end last, so requests that wait longer than
 *  expected count before they end.  Without pairs the factor is 1.
 *
 *      bbm_forecast f = {0};
 *      double wait = bbm_forecast_wait_ms(&f, &load, now);
 *      double factor = bbm_forecast_factor(&f, priority, now);
 *      ... expected: factor * (wait + own prompt) ...
 *      bbm_forecast_add_start(&f, priority, wait + own prompt, result, now);
 *      bbm_forecast_set_overdue(&f, priority, &overdue);
 *      bbm_forecast_add_end(&f, priority, slot_ms, now);
 *
 *  Pure: the caller passes in the time.
 */
#ifndef BBM_FORECAST_H
#define BBM_FORECAST_H

#include "bbm_time.h"

/** Number of priorities that are told apart; less urgent ones count as the
 *  last. */
#define BBM_FORECAST_PRIORITIES 4
/** Limits of the correction factor. */
#define BBM_FORECAST_FACTOR_MIN 0.5
#define BBM_FORECAST_FACTOR_MAX 4.0

/** Sums of forecasts and of what came of them. */
typedef struct bbm_forecast_sums {
    double forecast_ms; /**< Expected times, without the correction factor. */
    double result_ms;   /**< Actual times, or times waited until now. */
} bbm_forecast_sums;

/** What is measured of the requests of a priority. */
typedef struct bbm_forecast_class {
    bbm_forecast_sums started; /**< Of answers that have begun; decays. */
    bbm_time started_at;       /**< When that was last updated. */
    bbm_forecast_sums overdue; /**< Of requests that wait longer than
                                    expected. */
    double ended;              /**< Number of requests that have ended;
                                    decays. */
    double slot_ms;            /**< Sum of the times for which they had a
                                    slot; decays. */
    bbm_time ended_at;         /**< When these two were last updated. */
} bbm_forecast_class;

/** Measurements of a pool; all zero at the start. */
typedef struct bbm_forecast {
    bbm_forecast_class classes[BBM_FORECAST_PRIORITIES]; /**< By priority. */
} bbm_forecast;

/** Load of a runner, as a request would find it. */
typedef struct bbm_forecast_load {
    double backlog_ms;  /**< Time to process the prompts that wait there. */
    double step_ms;     /**< Time that the open requests add to a decoding
                             step. */
    double open_ahead;  /**< Open requests of all VMs that are at least as
                             urgent. */
    double open_urgent; /**< Of these, the more urgent ones. */
    double slots;       /**< Requests that it runs at a time; at least 1. */
    int priority;       /**< Of the request; 0 is the most urgent. */
} bbm_forecast_load;

/** Record that an answer began @p result_ms after it was sent.
 *  @param forecast_ms what was expected, without the correction factor. */
void bbm_forecast_add_start(bbm_forecast *f, int priority, double forecast_ms,
                            double result_ms, bbm_time now);
/** Set the sums of the requests that wait now and have waited longer than
 *  expected. */
void bbm_forecast_set_overdue(bbm_forecast *f, int priority,
                              const bbm_forecast_sums *overdue);
/** Record that a request has ended, which occupied a slot for @p slot_ms. */
void bbm_forecast_add_end(bbm_forecast *f, int priority, double slot_ms,
                          bbm_time now);

/** Ratio of results to forecasts, between BBM_FORECAST_FACTOR_MIN and
 *  BBM_FORECAST_FACTOR_MAX; 1 without pairs. */
double bbm_forecast_factor(const bbm_forecast *f, int priority, bbm_time now);
/** Class of a priority, below BBM_FORECAST_PRIORITIES. */
int bbm_forecast_class_of(int priority);
/** Mean time for which requests of this priority occupy a slot, in
 *  milliseconds. */
double bbm_forecast_slot_ms(const bbm_forecast *f, int priority, bbm_time now);
/** Expected time until a runner begins to process a request, in milliseconds,
 *  without the correction factor. */
double bbm_forecast_wait_ms(const bbm_forecast *f,
                            const bbm_forecast_load *load, bbm_time now);

#endif
