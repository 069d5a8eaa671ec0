/* Whether requests leave their availability zone: the decision alone, one
   gate, and gates of many VMs under load.  The baselines of the played load
   are that all requests stay in their zone, and that zones don't matter. */
#include "bbm_config.h"
#include "bbm_gate.h"
#include "bbm_zones.h"
#include "scale_world.h"
#include "test_main.h"

#include <stdio.h>
#include <string.h>

#define PERIOD (60 * BBM_MS)
#define OWN 1
#define OTHER 2
#define THIRD 3

/* ---- the decision alone ---- */

static void
update(bbm_zones *z, uint64_t own, const double *waits, double room,
       bool fresh, bbm_time now)
{
    bbm_zones_load loads[3];
    for (size_t i = 0; i < 3; i++)
        loads[i] = (bbm_zones_load){
            .zone = i + 1, .upstreams = 4, .wait_ms = waits[i], .room = room};
    bbm_zones_update(z,
                     &(bbm_zones_news){.zones = loads,
                                       .zones_len = 3,
                                       .own = own,
                                       .zone_vms = 20,
                                       .fresh = fresh},
                     now);
}

/* A zone whose wait is 100 ms longer, and news for long enough. */
static bbm_zones
create_busy(double room)
{
    bbm_zones z = {0};
    const double waits[] = {110, 10, 10};
    for (int i = 0; i <= 10; i++)
        update(&z, OWN, waits, room, true, BBM_SECOND + i * PERIOD);
    return z;
}

static bbm_zones_question
create_question(void)
{
    return (bbm_zones_question){.has_own = true,
                                .has_other = true,
                                .own_ms = 150,
                                .other_ms = 55,
                                .leave_ms = 5,
                                .other_zone = OTHER,
                                .work = 100,
                                .random = 0.5};
}

START_TEST(price_of_leaving)
{
    bbm_zones_price none = {0};
    bbm_zones_price price = {.delay_ms = 2, .byte_ms = 1000};
    ck_assert(!bbm_zones_is_priced(&none));
    ck_assert(bbm_zones_is_priced(&price));
    ck_assert_double_eq_tol(bbm_zones_bytes(9190, 9), 10100, 10);
    ck_assert_double_eq_tol(bbm_zones_leave_ms(&price, 10000), 12, 1e-9);
}
END_TEST

START_TEST(a_request_leaves_when_that_pays)
{
    bbm_zones z = create_busy(10000);
    bbm_zones_question q = create_question();
    bbm_zones_verdict v = bbm_zones_decide(&z, &q);
    ck_assert(v.leaves);
    ck_assert_int_eq(v.cause, BBM_ZONES_SLOW);
    q.own_full = true;
    ck_assert_int_eq(bbm_zones_decide(&z, &q).cause, BBM_ZONES_FULL);
    q.other_ms = q.own_ms;
    ck_assert(!bbm_zones_decide(&z, &q).leaves);
    q.has_other = false;
    ck_assert(!bbm_zones_decide(&z, &q).leaves);
}
END_TEST

/* A request must not be refused for want of room if its zone can't serve it,
   nor go from its cache because the others are busy. */
START_TEST(some_leave_without_room)
{
    bbm_zones z = create_busy(0);
    bbm_zones_question q = create_question();
    ck_assert_int_eq(bbm_zones_decide(&z, &q).cause, BBM_ZONES_NO_ROOM);
    q.cached_ms = 60;
    bbm_zones_verdict v = bbm_zones_decide(&z, &q);
    ck_assert(v.leaves);
    ck_assert_int_eq(v.cause, BBM_ZONES_CACHED);
    q.cached_ms = q.leave_ms / 2;
    ck_assert(!bbm_zones_decide(&z, &q).leaves);
    q.has_own = false;
    v = bbm_zones_decide(&z, &q);
    ck_assert(v.leaves);
    ck_assert_int_eq(v.cause, BBM_ZONES_NONE);
}
END_TEST

/* With the same news, at most one of two zones sends to the other. */
START_TEST(no_two_zones_send_to_each_other)
{
    bbm_rng rng = bbm_rng_of(1);
    bbm_zones z[3] = {0};
    size_t sent = 0;
    for (int i = 0; i < 2000; i++) {
        double waits[3];
        bool leaves[3][3] = {0};
        for (size_t k = 0; k < 3; k++)
            waits[k] = bbm_rng_unit(&rng) * 100;
        for (size_t from = 0; from < 3; from++)
            update(&z[from], from + 1, waits, 1e6, true,
                   BBM_SECOND + i * PERIOD);
        for (size_t from = 0; from < 3; from++) {
            for (size_t to = 0; to < 3; to++) {
                bbm_zones_question q = create_question();
                q.other_zone = to + 1;
                leaves[from][to] =
                    from != to && bbm_zones_decide(&z[from], &q).leaves;
                sent += leaves[from][to];
            }
        }
        for (size_t a = 0; a < 3; a++) {
            for (size_t b = 0; b < 3; b++)
                ck_assert(!leaves[a][b] || !leaves[b][a]);
        }
    }
    ck_assert_uint_gt(sent, 100);
}
END_TEST

/* Work that all VMs of one zone send in the time in which news arrives, if
   each has `requests` requests per period that would leave. */
static double
work_sent(double room, int requests)
{
    bbm_rng rng = bbm_rng_of(2);
    double sent = 0;
    const double waits[] = {110, 10, 10};
    for (int vm = 0; vm < 20; vm++) {
        bbm_zones z = create_busy(room);
        bbm_time now = BBM_SECOND + 10 * PERIOD;
        z.allowance *= bbm_rng_unit(&rng); /* at any moment */
        for (bbm_time t = 0; t < 400 * BBM_MS; t += PERIOD) {
            update(&z, OWN, waits, room, true, now + t);
            for (int i = 0; i < requests; i++) {
                bbm_zones_question q = create_question();
                q.random = bbm_rng_unit(&rng);
                bbm_zones_verdict v = bbm_zones_decide(&z, &q);
                sent += v.leaves ? q.work : 0;
            }
        }
    }
    return sent;
}

/* Guards against all VMs sending at once what the others can take once, and
   against none sending as each one's part is less than a request. */
START_TEST(the_others_get_what_they_can_take)
{
    /* Two zones have that room each. */
    double large = work_sent(20000, 10);
    ck_assert_double_le(large, 2 * 40000);
    ck_assert_double_ge(large, 0.5 * 40000);
    double small = work_sent(400, 10);
    ck_assert_double_le(small, 3 * 800);
    ck_assert_double_ge(small, 0.5 * 800);
}
END_TEST

START_TEST(without_news_less_and_less_leaves)
{
    bbm_zones z = create_busy(20000);
    const double waits[] = {110, 10, 10};
    double before = z.allowance;
    bbm_time now = BBM_SECOND + 10 * PERIOD;
    for (int i = 1; i <= 50; i++)
        update(&z, OWN, waits, 20000, false, now + i * PERIOD);
    ck_assert_double_le(z.allowance, before / 30);
}
END_TEST

/* One upstream that fails isn't a zone that can't be reached. */
START_TEST(a_zone_that_is_cut_off_is_known)
{
    for (size_t unreached = 0; unreached <= 2; unreached++) {
        bbm_zones z = {0};
        bbm_zones_load loads[] = {
            {.zone = OWN, .upstreams = 4, .answered_at = 900},
            {.zone = OTHER, .upstreams = 4, .answered_at = 1100},
            {.zone = THIRD,
             .upstreams = 4,
             .unreached = unreached,
             .unreached_at = unreached ? 1000 : 0,
             .answered_at = 900},
        };
        bbm_zones_news news = {
            .zones = loads, .zones_len = 3, .own = OWN, .zone_vms = 1};
        bbm_zones_update(&z, &news, BBM_SECOND);
        ck_assert(!bbm_zones_is_cut(&z, OWN));
        ck_assert(!bbm_zones_is_cut(&z, OTHER));
        ck_assert_int_eq(bbm_zones_is_cut(&z, THIRD), unreached == 2);
        /* One in each other zone: this zone is cut off. */
        loads[1].unreached = 1;
        loads[1].unreached_at = 1200;
        loads[2].unreached = 1;
        bbm_zones_update(&z, &news, BBM_SECOND);
        ck_assert(bbm_zones_is_cut(&z, OTHER));
        ck_assert(!bbm_zones_is_cut(&z, OWN));
        loads[2].answered_at = 1300;
        bbm_zones_update(&z, &news, BBM_SECOND);
        ck_assert(!bbm_zones_is_cut(&z, OTHER));
    }
}
END_TEST

/* ---- one gate ---- */

static const char config_text[] =
    "{\"pools\":[{\"name\":\"llm\",\"engine\":true,\"slots\":16,"
    "\"memory_tokens\":101786,\"token_bytes\":163840,\"link_mbps\":550000,"
    "\"prefill_tokens_per_s\":51100},{\"name\":\"app\",\"slots\":6}],"
    "\"routes\":["
    "{\"name\":\"chat\",\"host\":\"h\",\"path\":\"/chat/\","
    "\"pools\":[\"llm\"],\"open\":true,\"stream\":true,\"timeout_ms\":5000,"
    "\"aim_ms\":600,\"gap_ms\":300,\"attempts\":1},"
    "{\"name\":\"call\",\"host\":\"h\",\"path\":\"/call/\","
    "\"pools\":[\"app\"],\"open\":true,\"timeout_ms\":1500,"
    "\"aim_ms\":120,\"attempts\":1}]}";

typedef struct one {
    bbm_gate *gate;
    bbm_config *cfg;
    bbm_time now;
    uint64_t requests;
} one;

/* A VM in zone-0; upstreams in turn in four zones. */
static one
create_one(const char *pool, int upstreams, double delay_ms)
{
    one w = {.now = 100 * BBM_SECOND};
    bbm_doc_errors errors = {0};
    w.cfg = bbm_config_create(config_text, strlen(config_text), &errors);
    ck_assert_ptr_nonnull(w.cfg);
    w.gate = bbm_gate_create(&(bbm_gate_desc){
        .zone = "zone-0", .seed = 5, .zone_delay_ms = delay_ms});
    bbm_gate_configure(w.gate, w.cfg, w.now);
    bbm_listing listing = {0};
    for (int i = 0; i < upstreams; i++) {
        bbm_listing_entry u = {.slots = pool[0] == 'l' ? 16 : 6};
        snprintf(u.id, sizeof(u.id), "u-%d", i);
        snprintf(u.address, sizeof(u.address), "10.0.0.%d:80", i + 1);
        snprintf(u.zone, sizeof(u.zone), "zone-%d", i % 4);
        bbm_name_set(u.pool, pool);
        if (pool[0] == 'l')
            bbm_listing_entry_set_version(&u, "m", 1);
        bbm_listing_add(&listing, &u);
    }
    bbm_gate_set_listing(w.gate, &listing, w.now);
    bbm_gate_add_version(w.gate, "m", 1, 0, w.now);
    bbm_listing_free(&listing);
    return w;
}

static void
destroy_one(one *w)
{
    bbm_gate_destroy(w->gate);
    bbm_config_destroy(w->cfg);
}

static void
finish(one *w, const bbm_forward_request *s)
{
    static const bbm_upstream_notice no_notice = {0};
    bbm_gate_record_head(w->gate, s->request, s->attempt, 1, &no_notice,
                         w->now);
    bbm_forward_result f = {.request = s->request,
                            .attempt = s->attempt,
                            .outcome = BBM_FORWARD_COMPLETE,
                            .status = 200};
    bbm_gate_end_attempt(w->gate, &f, w->now);
}

/* Zone that a new request is sent to; -1: none.  Calls stay open. */
static int
send_one(one *w, const char *path, uint64_t chain)
{
    bbm_prompt_part parts[2] = {{chain, 198}, {1000 + w->requests, 628}};
    bbm_gate_request_desc d = {.request = ++w->requests,
                               .id = "id",
                               .model = chain ? "m" : "",
                               .parts = parts,
                               .parts_len = chain ? 2 : 0,
                               .prompt_tokens = chain ? 826 : 0,
                               .output_tokens_max = chain ? 49 : 0,
                               .client_timeout = 5 * BBM_SECOND};
    w->now += 50 * BBM_MS;
    bbm_gate_begin_request(
        w->gate, &d, bbm_config_host_route(w->cfg, "h", path), NULL, w->now);
    int zone = -1;
    const bbm_gate_output *out;
    while ((out = bbm_gate_next_output(w->gate)) != NULL) {
        if (out->kind != BBM_GATE_SEND)
            continue;
        bbm_forward_request s = out->u.send.send;
        zone = atoi(s.upstream + 2) % 4;
        if (chain)
            finish(w, &s);
    }
    return zone;
}

/* Reading 198 tokens again takes 4 ms. */
START_TEST(short_shared_prefixes_stay)
{
    for (int priced = 0; priced < 2; priced++) {
        one w = create_one("llm", 24, priced ? 6 : 0);
        int left = 0;
        for (uint64_t i = 0; i < 40; i++)
            left += send_one(&w, "/chat/a", 1 + i) != 0;
        if (priced)
            ck_assert_int_eq(left, 0);
        else
            ck_assert_int_ge(left, 10);
        bbm_gate_counts c = bbm_gate_count(w.gate);
        ck_assert_uint_eq(c.zones.requests[BBM_ZONES_UNPRICED],
                          (uint64_t)left);
        destroy_one(&w);
    }
}
END_TEST

START_TEST(calls_stay_until_the_service_is_full)
{
    one w = create_one("app", 4, 3);
    for (int i = 0; i < 6; i++)
        ck_assert_int_eq(send_one(&w, "/call/a", 0), 0);
    int left = 0;
    for (int i = 0; i < 6; i++)
        left += send_one(&w, "/call/a", 0) > 0;
    ck_assert_int_ge(left, 1);
    destroy_one(&w);
}
END_TEST

/* ---- many VMs ---- */

typedef enum policy {
    POLICY_STAY, /* leaving costs more than any wait */
    POLICY_FREE, /* no price: as without the settings */
    POLICY_DECIDE,
    POLICY_COUNT,
} policy;

typedef struct outcome {
    double in_time;      /* share of the requests begun in time */
    double zone_in_time; /* the same of the first zone */
    double bytes;        /* between zones */
} outcome;

/* Plays a load under each policy, with a change before it is measured. */
static void
play(void (*change)(scale_world *), outcome out[POLICY_COUNT])
{
    static const double delays[] = {9000, 0, 4};
    static const double prices[] = {0, 0, 500};
    for (policy p = 0; p < POLICY_COUNT; p++) {
        scale_world *w =
            scale_create(&(scale_desc){.vms = 63,
                                       .runners = 60,
                                       .zones = 4,
                                       .requests_per_s = 280,
                                       .chains = 600,
                                       .seed = 7,
                                       .zone_delay_ms = delays[p],
                                       .zone_byte_price = prices[p]});
        scale_run(w, 6 * BBM_SECOND);
        if (change)
            change(w);
        scale_result r = scale_measure(w, 4 * BBM_SECOND);
        out[p] = (outcome){
            .in_time = (double)r.in_time / (double)r.requests,
            .zone_in_time =
                (double)r.zone_in_time[0] / (double)r.zone_requests[0],
            .bytes = r.crossed_bytes,
        };
        printf("policy %d: in time %.3f, first zone %.3f, %.1f MB between "
               "zones\n",
               p, out[p].in_time, out[p].zone_in_time, out[p].bytes / 1e6);
        scale_destroy(w);
    }
}

START_TEST(steady_load)
{
    outcome o[POLICY_COUNT];
    play(NULL, o);
    ck_assert_double_ge(o[POLICY_DECIDE].in_time,
                        o[POLICY_FREE].in_time * 0.98);
    ck_assert_double_ge(o[POLICY_DECIDE].in_time, o[POLICY_STAY].in_time);
    ck_assert_double_le(o[POLICY_DECIDE].bytes, o[POLICY_FREE].bytes * 0.95);
}
END_TEST

static void
remove_runners(scale_world *w)
{
    scale_set_zone_listed(w, 0, false);
}

START_TEST(a_zone_without_upstreams)
{
    outcome o[POLICY_COUNT];
    play(remove_runners, o);
    ck_assert_double_le(o[POLICY_STAY].zone_in_time, 0.1);
    ck_assert_double_ge(o[POLICY_DECIDE].zone_in_time,
                        o[POLICY_FREE].zone_in_time * 0.95);
    ck_assert_double_ge(o[POLICY_DECIDE].in_time,
                        o[POLICY_FREE].in_time * 0.98);
    ck_assert_double_le(o[POLICY_DECIDE].bytes, o[POLICY_FREE].bytes * 0.9);
}
END_TEST

static void
cut_zone(scale_world *w)
{
    scale_set_zone_cut(w, 0, true);
}

START_TEST(a_zone_that_is_cut_off)
{
    outcome o[POLICY_COUNT];
    play(cut_zone, o);
    ck_assert_double_ge(o[POLICY_DECIDE].in_time,
                        o[POLICY_STAY].in_time * 0.93);
    ck_assert_double_ge(o[POLICY_DECIDE].zone_in_time,
                        o[POLICY_STAY].zone_in_time * 0.85);
    ck_assert_double_ge(o[POLICY_DECIDE].in_time,
                        o[POLICY_FREE].in_time * 1.2);
}
END_TEST

static void
double_load(scale_world *w)
{
    scale_set_zone_load(w, 0, 2);
}

START_TEST(a_zone_whose_load_doubles)
{
    outcome o[POLICY_COUNT];
    play(double_load, o);
    ck_assert_double_ge(o[POLICY_DECIDE].in_time,
                        o[POLICY_FREE].in_time * 0.97);
    ck_assert_double_ge(o[POLICY_DECIDE].zone_in_time,
                        o[POLICY_STAY].zone_in_time * 1.3);
    ck_assert_double_le(o[POLICY_DECIDE].bytes, o[POLICY_FREE].bytes * 0.9);
}
END_TEST

static void
stop_news(scale_world *w)
{
    scale_set_zone_news_lost(w, 0, true);
}

START_TEST(a_zone_whose_news_stops)
{
    outcome o[POLICY_COUNT];
    play(stop_news, o);
    ck_assert_double_ge(o[POLICY_DECIDE].in_time,
                        o[POLICY_FREE].in_time * 0.97);
    ck_assert_double_ge(o[POLICY_DECIDE].zone_in_time,
                        o[POLICY_STAY].zone_in_time * 0.97);
    ck_assert_double_le(o[POLICY_DECIDE].bytes, o[POLICY_FREE].bytes * 0.95);
}
END_TEST

TEST_MAIN("zones", price_of_leaving, a_request_leaves_when_that_pays,
          some_leave_without_room, no_two_zones_send_to_each_other,
          the_others_get_what_they_can_take, without_news_less_and_less_leaves,
          a_zone_that_is_cut_off_is_known, short_shared_prefixes_stay,
          calls_stay_until_the_service_is_full, steady_load,
          a_zone_without_upstreams, a_zone_that_is_cut_off,
          a_zone_whose_load_doubles, a_zone_whose_news_stops);
