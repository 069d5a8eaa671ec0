/** @file
 *  Placement policies over seeded traces, in virtual time.
 *
 *  Traces of the two users' workloads run straight through the decision code
 *  (fleet and admission) against runners that are a few lines each: a batch,
 *  a prefill that takes its time, a cache that evicts the longest unused.
 *  Reports come late.  Several daemons place independently, each with its own
 *  view.  A row for each policy, workload and fault; SEED= and TRACE= choose
 *  others.  Bounds are the stated targets.
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

static const char *const fault_names[FAULTS] = {
    "none",      "runner crashes",  "event gaps",     "hot prefix shifts",
    "zone gone", "daemons restart", "customer at 10x"};

static const mode modes[] = {
    {.name = "ours", .policy = BBM_POLICY_COST},
    {.name = "round robin", .policy = BBM_POLICY_ROUND_ROBIN},
    {.name = "least load", .policy = BBM_POLICY_LEAST_LOAD},
    {.name = "hash", .policy = BBM_POLICY_HASH},
    {.name = "all-knowing", .policy = BBM_POLICY_COST, .all_knowing = true},
    {.name = "- own load", .policy = BBM_POLICY_COST, .no_own_load = true},
    {.name = "- hot copies", .policy = BBM_POLICY_COST, .no_hot = true},
    {.name = "- rendezvous", .policy = BBM_POLICY_COST, .no_rendezvous = true},
    {.name = "- fairness", .policy = BBM_POLICY_COST, .unfair = true},
};
#define MODES (sizeof(modes) / sizeof(modes[0]))

/* ---- the comparison ---- */

static int met;
static int missed;

static void
bound(const char *text, double value, double limit)
{
    bool good = value <= limit;
    met += good;
    missed += !good;
    printf("  %-6s %-58s %8.3f  limit %.3f\n", good ? "met" : "MISSED", text,
           value, limit);
}

static void
print(const char *trace, const char *kind, const char *name, const figures *f)
{
    printf("%-8s %-18s %-13s %6.1f%% %7.1f%% %8.0f %8.0f %9.0f %8.2f%% "
           "%7.1f\n",
           trace, kind, name, f->hit * 100, f->elsewhere * 100, f->p50, f->p99,
           f->worst_p99, f->refused * 100, f->pick_us);
}

static void
compare_policies(const trace_desc *t, uint64_t seed)
{
    figures f[MODES];
    for (size_t m = 0; m < MODES; m++) {
        f[m] = routing_run(t, &modes[m], FAULT_NONE, 0.8, seed);
        print(t->name, "none", modes[m].name, &f[m]);
    }
    double best = f[1].p99;
    for (int m = 2; m <= 3; m++)
        best = f[m].p99 < best ? f[m].p99 : best;
    bound("hit rate below the all-knowing placement, points",
          (f[4].hit - f[0].hit) * 100, 5);
    bound("p99 first token over the best baseline's", f[0].p99 / best, 0.5);
    bound("tokens recomputed though cached elsewhere, share of prompt",
          f[0].elsewhere, 0.05);
    bound("worst customer's p99 over the median's",
          f[0].worst_p99 / f[0].median_p99, 1.5);
    bound("refused inside the rate, share", f[0].refused, 0.001);
    bound("one decision, microseconds", f[0].pick_us, 20);
    for (int k = FAULT_CRASH; k < FAULTS; k++) {
        figures g = routing_run(t, &modes[0], (fault)k, 0.8, seed);
        print(t->name, fault_names[k], "ours", &g);
        if (k == FAULT_TENFOLD)
            bound("others' p99 beside a customer at 10x, over without",
                  g.others_p99 / f[0].worst_p99, 1.1);
        else
            bound("refused inside the rate through the fault, share",
                  g.refused, 0.01);
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
