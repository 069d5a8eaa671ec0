#include "bbm_codes.h"
#include "bbm_store.h"
#include "test_main.h"

#include <dirent.h>
#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/stat.h>
#include <unistd.h>

static char folder[64];

static void
make_folder(void)
{
    strcpy(folder, "/tmp/bbm-store-XXXXXX");
    ck_assert_ptr_nonnull(mkdtemp(folder));
}

static void
remove_folder(void)
{
    char path[512];
    DIR *dir = opendir(folder);
    for (struct dirent *e; (e = readdir(dir)) != NULL;) {
        snprintf(path, sizeof(path), "%s/%s", folder, e->d_name);
        unlink(path);
    }
    closedir(dir);
    rmdir(folder);
}

/* Gives the path of a file whose name contains @p name_part. */
static void
find_file(const char *name_part, char path[512])
{
    DIR *dir = opendir(folder);
    path[0] = '\0';
    for (struct dirent *e; (e = readdir(dir)) != NULL;) {
        if (strstr(e->d_name, name_part))
            snprintf(path, 512, "%s/%s", folder, e->d_name);
    }
    closedir(dir);
    ck_assert(path[0]);
}

static int
write_entry(bbm_store *s, uint64_t index, const char *text)
{
    bbm_entry e = {.index = index,
                   .term = 1,
                   .kind = BBM_ENTRY_COMMAND,
                   .data = (uint8_t *)(uintptr_t)text,
                   .len = strlen(text)};
    bbm_raft_persist p = {
        .seq = index, .term = 1, .vote = 7, .entries = &e, .len = 1};
    return bbm_store_write(s, &p, 1);
}

static bbm_store *
open_store(bbm_store_report *report)
{
    bbm_store *s = NULL;
    ck_assert_int_eq(bbm_store_open(folder, &s, report), 0);
    return s;
}

/* Opens the store again and reads what it has saved. */
static bbm_store *
reopen(bbm_store *s, bbm_store_report *report, bbm_raft_saved *saved)
{
    bbm_store_close(s);
    s = open_store(report);
    bbm_store_load(s, saved);
    return s;
}

static void
free_saved(bbm_raft_saved *saved)
{
    for (size_t i = 0; i < saved->len; i++)
        free(saved->entries[i].data);
    free(saved->entries);
    bbm_buf_free(&saved->snapshot.data);
}

START_TEST(written_entries_are_read_back)
{
    bbm_store_report report;
    make_folder();
    bbm_store *s = open_store(&report);
    ck_assert(report.created);
    bbm_member_id id = bbm_store_id(s);
    ck_assert_int_eq(write_entry(s, 1, "one"), 0);
    ck_assert_int_eq(write_entry(s, 2, "two"), 0);
    bbm_raft_saved saved;
    s = reopen(s, &report, &saved);
    ck_assert(!report.created);
    ck_assert_uint_eq(bbm_store_id(s), id);
    ck_assert_uint_eq(saved.term, 1);
    ck_assert_uint_eq(saved.vote, 7);
    ck_assert_uint_eq(saved.len, 2);
    ck_assert_mem_eq(saved.entries[1].data, "two", 3);
    free_saved(&saved);
    bbm_store_close(s);
    remove_folder();
}
END_TEST

START_TEST(batched_writes_are_read_back)
{
    bbm_store_report report;
    make_folder();
    bbm_store *s = open_store(&report);
    bbm_entry entries[3];
    bbm_raft_persist writes[3];
    for (uint64_t i = 0; i < 3; i++) {
        entries[i] = (bbm_entry){.index = i + 1,
                                 .term = 1,
                                 .kind = BBM_ENTRY_COMMAND,
                                 .data = (uint8_t *)"abc" + i,
                                 .len = 1};
        writes[i] = (bbm_raft_persist){
            .seq = i + 1, .term = i + 1, .entries = &entries[i], .len = 1};
    }
    ck_assert_int_eq(bbm_store_write(s, writes, 3), 0);
    bbm_raft_saved saved;
    s = reopen(s, &report, &saved);
    ck_assert_uint_eq(saved.len, 3);
    ck_assert_uint_eq(saved.term, 3);
    ck_assert_mem_eq(saved.entries[2].data, "c", 1);
    free_saved(&saved);
    bbm_store_close(s);
    remove_folder();
}
END_TEST

START_TEST(torn_tail_is_truncated_to_complete_records)
{
    bbm_store_report report;
    char path[512];
    make_folder();
    bbm_store *s = open_store(&report);
    write_entry(s, 1, "one");
    off_t first_record_end = (off_t)bbm_store_size(s);
    write_entry(s, 2, "two");
    off_t end = (off_t)bbm_store_size(s);
    bbm_store_close(s);
    find_file(".log", path);
    /* Every length that truncates the second entry leaves the first one. */
    for (off_t size = end - 1; size >= first_record_end; size--) {
        ck_assert_int_eq(truncate(path, size), 0);
        s = open_store(&report);
        bbm_raft_saved saved;
        bbm_store_load(s, &saved);
        ck_assert_uint_eq(saved.len, 1);
        free_saved(&saved);
        bbm_store_close(s);
    }
    remove_folder();
}
END_TEST

START_TEST(corruption_error_names_the_file)
{
    bbm_store_report report;
    char path[512];
    make_folder();
    bbm_store *s = open_store(&report);
    write_entry(s, 1, "one");
    write_entry(s, 2, "two");
    bbm_store_close(s);
    find_file(".log", path);
    int fd = open(path, O_RDWR);
    uint8_t byte;
    ck_assert_int_eq(pread(fd, &byte, 1, 20), 1);
    byte ^= 1;
    ck_assert_int_eq(pwrite(fd, &byte, 1, 20), 1);
    close(fd);
    ck_assert_int_eq(bbm_store_open(folder, &s, &report), BBM_ERR_CORRUPT);
    ck_assert_ptr_null(s);
    ck_assert_ptr_nonnull(strstr(report.failed_file, ".log"));
    remove_folder();
}
END_TEST

START_TEST(lost_identity_is_not_replaced)
{
    bbm_store_report report;
    char path[512];
    make_folder();
    bbm_store *s = open_store(&report);
    write_entry(s, 1, "one");
    bbm_store_close(s);
    find_file("identity", path);
    unlink(path);
    ck_assert_int_eq(bbm_store_open(folder, &s, &report), BBM_ERR_CORRUPT);
    remove_folder();
}
END_TEST

START_TEST(snapshot_replaces_the_log)
{
    bbm_store_report report;
    make_folder();
    bbm_store *s = open_store(&report);
    for (uint64_t i = 1; i <= 5; i++)
        write_entry(s, i, "entry");
    bbm_raft_snapshot snap = {.index = 4, .term = 1};
    snap.group.len = 1;
    snap.group.members[0].id = 9;
    bbm_buf_add(&snap.data, "state", 5);
    bbm_entry e = {.index = 5, .term = 1, .data = (uint8_t *)"x", .len = 1};
    bbm_raft_persist p = {
        .seq = 6, .term = 2, .snapshot = &snap, .entries = &e, .len = 1};
    ck_assert_int_eq(bbm_store_write(s, &p, 1), 0);
    bbm_buf_free(&snap.data);
    bbm_raft_saved saved;
    s = reopen(s, &report, &saved);
    ck_assert_uint_eq(saved.snapshot.index, 4);
    ck_assert_uint_eq(saved.snapshot.group.members[0].id, 9);
    ck_assert_uint_eq(saved.len, 1);
    ck_assert_uint_eq(saved.term, 2);
    free_saved(&saved);
    bbm_store_close(s);
    remove_folder();
}
END_TEST

START_TEST(write_succeeds_after_disk_full)
{
    bbm_store_report report;
    struct rlimit old;
    make_folder();
    bbm_store *s = open_store(&report);
    ck_assert_int_eq(write_entry(s, 1, "one"), 0);
    getrlimit(RLIMIT_FSIZE, &old);
    signal(SIGXFSZ, SIG_IGN);
    struct rlimit small = {.rlim_cur = 200, .rlim_max = old.rlim_max};
    setrlimit(RLIMIT_FSIZE, &small);
    char large[1000];
    memset(large, 'x', sizeof(large));
    large[sizeof(large) - 1] = '\0';
    /* No assertion under the limit: the test framework also writes files. */
    int rc = write_entry(s, 2, large);
    setrlimit(RLIMIT_FSIZE, &old);
    ck_assert_int_eq(rc, BBM_ERR_DISK_FULL);
    ck_assert_int_eq(write_entry(s, 2, "two"), 0);
    bbm_raft_saved saved;
    s = reopen(s, &report, &saved);
    ck_assert_uint_eq(report.torn_bytes, 0);
    ck_assert_uint_eq(saved.len, 2);
    ck_assert_mem_eq(saved.entries[1].data, "two", 3);
    free_saved(&saved);
    bbm_store_close(s);
    remove_folder();
}
END_TEST

/* ---- failing calls ---- */

/* The linker's --wrap option directs the store's calls here. */
typedef enum faulty_call {
    FAULTY_NONE,
    FAULTY_LISTING,  /* listing the folder */
    FAULTY_OPEN_LOG, /* opening a log for appending */
    FAULTY_SYNC,     /* the sync of the folder after the next renaming */
} faulty_call;

static faulty_call faulty;
static bool renamed;

DIR *real_fdopendir(int fd) __asm__("__real_fdopendir");
int real_openat(int folder, const char *name, int flags,
                mode_t mode) __asm__("__real_openat");
int real_fsync(int fd) __asm__("__real_fsync");
int real_renameat(int from, const char *old, int to,
                  const char *name) __asm__("__real_renameat");
DIR *wrap_fdopendir(int fd) __asm__("__wrap_fdopendir");
int wrap_openat(int folder, const char *name, int flags,
                mode_t mode) __asm__("__wrap_openat");
int wrap_fsync(int fd) __asm__("__wrap_fsync");
int wrap_renameat(int from, const char *old, int to,
                  const char *name) __asm__("__wrap_renameat");

DIR *
wrap_fdopendir(int fd)
{
    if (faulty == FAULTY_LISTING) {
        errno = EMFILE;
        return NULL;
    }
    return real_fdopendir(fd);
}

int
wrap_openat(int folder_fd, const char *name, int flags, mode_t mode)
{
    if (faulty == FAULTY_OPEN_LOG && (flags & O_APPEND)) {
        errno = EMFILE;
        return -1;
    }
    return real_openat(folder_fd, name, flags, mode);
}

int
wrap_fsync(int fd)
{
    if (faulty == FAULTY_SYNC && renamed) {
        errno = EIO;
        return -1;
    }
    return real_fsync(fd);
}

int
wrap_renameat(int from, const char *old, int to, const char *name)
{
    renamed = true;
    return real_renameat(from, old, to, name);
}

/* An empty identity file name and a log: the identity was lost.  A folder that
   can't be listed must not be taken for an empty one, which would get a new
   identity or a fresh generation over an existing one. */
START_TEST(folder_that_cannot_be_listed_is_an_error)
{
    bbm_store_report report;
    make_folder();
    bbm_store *s = open_store(&report);
    ck_assert_int_eq(write_entry(s, 1, "one"), 0);
    bbm_store_close(s);
    faulty = FAULTY_LISTING;
    int rc = bbm_store_open(folder, &s, &report);
    faulty = FAULTY_NONE;
    ck_assert_int_eq(rc, BBM_ERR_IO);
    s = open_store(&report);
    ck_assert(!report.created);
    bbm_raft_saved saved;
    bbm_store_load(s, &saved);
    ck_assert_uint_eq(saved.len, 1);
    free_saved(&saved);
    bbm_store_close(s);
    remove_folder();
}
END_TEST

static int
write_snapshot(bbm_store *s, uint64_t index)
{
    bbm_raft_snapshot snapshot = {.index = index, .term = 1};
    bbm_buf_add(&snapshot.data, "state", 5);
    bbm_raft_persist p = {
        .seq = index, .term = 1, .vote = 7, .snapshot = &snapshot};
    int rc = bbm_store_write(s, &p, 1);
    bbm_buf_free(&snapshot.data);
    return rc;
}

/* A snapshot whose log can't be opened leaves the old log in force: later
   writes are read back.  They went to the old log while the new one was the
   valid one. */
START_TEST(writes_after_a_failed_snapshot_are_read_back)
{
    bbm_store_report report;
    make_folder();
    bbm_store *s = open_store(&report);
    ck_assert_int_eq(write_entry(s, 1, "one"), 0);
    faulty = FAULTY_OPEN_LOG;
    int rc = write_snapshot(s, 1);
    faulty = FAULTY_NONE;
    ck_assert_int_lt(rc, 0);
    ck_assert_int_eq(write_entry(s, 2, "two"), 0);
    bbm_raft_saved saved;
    s = reopen(s, &report, &saved);
    ck_assert_uint_eq(saved.len, 2);
    ck_assert_mem_eq(saved.entries[1].data, "two", 3);
    free_saved(&saved);
    bbm_store_close(s);
    remove_folder();
}
END_TEST

/* While the name of the current log may not be durable, no write to it
   succeeds. */
START_TEST(writes_need_the_log_to_have_its_name)
{
    bbm_store_report report;
    make_folder();
    bbm_store *s = open_store(&report);
    ck_assert_int_eq(write_entry(s, 1, "one"), 0);
    renamed = false;
    faulty = FAULTY_SYNC;
    int rc = write_snapshot(s, 1);
    int rc_entry = write_entry(s, 2, "two");
    faulty = FAULTY_NONE;
    ck_assert_int_lt(rc, 0);
    ck_assert_int_lt(rc_entry, 0);
    ck_assert_int_eq(write_entry(s, 2, "two"), 0);
    bbm_raft_saved saved;
    s = reopen(s, &report, &saved);
    ck_assert_uint_eq(saved.snapshot.index, 1);
    ck_assert_uint_eq(saved.len, 1);
    ck_assert_mem_eq(saved.entries[0].data, "two", 3);
    free_saved(&saved);
    bbm_store_close(s);
    remove_folder();
}
END_TEST

/* ---- long logs ---- */

#define LONG_ENTRIES 400
#define LONG_ENTRY_BYTES 150000
/* Some entries, and what the test itself has. */
#define START_BYTES_MAX ((size_t)8 * 1024 * 1024)

static void
write_long_log(bbm_store *s)
{
    bbm_raft_group group = {.len = 1};
    group.members[0] = (bbm_raft_member){.id = bbm_store_id(s), .voter = true};
    bbm_buf encoded = {0};
    bbm_raft_group_encode(&group, &encoded);
    BBM_AUTO_FREE uint8_t *data = bbm_calloc(LONG_ENTRY_BYTES, 1);
    for (uint64_t i = 1; i <= LONG_ENTRIES; i++) {
        memset(data, (int)i, LONG_ENTRY_BYTES);
        bbm_entry e = {.index = i,
                       .term = 1,
                       .kind = BBM_ENTRY_COMMAND,
                       .data = data,
                       .len = LONG_ENTRY_BYTES};
        if (i == 1) {
            e.kind = BBM_ENTRY_GROUP;
            e.data = encoded.data;
            e.len = encoded.len;
        }
        bbm_raft_persist p = {.seq = i, .term = 1, .entries = &e, .len = 1};
        ck_assert_int_eq(bbm_store_write(s, &p, 1), 0);
    }
    bbm_buf_free(&encoded);
}

/* The largest resident size since the last reset, bytes. */
static size_t
peak_bytes(void)
{
    char line[256];
    long kib = 0;
    FILE *in = fopen("/proc/self/status", "re");
    while (in && fgets(line, sizeof(line), in)) {
        if (strncmp(line, "VmHWM:", 6) == 0)
            kib = strtol(line + 6, NULL, 10);
    }
    if (in)
        fclose(in);
    return (size_t)kib * 1024;
}

static bool
reset_peak(void)
{
    FILE *out = fopen("/proc/self/clear_refs", "we");
    bool reset = out && fputs("5", out) >= 0;
    return out && fclose(out) == 0 && reset;
}

/* Leads the group of one member, and returns the number of commands that are
   applied, each with the bytes that were written. */
static int
apply_all(bbm_store *s, bbm_raft *r)
{
    int applied = 0;
    bbm_raft_output *out;
    for (bbm_time now = 0; now < 5 * BBM_SECOND; now += 10 * BBM_MS) {
        bbm_raft_tick(r, now);
        while ((out = bbm_raft_next_output(r)) != NULL) {
            if (out->kind == BBM_RAFT_PERSIST) {
                ck_assert_int_eq(bbm_store_write(s, &out->u.persist, 1), 0);
                bbm_raft_persisted(r, out->u.persist.seq, now);
                continue;
            }
            if (out->kind != BBM_RAFT_COMMIT
                || out->u.commit.kind != BBM_ENTRY_COMMAND)
                continue;
            const bbm_entry *e = &out->u.commit;
            ck_assert_uint_eq(e->len, LONG_ENTRY_BYTES);
            ck_assert_uint_eq(e->data[0], (uint8_t)e->index);
            ck_assert_uint_eq(e->data[e->len - 1], (uint8_t)e->index);
            applied++;
        }
    }
    return applied;
}

/* A VM that was killed for its memory read the same log at its next start, as
   a whole, and again for each entry to apply (issue 76). */
START_TEST(start_with_a_long_log_holds_few_entries)
{
    make_folder();
    bbm_store_report report;
    bbm_store *s = open_store(&report);
    write_long_log(s);
    bbm_store_close(s);
    ck_assert(reset_peak());
    size_t before = peak_bytes();
    s = open_store(&report);
    bbm_raft_saved saved;
    bbm_store_load(s, &saved);
    bbm_raft *r = bbm_raft_create(
        &(bbm_raft_desc){.id = bbm_store_id(s), .seed = 1, .saved = &saved});
    ck_assert_int_eq(apply_all(s, r), LONG_ENTRIES - 1);
#ifndef __SANITIZE_ADDRESS__
    ck_assert_uint_lt(peak_bytes() - before, START_BYTES_MAX);
#endif
    bbm_buf snapshot = {0};
    bbm_put_u64(&snapshot, 7);
    bbm_raft_compact(r, LONG_ENTRIES, snapshot);
    ck_assert_uint_eq(bbm_raft_log_bytes(r), 0);
    bbm_raft_destroy(r);
    bbm_store_close(s);
    remove_folder();
}
END_TEST

TEST_MAIN("store", start_with_a_long_log_holds_few_entries,
          written_entries_are_read_back, batched_writes_are_read_back,
          torn_tail_is_truncated_to_complete_records,
          corruption_error_names_the_file, lost_identity_is_not_replaced,
          snapshot_replaces_the_log, write_succeeds_after_disk_full,
          folder_that_cannot_be_listed_is_an_error,
          writes_after_a_failed_snapshot_are_read_back,
          writes_need_the_log_to_have_its_name);
