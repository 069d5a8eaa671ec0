/** @file
 *  Group membership: which VMs are alive, leaving or dead.
 *
 *  A SWIM failure detector as a pure state machine.  In each probe period it
 *  pings one member, and also some of the suspects.  If a member doesn't
 *  answer in time, it sends ping requests for that member to a few others.  A
 *  member that answers none of these pings becomes a suspect and may refute
 *  the suspicion; it is declared dead when the suspicion timeout expires.
 *  Updates about members are piggybacked on pings and answers, a bounded
 *  number in each message, so that the steady cost for each VM doesn't grow
 *  with the size of the cluster.  Only the full member lists, which are sent
 *  rarely, do.
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

#include "bbm_format.h"
#include "bbm_hash.h"
#include "bbm_pack.h"
#include "bbm_time.h"

/** Size of an address in bytes, with the terminating zero. */
#define BBM_ADDRESS_SIZE 128
/** Maximum number of seed addresses; further ones are ignored. */
#define BBM_SEEDS_MAX 8
/** Maximum number of members, this VM included. */
#define BBM_MEMBERS_MAX 2048

/** Status of a member; a higher value overrides a lower one of the same run
 *  and version. */
typedef enum bbm_member_status {
    BBM_MEMBER_ALIVE,   /**< Answers. */
    BBM_MEMBER_SUSPECT, /**< Doesn't answer; can still refute that. */
    BBM_MEMBER_DEAD,    /**< The suspicion timed out; or the member is
                             configured and not yet contacted. */
} bbm_member_status;

/** A member's description of itself, and its status as seen by this VM. */
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
    bbm_format format;        /**< Latest format that it reads, as it states;
                                   if it states none, as another VM has
                                   observed. */
    bbm_member_status status; /**< Status as seen by this VM. */
    bbm_time status_since;    /**< Time of the last status or run change. */
} bbm_member;

/** Parameters of a detector. */
typedef struct bbm_members_desc {
    bbm_member self;       /**< Initial description of this VM; its run,
                                version and status are ignored. */
    uint64_t run;          /**< Run number of this VM. */
    uint64_t seed;         /**< Seed of all random choices. */
    bbm_time probe_period; /**< Time between pings; 0: 1 s. */
    bbm_time ack_timeout; /**< Time without an answer after which ping requests
                               are sent to other members; 0: half of the
                               probe period. */
    bbm_time suspicion_timeout; /**< Time from suspicion until the member is
                                     declared dead; 0: 7 s. */
    bbm_time forget_after;    /**< Time until a dead member is removed, except
                                   one never contacted; 0: 10 min. */
    uint32_t indirect_probes; /**< Maximum number of ping requests for a
                                   member that doesn't answer; 0: 3. */
    uint32_t updates_max;     /**< Maximum number of updates in a message;
                                   at most 64, and equal on all VMs.
                                   0: 6. */
} bbm_members_desc;

/** An output: a message to send, or a notice of a change. */
typedef struct bbm_members_output {
    bool changed;                   /**< Status or run of @c member changed;
                                         nothing to send. */
    char member[BBM_NAME_SIZE];     /**< Receiver or changed member; "" if the
                                         receiver is a seed of unknown name. */
    char address[BBM_ADDRESS_SIZE]; /**< Address of the receiver; "" in a
                                       notice. */
    bbm_buf bytes;                  /**< The message; owned by the detector. */
} bbm_members_output;

/** The detector; opaque. */
typedef struct bbm_members bbm_members;

/** Create a detector whose only member is this VM. */
bbm_members *bbm_members_create(const bbm_members_desc *desc);
/** Release; NULL is allowed. */
void bbm_members_destroy(bbm_members *m);

/** Add a member from the settings.  It counts as dead until it is contacted.
 *  No effect if the name is already a member, or if there are
 *  BBM_MEMBERS_MAX members. */
void bbm_members_add_peer(bbm_members *m, const char *name,
                          const char *address);

/** Set the addresses of daemons whose names are unknown; replaces the earlier
 *  ones.  The full member list is requested from one of them in turn, at first
 *  in every probe period and later rarely, so that a VM finds all members from
 *  a single address. */
void bbm_members_set_seeds(bbm_members *m,
                           const char addresses[][BBM_ADDRESS_SIZE],
                           size_t len);

/** Update the description of this VM.  If only @p open_requests differs, and
 *  only a little, the change is not sent. */
void bbm_members_update_self(bbm_members *m, bool ready, bool leaving,
                             uint32_t open_requests, uint64_t revision);

/** Record the format that a member has been seen to write.  Ignored unless it
 *  is later than what is known of it. */
void bbm_members_observe_format(bbm_members *m, const char *name,
                                bbm_format format);

/** Run all timers that are due at @p now. */
void bbm_members_tick(bbm_members *m, bbm_time now);
/** Process a message.  BBM_ERR_DECODE if it is malformed; the updates decoded
 *  before the error are applied nevertheless. */
int bbm_members_receive(bbm_members *m, const uint8_t *data, size_t len,
                        bbm_time now);
/** Remove and return the next output, or NULL; valid until the next call. */
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
