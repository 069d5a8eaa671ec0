/** @file
 *  Whether a request leaves the availability zone of its VM, and how many do.
 *
 *  Designed for zones whose own upstreams are at times too few, slow or gone,
 *  while traffic between zones is slower and costs money per byte, and for
 * many VMs that decide on the same news of load, 0.1 to 0.4 s old.
 *
 *  A request leaves if its best upstream elsewhere is expected to begin the
 *  answer sooner than the best one in the zone, by more than the cost of
 *  leaving.  What leaves only because the zone is busy is bounded:
 *
 *  - It goes to zones whose wait is shorter than this zone's by more than the
 *    cost of leaving.  With the same news no two zones send to each other, and
 *    the waits are smoothed over longer than news takes to arrive, so that the
 *    direction doesn't change with each of them.
 *  - Each VM may use its part of what those zones can still take.  A part that
 *    is smaller than a request allows it with that probability, so that VMs
 *    with the same news don't all send, or all stay.
 *
 *  A request whose zone has no upstream for it isn't bounded, nor one whose
 *  prompt is cached elsewhere, where that alone is worth the cost of leaving:
 *  it would go there at any load.
 *
 *      bbm_zones zones = {0};
 *      bbm_zones_update(&zones, &news, now);         with each news of load
 *      bbm_zones_verdict v = bbm_zones_decide(&zones, &question, now);
 *      if (v.leaves) ...
 *
 *  Pure: the caller passes in the time and random numbers.
 */
#ifndef BBM_ZONES_H
#define BBM_ZONES_H

#include "bbm_mem.h"
#include "bbm_time.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Time for which a zone counts as cut off after a failed connection; then the
 *  next requests try it again.  A try costs each VM two requests a connection
 *  timeout, while staying costs some prefill.  Of a zone cut off for 4 s,
 *  0.63 to 0.92 of the requests begin in time, with 3 s 0.62 to 0.90. */
#define BBM_ZONES_CUT_TIME (10 * BBM_SECOND)
/** Maximum number of zones; further ones give no room. */
#define BBM_ZONES_MAX 16

/** Cost of traffic between zones; all zero: a constant cost, and no bound. */
typedef struct bbm_zones_price {
    double delay_ms; /**< Added delay of a request, both ways. */
    double byte_ms;  /**< Delay accepted to keep a megabyte in the zone. */
} bbm_zones_price;

/** True if a price is set. */
bool bbm_zones_is_priced(const bbm_zones_price *p);
/** Expected bytes of a request and its answer.
 *  @param events Expected number of events of the answer. */
double bbm_zones_bytes(double prompt_tokens, double events);
/** Cost of sending that many bytes to another zone and back, in ms. */
double bbm_zones_leave_ms(const bbm_zones_price *p, double bytes);

/** Why a request leaves, or stays although an upstream elsewhere is better. */
typedef enum bbm_zones_cause {
    BBM_ZONES_STAYS,    /**< The zone is as good. */
    BBM_ZONES_NONE,     /**< Leaves: the zone has no upstream for it. */
    BBM_ZONES_CACHED,   /**< Leaves: more of its prompt is cached elsewhere. */
    BBM_ZONES_FULL,     /**< Leaves: the zone's upstreams are full. */
    BBM_ZONES_SLOW,     /**< Leaves: the zone's upstreams are slower. */
    BBM_ZONES_NO_ROOM,  /**< Stays: the others can't take more. */
    BBM_ZONES_UNPRICED, /**< Leaves: it costs less; leaving has no price. */
    BBM_ZONES_CAUSES,   /**< Number of causes. */
} bbm_zones_cause;

/** Requests that were sent to upstreams, by cause. */
typedef struct bbm_zones_counts {
    uint64_t requests[BBM_ZONES_CAUSES];
    uint64_t bytes[BBM_ZONES_CAUSES];  /**< Of requests and answers,
                                            expected. */
    uint64_t tokens[BBM_ZONES_CAUSES]; /**< Of prompts. */
} bbm_zones_counts;

/** Load of a zone's upstreams of one pool. */
typedef struct bbm_zones_load {
    uint64_t zone;    /**< Hash of its name. */
    size_t upstreams; /**< That may get requests. */
    double wait_ms;   /**< Mean wait there. */
    double room;      /**< Work that they can take without making their own
                           requests late, in the unit of
                           bbm_zones_question::work. */
    size_t unreached; /**< Upstreams to which the last connection of this VM
                           failed within BBM_ZONES_CUT_TIME. */
    bbm_time unreached_at; /**< Latest of these failures; 0: none. */
    bbm_time answered_at;  /**< Latest answer to this VM; 0: none. */
} bbm_zones_load;

/** News of the load. */
typedef struct bbm_zones_news {
    const bbm_zones_load *zones;
    size_t zones_len;
    uint64_t own;    /**< Hash of the name of this VM's zone. */
    size_t zone_vms; /**< VMs of this zone, this one included. */
    bool fresh;      /**< News of other VMs arrives. */
} bbm_zones_news;

/** State; all zero at the start. */
typedef struct bbm_zones {
    struct {
        uint64_t zone;
        double wait_ms; /**< Smoothed. */
        double room;
        bool present;
        bool cut; /**< This VM doesn't reach it. */
    } rows[BBM_ZONES_MAX];
    size_t rows_len;
    uint64_t own;
    size_t zone_vms;
    double allowance;    /**< Work that this VM may still send away. */
    bbm_time updated_at; /**< Last update; 0: none. */
    bbm_time fresh_at;   /**< Last update by fresh news. */
} bbm_zones;

/** Take in news of the load. */
void bbm_zones_update(bbm_zones *z, const bbm_zones_news *news, bbm_time now);

/** True if this VM reaches no upstream of another zone, as far as is known:
 *  connections to two of its upstreams, or to two of all other zones, failed,
 *  and none there answered since. */
bool bbm_zones_is_cut(const bbm_zones *z, uint64_t zone);

/** A request's best upstreams. */
typedef struct bbm_zones_question {
    bool has_own;        /**< There is one in the zone. */
    bool own_full;       /**< It is full. */
    bool has_other;      /**< There is one elsewhere, which isn't full. */
    double own_ms;       /**< Expected time to the answer. */
    double other_ms;     /**< The same, with the cost of leaving. */
    double cached_ms;    /**< Part of the difference that is due to what the
                              other has cached, or as the home of the chain
                              should have. */
    double leave_ms;     /**< Cost of leaving, which is in other_ms. */
    uint64_t other_zone; /**< Hash of the name of the other's zone. */
    double work;         /**< What the request takes there. */
    double random;       /**< 0 to 1. */
} bbm_zones_question;

/** The decision. */
typedef struct bbm_zones_verdict {
    bool leaves;
    bbm_zones_cause cause;
} bbm_zones_verdict;

/** Decide on a request.  One that leaves because the zone is busy uses up some
 *  of this VM's allowance.  If that is smaller than the request, it is used up
 *  whatever the outcome, so that on average no more leaves than it allows. */
bbm_zones_verdict bbm_zones_decide(bbm_zones *z, const bbm_zones_question *q);
/** A word for the log. */
const char *bbm_zones_cause_text(bbm_zones_cause cause);

#endif
