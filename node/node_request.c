/** @file
 *  A request from its arrival until it runs: admission, the queue for a
 *  runner, deadlines, and the checks of its API key.
 */
#include "node_core.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/* Retry-After of temporary refusals. */
#define RETRY_AFTER BBM_SECOND
/* Requests at the head of a queue for which a free runner is sought. */
#define QUEUE_SCAN_COUNT 8

node_request *
node_request_find(const bbm_node *n, uint64_t id)
{
    node_request *r = NULL;
    HASH_FIND(hh, n->requests, &id, sizeof(id), r);
    return r;
}

bbm_names
node_request_failed_upstreams(const node_request *r)
{
    return (bbm_names){
        .items = (char(*)[BBM_NAME_SIZE])(uintptr_t)r->failed_upstreams,
        .len = r->failed_upstreams_len,
    };
}

/* ---- customers and queues ---- */

static node_customer *
get_customer(bbm_node *n, const char *customer)
{
    node_customer *c = NULL;
    HASH_FIND_STR(n->customers, customer, c);
    if (!c) {
        c = bbm_calloc(1, sizeof(*c));
        bbm_name_set(c->name, customer);
        HASH_ADD_STR(n->customers, name, c);
    }
    return c;
}

static node_queue *
get_queue(bbm_node *n, const char *model)
{
    node_queue *q = NULL;
    HASH_FIND_STR(n->queues, model, q);
    if (!q) {
        q = bbm_calloc(1, sizeof(*q));
        bbm_name_set(q->model, model);
        q->admission = bbm_admission_create(n->desc.no_fair_queuing);
        HASH_ADD_STR(n->queues, model, q);
    }
    return q;
}

/* ---- ending ---- */

void
node_request_free(bbm_node *n, node_request *r)
{
    if (r->stage == STAGE_RATE)
        TAILQ_REMOVE(&n->rate_waiters, r, link);
    if (r->stage == STAGE_QUEUE)
        bbm_admission_remove(get_queue(n, r->model)->admission, r->id, false);
    node_run_release_slot(n, r, false);
    node_rate_release(n, r);
    node_customer *c = get_customer(n, r->customer);
    if (--c->open_requests == 0) {
        HASH_DEL(n->customers, c);
        free(c);
    }
    HASH_DEL(n->requests, r);
    free(r->blocks);
    free(r);
}

static void
count_refusal(bbm_node *n, int code)
{
    switch (code) {
    case BBM_ERR_RATE:
    case BBM_ERR_OVER_BURST:
        n->counts.refused_rate++;
        return;
    case BBM_ERR_OVERLOAD:
    case BBM_ERR_BUSY:
        n->counts.refused_load++;
        return;
    case BBM_ERR_NO_KEY:
    case BBM_ERR_BAD_KEY:
    case BBM_ERR_KEYS_STALE:
        n->counts.refused_key++;
        return;
    default:
        n->counts.refused_other++;
    }
}

static void
answer_refusal(bbm_node *n, uint64_t id, int code, bbm_time retry_after)
{
    bbm_action *a = node_push_action(n, BBM_ACT_ANSWER);
    a->u.answer.request = id;
    a->u.answer.code = code;
    a->u.answer.retry_after_ms = (retry_after + BBM_MS - 1) / BBM_MS;
    count_refusal(n, code);
}

/* True for refusals that the customer did not cause: they count against the
   objectives. */
static bool
is_internal_refusal(int code)
{
    switch (code) {
    case BBM_ERR_OVERLOAD:
    case BBM_ERR_KEYS_STALE:
    case BBM_ERR_NO_UPSTREAM:
    case BBM_ERR_CLAIM:
    case BBM_ERR_BUSY:
    case BBM_ERR_NOT_READY:
        return true;
    default:
        return false;
    }
}

void
node_request_refuse(bbm_node *n, node_request *r, int code,
                    bbm_time retry_after)
{
    /* After an attempt that may have run, the error must not say "not run". */
    if (r->maybe_sent && bbm_code_ran(code) == BBM_RAN_NO)
        code = BBM_ERR_UPSTREAM;
    answer_refusal(n, r->id, code, retry_after);
    bbm_burn_record(n->burn,
                    &(bbm_burn_sample){
                        .customer = r->customer,
                        .route = r->route,
                        .refused_within_rate = is_internal_refusal(code),
                    },
                    n->now);
    if (r->stage == STAGE_CLAIM)
        node_claim_abandon(n, r);
    else if (r->claimed)
        node_claim_end(n, r, BBM_CLAIM_NOT_RUN, NULL);
    node_request_free(n, r);
}

/* ---- admission ---- */

static int
find_route(const bbm_node *n, const bbm_request_event *ev,
           const bbm_route **route)
{
    const bbm_config *cfg = node_config(n);
    const char *model = ev->model && ev->model[0] ? ev->model : NULL;
    *route = bbm_config_route(cfg, ev->path, model);
    if (*route)
        return BBM_OK;
    /* If only other models have a route with this path, the fault is the
       request's model, not its path. */
    for (const bbm_route *r = cfg->routes; r; r = r->hh.next) {
        if (r->model[0] && strcmp(r->path, ev->path) == 0)
            return BBM_ERR_NO_MODEL;
    }
    return BBM_ERR_NO_ROUTE;
}

static int
find_customer(const bbm_node *n, const bbm_request_event *ev,
              const bbm_route *route, bbm_key_info *key,
              const bbm_customer **customer)
{
    *customer = NULL;
    *key = (bbm_key_info){0};
    if (route->open)
        return BBM_OK;
    if (!ev->has_key)
        return BBM_ERR_NO_KEY;
    if (n->keys_stale)
        return BBM_ERR_KEYS_STALE;
    if (!bbm_registry_find_key(bbm_state_registry(n->state), &ev->key, key))
        return BBM_ERR_BAD_KEY;
    *customer = bbm_config_customer(node_config(n), key->customer);
    return *customer ? BBM_OK : BBM_ERR_BAD_KEY;
}

static void
set_prompt(node_request *r, const bbm_request_event *ev,
           const bbm_model *model)
{
    r->prompt_tokens =
        ceil((double)ev->prompt_bytes / (double)model->bytes_per_token);
    int64_t output = ev->output_tokens_max ? ev->output_tokens_max
                                           : model->default_output_tokens;
    r->output_tokens = (double)output;
    r->block_tokens =
        (double)model->block_bytes / (double)model->bytes_per_token;
    r->blocks = bbm_calloc(BBM_PROMPT_BLOCKS_MAX, sizeof(*r->blocks));
    r->blocks_len = bbm_prompt_block_ids(ev->units, ev->units_len,
                                         (size_t)model->block_bytes, r->blocks,
                                         BBM_PROMPT_BLOCKS_MAX);
    r->blocks =
        bbm_realloc(r->blocks, (r->blocks_len + 1) * sizeof(*r->blocks));
}

static node_request *
create_request(bbm_node *n, const bbm_request_event *ev,
               const bbm_route *route, const bbm_key_info *key,
               const bbm_customer *customer)
{
    node_request *r = bbm_calloc(1, sizeof(*r));
    r->id = ev->request;
    r->stage = STAGE_RUNNING;
    r->arrived_at = n->now;
    r->start_deadline = n->now + route->start_ms * BBM_MS;
    r->rate_deadline = n->now + n->desc.rate_timeout;
    r->first_byte_timeout = route->first_byte_ms * BBM_MS;
    r->idle_timeout = route->idle_ms * BBM_MS;
    r->priority = (uint32_t)route->priority;
    r->repeatable = route->repeatable;
    r->weight = customer ? (double)customer->weight : 1;
    r->idem_key = ev->idem_key;
    r->body_digest = ev->body_digest;
    bbm_name_set(r->customer, customer ? customer->name : "");
    bbm_name_set(r->key, key->name);
    bbm_name_set(r->route, route->name);
    bbm_name_set(r->model, route->model);
    if (route->model_ref)
        set_prompt(r, ev, route->model_ref);
    else
        r->prompt_tokens = (double)route->cost;
    HASH_ADD(hh, n->requests, id, sizeof(r->id), r);
    get_customer(n, r->customer)->open_requests++;
    return r;
}

static int
check_limits(bbm_node *n, const bbm_request_event *ev, const bbm_route *route,
             const bbm_customer *customer)
{
    const bbm_model *model = route->model_ref;
    if (model && ev->output_tokens_max > model->output_tokens_max)
        return BBM_ERR_BAD_FIELD;
    if (!route->repeatable && !ev->has_idem)
        return BBM_ERR_IDEM_MISSING;
    if (HASH_COUNT(n->requests) >= n->desc.requests_max)
        return BBM_ERR_BUSY;
    if (!customer)
        return BBM_OK;
    node_customer *c = NULL;
    HASH_FIND_STR(n->customers, customer->name, c);
    if (c && c->open_requests >= (size_t)customer->open_requests_max)
        return BBM_ERR_BUSY;
    return BBM_OK;
}

static int
admit(bbm_node *n, const bbm_request_event *ev)
{
    if (!n->config_revision)
        return BBM_ERR_NOT_READY;
    bool entries_expired = n->now - n->draining_since >= n->desc.entry_ttl;
    if (n->stopping && entries_expired)
        return BBM_ERR_DRAINING;
    const bbm_route *route = NULL;
    const bbm_customer *customer = NULL;
    bbm_key_info key = {0};
    int rc = find_route(n, ev, &route);
    if (rc == BBM_OK)
        rc = find_customer(n, ev, route, &key, &customer);
    if (rc == BBM_OK)
        rc = check_limits(n, ev, route, customer);
    if (rc < 0)
        return rc;
    node_request *r = create_request(n, ev, route, &key, customer);
    double tokens = r->prompt_tokens + r->output_tokens;
    if (customer && tokens > (double)customer->rate_ref->burst) {
        node_request_refuse(n, r, BBM_ERR_OVER_BURST, 0);
        return BBM_OK;
    }
    bbm_retry_record_request(&n->retry_budget);
    node_rate_reserve(n, r);
    return BBM_OK;
}

void
node_request_begin(bbm_node *n, const bbm_request_event *ev)
{
    n->counts.requests++;
    int rc = admit(n, ev);
    if (rc == BBM_OK)
        return;
    bool temporary = bbm_code_status(rc) == 503;
    answer_refusal(n, ev->request, rc, temporary ? RETRY_AFTER : 0);
}

/* ---- waiting for a runner ---- */

static bbm_ticket
ticket_of(const node_request *r)
{
    bbm_ticket t = {
        .request = r->id,
        .weight = r->weight,
        .tokens = r->prompt_tokens + r->output_tokens,
        .priority = r->priority,
        .deadline = r->start_deadline,
    };
    bbm_name_set(t.customer, r->customer);
    return t;
}

static bbm_pick_result
pick_runner(bbm_node *n, node_request *r)
{
    /* Of the configuration in force: the request may have waited. */
    bbm_name_set(r->scope, bbm_config_model_scope(node_config(n), r->model,
                                                  r->customer));
    bbm_names failed = node_request_failed_upstreams(r);
    bbm_prompt prompt = {
        .model = r->model,
        .scope = r->scope,
        .blocks = r->blocks,
        .block_count = r->blocks_len,
        .tokens = r->prompt_tokens,
        .block_tokens = r->block_tokens,
        .excluded = &failed,
    };
    bbm_pick_result result =
        bbm_fleet_pick(n->fleet, &prompt, n->now, &r->pick);
    if (result != BBM_PICK_START)
        return result;
    bbm_fleet_started(n->fleet, &prompt, &r->pick, n->now);
    r->has_pick = true;
    bbm_name_set(r->upstream, r->pick.engine);
    return result;
}

static void
enqueue(bbm_node *n, node_request *r, bbm_admission *q)
{
    bbm_ticket t = ticket_of(r);
    double ahead = bbm_admission_tokens_ahead(q, &t);
    bbm_time wait = bbm_fleet_estimate_wait(n->fleet, r->model, ahead, n->now);
    if (n->now + wait > r->start_deadline) {
        node_request_refuse(n, r, BBM_ERR_OVERLOAD, wait);
        return;
    }
    r->stage = STAGE_QUEUE;
    bbm_admission_push(q, &t);
}

void
node_request_dispatch(bbm_node *n, node_request *r)
{
    r->stage = STAGE_RUNNING;
    if (!r->model[0]) {
        node_run_start(n, r);
        return;
    }
    bbm_admission *q = get_queue(n, r->model)->admission;
    if (bbm_admission_len(q)) {
        enqueue(n, r, q);
        return;
    }
    switch (pick_runner(n, r)) {
    case BBM_PICK_START: {
        bbm_ticket t = ticket_of(r);
        bbm_admission_record_start(q, &t);
        node_run_start(n, r);
        return;
    }
    case BBM_PICK_WAIT:
        enqueue(n, r, q);
        return;
    case BBM_PICK_NONE:
        node_request_refuse(n, r, BBM_ERR_NO_UPSTREAM, RETRY_AFTER);
        return;
    }
}

/* Tries several requests at the head of the queue, so that one whose runner is
   still full doesn't block another whose runner is free. */
static void
dispatch_queue(bbm_node *n, bbm_admission *q)
{
    bbm_ticket t;
    size_t i = 0;
    while (i < QUEUE_SCAN_COUNT && bbm_admission_at(q, i, &t)) {
        node_request *r = node_request_find(n, t.request);
        if (!r) {
            bbm_admission_remove(q, t.request, false);
            continue;
        }
        if (pick_runner(n, r) != BBM_PICK_START) {
            i++;
            continue;
        }
        bbm_admission_remove(q, t.request, true);
        r->stage = STAGE_RUNNING;
        node_run_start(n, r);
    }
}

void
node_request_dispatch_queued(bbm_node *n)
{
    for (node_queue *q = n->queues; q; q = q->hh.next)
        dispatch_queue(n, q->admission);
}

/* ---- time ---- */

static void
refuse_expired(bbm_node *n)
{
    for (node_queue *q = n->queues; q; q = q->hh.next) {
        bbm_ticket t;
        while (bbm_admission_next_expired(q->admission, n->now, &t)) {
            node_request *r = node_request_find(n, t.request);
            if (!r)
                continue;
            r->stage = STAGE_RUNNING;
            bbm_time wait = bbm_fleet_estimate_wait(
                n->fleet, q->model, bbm_admission_tokens(q->admission),
                n->now);
            node_request_refuse(n, r, BBM_ERR_OVERLOAD, wait);
        }
    }
}

void
node_request_tick(bbm_node *n)
{
    node_request *r, *next;
    for (r = TAILQ_FIRST(&n->rate_waiters); r; r = next) {
        next = TAILQ_NEXT(r, link);
        if (n->now >= r->rate_deadline)
            node_rate_reserve(n, r);
    }
    HASH_ITER(hh, n->requests, r, next)
    {
        if (r->stage == STAGE_CLAIM && n->now >= r->start_deadline)
            node_request_refuse(n, r, BBM_ERR_CLAIM, RETRY_AFTER);
    }
    refuse_expired(n);
    node_request_dispatch_queued(n);
}

/* ---- keys ---- */

/* Aborts a running request with a code that doesn't say "not run"; refuses one
   that waits. */
static void
abort_or_refuse(bbm_node *n, node_request *r, int abort_code, int refuse_code)
{
    if (r->stage == STAGE_RUNNING)
        node_run_abort(n, r, abort_code);
    else
        node_request_refuse(n, r, refuse_code, 0);
}

void
node_request_check_keys(bbm_node *n)
{
    const bbm_registry *reg = bbm_state_registry(n->state);
    node_request *r, *next;
    HASH_ITER(hh, n->requests, r, next)
    {
        bool valid = !r->key[0]
                     || (bbm_registry_key_valid(reg, r->key)
                         && bbm_config_customer(node_config(n), r->customer));
        if (!valid)
            abort_or_refuse(n, r, BBM_ERR_KEY_WITHDRAWN, BBM_ERR_BAD_KEY);
    }
}

void
node_request_abort_keyed(bbm_node *n)
{
    node_request *r, *next;
    HASH_ITER(hh, n->requests, r, next)
    {
        if (r->key[0])
            abort_or_refuse(n, r, BBM_ERR_KEYS_STALE_CUT, BBM_ERR_KEYS_STALE);
    }
}

void
node_request_destroy(bbm_node *n)
{
    node_request *r, *next;
    HASH_ITER(hh, n->requests, r, next)
    {
        node_request_free(n, r);
    }
}
