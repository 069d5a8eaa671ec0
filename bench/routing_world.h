/** @file
 *  A small world for the routing bench: traces, runners of a few lines each,
 *  daemons that place independently; all in virtual time and seeded.
 */
#ifndef ROUTING_WORLD_H
#define ROUTING_WORLD_H

#include "bbm_fleet.h"

/** A user's workload. */
typedef struct trace_desc {
    const char *name;
    int roots; /* first levels: guides, recipe books */
    double root_skew;
    int root_blocks;
    int branches; /* second levels under each root */
    int branch_blocks;
    double plain;  /* share of short questions without a prefix */
    double output; /* tokens */
} trace_desc;

/** What happens during a run. */
typedef enum fault {
    FAULT_NONE,
    FAULT_CRASH,
    FAULT_GAPS,
    FAULT_SHIFT,
    FAULT_ZONE,
    FAULT_HERD,
    FAULT_TENFOLD,
    FAULTS,
} fault;

/** How requests are placed. */
typedef struct mode {
    const char *name;
    bbm_policy policy;
    bool all_knowing;
    bool no_own_load;
    bool no_hot;
    bool no_rendezvous;
    bool unfair;
} mode;

/** What came of a run; times in milliseconds, shares from 0 to 1. */
typedef struct figures {
    double hit;
    double elsewhere;
    double p50;
    double p99;
    double worst_p99;
    double median_p99;
    double others_p99;
    double refused;
    double pick_us;
} figures;

/** Run a trace with a policy, a fault and a load (share of what the runners
 *  can do). */
figures routing_run(const trace_desc *trace, const mode *m, fault kind,
                    double load, uint64_t seed);

#endif
