/** @file
 *  Settings of one process, from a JSON file, checked as one.
 *
 *      bbm_doc_errors wrong = {0};
 *      bbm_settings *s = bbm_settings_load("/etc/bluebellmoor.json", &wrong);
 *      if (!s)
 *          ... print wrong.lines, exit 2 ...
 *      bbm_settings_destroy(s);
 *
 *  The table of fields is also what docs/OPERATIONS.md is checked against.
 */
#ifndef BBM_SETTINGS_H
#define BBM_SETTINGS_H

#include "bbm_doc.h"
#include "bbm_hash.h"
#include "bbm_node.h"

/** An operator that may use the admin address. */
typedef struct bbm_operator {
    char name[BBM_NAME_SIZE]; /**< Written into the history. */
    char *digest;             /**< Of the key: 64 hexadecimal digits. */
} bbm_operator;

/** Settings of a daemon.  Texts are owned and never NULL. */
typedef struct bbm_settings {
    char name[BBM_NAME_SIZE];    /**< Of this daemon. */
    char zone[BBM_NAME_SIZE];    /**< Availability zone. */
    char *peer_address;          /**< host:port for other daemons. */
    char *caller_address;        /**< host:port for callers. */
    char *admin_address;         /**< host:port for operators. */
    char *entry_url;             /**< Told to callers; "": from the address. */
    char *data_folder;           /**< "": no disk. */
    char *ready_address;         /**< host:port for the provider's checks. */
    char *control_address;       /**< host:port for its operators. */
    char *directory_address;     /**< host:port for callers that ask where. */
    char *list_address;          /**< host:port of its list; "": no pools. */
    char *secret_file;           /**< Secret shared by all daemons. */
    bool private_network;        /**< There is none: the network is ours. */
    char *tls_cert_file;         /**< PEM; "": no TLS for callers. */
    char *tls_key_file;          /**< PEM. */
    char *log_level;             /**< debug, info, warn or error. */
    bbm_names founders;          /**< First control VMs. */
    int64_t traffic_threads;     /**< Threads towards upstreams. */
    int64_t caller_threads;      /**< Threads towards callers. */
    int64_t connections_most;    /**< Caller connections at once. */
    int64_t per_address_most;    /**< Of these, from one address. */
    int64_t idle_s;              /**< Idle caller connections end, seconds. */
    int64_t body_most;           /**< Request body, bytes. */
    int64_t requests_most;       /**< Requests open at once. */
    int64_t entry_ms;            /**< A leaving VM serves on, milliseconds. */
    int64_t fresh_bound_ms;      /**< Oldest key view, milliseconds. */
    int64_t cut_bound_ms;        /**< Then keyed streams end, milliseconds. */
    int64_t election_ms;         /**< Election timeout, milliseconds. */
    int64_t report_ms;           /**< Between reports of a runner. */
    int64_t list_ms;             /**< Between looks at the list. */
    int64_t gossip_ms;           /**< Between pings of members. */
    int64_t entry_keep_ms;       /**< Callers may keep an address. */
    int64_t stop_ms;             /**< A stopping VM ends by then; 0: never. */
    double grace_s;              /**< Given for stopping; sets the last two. */
    int64_t texts_kept;          /**< Texts of old revisions. */
    double retry_share;          /**< Sends again, of requests to a pool. */
    double retry_slack;          /**< And so many over all VMs. */
    double rate_slack;           /**< Overrun of a rate, tokens. */
    double rate_overrun;         /**< And this share of what it allows, */
    double rate_window_s;        /**< in a window of so long. */
    int64_t old_weights_fine_ms; /**< Old weights serve as well. */
    int64_t old_weights_most_ms; /**< No request starts on them after. */
    bool first_start;            /**< The system has never run. */
    bool self_repair;            /**< Lost control VMs are replaced unasked. */
    char seeds[BBM_SEEDS_MAX][BBM_ADDRESS_SIZE]; /**< To join by. */
    size_t seeds_len;                            /**< How many. */
    bool testing;            /**< Allows the fields that tests use. */
    char *test_cut_file;     /**< Peers that are cut off, a name a line. */
    bbm_peer *peers;         /**< Other daemons. */
    size_t peers_len;        /**< How many. */
    bbm_operator *operators; /**< Who may use the admin address. */
    size_t operators_len;    /**< How many. */
    uint8_t secret[BBM_DIGEST_SIZE]; /**< From the secret file. */
} bbm_settings;

/** Uses of the shared secret; each has a key of its own. */
typedef enum bbm_secret_use {
    BBM_SECRET_MESSAGES = 1, /**< Sealing messages between daemons. */
    BBM_SECRET_KEYS = 2,     /**< Digests of callers' and operators' keys. */
} bbm_secret_use;

/** The key for one use, BBM_DIGEST_SIZE bytes each. */
void bbm_secret_derive(const uint8_t *secret, bbm_secret_use use,
                       uint8_t *key);

/** The secret in a file's text. */
bbm_digest bbm_secret_from_text(const char *text, size_t len);

/** Read and check a file; NULL with mistakes if it has any. */
bbm_settings *bbm_settings_load(const char *path, bbm_doc_errors *m);

/** Check a text as the file at @p path. */
bbm_settings *bbm_settings_parse(const char *text, size_t len,
                                 bbm_doc_errors *m);

/** Release; NULL is allowed. */
void bbm_settings_destroy(bbm_settings *s);

/** A file's whole text; NULL if it can't be read. */
char *bbm_read_file(const char *path, size_t *len);

/** Split host:port; false if it isn't that. */
bool bbm_address_split(const char *address, char host[64], uint16_t *port);

/** The field tables, for the docs' test: @p which 0 top, 1 peers,
 *  2 operators; NULL past the end. */
const bbm_field *bbm_settings_fields(int which, size_t *count);

#endif
