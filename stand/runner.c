/** @file
 *  Stand-in for a model runner: prefix cache, batching, reports, orders.
 *
 *  It implements the protocol of docs/UPSTREAM.md.  POST /fault with a JSON
 *  object injects faults:
 *
 *      {"reset":true}      crash: new incarnation, empty cache, streams abort
 *      {"lose_events":3}   the next 3 cache events get a sequence number, but
 *                          are not reported
 *      {"fail":2}          the next 2 requests are answered with 503
 *      {"cut_after":5}     streams end after 5 events without an error and
 *                          without [DONE]; 0 turns it off
 *      {"cross":1}         the next answer carries another X-Request-Id
 *      {"leaving":true}    reports that it accepts no new requests
 *      {"lag_ms":500}      reports describe the state 500 ms ago
 */
#include "bbm_cache.h"
#include "bbm_prompt_text.h"
#include "runner_kv.h"
#include "stand_http.h"

#include <curl/curl.h>
#include <getopt.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>
#include <uthash.h>

/* Cache events that can still be reported; older ones are overwritten. */
#define EVENTS_MAX 65536
/* Maximum number of blocks of a prompt; later ones are not cached. */
#define BLOCKS_MAX 512
#define WEIGHT_LOAD_MS 600
/* Samples of the load, for reports that describe an earlier moment. */
#define SAMPLES_MAX 64

typedef struct cached_block {
    bbm_block_id id;
    TAILQ_ENTRY(cached_block) link;
    UT_hash_handle hh;
} cached_block;

typedef struct event {
    uint64_t sequence;
    bool removed; /* from the cache; false: stored */
    bool lost;    /* by fault injection: never reported */
    bbm_block_id id;
} event;

typedef struct sample {
    int64_t at_ms;
    uint32_t running;
    uint32_t queued;
    double backlog_tokens;
} sample;

typedef struct runner {
    uint16_t port;
    char weights[BBM_NAME_SIZE];
    size_t block_bytes;
    int64_t bytes_per_token;
    size_t cache_blocks; /* capacity of the cache */
    double prefill_tokens_per_s;
    int64_t token_ms;     /* time between generated tokens */
    uint32_t slots;       /* requests that run concurrently */
    int64_t lag_ms;       /* age of the reported load */
    bool fencing;         /* rejects orders with an older fencing token */
    const char *kv_store; /* URL; NULL: none */
    double import_tokens_per_s;

    pthread_mutex_t lock;
    pthread_cond_t slot_freed;
    pthread_mutex_t prefill_lock; /* one prefill at a time */
    uint64_t incarnation;
    uint64_t epoch; /* incremented by a reset; aborts older streams */
    cached_block *blocks;
    TAILQ_HEAD(, cached_block) lru; /* least recently used first */
    event events[EVENTS_MAX];       /* ring, indexed by sequence number */
    uint64_t last_event;            /* sequence number; 0: none yet */
    uint32_t running;               /* requests in a slot */
    uint32_t queued;                /* requests that wait for a slot */
    double backlog_tokens;          /* still to prefill */
    sample samples[SAMPLES_MAX];
    size_t sample_at;
    bool leaving;
    bool loading;
    int64_t fail_count;
    int64_t lose_events_count;
    int64_t truncate_after_events;
    int64_t wrong_id_count;
    uint64_t fencing_token; /* of the newest order */
    uint64_t served_requests;
    double prompt_tokens;
    double hit_tokens;
    double imported_tokens;
} runner;

/* ---- cache ---- */

static void
add_event(runner *r, bool removed, bbm_block_id id)
{
    bool lost = r->lose_events_count > 0;
    if (lost)
        r->lose_events_count--;
    r->last_event++;
    r->events[r->last_event % EVENTS_MAX] = (event){
        .sequence = r->last_event,
        .removed = removed,
        .lost = lost,
        .id = id,
    };
}

static void
evict_block(runner *r)
{
    cached_block *c = TAILQ_FIRST(&r->lru);
    TAILQ_REMOVE(&r->lru, c, link);
    HASH_DEL(r->blocks, c);
    add_event(r, true, c->id);
    free(c);
}

static bool
touch_block(runner *r, bbm_block_id id)
{
    cached_block *c = NULL;
    HASH_FIND(hh, r->blocks, &id, sizeof(id), c);
    if (!c)
        return false;
    TAILQ_REMOVE(&r->lru, c, link);
    TAILQ_INSERT_TAIL(&r->lru, c, link);
    return true;
}

static void
store_block(runner *r, bbm_block_id id)
{
    if (touch_block(r, id))
        return;
    while (HASH_COUNT(r->blocks) >= r->cache_blocks)
        evict_block(r);
    cached_block *c = bbm_calloc(1, sizeof(*c));
    c->id = id;
    HASH_ADD(hh, r->blocks, id, sizeof(c->id), c);
    TAILQ_INSERT_TAIL(&r->lru, c, link);
    add_event(r, false, id);
}

static void
empty_cache(runner *r)
{
    while (HASH_COUNT(r->blocks))
        evict_block(r);
}

/* ---- completions ---- */

typedef struct stream {
    runner *r;
    uint64_t epoch; /* of the runner after the prefill */
    int64_t next_token;
    int64_t output_tokens;
    int64_t prompt_tokens;
    int64_t hit_tokens;
    bool ended;
} stream;

static void
record_sample(runner *r)
{
    r->sample_at = (r->sample_at + 1) % SAMPLES_MAX;
    r->samples[r->sample_at] = (sample){
        .at_ms = stand_now_ms(),
        .running = r->running,
        .queued = r->queued,
        .backlog_tokens = r->backlog_tokens,
    };
}

static void
leave_batch(runner *r)
{
    pthread_mutex_lock(&r->lock);
    r->running--;
    record_sample(r);
    pthread_cond_signal(&r->slot_freed);
    pthread_mutex_unlock(&r->lock);
}

static void
end_stream(void *context)
{
    stream *s = context;
    leave_batch(s->r);
    free(s);
}

static ssize_t
next_event(void *context, uint64_t pos, char *buf, size_t max)
{
    (void)pos;
    stream *s = context;
    runner *r = s->r;
    if (s->ended)
        return MHD_CONTENT_READER_END_OF_STREAM;
    if (s->epoch != r->epoch)
        return MHD_CONTENT_READER_END_WITH_ERROR;
    if (r->truncate_after_events && s->next_token >= r->truncate_after_events)
        return MHD_CONTENT_READER_END_OF_STREAM;
    if (s->next_token < s->output_tokens) {
        stand_sleep_ms(s->next_token ? r->token_ms : 0);
        int n = snprintf(buf, max,
                         "data: {\"choices\":[{\"index\":0,\"text\":"
                         "\"t%lld \"}]}\n\n",
                         (long long)s->next_token);
        s->next_token++;
        return n;
    }
    s->ended = true;
    return snprintf(buf, max,
                    "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":%lld,"
                    "\"completion_tokens\":%lld,\"prompt_tokens_details\":"
                    "{\"cached_tokens\":%lld}}}\n\ndata: [DONE]\n\n",
                    (long long)s->prompt_tokens, (long long)s->output_tokens,
                    (long long)s->hit_tokens);
}

/* A prompt's blocks, identified as in the cache and the KV store. */
typedef struct prompt_blocks {
    bbm_block_id ids[BLOCKS_MAX];
    size_t len;
    size_t hit_blocks;      /* leading blocks that were cached */
    size_t imported_blocks; /* following blocks, from the KV store */
    double tokens;          /* of the prompt, computed from its bytes */
    double block_tokens;    /* tokens of one block */
} prompt_blocks;

static prompt_blocks
prompt_blocks_of(const runner *r, const bbm_completion_request *request,
                 const char *scope)
{
    prompt_blocks p = {0};
    p.len = bbm_prompt_block_ids(request->units, request->units_len,
                                 r->block_bytes, p.ids, BLOCKS_MAX);
    p.block_tokens = (double)r->block_bytes / (double)r->bytes_per_token;
    p.tokens = (double)request->prompt_bytes / (double)r->bytes_per_token;
    bbm_block_id chain = bbm_chain_start(scope, r->weights);
    for (size_t i = 0; i < p.len; i++) {
        chain = bbm_chain_next(chain, p.ids[i]);
        p.ids[i] = chain;
    }
    return p;
}

/* Waits for a free slot in the batch, then counts the cached blocks. */
static void
join_batch(runner *r, prompt_blocks *p, const bbm_completion_request *request,
           const char *scope)
{
    pthread_mutex_lock(&r->lock);
    r->queued++;
    while (r->running >= r->slots)
        pthread_cond_wait(&r->slot_freed, &r->lock);
    r->queued--;
    r->running++;
    *p = prompt_blocks_of(r, request, scope);
    while (p->hit_blocks < p->len && touch_block(r, p->ids[p->hit_blocks]))
        p->hit_blocks++;
    r->served_requests++;
    pthread_mutex_unlock(&r->lock);
}

/* Sleeps for the prefill of the tokens that are neither cached nor imported,
   then caches all blocks of the prompt. */
static void
run_prefill(runner *r, const bbm_completion_request *request,
            const char *scope, bool import, stream *s)
{
    prompt_blocks p;
    join_batch(r, &p, request, scope);
    if (import && r->kv_store && r->import_tokens_per_s > 0)
        p.imported_blocks = runner_kv_count_stored(
            r->kv_store, p.ids + p.hit_blocks, p.len - p.hit_blocks);
    double imported = (double)p.imported_blocks * p.block_tokens;
    double hit = (double)p.hit_blocks * p.block_tokens;
    double miss = p.tokens - hit - imported;
    pthread_mutex_lock(&r->lock);
    r->backlog_tokens += miss;
    r->prompt_tokens += p.tokens;
    r->hit_tokens += hit;
    r->imported_tokens += imported;
    record_sample(r);
    pthread_mutex_unlock(&r->lock);
    pthread_mutex_lock(&r->prefill_lock);
    stand_sleep_ms((int64_t)(miss / r->prefill_tokens_per_s * 1000));
    pthread_mutex_unlock(&r->prefill_lock);
    if (p.imported_blocks)
        stand_sleep_ms((int64_t)(imported / r->import_tokens_per_s * 1000));
    if (r->kv_store && p.len)
        runner_kv_export(r->kv_store, p.ids, p.len);
    pthread_mutex_lock(&r->lock);
    r->backlog_tokens -= miss;
    for (size_t i = 0; i < p.len; i++)
        store_block(r, p.ids[i]);
    record_sample(r);
    s->epoch = r->epoch;
    pthread_mutex_unlock(&r->lock);
    s->prompt_tokens = (int64_t)p.tokens;
    s->hit_tokens = (int64_t)(hit + imported);
}

static enum MHD_Result
reply_completion(stand_request *q, stream *s)
{
    bbm_buf text = {0};
    for (int64_t i = 0; i < s->output_tokens; i++) {
        char word[32];
        int n = snprintf(word, sizeof(word), "t%lld ", (long long)i);
        bbm_buf_add(&text, word, (size_t)n);
    }
    stand_sleep_ms(s->r->token_ms * s->output_tokens);
    json_t *doc = json_pack(
        "{s:[{s:i, s:s%}], s:{s:I, s:I, s:{s:I}}}", "choices", "index", 0,
        "text", (char *)text.data, text.len, "usage", "prompt_tokens",
        (json_int_t)s->prompt_tokens, "completion_tokens",
        (json_int_t)s->output_tokens, "prompt_tokens_details", "cached_tokens",
        (json_int_t)s->hit_tokens);
    bbm_buf_free(&text);
    end_stream(s);
    return stand_reply(q, 200, doc);
}

static enum MHD_Result
reply_error(stand_request *q, unsigned status, const char *reason)
{
    return stand_reply(q, status, json_pack("{s:s}", "error", reason));
}

static enum MHD_Result
handle_completion(runner *r, stand_request *q)
{
    pthread_mutex_lock(&r->lock);
    bool fails = r->fail_count > 0;
    if (fails)
        r->fail_count--;
    if (r->wrong_id_count > 0) {
        r->wrong_id_count--;
        q->response_id = "another";
    }
    const char *wanted = stand_header(q, "X-Weights");
    bool other = wanted[0] && strcmp(wanted, r->weights) != 0;
    bool loading = r->loading;
    pthread_mutex_unlock(&r->lock);
    if (fails || loading)
        return reply_error(q, 503, "unavailable");
    if (other)
        return reply_error(q, 412, "other weights are loaded");
    bbm_completion_request request;
    if (bbm_completion_request_parse((char *)q->body.data, q->body.len,
                                     &request)
        < 0)
        return reply_error(q, 400, "malformed");
    const char *scope = stand_header(q, "X-Cache-Scope");
    stream *s = bbm_calloc(1, sizeof(*s));
    s->r = r;
    s->output_tokens =
        request.output_tokens_max ? request.output_tokens_max : 16;
    bool import = stand_header(q, "X-Cache-Import")[0] != '\0';
    run_prefill(r, &request, strcmp(scope, "-") == 0 ? "" : scope, import, s);
    bool streams = request.stream;
    bbm_completion_request_free(&request);
    if (!streams)
        return reply_completion(q, s);
    return stand_stream(q, "text/event-stream", next_event, s, end_stream);
}

/* ---- state ---- */

static json_t *
event_json(uint64_t number, bool removed, bbm_block_id id)
{
    char hex[33];
    snprintf(hex, sizeof(hex), "%016llx%016llx", (unsigned long long)id.high,
             (unsigned long long)id.low);
    return json_pack("[I, s, s]", (json_int_t)number, removed ? "r" : "s",
                     hex);
}

static json_t *
events_json(const runner *r, uint64_t after, bool is_snapshot)
{
    json_t *list = json_array();
    if (is_snapshot) {
        const cached_block *c;
        TAILQ_FOREACH(c, &r->lru, link)
        {
            json_array_append_new(
                list,
                event_json(r->last_event ? r->last_event : 1, false, c->id));
        }
        return list;
    }
    for (uint64_t n = after + 1; n <= r->last_event; n++) {
        const event *e = &r->events[n % EVENTS_MAX];
        if (e->sequence == n && !e->lost)
            json_array_append_new(list, event_json(n, e->removed, e->id));
    }
    return list;
}

static sample
delayed_sample(const runner *r)
{
    int64_t wanted = stand_now_ms() - r->lag_ms;
    for (size_t i = 0; i < SAMPLES_MAX; i++) {
        const sample *s =
            &r->samples[(r->sample_at + SAMPLES_MAX - i) % SAMPLES_MAX];
        if (s->at_ms <= wanted)
            return *s;
    }
    return (sample){0};
}

static enum MHD_Result
reply_state(runner *r, stand_request *q)
{
    const char *after_text = stand_query_argument(q, "after");
    uint64_t after = after_text ? strtoull(after_text, NULL, 10) : 0;
    bool is_snapshot = stand_query_argument(q, "whole") != NULL;
    char run[32];
    pthread_mutex_lock(&r->lock);
    snprintf(run, sizeof(run), "%llu", (unsigned long long)r->incarnation);
    sample s = delayed_sample(r);
    json_t *doc = json_pack(
        "{s:s, s:s, s:I, s:I, s:I, s:I, s:b, s:b, s:b, s:I, s:I, s:o}",
        "incarnation", run, "weights", r->weights, "running",
        (json_int_t)s.running, "queued", (json_int_t)s.queued,
        "backlog_tokens",
        (json_int_t)(s.backlog_tokens > 0 ? s.backlog_tokens : 0), "age_ms",
        (json_int_t)r->lag_ms, "leaving", r->leaving, "loading", r->loading,
        "whole", is_snapshot, "first_event",
        (json_int_t)(after < r->last_event ? after + 1 : 0), "last_event",
        (json_int_t)r->last_event, "events",
        events_json(r, after, is_snapshot));
    pthread_mutex_unlock(&r->lock);
    return stand_reply(q, 200, doc);
}

static enum MHD_Result
reply_statistics(runner *r, stand_request *q)
{
    pthread_mutex_lock(&r->lock);
    json_t *doc = json_pack(
        "{s:I, s:f, s:f, s:f, s:I, s:s}", "served",
        (json_int_t)r->served_requests, "prompt_tokens", r->prompt_tokens,
        "hit_tokens", r->hit_tokens, "imported_tokens", r->imported_tokens,
        "blocks", (json_int_t)HASH_COUNT(r->blocks), "weights", r->weights);
    pthread_mutex_unlock(&r->lock);
    return stand_reply(q, 200, doc);
}

/* ---- orders ---- */

typedef struct load_job {
    runner *r;
    char weights[BBM_NAME_SIZE];
    char *source;
} load_job;

static size_t
discard_data(char *data, size_t size, size_t n, void *context)
{
    (void)data;
    (void)context;
    return size * n;
}

static void
fetch(const char *url)
{
    CURL *e = curl_easy_init();
    curl_easy_setopt(e, CURLOPT_URL, url);
    curl_easy_setopt(e, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(e, CURLOPT_PROXY, "");
    curl_easy_setopt(e, CURLOPT_WRITEFUNCTION, discard_data);
    curl_easy_perform(e);
    curl_easy_cleanup(e);
}

static void *
load_weights(void *context)
{
    load_job *j = context;
    runner *r = j->r;
    if (strncmp(j->source, "http://127.0.0.1", 16) == 0)
        fetch(j->source);
    else
        stand_sleep_ms(WEIGHT_LOAD_MS);
    pthread_mutex_lock(&r->lock);
    empty_cache(r);
    bbm_name_set(r->weights, j->weights);
    r->loading = false;
    pthread_mutex_unlock(&r->lock);
    free(j->source);
    free(j);
    return NULL;
}

static enum MHD_Result
handle_order(runner *r, stand_request *q)
{
    json_error_t error;
    json_t *doc = json_loads((char *)q->body.data, 0, &error);
    const char *weights = json_string_value(json_object_get(doc, "weights"));
    const char *source = json_string_value(json_object_get(doc, "source"));
    uint64_t fencing_token =
        (uint64_t)json_integer_value(json_object_get(doc, "fence"));
    if (!weights) {
        json_decref(doc);
        return reply_error(q, 400, "malformed");
    }
    pthread_mutex_lock(&r->lock);
    bool fenced = r->fencing && fencing_token < r->fencing_token;
    bool repeated = fencing_token == r->fencing_token && r->loading;
    if (!fenced)
        r->fencing_token = fencing_token;
    if (!fenced && !repeated)
        r->loading = true;
    pthread_mutex_unlock(&r->lock);
    if (!fenced && !repeated) {
        load_job *j = bbm_calloc(1, sizeof(*j));
        j->r = r;
        j->source = bbm_strdup(source ? source : "");
        bbm_name_set(j->weights, weights);
        pthread_t thread;
        pthread_create(&thread, NULL, load_weights, j);
        pthread_detach(thread);
    }
    json_decref(doc);
    return fenced ? reply_error(q, 409, "fenced")
                  : stand_reply(q, 202, json_pack("{s:b}", "taken", 1));
}

/* ---- faults ---- */

static void
set_number(const json_t *doc, const char *name, int64_t *value)
{
    json_t *value_json = json_object_get(doc, name);
    if (json_is_integer(value_json))
        *value = json_integer_value(value_json);
}

static enum MHD_Result
handle_fault(runner *r, stand_request *q)
{
    json_error_t error;
    json_t *doc = json_loads((char *)q->body.data, 0, &error);
    pthread_mutex_lock(&r->lock);
    set_number(doc, "lose_events", &r->lose_events_count);
    set_number(doc, "fail", &r->fail_count);
    set_number(doc, "cross", &r->wrong_id_count);
    set_number(doc, "cut_after", &r->truncate_after_events);
    set_number(doc, "lag_ms", &r->lag_ms);
    json_t *leaving = json_object_get(doc, "leaving");
    if (leaving)
        r->leaving = json_is_true(leaving);
    if (json_is_true(json_object_get(doc, "reset"))) {
        empty_cache(r);
        r->incarnation++;
        r->epoch++;
        r->last_event = 0;
        memset(r->events, 0, sizeof(r->events));
    }
    pthread_mutex_unlock(&r->lock);
    json_decref(doc);
    return stand_reply(q, 200, json_pack("{s:b}", "done", 1));
}

static enum MHD_Result
on_request(void *context, stand_request *q)
{
    runner *r = context;
    if (strcmp(q->path, "/v1/state") == 0)
        return reply_state(r, q);
    if (strcmp(q->path, "/v1/orders") == 0)
        return handle_order(r, q);
    if (strcmp(q->path, "/fault") == 0)
        return handle_fault(r, q);
    if (strcmp(q->path, "/figures") == 0)
        return reply_statistics(r, q);
    return handle_completion(r, q);
}

/* ---- command line ---- */

static void
read_arguments(runner *r, int argc, char **argv)
{
    static const struct option options[] = {
        {"port", required_argument, NULL, 'p'},
        {"weights", required_argument, NULL, 'w'},
        {"block-bytes", required_argument, NULL, 'b'},
        {"cache-blocks", required_argument, NULL, 'c'},
        {"prefill", required_argument, NULL, 'r'},
        {"token-ms", required_argument, NULL, 't'},
        {"slots", required_argument, NULL, 's'},
        {"lag-ms", required_argument, NULL, 'l'},
        {"fencing", no_argument, NULL, 'f'},
        {"kv-store", required_argument, NULL, 'k'},
        {"import", required_argument, NULL, 'i'},
        {NULL, 0, NULL, 0},
    };
    int opt;
    while ((opt = getopt_long(argc, argv, "", options, NULL)) != -1) {
        long long number = optarg ? strtoll(optarg, NULL, 10) : 0;
        switch (opt) {
        case 'p':
            r->port = (uint16_t)number;
            break;
        case 'w':
            bbm_name_set(r->weights, optarg);
            break;
        case 'b':
            r->block_bytes = (size_t)number;
            break;
        case 'c':
            r->cache_blocks = (size_t)number;
            break;
        case 'r':
            r->prefill_tokens_per_s = (double)number;
            break;
        case 't':
            r->token_ms = number;
            break;
        case 's':
            r->slots = (uint32_t)number;
            break;
        case 'l':
            r->lag_ms = number;
            break;
        case 'f':
            r->fencing = true;
            break;
        case 'k':
            r->kv_store = optarg;
            break;
        case 'i':
            r->import_tokens_per_s = (double)number;
            break;
        default:
            fputs("usage: stand_runner --port N [--weights V] "
                  "[--block-bytes N] [--cache-blocks N] [--prefill N] "
                  "[--token-ms N] [--slots N] [--lag-ms N] [--fencing] "
                  "[--kv-store URL] [--import N]\n",
                  stderr);
            exit(2);
        }
    }
}

int
main(int argc, char **argv)
{
    bbm_hash_setup();
    curl_global_init(CURL_GLOBAL_ALL);
    runner *r = bbm_calloc(1, sizeof(*r));
    *r = (runner){
        .block_bytes = 8192,
        .bytes_per_token = 4,
        .cache_blocks = 256,
        .prefill_tokens_per_s = 50000,
        .token_ms = 5,
        .slots = 16,
        .lag_ms = 100,
    };
    bbm_name_set(r->weights, "v1");
    pthread_mutex_init(&r->lock, NULL);
    pthread_mutex_init(&r->prefill_lock, NULL);
    pthread_cond_init(&r->slot_freed, NULL);
    TAILQ_INIT(&r->lru);
    bbm_random_bytes(&r->incarnation, 4);
    r->incarnation++;
    read_arguments(r, argc, argv);
    stand_block_signals();
    stand_server *s = stand_listen(r->port, on_request, r);
    stand_wait();
    stand_close(s);
}
