/** @file
 *  Load and demand of all VMs, added up by the leader.
 *
 *  Each VM tells a few times a second what it has open at which upstream,
 *  which upstreams it suspects and what its customers ask for.  The leader
 *  adds up what it heard lately and tells the sums to all.
 *
 *      bbm_loads *all = bbm_loads_create();
 *      bbm_loads_add_report(all, "vm-2", &reader, now);   from
 * bbm_gate_put_load bbm_loads_put_totals(all, now, &buf);               for
 * bbm_gate_get_totals
 */
#ifndef BBM_LOADS_H
#define BBM_LOADS_H

#include "bbm_pack.h"
#include "bbm_time.h"

/** Rows of one kind in a message. */
#define BBM_LOADS_ROWS_MAX 8192

/** What is open at an upstream. */
typedef struct bbm_load {
    uint64_t upstream;       /**< Hash of its id. */
    uint32_t open_requests;  /**< Requests. */
    uint32_t unread_tokens;  /**< Their prompt tokens without an answer yet. */
    uint32_t memory_tokens;  /**< Their tokens in all. */
    uint32_t suspecting_vms; /**< VMs that suspect it. */
} bbm_load;

/** What a customer asks for. */
typedef struct bbm_demand {
    uint64_t customer;   /**< Hash of the name. */
    uint64_t long_term;  /**< Tokens per second, smoothed. */
    uint64_t short_term; /**< The same over a shorter time. */
} bbm_demand;

/** Append a row. */
void bbm_load_put(bbm_buf *buf, const bbm_load *l);
/** Read a row; sets the reader's error. */
void bbm_load_get(bbm_reader *rd, bbm_load *l);

/** Append a row. */
void bbm_demand_put(bbm_buf *buf, const bbm_demand *d);
/** Read a row; sets the reader's error. */
void bbm_demand_get(bbm_reader *rd, bbm_demand *d);

/** The leader's sums; opaque. */
typedef struct bbm_loads bbm_loads;

/** Without VMs. */
bbm_loads *bbm_loads_create(void);
/** Release; NULL is allowed. */
void bbm_loads_destroy(bbm_loads *all);
/** A VM's report came in; sets the reader's error. */
void bbm_loads_add_report(bbm_loads *all, const char *vm, bbm_reader *rd,
                          bbm_time now);
/** Append the sums of what was heard lately; VMs that fell silent are
 *  forgotten. */
void bbm_loads_put_totals(bbm_loads *all, bbm_time now, bbm_buf *buf);

#endif
