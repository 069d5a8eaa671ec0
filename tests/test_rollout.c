/* Bringing runners to new weights: runners that answer late, not at all, or
   carry orders out late. */
#include "bbm_rollout.h"
#include "test_main.h"

#include <stdio.h>
#include <string.h>

#define RUNNERS 18
#define STEP (10 * BBM_MS)
#define LOAD (570 * BBM_MS)

typedef struct model {
    uint64_t version;
    uint64_t sequence;
    bool busy;
    uint64_t coming;
    bbm_time done;
    /* an order that is carried out late */
    bbm_time late;
    uint64_t late_version;
    uint64_t late_sequence;
} model;

typedef struct world {
    bbm_rollout *ro;
    bbm_listing listing;
    model runners[RUNNERS];
    bbm_time now;
    bbm_rng rng;
    double silent; /* share of orders that aren't answered */
    size_t most_loading;
    uint64_t loads;
} world;

static void
id_of(size_t i, char id[BBM_NAME_SIZE])
{
    snprintf(id, BBM_NAME_SIZE, "i-%02zu", i);
}

static void
begin(world *w)
{
    memset(w, 0, sizeof(*w));
    w->now = BBM_SECOND;
    w->rng = bbm_rng_of(3);
    w->ro = bbm_rollout_create(&(bbm_rollout_desc){.fence = 5});
    for (size_t i = 0; i < RUNNERS; i++) {
        bbm_listing_entry u = {.models_len = 1, .models = {{.version = 1}}};
        id_of(i, u.id);
        bbm_name_set(u.models[0].name, "m");
        bbm_name_set(u.address, u.id);
        bbm_listing_add(&w->listing, &u);
        w->runners[i].version = 1;
    }
}

static void
end(world *w)
{
    bbm_rollout_destroy(w->ro);
    bbm_listing_free(&w->listing);
}

static bool
accept_order(world *w, model *r, uint64_t version, uint64_t sequence)
{
    if (r->busy || r->sequence != sequence)
        return false;
    r->busy = true;
    r->sequence++;
    r->coming = version;
    r->done = w->now + LOAD;
    w->loads++;
    return true;
}

static void
carry_out(world *w, const bbm_rollout_action *act)
{
    size_t i = (size_t)atoi(act->id + 2);
    model *r = &w->runners[i];
    if (!act->is_order) {
        bbm_runner_report report = {.sequence = r->sequence,
                                    .order_in_progress = r->busy,
                                    .models_len = 1};
        bbm_name_set(report.models[0].name, "m");
        report.models[0].version = r->version;
        bbm_rollout_apply_report(w->ro, act->id, &report, w->now);
        return;
    }
    ck_assert_uint_eq(act->fence, 5);
    if (bbm_rng_unit(&w->rng) < w->silent) {
        r->late = w->now + 3 * BBM_SECOND;
        r->late_version = act->version;
        r->late_sequence = act->sequence;
        bbm_rollout_apply_answer(w->ro, act->id, BBM_ORDER_NO_ANSWER, w->now);
        return;
    }
    bool taken = accept_order(w, r, act->version, act->sequence);
    bbm_rollout_apply_answer(w->ro, act->id,
                             taken ? BBM_ORDER_ACCEPTED : BBM_ORDER_CONFLICT,
                             w->now);
}

static void
step(world *w)
{
    w->now += STEP;
    size_t loading = 0;
    for (size_t i = 0; i < RUNNERS; i++) {
        model *r = &w->runners[i];
        if (r->late && w->now >= r->late) {
            r->late = 0;
            accept_order(w, r, r->late_version, r->late_sequence);
        }
        if (r->busy && w->now >= r->done) {
            r->busy = false;
            ck_assert_uint_ge(r->coming, r->version);
            r->version = r->coming;
        }
        loading += r->busy;
    }
    w->most_loading = loading > w->most_loading ? loading : w->most_loading;
    bbm_rollout_set_runners(w->ro, &w->listing);
    const bbm_rollout_action *act;
    while ((act = bbm_rollout_next_action(w->ro, w->now)) != NULL) {
        bbm_rollout_action copy = *act;
        carry_out(w, &copy);
    }
}

static void
play(world *w, bbm_time span)
{
    bbm_time until = w->now + span;
    while (w->now < until)
        step(w);
}

static size_t
at_version(const world *w, uint64_t version)
{
    size_t n = 0;
    for (size_t i = 0; i < RUNNERS; i++)
        n += w->runners[i].version == version;
    return n;
}

START_TEST(all_get_the_newest)
{
    world w;
    begin(&w);
    bbm_rollout_set_target(w.ro, "m", 2, w.now);
    play(&w, 8 * BBM_SECOND);
    ck_assert_uint_eq(at_version(&w, 2), RUNNERS);
    ck_assert_uint_eq(w.loads, RUNNERS);
    /* Some always serve. */
    ck_assert_uint_lt(w.most_loading, RUNNERS / 2 + 1);
    end(&w);
}
END_TEST

/* A version that comes before all have the one before is gone to at once. */
START_TEST(overtaken_versions_are_passed_over)
{
    world w;
    begin(&w);
    bbm_rollout_set_target(w.ro, "m", 2, w.now);
    play(&w, 600 * BBM_MS);
    bbm_rollout_set_target(w.ro, "m", 3, w.now);
    play(&w, 8 * BBM_SECOND);
    ck_assert_uint_eq(at_version(&w, 3), RUNNERS);
    ck_assert_uint_lt(w.loads, (uintmax_t)2 * RUNNERS);
    end(&w);
}
END_TEST

/* Half of the orders get no answer and may be carried out seconds later, on
   top of a count that no longer holds if another was taken meanwhile: no
   runner ever goes back. */
START_TEST(late_orders_do_no_harm)
{
    world w;
    begin(&w);
    w.silent = 0.5;
    for (uint64_t version = 2; version < 6; version++) {
        bbm_rollout_set_target(w.ro, "m", version, w.now);
        play(&w, 4 * BBM_SECOND);
    }
    w.silent = 0;
    play(&w, 8 * BBM_SECOND);
    ck_assert_uint_eq(at_version(&w, 5), RUNNERS);
    end(&w);
}
END_TEST

START_TEST(loading_runners_are_marked)
{
    world w;
    begin(&w);
    bbm_rollout_set_target(w.ro, "m", 2, w.now);
    play(&w, 200 * BBM_MS);
    bbm_listing marked = {0};
    bbm_listing_copy(&marked, &w.listing);
    bbm_rollout_mark_listing(w.ro, &marked);
    size_t loading = 0;
    for (size_t i = 0; i < marked.len; i++)
        loading += marked.items[i].loading;
    ck_assert_uint_gt(loading, 0);
    ck_assert_uint_lt(loading, RUNNERS);
    bbm_listing_free(&marked);
    end(&w);
}
END_TEST

START_TEST(stops_when_fenced)
{
    world w;
    begin(&w);
    bbm_rollout_set_target(w.ro, "m", 2, w.now);
    bbm_rollout_set_runners(w.ro, &w.listing);
    const bbm_rollout_action *act = NULL;
    for (int i = 0; i < 100 && !(act && act->is_order); i++) {
        w.now += STEP;
        while ((act = bbm_rollout_next_action(w.ro, w.now)) != NULL
               && !act->is_order) {
            bbm_rollout_action copy = *act;
            carry_out(&w, &copy);
        }
    }
    ck_assert_ptr_nonnull(act);
    char id[BBM_NAME_SIZE];
    bbm_name_set(id, act->id);
    bbm_rollout_apply_answer(w.ro, id, BBM_ORDER_FENCED, w.now);
    ck_assert(bbm_rollout_is_fenced(w.ro));
    w.now += 10 * BBM_SECOND;
    ck_assert_ptr_null(bbm_rollout_next_action(w.ro, w.now));
    end(&w);
}
END_TEST

/* Load: weights are named sooner than all runners can take them, again and
   again.  Three quarters of the runners serve at any moment, and none falls
   back by more than the time for which its weights may be used. */
START_TEST(three_quarters_serve_under_steady_naming)
{
    world w;
    begin(&w);
    const bbm_time allowed = 8 * BBM_SECOND;
    bbm_time named[16] = {0};
    uint64_t version = 1;
    bbm_time next = w.now;
    bbm_time stop = w.now + 40 * BBM_SECOND;
    while (w.now < stop) {
        if (w.now >= next) {
            named[++version] = w.now;
            bbm_rollout_set_target(w.ro, "m", version, w.now);
            next += 4400 * BBM_MS;
        }
        step(&w);
        bbm_listing seen = {0};
        bbm_listing_copy(&seen, &w.listing);
        bbm_rollout_mark_listing(w.ro, &seen);
        size_t away = 0;
        for (size_t i = 0; i < RUNNERS; i++) {
            away += seen.items[i].loading;
            bbm_time newer = named[w.runners[i].version + 1];
            ck_assert(!newer || w.now - newer <= allowed);
        }
        ck_assert_uint_le(away, (RUNNERS + 3) / 4);
        bbm_listing_free(&seen);
    }
    end(&w);
}
END_TEST

TEST_MAIN("rollout", all_get_the_newest, overtaken_versions_are_passed_over,
          late_orders_do_no_harm, loading_runners_are_marked,
          stops_when_fenced, three_quarters_serve_under_steady_naming);
