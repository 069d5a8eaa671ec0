/** @file
 *  Load rows and news of VMs in a message: what reports and totals carry
 *  (private).
 *
 *  Inside a VM both are in the latest format.  A message is in that of its
 *  receiver.
 */
#ifndef NODE_REPORT_H
#define NODE_REPORT_H

#include "node_core.h"

/** Load rows and news of a message, in the latest format. */
typedef struct node_report {
    bbm_bytes rows;         /**< As bbm_loads_put_totals writes them; empty in
                                 totals: none. */
    bbm_bytes groups;       /**< Of a VM's name and its news. */
    size_t groups_len;      /**< Number of groups. */
    bbm_buf converted_rows; /**< Owned; used if the message was of another
                                 format. */
    bbm_buf converted_groups; /**< The same. */
} node_report;

/** Releases what a report owns. */
void node_report_free(node_report *r);
/** Declares a report that is released at the end of its scope. */
#define NODE_AUTO_REPORT __attribute__((cleanup(node_report_free))) node_report

/** Reads the rest of a message; false if it is malformed.  The report refers
 *  to the message.  In totals (@p boxed) the rows are a byte string, which may
 *  be empty.  If the message doesn't say its format, all are tried, and one
 *  that is the only one to fit is recorded as the sender's. */
bool node_report_read(bbm_node *n, const char *from, const bbm_reader *rd,
                      bool boxed, node_report *r);

/** Appends rows in a format. */
void node_report_put_rows(bbm_buf *buf, bbm_bytes rows, bbm_format format);
/** Appends the number of groups and the groups in a format. */
void node_report_put_groups(bbm_buf *buf, size_t len, bbm_bytes groups,
                            bbm_format format);

#endif
