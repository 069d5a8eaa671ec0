/** @file
 *  The replicated state as one: registry, claims and orders.
 *
 *  Control VMs apply every command of the log.  The other VMs hold the
 *  registry alone, and follow the public commands: each of those has the
 *  index of the public one before it, so that a gap is seen.
 *
 *      bbm_state *state = bbm_state_create(&(bbm_state_desc){0});
 *      bbm_state_apply(state, index, bytes, len, &outcome);
 *      bbm_state_encode(state, &snapshot);
 *      bbm_state_tail(state, since, &item);      public commands for peers
 */
#ifndef BBM_STATE_H
#define BBM_STATE_H

#include "bbm_claims.h"
#include "bbm_orders.h"
#include "bbm_registry.h"

/** How to make a state. */
typedef struct bbm_state_desc {
    size_t revision_texts_max; /**< Texts of old revisions; 0: 64. */
    size_t tail_commands_max;  /**< Public commands kept for peers; 0: 256. */
    size_t tail_bytes_max;     /**< And their bytes; 0: 4 MiB. */
    bbm_claims_desc claims;    /**< How claims are kept. */
} bbm_state_desc;

/** A state; opaque. */
typedef struct bbm_state bbm_state;

/** A public command in the tail. */
typedef struct bbm_tail_item {
    uint64_t index;    /**< In the log. */
    uint64_t previous; /**< Index of the public command before it. */
    bbm_bytes bytes;   /**< Encoded command. */
} bbm_tail_item;

/** An empty state. */
bbm_state *bbm_state_create(const bbm_state_desc *desc);
/** Release; NULL is allowed. */
void bbm_state_destroy(bbm_state *state);

/** Apply a command at an index of the log; older ones are passed over. */
void bbm_state_apply(bbm_state *state, uint64_t index, const uint8_t *data,
                     size_t len, bbm_outcome *out);
/** Highest index that was applied. */
uint64_t bbm_state_index(const bbm_state *state);
/** Index of the last public command. */
uint64_t bbm_state_public_index(const bbm_state *state);

/** The registry. */
const bbm_registry *bbm_state_registry(const bbm_state *state);
/** The claims; of use on control VMs alone. */
const bbm_claims *bbm_state_claims(const bbm_state *state);
/** The orders; of use on control VMs alone. */
const bbm_orders *bbm_state_orders(const bbm_state *state);

/** The rate owner's books of a customer; false if there are none. */
bool bbm_state_ledger(const bbm_state *state, const char *customer,
                      bbm_bytes *ledger);

/** First public command after @p since.  False if there is none, or if the
 *  tail doesn't reach back so far: compare bbm_state_public_index. */
bool bbm_state_tail(const bbm_state *state, uint64_t since,
                    bbm_tail_item *item);

/** Append the whole state. */
void bbm_state_encode(const bbm_state *state, bbm_buf *buf);
/** Replace the state.  BBM_ERR_DECODE leaves it unchanged. */
int bbm_state_decode(bbm_state *state, const uint8_t *data, size_t len);
/** Append what other VMs need: the registry with its last text. */
void bbm_state_encode_public(const bbm_state *state, bbm_buf *buf);
/** Take over what a peer encoded, unless it is older than what is held. */
int bbm_state_decode_public(bbm_state *state, const uint8_t *data, size_t len);

#endif
