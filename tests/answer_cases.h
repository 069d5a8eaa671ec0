/** @file
 *  Heads of HTTP answers that are malformed, and heads that are unusual but
 *  sound, for the tests of all that reads answers.
 *
 *      answer_case_write(&malformed_answers[0], "X-Id: 1\r\n", "body", &text);
 */
#ifndef ANSWER_CASES_H
#define ANSWER_CASES_H

#include "bbm_pack.h"

/** An answer's head, and what makes it malformed or unusual. */
typedef struct answer_case {
    const char *name;   /**< What is odd, for messages. */
    const char *status; /**< Status line, and heads before it, without the
                             last line end. */
    const char *lines;  /**< Further lines, each with its line end; may hold
                             NUL bytes. */
    size_t lines_len;
    bool is_chunked; /**< The body is sent in chunks. */
    bool has_lf;     /**< All lines end with a line feed alone. */
} answer_case;

/** Every body below has this length, and no other. */
#define ANSWER_CASE_BODY_LEN 12

extern const answer_case malformed_answers[];
extern const size_t malformed_answers_len;
extern const answer_case sound_answers[];
extern const size_t sound_answers_len;

/** A body in chunks. */
typedef struct chunks_case {
    const char *name; /**< What is odd, for messages. */
    const char *text; /**< The chunks; may hold NUL bytes. */
    size_t text_len;
} chunks_case;

/** The body of all of them, or of what is left of it. */
#define CHUNKS_CASE_BODY "body: of\n\nid-1"

extern const chunks_case malformed_chunks[];
extern const size_t malformed_chunks_len;
extern const chunks_case sound_chunks[];
extern const size_t sound_chunks_len;

/** Append the whole answer: the case's head with @p lines of the test in it,
 *  and @p body, of ANSWER_CASE_BODY_LEN bytes. */
void answer_case_write(const answer_case *c, const char *lines,
                       const char *body, bbm_buf *out);

#endif
