#include "node_history.h"

#include "fleet.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define NODES 5
#define FOUNDERS 3
#define BOOKINGS_MAX 512
#define REQUESTS_MAX 8192
#define KEYS_MAX 64
#define JOBS_MAX 1024
/* Later than this after the acknowledged withdrawal of a key, no VM may start
   a request with it.  The bound exceeds key_age_max (5 s) and the longest
   freeze (5 s). */
#define KEY_WITHDRAWAL_BOUND (6 * BBM_SECOND)

typedef struct sent_request {
    int booking; /* -1: a repeatable request */
} sent_request;

/* An attempt that runs at the service. */
typedef struct job {
    bool used;
    int node;
    uint64_t starts; /* of the node when the job began: after a restart of
                        the node the job's result is dropped */
    bbm_start start;
    bbm_time due; /* end of the job */
} job;

typedef struct history {
    fleet *fleet;
    bbm_rng rng;
    node_history_result result;
    sent_request requests[REQUESTS_MAX]; /* by number modulo the size */
    uint64_t next_request;
    uint64_t next_op;
    int runs[BOOKINGS_MAX]; /* number of runs at the service */
    uint64_t starts[NODES]; /* number of restarts of each node */
    job jobs[JOBS_MAX];
    uint64_t revision;                  /* highest acknowledged one */
    uint64_t op_expected[REQUESTS_MAX]; /* revision that a publish names */
    uint64_t accepted_op[REQUESTS_MAX]; /* call that got a revision; 0: none */
    int op_key[REQUESTS_MAX];           /* key that a call withdraws, or -1 */
    uint64_t last_revision[NODES]; /* highest revision in force at the node */
    bbm_time key_withdrawn_at[KEYS_MAX];     /* time of the acknowledged
                                                withdrawal; 0: none */
    int key_of[REQUESTS_MAX];                /* key of a request */
    uint64_t reached_upstream[REQUESTS_MAX]; /* request that was sent to an
                                                upstream; 0: none */
    int keys;                                /* keys added */
} history;

static void
record_violation(history *h, const char *invariant)
{
    if (!h->result.violation)
        h->result.violation = invariant;
}

static bbm_digest
key_digest(int key)
{
    return bbm_digest_of(&key, sizeof(key), NULL);
}

/* ---- hooks: upstreams and clients ---- */

static void
add_job(history *h, int node, const bbm_start *start)
{
    bbm_time now = fleet_now(h->fleet);
    for (int i = 0; i < JOBS_MAX; i++) {
        job *j = &h->jobs[i];
        if (j->used)
            continue;
        *j = (job){.used = true,
                   .node = node,
                   .starts = h->starts[node],
                   .start = *start};
        /* One in ten takes long enough to be aborted. */
        bool is_long_job = bbm_rng_below(&h->rng, 10) == 0;
        uint64_t max_delay = (is_long_job ? 25 : 3) * (uint64_t)BBM_SECOND;
        j->due = now + (bbm_time)bbm_rng_below(&h->rng, max_delay);
        return;
    }
}

static void
on_start(void *context, int node, const bbm_start *start)
{
    history *h = context;
    const sent_request *a = &h->requests[start->request % REQUESTS_MAX];
    int key = h->key_of[start->request % REQUESTS_MAX];
    bbm_time now = fleet_now(h->fleet);
    if (key >= 0 && h->key_withdrawn_at[key]
        && now > h->key_withdrawn_at[key] + KEY_WITHDRAWAL_BOUND)
        record_violation(h,
                         "a withdrawn key starts no request after the bound");
    h->reached_upstream[start->request % REQUESTS_MAX] = start->request;
    if (a->booking < 0) {
        add_job(h, node, start);
        return;
    }
    /* It reaches the service: this is a run. */
    if (h->runs[a->booking]++ > 0)
        record_violation(h, "a booking runs at most once");
    h->result.runs++;
    add_job(h, node, start);
}

/* An aborted request was sent: its error must not say that it did not run. */
static void
on_abort(void *context, int node, uint64_t request, int code)
{
    (void)node;
    (void)request;
    history *h = context;
    if (code < 0 && bbm_code_ran(code) == BBM_RAN_NO)
        record_violation(h, "an aborted request is never reported as not run");
}

static void
on_answer(void *context, const fleet_answer *a)
{
    history *h = context;
    if (!a->operator_call) {
        const sent_request *q = &h->requests[a->id % REQUESTS_MAX];
        bool says_not_run = a->code < 0 && bbm_code_ran(a->code) == BBM_RAN_NO;
        if (says_not_run && h->reached_upstream[a->id % REQUESTS_MAX] == a->id)
            record_violation(h, "a request reported as not run did not run");
        if (q->booking < 0)
            return;
        h->result.not_run += says_not_run;
        /* The code is about this request only.  But if an earlier one with
           the same idempotency key has run, this one gets no claim and is
           never sent, so it can't fail to connect. */
        if (says_not_run && a->code == BBM_ERR_UPSTREAM_CONNECT
            && h->runs[q->booking] > 0)
            record_violation(h, "a request reported as not run did not run");
        return;
    }
    if (a->code != BBM_OK)
        return;
    json_error_t error;
    json_t *doc = json_loadb(a->body, a->len, 0, &error);
    json_int_t number = json_integer_value(json_object_get(doc, "number"));
    json_decref(doc);
    int key = h->op_key[a->id % REQUESTS_MAX];
    if (key >= 0) {
        if (!h->key_withdrawn_at[key]) {
            h->key_withdrawn_at[key] = fleet_now(h->fleet);
            h->result.keys_withdrawn++;
        }
        return;
    }
    if (!number)
        return;
    if ((uint64_t)number != h->op_expected[a->id % REQUESTS_MAX] + 1)
        record_violation(h,
                         "a publish gets the revision after the one it names");
    /* Of operators that publish on the same revision, only one succeeds. */
    if (number < REQUESTS_MAX) {
        uint64_t *accepted_op = &h->accepted_op[number];
        if (*accepted_op && *accepted_op != a->id)
            record_violation(h, "a revision is given to one publish");
        *accepted_op = a->id;
    }
    h->result.publishes++;
    if ((uint64_t)number > h->revision)
        h->revision = (uint64_t)number;
}

/* ---- load ---- */

static int
pick_node(history *h)
{
    return (int)bbm_rng_below(&h->rng, NODES);
}

/* Sends a request with a random key to a random node; true if the node was
   up. */
static bool
send_request(history *h, const char *path, int booking)
{
    int node = pick_node(h);
    int key = (int)bbm_rng_below(&h->rng, (uint64_t)h->keys);
    uint64_t id = ++h->next_request;
    h->requests[id % REQUESTS_MAX] = (sent_request){.booking = booking};
    h->key_of[id % REQUESTS_MAX] = key;
    bbm_event ev = {.kind = BBM_EV_REQUEST};
    ev.u.request.request = id;
    ev.u.request.has_key = true;
    ev.u.request.key = key_digest(key);
    ev.u.request.path = path;
    ev.u.request.model = "";
    ev.u.request.has_idem = booking >= 0;
    ev.u.request.idem_key = bbm_digest_of(&booking, sizeof(booking), NULL);
    ev.u.request.body_digest = ev.u.request.idem_key;
    return fleet_deliver(h->fleet, node, &ev);
}

static void
book(history *h)
{
    int booking = (int)bbm_rng_below(&h->rng, BOOKINGS_MAX);
    h->result.bookings += send_request(h, "/book", booking);
}

/* Sends a repeatable request, which needs no claim: it shows the age of a
   VM's keys. */
static void
browse(history *h)
{
    send_request(h, "/browse", -1);
}

static void
finish_jobs(history *h)
{
    for (int i = 0; i < JOBS_MAX; i++) {
        job *j = &h->jobs[i];
        if (!j->used || fleet_now(h->fleet) < j->due)
            continue;
        bool same_start = j->starts == h->starts[j->node];
        if (same_start && !fleet_is_running(h->fleet, j->node))
            continue;
        j->used = false;
        if (!same_start)
            continue;
        bool failed = bbm_rng_below(&h->rng, 5) == 0;
        bbm_event ev = {.kind = BBM_EV_FINISHED};
        ev.u.finished = (bbm_finished_event){
            .request = j->start.request,
            .attempt = j->start.attempt,
            .code = failed ? BBM_ERR_UPSTREAM : BBM_OK,
            .sent = true,
            .answer_started = !failed,
            .status = 200,
            .prompt_tokens = -1,
            .content_type = "text/plain",
            .body = (const uint8_t *)"ok",
            .body_len = 2,
        };
        fleet_deliver(h->fleet, j->node, &ev);
    }
}

static const char document[] =
    "{\"rates\":[{\"name\":\"r\",\"tokens_per_s\":1000,\"burst\":10000}],"
    "\"customers\":[{\"name\":\"c\",\"rate\":\"r\"}],"
    "\"services\":[{\"name\":\"s\",\"zone\":\"z\",\"url\":\"http://h:1\"}],"
    "\"routes\":[{\"name\":\"b\",\"path\":\"/book\",\"services\":[\"s\"],"
    "\"start_ms\":3000},"
    "{\"name\":\"w\",\"path\":\"/browse\",\"services\":[\"s\"],"
    "\"repeatable\":true}]}";

static void
publish(history *h)
{
    int node = pick_node(h);
    uint64_t id = ++h->next_op;
    char name[BBM_NAME_SIZE];
    uint64_t expected = h->revision;
    snprintf(name, sizeof(name), "p%llu", (unsigned long long)id);
    h->op_expected[id % REQUESTS_MAX] = expected;
    h->op_key[id % REQUESTS_MAX] = -1;
    fleet_publish(h->fleet, node, id, name, expected, document);
}

static void
change_key(history *h, int key, bool add)
{
    uint64_t id = ++h->next_op;
    h->op_key[id % REQUESTS_MAX] = add ? -1 : key;
    h->op_expected[id % REQUESTS_MAX] = 0;
    bbm_event ev = {.kind = BBM_EV_OPERATOR};
    ev.u.call.op = id;
    ev.u.call.verb = add ? BBM_VERB_KEY_ADD : BBM_VERB_KEY_WITHDRAW;
    ev.u.call.digest = key_digest(key);
    snprintf(ev.u.call.name, BBM_NAME_SIZE, "k%d", key);
    bbm_name_set(ev.u.call.other_name, "c");
    fleet_deliver(h->fleet, pick_node(h), &ev);
}

/* ---- faults ---- */

static void
make_fault(history *h)
{
    int i = pick_node(h);
    switch (bbm_rng_below(&h->rng, 6)) {
    case 0:
        fleet_crash(h->fleet, i);
        h->result.crashes++;
        return;
    case 1:
    case 2:
        if (!fleet_node(h->fleet, i)) {
            h->starts[i]++;
            fleet_start(h->fleet, i);
        }
        return;
    case 3:
        fleet_freeze(
            h->fleet, i,
            (bbm_time)bbm_rng_below(&h->rng, 5 * (uint64_t)BBM_SECOND));
        h->result.freezes++;
        return;
    case 4:
        net_isolate(fleet_net(h->fleet), i, true);
        h->result.isolations++;
        return;
    default:
        net_isolate(fleet_net(h->fleet), i, false);
        return;
    }
}

static void
check_revisions(history *h)
{
    for (int i = 0; i < NODES; i++) {
        if (!fleet_node(h->fleet, i)) {
            h->last_revision[i] = 0;
            continue;
        }
        uint64_t now =
            bbm_node_count(fleet_node(h->fleet, i), fleet_now(h->fleet))
                .revision;
        if (now < h->last_revision[i])
            record_violation(h, "a revision in force never goes back");
        h->last_revision[i] = now;
    }
}

static void
heal(history *h)
{
    net_heal(fleet_net(h->fleet));
    for (int i = 0; i < NODES; i++) {
        fleet_freeze(h->fleet, i, 0);
        if (!fleet_node(h->fleet, i)) {
            h->starts[i]++;
            fleet_start(h->fleet, i);
        }
    }
    for (int i = 0; i < 2000; i++) {
        fleet_step(h->fleet);
        finish_jobs(h);
    }
    for (int i = 0; i < NODES; i++) {
        bbm_node_counts c =
            bbm_node_count(fleet_node(h->fleet, i), fleet_now(h->fleet));
        if (c.revision < h->revision)
            record_violation(
                h, "an accepted configuration is in force everywhere");
    }
}

node_history_result
node_history_run(uint64_t seed, int steps, node_weakness weakness)
{
    history *h = bbm_calloc(1, sizeof(*h));
    h->rng = bbm_rng_of(seed);
    fleet_desc desc = {
        .seed = seed,
        .nodes = NODES,
        .founders = FOUNDERS,
        .delay_max = 15 * BBM_MS,
        .sync_max = 15 * BBM_MS,
    };
    desc.node.unsafe_no_claim = weakness == NODE_NO_CLAIM;
    desc.node.unsafe_stale_keys = weakness == NODE_STALE_KEYS;
    desc.node.snapshot_interval_entries = 60;
    fleet_hooks hooks = {.context = h,
                         .start = on_start,
                         .abort_request = on_abort,
                         .answer = on_answer};
    h->fleet = fleet_create(&desc, &hooks);
    fleet_run(h->fleet, 4 * BBM_SECOND);
    publish(h);
    fleet_run(h->fleet, 2 * BBM_SECOND);
    while (h->keys < 8) {
        change_key(h, h->keys++, true);
        fleet_run(h->fleet, BBM_SECOND / 5);
    }
    net *n = fleet_net(h->fleet);
    n->desc.loss = 0.05 * bbm_rng_unit(&h->rng);
    n->desc.duplicated = 0.1 * bbm_rng_unit(&h->rng);
    for (int i = 0; i < steps && !h->result.violation; i++) {
        fleet_step(h->fleet);
        finish_jobs(h);
        if (bbm_rng_below(&h->rng, 8) == 0)
            book(h);
        if (bbm_rng_below(&h->rng, 8) == 0)
            browse(h);
        if (bbm_rng_below(&h->rng, 150) == 0) {
            publish(h);
            publish(h);
        }
        if (bbm_rng_below(&h->rng, 400) == 0 && h->keys < KEYS_MAX)
            change_key(h, h->keys++, true);
        if (bbm_rng_below(&h->rng, 400) == 0)
            change_key(h, (int)bbm_rng_below(&h->rng, (uint64_t)h->keys),
                       false);
        if (bbm_rng_below(&h->rng, 120) == 0)
            make_fault(h);
        check_revisions(h);
    }
    if (!h->result.violation)
        heal(h);
    node_history_result result = h->result;
    fleet_destroy(h->fleet);
    free(h);
    return result;
}
