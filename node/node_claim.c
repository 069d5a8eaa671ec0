/** @file
 *  Claims: idempotency records in the replicated log, of requests that must
 *  not run twice.
 */
#include "node_core.h"

#include <string.h>

void
node_claim_begin(bbm_node *n, node_request *r)
{
    if (n->desc.unsafe_no_claim) {
        node_request_dispatch(n, r);
        return;
    }
    bbm_command cmd = {.kind = BBM_CMD_CLAIM};
    bbm_name_set(cmd.u.claim.customer, r->customer);
    bbm_name_set(cmd.u.claim.node, n->desc.name);
    cmd.u.claim.key_digest = r->idem_key;
    cmd.u.claim.request_digest = r->body_digest;
    cmd.u.claim.request =
        (bbm_request_id){.run = n->desc.run, .sequence = r->id};
    /* Has no expiry: if the request ends first, the claim must still be closed
       once its outcome is known. */
    node_proposal *p = node_propose(n, &cmd, WAITER_CLAIM, r->id, BBM_NEVER);
    if (!p) {
        node_request_refuse(n, r, BBM_ERR_BUSY, BBM_SECOND);
        return;
    }
    r->stage = STAGE_CLAIM;
    p->idem_key = r->idem_key;
    bbm_name_set(p->customer, r->customer);
}

static void
propose_claim_end(bbm_node *n, const char *customer, const bbm_digest *idem,
                  uint64_t request, bbm_claim_end end,
                  const bbm_finished_event *ev)
{
    bbm_command cmd = {.kind = BBM_CMD_CLAIM_END};
    bbm_name_set(cmd.u.claim_end.customer, customer);
    cmd.u.claim_end.key_digest = *idem;
    cmd.u.claim_end.request =
        (bbm_request_id){.run = n->desc.run, .sequence = request};
    cmd.u.claim_end.result = end;
    if (end == BBM_CLAIM_ANSWERED && ev) {
        cmd.u.claim_end.status = ev->status;
        bbm_name_set(cmd.u.claim_end.type, ev->content_type);
        cmd.u.claim_end.body =
            (bbm_bytes){.data = ev->body, .len = ev->body_len};
        /* Too large for the log: a repeat of the request is told that the
           outcome is unknown. */
        if (ev->body_len > BBM_ANSWER_BYTES_MAX) {
            cmd.u.claim_end.result = BBM_CLAIM_UNKNOWN;
            cmd.u.claim_end.body.len = 0;
        }
    }
    if (cmd.u.claim_end.result == BBM_CLAIM_UNKNOWN)
        node_log(n, BBM_EVENT_CLAIM_UNKNOWN, customer, "");
    node_propose(n, &cmd, WAITER_NONE, 0, BBM_NEVER);
}

static void
answer_from_claim(bbm_node *n, const node_request *r, const bbm_outcome *out)
{
    bbm_action *a = node_push_action(n, BBM_ACT_ANSWER);
    a->u.answer.request = r->id;
    a->u.answer.code = BBM_OK;
    a->u.answer.status = out->status;
    bbm_name_set(a->u.answer.content_type, out->type);
    bbm_buf_add(&a->u.answer.body, out->body.data, out->body.len);
    n->counts.repeats++;
}

void
node_claim_outcome(bbm_node *n, const node_proposal *p, const bbm_outcome *out)
{
    node_request *r = node_request_find(n, p->waiter_id);
    bool waits = r && r->stage == STAGE_CLAIM && !p->abandoned;
    bool recorded = out->code == BBM_OK && !out->answered;
    if (!waits) {
        if (recorded)
            propose_claim_end(n, p->customer, &p->idem_key, p->waiter_id,
                              BBM_CLAIM_NOT_RUN, NULL);
        return;
    }
    r->stage = STAGE_RUNNING;
    if (recorded) {
        n->counts.claims++;
        r->claimed = true;
        node_request_dispatch(n, r);
        return;
    }
    if (out->answered) {
        answer_from_claim(n, r, out);
        node_request_free(n, r);
        return;
    }
    bool retryable = out->code == BBM_ERR_IDEM_RUNNING;
    node_request_refuse(n, r, out->code, retryable ? BBM_SECOND : 0);
}

void
node_claim_abandon(bbm_node *n, const node_request *r)
{
    for (node_proposal *p = n->proposals; p; p = p->hh.next) {
        if (p->waiter == WAITER_CLAIM && p->waiter_id == r->id)
            p->abandoned = true;
    }
}

void
node_claim_end(bbm_node *n, const node_request *r, bbm_claim_end end,
               const bbm_finished_event *ev)
{
    propose_claim_end(n, r->customer, &r->idem_key, r->id, end, ev);
}
