#include "seal.h"

#include "bbm_codes.h"
#include "bbm_table.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#define OVERHEAD_BYTES                                                        \
    (crypto_secretbox_NONCEBYTES + crypto_secretbox_MACBYTES)

/* Run and sequence number of the last message accepted from a daemon. */
typedef struct last_message {
    char name[BBM_NAME_SIZE];
    uint64_t run;
    uint64_t sequence;
    UT_hash_handle hh;
} last_message;

struct seal {
    char name[BBM_NAME_SIZE];
    uint64_t run;
    uint64_t sequence; /* of the last message; encrypting thread only */
    last_message *last_messages; /* by sender; decrypting thread only */
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
    BBM_TABLE_FREE(last_message, s->last_messages);
    explicit_bzero(s->secret, sizeof(s->secret));
    free(s);
}

void
seal_encrypt(seal *s, const char *to, const bbm_buf *plain, bbm_buf *sealed)
{
    bbm_buf plaintext = {0};
    bbm_put_str(&plaintext, s->name);
    bbm_put_str(&plaintext, to);
    bbm_put_u64(&plaintext, s->run);
    bbm_put_u64(&plaintext, ++s->sequence);
    bbm_put_bytes(&plaintext, plain->data, plain->len);
    BBM_AUTO_FREE uint8_t *out = bbm_calloc(OVERHEAD_BYTES + plaintext.len, 1);
    randombytes_buf(out, crypto_secretbox_NONCEBYTES);
    crypto_secretbox_easy(out + crypto_secretbox_NONCEBYTES, plaintext.data,
                          plaintext.len, out, s->secret);
    bbm_buf_add(sealed, out, OVERHEAD_BYTES + plaintext.len);
    bbm_buf_free(&plaintext);
}

/* Returns whether a message is newer than the last one accepted from its
   sender.  If so, it is recorded as the last one. */
static bool
record_if_newer(seal *s, const char *from, uint64_t run, uint64_t sequence)
{
    last_message *last = NULL;
    HASH_FIND_STR(s->last_messages, from, last);
    if (!last) {
        last = bbm_calloc(1, sizeof(*last));
        bbm_name_set(last->name, from);
        HASH_ADD_STR(s->last_messages, name, last);
    }
    bool newer =
        run > last->run || (run == last->run && sequence > last->sequence);
    if (newer) {
        last->run = run;
        last->sequence = sequence;
    }
    return newer;
}

int
seal_decrypt(seal *s, const uint8_t *data, size_t len,
             char from[BBM_NAME_SIZE], bbm_buf *plain)
{
    if (len <= OVERHEAD_BYTES)
        return BBM_ERR_DECODE;
    BBM_AUTO_FREE uint8_t *plaintext = bbm_calloc(len - OVERHEAD_BYTES, 1);
    int rc = crypto_secretbox_open_easy(
        plaintext, data + crypto_secretbox_NONCEBYTES,
        len - crypto_secretbox_NONCEBYTES, data, s->secret);
    if (rc != 0)
        return BBM_ERR_DECODE;
    char to[BBM_NAME_SIZE];
    bbm_reader rd = bbm_reader_of(plaintext, len - OVERHEAD_BYTES);
    bbm_get_name(&rd, from);
    bbm_get_name(&rd, to);
    uint64_t run = bbm_get_u64(&rd);
    uint64_t sequence = bbm_get_u64(&rd);
    bbm_bytes payload = bbm_get_bytes(&rd);
    /* A joining daemon knows the address of its peer but not its name, and
       sends with an empty receiver. */
    bool addressed_here = !to[0] || strcmp(to, s->name) == 0;
    bool valid = bbm_reader_done(&rd) && addressed_here;
    if (!valid || !record_if_newer(s, from, run, sequence))
        return BBM_ERR_DECODE;
    bbm_buf_add(plain, payload.data, payload.len);
    return BBM_OK;
}
