/** @file
 *  Where streams began, over all VMs.
 *
 *  Each VM sends the origins of the streams that begin there to the leader,
 *  which adds them to the replicated state in batches: they outlive any VM,
 *  and a loss of power of all.  A VM that must know where a stream began asks
 *  the leader.  What a lost leader had received, but not added, is sent again
 *  to the next one.
 */
#include "node_core.h"

#include <string.h>

/* Time between two batches of a VM, and of the leader. */
#define REPORT_PERIOD (50 * BBM_MS)
#define PROPOSAL_TIMEOUT (5 * BBM_SECOND)
/* Received origins that the leader remembers until they are in the state. */
#define RECEIVED_MAX 16384

static int64_t
now_ms(const bbm_node *n)
{
    return n->now / BBM_MS;
}

/* ---- the leader ---- */

/* One line per term: a stream whose row is dropped can't be taken up at
   another VM. */
static void
log_dropped_rows(bbm_node *n)
{
    if (n->origins_dropped_term == n->leader_term)
        return;
    n->origins_dropped_term = n->leader_term;
    node_log(n, BBM_EVENT_DROPPED, "origins of streams", "");
}

int
node_origins_receive(bbm_node *n, bbm_reader *rd)
{
    size_t len = bbm_get_u32(rd, BBM_ORIGIN_ROWS_MAX);
    for (size_t i = 0; i < len && !rd->failed; i++) {
        bbm_origin_row row;
        bbm_origin_row_get(rd, &row);
        /* The sender repeats its rows to the next leader. */
        if (rd->failed || !n->origins_received)
            continue;
        if (n->pending_origins_len == BBM_ORIGIN_ROWS_MAX) {
            log_dropped_rows(n);
            continue;
        }
        bbm_origins_add(n->origins_received, &row, now_ms(n));
        bbm_origin_row_put(&n->pending_origins, &row);
        n->pending_origins_len++;
    }
    return bbm_reader_done(rd) ? BBM_OK : BBM_ERR_DECODE;
}

static bool
is_proposed(const bbm_node *n)
{
    node_proposal *p = NULL;
    HASH_FIND(hh, n->proposals, &n->origins_proposal, sizeof(uint64_t), p);
    return p != NULL;
}

static void
propose_batch(bbm_node *n)
{
    if (!n->pending_origins_len || is_proposed(n))
        return;
    bbm_buf rows = {0};
    bbm_put_u64(&rows, n->pending_origins_len);
    bbm_buf_add(&rows, n->pending_origins.data, n->pending_origins.len);
    bbm_command cmd = {.kind = BBM_CMD_ORIGINS,
                       .u.origins.rows = bbm_buf_view(&rows)};
    const node_proposal *p =
        node_propose(n, &cmd, WAITER_NONE, 0, n->now + PROPOSAL_TIMEOUT);
    bbm_buf_free(&rows);
    if (!p)
        return;
    n->origins_proposal = p->seq;
    n->pending_origins.len = 0;
    n->pending_origins_len = 0;
}

static void
set_leading(bbm_node *n, bool leads)
{
    if (leads == (n->origins_received != NULL))
        return;
    bbm_origins_destroy(n->origins_received);
    n->origins_received = leads ? bbm_origins_create(RECEIVED_MAX) : NULL;
    n->pending_origins.len = 0;
    n->pending_origins_len = 0;
}

/* Leader: true if it knows where a stream began, or that nobody does.  What
   isn't on record began at @p listed if no known stream of its pool began
   elsewhere. */
static bool
look_up(const bbm_node *n, uint64_t stream, uint64_t listed, uint64_t *origin)
{
    const bbm_origins *replicated = bbm_state_origins(n->state);
    *origin = bbm_origins_find(n->origins_received, stream, now_ms(n));
    if (!*origin)
        *origin = bbm_origins_find(replicated, stream, n->wall_ms);
    if (*origin)
        return true;
    if (n->applied_index < n->term_first_index)
        return false;
    if (bbm_origins_is_sole(n->origins_received, listed)
        && bbm_origins_is_sole(replicated, listed))
        *origin = listed;
    return true;
}

/* ---- messages ---- */

int
node_origins_answer(bbm_node *n, const char *from, bbm_reader *rd)
{
    uint64_t request = bbm_get_u64(rd);
    uint64_t stream = bbm_get_u64(rd);
    uint64_t listed = bbm_get_u64(rd);
    uint64_t origin;
    if (!bbm_reader_done(rd))
        return BBM_ERR_DECODE;
    if (!n->origins_received || !node_leads(n)
        || !look_up(n, stream, listed, &origin))
        return BBM_OK;
    bbm_buf *buf = node_send(n, from, NODE_ORIGIN);
    bbm_put_u64(buf, request);
    bbm_put_u64(buf, origin);
    return BBM_OK;
}

int
node_origins_receive_answer(bbm_node *n, bbm_reader *rd)
{
    uint64_t request = bbm_get_u64(rd);
    uint64_t origin = bbm_get_u64(rd);
    if (!bbm_reader_done(rd))
        return BBM_ERR_DECODE;
    if (n->gate)
        bbm_gate_set_origin(n->gate, request, origin, n->now);
    return BBM_OK;
}

/* ---- this VM ---- */

/* False if the leader is of a build that doesn't know origins. */
static bool
leader_knows_origins(const bbm_node *n)
{
    bbm_format format = node_known_format(n, n->leader);
    return !format || format >= BBM_FORMAT_ORIGINS;
}

void
node_origins_find(bbm_node *n, uint64_t request, uint64_t stream,
                  uint64_t listed)
{
    uint64_t origin;
    if (node_leads(n)) {
        if (n->origins_received && look_up(n, stream, listed, &origin))
            bbm_gate_set_origin(n->gate, request, origin, n->now);
        return;
    }
    if (!n->leader[0] || strcmp(n->leader, n->desc.name) == 0
        || !leader_knows_origins(n))
        return;
    bbm_buf *buf = node_send(n, n->leader, NODE_ORIGIN_QUERY);
    bbm_put_u64(buf, request);
    bbm_put_u64(buf, stream);
    bbm_put_u64(buf, listed);
}

static void
report(bbm_node *n)
{
    bool leads = node_leads(n);
    bool elsewhere = n->leader[0] && strcmp(n->leader, n->desc.name) != 0;
    if (!leads && (!elsewhere || !leader_knows_origins(n)))
        return;
    if (n->origins_term != n->leader_term)
        bbm_gate_resend_origins(n->gate);
    n->origins_term = n->leader_term;
    bbm_buf rows = {0};
    if (bbm_gate_put_origins(n->gate, n->now, &rows) && leads) {
        bbm_reader rd = bbm_reader_of(rows.data, rows.len);
        node_origins_receive(n, &rd);
    }
    else if (rows.len > 1) {
        bbm_buf_add(node_send(n, n->leader, NODE_ORIGINS), rows.data,
                    rows.len);
    }
    bbm_buf_free(&rows);
}

void
node_origins_tick(bbm_node *n)
{
    if (n->desc.format < BBM_FORMAT_ORIGINS)
        return;
    set_leading(n, node_leads(n));
    if (n->now < n->next_origins_at)
        return;
    n->next_origins_at = n->now + REPORT_PERIOD;
    report(n);
    if (n->origins_received) {
        bbm_origins_expire(n->origins_received, now_ms(n));
        propose_batch(n);
    }
}

void
node_origins_destroy(bbm_node *n)
{
    bbm_origins_destroy(n->origins_received);
    bbm_buf_free(&n->pending_origins);
}
