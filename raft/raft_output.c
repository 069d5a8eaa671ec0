#include "raft_core.h"

#include <assert.h>
#include <stdlib.h>

/* Queue of outputs: messages, writes and entries to apply. */

static raft_queued *
new_queued(bbm_raft_output_kind kind)
{
    raft_queued *q = bbm_calloc(1, sizeof(*q));
    q->output.kind = kind;
    return q;
}

void
bbm_raft_persist_free(bbm_raft_persist *p)
{
    for (size_t i = 0; i < p->len; i++)
        free(p->entries[i].data);
    free(p->entries);
    if (p->snapshot)
        bbm_buf_free(&p->snapshot->data);
    free(p->snapshot);
    *p = (bbm_raft_persist){0};
}

static bbm_raft_snapshot *
copy_snapshot(const bbm_raft_snapshot *from)
{
    bbm_raft_snapshot *copy = bbm_calloc(1, sizeof(*copy));
    *copy = *from;
    copy->data = (bbm_buf){0};
    bbm_buf_add(&copy->data, from->data.data, from->data.len);
    return copy;
}

void
raft_free_queued(raft_queued *q)
{
    if (!q)
        return;
    switch (q->output.kind) {
    case BBM_RAFT_SEND:
        bbm_buf_free(&q->output.u.send.bytes);
        break;
    case BBM_RAFT_PERSIST:
        bbm_raft_persist_free(&q->output.u.persist);
        break;
    case BBM_RAFT_COMMIT:
        free(q->output.u.commit.data);
        break;
    case BBM_RAFT_RESTORE:
        bbm_buf_free(&q->output.u.restore.data);
        break;
    case BBM_RAFT_ROLE:
    case BBM_RAFT_GROUP:
        break;
    }
    free(q);
}

bbm_raft_output *
raft_queue_output(bbm_raft *r, bbm_raft_output_kind kind)
{
    raft_queued *q = new_queued(kind);
    TAILQ_INSERT_TAIL(&r->ready, q, link);
    return &q->output;
}

/* While a write lasts, a leader asks again and again.  The latest answer of
   those that wait for the same write says all. */
static void
drop_older_reply(bbm_raft *r, const raft_queued *reply)
{
    raft_queued *q;
    if (!reply->is_append_reply)
        return;
    TAILQ_FOREACH_REVERSE(q, &r->waiting, raft_queue, link)
    {
        if (q->wait_seq < reply->wait_seq)
            return;
        if (q->is_append_reply
            && q->output.u.send.to == reply->output.u.send.to)
            break;
    }
    if (!q)
        return;
    TAILQ_REMOVE(&r->waiting, q, link);
    raft_free_queued(q);
}

void
raft_send(bbm_raft *r, raft_message *m, bool durable)
{
    m->from = r->desc.id;
    raft_queued *q = new_queued(BBM_RAFT_SEND);
    q->output.u.send.to = m->to;
    raft_message_encode(m, &q->output.u.send.bytes);
    q->wait_seq = durable ? r->persist_issued : 0;
    q->is_append_reply = m->kind == RAFT_APPEND_REPLY;
    bool must_wait =
        q->wait_seq > r->persist_confirmed && !r->desc.unsafe_no_sync;
    if (must_wait) {
        drop_older_reply(r, q);
        TAILQ_INSERT_TAIL(&r->waiting, q, link);
    }
    else
        TAILQ_INSERT_TAIL(&r->ready, q, link);
}

/* Records the log index that the write issued last makes durable.  Entries
   that it truncates no longer count as durable, nor do earlier writes of
   them. */
static void
add_pending_write(bbm_raft *r, uint64_t truncate_from, size_t bytes)
{
    for (size_t i = 0; truncate_from && i < r->pending_writes_len; i++) {
        if (r->pending_writes[i].index >= truncate_from)
            r->pending_writes[i].index = truncate_from - 1;
    }
    if (truncate_from && r->durable_index >= truncate_from)
        r->durable_index = truncate_from - 1;
    bbm_grow(&r->pending_writes, &r->pending_writes_cap, r->pending_writes_len,
             sizeof(raft_pending_write));
    r->pending_writes[r->pending_writes_len++] = (raft_pending_write){
        .seq = r->persist_issued,
        .index = raft_log_last(&r->log),
        .bytes = bytes,
    };
    r->unsynced_bytes += bytes;
}

void
raft_persist(bbm_raft *r, const bbm_raft_snapshot *snapshot,
             uint64_t truncate_from, uint64_t from)
{
    bbm_raft_output *out = raft_queue_output(r, BBM_RAFT_PERSIST);
    bbm_raft_persist *p = &out->u.persist;
    p->seq = ++r->persist_issued;
    p->term = r->term;
    p->vote = r->vote;
    p->snapshot = snapshot ? copy_snapshot(snapshot) : NULL;
    p->truncate_from = truncate_from;
    uint64_t last = raft_log_last(&r->log);
    size_t bytes = snapshot ? snapshot->data.len : 0;
    if (from && from <= last) {
        p->len = (size_t)(last - from + 1);
        p->entries = raft_log_copy(&r->log, from, p->len);
        for (size_t i = 0; i < p->len; i++)
            bytes += p->entries[i].len;
    }
    add_pending_write(r, truncate_from, bytes);
}

/* Committed entries are copied one at a time: there may be many at a
   restart. */
static raft_queued *
take_commit(bbm_raft *r)
{
    raft_queued *q = new_queued(BBM_RAFT_COMMIT);
    bbm_entry *copy = raft_log_copy(&r->log, ++r->last_applied, 1);
    q->output.u.commit = *copy;
    free(copy);
    return q;
}

bool
bbm_raft_next_is_commit(const bbm_raft *r)
{
    return TAILQ_EMPTY(&r->ready) && r->last_applied < r->commit_index;
}

bbm_raft_output *
bbm_raft_next_output(bbm_raft *r)
{
    raft_free_queued(r->current_output);
    if (bbm_raft_next_is_commit(r)) {
        r->current_output = take_commit(r);
        return &r->current_output->output;
    }
    r->current_output = TAILQ_FIRST(&r->ready);
    if (!r->current_output)
        return NULL;
    TAILQ_REMOVE(&r->ready, r->current_output, link);
    return &r->current_output->output;
}

void
raft_release_waiting(bbm_raft *r)
{
    raft_queued *q, *next;
    for (q = TAILQ_FIRST(&r->waiting); q; q = next) {
        next = TAILQ_NEXT(q, link);
        if (q->wait_seq > r->persist_confirmed)
            continue;
        TAILQ_REMOVE(&r->waiting, q, link);
        TAILQ_INSERT_TAIL(&r->ready, q, link);
    }
}
