#include "runner_kv.h"

#include "bbm_pack.h"

#include <curl/curl.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>

static size_t
on_data(char *data, size_t size, size_t n, void *context)
{
    bbm_buf_add(context, data, size * n);
    return size * n;
}

/* Posts the blocks; returns "have" of the answer, 0 on an error. */
static size_t
post_ids(const char *store, const char *path, const bbm_block_id *ids,
         size_t len)
{
    json_t *list = json_array();
    for (size_t i = 0; i < len; i++) {
        char hex[33];
        snprintf(hex, sizeof(hex), "%016llx%016llx",
                 (unsigned long long)ids[i].high,
                 (unsigned long long)ids[i].low);
        json_array_append_new(list, json_string(hex));
    }
    json_t *doc = json_pack("{s:o}", "ids", list);
    char *body = json_dumps(doc, JSON_COMPACT);
    json_decref(doc);
    char url[256];
    bbm_buf answer = {0};
    snprintf(url, sizeof(url), "%s%s", store, path);
    CURL *e = curl_easy_init();
    curl_easy_setopt(e, CURLOPT_URL, url);
    curl_easy_setopt(e, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(e, CURLOPT_PROXY, "");
    curl_easy_setopt(e, CURLOPT_POSTFIELDS, body);
    curl_easy_setopt(e, CURLOPT_WRITEFUNCTION, on_data);
    curl_easy_setopt(e, CURLOPT_WRITEDATA, &answer);
    curl_easy_perform(e);
    curl_easy_cleanup(e);
    free(body);
    json_error_t error;
    json_t *response = json_loadb((char *)answer.data, answer.len, 0, &error);
    json_int_t have = json_integer_value(json_object_get(response, "have"));
    json_decref(response);
    bbm_buf_free(&answer);
    return have > 0 ? (size_t)have : 0;
}

size_t
runner_kv_count_stored(const char *store, const bbm_block_id *ids, size_t len)
{
    return post_ids(store, "/have", ids, len);
}

void
runner_kv_export(const char *store, const bbm_block_id *ids, size_t len)
{
    post_ids(store, "/export", ids, len);
}
