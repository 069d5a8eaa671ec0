/* Encoding, hashes, log lines and result codes. */
#include "bbm_codes.h"
#include "bbm_hash.h"
#include "bbm_log.h"
#include "bbm_pack.h"
#include "test_main.h"

#include <stdlib.h>
#include <string.h>

START_TEST(pack_round_trip)
{
    bbm_buf buf = {0};
    bbm_put_u64(&buf, 77);
    bbm_put_i64(&buf, -5);
    bbm_put_str(&buf, "name");
    bbm_put_bytes(&buf, "\0x", 2);
    bbm_reader r = bbm_reader_of(buf.data, buf.len);
    char name[BBM_NAME_SIZE];
    ck_assert_uint_eq(bbm_get_u64(&r), 77);
    ck_assert_int_eq(bbm_get_i64(&r), -5);
    bbm_get_name(&r, name);
    ck_assert_str_eq(name, "name");
    ck_assert_uint_eq(bbm_get_bytes(&r).len, 2);
    ck_assert(bbm_reader_done(&r));
    bbm_buf_free(&buf);
}
END_TEST

START_TEST(pack_error_is_sticky)
{
    bbm_buf buf = {0};
    bbm_put_str(&buf, "text");
    bbm_put_u64(&buf, 1);
    bbm_reader r = bbm_reader_of(buf.data, buf.len);
    ck_assert_uint_eq(bbm_get_u64(&r), 0);
    ck_assert_uint_eq(bbm_get_u64(&r), 0);
    ck_assert(!bbm_reader_done(&r));
    bbm_buf_free(&buf);
}
END_TEST

START_TEST(pack_rejects_nested_values)
{
    uint8_t nested[200];
    memset(nested, 0x91, sizeof(nested));
    bbm_reader r = bbm_reader_of(nested, sizeof(nested));
    bbm_get_u64(&r);
    ck_assert(r.failed);
}
END_TEST

START_TEST(pack_truncation_is_an_error)
{
    bbm_buf buf = {0};
    bbm_put_u64(&buf, 1 << 20);
    bbm_put_str(&buf, "some longer text");
    for (size_t len = 0; len < buf.len; len++) {
        bbm_reader r = bbm_reader_of(buf.data, len);
        bbm_get_u64(&r);
        bbm_get_bytes(&r);
        ck_assert(!bbm_reader_done(&r));
    }
    bbm_buf_free(&buf);
}
END_TEST

START_TEST(chain_depends_on_scope_and_version)
{
    bbm_block_id a = bbm_chain_start("jardin", "v1");
    ck_assert(!bbm_block_same(a, bbm_chain_start("jadran", "v1")));
    ck_assert(!bbm_block_same(a, bbm_chain_start("jardin", "v2")));
    /* The boundary between scope and version must be part of the hash. */
    ck_assert(!bbm_block_same(bbm_chain_start("ab", "c"),
                              bbm_chain_start("a", "bc")));
}
END_TEST

START_TEST(rng_repeats_with_the_same_seed)
{
    bbm_rng a = bbm_rng_of(7);
    bbm_rng b = bbm_rng_of(7);
    bbm_rng c = bbm_rng_of(8);
    int differs = 0;
    for (int i = 0; i < 100; i++) {
        uint64_t x = bbm_rng_next(&a);
        ck_assert_uint_eq(x, bbm_rng_next(&b));
        differs += x != bbm_rng_next(&c);
    }
    ck_assert_int_gt(differs, 90);
}
END_TEST

static int64_t
fixed_wall_ms(void)
{
    return 42;
}

START_TEST(log_line_cannot_be_forged)
{
    char *text = NULL;
    size_t size = 0;
    FILE *file = open_memstream(&text, &size);
    bbm_log_setup(
        &(bbm_log_desc){.node = "n", .file = file, .wall_ms = fixed_wall_ms});
    bbm_log(BBM_EVENT_STARTED, "path",
            "x\"}\n{\"event\":100,\"text\":\"forged", "bytes", "\xff\x01",
            NULL);
    fclose(file);
    bbm_log_setup(&(bbm_log_desc){.node = "n"});
    /* The only newline is at the end, and quotes are escaped. */
    ck_assert_ptr_eq(strchr(text, '\n'), text + size - 1);
    ck_assert_ptr_null(strstr(text, "{\"event\""));
    ck_assert_ptr_nonnull(strstr(text, "\\u00ff\\u0001"));
    free(text);
}
END_TEST

START_TEST(log_line_is_closed_when_values_are_long)
{
    char *text = NULL;
    size_t size = 0;
    char long_value[5000];
    memset(long_value, '"', sizeof(long_value));
    long_value[sizeof(long_value) - 1] = '\0';
    FILE *file = open_memstream(&text, &size);
    bbm_log_setup(&(bbm_log_desc){.node = "n", .file = file});
    bbm_log(BBM_EVENT_STARTED, "a", long_value, "b", long_value, "c",
            long_value, "d", long_value, "e", long_value, NULL);
    fclose(file);
    bbm_log_setup(&(bbm_log_desc){.node = "n"});
    ck_assert_str_eq(text + size - 3, "\"}\n");
    free(text);
}
END_TEST

START_TEST(ran_is_no_only_before_an_upstream)
{
    /* BBM_RAN_NO is allowed only for codes returned before any byte of the
       request can have reached an upstream. */
    ck_assert_int_eq(bbm_code_ran(BBM_ERR_RATE), BBM_RAN_NO);
    ck_assert_int_eq(bbm_code_ran(BBM_ERR_UPSTREAM_CONNECT), BBM_RAN_NO);
    ck_assert_int_eq(bbm_code_ran(BBM_ERR_UPSTREAM), BBM_RAN_UNKNOWN);
    ck_assert_int_eq(bbm_code_ran(BBM_ERR_UPSTREAM_CUT), BBM_RAN_UNKNOWN);
    ck_assert_int_eq(bbm_code_ran(BBM_ERR_IDEM_UNKNOWN), BBM_RAN_UNKNOWN);
    ck_assert_int_eq(bbm_code_ran(12345), BBM_RAN_UNKNOWN);
#define X(name, number, status, ran, text)                                    \
    ck_assert_msg(!bbm_status_promises_not_run(status)                        \
                      || bbm_code_ran(name) == BBM_RAN_NO,                    \
                  #name);
    BBM_CODE_TABLE(X)
#undef X
}
END_TEST

/* Claims of earlier builds have the digest of the whole encoding; one that is
   computed from its parts must be the same, for each form of the head. */
START_TEST(digest_of_parts_is_that_of_the_whole)
{
    static const size_t lengths[] = {0, 1, 255, 256, 65535, 65536};
    static uint8_t data[65536];
    memset(data, 7, sizeof(data));
    for (size_t i = 0; i < BBM_COUNT(lengths); i++) {
        bbm_buf whole = {0};
        bbm_buf head = {0};
        bbm_put_str(&whole, "POST");
        bbm_put_bytes(&whole, data, lengths[i]);
        bbm_put_str(&head, "POST");
        bbm_put_bytes_head(&head, lengths[i]);
        bbm_digest expected = bbm_digest_of(whole.data, whole.len, NULL);
        bbm_digest got = bbm_digest_of_two(
            bbm_buf_view(&head), (bbm_bytes){.data = data, .len = lengths[i]});
        ck_assert(bbm_digest_same(&expected, &got));
        bbm_buf_free(&whole);
        bbm_buf_free(&head);
    }
}
END_TEST

TEST_MAIN("base", pack_round_trip, digest_of_parts_is_that_of_the_whole,
          pack_error_is_sticky, pack_rejects_nested_values,
          pack_truncation_is_an_error, chain_depends_on_scope_and_version,
          rng_repeats_with_the_same_seed, log_line_cannot_be_forged,
          log_line_is_closed_when_values_are_long,
          ran_is_no_only_before_an_upstream);
