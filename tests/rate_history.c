#include "rate_history.h"

#include "bbm_rate.h"
#include "net.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define HOLDERS_MOST 12
#define OWNER_PLACE 15
#define STREAMS_MOST 4096
#define STEP (10 * BBM_MS)
#define RATE 10000.0
#define WAIT (150 * BBM_MS)
#define PROGRESS (200 * BBM_MS)
#define CUT_AFTER (10 * BBM_SECOND)
/* A new owner is there at the soonest after the old one's lease. */
#define ELECTION BBM_SECOND
#define FREEZE_MOST (5 * BBM_SECOND)
#define GRANTS_MOST 4096
#define AGREE_MOST (10 * BBM_MS)
#define STALL_MOST (20 * BBM_SECOND)
#define REQUEST_TOKENS 1500.0

typedef enum stream_state {
    STREAM_FREE,
    STREAM_WAITS,
    STREAM_RUNS,
} stream_state;

/* A request: it waits for tokens, then its engine runs them. */
typedef struct stream {
    stream_state state;
    int holder;
    double prompt;
    double reserved_output;
    double output;  /* that the engine will generate */
    double ran;     /* by the engine */
    double told;    /* to the holder */
    bbm_time until; /* of waiting */
    bbm_time told_at;
    bool again;
} stream;

typedef struct holder {
    bbm_rate_holder *h;
    uint64_t run;
    bbm_time frozen_until;
    bbm_time last_grant; /* by its clock */
    int64_t ppm;
    double share; /* of the demand */
} holder;

typedef struct history {
    rate_history_desc desc;
    rate_history_result result;
    bbm_rng rng;
    net net;
    holder holders[HOLDERS_MOST];
    stream streams[STREAMS_MOST];
    bbm_rate_owner *owner;
    uint64_t epoch;
    bbm_time owner_back;
    bbm_time now;
    bbm_buf agreed; /* books that a new owner goes on from */
    bbm_buf ledger; /* on their way */
    bbm_time books_due;
    bbm_rate_grant held[GRANTS_MOST];
    size_t held_len;
    size_t batch;      /* of these, allowed by the books on their way */
    double level_over; /* most that any window has above rate * length */
    double ideal;      /* level of a single bucket */
    double burst;
    bbm_time stalled_until; /* the engines run nothing */
    double ideal_reserved;
    bool busy;   /* demand comes in phases */
    int used;    /* streams ever used */
    double slow; /* tokens per second of an answer */
    double output_share;
} history;

static bbm_time
clock_of(const history *s, int i)
{
    return s->now + s->now / 1000000 * s->holders[i].ppm;
}

/* ---- what really runs ---- */

/* For every window at once: the most that any window which ends now has run
   above its rate. */
static void
engine_runs(history *s, double tokens)
{
    s->level_over += tokens;
    if (s->level_over > s->burst + 1) {
        s->result.broken = true;
        if (s->level_over - s->burst > s->result.over)
            s->result.over = s->level_over - s->burst;
    }
}

static void
time_passes(history *s)
{
    double step = RATE * (double)STEP / (double)BBM_SECOND;
    s->now += STEP;
    s->level_over = s->level_over > step ? s->level_over - step : 0;
    double room = s->burst - s->ideal_reserved;
    s->ideal = s->ideal + step < room ? s->ideal + step : room;
}

/* ---- owner ---- */

static void
make_owner(history *s)
{
    bbm_rate_desc desc = {.epoch = ++s->epoch};
    if (s->desc.weakness == RATE_NO_RECLAIM_TIME)
        desc.reclaim_after = BBM_SECOND / 2;
    s->owner = bbm_rate_owner_create(&desc);
    bbm_rate_owner_set_customer(s->owner, "c", RATE, s->burst, s->now);
    if (s->agreed.len && s->desc.weakness != RATE_NO_BOOKS)
        bbm_rate_owner_restore(s->owner, "c", s->agreed.data, s->agreed.len,
                               s->now);
}

static void
send_grant(history *s, const bbm_rate_grant *g)
{
    int to = atoi(g->node + 1);
    s->result.messages++;
    s->result.bytes += (int64_t)g->bytes.len;
    net_send(&s->net, s->now, OWNER_PLACE, to, g->bytes.data, g->bytes.len);
}

/* Books are agreed after a while; grants that they allow go out then. */
static void
agree(history *s)
{
    if (!s->books_due || s->now < s->books_due)
        return;
    s->books_due = 0;
    bbm_buf old = s->agreed;
    s->agreed = s->ledger;
    bbm_buf_free(&old);
    s->ledger = (bbm_buf){0};
    for (size_t i = 0; i < s->batch; i++) {
        send_grant(s, &s->held[i]);
        bbm_buf_free(&s->held[i].bytes);
    }
    s->held_len -= s->batch;
    memmove(s->held, s->held + s->batch, s->held_len * sizeof(s->held[0]));
    s->batch = 0;
}

static void
drop_held(history *s)
{
    for (size_t i = 0; i < s->held_len; i++)
        bbm_buf_free(&s->held[i].bytes);
    bbm_buf_free(&s->ledger);
    s->held_len = 0;
    s->batch = 0;
    s->books_due = 0;
}

static void
send_grants(history *s)
{
    bbm_rate_grant g;
    while (bbm_rate_owner_next_grant(s->owner, &g)) {
        if (g.changes_ledger && s->held_len < GRANTS_MOST) {
            s->held[s->held_len++] = g;
            continue;
        }
        send_grant(s, &g);
        bbm_buf_free(&g.bytes);
    }
    char customer[BBM_NAME_SIZE];
    if (s->books_due || !s->held_len
        || !bbm_rate_owner_next_ledger(s->owner, customer, &s->ledger))
        return;
    s->batch = s->held_len;
    s->books_due = s->now + (bbm_time)bbm_rng_below(&s->rng, AGREE_MOST) + 1;
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
    net_send(&s->net, s->now, i, OWNER_PLACE, buf.data, buf.len);
    bbm_buf_free(&buf);
}

/* ---- requests ---- */

static void
try_start(history *s, stream *q)
{
    bbm_rate_holder *h = s->holders[q->holder].h;
    bbm_time now = clock_of(s, q->holder);
    double tokens = q->prompt + q->reserved_output;
    bbm_rate_verdict v = bbm_rate_reserve(h, "c", tokens, q->again, now);
    q->again = true;
    if (v == BBM_RATE_RESERVED) {
        q->state = STREAM_RUNS;
        s->ideal -= tokens;
        s->ideal_reserved += tokens;
        return;
    }
    if (s->now < q->until)
        return;
    s->result.refused++;
    if (s->ideal >= tokens)
        s->result.wrongful++;
    bbm_rate_clear_shortfall(h, "c");
    q->state = STREAM_FREE;
}

static void
arrive(history *s, int i)
{
    stream *q = NULL;
    for (int j = 0; j < s->used && !q; j++) {
        if (s->streams[j].state == STREAM_FREE)
            q = &s->streams[j];
    }
    if (!q && s->used == STREAMS_MOST)
        return;
    if (!q)
        q = &s->streams[s->used++];
    s->result.requests++;
    double size = REQUEST_TOKENS * (0.5 + bbm_rng_unit(&s->rng));
    *q = (stream){
        .state = STREAM_WAITS,
        .holder = i,
        .prompt = size * (1 - s->output_share),
        .reserved_output = size * s->output_share,
        .output = size * s->output_share * bbm_rng_unit(&s->rng),
        .until = s->now + WAIT,
    };
    try_start(s, q);
}

/* What was reserved and has not run goes back, to the single bucket too. */
static void
end_stream(history *s, stream *q)
{
    double left = q->prompt + q->reserved_output - q->ran;
    s->ideal_reserved -= left;
    s->ideal += left;
    q->state = STREAM_FREE;
}

/* The engine runs on while the VM is frozen or cut off. */
static void
run_stream(history *s, stream *q)
{
    if (s->now < s->stalled_until)
        return;
    holder *h = &s->holders[q->holder];
    double total = q->prompt + q->output;
    double per_step = s->slow * (double)STEP / (double)BBM_SECOND;
    double more = q->ran < q->prompt ? q->prompt : per_step;
    if (q->ran + more > total)
        more = total - q->ran;
    engine_runs(s, more);
    q->ran += more;
    s->ideal_reserved -= more;
    if (s->now < h->frozen_until)
        return;
    bbm_time now = clock_of(s, q->holder);
    bool done = q->ran >= total - 0.001;
    if (done || s->now - q->told_at > PROGRESS) {
        q->told_at = s->now;
        bbm_rate_consume(h->h, "c", q->ran - q->told, now);
        q->told = q->ran;
    }
    if (done) {
        bbm_rate_release(h->h, "c", q->reserved_output - q->output, now);
        end_stream(s, q);
    }
}

static void
cut_streams(history *s, int i)
{
    for (int j = 0; j < s->used; j++) {
        stream *q = &s->streams[j];
        if (q->holder == i && q->state == STREAM_RUNS)
            end_stream(s, q);
        else if (q->holder == i)
            q->state = STREAM_FREE;
    }
}

/* ---- faults ---- */

static void
lose_owner(history *s)
{
    if (!s->owner)
        return;
    bbm_rate_owner_destroy(s->owner);
    s->owner = NULL;
    drop_held(s);
    uint64_t extra = bbm_rng_below(&s->rng, 3 * (uint64_t)BBM_SECOND);
    s->owner_back = s->now + ELECTION + (bbm_time)extra;
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
        lose_owner(s);
        return;
    case 1:
        cut_streams(s, i);
        make_holder(s, i);
        return;
    case 2:
        s->holders[i].frozen_until =
            s->now + (bbm_time)bbm_rng_below(&s->rng, FREEZE_MOST);
        return;
    case 3:
        net_isolate(&s->net, i, true);
        return;
    case 4:
        net_isolate(&s->net, i, false);
        return;
    default:
        s->stalled_until =
            s->now + (bbm_time)bbm_rng_below(&s->rng, STALL_MOST);
        return;
    }
}

/* ---- the run ---- */

static void
deliver(history *s)
{
    net_message m;
    while (net_receive(&s->net, s->now, &m)) {
        if (m.to == OWNER_PLACE) {
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

/* Demand moves between the holders now and then. */
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
    if (clock_of(s, i) - h->last_grant > CUT_AFTER)
        cut_streams(s, i);
    double mean =
        (s->busy ? s->desc.load : 0.02) * RATE * h->share / REQUEST_TOKENS;
    if (bbm_rng_unit(&s->rng) < mean * (double)STEP / (double)BBM_SECOND)
        arrive(s, i);
    report(s, i);
}

static void
step(history *s)
{
    time_passes(s);
    if (!s->owner && s->now >= s->owner_back)
        make_owner(s);
    agree(s);
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
        if (q->state == STREAM_WAITS && !frozen)
            try_start(s, q);
        else if (q->state == STREAM_RUNS)
            run_stream(s, q);
    }
}

static void
begin(history *s)
{
    bool network = s->desc.faults == RATE_FAULTS_NETWORK
                   || s->desc.faults == RATE_FAULTS_ALL;
    net_desc way = {.seed = s->desc.seed, .delay_max = 2 * BBM_MS};
    if (network) {
        way.loss = 0.05;
        way.duplicated = 0.05;
        uint64_t most = s->desc.faults == RATE_FAULTS_ALL ? 300 : 20;
        way.delay_max = (bbm_time)(1 + bbm_rng_below(&s->rng, most)) * BBM_MS;
    }
    net_init(&s->net, &way);
    s->now = 100 * BBM_SECOND;
    s->burst = RATE * s->desc.burst_s;
    s->ideal = s->burst;
    s->busy = true;
    s->slow = s->desc.phases ? 10 + 90 * bbm_rng_unit(&s->rng) : 100;
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
    int steps = (int)(desc->seconds * (BBM_SECOND / STEP));
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
    drop_held(s);
    bbm_buf_free(&s->agreed);
    net_free(&s->net);
    free(s);
    return result;
}
