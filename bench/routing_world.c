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

#define RUNNERS 18
#define DAEMONS 9
#define CUSTOMERS 5
#define BLOCKS_MOST 16
#define BLOCK_TOKENS 2048.0
#define PREFILL 20000.0
#define SLOTS 16
#define CACHE_BLOCKS 400
#define LOOK_AHEAD 8
#define STEP (2 * BBM_MS)
#define REPORT_PERIOD (250 * BBM_MS)
#define REPORT_LAG (200 * BBM_MS)
#define SECONDS 60
#define WARM (12 * BBM_SECOND)
#define REQUESTS_MOST 60000
#define TOKEN_TIME (20 * BBM_MS)
#define DEADLINE (8 * BBM_SECOND)

/* ---- runners ---- */

typedef struct held {
    bbm_block_id id;
    TAILQ_ENTRY(held) link;
    UT_hash_handle hh;
} held;

typedef struct request {
    uint64_t id;
    int customer;
    int daemon;
    bbm_block_id blocks[BLOCKS_MOST];
    size_t len;
    double tokens;
    double output;
    bbm_time arrived;
    bbm_time first;
    bbm_pick pick;
    int runner;
    bool started;
    bool refused;
    double miss;
    STAILQ_ENTRY(request) link;
} request;

STAILQ_HEAD(request_queue, request);

typedef struct sim_runner {
    char name[BBM_NAME_SIZE];
    char zone[BBM_NAME_SIZE];
    held *cache;
    TAILQ_HEAD(, held) by_use;
    struct request_queue waiting;
    request *batch[SLOTS];
    bbm_time ends[SLOTS];
    size_t running;
    double backlog;
    bbm_time prefill_free;
    uint64_t incarnation;
    bool down;
    bbm_cache_event *events;
    size_t events_len;
    size_t events_cap;
    size_t told[DAEMONS];
    uint64_t first_number;
    uint32_t lag_running[64];
    uint32_t lag_queued[64];
    double lag_backlog[64];
} sim_runner;

typedef struct sim {
    trace_desc trace;
    mode mode;
    fault fault;
    double load;
    bbm_rng rng;
    bbm_config *config;
    bbm_fleet *fleets[DAEMONS];
    bbm_admission *queues[DAEMONS];
    sim_runner runners[RUNNERS];
    request *requests;
    size_t requests_len;
    bbm_time now;
    uint64_t next_number;
    int hot_shift;
    double bucket; /* of the customer at ten times its rate */
    double bucket_rate;
    size_t picks;
    double pick_ns;
    size_t slot; /* in the ring of lagged figures */
} sim;

static void
log_event(sim_runner *r, bool removed, bbm_block_id id, bool lost)
{
    bbm_grow(&r->events, &r->events_cap, r->events_len, sizeof(*r->events));
    r->events[r->events_len] = (bbm_cache_event){
        .sequence = r->first_number + r->events_len,
        .removed = removed,
        .id = id,
    };
    if (lost)
        r->events[r->events_len].sequence = 0;
    r->events_len++;
}

static bool
touch(sim_runner *r, bbm_block_id id)
{
    held *h = NULL;
    HASH_FIND(hh, r->cache, &id, sizeof(id), h);
    if (!h)
        return false;
    TAILQ_REMOVE(&r->by_use, h, link);
    TAILQ_INSERT_TAIL(&r->by_use, h, link);
    return true;
}

static void
evict(sim *s, sim_runner *r)
{
    held *h = TAILQ_FIRST(&r->by_use);
    TAILQ_REMOVE(&r->by_use, h, link);
    HASH_DEL(r->cache, h);
    bool lost = s->fault == FAULT_GAPS && bbm_rng_below(&s->rng, 400) == 0;
    log_event(r, true, h->id, lost);
    free(h);
}

static void
store(sim *s, sim_runner *r, bbm_block_id id)
{
    if (touch(r, id))
        return;
    while (HASH_COUNT(r->cache) >= CACHE_BLOCKS)
        evict(s, r);
    held *h = bbm_calloc(1, sizeof(*h));
    h->id = id;
    HASH_ADD(hh, r->cache, id, sizeof(h->id), h);
    TAILQ_INSERT_TAIL(&r->by_use, h, link);
    log_event(r, false, id, false);
}

static void
empty(sim_runner *r)
{
    BBM_TABLE_FREE(held, r->cache);
    TAILQ_INIT(&r->by_use);
    r->first_number = 1;
    r->events_len = 0;
    r->incarnation++;
    memset(r->told, 0, sizeof(r->told));
}

/* Chain of a request's blocks as all runners name them. */
static bbm_block_id
chain_at(const request *q, size_t i)
{
    char scope[BBM_NAME_SIZE];
    snprintf(scope, sizeof(scope), "c%d", q->customer);
    bbm_block_id id = bbm_chain_start(scope, "v1");
    for (size_t j = 0; j <= i; j++)
        id = bbm_chain_next(id, q->blocks[j]);
    return id;
}

static void
begin(sim *s, sim_runner *r, request *q)
{
    size_t hits = 0;
    while (hits < q->len && touch(r, chain_at(q, hits)))
        hits++;
    double miss = q->tokens - (double)hits * BLOCK_TOKENS;
    bbm_time start = r->prefill_free > s->now ? r->prefill_free : s->now;
    bbm_time took = (bbm_time)(miss / PREFILL * (double)BBM_SECOND);
    r->prefill_free = start + took;
    q->miss = miss;
    q->first = start + took + TOKEN_TIME;
    r->backlog += miss;
    for (size_t i = 0; i < q->len; i++)
        store(s, r, chain_at(q, i));
    r->batch[r->running] = q;
    r->ends[r->running] = q->first + (bbm_time)q->output * TOKEN_TIME;
    r->running++;
}

/* ---- daemons ---- */

static void
report_to(sim *s, sim_runner *r, int d)
{
    size_t lag = REPORT_LAG / REPORT_PERIOD + 1;
    size_t at = (s->slot + 64 - lag) % 64;
    bbm_report report = {
        .incarnation = r->incarnation,
        .running = r->lag_running[at],
        .queued = r->lag_queued[at],
        .backlog_tokens = r->lag_backlog[at],
        .age = REPORT_LAG,
    };
    bbm_name_set(report.weights, "v1");
    if (s->mode.all_knowing) {
        report.running = (uint32_t)r->running;
        report.queued = 0;
        report.backlog_tokens =
            r->prefill_free > s->now
                ? (double)(r->prefill_free - s->now) / 1e9 * PREFILL
                : 0;
        report.age = 0;
    }
    /* Lost events are left out; the numbers show it. */
    size_t len = r->events_len - r->told[d];
    bbm_cache_event *events = bbm_calloc(len, sizeof(*events));
    size_t kept = 0;
    for (size_t i = r->told[d]; i < r->events_len; i++) {
        if (r->events[i].sequence)
            events[kept++] = r->events[i];
    }
    report.events = events;
    report.events_len = kept;
    report.first_event = r->first_number + r->told[d];
    report.last_event = r->first_number + r->events_len - 1;
    bbm_report_effect effect =
        bbm_fleet_report(s->fleets[d], r->name, &report, s->now);
    r->told[d] = r->events_len;
    free(events);
    if (!effect.gap)
        return;
    size_t count = HASH_COUNT(r->cache);
    events = bbm_calloc(count, sizeof(*events));
    size_t n = 0;
    for (held *h = r->cache; h; h = h->hh.next)
        events[n++] = (bbm_cache_event){.sequence = 1, .id = h->id};
    report.is_snapshot = true;
    report.events = events;
    report.events_len = n;
    bbm_fleet_report(s->fleets[d], r->name, &report, s->now);
    free(events);
}

static void
make_daemon(sim *s, int d)
{
    bbm_fleet_destroy(s->fleets[d]);
    bbm_admission_destroy(s->queues[d]);
    bbm_fleet_desc desc = {
        .seed = (uint64_t)d + 1,
        .policy = s->mode.policy,
        .no_own_load = s->mode.no_own_load,
        .no_hot_copies = s->mode.no_hot,
        .no_rendezvous = s->mode.no_rendezvous,
    };
    snprintf(desc.zone, sizeof(desc.zone), "z%d", d % 3);
    s->fleets[d] = bbm_fleet_create(&desc);
    s->queues[d] = bbm_admission_create(s->mode.unfair);
    bbm_fleet_configure(s->fleets[d], s->config, s->now);
    bbm_fleet_set_vm_count(s->fleets[d], s->mode.all_knowing ? 1 : DAEMONS);
    for (int i = 0; i < RUNNERS; i++) {
        s->runners[i].told[d] = 0;
        if (!s->runners[i].down)
            report_to(s, &s->runners[i], d);
    }
}

static bbm_prompt
prompt_of(const request *q, char scope[BBM_NAME_SIZE])
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
try_place(sim *s, request *q)
{
    char scope[BBM_NAME_SIZE];
    bbm_prompt p = prompt_of(q, scope);
    /* One view for all, kept up to date, stands for knowing everything. */
    int d = s->mode.all_knowing ? 0 : q->daemon;
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
    if (r->running < SLOTS)
        begin(s, r, q);
    else
        STAILQ_INSERT_TAIL(&r->waiting, q, link);
    return true;
}

static bbm_ticket
ticket_of(const request *q)
{
    bbm_ticket t = {
        .request = q->id,
        .weight = 1,
        .tokens = q->tokens + q->output,
        .deadline = q->arrived + DEADLINE,
    };
    snprintf(t.customer, sizeof(t.customer), "c%d", q->customer);
    return t;
}

static void
arrive(sim *s, request *q)
{
    bbm_admission *a = s->queues[q->daemon];
    bbm_ticket t = ticket_of(q);
    if (!bbm_admission_len(a) && try_place(s, q)) {
        bbm_admission_record_start(a, &t);
        return;
    }
    bbm_admission_push(a, &t);
}

static void
pump(sim *s, int d)
{
    bbm_ticket t;
    while (bbm_admission_next_expired(s->queues[d], s->now, &t))
        s->requests[t.request].refused = true;
    size_t i = 0;
    while (i < LOOK_AHEAD && bbm_admission_at(s->queues[d], i, &t)) {
        if (try_place(s, &s->requests[t.request]))
            bbm_admission_remove(s->queues[d], t.request, true);
        else
            i++;
    }
}

/* ---- the world ---- */

static int
skewed(bbm_rng *rng, int n, double skew)
{
    double sum = 0;
    for (int i = 0; i < n; i++)
        sum += pow(i + 1, -skew);
    double at = bbm_rng_unit(rng) * sum;
    for (int i = 0; i < n; i++) {
        at -= pow(i + 1, -skew);
        if (at < 0)
            return i;
    }
    return n - 1;
}

static bbm_block_id
block(uint64_t a, uint64_t b, uint64_t c)
{
    uint64_t words[3] = {a, b, c};
    return bbm_block_hash(words, sizeof(words));
}

static void
fill_request(sim *s, request *q)
{
    const trace_desc *t = &s->trace;
    static const double shares[CUSTOMERS] = {0.4, 0.3, 0.15, 0.1, 0.05};
    double at = bbm_rng_unit(&s->rng);
    q->customer = 0;
    while (q->customer < CUSTOMERS - 1 && at >= shares[q->customer])
        at -= shares[q->customer++];
    if (s->fault == FAULT_TENFOLD && bbm_rng_unit(&s->rng) < 0.33)
        q->customer = 4;
    q->daemon = (int)bbm_rng_below(&s->rng, DAEMONS);
    q->output = t->output * (0.5 + bbm_rng_unit(&s->rng));
    double tail = 100 + 600 * bbm_rng_unit(&s->rng);
    if (bbm_rng_unit(&s->rng) >= t->plain) {
        int root = (skewed(&s->rng, t->roots, t->root_skew) + s->hot_shift)
                   % t->roots;
        int branch = skewed(&s->rng, t->branches, 0.8);
        for (int i = 0; i < t->root_blocks; i++)
            q->blocks[q->len++] = block((uint64_t)root, 0, (uint64_t)i);
        for (int i = 0; i < t->branch_blocks; i++)
            q->blocks[q->len++] =
                block((uint64_t)root, (uint64_t)branch + 1, (uint64_t)i);
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
    for (int i = 0; i < RUNNERS; i++) {
        snprintf(line, sizeof(line),
                 "%s{\"name\":\"r%d\",\"model\":\"m\",\"zone\":\"z%d\","
                 "\"url\":\"http://h:1\",\"slots\":%d,\"cache_blocks\":%d,"
                 "\"prefill_tokens_per_s\":%d}",
                 i ? "," : "", i, i % 3, SLOTS, CACHE_BLOCKS, (int)PREFILL);
        bbm_buf_add(&text, line, strlen(line));
    }
    bbm_buf_add(&text, "]}", 2);
    bbm_doc_errors wrong = {0};
    s->config = bbm_config_create((char *)text.data, text.len, &wrong);
    bbm_buf_free(&text);
}

static void
lose_runner(sim *s, sim_runner *r, bool stays_down)
{
    /* What ran there fails and is sent again by its daemon. */
    for (size_t i = 0; i < r->running; i++) {
        request *q = r->batch[i];
        int d = s->mode.all_knowing ? 0 : q->daemon;
        bbm_fleet_ended(s->fleets[d], q->pick.slot,
                        &(bbm_request_outcome){.failed = true}, s->now);
        if (q->first > s->now)
            arrive(s, q);
    }
    r->running = 0;
    r->backlog = 0;
    r->prefill_free = s->now;
    empty(r);
    r->down = stays_down;
    request *q;
    while ((q = STAILQ_FIRST(&r->waiting)) != NULL) {
        STAILQ_REMOVE_HEAD(&r->waiting, link);
        arrive(s, q);
    }
}

static void
make_faults(sim *s)
{
    bbm_time mid = SECONDS / 2 * BBM_SECOND;
    bool now = s->now >= mid && s->now < mid + STEP;
    if (s->fault == FAULT_SHIFT && s->now % (10 * BBM_SECOND) < STEP)
        s->hot_shift += 3;
    if (s->fault == FAULT_CRASH && s->now % (15 * BBM_SECOND) < STEP)
        lose_runner(s, &s->runners[bbm_rng_below(&s->rng, RUNNERS)], false);
    if (s->fault == FAULT_HERD && now) {
        for (int d = 0; d < DAEMONS; d++)
            make_daemon(s, d);
    }
    for (int i = 0; i < RUNNERS && s->fault == FAULT_ZONE && now; i += 3)
        lose_runner(s, &s->runners[i], true);
}

static void
step_runner(sim *s, sim_runner *r)
{
    for (size_t i = 0; i < r->running;) {
        request *q = r->batch[i];
        if (q->miss > 0 && s->now >= q->first) {
            r->backlog -= q->miss;
            int d = s->mode.all_knowing ? 0 : q->daemon;
            bbm_fleet_first_token(s->fleets[d], q->pick.slot,
                                  q->pick.uncached_tokens);
            q->miss = -q->miss;
        }
        if (s->now < r->ends[i]) {
            i++;
            continue;
        }
        int d = s->mode.all_knowing ? 0 : q->daemon;
        bbm_fleet_ended(
            s->fleets[d], q->pick.slot,
            &(bbm_request_outcome){.answer_started = true,
                                   .duration = s->now - q->arrived},
            s->now);
        r->running--;
        r->batch[i] = r->batch[r->running];
        r->ends[i] = r->ends[r->running];
        request *next = STAILQ_FIRST(&r->waiting);
        if (next) {
            STAILQ_REMOVE_HEAD(&r->waiting, link);
            begin(s, r, next);
        }
    }
}

static void
tell_reports(sim *s)
{
    s->slot = (s->slot + 1) % 64;
    for (int i = 0; i < RUNNERS; i++) {
        sim_runner *r = &s->runners[i];
        uint32_t queued = 0;
        request *q;
        STAILQ_FOREACH(q, &r->waiting, link)
        {
            queued++;
        }
        r->lag_running[s->slot] = (uint32_t)r->running;
        r->lag_queued[s->slot] = queued;
        r->lag_backlog[s->slot] = r->backlog > 0 ? r->backlog : 0;
        for (int d = 0; d < DAEMONS && !r->down; d++)
            report_to(s, r, d);
    }
}

/* ---- figures ---- */

static int
compare(const void *a, const void *b)
{
    double x = *(const double *)a;
    double y = *(const double *)b;
    return (x > y) - (x < y);
}

static double
quantile_of(const sim *s, int customer, double q)
{
    double *list = bbm_calloc(s->requests_len, sizeof(*list));
    size_t len = 0;
    for (size_t i = 0; i < s->requests_len; i++) {
        const request *r = &s->requests[i];
        bool counts = r->arrived > WARM && r->first
                      && (customer < 0 || r->customer == customer);
        if (counts)
            list[len++] = (double)(r->first - r->arrived) / 1e6;
    }
    qsort(list, len, sizeof(*list), compare);
    double value = len ? list[(size_t)(q * (double)(len - 1))] : 0;
    free(list);
    return value;
}

static figures
measure(const sim *s)
{
    figures f = {0};
    double tokens = 0;
    double miss = 0;
    double elsewhere = 0;
    size_t refused = 0;
    size_t count = 0;
    for (size_t i = 0; i < s->requests_len; i++) {
        const request *r = &s->requests[i];
        if (r->arrived <= WARM)
            continue;
        count++;
        refused += r->refused;
        if (!r->started)
            continue;
        double own = r->miss < 0 ? -r->miss : r->miss;
        tokens += r->tokens;
        miss += own;
        double more = r->pick.cached_elsewhere_tokens;
        elsewhere += more < own ? more : own;
    }
    f.hit = tokens > 0 ? 1 - miss / tokens : 0;
    f.elsewhere = miss > 0 ? elsewhere / tokens : 0;
    f.refused = count ? (double)refused / (double)count : 0;
    f.p50 = quantile_of(s, -1, 0.5);
    f.p99 = quantile_of(s, -1, 0.99);
    double each[CUSTOMERS];
    for (int c = 0; c < CUSTOMERS; c++)
        each[c] = quantile_of(s, c, 0.99);
    for (int c = 0; c < CUSTOMERS - 1; c++)
        f.others_p99 = each[c] > f.others_p99 ? each[c] : f.others_p99;
    qsort(each, CUSTOMERS, sizeof(each[0]), compare);
    f.worst_p99 = each[CUSTOMERS - 1];
    f.median_p99 = each[CUSTOMERS / 2];
    f.pick_us = s->picks ? s->pick_ns / 1e3 / (double)s->picks : 0;
    return f;
}

/* A customer at ten times its rate is held to it, as the daemons do. */
static bool
over_rate(sim *s, request *q)
{
    if (s->fault != FAULT_TENFOLD || q->customer != 4)
        return false;
    if (s->bucket < q->tokens) {
        memset(q, 0, sizeof(*q));
        return true;
    }
    s->bucket -= q->tokens;
    return false;
}

/* ---- a run ---- */

static void
free_sim(sim *s)
{
    for (int i = 0; i < RUNNERS; i++) {
        empty(&s->runners[i]);
        free(s->runners[i].events);
    }
    for (int d = 0; d < DAEMONS; d++) {
        bbm_fleet_destroy(s->fleets[d]);
        bbm_admission_destroy(s->queues[d]);
    }
    bbm_config_destroy(s->config);
    free(s->requests);
    free(s);
}

/* Requests a second at which the runners' prefill is busy to the share of
   the load, were every shared prefix cached. */
static double
rate_for(const trace_desc *t, double load)
{
    double blocks = (t->root_blocks + t->branch_blocks) * (1 - t->plain);
    double miss = 400 + 0.12 * blocks * BLOCK_TOKENS;
    double prefill = RUNNERS * PREFILL / miss;
    double mean = (miss / PREFILL) + t->output * 0.02;
    double slots = RUNNERS * SLOTS / mean;
    return load * (prefill < slots ? prefill : slots);
}

static double
tokens_of(const trace_desc *t)
{
    double blocks = (t->root_blocks + t->branch_blocks) * (1 - t->plain);
    return 400 + blocks * BLOCK_TOKENS;
}

figures
routing_run(const trace_desc *trace, const mode *m, fault kind, double load,
            uint64_t seed)
{
    sim *s = bbm_calloc(1, sizeof(*s));
    s->trace = *trace;
    s->mode = *m;
    s->fault = kind;
    s->rng = bbm_rng_of(seed);
    s->requests = bbm_calloc(REQUESTS_MOST, sizeof(request));
    s->now = BBM_SECOND;
    make_config(s);
    for (int i = 0; i < RUNNERS; i++) {
        sim_runner *r = &s->runners[i];
        snprintf(r->name, sizeof(r->name), "r%d", i);
        TAILQ_INIT(&r->by_use);
        STAILQ_INIT(&r->waiting);
        r->incarnation = 1;
        r->first_number = 1;
    }
    for (int d = 0; d < DAEMONS; d++)
        make_daemon(s, d);
    double rate = rate_for(trace, load);
    if (kind == FAULT_TENFOLD)
        rate *= 1.45;
    bbm_time next = s->now;
    bbm_time reported = 0;
    s->bucket_rate = 2 * 0.05 * rate * tokens_of(trace);
    while (s->now < SECONDS * BBM_SECOND) {
        s->now += STEP;
        s->bucket += s->bucket_rate * (double)STEP / 1e9;
        if (s->bucket > 5 * s->bucket_rate)
            s->bucket = 5 * s->bucket_rate;
        make_faults(s);
        while (s->now >= next && s->requests_len < REQUESTS_MOST) {
            request *q = &s->requests[s->requests_len];
            q->id = s->requests_len++;
            q->arrived = s->now;
            fill_request(s, q);
            if (over_rate(s, q))
                s->requests_len--;
            else
                arrive(s, q);
            next += (bbm_time)(-log(1 - bbm_rng_unit(&s->rng)) / rate * 1e9);
        }
        for (int i = 0; i < RUNNERS; i++)
            step_runner(s, &s->runners[i]);
        bbm_time period = m->all_knowing ? STEP : REPORT_PERIOD;
        if (s->now - reported >= period) {
            reported = s->now;
            tell_reports(s);
        }
        for (int d = 0; d < DAEMONS; d++)
            pump(s, d);
    }
    figures f = measure(s);
    free_sim(s);
    return f;
}
