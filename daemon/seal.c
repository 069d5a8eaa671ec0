#include "seal.h"

#include "bbm_codes.h"
#include "bbm_table.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#define HEAD (crypto_secretbox_NONCEBYTES + crypto_secretbox_MACBYTES)

/* The last message taken from a daemon. */
typedef struct sender {
    char name[BBM_NAME_SIZE];
    uint64_t run;
    uint64_t number;
    UT_hash_handle hh;
} sender;

struct seal {
    char name[BBM_NAME_SIZE];
    uint64_t run;
    uint64_t number; /* closing thread's */
    sender *senders; /* opening thread's */
    uint8_t secret[crypto_secretbox_KEYBYTES];
};

seal *
seal_create(const char *name, uint64_t run, const uint8_t *secret)
{
    seal *s = bbm_calloc(1, sizeof(*s));
    bbm_name_set(s->name, name);
    s->run = run;
    memcpy(s->secret, secret, sizeof(s->secret));
    return s;
}

void
seal_destroy(seal *s)
{
    if (!s)
        return;
    BBM_TABLE_FREE(sender, s->senders);
    explicit_bzero(s->secret, sizeof(s->secret));
    free(s);
}

void
seal_encrypt(seal *s, const char *to, const bbm_buf *plain, bbm_buf *sealed)
{
    bbm_buf whole = {0};
    bbm_put_str(&whole, s->name);
    bbm_put_str(&whole, to);
    bbm_put_u64(&whole, s->run);
    bbm_put_u64(&whole, ++s->number);
    bbm_put_bytes(&whole, plain->data, plain->len);
    BBM_AUTO_FREE uint8_t *out = bbm_calloc(HEAD + whole.len, 1);
    randombytes_buf(out, crypto_secretbox_NONCEBYTES);
    crypto_secretbox_easy(out + crypto_secretbox_NONCEBYTES, whole.data,
                          whole.len, out, s->secret);
    bbm_buf_add(sealed, out, HEAD + whole.len);
    bbm_buf_free(&whole);
}

static bool
is_new(seal *s, const char *from, uint64_t run, uint64_t number)
{
    sender *one = NULL;
    HASH_FIND_STR(s->senders, from, one);
    if (!one) {
        one = bbm_calloc(1, sizeof(*one));
        bbm_name_set(one->name, from);
        HASH_ADD_STR(s->senders, name, one);
    }
    bool newer = run > one->run || (run == one->run && number > one->number);
    if (newer) {
        one->run = run;
        one->number = number;
    }
    return newer;
}

int
seal_decrypt(seal *s, const uint8_t *data, size_t len, char from[BBM_NAME_SIZE],
          bbm_buf *plain)
{
    if (len <= HEAD)
        return BBM_ERR_DECODE;
    BBM_AUTO_FREE uint8_t *whole = bbm_calloc(len - HEAD, 1);
    int rc = crypto_secretbox_open_easy(
        whole, data + crypto_secretbox_NONCEBYTES,
        len - crypto_secretbox_NONCEBYTES, data, s->secret);
    if (rc != 0)
        return BBM_ERR_DECODE;
    char to[BBM_NAME_SIZE];
    bbm_reader rd = bbm_reader_of(whole, len - HEAD);
    bbm_get_name(&rd, from);
    bbm_get_name(&rd, to);
    uint64_t run = bbm_get_u64(&rd);
    uint64_t number = bbm_get_u64(&rd);
    bbm_bytes inner = bbm_get_bytes(&rd);
    /* A daemon that joins knows addresses, not names. */
    bool meant = !to[0] || strcmp(to, s->name) == 0;
    bool ours = bbm_reader_done(&rd) && meant;
    if (!ours || !is_new(s, from, run, number))
        return BBM_ERR_DECODE;
    bbm_buf_add(plain, inner.data, inner.len);
    return BBM_OK;
}
