// Checks in seeded histories with faults that all VMs together stay within a
// customer's rate and burst in every window, and that the check detects each
// weakness.

#include "rate_history.h"
#include "prop_finds.h"

extern "C" {
#include "bbm_hash.h"
}

#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <rapidcheck.h>

static rate_history_result total;

static bool
finds(rate_weakness weakness)
{
    return prop_finds(weakness, 1000, [=](uint64_t seed) {
        rate_history_desc desc = {};
        desc.seed = seed;
        desc.holders = 4;
        desc.load = 3;
        desc.seconds = 60;
        desc.phases = true;
        desc.burst_s = seed % 2 ? 2 : 10;
        desc.faults = RATE_FAULTS_ALL;
        desc.weakness = weakness;
        rate_history_result r = rate_history_run(&desc);
        return r.broken ? std::to_string(std::lround(r.surplus_tokens))
                              + " tokens above the bound"
                        : "";
    });
}

int
main()
{
    setenv("RC_PARAMS", "seed=20261204 max_success=2000", 0);
    if (bbm_hash_setup() < 0)
        return 1;
    bool good = rc::check("rate and burst hold over all windows", [] {
        rate_history_desc desc = {};
        desc.seed = *rc::gen::arbitrary<uint64_t>();
        desc.holders = *rc::gen::inRange(2, 11);
        desc.load = *rc::gen::element(0.5, 1.0, 3.0, 10.0);
        desc.seconds = 40;
        desc.burst_s = *rc::gen::element(2.0, 10.0);
        desc.phases = *rc::gen::arbitrary<bool>();
        desc.faults = RATE_FAULTS_ALL;
        rate_history_result r = rate_history_run(&desc);
        total.requests += r.requests;
        total.refused += r.refused;
        total.faults += r.faults;
        if (r.broken)
            RC_FAIL("more ran than burst and rate allow");
    });
    std::printf("requests %lld, refused %lld, faults %d\n",
                (long long)total.requests, (long long)total.refused,
                total.faults);
    bool seen = finds(RATE_NO_RESERVE);
    seen = finds(RATE_NO_LEDGER) && seen;
    seen = finds(RATE_NO_RECLAIM_TIME) && seen;
    return good && seen ? 0 : 1;
}
