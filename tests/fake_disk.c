#include "fake_disk.h"

#include <stdlib.h>
#include <string.h>

static void
truncate_entries(fake_disk *d, uint64_t index)
{
    while (d->len && d->entries[d->len - 1].index >= index)
        free(d->entries[--d->len].data);
}

static void
apply(fake_disk *d, bbm_raft_persist *p)
{
    d->term = p->term;
    d->vote = p->vote;
    if (p->snapshot) {
        truncate_entries(d, 0);
        bbm_buf_free(&d->snapshot.data);
        d->snapshot = *p->snapshot;
        p->snapshot->data = (bbm_buf){0};
    }
    if (p->truncate_from)
        truncate_entries(d, p->truncate_from);
    for (size_t i = 0; i < p->len; i++) {
        bbm_grow(&d->entries, &d->cap, d->len, sizeof(bbm_entry));
        d->entries[d->len++] = p->entries[i];
        p->entries[i].data = NULL;
    }
    bbm_raft_persist_free(p);
}

void
fake_disk_write(fake_disk *d, bbm_raft_persist *persist, bbm_time sync_at)
{
    if (d->writes_len == FAKE_WRITES_MAX)
        abort();
    bbm_time last = d->writes_len ? d->writes[d->writes_len - 1].sync_at : 0;
    fake_write *w = &d->writes[d->writes_len++];
    w->persist = *persist;
    w->sync_at = sync_at > last ? sync_at : last;
    *persist = (bbm_raft_persist){0};
}

bool
fake_disk_sync(fake_disk *d, bbm_time now, uint64_t *seq)
{
    if (!d->writes_len || d->writes[0].sync_at > now)
        return false;
    *seq = d->writes[0].persist.seq;
    apply(d, &d->writes[0].persist);
    d->writes_len--;
    memmove(d->writes, d->writes + 1, d->writes_len * sizeof(fake_write));
    return true;
}

void
fake_disk_crash(fake_disk *d, size_t synced_count)
{
    for (size_t i = 0; i < d->writes_len; i++) {
        if (i < synced_count)
            apply(d, &d->writes[i].persist);
        else
            bbm_raft_persist_free(&d->writes[i].persist);
    }
    d->writes_len = 0;
}

void
fake_disk_load(const fake_disk *d, bbm_raft_saved *saved)
{
    *saved = (bbm_raft_saved){.term = d->term, .vote = d->vote};
    saved->snapshot = d->snapshot;
    saved->snapshot.data = (bbm_buf){0};
    bbm_buf_add(&saved->snapshot.data, d->snapshot.data.data,
                d->snapshot.data.len);
    saved->entries = bbm_calloc(d->len, sizeof(bbm_entry));
    saved->len = d->len;
    for (size_t i = 0; i < d->len; i++) {
        saved->entries[i] = d->entries[i];
        saved->entries[i].data =
            bbm_memdup(d->entries[i].data, d->entries[i].len);
    }
}

void
fake_disk_clear(fake_disk *d)
{
    fake_disk_crash(d, 0);
    truncate_entries(d, 0);
    free(d->entries);
    bbm_buf_free(&d->snapshot.data);
    *d = (fake_disk){0};
}
