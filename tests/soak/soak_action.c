#include "soak_action.h"

#include "bbm_mem.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>

/* A VM whose disk was lost has this time before the next one may lose its. */
#define WIPE_GAP_MS 15000

static atomic_int herds;      /* times at which all VMs were killed */
static atomic_llong wiped_at; /* last loss of a disk; 0: none */

static int64_t
draw(vm *v, int64_t below)
{
    return (int64_t)soak_draw(&v->random, (uint64_t)below);
}

static void
stop_in_series(vm *v)
{
    int64_t n = 1 + draw(v, 4);
    for (int64_t i = 0; i < n; i++) {
        vm_send_signal(v, SIGTERM);
        soak_sleep_ms(draw(v, draw(v, 2) ? 50 : 1500));
        if (draw(v, 4) == 0)
            vm_send_signal(v, SIGHUP);
    }
    vm_stop_and_start(v, draw(v, 500));
}

static void
freeze(vm *v)
{
    if (vm_wait_for_end(v, 0))
        return;
    int64_t at = soak_now_ms();
    int64_t ms = 30 + draw(v, draw(v, 3) ? 300 : 2000);
    vm_say(v, "frozen", ms);
    kill(v->pid, SIGSTOP);
    soak_sleep_ms(ms);
    kill(v->pid, SIGCONT);
    /* What it missed in that time may still be late. */
    soak_excuse(v->number, at, soak_now_ms() + 3000);
    if (draw(v, 3) == 0)
        stop_in_series(v);
}

static void
kill_and_start(vm *v)
{
    vm_send_signal(v, SIGKILL);
    vm_stop_and_start(v, draw(v, 700));
}

/* All VMs are killed at once, this one by its own thread as the others. */
static void
kill_all(vm *v)
{
    (void)v;
    atomic_fetch_add(&herds, 1);
}

/* A VM is killed and loses its disk; one at a time, each with time to recover.
 */
static void
lose_disk(vm *v)
{
    long long last = atomic_load(&wiped_at);
    bool due =
        v->number < VM_DISKS && (!last || soak_now_ms() - last > WIPE_GAP_MS)
        && atomic_compare_exchange_strong(&wiped_at, &last, soak_now_ms());
    if (!due)
        return;
    vm_send_signal(v, SIGKILL);
    if (!vm_wait_for_end(v, VM_KILL_MS_MAX))
        return;
    vm_say(v, "loses its disk", 0);
    vm_empty_disk(v);
    v->wiped = true;
    vm_write_settings(v, 0);
    soak_sleep_ms(draw(v, 500));
    vm_start(v);
}

/* Signals while the process starts. */
static void
start_and_signal(vm *v)
{
    vm_send_signal(v, SIGTERM);
    vm_stop_and_start(v, 0);
    soak_sleep_ms(draw(v, 60));
    if (draw(v, 2)) {
        vm_send_signal(v, SIGHUP);
        return;
    }
    vm_send_signal(v, SIGTERM);
    vm_stop_and_start(v, draw(v, 100));
}

static void
rewrite_settings(vm *v)
{
    int64_t gap = draw(v, 400);
    vm_say(v, "settings are being written", gap);
    vm_write_settings(v, gap);
    if (draw(v, 2))
        vm_send_signal(v, SIGHUP);
}

/* The settings are half written while the process starts. */
static void
start_beside_settings(vm *v)
{
    char text[2048];
    char path[512];
    size_t len = (size_t)vm_format_settings(v, text, sizeof(text));
    vm_path(v, "json", path);
    vm_send_signal(v, SIGTERM);
    vm_wait_for_end(v, VM_STOP_MS_MAX);
    vm_write_file(path, text, (size_t)draw(v, (int64_t)len));
    vm_stop_and_start(v, 0);
    soak_sleep_ms(draw(v, 600));
    vm_write_file(path, text, len);
}

static void
reload_in_series(vm *v)
{
    for (int64_t i = draw(v, 15); i >= 0; i--) {
        vm_send_signal(v, SIGHUP);
        soak_sleep_ms(draw(v, 60));
    }
}

static void
publish_in_series(vm *v)
{
    for (int64_t i = draw(v, 5); i >= 0; i--) {
        vm_publish(v, 0);
        soak_sleep_ms(draw(v, 300));
    }
}

/* Each has some 100 KB in the log: snapshots are written in between. */
static void
publish_large_in_series(vm *v)
{
    for (int64_t i = draw(v, 12); i >= 0; i--) {
        vm_publish(v, (size_t)draw(v, 3000));
        soak_sleep_ms(draw(v, 200));
    }
    vm_publish(v, 0);
}

/* What may happen to a VM; --actions names some of them. */
static const struct action {
    const char *name;
    void (*run)(vm *v);
} actions[] = {
    {"stops", stop_in_series},
    {"reloads", reload_in_series},
    {"freezes", freeze},
    {"kills", kill_and_start},
    {"herds", kill_all},
    {"wipes", lose_disk},
    {"starts", start_and_signal},
    {"settings", rewrite_settings},
    {"half-settings", start_beside_settings},
    {"configs", publish_in_series},
    {"large-configs", publish_large_in_series},
};
static const struct action *allowed[BBM_COUNT(actions)];
static size_t allowed_len;

bool
soak_allow_actions(const char *names)
{
    for (size_t i = 0; i < BBM_COUNT(actions); i++) {
        if (!names || soak_names_one(names, actions[i].name))
            allowed[allowed_len++] = &actions[i];
    }
    return allowed_len > 0;
}

/* Returns sooner if all VMs are killed meanwhile. */
static void
wait_for_turn(vm *v, int64_t ms)
{
    int64_t until = soak_now_ms() + ms;
    while (soak_now_ms() < until && v->herds == atomic_load(&herds))
        soak_sleep_ms(5);
}

void
soak_play_actions(vm *v, int64_t until_ms, int64_t pause_ms)
{
    while (soak_now_ms() < until_ms) {
        if (!pause_ms) {
            if (vm_wait_for_end(v, 100))
                vm_start(v);
            continue;
        }
        wait_for_turn(v, draw(v, pause_ms));
        if (vm_wait_for_end(v, 0))
            vm_start(v);
        if (v->herds != atomic_load(&herds)) {
            v->herds = atomic_load(&herds);
            kill_and_start(v);
            continue;
        }
        allowed[draw(v, (int64_t)allowed_len)]->run(v);
    }
    if (vm_wait_for_end(v, 0))
        vm_start(v);
}
