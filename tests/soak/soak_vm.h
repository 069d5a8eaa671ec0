/** @file
 *  The daemons of a soak: their files, processes and control calls.
 */
#ifndef SOAK_VM_H
#define SOAK_VM_H

#include "soak_world.h"

#include <stddef.h>
#include <sys/types.h>

#define VM_GRACE_S 4
/** A stop may last grace_s, and the end of the process a moment longer. */
#define VM_STOP_MS_MAX (VM_GRACE_S * 1000 + 2500)
/** After SIGKILL only the machine decides when a process is gone: one that
 *  waits for its disk stays until that answers. */
#define VM_KILL_MS_MAX 60000
#define VM_READY_MS_MAX 20000
/** VMs with a disk. */
#define VM_DISKS 3

typedef struct vm {
    int number;
    pid_t pid; /**< 0: none. */
    int64_t started_at;
    soak_random random;
    pthread_t thread;
    bool stop_sent; /**< SIGTERM was sent to this process. */
    bool cut_short; /**< Before it had begun: nothing can be lost. */
    bool kill_sent;
    bool wiped; /**< Its disk has been lost: it isn't a first start. */
    int herds;  /**< That it has taken part in. */
    soak_random cut_random;
    int64_t cut_until; /**< It is cut, or not, until then. */
    bool cut;
} vm;

/** Where the VMs' files are, and their first port; false without run.sh. */
bool vm_open(const char *folder, uint16_t port);
/** Name a moment of a VM on standard output. */
void vm_say(const vm *v, const char *what, int64_t value);
/** Path of a file of the VM in the soak's folder. */
void vm_path(const vm *v, const char *suffix, char path[512]);
int vm_format_settings(const vm *v, char *text, size_t size);
void vm_write_file(const char *path, const char *text, size_t len);
/** Write the settings as a template does that isn't moved into place: for
 *  @p gap_ms the file has its first part only. */
void vm_write_settings(const vm *v, int64_t gap_ms);
/** Make its disk's folder, or remove the files in it. */
void vm_make_disk(const vm *v);
void vm_empty_disk(const vm *v);
/** Cut a VM from all upstreams, or end the cut. */
void vm_set_cut(const vm *v, bool cut);

/** run.sh starts the process, and writes its id and, later, its exit status.
 */
void vm_start(vm *v);
/** Wait for the end of the process; true if it has ended. */
bool vm_wait_for_end(vm *v, int64_t ms);
/** State of the process as /proc has it, or "gone": tells one that runs from
 *  one whose end run.sh has not told. */
const char *vm_state(const vm *v, char text[32]);
void vm_send_signal(vm *v, int number);
/** Wait for the end of a process that was told to end, and start the next. */
void vm_stop_and_start(vm *v, int64_t pause_ms);

/** Publish a new configuration, with @p more_routes routes that no request
 *  uses; returns the status of the answer. */
int vm_publish(const vm *v, size_t more_routes);
/** What was acknowledged must be what the VM gives, once it gives any. */
void vm_check_config(const vm *v);
bool vm_wait_until_ready(const vm *v, int64_t ms);

#endif
