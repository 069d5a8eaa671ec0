/* Messages between daemons over real sockets: a peer that was unreachable
   receives messages soon after it starts, and one that reads nothing holds
   nothing up. */
#include "bbm_settings.h"
#include "control.h"
#include "frames.h"
#include "test_main.h"
#include "transport.h"

#include <arpa/inet.h>
#include <linux/filter.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define RECEIVER_PORT 17671
#define PENDING_COUNT 8

static const uint8_t secret[BBM_DIGEST_SIZE] = {1, 2, 3};

static void
sleep_ms(long ms)
{
    struct timespec span = {.tv_nsec = ms * 1000000};
    nanosleep(&span, NULL);
}

static int
open_socket(struct sockaddr_in *address)
{
    *address = (struct sockaddr_in){.sin_family = AF_INET,
                                    .sin_port = htons(RECEIVER_PORT)};
    inet_pton(AF_INET, "127.0.0.1", &address->sin_addr);
    return socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
}

/* Occupies a port whose backlog of connections is full, so that the kernel
   drops SYN packets to it as a machine that is down would. */
static int
block_port(int pending[PENDING_COUNT])
{
    struct sockaddr_in address;
    int listener = open_socket(&address);
    int yes = 1;
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
    ck_assert_int_eq(
        bind(listener, (struct sockaddr *)&address, sizeof(address)), 0);
    ck_assert_int_eq(listen(listener, 0), 0);
    for (int i = 0; i < PENDING_COUNT; i++) {
        struct sockaddr_in to;
        pending[i] = open_socket(&to);
        (void)connect(pending[i], (struct sockaddr *)&to, sizeof(to));
    }
    return listener;
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
    char sender_address[] = "127.0.0.1:17672";
    char receiver_address[] = "127.0.0.1:17671";
    char no_file[] = "";
    bbm_settings sender_settings = {.name = "vm-1",
                                    .peer_address = sender_address,
                                    .test_cut_file = no_file};
    bbm_settings receiver_settings = {.name = "vm-2",
                                      .peer_address = receiver_address,
                                      .test_cut_file = no_file};
    mailbox *inbox = mailbox_create(64);
    mailbox *unused = mailbox_create(64);
    int pending[PENDING_COUNT];
    int listener = block_port(pending);
    transport *sender = transport_create(&sender_settings, 1, secret, unused);
    ck_assert_ptr_nonnull(sender);
    send_hello(sender);
    sleep_ms(100);
    for (int i = 0; i < PENDING_COUNT; i++)
        close(pending[i]);
    close(listener);
    transport *receiver =
        transport_create(&receiver_settings, 2, secret, inbox);
    ck_assert_ptr_nonnull(receiver);
    bool received = false;
    for (int i = 0; i < 25 && !received; i++) {
        send_hello(sender);
        mailbox_wait(inbox, 20);
        control_item *item = mailbox_take(inbox);
        received = item && strcmp(item->name, "vm-1") == 0;
        if (item)
            control_item_destroy(item);
    }
    /* Received within half a second; the kernel alone would resend the SYN
       only after one second. */
    ck_assert(received);
    transport_destroy(sender);
    transport_destroy(receiver);
    mailbox_destroy(inbox);
    mailbox_destroy(unused);
}
END_TEST

/* A peer that takes connections and greets, but reads nothing. */
static int
open_stuck_peer(uint16_t port)
{
    struct sockaddr_in address;
    int listener = open_socket(&address);
    int yes = 1;
    int small = 4096;
    address.sin_port = htons(port);
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
    setsockopt(listener, SOL_SOCKET, SO_RCVBUF, &small, sizeof(small));
    ck_assert_int_eq(bind(listener, (void *)&address, sizeof(address)), 0);
    ck_assert_int_eq(listen(listener, 8), 0);
    return listener;
}

static int
greet_as_receiver(int listener)
{
    int fd;
    while ((fd = accept(listener, NULL, NULL)) < 0)
        sleep_ms(1);
    ck_assert_int_eq(send(fd, frames_receiver_greeting,
                          sizeof(frames_receiver_greeting), 0),
                     (ssize_t)sizeof(frames_receiver_greeting));
    return fd;
}

START_TEST(peer_that_reads_nothing_holds_up_neither_messages_nor_the_end)
{
    char sender_address[] = "127.0.0.1:17673";
    char receiver_address[] = "127.0.0.1:17674";
    char no_file[] = "";
    bbm_settings sender_settings = {.name = "vm-1",
                                    .peer_address = sender_address,
                                    .test_cut_file = no_file};
    bbm_settings receiver_settings = {.name = "vm-2",
                                      .peer_address = receiver_address,
                                      .test_cut_file = no_file};
    mailbox *inbox = mailbox_create(64);
    mailbox *unused = mailbox_create(64);
    bbm_buf bytes = {0};
    bbm_buf large = {0};
    uint8_t block[65536] = {1};
    bbm_buf_add(&bytes, "hello", 5);
    bbm_buf_add(&large, block, sizeof(block));
    transport *sender = transport_create(&sender_settings, 1, secret, unused);
    transport *receiver =
        transport_create(&receiver_settings, 2, secret, inbox);
    ck_assert(sender && receiver);
    int listener = open_stuck_peer(17678);
    transport_send(sender, "vm-3", "127.0.0.1:17678", &large);
    int stuck = greet_as_receiver(listener);
    for (int i = 0; i < 1000; i++)
        transport_send(sender, "vm-3", "127.0.0.1:17678", &large);
    /* The queues to all peers together are bounded. */
    transport_counts counts = transport_count(sender);
    ck_assert_uint_gt(counts.dropped, 500);
    ck_assert_uint_le(counts.queued_bytes, (uint64_t)20 << 20);
    for (int i = 0; i < 100; i++) {
        char name[BBM_NAME_SIZE];
        snprintf(name, sizeof(name), "vm-%d", 10 + i);
        transport_send(sender, name, "127.0.0.1:17678", &large);
        transport_send(sender, name, "127.0.0.1:17678", &large);
    }
    counts = transport_count(sender);
    ck_assert_uint_le(counts.queued_bytes, (uint64_t)25 << 20);
    /* The peer moves to another address: the link to the old one closes. */
    transport_send(sender, "vm-2", "127.0.0.1:17679", &bytes);
    bool received = false;
    for (int i = 0; i < 100 && !received; i++) {
        transport_send(sender, "vm-2", "127.0.0.1:17674", &bytes);
        mailbox_wait(inbox, 20);
        control_item *item = mailbox_take(inbox);
        received = item != NULL;
        if (item)
            control_item_destroy(item);
    }
    ck_assert(received);
    bbm_time began_at = control_now();
    transport_destroy(sender);
    transport_destroy(receiver);
    ck_assert_int_le(control_now() - began_at, BBM_SECOND);
    control_item *item;
    while ((item = mailbox_take(inbox)) != NULL)
        control_item_destroy(item);
    mailbox_destroy(inbox);
    mailbox_destroy(unused);
    bbm_buf_free(&bytes);
    bbm_buf_free(&large);
    close(stuck);
    close(listener);
}
END_TEST

/* A peer that takes a message in parts, and resets within it, gets it whole on
   the next connection. */
START_TEST(message_that_was_sent_in_part_is_sent_again_whole)
{
    char sender_address[] = "127.0.0.1:17673";
    char no_file[] = "";
    bbm_settings settings = {.name = "vm-1",
                             .peer_address = sender_address,
                             .test_cut_file = no_file};
    static const struct linger reset = {.l_onoff = 1};
    mailbox *unused = mailbox_create(64);
    bbm_buf large = {0};
    BBM_AUTO_FREE uint8_t *block = bbm_calloc(1, (size_t)4 << 20);
    bbm_buf_add(&large, block, (size_t)4 << 20);
    transport *sender = transport_create(&settings, 1, secret, unused);
    int listener = open_stuck_peer(17678);
    transport_send(sender, "vm-3", "127.0.0.1:17678", &large);
    int fd = greet_as_receiver(listener);
    sleep_ms(50);
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
    close(fd);
    fd = greet_as_receiver(listener);
    size_t left = sizeof(frames_sender_greeting) + FRAMES_HEAD_BYTES;
    uint8_t begin[sizeof(frames_sender_greeting) + FRAMES_HEAD_BYTES];
    while (left) {
        ssize_t n = recv(fd, begin + sizeof(begin) - left, left, MSG_DONTWAIT);
        left -= n > 0 ? (size_t)n : 0;
        if (n < 0)
            sleep_ms(1);
    }
    ck_assert_mem_eq(begin, frames_sender_greeting,
                     sizeof(frames_sender_greeting));
    uint8_t head[FRAMES_HEAD_BYTES];
    frames_put_head(head, large.len);
    /* The message is as long as its sealed form, a little longer. */
    ck_assert_mem_eq(begin + sizeof(begin) - sizeof(head), head, 6);
    transport_destroy(sender);
    close(fd);
    close(listener);
    bbm_buf_free(&large);
    mailbox_destroy(unused);
}
END_TEST

/* ---- connections that carry nothing ---- */

#define SENDER_ADDRESS "127.0.0.1:17675"
#define PEER_ADDRESS "127.0.0.1:17676"
#define PEER_PORT 17676
#define REPLACE_MS_MAX 1500

typedef struct pair {
    char sender_address[32];
    char peer_address[32];
    char no_file[1];
    bbm_settings sender_settings;
    bbm_settings peer_settings;
    mailbox *unused;
    mailbox *inbox;
    transport *sender;
    transport *peer;
} pair;

static void
open_pair(pair *p)
{
    *p =
        (pair){.sender_address = SENDER_ADDRESS, .peer_address = PEER_ADDRESS};
    p->sender_settings = (bbm_settings){.name = "vm-1",
                                        .peer_address = p->sender_address,
                                        .test_cut_file = p->no_file};
    p->peer_settings = (bbm_settings){.name = "vm-2",
                                      .peer_address = p->peer_address,
                                      .test_cut_file = p->no_file};
    p->unused = mailbox_create(64);
    p->inbox = mailbox_create(1024);
    p->sender = transport_create(&p->sender_settings, 1, secret, p->unused);
    p->peer = transport_create(&p->peer_settings, 2, secret, p->inbox);
    ck_assert(p->sender && p->peer);
}

static void
close_pair(pair *p)
{
    transport_destroy(p->sender);
    transport_destroy(p->peer);
    sleep_ms(100);
    control_item *item;
    while ((item = mailbox_take(p->inbox)) != NULL)
        control_item_destroy(item);
    mailbox_destroy(p->inbox);
    mailbox_destroy(p->unused);
}

/* Sends a message under @p name each 20 ms until one arrives that was sent
   after the call; fails after @p ms. */
static void
expect_delivery(pair *p, const char *name, int64_t ms)
{
    control_item *item;
    while ((item = mailbox_take(p->inbox)) != NULL)
        control_item_destroy(item);
    bbm_time until = control_now() + ms * BBM_MS;
    bool received = false;
    while (!received && control_now() < until) {
        bbm_buf bytes = {0};
        bbm_buf_add(&bytes, "hello", 5);
        transport_send(p->sender, name, PEER_ADDRESS, &bytes);
        bbm_buf_free(&bytes);
        mailbox_wait(p->inbox, 20);
        while ((item = mailbox_take(p->inbox)) != NULL) {
            received = true;
            control_item_destroy(item);
        }
    }
    ck_assert_msg(received, "nothing arrived within %lld ms", (long long)ms);
}

/* Drops all packets that arrive at the accepted connections to the peer, or
   at the sender's ends of them: they stay open, and carry nothing. */
static int
silence_connections(bool at_peer)
{
    struct sock_filter drop[] = {BPF_STMT(BPF_RET | BPF_K, 0)};
    struct sock_fprog program = {.len = 1, .filter = drop};
    int count = 0;
    for (int fd = 0; fd < 1024; fd++) {
        struct sockaddr_in own = {0};
        struct sockaddr_in to = {0};
        socklen_t own_len = sizeof(own);
        socklen_t to_len = sizeof(to);
        bool open = getsockname(fd, (void *)&own, &own_len) == 0
                    && getpeername(fd, (void *)&to, &to_len) == 0
                    && own.sin_family == AF_INET;
        uint16_t port = ntohs(at_peer ? own.sin_port : to.sin_port);
        if (!open || port != PEER_PORT)
            continue;
        ck_assert_int_eq(setsockopt(fd, SOL_SOCKET, SO_ATTACH_FILTER, &program,
                                    sizeof(program)),
                         0);
        count++;
    }
    return count;
}

/* CONFIG and DENIED: connections went silent without a reset, and messages
   went into them for a quarter of an hour.  Bound: half of the time within
   which a VM must have a configuration that was acknowledged. */
START_TEST(silent_connection_is_replaced)
{
    pair p;
    open_pair(&p);
    expect_delivery(&p, "vm-2", REPLACE_MS_MAX);
    for (unsigned i = 0; i < 3; i++) {
        ck_assert_int_gt(silence_connections(i % 2 == 0), 0);
        bbm_time until = control_now() + REPLACE_MS_MAX * BBM_MS;
        while (transport_count(p.sender).links_lost <= i
               && control_now() < until)
            expect_delivery(&p, "vm-2", REPLACE_MS_MAX);
        ck_assert_uint_eq(transport_count(p.sender).links_lost, i + 1);
        expect_delivery(&p, "vm-2", REPLACE_MS_MAX);
        ck_assert_uint_eq(transport_count(p.sender).links, 1);
    }
    close_pair(&p);
}
END_TEST

/* A daemon that was known by its address first has two connections to one
   address; the second one, too, has its timeout. */
START_TEST(each_of_two_silent_connections_to_one_address_is_replaced)
{
    pair p;
    open_pair(&p);
    expect_delivery(&p, "", REPLACE_MS_MAX);
    expect_delivery(&p, "vm-2", REPLACE_MS_MAX);
    sleep_ms(50);
    expect_delivery(&p, "", REPLACE_MS_MAX);
    ck_assert_int_ge(silence_connections(true), 2);
    expect_delivery(&p, "vm-2", REPLACE_MS_MAX);
    expect_delivery(&p, "", REPLACE_MS_MAX);
    close_pair(&p);
}
END_TEST

/* A connection that has been idle for long shows its silence when it is used
   again. */
START_TEST(idle_silent_connection_is_replaced)
{
    pair p;
    open_pair(&p);
    expect_delivery(&p, "vm-2", REPLACE_MS_MAX);
    ck_assert_int_gt(silence_connections(true), 0);
    sleep_ms(999);
    sleep_ms(999);
    expect_delivery(&p, "vm-2", REPLACE_MS_MAX);
    close_pair(&p);
}
END_TEST

/* The peer's process is frozen: it accepts, and reads nothing, for as long as
   three timeouts.  Its connection works, and stays. */
START_TEST(connection_to_a_frozen_peer_stays)
{
    char sender_address[] = SENDER_ADDRESS;
    char no_file[] = "";
    bbm_settings settings = {.name = "vm-1",
                             .peer_address = sender_address,
                             .test_cut_file = no_file};
    mailbox *unused = mailbox_create(64);
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons(PEER_PORT),
                                  .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    int yes = 1;
    int listener = socket(AF_INET, SOCK_STREAM, 0);
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
    ck_assert_int_eq(bind(listener, (void *)&address, sizeof(address)), 0);
    ck_assert_int_eq(listen(listener, 8), 0);
    transport *t = transport_create(&settings, 1, secret, unused);
    bbm_buf bytes = {0};
    bbm_buf_add(&bytes, "hello", 5);
    transport_send(t, "vm-2", PEER_ADDRESS, &bytes);
    int fd = accept(listener, NULL, NULL);
    ck_assert_int_eq(send(fd, frames_receiver_greeting,
                          sizeof(frames_receiver_greeting), 0),
                     (ssize_t)sizeof(frames_receiver_greeting));
    for (int i = 0; i < 110; i++) {
        transport_send(t, "vm-2", PEER_ADDRESS, &bytes);
        sleep_ms(20);
    }
    transport_counts c = transport_count(t);
    ck_assert_uint_eq(c.links, 1);
    ck_assert_uint_eq(c.links_lost, 0);
    transport_destroy(t);
    bbm_buf_free(&bytes);
    close(fd);
    close(listener);
    mailbox_destroy(unused);
}
END_TEST

TEST_MAIN("transport", silent_connection_is_replaced,
          each_of_two_silent_connections_to_one_address_is_replaced,
          idle_silent_connection_is_replaced,
          connection_to_a_frozen_peer_stays,
          peers_are_reached_soon_after_they_start,
          peer_that_reads_nothing_holds_up_neither_messages_nor_the_end,
          message_that_was_sent_in_part_is_sent_again_whole);
