#include "relay.h"

#include <stdio.h>
#include <string.h>

/* Stands for the digest of a request without a key. */
#define NO_KEY "-"

static bbm_digest
mac_of(const exchange *ex, uint32_t attempts_used, const char *key,
       const uint8_t *secret)
{
    bbm_buf bound = {0};
    bbm_put_str(&bound, "relay");
    bbm_put_str(&bound, ex->parsed_headers.id);
    bbm_put_str(&bound, ex->method);
    bbm_put_str(&bound, ex->host);
    bbm_put_str(&bound, ex->request_target);
    bbm_put_u64(&bound, attempts_used);
    bbm_put_str(&bound, key);
    bbm_digest mac = bbm_digest_of(bound.data, bound.len, secret);
    bbm_buf_free(&bound);
    return mac;
}

void
relay_header_write(const exchange *ex, uint32_t attempts_used,
                   const uint8_t *secret, char value[PLATFORM_RELAYED_SIZE])
{
    char key[2 * BBM_DIGEST_SIZE + 1] = NO_KEY;
    char mac_text[2 * BBM_DIGEST_SIZE + 1];
    if (ex->has_key)
        bbm_digest_hex(&ex->key_digest, key);
    bbm_digest mac = mac_of(ex, attempts_used, key, secret);
    bbm_digest_hex(&mac, mac_text);
    snprintf(value, PLATFORM_RELAYED_SIZE, "%u %s %s", attempts_used, key,
             mac_text);
}

bool
relay_header_read(exchange *ex, const char *value, const uint8_t *secret)
{
    unsigned attempts_used;
    char key[2 * BBM_DIGEST_SIZE + 1];
    char mac_text[2 * BBM_DIGEST_SIZE + 1];
    bbm_digest mac;
    bbm_digest key_digest = {0};
    if (sscanf(value, "%u %64s %64s", &attempts_used, key, mac_text) != 3
        || !bbm_digest_parse(mac_text, &mac))
        return false;
    bbm_digest expected = mac_of(ex, attempts_used, key, secret);
    bool has_key = strcmp(key, NO_KEY) != 0;
    if (!bbm_digest_same(&mac, &expected)
        || (has_key && !bbm_digest_parse(key, &key_digest)))
        return false;
    ex->is_relayed = true;
    ex->attempts_used = attempts_used;
    ex->has_key = has_key;
    ex->key_digest = key_digest;
    return true;
}
