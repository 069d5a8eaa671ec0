/** @file
 *  Proposes commands to the leader and delivers their outcomes.  A command is
 *  sent again until its outcome arrives, which is safe because applying a
 *  command twice has the effect of one.
 */
#include "node_core.h"

#include "bbm_table.h"

#include <stdlib.h>
#include <string.h>

#define RESEND_PERIOD (300 * BBM_MS)
#define PROPOSALS_MAX 20000
/* Longer commands of other daemons are rejected. */
#define COMMAND_BYTES_MAX ((size_t)4 * 1024 * 1024)

static void
free_proposal(bbm_node *n, node_proposal *p)
{
    HASH_DEL(n->proposals, p);
    bbm_buf_free(&p->bytes);
    free(p);
}

static node_pending_entry *
add_pending_entry(bbm_node *n, uint64_t index, const char *origin,
                  uint64_t run, uint64_t seq)
{
    node_pending_entry *p = bbm_calloc(1, sizeof(*p));
    p->index = index;
    p->run = run;
    p->seq = seq;
    bbm_name_set(p->origin, origin);
    HASH_ADD(hh, n->pending_entries, index, sizeof(p->index), p);
    return p;
}

static bool
is_pending(const bbm_node *n, const char *origin, uint64_t run, uint64_t seq)
{
    for (const node_pending_entry *p = n->pending_entries; p; p = p->hh.next) {
        if (p->seq == seq && p->run == run && strcmp(p->origin, origin) == 0)
            return true;
    }
    return false;
}

/* Appends a command as a format has it.  One that the format lacks stays as
   it is: what proposes those knows who reads them. */
static void
put_command(bbm_buf *buf, const uint8_t *data, size_t len, bbm_format format)
{
    if (bbm_command_convert(data, len, format, buf) < 0)
        bbm_buf_add(buf, data, len);
}

/* Calls bbm_raft_propose with what all members of the group read, and returns
   its result. */
static int
append_command(bbm_node *n, const char *origin, uint64_t run, uint64_t seq,
               const uint8_t *data, size_t len)
{
    uint64_t index = 0;
    if (is_pending(n, origin, run, seq))
        return BBM_OK;
    bbm_buf read = {0};
    put_command(&read, data, len, node_group_format(n));
    int rc = bbm_raft_propose(n->raft, read.data, read.len, n->now, &index);
    if (rc == BBM_OK)
        add_pending_entry(n, index, origin, run, seq);
    bbm_buf_free(&read);
    return rc;
}

/* Returns BBM_ERR_BACKLOG if the log had no room for it, else BBM_OK. */
static int
send_proposal(bbm_node *n, node_proposal *p)
{
    p->retry_at = n->now + RESEND_PERIOD;
    if (node_leads(n)) {
        int rc = append_command(n, n->desc.name, n->desc.run, p->seq,
                                p->bytes.data, p->bytes.len);
        p->sends += rc == BBM_OK;
        return rc == BBM_ERR_BACKLOG ? rc : BBM_OK;
    }
    bool elsewhere = n->leader[0] && strcmp(n->leader, n->desc.name) != 0;
    if (!elsewhere)
        return BBM_OK;
    p->sends++;
    bbm_buf *buf = node_send(n, n->leader, NODE_PROPOSE);
    bbm_put_u64(buf, n->desc.run);
    bbm_put_u64(buf, p->seq);
    bbm_buf read = {0};
    put_command(&read, p->bytes.data, p->bytes.len,
                node_state_format(n, n->leader));
    bbm_put_bytes(buf, read.data, read.len);
    bbm_buf_free(&read);
    return BBM_OK;
}

/* NULL if too many are open. */
static node_proposal *
create_proposal(bbm_node *n, const bbm_command *cmd, proposal_waiter waiter,
                uint64_t waiter_id, bbm_time until)
{
    if (HASH_COUNT(n->proposals) >= PROPOSALS_MAX)
        return NULL;
    node_proposal *p = bbm_calloc(1, sizeof(*p));
    p->seq = ++n->last_proposal_seq;
    p->waiter = waiter;
    p->waiter_id = waiter_id;
    p->expires_at = until;
    bbm_command timestamped = *cmd;
    timestamped.at_ms = n->wall_ms;
    bbm_buf documents = {0};
    if (n->desc.format >= BBM_FORMAT_DEFLATED)
        bbm_command_deflate(&timestamped, &documents);
    bbm_command_encode(&timestamped, &p->bytes);
    bbm_buf_free(&documents);
    HASH_ADD(hh, n->proposals, seq, sizeof(p->seq), p);
    return p;
}

node_proposal *
node_propose(bbm_node *n, const bbm_command *cmd, proposal_waiter waiter,
             uint64_t waiter_id, bbm_time until)
{
    node_proposal *p = create_proposal(n, cmd, waiter, waiter_id, until);
    if (p)
        send_proposal(n, p);
    return p;
}

void
node_propose_change(bbm_node *n, const bbm_command *cmd, uint64_t op,
                    bbm_time until)
{
    node_proposal *p = create_proposal(n, cmd, WAITER_OPERATOR, op, until);
    int rc = p ? send_proposal(n, p) : BBM_ERR_BUSY;
    if (rc == BBM_OK)
        return;
    if (p)
        free_proposal(n, p);
    node_reply_code(n, op, rc, NULL);
}

static void
expire_proposal(bbm_node *n, node_proposal *p)
{
    if (p->waiter == WAITER_OPERATOR)
        node_reply_code(n, p->waiter_id, BBM_ERR_NO_QUORUM, NULL);
    free_proposal(n, p);
}

void
node_propose_tick(bbm_node *n)
{
    node_proposal *p, *next;
    HASH_ITER(hh, n->proposals, p, next)
    {
        if (n->now >= p->expires_at)
            expire_proposal(n, p);
        else if (n->now >= p->retry_at)
            send_proposal(n, p);
    }
}

static void
send_outcome(bbm_node *n, const char *to, uint64_t run, uint64_t seq,
             const bbm_outcome *out)
{
    bbm_buf *buf = node_send(n, to, NODE_OUTCOME);
    bbm_put_u64(buf, run);
    bbm_put_u64(buf, seq);
    bbm_outcome_encode(out, buf);
}

int
node_propose_receive(bbm_node *n, const char *from, bbm_reader *rd)
{
    uint64_t run = bbm_get_u64(rd);
    uint64_t seq = bbm_get_u64(rd);
    bbm_bytes bytes = bbm_get_bytes(rd);
    if (!bbm_reader_done(rd) || bytes.len > COMMAND_BYTES_MAX)
        return BBM_ERR_DECODE;
    bbm_command cmd;
    if (bbm_command_decode(bytes.data, bytes.len, &cmd) < 0)
        return BBM_ERR_DECODE;
    if (!node_leads(n)
        || append_command(n, from, run, seq, bytes.data, bytes.len)
               != BBM_ERR_BACKLOG)
        return BBM_OK;
    /* Other commands are sent again by themselves. */
    if (cmd.kind == BBM_CMD_PUBLISH || cmd.kind == BBM_CMD_PUBLISH_DEFLATED)
        send_outcome(n, from, run, seq,
                     &(bbm_outcome){.code = BBM_ERR_BACKLOG});
    return BBM_OK;
}

/* ---- outcomes ---- */

static void
deliver_outcome(bbm_node *n, uint64_t seq, const bbm_outcome *out)
{
    node_proposal *p = NULL;
    HASH_FIND(hh, n->proposals, &seq, sizeof(seq), p);
    /* One that was sent before may be in the log nevertheless. */
    if (!p || (out->code == BBM_ERR_BACKLOG && p->sends > 1))
        return;
    switch (p->waiter) {
    case WAITER_CLAIM:
        node_claim_outcome(n, p, out);
        break;
    case WAITER_OPERATOR:
        node_reply_code(n, p->waiter_id, out->code, out);
        break;
    case WAITER_NONE:
        break;
    }
    free_proposal(n, p);
}

int
node_propose_outcome(bbm_node *n, bbm_reader *rd)
{
    uint64_t run = bbm_get_u64(rd);
    uint64_t seq = bbm_get_u64(rd);
    bbm_outcome out;
    bbm_outcome_decode(rd, &out);
    bool decoded = bbm_reader_done(rd);
    if (decoded && run == n->desc.run)
        deliver_outcome(n, seq, &out);
    bbm_outcome_free(&out);
    return decoded ? BBM_OK : BBM_ERR_DECODE;
}

void
node_propose_applied(bbm_node *n, uint64_t index, const bbm_outcome *out)
{
    node_pending_entry *p = NULL;
    HASH_FIND(hh, n->pending_entries, &index, sizeof(index), p);
    if (!p)
        return;
    HASH_DEL(n->pending_entries, p);
    if (strcmp(p->origin, n->desc.name) == 0) {
        if (p->run == n->desc.run)
            deliver_outcome(n, p->seq, out);
    }
    else {
        send_outcome(n, p->origin, p->run, p->seq, out);
    }
    free(p);
}

void
node_propose_reset(bbm_node *n)
{
    BBM_TABLE_FREE(node_pending_entry, n->pending_entries);
}

void
node_propose_destroy(bbm_node *n)
{
    node_propose_reset(n);
    node_proposal *p, *next;
    HASH_ITER(hh, n->proposals, p, next)
    {
        free_proposal(n, p);
    }
}
