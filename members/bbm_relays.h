/** @file
 *  Which VMs the leader sends its totals to, and which of them forward these
 *  in their availability zone.
 *
 *  Designed for 17 to 99 VMs in several zones, where the leader sends totals
 *  many times per second.  Sent to each VM, most of them cross zones and fill
 *  the leader's link.  So one VM of each other zone gets them, with a list of
 *  the VMs that it forwards them to.  VMs with a disk are preferred, as they
 *  have several times the processor and the link of the others; a VM without
 *  one forwards to a few, which forward to the rest.
 *
 *  VMs state in their reports which totals they have received.  One that falls
 *  behind gets the totals directly for a while.  A relay that doesn't report,
 *  or with which half of its zone falls behind, is replaced; a zone without a
 *  possible relay gets all totals directly.
 *
 *      bbm_relays *r = bbm_relays_create();
 *      bbm_relays_hear(r, "vm-2", number, now);       with each report
 *      const bbm_relays_plan *p = bbm_relays_make_plan(r, &query);
 *      for each of p->sends: send to it, with names and fan-out
 *
 *  A VM that gets a list of names forwards to the first bbm_relays_heads() of
 *  them, and gives each the names that bbm_relays_share() selects.
 *
 *  Pure: the caller passes in the time.
 */
#ifndef BBM_RELAYS_H
#define BBM_RELAYS_H

#include "bbm_mem.h"
#include "bbm_time.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Maximum number of VMs in a plan. */
#define BBM_RELAYS_VMS_MAX 128

/** An alive VM, other than the leader. */
typedef struct bbm_relays_vm {
    const char *name;
    const char *zone;
    bool may_relay; /**< It understands lists of names. */
    bool has_disk;  /**< Preferred as a relay. */
} bbm_relays_vm;

/** The question for a plan. */
typedef struct bbm_relays_query {
    const bbm_relays_vm *vms; /**< At most BBM_RELAYS_VMS_MAX, in the same
                                   order each time. */
    size_t vms_len;
    const char *zone; /**< The leader's; its VMs get the totals directly. */
    uint64_t number;  /**< Of the totals to be sent; rises with each. */
    bbm_time period;  /**< Time between two totals, and two reports. */
    bbm_time now;
} bbm_relays_query;

/** A message to be sent. */
typedef struct bbm_relays_send {
    const char *to;
    const char *const *names; /**< VMs that the receiver forwards it to. */
    size_t names_len;
    size_t fanout; /**< Messages that a VM may send of it. */
} bbm_relays_send;

/** The messages to be sent; valid until the next plan, as long as the names in
 *  the query are. */
typedef struct bbm_relays_plan {
    const bbm_relays_send *sends;
    size_t sends_len;
    size_t relays; /**< Zones that have a relay. */
    size_t late;   /**< VMs that get the totals directly because they have
                        fallen behind. */
    bool changed;  /**< A zone's relay was chosen or lost; it is in zone and
                        relay. */
    char zone[BBM_NAME_SIZE];  /**< Last such zone; "": none. */
    char relay[BBM_NAME_SIZE]; /**< Its relay; "": none. */
} bbm_relays_plan;

/** State of the choice; opaque. */
typedef struct bbm_relays bbm_relays;

/** Create it; nothing has been heard. */
bbm_relays *bbm_relays_create(void);
/** Destroy it; NULL is allowed. */
void bbm_relays_destroy(bbm_relays *r);
/** Record the report of the VM @p name: the number of the latest totals that
 * it has received; 0: none of this leader. */
void bbm_relays_hear(bbm_relays *r, const char *name, uint64_t number,
                     bbm_time now);
/** Decide who gets the next totals. */
const bbm_relays_plan *bbm_relays_make_plan(bbm_relays *r,
                                            const bbm_relays_query *q);

/** Number of VMs, from the first of @p len names, to which a receiver sends
 *  the message. */
size_t bbm_relays_heads(size_t len, size_t fanout);
/** Names that the receiver with index @p head passes on: those at the index
 *  @p head + bbm_relays_heads(), and at further multiples.  Returns their
 *  number.
 *  @param share Room for @p len names. */
size_t bbm_relays_share(const char *const *names, size_t len, size_t fanout,
                        size_t head, const char **share);

#endif
