/* Preloaded into a daemon of a soak, so that it can be cut from the upstreams
   alone: its connections to these come from its VM's address, SOAK_CUT_SOURCE,
   and are refused while the file SOAK_CUT_FILE is there. */
#include <arpa/inet.h>
#include <dlfcn.h>
#include <errno.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define UPSTREAM_IP 0x7f000301 /* 127.0.3.1 */

typedef int connect_function(int fd, const struct sockaddr *to, socklen_t len);

static int
is_upstream(const struct sockaddr *to, socklen_t len)
{
    struct sockaddr_in address;
    if (to->sa_family != AF_INET || len < sizeof(address))
        return 0;
    memcpy(&address, to, sizeof(address));
    return address.sin_addr.s_addr == htonl(UPSTREAM_IP);
}

static void
bind_source(int fd)
{
    const char *source = getenv("SOAK_CUT_SOURCE");
    struct sockaddr_in address = {.sin_family = AF_INET};
    int on = 1;
    if (!source || inet_pton(AF_INET, source, &address.sin_addr) != 1)
        abort();
    setsockopt(fd, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &on, sizeof(on));
    if (bind(fd, (void *)&address, sizeof(address)) != 0)
        perror("soak_cut: bind");
}

int
connect(int fd, const struct sockaddr *addr, socklen_t len)
{
    connect_function *next = (connect_function *)dlsym(RTLD_NEXT, "connect");
    const char *file = getenv("SOAK_CUT_FILE");
    if (!is_upstream(addr, len))
        return next(fd, addr, len);
    if (file && access(file, F_OK) == 0) {
        errno = ECONNREFUSED;
        return -1;
    }
    bind_source(fd);
    return next(fd, addr, len);
}
