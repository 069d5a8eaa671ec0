#include "descriptors.h"

#include "bbm_mem.h"
#include "control.h"

#include <dirent.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <sys/resource.h>

/* Part of the descriptors that is kept for upstreams, VMs and files. */
#define RESERVED_PART 8
/* Used if the process's limit can't be read, or is none. */
#define LIMIT_DEFAULT 65536

struct descriptors {
    pthread_mutex_t lock; /* taken before that of a listener's clients */
    size_t limit;
    size_t reserved;
    atomic_size_t connections; /* of clients */
    atomic_size_t others;      /* when they were counted last */
    TAILQ_HEAD(, descriptors_user) users;
};

static size_t
process_limit(void)
{
    struct rlimit limit;
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0
        || limit.rlim_cur == RLIM_INFINITY)
        return LIMIT_DEFAULT;
    return (size_t)limit.rlim_cur;
}

descriptors *
descriptors_create(size_t limit)
{
    descriptors *d = bbm_calloc(1, sizeof(*d));
    pthread_mutex_init(&d->lock, NULL);
    if (!limit)
        limit = process_limit();
    d->limit = limit;
    d->reserved = limit / RESERVED_PART;
    TAILQ_INIT(&d->users);
    return d;
}

void
descriptors_destroy(descriptors *d)
{
    if (!d)
        return;
    pthread_mutex_destroy(&d->lock);
    free(d);
}

void
descriptors_add(descriptors *d, descriptors_user *user)
{
    if (!d)
        return;
    pthread_mutex_lock(&d->lock);
    TAILQ_INSERT_TAIL(&d->users, user, link);
    pthread_mutex_unlock(&d->lock);
}

void
descriptors_remove(descriptors *d, descriptors_user *user)
{
    if (!d)
        return;
    pthread_mutex_lock(&d->lock);
    TAILQ_REMOVE(&d->users, user, link);
    pthread_mutex_unlock(&d->lock);
}

/* True if more are open than the limit less a part of those that are
   reserved. */
static bool
exceeds(const descriptors *d, size_t free_min)
{
    return atomic_load(&d->connections) + atomic_load(&d->others) + free_min
           >= d->limit;
}

bool
descriptors_may_accept(const descriptors *d, bool first)
{
    if (!d)
        return true;
    size_t free_min = first ? d->reserved / 2 : d->reserved / 4 * 3;
    return !exceeds(d, free_min);
}

bool
descriptors_evict(descriptors *d)
{
    descriptors_user *most = NULL;
    size_t most_len = 0;
    pthread_mutex_lock(&d->lock);
    descriptors_user *user;
    TAILQ_FOREACH(user, &d->users, link)
    {
        size_t len = clients_waiting(user->clients);
        if (len > most_len) {
            most = user;
            most_len = len;
        }
    }
    clients_report report;
    bool evicted =
        most && clients_evict(most->clients, control_now(), &report);
    if (evicted)
        most->closed(most->context, &report);
    pthread_mutex_unlock(&d->lock);
    return evicted;
}

void
descriptors_open(descriptors *d)
{
    if (!d)
        return;
    if (exceeds(d, d->reserved))
        descriptors_evict(d);
    atomic_fetch_add(&d->connections, 1);
}

void
descriptors_close(descriptors *d)
{
    if (!d)
        return;
    atomic_fetch_sub(&d->connections, 1);
}

/* A folder that can't be opened for want of descriptors tells as much. */
void
descriptors_sample(descriptors *d)
{
    if (!d)
        return;
    size_t open = 0;
    DIR *dir = opendir("/proc/self/fd");
    while (dir && readdir(dir))
        open++;
    if (dir)
        closedir(dir);
    else
        open = d->limit;
    size_t connections = atomic_load(&d->connections);
    atomic_store(&d->others, open > connections ? open - connections : 0);
}
