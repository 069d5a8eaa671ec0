#include "bbm_forecast.h"

#include <math.h>

/* Time constant of the pairs of forecast and result: a burst begins and ends
   within a second, and a VM sends a runner pool a few requests per second. */
#define START_TIME_CONSTANT_S 2.0
/* Time constant of what is measured of ended requests: it depends on the kinds
   of requests, which change slowly. */
#define END_TIME_CONSTANT_S 10.0
/* Forecasts of this sum are taken to have been correct, so that a few short
   answers don't change the factor. */
#define PRIOR_FORECAST_MS 1000.0
/* Forecasts that are off by less than this ratio aren't corrected: where
   runners have free slots, the results vary by that much. */
#define TOLERATED_RATIO 1.25
/* Time for which a request is assumed to occupy a slot, and the number of
   requests for which that is taken as measured. */
#define PRIOR_SLOT_MS 300.0
#define PRIOR_ENDED 2.0
/* More urgent requests are taken to leave at least this share of the slots:
   the load that is known is a moment's, and they end while others wait. */
#define FREED_SLOTS_SHARE_MIN 0.25

int
bbm_forecast_class_of(int priority)
{
    if (priority < 0)
        return 0;
    return priority < BBM_FORECAST_PRIORITIES ? priority
                                              : BBM_FORECAST_PRIORITIES - 1;
}

static double
decay(bbm_time then, bbm_time now, double time_constant_s)
{
    double span = (double)(now - then) / (double)BBM_SECOND;
    return span > 0 ? exp(-span / time_constant_s) : 1;
}

void
bbm_forecast_add_start(bbm_forecast *f, int priority, double forecast_ms,
                       double result_ms, bbm_time now)
{
    bbm_forecast_class *c = &f->classes[bbm_forecast_class_of(priority)];
    double kept = decay(c->started_at, now, START_TIME_CONSTANT_S);
    c->started.forecast_ms = c->started.forecast_ms * kept + forecast_ms;
    c->started.result_ms = c->started.result_ms * kept + result_ms;
    c->started_at = now;
}

void
bbm_forecast_set_overdue(bbm_forecast *f, int priority,
                         const bbm_forecast_sums *overdue)
{
    f->classes[bbm_forecast_class_of(priority)].overdue = *overdue;
}

void
bbm_forecast_add_end(bbm_forecast *f, int priority, double slot_ms,
                     bbm_time now)
{
    bbm_forecast_class *c = &f->classes[bbm_forecast_class_of(priority)];
    double kept = decay(c->ended_at, now, END_TIME_CONSTANT_S);
    c->ended = c->ended * kept + 1;
    c->slot_ms = c->slot_ms * kept + slot_ms;
    c->ended_at = now;
}

double
bbm_forecast_factor(const bbm_forecast *f, int priority, bbm_time now)
{
    const bbm_forecast_class *c = &f->classes[bbm_forecast_class_of(priority)];
    double kept = decay(c->started_at, now, START_TIME_CONSTANT_S);
    double result_ms = c->started.result_ms * kept + c->overdue.result_ms;
    double forecast_ms =
        c->started.forecast_ms * kept + c->overdue.forecast_ms;
    double factor =
        (PRIOR_FORECAST_MS + result_ms) / (PRIOR_FORECAST_MS + forecast_ms);
    if (factor >= 1 / TOLERATED_RATIO && factor <= TOLERATED_RATIO)
        return 1;
    if (factor < BBM_FORECAST_FACTOR_MIN)
        return BBM_FORECAST_FACTOR_MIN;
    return factor < BBM_FORECAST_FACTOR_MAX ? factor : BBM_FORECAST_FACTOR_MAX;
}

double
bbm_forecast_slot_ms(const bbm_forecast *f, int priority, bbm_time now)
{
    const bbm_forecast_class *c = &f->classes[bbm_forecast_class_of(priority)];
    double kept = decay(c->ended_at, now, END_TIME_CONSTANT_S);
    return (PRIOR_ENDED * PRIOR_SLOT_MS + c->slot_ms * kept)
           / (PRIOR_ENDED + c->ended * kept);
}

double
bbm_forecast_wait_ms(const bbm_forecast *f, const bbm_forecast_load *load,
                     bbm_time now)
{
    double wait = load->backlog_ms + load->step_ms;
    if (load->open_ahead < load->slots)
        return wait;
    /* Slots that more urgent requests leave to those of this priority. */
    double left = load->slots - load->open_urgent;
    if (left < load->slots * FREED_SLOTS_SHARE_MIN)
        left = load->slots * FREED_SLOTS_SHARE_MIN;
    return wait
           + bbm_forecast_slot_ms(f, load->priority, now)
                 * (1 + load->open_ahead - load->slots) / left;
}
