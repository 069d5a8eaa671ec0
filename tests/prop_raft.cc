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

static raft_history_result total;

static void
add(const raft_history_result &r)
{
    total.proposed += r.proposed;
    total.acknowledged += r.acknowledged;
    total.crashes += r.crashes;
    total.lost_disks += r.lost_disks;
    total.freezes += r.freezes;
    total.cuts += r.cuts;
    total.leaders += r.leaders;
    total.reads += r.reads;
}

// Histories that once failed.
static bool
past_failures_pass()
{
    // Two members drew the same election timeouts and split every vote.
    raft_history_desc desc = {};
    desc.seed = 48351673213;
    desc.members = 5;
    desc.steps = 1500;
    raft_history_result r = raft_history_run(&desc);
    if (r.broken)
        std::printf("seed %llu: broken: %s\n", (unsigned long long)desc.seed,
                    r.broken);
    return !r.broken;
}

static bool
finds(raft_weakness weakness)
{
    return prop_finds(weakness, 3000, [=](uint64_t seed) {
        raft_history_desc desc = {};
        desc.seed = seed;
        desc.members = 3;
        desc.steps = 1500;
        desc.weakness = weakness;
        raft_history_result r = raft_history_run(&desc);
        return r.broken ? std::string("broken: ") + r.broken : "";
    });
}

int
main()
{
    setenv("RC_PARAMS", "seed=20261204 max_success=300", 0);
    if (bbm_hash_setup() < 0)
        return 1;
    bool good = rc::check("a control group keeps its promises", [] {
        raft_history_desc desc = {};
        desc.seed = *rc::gen::arbitrary<uint64_t>();
        desc.members = *rc::gen::element(3, 5);
        desc.steps = 1500;
        raft_history_result r = raft_history_run(&desc);
        add(r);
        if (r.broken)
            RC_FAIL(r.broken);
    });
    std::printf("proposed %d, acknowledged %d, reads %d, leaders %d; "
                "crashes %d, lost disks %d, freezes %d, cuts %d\n",
                total.proposed, total.acknowledged, total.reads, total.leaders,
                total.crashes, total.lost_disks, total.freezes, total.cuts);
    good = past_failures_pass() && good;
    bool seen = finds(RAFT_NO_LEASE);
    seen = finds(RAFT_NO_SYNC) && seen;
    seen = finds(RAFT_OLD_IDENTITY) && seen;
    return good && seen ? 0 : 1;
}
