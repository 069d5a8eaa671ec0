/** @file
 *  Which address a caller should use.
 *
 *  Callers ask any VM, keep the answer for a while and connect there.  Near
 *  and ready VMs come first, never a leaving or dead one.  A caller gets the
 *  same first address as long as the VMs stay the same, so that its prefixes
 *  and its customer's tokens gather at few VMs; a VM that is much busier than
 *  the others is passed over.
 *
 *      size_t n = bbm_entries_pick(members, "zone-a", caller_hash, 8, out);
 */
#ifndef BBM_ENTRIES_H
#define BBM_ENTRIES_H

#include "bbm_members.h"

/** Addresses in one answer, if nothing else is asked for. */
#define BBM_ENTRIES_DEFAULT 8
/** Addresses in one answer at the most. */
#define BBM_ENTRIES_MAX 64

/** Fill @p out with up to @p most members (at most BBM_ENTRIES_MAX) in the
 *  order in which to try them. */
size_t bbm_entries_pick(const bbm_members *members, const char *zone,
                        uint64_t caller, size_t most,
                        const bbm_member *out[BBM_ENTRIES_MAX]);

#endif
