/** @file
 *  Finds the ends of the events in a server-sent event stream that arrives in
 *  pieces of any length.  Lines end with LF or CRLF, events with a blank line.
 *
 *      event_scanner sc = {0};
 *      size_t n = event_scanner_append(&sc, data, len);
 *      ... the last event that ended did so after n bytes of data ...
 *      if (event_scanner_within_event(&sc)) ...
 *
 *  A splitter also holds back the bytes of an event until it is complete:
 *
 *      event_splitter sp = {0};
 *      size_t n = event_splitter_append(&sp, data, len);
 *      write(sp.bytes.data, n);           n bytes of complete events
 *      event_splitter_consume(&sp, n);
 *      ... sp.last_id is the id of the last complete event ...
 *      if (event_splitter_over_limit(&sp)) ... break the stream off ...
 *      event_splitter_free(&sp);
 */
#ifndef EVENTS_H
#define EVENTS_H

#include "bbm_gate.h"
#include "memory_budget.h"

/** Longest event that is held back, in bytes. */
#define EVENT_BYTES_MAX ((size_t)1024 * 1024)
/** Bytes that splitters with the same event_hold hold back together, apart
 *  from EVENT_BYTES_ASSURED of each. */
#define EVENT_HOLD_BYTES_MAX ((size_t)16 * 1024 * 1024)
/** Event length that is allowed however much the others hold back, in
 *  bytes. */
#define EVENT_BYTES_ASSURED ((size_t)64 * 1024)

/** Position in a stream; zero at its beginning. */
typedef struct event_scanner {
    bool in_line;     /**< The current line has bytes. */
    bool in_event;    /**< A line of the current event has ended. */
    bool after_cr;    /**< The current line consists of one CR. */
    bool ended_event; /**< An event has ended. */
} event_scanner;

/** Move on by @p len bytes.  Returns the number of these bytes up to the end
 *  of the last event that ended in them; 0: none did. */
size_t event_scanner_append(event_scanner *sc, const char *data, size_t len);
/** True if the stream would be broken off if it ended here. */
bool event_scanner_within_event(const event_scanner *sc);

/** What several splitters hold back together; zero at the beginning. */
typedef struct event_hold {
    size_t bytes;          /**< Sum of the lengths of event_splitter.bytes. */
    size_t bytes_max;      /**< 0: EVENT_HOLD_BYTES_MAX. */
    memory_budget *memory; /**< Counts them; NULL: nothing does. */
} event_hold;

/** Bytes that were appended and not consumed yet. */
typedef struct event_splitter {
    bbm_buf bytes;
    event_hold *hold;      /**< Shared with other splitters, outlives them;
                                NULL: none. */
    size_t complete_len;   /**< Length of the complete events at the front. */
    event_scanner scanner; /**< After all bytes. */
    char last_id[BBM_EVENT_ID_SIZE]; /**< Id of the last complete event that
                                          had one; "": none had. */
} event_splitter;

/** Append bytes.  Returns the length of the complete events at the front of
 *  @p sp->bytes. */
size_t event_splitter_append(event_splitter *sp, const char *data, size_t len);
/** True if the incomplete event at the end is longer than EVENT_BYTES_MAX, or
 *  than EVENT_BYTES_ASSURED while all splitters hold back more than
 *  EVENT_HOLD_BYTES_MAX. */
bool event_splitter_over_limit(const event_splitter *sp);
/** Remove @p len bytes from the front. */
void event_splitter_consume(event_splitter *sp, size_t len);
/** Release the bytes. */
void event_splitter_free(event_splitter *sp);

#endif
