#include "traffic_request.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define CONNECT_MS 1000L
/* Bytes that the library reads at once. */
#define READ_BYTES 16384L

static void
add_header(traffic_transfer *x, const char *format, const char *value)
{
    char line[EXCHANGE_HEADER_SIZE + BBM_NAME_SIZE];
    snprintf(line, sizeof(line), format, value);
    struct curl_slist *longer = curl_slist_append(x->headers, line);
    if (longer)
        x->headers = longer;
}

/* Only these headers reach an upstream; none that a caller's key is in. */
static void
add_headers(traffic_transfer *x)
{
    const bbm_start *s = &x->start;
    char number[16];
    snprintf(number, sizeof(number), "%u", s->priority);
    add_header(x, "Content-Type: %s",
               x->ex->type[0] ? x->ex->type : "application/json");
    if (x->ex->accept[0])
        add_header(x, "Accept: %s", x->ex->accept);
    add_header(x, "Expect:%s", "");
    add_header(x, "X-Request-Id: %s", s->id);
    if (!s->weights[0])
        return;
    add_header(x, "X-Priority: %s", number);
    add_header(x, "X-Weights: %s", s->weights);
    add_header(x, "X-Cache-Scope: %s", s->salt[0] ? s->salt : "-");
    if (s->import)
        add_header(x, "X-Cache-Import: %s", "1");
}

static void
set_method(traffic_transfer *x)
{
    const char *method = x->ex->method;
    bool has_body = x->ex->body.len || strcmp(method, "POST") == 0
                    || strcmp(method, "PUT") == 0;
    if (has_body) {
        /* The body outlives the transfer: it is not copied. */
        const char *body = x->ex->body.len ? (char *)x->ex->body.data : "";
        curl_easy_setopt(x->easy, CURLOPT_POSTFIELDSIZE_LARGE,
                         (curl_off_t)x->ex->body.len);
        curl_easy_setopt(x->easy, CURLOPT_POSTFIELDS, body);
    }
    if (strcmp(method, "HEAD") == 0)
        curl_easy_setopt(x->easy, CURLOPT_NOBODY, 1L);
    else
        curl_easy_setopt(x->easy, CURLOPT_CUSTOMREQUEST, method);
}

void
traffic_request_set(traffic_transfer *x)
{
    CURL *e = x->easy;
    BBM_AUTO_FREE char *url = NULL;
    if (asprintf(&url, "%s%s%s", x->start.url, x->ex->path, x->ex->query) < 0)
        abort();
    curl_easy_setopt(e, CURLOPT_URL, url);
    curl_easy_setopt(e, CURLOPT_PRIVATE, x);
    curl_easy_setopt(e, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(e, CURLOPT_PROXY, "");
    curl_easy_setopt(e, CURLOPT_FOLLOWLOCATION, 0L);
    curl_easy_setopt(e, CURLOPT_PROTOCOLS_STR, "http,https");
    curl_easy_setopt(e, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(e, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(e, CURLOPT_CONNECTTIMEOUT_MS, CONNECT_MS);
    curl_easy_setopt(e, CURLOPT_BUFFERSIZE, READ_BYTES);
    add_headers(x);
    curl_easy_setopt(e, CURLOPT_HTTPHEADER, x->headers);
    if (x->start.once) {
        curl_easy_setopt(e, CURLOPT_FRESH_CONNECT, 1L);
        curl_easy_setopt(e, CURLOPT_FORBID_REUSE, 1L);
    }
    set_method(x);
}
