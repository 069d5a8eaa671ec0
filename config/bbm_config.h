/** @file
 *  The service configuration: named objects that refer to each other.
 *
 *  Operators write one JSON document with the customers, keys, rates, models,
 *  weight versions, engines, services, routes and objectives.  It is parsed
 *  and checked as one; all mistakes are reported together.
 *
 *      bbm_doc_errors wrong = {0};
 *      bbm_config *cfg = bbm_config_create(text, len, &wrong);
 *      if (!cfg)
 *          ... print wrong.lines ...
 *      const bbm_route *route = bbm_config_route(cfg, "/v1/completions", "m");
 *      bbm_config_destroy(cfg);
 *
 *  A configuration never changes once it is made; a new revision is a new
 *  object.
 */
#ifndef BBM_CONFIG_H
#define BBM_CONFIG_H

#include "bbm_doc.h"
#include "bbm_hash.h"

#include <uthash.h>

/** How many tokens a customer may run. */
typedef struct bbm_rate {
    char name[BBM_NAME_SIZE]; /**< Unique. */
    int64_t tokens_per_s;     /**< Tokens per second over all VMs. */
    int64_t burst;            /**< Tokens at once over all VMs. */
    UT_hash_handle hh;        /**< By name. */
} bbm_rate;

/** A tenant of the service. */
typedef struct bbm_customer {
    char name[BBM_NAME_SIZE];   /**< Unique. */
    char rate[BBM_NAME_SIZE];   /**< Its bbm_rate. */
    int64_t weight;             /**< Share under contention. */
    int64_t open_requests_max;  /**< Requests open at once on one VM. */
    int64_t priority;           /**< Goes before the route's; -1: none. */
    int64_t unspecified_tokens; /**< Of a request that tells no tokens. */
    bool by_request;            /**< Its rate counts requests, not tokens. */
    bool private_cache;         /**< Shares no cache entry with others. */
    const bbm_rate *rate_ref;   /**< Resolved. */
    UT_hash_handle hh;          /**< By name. */
} bbm_customer;

/** A caller's key, known by its keyed digest alone. */
typedef struct bbm_key {
    char name[BBM_NAME_SIZE];     /**< Unique. */
    char customer[BBM_NAME_SIZE]; /**< Whose key it is. */
    char *digest;                 /**< 64 hexadecimal digits. */
    UT_hash_handle hh;            /**< By name. */
} bbm_key;

/** A version of a model's weights, or an adapter over another version. */
typedef struct bbm_weights {
    char name[BBM_NAME_SIZE]; /**< Unique. */
    char base[BBM_NAME_SIZE]; /**< Version it builds on; may be empty. */
    char *source;             /**< Where engines load it from. */
    UT_hash_handle hh;        /**< By name. */
} bbm_weights;

/** A model that callers ask for by name. */
typedef struct bbm_model {
    char name[BBM_NAME_SIZE];    /**< Unique. */
    char weights[BBM_NAME_SIZE]; /**< Version in force. */
    int64_t block_bytes;         /**< Prompt bytes in a cache block. */
    int64_t bytes_per_token;     /**< To count prompt tokens by. */
    int64_t
        default_output_tokens; /**< Output tokens if the caller names none. */
    int64_t output_tokens_max; /**< Output tokens that may be asked for. */
    bool open_cache;           /**< All customers share cache entries. */
    UT_hash_handle hh;         /**< By name. */
} bbm_model;

/** A model runner. */
typedef struct bbm_engine {
    char name[BBM_NAME_SIZE];     /**< Unique. */
    char model[BBM_NAME_SIZE];    /**< What it serves. */
    char zone[BBM_NAME_SIZE];     /**< Its availability zone. */
    char *url;                    /**< Base address, http or https. */
    int64_t slots;                /**< Requests that it batches at once. */
    int64_t prefill_tokens_per_s; /**< Prompt tokens computed per second. */
    int64_t import_tokens_per_s;  /**< Tokens imported from the KV store. */
    int64_t cache_blocks;         /**< Blocks that its cache holds. */
    bool fencing;                 /**< Refuses orders with an old number. */
    bool leaving;                 /**< Gets no new work. */
    const bbm_model *model_ref;   /**< Resolved. */
    UT_hash_handle hh;            /**< By name. */
} bbm_engine;

/** A plain service beside the engines. */
typedef struct bbm_service {
    char name[BBM_NAME_SIZE]; /**< Unique. */
    char zone[BBM_NAME_SIZE]; /**< Its availability zone. */
    char *url;                /**< Base address, http or https. */
    bool leaving;             /**< Gets no new work. */
    UT_hash_handle hh;        /**< By name. */
} bbm_service;

/** A service whose upstreams are found by discovery and come and go. */
typedef struct bbm_pool {
    char name[BBM_NAME_SIZE];     /**< Unique. */
    int64_t connections_max;      /**< An upstream takes from all VMs. */
    bool is_engine;               /**< Its upstreams are model runners. */
    int64_t slots;                /**< Requests that one runs at once. */
    int64_t memory_tokens;        /**< KV cache of one runner, tokens. */
    int64_t token_bytes;          /**< KV cache of a token, bytes. */
    int64_t link_mbps;            /**< Link of a runner, Mbit per second. */
    int64_t prefill_tokens_per_s; /**< Prompt tokens read per second. */
    UT_hash_handle hh;            /**< By name. */
} bbm_pool;

/** A store of KV cache that runners write to and read from. */
typedef struct bbm_store_object {
    char name[BBM_NAME_SIZE]; /**< Unique. */
    char zone[BBM_NAME_SIZE]; /**< Its availability zone. */
    char *address;            /**< IP:port. */
    int64_t memory_tokens;    /**< What it holds, tokens. */
    UT_hash_handle hh;        /**< By name. */
} bbm_store_object;

/** What callers may send and how long they may take. */
typedef struct bbm_limits {
    char name[BBM_NAME_SIZE]; /**< "callers". */
    int64_t header_bytes;     /**< Headers of a request. */
    int64_t body_bytes;       /**< Body of a request. */
    int64_t header_ms;        /**< For sending the headers. */
    int64_t idle_ms;          /**< Of a kept connection. */
    UT_hash_handle hh;        /**< By name. */
} bbm_limits;

/** What happens to requests on a path. */
typedef struct bbm_route {
    char name[BBM_NAME_SIZE];   /**< Unique. */
    char *host;                 /**< Host that callers name; "": any. */
    char *path;                 /**< Path, matched whole or as a folder. */
    char model[BBM_NAME_SIZE];  /**< Model, or empty for services. */
    bbm_names services;         /**< Services, if no model. */
    bbm_names pools;            /**< Pools, if neither. */
    bbm_ints shares;            /**< Of the pools, in their order. */
    bool stream;                /**< Answers are event streams. */
    bool resumable;             /**< A stream may go on elsewhere. */
    bool prompts;               /**< Requests name the parts of a prompt. */
    int64_t timeout_ms;         /**< Final answer within; 0: no limit. */
    int64_t attempts_max;       /**< Upstreams for one request, at most. */
    int64_t target_latency_ms;  /**< Answer, or first event, within. */
    int64_t target_gap_ms;      /**< Longest pause of a stream. */
    bool open;                  /**< No key is asked for. */
    bool repeatable;            /**< May be tried again. */
    int64_t start_ms;           /**< Start within, milliseconds. */
    int64_t first_byte_ms;      /**< First byte within, milliseconds. */
    int64_t idle_ms;            /**< Longest silence, milliseconds. */
    int64_t priority;           /**< 0 is the most urgent. */
    int64_t cost;               /**< Tokens that a service call is worth. */
    const bbm_model *model_ref; /**< Resolved; NULL for services. */
    UT_hash_handle hh;          /**< By name. */
} bbm_route;

/** What good service means, for the burn report. */
typedef struct bbm_objective {
    char name[BBM_NAME_SIZE];     /**< Unique. */
    char customer[BBM_NAME_SIZE]; /**< Empty means all. */
    char route[BBM_NAME_SIZE];    /**< Empty means all. */
    int64_t first_token_ms;       /**< A slower first token is bad; 0: off. */
    bool complete;                /**< A cut answer is bad. */
    bool refusals;                /**< A wrongful refusal is bad. */
    double target;                /**< Share that must be good. */
    UT_hash_handle hh;            /**< By name. */
} bbm_objective;

/** A checked configuration.  The lists are hash tables by name. */
typedef struct bbm_config {
    bbm_rate *rates;           /**< All rates. */
    bbm_customer *customers;   /**< All customers. */
    bbm_key *keys;             /**< Keys written in the document. */
    bbm_weights *weights;      /**< All weight versions. */
    bbm_model *models;         /**< All models. */
    bbm_engine *engines;       /**< All engines. */
    bbm_service *services;     /**< All services. */
    bbm_pool *pools;           /**< All pools. */
    bbm_store_object *stores;  /**< All stores of KV cache. */
    bbm_limits *limits;        /**< Limits on callers. */
    bbm_route *routes;         /**< All routes, in document order. */
    bbm_objective *objectives; /**< All objectives. */
} bbm_config;

/** Parse and check a document; NULL with mistakes if it has any. */
bbm_config *bbm_config_create(const char *text, size_t len, bbm_doc_errors *m);

/** Release a configuration; NULL is allowed. */
void bbm_config_destroy(bbm_config *cfg);

/** The route with the longest path that fits, and the model if it has one. */
const bbm_route *bbm_config_route(const bbm_config *cfg, const char *path,
                                  const char *model);

/** The route of a host's pools with the longest path that begins the
 *  caller's path, or NULL. */
const bbm_route *bbm_config_host_route(const bbm_config *cfg, const char *host,
                                       const char *path);

/** A pool by name, or NULL. */
const bbm_pool *bbm_config_pool(const bbm_config *cfg, const char *name);

/** A customer by name, or NULL. */
const bbm_customer *bbm_config_customer(const bbm_config *cfg,
                                        const char *name);

/** An engine by name, or NULL. */
const bbm_engine *bbm_config_engine(const bbm_config *cfg, const char *name);

/** A service by name, or NULL. */
const bbm_service *bbm_config_service(const bbm_config *cfg, const char *name);

/** One kind of object in the document, for the docs and their test. */
typedef struct bbm_config_kind {
    const char *list;        /**< Field of the document. */
    const bbm_field *fields; /**< What an object holds. */
    size_t count;            /**< Fields. */
} bbm_config_kind;

/** The kinds of object; @p count receives how many. */
const bbm_config_kind *bbm_config_kinds(size_t *count);

#endif
