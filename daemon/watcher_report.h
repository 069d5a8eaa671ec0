/** @file
 *  Parser of an engine's report.  Private to the watcher; in a header of its
 *  own for the fuzzers.
 */
#ifndef WATCHER_REPORT_H
#define WATCHER_REPORT_H

#include "bbm_node.h"

/** Cache events in one report, maximum. */
#define REPORT_EVENTS_MAX 200000

/** Parse the JSON text that docs/UPSTREAM.md describes.  The caller frees
 *  *@p events, to which the report points.  BBM_ERR_DECODE if the text is not
 *  valid; *@p events is NULL then. */
int watcher_report_parse(const char *text, size_t len, bbm_report *report,
                         bbm_cache_event **events);

#endif
