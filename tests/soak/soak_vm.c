#include "soak_vm.h"

#include "bbm_mem.h"

#include <dirent.h>
#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

/* Of a route that no request uses, and of a configuration with them. */
#define ROUTE_SIZE 256
#define CONFIG_BYTES_MAX ((size_t)1024 * 1024)

static const char *folder;
static uint16_t first_port;
static int starter; /* pipe to run.sh */
static atomic_int config_version = 1;
static atomic_int acked_version; /* newest configuration that was acked */

bool
vm_open(const char *path, uint16_t port)
{
    char pipe[512];
    folder = path;
    first_port = port;
    snprintf(pipe, sizeof(pipe), "%s/starts", folder);
    starter = open(pipe, O_WRONLY | O_CLOEXEC);
    return starter >= 0;
}

void
vm_say(const vm *v, const char *what, int64_t value)
{
    printf("%lld vm-%d %s %lld\n", (long long)soak_now_ms(), v->number + 1,
           what, (long long)value);
    fflush(stdout);
}

/* ---- files ---- */

/* Path of a file of the VM in the soak's folder. */
void
vm_path(const vm *v, const char *suffix, char path[512])
{
    snprintf(path, 512, "%s/vm-%d.%s", folder, v->number + 1, suffix);
}

int
vm_format_settings(const vm *v, char *text, size_t size)
{
    char ip[32];
    char disk[512] = "";
    soak_vm_ip(v->number, ip);
    if (v->number < VM_DISKS)
        snprintf(disk, sizeof(disk), "%s/disk-%d", folder, v->number + 1);
    int p = first_port;
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
        p + SOAK_CONTROL, ip, p + SOAK_DIRECTORY, p + SOAK_PORTS, disk,
        v->wiped ? "false" : "true", VM_GRACE_S);
}

void
vm_write_file(const char *path, const char *text, size_t len)
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
void
vm_write_settings(const vm *v, int64_t gap_ms)
{
    char text[2048];
    char path[512];
    size_t len = (size_t)vm_format_settings(v, text, sizeof(text));
    vm_path(v, "json", path);
    if (gap_ms) {
        vm_write_file(path, text, len / 2);
        soak_sleep_ms(gap_ms);
    }
    vm_write_file(path, text, len);
}

void
vm_make_disk(const vm *v)
{
    char path[512];
    snprintf(path, sizeof(path), "%s/disk-%d", folder, v->number + 1);
    if (v->number < VM_DISKS && mkdir(path, 0755) != 0)
        perror(path);
}

void
vm_empty_disk(const vm *v)
{
    char path[1024];
    snprintf(path, sizeof(path), "%s/disk-%d", folder, v->number + 1);
    DIR *disk = opendir(path);
    const struct dirent *entry;
    while (disk && (entry = readdir(disk)) != NULL) {
        snprintf(path, sizeof(path), "%s/disk-%d/%s", folder, v->number + 1,
                 entry->d_name);
        unlink(path);
    }
    if (disk)
        closedir(disk);
}

/* Cuts a VM from all upstreams, or ends the cut. */
void
vm_set_cut(const vm *v, bool cut)
{
    char path[512];
    vm_path(v, "cut", path);
    if (cut)
        vm_write_file(path, "", 0);
    else
        unlink(path);
    soak_upstreams_cut(v->number, cut);
    vm_say(v, cut ? "is cut from the upstreams" : "reaches the upstreams", 0);
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
void
vm_start(vm *v)
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
    vm_say(v, "started", v->pid);
}

static void
judge_exit(vm *v, int code)
{
    vm_say(v, "ended", code);
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
bool
vm_wait_for_end(vm *v, int64_t ms)
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

const char *
vm_state(const vm *v, char text[32])
{
    char path[64];
    char line[256];
    snprintf(path, sizeof(path), "/proc/%d/status", (int)v->pid);
    FILE *f = fopen(path, "re");
    snprintf(text, 32, "gone");
    while (f && fgets(line, sizeof(line), f))
        sscanf(line, "State: %31[^\n]", text);
    if (f)
        fclose(f);
    return text;
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

void
vm_send_signal(vm *v, int number)
{
    if (vm_wait_for_end(v, 0))
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
        soak_excuse(v->number, soak_now_ms(), soak_now_ms() + VM_KILL_MS_MAX);
    }
    vm_say(v, "signal", number);
    kill(v->pid, number);
}

void
vm_stop_and_start(vm *v, int64_t pause_ms)
{
    char state[32];
    if (!v->kill_sent && !vm_wait_for_end(v, VM_STOP_MS_MAX)) {
        soak_break("FAULT vm-%d still runs %d ms after SIGTERM, state %s",
                   v->number + 1, VM_STOP_MS_MAX, vm_state(v, state));
        vm_send_signal(v, SIGKILL);
    }
    if (!vm_wait_for_end(v, VM_KILL_MS_MAX))
        soak_break("FAULT vm-%d still runs %d ms after SIGKILL, state %s",
                   v->number + 1, VM_KILL_MS_MAX, vm_state(v, state));
    soak_sleep_ms(pause_ms);
    vm_start(v);
}

/* ---- calls to a VM ---- */

/* Returns the status, 0 without an answer, and the answer in @p text. */
static int
call(const vm *v, uint16_t port, const char *request, char *text, size_t size)
{
    char ip[32];
    size_t received;
    const char *body;
    int status = 0;
    int fd = soak_connect(soak_vm_ip(v->number, ip), port);
    if (fd < 0)
        return 0;
    if (soak_send(fd, request, strlen(request))
        && soak_read_message(fd, text, size, soak_now_ms() + 2000, &received,
                             &body))
        sscanf(text, "HTTP/1.1 %d", &status);
    close(fd);
    return status;
}

static int
control_status(const vm *v, uint16_t port, const char *request)
{
    char text[4096];
    return call(v, port, request, text, sizeof(text));
}

/* Version of the configuration that a VM gives as the newest; 0: it gives
   none. */
static int
read_version(const vm *v)
{
    BBM_AUTO_FREE char *text = bbm_calloc(CONFIG_BYTES_MAX, 1);
    int version = 0;
    int status =
        call(v, (uint16_t)(first_port + SOAK_CONTROL),
             "GET /-/config HTTP/1.1\r\nHost: c\r\nConnection: close\r\n\r\n",
             text, CONFIG_BYTES_MAX);
    const char *at = status == 200 ? strstr(text, "\"version\"") : NULL;
    if (at)
        sscanf(at, "\"version\"%*[ :]%d", &version);
    return version;
}

/* What was acknowledged must be what each VM gives, once it gives any. */
void
vm_check_config(const vm *v)
{
    int64_t until = soak_now_ms() + VM_READY_MS_MAX;
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

/* Routes that no request uses, with names that differ from those before. */
static char *
write_routes(size_t routes, int version)
{
    char *text = bbm_calloc(routes + 1, ROUTE_SIZE);
    char *at = text;
    for (size_t i = 0; i < routes; i++)
        at += snprintf(
            at, ROUTE_SIZE,
            "{\"name\":\"r-%zu-%x\",\"host\":\"b.example\",\"path-prefix\":"
            "\"/%zu-%x/\",\"type\":\"safe\",\"timeout-ms\":5000,"
            "\"target-latency-ms\":800,\"max-attempts\":2,\"public\":true,"
            "\"service\":\"api\"},",
            i, (unsigned)version * 2654435761U, i,
            (unsigned)version * 2246822519U);
    return text;
}

int
vm_publish(const vm *v, size_t more_routes)
{
    int version = atomic_fetch_add(&config_version, 1);
    BBM_AUTO_FREE char *routes = write_routes(more_routes, version);
    size_t size = strlen(routes) + 2048;
    BBM_AUTO_FREE char *body = bbm_calloc(size, 1);
    BBM_AUTO_FREE char *text = bbm_calloc(size + 512, 1);
    snprintf(
        body, size,
        "{\"version\":%d,\"routes\":[%s"
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
        version, routes);
    snprintf(text, size + 512,
             "PUT /-/config HTTP/1.1\r\nHost: c\r\nConnection: close\r\n"
             "Content-Type: application/json\r\nContent-Length: %zu\r\n\r\n%s",
             strlen(body), body);
    int status =
        control_status(v, (uint16_t)(first_port + SOAK_CONTROL), text);
    int acked = atomic_load(&acked_version);
    while (status == 200 && acked < version
           && !atomic_compare_exchange_weak(&acked_version, &acked, version))
        ;
    return status;
}

static bool
is_ready(const vm *v)
{
    return control_status(v, (uint16_t)(first_port + SOAK_READY),
                          "GET /-/readyz HTTP/1.1\r\nHost: c\r\n\r\n")
           == 200;
}

bool
vm_wait_until_ready(const vm *v, int64_t ms)
{
    int64_t until = soak_now_ms() + ms;
    while (soak_now_ms() < until) {
        if (is_ready(v))
            return true;
        soak_sleep_ms(100);
    }
    return false;
}
