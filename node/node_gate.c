/** @file
 *  Requests to pools: the checks before the gate, and the gate's outputs.
 */
#include "node_core.h"

#include <string.h>

/* Retry-After of temporary refusals. */
#define RETRY_AFTER (300 * BBM_MS)
/* A VM that has just started receives the configuration soon.  During this
   time after its start it holds requests instead of refusing them, as clients
   that retry at once would be refused a second time. */
#define STARTUP_HOLD_PERIOD (2 * BBM_SECOND)
/* Longest time for which a request is held: many clients still accept an
   answer that begins with this delay. */
#define REQUEST_HOLD_MAX (400 * BBM_MS)
/* The configuration counts as current while the public state is younger. */
#define CURRENT_AGE_MAX (1500 * BBM_MS)
/* If no leader has proved the configuration current within this time after
   the start, the VM serves with the one that other VMs sent it.  The time
   lets a control group form or elect a leader first. */
#define CATCH_UP_TIMEOUT (4 * BBM_SECOND)
/* The age of a version is never taken to be lower than that of the view less
   this time, which views of VMs that hear of all in time seldom exceed. */
#define UNPROVED_AGE_MAX (1500 * BBM_MS)
/* Period of log lines about invalid notices of upstreams. */
#define INVALID_NOTICE_LOG_PERIOD (60 * BBM_SECOND)
/* Up to this rate all requests are logged; above it only a sample of the
   successful ones. */
#define LOG_ALL_REQUESTS_PER_S 60

void
node_gate_create(bbm_node *n)
{
    bbm_gate_desc desc = n->desc.gate;
    desc.seed = n->desc.seed;
    bbm_name_set(desc.zone, n->desc.zone);
    desc.release_view_max = node_release_view_max(n);
    n->gate = bbm_gate_create(&desc);
}

/* ---- configuration ---- */

static void
update_stores(bbm_node *n, const bbm_config *cfg)
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
push_limits(bbm_node *n, const bbm_config *cfg)
{
    if (!cfg->limits)
        return;
    bbm_action *a = node_push_action(n, BBM_ACT_LIMITS);
    a->u.limits = *cfg->limits;
}

/* The age of a version that this VM has not had, from the moment when it was
   named.

   The view here was complete until fresh_at without the version, so it was
   acknowledged since.  The calendar tells when, and the age is limited to what
   the view allows: a calendar that is ahead of the proposer's makes it too
   high, but not higher than the age of the view; one that is behind makes it
   too low, but by at most UNPROVED_AGE_MAX.  Both hold with any calendars.

   Until this VM has caught up, and a view of since its start was proved, the
   calendar alone tells the age: it is wrong by as much as the calendars
   differ. */
static bbm_time
age_of_version(const bbm_node *n, int64_t named_at_ms)
{
    /* After a freeze a message may be processed before the next tick. */
    int64_t wall_ms = n->wall_ms + (n->now - n->wall_at) / BBM_MS;
    bbm_time age = (wall_ms - named_at_ms) * BBM_MS;
    bbm_time min = 0;
    bbm_time view_age = node_relay_age(n);
    if (n->caught_up && n->fresh_at >= n->started_at) {
        if (view_age > UNPROVED_AGE_MAX)
            min = view_age - UNPROVED_AGE_MAX;
        if (age > view_age)
            age = view_age;
    }
    return age > min ? age : min;
}

static void
apply_weights(bbm_node *n)
{
    const bbm_registry *reg = bbm_state_registry(n->state);
    bbm_weights_version named;
    for (size_t i = 0; bbm_registry_weights_at(reg, i, &named); i++) {
        bbm_time age = age_of_version(n, named.at_ms);
        if (!bbm_gate_add_version(n->gate, named.model, named.version, age,
                                  n->now))
            continue;
        bbm_action *a = node_log_event(n, BBM_EVENT_WEIGHTS_VERSION_SET);
        node_log_text(a, "model", named.model);
        node_log_number(a, "version", (int64_t)named.version);
        node_log_number(a, "age_ms", age / BBM_MS);
    }
}

static void
log_shared_scope(bbm_node *n, const bbm_config *cfg)
{
    bool is_first = !n->gate_revision;
    bool changed = strcmp(n->shared_scope, cfg->shared_scope) != 0;
    bbm_name_set(n->shared_scope, cfg->shared_scope);
    if (is_first || !changed)
        return;
    bbm_action *a = node_log_event(n, BBM_EVENT_SHARED_SCOPE_CHANGED);
    node_log_text(a, "scope", cfg->shared_scope);
    node_log_number(a, "revision", (int64_t)n->config_revision);
}

void
node_gate_configure(bbm_node *n)
{
    const bbm_config *cfg = node_config(n);
    if (!n->gate)
        return;
    apply_weights(n);
    node_release_apply(n);
    if (!cfg || n->config_revision == n->gate_revision)
        return;
    log_shared_scope(n, cfg);
    n->gate_revision = n->config_revision;
    bbm_gate_configure(n->gate, cfg, n->now);
    update_stores(n, cfg);
    push_limits(n, cfg);
}

/* ---- requests ---- */

/* Refuses a request before it reaches the gate. */
static void
refuse_request(bbm_node *n, const bbm_pool_request_event *ev, int code)
{
    bool temporary = bbm_code_status(code) == 503;
    bbm_action *a = node_push_action(n, BBM_ACT_ANSWER);
    a->u.answer.request = ev->request.request;
    a->u.answer.code = code;
    a->u.answer.retry_after_ms = temporary ? RETRY_AFTER / BBM_MS : 0;
    bbm_action *l = node_log_event(n, BBM_EVENT_REQUEST_DENIED);
    node_log_text(l, "id", ev->request.id);
    node_log_text(l, "code", bbm_code_name(code));
    node_log_text(l, "host", ev->host);
    node_log_number(l, "revision", (int64_t)n->config_revision);
    node_log_number(l, "revision_age_ms", node_relay_age(n) / BBM_MS);
    if (temporary)
        n->counts.refused_other++;
    else
        n->counts.refused_key++;
}

static int
find_customer(const bbm_node *n, const bbm_pool_request_event *ev,
              const bbm_route *route, const bbm_customer **customer)
{
    const bbm_config *cfg = node_config(n);
    bbm_key_info key;
    *customer = NULL;
    if (route->open || !cfg->customers)
        return BBM_OK;
    if (!ev->has_key)
        return BBM_ERR_NO_KEY;
    if (n->keys_stale && !n->desc.serve_stale_keys)
        return BBM_ERR_KEYS_STALE;
    if (!bbm_registry_find_key(bbm_state_registry(n->state), &ev->key, &key))
        return BBM_ERR_BAD_KEY;
    *customer = bbm_config_customer(cfg, key.customer);
    return *customer ? BBM_OK : BBM_ERR_BAD_KEY;
}

/* Clients may use an address for half of entry_ttl, so a stopping VM accepts
   all requests during that time.  Later it accepts only those that end
   before stop_timeout. */
static bool
would_be_aborted(const bbm_node *n, const bbm_pool_request_event *ev,
                 const bbm_route *route)
{
    bbm_time elapsed = n->now - n->draining_since;
    if (!n->stopping || !n->desc.stop_timeout
        || elapsed < n->desc.entry_ttl / 2)
        return false;
    bbm_time duration_max = route->timeout_ms * BBM_MS;
    if (!duration_max
        || (ev->request.client_timeout > 0
            && ev->request.client_timeout < duration_max))
        duration_max = ev->request.client_timeout;
    return duration_max <= 0 || duration_max > n->desc.stop_timeout - elapsed;
}

/* True if a request that can't be served yet is held instead of refused: the
   driver resubmits it after a short delay. */
static bool
may_hold(const bbm_node *n, const bbm_pool_request_event *ev)
{
    return n->gate && !n->stopping
           && n->now - n->started_at < STARTUP_HOLD_PERIOD
           && ev->request.waited < REQUEST_HOLD_MAX;
}

void
node_gate_request(bbm_node *n, const bbm_pool_request_event *ev)
{
    const bbm_config *cfg = node_config(n);
    bool ready = n->gate && cfg && n->caught_up;
    if (!ready && may_hold(n, ev)) {
        bbm_action *a = node_push_action(n, BBM_ACT_RESUBMIT);
        a->u.resubmit.request = ev->request.request;
        return;
    }
    n->counts.requests++;
    if (!ready) {
        refuse_request(n, ev, BBM_ERR_NOT_READY);
        return;
    }
    if (n->stopping && n->now - n->draining_since >= n->desc.entry_ttl) {
        refuse_request(n, ev, BBM_ERR_DRAINING);
        return;
    }
    const bbm_route *route = bbm_config_host_route(cfg, ev->host, ev->path);
    const bbm_customer *customer = NULL;
    int code =
        route ? find_customer(n, ev, route, &customer) : BBM_ERR_NO_ROUTE;
    if (code == BBM_OK && would_be_aborted(n, ev, route))
        code = BBM_ERR_DRAINING;
    if (code < 0) {
        refuse_request(n, ev, code);
        return;
    }
    bbm_gate_begin_request(n->gate, &ev->request, route, customer, n->now);
}

void
node_gate_store_status(bbm_node *n, const char *address, bool alive)
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

/* Requests are accepted once the configuration is known to be current, or when
   CATCH_UP_TIMEOUT has passed without that. */
static void
catch_up(bbm_node *n)
{
    if (n->caught_up || !n->config_revision)
        return;
    bbm_time age = node_relay_age(n);
    bool current = age < CURRENT_AGE_MAX;
    if (!current && n->now - n->started_at < CATCH_UP_TIMEOUT)
        return;
    n->caught_up = true;
    bbm_action *a = node_log_event(n, BBM_EVENT_CATCH_UP_ENDED);
    node_log_number(a, "revision", (int64_t)n->config_revision);
    node_log_text(a, "proved", current ? "yes" : "no");
}

/* Only the leader probes the stores: each can serve few such requests. */
static void
update_store_probes(bbm_node *n)
{
    bool leads = node_leads(n);
    for (size_t i = 0; i < n->stores_len; i++) {
        node_store *s = &n->stores[i];
        if (s->watched == leads)
            continue;
        s->watched = leads;
        bbm_action *a = node_push_action(n, BBM_ACT_WATCH_STORE);
        bbm_name_set(a->u.watch_store.address, s->address);
        a->u.watch_store.on = leads;
    }
}

void
node_gate_tick(bbm_node *n)
{
    catch_up(n);
    update_store_probes(n);
    bbm_gate_tick(n->gate, n->now);
}

/* ---- outputs ---- */

/* Under load a sample of the successful requests is logged, chosen by request
   id so that all lines of a request are logged or none.  Failures are always
   logged. */
static bool
is_sampled(bbm_node *n, const char *id)
{
    if (n->now - n->sample_window_start >= BBM_SECOND) {
        n->sample_one_in =
            1 + n->sample_window_requests / LOG_ALL_REQUESTS_PER_S;
        n->sample_window_requests = 0;
        n->sample_window_start = n->now;
    }
    return n->sample_one_in <= 1
           || bbm_hash_text(id, 0) % n->sample_one_in == 0;
}

static void
log_relay(bbm_node *n, const bbm_gate_output *out)
{
    const bbm_forward_request *s = &out->u.send.send;
    n->sample_window_requests += s->attempt == 1;
    if (s->attempt == 1 && !is_sampled(n, out->id))
        return;
    bbm_action *a = node_log_event(n, BBM_EVENT_REQUEST_RELAYED);
    node_log_text(a, "id", out->id);
    node_log_text(a, "vm", s->upstream);
    node_log_text(a, "pool", s->pool);
    node_log_number(a, "attempt", s->attempt);
    if (out->u.send.previous_outcome)
        node_log_text(a, "after", out->u.send.previous_outcome);
    node_log_number(a, "held_ms", out->u.send.elapsed_ms);
}

static void
log_send(bbm_node *n, const bbm_gate_output *out)
{
    const bbm_forward_request *s = &out->u.send.send;
    if (s->relay) {
        log_relay(n, out);
        return;
    }
    bool is_retry = s->attempt > 1;
    n->sample_window_requests += !is_retry;
    if (!is_retry && !is_sampled(n, out->id))
        return;
    bbm_action *a = node_log_event(n, is_retry ? BBM_EVENT_REQUEST_RETRIED
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
    if (out->u.send.zone_cause[0])
        node_log_text(a, "zone_cause", out->u.send.zone_cause);
    if (s->build[0])
        node_log_text(a, "build", s->build);
    if (out->u.send.origin_source)
        node_log_text(a, "goes_on_by", out->u.send.origin_source);
    if (s->version)
        node_log_number(a, "weights", (int64_t)s->version);
    if (out->u.send.weights_left_ms >= 0)
        node_log_number(a, "weights_left_ms", out->u.send.weights_left_ms);
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
process_send(bbm_node *n, const bbm_gate_output *out)
{
    log_send(n, out);
    bbm_action *a = node_push_action(n, BBM_ACT_FORWARD);
    a->u.forward.send = out->u.send.send;
    a->u.forward.resumes = out->u.send.resumes;
    memcpy(a->u.forward.last_event_id, out->u.send.last_event_id,
           sizeof(out->u.send.last_event_id));
}

static void
log_part(bbm_action *a, const char *name, uint64_t part)
{
    char text[32];
    snprintf(text, sizeof(text), "%016llx", (unsigned long long)part);
    node_log_text(a, name, text);
}

static void
process_refuse(bbm_node *n, const bbm_gate_output *out)
{
    bbm_time retry_after = out->u.refuse.retry_after;
    bbm_action *a = node_push_action(n, BBM_ACT_ANSWER);
    a->u.answer.request = out->request;
    a->u.answer.code = out->u.refuse.code;
    a->u.answer.retry_after_ms = (retry_after + BBM_MS - 1) / BBM_MS;
    bbm_action *l = node_log_event(n, BBM_EVENT_REQUEST_REFUSED);
    node_log_text(l, "id", out->id);
    node_log_text(l, "code", bbm_code_name(out->u.refuse.code));
    node_log_text(l, "why", out->u.refuse.reason);
    node_log_number(l, "held_ms", out->u.refuse.elapsed_ms);
    node_log_number(l, "retry_after_ms", retry_after / BBM_MS);
    if (out->u.refuse.part)
        log_part(l, "part", out->u.refuse.part);
    if (out->u.refuse.part_number)
        node_log_number(l, "part_number", (int64_t)out->u.refuse.part_number);
    node_log_number(l, "upstreams", (int64_t)n->listing.len);
    node_log_number(l, "list_age_ms", (n->now - n->listing_read_at) / BBM_MS);
}

static void
process_abort(bbm_node *n, const bbm_gate_output *out)
{
    bbm_action *a = node_push_action(n, BBM_ACT_ABORT);
    a->u.abort.request = out->request;
    a->u.abort.code = out->u.abort.code;
    bbm_action *l = node_log_event(n, BBM_EVENT_REQUEST_ABORTED);
    node_log_text(l, "id", out->id);
    node_log_text(l, "code", bbm_code_name(out->u.abort.code));
    node_log_text(l, "why", out->u.abort.reason);
    node_log_text(l, "begun", out->u.abort.head_forwarded ? "yes" : "no");
}

static void
process_ended(bbm_node *n, const bbm_gate_output *out)
{
    bool succeeded = out->u.ended.status < 400 && out->u.ended.attempts == 1;
    if (succeeded && !is_sampled(n, out->id))
        return;
    bbm_action *l = node_log_event(n, BBM_EVENT_REQUEST_COMPLETED);
    node_log_text(l, "id", out->id);
    node_log_text(l, "upstream", out->u.ended.upstream);
    node_log_number(l, "status", out->u.ended.status);
    node_log_number(l, "first_ms", out->u.ended.head_ms);
    node_log_number(l, "whole_ms", out->u.ended.total_ms);
    node_log_number(l, "attempts", out->u.ended.attempts);
    node_log_number(l, "forecast_ms", out->u.ended.forecast_ms);
    node_log_number(l, "forecast_error_ms", out->u.ended.forecast_error_ms);
}

/* At most one line per period for all upstreams: a faulty one may send such
   values in every answer. */
static void
log_invalid_notice(bbm_node *n, const char *upstream)
{
    n->invalid_notices++;
    if (n->invalid_notice_logged_at
        && n->now - n->invalid_notice_logged_at < INVALID_NOTICE_LOG_PERIOD)
        return;
    n->invalid_notice_logged_at = n->now;
    bbm_action *l = node_log_event(n, BBM_EVENT_UPSTREAM_BAD_NOTICE);
    node_log_text(l, "upstream", upstream);
    node_log_number(l, "answers", (int64_t)n->invalid_notices);
    n->invalid_notices = 0;
}

static void
log_limit(bbm_node *n, const bbm_gate_output *out)
{
    const bbm_upstream_notice *notice = &out->u.upstream_notice.notice;
    bbm_action *l =
        node_log_event(n, notice->limited ? BBM_EVENT_UPSTREAM_LIMITED
                                          : BBM_EVENT_UPSTREAM_UNLIMITED);
    node_log_text(l, "id", out->id);
    node_log_text(l, "upstream", out->u.upstream_notice.upstream);
    node_log_text(l, "why",
                  out->u.upstream_notice.limit_reported ? "another VM"
                                                        : "its answer");
    if (notice->limited)
        node_log_number(l, "per_1000_s", (int64_t)(notice->limit * 1000));
}

static void
process_upstream_notice(bbm_node *n, const bbm_gate_output *out)
{
    const bbm_upstream_notice *notice = &out->u.upstream_notice.notice;
    const char *upstream = out->u.upstream_notice.upstream;
    if (notice->leaving) {
        bbm_action *l = node_log_event(n, BBM_EVENT_UPSTREAM_SAYS_LEAVING);
        node_log_text(l, "id", out->id);
        node_log_text(l, "upstream", upstream);
    }
    if (notice->pause > 0) {
        bbm_action *l = node_log_event(n, BBM_EVENT_UPSTREAM_PAUSED);
        node_log_text(l, "id", out->id);
        node_log_text(l, "upstream", upstream);
        node_log_number(l, "pause_ms", notice->pause / BBM_MS);
    }
    if (notice->limited || out->u.upstream_notice.limit_ended)
        log_limit(n, out);
    if (notice->brittle) {
        bbm_action *l = node_log_event(n, BBM_EVENT_UPSTREAM_BRITTLE);
        node_log_text(l, "id", out->id);
        node_log_text(l, "upstream", upstream);
        node_log_number(l, "refusals_per_1000_s",
                        (int64_t)(notice->refusals_max * 1000));
    }
    if (notice->invalid)
        log_invalid_notice(n, upstream);
}

static void
process_disconnected(bbm_node *n, const bbm_gate_output *out)
{
    char text[BBM_GATE_LOGGED_PARTS_MAX * 17 + 1] = "";
    size_t len = 0;
    for (size_t i = 0;
         i < out->u.disconnected.parts_len && i < BBM_GATE_LOGGED_PARTS_MAX;
         i++)
        len += (size_t)snprintf(
            text + len, sizeof(text) - len, "%s%016llx", i ? "," : "",
            (unsigned long long)out->u.disconnected.parts[i]);
    bbm_action *l = node_log_event(n, BBM_EVENT_ATTEMPT_DISCONNECTED);
    node_log_text(l, "id", out->id);
    node_log_text(l, "upstream", out->u.disconnected.upstream);
    node_log_number(l, "run", (int64_t)out->u.disconnected.run - 1);
    if (out->u.disconnected.whole_id)
        log_part(l, "request", out->u.disconnected.whole_id);
    node_log_number(l, "parts", (int64_t)out->u.disconnected.parts_len);
    node_log_text(l, "accused", text);
}

static void
process_quarantine(bbm_node *n, const bbm_gate_output *out)
{
    static const char *const causes[] = {
        [BBM_PART_QUARANTINED] = "crashes",
        [BBM_PART_REPORTED] = "another VM",
        [BBM_PART_RELEASED] = "a sound answer",
        [BBM_PART_EXPIRED] = "its time has passed",
    };
    const bbm_quarantine_change *change = &out->u.quarantine.change;
    const bbm_quarantine_entry *e = &change->entry;
    bool quarantined = change->kind == BBM_PART_QUARANTINED
                       || change->kind == BBM_PART_REPORTED;
    bbm_action *l = node_log_event(n, quarantined ? BBM_EVENT_PART_QUARANTINED
                                                  : BBM_EVENT_PART_RELEASED);
    log_part(l, "part", e->part);
    node_log_text(l, "why", causes[change->kind]);
    node_log_number(l, "crashes", (int64_t)e->crashes_len);
    node_log_text(l, "crashed", out->u.quarantine.upstreams);
    if (e->crashes_len)
        node_log_number(l, "first_crash_age_ms",
                        (n->now - e->crashes[0].at) / BBM_MS);
    node_log_number(l, "last_crash_age_ms",
                    (n->now - e->last_crash_at) / BBM_MS);
    node_log_number(l, "left_ms", (e->until - n->now) / BBM_MS);
}

void
node_gate_process_outputs(bbm_node *n)
{
    const bbm_gate_output *out;
    while (n->gate && (out = bbm_gate_next_output(n->gate)) != NULL) {
        switch (out->kind) {
        case BBM_GATE_SEND:
            process_send(n, out);
            break;
        case BBM_GATE_REFUSE:
            process_refuse(n, out);
            break;
        case BBM_GATE_ABORT:
            process_abort(n, out);
            break;
        case BBM_GATE_ENDED:
            process_ended(n, out);
            break;
        case BBM_GATE_HALF_CLOSED:
            node_log_text(node_log_event(n, BBM_EVENT_CLIENT_HALF_CLOSED),
                          "id", out->id);
            break;
        case BBM_GATE_UPSTREAM_NOTICE:
            process_upstream_notice(n, out);
            break;
        case BBM_GATE_POOL_REACH:
            node_log(n,
                     out->u.pool_reach.cut ? BBM_EVENT_POOL_CUT_OFF
                                           : BBM_EVENT_POOL_REACHED,
                     out->u.pool_reach.pool, "");
            break;
        case BBM_GATE_FIND_ORIGIN:
            node_origins_find(n, out->request, out->u.find_origin.stream,
                              out->u.find_origin.listed);
            break;
        case BBM_GATE_DISCONNECTED:
            process_disconnected(n, out);
            break;
        case BBM_GATE_QUARANTINE:
            process_quarantine(n, out);
            break;
        }
    }
}
