/** @file
 *  What can be told from an answer as it streams by (private).
 *
 *      answer_parser w = {.events = true};
 *      answer_parser_append(&w, data, len);
 *      ... w.tokens, w.done, w.prompt_tokens ...
 */
#ifndef TRAFFIC_ANSWER_H
#define TRAFFIC_ANSWER_H

#include "bbm_pack.h"

/** A line of an event stream that is looked into, longest length. */
#define ANSWER_LINE_BYTES_MAX ((size_t)64 * 1024)
/** A whole answer that is looked into, longest length. */
#define ANSWER_BODY_BYTES_MAX ((size_t)1024 * 1024)

/** State of the look. */
typedef struct answer_parser {
    bool is_event_stream;           /**< It is an event stream. */
    bool keep;             /**< Keep the whole body. */
    bool saw_done;             /**< The end mark of the stream was seen. */
    int64_t data_events;        /**< Events with data. */
    int64_t prompt_tokens; /**< As told in "usage"; -1: not told. */
    int64_t output_tokens; /**< As told in "usage"; -1: not told. */
    bool line_truncated;         /**< The present line is not looked into. */
    bbm_buf text;          /**< Present line, or the whole body. */
    size_t bytes;          /**< Bytes seen. */
} answer_parser;

/** More bytes came. */
void answer_parser_append(answer_parser *w, const char *data, size_t len);
/** All bytes came. */
void answer_parser_finish(answer_parser *w);
/** Release. */
void answer_parser_free(answer_parser *w);

#endif
