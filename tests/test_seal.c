#include "bbm_codes.h"
#include "seal.h"
#include "test_main.h"

#include <string.h>

static const uint8_t secret[BBM_DIGEST_SIZE] = {1, 2, 3};
static const uint8_t other_secret[BBM_DIGEST_SIZE] = {1, 2, 4};

typedef struct world {
    seal *one;
    seal *two;
    bbm_buf plain;
    bbm_buf sealed;
} world;

static world
begin(void)
{
    world w = {.one = seal_create("vm-1", 10, secret),
               .two = seal_create("vm-2", 20, secret)};
    bbm_buf_add(&w.plain, "hello", 5);
    seal_encrypt(w.one, "vm-2", &w.plain, &w.sealed);
    return w;
}

static int
open_at(seal *s, const bbm_buf *sealed)
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
end(world *w)
{
    seal_destroy(w->one);
    seal_destroy(w->two);
    bbm_buf_free(&w->plain);
    bbm_buf_free(&w->sealed);
}

START_TEST(a_message_opens_once)
{
    world w = begin();
    ck_assert_int_eq(open_at(w.two, &w.sealed), BBM_OK);
    ck_assert_int_eq(open_at(w.two, &w.sealed), BBM_ERR_DECODE);
    bbm_buf next = {0};
    seal_encrypt(w.one, "vm-2", &w.plain, &next);
    ck_assert_int_eq(open_at(w.two, &next), BBM_OK);
    bbm_buf_free(&next);
    end(&w);
}
END_TEST

START_TEST(only_its_receiver_opens_it)
{
    world w = begin();
    seal *three = seal_create("vm-3", 1, secret);
    seal *stranger = seal_create("vm-2", 1, other_secret);
    ck_assert_int_eq(open_at(three, &w.sealed), BBM_ERR_DECODE);
    ck_assert_int_eq(open_at(stranger, &w.sealed), BBM_ERR_DECODE);
    seal_destroy(three);
    seal_destroy(stranger);
    end(&w);
}
END_TEST

START_TEST(every_changed_byte_is_seen)
{
    world w = begin();
    for (size_t i = 0; i < w.sealed.len; i++) {
        w.sealed.data[i] ^= 1;
        ck_assert_int_eq(open_at(w.two, &w.sealed), BBM_ERR_DECODE);
        w.sealed.data[i] ^= 1;
    }
    ck_assert_int_eq(open_at(w.two, &w.sealed), BBM_OK);
    end(&w);
}
END_TEST

START_TEST(an_earlier_run_is_refused)
{
    world w = begin();
    seal *later = seal_create("vm-1", 11, secret);
    bbm_buf next = {0};
    seal_encrypt(later, "vm-2", &w.plain, &next);
    ck_assert_int_eq(open_at(w.two, &next), BBM_OK);
    ck_assert_int_eq(open_at(w.two, &w.sealed), BBM_ERR_DECODE);
    bbm_buf_free(&next);
    seal_destroy(later);
    end(&w);
}
END_TEST

TEST_MAIN("seal", a_message_opens_once, only_its_receiver_opens_it,
          every_changed_byte_is_seen, an_earlier_run_is_refused);
