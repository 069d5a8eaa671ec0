/** @file
 *  The complete replicated state: registry, claims, orders, rate ledgers and
 *  origins of streams.
 *
 *  Control VMs apply every command of the log.  The other VMs hold the
 *  registry only and apply the public commands.  Each public command is sent
 *  to them with the index of the public command before it, by which a VM
 *  detects a gap.
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
#include "bbm_origins.h"
#include "bbm_registry.h"

/** Limits of a state. */
typedef struct bbm_state_desc {
    size_t revision_texts_max; /**< Stored configuration texts; 0 means 64. */
    size_t tail_commands_max;  /**< Public commands stored for peers; 0 means
                                    256. */
    size_t tail_bytes_max;     /**< Their total size; 0 means 4 MiB.  The
                                    latest command is stored even if it is
                                    larger. */
    bbm_claims_desc claims;    /**< Limits of claims. */
    bbm_format format;         /**< Latest format that is read; 0 means
                                    BBM_FORMAT_LATEST. */
} bbm_state_desc;

/** A state; opaque. */
typedef struct bbm_state bbm_state;

/** A public command in the tail; valid until the next change of the state. */
typedef struct bbm_tail_item {
    uint64_t index;    /**< Index in the log. */
    uint64_t previous; /**< Index of the public command before it; 0: none. */
    bbm_bytes bytes;   /**< Encoded command. */
} bbm_tail_item;

/** Create an empty state. */
bbm_state *bbm_state_create(const bbm_state_desc *desc);
/** Free a state; NULL is allowed. */
void bbm_state_destroy(bbm_state *state);

/** Apply the command at an index of the log.  Indexes that were applied
 *  already are ignored. */
void bbm_state_apply(bbm_state *state, uint64_t index, const uint8_t *data,
                     size_t len, bbm_outcome *out);
/** Highest applied index. */
uint64_t bbm_state_index(const bbm_state *state);
/** Index of the last applied public command; 0: none. */
uint64_t bbm_state_public_index(const bbm_state *state);

/** The registry. */
const bbm_registry *bbm_state_registry(const bbm_state *state);
/** The claims; maintained on control VMs only. */
const bbm_claims *bbm_state_claims(const bbm_state *state);
/** The orders; maintained on control VMs only. */
const bbm_orders *bbm_state_orders(const bbm_state *state);

/** Where streams began; maintained on control VMs only.  Times are calendar
 *  time. */
const bbm_origins *bbm_state_origins(const bbm_state *state);

/** Stored rate ledger of a customer, valid until the next change of the
 *  state; false if there is none. */
bool bbm_state_ledger(const bbm_state *state, const char *customer,
                      bbm_bytes *ledger);

/** First public command after the one with index @p since.  False if there is
 *  none, or if it has left the tail: in the second case @p since is below
 *  bbm_state_public_index, and the peer needs the encoded public state. */
bool bbm_state_tail(const bbm_state *state, uint64_t since,
                    bbm_tail_item *item);

/** Bytes of the commands in the tail. */
size_t bbm_state_tail_bytes(const bbm_state *state);

/** Append the state, encoded so that builds of a format can read it.  What
 *  they don't know is left out. */
void bbm_state_encode(const bbm_state *state, bbm_format format, bbm_buf *buf);
/** Replace the state by a decoded one.  BBM_ERR_DECODE leaves it
 *  unchanged. */
int bbm_state_decode(bbm_state *state, const uint8_t *data, size_t len);
/** Append an encoded state as bbm_state_encode would.  BBM_ERR_DECODE if it is
 *  malformed. */
int bbm_state_convert(const uint8_t *data, size_t len, bbm_format format,
                      bbm_buf *buf);
/** Latest version of encoded states that builds of a format read. */
uint64_t bbm_state_version(bbm_format format);
/** Version of an encoded state; 0 if it is malformed. */
uint64_t bbm_state_version_of(const uint8_t *data, size_t len);
/** Append the encoded public state: the registry with its last revision. */
void bbm_state_encode_public(const bbm_state *state, bbm_format format,
                             bbm_buf *buf);
/** Replace the registry by a peer's encoded public state.  BBM_OK without a
 *  change if the own public state is at least as new.  BBM_ERR_DECODE leaves
 *  the state unchanged. */
int bbm_state_decode_public(bbm_state *state, const uint8_t *data, size_t len);

#endif
