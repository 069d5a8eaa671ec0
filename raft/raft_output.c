#include "raft_core.h"

#include <assert.h>
#include <stdlib.h>

/* What a member wants done: messages, writes, entries to apply. */

static raft_queued *
new_queued(bbm_raft_output_kind kind)
{
    raft_queued *q = bbm_calloc(1, sizeof(*q));
    q->out.kind = kind;
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
    switch (q->out.kind) {
    case BBM_RAFT_SEND:
        bbm_buf_free(&q->out.u.send.bytes);
        break;
    case BBM_RAFT_PERSIST:
        bbm_raft_persist_free(&q->out.u.persist);
        break;
    case BBM_RAFT_COMMIT:
        free(q->out.u.commit.data);
        break;
    case BBM_RAFT_RESTORE:
        bbm_buf_free(&q->out.u.restore.data);
        break;
    case BBM_RAFT_ROLE:
    case BBM_RAFT_GROUP:
        break;
    }
    free(q);
}

bbm_raft_output *
raft_output(bbm_raft *r, bbm_raft_output_kind kind)
{
    raft_queued *q = new_queued(kind);
    TAILQ_INSERT_TAIL(&r->ready, q, link);
    return &q->out;
}

void
raft_send(bbm_raft *r, raft_message *m, bool durable)
{
    m->from = r->desc.id;
    raft_queued *q = new_queued(BBM_RAFT_SEND);
    q->out.u.send.to = m->to;
    raft_message_encode(m, &q->out.u.send.bytes);
    q->wait_seq = durable ? r->persist_issued : 0;
    bool wait = q->wait_seq > r->persist_done && !r->desc.unsafe_no_sync;
    if (wait)
        TAILQ_INSERT_TAIL(&r->held, q, link);
    else
        TAILQ_INSERT_TAIL(&r->ready, q, link);
}

static void
remember_durable(bbm_raft *r, uint64_t truncate_from)
{
    for (size_t i = 0; truncate_from && i < r->durables_len; i++) {
        if (r->durables[i].index >= truncate_from)
            r->durables[i].index = truncate_from - 1;
    }
    if (truncate_from && r->durable_index >= truncate_from)
        r->durable_index = truncate_from - 1;
    bbm_grow(&r->durables, &r->durables_cap, r->durables_len,
             sizeof(raft_durable));
    r->durables[r->durables_len++] = (raft_durable){
        .seq = r->persist_issued,
        .index = raft_log_last(&r->log),
    };
}

void
raft_persist(bbm_raft *r, const bbm_raft_snapshot *snapshot,
             uint64_t truncate_from, uint64_t from)
{
    bbm_raft_output *out = raft_output(r, BBM_RAFT_PERSIST);
    bbm_raft_persist *p = &out->u.persist;
    p->seq = ++r->persist_issued;
    p->term = r->term;
    p->vote = r->vote;
    p->snapshot = snapshot ? copy_snapshot(snapshot) : NULL;
    p->truncate_from = truncate_from;
    uint64_t last = raft_log_last(&r->log);
    if (from && from <= last) {
        p->len = (size_t)(last - from + 1);
        p->entries = bbm_calloc(p->len, sizeof(bbm_entry));
        for (size_t i = 0; i < p->len; i++) {
            p->entries[i] = *raft_log_at(&r->log, from + i);
            p->entries[i].data =
                bbm_memdup(p->entries[i].data, p->entries[i].len);
        }
    }
    remember_durable(r, truncate_from);
}

bbm_raft_output *
bbm_raft_next_output(bbm_raft *r)
{
    raft_free_queued(r->taken);
    r->taken = TAILQ_FIRST(&r->ready);
    if (!r->taken)
        return NULL;
    TAILQ_REMOVE(&r->ready, r->taken, link);
    return &r->taken->out;
}

void
raft_release_held(bbm_raft *r)
{
    raft_queued *q, *next;
    for (q = TAILQ_FIRST(&r->held); q; q = next) {
        next = TAILQ_NEXT(q, link);
        if (q->wait_seq > r->persist_done)
            continue;
        TAILQ_REMOVE(&r->held, q, link);
        TAILQ_INSERT_TAIL(&r->ready, q, link);
    }
}

void
raft_apply(bbm_raft *r)
{
    while (r->applied < r->commit) {
        const bbm_entry *e = raft_log_at(&r->log, r->applied + 1);
        assert(e);
        bbm_raft_output *out = raft_output(r, BBM_RAFT_COMMIT);
        out->u.commit = *e;
        out->u.commit.data = bbm_memdup(e->data, e->len);
        r->applied++;
    }
}
