#include "bbm_config_check.h"

#include "bbm_table.h"
#include "config_fields.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TEXT_SIZE 512
/* Digits of a real number in a line; doubles of the document have fewer. */
#define REAL_DIGITS 10

/* ---- findings ---- */

const char *
bbm_finding_kind_text(bbm_finding_kind kind)
{
    static const char *const texts[BBM_FINDING_KIND_COUNT] = {
#define X(name, text) [BBM_FINDING_##name] = (text),
        BBM_FINDING_TABLE(X)
#undef X
    };
    return texts[kind];
}

bool
bbm_finding_is_error(const bbm_finding *finding)
{
    return finding->kind == BBM_FINDING_INVALID;
}

static void add_finding(bbm_findings *findings, bbm_finding_kind kind,
                        const char *object_kind, const char *name,
                        const char *field, const char *format, ...)
    __attribute__((format(printf, 6, 7)));

static void
add_finding(bbm_findings *findings, bbm_finding_kind kind,
            const char *object_kind, const char *name, const char *field,
            const char *format, ...)
{
    char text[TEXT_SIZE];
    va_list args;
    va_start(args, format);
    vsnprintf(text, sizeof(text), format, args);
    va_end(args);
    bbm_grow(&findings->items, &findings->cap, findings->len,
             sizeof(*findings->items));
    bbm_finding *f = &findings->items[findings->len++];
    *f = (bbm_finding){.kind = kind,
                       .object_kind = object_kind,
                       .field = field,
                       .text = bbm_strdup(text)};
    bbm_name_set(f->name, name);
}

void
bbm_findings_add_errors(bbm_findings *findings, const bbm_doc_errors *errors)
{
    for (size_t i = 0; i < errors->len; i++)
        add_finding(findings, BBM_FINDING_INVALID, "", "", "", "%s",
                    errors->lines[i]);
    if (errors->total > errors->len)
        add_finding(findings, BBM_FINDING_INVALID, "", "", "", "and %zu more",
                    errors->total - errors->len);
}

char *
bbm_finding_text(const bbm_finding *f)
{
    const char *severity = bbm_finding_is_error(f) ? "error" : "warning";
    char *text = NULL;
    int len;
    if (!f->object_kind[0])
        len = asprintf(&text, "%s: %s", severity, f->text);
    else
        len =
            asprintf(&text, "%s: %s \"%s\"%s%s: %s", severity, f->object_kind,
                     f->name, f->field[0] ? "." : "", f->field, f->text);
    if (len < 0)
        abort();
    return text;
}

void
bbm_findings_free(bbm_findings *findings)
{
    for (size_t i = 0; i < findings->len; i++)
        free(findings->items[i].text);
    free(findings->items);
    *findings = (bbm_findings){0};
}

/* ---- entries that never match ---- */

/* A Host header has none of these characters. */
static bool
is_possible_host(const char *host)
{
    return !strpbrk(host, " \t\r\n/?#@");
}

static void
check_pool_route(const bbm_config *cfg, const bbm_route *r,
                 bbm_findings *findings)
{
    const bbm_route *used = bbm_config_host_route(cfg, r->host, r->path);
    if (used != r)
        add_finding(findings, BBM_FINDING_ROUTE_COVERED, "route", r->name,
                    "path",
                    "route \"%s\", which is earlier in the document and "
                    "applies to any host, takes all its requests",
                    used->name);
    if (!is_possible_host(r->host))
        add_finding(findings, BBM_FINDING_ROUTE_UNREACHABLE, "route", r->name,
                    "host", "no request has the host \"%.80s\"", r->host);
    if (cfg->limits && (int64_t)strlen(r->path) > cfg->limits->header_bytes)
        add_finding(findings, BBM_FINDING_ROUTE_UNREACHABLE, "route", r->name,
                    "path", "longer than header_bytes of limits \"%s\", %lld",
                    cfg->limits->name, (long long)cfg->limits->header_bytes);
}

/* Only requests on certain paths name a model. */
static void
check_model_route(const bbm_config *cfg, const bbm_route *r,
                  bbm_findings *findings)
{
    const bbm_route *cover = NULL;
    const char *path;
    for (size_t i = 0; (path = bbm_config_model_path(i)) != NULL; i++) {
        const bbm_route *used = bbm_config_route(cfg, path, r->model);
        if (used == r)
            return;
        if (used && strcmp(used->path, r->path) == 0)
            cover = used;
    }
    if (cover)
        add_finding(findings, BBM_FINDING_ROUTE_COVERED, "route", r->name,
                    "path",
                    "route \"%s\", which is earlier in the document and has "
                    "no model, takes all its requests",
                    cover->name);
    else
        add_finding(findings, BBM_FINDING_ROUTE_UNREACHABLE, "route", r->name,
                    "path",
                    "no request for model \"%s\" has the path \"%.80s\" as "
                    "its longest match",
                    r->model, r->path);
}

static void
check_shares(const bbm_route *r, bbm_findings *findings)
{
    for (size_t i = 0; i < r->shares.len; i++) {
        if (r->shares.items[i] == 0)
            add_finding(findings, BBM_FINDING_SHARE_ZERO, "route", r->name,
                        "shares", "pool \"%s\" gets no requests",
                        r->pools.items[i]);
    }
}

static bool
is_rate_used(const bbm_config *cfg, const bbm_rate *rate)
{
    for (const bbm_customer *c = cfg->customers; c; c = c->hh.next) {
        if (c->rate_ref == rate)
            return true;
    }
    return false;
}

static bool
is_pool_used(const bbm_config *cfg, const char *name)
{
    for (const bbm_route *r = cfg->routes; r; r = r->hh.next) {
        if (bbm_names_has(&r->pools, name))
            return true;
    }
    return false;
}

static bool
is_service_used(const bbm_config *cfg, const char *name)
{
    for (const bbm_route *r = cfg->routes; r; r = r->hh.next) {
        if (bbm_names_has(&r->services, name))
            return true;
    }
    return false;
}

/* ---- limits that contradict each other ---- */

static void
check_rate(const bbm_config *cfg, const bbm_rate *rate, bbm_findings *findings)
{
    if (!is_rate_used(cfg, rate))
        add_finding(findings, BBM_FINDING_UNUSED, "rate", rate->name, "",
                    "no customer has this rate");
    if (rate->burst < rate->tokens_per_s)
        add_finding(findings, BBM_FINDING_BURST_BELOW_RATE, "rate", rate->name,
                    "burst",
                    "%lld is too small for one second at tokens_per_s, %lld",
                    (long long)rate->burst, (long long)rate->tokens_per_s);
}

static void
check_pool(const bbm_config *cfg, const bbm_pool *pool, bbm_findings *findings)
{
    if (!is_pool_used(cfg, pool->name))
        add_finding(findings, BBM_FINDING_UNUSED, "pool", pool->name, "",
                    "no route names this pool");
    /* Only model runners have slots. */
    if (pool->is_engine && pool->connections_max < pool->slots)
        add_finding(findings, BBM_FINDING_CONNECTIONS_BELOW_SLOTS, "pool",
                    pool->name, "connections_most",
                    "%lld connections can't fill the slots, %lld",
                    (long long)pool->connections_max, (long long)pool->slots);
}

static void
check_limits(const bbm_limits *limits, bbm_findings *findings)
{
    if (limits->header_bytes > limits->body_bytes)
        add_finding(
            findings, BBM_FINDING_HEADER_ABOVE_BODY, "limits", limits->name,
            "header_bytes", "%lld is above body_bytes, %lld",
            (long long)limits->header_bytes, (long long)limits->body_bytes);
}

/* The timeout applies to pools only, the gap to streams only. */
static void
check_route_times(const bbm_route *r, bbm_findings *findings)
{
    if (!r->pools.len || !r->timeout_ms)
        return;
    if (r->timeout_ms < r->target_latency_ms)
        add_finding(findings, BBM_FINDING_TIMEOUT_BELOW_TARGET, "route",
                    r->name, "timeout_ms",
                    "%lld is below the target latency aim_ms, %lld",
                    (long long)r->timeout_ms, (long long)r->target_latency_ms);
    if (r->stream && r->target_gap_ms > r->timeout_ms)
        add_finding(findings, BBM_FINDING_GAP_ABOVE_TIMEOUT, "route", r->name,
                    "gap_ms", "%lld is above timeout_ms, %lld",
                    (long long)r->target_gap_ms, (long long)r->timeout_ms);
}

void
bbm_config_check(const bbm_config *cfg, bbm_findings *findings)
{
    for (const bbm_rate *r = cfg->rates; r; r = r->hh.next)
        check_rate(cfg, r, findings);
    for (const bbm_service *s = cfg->services; s; s = s->hh.next) {
        if (!is_service_used(cfg, s->name))
            add_finding(findings, BBM_FINDING_UNUSED, "service", s->name, "",
                        "no route names this service");
    }
    for (const bbm_pool *p = cfg->pools; p; p = p->hh.next)
        check_pool(cfg, p, findings);
    for (const bbm_limits *l = cfg->limits; l; l = l->hh.next)
        check_limits(l, findings);
    for (const bbm_route *r = cfg->routes; r; r = r->hh.next) {
        if (r->pools.len)
            check_pool_route(cfg, r, findings);
        else if (r->model[0])
            check_model_route(cfg, r, findings);
        check_shares(r, findings);
        check_route_times(r, findings);
    }
}

/* ---- differences ---- */

/* Where a configuration has the objects of each kind. */
typedef struct object_list {
    const char *object_kind; /* Singular, as in error lines. */
    size_t head;             /* Offset of the table in bbm_config. */
    size_t links;            /* Offset of the UT_hash_handle in an object. */
} object_list;

#define LIST(text, type, table)                                               \
    {                                                                         \
        .object_kind = (text), .head = offsetof(bbm_config, table),           \
        .links = offsetof(type, hh)                                           \
    }

static const object_list object_lists[KIND_COUNT] = {
    [KIND_RATES] = LIST("rate", bbm_rate, rates),
    [KIND_CUSTOMERS] = LIST("customer", bbm_customer, customers),
    [KIND_KEYS] = LIST("key", bbm_key, keys),
    [KIND_WEIGHTS] = LIST("weights", bbm_weights, weights),
    [KIND_MODELS] = LIST("model", bbm_model, models),
    [KIND_ENGINES] = LIST("engine", bbm_engine, engines),
    [KIND_SERVICES] = LIST("service", bbm_service, services),
    [KIND_POOLS] = LIST("pool", bbm_pool, pools),
    [KIND_STORES] = LIST("store", bbm_store_object, stores),
    [KIND_LIMITS] = LIST("limits", bbm_limits, limits),
    [KIND_ROUTES] = LIST("route", bbm_route, routes),
    [KIND_OBJECTIVES] = LIST("objective", bbm_objective, objectives),
};

/* The first object of a kind, or NULL. */
static const char *
first_object(const bbm_config *cfg, const object_list *list)
{
    const char *object;
    memcpy(&object, (const char *)cfg + list->head, sizeof(object));
    return object;
}

static const char *
next_object(const char *object, const object_list *list)
{
    UT_hash_handle links;
    memcpy(&links, object + list->links, sizeof(links));
    return links.next;
}

/* The objects of one kind by name, to find them in constant time. */
typedef struct named_object {
    const char *object; /* Starts with its name. */
    UT_hash_handle hh;
} named_object;

static named_object *
index_objects(const bbm_config *cfg, const object_list *list)
{
    named_object *index = NULL;
    for (const char *o = first_object(cfg, list); o;
         o = next_object(o, list)) {
        named_object *one = bbm_calloc(1, sizeof(*one));
        one->object = o;
        HASH_ADD_KEYPTR(hh, index, o, strlen(o), one);
    }
    return index;
}

static const char *
find_object(const named_object *index, const char *name)
{
    const named_object *found = NULL;
    HASH_FIND(hh, index, name, strlen(name), found);
    return found ? found->object : NULL;
}

/* The value of a field as in the document. */
static json_t *
field_value(const bbm_field *f, const char *object)
{
    const void *at = object + f->offset;
    json_t *list;
    switch (f->kind) {
    case BBM_FIELD_NAME:
        return json_string(at);
    case BBM_FIELD_TEXT:
        return json_string(*(char *const *)at);
    case BBM_FIELD_INT:
        return json_integer(*(const int64_t *)at);
    case BBM_FIELD_REAL:
        return json_real(*(const double *)at);
    case BBM_FIELD_BOOL:
        return json_boolean(*(const bool *)at);
    case BBM_FIELD_NAMES:
        list = json_array();
        for (size_t i = 0; i < ((const bbm_names *)at)->len; i++)
            json_array_append_new(
                list, json_string(((const bbm_names *)at)->items[i]));
        return list;
    case BBM_FIELD_INTS:
        list = json_array();
        for (size_t i = 0; i < ((const bbm_ints *)at)->len; i++)
            json_array_append_new(
                list, json_integer(((const bbm_ints *)at)->items[i]));
        return list;
    case BBM_FIELD_LIST:
        break;
    }
    return json_null();
}

static bool
is_default(const bbm_field *f, const json_t *value)
{
    switch (f->kind) {
    case BBM_FIELD_NAME:
    case BBM_FIELD_TEXT:
        return strcmp(json_string_value(value),
                      f->default_text ? f->default_text : "")
               == 0;
    case BBM_FIELD_INT:
        return json_integer_value(value) == (json_int_t)f->default_number;
    case BBM_FIELD_REAL:
        return json_real_value(value) == f->default_number;
    case BBM_FIELD_BOOL:
        return json_is_true(value) == (f->default_number != 0);
    case BBM_FIELD_NAMES:
    case BBM_FIELD_INTS:
        return json_array_size(value) == 0;
    case BBM_FIELD_LIST:
        break;
    }
    return true;
}

static bbm_difference *
add_difference(bbm_differences *differences, bbm_difference_kind kind,
               const object_list *list, const char *object)
{
    bbm_grow(&differences->items, &differences->cap, differences->len,
             sizeof(*differences->items));
    bbm_difference *d = &differences->items[differences->len++];
    *d = (bbm_difference){
        .kind = kind, .object_kind = list->object_kind, .field = ""};
    bbm_name_set(d->name, object);
    return d;
}

/* The fields of an object, without its name and without defaults. */
static json_t *
object_value(const bbm_config_kind *k, const char *object)
{
    json_t *value = json_object();
    for (size_t i = 0; i < k->count; i++) {
        json_t *field = field_value(&k->fields[i], object);
        if (strcmp(k->fields[i].name, "name") != 0
            && !is_default(&k->fields[i], field))
            json_object_set(value, k->fields[i].name, field);
        json_decref(field);
    }
    return value;
}

static void
compare_object(const bbm_config_kind *k, const object_list *list,
               const char *before, const char *after,
               bbm_differences *differences)
{
    for (size_t i = 0; i < k->count; i++) {
        json_t *from = field_value(&k->fields[i], before);
        json_t *to = field_value(&k->fields[i], after);
        if (json_equal(from, to)) {
            json_decref(from);
            json_decref(to);
            continue;
        }
        bbm_difference *d =
            add_difference(differences, BBM_DIFFERENCE_CHANGED, list, after);
        d->field = k->fields[i].name;
        d->before = from;
        d->after = to;
    }
}

static void
compare_list(const bbm_config_kind *k, const object_list *list,
             const bbm_config *before, const bbm_config *after,
             bbm_differences *differences)
{
    named_object *earlier = index_objects(before, list);
    named_object *later = index_objects(after, list);
    for (const char *o = first_object(before, list); o;
         o = next_object(o, list)) {
        const char *other = find_object(later, o);
        if (other)
            compare_object(k, list, o, other, differences);
        else
            add_difference(differences, BBM_DIFFERENCE_REMOVED, list, o)
                ->before = object_value(k, o);
    }
    for (const char *o = first_object(after, list); o;
         o = next_object(o, list)) {
        if (!find_object(earlier, o))
            add_difference(differences, BBM_DIFFERENCE_ADDED, list, o)->after =
                object_value(k, o);
    }
    BBM_TABLE_FREE(named_object, earlier);
    BBM_TABLE_FREE(named_object, later);
}

void
bbm_config_compare(const bbm_config *before, const bbm_config *after,
                   bbm_differences *differences)
{
    for (size_t i = 0; i < KIND_COUNT; i++)
        compare_list(&config_kinds[i], &object_lists[i], before, after,
                     differences);
}

const char *
bbm_difference_kind_text(bbm_difference_kind kind)
{
    switch (kind) {
    case BBM_DIFFERENCE_ADDED:
        return "added";
    case BBM_DIFFERENCE_REMOVED:
        return "removed";
    case BBM_DIFFERENCE_CHANGED:
        break;
    }
    return "changed";
}

static char *
value_text(const json_t *value)
{
    char *text =
        json_dumps(value, JSON_ENCODE_ANY | JSON_REAL_PRECISION(REAL_DIGITS));
    if (!text)
        abort();
    return text;
}

char *
bbm_difference_text(const bbm_difference *d)
{
    const char *kind = bbm_difference_kind_text(d->kind);
    char *text = NULL;
    int len;
    if (d->kind == BBM_DIFFERENCE_CHANGED) {
        BBM_AUTO_FREE char *before = value_text(d->before);
        BBM_AUTO_FREE char *after = value_text(d->after);
        len = asprintf(&text, "%s: %s \"%s\".%s: from %s to %s", kind,
                       d->object_kind, d->name, d->field, before, after);
    }
    else {
        BBM_AUTO_FREE char *value =
            value_text(d->after ? d->after : d->before);
        len = asprintf(&text, "%s: %s \"%s\": %s", kind, d->object_kind,
                       d->name, value);
    }
    if (len < 0)
        abort();
    return text;
}

void
bbm_differences_free(bbm_differences *differences)
{
    for (size_t i = 0; i < differences->len; i++) {
        json_decref(differences->items[i].before);
        json_decref(differences->items[i].after);
    }
    free(differences->items);
    *differences = (bbm_differences){0};
}
