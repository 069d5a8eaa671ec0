/** @file
 *  Commands of the replicated state, and their outcomes.
 *
 *  A command is a tagged union.  It is encoded once by its proposer and
 *  applied in the same order everywhere.  Each kind can be applied twice
 *  without a second effect, so a resend after a lost answer is safe: a
 *  publish by its identifier, a claim by its request, an order by its own.
 *
 *      bbm_command cmd = {.kind = BBM_CMD_KEY_WITHDRAW};
 *      bbm_name_set(cmd.u.key.name, "grower-1");
 *      bbm_buf buf = {0};
 *      bbm_command_encode(&cmd, &buf);
 *
 *  Texts and bytes in a decoded command point into the encoded bytes.
 */
#ifndef BBM_COMMAND_H
#define BBM_COMMAND_H

#include "bbm_hash.h"
#include "bbm_pack.h"

/** Bytes of an answer that a claim can keep. */
#define BBM_ANSWER_BYTES_MAX ((size_t)64 * 1024)

/** Kinds of command.  Those up to BBM_CMD_PUBLIC_LAST are for every VM, the
 *  others stay on the control VMs. */
typedef enum bbm_command_kind {
    BBM_CMD_PUBLISH,      /**< A new configuration. */
    BBM_CMD_KEY_ADD,      /**< A key from now on. */
    BBM_CMD_KEY_WITHDRAW, /**< No key from now on, and never again. */
    BBM_CMD_DRAIN,        /**< A VM leaves, or comes back. */
    BBM_CMD_WEIGHTS,      /**< A model's weights have a newer version. */
    BBM_CMD_CLAIM,        /**< Claim an idempotency key. */
    BBM_CMD_CLAIM_END,    /**< What came of it. */
    BBM_CMD_RUN_ENDED,    /**< A VM's claims can't be ended by it. */
    BBM_CMD_ORDER,        /**< An order to an engine. */
    BBM_CMD_ORDER_END,    /**< What came of it. */
    BBM_CMD_ORDER_PAUSE,  /**< Stop or go on with weight loading. */
    BBM_CMD_LEDGER,       /**< The rate owner's books of a customer. */
    BBM_CMD_KIND_COUNT,   /**< Number of kinds. */
} bbm_command_kind;

/** Last kind that every VM applies. */
#define BBM_CMD_PUBLIC_LAST BBM_CMD_WEIGHTS

/** Identity of one request: of a VM's run and a count in it. */
typedef struct bbm_request_id {
    uint64_t run;      /**< Identity of the VM's run. */
    uint64_t sequence; /**< Number in this run. */
} bbm_request_id;

/** How a claimed request ended. */
typedef enum bbm_claim_end {
    BBM_CLAIM_ANSWERED, /**< There is an answer; it may be kept. */
    BBM_CLAIM_UNKNOWN,  /**< It may have run; nobody knows. */
    BBM_CLAIM_NOT_RUN,  /**< It can't have run: the claim is dropped. */
} bbm_claim_end;

/** State of an order. */
typedef enum bbm_order_state {
    BBM_ORDER_WAITING, /**< Not sent yet. */
    BBM_ORDER_SENT,    /**< Sent at least once. */
    BBM_ORDER_DONE,    /**< The engine took it. */
    BBM_ORDER_FAILED,  /**< The engine refused it for good. */
} bbm_order_state;

/** A command. */
typedef struct bbm_command {
    bbm_command_kind kind; /**< Which member of the union holds. */
    int64_t at_ms;         /**< Proposer's calendar time, milliseconds. */
    union {
        struct {
            char id[BBM_NAME_SIZE];     /**< Identifier of this publish. */
            char author[BBM_NAME_SIZE]; /**< Operator. */
            uint64_t expected;          /**< Revision that it builds on. */
            uint64_t version; /**< Given by the operator: the highest one
                                   wins; 0: expected decides. */
            bbm_bytes text;   /**< The document. */
            bbm_bytes source; /**< What it was made from; may be empty. */
        } publish;
        struct {
            char name[BBM_NAME_SIZE];     /**< Of the key. */
            char customer[BBM_NAME_SIZE]; /**< Unused by withdrawal. */
            bbm_digest digest;            /**< Unused by withdrawal. */
        } key;
        struct {
            char node[BBM_NAME_SIZE]; /**< The VM. */
            bool on;                  /**< Leaving, or back. */
        } drain;
        struct {
            char model[BBM_NAME_SIZE]; /**< Which. */
            uint64_t version;          /**< Higher than the one before. */
        } weights;
        struct {
            char customer[BBM_NAME_SIZE]; /**< Scope of the key. */
            bbm_digest idem;              /**< Digest of the key. */
            bbm_digest body;              /**< Digest of the request. */
            bbm_request_id request;       /**< Who claims. */
            char node[BBM_NAME_SIZE];     /**< On which VM. */
        } claim;
        struct {
            char customer[BBM_NAME_SIZE]; /**< Scope of the key. */
            bbm_digest idem;              /**< Digest of the key. */
            bbm_request_id request;       /**< Who claimed. */
            bbm_claim_end how;            /**< What came of it. */
            uint32_t status;              /**< HTTP status of the answer. */
            char type[BBM_NAME_SIZE];     /**< Content type. */
            bbm_bytes body;               /**< The answer. */
        } claim_end;
        struct {
            char node[BBM_NAME_SIZE]; /**< The VM. */
            uint64_t run;             /**< Its present run; 0: none. */
        } run_ended;
        struct {
            char id[BBM_NAME_SIZE];      /**< Identifier of this order. */
            char engine[BBM_NAME_SIZE];  /**< Receiver. */
            char weights[BBM_NAME_SIZE]; /**< Version to load. */
        } order;
        struct {
            char id[BBM_NAME_SIZE]; /**< Identifier of the order. */
            bbm_order_state state;  /**< SENT, DONE or FAILED. */
            int code;               /**< Result code. */
        } order_end;
        struct {
            bool on; /**< Paused or not. */
        } order_pause;
        struct {
            char customer[BBM_NAME_SIZE]; /**< Whose bucket. */
            bbm_bytes ledger;             /**< As the owner wrote them. */
        } ledger;
    } u; /**< By kind. */
} bbm_command;

/** What applying a command gave. */
typedef struct bbm_outcome {
    int code;                 /**< 0 or a negative code. */
    uint64_t number;          /**< Revision, or fencing number. */
    bool answered;            /**< A kept answer follows. */
    uint32_t status;          /**< Its HTTP status. */
    char type[BBM_NAME_SIZE]; /**< Its content type. */
    bbm_buf body;             /**< The answer, or a text about a refusal. */
} bbm_outcome;

/** Append the encoded command. */
void bbm_command_encode(const bbm_command *cmd, bbm_buf *buf);
/** Read a command.  BBM_ERR_DECODE if it is malformed. */
int bbm_command_decode(const uint8_t *data, size_t len, bbm_command *cmd);
/** True if every VM applies this encoded command. */
bool bbm_command_is_public(const uint8_t *data, size_t len);

/** Append an outcome. */
void bbm_outcome_encode(const bbm_outcome *out, bbm_buf *buf);
/** Read an outcome; sets the reader's error. */
void bbm_outcome_decode(bbm_reader *rd, bbm_outcome *out);
/** Release an outcome's body. */
void bbm_outcome_free(bbm_outcome *out);

/** True if both are the same request. */
bool bbm_request_same(bbm_request_id a, bbm_request_id b);

#endif
