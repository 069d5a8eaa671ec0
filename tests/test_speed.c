/* Measured speeds of runners. */
#include "bbm_hash.h"
#include "bbm_speed.h"
#include "test_main.h"

#include <math.h>

#define POOL 77
#define UPSTREAMS 20
#define START (100 * BBM_SECOND)

typedef struct speeds_world {
    bbm_speed *speed;
    bbm_rng rng;
    bbm_time now;
    double rate[UPSTREAMS]; /* relative to the configured one */
    double bias;            /* of what the VM expects */
} speeds_world;

static uint64_t
upstream_hash(size_t i)
{
    return bbm_hash64(&i, sizeof(i), 1);
}

static void
list_all(bbm_speed *s, size_t restarted)
{
    bbm_speed_begin_listing(s);
    for (size_t i = 0; i < UPSTREAMS; i++)
        bbm_speed_list(s, upstream_hash(i), POOL, i == restarted ? 2 : 1);
    bbm_speed_end_listing(s);
}

static speeds_world
create_world(uint64_t seed)
{
    speeds_world w = {
        .speed = bbm_speed_create(),
        .rng = bbm_rng_of(seed),
        .now = START,
        .bias = 1,
    };
    list_all(w.speed, UPSTREAMS);
    for (size_t i = 0; i < UPSTREAMS; i++)
        w.rate[i] = 1;
    return w;
}

/* One in seven answers takes 2.5 times as long, and each waits for up to half
   of its own time behind prompts that the VM doesn't know of. */
static double
noise(speeds_world *w)
{
    double slow = bbm_rng_unit(&w->rng) < 0.15 ? 2.5 : 1;
    return slow * (1 + bbm_rng_unit(&w->rng) / 2);
}

/* Two samples per upstream and second. */
static void
run(speeds_world *w, bbm_time span)
{
    bbm_time end = w->now + span;
    while (w->now < end) {
        w->now += 25 * BBM_MS;
        size_t i = (size_t)bbm_rng_below(&w->rng, UPSTREAMS);
        double expected = 30;
        double actual = expected * w->bias / w->rate[i] * noise(w);
        bbm_speed_add(w->speed, upstream_hash(i), expected, actual, w->now);
        bbm_speed_update(w->speed, w->now);
    }
}

static void
check_all_neutral(const speeds_world *w)
{
    ck_assert_double_eq(bbm_speed_pool_factor(w->speed, POOL), 1);
    ck_assert(!bbm_speed_is_uneven(w->speed, POOL));
    for (size_t i = 0; i < UPSTREAMS; i++)
        ck_assert_double_eq(bbm_speed_factor(w->speed, upstream_hash(i)), 1);
}

/* Noise must not make equal runners differ, nor a pool whose rate is up to 1.3
   times the configured one. */
START_TEST(equal_upstreams_are_neutral)
{
    for (uint64_t seed = 1; seed <= 20; seed++) {
        speeds_world w = create_world(seed);
        w.bias = 1 / 1.28;
        for (int i = 0; i < 60; i++) {
            run(&w, BBM_SECOND);
            check_all_neutral(&w);
        }
        bbm_speed_destroy(w.speed);
    }
}
END_TEST

START_TEST(few_samples_are_neutral)
{
    speeds_world w = create_world(1);
    for (size_t i = 0; i < UPSTREAMS; i++)
        w.rate[i] = i % 4 ? 2.8 : 1.28;
    run(&w, BBM_SECOND);
    check_all_neutral(&w);
    bbm_speed_destroy(w.speed);
}
END_TEST

static void
check_quarter_slow(const speeds_world *w, double pool)
{
    double factor = bbm_speed_pool_factor(w->speed, POOL);
    ck_assert_double_ge(factor, pool * 0.7);
    ck_assert_double_le(factor, pool * 1.2);
    for (size_t i = 0; i < UPSTREAMS; i++) {
        double f = bbm_speed_factor(w->speed, upstream_hash(i));
        if (i % 4) {
            ck_assert_double_eq(f, 1);
            continue;
        }
        ck_assert_double_ge(f, 0.46 * 0.7);
        ck_assert_double_le(f, 0.46 * 1.4);
    }
    ck_assert(bbm_speed_is_uneven(w->speed, POOL));
}

/* A quarter of the runners has 0.55 of the nominal rate, the others 1.2, and
   the configuration states 0.43 of it. */
START_TEST(slow_quarter_is_found)
{
    for (uint64_t seed = 1; seed <= 10; seed++) {
        speeds_world w = create_world(seed);
        for (size_t i = 0; i < UPSTREAMS; i++)
            w.rate[i] = i % 4 ? 2.8 : 1.28;
        run(&w, 15 * BBM_SECOND);
        for (int i = 0; i < 30; i++) {
            run(&w, BBM_SECOND);
            check_quarter_slow(&w, 2.8);
        }
        bbm_speed_destroy(w.speed);
    }
}
END_TEST

/* Wrong estimates of what is cached concern all runners alike: factors within
   the pool stay the same. */
START_TEST(bias_of_all_samples_cancels)
{
    speeds_world w = create_world(3);
    w.bias = 0.4;
    for (size_t i = 0; i < UPSTREAMS; i++)
        w.rate[i] = i % 4 ? 1.2 : 0.55;
    run(&w, 15 * BBM_SECOND);
    check_quarter_slow(&w, 3);
    bbm_speed_destroy(w.speed);
}
END_TEST

/* A restarted runner may be another machine. */
START_TEST(restarted_upstream_is_neutral)
{
    speeds_world w = create_world(4);
    w.rate[4] = 0.4;
    run(&w, 20 * BBM_SECOND);
    ck_assert_double_lt(bbm_speed_factor(w.speed, upstream_hash(4)), 0.6);
    w.rate[4] = 1;
    list_all(w.speed, 4);
    ck_assert_double_eq(bbm_speed_factor(w.speed, upstream_hash(4)), 1);
    run(&w, 20 * BBM_SECOND);
    ck_assert_double_eq(bbm_speed_factor(w.speed, upstream_hash(4)), 1);
    bbm_speed_destroy(w.speed);
}
END_TEST

/* A runner that was slow for a while, and is not restarted. */
START_TEST(recovered_upstream_is_neutral)
{
    speeds_world w = create_world(5);
    w.rate[4] = 0.4;
    run(&w, 20 * BBM_SECOND);
    ck_assert_double_lt(bbm_speed_factor(w.speed, upstream_hash(4)), 0.6);
    w.rate[4] = 1;
    run(&w, 40 * BBM_SECOND);
    ck_assert_double_eq(bbm_speed_factor(w.speed, upstream_hash(4)), 1);
    bbm_speed_destroy(w.speed);
}
END_TEST

/* A VM that serves few requests learns the speeds from the others. */
START_TEST(samples_are_shared)
{
    speeds_world w = create_world(6);
    bbm_speed *other = bbm_speed_create();
    list_all(other, UPSTREAMS);
    w.rate[4] = 0.4;
    size_t bytes = 0;
    for (int i = 0; i < 500; i++) {
        bbm_buf buf = {0};
        run(&w, 40 * BBM_MS);
        bbm_speed_put_news(w.speed, &buf);
        bytes += buf.len;
        bbm_reader rd = bbm_reader_of(buf.data, buf.len);
        bbm_speed_get_news(other, &rd, false, w.now);
        ck_assert(bbm_reader_done(&rd));
        rd = bbm_reader_of(buf.data, buf.len);
        bbm_speed_get_news(w.speed, &rd, true, w.now);
        ck_assert(bbm_reader_done(&rd));
        bbm_speed_update(other, w.now);
        bbm_buf_free(&buf);
    }
    ck_assert_double_lt(bbm_speed_factor(other, upstream_hash(4)), 0.6);
    /* 40 samples per second for 20 s, at most 7 bytes each and a length. */
    ck_assert_uint_lt(bytes, 800 * 7 + 500);
    bbm_speed_destroy(other);
    bbm_speed_destroy(w.speed);
}
END_TEST

/* What doesn't fit is malformed; nothing is read beyond it. */
START_TEST(malformed_news_are_rejected)
{
    bbm_speed *s = bbm_speed_create();
    bbm_buf buf = {0};
    list_all(s, UPSTREAMS);
    bbm_put_u64(&buf, 1);
    bbm_put_u64(&buf, upstream_hash(0) & UINT32_MAX);
    bbm_put_u64(&buf, 64);
    bbm_reader rd = bbm_reader_of(buf.data, buf.len);
    bbm_speed_get_news(s, &rd, false, START);
    ck_assert(rd.failed);
    buf.len = 0;
    bbm_put_u64(&buf, BBM_SPEED_NEWS_MAX + 1);
    rd = bbm_reader_of(buf.data, buf.len);
    bbm_speed_get_news(s, &rd, false, START);
    ck_assert(rd.failed);
    bbm_buf_free(&buf);
    bbm_speed_destroy(s);
}
END_TEST

TEST_MAIN("speed", bias_of_all_samples_cancels, equal_upstreams_are_neutral,
          few_samples_are_neutral, malformed_news_are_rejected,
          recovered_upstream_is_neutral, restarted_upstream_is_neutral,
          samples_are_shared, slow_quarter_is_found);
