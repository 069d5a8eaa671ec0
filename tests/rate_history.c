#include "rate_history.h"

#include "bbm_rate.h"
#include "net.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define HOLDERS_MAX 12
#define OWNER_NODE 15
#define STREAMS_MAX 4096
#define STEP_NS (10 * BBM_MS)
#define RATE_TOKENS_PER_S 10000.0
/* A request waits this long for tokens. */
#define WAIT_MAX_NS (150 * BBM_MS)
#define PROGRESS_PERIOD_NS (200 * BBM_MS)
/* A holder that has received no grant for this time aborts its streams. */
#define ABORT_AFTER_NS (10 * BBM_SECOND)
/* Shortest time from the failure of an owner to the start of the next: its
   leader's lease must have ended. */
#define ELECTION_NS BBM_SECOND
#define FREEZE_MAX_NS (5 * BBM_SECOND)
#define GRANTS_MAX 4096
#define COMMIT_DELAY_MAX_NS (10 * BBM_MS)
#define STALL_MAX_NS (20 * BBM_SECOND)
#define REQUEST_TOKENS_MEAN 1500.0

typedef enum stream_state {
    STREAM_FREE,
    STREAM_WAITING,
    STREAM_RUNNING,
} stream_state;

/* A request: waits for tokens, then runs at its engine. */
typedef struct stream {
    stream_state state;
    int holder;
    double prompt;
    double reserved_output;
    double output;     /* tokens that the engine will generate */
    double ran;        /* tokens run by the engine */
    double reported;   /* tokens reported to the holder */
    bbm_time deadline; /* end of the wait for tokens */
    bbm_time reported_at;
    bool is_retry; /* has been tried before */
} stream;

typedef struct holder {
    bbm_rate_holder *h;
    uint64_t run;
    bbm_time frozen_until;
    bbm_time last_grant; /* by its clock */
    int64_t ppm;         /* drift of its clock, parts per million */
    double share;        /* of the demand, 0 to 1 */
} holder;

typedef struct history {
    rate_history_desc desc;
    rate_history_result result;
    bbm_rng rng;
    net net;
    holder holders[HOLDERS_MAX];
    stream streams[STREAMS_MAX];
    bbm_rate_owner *owner;
    uint64_t epoch;
    bbm_time owner_returns_at;
    bbm_time now;
    bbm_buf committed_ledger; /* a new owner continues from it */
    bbm_buf proposed_ledger;
    bbm_time commit_at; /* of the proposed ledger; 0: none */
    bbm_rate_grant pending_grants[GRANTS_MAX];
    size_t pending_len;
    size_t covered_len;     /* grants that the proposed ledger covers */
    double surplus;         /* maximum over all windows that end now of the
                               tokens run above rate * length */
    double reference_level; /* of a single bucket */
    double burst;
    bbm_time stalled_until; /* the engines run nothing until then */
    double reference_reserved;
    bool busy; /* a phase of high demand */
    int used;  /* streams ever used */
    double answer_tokens_per_s;
    double output_share; /* of a request's tokens */
} history;

static bbm_time
clock_of(const history *s, int i)
{
    return s->now + s->now / 1000000 * s->holders[i].ppm;
}

/* ---- tokens that really run ---- */

/* Check the bound for all windows at once, by the surplus. */
static void
record_run(history *s, double tokens)
{
    s->surplus += tokens;
    if (s->surplus > s->burst + 1) {
        s->result.broken = true;
        if (s->surplus - s->burst > s->result.surplus_tokens)
            s->result.surplus_tokens = s->surplus - s->burst;
    }
}

static void
advance_time(history *s)
{
    double step = RATE_TOKENS_PER_S * (double)STEP_NS / (double)BBM_SECOND;
    s->now += STEP_NS;
    s->surplus = s->surplus > step ? s->surplus - step : 0;
    double room = s->burst - s->reference_reserved;
    s->reference_level =
        s->reference_level + step < room ? s->reference_level + step : room;
}

/* ---- owner ---- */

static void
make_owner(history *s)
{
    bbm_rate_desc desc = {.epoch = ++s->epoch};
    if (s->desc.weakness == RATE_NO_RECLAIM_TIME)
        desc.reclaim_after = BBM_SECOND / 2;
    s->owner = bbm_rate_owner_create(&desc);
    bbm_rate_owner_set_customer(s->owner, "c", RATE_TOKENS_PER_S, s->burst,
                                s->now);
    if (s->committed_ledger.len && s->desc.weakness != RATE_NO_LEDGER)
        bbm_rate_owner_restore(s->owner, "c", s->committed_ledger.data,
                               s->committed_ledger.len, s->now);
}

static void
send_grant(history *s, const bbm_rate_grant *g)
{
    int to = atoi(g->node + 1);
    s->result.messages++;
    s->result.bytes += (int64_t)g->bytes.len;
    net_send(&s->net, s->now, OWNER_NODE, to, g->bytes.data, g->bytes.len);
}

/* Commit the proposed ledger after its delay and send the grants that it
   covers. */
static void
commit_ledger(history *s)
{
    if (!s->commit_at || s->now < s->commit_at)
        return;
    s->commit_at = 0;
    bbm_buf old = s->committed_ledger;
    s->committed_ledger = s->proposed_ledger;
    bbm_buf_free(&old);
    s->proposed_ledger = (bbm_buf){0};
    for (size_t i = 0; i < s->covered_len; i++) {
        send_grant(s, &s->pending_grants[i]);
        bbm_buf_free(&s->pending_grants[i].bytes);
    }
    s->pending_len -= s->covered_len;
    memmove(s->pending_grants, s->pending_grants + s->covered_len,
            s->pending_len * sizeof(s->pending_grants[0]));
    s->covered_len = 0;
}

static void
drop_pending(history *s)
{
    for (size_t i = 0; i < s->pending_len; i++)
        bbm_buf_free(&s->pending_grants[i].bytes);
    bbm_buf_free(&s->proposed_ledger);
    s->pending_len = 0;
    s->covered_len = 0;
    s->commit_at = 0;
}

static void
send_grants(history *s)
{
    bbm_rate_grant g;
    while (bbm_rate_owner_next_grant(s->owner, &g)) {
        if (g.changes_ledger && s->pending_len < GRANTS_MAX) {
            s->pending_grants[s->pending_len++] = g;
            continue;
        }
        send_grant(s, &g);
        bbm_buf_free(&g.bytes);
    }
    char customer[BBM_NAME_SIZE];
    if (s->commit_at || !s->pending_len
        || !bbm_rate_owner_next_ledger(s->owner, customer,
                                       &s->proposed_ledger))
        return;
    s->covered_len = s->pending_len;
    s->commit_at =
        s->now + (bbm_time)bbm_rng_below(&s->rng, COMMIT_DELAY_MAX_NS) + 1;
}

/* ---- holders ---- */

static void
make_holder(history *s, int i)
{
    holder *h = &s->holders[i];
    bbm_rate_holder_destroy(h->h);
    h->run++;
    bbm_rate_desc desc = {
        .run = h->run,
        .unsafe_no_reserve = s->desc.weakness == RATE_NO_RESERVE,
    };
    snprintf(desc.node, sizeof(desc.node), "h%d", i);
    h->h = bbm_rate_holder_create(&desc);
    h->last_grant = clock_of(s, i);
}

static void
report(history *s, int i)
{
    holder *h = &s->holders[i];
    if (!bbm_rate_report_due(h->h, clock_of(s, i)))
        return;
    bbm_buf buf = {0};
    bbm_rate_report(h->h, s->epoch, clock_of(s, i), &buf);
    s->result.messages++;
    s->result.bytes += (int64_t)buf.len;
    net_send(&s->net, s->now, i, OWNER_NODE, buf.data, buf.len);
    bbm_buf_free(&buf);
}

/* ---- requests ---- */

static void
try_start(history *s, stream *q)
{
    bbm_rate_holder *h = s->holders[q->holder].h;
    bbm_time now = clock_of(s, q->holder);
    double tokens = q->prompt + q->reserved_output;
    bbm_rate_verdict v = bbm_rate_reserve(h, "c", tokens, q->is_retry, now);
    q->is_retry = true;
    if (v == BBM_RATE_RESERVED) {
        q->state = STREAM_RUNNING;
        s->reference_level -= tokens;
        s->reference_reserved += tokens;
        return;
    }
    if (s->now < q->deadline)
        return;
    s->result.refused++;
    if (s->reference_level >= tokens)
        s->result.wrongful++;
    bbm_rate_clear_shortfall(h, "c");
    q->state = STREAM_FREE;
}

static void
add_request(history *s, int i)
{
    stream *q = NULL;
    for (int j = 0; j < s->used && !q; j++) {
        if (s->streams[j].state == STREAM_FREE)
            q = &s->streams[j];
    }
    if (!q && s->used == STREAMS_MAX)
        return;
    if (!q)
        q = &s->streams[s->used++];
    s->result.requests++;
    double size = REQUEST_TOKENS_MEAN * (0.5 + bbm_rng_unit(&s->rng));
    *q = (stream){
        .state = STREAM_WAITING,
        .holder = i,
        .prompt = size * (1 - s->output_share),
        .reserved_output = size * s->output_share,
        .output = size * s->output_share * bbm_rng_unit(&s->rng),
        .deadline = s->now + WAIT_MAX_NS,
    };
    try_start(s, q);
}

/* Reserved tokens that have not run return to the reference bucket too. */
static void
end_stream(history *s, stream *q)
{
    double unused = q->prompt + q->reserved_output - q->ran;
    s->reference_reserved -= unused;
    s->reference_level += unused;
    q->state = STREAM_FREE;
}

/* The engine continues while the VM is frozen or isolated. */
static void
run_stream(history *s, stream *q)
{
    if (s->now < s->stalled_until)
        return;
    holder *h = &s->holders[q->holder];
    double total = q->prompt + q->output;
    double per_step =
        s->answer_tokens_per_s * (double)STEP_NS / (double)BBM_SECOND;
    double tokens = q->ran < q->prompt ? q->prompt : per_step;
    if (q->ran + tokens > total)
        tokens = total - q->ran;
    record_run(s, tokens);
    q->ran += tokens;
    s->reference_reserved -= tokens;
    if (s->now < h->frozen_until)
        return;
    bbm_time now = clock_of(s, q->holder);
    bool done = q->ran >= total - 0.001;
    if (done || s->now - q->reported_at > PROGRESS_PERIOD_NS) {
        q->reported_at = s->now;
        bbm_rate_consume(h->h, "c", q->ran - q->reported, now);
        q->reported = q->ran;
    }
    if (done) {
        bbm_rate_release(h->h, "c", q->reserved_output - q->output, now);
        end_stream(s, q);
    }
}

static void
abort_streams(history *s, int i)
{
    for (int j = 0; j < s->used; j++) {
        stream *q = &s->streams[j];
        if (q->holder == i && q->state == STREAM_RUNNING)
            end_stream(s, q);
        else if (q->holder == i)
            q->state = STREAM_FREE;
    }
}

/* ---- faults ---- */

static void
fail_owner(history *s)
{
    if (!s->owner)
        return;
    bbm_rate_owner_destroy(s->owner);
    s->owner = NULL;
    drop_pending(s);
    uint64_t extra = bbm_rng_below(&s->rng, 3 * (uint64_t)BBM_SECOND);
    s->owner_returns_at = s->now + ELECTION_NS + (bbm_time)extra;
}

static void
make_fault(history *s)
{
    int i = (int)bbm_rng_below(&s->rng, (uint64_t)s->desc.holders);
    int kind = (int)bbm_rng_below(&s->rng, 6);
    if (s->desc.faults == RATE_FAULTS_OWNER)
        kind = 0;
    if (s->desc.faults == RATE_FAULTS_HOLDER)
        kind = 1;
    s->result.faults++;
    switch (kind) {
    case 0:
        fail_owner(s);
        return;
    case 1:
        abort_streams(s, i);
        make_holder(s, i);
        return;
    case 2:
        s->holders[i].frozen_until =
            s->now + (bbm_time)bbm_rng_below(&s->rng, FREEZE_MAX_NS);
        return;
    case 3:
        net_isolate(&s->net, i, true);
        return;
    case 4:
        net_isolate(&s->net, i, false);
        return;
    default:
        s->stalled_until =
            s->now + (bbm_time)bbm_rng_below(&s->rng, STALL_MAX_NS);
        return;
    }
}

/* ---- the run ---- */

static void
deliver(history *s)
{
    net_message m;
    while (net_receive(&s->net, s->now, &m)) {
        if (m.to == OWNER_NODE) {
            if (s->owner)
                bbm_rate_owner_apply_report(s->owner, m.bytes.data,
                                            m.bytes.len, s->now);
        }
        else if (s->now < s->holders[m.to].frozen_until) {
            net_send(&s->net, s->holders[m.to].frozen_until, m.from, m.to,
                     m.bytes.data, m.bytes.len);
        }
        else {
            size_t changed;
            holder *h = &s->holders[m.to];
            bbm_rate_apply_grant(h->h, m.bytes.data, m.bytes.len,
                                 clock_of(s, m.to), &changed);
            h->last_grant = clock_of(s, m.to);
            if (bbm_rate_was_reduced(h->h))
                report(s, m.to);
        }
        bbm_buf_free(&m.bytes);
        if (s->owner)
            send_grants(s);
    }
}

/* Redistribute the demand over the holders. */
static void
shift_demand(history *s)
{
    double sum = 0;
    for (int i = 0; i < s->desc.holders; i++) {
        double u = bbm_rng_unit(&s->rng);
        s->holders[i].share = u * u;
        sum += u * u;
    }
    for (int i = 0; i < s->desc.holders; i++)
        s->holders[i].share /= sum;
}

static void
step_holder(history *s, int i)
{
    holder *h = &s->holders[i];
    if (s->now < h->frozen_until)
        return;
    if (clock_of(s, i) - h->last_grant > ABORT_AFTER_NS)
        abort_streams(s, i);
    double mean = (s->busy ? s->desc.load : 0.02) * RATE_TOKENS_PER_S
                  * h->share / REQUEST_TOKENS_MEAN;
    if (bbm_rng_unit(&s->rng) < mean * (double)STEP_NS / (double)BBM_SECOND)
        add_request(s, i);
    report(s, i);
}

static void
step(history *s)
{
    advance_time(s);
    if (!s->owner && s->now >= s->owner_returns_at)
        make_owner(s);
    commit_ledger(s);
    deliver(s);
    for (int i = 0; i < s->desc.holders; i++)
        step_holder(s, i);
    if (s->owner) {
        bbm_rate_owner_tick(s->owner, s->now);
        send_grants(s);
    }
    for (int j = 0; j < s->used; j++) {
        stream *q = &s->streams[j];
        bool frozen = s->now < s->holders[q->holder].frozen_until;
        if (q->state == STREAM_WAITING && !frozen)
            try_start(s, q);
        else if (q->state == STREAM_RUNNING)
            run_stream(s, q);
    }
}

static void
begin(history *s)
{
    bool network = s->desc.faults == RATE_FAULTS_NETWORK
                   || s->desc.faults == RATE_FAULTS_ALL;
    net_desc desc = {.seed = s->desc.seed, .delay_max = 2 * BBM_MS};
    if (network) {
        desc.loss = 0.05;
        desc.duplicated = 0.05;
        uint64_t delay_max_ms = s->desc.faults == RATE_FAULTS_ALL ? 300 : 20;
        desc.delay_max =
            (bbm_time)(1 + bbm_rng_below(&s->rng, delay_max_ms)) * BBM_MS;
    }
    net_init(&s->net, &desc);
    s->now = 100 * BBM_SECOND;
    s->burst = RATE_TOKENS_PER_S * s->desc.burst_s;
    s->reference_level = s->burst;
    s->busy = true;
    s->answer_tokens_per_s =
        s->desc.phases ? 10 + 90 * bbm_rng_unit(&s->rng) : 100;
    s->output_share = s->desc.phases ? 0.8 * bbm_rng_unit(&s->rng) : 0.2;
    for (int i = 0; i < s->desc.holders; i++) {
        if (s->desc.faults == RATE_FAULTS_ALL)
            s->holders[i].ppm = (int64_t)bbm_rng_below(&s->rng, 2000) - 1000;
        make_holder(s, i);
    }
    make_owner(s);
    shift_demand(s);
}

rate_history_result
rate_history_run(const rate_history_desc *desc)
{
    history *s = bbm_calloc(1, sizeof(*s));
    s->desc = *desc;
    s->rng = bbm_rng_of(desc->seed);
    begin(s);
    int steps = (int)(desc->seconds * (BBM_SECOND / STEP_NS));
    uint64_t between = desc->faults == RATE_FAULTS_ALL ? 300 : 6000;
    bool faulty = desc->faults != RATE_FAULTS_NONE
                  && desc->faults != RATE_FAULTS_NETWORK;
    for (int i = 0; i < steps && !s->result.broken; i++) {
        step(s);
        if (bbm_rng_below(&s->rng, 2000) == 0)
            shift_demand(s);
        if (s->desc.phases && bbm_rng_below(&s->rng, 1000) == 0)
            s->busy = !s->busy;
        if (faulty && bbm_rng_below(&s->rng, between) == 0)
            make_fault(s);
    }
    rate_history_result result = s->result;
    for (int i = 0; i < desc->holders; i++)
        bbm_rate_holder_destroy(s->holders[i].h);
    bbm_rate_owner_destroy(s->owner);
    drop_pending(s);
    bbm_buf_free(&s->committed_ledger);
    net_free(&s->net);
    free(s);
    return result;
}
