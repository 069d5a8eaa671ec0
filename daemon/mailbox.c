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

bool
mailbox_put(mailbox *box, void *item)
{
    TSAN_RELEASE(item);
    if (!ck_ring_enqueue_mpsc(&box->ring, box->buffer, item))
        return false;
    uint64_t one = 1;
    ssize_t n = write(box->event_fd, &one, sizeof(one));
    (void)n; /* fails only with a full counter, which wakes the consumer too */
    return true;
}

void
mailbox_put_waiting(mailbox *box, void *item)
{
    while (!mailbox_put(box, item))
        sched_yield();
}

void *
mailbox_take(mailbox *box)
{
    void *item = NULL;
    if (!ck_ring_dequeue_mpsc(&box->ring, box->buffer, &item))
        return NULL;
    TSAN_ACQUIRE(item);
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
