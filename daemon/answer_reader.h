/** @file
 *  Checks the answer to one HTTP request as libcurl gives it: heads line by
 *  line, and the body with CURLOPT_HTTP_TRANSFER_DECODING off.
 *
 *  libcurl takes more than RFC 9112 allows: a length with other bytes behind
 *  it, two lengths, names with blanks.  Where the body of such an answer ends
 *  is a guess, so nothing of it may be used any more.
 *
 *      answer_reader *r = answer_reader_create();
 *      answer_line l = answer_reader_line(r, data, len);
 *      if (l.kind == ANSWER_LINE_FIELD && answer_field_is(&l, "Date"))
 *          use(l.u.field.value, l.u.field.value_len);
 *      const char *fault = answer_reader_body(r, data, len, &body);
 *      answer_reader_destroy(r);
 */
#ifndef ANSWER_READER_H
#define ANSWER_READER_H

#include "bbm_pack.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** What has been read of an answer; opaque. */
typedef struct answer_reader answer_reader;

/** What a line is. */
typedef enum answer_line_kind {
    ANSWER_LINE_STATUS,      /**< Status line, of an interim head too. */
    ANSWER_LINE_FIELD,       /**< Header. */
    ANSWER_LINE_INTERIM_END, /**< End of an interim head. */
    ANSWER_LINE_HEAD_END,    /**< End of the final head. */
    ANSWER_LINE_MALFORMED,   /**< The answer can't be used. */
} answer_line_kind;

/** A header; its texts aren't terminated, and point into the line. */
typedef struct answer_field {
    const char *name;
    size_t name_len;
    const char *value; /**< Without the blanks around it. */
    size_t value_len;
} answer_field;

/** A line, as a tagged union. */
typedef struct answer_line {
    answer_line_kind kind;
    union {
        unsigned status;    /**< ANSWER_LINE_STATUS: 100 to 599. */
        answer_field field; /**< ANSWER_LINE_FIELD. */
        const char *fault;  /**< ANSWER_LINE_MALFORMED: what is wrong, for the
                                 log; static. */
    } u;
} answer_line;

answer_reader *answer_reader_create(void);
/** NULL is allowed. */
void answer_reader_destroy(answer_reader *r);
/** Read the next line, as CURLOPT_HEADERFUNCTION gets it: with its end. Behind
 *  a malformed line all others are. */
answer_line answer_reader_line(answer_reader *r, const char *line, size_t len);
/** Read the next bytes behind the final head, and append those of the body to
 *  @p out.  Returns NULL, or what is malformed: a static text, for the log.
 *  libcurl tells the end of a body without chunks. */
const char *answer_reader_body(answer_reader *r, const char *data, size_t len,
                               bbm_buf *out);
/** True if the final head has been read, and a body in chunks to its end.
 *  @p has_body is false for answers that have none, whatever their head says.
 */
bool answer_reader_is_complete(const answer_reader *r, bool has_body);
/** Status of the last head; 0: none was read. */
unsigned answer_reader_status(const answer_reader *r);
/** Content-Length of the last head in bytes; -1: none. */
int64_t answer_reader_length(const answer_reader *r);
/** True if the last head says that the body comes in chunks. */
bool answer_reader_is_chunked(const answer_reader *r);
/** True if the body ends with the connection: the head doesn't say where. */
bool answer_reader_is_unframed(const answer_reader *r);

/* ---- fields ---- */

/** Split a line, without its end, into name and value.  Returns NULL, or why
 * it is no field: a static text, for the log. */
const char *answer_field_parse(const char *line, size_t len, answer_field *f);
/** True if a text has control bytes but tabs; bytes above 127 are none. */
bool answer_text_has_controls(const char *text, size_t len);
/** True if an ANSWER_LINE_FIELD has this name, in any case. */
bool answer_field_is(const answer_line *l, const char *name);
/** Copy an ANSWER_LINE_FIELD to @p text, of @p size bytes: the name, and the
 *  value behind it, both terminated.  Returns the value; NULL if the two don't
 *  fit. */
const char *answer_field_copy(const answer_line *l, char *text, size_t size);

#endif
