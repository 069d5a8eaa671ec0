/* Bodies in chunks, sound and malformed, however the bytes arrive. */
#include "answer_cases.h"
#include "chunk_reader.h"
#include "test_main.h"

#include <stdio.h>
#include <string.h>

/* Reads a body in two pieces, or byte by byte if @p split is 0.  Returns
   whether it is whole. */
static bool
read_body(const char *text, size_t len, size_t split, bool lf, bbm_buf *out)
{
    chunk_reader *c = chunk_reader_create(lf);
    const char *fault = NULL;
    size_t step = split ? split : 1;
    for (size_t pos = 0; pos < len && !fault;) {
        size_t n = len - pos < step ? len - pos : step;
        fault = chunk_reader_read(c, text + pos, n, out);
        pos += n;
        step = split ? len : 1;
    }
    bool complete = chunk_reader_is_complete(c);
    ck_assert(!complete || !fault);
    chunk_reader_destroy(c);
    return complete;
}

START_TEST(sound_bodies_are_decoded)
{
    for (size_t i = 0; i < sound_chunks_len; i++) {
        const chunks_case *k = &sound_chunks[i];
        for (size_t split = 0; split <= k->text_len; split++) {
            bbm_buf out = {0};
            ck_assert_msg(read_body(k->text, k->text_len, split, false, &out),
                          "%s, split at %zu", k->name, split);
            ck_assert_uint_eq(out.len, strlen(CHUNKS_CASE_BODY));
            ck_assert_mem_eq(out.data, CHUNKS_CASE_BODY, out.len);
            bbm_buf_free(&out);
        }
    }
}
END_TEST

/* MIXED: what libcurl makes of such a body is a guess. */
START_TEST(malformed_bodies_are_not_whole)
{
    for (size_t i = 0; i < malformed_chunks_len; i++) {
        const chunks_case *k = &malformed_chunks[i];
        for (size_t split = 0; split <= k->text_len; split++) {
            bbm_buf out = {0};
            ck_assert_msg(!read_body(k->text, k->text_len, split, false, &out),
                          "%s, split at %zu", k->name, split);
            bbm_buf_free(&out);
        }
    }
}
END_TEST

START_TEST(lines_end_as_those_of_the_head)
{
    static const char lf[] = "2\nab\n0\nX: y\n\n";
    bbm_buf out = {0};
    ck_assert(read_body(lf, strlen(lf), 0, true, &out));
    ck_assert_uint_eq(out.len, 2);
    ck_assert(!read_body(lf, strlen(lf), 0, false, &out));
    bbm_buf_free(&out);
}
END_TEST

START_TEST(bytes_behind_the_end_are_ignored)
{
    static const char text[] = "2\r\nab\r\n0\r\n\r\n2\r\ncd\r\n";
    bbm_buf out = {0};
    ck_assert(read_body(text, strlen(text), 0, false, &out));
    ck_assert_uint_eq(out.len, 2);
    bbm_buf_free(&out);
}
END_TEST

/* Lines and trailers without end take no memory without end. */
START_TEST(endless_lines_are_malformed)
{
    static const char *const starts[] = {"5;", "0", "0\r\nX: "};
    static const char *const more[] = {"a", "0", "y"};
    for (size_t i = 0; i < BBM_COUNT(starts); i++) {
        chunk_reader *c = chunk_reader_create(false);
        bbm_buf out = {0};
        const char *fault =
            chunk_reader_read(c, starts[i], strlen(starts[i]), &out);
        for (size_t n = 0; n < 16384 && !fault; n++)
            fault = chunk_reader_read(c, more[i], 1, &out);
        ck_assert_ptr_nonnull(fault);
        ck_assert_ptr_eq(chunk_reader_read(c, "a", 1, &out), fault);
        ck_assert_uint_eq(out.len, 0);
        chunk_reader_destroy(c);
    }
}
END_TEST

START_TEST(endless_trailers_are_malformed)
{
    static const char trailer[] = "X: y\r\n";
    chunk_reader *c = chunk_reader_create(false);
    bbm_buf out = {0};
    const char *fault = chunk_reader_read(c, "0\r\n", 3, &out);
    for (size_t n = 0; n < 65536 && !fault; n++)
        fault = chunk_reader_read(c, trailer, strlen(trailer), &out);
    ck_assert_ptr_nonnull(fault);
    chunk_reader_destroy(c);
}
END_TEST

TEST_MAIN("chunk_reader", sound_bodies_are_decoded,
          malformed_bodies_are_not_whole, lines_end_as_those_of_the_head,
          bytes_behind_the_end_are_ignored, endless_lines_are_malformed,
          endless_trailers_are_malformed);
