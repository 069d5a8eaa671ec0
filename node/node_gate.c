#include "node_core.h"

#include <string.h>

/* Requests to pools: what is decided before the gate, and what follows from
   its outputs. */

#define COME_BACK_SOON (300 * BBM_MS)
/* A VM that has just started knows the configuration soon.  For so long after
   its start it keeps requests, each as long as many callers find an answer in
   good time; those that came later would be refused twice. */
#define STARTING_MOST (2 * BBM_SECOND)
#define KEEP_MOST (400 * BBM_MS)
/* The view of the configuration counts as current at this age. */
#define CURRENT_AGE (1500 * BBM_MS)
/* Without a control group a VM serves with what others told it after this:
   until then a group may come. */
#define CATCH_UP_MOST (4 * BBM_SECOND)
/* Beyond so many requests in a second only some that go well are logged. */
#define SAMPLE_FROM 60

void
node_gate_create(bbm_node *n)
{
    bbm_gate_desc desc = n->desc.gate;
    desc.seed = n->desc.seed;
    bbm_name_set(desc.zone, n->desc.zone);
    n->gate = bbm_gate_create(&desc);
}

/* ---- configuration ---- */

static void
watch_stores(bbm_node *n, const bbm_config *cfg)
{
    for (size_t i = 0; i < n->stores_len; i++)
        n->stores[i].configured = false;
    for (const bbm_store_object *s = cfg->stores; s; s = s->hh.next) {
        size_t i = 0;
        while (i < n->stores_len
               && strcmp(n->stores[i].address, s->address) != 0)
            i++;
        if (i == NODE_STORES_MAX)
            break;
        if (i == n->stores_len) {
            n->stores[n->stores_len++] = (node_store){0};
            bbm_name_set(n->stores[i].address, s->address);
        }
        n->stores[i].configured = true;
    }
    size_t len = 0;
    for (size_t i = 0; i < n->stores_len; i++) {
        if (n->stores[i].configured)
            n->stores[len++] = n->stores[i];
    }
    n->stores_len = len;
}

static void
tell_limits(bbm_node *n, const bbm_config *cfg)
{
    if (!cfg->limits)
        return;
    bbm_action *a = node_push_action(n, BBM_ACT_LIMITS);
    a->u.limits = *cfg->limits;
}

/* The age of a version counts from when it was named: by the calendar where
   this VM wasn't there to hear it. */
static void
take_weights(bbm_node *n)
{
    const bbm_registry *reg = bbm_state_registry(n->state);
    bbm_weights_version named;
    for (size_t i = 0; bbm_registry_weights_at(reg, i, &named); i++) {
        bbm_time age = (n->wall_ms - named.at_ms) * BBM_MS;
        if (n->caught_up || age < 0)
            age = 0;
        if (!bbm_gate_add_version(n->gate, named.model, named.version, age,
                                  n->now))
            continue;
        bbm_action *a = node_log_event(n, BBM_EVENT_WEIGHTS_VERSION_SET);
        node_log_text(a, "model", named.model);
        node_log_number(a, "version", (int64_t)named.version);
        node_log_number(a, "age_ms", age / BBM_MS);
    }
}

void
node_gate_configure(bbm_node *n)
{
    const bbm_config *cfg = node_config(n);
    if (!n->gate)
        return;
    take_weights(n);
    if (!cfg || n->config_revision == n->gate_revision)
        return;
    n->gate_revision = n->config_revision;
    bbm_gate_configure(n->gate, cfg, n->now);
    watch_stores(n, cfg);
    tell_limits(n, cfg);
}

/* ---- requests ---- */

static void
deny(bbm_node *n, const bbm_pool_request_event *ev, int code)
{
    bool later = bbm_code_status(code) == 503;
    bbm_action *a = node_push_action(n, BBM_ACT_ANSWER);
    a->u.answer.request = ev->request.request;
    a->u.answer.code = code;
    a->u.answer.retry_after_ms = later ? COME_BACK_SOON / BBM_MS : 0;
    bbm_action *l = node_log_event(n, BBM_EVENT_REQUEST_DENIED);
    node_log_text(l, "id", ev->request.id);
    node_log_text(l, "code", bbm_code_name(code));
    node_log_text(l, "host", ev->host);
    node_log_number(l, "revision", (int64_t)n->config_revision);
    node_log_number(l, "revision_age_ms", node_relay_age(n) / BBM_MS);
    if (later)
        n->counts.refused_other++;
    else
        n->counts.refused_key++;
}

static int
find_customer(const bbm_node *n, const bbm_pool_request_event *ev,
              const bbm_route *route, const bbm_customer **customer)
{
    const bbm_config *cfg = node_config(n);
    bbm_key_info found;
    *customer = NULL;
    if (route->open || !cfg->customers)
        return BBM_OK;
    if (!ev->has_key)
        return BBM_ERR_NO_KEY;
    if (!bbm_registry_find_key(bbm_state_registry(n->state), &ev->key, &found))
        return BBM_ERR_BAD_KEY;
    *customer = bbm_config_customer(cfg, found.customer);
    return *customer ? BBM_OK : BBM_ERR_BAD_KEY;
}

/* A stopping VM serves on who kept its address, which is allowed for half of
   entry_time; after that it takes only what surely ends before it does. */
static bool
would_be_cut(const bbm_node *n, const bbm_pool_request_event *ev,
             const bbm_route *route)
{
    bbm_time since = n->now - n->draining_since;
    if (!n->stopping || !n->desc.stop_timeout || since < n->desc.entry_ttl / 2)
        return false;
    bbm_time longest = route->timeout_ms * BBM_MS;
    if (!longest
        || (ev->request.client_timeout > 0
            && ev->request.client_timeout < longest))
        longest = ev->request.client_timeout;
    return longest <= 0 || longest > n->desc.stop_timeout - since;
}

static bool
may_be_kept(const bbm_node *n, const bbm_pool_request_event *ev)
{
    return n->gate && !n->stopping && n->now - n->started_at < STARTING_MOST
           && ev->request.waited < KEEP_MOST;
}

void
node_gate_call(bbm_node *n, const bbm_pool_request_event *ev)
{
    const bbm_config *cfg = node_config(n);
    bool ready = n->gate && cfg && n->caught_up;
    if (!ready && may_be_kept(n, ev)) {
        bbm_action *a = node_push_action(n, BBM_ACT_RESUBMIT);
        a->u.later.request = ev->request.request;
        return;
    }
    n->counts.requests++;
    if (!ready) {
        deny(n, ev, BBM_ERR_NOT_READY);
        return;
    }
    if (n->stopping && n->now - n->draining_since >= n->desc.entry_ttl) {
        deny(n, ev, BBM_ERR_DRAINING);
        return;
    }
    const bbm_route *route = bbm_config_host_route(cfg, ev->host, ev->path);
    const bbm_customer *customer = NULL;
    int code =
        route ? find_customer(n, ev, route, &customer) : BBM_ERR_NO_ROUTE;
    if (code == BBM_OK && would_be_cut(n, ev, route))
        code = BBM_ERR_DRAINING;
    if (code < 0) {
        deny(n, ev, code);
        return;
    }
    bbm_gate_begin_request(n->gate, &ev->request, route, customer, n->now);
}

void
node_gate_store(bbm_node *n, const char *address, bool alive)
{
    for (size_t i = 0; i < n->stores_len; i++) {
        node_store *s = &n->stores[i];
        if (strcmp(s->address, address) != 0 || !s->watched)
            continue;
        if (s->alive != alive)
            node_log(n, alive ? BBM_EVENT_STORE_UP : BBM_EVENT_STORE_DOWN,
                     address, "");
        s->alive = alive;
        bbm_gate_set_store_alive(n->gate, address, alive);
    }
}

/* ---- time ---- */

static void
catch_up(bbm_node *n)
{
    if (n->caught_up || !n->config_revision)
        return;
    bbm_time age = node_relay_age(n);
    bool current = age < CURRENT_AGE;
    if (!current && n->now - n->started_at < CATCH_UP_MOST)
        return;
    n->caught_up = true;
    bbm_action *a = node_log_event(n, BBM_EVENT_CATCH_UP_ENDED);
    node_log_number(a, "revision", (int64_t)n->config_revision);
    node_log_text(a, "proved", current ? "yes" : "no");
}

/* Stores are watched by the leader alone: each takes few such calls. */
static void
watch_as_leader(bbm_node *n)
{
    bool leads = node_leads(n);
    for (size_t i = 0; i < n->stores_len; i++) {
        node_store *s = &n->stores[i];
        if (s->watched == leads)
            continue;
        s->watched = leads;
        bbm_action *a = node_push_action(n, BBM_ACT_WATCH_STORE);
        bbm_name_set(a->u.store.address, s->address);
        a->u.store.on = leads;
    }
}

void
node_gate_tick(bbm_node *n)
{
    catch_up(n);
    watch_as_leader(n);
    bbm_gate_tick(n->gate, n->now);
}

/* ---- outputs ---- */

/* Of many requests that go well only some are logged, each with all its lines;
   those that don't are logged always. */
static bool
is_sampled(bbm_node *n, const char *id)
{
    if (n->now - n->sample_window_start >= BBM_SECOND) {
        n->sample_one_in = 1 + n->sample_window_requests / SAMPLE_FROM;
        n->sample_window_requests = 0;
        n->sample_window_start = n->now;
    }
    return n->sample_one_in <= 1
           || bbm_hash_text(id, 0) % n->sample_one_in == 0;
}

static void
log_send(bbm_node *n, const bbm_gate_output *out)
{
    const bbm_forward_request *s = &out->u.send.send;
    bool again = s->attempt > 1;
    n->sample_window_requests += !again;
    if (!again && !is_sampled(n, out->id))
        return;
    bbm_action *a = node_log_event(n, again ? BBM_EVENT_REQUEST_RETRIED
                                            : BBM_EVENT_REQUEST_SENT);
    node_log_text(a, "id", out->id);
    node_log_text(a, "upstream", s->upstream);
    node_log_number(a, "attempt", s->attempt);
    if (out->u.send.previous_outcome) {
        node_log_text(a, "after", out->u.send.previous_outcome);
        node_log_number(a, "after_status", out->u.send.previous_status);
    }
    node_log_number(a, "wait_ms", out->u.send.expected_ms);
    node_log_number(a, "held_ms", out->u.send.elapsed_ms);
    node_log_number(a, "candidates", out->u.send.candidates);
    node_log_number(a, "list_age_ms", (n->now - n->listing_read_at) / BBM_MS);
    node_log_number(a, "revision", (int64_t)n->config_revision);
    if (s->version)
        node_log_number(a, "weights", (int64_t)s->version);
    if (s->source_address[0])
        node_log_text(a, "source", s->source_address);
    if (out->u.send.prompt_tokens) {
        node_log_number(a, "prompt_tokens", out->u.send.prompt_tokens);
        node_log_number(a, "held_tokens", out->u.send.held_tokens);
        node_log_number(a, "offered_tokens", out->u.send.offered_tokens);
    }
    if (out->u.send.resumes)
        node_log_text(a, "after_event", out->u.send.last_event_id);
}

static void
do_send(bbm_node *n, const bbm_gate_output *out)
{
    log_send(n, out);
    bbm_action *a = node_push_action(n, BBM_ACT_FORWARD);
    a->u.forward.send = out->u.send.send;
    a->u.forward.resumes = out->u.send.resumes;
    memcpy(a->u.forward.last_event, out->u.send.last_event_id,
           sizeof(out->u.send.last_event_id));
}

static void
do_refuse(bbm_node *n, const bbm_gate_output *out)
{
    bbm_time back = out->u.refuse.retry_after;
    bbm_action *a = node_push_action(n, BBM_ACT_ANSWER);
    a->u.answer.request = out->request;
    a->u.answer.code = out->u.refuse.code;
    a->u.answer.retry_after_ms = (back + BBM_MS - 1) / BBM_MS;
    bbm_action *l = node_log_event(n, BBM_EVENT_REQUEST_REFUSED);
    node_log_text(l, "id", out->id);
    node_log_text(l, "code", bbm_code_name(out->u.refuse.code));
    node_log_text(l, "why", out->u.refuse.reason);
    node_log_number(l, "held_ms", out->u.refuse.elapsed_ms);
    node_log_number(l, "retry_after_ms", back / BBM_MS);
    node_log_number(l, "upstreams", (int64_t)n->listing.len);
    node_log_number(l, "list_age_ms", (n->now - n->listing_read_at) / BBM_MS);
}

static void
do_cut(bbm_node *n, const bbm_gate_output *out)
{
    bbm_action *a = node_push_action(n, BBM_ACT_ABORT);
    a->u.cut.request = out->request;
    a->u.cut.code = out->u.abort.code;
    bbm_action *l = node_log_event(n, BBM_EVENT_REQUEST_ABORTED);
    node_log_text(l, "id", out->id);
    node_log_text(l, "code", bbm_code_name(out->u.abort.code));
    node_log_text(l, "why", out->u.abort.reason);
    node_log_text(l, "begun", out->u.abort.head_forwarded ? "yes" : "no");
}

static void
do_ended(bbm_node *n, const bbm_gate_output *out)
{
    bool good = out->u.ended.status < 400 && out->u.ended.attempts == 1;
    if (good && !is_sampled(n, out->id))
        return;
    bbm_action *l = node_log_event(n, BBM_EVENT_REQUEST_COMPLETED);
    node_log_text(l, "id", out->id);
    node_log_text(l, "upstream", out->u.ended.upstream);
    node_log_number(l, "status", out->u.ended.status);
    node_log_number(l, "first_ms", out->u.ended.head_ms);
    node_log_number(l, "whole_ms", out->u.ended.total_ms);
    node_log_number(l, "attempts", out->u.ended.attempts);
}

void
node_gate_process_outputs(bbm_node *n)
{
    const bbm_gate_output *out;
    while (n->gate && (out = bbm_gate_next_output(n->gate)) != NULL) {
        switch (out->kind) {
        case BBM_GATE_SEND:
            do_send(n, out);
            break;
        case BBM_GATE_REFUSE:
            do_refuse(n, out);
            break;
        case BBM_GATE_ABORT:
            do_cut(n, out);
            break;
        case BBM_GATE_ENDED:
            do_ended(n, out);
            break;
        }
    }
}
