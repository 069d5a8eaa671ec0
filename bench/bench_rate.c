/** @file
 *  Requests that the rate limiter refuses although the customer is within
 *  its rate, in seeded histories; one row for each fault and load.  The
 *  bounds are the stated targets for a demand within the rate: 0.1% without
 *  a fault, 1% during a single fault.
 */
#include "bbm_hash.h"
#include "rate_history.h"

#include <stdio.h>
#include <stdlib.h>

#define HISTORIES_COUNT 8
#define HISTORY_S 120
#define HOLDERS_COUNT 10
#define BURST_S 10

typedef struct bench_case {
    const char *name;
    rate_faults faults;
    double load;               /* demand in multiples of the rate */
    double wrongful_share_max; /* of the requests; 0: no stated target */
} bench_case;

static const bench_case cases[] = {
    {"no fault, half the rate", RATE_FAULTS_NONE, 0.5, 0.001},
    {"no fault, 80% of the rate", RATE_FAULTS_NONE, 0.8, 0.001},
    {"no fault, 3 times the rate", RATE_FAULTS_NONE, 3, 0},
    {"no fault, 10 times the rate", RATE_FAULTS_NONE, 10, 0},
    {"owner lost, 80%", RATE_FAULTS_OWNER, 0.8, 0.01},
    {"holder restarts, 80%", RATE_FAULTS_HOLDER, 0.8, 0.01},
    {"network, 80%", RATE_FAULTS_NETWORK, 0.8, 0.01},
    {"all faults at once, 80%", RATE_FAULTS_ALL, 0.8, 0},
};

int
main(void)
{
    const char *text = getenv("SEED");
    uint64_t seed = text ? strtoull(text, NULL, 10) : 1;
    int met = 0;
    int missed = 0;
    if (bbm_hash_setup() < 0)
        return 1;
    printf("%-28s %9s %9s %10s %9s %12s %8s\n", "WORKLOAD", "REQUESTS",
           "REFUSED", "WRONGFUL", "SHARE", "BYTES/S/VM", "BOUND");
    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        rate_history_result sum = {0};
        for (int h = 0; h < HISTORIES_COUNT; h++) {
            rate_history_result r = rate_history_run(&(rate_history_desc){
                .seed = seed + (uint64_t)h,
                .holders = HOLDERS_COUNT,
                .load = cases[i].load,
                .seconds = HISTORY_S,
                .burst_s = BURST_S,
                .faults = cases[i].faults,
            });
            sum.requests += r.requests;
            sum.refused += r.refused;
            sum.wrongful += r.wrongful;
            sum.bytes += r.bytes;
            sum.broken = sum.broken || r.broken;
        }
        double share = (double)sum.wrongful / (double)sum.requests;
        double bytes_per_s =
            (double)sum.bytes / HISTORIES_COUNT / HISTORY_S / HOLDERS_COUNT;
        bool is_met = !sum.broken
                      && (cases[i].wrongful_share_max <= 0
                          || share <= cases[i].wrongful_share_max);
        met += is_met;
        missed += !is_met;
        printf("%-28s %9lld %9lld %10lld %8.3f%% %12.0f %8s%s\n",
               cases[i].name, (long long)sum.requests, (long long)sum.refused,
               (long long)sum.wrongful, share * 100, bytes_per_s,
               cases[i].wrongful_share_max <= 0 ? "-"
                                                : (is_met ? "met" : "MISSED"),
               sum.broken ? " RATE BROKEN" : "");
    }
    printf("%d bounds met, %d missed\n", met, missed);
    return missed ? 1 : 0;
}
