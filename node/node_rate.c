/** @file
 *  Rates of customers over all VMs.  The leader owns the token buckets of all
 *  customers and grants each VM, a holder, an allocation of them.  A ledger
 *  in the log records the allocations, so that the next owner knows them.
 */
#include "node_core.h"

#include <stdlib.h>
#include <string.h>

#define RATE_CHECK_PERIOD (20 * BBM_MS)
/* Limits of Retry-After for requests that exceed the rate. */
#define RETRY_AFTER_MIN (100 * BBM_MS)
#define RETRY_AFTER_MAX (60 * BBM_SECOND)

/* ---- requests ---- */

static void
continue_request(bbm_node *n, node_request *r)
{
    if (r->repeatable)
        node_request_dispatch(n, r);
    else
        node_claim_begin(n, r);
}

/* Time until the customer's rate has refilled the missing tokens. */
static bbm_time
compute_retry_after(bbm_node *n, const node_request *r, double tokens)
{
    const bbm_customer *c = bbm_config_customer(node_config(n), r->customer);
    bbm_rate_allocation allocation =
        bbm_rate_allocation_of(n->rate_holder, r->customer, n->now);
    if (!c)
        return BBM_SECOND;
    double missing = tokens - allocation.level;
    double rate = (double)c->rate_ref->tokens_per_s;
    bbm_time wait = (bbm_time)(missing / rate * (double)BBM_SECOND);
    if (wait < RETRY_AFTER_MIN)
        return RETRY_AFTER_MIN;
    return wait > RETRY_AFTER_MAX ? RETRY_AFTER_MAX : wait;
}

void
node_rate_reserve(bbm_node *n, node_request *r)
{
    double tokens = r->prompt_tokens + r->output_tokens;
    bool waited = r->stage == STAGE_RATE;
    if (!r->customer[0] || tokens <= 0) {
        continue_request(n, r);
        return;
    }
    bbm_rate_verdict verdict =
        bbm_rate_reserve(n->rate_holder, r->customer, tokens, waited, n->now);
    if (verdict == BBM_RATE_RESERVED) {
        if (waited)
            TAILQ_REMOVE(&n->rate_waiters, r, link);
        r->stage = STAGE_RUNNING;
        r->tokens_reserved = true;
        continue_request(n, r);
        return;
    }
    if (n->now >= r->rate_deadline) {
        bbm_time wait = compute_retry_after(n, r, tokens);
        bbm_rate_clear_shortfall(n->rate_holder, r->customer);
        node_request_refuse(n, r, BBM_ERR_RATE, wait);
        return;
    }
    if (!waited) {
        r->stage = STAGE_RATE;
        TAILQ_INSERT_TAIL(&n->rate_waiters, r, link);
        n->next_rate_check_at = n->now;
        node_rate_tick(n);
    }
}

static void
retry_waiters(bbm_node *n)
{
    node_request *r, *next;
    for (r = TAILQ_FIRST(&n->rate_waiters); r; r = next) {
        next = TAILQ_NEXT(r, link);
        node_rate_reserve(n, r);
    }
}

void
node_rate_consume(bbm_node *n, node_request *r, double total)
{
    if (!r->tokens_reserved || total <= r->consumed_tokens)
        return;
    bbm_rate_consume(n->rate_holder, r->customer, total - r->consumed_tokens,
                     n->now);
    r->consumed_tokens = total;
}

void
node_rate_release(bbm_node *n, node_request *r)
{
    if (!r->tokens_reserved)
        return;
    r->tokens_reserved = false;
    double unused = r->prompt_tokens + r->output_tokens - r->consumed_tokens;
    if (unused > 0)
        bbm_rate_release(n->rate_holder, r->customer, unused, n->now);
}

/* ---- owner ---- */

static void
drop_first_pending_grant(bbm_node *n)
{
    node_grant *g = STAILQ_FIRST(&n->pending_grants);
    STAILQ_REMOVE_HEAD(&n->pending_grants, link);
    bbm_buf_free(&g->grant.bytes);
    free(g);
}

static void
drop_pending_grants(bbm_node *n)
{
    while (!STAILQ_EMPTY(&n->pending_grants))
        drop_first_pending_grant(n);
    n->ledger_index = 0;
}

void
node_rate_reset_owner(bbm_node *n)
{
    drop_pending_grants(n);
    bbm_rate_owner_destroy(n->rate_owner);
    n->rate_owner = NULL;
}

static void
add_customer(bbm_node *n, const bbm_customer *c, bool is_new_owner)
{
    bbm_rate_owner_set_customer(n->rate_owner, c->name,
                                (double)c->rate_ref->tokens_per_s,
                                (double)c->rate_ref->burst, n->now);
    bbm_bytes ledger;
    if (is_new_owner && bbm_state_ledger(n->state, c->name, &ledger))
        bbm_rate_owner_restore(n->rate_owner, c->name, ledger.data, ledger.len,
                               n->now);
}

/* A leader becomes the owner once the first entry of its term is applied: the
   ledgers of all earlier owners are applied by then too. */
void
node_rate_update(bbm_node *n, bool new_revision)
{
    bool is_leader = n->raft && bbm_raft_role_of(n->raft) == BBM_LEADER;
    uint64_t term = n->raft ? bbm_raft_term(n->raft) : 0;
    if (n->rate_owner && (!is_leader || term != n->rate_owner_term))
        node_rate_reset_owner(n);
    bool is_new_owner = !n->rate_owner && is_leader && node_leads(n)
                        && n->applied_index >= n->term_first_index;
    if (is_new_owner) {
        bbm_rate_desc desc = {.epoch = term};
        bbm_name_set(desc.node, n->desc.name);
        n->rate_owner_term = term;
        n->rate_owner = bbm_rate_owner_create(&desc);
    }
    const bbm_config *cfg = node_config(n);
    if (!n->rate_owner || !cfg || !(is_new_owner || new_revision))
        return;
    for (const bbm_customer *c = cfg->customers; c; c = c->hh.next)
        add_customer(n, c, is_new_owner);
}

static void
send_grant(bbm_node *n, const bbm_rate_grant *grant)
{
    if (strcmp(grant->node, n->desc.name) == 0) {
        size_t changed;
        bbm_rate_apply_grant(n->rate_holder, grant->bytes.data,
                             grant->bytes.len, n->now, &changed);
        return;
    }
    bbm_buf *buf = node_send(n, grant->node, NODE_RATE_GRANT);
    bbm_put_bytes(buf, grant->bytes.data, grant->bytes.len);
}

/* Proposes the ledgers that cover the pending grants to the log. */
static void
propose_ledgers(bbm_node *n)
{
    char customer[BBM_NAME_SIZE];
    bbm_buf ledger = {0};
    while (bbm_rate_owner_next_ledger(n->rate_owner, customer, &ledger)) {
        bbm_command cmd = {.kind = BBM_CMD_LEDGER, .at_ms = n->wall_ms};
        bbm_name_set(cmd.u.ledger.customer, customer);
        cmd.u.ledger.ledger = bbm_buf_view(&ledger);
        bbm_buf bytes = {0};
        uint64_t index = 0;
        bbm_command_encode(&cmd, &bytes);
        if (bbm_raft_propose(n->raft, bytes.data, bytes.len, n->now, &index)
            == BBM_OK)
            n->ledger_index = index;
        bbm_buf_free(&bytes);
        ledger.len = 0;
    }
    bbm_buf_free(&ledger);
}

/* Grants that change an allocation wait until the ledger that covers them is
   applied; others are sent at once.  Grants that arise while a ledger is being
   committed wait for the next one. */
static void
send_grants(bbm_node *n)
{
    bbm_rate_grant grant;
    while (n->rate_owner && bbm_rate_owner_next_grant(n->rate_owner, &grant)) {
        if (!grant.changes_ledger) {
            send_grant(n, &grant);
            bbm_buf_free(&grant.bytes);
            continue;
        }
        node_grant *g = bbm_calloc(1, sizeof(*g));
        g->grant = grant;
        STAILQ_INSERT_TAIL(&n->pending_grants, g, link);
    }
    bool commit_pending = n->ledger_index > n->applied_index;
    if (!n->rate_owner || commit_pending || STAILQ_EMPTY(&n->pending_grants))
        return;
    propose_ledgers(n);
    node_grant *g;
    STAILQ_FOREACH(g, &n->pending_grants, link)
    {
        g->ledger_index = n->ledger_index;
    }
}

void
node_rate_applied(bbm_node *n)
{
    node_grant *g;
    bool sent = false;
    if (!n->rate_owner)
        return;
    while ((g = STAILQ_FIRST(&n->pending_grants)) != NULL && g->ledger_index
           && g->ledger_index <= n->applied_index) {
        send_grant(n, &g->grant);
        drop_first_pending_grant(n);
        sent = true;
    }
    if (!sent)
        return;
    send_grants(n);
    retry_waiters(n);
}

/* ---- messages ---- */

static void
send_report(bbm_node *n)
{
    if (!n->leader[0] || !bbm_rate_report_due(n->rate_holder, n->now))
        return;
    bbm_buf bytes = {0};
    if (n->rate_owner && node_leads(n)) {
        bbm_rate_report(n->rate_holder, n->rate_owner_term, n->now, &bytes);
        bbm_rate_owner_apply_report(n->rate_owner, bytes.data, bytes.len,
                                    n->now);
        send_grants(n);
    }
    else if (strcmp(n->leader, n->desc.name) != 0) {
        bbm_rate_report(n->rate_holder, n->leader_term, n->now, &bytes);
        bbm_buf *buf = node_send(n, n->leader, NODE_RATE_REPORT);
        bbm_put_bytes(buf, bytes.data, bytes.len);
    }
    bbm_buf_free(&bytes);
}

int
node_rate_receive(bbm_node *n, const char *from, node_message_kind kind,
                  bbm_reader *rd)
{
    bbm_bytes inner = bbm_get_bytes(rd);
    if (!bbm_reader_done(rd))
        return BBM_ERR_DECODE;
    int rc = BBM_OK;
    if (kind == NODE_RATE_REPORT) {
        node_rate_update(n, false);
        if (!n->rate_owner || !node_leads(n))
            return BBM_OK;
        rc = bbm_rate_owner_apply_report(n->rate_owner, inner.data, inner.len,
                                         n->now);
        send_grants(n);
    }
    else if (strcmp(from, n->leader) == 0) {
        size_t changed = 0;
        rc = bbm_rate_apply_grant(n->rate_holder, inner.data, inner.len,
                                  n->now, &changed);
        if (bbm_rate_was_reduced(n->rate_holder))
            send_report(n);
    }
    retry_waiters(n);
    return rc;
}

void
node_rate_tick(bbm_node *n)
{
    if (n->now < n->next_rate_check_at)
        return;
    n->next_rate_check_at = n->now + RATE_CHECK_PERIOD;
    node_rate_update(n, false);
    if (n->rate_owner && node_leads(n)) {
        bbm_rate_owner_tick(n->rate_owner, n->now);
        send_grants(n);
    }
    send_report(n);
    retry_waiters(n);
}
