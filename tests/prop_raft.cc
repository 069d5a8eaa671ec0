// Properties of the replicated log under seeded faults.  RC_PARAMS changes
// the seed and the count, for instance RC_PARAMS="seed=7 max_success=5000".

#include "raft_history.h"
#include "prop_finds.h"

extern "C" {
#include "bbm_hash.h"
}

#include <cstdio>
#include <cstdlib>
#include <rapidcheck.h>

static raft_history_result totals;

static void
add_totals(const raft_history_result &r)
{
    totals.proposed += r.proposed;
    totals.acknowledged += r.acknowledged;
    totals.crashes += r.crashes;
    totals.lost_disks += r.lost_disks;
    totals.freezes += r.freezes;
    totals.cuts += r.cuts;
    totals.leaders += r.leaders;
    totals.reads += r.reads;
}

// Seeds that once failed.
static bool
regressions_pass()
{
    // Two members drew the same election timeouts and split every vote.
    raft_history_desc desc = {};
    desc.seed = 48351673213;
    desc.members = 5;
    desc.steps = 1500;
    raft_history_result r = raft_history_run(&desc);
    if (r.violation)
        std::printf("seed %llu: violated: %s\n", (unsigned long long)desc.seed,
                    r.violation);
    return !r.violation;
}

static bool
detects_weakness(raft_weakness weakness)
{
    return prop_finds(weakness, 3000, [=](uint64_t seed) {
        raft_history_desc desc = {};
        desc.seed = seed;
        desc.members = 3;
        desc.steps = 1500;
        desc.weakness = weakness;
        raft_history_result r = raft_history_run(&desc);
        return r.violation ? std::string("violated: ") + r.violation : "";
    });
}

int
main()
{
    setenv("RC_PARAMS", "seed=20261204 max_success=300", 0);
    if (bbm_hash_setup() < 0)
        return 1;
    bool passed =
        rc::check("a Raft group keeps its invariants under faults", [] {
            raft_history_desc desc = {};
            desc.seed = *rc::gen::arbitrary<uint64_t>();
            desc.members = *rc::gen::element(3, 5);
            desc.steps = 1500;
            raft_history_result r = raft_history_run(&desc);
            add_totals(r);
            if (r.violation)
                RC_FAIL(r.violation);
        });
    std::printf("proposed %d, acknowledged %d, reads %d, leaders %d; "
                "crashes %d, lost disks %d, freezes %d, cuts %d\n",
                totals.proposed, totals.acknowledged, totals.reads,
                totals.leaders, totals.crashes, totals.lost_disks,
                totals.freezes, totals.cuts);
    passed = regressions_pass() && passed;
    bool all_detected = detects_weakness(RAFT_NO_LEASE);
    all_detected = detects_weakness(RAFT_NO_SYNC) && all_detected;
    all_detected = detects_weakness(RAFT_OLD_IDENTITY) && all_detected;
    return passed && all_detected ? 0 : 1;
}
