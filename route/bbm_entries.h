/** @file
 *  Selects the VMs to which a client should connect.
 *
 *  Clients query any VM, cache the answer and connect to the addresses in it.
 *  The answer lists ready VMs only, in this order: those of the client's
 *  zone, those of other zones, VMs with much more load than the mean, and VMs
 *  suspected to have failed.  Leaving and dead VMs are left out.  Within each
 *  group rendezvous hashing sets the order, so a client gets the same first
 *  address while the set of VMs stays the same, and its prefixes and its
 *  customer's tokens concentrate on few VMs.
 *
 *      size_t n = bbm_entries_pick(members, "zone-a", client_hash, 8, out);
 */
#ifndef BBM_ENTRIES_H
#define BBM_ENTRIES_H

#include "bbm_members.h"

/** Default number of addresses in an answer. */
#define BBM_ENTRIES_DEFAULT 8
/** Largest number of addresses in an answer. */
#define BBM_ENTRIES_MAX 64

/** Fill @p out with at most @p max members, and at most BBM_ENTRIES_MAX, in
 *  the order in which to try them.  Returns their number.  @p zone is the
 *  client's, @p client a hash that identifies the client.  The pointers are
 *  valid until @p members changes. */
size_t bbm_entries_pick(const bbm_members *members, const char *zone,
                        uint64_t client, size_t max,
                        const bbm_member *out[BBM_ENTRIES_MAX]);

#endif
