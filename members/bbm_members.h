/** @file
 *  Group membership: which VMs are alive, leaving or dead.
 *
 *  A SWIM failure detector as a pure state machine.  In each probe period one
 *  member is pinged.  If it doesn't answer in time, a few other members are
 *  requested to ping it.  A member that doesn't answer any of them becomes a
 *  suspect and may refute the suspicion; it is declared dead when the
 *  suspicion timeout expires.  Updates about members are piggybacked on pings
 *  and answers, a bounded number in each message, so the cost for each VM
 *  doesn't grow with the size of the cluster.
 *
 *      bbm_members *m = bbm_members_create(&(bbm_members_desc){
 *          .self = {.name = "vm-1", .address = "10.0.0.1:7400"}, .run = run});
 *      bbm_members_add_peer(m, "vm-2", "10.0.0.2:7400");
 *      bbm_members_tick(m, now);
 *      bbm_members_receive(m, bytes, len, now);
 *      while ((out = bbm_members_next_output(m)) != NULL) ...
 *
 *  A run number identifies one start of a daemon.  It is made from the
 *  calendar clock and random bits, so that a later run has a higher number.
 *  A VM that comes back under the same name with another run number has lost
 *  its state in memory.
 *
 *  Source: SWIM by Das, Gupta and Motivala, with suspicion and refutation.
 */
#ifndef BBM_MEMBERS_H
#define BBM_MEMBERS_H

#include "bbm_hash.h"
#include "bbm_pack.h"
#include "bbm_time.h"

/** Size of an address in bytes, with the terminating zero. */
#define BBM_ADDRESS_SIZE 128
/** Maximum number of seed addresses. */
#define BBM_SEEDS_MAX 8
/** Maximum number of members, this VM included. */
#define BBM_MEMBERS_MAX 2048

/** Status of a member; a higher value overrides a lower one of the same run
 *  and version. */
typedef enum bbm_member_status {
    BBM_MEMBER_ALIVE,   /**< Answers. */
    BBM_MEMBER_SUSPECT, /**< Doesn't answer; can still refute that. */
    BBM_MEMBER_DEAD,    /**< Suspicion timed out, or never contacted. */
} bbm_member_status;

/** A member as it describes itself, and its status. */
typedef struct bbm_member {
    char name[BBM_NAME_SIZE];         /**< Unique name of the VM. */
    char address[BBM_ADDRESS_SIZE];   /**< Address for other VMs. */
    char entry_url[BBM_ADDRESS_SIZE]; /**< URL for clients. */
    char zone[BBM_NAME_SIZE];         /**< Availability zone. */
    uint64_t run;     /**< Run number; 0: configured, not yet contacted. */
    uint64_t version; /**< Raised by the member with each change of its
                           own description and with each refutation. */
    bool ready;       /**< Serves requests. */
    bool leaving;     /**< Accepts no new clients. */
    uint32_t open_requests;   /**< Requests in progress. */
    uint64_t revision;        /**< Revision of its active configuration. */
    bbm_member_status status; /**< As this VM sees it. */
    bbm_time status_since;    /**< Time of the last status or run change. */
} bbm_member;

/** Parameters of a detector. */
typedef struct bbm_members_desc {
    bbm_member self;       /**< Name, address, entry URL and zone. */
    uint64_t run;          /**< Run number of this VM. */
    uint64_t seed;         /**< Seed of all random choices. */
    bbm_time probe_period; /**< Time between pings; 0: 1 s. */
    bbm_time ack_timeout;  /**< Time to wait for an answer before other members
                                are requested to ping; 0: period / 2. */
    bbm_time suspicion_timeout; /**< Time until a suspect is dead; 0: 7 s. */
    bbm_time forget_after;      /**< Time until a dead member is removed; 0: 10
                                     min. */
    uint32_t indirect_probes;   /**< Members requested to ping; 0: 3. */
    uint32_t updates_max;       /**< Updates in a message; 0: 6. */
} bbm_members_desc;

/** An output: a message to send, or notice of a change. */
typedef struct bbm_members_output {
    bool changed;                   /**< Status or run of @c member changed;
                                         nothing to send. */
    char member[BBM_NAME_SIZE];     /**< Receiver or changed member; "" if the
                                         receiver is a seed of unknown name. */
    char address[BBM_ADDRESS_SIZE]; /**< Address of the receiver. */
    bbm_buf bytes;                  /**< The message. */
} bbm_members_output;

/** The detector; opaque. */
typedef struct bbm_members bbm_members;

/** Create a detector whose only member is this VM. */
bbm_members *bbm_members_create(const bbm_members_desc *desc);
/** Release; NULL is allowed. */
void bbm_members_destroy(bbm_members *m);

/** Add a member from the settings.  It counts as dead until it is contacted.
 *  No effect if the name is already a member. */
void bbm_members_add_peer(bbm_members *m, const char *name,
                          const char *address);

/** Set the addresses of daemons whose names are unknown; replaces the earlier
 *  ones.  Each is requested to send its full member list, frequently at first
 *  and rarely later, so that a VM finds all members from a single address. */
void bbm_members_set_seeds(bbm_members *m,
                           const char addresses[][BBM_ADDRESS_SIZE],
                           size_t len);

/** Update the description of this VM.  @p load is the number of open requests;
 *  a small change of it alone is not sent. */
void bbm_members_update_self(bbm_members *m, bool ready, bool leaving,
                             uint32_t load, uint64_t revision);

/** Run all timers that are due at @p now. */
void bbm_members_tick(bbm_members *m, bbm_time now);
/** Process a message.  BBM_ERR_DECODE if it is malformed. */
int bbm_members_receive(bbm_members *m, const uint8_t *data, size_t len,
                        bbm_time now);
/** The next output, or NULL; valid until the next call. */
bbm_members_output *bbm_members_next_output(bbm_members *m);

/** A member by name, or NULL. */
const bbm_member *bbm_members_find(const bbm_members *m, const char *name);
/** The i-th member by name order, this VM included; NULL past the end. */
const bbm_member *bbm_members_at(const bbm_members *m, size_t i);
/** Number of members, this VM included. */
size_t bbm_members_count(const bbm_members *m);
/** "alive", "suspect" or "dead". */
const char *bbm_member_status_text(bbm_member_status status);

#endif
