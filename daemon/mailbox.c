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

/* The ring orders its items by fences that the thread sanitizer can't see: it
   is told that what was put happened before what is taken. */
#if defined(__SANITIZE_THREAD__)
void __tsan_acquire(void *address);
void __tsan_release(void *address);
#define ORDER_PUT(item) __tsan_release(item)
#define ORDER_TAKEN(item) __tsan_acquire(item)
#else
#define ORDER_PUT(item) ((void)(item))
#define ORDER_TAKEN(item) ((void)(item))
#endif

struct mailbox {
    ck_ring_t ring;
    ck_ring_buffer_t *buffer;
    int event;
};

mailbox *
mailbox_create(unsigned size)
{
    assert(size >= 4 && (size & (size - 1)) == 0);
    mailbox *box = bbm_calloc(1, sizeof(*box));
    box->buffer = bbm_calloc(size, sizeof(*box->buffer));
    ck_ring_init(&box->ring, size);
    box->event = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
    assert(box->event >= 0);
    return box;
}

void
mailbox_destroy(mailbox *box)
{
    if (!box)
        return;
    close(box->event);
    free(box->buffer);
    free(box);
}

bool
mailbox_put(mailbox *box, void *item)
{
    ORDER_PUT(item);
    if (!ck_ring_enqueue_mpsc(&box->ring, box->buffer, item))
        return false;
    uint64_t one = 1;
    ssize_t n = write(box->event, &one, sizeof(one));
    (void)n; /* a full counter wakes as well */
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
    ORDER_TAKEN(item);
    return item;
}

void
mailbox_wait(mailbox *box, int ms)
{
    struct pollfd fd = {.fd = box->event, .events = POLLIN};
    if (poll(&fd, 1, ms) <= 0)
        return;
    uint64_t count;
    ssize_t n = read(box->event, &count, sizeof(count));
    (void)n;
}
