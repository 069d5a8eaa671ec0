/** @file
 *  A fleet of VMs in several zones under the load of upstreams that differ, in
 *  virtual time: what the VMs send each other, and how old their totals are.
 *
 *  63 VMs in 4 zones, 90 runners and 4 upstreams for plain calls, 600 requests
 *  per second.  Every 4th VM is in the same zone; the first 7 have a disk.
 */
#ifndef NEWS_WORLD_H
#define NEWS_WORLD_H

#include "fleet.h"

#define NEWS_VMS 63
#define NEWS_ZONES 4
#define NEWS_DISKS 7

/** An attempt that waits for its answer. */
typedef struct news_attempt {
    int node;
    uint64_t request;
    uint32_t number;
    bool has_head;
    bbm_time due_at;
} news_attempt;

/** The world. */
typedef struct news_world {
    fleet *fleet;
    bool lists[NEWS_VMS];   /* the VM has asked for the listing */
    bool crashed[NEWS_VMS]; /* gets no requests */
    bbm_rng rng;
    uint64_t requests;
    news_attempt *attempts;
    size_t len;
    size_t cap;
} news_world;

/** Create it and run it until the totals arrive. */
void news_world_create(news_world *w, bool zone_relay);
void news_world_destroy(news_world *w);
/** Let time pass under load. */
void news_world_run(news_world *w, bbm_time span);
/** Age of the oldest totals of a running VM, in ms. */
uint64_t news_world_oldest_totals_ms(const news_world *w);
/** Bytes sent so far by all running VMs, by kind. */
void news_world_traffic(const news_world *w,
                        bbm_traffic sum[BBM_TRAFFIC_COUNT]);

#endif
