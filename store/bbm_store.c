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
/* Data of shorter entries is read at once. */
#define STORED_BYTES_MIN ((size_t)4 * 1024)
#define IDENTITY_FILE "identity"
#define IDENTITY_TMP "identity.tmp"

/* Type of a record; the first value of its payload. */
typedef enum record_kind {
    RECORD_IDENTITY,   /* identity of the folder */
    RECORD_HARD_STATE, /* term and vote */
    RECORD_ENTRY,      /* an entry of the log */
    RECORD_TRUNCATE,   /* deletes the entries from an index on */
    RECORD_SNAPSHOT,   /* a snapshot */
    RECORD_KIND_COUNT,
} record_kind;

struct bbm_store {
    int folder;             /* directory descriptor */
    int log;                /* log file opened for appending; -1: none */
    bbm_member_id id;       /* identity of the folder */
    uint64_t generation;    /* of the current snapshot and log */
    uint64_t log_size;      /* synced bytes of the log */
    uint64_t snapshot_size; /* bytes of the snapshot */
    bool folder_unsynced;   /* names were changed, but a sync of the folder
                               failed */
    bbm_raft_saved saved;   /* as read at opening, until bbm_store_load */
    size_t saved_cap;       /* allocated entries of saved */
};

/* ---- records ---- */

static void
add_record(bbm_buf *out, bbm_buf *payload)
{
    store_record_add(out, payload);
    bbm_buf_free(payload);
}

static void
add_hard_state(bbm_buf *out, const bbm_raft_persist *p)
{
    bbm_buf record = {0};
    bbm_put_u64(&record, RECORD_HARD_STATE);
    bbm_put_u64(&record, p->term);
    bbm_put_u64(&record, p->vote);
    add_record(out, &record);
}

static void
add_entries(bbm_buf *out, const bbm_raft_persist *p)
{
    if (p->truncate_from) {
        bbm_buf record = {0};
        bbm_put_u64(&record, RECORD_TRUNCATE);
        bbm_put_u64(&record, p->truncate_from);
        add_record(out, &record);
    }
    for (size_t i = 0; i < p->len; i++) {
        const bbm_entry *e = &p->entries[i];
        bbm_buf record = {0};
        bbm_put_u64(&record, RECORD_ENTRY);
        bbm_put_u64(&record, e->index);
        bbm_put_u64(&record, e->term);
        bbm_put_u64(&record, e->kind);
        bbm_put_bytes(&record, e->data, e->len);
        add_record(out, &record);
    }
}

static void
add_snapshot(bbm_buf *out, const bbm_raft_snapshot *snapshot)
{
    bbm_buf record = {0};
    bbm_put_u64(&record, RECORD_SNAPSHOT);
    bbm_put_u64(&record, snapshot->index);
    bbm_put_u64(&record, snapshot->term);
    bbm_raft_group_encode(&snapshot->group, &record);
    bbm_put_bytes(&record, snapshot->data.data, snapshot->data.len);
    add_record(out, &record);
}

static void
truncate_entries(bbm_raft_saved *saved, uint64_t index)
{
    while (saved->len && saved->entries[saved->len - 1].index >= index) {
        saved->len--;
        free(saved->entries[saved->len].data);
    }
}

/* ---- entries that stay in the file ---- */

static void
read_stored_entry(void *context, uint64_t at, uint8_t *data, size_t len)
{
    const int *fd = context;
    if (store_read_at(*fd, at, data, len) == BBM_OK)
        return;
    fputs("an entry of the log can't be read again\n", stderr);
    abort();
}

static void
close_entry_file(void *context)
{
    int *fd = context;
    close(*fd);
    free(fd);
}

static int
open_entry_file(bbm_store *s, const char *name, bbm_store_report *report)
{
    int fd = openat(s->folder, name, O_RDONLY | O_CLOEXEC);
    if (fd < 0) {
        snprintf(report->failed_file, sizeof(report->failed_file), "%s", name);
        return BBM_ERR_IO;
    }
    int *context = bbm_calloc(1, sizeof(*context));
    *context = fd;
    s->saved.file = (bbm_entry_file){
        .read = read_stored_entry,
        .close = close_entry_file,
        .context = context,
    };
    return BBM_OK;
}

/* Large entries are read when they are applied: a log may have more bytes than
   the VM has memory. */
static bool
stays_in_file(const bbm_entry *e)
{
    return e->kind == BBM_ENTRY_COMMAND && e->len >= STORED_BYTES_MIN;
}

/* ---- loading ---- */

/* @p at: position of the record's payload in the file. */
static int
load_entry(bbm_store *s, bbm_reader *rd, uint64_t at)
{
    bbm_entry e = {.index = bbm_get_u64(rd)};
    e.term = bbm_get_u64(rd);
    e.kind = (bbm_entry_kind)bbm_get_u32(rd, BBM_ENTRY_GROUP);
    bbm_bytes data = bbm_get_bytes(rd);
    uint64_t expected = s->saved.snapshot.index + s->saved.len + 1;
    if (!bbm_reader_done(rd) || e.index != expected)
        return BBM_ERR_CORRUPT;
    e.len = data.len;
    if (stays_in_file(&e))
        e.stored_at = at + (uint64_t)(data.data - rd->data);
    else
        e.data = bbm_memdup(data.data, data.len);
    bbm_grow(&s->saved.entries, &s->saved_cap, s->saved.len, sizeof(e));
    s->saved.entries[s->saved.len++] = e;
    return BBM_OK;
}

static int
load_snapshot(bbm_store *s, bbm_reader *rd)
{
    bbm_raft_snapshot *snapshot = &s->saved.snapshot;
    snapshot->index = bbm_get_u64(rd);
    snapshot->term = bbm_get_u64(rd);
    bbm_raft_group_decode(rd, &snapshot->group);
    bbm_bytes data = bbm_get_bytes(rd);
    if (!bbm_reader_done(rd))
        return BBM_ERR_CORRUPT;
    bbm_buf_add(&snapshot->data, data.data, data.len);
    return BBM_OK;
}

static int
load_record(void *context, bbm_bytes payload, uint64_t at)
{
    bbm_store *s = context;
    bbm_reader rd = bbm_reader_of(payload.data, payload.len);
    record_kind kind = (record_kind)bbm_get_u32(&rd, RECORD_KIND_COUNT - 1);
    if (rd.failed)
        return BBM_ERR_CORRUPT;
    switch (kind) {
    case RECORD_IDENTITY:
        s->id = bbm_get_u64(&rd);
        break;
    case RECORD_HARD_STATE:
        s->saved.term = bbm_get_u64(&rd);
        s->saved.vote = bbm_get_u64(&rd);
        break;
    case RECORD_ENTRY:
        return load_entry(s, &rd, at);
    case RECORD_TRUNCATE:
        truncate_entries(&s->saved, bbm_get_u64(&rd));
        break;
    case RECORD_SNAPSHOT:
        return load_snapshot(s, &rd);
    case RECORD_KIND_COUNT:
        break;
    }
    return bbm_reader_done(&rd) ? BBM_OK : BBM_ERR_CORRUPT;
}

/* ---- opening ---- */

static void
file_name(char name[FILE_NAME_SIZE], uint64_t generation, const char *kind)
{
    snprintf(name, FILE_NAME_SIZE, "%020llu.%s",
             (unsigned long long)generation, kind);
}

static int
read_file(bbm_store *s, const char *name, uint64_t *valid_size, uint64_t *size,
          bbm_store_report *report)
{
    int rc =
        store_file_read(s->folder, name, load_record, s, valid_size, size);
    if (rc < 0)
        snprintf(report->failed_file, sizeof(report->failed_file), "%s", name);
    return rc;
}

/* Opens the folder for listing, or returns NULL. */
static DIR *
open_folder(const bbm_store *s)
{
    int fd = openat(s->folder, ".", O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    DIR *dir = fd >= 0 ? fdopendir(fd) : NULL;
    if (!dir && fd >= 0)
        close(fd);
    return dir;
}

/* Removes snapshots, logs and temporary files that don't belong to the current
   generation: they are outdated, or a crash left them incomplete. */
static void
remove_stale_files(bbm_store *s)
{
    char current_log[FILE_NAME_SIZE];
    char current_snapshot[FILE_NAME_SIZE];
    file_name(current_log, s->generation, "log");
    file_name(current_snapshot, s->generation, "snapshot");
    DIR *dir = open_folder(s);
    if (!dir)
        return;
    for (struct dirent *e; (e = readdir(dir)) != NULL;) {
        bool is_store_file = strstr(e->d_name, ".log")
                             || strstr(e->d_name, ".snapshot")
                             || strstr(e->d_name, ".tmp");
        bool is_current = strcmp(e->d_name, current_log) == 0
                          || strcmp(e->d_name, current_snapshot) == 0;
        if (is_store_file && !is_current)
            unlinkat(s->folder, e->d_name, 0);
    }
    closedir(dir);
}

/* Finds the highest generation whose log has its final name; 0 if there is
   none.  A folder that can't be listed is an error: it may have one. */
static int
find_generation(bbm_store *s, uint64_t *highest)
{
    *highest = 0;
    DIR *dir = open_folder(s);
    if (!dir)
        return BBM_ERR_IO;
    struct dirent *e;
    while (errno = 0, (e = readdir(dir)) != NULL) {
        char *end = NULL;
        uint64_t generation = strtoull(e->d_name, &end, 10);
        if (end != e->d_name && strcmp(end, ".log") == 0
            && generation > *highest)
            *highest = generation;
    }
    bool complete = errno == 0;
    closedir(dir);
    return complete ? BBM_OK : BBM_ERR_IO;
}

static int
open_log(const bbm_store *s, const char *name, int *fd)
{
    *fd = openat(s->folder, name, O_WRONLY | O_APPEND | O_CLOEXEC);
    return *fd < 0 ? BBM_ERR_IO : BBM_OK;
}

static void
use_log(bbm_store *s, int fd)
{
    if (s->log >= 0)
        close(s->log);
    s->log = fd;
}

/* Makes changed names durable. */
static int
sync_folder(bbm_store *s)
{
    s->folder_unsynced = fsync(s->folder) < 0;
    return s->folder_unsynced ? store_errno_code() : BBM_OK;
}

static int
create_identity(bbm_store *s, bbm_store_report *report)
{
    report->created = true;
    while (!s->id)
        bbm_random_bytes(&s->id, sizeof(s->id));
    bbm_buf record = {0};
    bbm_put_u64(&record, RECORD_IDENTITY);
    bbm_put_u64(&record, s->id);
    bbm_buf out = {0};
    add_record(&out, &record);
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
    uint64_t valid_size = 0;
    uint64_t size = 0;
    if (faccessat(s->folder, IDENTITY_FILE, F_OK, 0) < 0) {
        /* A folder with a log must not get a new identity: under it, the
           member could vote again in a term in which it has voted. */
        uint64_t generation;
        int rc = find_generation(s, &generation);
        if (rc < 0)
            return rc;
        if (generation) {
            snprintf(report->failed_file, sizeof(report->failed_file), "%s",
                     IDENTITY_FILE);
            return BBM_ERR_CORRUPT;
        }
        return create_identity(s, report);
    }
    int rc = read_file(s, IDENTITY_FILE, &valid_size, &size, report);
    if (rc == BBM_OK && !s->id) {
        snprintf(report->failed_file, sizeof(report->failed_file), "%s",
                 IDENTITY_FILE);
        return BBM_ERR_CORRUPT;
    }
    return rc;
}

/* Writes snapshot and log of the next generation and switches to them.  The
   generation becomes valid when the log is renamed to its final name.  The log
   is opened before, so that after the renaming no write can go to the old
   one. */
static int
write_pair(bbm_store *s, const bbm_buf *snapshot, const bbm_buf *log)
{
    char log_tmp[FILE_NAME_SIZE];
    char log_name[FILE_NAME_SIZE];
    char snap_name[FILE_NAME_SIZE];
    uint64_t generation = s->generation + 1;
    file_name(snap_name, generation, "snapshot");
    file_name(log_name, generation, "log");
    file_name(log_tmp, generation, "log.tmp");
    int rc = store_file_create(s->folder, snap_name, snapshot);
    if (rc == BBM_OK)
        rc = store_file_create(s->folder, log_tmp, log);
    int fd = -1;
    if (rc == BBM_OK)
        rc = open_log(s, log_tmp, &fd);
    if (rc == BBM_OK)
        rc = sync_folder(s);
    if (rc == BBM_OK && renameat(s->folder, log_tmp, s->folder, log_name) < 0)
        rc = store_errno_code();
    if (rc < 0) {
        if (fd >= 0)
            close(fd);
        unlinkat(s->folder, snap_name, 0);
        unlinkat(s->folder, log_tmp, 0);
        return rc;
    }
    use_log(s, fd);
    s->generation = generation;
    s->log_size = log->len;
    s->snapshot_size = snapshot->len;
    rc = sync_folder(s);
    if (rc == BBM_OK)
        remove_stale_files(s);
    return rc;
}

static int
read_pair(bbm_store *s, bbm_store_report *report)
{
    char name[FILE_NAME_SIZE];
    uint64_t valid_size = 0;
    int rc = find_generation(s, &s->generation);
    if (rc < 0)
        return rc;
    if (!s->generation) {
        bbm_buf empty = {0};
        return write_pair(s, &empty, &empty);
    }
    file_name(name, s->generation, "snapshot");
    rc = read_file(s, name, &valid_size, &s->snapshot_size, report);
    if (rc == BBM_OK && valid_size != s->snapshot_size) {
        snprintf(report->failed_file, sizeof(report->failed_file), "%s", name);
        return BBM_ERR_CORRUPT;
    }
    file_name(name, s->generation, "log");
    uint64_t size = 0;
    if (rc == BBM_OK)
        rc = open_entry_file(s, name, report);
    if (rc == BBM_OK)
        rc = read_file(s, name, &valid_size, &size, report);
    int fd = -1;
    if (rc == BBM_OK)
        rc = open_log(s, name, &fd);
    if (rc < 0)
        return rc;
    use_log(s, fd);
    report->torn_bytes = (size_t)(size - valid_size);
    s->log_size = valid_size;
    if (size > valid_size
        && (ftruncate(s->log, (off_t)valid_size) < 0 || fsync(s->log) < 0))
        return store_errno_code();
    remove_stale_files(s);
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
    truncate_entries(&store->saved, 0);
    free(store->saved.entries);
    bbm_buf_free(&store->saved.snapshot.data);
    if (store->saved.file.context)
        close_entry_file(store->saved.file.context);
    if (store->log >= 0)
        close(store->log);
    if (store->folder >= 0)
        close(store->folder);
    free(store);
}

/* ---- reading and writing ---- */

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
    /* The current log may not have its final name on disk yet. */
    int rc = store->folder_unsynced ? sync_folder(store) : BBM_OK;
    if (rc < 0)
        return rc;
    rc = store_write_all(store->log, log->data, log->len);
    if (rc == BBM_OK && fdatasync(store->log) < 0)
        rc = store_errno_code();
    /* Remove what may have been written in part. */
    if (rc < 0 && ftruncate(store->log, (off_t)store->log_size) < 0)
        rc = BBM_ERR_IO;
    if (rc == BBM_OK)
        store->log_size += log->len;
    return rc;
}

int
bbm_store_write(bbm_store *store, const bbm_raft_persist *writes, size_t len)
{
    bbm_buf log = {0};
    bbm_buf snapshot = {0};
    for (size_t i = 0; i < len; i++) {
        assert(len == 1 || !writes[i].snapshot);
        add_hard_state(&log, &writes[i]);
        add_entries(&log, &writes[i]);
    }
    int rc;
    if (len == 1 && writes[0].snapshot) {
        add_snapshot(&snapshot, writes[0].snapshot);
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
