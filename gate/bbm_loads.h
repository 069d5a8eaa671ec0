/** @file
 *  Totals of the load and demand of all VMs, computed by the leader.
 *
 *  A few times per second each VM reports its open requests per upstream,
 *  the upstreams that it suspects, and the demand of its customers.  The
 *  leader adds up the recent reports and sends the totals to all VMs.
 *
 *      bbm_loads *all = bbm_loads_create();
 *      bbm_loads_add_report(all, "vm-2", &reader, now);
 *                                     input: from bbm_gate_put_load
 *      bbm_loads_put_totals(all, now, &buf);
 *                                     output: for bbm_gate_get_totals
 */
#ifndef BBM_LOADS_H
#define BBM_LOADS_H

#include "bbm_pack.h"
#include "bbm_time.h"

/** Maximum number of rows of one kind in a message. */
#define BBM_LOADS_ROWS_MAX 8192

/** Load of an upstream. */
typedef struct bbm_load {
    uint64_t upstream;       /**< Hash of the upstream's id. */
    uint32_t open_requests;  /**< Open requests. */
    uint32_t unread_tokens;  /**< Uncached prompt tokens of the open requests
                                  whose answers haven't begun. */
    uint32_t memory_tokens;  /**< Prompt and output tokens of all open
                                  requests. */
    uint32_t suspecting_vms; /**< Number of VMs that suspect the upstream. */
} bbm_load;

/** Demand of a customer. */
typedef struct bbm_demand {
    uint64_t customer;   /**< Hash of the customer's name. */
    uint64_t long_term;  /**< Tokens per second, smoothed. */
    uint64_t short_term; /**< Same, smoothed over a shorter time. */
} bbm_demand;

/** Append a row. */
void bbm_load_put(bbm_buf *buf, const bbm_load *l);
/** Read a row; malformed input sets the reader's error. */
void bbm_load_get(bbm_reader *rd, bbm_load *l);

/** Append a row. */
void bbm_demand_put(bbm_buf *buf, const bbm_demand *d);
/** Read a row; malformed input sets the reader's error. */
void bbm_demand_get(bbm_reader *rd, bbm_demand *d);

/** The latest report of each VM; opaque. */
typedef struct bbm_loads bbm_loads;

/** Create it without reports. */
bbm_loads *bbm_loads_create(void);
/** Destroy it; NULL is allowed. */
void bbm_loads_destroy(bbm_loads *all);
/** Replace a VM's report.  Malformed input sets the reader's error and
 *  removes the VM. */
void bbm_loads_add_report(bbm_loads *all, const char *vm, bbm_reader *rd,
                          bbm_time now);
/** Append the totals of the recent reports.  VMs without a recent report are
 *  removed. */
void bbm_loads_put_totals(bbm_loads *all, bbm_time now, bbm_buf *buf);

#endif
