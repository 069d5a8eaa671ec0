// Checks the invariants of a fleet of nodes in seeded histories with faults,
// and that each check can fail.

#include "node_history.h"
#include "prop_finds.h"

extern "C" {
#include "bbm_hash.h"
}

#include <cstdio>
#include <cstdlib>
#include <rapidcheck.h>

static node_history_result total;

static bool
finds(node_weakness weakness)
{
    return prop_finds(weakness, 150, [=](uint64_t seed) {
        node_history_result r = node_history_run(seed, 4000, weakness);
        return r.violation ? std::string("violated: ") + r.violation : "";
    });
}

int
main()
{
    setenv("RC_PARAMS", "seed=20261204 max_success=60", 0);
    if (bbm_hash_setup() < 0)
        return 1;
    bool good = rc::check("a fleet keeps its invariants", [] {
        uint64_t seed = *rc::gen::arbitrary<uint64_t>();
        node_history_result r = node_history_run(seed, 4000, NODE_SOUND);
        total.bookings += r.bookings;
        total.runs += r.runs;
        total.not_run += r.not_run;
        total.publishes += r.publishes;
        total.keys_withdrawn += r.keys_withdrawn;
        total.crashes += r.crashes;
        total.freezes += r.freezes;
        total.isolations += r.isolations;
        if (r.violation)
            RC_FAIL(r.violation);
    });
    std::printf("bookings requested %d, run %d, reported as not run %d; "
                "publishes %d; "
                "keys withdrawn %d; crashes %d, freezes %d, isolations %d\n",
                total.bookings, total.runs, total.not_run, total.publishes,
                total.keys_withdrawn, total.crashes, total.freezes,
                total.isolations);
    bool found = finds(NODE_NO_CLAIM);
    found = finds(NODE_STALE_KEYS) && found;
    return good && found ? 0 : 1;
}
