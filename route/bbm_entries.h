/** @file
 *  Selects the VMs to which a client should connect.
 *
 *  Clients query any VM, cache the answer and connect to the addresses in it.
 *  Ready VMs of the client's zone come first; leaving and dead VMs are left
 *  out.  A client gets the same first address while the set of VMs stays the
 *  same, so that its prefixes and its customer's tokens concentrate on few
 *  VMs.  A VM with much more load than the others comes after them.
 *
 *      size_t n = bbm_entries_pick(members, "zone-a", client_hash, 8, out);
 */
#ifndef BBM_ENTRIES_H
#define BBM_ENTRIES_H

#include "bbm_members.h"

/** Default number of addresses in an answer. */
#define BBM_ENTRIES_DEFAULT 8
/** Limit of the addresses in an answer. */
#define BBM_ENTRIES_MAX 64

/** Fill @p out with up to @p max members, limited to BBM_ENTRIES_MAX, in the
 *  order in which to try them, and return their number.  @p client is a hash
 *  that identifies the client. */
size_t bbm_entries_pick(const bbm_members *members, const char *zone,
                        uint64_t client, size_t max,
                        const bbm_member *out[BBM_ENTRIES_MAX]);

#endif
