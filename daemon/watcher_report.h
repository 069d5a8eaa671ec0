/** @file
 *  Reading a runner's report (private; also the fuzzers').
 */
#ifndef WATCHER_REPORT_H
#define WATCHER_REPORT_H

#include "bbm_node.h"

/** Events that one report may carry. */
#define REPORT_EVENTS_MAX 200000

/** Read the JSON text of docs/UPSTREAM.md.  *events is to be freed; the
 *  report points to it.  BBM_ERR_DECODE. */
int watcher_report_parse(const char *text, size_t len, bbm_report *report,
                         bbm_cache_event **events);

#endif
