/** @file
 *  Simulation for the routing bench: seeded traces, simplified runners and
 *  daemons that place requests independently, in virtual time.
 */
#ifndef ROUTING_WORLD_H
#define ROUTING_WORLD_H

#include "bbm_fleet.h"

/** A workload.  Prompts consist of a root prefix, a branch prefix under it
 *  and a unique tail. */
typedef struct trace_desc {
    const char *name;
    int roots; /* distinct first prefixes: guides, recipe books */
    double root_zipf_exponent; /* root i has the weight (i+1)^-exponent */
    int root_blocks;
    int branches; /* distinct second prefixes of each root */
    int branch_blocks;
    double no_prefix_share; /* of the requests: the tail alone */
    double output_tokens;   /* mean of an answer */
} trace_desc;

/** Fault injected during a run. */
typedef enum fault {
    FAULT_NONE,
    FAULT_RUNNER_CRASH,     /**< A random runner restarts every 15 s. */
    FAULT_EVENT_GAPS,       /**< 1 of 400 eviction events is lost. */
    FAULT_HOT_PREFIX_SHIFT, /**< Other roots become popular every 10 s. */
    FAULT_ZONE_LOSS,        /**< The runners of one of three zones fail. */
    FAULT_DAEMON_RESTART,   /**< All daemons restart without their state. */
    FAULT_CUSTOMER_10X,     /**< One customer sends ten times its rate. */
    FAULTS_COUNT,
} fault;

/** Placement policy and the mechanisms that are turned off. */
typedef struct routing_mode {
    const char *name;
    bbm_policy policy;
    bool full_knowledge; /* one shared, current view; no report delay */
    bool no_own_load;
    bool no_hot_copies;
    bool no_rendezvous;
    bool no_fairness;
} routing_mode;

/** Result of a run, without its warm-up.  Times are those to the first token;
 *  shares are from 0 to 1. */
typedef struct routing_result {
    double hit_share;        /* of prompt tokens: cached at the runner */
    double recomputed_share; /* of prompt tokens: computed, cached elsewhere */
    double p50_ms;
    double p99_ms;
    double worst_customer_p99_ms;
    double median_customer_p99_ms;
    double others_p99_ms; /* worst of the customers but the last */
    double refused_share; /* of requests */
    double pick_us;       /* CPU time of a placement decision */
} routing_result;

/** Simulate a trace.
 *  @param load share of the estimated capacity of the runners */
routing_result routing_run(const trace_desc *trace, const routing_mode *m,
                           fault fault_kind, double load, uint64_t seed);

#endif
