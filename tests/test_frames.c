/* Framing of messages on a connection between daemons, without one. */
#include "bbm_codes.h"
#include "frames.h"
#include "test_main.h"

#include <string.h>

/* Messages as they come out. */
typedef struct record {
    bbm_buf bytes; /* of all of them, each with "|" behind it */
    unsigned count;
} record;

static void
on_message(void *context, const uint8_t *data, size_t len)
{
    record *r = context;
    bbm_buf_add(&r->bytes, data, len);
    bbm_buf_add(&r->bytes, "|", 1);
    r->count++;
}

static void
add_message(bbm_buf *out, const char *text)
{
    uint8_t head[FRAMES_HEAD_BYTES];
    frames_put_head(head, strlen(text));
    bbm_buf_add(out, head, sizeof(head));
    bbm_buf_add(out, text, strlen(text));
}

/* The bytes that nng 1.5 sends for these messages. */
static const uint8_t known[] = {
    0,   'S', 'P', 0, 0, 0x50, 0, 0, 0, 0, 0, 0, 0, 0, 0, 5, 'h', 'e', 'l',
    'l', 'o', 0,   0, 0, 0,    0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0,   1,   'x'};

START_TEST(format_is_that_of_the_builds_before)
{
    bbm_buf out = {0};
    bbm_buf_add(&out, frames_sender_greeting, FRAMES_GREETING_BYTES);
    add_message(&out, "hello");
    add_message(&out, "");
    add_message(&out, "x");
    ck_assert_uint_eq(out.len, sizeof(known));
    ck_assert_mem_eq(out.data, known, sizeof(known));
    bbm_buf_free(&out);
}
END_TEST

START_TEST(messages_come_whole_however_their_bytes_are_split)
{
    for (size_t step = 1; step <= sizeof(known); step++) {
        frame_reader r = {0};
        record got = {0};
        for (size_t at = 0; at < sizeof(known); at += step) {
            size_t left = sizeof(known) - at;
            ck_assert_int_eq(frame_reader_read(&r, known + at,
                                               left < step ? left : step,
                                               on_message, &got),
                             BBM_OK);
        }
        ck_assert_uint_eq(got.count, 3);
        ck_assert_uint_eq(got.bytes.len, strlen("hello||x|"));
        ck_assert_mem_eq(got.bytes.data, "hello||x|", got.bytes.len);
        frame_reader_free(&r);
        bbm_buf_free(&got.bytes);
    }
}
END_TEST

START_TEST(other_protocol_is_rejected)
{
    static const char http[] = "GET / HTTP/1.1\r\n";
    frame_reader r = {0};
    record got = {0};
    ck_assert_int_eq(frame_reader_read(&r, (const uint8_t *)http,
                                       sizeof(http) - 1, on_message, &got),
                     BBM_ERR_DECODE);
    ck_assert_uint_eq(got.count, 0);
    frame_reader_free(&r);
}
END_TEST

/* What a head claims costs no memory until it has come. */
START_TEST(claimed_length_is_not_allocated)
{
    frame_reader r = {0};
    record got = {0};
    uint8_t head[FRAMES_HEAD_BYTES];
    frames_put_head(head, FRAMES_MESSAGE_BYTES_MAX);
    frame_reader_read(&r, frames_sender_greeting, FRAMES_GREETING_BYTES,
                      on_message, &got);
    ck_assert_int_eq(
        frame_reader_read(&r, head, sizeof(head), on_message, &got), BBM_OK);
    ck_assert_int_eq(
        frame_reader_read(&r, head, sizeof(head), on_message, &got), BBM_OK);
    ck_assert_uint_lt(r.message.cap, 4096);
    frame_reader_free(&r);
}
END_TEST

START_TEST(message_that_is_too_long_is_rejected)
{
    frame_reader r = {0};
    record got = {0};
    uint8_t head[FRAMES_HEAD_BYTES];
    frames_put_head(head, FRAMES_MESSAGE_BYTES_MAX + 1);
    frame_reader_read(&r, frames_sender_greeting, FRAMES_GREETING_BYTES,
                      on_message, &got);
    ck_assert_int_eq(
        frame_reader_read(&r, head, sizeof(head), on_message, &got),
        BBM_ERR_DECODE);
    frame_reader_free(&r);
}
END_TEST

/* A message without room must hold nothing, and must not take the one behind
   it along. */
START_TEST(dropped_message_is_read_to_its_end)
{
    for (size_t split = 1; split < 5; split++) {
        frame_reader r = {0};
        record got = {0};
        bbm_buf in = {0};
        bbm_buf_add(&in, frames_sender_greeting, FRAMES_GREETING_BYTES);
        add_message(&in, "hello");
        size_t begin = FRAMES_GREETING_BYTES + FRAMES_HEAD_BYTES + split;
        add_message(&in, "next");
        ck_assert_int_eq(
            frame_reader_read(&r, in.data, begin, on_message, &got), BBM_OK);
        frame_reader_drop(&r);
        ck_assert_ptr_null(r.message.data);
        for (size_t at = begin; at < in.len; at++)
            ck_assert_int_eq(
                frame_reader_read(&r, in.data + at, 1, on_message, &got),
                BBM_OK);
        ck_assert_uint_eq(got.count, 1);
        ck_assert_mem_eq(got.bytes.data, "next|", 5);
        frame_reader_free(&r);
        bbm_buf_free(&got.bytes);
        bbm_buf_free(&in);
    }
}
END_TEST

TEST_MAIN("frames", format_is_that_of_the_builds_before,
          messages_come_whole_however_their_bytes_are_split,
          other_protocol_is_rejected, claimed_length_is_not_allocated,
          message_that_is_too_long_is_rejected,
          dropped_message_is_read_to_its_end);
