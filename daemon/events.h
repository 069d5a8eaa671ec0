/** @file
 *  Splits a server-sent event stream that arrives in pieces of any length, so
 *  that only complete events are passed on.
 *
 *      event_splitter sp = {0};
 *      size_t n = event_splitter_append(&sp, data, len);
 *      write(sp.bytes.data, n);           n bytes of complete events
 *      event_splitter_consume(&sp, n);
 *      ... sp.last_id is the id of the last complete event ...
 *      event_splitter_free(&sp);
 */
#ifndef EVENTS_H
#define EVENTS_H

#include "bbm_gate.h"

/** Bytes that were appended and not consumed yet. */
typedef struct event_splitter {
    bbm_buf bytes;
    char last_id[BBM_EVENT_ID_SIZE]; /**< Id of the last complete event that
                                          had one; "": none had. */
} event_splitter;

/** Append bytes.  Returns the length of the complete events at the front of
 *  @p sp->bytes. */
size_t event_splitter_append(event_splitter *sp, const char *data, size_t len);
/** Remove @p len bytes from the front. */
void event_splitter_consume(event_splitter *sp, size_t len);
/** Release the bytes. */
void event_splitter_free(event_splitter *sp);

#endif
