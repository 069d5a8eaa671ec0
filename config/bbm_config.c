#include "bbm_config.h"

#include "bbm_table.h"
#include "config_fields.h"

#include <ctype.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

/* Limit of the versions that a version builds on, directly or indirectly. */
#define BASE_DEPTH_MAX 8
#define PATH_SIZE 128
/* Prompts are hashed in units of this size; a block must be a multiple of
   it. */
#define BLOCK_UNIT_BYTES 1024

/* ---- reading ---- */

/* Read one list of objects into a hash table by name. */
#define READ_LIST(cfg, doc, kind, type, table, errors)                        \
    do {                                                                      \
        const bbm_config_kind *k = &config_kinds[kind];                       \
        json_t *list = json_object_get(doc, k->list);                         \
        size_t at;                                                            \
        json_t *value;                                                        \
        json_array_foreach(list, at, value)                                   \
        {                                                                     \
            char path[PATH_SIZE];                                             \
            snprintf(path, sizeof(path), "%s[%zu]", k->list, at);             \
            type *obj = bbm_calloc(1, sizeof(*obj));                          \
            bbm_doc_read(value, path, k->fields, k->count, obj, errors);      \
            type *duplicate = NULL;                                           \
            HASH_FIND_STR((cfg)->table, obj->name, duplicate);                \
            if (duplicate && obj->name[0]) {                                  \
                bbm_doc_error_add(errors, "%s.name: \"%s\" is named twice",   \
                                  path, obj->name);                           \
                bbm_doc_release(k->fields, k->count, obj);                    \
                free(obj);                                                    \
            }                                                                 \
            else {                                                            \
                HASH_ADD_STR((cfg)->table, name, obj);                        \
            }                                                                 \
        }                                                                     \
    } while (0)

#define FREE_LIST(cfg, kind, type, table)                                     \
    do {                                                                      \
        const bbm_config_kind *k = &config_kinds[kind];                       \
        type *obj, *next;                                                     \
        HASH_ITER(hh, (cfg)->table, obj, next)                                \
        {                                                                     \
            HASH_DEL((cfg)->table, obj);                                      \
            bbm_doc_release(k->fields, k->count, obj);                        \
            free(obj);                                                        \
        }                                                                     \
    } while (0)

static void
read_lists(bbm_config *cfg, const json_t *doc, bbm_doc_errors *errors)
{
    READ_LIST(cfg, doc, KIND_RATES, bbm_rate, rates, errors);
    READ_LIST(cfg, doc, KIND_CUSTOMERS, bbm_customer, customers, errors);
    READ_LIST(cfg, doc, KIND_KEYS, bbm_key, keys, errors);
    READ_LIST(cfg, doc, KIND_WEIGHTS, bbm_weights, weights, errors);
    READ_LIST(cfg, doc, KIND_MODELS, bbm_model, models, errors);
    READ_LIST(cfg, doc, KIND_ENGINES, bbm_engine, engines, errors);
    READ_LIST(cfg, doc, KIND_SERVICES, bbm_service, services, errors);
    READ_LIST(cfg, doc, KIND_POOLS, bbm_pool, pools, errors);
    READ_LIST(cfg, doc, KIND_STORES, bbm_store_object, stores, errors);
    READ_LIST(cfg, doc, KIND_LIMITS, bbm_limits, limits, errors);
    READ_LIST(cfg, doc, KIND_ROUTES, bbm_route, routes, errors);
    READ_LIST(cfg, doc, KIND_OBJECTIVES, bbm_objective, objectives, errors);
}

void
bbm_config_destroy(bbm_config *cfg)
{
    if (!cfg)
        return;
    FREE_LIST(cfg, KIND_RATES, bbm_rate, rates);
    FREE_LIST(cfg, KIND_CUSTOMERS, bbm_customer, customers);
    FREE_LIST(cfg, KIND_KEYS, bbm_key, keys);
    FREE_LIST(cfg, KIND_WEIGHTS, bbm_weights, weights);
    FREE_LIST(cfg, KIND_MODELS, bbm_model, models);
    FREE_LIST(cfg, KIND_ENGINES, bbm_engine, engines);
    FREE_LIST(cfg, KIND_SERVICES, bbm_service, services);
    FREE_LIST(cfg, KIND_POOLS, bbm_pool, pools);
    FREE_LIST(cfg, KIND_STORES, bbm_store_object, stores);
    FREE_LIST(cfg, KIND_LIMITS, bbm_limits, limits);
    FREE_LIST(cfg, KIND_ROUTES, bbm_route, routes);
    FREE_LIST(cfg, KIND_OBJECTIVES, bbm_objective, objectives);
    free(cfg);
}

/* ---- checking ---- */

/* Resolve a reference to an object of another list; an empty optional one
   yields NULL and is not an error. */
#define RESOLVE(cfg, owner, obj, field, table, out, errors)                   \
    do {                                                                      \
        HASH_FIND_STR((cfg)->table, (obj)->field, out);                       \
        if (!(out) && (obj)->field[0])                                        \
            bbm_doc_error_add(                                                \
                errors, "%s \"%s\".%s: found \"%s\"; allowed: a name in %s",  \
                owner, (obj)->name, #field, (obj)->field, #table);            \
    } while (0)

static bool
url_valid(const char *url)
{
    const char *host = NULL;
    if (strncmp(url, "http://", 7) == 0)
        host = url + 7;
    else if (strncmp(url, "https://", 8) == 0)
        host = url + 8;
    return host && *host && !strpbrk(host, " \t\r\n/?#@");
}

static void
check_url(const char *owner, const char *name, const char *url,
          bbm_doc_errors *errors)
{
    if (!url_valid(url))
        bbm_doc_error_add(
            errors,
            "%s \"%s\".url: found \"%.80s\"; allowed: http:// or "
            "https://, host and port, without path or user",
            owner, name, url);
}

/* A key that two customers have would not identify which of them sent a
   request. */
static void
check_duplicate_keys(const bbm_config *cfg, bbm_doc_errors *errors)
{
    typedef struct seen {
        const bbm_key *key;
        UT_hash_handle hh;
    } seen;
    seen *all = NULL;
    for (const bbm_key *k = cfg->keys; k; k = k->hh.next) {
        seen *duplicate = NULL;
        size_t len = strlen(k->digest);
        HASH_FIND(hh, all, k->digest, len, duplicate);
        if (!duplicate) {
            seen *one = bbm_calloc(1, sizeof(*one));
            one->key = k;
            HASH_ADD_KEYPTR(hh, all, k->digest, len, one);
        }
        else if (strcmp(duplicate->key->customer, k->customer) != 0) {
            bbm_doc_error_add(
                errors,
                "key \"%s\": has the digest of key \"%s\" of another customer",
                k->name, duplicate->key->name);
        }
    }
    BBM_TABLE_FREE(seen, all);
}

static void
check_customers(bbm_config *cfg, bbm_doc_errors *errors)
{
    for (bbm_customer *c = cfg->customers; c; c = c->hh.next) {
        bbm_rate *rate = NULL;
        RESOLVE(cfg, "customer", c, rate, rates, rate, errors);
        c->rate_ref = rate;
    }
    for (bbm_key *k = cfg->keys; k; k = k->hh.next) {
        bbm_customer *owner = NULL;
        RESOLVE(cfg, "key", k, customer, customers, owner, errors);
        bbm_digest digest;
        if (!bbm_digest_parse(k->digest, &digest))
            bbm_doc_error_add(errors,
                              "key \"%s\".digest: not 64 hexadecimal digits",
                              k->name);
    }
    check_duplicate_keys(cfg, errors);
}

static void
check_bases(bbm_config *cfg, bbm_doc_errors *errors)
{
    for (bbm_weights *w = cfg->weights; w; w = w->hh.next) {
        bbm_weights *base = NULL;
        RESOLVE(cfg, "weights", w, base, weights, base, errors);
        int depth = 0;
        while (base && base != w && depth < BASE_DEPTH_MAX) {
            bbm_weights *next = NULL;
            HASH_FIND_STR(cfg->weights, base->base, next);
            base = next;
            depth++;
        }
        if (base == w)
            bbm_doc_error_add(errors, "weights \"%s\".base: builds on itself",
                              w->name);
        else if (base)
            bbm_doc_error_add(
                errors,
                "weights \"%s\".base: a cycle, or more than %d levels deep",
                w->name, BASE_DEPTH_MAX);
    }
}

/* Checks models, engines and services. */
static void
check_upstreams(bbm_config *cfg, bbm_doc_errors *errors)
{
    for (bbm_model *o = cfg->models; o; o = o->hh.next) {
        bbm_weights *w = NULL;
        RESOLVE(cfg, "model", o, weights, weights, w, errors);
        if (o->block_bytes % BLOCK_UNIT_BYTES != 0)
            bbm_doc_error_add(
                errors,
                "model \"%s\".block_bytes: found %lld; allowed: a "
                "multiple of %d",
                o->name, (long long)o->block_bytes, BLOCK_UNIT_BYTES);
        if (o->default_output_tokens > o->output_tokens_max)
            bbm_doc_error_add(
                errors,
                "model \"%s\".default_output: found %lld; allowed: "
                "at most most_output, %lld",
                o->name, (long long)o->default_output_tokens,
                (long long)o->output_tokens_max);
    }
    for (bbm_engine *e = cfg->engines; e; e = e->hh.next) {
        bbm_model *model = NULL;
        RESOLVE(cfg, "engine", e, model, models, model, errors);
        e->model_ref = model;
        check_url("engine", e->name, e->url, errors);
    }
    for (bbm_service *s = cfg->services; s; s = s->hh.next) {
        bbm_engine *duplicate = NULL;
        HASH_FIND_STR(cfg->engines, s->name, duplicate);
        if (duplicate)
            bbm_doc_error_add(errors,
                              "service \"%s\": an engine has the same name",
                              s->name);
        check_url("service", s->name, s->url, errors);
    }
}

static bool
model_has_engine(const bbm_config *cfg, const char *model)
{
    for (const bbm_engine *e = cfg->engines; e; e = e->hh.next) {
        if (strcmp(e->model, model) == 0)
            return true;
    }
    return false;
}

static void
check_route_pools(const bbm_config *cfg, const bbm_route *r,
                  bbm_doc_errors *errors)
{
    if (r->pools.len && (r->model[0] || r->services.len))
        bbm_doc_error_add(
            errors, "route \"%s\": has pools and other upstreams", r->name);
    if (r->host[0] && !r->pools.len)
        bbm_doc_error_add(
            errors, "route \"%s\".host: only a route to pools can have a host",
            r->name);
    for (size_t i = 0; i < r->pools.len; i++) {
        if (!bbm_config_pool(cfg, r->pools.items[i]))
            bbm_doc_error_add(
                errors,
                "route \"%s\".pools[%zu]: found \"%s\"; allowed: a "
                "name in pools",
                r->name, i, r->pools.items[i]);
    }
    int64_t sum = 0;
    for (size_t i = 0; i < r->shares.len; i++)
        sum += r->shares.items[i];
    if (r->shares.len && (r->shares.len != r->pools.len || sum == 0))
        bbm_doc_error_add(
            errors,
            "route \"%s\".shares: found %zu numbers, in all %lld; "
            "allowed: one for each of the %zu pools, not all 0",
            r->name, r->shares.len, (long long)sum, r->pools.len);
}

static void
check_route_upstreams(bbm_config *cfg, bbm_route *r, bbm_doc_errors *errors)
{
    bbm_model *model = NULL;
    RESOLVE(cfg, "route", r, model, models, model, errors);
    r->model_ref = model;
    if (model && r->services.len)
        bbm_doc_error_add(
            errors, "route \"%s\": has both a model and services", r->name);
    if (!r->model[0] && !r->services.len && !r->pools.len)
        bbm_doc_error_add(errors, "route \"%s\": has no upstream", r->name);
    check_route_pools(cfg, r, errors);
    if (model && !model_has_engine(cfg, r->model))
        bbm_doc_error_add(errors,
                          "route \"%s\": no engine serves model \"%s\"",
                          r->name, r->model);
    for (size_t i = 0; i < r->services.len; i++) {
        bbm_service *s = NULL;
        HASH_FIND_STR(cfg->services, r->services.items[i], s);
        if (!s)
            bbm_doc_error_add(
                errors,
                "route \"%s\".services[%zu]: found \"%s\"; allowed: "
                "a name in services",
                r->name, i, r->services.items[i]);
    }
}

/* True for paths that the daemon serves itself. */
static bool
path_reserved(const char *path)
{
    static const char *const reserved[] = {"/healthz", "/readyz", "/metrics",
                                           "/v1/entries"};
    for (size_t i = 0; i < BBM_COUNT(reserved); i++) {
        if (strcmp(path, reserved[i]) == 0)
            return true;
    }
    return false;
}

typedef struct seen_route {
    const bbm_route *route;
    char *key;
    UT_hash_handle hh; /* by key */
} seen_route;

/* What a request is compared with: path, model and host, which is compared
   without regard to case.  No path has a blank. */
static char *
route_key(const bbm_route *r)
{
    size_t size = strlen(r->path) + strlen(r->model) + strlen(r->host) + 3;
    char *key = bbm_calloc(size, 1);
    int len = snprintf(key, size, "%s %s ", r->path, r->model);
    for (const char *c = r->host; *c; c++)
        key[len++] = (char)tolower((unsigned char)*c);
    return key;
}

/* By a table, as each VM checks each change on the thread that decides. */
static void
check_duplicate_routes(const bbm_config *cfg, bbm_doc_errors *errors)
{
    seen_route *all = NULL;
    for (const bbm_route *r = cfg->routes; r; r = r->hh.next) {
        seen_route *one = bbm_calloc(1, sizeof(*one));
        seen_route *earlier = NULL;
        one->route = r;
        one->key = route_key(r);
        HASH_FIND_STR(all, one->key, earlier);
        if (!earlier) {
            HASH_ADD_KEYPTR(hh, all, one->key, strlen(one->key), one);
            continue;
        }
        bbm_doc_error_add(errors,
                          "route \"%s\": same host, path and model as \"%s\"",
                          r->name, earlier->route->name);
        free(one->key);
        free(one);
    }
    seen_route *one, *next;
    HASH_ITER(hh, all, one, next)
    {
        HASH_DEL(all, one);
        free(one->key);
        free(one);
    }
}

static void
check_routes(bbm_config *cfg, bbm_doc_errors *errors)
{
    for (bbm_route *r = cfg->routes; r; r = r->hh.next) {
        check_route_upstreams(cfg, r, errors);
        if (r->path[0] != '/' || strpbrk(r->path, " ?#\r\n"))
            bbm_doc_error_add(
                errors,
                "route \"%s\".path: found \"%.80s\"; allowed: a path "
                "that starts with / and has no query",
                r->name, r->path);
        /* On an open route all callers would share Idempotency-Keys. */
        if (r->open && !r->repeatable && !r->pools.len)
            bbm_doc_error_add(errors,
                              "route \"%s\": an open route must be repeatable",
                              r->name);
        if (path_reserved(r->path) && !r->host[0])
            bbm_doc_error_add(
                errors, "route \"%s\".path: \"%s\" is reserved for the daemon",
                r->name, r->path);
    }
    check_duplicate_routes(cfg, errors);
}

static void
check_objectives(bbm_config *cfg, bbm_doc_errors *errors)
{
    for (bbm_objective *o = cfg->objectives; o; o = o->hh.next) {
        bbm_customer *customer = NULL;
        bbm_route *route = NULL;
        RESOLVE(cfg, "objective", o, customer, customers, customer, errors);
        RESOLVE(cfg, "objective", o, route, routes, route, errors);
        if (!o->first_token_ms && !o->complete && !o->refusals)
            bbm_doc_error_add(errors,
                              "objective \"%s\": counts nothing; needed: "
                              "first_token_ms, complete or refusals",
                              o->name);
    }
}

/* Checks the names and types of the lists. */
static void
check_top_level(const json_t *doc, bbm_doc_errors *errors)
{
    bbm_field lists[KIND_COUNT];
    for (size_t i = 0; i < KIND_COUNT; i++) {
        lists[i] =
            (bbm_field){.name = config_kinds[i].list, .kind = BBM_FIELD_LIST};
    }
    char unused;
    bbm_doc_read(doc, "$", lists, KIND_COUNT, &unused, errors);
}

bbm_config *
bbm_config_create(const char *text, size_t len, bbm_doc_errors *errors)
{
    size_t before = errors->total;
    json_t *doc = bbm_doc_parse(text, len, errors);
    if (!doc)
        return NULL;
    bbm_config *cfg = bbm_calloc(1, sizeof(*cfg));
    check_top_level(doc, errors);
    read_lists(cfg, doc, errors);
    json_decref(doc);
    check_customers(cfg, errors);
    check_bases(cfg, errors);
    check_upstreams(cfg, errors);
    check_routes(cfg, errors);
    check_objectives(cfg, errors);
    if (errors->total == before) {
        config_set_shared_scope(cfg);
        return cfg;
    }
    bbm_config_destroy(cfg);
    return NULL;
}

/* ---- lookup ---- */

/* Length of the match, or 0 if the route's path does not match. */
static size_t
path_match(const char *prefix, const char *path)
{
    size_t len = strlen(prefix);
    if (strncmp(prefix, path, len) != 0)
        return 0;
    bool is_exact = path[len] == '\0' || path[len] == '?';
    bool is_below = path[len] == '/' || prefix[len - 1] == '/';
    return is_exact || is_below ? len : 0;
}

const bbm_route *
bbm_config_route(const bbm_config *cfg, const char *path, const char *model)
{
    const bbm_route *best = NULL;
    size_t best_len = 0;
    for (const bbm_route *r = cfg->routes; r; r = r->hh.next) {
        if (r->pools.len
            || (r->model[0] && (!model || strcmp(r->model, model) != 0)))
            continue;
        size_t len = path_match(r->path, path);
        if (len > best_len) {
            best = r;
            best_len = len;
        }
    }
    return best;
}

const char *
bbm_config_model_path(size_t i)
{
    static const char *const paths[] = {"/v1/completions",
                                        "/v1/chat/completions"};
    return i < BBM_COUNT(paths) ? paths[i] : NULL;
}

/* A Host header may name the port, which is empty or a number (RFC 9110,
   7.2). */
static bool
host_matches(const char *name, const char *host)
{
    size_t len = strlen(name);
    if (strncasecmp(name, host, len) != 0)
        return false;
    const char *port = host + len;
    return !port[0]
           || (port[0] == ':'
               && strspn(port + 1, "0123456789") == strlen(port + 1));
}

const bbm_route *
bbm_config_host_route(const bbm_config *cfg, const char *host,
                      const char *path)
{
    const bbm_route *best = NULL;
    size_t best_len = 0;
    for (const bbm_route *r = cfg->routes; r; r = r->hh.next) {
        size_t len = strlen(r->path);
        bool matches = r->pools.len
                       && (!r->host[0] || host_matches(r->host, host))
                       && strncmp(r->path, path, len) == 0;
        if (matches && len > best_len) {
            best = r;
            best_len = len;
        }
    }
    return best;
}

const bbm_pool *
bbm_config_pool(const bbm_config *cfg, const char *name)
{
    bbm_pool *found = NULL;
    HASH_FIND_STR(cfg->pools, name, found);
    return found;
}

const bbm_customer *
bbm_config_customer(const bbm_config *cfg, const char *name)
{
    bbm_customer *found = NULL;
    HASH_FIND_STR(cfg->customers, name, found);
    return found;
}

const bbm_engine *
bbm_config_engine(const bbm_config *cfg, const char *name)
{
    bbm_engine *found = NULL;
    HASH_FIND_STR(cfg->engines, name, found);
    return found;
}

const bbm_service *
bbm_config_service(const bbm_config *cfg, const char *name)
{
    bbm_service *found = NULL;
    HASH_FIND_STR(cfg->services, name, found);
    return found;
}
