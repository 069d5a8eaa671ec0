/** @file
 *  Runs requests at their upstreams: starts attempts, retries failed ones
 *  and ends requests.
 */
#include "node_core.h"

#include <stdlib.h>
#include <string.h>

/* The driver reports an attempt as unsent that it has not begun to send within
   this time. */
#define START_DELAY_MAX BBM_SECOND
/* Sent to clients when no upstream could answer. */
#define RETRY_AFTER BBM_SECOND

/* ---- starting ---- */

/* The route's next service by round robin, one of this zone before others;
   NULL if none is left. */
static const bbm_service *
next_service(bbm_node *n, const bbm_route *route, const bbm_names *excluded)
{
    const bbm_config *cfg = node_config(n);
    const bbm_service *other_zone = NULL;
    for (size_t i = 0; i < route->services.len; i++) {
        size_t index = (n->service_cursor + i) % route->services.len;
        const bbm_service *s =
            bbm_config_service(cfg, route->services.items[index]);
        if (!s || s->leaving || bbm_names_has(excluded, s->name))
            continue;
        if (strcmp(s->zone, n->desc.zone) == 0) {
            n->service_cursor++;
            return s;
        }
        if (!other_zone)
            other_zone = s;
    }
    n->service_cursor++;
    return other_zone;
}

static const bbm_route *
route_named(const bbm_node *n, const char *name)
{
    const bbm_config *cfg = node_config(n);
    bbm_route *found = NULL;
    HASH_FIND_STR(cfg->routes, name, found);
    return found;
}

/* Base URL of the upstream, or NULL if it is no longer configured.  For a
   service route, chooses the service. */
static const char *
upstream_url(bbm_node *n, node_request *r)
{
    if (r->has_pick) {
        const bbm_engine *e = bbm_config_engine(node_config(n), r->upstream);
        return e ? e->url : NULL;
    }
    const bbm_route *route = route_named(n, r->route);
    bbm_names failed = node_request_failed_upstreams(r);
    const bbm_service *s = route ? next_service(n, route, &failed) : NULL;
    bbm_name_set(r->upstream, s ? s->name : "");
    return s ? s->url : NULL;
}

static void
fill_start(const bbm_node *n, const node_request *r, bbm_start *s)
{
    s->request = r->id;
    s->attempt = r->attempt;
    snprintf(s->request_id, sizeof(s->request_id), "%016llx-%llu",
             (unsigned long long)n->desc.run, (unsigned long long)r->id);
    bbm_name_set(s->upstream, r->upstream);
    s->priority = r->priority;
    s->no_retry = !r->repeatable;
    s->return_body = r->claimed;
    s->first_byte_timeout = r->first_byte_timeout;
    s->idle_timeout = r->idle_timeout;
    s->not_after = n->now + START_DELAY_MAX;
    if (!r->has_pick)
        return;
    bbm_name_set(s->weights, r->pick.weights);
    bbm_name_set(s->cache_salt, r->scope);
    s->import_cache = r->pick.import;
    s->cached_tokens = r->pick.cached_tokens;
}

void
node_run_start(bbm_node *n, node_request *r)
{
    const char *url = upstream_url(n, r);
    if (!url) {
        node_request_refuse(n, r, BBM_ERR_NO_UPSTREAM, RETRY_AFTER);
        return;
    }
    r->stage = STAGE_RUNNING;
    r->attempt++;
    r->started_at = n->now;
    r->first_byte_received = false;
    bbm_action *a = node_push_action(n, BBM_ACT_START);
    fill_start(n, r, &a->u.start);
    bbm_text_set(a->u.start.url, BBM_URL_SIZE, url);
    n->counts.started++;
    if (r->attempt > 1) {
        n->counts.retries++;
        return;
    }
    n->counts.prompt_tokens += (uint64_t)r->prompt_tokens;
    if (r->has_pick) {
        n->counts.cached_tokens += (uint64_t)r->pick.cached_tokens;
        n->counts.elsewhere_tokens +=
            (uint64_t)r->pick.cached_elsewhere_tokens;
    }
}

/* ---- progress ---- */

void
node_run_first_byte(bbm_node *n, uint64_t id, uint32_t attempt)
{
    node_request *r = node_request_find(n, id);
    if (!r || r->attempt != attempt || r->first_byte_received)
        return;
    r->first_byte_received = true;
    r->first_token_at = n->now;
    if (r->has_pick)
        bbm_fleet_first_token(n->fleet, r->pick.slot, r->pick.uncached_tokens);
    node_rate_consume(n, r, r->prompt_tokens);
}

void
node_run_progress(bbm_node *n, uint64_t id, int64_t output)
{
    node_request *r = node_request_find(n, id);
    if (r && r->stage == STAGE_RUNNING)
        node_rate_consume(n, r, r->prompt_tokens + (double)output);
}

void
node_run_release_slot(bbm_node *n, node_request *r, bool failed)
{
    if (!r->has_pick)
        return;
    r->has_pick = false;
    bbm_request_outcome outcome = {
        .failed = failed,
        .answer_started = r->first_byte_received,
        .duration = n->now - r->started_at,
        .uncached_tokens = r->pick.uncached_tokens,
    };
    if (bbm_fleet_ended(n->fleet, r->pick.slot, &outcome, n->now))
        node_log(n, BBM_EVENT_UPSTREAM_EJECTED, r->pick.engine, "");
}

/* ---- ending ---- */

static void
record_objective_sample(bbm_node *n, const node_request *r, bool truncated)
{
    bbm_time first = r->first_token_at ? r->first_token_at - r->arrived_at : 0;
    bbm_burn_record(n->burn,
                    &(bbm_burn_sample){
                        .customer = r->customer,
                        .route = r->route,
                        .first_token_time = first,
                        .truncated = truncated,
                    },
                    n->now);
}

static void
end_success(bbm_node *n, node_request *r, const bbm_finished_event *ev)
{
    double prompt =
        ev->prompt_tokens >= 0 ? (double)ev->prompt_tokens : r->prompt_tokens;
    if (r->model[0]) {
        node_rate_consume(n, r, prompt + (double)ev->output_tokens);
        n->counts.output_tokens += (uint64_t)ev->output_tokens;
    }
    else {
        node_rate_consume(n, r, r->prompt_tokens);
    }
    if (r->claimed)
        node_claim_end(n, r, BBM_CLAIM_ANSWERED, ev);
    n->counts.finished++;
    record_objective_sample(n, r, false);
    node_run_release_slot(n, r, false);
    node_request_free(n, r);
}

/* A retry is allowed only if no byte of the answer reached the client, and
   either no byte reached the upstream or the request is repeatable. */
static bool
may_retry(bbm_node *n, const node_request *r, const bbm_finished_event *ev)
{
    bool safe = !ev->sent || r->repeatable;
    bool in_time = n->now < r->start_deadline;
    bool attempts_left = r->failed_upstreams_len + 1 < ATTEMPTS_MAX;
    return !ev->answer_started && safe && in_time && attempts_left
           && bbm_retry_acquire(&n->retry_budget);
}

static void
answer_failure(bbm_node *n, const node_request *r,
               const bbm_finished_event *ev)
{
    bbm_action *a = node_push_action(n, BBM_ACT_ANSWER);
    a->u.answer.request = r->id;
    a->u.answer.code =
        r->maybe_sent ? BBM_ERR_UPSTREAM : BBM_ERR_UPSTREAM_CONNECT;
    if (ev->sent)
        a->u.answer.code = ev->code;
    a->u.answer.retry_after_ms = RETRY_AFTER / BBM_MS;
}

static void
end_failure(bbm_node *n, node_request *r, const bbm_finished_event *ev)
{
    if (ev->sent) {
        double output = ev->output_tokens > 0 ? (double)ev->output_tokens : 0;
        node_rate_consume(n, r, r->prompt_tokens + output);
    }
    if (!ev->answer_started)
        answer_failure(n, r, ev);
    if (r->claimed)
        node_claim_end(
            n, r, r->maybe_sent ? BBM_CLAIM_UNKNOWN : BBM_CLAIM_NOT_RUN, ev);
    n->counts.failed++;
    node_log(n, BBM_EVENT_REQUEST_FAILED, r->upstream,
             bbm_code_name(ev->code));
    record_objective_sample(n, r, true);
    node_request_free(n, r);
}

void
node_run_finished(bbm_node *n, const bbm_finished_event *ev)
{
    node_request *r = node_request_find(n, ev->request);
    if (!r || r->stage != STAGE_RUNNING || r->attempt != ev->attempt)
        return;
    if (ev->code == BBM_OK) {
        end_success(n, r, ev);
        node_request_dispatch_queued(n);
        return;
    }
    node_run_release_slot(n, r, true);
    r->maybe_sent = r->maybe_sent || ev->sent;
    if (may_retry(n, r, ev)) {
        bbm_name_set(r->failed_upstreams[r->failed_upstreams_len++],
                     r->upstream);
        node_log(n, BBM_EVENT_RETRY, r->upstream, bbm_code_name(ev->code));
        node_request_dispatch(n, r);
    }
    else {
        end_failure(n, r, ev);
    }
    node_request_dispatch_queued(n);
}

void
node_run_abort(bbm_node *n, node_request *r, int code)
{
    bbm_action *a = node_push_action(n, BBM_ACT_ABORT);
    a->u.abort.request = r->id;
    a->u.abort.code = code;
    n->counts.aborted++;
    /* The request was sent, so its prompt counts as consumed. */
    node_rate_consume(n, r, r->prompt_tokens);
    if (r->claimed)
        node_claim_end(n, r, BBM_CLAIM_UNKNOWN, NULL);
    record_objective_sample(n, r, true);
    node_request_free(n, r);
}

/* A running request with a claim goes on without its client, so that a
   repeat of it finds the answer. */
void
node_run_client_disconnected(bbm_node *n, uint64_t id)
{
    node_request *r = node_request_find(n, id);
    if (!r || (r->stage == STAGE_RUNNING && r->claimed))
        return;
    if (r->stage == STAGE_CLAIM)
        node_claim_abandon(n, r);
    else if (r->claimed)
        node_claim_end(n, r, BBM_CLAIM_NOT_RUN, NULL);
    if (r->stage == STAGE_RUNNING) {
        bbm_action *a = node_push_action(n, BBM_ACT_ABORT);
        a->u.abort.request = id;
        a->u.abort.code = BBM_ERR_CLIENT_LEFT;
        node_rate_consume(n, r, r->prompt_tokens);
    }
    node_request_free(n, r);
    node_request_dispatch_queued(n);
}
