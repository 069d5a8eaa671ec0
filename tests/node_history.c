#include "node_history.h"

#include "fleet.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define NODES 5
#define FOUNDERS 3
#define BOOKINGS 512
#define ASKS 8192
#define KEYS 64
#define JOBS 1024
/* A withdrawn key starts nothing after this, wherever it is shown: the bound
   of freshness, and the longest freeze. */
#define KEY_BOUND (6 * BBM_SECOND)

typedef struct ask {
    int booking;
    int node;
    uint64_t run; /* count of starts of the node when it was asked */
} ask;

typedef struct job {
    bool used;
    int node;
    uint64_t starts;
    bbm_start start;
    bbm_time due;
} job;

typedef struct history {
    fleet *fleet;
    bbm_rng rng;
    node_history_result result;
    ask asks[ASKS]; /* by request number */
    uint64_t next_request;
    uint64_t next_op;
    int runs[BOOKINGS]; /* at the service */
    bool not_run[BOOKINGS][NODES];
    uint64_t starts[NODES];
    job jobs[JOBS];
    uint64_t revision; /* highest that was acknowledged */
    uint64_t op_expected[ASKS];
    uint64_t winner[ASKS];   /* call that got a revision */
    int op_key[ASKS];        /* key that a call withdraws, or -1 */
    uint64_t seen[NODES];    /* highest revision in force there */
    bbm_time key_gone[KEYS]; /* acknowledged withdrawal; 0: not */
    bool key_asked[KEYS];
    int key_of[ASKS];
    uint64_t reached[ASKS]; /* request that was sent to the service */
    int keys;
    bool healing;
} history;

static void
broken(history *h, const char *what)
{
    if (!h->result.broken)
        h->result.broken = what;
}

static bbm_digest
key_digest(int key)
{
    return bbm_digest_of(&key, sizeof(key), NULL);
}

/* ---- what the fleet asks of the world ---- */

static void
add_job(history *h, int node, const bbm_start *start)
{
    bbm_time now = fleet_now(h->fleet);
    for (int i = 0; i < JOBS; i++) {
        job *j = &h->jobs[i];
        if (j->used)
            continue;
        *j = (job){.used = true,
                   .node = node,
                   .starts = h->starts[node],
                   .start = *start};
        /* One in ten takes long enough to be cut. */
        bool is_long = bbm_rng_below(&h->rng, 10) == 0;
        uint64_t most = (is_long ? 25 : 3) * (uint64_t)BBM_SECOND;
        j->due = now + (bbm_time)bbm_rng_below(&h->rng, most);
        return;
    }
}

static void
on_start(void *context, int node, const bbm_start *start)
{
    history *h = context;
    const ask *a = &h->asks[start->request % ASKS];
    int key = h->key_of[start->request % ASKS];
    bbm_time now = fleet_now(h->fleet);
    if (key >= 0 && h->key_gone[key] && now > h->key_gone[key] + KEY_BOUND)
        broken(h, "a withdrawn key starts nothing after the bound");
    h->reached[start->request % ASKS] = start->request;
    if (a->booking < 0) {
        add_job(h, node, start);
        return;
    }
    /* It reaches the service: this is a run. */
    if (h->runs[a->booking]++ > 0)
        broken(h, "a booking runs at most once");
    h->result.runs++;
    add_job(h, node, start);
}

/* What is cut was sent: its error may not say that it did not run. */
static void
on_cut(void *context, int node, uint64_t request, int code)
{
    (void)node;
    (void)request;
    history *h = context;
    if (code < 0 && bbm_code_ran(code) == BBM_RAN_NO)
        broken(h, "not run is true of what is cut");
}

static void
on_answer(void *context, const fleet_answer *a)
{
    history *h = context;
    if (!a->operator_call) {
        const ask *q = &h->asks[a->id % ASKS];
        bool says_not = a->code < 0 && bbm_code_ran(a->code) == BBM_RAN_NO;
        if (says_not && h->reached[a->id % ASKS] == a->id)
            broken(h, "not run is true");
        if (q->booking < 0)
            return;
        h->result.not_run += says_not;
        /* Said of this request; an earlier one with its key may have run,
           and then it isn't one that could have: no claim was made. */
        if (says_not && a->code == BBM_ERR_UPSTREAM_CONNECT
            && h->runs[q->booking] > 0)
            broken(h, "not run is true");
        return;
    }
    if (a->code != BBM_OK)
        return;
    json_error_t error;
    json_t *doc = json_loadb(a->body, a->len, 0, &error);
    json_int_t number = json_integer_value(json_object_get(doc, "number"));
    json_decref(doc);
    int key = h->op_key[a->id % ASKS];
    if (key >= 0) {
        if (!h->key_gone[key]) {
            h->key_gone[key] = fleet_now(h->fleet);
            h->result.withdrawn++;
        }
        return;
    }
    if (!number)
        return;
    if ((uint64_t)number != h->op_expected[a->id % ASKS] + 1)
        broken(h, "a publish gets the revision after the one it names");
    /* Of operators with the same number one wins. */
    if (number < ASKS) {
        uint64_t *winner = &h->winner[number];
        if (*winner && *winner != a->id)
            broken(h, "a revision is given to one publish");
        *winner = a->id;
    }
    h->result.publishes++;
    if ((uint64_t)number > h->revision)
        h->revision = (uint64_t)number;
}

/* ---- what the world asks of the fleet ---- */

static int
pick_node(history *h)
{
    return (int)bbm_rng_below(&h->rng, NODES);
}

/* A request with some key at some node; true if the node was there. */
static bool
ask_for(history *h, const char *path, int booking)
{
    int node = pick_node(h);
    int key = (int)bbm_rng_below(&h->rng, (uint64_t)h->keys);
    uint64_t id = ++h->next_request;
    h->asks[id % ASKS] = (ask){.booking = booking, .node = node};
    h->key_of[id % ASKS] = key;
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
    int booking = (int)bbm_rng_below(&h->rng, BOOKINGS);
    h->result.bookings += ask_for(h, "/book", booking);
}

/* What may be repeated needs no claim: it shows how old a VM's keys are. */
static void
browse(history *h)
{
    ask_for(h, "/browse", -1);
}

static void
finish_jobs(history *h)
{
    for (int i = 0; i < JOBS; i++) {
        job *j = &h->jobs[i];
        if (!j->used || fleet_now(h->fleet) < j->due)
            continue;
        bool same = j->starts == h->starts[j->node];
        if (same && !fleet_is_running(h->fleet, j->node))
            continue;
        j->used = false;
        if (!same)
            continue;
        bool lost = bbm_rng_below(&h->rng, 5) == 0;
        bbm_event ev = {.kind = BBM_EV_FINISHED};
        ev.u.finished = (bbm_finished_event){
            .request = j->start.request,
            .attempt = j->start.attempt,
            .code = lost ? BBM_ERR_UPSTREAM : BBM_OK,
            .sent = true,
            .answer_started = !lost,
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
    h->op_expected[id % ASKS] = expected;
    h->op_key[id % ASKS] = -1;
    fleet_publish(h->fleet, node, id, name, expected, document);
}

static void
change_key(history *h, int key, bool give)
{
    uint64_t id = ++h->next_op;
    h->op_key[id % ASKS] = give ? -1 : key;
    h->op_expected[id % ASKS] = 0;
    bbm_event ev = {.kind = BBM_EV_OPERATOR};
    ev.u.call.op = id;
    ev.u.call.verb = give ? BBM_VERB_KEY_ADD : BBM_VERB_KEY_WITHDRAW;
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
        h->result.cuts++;
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
            h->seen[i] = 0;
            continue;
        }
        uint64_t now =
            bbm_node_count(fleet_node(h->fleet, i), fleet_now(h->fleet))
                .revision;
        if (now < h->seen[i])
            broken(h, "a revision in force never goes back");
        h->seen[i] = now;
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
            broken(h, "an accepted configuration is in force everywhere");
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
    fleet_hooks hooks = {
        .context = h, .start = on_start, .abort_request = on_cut, .answer = on_answer};
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
    for (int i = 0; i < steps && !h->result.broken; i++) {
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
        if (bbm_rng_below(&h->rng, 400) == 0 && h->keys < KEYS)
            change_key(h, h->keys++, true);
        if (bbm_rng_below(&h->rng, 400) == 0)
            change_key(h, (int)bbm_rng_below(&h->rng, (uint64_t)h->keys),
                       false);
        if (bbm_rng_below(&h->rng, 120) == 0)
            make_fault(h);
        check_revisions(h);
    }
    if (!h->result.broken)
        heal(h);
    node_history_result result = h->result;
    fleet_destroy(h->fleet);
    free(h);
    return result;
}
