/* Connections between daemons that end while they are used. */
#include "bbm_settings.h"
#include "control.h"
#include "frames.h"
#include "test_main.h"
#include "transport.h"

#include <arpa/inet.h>
#include <pthread.h>
#include <stdio.h>
#include <sys/socket.h>
#include <unistd.h>

/* For which connections are reset again and again. */
#define RESETS_TIME (12 * BBM_SECOND)

static const uint8_t secret[BBM_DIGEST_SIZE] = {1, 2, 3};

/* Takes connections and resets each, every other one as soon as messages may
   be sent on it. */
static void *
reset_connections(void *context)
{
    int listener = *(int *)context;
    static const struct linger reset = {.l_onoff = 1};
    unsigned count = 0;
    int fd;
    while ((fd = accept(listener, NULL, NULL)) >= 0) {
        char bytes[64];
        (void)!send(fd, frames_receiver_greeting, FRAMES_GREETING_BYTES,
                    MSG_NOSIGNAL);
        (void)!recv(fd, bytes, FRAMES_GREETING_BYTES, MSG_WAITALL);
        if (++count % 2)
            (void)!recv(fd, bytes, sizeof(bytes), 0);
        setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
        close(fd);
    }
    return NULL;
}

START_TEST(peer_that_resets_its_connections_does_not_end_the_process)
{
    char sender_address[BBM_ADDRESS_SIZE];
    snprintf(sender_address, sizeof(sender_address), "127.0.9.%d:17675",
             1 + (int)getpid() % 250);
    char no_file[] = "";
    bbm_settings settings = {.name = "vm-1",
                             .peer_address = sender_address,
                             .test_cut_file = no_file};
    mailbox *unused = mailbox_create(64);
    struct sockaddr_in to = {.sin_family = AF_INET,
                             .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    socklen_t len = sizeof(to);
    int listener = socket(AF_INET, SOCK_STREAM, 0);
    ck_assert_int_eq(bind(listener, (void *)&to, sizeof(to)), 0);
    ck_assert_int_eq(listen(listener, 64), 0);
    getsockname(listener, (void *)&to, &len);
    pthread_t threads[4];
    for (size_t i = 0; i < BBM_COUNT(threads); i++)
        pthread_create(&threads[i], NULL, reset_connections, &listener);
    transport *sender = transport_create(&settings, 1, secret, unused);
    ck_assert_ptr_nonnull(sender);
    char address[BBM_ADDRESS_SIZE];
    snprintf(address, sizeof(address), "127.0.0.1:%d", ntohs(to.sin_port));
    bbm_buf bytes = {0};
    bbm_buf_add(&bytes, "hello", 5);
    bbm_time until = control_now() + RESETS_TIME;
    while (control_now() < until) {
        for (int i = 0; i < 16; i++) {
            char name[BBM_NAME_SIZE];
            snprintf(name, sizeof(name), "vm-%d", i + 2);
            transport_send(sender, name, address, &bytes);
        }
        usleep(200);
    }
    ck_assert_uint_gt(transport_count(sender).links_lost, 100);
    transport_destroy(sender);
    shutdown(listener, SHUT_RDWR);
    for (size_t i = 0; i < BBM_COUNT(threads); i++)
        pthread_join(threads[i], NULL);
    close(listener);
    bbm_buf_free(&bytes);
    mailbox_destroy(unused);
}
END_TEST

TEST_MAIN("resets", peer_that_resets_its_connections_does_not_end_the_process);
