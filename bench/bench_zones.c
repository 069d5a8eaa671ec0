/** @file
 *  Measures what VMs send each other, by kind of message and by zone, with
 *  and without the setting zone_relay (docs/design/zones.md).
 */
#include "news_world.h"

#include <stdio.h>

#define WINDOW_S 5

static const char *const kinds[BBM_TRAFFIC_COUNT] = {
    "control", "members", "rates", "listing", "loads", "totals", "origins",
};

static void
measure(bool zone_relay)
{
    news_world w;
    bbm_traffic before[BBM_TRAFFIC_COUNT];
    bbm_traffic after[BBM_TRAFFIC_COUNT];
    size_t sent[NEWS_VMS];
    size_t most[2] = {0};
    news_world_create(&w, zone_relay);
    int leader = fleet_leader(w.fleet);
    news_world_traffic(&w, before);
    for (int i = 0; i < NEWS_VMS; i++)
        sent[i] = fleet_sent_bytes(w.fleet, i);
    uint64_t age = 0;
    for (int i = 0; i < WINDOW_S * 20; i++) {
        news_world_run(&w, 50 * BBM_MS);
        uint64_t oldest = news_world_oldest_totals_ms(&w);
        age = oldest > age ? oldest : age;
    }
    news_world_traffic(&w, after);
    printf("zone_relay %d: kB/s in the zone, to other zones\n", zone_relay);
    for (size_t k = 0; k < BBM_TRAFFIC_COUNT; k++) {
        printf("  %-8s %8.1f %8.1f\n", kinds[k],
               (double)(after[k].in_zone - before[k].in_zone) / 1e3 / WINDOW_S,
               (double)(after[k].out_zone - before[k].out_zone) / 1e3
                   / WINDOW_S);
    }
    for (int i = 0; i < NEWS_VMS; i++) {
        size_t bytes = fleet_sent_bytes(w.fleet, i) - sent[i];
        size_t *max = &most[i >= NEWS_DISKS];
        if (i != leader && bytes > *max)
            *max = bytes;
    }
    printf("  leader %.1f kB/s; most of others with a disk %.1f, without "
           "%.1f; oldest totals %llu ms\n",
           (double)(fleet_sent_bytes(w.fleet, leader) - sent[leader]) / 1e3
               / WINDOW_S,
           (double)most[0] / 1e3 / WINDOW_S, (double)most[1] / 1e3 / WINDOW_S,
           (unsigned long long)age);
    news_world_destroy(&w);
}

int
main(void)
{
    measure(false);
    measure(true);
    return 0;
}
