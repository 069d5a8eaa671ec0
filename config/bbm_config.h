/** @file
 *  The service configuration: named objects that refer to each other.
 *
 *  Operators write one JSON document with the customers, keys, rates, models,
 *  weight versions, engines, services, pools, stores, limits, routes and
 *  objectives.  It is parsed and checked as a whole; all errors are reported
 *  together.
 *
 *      bbm_doc_errors errors = {0};
 *      bbm_config *cfg = bbm_config_create(text, len, &errors);
 *      if (!cfg)
 *          ... print errors.lines ...
 *      const bbm_route *route = bbm_config_route(cfg, "/v1/completions", "m");
 *      bbm_config_destroy(cfg);
 *
 *  A configuration is immutable; a new revision is a new object.
 */
#ifndef BBM_CONFIG_H
#define BBM_CONFIG_H

#include "bbm_doc.h"
#include "bbm_hash.h"

#include <uthash.h>

/** A token rate with its burst; a customer names the one that limits it. */
typedef struct bbm_rate {
    char name[BBM_NAME_SIZE]; /**< Unique. */
    int64_t tokens_per_s;     /**< Tokens per second over all VMs. */
    int64_t burst;            /**< Tokens at once over all VMs. */
    UT_hash_handle hh;        /**< By name. */
} bbm_rate;

/** A tenant of the service. */
typedef struct bbm_customer {
    char name[BBM_NAME_SIZE]; /**< Unique. */
    char rate[BBM_NAME_SIZE]; /**< Name of a bbm_rate. */
    int64_t weight; /**< Share under contention, relative to others. */
    int64_t open_requests_max;  /**< Limit of its open requests on one VM. */
    int64_t priority;           /**< 0: most urgent; -1: that of the route. */
    int64_t unspecified_tokens; /**< Charged for a request to a pool that
                                     specifies no tokens. */
    bool by_request;            /**< The rate counts requests, not tokens. */
    bool private_cache;         /**< Shares no cache entries with other
                                     customers. */
    const bbm_rate *rate_ref;   /**< Resolved. */
    UT_hash_handle hh;          /**< By name. */
} bbm_customer;

/** A caller's key, stored only as its keyed digest. */
typedef struct bbm_key {
    char name[BBM_NAME_SIZE];     /**< Unique. */
    char customer[BBM_NAME_SIZE]; /**< Name of the customer it identifies. */
    char *digest;                 /**< 64 hexadecimal digits. */
    UT_hash_handle hh;            /**< By name. */
} bbm_key;

/** A version of a model's weights, or an adapter over another version. */
typedef struct bbm_weights {
    char name[BBM_NAME_SIZE]; /**< Unique. */
    char base[BBM_NAME_SIZE]; /**< Version it builds on; may be empty. */
    char *source;             /**< Where engines load it from; owned. */
    UT_hash_handle hh;        /**< By name. */
} bbm_weights;

/** A model that callers request by name. */
typedef struct bbm_model {
    char name[BBM_NAME_SIZE];      /**< Unique. */
    char weights[BBM_NAME_SIZE];   /**< Version in force. */
    int64_t block_bytes;           /**< Prompt bytes in a cache block. */
    int64_t bytes_per_token;       /**< For estimating prompt tokens. */
    int64_t default_output_tokens; /**< If the request specifies none. */
    int64_t output_tokens_max;     /**< Limit of a request's output. */
    bool open_cache;               /**< Customers share cache entries, except
                                        those with a private cache. */
    UT_hash_handle hh;             /**< By name. */
} bbm_model;

/** A model runner. */
typedef struct bbm_engine {
    char name[BBM_NAME_SIZE];     /**< Unique. */
    char model[BBM_NAME_SIZE];    /**< Name of the model it serves. */
    char zone[BBM_NAME_SIZE];     /**< Its availability zone. */
    char *url;                    /**< Base address, http or https. */
    int64_t slots;                /**< Requests that it runs in a batch. */
    int64_t prefill_tokens_per_s; /**< Prompt tokens computed per second. */
    int64_t import_tokens_per_s;  /**< From the KV store; 0: no import. */
    int64_t cache_blocks;         /**< Capacity of its cache, blocks. */
    bool fencing;                 /**< Rejects orders whose fencing number is
                                       lower than an earlier one. */
    bool leaving;                 /**< Gets no new requests. */
    const bbm_model *model_ref;   /**< Resolved. */
    UT_hash_handle hh;            /**< By name. */
} bbm_engine;

/** An upstream that is not a model runner. */
typedef struct bbm_service {
    char name[BBM_NAME_SIZE]; /**< Unique. */
    char zone[BBM_NAME_SIZE]; /**< Its availability zone. */
    char *url;                /**< Base address, http or https. */
    bool leaving;             /**< Gets no new requests. */
    UT_hash_handle hh;        /**< By name. */
} bbm_service;

/** A set of upstreams that discovery lists. */
typedef struct bbm_pool {
    char name[BBM_NAME_SIZE];     /**< Unique. */
    int64_t connections_max;      /**< Per upstream, over all VMs. */
    bool is_engine;               /**< The upstreams are model runners. */
    int64_t slots;                /**< Requests that a runner runs in a batch,
                                       unless discovery lists the number. */
    int64_t memory_tokens;        /**< Tokens of KV cache in a runner. */
    int64_t token_bytes;          /**< Bytes of KV cache per token. */
    int64_t link_mbps;            /**< Link of a runner, Mbit per second. */
    int64_t prefill_tokens_per_s; /**< Prompt tokens that a runner computes per
                                       second. */
    UT_hash_handle hh;            /**< By name. */
} bbm_pool;

/** A store of KV cache that runners write to and read from. */
typedef struct bbm_store_object {
    char name[BBM_NAME_SIZE]; /**< Unique. */
    char zone[BBM_NAME_SIZE]; /**< Its availability zone. */
    char *address;            /**< IP:port. */
    int64_t memory_tokens;    /**< Capacity, tokens of KV cache. */
    UT_hash_handle hh;        /**< By name. */
} bbm_store_object;

/** Limits on the size and duration of callers' requests. */
typedef struct bbm_limits {
    char name[BBM_NAME_SIZE]; /**< "callers". */
    int64_t header_bytes;     /**< All headers of a request. */
    int64_t body_bytes;       /**< Body of a request. */
    int64_t header_ms;        /**< Longest time to receive all headers. */
    int64_t idle_ms;          /**< Longest time that a connection may be idle
                                   between requests. */
    UT_hash_handle hh;        /**< By name. */
} bbm_limits;

/** How requests on a path are handled. */
typedef struct bbm_route {
    char name[BBM_NAME_SIZE]; /**< Unique. */
    char *host;               /**< Host of the request; "": any. */
    char *path; /**< Prefix of the matching paths; "/book" matches "/book/7".
                     For pools it also matches "/books". */
    char model[BBM_NAME_SIZE]; /**< Model, or empty for services. */
    bbm_names services;        /**< Services, if no model. */
    bbm_names pools;           /**< Pools, if neither model nor services. */
    bbm_ints shares;           /**< Shares of the requests that each pool gets,
                                    in the order of `pools`; empty: equal. */
    bool stream;               /**< Answers are event streams. */
    bool resumable;            /**< Another upstream can resume a stream. */
    bool prompts;              /**< Requests list the parts of a prompt. */
    int64_t timeout_ms;        /**< For the complete answer; 0: no limit. */
    int64_t attempts_max; /**< Limit of the upstreams tried for a request. */
    int64_t target_latency_ms; /**< Target for the time to the answer or the
                                    first event. */
    int64_t target_gap_ms;     /**< Target for the time between events. */
    bool open;                 /**< Requests need no key. */
    bool repeatable;           /**< A request may be retried. */
    int64_t start_ms;          /**< Longest time from arrival to start. */
    int64_t first_byte_ms; /**< Longest time from start to the first byte. */
    int64_t idle_ms;       /**< Longest pause within an answer. */
    int64_t priority;      /**< 0: most urgent. */
    int64_t cost;          /**< Tokens charged for a service call. */
    const bbm_model *model_ref; /**< Resolved; NULL for services. */
    UT_hash_handle hh;          /**< By name. */
} bbm_route;

/** A service level objective, for the burn report. */
typedef struct bbm_objective {
    char name[BBM_NAME_SIZE];     /**< Unique. */
    char customer[BBM_NAME_SIZE]; /**< Covered customer; "": all. */
    char route[BBM_NAME_SIZE];    /**< Covered route; "": all. */
    int64_t first_token_ms;       /**< A slower first token is bad; 0: off. */
    bool complete;                /**< A truncated answer is bad. */
    bool refusals;                /**< A refusal within the rate is bad. */
    double target;                /**< Share that must be good. */
    UT_hash_handle hh;            /**< By name. */
} bbm_objective;

/** A checked configuration.  The lists are hash tables by name. */
typedef struct bbm_config {
    bbm_rate *rates;
    bbm_customer *customers;
    bbm_key *keys; /**< Keys written in the document. */
    bbm_weights *weights;
    bbm_model *models;
    bbm_engine *engines;
    bbm_service *services;
    bbm_pool *pools;
    bbm_store_object *stores; /**< Stores of KV cache. */
    bbm_limits *limits;       /**< Limits on callers. */
    bbm_route *routes;        /**< In document order. */
    bbm_objective *objectives;
    char shared_scope[BBM_NAME_SIZE]; /**< Scope of the customers that share
                                           cache entries. */
} bbm_config;

/** Parse and check a document.  If it has errors, adds them to @p errors and
 *  returns NULL. */
bbm_config *bbm_config_create(const char *text, size_t len,
                              bbm_doc_errors *errors);

/** Free a configuration; NULL is allowed. */
void bbm_config_destroy(bbm_config *cfg);

/** The route to a model or services with the longest path that matches
 *  @p path, or NULL.  A route to a model matches only if @p model is that
 *  model; @p model may be NULL. */
const bbm_route *bbm_config_route(const bbm_config *cfg, const char *path,
                                  const char *model);

/** Path @p i of those whose requests name a model, or NULL after the last. */
const char *bbm_config_model_path(size_t i);

/** The route to pools, for @p host (with or without a port) or any host, with
 * the longest path that is a prefix of @p path, or NULL. */
const bbm_route *bbm_config_host_route(const bbm_config *cfg, const char *host,
                                       const char *path);

/** A pool by name, or NULL. */
const bbm_pool *bbm_config_pool(const bbm_config *cfg, const char *name);

/** A customer by name, or NULL. */
const bbm_customer *bbm_config_customer(const bbm_config *cfg,
                                        const char *name);

/** Scope of a customer's cache entries: a text that upstreams keep with an
 *  entry, and without which no request finds it.
 *
 *  A customer with a private cache, or that isn't in the configuration, has
 *  its name.  All others share a scope that is a function of the set of
 *  private customers: only customers outside the set ever write under it,
 *  whatever configurations came before, in which order VMs apply them, and
 *  whether they have restarted since.  If none is private, it is "".
 *  @param customer  Name; "": a request without a customer, which shares.
 *  @return  @p customer or a text of the configuration; both without "/" at
 *           the beginning unless shared, and shorter than BBM_NAME_SIZE. */
const char *bbm_config_cache_scope(const bbm_config *cfg,
                                   const char *customer);

/** The same for requests to a model of the configuration: customers share
 *  only where it is open.
 *  @param model  Name; of one that isn't in the configuration, none share.
 *  @return  Never "-", which is the scope "" in requests to engines. */
const char *bbm_config_model_scope(const bbm_config *cfg, const char *model,
                                   const char *customer);

/** An engine by name, or NULL. */
const bbm_engine *bbm_config_engine(const bbm_config *cfg, const char *name);

/** A service by name, or NULL. */
const bbm_service *bbm_config_service(const bbm_config *cfg, const char *name);

/** One kind of object in the document, for the docs and their test. */
typedef struct bbm_config_kind {
    const char *list;        /**< Name of the list in the document. */
    const bbm_field *fields; /**< Fields of an object. */
    size_t count;            /**< Number of fields. */
} bbm_config_kind;

/** The kinds of object; @p count receives their number. */
const bbm_config_kind *bbm_config_kinds(size_t *count);

#endif
