#include "mailbox.h"

#include "bbm_mem.h"

#include <assert.h>
#include <ck_ring.h>
#include <errno.h>
#include <poll.h>
#include <sched.h>
#include <stdint.h>
#include <stdlib.h>
#include <sys/eventfd.h>
#include <unistd.h>

/* The ring synchronises with fences, which the thread sanitizer doesn't
   support.  These annotations state that the put of an item happens before
   its take. */
#if defined(__SANITIZE_THREAD__)
void __tsan_acquire(void *address);
void __tsan_release(void *address);
#define TSAN_RELEASE(item) __tsan_release(item)
#define TSAN_ACQUIRE(item) __tsan_acquire(item)
#else
#define TSAN_RELEASE(item) ((void)(item))
#define TSAN_ACQUIRE(item) ((void)(item))
#endif

struct mailbox {
    ck_ring_t ring;
    ck_ring_buffer_t *buffer;
    int event_fd;
    memory_budget *memory; /* NULL: none */
    mailbox_bytes_fn *bytes_of;
};

mailbox *
mailbox_create(unsigned size)
{
    assert(size >= 4 && (size & (size - 1)) == 0);
    mailbox *box = bbm_calloc(1, sizeof(*box));
    box->buffer = bbm_calloc(size, sizeof(*box->buffer));
    ck_ring_init(&box->ring, size);
    box->event_fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
    assert(box->event_fd >= 0);
    return box;
}

void
mailbox_destroy(mailbox *box)
{
    if (!box)
        return;
    close(box->event_fd);
    free(box->buffer);
    free(box);
}

void
mailbox_set_memory(mailbox *box, memory_budget *memory,
                   mailbox_bytes_fn *bytes_of)
{
    box->memory = memory;
    box->bytes_of = bytes_of;
}

memory_budget *
mailbox_memory(const mailbox *box)
{
    return box->memory;
}

static size_t
bytes_of(const mailbox *box, const void *item)
{
    return box->memory ? box->bytes_of(item) : 0;
}

static bool
enqueue(mailbox *box, void *item)
{
    TSAN_RELEASE(item);
    if (!ck_ring_enqueue_mpsc(&box->ring, box->buffer, item))
        return false;
    uint64_t one = 1;
    ssize_t n = write(box->event_fd, &one, sizeof(one));
    (void)n; /* fails only with a full counter, which wakes the consumer too */
    return true;
}

bool
mailbox_put(mailbox *box, void *item)
{
    size_t bytes = bytes_of(box, item);
    if (!memory_budget_take_own(box->memory, MEMORY_MAILBOX, bytes))
        return false;
    bool put = enqueue(box, item);
    if (!put)
        memory_budget_give(box->memory, MEMORY_MAILBOX, bytes);
    return put;
}

void
mailbox_put_waiting(mailbox *box, void *item)
{
    memory_budget_force(box->memory, MEMORY_MAILBOX, bytes_of(box, item));
    while (!enqueue(box, item))
        sched_yield();
}

void *
mailbox_take(mailbox *box)
{
    void *item = NULL;
    if (!ck_ring_dequeue_mpsc(&box->ring, box->buffer, &item))
        return NULL;
    TSAN_ACQUIRE(item);
    memory_budget_give(box->memory, MEMORY_MAILBOX, bytes_of(box, item));
    return item;
}

void
mailbox_wait(mailbox *box, int ms)
{
    struct pollfd fd = {.fd = box->event_fd, .events = POLLIN};
    if (poll(&fd, 1, ms) <= 0)
        return;
    uint64_t count;
    ssize_t n = read(box->event_fd, &count, sizeof(count));
    (void)n;
}
