/** @file
 *  Load generator: streams completions and compares their events with those
 *  that the stand-in runner sends.
 *
 *      stand_load --url URL --key KEY --streams 1000 --events 200 \
 *                 [--total 1000] [--rate 50] [--groups 8] [--prompt 16384]
 *                 [--model garden] [--seed 1]
 *
 *  At most --streams requests are open at a time.  Without --rate they start
 *  as soon as that permits; with it they arrive as a Poisson process of that
 *  many a second (open loop up to the limit of --streams).  The prompts of a
 *  group have a common prefix of --prompt bytes; group n (from 0) is chosen
 *  with a weight of 1/(n+1).  Prints one line of JSON.  The exit status is 0
 *  if every stream arrived complete and in order, 1 if not, 2 for wrong
 *  arguments.
 */
#include "bbm_hash.h"
#include "bbm_mem.h"
#include "bbm_pack.h"

#include <curl/curl.h>
#include <getopt.h>
#include <jansson.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define PROMPT_SUFFIX_BYTES 64
#define STREAM_TIMEOUT_S 300L
#define POLL_TIMEOUT_MS 2

typedef struct load_desc {
    const char *url;
    const char *key;
    const char *model;
    long streams; /* open at a time */
    long events_per_stream;
    long total;        /* requests; 0: as many as streams */
    double rate_per_s; /* 0: no pacing */
    long groups;
    long prompt_bytes; /* shared by a group */
    uint64_t seed;
} load_desc;

typedef struct stream {
    CURL *easy;
    struct curl_slist *headers;
    char *body;
    bbm_buf response;
    int64_t started_at_us;
    int64_t first_byte_at_us; /* 0: none received */
    int64_t ended_at_us;
    long status; /* HTTP */
} stream;

typedef struct load {
    load_desc desc;
    CURLM *multi;
    stream *streams;
    long started_count;
    long ended_count;
    long complete_count;
    long refused_count; /* status 400 or above */
    long failed_count;  /* truncated, altered or connection failed */
} load;

static int64_t
now_us(void)
{
    struct timespec ts;
    clock_gettime(CLOCK_MONOTONIC, &ts);
    return (int64_t)ts.tv_sec * 1000000 + ts.tv_nsec / 1000;
}

static size_t
on_body(char *data, size_t size, size_t n, void *context)
{
    stream *s = context;
    if (!s->first_byte_at_us)
        s->first_byte_at_us = now_us();
    bbm_buf_add(&s->response, data, size * n);
    return size * n;
}

/* Chooses a group; group n has a weight of 1/(n+1). */
static long
pick_group(const load *l, bbm_rng *rng)
{
    double sum = 0;
    for (long i = 0; i < l->desc.groups; i++)
        sum += 1.0 / (double)(i + 1);
    double at = bbm_rng_unit(rng) * sum;
    for (long i = 0; i < l->desc.groups; i++) {
        at -= 1.0 / (double)(i + 1);
        if (at < 0)
            return i;
    }
    return l->desc.groups - 1;
}

static char *
make_body(const load *l, bbm_rng *rng, long number)
{
    long group = pick_group(l, rng);
    char *prompt =
        bbm_calloc((size_t)l->desc.prompt_bytes + PROMPT_SUFFIX_BYTES, 1);
    for (long i = 0; i < l->desc.prompt_bytes; i++)
        prompt[i] = (char)('a' + (group * 7 + i * (group + 3)) % 26);
    snprintf(prompt + l->desc.prompt_bytes, PROMPT_SUFFIX_BYTES,
             " question %ld", number);
    json_t *doc = json_pack("{s:s, s:s, s:b, s:I}", "model", l->desc.model,
                            "prompt", prompt, "stream", 1, "max_tokens",
                            (json_int_t)l->desc.events_per_stream);
    char *text = json_dumps(doc, JSON_COMPACT);
    json_decref(doc);
    free(prompt);
    return text;
}

static void
start_stream(load *l, bbm_rng *rng)
{
    stream *s = &l->streams[l->started_count];
    char header[512];
    s->body = make_body(l, rng, l->started_count);
    l->started_count++;
    snprintf(header, sizeof(header), "Authorization: Bearer %s", l->desc.key);
    s->headers = curl_slist_append(NULL, header);
    s->headers =
        curl_slist_append(s->headers, "Content-Type: application/json");
    s->headers = curl_slist_append(s->headers, "Expect:");
    s->easy = curl_easy_init();
    curl_easy_setopt(s->easy, CURLOPT_URL, l->desc.url);
    curl_easy_setopt(s->easy, CURLOPT_PROXY, "");
    curl_easy_setopt(s->easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(s->easy, CURLOPT_HTTPHEADER, s->headers);
    curl_easy_setopt(s->easy, CURLOPT_POSTFIELDS, s->body);
    curl_easy_setopt(s->easy, CURLOPT_WRITEFUNCTION, on_body);
    curl_easy_setopt(s->easy, CURLOPT_WRITEDATA, s);
    curl_easy_setopt(s->easy, CURLOPT_PRIVATE, s);
    curl_easy_setopt(s->easy, CURLOPT_TIMEOUT, STREAM_TIMEOUT_S);
    s->started_at_us = now_us();
    curl_multi_add_handle(l->multi, s->easy);
}

/* Whether the response has the events of the stand-in runner in order and
   ends with [DONE]; the usage event between them is not compared. */
static bool
is_complete(const load *l, const stream *s)
{
    bbm_buf expected = {0};
    for (long i = 0; i < l->desc.events_per_stream; i++) {
        char event[96];
        int n = snprintf(event, sizeof(event),
                         "data: {\"choices\":[{\"index\":0,\"text\":"
                         "\"t%ld \"}]}\n\n",
                         i);
        bbm_buf_add(&expected, event, (size_t)n);
    }
    static const char end[] = "data: [DONE]\n\n";
    size_t end_len = sizeof(end) - 1;
    bool same =
        s->response.len > expected.len + end_len
        && memcmp(s->response.data, expected.data, expected.len) == 0
        && memcmp(s->response.data + s->response.len - end_len, end, end_len)
               == 0;
    bbm_buf_free(&expected);
    return same;
}

static void
finish_stream(load *l, stream *s, CURLcode rc)
{
    curl_easy_getinfo(s->easy, CURLINFO_RESPONSE_CODE, &s->status);
    s->ended_at_us = now_us();
    l->ended_count++;
    if (rc == CURLE_OK && s->status == 200 && is_complete(l, s))
        l->complete_count++;
    else if (rc == CURLE_OK && s->status >= 400)
        l->refused_count++;
    else
        l->failed_count++;
    curl_multi_remove_handle(l->multi, s->easy);
    curl_easy_cleanup(s->easy);
    curl_slist_free_all(s->headers);
    free(s->body);
    bbm_buf_free(&s->response);
}

static int
compare_int64(const void *a, const void *b)
{
    int64_t x = *(const int64_t *)a;
    int64_t y = *(const int64_t *)b;
    return (x > y) - (x < y);
}

static int64_t
quantile(const int64_t *sorted, long len, double q)
{
    return len ? sorted[(long)(q * (double)(len - 1))] : 0;
}

static void
print_result(const load *l)
{
    int64_t *first = bbm_calloc((size_t)l->desc.total, sizeof(*first));
    long len = 0;
    for (long i = 0; i < l->desc.total; i++) {
        if (l->streams[i].status == 200 && l->streams[i].first_byte_at_us)
            first[len++] =
                l->streams[i].first_byte_at_us - l->streams[i].started_at_us;
    }
    if (len)
        qsort(first, (size_t)len, sizeof(*first), compare_int64);
    printf("{\"whole\":%ld,\"refused\":%ld,\"broken\":%ld,"
           "\"first_byte_us\":{\"p50\":%lld,\"p95\":%lld,\"p99\":%lld}}\n",
           l->complete_count, l->refused_count, l->failed_count,
           (long long)quantile(first, len, 0.5),
           (long long)quantile(first, len, 0.95),
           (long long)quantile(first, len, 0.99));
    free(first);
}

static void
run_load(load *l)
{
    bbm_rng rng = bbm_rng_of(l->desc.seed);
    int64_t next_start_at_us = now_us();
    while (l->ended_count < l->desc.total) {
        int64_t now = now_us();
        while (l->started_count < l->desc.total && now >= next_start_at_us
               && l->started_count - l->ended_count < l->desc.streams) {
            start_stream(l, &rng);
            if (l->desc.rate_per_s > 0)
                next_start_at_us += (int64_t)(-log(1 - bbm_rng_unit(&rng))
                                              / l->desc.rate_per_s * 1e6);
        }
        int running;
        curl_multi_perform(l->multi, &running);
        CURLMsg *msg;
        int left;
        while ((msg = curl_multi_info_read(l->multi, &left)) != NULL) {
            stream *s = NULL;
            CURLcode rc = msg->data.result;
            curl_easy_getinfo(msg->easy_handle, CURLINFO_PRIVATE, &s);
            finish_stream(l, s, rc);
        }
        curl_multi_poll(l->multi, NULL, 0, POLL_TIMEOUT_MS, NULL);
    }
}

static void
read_arguments(load_desc *d, int argc, char **argv)
{
    static const struct option options[] = {
        {"url", required_argument, NULL, 'u'},
        {"key", required_argument, NULL, 'k'},
        {"model", required_argument, NULL, 'm'},
        {"streams", required_argument, NULL, 's'},
        {"events", required_argument, NULL, 'e'},
        {"total", required_argument, NULL, 't'},
        {"rate", required_argument, NULL, 'r'},
        {"groups", required_argument, NULL, 'g'},
        {"prompt", required_argument, NULL, 'p'},
        {"seed", required_argument, NULL, 'x'},
        {NULL, 0, NULL, 0},
    };
    int opt;
    while ((opt = getopt_long(argc, argv, "", options, NULL)) != -1) {
        long number = optarg ? strtol(optarg, NULL, 10) : 0;
        switch (opt) {
        case 'u':
            d->url = optarg;
            break;
        case 'k':
            d->key = optarg;
            break;
        case 'm':
            d->model = optarg;
            break;
        case 's':
            d->streams = number;
            break;
        case 'e':
            d->events_per_stream = number;
            break;
        case 't':
            d->total = number;
            break;
        case 'r':
            d->rate_per_s = optarg ? strtod(optarg, NULL) : 0;
            break;
        case 'g':
            d->groups = number;
            break;
        case 'p':
            d->prompt_bytes = number;
            break;
        case 'x':
            d->seed = (uint64_t)number;
            break;
        default:
            exit(2);
        }
    }
}

int
main(int argc, char **argv)
{
    load l = {.desc = {.url = "http://127.0.0.1:7411/v1/completions",
                       .key = "none",
                       .model = "garden",
                       .streams = 100,
                       .events_per_stream = 20,
                       .groups = 8,
                       .prompt_bytes = 16384,
                       .seed = 1}};
    read_arguments(&l.desc, argc, argv);
    if (!l.desc.total)
        l.desc.total = l.desc.streams;
    if (bbm_hash_setup() < 0)
        return 2;
    curl_global_init(CURL_GLOBAL_ALL);
    l.multi = curl_multi_init();
    l.streams = bbm_calloc((size_t)l.desc.total, sizeof(stream));
    run_load(&l);
    print_result(&l);
    free(l.streams);
    curl_multi_cleanup(l.multi);
    return l.complete_count == l.desc.total ? 0 : 1;
}
