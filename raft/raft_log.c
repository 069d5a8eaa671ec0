#include "raft_log.h"

#include <stdlib.h>
#include <string.h>

uint64_t
raft_log_last(const raft_log *log)
{
    return log->snapshot.index + log->len;
}

const bbm_entry *
raft_log_entry(const raft_log *log, uint64_t index)
{
    if (index <= log->snapshot.index || index > raft_log_last(log))
        return NULL;
    return &log->entries[index - log->snapshot.index - 1];
}

static uint8_t *
read_stored(const raft_log *log, const bbm_entry *e)
{
    uint8_t *data = bbm_calloc(e->len, 1);
    log->file.read(log->file.context, e->stored_at, data, e->len);
    return data;
}

bbm_entry *
raft_log_copy(const raft_log *log, uint64_t index, size_t len)
{
    bbm_entry *copies = bbm_calloc(len, sizeof(*copies));
    for (size_t i = 0; i < len; i++) {
        const bbm_entry *e = raft_log_entry(log, index + i);
        copies[i] = *e;
        copies[i].data =
            e->stored_at ? read_stored(log, e) : bbm_memdup(e->data, e->len);
        copies[i].stored_at = 0;
    }
    return copies;
}

bbm_entry *
raft_log_view(const raft_log *log, uint64_t index, size_t len)
{
    bbm_entry *view = bbm_calloc(len, sizeof(*view));
    for (size_t i = 0; i < len; i++) {
        view[i] = *raft_log_entry(log, index + i);
        if (view[i].stored_at)
            view[i].data = read_stored(log, &view[i]);
    }
    return view;
}

void
raft_log_free_view(bbm_entry *view, size_t len)
{
    for (size_t i = 0; i < len; i++) {
        if (view[i].stored_at)
            free(view[i].data);
    }
    free(view);
}

static void
close_file_if_unused(raft_log *log)
{
    if (!log->file.context)
        return;
    for (size_t i = 0; i < log->len; i++) {
        if (log->entries[i].stored_at)
            return;
    }
    log->file.close(log->file.context);
    log->file = (bbm_entry_file){0};
}

uint64_t
raft_log_term(const raft_log *log, uint64_t index)
{
    if (index == log->snapshot.index)
        return log->snapshot.term;
    const bbm_entry *e = raft_log_entry(log, index);
    return e ? e->term : 0;
}

const bbm_entry *
raft_log_append(raft_log *log, uint64_t term, bbm_entry_kind kind,
                const uint8_t *data, size_t len)
{
    bbm_grow(&log->entries, &log->cap, log->len, sizeof(bbm_entry));
    bbm_entry *e = &log->entries[log->len];
    *e = (bbm_entry){
        .index = raft_log_last(log) + 1,
        .term = term,
        .kind = kind,
        .data = bbm_memdup(data, len),
        .len = len,
    };
    log->len++;
    log->bytes += len;
    return e;
}

void
raft_log_truncate(raft_log *log, uint64_t index)
{
    while (log->len && raft_log_last(log) >= index) {
        log->len--;
        log->bytes -= log->entries[log->len].len;
        free(log->entries[log->len].data);
    }
}

void
raft_log_install_snapshot(raft_log *log, bbm_raft_snapshot *snapshot)
{
    bool has_entry = raft_log_term(log, snapshot->index) == snapshot->term
                     && snapshot->index >= log->snapshot.index;
    size_t delete_len = log->len;
    if (has_entry)
        delete_len = (size_t)(snapshot->index - log->snapshot.index);
    for (size_t i = 0; i < delete_len; i++) {
        log->bytes -= log->entries[i].len;
        free(log->entries[i].data);
    }
    log->len -= delete_len;
    if (log->len)
        memmove(log->entries, log->entries + delete_len,
                log->len * sizeof(bbm_entry));
    bbm_buf_free(&log->snapshot.data);
    log->snapshot = *snapshot;
    snapshot->data = (bbm_buf){0};
    close_file_if_unused(log);
}

uint64_t
raft_log_group_index(const raft_log *log)
{
    for (size_t i = log->len; i > 0; i--) {
        if (log->entries[i - 1].kind == BBM_ENTRY_GROUP)
            return log->entries[i - 1].index;
    }
    return 0;
}

void
raft_log_group(const raft_log *log, bbm_raft_group *group)
{
    uint64_t index = raft_log_group_index(log);
    if (!index) {
        *group = log->snapshot.group;
        return;
    }
    const bbm_entry *e = raft_log_entry(log, index);
    bbm_reader rd = bbm_reader_of(e->data, e->len);
    bbm_raft_group_decode(&rd, group);
}

void
raft_log_free(raft_log *log)
{
    for (size_t i = 0; i < log->len; i++)
        free(log->entries[i].data);
    free(log->entries);
    log->len = 0;
    close_file_if_unused(log);
    bbm_buf_free(&log->snapshot.data);
}

/* ---- groups ---- */

void
bbm_raft_group_encode(const bbm_raft_group *g, bbm_buf *buf)
{
    bbm_put_u64(buf, g->len);
    for (size_t i = 0; i < g->len; i++) {
        bbm_put_u64(buf, g->members[i].id);
        bbm_put_str(buf, g->members[i].name);
        bbm_put_u64(buf, g->members[i].voter);
    }
}

void
bbm_raft_group_decode(bbm_reader *rd, bbm_raft_group *g)
{
    *g = (bbm_raft_group){0};
    g->len = bbm_get_u32(rd, BBM_RAFT_MEMBERS_MAX);
    for (size_t i = 0; i < g->len; i++) {
        g->members[i].id = bbm_get_u64(rd);
        bbm_get_name(rd, g->members[i].name);
        g->members[i].voter = bbm_get_u32(rd, 1) != 0;
    }
}
