/** @file
 *  Totals of the load and demand of VMs.
 *
 *  Several times per second each VM reports its open requests per upstream,
 *  its held requests, the upstreams that it suspects to have failed, and the
 *  demand of its customers.  Reports of the last 1.5 seconds are added up, and
 *  the sum has the form of a report itself: sums of some VMs go to the leader,
 *  which sends the totals of all to all.
 *
 *      bbm_loads *all = bbm_loads_create();
 *      bbm_loads_add_report(all, "vm-2", &reader, now);
 *                                     reads the output of bbm_gate_put_load
 *      bbm_loads_put_totals(all, now, &buf);
 *                                     writes the input of bbm_gate_get_totals
 */
#ifndef BBM_LOADS_H
#define BBM_LOADS_H

#include "bbm_format.h"
#include "bbm_pack.h"
#include "bbm_time.h"

/** Maximum number of rows of one kind in a message. */
#define BBM_LOADS_ROWS_MAX 8192

/** Kinds of statements of an upstream about its limit. */
typedef enum bbm_limit_kind {
    BBM_LIMIT_UNSTATED, /**< Nothing is known. */
    BBM_LIMIT_NONE,     /**< It states no limit any more. */
    BBM_LIMIT_SET,      /**< It states a limit. */
} bbm_limit_kind;

/** What an upstream has stated about the requests that it takes from all VMs
 *  together. */
typedef struct bbm_limit_statement {
    bbm_limit_kind kind;
    uint64_t run;        /**< Its run, in ms of calendar time plus 1. */
    uint32_t per_1000_s; /**< BBM_LIMIT_SET: requests per 1,000 seconds. */
    uint32_t age_ms;     /**< Time since the statement, in milliseconds. */
} bbm_limit_statement;

/** Load of an upstream: of one VM in a report, of all VMs in the totals. */
typedef struct bbm_load {
    uint64_t upstream;       /**< Hash of the upstream's id. */
    uint32_t open_requests;  /**< Requests sent there that haven't ended. */
    uint32_t backlog_tokens; /**< Prompt tokens that it must still process:
                                  those not cached there, of open requests
                                  whose answers haven't begun. */
    uint32_t memory_tokens;  /**< KV cache memory that the open requests may
                                  need: their prompt tokens and output
                                  limits. */
    uint32_t suspecting_vms; /**< Number of VMs that suspect it to have failed;
                                  0 or 1 in a report. */
    uint32_t answered_vms;   /**< Number of VMs that it has answered within the
                                  last second; 0 or 1 in a report. */
    uint32_t paused_vms; /**< Number of VMs that it asked for no requests for a
                              while; 0 or 1 in a report. */
    uint64_t leaving_run; /**< Highest start time, in ms of calendar time plus
                               1, at which it has stated that it leaves; 0:
                               never. */
    bbm_limit_statement limit; /**< The latest one that a VM has received. */
} bbm_load;

/** Demand of a customer, from bbm_shares_demand. */
typedef struct bbm_demand {
    uint64_t customer;   /**< Hash of the customer's name. */
    uint64_t long_term;  /**< Tokens per second, smoothed over some seconds. */
    uint64_t short_term; /**< The same over about one second. */
    uint64_t spent;      /**< Tokens that all VMs have used and the rate has
                              not refilled, plus 1; 0: unknown.  The highest
                              estimate in a total. */
} bbm_demand;

/** Append a load row. */
void bbm_load_put(bbm_buf *buf, const bbm_load *l);
/** Read a load row; malformed input sets the reader's error. */
void bbm_load_get(bbm_reader *rd, bbm_load *l);

/** Append a demand row. */
void bbm_demand_put(bbm_buf *buf, const bbm_demand *d);
/** Read a demand row; malformed input sets the reader's error. */
void bbm_demand_get(bbm_reader *rd, bbm_demand *d);

/** The latest report of each VM; opaque. */
typedef struct bbm_loads bbm_loads;

/** Create a collection without reports. */
bbm_loads *bbm_loads_create(void);
/** Destroy a collection; NULL is allowed. */
void bbm_loads_destroy(bbm_loads *all);
/** Replace a VM's report, or sum of reports.  Malformed input sets the
 * reader's error and removes the VM. */
void bbm_loads_add_report(bbm_loads *all, const char *vm, bbm_reader *rd,
                          bbm_time now);
/** Append the totals of the recent reports.  VMs without a recent report are
 *  removed. */
void bbm_loads_put_totals(bbm_loads *all, bbm_time now, bbm_buf *buf);

/** Read a report, or totals, in one format and append it in another.  What the
 *  format that is read lacks gets its default.  Malformed input sets the
 *  reader's error. */
void bbm_loads_convert(bbm_reader *rd, bbm_format from, bbm_format to,
                       bbm_buf *buf);

#endif
