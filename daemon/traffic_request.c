#include "traffic_request.h"

#include "calls.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define CONNECT_TIMEOUT_MS 1000L
#define READ_BUFFER_BYTES 16384L

static void
add_header(traffic_transfer *x, const char *format, const char *value)
{
    char line[EXCHANGE_HEADER_SIZE + BBM_NAME_SIZE];
    snprintf(line, sizeof(line), format, value);
    calls_append_header(&x->headers, line);
}

/* No other header of the client is sent to an upstream: the API key must not
   reach it. */
static void
add_headers(traffic_transfer *x)
{
    const bbm_start *s = &x->start;
    char priority[16];
    snprintf(priority, sizeof(priority), "%u", s->priority);
    add_header(x, "Content-Type: %s",
               x->ex->content_type[0] ? x->ex->content_type
                                      : "application/json");
    if (x->ex->accept[0])
        add_header(x, "Accept: %s", x->ex->accept);
    add_header(x, "Expect:%s", "");
    add_header(x, "X-Request-Id: %s", s->request_id);
    if (!s->weights[0])
        return;
    add_header(x, "X-Priority: %s", priority);
    add_header(x, "X-Weights: %s", s->weights);
    add_header(x, "X-Cache-Scope: %s", s->cache_salt[0] ? s->cache_salt : "-");
    if (s->import_cache)
        add_header(x, "X-Cache-Import: %s", "1");
}

void
traffic_request_build(traffic_transfer *x)
{
    const exchange *ex = x->ex;
    BBM_AUTO_FREE char *url = NULL;
    if (asprintf(&url, "%s%s%s", x->start.url, ex->path, ex->query) < 0)
        abort();
    CURL *e = calls_create_easy(url, "http,https", CONNECT_TIMEOUT_MS);
    x->easy = e;
    curl_easy_setopt(e, CURLOPT_PRIVATE, x);
    curl_easy_setopt(e, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(e, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(e, CURLOPT_BUFFERSIZE, READ_BUFFER_BYTES);
    add_headers(x);
    curl_easy_setopt(e, CURLOPT_HTTPHEADER, x->headers);
    if (x->start.no_retry)
        calls_forbid_reuse(e);
    bool has_body = ex->body.len || strcmp(ex->method, "POST") == 0
                    || strcmp(ex->method, "PUT") == 0;
    calls_set_request(e, ex->method, has_body ? &ex->body : NULL);
}
