/* Rates by shares of demand: no request is refused well below the rate, with
   any number of VMs, and the overrun stays within what is tolerated. */
#include "bbm_share.h"
#include "test_main.h"

#include <string.h>

#define VMS_MAX 100
#define STEP_NS (20 * BBM_MS)
/* Period in which the leader sends the totals. */
#define TOTAL_PERIOD_NS (350 * BBM_MS)

typedef struct world {
    bbm_shares *vms[VMS_MAX];
    size_t len;
    bbm_time now;
    bbm_rng rng;
    double ran[4096]; /* tokens admitted in each step */
    size_t steps;
    uint64_t requested;
    uint64_t refused;
} world;

static void
begin(world *w, size_t vms, const bbm_share_limits *limits)
{
    memset(w, 0, sizeof(*w));
    w->len = vms;
    w->now = BBM_SECOND;
    w->rng = bbm_rng_of(7);
    for (size_t i = 0; i < vms; i++) {
        w->vms[i] = bbm_shares_create(i + 1);
        bbm_shares_set_vm_count(w->vms[i], vms);
        bbm_shares_set_customer(w->vms[i], "c", limits, w->now);
    }
}

static void
end(world *w)
{
    for (size_t i = 0; i < w->len; i++)
        bbm_shares_destroy(w->vms[i]);
}

static void
exchange_totals(world *w)
{
    bbm_share_demand sum = {0};
    for (size_t i = 0; i < w->len; i++) {
        bbm_share_demand d = bbm_shares_demand(w->vms[i], "c", w->now);
        sum.long_term += d.long_term;
        sum.short_term += d.short_term;
    }
    for (size_t i = 0; i < w->len; i++)
        bbm_shares_set_total(w->vms[i], "c", &sum, w->len, w->now);
}

/* Send requests at a rate for a time, each to a VM drawn at random. */
static void
run_load(world *w, double per_s, double tokens, bbm_time span)
{
    bbm_time until = w->now + span;
    double chance = per_s * (double)STEP_NS / (double)BBM_SECOND;
    for (; w->now < until; w->now += STEP_NS) {
        if (w->now % TOTAL_PERIOD_NS < STEP_NS)
            exchange_totals(w);
        double expected = chance;
        while (expected > 0 && bbm_rng_unit(&w->rng) < expected) {
            expected -= 1;
            bbm_time wait;
            size_t vm = (size_t)bbm_rng_below(&w->rng, w->len);
            w->requested++;
            if (bbm_shares_reserve(w->vms[vm], "c", tokens, w->now, &wait))
                w->ran[w->steps] += tokens;
            else
                w->refused++;
        }
        w->steps++;
    }
}

static double
max_in_window(const world *w, bbm_time window)
{
    size_t steps = (size_t)(window / STEP_NS);
    double max = 0;
    for (size_t i = 0; i < w->steps; i++) {
        double sum = 0;
        for (size_t k = i; k < i + steps && k < w->steps; k++)
            sum += w->ran[k];
        max = sum > max ? sum : max;
    }
    return max;
}

/* With 87 VMs a share is smaller than one request. */
START_TEST(none_refused_below_the_rate)
{
    static const size_t sizes[] = {1, 9, 87};
    for (size_t i = 0; i < 3; i++) {
        world w;
        begin(&w, sizes[i],
              &(bbm_share_limits){.rate = 200000, .burst = 200000});
        run_load(&w, 11, 9200, 4 * BBM_SECOND);
        w.refused = 0;
        w.requested = 0;
        run_load(&w, 11, 9200, 20 * BBM_SECOND);
        ck_assert_uint_eq(w.refused, 0);
        end(&w);
    }
}
END_TEST

/* Demand jumps to 3.4 and 4.6 times the rate. */
START_TEST(overrun_is_bounded)
{
    static const size_t sizes[] = {9, 87};
    bbm_share_limits limits = {
        .rate = 60000, .burst = 60000, .overrun_max = 164000};
    for (size_t i = 0; i < 2; i++) {
        world w;
        begin(&w, sizes[i], &limits);
        run_load(&w, 5, 9200, 10 * BBM_SECOND);
        run_load(&w, 22, 9200, 20 * BBM_SECOND);
        run_load(&w, 2, 9200, 5 * BBM_SECOND);
        run_load(&w, 30, 9200, 10 * BBM_SECOND);
        double allowed = limits.rate * 8 + limits.burst + limits.overrun_max;
        ck_assert_double_le(max_in_window(&w, 8 * BBM_SECOND), allowed);
        ck_assert_uint_gt(w.refused, w.requested / 3);
        end(&w);
    }
}
END_TEST

/* A growing share must not bring tokens that another VM has already used. */
START_TEST(moving_demand_makes_no_tokens)
{
    bbm_share_limits limits = {
        .rate = 60000, .burst = 60000, .overrun_max = 60000};
    world w;
    begin(&w, 2, &limits);
    for (int i = 0; i < 40; i++) {
        bbm_time wait;
        size_t vm = (size_t)(i / 10 % 2);
        for (int k = 0; k < 8; k++) {
            if (bbm_shares_reserve(w.vms[vm], "c", 1000, w.now, &wait))
                w.ran[w.steps] += 1000;
        }
        w.steps++;
        w.now += STEP_NS;
        exchange_totals(&w);
    }
    double allowed = limits.rate * 0.8 + limits.burst + limits.overrun_max;
    ck_assert_double_le(max_in_window(&w, 800 * BBM_MS), allowed);
    end(&w);
}
END_TEST

START_TEST(unlimited_without_limits)
{
    bbm_shares *s = bbm_shares_create(1);
    bbm_time wait;
    ck_assert(bbm_shares_reserve(s, "nobody", 1e12, 1, &wait));
    bbm_shares_destroy(s);
}
END_TEST

TEST_MAIN("share", none_refused_below_the_rate, overrun_is_bounded,
          moving_demand_makes_no_tokens, unlimited_without_limits);
