#include "routing_world.h"

#include "bbm_admission.h"
#include "bbm_pack.h"
#include "bbm_table.h"
#include "cpu_clock.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#define RUNNERS_COUNT 18
#define DAEMONS_COUNT 9
#define CUSTOMERS_COUNT 5
#define BLOCKS_MAX 16
#define BLOCK_TOKENS 2048.0
#define PREFILL_TOKENS_PER_S 20000.0
#define SLOTS_COUNT 16
#define ZONES_COUNT 3
#define HISTORY_LEN 64
#define CACHE_BLOCKS_MAX 400
#define LOOKAHEAD_REQUESTS 8
#define TICK_INTERVAL (2 * BBM_MS)
#define REPORT_PERIOD (250 * BBM_MS)
#define REPORT_LAG (200 * BBM_MS)
#define RUN_S 60
#define WARM_UP (12 * BBM_SECOND)
#define REQUESTS_MAX 60000
#define TOKEN_INTERVAL (20 * BBM_MS)
#define TOKEN_INTERVAL_S 0.02
#define QUEUE_TIMEOUT (8 * BBM_SECOND)

#define TAIL_MIN_TOKENS 100
#define TAIL_RANGE_TOKENS 600
#define MEAN_TAIL_TOKENS 400
#define MISS_SHARE 0.12 /* of prefix tokens, assumed for the capacity */
#define EVENT_LOSS_INTERVAL 400 /* evictions per lost event, on average */
#define SHIFT_INTERVAL (10 * BBM_SECOND)
#define SHIFT_ROOTS 3
#define CRASH_INTERVAL (15 * BBM_SECOND)
/* FAULT_CUSTOMER_10X: the customer, its share of the requests, the factor of
   the total demand, and its token bucket. */
#define BURST_CUSTOMER (CUSTOMERS_COUNT - 1)
#define BURST_CUSTOMER_SHARE 0.33
#define BURST_DEMAND_RATIO 1.45
#define BUCKET_RATE_SHARE (2 * 0.05) /* twice its normal share of requests */
#define BUCKET_BURST_S 5

/* ---- runners ---- */

typedef struct cached_block {
    bbm_block_id id;
    TAILQ_ENTRY(cached_block) link;
    UT_hash_handle hh;
} cached_block;

typedef struct request {
    uint64_t id;
    int customer;
    int daemon;
    bbm_block_id blocks[BLOCKS_MAX];
    size_t len;
    double tokens; /* of the prompt */
    double output_tokens;
    bbm_time arrived_at;
    bbm_time first_token_at; /* 0: not started */
    bbm_pick pick;
    int runner;
    bool started;
    bool refused;
    double miss_tokens; /* to prefill; negated after the first token */
    STAILQ_ENTRY(request) link;
} request;

STAILQ_HEAD(request_queue, request);

typedef struct sim_runner {
    char name[BBM_NAME_SIZE];
    char zone[BBM_NAME_SIZE];
    cached_block *cache;
    TAILQ_HEAD(, cached_block) lru; /* least recently used first */
    struct request_queue waiting;
    request *batch[SLOTS_COUNT];
    bbm_time ends_at[SLOTS_COUNT];
    size_t running;
    double backlog_tokens;
    bbm_time prefill_free_at; /* end of the last prefill */
    uint64_t incarnation;
    bool is_down;
    bbm_cache_event *events;
    size_t events_len;
    size_t events_cap;
    size_t reported_events[DAEMONS_COUNT]; /* to each daemon */
    uint64_t first_sequence;               /* of events[0] */
    uint32_t history_running[HISTORY_LEN];
    uint32_t history_queued[HISTORY_LEN];
    double history_backlog_tokens[HISTORY_LEN];
} sim_runner;

typedef struct sim {
    trace_desc trace;
    routing_mode mode;
    fault fault;
    double load;
    bbm_rng rng;
    bbm_config *config;
    bbm_fleet *fleets[DAEMONS_COUNT];
    bbm_admission *queues[DAEMONS_COUNT];
    sim_runner runners[RUNNERS_COUNT];
    request *requests;
    size_t requests_len;
    bbm_time now;
    uint64_t next_number;
    int hot_shift;
    double bucket_tokens; /* token bucket of BURST_CUSTOMER */
    double bucket_tokens_per_s;
    size_t picks;
    double pick_ns;
    size_t history_at; /* newest entry of the runners' history rings */
} sim;

static void
add_event(sim_runner *r, bool removed, bbm_block_id id, bool lost)
{
    bbm_grow(&r->events, &r->events_cap, r->events_len, sizeof(*r->events));
    r->events[r->events_len] = (bbm_cache_event){
        .sequence = r->first_sequence + r->events_len,
        .removed = removed,
        .id = id,
    };
    if (lost)
        r->events[r->events_len].sequence = 0;
    r->events_len++;
}

static bool
touch_block(sim_runner *r, bbm_block_id id)
{
    cached_block *h = NULL;
    HASH_FIND(hh, r->cache, &id, sizeof(id), h);
    if (!h)
        return false;
    TAILQ_REMOVE(&r->lru, h, link);
    TAILQ_INSERT_TAIL(&r->lru, h, link);
    return true;
}

static void
evict_block(sim *s, sim_runner *r)
{
    cached_block *h = TAILQ_FIRST(&r->lru);
    TAILQ_REMOVE(&r->lru, h, link);
    HASH_DEL(r->cache, h);
    bool lost = s->fault == FAULT_EVENT_GAPS
                && bbm_rng_below(&s->rng, EVENT_LOSS_INTERVAL) == 0;
    add_event(r, true, h->id, lost);
    free(h);
}

static void
store_block(sim *s, sim_runner *r, bbm_block_id id)
{
    if (touch_block(r, id))
        return;
    while (HASH_COUNT(r->cache) >= CACHE_BLOCKS_MAX)
        evict_block(s, r);
    cached_block *h = bbm_calloc(1, sizeof(*h));
    h->id = id;
    HASH_ADD(hh, r->cache, id, sizeof(h->id), h);
    TAILQ_INSERT_TAIL(&r->lru, h, link);
    add_event(r, false, id, false);
}

static void
clear_cache(sim_runner *r)
{
    BBM_TABLE_FREE(cached_block, r->cache);
    TAILQ_INIT(&r->lru);
    r->first_sequence = 1;
    r->events_len = 0;
    r->incarnation++;
    memset(r->reported_events, 0, sizeof(r->reported_events));
}

/* Identifier of block i of a request, chained over the blocks before it. */
static bbm_block_id
block_id_at(const request *q, size_t i)
{
    char scope[BBM_NAME_SIZE];
    snprintf(scope, sizeof(scope), "c%d", q->customer);
    bbm_block_id id = bbm_chain_start(scope, "v1");
    for (size_t j = 0; j <= i; j++)
        id = bbm_chain_next(id, q->blocks[j]);
    return id;
}

static void
start_request(sim *s, sim_runner *r, request *q)
{
    size_t hits = 0;
    while (hits < q->len && touch_block(r, block_id_at(q, hits)))
        hits++;
    double miss = q->tokens - (double)hits * BLOCK_TOKENS;
    bbm_time start = r->prefill_free_at > s->now ? r->prefill_free_at : s->now;
    bbm_time prefill_time =
        (bbm_time)(miss / PREFILL_TOKENS_PER_S * (double)BBM_SECOND);
    r->prefill_free_at = start + prefill_time;
    q->miss_tokens = miss;
    q->first_token_at = start + prefill_time + TOKEN_INTERVAL;
    r->backlog_tokens += miss;
    for (size_t i = 0; i < q->len; i++)
        store_block(s, r, block_id_at(q, i));
    r->batch[r->running] = q;
    r->ends_at[r->running] =
        q->first_token_at + (bbm_time)q->output_tokens * TOKEN_INTERVAL;
    r->running++;
}

/* ---- daemons ---- */

static void
send_report(sim *s, sim_runner *r, int d)
{
    size_t lag = REPORT_LAG / REPORT_PERIOD + 1;
    size_t reported_at = (s->history_at + HISTORY_LEN - lag) % HISTORY_LEN;
    bbm_report report = {
        .incarnation = r->incarnation,
        .running = r->history_running[reported_at],
        .queued = r->history_queued[reported_at],
        .backlog_tokens = r->history_backlog_tokens[reported_at],
        .age = REPORT_LAG,
    };
    bbm_name_set(report.weights, "v1");
    if (s->mode.full_knowledge) {
        report.running = (uint32_t)r->running;
        report.queued = 0;
        report.backlog_tokens = r->prefill_free_at > s->now
                                    ? (double)(r->prefill_free_at - s->now)
                                          / 1e9 * PREFILL_TOKENS_PER_S
                                    : 0;
        report.age = 0;
    }
    /* Leaves lost events out; the daemon sees a gap in the sequence. */
    size_t len = r->events_len - r->reported_events[d];
    bbm_cache_event *events = bbm_calloc(len, sizeof(*events));
    size_t reported = 0;
    for (size_t i = r->reported_events[d]; i < r->events_len; i++) {
        if (r->events[i].sequence)
            events[reported++] = r->events[i];
    }
    report.events = events;
    report.events_len = reported;
    report.first_event = r->first_sequence + r->reported_events[d];
    report.last_event = r->first_sequence + r->events_len - 1;
    bbm_report_effect effect =
        bbm_fleet_report(s->fleets[d], r->name, &report, s->now);
    r->reported_events[d] = r->events_len;
    free(events);
    if (!effect.gap)
        return;
    size_t count = HASH_COUNT(r->cache);
    events = bbm_calloc(count, sizeof(*events));
    size_t n = 0;
    for (cached_block *h = r->cache; h; h = h->hh.next)
        events[n++] = (bbm_cache_event){.sequence = 1, .id = h->id};
    report.is_snapshot = true;
    report.events = events;
    report.events_len = n;
    bbm_fleet_report(s->fleets[d], r->name, &report, s->now);
    free(events);
}

static void
restart_daemon(sim *s, int d)
{
    bbm_fleet_destroy(s->fleets[d]);
    bbm_admission_destroy(s->queues[d]);
    bbm_fleet_desc desc = {
        .seed = (uint64_t)d + 1,
        .policy = s->mode.policy,
        .no_own_load = s->mode.no_own_load,
        .no_hot_copies = s->mode.no_hot_copies,
        .no_rendezvous = s->mode.no_rendezvous,
    };
    snprintf(desc.zone, sizeof(desc.zone), "z%d", d % ZONES_COUNT);
    s->fleets[d] = bbm_fleet_create(&desc);
    s->queues[d] = bbm_admission_create(s->mode.no_fairness);
    bbm_fleet_configure(s->fleets[d], s->config, s->now);
    bbm_fleet_set_vm_count(s->fleets[d],
                           s->mode.full_knowledge ? 1 : DAEMONS_COUNT);
    for (int i = 0; i < RUNNERS_COUNT; i++) {
        s->runners[i].reported_events[d] = 0;
        if (!s->runners[i].is_down)
            send_report(s, &s->runners[i], d);
    }
}

static bbm_prompt
make_prompt(const request *q, char scope[BBM_NAME_SIZE])
{
    snprintf(scope, BBM_NAME_SIZE, "c%d", q->customer);
    return (bbm_prompt){
        .model = "m",
        .scope = scope,
        .blocks = q->blocks,
        .block_count = q->len,
        .tokens = q->tokens,
        .block_tokens = BLOCK_TOKENS,
    };
}

static bool
place_request(sim *s, request *q)
{
    char scope[BBM_NAME_SIZE];
    bbm_prompt p = make_prompt(q, scope);
    /* With full knowledge all daemons share the view of daemon 0. */
    int d = s->mode.full_knowledge ? 0 : q->daemon;
    double before = cpu_clock_ns();
    bbm_pick_result rc = bbm_fleet_pick(s->fleets[d], &p, s->now, &q->pick);
    s->pick_ns += cpu_clock_ns() - before;
    s->picks++;
    if (rc != BBM_PICK_START)
        return false;
    bbm_fleet_started(s->fleets[d], &p, &q->pick, s->now);
    q->runner = atoi(q->pick.engine + 1);
    q->started = true;
    sim_runner *r = &s->runners[q->runner];
    if (r->running < SLOTS_COUNT)
        start_request(s, r, q);
    else
        STAILQ_INSERT_TAIL(&r->waiting, q, link);
    return true;
}

static bbm_ticket
make_ticket(const request *q)
{
    bbm_ticket t = {
        .request = q->id,
        .weight = 1,
        .tokens = q->tokens + q->output_tokens,
        .deadline = q->arrived_at + QUEUE_TIMEOUT,
    };
    snprintf(t.customer, sizeof(t.customer), "c%d", q->customer);
    return t;
}

static void
submit_request(sim *s, request *q)
{
    bbm_admission *a = s->queues[q->daemon];
    bbm_ticket t = make_ticket(q);
    if (!bbm_admission_len(a) && place_request(s, q)) {
        bbm_admission_record_start(a, &t);
        return;
    }
    bbm_admission_push(a, &t);
}

static void
run_queue(sim *s, int d)
{
    bbm_ticket t;
    while (bbm_admission_next_expired(s->queues[d], s->now, &t))
        s->requests[t.request].refused = true;
    size_t i = 0;
    while (i < LOOKAHEAD_REQUESTS && bbm_admission_at(s->queues[d], i, &t)) {
        if (place_request(s, &s->requests[t.request]))
            bbm_admission_remove(s->queues[d], t.request, true);
        else
            i++;
    }
}

/* ---- simulation ---- */

static int
zipf_index(bbm_rng *rng, int n, double exponent)
{
    double sum = 0;
    for (int i = 0; i < n; i++)
        sum += pow(i + 1, -exponent);
    double remaining = bbm_rng_unit(rng) * sum;
    for (int i = 0; i < n; i++) {
        remaining -= pow(i + 1, -exponent);
        if (remaining < 0)
            return i;
    }
    return n - 1;
}

static bbm_block_id
make_block_id(uint64_t a, uint64_t b, uint64_t c)
{
    uint64_t words[3] = {a, b, c};
    return bbm_block_hash(words, sizeof(words));
}

static void
fill_request(sim *s, request *q)
{
    const trace_desc *t = &s->trace;
    static const double shares[CUSTOMERS_COUNT] = {0.4, 0.3, 0.15, 0.1, 0.05};
    double remaining = bbm_rng_unit(&s->rng);
    q->customer = 0;
    while (q->customer < CUSTOMERS_COUNT - 1
           && remaining >= shares[q->customer])
        remaining -= shares[q->customer++];
    if (s->fault == FAULT_CUSTOMER_10X
        && bbm_rng_unit(&s->rng) < BURST_CUSTOMER_SHARE)
        q->customer = BURST_CUSTOMER;
    q->daemon = (int)bbm_rng_below(&s->rng, DAEMONS_COUNT);
    q->output_tokens = t->output_tokens * (0.5 + bbm_rng_unit(&s->rng));
    double tail = TAIL_MIN_TOKENS + TAIL_RANGE_TOKENS * bbm_rng_unit(&s->rng);
    if (bbm_rng_unit(&s->rng) >= t->no_prefix_share) {
        int root = (zipf_index(&s->rng, t->roots, t->root_zipf_exponent)
                    + s->hot_shift)
                   % t->roots;
        int branch = zipf_index(&s->rng, t->branches, 0.8);
        for (int i = 0; i < t->root_blocks; i++)
            q->blocks[q->len++] =
                make_block_id((uint64_t)root, 0, (uint64_t)i);
        for (int i = 0; i < t->branch_blocks; i++)
            q->blocks[q->len++] = make_block_id(
                (uint64_t)root, (uint64_t)branch + 1, (uint64_t)i);
    }
    q->tokens = (double)q->len * BLOCK_TOKENS + tail;
}

static void
make_config(sim *s)
{
    bbm_buf text = {0};
    char line[512];
    snprintf(line, sizeof(line),
             "{\"weights\":[{\"name\":\"v1\"}],\"models\":[{\"name\":\"m\","
             "\"weights\":\"v1\"}],\"engines\":[");
    bbm_buf_add(&text, line, strlen(line));
    for (int i = 0; i < RUNNERS_COUNT; i++) {
        snprintf(line, sizeof(line),
                 "%s{\"name\":\"r%d\",\"model\":\"m\",\"zone\":\"z%d\","
                 "\"url\":\"http://h:1\",\"slots\":%d,\"cache_blocks\":%d,"
                 "\"prefill_tokens_per_s\":%d}",
                 i ? "," : "", i, i % ZONES_COUNT, SLOTS_COUNT,
                 CACHE_BLOCKS_MAX, (int)PREFILL_TOKENS_PER_S);
        bbm_buf_add(&text, line, strlen(line));
    }
    bbm_buf_add(&text, "]}", 2);
    bbm_doc_errors errors = {0};
    s->config = bbm_config_create((char *)text.data, text.len, &errors);
    bbm_buf_free(&text);
}

static void
fail_runner(sim *s, sim_runner *r, bool stays_down)
{
    /* Running requests fail; daemons resend those without a first token. */
    for (size_t i = 0; i < r->running; i++) {
        request *q = r->batch[i];
        int d = s->mode.full_knowledge ? 0 : q->daemon;
        bbm_fleet_ended(s->fleets[d], q->pick.slot,
                        &(bbm_request_outcome){.failed = true}, s->now);
        if (q->first_token_at > s->now)
            submit_request(s, q);
    }
    r->running = 0;
    r->backlog_tokens = 0;
    r->prefill_free_at = s->now;
    clear_cache(r);
    r->is_down = stays_down;
    request *q;
    while ((q = STAILQ_FIRST(&r->waiting)) != NULL) {
        STAILQ_REMOVE_HEAD(&r->waiting, link);
        submit_request(s, q);
    }
}

static void
inject_faults(sim *s)
{
    bbm_time fault_at = RUN_S / 2 * BBM_SECOND;
    bool is_due = s->now >= fault_at && s->now < fault_at + TICK_INTERVAL;
    if (s->fault == FAULT_HOT_PREFIX_SHIFT
        && s->now % SHIFT_INTERVAL < TICK_INTERVAL)
        s->hot_shift += SHIFT_ROOTS;
    if (s->fault == FAULT_RUNNER_CRASH
        && s->now % CRASH_INTERVAL < TICK_INTERVAL)
        fail_runner(s, &s->runners[bbm_rng_below(&s->rng, RUNNERS_COUNT)],
                    false);
    if (s->fault == FAULT_DAEMON_RESTART && is_due) {
        for (int d = 0; d < DAEMONS_COUNT; d++)
            restart_daemon(s, d);
    }
    for (int i = 0; i < RUNNERS_COUNT && s->fault == FAULT_ZONE_LOSS && is_due;
         i += ZONES_COUNT)
        fail_runner(s, &s->runners[i], true);
}

static void
step_runner(sim *s, sim_runner *r)
{
    for (size_t i = 0; i < r->running;) {
        request *q = r->batch[i];
        if (q->miss_tokens > 0 && s->now >= q->first_token_at) {
            r->backlog_tokens -= q->miss_tokens;
            int d = s->mode.full_knowledge ? 0 : q->daemon;
            bbm_fleet_first_token(s->fleets[d], q->pick.slot,
                                  q->pick.uncached_tokens);
            q->miss_tokens = -q->miss_tokens;
        }
        if (s->now < r->ends_at[i]) {
            i++;
            continue;
        }
        int d = s->mode.full_knowledge ? 0 : q->daemon;
        bbm_fleet_ended(
            s->fleets[d], q->pick.slot,
            &(bbm_request_outcome){.answer_started = true,
                                   .duration = s->now - q->arrived_at},
            s->now);
        r->running--;
        r->batch[i] = r->batch[r->running];
        r->ends_at[i] = r->ends_at[r->running];
        request *next = STAILQ_FIRST(&r->waiting);
        if (next) {
            STAILQ_REMOVE_HEAD(&r->waiting, link);
            start_request(s, r, next);
        }
    }
}

static void
send_reports(sim *s)
{
    s->history_at = (s->history_at + 1) % HISTORY_LEN;
    for (int i = 0; i < RUNNERS_COUNT; i++) {
        sim_runner *r = &s->runners[i];
        uint32_t queued = 0;
        request *q;
        STAILQ_FOREACH(q, &r->waiting, link)
        {
            queued++;
        }
        r->history_running[s->history_at] = (uint32_t)r->running;
        r->history_queued[s->history_at] = queued;
        r->history_backlog_tokens[s->history_at] =
            r->backlog_tokens > 0 ? r->backlog_tokens : 0;
        for (int d = 0; d < DAEMONS_COUNT && !r->is_down; d++)
            send_report(s, r, d);
    }
}

/* ---- results ---- */

static int
compare_doubles(const void *a, const void *b)
{
    double x = *(const double *)a;
    double y = *(const double *)b;
    return (x > y) - (x < y);
}

static double
first_token_quantile_ms(const sim *s, int customer, double q)
{
    double *list = bbm_calloc(s->requests_len, sizeof(*list));
    size_t len = 0;
    for (size_t i = 0; i < s->requests_len; i++) {
        const request *r = &s->requests[i];
        bool is_counted = r->arrived_at > WARM_UP && r->first_token_at
                          && (customer < 0 || r->customer == customer);
        if (is_counted)
            list[len++] = (double)(r->first_token_at - r->arrived_at) / 1e6;
    }
    qsort(list, len, sizeof(*list), compare_doubles);
    double value = len ? list[(size_t)(q * (double)(len - 1))] : 0;
    free(list);
    return value;
}

static routing_result
measure(const sim *s)
{
    routing_result result = {0};
    double tokens = 0;
    double miss = 0;
    double elsewhere = 0;
    size_t refused = 0;
    size_t count = 0;
    for (size_t i = 0; i < s->requests_len; i++) {
        const request *r = &s->requests[i];
        if (r->arrived_at <= WARM_UP)
            continue;
        count++;
        refused += r->refused;
        if (!r->started)
            continue;
        double computed =
            r->miss_tokens < 0 ? -r->miss_tokens : r->miss_tokens;
        tokens += r->tokens;
        miss += computed;
        double cached_elsewhere = r->pick.cached_elsewhere_tokens;
        elsewhere += cached_elsewhere < computed ? cached_elsewhere : computed;
    }
    result.hit_share = tokens > 0 ? 1 - miss / tokens : 0;
    result.recomputed_share = miss > 0 ? elsewhere / tokens : 0;
    result.refused_share = count ? (double)refused / (double)count : 0;
    result.p50_ms = first_token_quantile_ms(s, -1, 0.5);
    result.p99_ms = first_token_quantile_ms(s, -1, 0.99);
    double customer_p99_ms[CUSTOMERS_COUNT];
    for (int c = 0; c < CUSTOMERS_COUNT; c++)
        customer_p99_ms[c] = first_token_quantile_ms(s, c, 0.99);
    for (int c = 0; c < CUSTOMERS_COUNT - 1; c++)
        result.others_p99_ms = customer_p99_ms[c] > result.others_p99_ms
                                   ? customer_p99_ms[c]
                                   : result.others_p99_ms;
    qsort(customer_p99_ms, CUSTOMERS_COUNT, sizeof(customer_p99_ms[0]),
          compare_doubles);
    result.worst_customer_p99_ms = customer_p99_ms[CUSTOMERS_COUNT - 1];
    result.median_customer_p99_ms = customer_p99_ms[CUSTOMERS_COUNT / 2];
    result.pick_us = s->picks ? s->pick_ns / 1e3 / (double)s->picks : 0;
    return result;
}

/* Whether BURST_CUSTOMER exceeds its rate, as the rate limiter of the daemons
   would find; then the request is cleared. */
static bool
exceeds_rate(sim *s, request *q)
{
    if (s->fault != FAULT_CUSTOMER_10X || q->customer != BURST_CUSTOMER)
        return false;
    if (s->bucket_tokens < q->tokens) {
        memset(q, 0, sizeof(*q));
        return true;
    }
    s->bucket_tokens -= q->tokens;
    return false;
}

/* ---- run ---- */

static void
free_sim(sim *s)
{
    for (int i = 0; i < RUNNERS_COUNT; i++) {
        clear_cache(&s->runners[i]);
        free(s->runners[i].events);
    }
    for (int d = 0; d < DAEMONS_COUNT; d++) {
        bbm_fleet_destroy(s->fleets[d]);
        bbm_admission_destroy(s->queues[d]);
    }
    bbm_config_destroy(s->config);
    free(s->requests);
    free(s);
}

/* Requests a second that use the share load of the runners' prefill or batch
   slots, whichever fills first. */
static double
arrival_rate(const trace_desc *t, double load)
{
    double blocks =
        (t->root_blocks + t->branch_blocks) * (1 - t->no_prefix_share);
    double miss = MEAN_TAIL_TOKENS + MISS_SHARE * blocks * BLOCK_TOKENS;
    double prefill = RUNNERS_COUNT * PREFILL_TOKENS_PER_S / miss;
    double mean =
        (miss / PREFILL_TOKENS_PER_S) + t->output_tokens * TOKEN_INTERVAL_S;
    double slots = RUNNERS_COUNT * SLOTS_COUNT / mean;
    return load * (prefill < slots ? prefill : slots);
}

static double
mean_prompt_tokens(const trace_desc *t)
{
    double blocks =
        (t->root_blocks + t->branch_blocks) * (1 - t->no_prefix_share);
    return MEAN_TAIL_TOKENS + blocks * BLOCK_TOKENS;
}

routing_result
routing_run(const trace_desc *trace, const routing_mode *m, fault fault_kind,
            double load, uint64_t seed)
{
    sim *s = bbm_calloc(1, sizeof(*s));
    s->trace = *trace;
    s->mode = *m;
    s->fault = fault_kind;
    s->rng = bbm_rng_of(seed);
    s->requests = bbm_calloc(REQUESTS_MAX, sizeof(request));
    s->now = BBM_SECOND;
    make_config(s);
    for (int i = 0; i < RUNNERS_COUNT; i++) {
        sim_runner *r = &s->runners[i];
        snprintf(r->name, sizeof(r->name), "r%d", i);
        TAILQ_INIT(&r->lru);
        STAILQ_INIT(&r->waiting);
        r->incarnation = 1;
        r->first_sequence = 1;
    }
    for (int d = 0; d < DAEMONS_COUNT; d++)
        restart_daemon(s, d);
    double rate = arrival_rate(trace, load);
    if (fault_kind == FAULT_CUSTOMER_10X)
        rate *= BURST_DEMAND_RATIO;
    bbm_time next = s->now;
    bbm_time reported_at = 0;
    s->bucket_tokens_per_s =
        BUCKET_RATE_SHARE * rate * mean_prompt_tokens(trace);
    while (s->now < RUN_S * BBM_SECOND) {
        s->now += TICK_INTERVAL;
        s->bucket_tokens +=
            s->bucket_tokens_per_s * (double)TICK_INTERVAL / 1e9;
        if (s->bucket_tokens > BUCKET_BURST_S * s->bucket_tokens_per_s)
            s->bucket_tokens = BUCKET_BURST_S * s->bucket_tokens_per_s;
        inject_faults(s);
        while (s->now >= next && s->requests_len < REQUESTS_MAX) {
            request *q = &s->requests[s->requests_len];
            q->id = s->requests_len++;
            q->arrived_at = s->now;
            fill_request(s, q);
            if (exceeds_rate(s, q))
                s->requests_len--;
            else
                submit_request(s, q);
            next += (bbm_time)(-log(1 - bbm_rng_unit(&s->rng)) / rate * 1e9);
        }
        for (int i = 0; i < RUNNERS_COUNT; i++)
            step_runner(s, &s->runners[i]);
        bbm_time period = m->full_knowledge ? TICK_INTERVAL : REPORT_PERIOD;
        if (s->now - reported_at >= period) {
            reported_at = s->now;
            send_reports(s);
        }
        for (int d = 0; d < DAEMONS_COUNT; d++)
            run_queue(s, d);
    }
    routing_result result = measure(s);
    free_sim(s);
    return result;
}
