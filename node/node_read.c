/** @file
 *  Linearizable reads: a read must include everything that was acknowledged
 *  before it was requested, so it waits until this VM's view is fresh up to
 *  the time of the request.
 */
#include "node_core.h"

#include <stdlib.h>
#include <string.h>

/* A read whose freshness can't be proved within this time is refused. */
#define READ_TIMEOUT (800 * BBM_MS)
/* Poll interval while a read waits. */
#define READ_POLL_PERIOD (60 * BBM_MS)

static void
answer_read(bbm_node *n, node_read *r, int code)
{
    bbm_revision rev = {0};
    const bbm_registry *reg = bbm_state_registry(n->state);
    if (code == BBM_OK && r->pool[0]) {
        node_release_reply(n, r->op, r->pool);
        TAILQ_REMOVE(&n->reads, r, link);
        free(r);
        return;
    }
    bool has_source = bbm_registry_current(reg, &rev) && rev.source;
    if (code == BBM_OK && !has_source)
        code = BBM_ERR_NOT_READY;
    bbm_action *a = node_push_action(n, BBM_ACT_REPLY);
    a->u.reply.op = r->op;
    a->u.reply.code = code;
    if (code == BBM_OK)
        bbm_buf_add(&a->u.reply.body, rev.source, rev.source_len);
    TAILQ_REMOVE(&n->reads, r, link);
    free(r);
}

void
node_read_begin(bbm_node *n, uint64_t op, const char *pool)
{
    node_read *r = bbm_calloc(1, sizeof(*r));
    r->op = op;
    bbm_name_set(r->pool, pool ? pool : "");
    r->requested_at = n->now;
    r->expires_at = n->now + READ_TIMEOUT;
    TAILQ_INSERT_TAIL(&n->reads, r, link);
    if (!node_leads(n))
        n->next_poll_at = n->now;
    node_relay_tick(n);
    node_read_tick(n);
}

void
node_read_tick(bbm_node *n)
{
    node_read *r, *next;
    for (r = TAILQ_FIRST(&n->reads); r; r = next) {
        next = TAILQ_NEXT(r, link);
        if (n->fresh_at >= r->requested_at)
            answer_read(n, r, BBM_OK);
        else if (n->now >= r->expires_at)
            answer_read(n, r, BBM_ERR_NOT_CURRENT);
        else if (n->next_poll_at > n->now + READ_POLL_PERIOD)
            n->next_poll_at = n->now + READ_POLL_PERIOD;
    }
}

void
node_read_destroy(bbm_node *n)
{
    node_read *r;
    while ((r = TAILQ_FIRST(&n->reads)) != NULL) {
        TAILQ_REMOVE(&n->reads, r, link);
        free(r);
    }
}
