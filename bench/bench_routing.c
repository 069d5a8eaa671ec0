/** @file
 *  Placement policies over seeded traces, in virtual time.
 *
 *  Requests of two workloads go through the placement code (fleet and
 *  admission) to simulated runners with a batch, a prefill of limited speed
 *  and an LRU prefix cache.  Reports arrive with a delay, and the daemons
 *  place independently, each with its own view.  Prints a row for each
 *  workload, policy and fault.  The environment variables SEED and TRACE
 *  select the seed and one workload.  The bounds are the stated targets.
 */
#include "routing_world.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* ---- traces ---- */

static const trace_desc traces[] = {
    {"trazado", 12, 1.0, 8, 12, 3, 0.3, 60},
    {"jadran", 6, 1.4, 10, 8, 2, 0.2, 40},
};

static const char *const fault_names[FAULTS_COUNT] = {
    "none",      "runner crashes",  "event gaps",     "hot prefix shifts",
    "zone gone", "daemons restart", "customer at 10x"};

static const routing_mode modes[] = {
    {.name = "ours", .policy = BBM_POLICY_COST},
    {.name = "round robin", .policy = BBM_POLICY_ROUND_ROBIN},
    {.name = "least load", .policy = BBM_POLICY_LEAST_LOAD},
    {.name = "hash", .policy = BBM_POLICY_HASH},
    {.name = "all-knowing", .policy = BBM_POLICY_COST, .full_knowledge = true},
    {.name = "- own load", .policy = BBM_POLICY_COST, .no_own_load = true},
    {.name = "- hot copies", .policy = BBM_POLICY_COST, .no_hot_copies = true},
    {.name = "- rendezvous", .policy = BBM_POLICY_COST, .no_rendezvous = true},
    {.name = "- fairness", .policy = BBM_POLICY_COST, .no_fairness = true},
};
/* Positions in modes that the bounds refer to. */
enum {
    MODE_OURS,
    MODE_ROUND_ROBIN,
    MODE_LEAST_LOAD,
    MODE_HASH,
    MODE_FULL_KNOWLEDGE,
};
#define LOAD_SHARE 0.8
#define MODES_COUNT (sizeof(modes) / sizeof(modes[0]))

/* ---- the comparison ---- */

static int met;
static int missed;

static void
check_bound(const char *text, double value, double limit)
{
    bool is_met = value <= limit;
    met += is_met;
    missed += !is_met;
    printf("  %-6s %-58s %8.3f  limit %.3f\n", is_met ? "met" : "MISSED", text,
           value, limit);
}

static void
print_result(const char *trace, const char *fault_name, const char *name,
             const routing_result *r)
{
    printf("%-8s %-18s %-13s %6.1f%% %7.1f%% %8.0f %8.0f %9.0f %8.2f%% "
           "%7.1f\n",
           trace, fault_name, name, r->hit_share * 100,
           r->recomputed_share * 100, r->p50_ms, r->p99_ms,
           r->worst_customer_p99_ms, r->refused_share * 100, r->pick_us);
}

static void
compare_policies(const trace_desc *t, uint64_t seed)
{
    routing_result results[MODES_COUNT];
    for (size_t m = 0; m < MODES_COUNT; m++) {
        results[m] = routing_run(t, &modes[m], FAULT_NONE, LOAD_SHARE, seed);
        print_result(t->name, "none", modes[m].name, &results[m]);
    }
    double best_p99_ms = results[MODE_ROUND_ROBIN].p99_ms;
    for (int m = MODE_LEAST_LOAD; m <= MODE_HASH; m++)
        best_p99_ms =
            results[m].p99_ms < best_p99_ms ? results[m].p99_ms : best_p99_ms;
    check_bound(
        "hit rate below the all-knowing placement, points",
        (results[MODE_FULL_KNOWLEDGE].hit_share - results[MODE_OURS].hit_share)
            * 100,
        5);
    check_bound("p99 first token over the best baseline's",
                results[MODE_OURS].p99_ms / best_p99_ms, 0.5);
    check_bound("tokens recomputed though cached elsewhere, share of prompt",
                results[MODE_OURS].recomputed_share, 0.05);
    check_bound("worst customer's p99 over the median's",
                results[MODE_OURS].worst_customer_p99_ms
                    / results[MODE_OURS].median_customer_p99_ms,
                1.5);
    check_bound("refused inside the rate, share",
                results[MODE_OURS].refused_share, 0.001);
    check_bound("one decision, microseconds", results[MODE_OURS].pick_us, 20);
    for (int k = FAULT_RUNNER_CRASH; k < FAULTS_COUNT; k++) {
        routing_result g =
            routing_run(t, &modes[MODE_OURS], (fault)k, LOAD_SHARE, seed);
        print_result(t->name, fault_names[k], "ours", &g);
        if (k == FAULT_CUSTOMER_10X)
            check_bound("others' p99 beside a customer at 10x, over without",
                        g.others_p99_ms
                            / results[MODE_OURS].worst_customer_p99_ms,
                        1.1);
        else
            check_bound("refused inside the rate through the fault, share",
                        g.refused_share, 0.01);
    }
}

int
main(void)
{
    const char *seed_text = getenv("SEED");
    const char *trace = getenv("TRACE");
    uint64_t seed = seed_text ? strtoull(seed_text, NULL, 10) : 1;
    if (bbm_hash_setup() < 0)
        return 1;
    printf("%-8s %-18s %-13s %7s %8s %8s %8s %9s %9s %7s\n", "TRACE", "FAULT",
           "POLICY", "HIT", "WASTED", "P50 ms", "P99 ms", "WORST p99",
           "REFUSED", "us/pick");
    for (size_t i = 0; i < sizeof(traces) / sizeof(traces[0]); i++) {
        if (!trace || strcmp(trace, traces[i].name) == 0)
            compare_policies(&traces[i], seed);
    }
    printf("%d bounds met, %d missed\n", met, missed);
    return 0;
}
