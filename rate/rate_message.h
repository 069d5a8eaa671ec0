/** @file
 *  Encoding of reports and grants (private).
 */
#ifndef RATE_MESSAGE_H
#define RATE_MESSAGE_H

#include "bbm_rate.h"

/** Limit of the rows in one message. */
#define RATE_ROWS_MAX 4096
/** Default of bbm_rate_desc.lease. */
#define RATE_LEASE_NS (5 * BBM_SECOND)
/** Default of bbm_rate_desc.reclaim_after. */
#define RATE_RECLAIM_NS (15 * BBM_SECOND)

/** One customer in a report. */
typedef struct rate_report_row {
    char customer[BBM_NAME_SIZE];
    uint64_t generation; /**< Of the owner's holding; 0: no grant yet. */
    uint64_t seq;        /**< Last grant applied in the generation; 0: none. */
    double capacity;     /**< Tokens; at least level plus reserved tokens. */
    double rate;         /**< Refill, tokens per second. */
    double returned_total; /**< Tokens returned in the run. */
    double level;          /**< Tokens that can be reserved now. */
    double demand;         /**< Tokens requested per second. */
    double shortfall;      /**< Tokens that waiting requests lack. */
} rate_report_row;

/** A report from a holder to the owner. */
typedef struct rate_report {
    uint64_t epoch;           /**< Of the owner addressed. */
    char node[BBM_NAME_SIZE]; /**< Holder. */
    uint64_t run;             /**< Run of the holder. */
    bbm_time sent_at;         /**< By the holder's clock. */
    rate_report_row *rows;    /**< Owned. */
    size_t len;               /**< Number of rows. */
} rate_report;

/** One customer in a grant. */
typedef struct rate_grant_row {
    char customer[BBM_NAME_SIZE];
    uint64_t generation;   /**< Of the owner's holding. */
    uint64_t seq;          /**< Number of the grant in the generation. */
    double capacity;       /**< New capacity, tokens. */
    double rate;           /**< New refill, tokens per second. */
    double granted_total;  /**< Tokens granted in the generation. */
    double recalled_total; /**< Tokens recalled in the generation. */
} rate_grant_row;

/** A grant from the owner to a holder. */
typedef struct rate_grant {
    uint64_t epoch;        /**< Of the owner. */
    uint64_t run;          /**< Run of the holder addressed. */
    bbm_time holder_clock; /**< `sent_at` of the last report received from the
                                holder; the lease starts there. */
    rate_grant_row *rows;  /**< Owned. */
    size_t len;            /**< Number of rows. */
} rate_grant;

/** Append a report to @p buf. */
void rate_report_encode(const rate_report *r, bbm_buf *buf);
/** Decode a report; on success the caller frees `rows`.  BBM_ERR_DECODE. */
int rate_report_decode(const uint8_t *data, size_t len, rate_report *r);
/** Append a grant to @p buf. */
void rate_grant_encode(const rate_grant *g, bbm_buf *buf);
/** Decode a grant; on success the caller frees `rows`.  BBM_ERR_DECODE. */
int rate_grant_decode(const uint8_t *data, size_t len, rate_grant *g);

#endif
