#include "cli.h"

#include "bbm_burn.h"
#include "bbm_codes.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Commands that only read. */

/* "" if the field is missing or isn't a string. */
static const char *
text_of(const json_t *doc, const char *name)
{
    const char *text = json_string_value(json_object_get(doc, name));
    return text ? text : "";
}

/* 0 if the field is missing or isn't an integer. */
static long long
number_of(const json_t *doc, const char *name)
{
    return (long long)json_integer_value(json_object_get(doc, name));
}

static const char *
yes_no(const json_t *doc, const char *name)
{
    return json_is_true(json_object_get(doc, name)) ? "yes" : "no";
}

/* Call a path.  Returns the answer to be printed as text, owned by the caller,
   or NULL if the call failed or the answer has been printed as JSON; sets the
   exit status. */
static json_t *
query(const cli_profile *p, const char *path, json_t *body, int *rc)
{
    cli_answer a = cli_call(p, path, body);
    *rc = cli_check_answer(p, &a);
    if (*rc != CLI_OK) {
        json_decref(a.doc);
        return NULL;
    }
    if (p->json) {
        cli_print_json(a.doc);
        json_decref(a.doc);
        return NULL;
    }
    return a.doc;
}

static int
status(const cli_profile *p, int argc, char **argv)
{
    (void)argc;
    (void)argv;
    int rc;
    json_t *doc = query(p, "status", NULL, &rc);
    if (!doc)
        return rc;
    printf("node       %s in %s\nrole       %s\nleader     %s (term %lld)\n"
           "revision   %lld\nready      %s\ndraining   %s\n"
           "keys       %s, %lld ms old\n",
           text_of(doc, "node"), text_of(doc, "zone"), text_of(doc, "role"),
           text_of(doc, "leader"), number_of(doc, "term"),
           number_of(doc, "revision"), yes_no(doc, "ready"),
           yes_no(doc, "draining"),
           json_is_true(json_object_get(doc, "keys_fresh")) ? "fresh"
                                                            : "stale",
           number_of(doc, "keys_age_ms"));
    size_t i;
    json_t *m;
    json_array_foreach(json_object_get(doc, "control"), i, m)
    {
        printf("control    %s %s %s\n", text_of(m, "name"), text_of(m, "disk"),
               json_is_true(json_object_get(m, "voter")) ? "voter"
                                                         : "learner");
    }
    const char *name;
    json_t *value;
    json_object_foreach(json_object_get(doc, "counts"), name, value)
    {
        printf("%-14s %lld\n", name, (long long)json_integer_value(value));
    }
    json_decref(doc);
    return CLI_OK;
}

static int
members(const cli_profile *p, int argc, char **argv)
{
    (void)argc;
    (void)argv;
    int rc;
    json_t *doc = query(p, "members", NULL, &rc);
    if (!doc)
        return rc;
    printf("%-20s %-12s %-8s %-6s %-8s %6s %9s  %s\n", "NAME", "ZONE",
           "STATUS", "READY", "LEAVING", "LOAD", "REVISION", "ENTRY");
    size_t i;
    json_t *m;
    json_array_foreach(json_object_get(doc, "members"), i, m)
    {
        printf("%-20s %-12s %-8s %-6s %-8s %6lld %9lld  %s\n",
               text_of(m, "name"), text_of(m, "zone"), text_of(m, "status"),
               yes_no(m, "ready"), yes_no(m, "leaving"), number_of(m, "load"),
               number_of(m, "revision"), text_of(m, "entry"));
    }
    json_decref(doc);
    return CLI_OK;
}

static int
runners(const cli_profile *p, int argc, char **argv)
{
    (void)argc;
    (void)argv;
    int rc;
    json_t *doc = query(p, "runners", NULL, &rc);
    if (!doc)
        return rc;
    printf("%-20s %-16s %7s %6s %5s %8s %-6s %-8s %s\n", "NAME", "WEIGHTS",
           "RUNNING", "QUEUED", "OWN", "BLOCKS", "HEARD", "EJECTED",
           "LEAVING");
    size_t i;
    json_t *r;
    json_array_foreach(json_object_get(doc, "runners"), i, r)
    {
        printf("%-20s %-16s %7lld %6lld %5lld %8lld %-6s %-8s %s\n",
               text_of(r, "name"), text_of(r, "weights"),
               number_of(r, "running"), number_of(r, "queued"),
               number_of(r, "own"), number_of(r, "blocks"), yes_no(r, "heard"),
               yes_no(r, "ejected"), yes_no(r, "leaving"));
    }
    json_decref(doc);
    return CLI_OK;
}

static int
show(const cli_profile *p, int argc, char **argv)
{
    /* Number 0 requests the revision in force. */
    json_int_t number = argc > 0 ? strtoll(argv[0], NULL, 10) : 0;
    int rc;
    json_t *doc = query(p, "show", json_pack("{s:I}", "number", number), &rc);
    if (!doc)
        return rc;
    fputs(text_of(doc, "text"), stdout);
    fprintf(stderr, "revision %lld by %s\n", number_of(doc, "revision"),
            text_of(doc, "author"));
    json_decref(doc);
    return CLI_OK;
}

static int
history(const cli_profile *p, int argc, char **argv)
{
    (void)argc;
    (void)argv;
    int rc;
    json_t *doc = query(p, "history", NULL, &rc);
    if (!doc)
        return rc;
    printf("%8s %14s %-16s %8s %-5s %s\n", "REVISION", "AT (ms)", "AUTHOR",
           "BYTES", "KEPT", "ID");
    size_t i;
    json_t *r;
    json_array_foreach(json_object_get(doc, "history"), i, r)
    {
        printf("%8lld %14lld %-16s %8lld %-5s %s\n", number_of(r, "revision"),
               number_of(r, "at_ms"), text_of(r, "author"),
               number_of(r, "bytes"), yes_no(r, "kept"), text_of(r, "id"));
    }
    json_decref(doc);
    return CLI_OK;
}

/* Fetch the configuration of a revision; NULL if that fails or, with CLI_OK,
   if its text isn't JSON. */
static json_t *
fetch_document(const cli_profile *p, const char *revision, int *rc)
{
    json_int_t number = strtoll(revision, NULL, 10);
    cli_answer a = cli_call(p, "show", json_pack("{s:I}", "number", number));
    *rc = cli_check_answer(p, &a);
    json_error_t error;
    json_t *doc =
        *rc == CLI_OK ? json_loads(text_of(a.doc, "text"), 0, &error) : NULL;
    json_decref(a.doc);
    return doc;
}

static json_t *
find_named(const json_t *list, const char *name)
{
    size_t i;
    json_t *obj;
    json_array_foreach((json_t *)(uintptr_t)list, i, obj)
    {
        if (strcmp(text_of(obj, "name"), name) == 0)
            return obj;
    }
    return NULL;
}

/* Print the objects of one list that were removed, changed or added; returns
   their number. */
static size_t
diff_list(const char *kind, const json_t *from, const json_t *to)
{
    size_t differing = 0;
    size_t i;
    json_t *obj;
    json_array_foreach((json_t *)(uintptr_t)from, i, obj)
    {
        json_t *other = find_named(to, text_of(obj, "name"));
        if (other && json_equal(obj, other))
            continue;
        differing++;
        BBM_AUTO_FREE char *a = json_dumps(obj, JSON_COMPACT);
        BBM_AUTO_FREE char *b = other ? json_dumps(other, JSON_COMPACT) : NULL;
        printf("- %s %s\n", kind, a);
        if (b)
            printf("+ %s %s\n", kind, b);
    }
    json_array_foreach((json_t *)(uintptr_t)to, i, obj)
    {
        if (find_named(from, text_of(obj, "name")))
            continue;
        differing++;
        BBM_AUTO_FREE char *b = json_dumps(obj, JSON_COMPACT);
        printf("+ %s %s\n", kind, b);
    }
    return differing;
}

static int
diff(const cli_profile *p, int argc, char **argv)
{
    if (argc != 2) {
        fputs("usage: bluebellmoor diff REVISION REVISION\n", stderr);
        return CLI_USAGE;
    }
    int rc;
    json_t *from = fetch_document(p, argv[0], &rc);
    json_t *to = from ? fetch_document(p, argv[1], &rc) : NULL;
    size_t count;
    const bbm_config_kind *kinds = bbm_config_kinds(&count);
    for (size_t i = 0; to && i < count; i++) {
        diff_list(kinds[i].list, json_object_get(from, kinds[i].list),
                  json_object_get(to, kinds[i].list));
    }
    json_decref(from);
    json_decref(to);
    return rc;
}

static int
keys(const cli_profile *p, int argc, char **argv)
{
    (void)argc;
    (void)argv;
    int rc;
    json_t *doc = query(p, "keys", NULL, &rc);
    if (!doc)
        return rc;
    printf("%-24s %-24s %s\n", "NAME", "CUSTOMER", "WITHDRAWN");
    size_t i;
    json_t *k;
    json_array_foreach(json_object_get(doc, "keys"), i, k)
    {
        printf("%-24s %-24s %s\n", text_of(k, "name"), text_of(k, "customer"),
               yes_no(k, "withdrawn"));
    }
    json_decref(doc);
    return CLI_OK;
}

static int
orders(const cli_profile *p, int argc, char **argv)
{
    (void)argc;
    (void)argv;
    int rc;
    json_t *doc = query(p, "orders", NULL, &rc);
    if (!doc)
        return rc;
    if (json_is_true(json_object_get(doc, "paused")))
        puts("sending of orders is paused");
    printf("%-28s %-20s %-16s %8s %-8s %s\n", "ID", "ENGINE", "WEIGHTS",
           "FENCE", "STATE", "CODE");
    size_t i;
    json_t *o;
    json_array_foreach(json_object_get(doc, "orders"), i, o)
    {
        printf("%-28s %-20s %-16s %8lld %-8s %s\n", text_of(o, "id"),
               text_of(o, "engine"), text_of(o, "weights"),
               number_of(o, "fence"), text_of(o, "state"), text_of(o, "code"));
    }
    json_decref(doc);
    return CLI_OK;
}

static int
release_show(const cli_profile *p, int argc, char **argv)
{
    if (argc != 1) {
        fputs("usage: bluebellmoor release show SERVICE\n", stderr);
        return CLI_USAGE;
    }
    int rc;
    json_t *doc =
        query(p, "release/show", json_pack("{s:s}", "name", argv[0]), &rc);
    if (!doc)
        return rc;
    printf("state      %s\nversion    %s\nstage      %s\n"
           "share      %.1f %%\nduration   %.1f s\nage        %.1f s\n",
           text_of(doc, "state"), text_of(doc, "build"), text_of(doc, "stage"),
           (double)number_of(doc, "share") / 10,
           (double)number_of(doc, "duration_ms") / 1000,
           (double)number_of(doc, "age_ms") / 1000);
    json_decref(doc);
    return CLI_OK;
}

/* ---- burn ---- */

static void
add_counts(bbm_burn_row *row, const json_t *objective)
{
    json_t *total = json_object_get(objective, "total");
    json_t *bad = json_object_get(objective, "bad");
    for (size_t w = 0; w < BBM_BURN_WINDOW_COUNT; w++) {
        row->total[w] +=
            (uint64_t)json_integer_value(json_array_get(total, w));
        row->bad[w] += (uint64_t)json_integer_value(json_array_get(bad, w));
    }
    row->target = json_real_value(json_object_get(objective, "target"));
}

/* Sum of all VMs' counts for one objective, with the burn rates of the sum. */
static bbm_burn_row
sum_objective(const json_t *all, const char *name)
{
    bbm_burn_row row = {0};
    bbm_name_set(row.name, name);
    size_t i;
    json_t *doc;
    json_array_foreach((json_t *)(uintptr_t)all, i, doc)
    {
        size_t j;
        json_t *o;
        json_array_foreach(json_object_get(doc, "objectives"), j, o)
        {
            if (strcmp(text_of(o, "objective"), name) == 0)
                add_counts(&row, o);
        }
    }
    bbm_burn_evaluate(&row);
    return row;
}

static json_t *
objective_json(const bbm_burn_row *row)
{
    return json_pack(
        "{s:s, s:f, s:I, s:I, s:f, s:f, s:f, s:f, s:s}", "objective",
        row->name, "target", row->target, "total_6h",
        (json_int_t)row->total[BBM_BURN_6_H], "bad_6h",
        (json_int_t)row->bad[BBM_BURN_6_H], "burn_5m",
        row->rate[BBM_BURN_5_MIN], "burn_30m", row->rate[BBM_BURN_30_MIN],
        "burn_1h", row->rate[BBM_BURN_1_H], "burn_6h", row->rate[BBM_BURN_6_H],
        "level", bbm_burn_level_text(row->level));
}

static void
print_objective(const bbm_burn_row *row)
{
    printf("%-24s %8.5f %10llu %8llu %8.2f %8.2f %8.2f %8.2f  %s\n", row->name,
           row->target, (unsigned long long)row->total[BBM_BURN_6_H],
           (unsigned long long)row->bad[BBM_BURN_6_H],
           row->rate[BBM_BURN_5_MIN], row->rate[BBM_BURN_30_MIN],
           row->rate[BBM_BURN_1_H], row->rate[BBM_BURN_6_H],
           bbm_burn_level_text(row->level));
}

static int
burn(const cli_profile *p, int argc, char **argv)
{
    (void)argc;
    (void)argv;
    json_t *all = cli_call_all(p, "burn");
    if (!json_array_size(all)) {
        json_decref(all);
        fputs("no daemon could be reached\n", stderr);
        return CLI_UNREACHABLE;
    }
    json_t *out = json_array();
    if (!p->json)
        printf("%-24s %8s %10s %8s %8s %8s %8s %8s  %s\n", "OBJECTIVE",
               "TARGET", "TOTAL 6h", "BAD 6h", "5m", "30m", "1h", "6h",
               "LEVEL");
    size_t i;
    json_t *o;
    json_t *first = json_object_get(json_array_get(all, 0), "objectives");
    json_array_foreach(first, i, o)
    {
        bbm_burn_row row = sum_objective(all, text_of(o, "objective"));
        if (p->json)
            json_array_append_new(out, objective_json(&row));
        else
            print_objective(&row);
    }
    if (p->json)
        cli_print_json(out);
    json_decref(out);
    json_decref(all);
    return CLI_OK;
}

const cli_command cli_query_commands[] = {
    {"status", "status: state of the first daemon that answers", status},
    {"members", "members: all VMs of the system", members},
    {"runners",
     "runners: all runners, as the first daemon that answers sees them",
     runners},
    {"show",
     "show [REVISION]: print a configuration, by default the one in force",
     show},
    {"history", "history: all revisions", history},
    {"diff",
     "diff REVISION REVISION: objects that differ between two revisions",
     diff},
    {"keys list", "keys list: names of all keys", keys},
    {"orders list", "orders list: all orders to engines", orders},
    {"release show", "release show SERVICE: state of the latest release",
     release_show},
    {"burn",
     "burn: rates at which objectives consume their error budgets, summed "
     "over all addresses of --admin",
     burn},
    {NULL, NULL, NULL},
};
