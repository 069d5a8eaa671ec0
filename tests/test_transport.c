/* Messages between daemons over real sockets: a peer that can't be reached yet
   is reached soon after it can. */
#include "bbm_settings.h"
#include "control.h"
#include "test_main.h"
#include "transport.h"

#include <arpa/inet.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define PORT_TO 17671
#define CROWD 8

static const uint8_t secret[BBM_DIGEST_SIZE] = {1, 2, 3};

static void
sleep_ms(long ms)
{
    struct timespec span = {.tv_nsec = ms * 1000000};
    nanosleep(&span, NULL);
}

static int
open_socket(struct sockaddr_in *at)
{
    *at = (struct sockaddr_in){.sin_family = AF_INET,
                               .sin_port = htons(PORT_TO)};
    inet_pton(AF_INET, "127.0.0.1", &at->sin_addr);
    return socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
}

/* A port where opening packets are dropped, as at a machine without power: its
   queue of new connections is full. */
static int
fill_port(int crowd[CROWD])
{
    struct sockaddr_in at;
    int listening = open_socket(&at);
    int yes = 1;
    setsockopt(listening, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
    ck_assert_int_eq(bind(listening, (struct sockaddr *)&at, sizeof(at)), 0);
    ck_assert_int_eq(listen(listening, 0), 0);
    for (int i = 0; i < CROWD; i++) {
        struct sockaddr_in to;
        crowd[i] = open_socket(&to);
        (void)connect(crowd[i], (struct sockaddr *)&to, sizeof(to));
    }
    return listening;
}

static void
send_hello(transport *t)
{
    bbm_buf bytes = {0};
    bbm_buf_add(&bytes, "hello", 5);
    transport_send(t, "vm-2", "127.0.0.1:17671", &bytes);
    bbm_buf_free(&bytes);
}

START_TEST(peers_are_reached_soon_after_they_start)
{
    char from_at[] = "127.0.0.1:17672";
    char to_at[] = "127.0.0.1:17671";
    char no_file[] = "";
    bbm_settings from = {
        .name = "vm-1", .peer_address = from_at, .test_cut_file = no_file};
    bbm_settings to = {
        .name = "vm-2", .peer_address = to_at, .test_cut_file = no_file};
    mailbox *inbox = mailbox_create(64);
    mailbox *unused = mailbox_create(64);
    int crowd[CROWD];
    int listening = fill_port(crowd);
    transport *sender = transport_create(&from, 1, secret, unused);
    ck_assert_ptr_nonnull(sender);
    send_hello(sender);
    sleep_ms(100);
    for (int i = 0; i < CROWD; i++)
        close(crowd[i]);
    close(listening);
    transport *receiver = transport_create(&to, 2, secret, inbox);
    ck_assert_ptr_nonnull(receiver);
    bool heard = false;
    for (int i = 0; i < 25 && !heard; i++) {
        send_hello(sender);
        mailbox_wait(inbox, 20);
        control_item *item = mailbox_take(inbox);
        heard = item && strcmp(item->name, "vm-1") == 0;
        if (item)
            control_item_destroy(item);
    }
    /* Within half a second, where the kernel alone would take a whole one. */
    ck_assert(heard);
    transport_destroy(sender);
    transport_destroy(receiver);
    mailbox_destroy(inbox);
    mailbox_destroy(unused);
}
END_TEST

TEST_MAIN("transport", peers_are_reached_soon_after_they_start);
