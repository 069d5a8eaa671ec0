#include "disk.h"

#include "control.h"

#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define MAILBOX_SIZE 65536
#define IDLE_WAIT_MS 200
#define RETRY_PERIOD_US 500000
#define BATCH_STEPS_MAX 256

struct disk {
    bbm_store *store;
    mailbox *control;
    mailbox *box;
    pthread_t thread;
    atomic_bool stop;
    atomic_ullong stored; /* bytes of the folder */
};

static void
confirm(disk *d, uint64_t seq)
{
    control_item *item = control_item_create(CONTROL_PERSISTED);
    item->id = seq;
    mailbox_put_waiting(d->control, item);
}

static void
report_failure(disk *d, int code)
{
    control_item *item = control_item_create(CONTROL_LOG);
    item->event = BBM_EVENT_STORE_FAILED;
    bbm_name_set(item->name, bbm_code_name(code));
    mailbox_put_waiting(d->control, item);
}

/* Steps that are written together, with one sync. */
typedef struct batch {
    bbm_raft_persist steps[BATCH_STEPS_MAX];
    size_t len;
} batch;

/* Writes a batch and confirms its last step.  A failed write is retried until
   it succeeds or the thread is to stop; a batch that was not written is never
   confirmed. */
static void
write_batch(disk *d, batch *b)
{
    int rc;
    bool reported = false;
    while ((rc = bbm_store_write(d->store, b->steps, b->len)) < 0) {
        if (!reported)
            report_failure(d, rc);
        reported = true;
        if (atomic_load(&d->stop))
            break;
        usleep(RETRY_PERIOD_US);
    }
    if (rc == BBM_OK)
        confirm(d, b->steps[b->len - 1].seq);
    for (size_t i = 0; i < b->len; i++)
        bbm_raft_persist_free(&b->steps[i]);
    atomic_store(&d->stored, bbm_store_size(d->store));
    b->len = 0;
}

/* Moves the steps that were queued during the last sync into the batch, so
   that one sync covers them all.  A step with a snapshot is written alone, as
   the store requires.  Returns false if the batch is empty. */
static bool
collect_batch(disk *d, batch *b)
{
    while (b->len < BATCH_STEPS_MAX) {
        bbm_raft_persist *p = mailbox_take(d->box);
        if (!p)
            break;
        if (p->snapshot && b->len)
            write_batch(d, b);
        b->steps[b->len++] = *p;
        bool alone = p->snapshot != NULL;
        free(p);
        if (alone)
            write_batch(d, b);
    }
    return b->len > 0;
}

static void *
run(void *context)
{
    disk *d = context;
    batch *b = bbm_calloc(1, sizeof(*b));
    for (;;) {
        if (collect_batch(d, b)) {
            write_batch(d, b);
            continue;
        }
        if (atomic_load(&d->stop))
            break;
        mailbox_wait(d->box, IDLE_WAIT_MS);
    }
    free(b);
    return NULL;
}

disk *
disk_create(bbm_store *store, mailbox *control)
{
    disk *d = bbm_calloc(1, sizeof(*d));
    d->store = store;
    atomic_init(&d->stored, bbm_store_size(store));
    d->control = control;
    d->box = mailbox_create(MAILBOX_SIZE);
    if (pthread_create(&d->thread, NULL, run, d) != 0)
        abort();
    return d;
}

bbm_member_id
disk_load(disk *d, bbm_raft_saved *saved)
{
    bbm_store_load(d->store, saved);
    return bbm_store_id(d->store);
}

void
disk_write(disk *d, bbm_raft_persist *persist)
{
    bbm_raft_persist *p = bbm_calloc(1, sizeof(*p));
    *p = *persist;
    *persist = (bbm_raft_persist){0};
    mailbox_put_waiting(d->box, p);
}

uint64_t
disk_stored_bytes(const disk *d)
{
    return atomic_load(&d->stored);
}

void
disk_destroy(disk *d)
{
    if (!d)
        return;
    atomic_store(&d->stop, true);
    pthread_join(d->thread, NULL);
    bbm_raft_persist *p;
    while ((p = mailbox_take(d->box)) != NULL) {
        bbm_raft_persist_free(p);
        free(p);
    }
    mailbox_destroy(d->box);
    bbm_store_close(d->store);
    free(d);
}
