/* Encryption of messages between daemons: rejects replayed messages, messages
   of earlier runs, altered ones and those for other daemons. */
#include "bbm_codes.h"
#include "seal.h"
#include "test_main.h"

#include <string.h>

static const uint8_t secret[BBM_DIGEST_SIZE] = {1, 2, 3};
static const uint8_t second_secret[BBM_DIGEST_SIZE] = {1, 2, 4};

typedef struct fixture {
    seal *sender;
    seal *receiver;
    bbm_buf plain;
    bbm_buf sealed;
} fixture;

static fixture
setup(void)
{
    fixture f = {.sender = seal_create("vm-1", 10, secret),
                 .receiver = seal_create("vm-2", 20, secret)};
    bbm_buf_add(&f.plain, "hello", 5);
    seal_encrypt(f.sender, "vm-2", &f.plain, &f.sealed);
    return f;
}

static int
decrypt_with(seal *s, const bbm_buf *sealed)
{
    char from[BBM_NAME_SIZE];
    bbm_buf plain = {0};
    int rc = seal_decrypt(s, sealed->data, sealed->len, from, &plain);
    if (rc == BBM_OK) {
        ck_assert_str_eq(from, "vm-1");
        ck_assert_uint_eq(plain.len, 5);
        ck_assert_mem_eq(plain.data, "hello", 5);
    }
    bbm_buf_free(&plain);
    return rc;
}

static void
teardown(fixture *f)
{
    seal_destroy(f->sender);
    seal_destroy(f->receiver);
    bbm_buf_free(&f->plain);
    bbm_buf_free(&f->sealed);
}

START_TEST(a_message_is_accepted_once)
{
    fixture f = setup();
    ck_assert_int_eq(decrypt_with(f.receiver, &f.sealed), BBM_OK);
    ck_assert_int_eq(decrypt_with(f.receiver, &f.sealed), BBM_ERR_DECODE);
    bbm_buf next = {0};
    seal_encrypt(f.sender, "vm-2", &f.plain, &next);
    ck_assert_int_eq(decrypt_with(f.receiver, &next), BBM_OK);
    bbm_buf_free(&next);
    teardown(&f);
}
END_TEST

START_TEST(only_the_receiver_can_decrypt)
{
    fixture f = setup();
    seal *other_daemon = seal_create("vm-3", 1, secret);
    seal *wrong_secret = seal_create("vm-2", 1, second_secret);
    ck_assert_int_eq(decrypt_with(other_daemon, &f.sealed), BBM_ERR_DECODE);
    ck_assert_int_eq(decrypt_with(wrong_secret, &f.sealed), BBM_ERR_DECODE);
    seal_destroy(other_daemon);
    seal_destroy(wrong_secret);
    teardown(&f);
}
END_TEST

START_TEST(every_changed_byte_is_detected)
{
    fixture f = setup();
    for (size_t i = 0; i < f.sealed.len; i++) {
        f.sealed.data[i] ^= 1;
        ck_assert_int_eq(decrypt_with(f.receiver, &f.sealed), BBM_ERR_DECODE);
        f.sealed.data[i] ^= 1;
    }
    ck_assert_int_eq(decrypt_with(f.receiver, &f.sealed), BBM_OK);
    teardown(&f);
}
END_TEST

START_TEST(an_earlier_run_is_rejected)
{
    fixture f = setup();
    seal *later_run = seal_create("vm-1", 11, secret);
    bbm_buf next = {0};
    seal_encrypt(later_run, "vm-2", &f.plain, &next);
    ck_assert_int_eq(decrypt_with(f.receiver, &next), BBM_OK);
    ck_assert_int_eq(decrypt_with(f.receiver, &f.sealed), BBM_ERR_DECODE);
    bbm_buf_free(&next);
    seal_destroy(later_run);
    teardown(&f);
}
END_TEST

TEST_MAIN("seal", a_message_is_accepted_once, only_the_receiver_can_decrypt,
          every_changed_byte_is_detected, an_earlier_run_is_rejected);
