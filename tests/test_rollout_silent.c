/* Pace of a rollout beside runners that don't answer, answer late, or come
   back. */
#include "bbm_rollout.h"
#include "test_main.h"

#include <stdio.h>
#include <stdlib.h>

#define RUNNERS_MAX 300
#define STEP_TIME (10 * BBM_MS)
#define LOAD_TIME (570 * BBM_MS)
/* Time that a slow runner takes for a report. */
#define SLOW_REPORT_TIME (300 * BBM_MS)
/* Time after which a runner that gets no new requests has no open ones. */
#define DRAIN_TIME (400 * BBM_MS)
/* Time that a rollout may take longer to find out which runners are silent. */
#define FIND_SILENT_TIME (1500 * BBM_MS)
/* Time after the naming of a version from which no request may begin on an
   older one. */
#define OLD_WEIGHTS_MAX (8 * BBM_SECOND)
/* Time after the naming of a version from which a runner gets no requests on
   an older one: they may wait there for 2 s, and ending them takes 0.4 s. */
#define OLD_WEIGHTS_UNUSED_TIME (5600 * BBM_MS)
/* A request may wait at a runner for 2 s before it begins. */
#define UPDATE_TIME_MAX (OLD_WEIGHTS_MAX - 2 * BBM_SECOND)
/* Time after the naming of a version by which all runners have it that can be
   reached now and then. */
#define UPDATE_ALL_TIME_MAX (11 * BBM_SECOND)

typedef enum sim_health {
    SIM_SOUND,
    SIM_DARK,     /* answers nothing */
    SIM_FLAPPING, /* answers in each second half of a second */
    SIM_SLOW,     /* answers reports after the time-out of the first one */
    SIM_KEEPS,    /* accepts orders, and keeps its weights */
    SIM_GAPS,     /* answers not in the first tenth of a second */
} sim_health;

typedef struct sim_runner {
    sim_health health;
    uint64_t version;
    uint64_t sequence;
    uint64_t new_version; /* that it loads; 0: none */
    bbm_time load_ends_at;
    bool is_suspected; /* by VMs */
    bool model_is_other;
    bool is_marked; /* gets no new requests */
    bbm_time marked_at;
    bbm_rollout_action call; /* that it hasn't answered */
    bbm_time answer_at;      /* 0: none */
    bbm_time lost_at;        /* end of the caller's wait for that answer */
} sim_runner;

typedef struct simulation {
    bbm_rollout *ro;
    bbm_listing listing;
    sim_runner runners[RUNNERS_MAX];
    size_t len;
    bool has_traffic;  /* it shows which runners answer */
    bbm_time run_time; /* after which runs end at a runner without new ones */
    bbm_time now;
    size_t calls; /* reports and orders sent */
    bbm_time load_time;
    uint64_t restarted_at_ms; /* as reported; 0: as listed */
    size_t taken_peak;        /* maximum of sound runners without requests */
} simulation;

static simulation *
create_simulation(size_t len, double share, sim_health health)
{
    simulation *sim = calloc(1, sizeof(*sim));
    ck_assert_ptr_nonnull(sim);
    sim->now = BBM_SECOND;
    sim->len = len;
    sim->has_traffic = true;
    sim->load_time = LOAD_TIME;
    sim->ro = bbm_rollout_create(
        &(bbm_rollout_desc){.fence = 5,
                            .drain_time_min = 150 * BBM_MS,
                            .drain_time_max = BBM_SECOND,
                            .update_time_max = OLD_WEIGHTS_MAX});
    for (size_t i = 0; i < len; i++) {
        bbm_listing_entry entry = {
            .models_len = 1, .models = {{.version = 1}}, .started_at_ms = 7};
        snprintf(entry.id, sizeof(entry.id), "i-%03zu", i);
        bbm_name_set(entry.models[0].name, "m");
        bbm_name_set(entry.address, entry.id);
        bbm_listing_add(&sim->listing, &entry);
        sim->runners[i].version = 1;
        /* Spread over the fleet. */
        bool affected = (double)(i * 7 % len) < share * (double)len;
        sim->runners[i].health = affected ? health : SIM_SOUND;
    }
    return sim;
}

static void
destroy_simulation(simulation *sim)
{
    bbm_rollout_destroy(sim->ro);
    bbm_listing_free(&sim->listing);
    free(sim);
}

static bbm_time
answer_time(const simulation *sim, const sim_runner *r)
{
    switch (r->health) {
    case SIM_SOUND:
        return sim->now + 10 * BBM_MS;
    case SIM_DARK:
        return BBM_NEVER;
    case SIM_FLAPPING:
        return sim->now % BBM_SECOND < BBM_SECOND / 2 ? BBM_NEVER
                                                      : sim->now + 10 * BBM_MS;
    case SIM_GAPS:
        return sim->now % BBM_SECOND < BBM_SECOND / 10
                   ? BBM_NEVER
                   : sim->now + 10 * BBM_MS;
    case SIM_SLOW:
        return sim->now + SLOW_REPORT_TIME;
    case SIM_KEEPS:
        return sim->now + 10 * BBM_MS;
    }
    return BBM_NEVER;
}

static void
send_call(simulation *sim, const bbm_rollout_action *act)
{
    sim_runner *r = &sim->runners[atoi(act->id + 2)];
    ck_assert_int_eq(r->answer_at, 0);
    r->call = *act;
    r->answer_at = answer_time(sim, r);
    r->lost_at = sim->now + act->timeout;
    if (r->health == SIM_SLOW && act->is_order)
        r->answer_at = sim->now + 50 * BBM_MS;
    sim->calls++;
}

static void
answer_report(simulation *sim, sim_runner *r)
{
    bbm_runner_report report = {.started_at_ms = 7,
                                .sequence = r->sequence,
                                .order_in_progress = r->new_version > 0,
                                .models_len = 1};
    if (sim->restarted_at_ms)
        report.started_at_ms = sim->restarted_at_ms;
    bbm_name_set(report.models[0].name, r->model_is_other ? "n" : "m");
    report.models[0].version = r->version;
    bbm_rollout_apply_report(sim->ro, r->call.id, &report, sim->now);
}

static void
answer_order(simulation *sim, sim_runner *r)
{
    bool accepted = !r->new_version && r->sequence == r->call.sequence;
    if (accepted) {
        r->sequence++;
        r->new_version = r->health == SIM_KEEPS ? r->version : r->call.version;
        bbm_time runs_end_at = r->marked_at + sim->run_time;
        r->load_ends_at =
            (runs_end_at > sim->now ? runs_end_at : sim->now) + sim->load_time;
    }
    bbm_rollout_apply_answer(
        sim->ro, r->call.id,
        accepted ? BBM_ORDER_ACCEPTED : BBM_ORDER_CONFLICT, sim->now);
}

static void
answer_call(simulation *sim, sim_runner *r)
{
    bool lost = sim->now >= r->lost_at;
    if (!r->answer_at || (!lost && sim->now < r->answer_at))
        return;
    r->answer_at = 0;
    if (lost && r->call.is_order)
        bbm_rollout_apply_answer(sim->ro, r->call.id, BBM_ORDER_NO_ANSWER,
                                 sim->now);
    else if (lost)
        bbm_rollout_apply_report(sim->ro, r->call.id, NULL, sim->now);
    else if (r->call.is_order)
        answer_order(sim, r);
    else
        answer_report(sim, r);
}

/* Tells the rollout of open requests, and counts the sound runners that get
   none. */
static void
update_loads(simulation *sim)
{
    bbm_listing marked = {0};
    bbm_listing_copy(&marked, &sim->listing);
    bbm_rollout_mark_listing(sim->ro, &marked);
    size_t taken = 0;
    for (size_t i = 0; i < sim->len; i++) {
        sim_runner *r = &sim->runners[i];
        if (marked.items[i].loading && !r->is_marked)
            r->marked_at = sim->now;
        r->is_marked = marked.items[i].loading;
        taken += r->is_marked && r->health == SIM_SOUND;
        bool drained =
            r->is_marked && sim->now - r->marked_at >= sim->run_time;
        /* Requests at a dark runner hang. */
        bool busy = r->health == SIM_DARK || !drained;
        bbm_rollout_set_load(
            sim->ro, marked.items[i].id,
            &(bbm_rollout_load){
                .open_requests = busy ? 3 : 0,
                .backlog_ms = 200,
                .is_suspected = r->is_suspected,
                .answers_lately = sim->has_traffic && r->health != SIM_DARK,
            });
    }
    if (taken > sim->taken_peak)
        sim->taken_peak = taken;
    bbm_listing_free(&marked);
}

static void
step(simulation *sim)
{
    sim->now += STEP_TIME;
    for (size_t i = 0; i < sim->len; i++) {
        sim_runner *r = &sim->runners[i];
        if (r->new_version && sim->now >= r->load_ends_at) {
            r->version = r->new_version;
            r->new_version = 0;
        }
        answer_call(sim, r);
    }
    bbm_rollout_set_runners(sim->ro, &sim->listing);
    update_loads(sim);
    const bbm_rollout_action *act;
    while ((act = bbm_rollout_next_action(sim->ro, sim->now)) != NULL)
        send_call(sim, act);
}

/* True if all runners that are sound or, with others, not dark have it. */
static bool
all_have(const simulation *sim, uint64_t version, bool others)
{
    for (size_t i = 0; i < sim->len; i++) {
        const sim_runner *r = &sim->runners[i];
        bool counts = others ? r->health != SIM_DARK : r->health == SIM_SOUND;
        if (counts && r->version < version)
            return false;
    }
    return true;
}

static void
run_for(simulation *sim, bbm_time span)
{
    for (bbm_time until = sim->now + span; sim->now < until;)
        step(sim);
}

/* Names a version; returns the time until all runners that are sound or, with
   others, not dark have it; at most 60 s. */
static bbm_time
roll_out(simulation *sim, uint64_t version, bool others)
{
    run_for(sim, 100 * BBM_MS);
    bbm_time begin = sim->now;
    bbm_rollout_set_target(sim->ro, "m", version, sim->now);
    while (!all_have(sim, version, others)
           && sim->now - begin < 60 * BBM_SECOND)
        step(sim);
    return sim->now - begin;
}

static const size_t sizes[] = {10, 60, 117, 300};

/* Guards against a rollout whose places are held by runners that answer
   nothing: the others kept their old weights until they were too old. */
START_TEST(dark_runners_hold_no_places)
{
    for (size_t i = 0; i < BBM_COUNT(sizes); i++) {
        simulation *sound = create_simulation(sizes[i], 0, SIM_SOUND);
        bbm_time limit = roll_out(sound, 2, false) + FIND_SILENT_TIME;
        destroy_simulation(sound);
        for (int percent = 10; percent <= 60; percent += 10) {
            simulation *sim =
                create_simulation(sizes[i], percent / 100.0, SIM_DARK);
            for (uint64_t version = 2; version <= 3; version++) {
                bbm_time time = roll_out(sim, version, false);
                ck_assert_msg(time <= limit,
                              "%zu runners, %d%% dark, version %d: %.2f s, "
                              "%.2f s allowed",
                              sizes[i], percent, (int)version,
                              (double)time / BBM_SECOND,
                              (double)limit / BBM_SECOND);
            }
            destroy_simulation(sim);
        }
    }
}
END_TEST

/* Guards against the same where no traffic shows which runners answer. */
START_TEST(dark_runners_hold_no_places_without_traffic)
{
    for (size_t i = 0; i < BBM_COUNT(sizes); i++) {
        simulation *sim = create_simulation(sizes[i], 0.6, SIM_DARK);
        sim->has_traffic = false;
        bbm_time time = roll_out(sim, 2, false);
        ck_assert_msg(time < UPDATE_TIME_MAX, "%zu runners: %.2f s", sizes[i],
                      (double)time / BBM_SECOND);
        destroy_simulation(sim);
    }
}
END_TEST

/* Guards against silent runners that are given up for good. */
START_TEST(returning_runners_are_updated)
{
    for (size_t i = 0; i < BBM_COUNT(sizes); i++) {
        simulation *sim = create_simulation(sizes[i], 0.6, SIM_DARK);
        roll_out(sim, 2, false);
        run_for(sim, 5 * BBM_SECOND);
        for (size_t k = 0; k < sim->len; k++)
            sim->runners[k].health = SIM_SOUND;
        bbm_time time = roll_out(sim, 2, false);
        ck_assert_msg(time < UPDATE_TIME_MAX, "%zu runners: %.2f s", sizes[i],
                      (double)time / BBM_SECOND);
        destroy_simulation(sim);
    }
}
END_TEST

/* Guards against runners that never answer within the first time-out, or only
   now and then, and so keep their old weights. */
START_TEST(slow_and_flapping_runners_are_updated)
{
    for (size_t i = 0; i < BBM_COUNT(sizes); i++) {
        for (sim_health h = SIM_FLAPPING; h <= SIM_SLOW; h++) {
            simulation *sim = create_simulation(sizes[i], 0.4, h);
            bbm_time time = roll_out(sim, 2, false);
            ck_assert_msg(time < UPDATE_TIME_MAX, "%zu runners: %.2f s",
                          sizes[i], (double)time / BBM_SECOND);
            time = roll_out(sim, 3, true);
            ck_assert_msg(time < UPDATE_ALL_TIME_MAX, "%zu runners: %.2f s",
                          sizes[i], (double)time / BBM_SECOND);
            destroy_simulation(sim);
        }
    }
}
END_TEST

/* Guards against a rollout that takes more than its share of the runners from
   the clients, as silent ones need no place. */
START_TEST(three_quarters_serve_beside_silent_runners)
{
    for (size_t i = 0; i < BBM_COUNT(sizes); i++) {
        for (sim_health h = SIM_SOUND; h <= SIM_SLOW; h++) {
            simulation *sim = create_simulation(sizes[i], 0.4, h);
            roll_out(sim, 2, false);
            roll_out(sim, 3, false);
            size_t places = (sizes[i] + 3) / 4;
            ck_assert_uint_le(sim->taken_peak, places);
            ck_assert_uint_le(sim->calls, 100 * sizes[i]);
            destroy_simulation(sim);
        }
    }
}
END_TEST

/* Guards against a rollout that is too slow where runs last long: runners that
   had to wait until they got no requests any more were then all taken at once,
   and only a quarter of the runners served. */
START_TEST(long_runs_leave_a_third_of_the_runners)
{
    for (size_t i = 0; i < BBM_COUNT(sizes); i++) {
        simulation *sim = create_simulation(sizes[i], 0.35, SIM_DARK);
        sim->run_time = 2 * BBM_SECOND;
        size_t sound = 0;
        run_for(sim, 100 * BBM_MS);
        for (size_t k = 0; k < sim->len; k++) {
            sound += sim->runners[k].health == SIM_SOUND;
            sim->runners[k].is_suspected = sim->runners[k].health == SIM_DARK;
        }
        for (uint64_t version = 2; version <= 3; version++) {
            roll_out(sim, version, false);
            ck_assert_msg(sim->taken_peak <= (2 * sound + 2) / 3,
                          "version %d: %zu of %zu sound runners taken",
                          (int)version, sim->taken_peak, sound);
            run_for(sim, BBM_SECOND);
        }
        destroy_simulation(sim);
    }
}
END_TEST

/* Guards against a new leader that begins a rollout anew as if the version had
   just been named: it went slowly, and runners without requests waited. */
START_TEST(new_leader_goes_on_where_the_time_is)
{
    simulation *sim = create_simulation(117, 0, SIM_SOUND);
    bbm_time named_at = sim->now - 5 * BBM_SECOND;
    bbm_rollout_set_target(sim->ro, "m", 2, named_at);
    bbm_time time = roll_out(sim, 2, false);
    ck_assert_msg(time < OLD_WEIGHTS_MAX - 5 * BBM_SECOND, "%.2f s",
                  (double)time / BBM_SECOND);
    destroy_simulation(sim);
}
END_TEST

/* Guards against a pace that leaves runners without requests, as their weights
   are too old, where updates take long: running requests end first. */
START_TEST(long_updates_end_before_weights_are_too_old)
{
    for (size_t i = 0; i < BBM_COUNT(sizes); i++) {
        simulation *sim = create_simulation(sizes[i], 0.35, SIM_DARK);
        sim->load_time = 2500 * BBM_MS;
        for (uint64_t version = 2; version <= 3; version++) {
            bbm_time time = roll_out(sim, version, false);
            ck_assert_msg(time < OLD_WEIGHTS_MAX, "%zu runners: %.2f s",
                          sizes[i], (double)time / BBM_SECOND);
        }
        destroy_simulation(sim);
    }
}
END_TEST

/* Guards against suspected runners that are given places although VMs can't
   reach them. */
START_TEST(suspected_runners_are_asked_before_their_turn)
{
    simulation *sim = create_simulation(117, 0.6, SIM_DARK);
    run_for(sim, 100 * BBM_MS);
    for (size_t i = 0; i < sim->len; i++)
        sim->runners[i].is_suspected = sim->runners[i].health == SIM_DARK;
    run_for(sim, 100 * BBM_MS);
    bbm_rollout_set_target(sim->ro, "m", 2, sim->now);
    run_for(sim, BBM_SECOND);
    for (size_t i = 0; i < sim->len; i++) {
        const sim_runner *r = &sim->runners[i];
        ck_assert(!r->is_marked || r->health == SIM_SOUND);
    }
    destroy_simulation(sim);
}
END_TEST

/* Guards against places that are held by runners that accept orders, but keep
   their weights. */
START_TEST(runners_that_keep_their_weights_hold_no_places)
{
    for (size_t i = 0; i < BBM_COUNT(sizes); i++) {
        simulation *sound = create_simulation(sizes[i], 0, SIM_SOUND);
        bbm_time limit = roll_out(sound, 2, false) + FIND_SILENT_TIME;
        destroy_simulation(sound);
        simulation *sim = create_simulation(sizes[i], 0.35, SIM_KEEPS);
        for (uint64_t version = 2; version <= 3; version++) {
            bbm_time time = roll_out(sim, version, false);
            ck_assert_msg(time <= limit,
                          "%zu runners, version %d: %.2f s, %.2f s allowed",
                          sizes[i], (int)version, (double)time / BBM_SECOND,
                          (double)limit / BBM_SECOND);
        }
        destroy_simulation(sim);
    }
}
END_TEST

/* Guards against places that are given away while a runner loads, as one
   answer was lost, also where the leader misses the answers of all. */
START_TEST(lost_answers_leave_two_thirds_of_the_runners)
{
    static const sim_health kinds[] = {SIM_GAPS, SIM_SLOW};
    for (size_t i = 1; i < BBM_COUNT(sizes); i++) {
        for (size_t k = 0; k < BBM_COUNT(kinds); k++) {
            simulation *sim = create_simulation(sizes[i], 1, kinds[k]);
            bbm_rollout_set_target(sim->ro, "m", 2, sim->now);
            size_t peak = 0;
            while (!all_have(sim, 2, true) && sim->now < 60 * BBM_SECOND) {
                step(sim);
                size_t taken = 0;
                for (size_t n = 0; n < sim->len; n++)
                    taken += sim->runners[n].is_marked;
                peak = taken > peak ? taken : peak;
            }
            ck_assert_msg(peak <= sizes[i] / 3, "%zu of %zu runners taken",
                          peak, sizes[i]);
            destroy_simulation(sim);
        }
    }
}
END_TEST

/* Names a version each period for 30 s; returns the least number of runners,
   after the first 5 s, that get requests and whose weights aren't too old for
   them. */
static size_t
least_serving(simulation *sim, bbm_time period)
{
    bbm_time named_at[128] = {0};
    uint64_t newest = 1;
    size_t least = sim->len;
    run_for(sim, 100 * BBM_MS);
    bbm_time begin = sim->now;
    while (sim->now - begin < 30 * BBM_SECOND) {
        if (sim->now - begin >= (bbm_time)(newest - 1) * period) {
            named_at[++newest] = sim->now;
            bbm_rollout_set_target(sim->ro, "m", newest, sim->now);
        }
        step(sim);
        size_t serving = 0;
        for (size_t i = 0; i < sim->len; i++) {
            const sim_runner *r = &sim->runners[i];
            bool is_used = r->version == newest
                           || sim->now - named_at[r->version + 1]
                                  < OLD_WEIGHTS_UNUSED_TIME;
            serving += !r->is_marked && is_used;
        }
        if (sim->now - begin > 5 * BBM_SECOND && serving < least)
            least = serving;
    }
    return least;
}

/* Guards against a runner that is ordered to load again as soon as it has
   loaded, since a newer version was named meanwhile, and never serves. */
START_TEST(runners_serve_while_versions_follow_faster_than_they_load)
{
    for (size_t i = 0; i < BBM_COUNT(sizes); i++) {
        simulation *sim = create_simulation(sizes[i], 0, SIM_SOUND);
        size_t least = least_serving(sim, 500 * BBM_MS);
        ck_assert_msg(least >= sizes[i] / 3, "%zu of %zu runners serve", least,
                      sizes[i]);
        destroy_simulation(sim);
    }
}
END_TEST

/* Guards against versions that follow each other while runs last long: the
   runners that have waited for too long were taken beside all places. */
START_TEST(long_runs_and_many_versions_leave_a_third_of_the_runners)
{
    for (size_t i = 0; i < BBM_COUNT(sizes); i++) {
        simulation *sim = create_simulation(sizes[i], 0, SIM_SOUND);
        sim->run_time = 2 * BBM_SECOND;
        size_t least = least_serving(sim, 4 * BBM_SECOND);
        ck_assert_msg(least >= sizes[i] / 3, "%zu of %zu runners serve", least,
                      sizes[i]);
        destroy_simulation(sim);
    }
}
END_TEST

/* Guards against requests without end to a runner that has restarted, as long
   as the listing is of before. */
START_TEST(restarted_runner_is_updated_while_the_listing_is_old)
{
    simulation *sim = create_simulation(10, 0, SIM_SOUND);
    sim->restarted_at_ms = 9;
    bbm_rollout_set_target(sim->ro, "m", 2, sim->now);
    run_for(sim, 5 * BBM_SECOND);
    ck_assert_msg(sim->calls <= 100 * sim->len && all_have(sim, 2, false),
                  "%zu calls to %zu runners in 5 s, %s updated", sim->calls,
                  sim->len, all_have(sim, 2, false) ? "all" : "not all");
    destroy_simulation(sim);
}
END_TEST

/* Guards against runners of one model that wait until all of another one are
   updated: version numbers of different models were compared. */
START_TEST(models_are_updated_by_the_age_of_their_weights)
{
    simulation *sim = create_simulation(60, 0, SIM_SOUND);
    sim->run_time = 2 * BBM_SECOND;
    for (size_t i = sim->len / 2; i < sim->len; i++) {
        bbm_name_set(sim->listing.items[i].models[0].name, "n");
        sim->runners[i].model_is_other = true;
    }
    run_for(sim, 100 * BBM_MS);
    bbm_rollout_set_target(sim->ro, "n", 2, sim->now);
    bbm_rollout_set_target(sim->ro, "m", 2, sim->now);
    run_for(sim, 4 * BBM_SECOND);
    bbm_rollout_set_target(sim->ro, "m", 3, sim->now);
    run_for(sim, BBM_SECOND);
    size_t updated[2] = {0};
    for (size_t i = 0; i < sim->len; i++)
        updated[sim->runners[i].model_is_other] +=
            sim->runners[i].version >= 2;
    ck_assert_msg(2 * updated[1] >= updated[0],
                  "%zu of one model updated, %zu of the other", updated[0],
                  updated[1]);
    destroy_simulation(sim);
}
END_TEST

/* Guards against a runner that is taken to be late for ever, as the answer to
   an order of before its restart counted for the order after it. */
START_TEST(answer_of_before_a_restart_does_not_count)
{
    simulation *sim = create_simulation(1, 0, SIM_SOUND);
    bbm_rollout *ro = sim->ro;
    bbm_rollout_set_runners(ro, &sim->listing);
    bbm_rollout_set_target(ro, "m", 2, sim->now);
    bbm_runner_report report = {.started_at_ms = 7, .models_len = 1};
    bbm_name_set(report.models[0].name, "m");
    report.models[0].version = 1;
    const bbm_rollout_action *act;
    int orders = 0;
    for (int i = 0; i < 1000; i++) {
        sim->now += STEP_TIME;
        bbm_rollout_set_runners(ro, &sim->listing);
        while ((act = bbm_rollout_next_action(ro, sim->now)) != NULL) {
            if (!act->is_order) {
                bbm_rollout_apply_report(ro, "i-000", &report, sim->now);
                continue;
            }
            orders++;
            if (orders == 1) {
                sim->listing.items[0].started_at_ms = 9;
                report.started_at_ms = 9;
            }
            else if (orders == 2) {
                /* The answer to the first one comes; the second is lost. */
                bbm_rollout_apply_answer(ro, "i-000", BBM_ORDER_ACCEPTED,
                                         sim->now);
            }
        }
    }
    ck_assert_msg(orders > 2, "%d orders in 10 s", orders);
    destroy_simulation(sim);
}
END_TEST

TEST_MAIN("rollout_silent", dark_runners_hold_no_places,
          dark_runners_hold_no_places_without_traffic,
          returning_runners_are_updated, slow_and_flapping_runners_are_updated,
          three_quarters_serve_beside_silent_runners,
          long_runs_leave_a_third_of_the_runners,
          new_leader_goes_on_where_the_time_is,
          long_updates_end_before_weights_are_too_old,
          suspected_runners_are_asked_before_their_turn,
          runners_that_keep_their_weights_hold_no_places,
          lost_answers_leave_two_thirds_of_the_runners,
          runners_serve_while_versions_follow_faster_than_they_load,
          long_runs_and_many_versions_leave_a_third_of_the_runners,
          answer_of_before_a_restart_does_not_count,
          restarted_runner_is_updated_while_the_listing_is_old,
          models_are_updated_by_the_age_of_their_weights);
