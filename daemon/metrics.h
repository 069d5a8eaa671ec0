/** @file
 *  Metrics in the Prometheus text format.
 */
#ifndef METRICS_H
#define METRICS_H

#include "bbm_node.h"
#include "memory_budget.h"
#include "transport.h"

/** Append all metrics to @p out.  @p memory may be NULL. */
void metrics_write(const bbm_node_counts *counts,
                   const transport_counts *links, const memory_budget *memory,
                   bbm_buf *out);

#endif
