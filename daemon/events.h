/** @file
 *  Whole events of an event stream, cut out of bytes that come in any pieces.
 *
 *      event_splitter c = {0};
 *      size_t n = event_splitter_append(&c, data, len);    bytes that are whole
 *      write(c.bytes.data, n); event_splitter_consume(&c, n);
 *      ... c.last_id is the id of the last of them ...
 *      event_splitter_free(&c);
 */
#ifndef EVENTS_H
#define EVENTS_H

#include "bbm_gate.h"

/** Bytes of events that are not whole yet. */
typedef struct event_splitter {
    bbm_buf bytes;                   /**< Not dropped yet. */
    char last_id[BBM_EVENT_ID_SIZE]; /**< Of the last whole event. */
} event_splitter;

/** Add bytes; returns how many at the front belong to whole events. */
size_t event_splitter_append(event_splitter *c, const char *data, size_t len);
/** Forget bytes at the front. */
void event_splitter_consume(event_splitter *c, size_t len);
/** Release. */
void event_splitter_free(event_splitter *c);

#endif
