/** @file
 *  Settings of one daemon: read from a JSON file and validated as a whole, so
 *  that all errors are reported at once.
 *
 *      bbm_doc_errors errors = {0};
 *      bbm_settings *s = bbm_settings_load("/etc/bluebellmoor.json", &errors);
 *      if (!s)
 *          ... print errors.lines, exit 2 ...
 *      bbm_settings_destroy(s);
 *
 *  A test checks docs/OPERATIONS.md against the field tables.
 */
#ifndef BBM_SETTINGS_H
#define BBM_SETTINGS_H

#include "bbm_doc.h"
#include "bbm_hash.h"
#include "bbm_node.h"

#include <netinet/in.h>

/** An operator that may use the admin address. */
typedef struct bbm_operator {
    char name[BBM_NAME_SIZE]; /**< Recorded in the configuration history. */
    char *digest;             /**< Digest of the key, 64 hex digits; owned. */
} bbm_operator;

/** Settings of a daemon.  Strings are owned and never NULL. */
typedef struct bbm_settings {
    char name[BBM_NAME_SIZE]; /**< Unique name of this daemon. */
    char zone[BBM_NAME_SIZE]; /**< Availability zone. */
    char *peer_address;       /**< IP:port for other daemons. */
    char *caller_address;     /**< IP:port for clients. */
    char *admin_address;      /**< IP:port for operators. */
    char *entry_url;          /**< URL of this VM in the list of VMs that
                                   clients may use; "": made from
                                   caller_address. */
    char *data_folder;        /**< Folder of the store on disk; "": none,
                                   and this VM can't be a control VM. */
    char *ready_address;      /**< IP:port for the provider's readiness
                                   checks; "": none. */
    char *control_address;    /**< IP:port for the provider's operators;
                                   "": none. */
    char *directory_address;  /**< IP:port for clients that query which
                                   VM to use; "": none. */
    char *list_address;       /**< IP:port of the provider's list of
                                   upstreams; "": no pools. */
    char *secret_file;        /**< File with the secret that all daemons
                                   share. */
    bool private_network;     /**< Only daemons can reach the network
                                   between them, so no secret is
                                   needed. */
    char *tls_cert_file;      /**< PEM; "": no TLS for clients. */
    char *tls_key_file;       /**< PEM; the key of tls_cert_file. */
    char *log_level;          /**< debug, info, warn or error. */
    bbm_names founders;       /**< Names of the first control VMs. */
    int64_t traffic_threads;  /**< Threads that send requests to
                                   engines and services. */
    int64_t caller_threads;   /**< Threads that serve the clients'
                                   connections. */
    int64_t connections_most; /**< Open client connections, maximum. */
    int64_t per_address_most; /**< Open connections from one client
                                   address, maximum. */
    int64_t idle_s;           /**< Idle timeout of client connections,
                                   seconds. */
    int64_t body_most;        /**< Request body, maximum bytes. */
    int64_t requests_most;    /**< Open requests, maximum. */
    int64_t memory_mb;        /**< Memory of the machine, MB of 1,000,000
                                   bytes; 0: as detected. */
    int64_t entry_ms;         /**< Time for which a leaving VM still serves
                                   new requests, milliseconds. */
    int64_t fresh_bound_ms;   /**< If this VM's copy of the API keys is
                                   older, no request starts on a route
                                   with keys; milliseconds. */
    bool zone_relay;          /**< Totals cross zones once. */
    double zone_delay_ms;     /**< Added delay of a request to another zone;
                                   0: see bbm_gate_desc. */
    double zone_byte_price;   /**< Delay accepted to keep a megabyte in the
                                   zone, ms. */
    bool serve_stale_keys;    /**< Routes of pools with keys serve whatever
                                   the age of the copy. */
    int64_t cut_bound_ms;     /**< If the copy is older than this, open
                                   requests on such routes are aborted;
                                   milliseconds. */
    int64_t election_ms;      /**< Election timeout, milliseconds. */
    int64_t report_ms;        /**< Period at which each engine is polled,
                                   milliseconds. */
    int64_t list_ms;          /**< Period of reads of the list of
                                   upstreams, milliseconds. */
    int64_t gossip_ms;        /**< Period of pings between daemons,
                                   milliseconds. */
    int64_t entry_keep_ms;    /**< Time for which clients of the provider
                                   may cache a VM's address,
                                   milliseconds. */
    int64_t stop_ms;          /**< Time limit of a graceful stop,
                                   milliseconds; 0: none. */
    double grace_s;           /**< Time allowed between the stop signal and the
                                   end of the process, seconds; above 0 it sets
                                   entry_ms and stop_ms. */
    int64_t texts_kept;       /**< Old revisions of the configuration
                                   whose texts are kept. */
    double retry_share;       /**< Retries allowed, as a share of the
                                   requests to a pool. */
    double release_share;     /**< Requests that a bad build may get while it
                                   is released, as a share of all. */
    double release_slack;     /**< Further requests that it may get, in total
                                   over all VMs. */
    int64_t release_revert_ms;   /**< Time after the 50th bad answer from which
                                      it gets none. */
    double retry_slack;          /**< Further retries allowed, in total over
                                      all VMs. */
    double retry_window_s;       /**< Window in which retries are counted,
                                      seconds. */
    double rate_slack;           /**< Allowed overrun of a customer's rate,
                                      tokens. */
    double rate_overrun;         /**< Overrun allowed in addition to
                                      rate_slack, as a share of what the
                                      rate allows in a window. */
    double rate_window_s;        /**< Length of the window, seconds. */
    int64_t old_weights_fine_ms; /**< Time for which old weights are as good
                                      as newer ones, milliseconds. */
    int64_t old_weights_most_ms; /**< Time after which no request starts on
                                      old weights, milliseconds. */
    int64_t accused_parts_most;  /**< Prompt parts and requests that are
                                      remembered because upstreams ended while
                                      they ran. */
    bool first_start; /**< The system has never run: the first of `seeds`
                           creates the control group. */
    bool self_repair; /**< Lost control VMs are replaced without an
                           operator. */
    char seeds[BBM_SEEDS_MAX][BBM_ADDRESS_SIZE]; /**< Addresses of daemons
                                                      through which this one
                                                      joins; a seed without
                                                      port gets that of
                                                      peer_address. */
    size_t seeds_len;    /**< Used entries of `seeds`. */
    bool testing;        /**< Allows the test_ fields. */
    char *test_cut_file; /**< File with names of peers whose messages are
                              dropped, one per line; "": none. */
    bbm_peer *peers;     /**< Daemons known from the file; owned. */
    size_t peers_len;
    bbm_operator *operators; /**< May use the admin address; owned. */
    size_t operators_len;
    uint8_t secret[BBM_DIGEST_SIZE]; /**< Digest of the secret file; zero in a
                                          private network. */
} bbm_settings;

/** Uses of the shared secret; a separate key is derived for each. */
typedef enum bbm_secret_use {
    BBM_SECRET_MESSAGES = 1, /**< Encryption of messages between daemons. */
    BBM_SECRET_KEYS = 2,     /**< Digests of clients' and operators' keys. */
} bbm_secret_use;

/** Derive the key for one use from the shared secret and write it to @p key.
 *  Both have BBM_DIGEST_SIZE bytes. */
void bbm_secret_derive(const uint8_t *secret, bbm_secret_use use,
                       uint8_t *key);

/** The shared secret: the digest of a secret file's text. */
bbm_digest bbm_secret_from_text(const char *text, size_t len);

/** Read and validate a file.  NULL if it has errors, which are appended to
 *  @p errors. */
bbm_settings *bbm_settings_load(const char *path, bbm_doc_errors *errors);

/** Validate the text of a settings file, as bbm_settings_load() does. */
bbm_settings *bbm_settings_parse(const char *text, size_t len,
                                 bbm_doc_errors *errors);

/** Release; NULL is allowed. */
void bbm_settings_destroy(bbm_settings *s);

/** Read a file of at most 64 MiB.  The text is owned by the caller and ends
 *  in a zero byte that @p len does not count; NULL if it can't be read. */
char *bbm_read_file(const char *path, size_t *len);

/** Split an address of the form IP:port (IPv4); false if it has another
 *  form. */
bool bbm_address_split(const char *address, char host[64], uint16_t *port);
/** Parse an address for sockets.  False if it is invalid. */
bool bbm_address_parse(const char *address, struct sockaddr_in *to);

/** Field tables, for the test of the docs.  @p which is 0 for the top level,
 *  1 for a peer and 2 for an operator; NULL for other values. */
const bbm_field *bbm_settings_fields(int which, size_t *count);

#endif
