#include "front_provider.h"

#include "relay.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

/* Of a change that has no room yet. */
#define CHANGE_RETRY_MS 1000

static const char json_media_type[] = "application/json";
static const char http_scheme[] = "http://";

/* ---- clients ---- */

static enum MHD_Result
on_header(void *context, enum MHD_ValueKind kind, const char *name,
          const char *value)
{
    (void)kind;
    exchange *ex = context;
    const char *text = value ? value : "";
    ex->head_bytes += exchange_header_bytes(name, text);
    if (platform_request_add_header(&ex->parsed_headers, name, text))
        exchange_headers_add(&ex->headers, name, text);
    return MHD_YES;
}

/* True if a header isn't forwarded, given the text it is compared with. */
typedef bool header_predicate(const exchange_header *h, const char *text);

static void
drop_headers(exchange *ex, header_predicate *is_dropped, const char *text)
{
    size_t len = 0;
    for (size_t i = 0; i < ex->headers.len; i++) {
        exchange_header *h = &ex->headers.items[i];
        if (!is_dropped(h, text)) {
            ex->headers.items[len++] = *h;
            continue;
        }
        free(h->name);
        free(h->value);
    }
    ex->headers.len = len;
}

/* The headers that the Connection header names are hop-by-hop. */
static bool
is_connection_header(const exchange_header *h, const char *connection)
{
    return platform_connection_has_option(connection, h->name);
}

/* True if a text contains the key, as it is or percent-encoded. */
static bool
contains_key(const char *text, const char *key)
{
    if (strstr(text, key))
        return true;
    if (!strchr(text, '%'))
        return false;
    BBM_AUTO_FREE char *decoded = bbm_strdup(text);
    MHD_http_unescape(decoded);
    return strstr(decoded, key) != NULL;
}

/* No upstream may see the caller's key. */
static bool
is_header_with_key(const exchange_header *h, const char *key)
{
    return contains_key(h->value, key);
}

void
front_provider_read_headers(exchange *ex, struct MHD_Connection *connection,
                            const uint8_t *key_secret)
{
    platform_request *parsed = &ex->parsed_headers;
    ex->kind = EXCHANGE_POOL;
    MHD_get_connection_values(connection, MHD_HEADER_KIND, on_header, ex);
    drop_headers(ex, is_connection_header,
                 MHD_lookup_connection_value(connection, MHD_HEADER_KIND,
                                             "Connection"));
    const char *host =
        MHD_lookup_connection_value(connection, MHD_HEADER_KIND, "Host");
    ex->host = bbm_strdup(host ? host : "");
    ex->has_key = parsed->key[0] != '\0';
    if (ex->has_key)
        ex->key_digest =
            bbm_digest_of(parsed->key, strlen(parsed->key), key_secret);
    /* The target is forwarded unchanged or not at all. */
    bool key_in_target =
        ex->has_key && contains_key(ex->request_target, parsed->key);
    if (ex->has_key)
        drop_headers(ex, is_header_with_key, parsed->key);
    explicit_bzero(parsed->key, sizeof(parsed->key));
    /* A header that isn't another VM's is ignored, as the client's own. */
    if (parsed->relayed[0])
        relay_header_read(ex, parsed->relayed, key_secret);
    if (key_in_target)
        exchange_fail(ex, BBM_ERR_KEY_IN_TARGET, 0);
    if (parsed->ambiguous_framing || parsed->invalid_header_name) {
        ex->closes_connection = true;
        exchange_fail(ex, BBM_ERR_FRAMING, 0);
    }
}

/* A cryptographic hash, so that nobody can make a request that meets the
   fingerprint of another one. */
void
front_provider_set_fingerprint(exchange *ex)
{
    const platform_request *parsed = &ex->parsed_headers;
    bbm_digest body = bbm_digest_of(ex->body.data, ex->body.len, NULL);
    bbm_buf encoded = {0};
    bbm_put_str(&encoded, ex->method);
    bbm_put_str(&encoded, ex->host);
    bbm_put_str(&encoded, ex->request_target);
    bbm_put_str(&encoded, parsed->model);
    bbm_put_u64(&encoded, parsed->parts_len);
    for (size_t i = 0; i < parsed->parts_len; i++) {
        bbm_put_u64(&encoded, parsed->parts[i].id);
        bbm_put_u64(&encoded, parsed->parts[i].tokens);
    }
    bbm_put_i64(&encoded, parsed->prompt_tokens);
    bbm_put_i64(&encoded, parsed->output_tokens_max);
    bbm_put_bytes(&encoded, body.bytes, sizeof(body.bytes));
    bbm_digest whole = bbm_digest_of(encoded.data, encoded.len, NULL);
    bbm_buf_free(&encoded);
    memcpy(&ex->fingerprint, whole.bytes, sizeof(ex->fingerprint));
}

void
front_provider_fill_event(const exchange *ex, bbm_pool_request_event *ev)
{
    platform_request_describe(&ex->parsed_headers, &ev->request);
    ev->request.request = ex->id;
    ev->request.fingerprint = ex->fingerprint;
    ev->request.relayed = ex->is_relayed;
    ev->request.attempts_used = ex->attempts_used;
    ev->host = ex->host;
    ev->path = ex->request_target;
    ev->has_key = ex->has_key;
    ev->key = ex->key_digest;
}

/* ---- the provider ---- */

static int
parse_config(exchange *ex, const uint8_t *key_secret)
{
    const char *text = ex->body.len ? (char *)ex->body.data : "";
    /* The tree of the body, then that of the document, which is no larger. */
    int rc = exchange_count_change(ex, bbm_doc_tree_bytes(text, ex->body.len)
                                           + ex->body.len);
    if (rc < 0)
        return rc;
    rc = platform_config_read(text, ex->body.len, key_secret, &ex->config);
    if (rc < 0)
        return BBM_ERR_INVALID_CONFIG;
    /* Reports mistakes before the configuration goes to the control group,
       which validates it once more. */
    bbm_doc_errors errors = {0};
    bbm_config *cfg = bbm_config_create((char *)ex->config.document.data,
                                        ex->config.document.len, &errors);
    bool valid = cfg != NULL;
    bbm_config_destroy(cfg);
    if (!valid)
        bbm_log(BBM_EVENT_CONFIG_REFUSED, "mistake",
                errors.len ? errors.lines[0] : "", NULL);
    bbm_doc_errors_free(&errors);
    if (ex->body.len > MEMORY_SMALL_BYTES)
        bbm_trim();
    if (!valid)
        return BBM_ERR_INVALID_CONFIG;
    rc = exchange_count_change(ex, ex->config.document.len);
    if (rc < 0)
        return rc;
    ex->operator_event.verb = BBM_VERB_PUBLISH;
    ex->operator_event.version = ex->config.version;
    ex->operator_event.text = bbm_buf_view(&ex->config.document);
    ex->operator_event.source = bbm_buf_view(&ex->body);
    return BBM_OK;
}

static int
parse_weights(exchange *ex)
{
    platform_weights w;
    const char *text = ex->body.len ? (char *)ex->body.data : "";
    int rc = platform_weights_read(text, ex->body.len, &w);
    ex->operator_event.verb = BBM_VERB_WEIGHTS;
    ex->operator_event.revision = w.version;
    bbm_name_set(ex->operator_event.name, w.model);
    return rc;
}

static int
parse_release(exchange *ex)
{
    platform_release r;
    const char *text = ex->body.len ? (char *)ex->body.data : "";
    int rc = platform_release_read(text, ex->body.len, &r);
    ex->operator_event.verb = BBM_VERB_RELEASE;
    ex->operator_event.revision = r.duration_ms;
    bbm_name_set(ex->operator_event.name, r.service);
    bbm_name_set(ex->operator_event.other_name, r.build);
    return rc;
}

int
front_provider_parse(exchange *ex, const uint8_t *key_secret)
{
    ex->provider_call = platform_call_of(ex->method, ex->path);
    ex->kind = EXCHANGE_OPERATOR;
    ex->operator_event.op = ex->id;
    switch (ex->provider_call) {
    case PLATFORM_ENTRY_ADDRESSES:
        ex->kind = EXCHANGE_ENTRIES;
        ex->entries_max = BBM_ENTRIES_MAX;
        return BBM_OK;
    case PLATFORM_READY:
        return BBM_OK;
    case PLATFORM_CONFIG_PUT:
        return parse_config(ex, key_secret);
    case PLATFORM_CONFIG_GET:
        ex->operator_event.verb = BBM_VERB_SOURCE;
        return BBM_OK;
    case PLATFORM_WEIGHTS_VERSION:
        return parse_weights(ex);
    case PLATFORM_RELEASE_ORDER:
        return parse_release(ex);
    case PLATFORM_RELEASE_GET:
        ex->operator_event.verb = BBM_VERB_RELEASE_GET;
        bbm_name_set(ex->operator_event.name,
                     platform_release_service(ex->path));
        return BBM_OK;
    case PLATFORM_NONE:
        break;
    }
    return BBM_ERR_NO_ROUTE;
}

/* ---- replies ---- */

static void
reply_entries(exchange *ex, const bbm_settings *settings, const bbm_buf *body)
{
    const char *addresses[BBM_ENTRIES_MAX];
    size_t len = 0;
    json_error_t json_error;
    json_t *doc =
        json_loadb((const char *)body->data, body->len, 0, &json_error);
    const json_t *entries = json_object_get(doc, "entries");
    for (size_t i = 0; i < json_array_size(entries) && len < BBM_ENTRIES_MAX;
         i++) {
        const char *url = json_string_value(
            json_object_get(json_array_get(entries, i), "url"));
        if (url && strncmp(url, http_scheme, strlen(http_scheme)) == 0)
            addresses[len++] = url + strlen(http_scheme);
    }
    bbm_buf out = {0};
    platform_entries_body(addresses, len, settings->entry_keep_ms, &out);
    json_decref(doc);
    exchange_answer(ex, 200, json_media_type, out.data, out.len);
    bbm_buf_free(&out);
}

static void
reply_release(exchange *ex, const bbm_buf *body)
{
    bbm_buf out = {0};
    platform_release_body((const char *)body->data, body->len, &out);
    exchange_answer(ex, 200, json_media_type, out.data, out.len);
    bbm_buf_free(&out);
}

void
front_provider_reply(exchange *ex, const bbm_settings *settings, int code,
                     const bbm_buf *body)
{
    if (code != BBM_OK) {
        if (code == BBM_ERR_BACKLOG || code == BBM_ERR_BUSY)
            exchange_set_retry_after(ex, CHANGE_RETRY_MS);
        exchange_answer(ex, bbm_code_status(code), json_media_type, body->data,
                        body->len);
        return;
    }
    switch (ex->provider_call) {
    case PLATFORM_ENTRY_ADDRESSES:
        reply_entries(ex, settings, body);
        return;
    case PLATFORM_CONFIG_GET:
        exchange_answer(ex, 200, json_media_type, body->data, body->len);
        return;
    case PLATFORM_RELEASE_GET:
        reply_release(ex, body);
        return;
    case PLATFORM_READY:
    case PLATFORM_CONFIG_PUT:
    case PLATFORM_WEIGHTS_VERSION:
    case PLATFORM_RELEASE_ORDER:
    case PLATFORM_NONE:
        exchange_answer(ex, 200, json_media_type, "{}", 2);
        return;
    }
}
