/* Expected times of runners with more requests than slots.  Guards against
   forecasts from the backlog of prompts alone: of answers that began after 0.8
   to 1.6 s, 0.3 s had been expected. */
#include "bbm_forecast.h"
#include "bbm_mem.h"
#include "test_main.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>

#define SLOTS 12
#define REQUESTS_MAX 4096
#define STEP (5 * BBM_MS)
/* Age of the load that forecasts are made from. */
#define LOAD_AGE_STEPS 20
#define LOAD_STEPS 64
#define STEP_MS 0.3
/* All slots in use slow decoding down by this share: 49 events take 1.7 s of a
   slot on an idle runner, and 3 s under load. */
#define BATCH_SLOWDOWN 0.75
#define BURST_FROM (10 * BBM_SECOND)
#define BURST_UNTIL (14 * BBM_SECOND)
#define RUN_UNTIL (21 * BBM_SECOND)

/* Long prompts with short answers, and short prompts with long answers that
   are more urgent. */
static const struct kind {
    int priority;
    double per_s;
    double prefill_ms;
    double answer_ms;
    double target_ms;
    double deadline_ms;
} kinds[] = {
    {.priority = 0,
     .per_s = 1.64,
     .prefill_ms = 16,
     .answer_ms = 1700,
     .target_ms = 400,
     .deadline_ms = 3200},
    {.priority = 2,
     .per_s = 1.62,
     .prefill_ms = 57,
     .answer_ms = 330,
     .target_ms = 1200,
     .deadline_ms = 4800},
};

typedef enum job_stage {
    JOB_WAITS,
    JOB_READS, /* has a slot; its prompt is processed */
    JOB_ANSWERS,
    JOB_LEFT,
    JOB_ENDED,
} job_stage;

typedef struct job {
    const struct kind *kind;
    job_stage stage;
    bbm_time sent_at;
    bbm_time slot_at;
    bbm_time head_at;
    bbm_time end_at;
    double forecast_ms; /* of the module, without the factor */
    double expected_ms; /* by the policy */
    double result_ms;
} job;

/* Who forecasts. */
typedef enum policy {
    POLICY_BEFORE,  /* backlog, and 300 ms for each request in a slot */
    POLICY_MEASURED /* this module */
} policy;

/* What the VMs know of the runner at a moment. */
typedef struct view {
    double backlog_ms;
    double open[BBM_FORECAST_PRIORITIES];
} view;

/* A runner that admits the most urgent requests first.  A client leaves when
   its answer hasn't begun at its deadline; the request is refused if the
   forecast is later. */
typedef struct simulation {
    bbm_rng rng;
    policy policy;
    bbm_forecast forecast;
    job jobs[REQUESTS_MAX];
    size_t jobs_len;
    size_t busy;
    bbm_time prefill_at; /* end of the prompts taken so far */
    view now;
    view seen[LOAD_STEPS];
    size_t steps;
} simulation;

typedef struct totals {
    size_t requests;
    size_t refused;
    size_t in_time;
    size_t late;
    size_t left;
    double error_ms; /* of forecasts, over all that were sent */
    size_t missed;   /* expected within the target, began after it */
} totals;

static bbm_time
time_of_ms(double ms)
{
    return (bbm_time)(ms * (double)BBM_MS);
}

static double
ms_between(bbm_time from, bbm_time to)
{
    return (double)(to - from) / (double)BBM_MS;
}

static job *
next_job(simulation *s)
{
    job *best = NULL;
    for (size_t i = 0; i < s->jobs_len; i++) {
        job *j = &s->jobs[i];
        if (j->stage == JOB_WAITS
            && (!best || j->kind->priority < best->kind->priority))
            best = j;
    }
    return best;
}

static void
close_job(simulation *s, job *j, job_stage stage)
{
    s->now.open[j->kind->priority]--;
    j->stage = stage;
}

/* Counts a client that leaves as a result, as the gate does. */
static void
advance_job(simulation *s, job *j, bbm_time now)
{
    int priority = j->kind->priority;
    switch (j->stage) {
    case JOB_WAITS:
        if (ms_between(j->sent_at, now) < j->kind->deadline_ms)
            return;
        j->result_ms = j->kind->deadline_ms;
        s->now.backlog_ms -= j->kind->prefill_ms;
        bbm_forecast_add_start(&s->forecast, priority, j->forecast_ms,
                               j->result_ms, now);
        close_job(s, j, JOB_LEFT);
        return;
    case JOB_READS:
        if (now < j->head_at)
            return;
        j->stage = JOB_ANSWERS;
        j->result_ms = ms_between(j->sent_at, j->head_at);
        s->now.backlog_ms -= j->kind->prefill_ms;
        bbm_forecast_add_start(&s->forecast, priority, j->forecast_ms,
                               j->result_ms, now);
        return;
    case JOB_ANSWERS:
        if (now < j->end_at)
            return;
        bbm_forecast_add_end(&s->forecast, priority,
                             ms_between(j->slot_at, j->end_at), now);
        close_job(s, j, JOB_ENDED);
        s->busy--;
        return;
    case JOB_LEFT:
    case JOB_ENDED:
        return;
    }
}

static void
update_overdue(simulation *s, bbm_time now)
{
    bbm_forecast_sums sums[BBM_FORECAST_PRIORITIES] = {{0}};
    for (size_t i = 0; i < s->jobs_len; i++) {
        const job *j = &s->jobs[i];
        double elapsed_ms = ms_between(j->sent_at, now);
        if ((j->stage != JOB_WAITS && j->stage != JOB_READS)
            || elapsed_ms <= j->forecast_ms)
            continue;
        sums[j->kind->priority].forecast_ms += j->forecast_ms;
        sums[j->kind->priority].result_ms += elapsed_ms;
    }
    for (int i = 0; i < BBM_FORECAST_PRIORITIES; i++)
        bbm_forecast_set_overdue(&s->forecast, i, &sums[i]);
}

static void
run_runner(simulation *s, bbm_time now)
{
    for (size_t i = 0; i < s->jobs_len; i++)
        advance_job(s, &s->jobs[i], now);
    job *j;
    while (s->busy < SLOTS && (j = next_job(s)) != NULL) {
        s->busy++;
        j->stage = JOB_READS;
        j->slot_at = now;
        bbm_time free_at = s->prefill_at > now ? s->prefill_at : now;
        j->head_at = free_at + time_of_ms(j->kind->prefill_ms);
        s->prefill_at = j->head_at;
        double slowdown = 1 + BATCH_SLOWDOWN * (double)s->busy / SLOTS;
        j->end_at = j->head_at + time_of_ms(j->kind->answer_ms * slowdown);
    }
    update_overdue(s, now);
}

static double
forecast_before(const view *v, const struct kind *kind)
{
    double open = 0;
    for (int i = 0; i < BBM_FORECAST_PRIORITIES; i++)
        open += v->open[i];
    double ms = v->backlog_ms + open * STEP_MS + kind->prefill_ms;
    return open >= SLOTS ? ms + 300 * (1 + open - SLOTS) / SLOTS : ms;
}

static double
forecast_measured(const simulation *s, const view *v, const struct kind *kind,
                  bbm_time now)
{
    bbm_forecast_load load = {
        .backlog_ms = v->backlog_ms,
        .slots = SLOTS,
        .priority = kind->priority,
    };
    for (int i = 0; i < BBM_FORECAST_PRIORITIES; i++) {
        load.step_ms += v->open[i] * STEP_MS;
        load.open_ahead += i <= kind->priority ? v->open[i] : 0;
        load.open_urgent += i < kind->priority ? v->open[i] : 0;
    }
    return bbm_forecast_wait_ms(&s->forecast, &load, now) + kind->prefill_ms;
}

static void
handle_request(simulation *s, const struct kind *kind, bbm_time now, totals *t)
{
    ck_assert_uint_lt(s->jobs_len, REQUESTS_MAX);
    const view *v =
        &s->seen[(s->steps + LOAD_STEPS - LOAD_AGE_STEPS) % LOAD_STEPS];
    double measured_ms = forecast_measured(s, v, kind, now);
    double expected_ms =
        s->policy == POLICY_BEFORE
            ? forecast_before(v, kind)
            : measured_ms
                  * bbm_forecast_factor(&s->forecast, kind->priority, now);
    t->requests++;
    if (expected_ms > kind->deadline_ms) {
        t->refused++;
        return;
    }
    s->jobs[s->jobs_len++] = (job){.kind = kind,
                                   .sent_at = now,
                                   .forecast_ms = measured_ms,
                                   .expected_ms = expected_ms};
    s->now.open[kind->priority]++;
    s->now.backlog_ms += kind->prefill_ms;
}

static void
add_results(const simulation *s, totals *t)
{
    for (size_t i = 0; i < s->jobs_len; i++) {
        const job *j = &s->jobs[i];
        if (j->stage == JOB_WAITS || j->stage == JOB_READS)
            continue;
        bool late = j->result_ms > j->kind->target_ms;
        t->in_time += !late;
        t->late += late && j->stage != JOB_LEFT;
        t->left += j->stage == JOB_LEFT;
        t->error_ms += fabs(j->expected_ms - j->result_ms);
        t->missed += late && j->expected_ms <= j->kind->target_ms;
    }
}

/* The burst comes at this multiple of the usual rate. */
static totals
run(policy p, double ratio)
{
    totals t = {0};
    for (uint64_t seed = 1; seed <= 20; seed++) {
        simulation *s = calloc(1, sizeof(*s));
        ck_assert_ptr_nonnull(s);
        s->rng = bbm_rng_of(seed);
        s->policy = p;
        for (bbm_time now = BBM_SECOND; now < RUN_UNTIL; now += STEP) {
            run_runner(s, now);
            bool burst = now >= BURST_FROM && now < BURST_UNTIL;
            for (size_t i = 0; i < BBM_COUNT(kinds); i++) {
                double chance = kinds[i].per_s * (burst ? ratio : 1)
                                * (double)STEP / (double)BBM_SECOND;
                if (bbm_rng_unit(&s->rng) < chance)
                    handle_request(s, &kinds[i], now, &t);
            }
            s->steps++;
            s->seen[s->steps % LOAD_STEPS] = s->now;
        }
        add_results(s, &t);
        free(s);
    }
    return t;
}

static double
mean_error(const totals *t)
{
    return t->error_ms / (double)(t->requests - t->refused);
}

static void
print_totals(const char *name, double ratio, const totals *t)
{
    printf("%.1f times the usual load, %s: of %zu requests %zu in time, %zu "
           "late, %zu refused, %zu left; mean error %.0f ms, %zu late though "
           "expected in time\n",
           ratio, name, t->requests, t->in_time, t->late, t->refused, t->left,
           mean_error(t), t->missed);
}

START_TEST(neutral_without_evidence)
{
    bbm_forecast f = {0};
    bbm_forecast_load load = {.backlog_ms = 40,
                              .step_ms = 6,
                              .open_ahead = 20,
                              .slots = 12,
                              .priority = 2};
    ck_assert_double_eq(bbm_forecast_factor(&f, 2, BBM_SECOND), 1);
    ck_assert_double_eq(bbm_forecast_wait_ms(&f, &load, BBM_SECOND),
                        46 + 300.0 * 9 / 12);
    load.open_ahead = 11;
    ck_assert_double_eq(bbm_forecast_wait_ms(&f, &load, BBM_SECOND), 46);
}
END_TEST

/* A single odd pair, a series of them, and time without pairs. */
START_TEST(factor_is_bounded_and_decays)
{
    bbm_forecast f = {0};
    bbm_forecast_add_start(&f, 1, 100, 200, BBM_SECOND);
    ck_assert_double_lt(bbm_forecast_factor(&f, 1, BBM_SECOND), 1.1);
    ck_assert_double_eq(bbm_forecast_factor(&f, 0, BBM_SECOND), 1);
    for (int i = 0; i < 1000; i++) {
        bbm_forecast_add_start(&f, 1, 10, 5000, BBM_SECOND);
        bbm_forecast_add_start(&f, 2, 5000, 10, BBM_SECOND);
    }
    ck_assert_double_eq(bbm_forecast_factor(&f, 1, BBM_SECOND),
                        BBM_FORECAST_FACTOR_MAX);
    ck_assert_double_eq(bbm_forecast_factor(&f, 2, BBM_SECOND),
                        BBM_FORECAST_FACTOR_MIN);
    ck_assert_double_lt(fabs(bbm_forecast_factor(&f, 1, 61 * BBM_SECOND) - 1),
                        0.01);
    ck_assert_double_lt(fabs(bbm_forecast_factor(&f, 2, 61 * BBM_SECOND) - 1),
                        0.01);
}
END_TEST

/* The longest waits end last: until then no pair would show them. */
START_TEST(overdue_requests_count_before_they_end)
{
    bbm_forecast f = {0};
    bbm_forecast_set_overdue(
        &f, 2, &(bbm_forecast_sums){.forecast_ms = 3000, .result_ms = 9000});
    ck_assert_double_eq(bbm_forecast_factor(&f, 2, BBM_SECOND), 2.5);
    bbm_forecast_set_overdue(&f, 2, &(bbm_forecast_sums){0});
    ck_assert_double_eq(bbm_forecast_factor(&f, 2, BBM_SECOND), 1);
}
END_TEST

/* More urgent requests keep their slots; the rest shares what is left. */
START_TEST(slots_of_more_urgent_requests_are_not_free)
{
    bbm_forecast f = {0};
    for (int i = 0; i < 1000; i++)
        bbm_forecast_add_end(&f, 2, 400, BBM_SECOND);
    bbm_forecast_load load = {.open_ahead = 17, .slots = 12, .priority = 2};
    double alone = bbm_forecast_wait_ms(&f, &load, BBM_SECOND);
    ck_assert_double_lt(fabs(alone - 200), 1);
    load.open_urgent = 9;
    ck_assert_double_lt(
        fabs(bbm_forecast_wait_ms(&f, &load, BBM_SECOND) - 4 * alone), 1);
    load.open_urgent = 30;
    ck_assert_double_lt(
        fabs(bbm_forecast_wait_ms(&f, &load, BBM_SECOND) - 4 * alone), 1);
}
END_TEST

/* Compares with the forecast before this module. */
START_TEST(burst_is_forecast_better_than_before)
{
    static const double ratios[] = {3, 5};
    for (size_t i = 0; i < BBM_COUNT(ratios); i++) {
        totals before = run(POLICY_BEFORE, ratios[i]);
        totals now = run(POLICY_MEASURED, ratios[i]);
        print_totals("before", ratios[i], &before);
        print_totals("measured", ratios[i], &now);
        ck_assert_double_le(mean_error(&now) / mean_error(&before), 0.75);
        ck_assert_double_le((double)now.missed / (double)before.missed, 0.5);
        ck_assert_double_le((double)now.left / (double)before.left, 0.8);
        ck_assert_double_ge((double)now.in_time / (double)before.in_time, 1);
    }
}
END_TEST

/* A runner that is seldom full refuses nothing, and serves as before. */
START_TEST(light_load_is_served_as_before)
{
    static const double ratios[] = {1, 1.5};
    for (size_t i = 0; i < BBM_COUNT(ratios); i++) {
        totals before = run(POLICY_BEFORE, ratios[i]);
        totals now = run(POLICY_MEASURED, ratios[i]);
        print_totals("before", ratios[i], &before);
        print_totals("measured", ratios[i], &now);
        ck_assert_uint_eq(now.refused, 0);
        ck_assert_uint_ge(now.in_time, before.in_time);
        ck_assert_double_le(mean_error(&now) / mean_error(&before), 1.1);
    }
}
END_TEST

TEST_MAIN("forecast", neutral_without_evidence, factor_is_bounded_and_decays,
          overdue_requests_count_before_they_end,
          slots_of_more_urgent_requests_are_not_free,
          burst_is_forecast_better_than_before,
          light_load_is_served_as_before);
