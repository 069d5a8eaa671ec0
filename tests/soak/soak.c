/* Real daemons under signals, restarts and changes that come in series and
   overlap; see soak_world.h.

       run.sh BUILD FOLDER [--seed N] [--seconds N] [--vms N] [--clients N]
              [--port N] [--actions NAME,...] [--callers NAME,...]
              [--upstreams NAME,...] [--steady N] [--cut N] [--pause MS]

   Callers stay until they have an answer; --callers lets some half-close,
   leave, wander, resend, retry, retry under the same-id, or resume streams;
   --upstreams lets them be faulty, refuse, copy, copy-all, restart, and have
   an alias or two versions (see soak_world.h).  With --steady, the first N VMs
   are left alone, and callers use these first.  With --cut, the last N VMs are
   cut from all upstreams at times, so that other VMs forward their requests.
   --pause is the longest time between two actions at a VM; by default it rises
   with their number.

   Exit status: 0 no rule was broken, 1 one was, 2 it could not run. */
#include "soak_world.h"

#include "bbm_mem.h"

#include <dirent.h>
#include <errno.h>
#include <fcntl.h>
#include <getopt.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/stat.h>
#include <unistd.h>

#define GRACE_S 4
/* A stop may last grace_s, and the end of the process a moment longer. */
#define STOP_MS_MAX (GRACE_S * 1000 + 2500)
/* After SIGKILL only the machine decides when a process is gone: one that
   waits for its disk stays until that answers. */
#define KILL_MS_MAX 60000
#define READY_MS_MAX 20000
/* A VM whose disk was lost has this time before the next one may lose its. */
#define WIPE_GAP_MS 15000
/* A VM is cut from the upstreams, and isn't, for a time of these. */
#define CUT_MS_MIN 300
#define CUT_MS_DRAWN 2500
/* VMs with a disk. */
#define DISKS 3

typedef struct vm {
    int number;
    pid_t pid; /* 0: none */
    int64_t started_at;
    soak_random random;
    pthread_t thread;
    bool stop_sent; /* SIGTERM was sent to this process */
    bool cut_short; /* before it had begun: nothing can be lost */
    bool kill_sent;
    bool wiped; /* its disk has been lost: it isn't a first start */
    int herds;  /* that it has taken part in */
    soak_random cut_random;
    int64_t cut_until; /* it is cut, or not, until then */
    bool cut;
} vm;

static struct options {
    const char *folder;
    const char *actions; /* NULL: all */
    uint64_t seed;
    int64_t seconds;
    int vms;
    int steady;
    int cut;
    int64_t pause_ms;
    soak_callers callers;
    soak_upstreams upstreams;
    uint16_t port;
} opt = {.seed = 1,
         .seconds = 60,
         .vms = 3,
         .callers.count = 24,
         .port = 21000,
         .folder = "."};

static vm vms[SOAK_VMS_MAX];
static int starter; /* pipe to run.sh */
static int64_t end_at;
static pthread_t cuts_thread;
static atomic_int config_version = 1;
static atomic_int acked_version; /* newest configuration that was acked */
static atomic_int herds;         /* times at which all VMs were killed */
static atomic_llong wiped_at;    /* last loss of a disk; 0: none */

static void
say(const vm *v, const char *what, int64_t value)
{
    printf("%lld vm-%d %s %lld\n", (long long)soak_now_ms(), v->number + 1,
           what, (long long)value);
    fflush(stdout);
}

/* ---- files ---- */

/* Path of a file of the VM in the soak's folder. */
static void
vm_path(const vm *v, const char *suffix, char path[512])
{
    snprintf(path, 512, "%s/vm-%d.%s", opt.folder, v->number + 1, suffix);
}

static int
format_settings(const vm *v, char *text, size_t size)
{
    char ip[32];
    char folder[512] = "";
    soak_vm_ip(v->number, ip);
    if (v->number < DISKS)
        snprintf(folder, sizeof(folder), "%s/disk-%d", opt.folder,
                 v->number + 1);
    int p = opt.port;
    return snprintf(
        text, size,
        "{\"name\": \"vm-%d\", \"zone\": \"zone-%d\",\n"
        " \"peer_address\": \"%s:%d\", \"caller_address\": \"%s:%d\",\n"
        " \"admin_address\": \"%s:%d\", \"ready_address\": \"%s:%d\",\n"
        " \"control_address\": \"%s:%d\", \"directory_address\": \"%s:%d\",\n"
        " \"list_address\": \"127.0.0.1:%d\", \"data_folder\": \"%s\",\n"
        " \"private_network\": true, \"seeds\": [\"127.0.2.1:1\", "
        "\"127.0.2.2:1\", \"127.0.2.3:1\"],\n"
        " \"first_start\": %s, \"self_repair\": true, \"grace_s\": %d,\n"
        " \"election_ms\": 450, \"gossip_ms\": 300, \"list_ms\": 500,\n"
        " \"fresh_bound_ms\": 600000, \"cut_bound_ms\": 600000,\n"
        " \"serve_stale_keys\": true, \"caller_threads\": 1}\n",
        v->number + 1, 1 + v->number % 2, ip, p + SOAK_PEER, ip,
        p + SOAK_CALLERS, ip, p + SOAK_ADMIN, ip, p + SOAK_READY, ip,
        p + SOAK_CONTROL, ip, p + SOAK_DIRECTORY, p + SOAK_PORTS, folder,
        v->wiped ? "false" : "true", GRACE_S);
}

static void
write_bytes(const char *path, const char *text, size_t len)
{
    int fd = open(path, O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644);
    if (fd < 0 || write(fd, text, len) != (ssize_t)len) {
        perror(path);
        exit(2);
    }
    close(fd);
}

/* Writes the settings as a template does that isn't moved into place: for
   @p gap_ms the file has its first part only. */
static void
write_settings(const vm *v, int64_t gap_ms)
{
    char text[2048];
    char path[512];
    size_t len = (size_t)format_settings(v, text, sizeof(text));
    vm_path(v, "json", path);
    if (gap_ms) {
        write_bytes(path, text, len / 2);
        soak_sleep_ms(gap_ms);
    }
    write_bytes(path, text, len);
}

/* Cuts a VM from all upstreams, or ends the cut. */
static void
set_cut(const vm *v, bool cut)
{
    char path[512];
    vm_path(v, "cut", path);
    if (cut)
        write_bytes(path, "", 0);
    else
        unlink(path);
    soak_upstreams_cut(v->number, cut);
    say(v, cut ? "is cut from the upstreams" : "reaches the upstreams", 0);
}

/* ---- processes ---- */

/* The number in a file that run.sh writes; -1: there is no file yet. */
static int
read_number(const vm *v, const char *suffix)
{
    char path[512];
    char text[32] = "";
    vm_path(v, suffix, path);
    FILE *f = fopen(path, "re");
    if (!f)
        return -1;
    bool read = fgets(text, sizeof(text), f) != NULL;
    fclose(f);
    return read ? (int)strtol(text, NULL, 10) : -1;
}

/* run.sh starts the process, and writes its id and, later, its exit status. */
static void
start_process(vm *v)
{
    char path[512];
    vm_path(v, "pid", path);
    unlink(path);
    vm_path(v, "status", path);
    unlink(path);
    v->stop_sent = false;
    v->cut_short = false;
    v->kill_sent = false;
    char line[16];
    int len = snprintf(line, sizeof(line), "%d\n", v->number + 1);
    v->started_at = soak_now_ms();
    if (write(starter, line, (size_t)len) != len) {
        perror("soak: starts");
        exit(2);
    }
    int pid;
    while ((pid = read_number(v, "pid")) < 0)
        soak_sleep_ms(1);
    v->pid = pid;
    say(v, "started", v->pid);
}

static void
judge_exit(vm *v, int code)
{
    say(v, "ended", code);
    bool in_order =
        v->stop_sent && (code == 0 || (v->cut_short && code == 128 + SIGTERM));
    if (!v->kill_sent && !in_order)
        soak_break("FAULT vm-%d ended by itself with status %d, %lld ms after "
                   "its start",
                   v->number + 1, code,
                   (long long)(soak_now_ms() - v->started_at));
    if (v->kill_sent)
        soak_excuse_until(v->number, soak_now_ms() + 200);
    v->pid = 0;
}

/* Waits for the end of the process; true if it has ended. */
static bool
wait_for_end(vm *v, int64_t ms)
{
    int64_t until = soak_now_ms() + ms;
    while (v->pid) {
        int code = read_number(v, "status");
        if (code >= 0)
            judge_exit(v, code);
        else if (soak_now_ms() >= until)
            return false;
        else
            soak_sleep_ms(2);
    }
    return true;
}

/* True once the process blocks signals, which it does before all else; the
   dynamic linker's time is left to the scenario signal_at_start. */
static bool
has_begun(const vm *v)
{
    char path[64];
    char line[256];
    unsigned long long blocked = 0;
    snprintf(path, sizeof(path), "/proc/%d/status", (int)v->pid);
    FILE *f = fopen(path, "re");
    while (f && fgets(line, sizeof(line), f))
        sscanf(line, "SigBlk: %llx", &blocked);
    if (f)
        fclose(f);
    return blocked & (1u << (SIGHUP - 1));
}

static void
send_signal(vm *v, int number)
{
    if (wait_for_end(v, 0))
        return;
    bool begun = has_begun(v);
    if (number == SIGHUP && !begun)
        return;
    if (number == SIGTERM) {
        v->stop_sent = true;
        v->cut_short = v->cut_short || !begun;
    }
    if (number == SIGKILL) {
        v->kill_sent = true;
        soak_excuse(v->number, soak_now_ms(), soak_now_ms() + KILL_MS_MAX);
    }
    say(v, "signal", number);
    kill(v->pid, number);
}

static void
stop_and_start(vm *v, int64_t pause_ms)
{
    if (!v->kill_sent && !wait_for_end(v, STOP_MS_MAX)) {
        soak_break("FAULT vm-%d still runs %d ms after SIGTERM", v->number + 1,
                   STOP_MS_MAX);
        send_signal(v, SIGKILL);
    }
    if (!wait_for_end(v, KILL_MS_MAX))
        soak_break("FAULT vm-%d still runs %d ms after SIGKILL", v->number + 1,
                   KILL_MS_MAX);
    soak_sleep_ms(pause_ms);
    start_process(v);
}

/* ---- what happens to a VM ---- */

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
        send_signal(v, SIGTERM);
        soak_sleep_ms(draw(v, draw(v, 2) ? 50 : 1500));
        if (draw(v, 4) == 0)
            send_signal(v, SIGHUP);
    }
    stop_and_start(v, draw(v, 500));
}

static void
freeze(vm *v)
{
    if (wait_for_end(v, 0))
        return;
    int64_t at = soak_now_ms();
    int64_t ms = 30 + draw(v, draw(v, 3) ? 300 : 2000);
    say(v, "frozen", ms);
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
    send_signal(v, SIGKILL);
    stop_and_start(v, draw(v, 700));
}

/* All VMs are killed at once, this one by its own thread as the others. */
static void
kill_all(vm *v)
{
    (void)v;
    atomic_fetch_add(&herds, 1);
}

static void
empty_disk(const vm *v)
{
    char path[1024];
    snprintf(path, sizeof(path), "%s/disk-%d", opt.folder, v->number + 1);
    DIR *folder = opendir(path);
    const struct dirent *entry;
    while (folder && (entry = readdir(folder)) != NULL) {
        snprintf(path, sizeof(path), "%s/disk-%d/%s", opt.folder,
                 v->number + 1, entry->d_name);
        unlink(path);
    }
    if (folder)
        closedir(folder);
}

/* A VM is killed and loses its disk; one at a time, each with time to recover.
 */
static void
lose_disk(vm *v)
{
    long long last = atomic_load(&wiped_at);
    bool due =
        v->number < DISKS && (!last || soak_now_ms() - last > WIPE_GAP_MS)
        && atomic_compare_exchange_strong(&wiped_at, &last, soak_now_ms());
    if (!due)
        return;
    send_signal(v, SIGKILL);
    if (!wait_for_end(v, KILL_MS_MAX))
        return;
    say(v, "loses its disk", 0);
    empty_disk(v);
    v->wiped = true;
    write_settings(v, 0);
    soak_sleep_ms(draw(v, 500));
    start_process(v);
}

/* Signals while the process starts. */
static void
start_and_signal(vm *v)
{
    send_signal(v, SIGTERM);
    stop_and_start(v, 0);
    soak_sleep_ms(draw(v, 60));
    if (draw(v, 2)) {
        send_signal(v, SIGHUP);
        return;
    }
    send_signal(v, SIGTERM);
    stop_and_start(v, draw(v, 100));
}

static void
rewrite_settings(vm *v)
{
    int64_t gap = draw(v, 400);
    say(v, "settings are being written", gap);
    write_settings(v, gap);
    if (draw(v, 2))
        send_signal(v, SIGHUP);
}

/* The settings are half written while the process starts. */
static void
start_beside_settings(vm *v)
{
    char text[2048];
    char path[512];
    size_t len = (size_t)format_settings(v, text, sizeof(text));
    vm_path(v, "json", path);
    send_signal(v, SIGTERM);
    wait_for_end(v, STOP_MS_MAX);
    write_bytes(path, text, (size_t)draw(v, (int64_t)len));
    stop_and_start(v, 0);
    soak_sleep_ms(draw(v, 600));
    write_bytes(path, text, len);
}

/* Returns the status, 0 without an answer, and the answer in @p text. */
static int
call(const vm *v, uint16_t port, const char *request, char text[4096])
{
    char ip[32];
    size_t received;
    const char *body;
    int status = 0;
    int fd = soak_connect(soak_vm_ip(v->number, ip), port);
    if (fd < 0)
        return 0;
    if (soak_send(fd, request, strlen(request))
        && soak_read_message(fd, text, 4096, soak_now_ms() + 2000, &received,
                             &body))
        sscanf(text, "HTTP/1.1 %d", &status);
    close(fd);
    return status;
}

static int
control_status(const vm *v, uint16_t port, const char *request)
{
    char text[4096];
    return call(v, port, request, text);
}

/* Version of the configuration that a VM gives as the newest; 0: it gives
   none. */
static int
read_version(const vm *v)
{
    char text[4096];
    int version = 0;
    int status =
        call(v, (uint16_t)(opt.port + SOAK_CONTROL),
             "GET /-/config HTTP/1.1\r\nHost: c\r\nConnection: close\r\n\r\n",
             text);
    const char *at = status == 200 ? strstr(text, "\"version\"") : NULL;
    if (at)
        sscanf(at, "\"version\"%*[ :]%d", &version);
    return version;
}

/* What was acknowledged must be what each VM gives, once it gives any. */
static void
check_config(const vm *v)
{
    int64_t until = soak_now_ms() + READY_MS_MAX;
    int acked = atomic_load(&acked_version);
    int version = 0;
    while (version < acked && soak_now_ms() < until) {
        version = read_version(v);
        if (version && version < acked)
            break;
        if (!version)
            soak_sleep_ms(100);
    }
    if (version < acked)
        soak_break("CONFIG vm-%d gives version %d, %d was acknowledged",
                   v->number + 1, version, acked);
}

static int
publish(const vm *v)
{
    char body[2048];
    char text[2560];
    int version = atomic_fetch_add(&config_version, 1);
    snprintf(
        body, sizeof(body),
        "{\"version\":%d,\"routes\":["
        "{\"name\":\"once\",\"host\":\"a.example\",\"path-prefix\":\"/once/\","
        "\"type\":\"unsafe\",\"timeout-ms\":5000,\"target-latency-ms\":800,"
        "\"max-attempts\":3,\"public\":true,\"service\":\"api\"},"
        "{\"name\":\"safe\",\"host\":\"a.example\",\"path-prefix\":\"/safe/\","
        "\"type\":\"safe\",\"timeout-ms\":5000,\"target-latency-ms\":800,"
        "\"max-attempts\":2,\"public\":true,\"service\":\"api\"},"
        "{\"name\":\"stream\",\"host\":\"a.example\",\"path-prefix\":"
        "\"/stream/\",\"type\":\"stream\",\"timeout-ms\":5000,"
        "\"target-latency-ms\":800,\"target-gap-ms\":500,\"max-attempts\":2,"
        "\"public\":true,\"resumable\":true,\"service\":\"api\"},"
        "{\"name\":\"talk\",\"host\":\"a.example\",\"path-prefix\":"
        "\"/talk/\",\"type\":\"stream\",\"timeout-ms\":5000,"
        "\"target-latency-ms\":800,\"target-gap-ms\":500,\"max-attempts\":3,"
        "\"public\":true,\"service\":\"api\"}],"
        "\"services\":[{\"name\":\"api\",\"max-connections\":200}],"
        "\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":65536,"
        "\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000},"
        "\"tenants\":[]}",
        version);
    snprintf(text, sizeof(text),
             "PUT /-/config HTTP/1.1\r\nHost: c\r\nConnection: close\r\n"
             "Content-Type: application/json\r\nContent-Length: %zu\r\n\r\n%s",
             strlen(body), body);
    int status = control_status(v, (uint16_t)(opt.port + SOAK_CONTROL), text);
    int acked = atomic_load(&acked_version);
    while (status == 200 && acked < version
           && !atomic_compare_exchange_weak(&acked_version, &acked, version))
        ;
    return status;
}

static bool
is_ready(const vm *v)
{
    return control_status(v, (uint16_t)(opt.port + SOAK_READY),
                          "GET /-/readyz HTTP/1.1\r\nHost: c\r\n\r\n")
           == 200;
}

static bool
until_ready(const vm *v, int64_t ms)
{
    int64_t until = soak_now_ms() + ms;
    while (soak_now_ms() < until) {
        if (is_ready(v))
            return true;
        soak_sleep_ms(100);
    }
    return false;
}

static void
reload_in_series(vm *v)
{
    for (int64_t i = draw(v, 15); i >= 0; i--) {
        send_signal(v, SIGHUP);
        soak_sleep_ms(draw(v, 60));
    }
}

static void
publish_in_series(vm *v)
{
    for (int64_t i = draw(v, 5); i >= 0; i--) {
        publish(v);
        soak_sleep_ms(draw(v, 300));
    }
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
};
static const struct action *allowed[BBM_COUNT(actions)];
static size_t allowed_len;

/* True if a list split by commas has the name; NULL: no list. */
static bool
names_one(const char *names, const char *name)
{
    size_t len = strlen(name);
    while (names) {
        if (strncmp(names, name, len) == 0
            && (!names[len] || names[len] == ','))
            return true;
        names = strchr(names, ',');
        names = names ? names + 1 : NULL;
    }
    return false;
}

/* @p names is a list split by commas; NULL: all. */
static void
allow_actions(const char *names)
{
    for (size_t i = 0; i < BBM_COUNT(actions); i++) {
        if (!names || names_one(names, actions[i].name))
            allowed[allowed_len++] = &actions[i];
    }
}

/* The VMs of --cut are cut from the upstreams at times. */
static void
play_cuts(void)
{
    for (int i = 1; i < opt.vms && i <= opt.cut; i++) {
        vm *v = &vms[i];
        if (soak_now_ms() < v->cut_until)
            continue;
        bool cut = v->cut_until && !v->cut;
        if (cut != v->cut)
            set_cut(v, cut);
        v->cut = cut;
        v->cut_until =
            soak_now_ms()
            + (int64_t)(CUT_MS_MIN + soak_draw(&v->cut_random, CUT_MS_DRAWN));
    }
}

static void *
run_cuts(void *context)
{
    (void)context;
    for (; soak_now_ms() < end_at; soak_sleep_ms(20))
        play_cuts();
    for (int i = 0; i < opt.vms; i++) {
        if (vms[i].cut)
            set_cut(&vms[i], false);
    }
    return NULL;
}

/* Returns sooner if all VMs are killed meanwhile. */
static void
wait_for_turn(vm *v, int64_t ms)
{
    int64_t until = soak_now_ms() + ms;
    while (soak_now_ms() < until && v->herds == atomic_load(&herds))
        soak_sleep_ms(5);
}

static void *
run_vm(void *context)
{
    vm *v = context;
    while (soak_now_ms() < end_at) {
        if (v->number < opt.steady) {
            if (wait_for_end(v, 100))
                start_process(v);
            continue;
        }
        wait_for_turn(v, draw(v, opt.pause_ms));
        if (wait_for_end(v, 0))
            start_process(v);
        if (v->herds != atomic_load(&herds)) {
            v->herds = atomic_load(&herds);
            kill_and_start(v);
            continue;
        }
        allowed[draw(v, (int64_t)allowed_len)]->run(v);
    }
    if (wait_for_end(v, 0))
        start_process(v);
    return NULL;
}

/* ---- the soak ---- */

static bool
begin(void)
{
    char path[512];
    snprintf(path, sizeof(path), "%s/starts", opt.folder);
    starter = open(path, O_WRONLY | O_CLOEXEC);
    if (starter < 0)
        return false;
    opt.upstreams.seed = opt.seed;
    soak_upstreams_start((uint16_t)(opt.port + SOAK_PORTS), &opt.upstreams);
    for (int i = 0; i < opt.vms; i++) {
        vm *v = &vms[i];
        char disk[512];
        *v = (vm){.number = i,
                  .random = {opt.seed * 7919 + (uint64_t)i},
                  .cut_random = {opt.seed * 104729 + (uint64_t)i}};
        snprintf(disk, sizeof(disk), "%s/disk-%d", opt.folder, i + 1);
        if (i < DISKS)
            mkdir(disk, 0755);
        write_settings(v, 0);
        start_process(v);
    }
    int64_t until = soak_now_ms() + READY_MS_MAX;
    while (soak_now_ms() < until && publish(&vms[0]) != 200)
        soak_sleep_ms(100);
    for (int i = 0; i < opt.vms; i++) {
        if (!until_ready(&vms[i], READY_MS_MAX))
            return false;
    }
    return true;
}

static void
finish(void)
{
    for (int i = 0; i < opt.vms; i++)
        pthread_join(vms[i].thread, NULL);
    pthread_join(cuts_thread, NULL);
    for (int i = 0; i < opt.vms; i++) {
        if (!until_ready(&vms[i], READY_MS_MAX))
            soak_break("RECOVER vm-%d isn't ready %d ms after the last fault",
                       i + 1, READY_MS_MAX);
    }
    for (int i = 0; i < DISKS && i < opt.vms; i++)
        check_config(&vms[i]);
    for (int i = 0; i < opt.vms; i++)
        send_signal(&vms[i], SIGTERM);
    for (int i = 0; i < opt.vms; i++) {
        if (!wait_for_end(&vms[i], STOP_MS_MAX))
            soak_break("FAULT vm-%d doesn't stop", i + 1);
    }
    soak_clients_stop();
}

static void
read_options(int argc, char **argv)
{
    static const struct option options[] = {
        {"seed", required_argument, NULL, 's'},
        {"seconds", required_argument, NULL, 't'},
        {"vms", required_argument, NULL, 'v'},
        {"clients", required_argument, NULL, 'c'},
        {"folder", required_argument, NULL, 'f'},
        {"port", required_argument, NULL, 'p'},
        {"actions", required_argument, NULL, 'a'},
        {"callers", required_argument, NULL, 'k'},
        {"upstreams", required_argument, NULL, 'u'},
        {"steady", required_argument, NULL, 'y'},
        {"cut", required_argument, NULL, 'x'},
        {"pause", required_argument, NULL, 'w'},
        {NULL, 0, NULL, 0},
    };
    int o;
    while ((o = getopt_long(argc, argv, "", options, NULL)) >= 0) {
        long number = optarg ? strtol(optarg, NULL, 10) : 0;
        switch (o) {
        case 's':
            opt.seed = (uint64_t)number;
            break;
        case 't':
            opt.seconds = number;
            break;
        case 'v':
            opt.vms = number < SOAK_VMS_MAX ? (int)number : SOAK_VMS_MAX;
            break;
        case 'c':
            opt.callers.count = (int)number;
            break;
        case 'f':
            opt.folder = optarg;
            break;
        case 'a':
            opt.actions = optarg;
            break;
        case 'k':
            opt.callers.half_close = names_one(optarg, "half-close");
            opt.callers.leave = names_one(optarg, "leave");
            opt.callers.wander = names_one(optarg, "wander");
            opt.callers.resend = names_one(optarg, "resend");
            opt.callers.resume = names_one(optarg, "resume");
            opt.callers.same_id = names_one(optarg, "same-id");
            opt.callers.retry =
                opt.callers.same_id || names_one(optarg, "retry");
            break;
        case 'u':
            opt.upstreams = (soak_upstreams){
                .faulty = names_one(optarg, "faulty"),
                .refuse = names_one(optarg, "refuse"),
                .copy_all = names_one(optarg, "copy-all"),
                .copy = names_one(optarg, "copy"),
                .restart = names_one(optarg, "restart"),
                .alias = names_one(optarg, "alias"),
                .versions = names_one(optarg, "versions"),
            };
            break;
        case 'y':
            opt.steady = (int)number;
            break;
        case 'x':
            opt.cut = (int)number;
            break;
        case 'w':
            opt.pause_ms = number;
            break;
        case 'p':
            opt.port = (uint16_t)number;
            break;
        default:
            exit(2);
        }
    }
    if (!opt.pause_ms)
        opt.pause_ms = 2500 * (int64_t)opt.vms / 3;
    allow_actions(opt.actions);
    if (allowed_len)
        return;
    fputs("soak: no action has that name\n", stderr);
    exit(2);
}

static void
kill_processes(void)
{
    for (int i = 0; i < opt.vms; i++) {
        if (!vms[i].pid)
            continue;
        vms[i].kill_sent = true;
        kill(vms[i].pid, SIGKILL);
        wait_for_end(&vms[i], STOP_MS_MAX);
    }
}

int
main(int argc, char **argv)
{
    read_options(argc, argv);
    signal(SIGPIPE, SIG_IGN);
    if (!begin()) {
        fputs("soak: the VMs don't become ready\n", stderr);
        kill_processes();
        return 2;
    }
    end_at = soak_now_ms() + opt.seconds * 1000;
    soak_clients_start(&opt.callers, opt.steady ? opt.steady : opt.vms,
                       opt.port, opt.seed);
    for (int i = 0; i < opt.vms; i++) {
        if (pthread_create(&vms[i].thread, NULL, run_vm, &vms[i]) != 0)
            abort();
    }
    if (pthread_create(&cuts_thread, NULL, run_cuts, NULL) != 0)
        abort();
    finish();
    kill_processes();
    soak_check_orders();
    soak_upstreams_report();
    printf("callers: %d bodies (could break MIXED), %d events (could break "
           "ORDER), %d later attempts, %d streams taken up, of which %d went "
           "on\n",
           atomic_load(&soak_count.bodies), atomic_load(&soak_count.events),
           atomic_load(&soak_count.retries), atomic_load(&soak_count.resumed),
           atomic_load(&soak_count.went_on));
    printf("seed %llu: %d served, %d refused, %d failed, %d unread, %d left, "
           "%d of %d half-closed orders served, %d broken\n",
           (unsigned long long)opt.seed, atomic_load(&soak_count.served),
           atomic_load(&soak_count.refused), atomic_load(&soak_count.failed),
           atomic_load(&soak_count.unread), atomic_load(&soak_count.left),
           atomic_load(&soak_count.half_closed_served),
           atomic_load(&soak_count.half_closed_orders),
           atomic_load(&soak_count.broken));
    return atomic_load(&soak_count.broken) ? 1 : 0;
}
