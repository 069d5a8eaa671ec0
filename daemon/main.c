/** @file
 *  The daemon `bluebellmoord`: start, signals, shutdown.
 *
 *  Exit status: 0 after a graceful shutdown, 1 if a part of the daemon could
 *  not be started, 2 if the settings or arguments have errors, 3 after a
 *  second SIGINT.
 */
#include "control.h"
#include "disk.h"
#include "fatal.h"
#include "forward.h"
#include "front.h"
#include "provider.h"
#include "traffic.h"
#include "transport.h"
#include "watcher.h"

#include <curl/curl.h>
#include <getopt.h>
#include <malloc.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/stat.h>
#include <unistd.h>

#define EXIT_START_FAILED 1
#define EXIT_BAD_SETTINGS 2
#define EXIT_INTERRUPTED 3
#define MAILBOX_SIZE 65536
/* Listening addresses for the provider: readiness, control, directory. */
#define PROVIDER_FRONTS_MAX 3
/* Period at which the settings file is checked for changes, as it may be
   replaced without a SIGHUP. */
#define RELOAD_PERIOD_S 2
/* Time for accepting the last connections and for sending the last answers
   before all are closed. */
#define FLUSH_DELAY_US 100000
/* Period at which answers that aren't read yet are counted, and the time that
   is left of the time for stopping when they are given up. */
#define UNREAD_PERIOD_US 20000
#define UNREAD_MARGIN (300 * BBM_MS)
/* Time for which a start waits for what it needs.  A process that was killed
   holds its addresses until all of it has ended, for instance. */
#define START_TIMEOUT (5 * BBM_SECOND)
#define START_RETRY (100 * BBM_MS)
#define SETTINGS_ENV "BLUEBELLMOOR_CONFIG"
/* glibc's malloc arenas; more of them would only spread the allocations over
   more memory. */
#define MALLOC_ARENAS_MAX 4
/* Longer allocations are mappings of their own, so that their memory goes back
   when they are freed, and pages that aren't used yet take none.  A fixed
   threshold keeps glibc from raising it to the length of a freed mapping. */
#define MALLOC_MAPPED_BYTES (64 * 1024)
/* Free memory at the end of an arena from which on it goes back. */
#define MALLOC_TRIM_BYTES (256 * 1024)

/* What a start needs may come late: a settings file that is being written, a
   disk, an address that is in use. */
typedef struct start_wait {
    bbm_time began_at;
    int logged_event; /* last one that was logged */
    bool stopped;     /* a signal to stop came */
} start_wait;

typedef struct daemon_parts {
    bbm_settings *settings;
    uint64_t run;
    uint8_t message_secret[BBM_DIGEST_SIZE];
    uint8_t key_secret[BBM_DIGEST_SIZE];
    memory_budget memory;
    bodies *bodies;
    descriptors *descriptors;
    mailbox *box;
    start_wait *wait;
    atomic_bool ready;
    atomic_bool stop_now;
    atomic_llong last_tick;
    atomic_ullong next_id;
    disk *disk;
    transport *transport;
    watcher *watcher;
    traffic **traffic;
    size_t traffic_len;
    forward *forward;
    provider *provider;
    front *callers;
    front *admin;
    front *provider_fronts[PROVIDER_FRONTS_MAX];
    size_t provider_fronts_len;
    atomic_bool closing;
    atomic_llong stop_began_at; /* control_now(); 0: no signal to stop yet */
    front_limits limits;
    const char *settings_path;
    int64_t settings_mtime; /* of the file that was read last */
    pthread_t signal_thread;
    atomic_bool signals_done; /* ends the signal thread */
} daemon_parts;

/* ---- arguments ---- */

static void
usage(FILE *to)
{
    fputs("usage: bluebellmoord [--settings FILE]\n"
          "       bluebellmoord --check-settings FILE\n"
          "       bluebellmoord --help | --version\n"
          "\n"
          "Without --settings, " SETTINGS_ENV " names the file.\n"
          "\n"
          "Exit status: 0 stopped gracefully or settings valid, 1 could not\n"
          "start, 2 errors in settings or arguments, 3 second SIGINT.\n",
          to);
}

static int
print_errors(const bbm_doc_errors *errors)
{
    BBM_AUTO_FREE char *text = bbm_doc_errors_text(errors);
    fputs(text, stderr);
    return EXIT_BAD_SETTINGS;
}

static int
check_settings(const char *path)
{
    bbm_doc_errors errors = {0};
    bbm_settings *s = bbm_settings_load(path, &errors);
    int rc = s ? EXIT_SUCCESS : print_errors(&errors);
    if (s)
        puts("settings are valid");
    bbm_settings_destroy(s);
    bbm_doc_errors_free(&errors);
    return rc;
}

/* ---- signals ---- */

static sigset_t
stop_signals(void)
{
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    return set;
}

static sigset_t
waited_signals(void)
{
    sigset_t set = stop_signals();
    sigaddset(&set, SIGHUP);
    return set;
}

/* A signal that comes before the daemon waits for it stays pending; it would
   end the process otherwise. */
static void
block_signals(void)
{
    sigset_t set = waited_signals();
    pthread_sigmask(SIG_BLOCK, &set, NULL);
    signal(SIGPIPE, SIG_IGN);
    /* A write beyond the limit on file sizes fails, as on a full disk. */
    signal(SIGXFSZ, SIG_IGN);
}

static const char *
signal_name(int number)
{
    return number == SIGTERM ? "TERM" : "INT";
}

/* ---- start ---- */

/* Waits before another try.  Returns false if the time is up or a signal to
   stop came.  The cause is logged when it changes.
   @param name Name of the log field with @p value. */
static bool
wait_to_start(start_wait *w, bbm_log_event event, const char *name,
              const char *value)
{
    static const struct timespec pause = {.tv_nsec = START_RETRY};
    sigset_t set = stop_signals();
    if (w->stopped || control_now() - w->began_at >= START_TIMEOUT)
        return false;
    if (w->logged_event != (int)event)
        bbm_log(event, name, value, NULL);
    w->logged_event = (int)event;
    int number = sigtimedwait(&set, NULL, &pause);
    if (number < 0)
        return true;
    w->stopped = true;
    bbm_log(BBM_EVENT_STOPPING, "signal", signal_name(number), NULL);
    return false;
}

/* A number that rises with each run: calendar time in milliseconds, followed
   by 20 random bits. */
static uint64_t
create_run_number(void)
{
    uint32_t low;
    bbm_random_bytes(&low, sizeof(low));
    return (uint64_t)control_wall_ms() << 20 | (low & 0xfffff);
}

static void
derive_secrets(daemon_parts *p)
{
    bbm_secret_derive(p->settings->secret, BBM_SECRET_MESSAGES,
                      p->message_secret);
    bbm_secret_derive(p->settings->secret, BBM_SECRET_KEYS, p->key_secret);
}

static int
open_disk(daemon_parts *p)
{
    if (!p->settings->data_folder[0])
        return BBM_OK;
    bbm_store *store;
    bbm_store_report report;
    int rc;
    while ((rc = bbm_store_open(p->settings->data_folder, &store, &report))
               == BBM_ERR_IO
           && wait_to_start(p->wait, BBM_EVENT_STORE_LATE, "file",
                            report.failed_file))
        ;
    if (rc < 0) {
        bbm_log(BBM_EVENT_STORE_FAILED, "file", report.failed_file, "code",
                bbm_code_name(rc), NULL);
        return rc;
    }
    if (report.torn_bytes)
        bbm_log(BBM_EVENT_TORN_TAIL, "folder", p->settings->data_folder, NULL);
    p->disk = disk_create(store, p->box);
    return BBM_OK;
}

static bool
wait_to_listen(daemon_parts *p, const char *address)
{
    return wait_to_start(p->wait, BBM_EVENT_LISTEN_RETRIED, "address",
                         address);
}

static front *
open_front(daemon_parts *p, front_kind kind, const char *address)
{
    const front_desc desc = {
        .settings = p->settings,
        .kind = kind,
        .address = address,
        .closing = &p->closing,
        .limits = &p->limits,
        .run_id = p->run,
        .key_secret = p->key_secret,
        .ready = &p->ready,
        .last_tick = &p->last_tick,
        .next_id = &p->next_id,
        .control_mailbox = p->box,
        .memory = &p->memory,
        .bodies = p->bodies,
        .descriptors = p->descriptors,
    };
    front *f;
    while ((f = front_create(&desc)) == NULL && wait_to_listen(p, address))
        ;
    if (!f && !p->wait->stopped)
        bbm_log(BBM_EVENT_LISTEN_FAILED, "address", address, NULL);
    return f;
}

static bool
open_provider_front(daemon_parts *p, const char *address)
{
    if (!address[0])
        return true;
    front *f = open_front(p, FRONT_PROVIDER, address);
    if (f)
        p->provider_fronts[p->provider_fronts_len++] = f;
    return f != NULL;
}

/* Starts the threads that call upstreams: with list_address those for pools,
   otherwise those for engines and services. */
static void
start_upstream_threads(daemon_parts *p)
{
    const bbm_settings *s = p->settings;
    if (s->list_address[0]) {
        p->forward = forward_create(p->box, p->key_secret);
        p->provider = provider_create(&(provider_desc){
            .list_address = s->list_address,
            .owner = s->name,
            .control = p->box,
        });
        return;
    }
    p->watcher = watcher_create(p->box, s->report_ms * BBM_MS);
    p->traffic = bbm_calloc((size_t)s->traffic_threads, sizeof(traffic *));
    p->traffic_len = (size_t)s->traffic_threads;
    for (size_t i = 0; i < p->traffic_len; i++)
        p->traffic[i] = traffic_create(p->box);
}

static int
open_parts(daemon_parts *p)
{
    const bbm_settings *s = p->settings;
    memory_budget_init(&p->memory, s->memory_mb
                                       ? (size_t)s->memory_mb * 1000000
                                       : memory_budget_detect());
    p->bodies = bodies_create(&p->memory);
    p->descriptors = descriptors_create(0);
    p->box = mailbox_create(MAILBOX_SIZE);
    mailbox_set_memory(p->box, &p->memory, control_item_bytes);
    atomic_store(&p->last_tick, control_now());
    int rc = open_disk(p);
    if (rc < 0)
        return rc;
    do
        p->transport = transport_create(s, p->run, p->message_secret, p->box);
    while (!p->transport && wait_to_listen(p, s->peer_address));
    if (!p->transport) {
        if (!p->wait->stopped)
            bbm_log(BBM_EVENT_LISTEN_FAILED, "address", s->peer_address, NULL);
        return BBM_ERR_IO;
    }
    start_upstream_threads(p);
    front_kind kind = s->list_address[0] ? FRONT_POOL_CALLERS : FRONT_CALLERS;
    p->callers = open_front(p, kind, s->caller_address);
    p->admin = open_front(p, FRONT_OPERATORS, s->admin_address);
    bool all_open = open_provider_front(p, s->ready_address)
                    && open_provider_front(p, s->control_address)
                    && open_provider_front(p, s->directory_address);
    return p->callers && p->admin && all_open ? BBM_OK : BBM_ERR_IO;
}

/* ---- stop ---- */

static void
fail_queued_items(daemon_parts *p)
{
    control_item *item;
    while ((item = mailbox_take(p->box)) != NULL) {
        if (item->ex)
            exchange_fail(item->ex, BBM_ERR_DRAINING, 0);
        control_item_destroy(item);
    }
}

static void
apply_to_fronts(const daemon_parts *p, void (*apply)(front *f))
{
    if (p->callers)
        apply(p->callers);
    if (p->admin)
        apply(p->admin);
    for (size_t i = 0; i < p->provider_fronts_len; i++)
        apply(p->provider_fronts[i]);
}

static size_t
count_unread(const daemon_parts *p)
{
    size_t unread = p->callers ? front_unread_answers(p->callers) : 0;
    if (p->admin)
        unread += front_unread_answers(p->admin);
    for (size_t i = 0; i < p->provider_fronts_len; i++)
        unread += front_unread_answers(p->provider_fronts[i]);
    return unread;
}

/* Time at which answers are given up that aren't read yet. */
static bbm_time
unread_deadline(const daemon_parts *p)
{
    const bbm_settings *s = p->settings;
    bbm_time began = (bbm_time)atomic_load(&p->stop_began_at);
    if (atomic_load(&p->stop_now) || !began)
        return 0;
    if (s->grace_s > 0)
        return began + (bbm_time)(s->grace_s * (double)BBM_SECOND)
               - UNREAD_MARGIN;
    return s->stop_ms ? began + s->stop_ms * BBM_MS : BBM_NEVER;
}

static void
log_unread(size_t unread, bbm_time waited)
{
    char count[24];
    char ms[24];
    snprintf(count, sizeof(count), "%zu", unread);
    snprintf(ms, sizeof(ms), "%lld", (long long)(waited / BBM_MS));
    bbm_log(BBM_EVENT_ANSWERS_UNREAD, "answers", count, "waited_ms", ms, NULL);
}

/* Upstreams have answered these requests whole: what the daemon still holds is
   sent on for as long as the stop may take.  New requests are refused. */
static void
deliver_answers(daemon_parts *p)
{
    bbm_time began = control_now();
    bbm_time deadline = unread_deadline(p);
    size_t unread = count_unread(p);
    if (!unread || began >= deadline)
        return;
    log_unread(unread, 0);
    while (unread && control_now() < deadline) {
        usleep(UNREAD_PERIOD_US);
        /* Control doesn't take items any more; a thread that waits for room
           would not serve its connections. */
        fail_queued_items(p);
        unread = count_unread(p);
    }
    log_unread(unread, control_now() - began);
}

/* No connection may be suspended when its front is destroyed.  Hence the
   threads that resume connections are stopped, and all open exchanges failed,
   before the fronts are destroyed. */
static void
end_requests(daemon_parts *p)
{
    apply_to_fronts(p, front_reject_requests);
    for (size_t i = 0; i < p->traffic_len; i++)
        traffic_stop(p->traffic[i]);
    forward_stop(p->forward);
    fail_queued_items(p);
    apply_to_fronts(p, front_fail_open_requests);
    deliver_answers(p);
}

static void
close_parts(daemon_parts *p)
{
    if (p->callers)
        front_refuse_connections(p->callers);
    usleep(FLUSH_DELAY_US);
    apply_to_fronts(p, front_destroy);
    for (size_t i = 0; i < p->traffic_len; i++)
        traffic_destroy(p->traffic[i]);
    free(p->traffic);
    forward_destroy(p->forward);
    provider_destroy(p->provider);
    watcher_destroy(p->watcher);
    transport_destroy(p->transport);
    disk_destroy(p->disk);
    fail_queued_items(p);
    mailbox_destroy(p->box);
    bodies_destroy(p->bodies);
    descriptors_destroy(p->descriptors);
}

/* ---- running ---- */

/* Nanoseconds; 0: there is no file. */
static int64_t
settings_mtime(const char *path)
{
    struct stat st;
    if (stat(path, &st) != 0)
        return 0;
    return (int64_t)st.st_mtim.tv_sec * BBM_SECOND + st.st_mtim.tv_nsec;
}

/* Rereads the settings.  Only changes of the seeds take effect while the
   daemon runs. */
static void
reload_seeds(daemon_parts *p)
{
    bbm_doc_errors errors = {0};
    bbm_settings *s = bbm_settings_load(p->settings_path, &errors);
    if (!s) {
        bbm_log(BBM_EVENT_SETTINGS, "mistake",
                errors.len ? errors.lines[0] : "", NULL);
        bbm_doc_errors_free(&errors);
        return;
    }
    control_item *item = control_item_create(CONTROL_RELOAD);
    memcpy(item->seeds, s->seeds, sizeof(item->seeds));
    item->seeds_len = s->seeds_len;
    char seeds[BBM_SEEDS_MAX * BBM_ADDRESS_SIZE] = "";
    for (size_t i = 0; i < s->seeds_len; i++) {
        strncat(seeds, s->seeds[i], sizeof(seeds) - strlen(seeds) - 1);
        strncat(seeds, " ", sizeof(seeds) - strlen(seeds) - 1);
    }
    bbm_log(BBM_EVENT_RELOADED, "seeds", seeds, NULL);
    bbm_settings_destroy(s);
    mailbox_put_waiting(p->box, item);
}

static void
request_stop(daemon_parts *p, int number)
{
    bbm_log(BBM_EVENT_STOPPING, "signal", signal_name(number), NULL);
    atomic_store(&p->stop_began_at, control_now());
    mailbox_put_waiting(p->box, control_item_create(CONTROL_STOP));
}

static void *
wait_for_signals(void *context)
{
    daemon_parts *p = context;
    sigset_t set = waited_signals();
    int stops = 0;
    int interrupts = 0;
    for (;;) {
        struct timespec wait = {.tv_sec = RELOAD_PERIOD_S};
        int number = sigtimedwait(&set, NULL, &wait);
        if (atomic_load(&p->signals_done))
            return NULL;
        int64_t mtime = settings_mtime(p->settings_path);
        if (number == SIGHUP || mtime != p->settings_mtime) {
            p->settings_mtime = mtime;
            reload_seeds(p);
        }
        if (number < 0 || number == SIGHUP)
            continue;
        /* Supervisors repeat SIGTERM, which must cost no answer; only a person
           at a terminal sends SIGINT twice. */
        interrupts += number == SIGINT;
        if (interrupts > 1)
            _exit(EXIT_INTERRUPTED);
        if (stops++ == 0)
            request_stop(p, number);
        else
            bbm_log(BBM_EVENT_STOP_REPEATED, "signal", signal_name(number),
                    NULL);
    }
}

static void
raise_file_limit(void)
{
    struct rlimit limit;
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0)
        return;
    limit.rlim_cur = limit.rlim_max;
    setrlimit(RLIMIT_NOFILE, &limit);
}

/* ---- run ---- */

static int
run(daemon_parts *p)
{
    derive_secrets(p);
    p->run = create_run_number();
    int rc = open_parts(p);
    if (rc == BBM_OK)
        rc = pthread_create(&p->signal_thread, NULL, wait_for_signals, p) == 0
                 ? BBM_OK
                 : BBM_ERR_IO;
    if (rc == BBM_OK) {
        bbm_log(BBM_EVENT_STARTED, "callers", p->settings->caller_address,
                "zone", p->settings->zone, NULL);
        control_run(
            &(control_desc){
                .settings = p->settings,
                .run = p->run,
                .box = p->box,
                .ready = &p->ready,
                .last_tick = &p->last_tick,
                .traffic = p->traffic,
                .traffic_len = p->traffic_len,
                .forward = p->forward,
                .provider = p->provider,
                .closing = &p->closing,
                .limits = &p->limits,
                .watcher = p->watcher,
                .transport = p->transport,
                .disk = p->disk,
            },
            &p->stop_now);
        end_requests(p);
        bbm_log(BBM_EVENT_STOPPED, NULL);
        /* Not cancelled: it may hold a lock while it rereads the settings. */
        atomic_store(&p->signals_done, true);
        pthread_kill(p->signal_thread, SIGHUP);
        pthread_join(p->signal_thread, NULL);
    }
    else {
        end_requests(p);
    }
    close_parts(p);
    return rc == BBM_OK || p->wait->stopped ? EXIT_SUCCESS : EXIT_START_FAILED;
}

/* True if the file can be read as a whole document, with or without errors in
   its fields. */
static bool
is_document(const char *path)
{
    size_t len = 0;
    BBM_AUTO_FREE char *text = bbm_read_file(path, &len);
    bbm_doc_errors errors = {0};
    json_t *doc = text ? bbm_doc_parse(text, len, &errors) : NULL;
    json_decref(doc);
    bbm_doc_errors_free(&errors);
    return doc != NULL;
}

/* Reads the settings; a file that is missing or incomplete may be just being
   written.  False with the errors of the last try. */
static bool
load_settings(daemon_parts *p, bbm_doc_errors *errors)
{
    const char *path = p->settings_path;
    for (;;) {
        p->settings_mtime = settings_mtime(path);
        p->settings = bbm_settings_load(path, errors);
        if (p->settings || is_document(path)
            || !wait_to_start(p->wait, BBM_EVENT_SETTINGS_LATE, "mistake",
                              errors->len ? errors->lines[0] : ""))
            return p->settings != NULL;
        bbm_doc_errors_free(errors);
        *errors = (bbm_doc_errors){0};
    }
}

static int
start(const char *path)
{
    if (!path)
        return EXIT_BAD_SETTINGS;
    bbm_doc_errors errors = {0};
    start_wait wait = {.began_at = control_now()};
    daemon_parts parts = {.wait = &wait, .settings_path = path};
    if (!load_settings(&parts, &errors)) {
        int rc = wait.stopped ? EXIT_SUCCESS : print_errors(&errors);
        bbm_doc_errors_free(&errors);
        return rc;
    }
    wait.began_at = control_now();
    bbm_log_setup(&(bbm_log_desc){
        .node = parts.settings->name,
        .file = stdout,
        .min_level = (bbm_level)bbm_level_parse(parts.settings->log_level),
    });
    bbm_log_start();
    fatal_log_setup(parts.settings->name, &exchange_count.at_work);
    raise_file_limit();
    mallopt(M_ARENA_MAX, MALLOC_ARENAS_MAX);
    mallopt(M_MMAP_THRESHOLD, MALLOC_MAPPED_BYTES);
    mallopt(M_TRIM_THRESHOLD, MALLOC_TRIM_BYTES);
    curl_global_init(CURL_GLOBAL_ALL);
    int rc = run(&parts);
    bbm_log_stop();
    curl_global_cleanup();
    bbm_settings_destroy(parts.settings);
    return rc;
}

int
main(int argc, char **argv)
{
    static const struct option options[] = {
        {"settings", required_argument, NULL, 's'},
        {"check-settings", required_argument, NULL, 'c'},
        {"help", no_argument, NULL, 'h'},
        {"version", no_argument, NULL, 'v'},
        {NULL, 0, NULL, 0},
    };
    block_signals();
    if (bbm_hash_setup() < 0)
        return EXIT_START_FAILED;
    int opt = getopt_long(argc, argv, "", options, NULL);
    switch (opt) {
    case 's':
        return start(optarg);
    case 'c':
        return check_settings(optarg);
    case 'h':
        usage(stdout);
        return EXIT_SUCCESS;
    case 'v':
        puts("bluebellmoord " BBM_VERSION);
        return EXIT_SUCCESS;
    case -1:
        if (optind == argc && getenv(SETTINGS_ENV))
            return start(getenv(SETTINGS_ENV));
        usage(stderr);
        return EXIT_BAD_SETTINGS;
    default:
        usage(stderr);
        return EXIT_BAD_SETTINGS;
    }
}
