/** @file
 *  Commands of the replicated state, and their outcomes.
 *
 *  A command is a tagged union.  Its proposer encodes it once, and all
 *  replicas apply it at the same position in the log.  Commands are
 *  idempotent, so that a resend after a lost reply is safe: an order is
 *  identified by its id, a publish by its id or its version, and a claim by
 *  its request.
 *
 *      bbm_command cmd = {.kind = BBM_CMD_KEY_WITHDRAW};
 *      bbm_name_set(cmd.u.key.name, "grower-1");
 *      bbm_buf buf = {0};
 *      bbm_command_encode(&cmd, &buf);
 *
 *  Byte strings of a decoded command point into the encoded bytes.
 */
#ifndef BBM_COMMAND_H
#define BBM_COMMAND_H

#include "bbm_format.h"
#include "bbm_hash.h"
#include "bbm_pack.h"
#include "bbm_releases.h"

/** Maximum size of an answer that is stored with a claim. */
#define BBM_ANSWER_BYTES_MAX ((size_t)64 * 1024)

/** Types of command.  The public ones are applied by every VM, the others by
 *  the control VMs only: see bbm_command_kind_is_public. */
typedef enum bbm_command_kind {
    BBM_CMD_PUBLISH,      /**< Publish a configuration. */
    BBM_CMD_KEY_ADD,      /**< Add an API key. */
    BBM_CMD_KEY_WITHDRAW, /**< Withdraw an API key for good. */
    BBM_CMD_DRAIN,        /**< Start or end the draining of a VM. */
    BBM_CMD_WEIGHTS,      /**< Announce a newer weight version. */
    BBM_CMD_CLAIM,        /**< Claim an idempotency key. */
    BBM_CMD_CLAIM_END,    /**< Record the result of a claimed request. */
    BBM_CMD_RUN_ENDED,    /**< Mark the claims still running in earlier runs
                               of a VM's process as unknown: those runs can
                               no longer end them. */
    BBM_CMD_ORDER,        /**< Create an order to an engine. */
    BBM_CMD_ORDER_END,    /**< Record the state of an order. */
    BBM_CMD_ORDER_PAUSE,  /**< Pause or resume the sending of orders. */
    BBM_CMD_LEDGER,       /**< Store the rate owner's ledger of a customer. */
    BBM_CMD_QUARANTINE,   /**< Quarantine or release a prompt part; public. */
    BBM_CMD_ORIGINS,      /**< Add origins of streams. */
    BBM_CMD_RELEASE,      /**< Order, change or end a release of software;
                               public. */
    BBM_CMD_PUBLISH_DEFLATED, /**< Publish a configuration whose documents are
                                   compressed; public. */
    BBM_CMD_KIND_COUNT,       /**< Number of types. */
} bbm_command_kind;

/** True if every VM applies commands of this type. */
static inline bool
bbm_command_kind_is_public(bbm_command_kind kind)
{
    return kind <= BBM_CMD_WEIGHTS || kind == BBM_CMD_QUARANTINE
           || kind == BBM_CMD_RELEASE || kind == BBM_CMD_PUBLISH_DEFLATED;
}

/** A prompt part that crashes runners.  Times are calendar times in
 *  milliseconds. */
typedef struct bbm_quarantined {
    uint64_t part;         /**< Id of the part. */
    int64_t last_crash_ms; /**< Latest crash that it is accused of. */
    int64_t until_ms;      /**< End of its quarantine; 0: released. */
    uint32_t times;        /**< Number of times that it was quarantined. */
} bbm_quarantined;

/** Identity of a request. */
typedef struct bbm_request_id {
    uint64_t run;      /**< Random identity of one run of a VM's process. */
    uint64_t sequence; /**< Number of the request in that run. */
} bbm_request_id;

/** Result of a claimed request. */
typedef enum bbm_claim_end {
    BBM_CLAIM_ANSWERED, /**< It was answered; the answer may be stored. */
    BBM_CLAIM_UNKNOWN,  /**< It may have run; the outcome is unknown. */
    BBM_CLAIM_NOT_RUN,  /**< It can't have run; the claim is removed. */
} bbm_claim_end;

/** State of an order. */
typedef enum bbm_order_state {
    BBM_ORDER_WAITING, /**< Not sent yet. */
    BBM_ORDER_SENT,    /**< Sent at least once, unanswered. */
    BBM_ORDER_DONE,    /**< Accepted by the engine. */
    BBM_ORDER_FAILED,  /**< Refused for good, or superseded. */
} bbm_order_state;

/** A command. */
typedef struct bbm_command {
    bbm_command_kind kind; /**< Selects the union member. */
    int64_t at_ms;         /**< Proposer's calendar time, milliseconds. */
    union {
        struct {
            char id[BBM_NAME_SIZE];     /**< Identifies resends of it, unless
                                             it has a version. */
            char author[BBM_NAME_SIZE]; /**< Operator. */
            uint64_t expected;  /**< Number of the revision that it is based
                                     on, which must still be in force. */
            uint64_t version;   /**< Operator's version, the highest of which
                                     wins; 0: `expected` is compared. */
            bbm_bytes text;     /**< Configuration document. */
            bbm_bytes source;   /**< Document that the text was generated from;
                                     may be empty. */
            bbm_bytes deflated; /**< PUBLISH_DEFLATED: text and source as one
                                     zlib stream; they have no data. */
        } publish;              /**< Of both kinds. */
        struct {
            char name[BBM_NAME_SIZE];     /**< Name of the key. */
            char customer[BBM_NAME_SIZE]; /**< Unused by KEY_WITHDRAW. */
            bbm_digest digest;            /**< Unused by KEY_WITHDRAW. */
        } key;
        struct {
            char node[BBM_NAME_SIZE]; /**< VM. */
            bool draining;            /**< False ends the draining. */
        } drain;
        struct {
            char model[BBM_NAME_SIZE];
            uint64_t version; /**< The command changes nothing unless this is
                                   higher than the model's last version. */
        } weights;
        struct {
            char customer[BBM_NAME_SIZE]; /**< Scope of the key. */
            bbm_digest key_digest;     /**< Digest of the idempotency key. */
            bbm_digest request_digest; /**< Digest of method, path and body. */
            bbm_request_id request;    /**< Request that claims the key. */
            char node[BBM_NAME_SIZE];  /**< VM that handles it. */
        } claim;
        struct {
            char customer[BBM_NAME_SIZE]; /**< Scope of the key. */
            bbm_digest key_digest;    /**< Digest of the idempotency key. */
            bbm_request_id request;   /**< Request that made the claim. */
            bbm_claim_end result;     /**< Result of the request. */
            uint32_t status;          /**< HTTP status of the answer. */
            char type[BBM_NAME_SIZE]; /**< Content type of the answer. */
            bbm_bytes body;           /**< Body of the answer. */
        } claim_end;
        struct {
            char node[BBM_NAME_SIZE]; /**< VM. */
            uint64_t run; /**< Its current run, whose claims stay; 0: none. */
        } run_ended;
        struct {
            char id[BBM_NAME_SIZE];      /**< Identifies resends of it. */
            char engine[BBM_NAME_SIZE];  /**< Receiver. */
            char weights[BBM_NAME_SIZE]; /**< Weight version to load. */
        } order;
        struct {
            char id[BBM_NAME_SIZE]; /**< Identifier of the order. */
            bbm_order_state state;  /**< SENT, DONE or FAILED. */
            int code;               /**< Result code. */
        } order_end;
        struct {
            bool paused; /**< False resumes the sending. */
        } order_pause;
        struct {
            char customer[BBM_NAME_SIZE];
            bbm_bytes ledger; /**< Encoded by the rate owner; opaque here. */
        } ledger;
        bbm_quarantined quarantine;
        struct {
            bbm_bytes rows; /**< Their number, and a bbm_origin_row for
                                 each. */
        } origins;
        struct {
            bool is_order; /**< An operator's; else a change by the leader. */
            bbm_release_info info; /**< See bbm_releases_order and
                                        bbm_releases_step. */
        } release;
    } u;
} bbm_command;

/** Outcome of applying a command. */
typedef struct bbm_outcome {
    int code;                 /**< 0 or a negative result code. */
    uint64_t number;          /**< Fencing token of an order.  Publish: its
                                   revision, or if it was refused or changed
                                   nothing, the revision in force.  Release:
                                   its serial number. */
    bool answered;            /**< The claim has a stored answer, in the
                                   fields below. */
    uint32_t status;          /**< HTTP status of the answer. */
    char type[BBM_NAME_SIZE]; /**< Content type of the answer. */
    bbm_buf body;             /**< Body of the answer; or, if a configuration
                                   was refused, its mistakes as lines of
                                   text. */
} bbm_outcome;

/** Append a quarantined prompt part. */
void bbm_quarantined_put(bbm_buf *buf, const bbm_quarantined *q);
/** Read one; malformed input sets the reader's error. */
void bbm_quarantined_get(bbm_reader *rd, bbm_quarantined *q);
/** Append the encoded command. */
void bbm_command_encode(const bbm_command *cmd, bbm_buf *buf);
/** Decode a command.  BBM_ERR_DECODE if it is malformed. */
int bbm_command_decode(const uint8_t *data, size_t len, bbm_command *cmd);
/** Compress the documents of a publish, unless they are short.  The command
 *  then refers to @p storage, which the caller frees. */
void bbm_command_deflate(bbm_command *cmd, bbm_buf *storage);
/** Restore the documents of a publish that is compressed.  The command then
 *  refers to @p storage, which the caller frees.  BBM_ERR_DECODE if they are
 *  malformed. */
int bbm_command_inflate(bbm_command *cmd, bbm_buf *storage);
/** Append an encoded command as builds of @p format read it.  BBM_ERR_DECODE
 *  if they can't, or if it is malformed. */
int bbm_command_convert(const uint8_t *data, size_t len, bbm_format format,
                        bbm_buf *buf);
/** True if an encoded command is applied by every VM. */
bool bbm_command_is_public(const uint8_t *data, size_t len);
/** First format whose builds know an encoded command; BBM_FORMAT_COUNT if this
 *  build doesn't know it. */
bbm_format bbm_command_format(const uint8_t *data, size_t len);

/** Append the encoded outcome. */
void bbm_outcome_encode(const bbm_outcome *out, bbm_buf *buf);
/** Decode an outcome; sets the reader's error if it is malformed. */
void bbm_outcome_decode(bbm_reader *rd, bbm_outcome *out);
/** Free the body of an outcome. */
void bbm_outcome_free(bbm_outcome *out);

/** True if both identities are equal. */
bool bbm_request_same(bbm_request_id a, bbm_request_id b);

#endif
