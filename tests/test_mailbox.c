/* A mailbox that nobody takes from holds a bounded number of bytes: messages
   of other daemons, each of which is short of the bound on their number, must
   not use up the machine's memory. */
#include "bbm_settings.h"
#include "control.h"
#include "test_main.h"
#include "transport.h"

#include <stdio.h>
#include <string.h>
#include <time.h>

#define MESSAGE_BYTES ((size_t)512 * 1024)
#define MESSAGES 160
#define BUDGET_BYTES ((size_t)32 * 1000 * 1000)
/* Without a bound the messages take 80 MiB. */
#define PEAK_KIB_MAX 39062
#define WAIT_MS 10

static const uint8_t secret[BBM_DIGEST_SIZE] = {1, 2, 3};

static void
sleep_ms(long ms)
{
    struct timespec span = {.tv_nsec = ms * 1000000};
    nanosleep(&span, NULL);
}

static long
peak_kib(void)
{
    char line[256];
    long kib = -1;
    FILE *file = fopen("/proc/self/status", "r");
    while (file && fgets(line, sizeof(line), file)) {
        if (sscanf(line, "VmHWM: %ld", &kib) == 1)
            break;
    }
    if (file)
        fclose(file);
    return kib;
}

static void
send_message(transport *t, size_t len)
{
    bbm_buf bytes = {0};
    uint8_t *data = bbm_calloc(1, len);
    bbm_buf_add(&bytes, data, len);
    transport_send(t, "vm-2", "127.0.0.1:17674", &bytes);
    bbm_buf_free(&bytes);
    free(data);
}

static size_t
drain(mailbox *box)
{
    size_t last = 0;
    control_item *item;
    while ((item = mailbox_take(box)) != NULL) {
        last = item->bytes.len;
        control_item_destroy(item);
    }
    return last;
}

START_TEST(messages_that_nobody_takes_hold_bounded_bytes)
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
    mailbox *inbox = mailbox_create(65536);
    mailbox *unused = mailbox_create(64);
    memory_budget budget;
    memory_budget_init(&budget, BUDGET_BYTES);
    mailbox_set_memory(inbox, &budget, control_item_bytes);
    transport *receiver =
        transport_create(&receiver_settings, 2, secret, inbox);
    transport *sender = transport_create(&sender_settings, 1, secret, unused);
    ck_assert_ptr_nonnull(receiver);
    ck_assert_ptr_nonnull(sender);
    for (int i = 0; i < MESSAGES; i++) {
        send_message(sender, MESSAGE_BYTES);
        for (int waits = 0;
             waits < 300 && transport_count(sender).queued_bytes; waits++)
            sleep_ms(WAIT_MS);
    }
    sleep_ms(100);
    long peak = peak_kib();
    printf("peak %ld KiB\n", peak);
    ck_assert_int_lt(peak, PEAK_KIB_MAX);
    /* It takes messages again once there is room. */
    ck_assert_uint_eq(drain(inbox), MESSAGE_BYTES);
    send_message(sender, 5);
    size_t last = 0;
    for (int waits = 0; waits < 300 && !last; waits++) {
        sleep_ms(WAIT_MS);
        last = drain(inbox);
    }
    ck_assert_uint_eq(last, 5);
    transport_destroy(sender);
    transport_destroy(receiver);
    drain(inbox);
    mailbox_destroy(inbox);
    mailbox_destroy(unused);
}
END_TEST

TEST_MAIN("mailbox", messages_that_nobody_takes_hold_bounded_bytes);
