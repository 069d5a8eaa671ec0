/** @file
 *  Rollout of new weights to the runners of pools, by the leader.
 *
 *  The leader's term is the fencing number of its orders: it is agreed on by
 *  the group, synced to disk and never used by another leader.
 */
#include "node_core.h"

#include <string.h>

/* Where news reaches the VMs late, a runner gets requests for a while after it
   was marked, and would reject them at the order, after they have waited
   there. */
#define DRAIN_TIME_MAX BBM_SECOND

/* Shortest time between two log lines on the progress of a rollout. */
#define PROGRESS_LOG_PERIOD BBM_SECOND

static const char *const answer_names[] = {
    [BBM_ORDER_ACCEPTED] = "taken",     [BBM_ORDER_ALREADY_DONE] = "holds",
    [BBM_ORDER_CONFLICT] = "conflict",  [BBM_ORDER_FENCED] = "fenced",
    [BBM_ORDER_WRONG_RUNNER] = "other", [BBM_ORDER_REFUSED] = "refused",
    [BBM_ORDER_NO_ANSWER] = "silent",
};

void
node_rollout_reset(bbm_node *n)
{
    bbm_rollout_destroy(n->rollout);
    n->rollout = NULL;
    n->rollout_progress = (bbm_rollout_progress){0};
}

static bool
ensure_rollout(bbm_node *n)
{
    bool leads = node_leads(n);
    uint64_t term = leads ? bbm_raft_term(n->raft) : 0;
    if (n->rollout && (!leads || term != n->rollout_term))
        node_rollout_reset(n);
    if (!leads || n->applied_index < n->term_first_index)
        return false;
    if (!n->rollout) {
        bbm_time delay = node_news_delay(n);
        n->rollout_term = term;
        n->rollout = bbm_rollout_create(&(bbm_rollout_desc){
            .fence = term,
            .drain_time_min = delay,
            .drain_time_max = delay ? DRAIN_TIME_MAX : 0,
            .update_time_max = n->desc.gate.old_weights_max,
        });
    }
    return true;
}

static void
set_targets(bbm_node *n)
{
    const bbm_registry *reg = bbm_state_registry(n->state);
    bbm_weights_version named;
    for (size_t i = 0; bbm_registry_weights_at(reg, i, &named); i++) {
        bbm_time at =
            bbm_gate_version_named_at(n->gate, named.model, named.version);
        bbm_rollout_set_target(n->rollout, named.model, named.version,
                               at < n->now ? at : n->now);
    }
}

static void
log_action(bbm_node *n, const bbm_rollout_action *act)
{
    bbm_action *a = node_log_event(n, BBM_EVENT_ROLLOUT_ACTION);
    node_log_text(a, "upstream", act->id);
    node_log_text(a, "act", act->is_order ? "order" : "ask");
    if (!act->is_order)
        return;
    node_log_text(a, "model", act->model);
    node_log_number(a, "version", (int64_t)act->version);
    node_log_number(a, "sequence", (int64_t)act->sequence);
    node_log_number(a, "fence", (int64_t)act->fence);
}

/* Logs the progress of a rollout each second, and its end. */
static void
log_progress(bbm_node *n)
{
    bbm_rollout_progress p = bbm_rollout_get_progress(n->rollout, n->now);
    bool was_pending = n->rollout_progress.pending > 0;
    bool is_due = n->now - n->rollout_logged_at >= PROGRESS_LOG_PERIOD;
    if (p.pending ? was_pending && !is_due : !was_pending)
        return;
    n->rollout_progress = p;
    n->rollout_logged_at = n->now;
    bbm_action *a = node_log_event(n, BBM_EVENT_ROLLOUT_PROGRESS);
    node_log_number(a, "runners", (int64_t)p.runners);
    node_log_number(a, "pending", (int64_t)p.pending);
    node_log_number(a, "in_progress", (int64_t)p.in_progress);
    node_log_number(a, "silent", (int64_t)p.silent);
    node_log_number(a, "age_ms", p.age / BBM_MS);
}

void
node_rollout_tick(bbm_node *n)
{
    /* Until this leader has read the listing itself, the previous leader's
       listing stays in force. */
    if (!n->gate || !ensure_rollout(n) || !n->own_listing_read_at
        || n->own_listing_read_at < n->leader_since)
        return;
    set_targets(n);
    bbm_rollout_set_runners(n->rollout, &n->raw_listing);
    for (size_t i = 0; i < n->raw_listing.len; i++) {
        const char *id = n->raw_listing.items[i].id;
        bbm_rollout_set_load(
            n->rollout, id,
            &(bbm_rollout_load){
                .open_requests = bbm_gate_open_requests(n->gate, id),
                .backlog_ms = bbm_gate_backlog_ms(n->gate, id),
                .is_suspected = bbm_gate_suspects(n->gate, id),
                .answers_lately = bbm_gate_answers_lately(n->gate, id),
            });
    }
    const bbm_rollout_action *act;
    while ((act = bbm_rollout_next_action(n->rollout, n->now)) != NULL) {
        log_action(n, act);
        bbm_action *a = node_push_action(n, BBM_ACT_ROLLOUT);
        a->u.rollout.action = *act;
        a->u.rollout.not_after = bbm_raft_lease_until(n->raft);
    }
    log_progress(n);
    node_upstreams_update(n);
}

void
node_rollout_apply_report(bbm_node *n, const char *id,
                          const bbm_runner_report *report)
{
    if (!n->rollout)
        return;
    bbm_action *a = node_log_event(n, BBM_EVENT_ROLLOUT_ANSWER);
    node_log_text(a, "upstream", id);
    node_log_text(a, "answer", report ? "report" : "silent");
    if (report) {
        node_log_number(a, "sequence", (int64_t)report->sequence);
        node_log_text(a, "busy", report->order_in_progress ? "yes" : "no");
        if (report->models_len)
            node_log_number(a, "version", (int64_t)report->models[0].version);
    }
    bbm_rollout_apply_report(n->rollout, id, report, n->now);
    node_rollout_tick(n);
}

void
node_rollout_apply_answer(bbm_node *n, const char *id, bbm_order_answer answer)
{
    if (!n->rollout)
        return;
    bbm_action *a = node_log_event(n, BBM_EVENT_ROLLOUT_ANSWER);
    node_log_text(a, "upstream", id);
    node_log_text(a, "answer", answer_names[answer]);
    bbm_rollout_apply_answer(n->rollout, id, answer, n->now);
    node_rollout_tick(n);
}
