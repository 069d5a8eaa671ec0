/* Real daemons under signals, restarts and changes that come in series and
   overlap; see soak_world.h.

       run.sh BUILD FOLDER [--seed N] [--seconds N] [--vms N] [--clients N]
              [--port N] [--actions NAME,...] [--callers NAME,...]
              [--upstreams NAME,...] [--steady N] [--cut N] [--pause MS]

   Callers stay until they have an answer; --callers lets some half-close,
   leave, wander, resend, retry, retry under the same-id, or resume streams;
   --upstreams lets them be faulty, malformed, refuse, copy, copy-all, restart,
   and have an alias or two versions (see soak_world.h).  With --steady, the
   first N VMs are left alone, and callers use these first.  With --cut, N VMs
   after the first are cut from all upstreams at times, so that other VMs
   forward their requests.
   --pause is the longest time between two actions at a VM; by default it rises
   with their number.

   Exit status: 0 no rule was broken, 1 one was, 2 it could not run. */
#include "soak_action.h"

#include <getopt.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

/* A VM is cut from the upstreams, and isn't, for a time of these. */
#define CUT_MS_MIN 300
#define CUT_MS_DRAWN 2500

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
static int64_t end_at;
static pthread_t cuts_thread;

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
            vm_set_cut(v, cut);
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
            vm_set_cut(&vms[i], false);
    }
    return NULL;
}

static void *
run_vm(void *context)
{
    vm *v = context;
    soak_play_actions(v, end_at, v->number < opt.steady ? 0 : opt.pause_ms);
    return NULL;
}

/* ---- the soak ---- */

static bool
begin(void)
{
    if (!vm_open(opt.folder, opt.port))
        return false;
    opt.upstreams.seed = opt.seed;
    soak_upstreams_start((uint16_t)(opt.port + SOAK_PORTS), &opt.upstreams);
    for (int i = 0; i < opt.vms; i++) {
        vm *v = &vms[i];
        *v = (vm){.number = i,
                  .random = {opt.seed * 7919 + (uint64_t)i},
                  .cut_random = {opt.seed * 104729 + (uint64_t)i}};
        vm_make_disk(v);
        vm_write_settings(v, 0);
        vm_start(v);
    }
    int64_t until = soak_now_ms() + VM_READY_MS_MAX;
    while (soak_now_ms() < until && vm_publish(&vms[0], 0) != 200)
        soak_sleep_ms(100);
    for (int i = 0; i < opt.vms; i++) {
        if (!vm_wait_until_ready(&vms[i], VM_READY_MS_MAX))
            return false;
    }
    return true;
}

static void
finish(void)
{
    char state[32];
    for (int i = 0; i < opt.vms; i++)
        pthread_join(vms[i].thread, NULL);
    pthread_join(cuts_thread, NULL);
    for (int i = 0; i < opt.vms; i++) {
        if (!vm_wait_until_ready(&vms[i], VM_READY_MS_MAX))
            soak_break("RECOVER vm-%d isn't ready %d ms after the last fault",
                       i + 1, VM_READY_MS_MAX);
    }
    for (int i = 0; i < VM_DISKS && i < opt.vms; i++)
        vm_check_config(&vms[i]);
    for (int i = 0; i < opt.vms; i++)
        vm_send_signal(&vms[i], SIGTERM);
    for (int i = 0; i < opt.vms; i++) {
        if (!vm_wait_for_end(&vms[i], VM_STOP_MS_MAX))
            soak_break("FAULT vm-%d doesn't stop, state %s", i + 1,
                       vm_state(&vms[i], state));
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
            opt.callers.half_close = soak_names_one(optarg, "half-close");
            opt.callers.leave = soak_names_one(optarg, "leave");
            opt.callers.wander = soak_names_one(optarg, "wander");
            opt.callers.resend = soak_names_one(optarg, "resend");
            opt.callers.resume = soak_names_one(optarg, "resume");
            opt.callers.same_id = soak_names_one(optarg, "same-id");
            opt.callers.retry =
                opt.callers.same_id || soak_names_one(optarg, "retry");
            break;
        case 'u':
            opt.upstreams = (soak_upstreams){
                .faulty = soak_names_one(optarg, "faulty"),
                .malformed = soak_names_one(optarg, "malformed"),
                .refuse = soak_names_one(optarg, "refuse"),
                .copy_all = soak_names_one(optarg, "copy-all"),
                .copy = soak_names_one(optarg, "copy"),
                .restart = soak_names_one(optarg, "restart"),
                .alias = soak_names_one(optarg, "alias"),
                .versions = soak_names_one(optarg, "versions"),
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
    if (soak_allow_actions(opt.actions))
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
        vm_wait_for_end(&vms[i], VM_STOP_MS_MAX);
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
