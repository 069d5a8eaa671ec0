/** @file
 *  Which VMs of the system are alive, leaving or dead.
 *
 *  A gossip failure detector as a pure state machine.  Each period one member
 *  is pinged; if it doesn't answer, a few others are asked to ping it.  One
 *  that nobody reaches is suspected, and may refute that; only when the
 *  suspicion lasts is it dead.  News ride on pings and answers, a bounded
 *  number in each, so the cost of a VM doesn't grow with the fleet.
 *
 *      bbm_members *m = bbm_members_create(&(bbm_members_desc){
 *          .self = {.name = "vm-1", .address = "10.0.0.1:7400"}, .run = run});
 *      bbm_members_add_peer(m, "vm-2", "10.0.0.2:7400");
 *      bbm_members_tick(m, now);
 *      bbm_members_receive(m, bytes, len, now);
 *      while ((out = bbm_members_next_output(m)) != NULL) ...
 *
 *  A run is a number drawn when a daemon starts, from the calendar clock and
 *  random bits, so that a later run has the higher number.  A VM that comes
 *  back under its name with another run has lost what it held in memory.
 *
 *  Source: SWIM by Das, Gupta and Motivala, with suspicion and refutation.
 */
#ifndef BBM_MEMBERS_H
#define BBM_MEMBERS_H

#include "bbm_hash.h"
#include "bbm_pack.h"
#include "bbm_time.h"

/** Bytes of an address, its end mark included. */
#define BBM_ADDRESS_SIZE 128
/** Addresses to join by. */
#define BBM_SEEDS_MAX 8
/** Members that one VM keeps track of. */
#define BBM_MEMBERS_MAX 2048

/** What is known about a member's life. */
typedef enum bbm_member_status {
    BBM_MEMBER_ALIVE,   /**< Answers. */
    BBM_MEMBER_SUSPECT, /**< Doesn't; may refute it. */
    BBM_MEMBER_DEAD,    /**< Given up. */
} bbm_member_status;

/** A member as it describes itself, and its status. */
typedef struct bbm_member {
    char name[BBM_NAME_SIZE];         /**< Of its daemon. */
    char address[BBM_ADDRESS_SIZE];   /**< For other VMs. */
    char entry_url[BBM_ADDRESS_SIZE]; /**< For callers, as a URL. */
    char zone[BBM_NAME_SIZE];         /**< Availability zone. */
    uint64_t run;                     /**< Drawn at its start. */
    uint64_t version;         /**< Rises with what it says of itself. */
    bool ready;               /**< Serves. */
    bool leaving;             /**< Takes no new callers. */
    uint32_t open_requests;   /**< Requests open. */
    uint64_t revision;        /**< Configuration in force there. */
    bbm_member_status status; /**< As seen from here. */
    bbm_time status_since;    /**< When the status began. */
} bbm_member;

/** How to make the detector. */
typedef struct bbm_members_desc {
    bbm_member self;            /**< Name, address, entry and zone. */
    uint64_t run;               /**< This run. */
    uint64_t seed;              /**< For choices. */
    bbm_time probe_period;      /**< Between pings; 0: 1 s. */
    bbm_time ack_timeout;       /**< For an answer; 0: period / 2. */
    bbm_time suspicion_timeout; /**< Before a suspect is dead; 0: 7 s. */
    bbm_time forget_after; /**< Before a dead one is forgotten; 0: 10 min. */
    uint32_t indirect_probes; /**< Asked to ping; 0: 3. */
    uint32_t updates_max;     /**< News in a message; 0: 6. */
} bbm_members_desc;

/** An output: bytes for a member, or news of a change. */
typedef struct bbm_members_output {
    bool changed;                   /**< Status or run changed; no bytes. */
    char member[BBM_NAME_SIZE];     /**< The member; "": who is there. */
    char address[BBM_ADDRESS_SIZE]; /**< Its address. */
    bbm_buf bytes;                  /**< Message. */
} bbm_members_output;

/** The detector; opaque. */
typedef struct bbm_members bbm_members;

/** Make a detector that knows itself alone. */
bbm_members *bbm_members_create(const bbm_members_desc *desc);
/** Release; NULL is allowed. */
void bbm_members_destroy(bbm_members *m);

/** Tell of a member that settings name; it need not be alive. */
void bbm_members_add_peer(bbm_members *m, const char *name,
                          const char *address);

/** Addresses of daemons whose names aren't known; they replace those given
 *  before.  They are asked for all they know, often at first and now and then
 *  later, so that a VM finds the others however few it was told of. */
void bbm_members_set_seeds(bbm_members *m,
                           const char addresses[][BBM_ADDRESS_SIZE],
                           size_t len);

/** Change what is said of this VM. */
void bbm_members_update_self(bbm_members *m, bool ready, bool leaving,
                             uint32_t load, uint64_t revision);

/** Time has passed. */
void bbm_members_tick(bbm_members *m, bbm_time now);
/** A message came in.  BBM_ERR_DECODE if it is malformed. */
int bbm_members_receive(bbm_members *m, const uint8_t *data, size_t len,
                        bbm_time now);
/** The next output, or NULL; valid until the next call. */
bbm_members_output *bbm_members_next_output(bbm_members *m);

/** A member by name, or NULL. */
const bbm_member *bbm_members_find(const bbm_members *m, const char *name);
/** The i-th member by name order, this VM included; NULL past the end. */
const bbm_member *bbm_members_at(const bbm_members *m, size_t i);
/** Members that are known. */
size_t bbm_members_count(const bbm_members *m);
/** A text for a status. */
const char *bbm_member_status_text(bbm_member_status status);

#endif
