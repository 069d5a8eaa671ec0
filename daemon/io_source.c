#include "io_source.h"

#include "bbm_log.h"
#include "link.h"

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

/* Probes of an idle connection.  A connection that is used shows its end
   sooner; these only release what would be held for nobody. */
#define PROBE_IDLE_S 20
#define PROBE_INTERVAL_S 1

bool
io_source_watch(int epoll, int operation, io_source *s, uint32_t events)
{
    struct epoll_event event = {.events = events, .data.ptr = s};
    return epoll_ctl(epoll, operation, s->fd, &event) == 0;
}

void
io_source_wake(int eventfd)
{
    uint64_t one = 1;
    /* It fails only with a full counter, which wakes the thread too. */
    (void)!write(eventfd, &one, sizeof(one));
}

bool
io_source_set_option(int fd, int level, int option, int value)
{
    return setsockopt(fd, level, option, &value, sizeof(value)) == 0;
}

/* A connection whose packets are lost without a reset looks open for as long
   as the kernel sends its bytes again, a quarter of an hour.  The peer's
   kernel acknowledges what it gets, also while the peer is frozen, slow or has
   nothing to say, so a limit on the time without one is the proof that is
   needed. */
void
io_source_set_timeouts(int fd, const char *address)
{
    bool set =
        io_source_set_option(fd, IPPROTO_TCP, TCP_USER_TIMEOUT,
                             LINK_UNACKED_TIMEOUT / BBM_MS)
        && io_source_set_option(fd, SOL_SOCKET, SO_KEEPALIVE, 1)
        && io_source_set_option(fd, IPPROTO_TCP, TCP_KEEPIDLE, PROBE_IDLE_S)
        && io_source_set_option(fd, IPPROTO_TCP, TCP_KEEPINTVL,
                                PROBE_INTERVAL_S)
        && io_source_set_option(fd, IPPROTO_TCP, TCP_NODELAY, 1);
    if (!set)
        bbm_log(BBM_EVENT_LINK_OPTIONS, "address", address, "error",
                strerrorname_np(errno), NULL);
}
