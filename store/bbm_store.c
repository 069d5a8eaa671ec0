#include "bbm_store.h"

#include "bbm_codes.h"
#include "bbm_hash.h"
#include "store_file.h"

#include <assert.h>
#include <dirent.h>
#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#define FILE_NAME_SIZE 64
#define IDENTITY_FILE "identity"
#define IDENTITY_TMP "identity.tmp"

/* First value of each record. */
typedef enum record_kind {
    RECORD_IDENTITY,
    RECORD_HARD,
    RECORD_ENTRY,
    RECORD_TRUNCATE,
    RECORD_SNAPSHOT,
    RECORD_KINDS,
} record_kind;

struct bbm_store {
    int folder;             /* descriptor of the folder */
    int log;                /* descriptor of the open log */
    bbm_member_id id;       /* identity */
    uint64_t number;        /* of the present pair of files */
    uint64_t log_size;      /* bytes of the log that are synced */
    uint64_t snapshot_size; /* bytes of the snapshot */
    bbm_raft_saved saved;   /* as read */
    size_t saved_cap;       /* allocated entries in saved */
};

/* ---- records ---- */

static void
add_record(bbm_buf *out, bbm_buf *payload)
{
    store_record_add(out, payload);
    bbm_buf_free(payload);
}

static void
add_hard(bbm_buf *out, const bbm_raft_persist *p)
{
    bbm_buf rec = {0};
    bbm_put_u64(&rec, RECORD_HARD);
    bbm_put_u64(&rec, p->term);
    bbm_put_u64(&rec, p->vote);
    add_record(out, &rec);
}

static void
add_entries(bbm_buf *out, const bbm_raft_persist *p)
{
    if (p->truncate_from) {
        bbm_buf rec = {0};
        bbm_put_u64(&rec, RECORD_TRUNCATE);
        bbm_put_u64(&rec, p->truncate_from);
        add_record(out, &rec);
    }
    for (size_t i = 0; i < p->len; i++) {
        const bbm_entry *e = &p->entries[i];
        bbm_buf rec = {0};
        bbm_put_u64(&rec, RECORD_ENTRY);
        bbm_put_u64(&rec, e->index);
        bbm_put_u64(&rec, e->term);
        bbm_put_u64(&rec, e->kind);
        bbm_put_bytes(&rec, e->data, e->len);
        add_record(out, &rec);
    }
}

static void
add_snapshot(bbm_buf *out, const bbm_raft_snapshot *snap)
{
    bbm_buf rec = {0};
    bbm_put_u64(&rec, RECORD_SNAPSHOT);
    bbm_put_u64(&rec, snap->index);
    bbm_put_u64(&rec, snap->term);
    bbm_raft_group_encode(&snap->group, &rec);
    bbm_put_bytes(&rec, snap->data.data, snap->data.len);
    add_record(out, &rec);
}

/* ---- reading back ---- */

static void
drop_from(bbm_raft_saved *saved, uint64_t index)
{
    while (saved->len && saved->entries[saved->len - 1].index >= index) {
        saved->len--;
        free(saved->entries[saved->len].data);
    }
}

static int
take_entry(bbm_store *s, bbm_reader *rd)
{
    bbm_entry e = {.index = bbm_get_u64(rd)};
    e.term = bbm_get_u64(rd);
    e.kind = (bbm_entry_kind)bbm_get_u32(rd, BBM_ENTRY_GROUP);
    bbm_bytes data = bbm_get_bytes(rd);
    uint64_t expected = s->saved.snapshot.index + s->saved.len + 1;
    if (!bbm_reader_done(rd) || e.index != expected)
        return BBM_ERR_CORRUPT;
    e.data = bbm_memdup(data.data, data.len);
    e.len = data.len;
    bbm_grow(&s->saved.entries, &s->saved_cap, s->saved.len, sizeof(e));
    s->saved.entries[s->saved.len++] = e;
    return BBM_OK;
}

static int
take_snapshot(bbm_store *s, bbm_reader *rd)
{
    bbm_raft_snapshot *snap = &s->saved.snapshot;
    snap->index = bbm_get_u64(rd);
    snap->term = bbm_get_u64(rd);
    bbm_raft_group_decode(rd, &snap->group);
    bbm_bytes data = bbm_get_bytes(rd);
    if (!bbm_reader_done(rd))
        return BBM_ERR_CORRUPT;
    bbm_buf_add(&snap->data, data.data, data.len);
    return BBM_OK;
}

static int
take_record(void *context, bbm_bytes payload)
{
    bbm_store *s = context;
    bbm_reader rd = bbm_reader_of(payload.data, payload.len);
    record_kind kind = (record_kind)bbm_get_u32(&rd, RECORD_KINDS - 1);
    if (rd.failed)
        return BBM_ERR_CORRUPT;
    switch (kind) {
    case RECORD_IDENTITY:
        s->id = bbm_get_u64(&rd);
        break;
    case RECORD_HARD:
        s->saved.term = bbm_get_u64(&rd);
        s->saved.vote = bbm_get_u64(&rd);
        break;
    case RECORD_ENTRY:
        return take_entry(s, &rd);
    case RECORD_TRUNCATE:
        drop_from(&s->saved, bbm_get_u64(&rd));
        break;
    case RECORD_SNAPSHOT:
        return take_snapshot(s, &rd);
    case RECORD_KINDS:
        break;
    }
    return bbm_reader_done(&rd) ? BBM_OK : BBM_ERR_CORRUPT;
}

/* ---- opening ---- */

static void
file_name(char name[FILE_NAME_SIZE], uint64_t number, const char *kind)
{
    snprintf(name, FILE_NAME_SIZE, "%020llu.%s", (unsigned long long)number,
             kind);
}

static int
read_file(bbm_store *s, const char *name, uint64_t *good, uint64_t *size,
          bbm_store_report *report)
{
    int rc = store_file_read(s->folder, name, take_record, s, good, size);
    if (rc < 0)
        snprintf(report->failed_file, sizeof(report->failed_file), "%s", name);
    return rc;
}

/* Files that no finished step names are left of a crash, or outdated. */
static void
remove_others(bbm_store *s)
{
    char keep_log[FILE_NAME_SIZE];
    char keep_snap[FILE_NAME_SIZE];
    file_name(keep_log, s->number, "log");
    file_name(keep_snap, s->number, "snapshot");
    int fd = openat(s->folder, ".", O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    DIR *dir = fd >= 0 ? fdopendir(fd) : NULL;
    if (!dir)
        return;
    for (struct dirent *e; (e = readdir(dir)) != NULL;) {
        bool ours = strstr(e->d_name, ".log") || strstr(e->d_name, ".snapshot")
                    || strstr(e->d_name, ".tmp");
        bool kept = strcmp(e->d_name, keep_log) == 0
                    || strcmp(e->d_name, keep_snap) == 0;
        if (ours && !kept)
            unlinkat(s->folder, e->d_name, 0);
    }
    closedir(dir);
}

/* The highest number whose log has its final name; 0 if there is none. */
static uint64_t
find_number(bbm_store *s)
{
    uint64_t best = 0;
    int fd = openat(s->folder, ".", O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    DIR *dir = fd >= 0 ? fdopendir(fd) : NULL;
    if (!dir)
        return 0;
    for (struct dirent *e; (e = readdir(dir)) != NULL;) {
        char *end = NULL;
        uint64_t number = strtoull(e->d_name, &end, 10);
        if (end != e->d_name && strcmp(end, ".log") == 0 && number > best)
            best = number;
    }
    closedir(dir);
    return best;
}

static int
open_log(bbm_store *s)
{
    char name[FILE_NAME_SIZE];
    file_name(name, s->number, "log");
    int fd = openat(s->folder, name, O_WRONLY | O_APPEND | O_CLOEXEC);
    if (fd < 0)
        return BBM_ERR_IO;
    if (s->log >= 0)
        close(s->log);
    s->log = fd;
    return BBM_OK;
}

static int
create_identity(bbm_store *s, bbm_store_report *report)
{
    report->created = true;
    while (!s->id)
        bbm_random_bytes(&s->id, sizeof(s->id));
    bbm_buf rec = {0};
    bbm_put_u64(&rec, RECORD_IDENTITY);
    bbm_put_u64(&rec, s->id);
    bbm_buf out = {0};
    add_record(&out, &rec);
    int rc = store_file_create(s->folder, IDENTITY_TMP, &out);
    bbm_buf_free(&out);
    if (rc < 0)
        return rc;
    if (renameat(s->folder, IDENTITY_TMP, s->folder, IDENTITY_FILE) < 0
        || fsync(s->folder) < 0)
        return store_errno_code();
    return BBM_OK;
}

static int
read_identity(bbm_store *s, bbm_store_report *report)
{
    uint64_t good = 0;
    uint64_t size = 0;
    if (faccessat(s->folder, IDENTITY_FILE, F_OK, 0) < 0) {
        /* A log without an identity must not get a new one. */
        if (find_number(s)) {
            snprintf(report->failed_file, sizeof(report->failed_file), "%s",
                     IDENTITY_FILE);
            return BBM_ERR_CORRUPT;
        }
        return create_identity(s, report);
    }
    int rc = read_file(s, IDENTITY_FILE, &good, &size, report);
    if (rc == BBM_OK && !s->id) {
        snprintf(report->failed_file, sizeof(report->failed_file), "%s",
                 IDENTITY_FILE);
        return BBM_ERR_CORRUPT;
    }
    return rc;
}

/* Make the pair of files with the next number, and switch to it. */
static int
write_pair(bbm_store *s, const bbm_buf *snapshot, const bbm_buf *log)
{
    char log_tmp[FILE_NAME_SIZE];
    char log_name[FILE_NAME_SIZE];
    char snap_name[FILE_NAME_SIZE];
    uint64_t number = s->number + 1;
    file_name(snap_name, number, "snapshot");
    file_name(log_name, number, "log");
    file_name(log_tmp, number, "log.tmp");
    int rc = store_file_create(s->folder, snap_name, snapshot);
    if (rc == BBM_OK)
        rc = store_file_create(s->folder, log_tmp, log);
    if (rc == BBM_OK && fsync(s->folder) < 0)
        rc = store_errno_code();
    if (rc == BBM_OK && renameat(s->folder, log_tmp, s->folder, log_name) < 0)
        rc = store_errno_code();
    if (rc < 0) {
        unlinkat(s->folder, snap_name, 0);
        unlinkat(s->folder, log_tmp, 0);
        return rc;
    }
    s->number = number;
    s->log_size = log->len;
    s->snapshot_size = snapshot->len;
    rc = open_log(s);
    if (rc == BBM_OK && fsync(s->folder) < 0)
        rc = store_errno_code();
    if (rc == BBM_OK)
        remove_others(s);
    return rc;
}

static int
read_pair(bbm_store *s, bbm_store_report *report)
{
    char name[FILE_NAME_SIZE];
    uint64_t good = 0;
    s->number = find_number(s);
    if (!s->number) {
        bbm_buf none = {0};
        return write_pair(s, &none, &none);
    }
    file_name(name, s->number, "snapshot");
    int rc = read_file(s, name, &good, &s->snapshot_size, report);
    if (rc == BBM_OK && good != s->snapshot_size) {
        snprintf(report->failed_file, sizeof(report->failed_file), "%s", name);
        return BBM_ERR_CORRUPT;
    }
    file_name(name, s->number, "log");
    uint64_t size = 0;
    if (rc == BBM_OK)
        rc = read_file(s, name, &good, &size, report);
    if (rc == BBM_OK)
        rc = open_log(s);
    if (rc < 0)
        return rc;
    report->torn_bytes = (size_t)(size - good);
    s->log_size = good;
    if (size > good
        && (ftruncate(s->log, (off_t)good) < 0 || fsync(s->log) < 0))
        return store_errno_code();
    remove_others(s);
    return BBM_OK;
}

int
bbm_store_open(const char *folder, bbm_store **store, bbm_store_report *report)
{
    *store = NULL;
    *report = (bbm_store_report){0};
    if (mkdir(folder, 0700) < 0 && errno != EEXIST) {
        snprintf(report->failed_file, sizeof(report->failed_file), "%s",
                 folder);
        return BBM_ERR_IO;
    }
    bbm_store *s = bbm_calloc(1, sizeof(*s));
    s->log = -1;
    s->folder = open(folder, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    int rc = s->folder < 0 ? BBM_ERR_IO : BBM_OK;
    if (rc == BBM_OK)
        rc = read_identity(s, report);
    if (rc == BBM_OK)
        rc = read_pair(s, report);
    if (rc < 0) {
        bbm_store_close(s);
        return rc;
    }
    *store = s;
    return BBM_OK;
}

void
bbm_store_close(bbm_store *store)
{
    if (!store)
        return;
    drop_from(&store->saved, 0);
    free(store->saved.entries);
    bbm_buf_free(&store->saved.snapshot.data);
    if (store->log >= 0)
        close(store->log);
    if (store->folder >= 0)
        close(store->folder);
    free(store);
}

/* ---- use ---- */

bbm_member_id
bbm_store_id(const bbm_store *store)
{
    return store->id;
}

void
bbm_store_load(bbm_store *store, bbm_raft_saved *saved)
{
    *saved = store->saved;
    store->saved = (bbm_raft_saved){0};
    store->saved_cap = 0;
}

static int
append_synced(bbm_store *store, const bbm_buf *log)
{
    int rc = store_write_all(store->log, log->data, log->len);
    if (rc == BBM_OK && fdatasync(store->log) < 0)
        rc = store_errno_code();
    /* Take back what may have been written in part. */
    if (rc < 0 && ftruncate(store->log, (off_t)store->log_size) < 0)
        rc = BBM_ERR_IO;
    if (rc == BBM_OK)
        store->log_size += log->len;
    return rc;
}

int
bbm_store_write(bbm_store *store, const bbm_raft_persist *steps, size_t len)
{
    bbm_buf log = {0};
    bbm_buf snapshot = {0};
    for (size_t i = 0; i < len; i++) {
        assert(len == 1 || !steps[i].snapshot);
        add_hard(&log, &steps[i]);
        add_entries(&log, &steps[i]);
    }
    int rc;
    if (len == 1 && steps[0].snapshot) {
        add_snapshot(&snapshot, steps[0].snapshot);
        rc = write_pair(store, &snapshot, &log);
    }
    else {
        rc = append_synced(store, &log);
    }
    bbm_buf_free(&log);
    bbm_buf_free(&snapshot);
    return rc;
}

uint64_t
bbm_store_size(const bbm_store *store)
{
    return store->log_size + store->snapshot_size;
}
