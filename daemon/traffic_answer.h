/** @file
 *  Incremental parser of an upstream's answer: counts the data events, detects
 *  the end mark of a stream and reads the token counts in "usage" (private to
 *  traffic).
 *
 *      answer_parser p = {.is_event_stream = true};
 *      answer_parser_append(&p, data, len);
 *      answer_parser_finish(&p);
 *      ... p.data_events, p.saw_done, p.prompt_tokens ...
 *      answer_parser_free(&p);
 */
#ifndef TRAFFIC_ANSWER_H
#define TRAFFIC_ANSWER_H

#include "bbm_pack.h"

/** Longest line of an event stream that is searched for "usage". */
#define ANSWER_LINE_BYTES_MAX ((size_t)64 * 1024)
/** Longest answer other than an event stream that is searched for "usage". */
#define ANSWER_BODY_BYTES_MAX ((size_t)1024 * 1024)

/** Parser state. */
typedef struct answer_parser {
    bool is_event_stream;  /**< Set by the owner before the first bytes. */
    bool keep;             /**< Unused. */
    bool saw_done;         /**< The end mark "[DONE]" was received. */
    int64_t data_events;   /**< Events with data, without the end mark; an
                                estimate of the output tokens. */
    int64_t prompt_tokens; /**< From "usage"; -1: not given.  Valid once bytes
                                were received. */
    int64_t output_tokens; /**< From "usage", as prompt_tokens. */
    bool line_truncated;   /**< The current line exceeds
                                ANSWER_LINE_BYTES_MAX and is not searched. */
    bbm_buf text;          /**< Current line of an event stream, or else the
                                body up to ANSWER_BODY_BYTES_MAX. */
    size_t bytes;          /**< Bytes received. */
} answer_parser;

/** Parse further bytes. */
void answer_parser_append(answer_parser *p, const char *data, size_t len);
/** The answer is complete: read "usage" of an answer that isn't an event
 *  stream. */
void answer_parser_finish(answer_parser *p);
/** Release. */
void answer_parser_free(answer_parser *p);

#endif
