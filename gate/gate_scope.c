#include "gate_core.h"

#include <string.h>

/* Scopes of cache entries, and the keys of shared prefixes, which begin with
   the scope. */

/* Adds the parts hashed so far as a prefix.  If there are too many prefixes,
   only the shortest one and the longest ones remain. */
static void
add_prefix(gate_request *r)
{
    if (r->prefixes_len < BBM_PLACEMENT_PREFIXES_MAX)
        r->prefixes_len++;
    else
        memmove(&r->prefixes[1], &r->prefixes[2],
                (BBM_PLACEMENT_PREFIXES_MAX - 2) * sizeof(r->prefixes[0]));
    r->prefixes[r->prefixes_len - 1] = (gate_prefix){
        .key = r->chain_key,
        .tokens = r->shared_tokens,
    };
}

/* All parts but the last count as shared; the last one is specific to the
   request.  A single part counts as shared too, as it may belong to a
   session. */
static void
set_prefixes(gate_request *r)
{
    r->prefixes_len = 0;
    r->shared_tokens = 0;
    r->chain_key = bbm_hash_text(r->scope, 0);
    size_t shared = r->parts_len > 1 ? r->parts_len - 1 : r->parts_len;
    for (size_t i = 0; i < shared; i++) {
        r->chain_key =
            bbm_hash64(&r->parts[i].id, sizeof(r->parts[i].id), r->chain_key);
        r->shared_tokens += r->parts[i].tokens;
        add_prefix(r);
    }
    if (r->shared_tokens > r->prompt_tokens)
        r->shared_tokens = r->prompt_tokens;
    for (size_t i = 0; i < r->prefixes_len; i++) {
        if (r->prefixes[i].tokens > r->prompt_tokens)
            r->prefixes[i].tokens = r->prompt_tokens;
    }
}

/* A customer that isn't in the configuration shares with no other: it may be
   private where the request came from, or have been removed meanwhile. */
static const char *
scope_of(const bbm_gate *g, const char *customer)
{
    if (!customer[0])
        return g->shared_scope;
    uint64_t hash = bbm_hash_text(customer, 0);
    gate_customer *c = NULL;
    HASH_FIND(hh, g->customers, &hash, sizeof(hash), c);
    return c ? c->scope : customer;
}

void
gate_set_scope(const bbm_gate *g, gate_request *r)
{
    bbm_name_set(r->scope, scope_of(g, r->customer));
    set_prefixes(r);
}

void
gate_update_scopes(bbm_gate *g)
{
    for (gate_request *r = g->requests; r; r = r->hh.next) {
        if (strcmp(r->scope, scope_of(g, r->customer)) != 0)
            gate_set_scope(g, r);
    }
}
