/** @file
 *  Metrics in the Prometheus text format.
 */
#ifndef METRICS_H
#define METRICS_H

#include "bbm_node.h"

/** Append all metrics to @p out.  @p rejected counts the messages that could
 *  not be decrypted. */
void metrics_write(const bbm_node_counts *counts, uint64_t rejected,
                   bbm_buf *out);

#endif
