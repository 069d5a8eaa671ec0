/** @file
 *  What a VM has seen of the two builds of a release: counts of answers,
 *  failures and latencies by upstream and route.
 *
 *  All counts grow from the moment at which the VM learned of the order, so a
 *  report that is lost changes nothing once the next one arrives.  Latencies
 *  are kept in buckets whose limits grow by the square root of two.
 *
 *      bbm_evidence e = {0};
 *      bbm_evidence_add(&e, upstream, route, true, false, 30 * BBM_MS);
 *      bbm_evidence_put(&buf, &e);
 */
#ifndef BBM_EVIDENCE_H
#define BBM_EVIDENCE_H

#include "bbm_pack.h"
#include "bbm_releases.h"
#include "bbm_time.h"

/** Number of latency buckets: up to 1 ms, 1.4 ms, 2 ms ...; the last one is
 *  for 8 s and more. */
#define BBM_EVIDENCE_BUCKETS 28
/** Maximum number of rows; further pairs of upstream and route are left
 *  out. */
#define BBM_EVIDENCE_ROWS_MAX 256

/** Counts of one upstream on one route. */
typedef struct bbm_evidence_row {
    uint64_t upstream; /**< Hash of its id. */
    uint64_t route;    /**< Hash of the route's name. */
    bool is_new;       /**< It is of the build that is released. */
    uint32_t failures; /**< Attempts that failed. */
    uint32_t answers[BBM_EVIDENCE_BUCKETS]; /**< Answers by latency. */
} bbm_evidence_row;

/** A VM's evidence about a release; zeroed: none. */
typedef struct bbm_evidence {
    uint64_t serial;         /**< The release. */
    uint64_t age_ms;         /**< Its age, as far as this VM knows. */
    uint64_t step;           /**< Step that this VM applies. */
    bbm_release_stage stage; /**< Stage of that step. */
    uint64_t requests;       /**< Requests of clients to the pool. */
    uint64_t sends;          /**< Attempts at the released build. */
    uint64_t old_open;       /**< Attempts that run at other builds. */
    bbm_evidence_row *rows;  /**< Owned. */
    size_t rows_len;         /**< Number of rows. */
    size_t rows_cap;         /**< Allocated number. */
} bbm_evidence;

/** Free the rows; the evidence is empty afterwards. */
void bbm_evidence_free(bbm_evidence *e);
/** Bucket of a latency. */
size_t bbm_evidence_bucket(bbm_time latency);
/** Count an attempt that failed, or was answered after @p latency. */
void bbm_evidence_add(bbm_evidence *e, uint64_t upstream, uint64_t route,
                      bool is_new, bool failed, bbm_time latency);
/** Append encoded evidence. */
void bbm_evidence_put(bbm_buf *buf, const bbm_evidence *e);
/** Read it into a zeroed one; malformed input sets the reader's error. */
void bbm_evidence_get(bbm_reader *rd, bbm_evidence *e);

#endif
