/* Orders of the leader to engines to load weights, over engines that don't
   answer. */
#include "bbm_codes.h"
#include "fleet.h"
#include "test_main.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define NODES 3
#define ENGINES 12
#define LOAD_TIME (1500 * BBM_MS)
#define REPORT_PERIOD (200 * BBM_MS)
/* Time in which all sound engines of twelve have new weights: four rounds of
   the three places, and the 5 s after which an engine counts as silent. */
#define UPDATE_TIME_MAX (20 * BBM_SECOND)

/* What a faulty engine does. */
typedef enum fault {
    FAULT_NONE,
    FAULT_SILENT,  /* answers neither orders nor polls of its reports */
    FAULT_REFUSES, /* reports, but answers orders with an error */
    FAULT_KEEPS,   /* accepts orders, but keeps its weights */
    FAULT_LATE,    /* loads, but answers orders too late */
} fault;

typedef struct engine {
    fault fault;
    char weights[BBM_NAME_SIZE];
    char loading[BBM_NAME_SIZE]; /* "": it loads none */
    bbm_time loaded_at;
} engine;

typedef struct result {
    int node;
    char id[BBM_NAME_SIZE];
    int code;
    bbm_time at;
} result;

typedef struct world {
    fleet *fleet;
    engine engines[ENGINES];
    result results[ENGINES * 64]; /* of orders, oldest first */
    size_t results_len;
    size_t results_done;
    int loading_max; /* most engines that loaded at the same time */
    int orders;
} world;

static int
count_loading(const world *w)
{
    int n = 0;
    for (int i = 0; i < ENGINES; i++)
        n += w->engines[i].loading[0] != 0;
    return n;
}

static void
on_order(void *context, int node, const bbm_action *a)
{
    world *w = context;
    engine *e = &w->engines[atoi(a->u.order.url + strlen("http://e-"))];
    w->orders++;
    ck_assert_uint_lt(w->results_len, BBM_COUNT(w->results));
    result *r = &w->results[w->results_len++];
    *r = (result){.node = node, .at = fleet_now(w->fleet) + 2 * BBM_MS};
    bbm_name_set(r->id, a->u.order.id);
    switch (e->fault) {
    case FAULT_SILENT:
        r->at += a->u.order.timeout;
        r->code = BBM_ERR_UPSTREAM;
        return;
    case FAULT_REFUSES:
        r->code = BBM_ERR_UPSTREAM;
        return;
    case FAULT_KEEPS:
        return;
    case FAULT_LATE:
        r->at += a->u.order.timeout;
        r->code = BBM_ERR_UPSTREAM;
        break;
    case FAULT_NONE:
        break;
    }
    bbm_name_set(e->loading, a->u.order.weights);
    e->loaded_at = fleet_now(w->fleet) + LOAD_TIME;
    int loading = count_loading(w);
    w->loading_max = loading > w->loading_max ? loading : w->loading_max;
}

static void
answer_orders(world *w)
{
    for (size_t i = w->results_done; i < w->results_len; i++) {
        const result *r = &w->results[i];
        if (r->at > fleet_now(w->fleet))
            return;
        bbm_event ev = {.kind = BBM_EV_ORDER_RESULT};
        ev.u.order.id = r->id;
        ev.u.order.code = r->code;
        fleet_deliver(w->fleet, r->node, &ev);
        w->results_done = i + 1;
    }
}

static void
report(world *w, int i)
{
    const engine *e = &w->engines[i];
    char name[BBM_NAME_SIZE];
    snprintf(name, sizeof(name), "e-%d", i);
    bbm_event ev = {.kind = e->fault == FAULT_SILENT ? BBM_EV_REPORT_FAILED
                                                     : BBM_EV_REPORT};
    ev.u.report.engine = name;
    ev.u.report.report = (bbm_report){
        .incarnation = (uint64_t)i + 1,
        .loading = e->loading[0] != 0,
    };
    bbm_name_set(ev.u.report.report.weights, e->weights);
    for (int k = 0; k < NODES; k++)
        fleet_deliver(w->fleet, k, &ev);
}

static void
run(world *w, bbm_time span)
{
    bbm_time end = fleet_now(w->fleet) + span;
    while (fleet_now(w->fleet) < end) {
        fleet_step(w->fleet);
        bbm_time now = fleet_now(w->fleet);
        answer_orders(w);
        for (int i = 0; i < ENGINES; i++) {
            engine *e = &w->engines[i];
            if (e->loading[0] && now >= e->loaded_at) {
                bbm_name_set(e->weights, e->loading);
                e->loading[0] = 0;
            }
            if (now % REPORT_PERIOD == 0)
                report(w, i);
        }
    }
}

static void
publish(world *w, uint64_t op, uint64_t expected, const char *weights)
{
    bbm_buf text = {0};
    char part[512];
    snprintf(part, sizeof(part),
             "{\"weights\":[{\"name\":\"w1\",\"source\":\"a\"},"
             "{\"name\":\"w2\",\"source\":\"b\"}],\"models\":[{\"name\":\"m\","
             "\"weights\":\"%s\"}],\"engines\":[",
             weights);
    bbm_buf_add(&text, part, strlen(part));
    for (int i = 0; i < ENGINES; i++) {
        snprintf(part, sizeof(part),
                 "%s{\"name\":\"e-%d\",\"model\":\"m\",\"zone\":\"z\","
                 "\"url\":\"http://e-%d:1\",\"prefill_tokens_per_s\":50000}",
                 i ? "," : "", i, i);
        bbm_buf_add(&text, part, strlen(part));
    }
    bbm_buf_add(&text, "]}", 3);
    char id[BBM_NAME_SIZE];
    snprintf(id, sizeof(id), "p-%d", (int)op);
    ck_assert(fleet_publish(w->fleet, 0, op, id, expected, (char *)text.data));
    bbm_buf_free(&text);
}

static void
on_answer(void *context, const fleet_answer *answer)
{
    (void)context;
    ck_assert_int_eq(answer->code, BBM_OK);
}

static int
count_updated(const world *w)
{
    int n = 0;
    for (int i = 0; i < ENGINES; i++)
        n += strcmp(w->engines[i].weights, "w2") == 0;
    return n;
}

/* Names new weights while the first engines have a fault. */
static void
play(fault f, int faulty)
{
    world w = {0};
    int sound = f == FAULT_LATE ? ENGINES : ENGINES - faulty;
    w.fleet = fleet_create(
        &(fleet_desc){
            .seed = 5,
            .nodes = NODES,
            .founders = NODES,
            .delay_max = 5 * BBM_MS,
            .sync_max = 2 * BBM_MS,
        },
        &(fleet_hooks){.context = &w, .order = on_order, .answer = on_answer});
    for (int i = 0; i < ENGINES; i++)
        bbm_name_set(w.engines[i].weights, "w1");
    fleet_run(w.fleet, 4 * BBM_SECOND);
    publish(&w, 1, 0, "w1");
    run(&w, 3 * BBM_SECOND);
    ck_assert_int_eq(w.orders, 0);
    for (int i = 0; i < faulty; i++)
        w.engines[i].fault = f;
    publish(&w, 2, 1, "w2");
    bbm_time began_at = fleet_now(w.fleet);
    while (count_updated(&w) < sound
           && fleet_now(w.fleet) - began_at < UPDATE_TIME_MAX)
        run(&w, 100 * BBM_MS);
    printf("%d engines with fault %d: %d of %d updated after %lld ms, %d "
           "orders, %d at a time\n",
           faulty, (int)f, count_updated(&w), ENGINES,
           (long long)((fleet_now(w.fleet) - began_at) / BBM_MS), w.orders,
           w.loading_max);
    ck_assert_int_eq(count_updated(&w), sound);
    ck_assert_int_le(w.loading_max, 3);
    /* Those that are sound again get their order. */
    for (int i = 0; i < faulty; i++)
        w.engines[i].fault = FAULT_NONE;
    run(&w, 10 * BBM_SECOND);
    ck_assert_int_eq(count_updated(&w), ENGINES);
    fleet_destroy(w.fleet);
}

START_TEST(sound_engines_are_updated)
{
    play(FAULT_NONE, 0);
}
END_TEST

START_TEST(silent_engines_hold_no_places)
{
    play(FAULT_SILENT, 3);
    play(FAULT_SILENT, 4);
}
END_TEST

START_TEST(engines_that_refuse_orders_hold_no_places)
{
    play(FAULT_REFUSES, 4);
}
END_TEST

START_TEST(engines_that_keep_their_weights_let_others_have_places)
{
    play(FAULT_KEEPS, 4);
}
END_TEST

/* Otherwise the model's capacity would go into loading all at once. */
START_TEST(engines_that_load_without_an_answer_count_as_loading)
{
    play(FAULT_LATE, ENGINES);
}
END_TEST

TEST_MAIN("orders", sound_engines_are_updated, silent_engines_hold_no_places,
          engines_that_refuse_orders_hold_no_places,
          engines_that_keep_their_weights_let_others_have_places,
          engines_that_load_without_an_answer_count_as_loading);
