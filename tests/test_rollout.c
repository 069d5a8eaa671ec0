/* Rollout of weights to simulated runners that answer late or not at all, or
   carry out orders late. */
#include "bbm_rollout.h"
#include "test_main.h"

#include <stdio.h>
#include <string.h>

#define RUNNERS 18
#define STEP_TIME (10 * BBM_MS)
#define LOAD_TIME (570 * BBM_MS)

typedef struct sim_runner {
    uint64_t version;
    uint64_t sequence;
    bool busy;
    uint64_t new_version;
    bbm_time load_ends_at;
    bbm_time delayed_until; /* arrival of a delayed order; 0: none */
    uint64_t delayed_version;
    uint64_t delayed_sequence;
} sim_runner;

typedef struct simulation {
    bbm_rollout *ro;
    bbm_listing listing;
    sim_runner runners[RUNNERS];
    bbm_time now;
    bbm_rng rng;
    double no_answer_share; /* share of the orders that get no answer */
    size_t loading_peak;    /* maximum of runners that load at a time */
    uint64_t loads_total;
} simulation;

static void
runner_id(size_t i, char id[BBM_NAME_SIZE])
{
    snprintf(id, BBM_NAME_SIZE, "i-%02zu", i);
}

static void
setup(simulation *sim)
{
    memset(sim, 0, sizeof(*sim));
    sim->now = BBM_SECOND;
    sim->rng = bbm_rng_of(3);
    sim->ro = bbm_rollout_create(&(bbm_rollout_desc){.fence = 5});
    for (size_t i = 0; i < RUNNERS; i++) {
        bbm_listing_entry entry = {.models_len = 1,
                                   .models = {{.version = 1}}};
        runner_id(i, entry.id);
        bbm_name_set(entry.models[0].name, "m");
        bbm_name_set(entry.address, entry.id);
        bbm_listing_add(&sim->listing, &entry);
        sim->runners[i].version = 1;
    }
}

static void
teardown(simulation *sim)
{
    bbm_rollout_destroy(sim->ro);
    bbm_listing_free(&sim->listing);
}

static bool
accept_order(simulation *sim, sim_runner *r, uint64_t version,
             uint64_t sequence)
{
    if (r->busy || r->sequence != sequence)
        return false;
    r->busy = true;
    r->sequence++;
    r->new_version = version;
    r->load_ends_at = sim->now + LOAD_TIME;
    sim->loads_total++;
    return true;
}

static void
handle_action(simulation *sim, const bbm_rollout_action *action)
{
    size_t i = (size_t)atoi(action->id + 2);
    sim_runner *r = &sim->runners[i];
    if (!action->is_order) {
        bbm_runner_report report = {.sequence = r->sequence,
                                    .order_in_progress = r->busy,
                                    .models_len = 1};
        bbm_name_set(report.models[0].name, "m");
        report.models[0].version = r->version;
        bbm_rollout_apply_report(sim->ro, action->id, &report, sim->now);
        return;
    }
    ck_assert_uint_eq(action->fence, 5);
    if (bbm_rng_unit(&sim->rng) < sim->no_answer_share) {
        r->delayed_until = sim->now + 3 * BBM_SECOND;
        r->delayed_version = action->version;
        r->delayed_sequence = action->sequence;
        bbm_rollout_apply_answer(sim->ro, action->id, BBM_ORDER_NO_ANSWER,
                                 sim->now);
        return;
    }
    bool accepted = accept_order(sim, r, action->version, action->sequence);
    bbm_rollout_apply_answer(
        sim->ro, action->id,
        accepted ? BBM_ORDER_ACCEPTED : BBM_ORDER_CONFLICT, sim->now);
}

static void
step(simulation *sim)
{
    sim->now += STEP_TIME;
    size_t loading = 0;
    for (size_t i = 0; i < RUNNERS; i++) {
        sim_runner *r = &sim->runners[i];
        if (r->delayed_until && sim->now >= r->delayed_until) {
            r->delayed_until = 0;
            accept_order(sim, r, r->delayed_version, r->delayed_sequence);
        }
        if (r->busy && sim->now >= r->load_ends_at) {
            r->busy = false;
            ck_assert_uint_ge(r->new_version, r->version);
            r->version = r->new_version;
        }
        loading += r->busy;
    }
    sim->loading_peak =
        loading > sim->loading_peak ? loading : sim->loading_peak;
    bbm_rollout_set_runners(sim->ro, &sim->listing);
    const bbm_rollout_action *action;
    while ((action = bbm_rollout_next_action(sim->ro, sim->now)) != NULL) {
        bbm_rollout_action copy = *action;
        handle_action(sim, &copy);
    }
}

static void
run_for(simulation *sim, bbm_time span)
{
    bbm_time until = sim->now + span;
    while (sim->now < until)
        step(sim);
}

static size_t
count_at_version(const simulation *sim, uint64_t version)
{
    size_t n = 0;
    for (size_t i = 0; i < RUNNERS; i++)
        n += sim->runners[i].version == version;
    return n;
}

START_TEST(all_runners_get_the_newest_version)
{
    simulation sim;
    setup(&sim);
    bbm_rollout_set_target(sim.ro, "m", 2, sim.now);
    run_for(&sim, 8 * BBM_SECOND);
    ck_assert_uint_eq(count_at_version(&sim, 2), RUNNERS);
    ck_assert_uint_eq(sim.loads_total, RUNNERS);
    /* At least half of the runners serve at any moment. */
    ck_assert_uint_lt(sim.loading_peak, RUNNERS / 2 + 1);
    teardown(&sim);
}
END_TEST

/* Runners that have not begun when a newer version is set skip to that. */
START_TEST(superseded_versions_are_skipped)
{
    simulation sim;
    setup(&sim);
    bbm_rollout_set_target(sim.ro, "m", 2, sim.now);
    run_for(&sim, 600 * BBM_MS);
    bbm_rollout_set_target(sim.ro, "m", 3, sim.now);
    run_for(&sim, 8 * BBM_SECOND);
    ck_assert_uint_eq(count_at_version(&sim, 3), RUNNERS);
    ck_assert_uint_lt(sim.loads_total, (uintmax_t)2 * RUNNERS);
    teardown(&sim);
}
END_TEST

/* Half of the orders get no answer and arrive 3 s later.  A runner that has
   accepted another order in the meantime must reject them by their sequence
   number, so that its version never decreases. */
START_TEST(delayed_orders_never_lower_a_version)
{
    simulation sim;
    setup(&sim);
    sim.no_answer_share = 0.5;
    for (uint64_t version = 2; version < 6; version++) {
        bbm_rollout_set_target(sim.ro, "m", version, sim.now);
        run_for(&sim, 4 * BBM_SECOND);
    }
    sim.no_answer_share = 0;
    run_for(&sim, 8 * BBM_SECOND);
    ck_assert_uint_eq(count_at_version(&sim, 5), RUNNERS);
    teardown(&sim);
}
END_TEST

START_TEST(loading_runners_are_marked)
{
    simulation sim;
    setup(&sim);
    bbm_rollout_set_target(sim.ro, "m", 2, sim.now);
    run_for(&sim, 200 * BBM_MS);
    bbm_listing marked = {0};
    bbm_listing_copy(&marked, &sim.listing);
    bbm_rollout_mark_listing(sim.ro, &marked);
    size_t loading = 0;
    for (size_t i = 0; i < marked.len; i++)
        loading += marked.items[i].loading;
    ck_assert_uint_gt(loading, 0);
    ck_assert_uint_lt(loading, RUNNERS);
    bbm_listing_free(&marked);
    teardown(&sim);
}
END_TEST

START_TEST(stops_when_fenced)
{
    simulation sim;
    setup(&sim);
    bbm_rollout_set_target(sim.ro, "m", 2, sim.now);
    bbm_rollout_set_runners(sim.ro, &sim.listing);
    const bbm_rollout_action *action = NULL;
    for (int i = 0; i < 100 && !(action && action->is_order); i++) {
        sim.now += STEP_TIME;
        while ((action = bbm_rollout_next_action(sim.ro, sim.now)) != NULL
               && !action->is_order) {
            bbm_rollout_action copy = *action;
            handle_action(&sim, &copy);
        }
    }
    ck_assert_ptr_nonnull(action);
    char id[BBM_NAME_SIZE];
    bbm_name_set(id, action->id);
    bbm_rollout_apply_answer(sim.ro, id, BBM_ORDER_FENCED, sim.now);
    ck_assert(bbm_rollout_is_fenced(sim.ro));
    sim.now += 10 * BBM_SECOND;
    ck_assert_ptr_null(bbm_rollout_next_action(sim.ro, sim.now));
    teardown(&sim);
}
END_TEST

/* Versions are set repeatedly before all runners have loaded the last one.
   Three quarters of the runners serve at any moment, and none uses weights for
   longer than allowed after a newer version was set. */
START_TEST(three_quarters_serve_under_frequent_versions)
{
    simulation sim;
    setup(&sim);
    const bbm_time allowed = 8 * BBM_SECOND;
    bbm_time set_at[16] = {0};
    uint64_t version = 1;
    bbm_time next_set_at = sim.now;
    bbm_time stop = sim.now + 40 * BBM_SECOND;
    while (sim.now < stop) {
        if (sim.now >= next_set_at) {
            set_at[++version] = sim.now;
            bbm_rollout_set_target(sim.ro, "m", version, sim.now);
            next_set_at += 4400 * BBM_MS;
        }
        step(&sim);
        bbm_listing marked = {0};
        bbm_listing_copy(&marked, &sim.listing);
        bbm_rollout_mark_listing(sim.ro, &marked);
        size_t unavailable = 0;
        for (size_t i = 0; i < RUNNERS; i++) {
            unavailable += marked.items[i].loading;
            bbm_time newer_set_at = set_at[sim.runners[i].version + 1];
            ck_assert(!newer_set_at || sim.now - newer_set_at <= allowed);
        }
        ck_assert_uint_le(unavailable, (RUNNERS + 3) / 4);
        bbm_listing_free(&marked);
    }
    teardown(&sim);
}
END_TEST

/* An order makes a runner reject what it has queued, after these requests have
   waited there.  So it is sent once the runner has finished its requests, but
   a request that hangs doesn't hold up the weights for long. */
START_TEST(runners_finish_their_requests_before_the_order)
{
    simulation sim;
    setup(&sim);
    bbm_rollout_destroy(sim.ro);
    sim.ro = bbm_rollout_create(
        &(bbm_rollout_desc){.fence = 5, .drain_time_max = BBM_SECOND});
    run_for(&sim, 500 * BBM_MS);
    for (size_t i = 0; i < RUNNERS; i++)
        bbm_rollout_set_load(
            sim.ro, sim.listing.items[i].id,
            &(bbm_rollout_load){.open_requests = i < RUNNERS / 2 ? 3 : 0});
    bbm_rollout_set_target(sim.ro, "m", 2, sim.now);
    bbm_time set_at = sim.now;
    while (sim.now < set_at + 6 * BBM_SECOND) {
        step(&sim);
        for (size_t i = 0; i < RUNNERS / 2; i++) {
            if (sim.now < set_at + 900 * BBM_MS)
                ck_assert_uint_eq(sim.runners[i].sequence, 0);
        }
    }
    for (size_t i = 0; i < RUNNERS; i++)
        ck_assert_uint_eq(sim.runners[i].version, 2);
    teardown(&sim);
}
END_TEST

/* The next action for the one runner, of the given kind; time passes until it
   is due. */
static const bbm_rollout_action *
expect_action(simulation *sim, bool is_order)
{
    const bbm_rollout_action *act = NULL;
    for (int i = 0; i < 500 && !act; i++) {
        sim->now += STEP_TIME;
        bbm_rollout_set_runners(sim->ro, &sim->listing);
        act = bbm_rollout_next_action(sim->ro, sim->now);
    }
    ck_assert_ptr_nonnull(act);
    ck_assert_int_eq(act->is_order, is_order);
    return act;
}

/* A report that was sent before the order, and comes once more after it, names
   a sequence number that the order has ended.  Believed, it brings a second
   order. */
START_TEST(report_from_before_the_order_is_not_believed)
{
    simulation sim;
    setup(&sim);
    sim.listing.len = 1;
    sim.listing.items[0].started_at_ms = 9;
    bbm_rollout_set_target(sim.ro, "m", 2, sim.now);
    bbm_runner_report report = {
        .started_at_ms = 9, .sequence = 4, .models_len = 1};
    bbm_name_set(report.models[0].name, "m");
    report.models[0].version = 1;
    for (int i = 0; i < 2; i++) {
        expect_action(&sim, false);
        bbm_rollout_apply_report(sim.ro, "i-00", &report, sim.now);
    }
    ck_assert_uint_eq(expect_action(&sim, true)->sequence, 4);
    bbm_rollout_apply_answer(sim.ro, "i-00", BBM_ORDER_ACCEPTED, sim.now);
    expect_action(&sim, false);
    bbm_rollout_apply_report(sim.ro, "i-00", &report, sim.now);
    expect_action(&sim, false);
    report.sequence = 5;
    report.models[0].version = 2;
    bbm_rollout_apply_report(sim.ro, "i-00", &report, sim.now);
    ck_assert_ptr_null(bbm_rollout_next_action(sim.ro, sim.now));
    /* After a restart the runner counts from the beginning. */
    sim.listing.items[0].started_at_ms = 10;
    report.started_at_ms = 10;
    report.sequence = 0;
    bbm_rollout_set_target(sim.ro, "m", 3, sim.now);
    for (int i = 0; i < 2; i++) {
        expect_action(&sim, false);
        bbm_rollout_apply_report(sim.ro, "i-00", &report, sim.now);
    }
    ck_assert_uint_eq(expect_action(&sim, true)->sequence, 0);
    teardown(&sim);
}
END_TEST

static bbm_runner_report
make_report(uint64_t started_at_ms, uint64_t sequence, uint64_t version)
{
    bbm_runner_report report = {
        .started_at_ms = started_at_ms, .sequence = sequence, .models_len = 1};
    bbm_name_set(report.models[0].name, "m");
    report.models[0].version = version;
    return report;
}

/* Answers the reports before an order; expects the order. */
static void
expect_order(simulation *sim, const bbm_runner_report *report, int reports,
             uint64_t version)
{
    for (int i = 0; i < reports; i++) {
        expect_action(sim, false);
        bbm_rollout_apply_report(sim->ro, "i-00", report, sim->now);
    }
    const bbm_rollout_action *act = expect_action(sim, true);
    ck_assert_uint_eq(act->version, version);
    ck_assert_uint_eq(act->sequence, report->sequence);
}

/* True if no action is due for a time. */
static bool
is_idle(simulation *sim, bbm_time span)
{
    bbm_time until = sim->now + span;
    while (sim->now < until) {
        sim->now += STEP_TIME;
        bbm_rollout_set_runners(sim->ro, &sim->listing);
        if (bbm_rollout_next_action(sim->ro, sim->now))
            return false;
    }
    return true;
}

/* One runner that has version 3, the newest, and has restarted. */
static void
setup_restarted_runner(simulation *sim)
{
    setup(sim);
    sim->listing.len = 1;
    bbm_listing_entry *item = &sim->listing.items[0];
    item->started_at_ms = 9;
    item->models[0].version = 2;
    bbm_rollout_set_target(sim->ro, "m", 3, sim->now);
    bbm_runner_report report = make_report(9, 1, 2);
    expect_order(sim, &report, 2, 3);
    bbm_rollout_apply_answer(sim->ro, "i-00", BBM_ORDER_ACCEPTED, sim->now);
    report = make_report(9, 2, 3);
    expect_action(sim, false);
    bbm_rollout_apply_report(sim->ro, "i-00", &report, sim->now);
    ck_assert(is_idle(sim, BBM_SECOND));
    item->started_at_ms = 10;
    item->models[0].version = 3;
    ck_assert(is_idle(sim, BBM_SECOND));
}

/* An unanswered order of before a restart, for version 2, is carried out after
   it: the runner then serves old weights while the leader counts it as done.
 */
START_TEST(late_order_after_a_restart_is_followed_by_a_newer_one)
{
    simulation sim;
    setup_restarted_runner(&sim);
    sim.listing.items[0].models[0].version = 2;
    bbm_runner_report report = make_report(10, 1, 3);
    report.order_in_progress = true;
    expect_action(&sim, false);
    bbm_rollout_apply_report(sim.ro, "i-00", &report, sim.now);
    report = make_report(10, 1, 2);
    expect_order(&sim, &report, 1, 3);
    teardown(&sim);
}
END_TEST

/* The list may still have the version of before that order; believed, it ends
   the update. */
START_TEST(listing_of_before_a_late_order_is_not_believed)
{
    simulation sim;
    setup_restarted_runner(&sim);
    sim.listing.items[0].models[0].version = 2;
    bbm_runner_report report = make_report(10, 1, 2);
    expect_action(&sim, false);
    bbm_rollout_apply_report(sim.ro, "i-00", &report, sim.now);
    sim.listing.items[0].models[0].version = 3;
    expect_order(&sim, &report, 1, 3);
    bbm_rollout_apply_answer(sim.ro, "i-00", BBM_ORDER_ACCEPTED, sim.now);
    report = make_report(10, 2, 3);
    expect_action(&sim, false);
    bbm_rollout_apply_report(sim.ro, "i-00", &report, sim.now);
    ck_assert(is_idle(&sim, 5 * BBM_SECOND));
    teardown(&sim);
}
END_TEST

/* Neither a list that lags behind nor a report whose sequence number shows no
   other order makes the runner load its weights again. */
START_TEST(old_listing_and_old_report_bring_no_order)
{
    simulation sim;
    setup_restarted_runner(&sim);
    bbm_rollout_set_target(sim.ro, "m", 4, sim.now);
    bbm_runner_report report = make_report(10, 0, 3);
    expect_order(&sim, &report, 1, 4);
    bbm_rollout_apply_answer(sim.ro, "i-00", BBM_ORDER_ACCEPTED, sim.now);
    report = make_report(10, 1, 4);
    expect_action(&sim, false);
    bbm_rollout_apply_report(sim.ro, "i-00", &report, sim.now);
    ck_assert(is_idle(&sim, 2 * BBM_SECOND));
    for (int i = 0; i < 3; i++) {
        report = make_report(10, (uint64_t)i % 2, 3);
        expect_action(&sim, false);
        bbm_rollout_apply_report(sim.ro, "i-00", &report, sim.now);
    }
    ck_assert(is_idle(&sim, 2 * BBM_SECOND));
    teardown(&sim);
}
END_TEST

TEST_MAIN("rollout", late_order_after_a_restart_is_followed_by_a_newer_one,
          listing_of_before_a_late_order_is_not_believed,
          old_listing_and_old_report_bring_no_order,
          report_from_before_the_order_is_not_believed,
          runners_finish_their_requests_before_the_order,
          all_runners_get_the_newest_version, superseded_versions_are_skipped,
          delayed_orders_never_lower_a_version, loading_runners_are_marked,
          stops_when_fenced, three_quarters_serve_under_frequent_versions);
