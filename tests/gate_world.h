/** @file
 *  Gates of many VMs, simulated upstreams and clients, in virtual time.
 *
 *  Two pools: `llm` of runners with shared prompts, and `app` of plain
 *  services with few slots.  Upstreams may crash on a prompt part or on a
 *  request, be lost for other reasons, break off answers, and state a request
 *  limit.  Runners may be of several builds, and clients take broken streams
 * of WORLD_ASK up again.  What VMs tell each other arrives one news period
 * later.
 *
 *      gate_world *w = world_create(&(world_load){.vms = 10, .runners = 18,
 *                                                 .per_s = 80});
 *      world_run(w);
 *      ... look at w->past, w->upstreams ...
 *      world_destroy(w);
 */
#ifndef GATE_WORLD_H
#define GATE_WORLD_H

#include "bbm_gate.h"
#include "bbm_loads.h"

#include <sys/queue.h>

#define WORLD_VMS_MAX 200
#define WORLD_UPSTREAMS_MAX 130
#define WORLD_SERVICE_SLOTS 6
#define WORLD_DEADLY_MAX 4
/** Id of the first prompt part that crashes runners. */
#define WORLD_DEADLY_PART 7000
/** Session of the deadly requests if world_load.companion is set. */
#define WORLD_COMPANION 95
/** Crashing, and the statement of limits, begin this time after the start. */
#define WORLD_BEGIN_TIME (4 * BBM_SECOND)
/** Time in which what some VMs know reaches all. */
#define WORLD_CONTACT_TIME (3 * BBM_SECOND)
/** After this time a VM must heed a limit that it has received. */
#define WORLD_HEED_TIME (500 * BBM_MS)

/** Routes; each has its own kind of requests. */
typedef enum world_route {
    WORLD_PLAN,    /**< Long prompts, one attempt. */
    WORLD_ASK,     /**< Resumable streams, two attempts. */
    WORLD_CONFIRM, /**< Service calls that run at most once. */
    WORLD_LOOKUP,  /**< Repeatable service calls, two attempts. */
} world_route;

/** What happens to the connections of a VM that is cut off from upstreams. */
typedef enum world_cut {
    WORLD_CUT_HANGS,   /**< They hang, and new ones time out. */
    WORLD_CUT_RESETS,  /**< They are reset, and new ones are refused. */
    WORLD_CUT_REFUSES, /**< They live on; new ones are refused. */
} world_cut;

/** Parameters. */
typedef struct world_load {
    int vms;
    int runners;
    int services;
    double per_s;         /**< Prompts over all VMs. */
    double service_per_s; /**< Service calls over all VMs. */
    uint64_t seed;
    bbm_time end;

    double deadly_share;  /**< Of the prompts of one route. */
    int deadly_parts;     /**< Number of different ones; 0: none. */
    size_t deadly_place;  /**< Place of the part in the prompt. */
    bool ask;             /**< Deadly parts come on WORLD_ASK. */
    bbm_time pause_from;  /**< No deadly requests in this time. */
    bbm_time pause_until; /**< End of that time. */
    bool companion;       /**< Deadly requests share a session that few
                               sound ones have. */
    int ordinary_crashes; /**< Runners that crash at a time, each 2 s. */
    int builds; /**< Builds of the runners; one that starts again has the next
                     one.  0: one build, and no stream is taken up. */
    bool brittle;       /**< The services say that they are, from
                             WORLD_BEGIN_TIME on; WORLD_CONTACT_TIME later they
                             let none wait. */
    int refusals_max;   /**< A brittle one that refuses more in a second falls
                             over. */
    int cut_vms;        /**< VMs, from the first, without a path to upstreams
                             from WORLD_BEGIN_TIME on. */
    int zones;          /**< Of the VMs, one after the other; 0: one. */
    world_cut cut_form; /**< What happens to their connections. */
    bool cut_services_only;  /**< They reach the runners. */
    bbm_time cut_until;      /**< End of the cut. */
    bbm_time vm_restarts_at; /**< Half of the VMs; 0: never. */
    bool all_vms_restart;    /**< Then all of them do. */
    double cut_share;        /**< Of answers that an upstream breaks off. */

    int deadly_calls;         /**< Number of different requests that crash each
                                   upstream that runs them, and come again and
                                   again. */
    world_route deadly_route; /**< Their route. */
    bbm_time deadly_until;    /**< From then on upstreams run them; 0:
                                   never. */
    double hot_share;         /**< Share of the WORLD_LOOKUP calls that are the
                                   same sound request. */
    int service_crashes;      /**< Services that crash at a time, each 6 s. */

    int limited; /**< Number of upstreams, from the first of the pool,
             that state a limit. */
    bool limited_services; /**< These are services. */
    double limit;          /**< Requests per second over all VMs. */
    double limit_swing;   /**< Each answer states a limit that differs by up to
                               this share. */
    bbm_time limit_until; /**< End of the limits; 0: never. */
    bbm_time clock_skew;  /**< The calendar of each third VM is off by this. */
} world_load;

/** A request of a client; kept to the end. */
typedef struct world_call {
    bbm_time at;
    int vm;
    world_route route;
    bool deadly;
    bool first; /**< The client's first attempt. */
    bool begun;
    bool done;
    bool refused;
    int64_t refused_after_ms; /**< From its arrival at the VM. */
    bool served;          /**< It or the client's second attempt was done. */
    uint64_t fingerprint; /**< 0: drawn for this call. */
    uint64_t session;
    uint64_t deadly_part;
    uint64_t id;       /**< Of this attempt. */
    uint64_t number;   /**< At its VM. */
    int build;         /**< That began the stream, from 1; 0: not begun. */
    bool takes_up;     /**< It takes up the stream of the first attempt. */
    bool build_serves; /**< Two runners of that stream's build worked then. */
    bool joined;       /**< It went on at another build. */
    struct world_attempt *relay_of; /**< Another VM's attempt that this VM
                                         forwards; NULL: a client's call. */
    struct world_call *origin; /**< The client's first attempt; NULL: this. */
    TAILQ_ENTRY(world_call) link; /**< By time. */
} world_call;

TAILQ_HEAD(world_call_list, world_call);
TAILQ_HEAD(world_attempt_list, world_attempt);

/** A request that reached an upstream while it stated a limit. */
typedef struct world_arrival {
    bbm_time at;
    bool counts; /**< Its VM had long received the limit. */
} world_arrival;

/** An upstream. */
typedef struct world_upstream {
    char id[BBM_NAME_SIZE];
    int run;
    bbm_time down_until;
    bbm_time down_since;
    bbm_time slot_free_at[WORLD_SERVICE_SLOTS];
    bbm_time told_at[WORLD_VMS_MAX]; /**< When each VM first received an answer
                                          with a limit; 0: never. */
    bbm_time refused_at[64];         /**< Last refusals for want of room. */
    size_t refused_len;              /**< Their number, also of older ones. */
    size_t falls;                    /**< Times that it fell over for that. */
    world_arrival *arrivals;
    size_t arrivals_len;
} world_upstream;

/** A prompt part or a request that crashes upstreams. */
typedef struct world_deadly {
    size_t crashes;
    bbm_time last_counted_at; /**< The last crash that is allowed. */
    size_t late;              /**< Requests that reached a runner too late. */
    bbm_time next_call_at;    /**< When a deadly request comes again. */
    bool served;              /**< It was run without a crash. */
} world_deadly;

/** The world; tests read it. */
typedef struct gate_world {
    world_load load;
    bbm_config *cfg;
    bbm_gate *gates[WORLD_VMS_MAX];
    world_call **calls[WORLD_VMS_MAX]; /**< By request number. */
    uint64_t requests[WORLD_VMS_MAX];
    uint64_t calls_cap[WORLD_VMS_MAX];
    world_upstream upstreams[WORLD_UPSTREAMS_MAX]; /**< Runners, then
                                                        services. */
    bbm_loads *loads;
    bbm_origins *origins; /**< As replicated. */
    struct world_query {
        int vm;
        uint64_t request;
        uint64_t stream;
        uint64_t listed;
    } * queries;                 /**< For origins, not answered yet. */
    size_t queries_len;          /**< Their number. */
    bbm_buf news[WORLD_VMS_MAX]; /**< Sent, not yet delivered. */
    bbm_buf totals;
    struct world_call_list pending;
    struct world_call_list past;
    struct world_attempt_list attempts;
    bbm_rng rng;
    bbm_rng service_rng;
    bbm_time started_at;
    bbm_time now;
    world_deadly deadly[WORLD_DEADLY_MAX];
    size_t crashed_runs; /**< Also ordinary crashes. */
} gate_world;

/** Number of crashes of a deadly part, and of a deadly request, after which,
 *  once WORLD_CONTACT_TIME has passed, its requests count as late. */
#define WORLD_CRASHES_ALLOWED 5
#define WORLD_CALL_CRASHES_ALLOWED 3

/** Create a world; its time starts at 100 s. */
gate_world *world_create(const world_load *load);
void world_destroy(gate_world *w);
/** Run to the end of the load. */
void world_run(gate_world *w);
/** Index of the first upstream that states a limit. */
int world_first_limited(const gate_world *w);

#endif
