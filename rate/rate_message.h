/** @file
 *  Reports and grants (private).
 */
#ifndef RATE_MESSAGE_H
#define RATE_MESSAGE_H

#include "bbm_rate.h"

/** Rows that one message may carry. */
#define RATE_ROWS_MOST 4096
/** Default lease of a holder. */
#define RATE_LEASE (5 * BBM_SECOND)
/** Default patience of the owner. */
#define RATE_RECLAIM (15 * BBM_SECOND)

/** One customer in a report. */
typedef struct rate_report_row {
    char customer[BBM_NAME_SIZE]; /**< Whose. */
    uint64_t life;   /**< Of the holding at the owner; 0: none yet. */
    uint64_t seq;    /**< Last grant taken, in the epoch. */
    double capacity; /**< Held: never less than level and reserved. */
    double rate;     /**< Held. */
    double returned; /**< Tokens given back in this run, in all. */
    double level;    /**< Tokens that may be taken there now. */
    double demand;   /**< Tokens asked for, per second. */
    double want;     /**< Tokens that are short now. */
} rate_report_row;

/** A report. */
typedef struct rate_report {
    uint64_t epoch;           /**< Owner that it is for. */
    char node[BBM_NAME_SIZE]; /**< Holder. */
    uint64_t run;             /**< Its run. */
    bbm_time sent;            /**< By its clock. */
    rate_report_row *rows;    /**< Owned. */
    size_t len;               /**< Rows. */
} rate_report;

/** One customer in a grant. */
typedef struct rate_grant_row {
    char customer[BBM_NAME_SIZE]; /**< Whose. */
    uint64_t life;   /**< Of the holding: its totals begin with it. */
    uint64_t seq;    /**< Number in this life. */
    double capacity; /**< From now on. */
    double rate;     /**< From now on. */
    double add;      /**< Tokens given in this life, in all. */
    double take;     /**< Tokens asked back in this life, in all. */
} rate_grant_row;

/** A grant. */
typedef struct rate_grant {
    uint64_t epoch;       /**< Owner that it is from. */
    uint64_t run;         /**< Holder's run. */
    bbm_time echo;        /**< The holder's clock in its last report. */
    rate_grant_row *rows; /**< Owned. */
    size_t len;           /**< Rows. */
} rate_grant;

/** Append a report. */
void rate_report_encode(const rate_report *r, bbm_buf *buf);
/** Read a report; rows are to be freed. */
int rate_report_decode(const uint8_t *data, size_t len, rate_report *r);
/** Append a grant. */
void rate_grant_encode(const rate_grant *g, bbm_buf *buf);
/** Read a grant; rows are to be freed. */
int rate_grant_decode(const uint8_t *data, size_t len, rate_grant *g);

#endif
