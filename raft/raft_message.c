#include "raft_message.h"

#include "bbm_codes.h"

#include <stdlib.h>

/* Messages with another format version are refused. */
#define MESSAGE_FORMAT_VERSION 2

void
raft_message_encode(const raft_message *m, bbm_buf *buf)
{
    bbm_put_u64(buf, MESSAGE_FORMAT_VERSION);
    bbm_put_u64(buf, m->kind);
    bbm_put_u64(buf, m->from);
    bbm_put_u64(buf, m->to);
    bbm_put_u64(buf, m->term);
    bbm_put_u64(buf, m->index);
    bbm_put_u64(buf, m->index_term);
    bbm_put_u64(buf, m->leader_commit);
    bbm_put_i64(buf, m->sent_at);
    bbm_put_u64(buf, m->granted);
    bbm_put_u64(buf, m->no_leader_seen);
    bbm_put_u64(buf, m->group_hash);
    bbm_put_u64(buf, m->len);
    for (size_t i = 0; i < m->len; i++) {
        bbm_put_u64(buf, m->entries[i].term);
        bbm_put_u64(buf, m->entries[i].kind);
        bbm_put_bytes(buf, m->entries[i].data, m->entries[i].len);
    }
    if (m->kind == RAFT_SNAPSHOT) {
        bbm_raft_group_encode(&m->group, buf);
        bbm_put_bytes(buf, m->data.data, m->data.len);
    }
}

static void
decode_entries(bbm_reader *rd, raft_message *m)
{
    m->entries = bbm_calloc(m->len, sizeof(bbm_entry));
    for (size_t i = 0; i < m->len && !rd->failed; i++) {
        bbm_entry *e = &m->entries[i];
        e->index = m->index + 1 + i;
        e->term = bbm_get_u64(rd);
        e->kind = (bbm_entry_kind)bbm_get_u32(rd, BBM_ENTRY_GROUP);
        bbm_bytes data = bbm_get_bytes(rd);
        e->data = (uint8_t *)(uintptr_t)data.data;
        e->len = data.len;
        if (e->kind == BBM_ENTRY_GROUP) {
            bbm_raft_group group;
            bbm_reader inner = bbm_reader_of(data.data, data.len);
            bbm_raft_group_decode(&inner, &group);
            if (!bbm_reader_done(&inner))
                rd->failed = true;
        }
    }
}

int
raft_message_decode(const uint8_t *data, size_t len, raft_message *m)
{
    *m = (raft_message){0};
    bbm_reader rd = bbm_reader_of(data, len);
    if (bbm_get_u64(&rd) != MESSAGE_FORMAT_VERSION)
        return BBM_ERR_DECODE;
    m->kind = (raft_message_kind)bbm_get_u32(&rd, RAFT_KIND_COUNT - 1);
    m->from = bbm_get_u64(&rd);
    m->to = bbm_get_u64(&rd);
    m->term = bbm_get_u64(&rd);
    m->index = bbm_get_u64(&rd);
    m->index_term = bbm_get_u64(&rd);
    m->leader_commit = bbm_get_u64(&rd);
    m->sent_at = bbm_get_i64(&rd);
    m->granted = bbm_get_u32(&rd, 1) != 0;
    m->no_leader_seen = bbm_get_u32(&rd, 1) != 0;
    m->group_hash = bbm_get_u64(&rd);
    m->len = bbm_get_u32(&rd, RAFT_MESSAGE_ENTRIES_MAX);
    if (m->len && m->kind == RAFT_APPEND && !rd.failed)
        decode_entries(&rd, m);
    if (m->kind == RAFT_SNAPSHOT && !rd.failed) {
        bbm_raft_group_decode(&rd, &m->group);
        m->data = bbm_get_bytes(&rd);
    }
    if (bbm_reader_done(&rd))
        return BBM_OK;
    free(m->entries);
    m->entries = NULL;
    return BBM_ERR_DECODE;
}

bbm_member_id
bbm_raft_sender(const uint8_t *data, size_t len)
{
    bbm_reader rd = bbm_reader_of(data, len);
    uint64_t version = bbm_get_u64(&rd);
    bbm_get_u64(&rd);
    bbm_member_id from = bbm_get_u64(&rd);
    return version == MESSAGE_FORMAT_VERSION && !rd.failed ? from : 0;
}

int
bbm_raft_snapshot_data(const uint8_t *data, size_t len, bbm_bytes *snapshot)
{
    *snapshot = (bbm_bytes){0};
    bbm_reader rd = bbm_reader_of(data, len);
    bbm_get_u64(&rd);
    if (bbm_get_u64(&rd) != RAFT_SNAPSHOT)
        return rd.failed ? BBM_ERR_DECODE : BBM_OK;
    raft_message m;
    int rc = raft_message_decode(data, len, &m);
    if (rc == BBM_OK)
        *snapshot = m.data;
    free(m.entries);
    return rc;
}

int
bbm_raft_replace_snapshot_data(const uint8_t *data, size_t len,
                               bbm_bytes snapshot, bbm_buf *buf)
{
    raft_message m;
    int rc = raft_message_decode(data, len, &m);
    if (rc == BBM_OK && m.kind != RAFT_SNAPSHOT)
        rc = BBM_ERR_ARGUMENT;
    m.data = snapshot;
    if (rc == BBM_OK)
        raft_message_encode(&m, buf);
    free(m.entries);
    return rc;
}
