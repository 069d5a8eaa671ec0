#include "cli.h"

#include "bbm_codes.h"
#include "bbm_config_check.h"
#include "bbm_settings.h"

#include <getopt.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

/* Check of a configuration before it is sent. */

/* Exit statuses; docs/OPERATIONS.md lists them. */
enum {
    CHECK_CLEAN = 0,
    CHECK_WARNINGS = 1,
    CHECK_ERRORS = 2,
    CHECK_NOT_COMPARED = 3, /* The version in force can't be read. */
};

typedef struct check_options {
    const char *file;
    const char *against; /* File or address; NULL: none. */
    bool json;
} check_options;

static bool
parse_options(const cli_profile *p, int argc, char **argv, check_options *o)
{
    static const struct option options[] = {
        {"against", required_argument, NULL, 'a'},
        {"json", no_argument, NULL, 'j'},
        {NULL, 0, NULL, 0},
    };
    *o = (check_options){.json = p->json};
    /* The command's name stands in for that of the program.  0 makes
       getopt_long start again after main(). */
    argc++;
    argv--;
    optind = 0;
    int opt;
    while ((opt = getopt_long(argc, argv, "", options, NULL)) != -1) {
        if (opt == 'a')
            o->against = optarg;
        else if (opt == 'j')
            o->json = true;
        else
            return false;
    }
    if (optind != argc - 1)
        return false;
    o->file = argv[optind];
    return true;
}

/* ---- the version in force ---- */

static bbm_config *
read_text_in_force(const char *source, const char *text, size_t len)
{
    bbm_doc_errors errors = {0};
    bbm_config *cfg = bbm_config_create(text, len, &errors);
    if (!cfg) {
        BBM_AUTO_FREE char *lines = bbm_doc_errors_text(&errors);
        fprintf(stderr, "%s: not a valid configuration:\n%s", source, lines);
    }
    bbm_doc_errors_free(&errors);
    return cfg;
}

static bbm_config *
read_file_in_force(const char *path)
{
    size_t len;
    BBM_AUTO_FREE char *text = bbm_read_file(path, &len);
    if (!text) {
        fprintf(stderr, "%s: cannot be read\n", path);
        return NULL;
    }
    return read_text_in_force(path, text, len);
}

static bbm_config *
fetch_in_force(const cli_profile *p, const char *address)
{
    cli_profile at = *p;
    at.admin = address;
    /* Number 0 requests the revision in force. */
    cli_answer a = cli_call(&at, "show", json_pack("{s:i}", "number", 0));
    const json_t *text = json_object_get(a.doc, "text");
    bbm_config *cfg = NULL;
    if (a.status == 200 && json_is_string(text)) {
        cfg = read_text_in_force(address, json_string_value(text),
                                 json_string_length(text));
    }
    else if (!a.status) {
        fprintf(stderr, "%s: no answer\n", address);
    }
    else {
        int code = cli_answer_code(a.doc);
        fprintf(stderr, "%s: status %ld, %s (%d): %s\n", address, a.status,
                bbm_code_name(code), code, bbm_code_text(code));
    }
    json_decref(a.doc);
    return cfg;
}

/* A name without a file is an address if it has a port. */
static bbm_config *
read_in_force(const cli_profile *p, const char *source)
{
    bool is_address = access(source, F_OK) != 0 && strchr(source, ':')
                      && !strchr(source, '/');
    return is_address ? fetch_in_force(p, source) : read_file_in_force(source);
}

/* ---- output ---- */

static json_t *
findings_json(const bbm_findings *findings)
{
    json_t *list = json_array();
    for (size_t i = 0; i < findings->len; i++) {
        const bbm_finding *f = &findings->items[i];
        json_array_append_new(
            list,
            json_pack("{s:s, s:s, s:s, s:s, s:s, s:s}", "severity",
                      bbm_finding_is_error(f) ? "error" : "warning", "kind",
                      bbm_finding_kind_text(f->kind), "object", f->object_kind,
                      "name", f->name, "field", f->field, "text", f->text));
    }
    return list;
}

static json_t *
differences_json(const bbm_differences *differences)
{
    json_t *list = json_array();
    for (size_t i = 0; i < differences->len; i++) {
        const bbm_difference *d = &differences->items[i];
        json_array_append_new(
            list, json_pack("{s:s, s:s, s:s, s:s, s:O?, s:O?}", "kind",
                            bbm_difference_kind_text(d->kind), "object",
                            d->object_kind, "name", d->name, "field", d->field,
                            "before", d->before, "after", d->after));
    }
    return list;
}

static void
print_as_json(const bbm_findings *findings, const bbm_differences *differences,
              bool compared)
{
    json_t *doc = json_pack(
        "{s:o, s:o}", "findings", findings_json(findings), "differences",
        compared ? differences_json(differences) : json_null());
    cli_print_json(doc);
    json_decref(doc);
}

static void
print_as_text(const bbm_findings *findings, const bbm_differences *differences,
              bool compared)
{
    for (size_t i = 0; i < findings->len; i++) {
        BBM_AUTO_FREE char *line = bbm_finding_text(&findings->items[i]);
        puts(line);
    }
    if (!findings->len)
        puts("no findings");
    for (size_t i = 0; i < differences->len; i++) {
        BBM_AUTO_FREE char *line = bbm_difference_text(&differences->items[i]);
        puts(line);
    }
    if (compared && !differences->len)
        puts("no differences");
}

/* ---- command ---- */

static int
exit_status(const bbm_findings *findings, bool failed_to_compare)
{
    for (size_t i = 0; i < findings->len; i++) {
        if (bbm_finding_is_error(&findings->items[i]))
            return CHECK_ERRORS;
    }
    if (failed_to_compare)
        return CHECK_NOT_COMPARED;
    return findings->len ? CHECK_WARNINGS : CHECK_CLEAN;
}

static int
check_text(const cli_profile *p, const check_options *o, const char *text,
           size_t len)
{
    bbm_findings findings = {0};
    bbm_differences differences = {0};
    bbm_doc_errors errors = {0};
    bbm_config *in_force = NULL;
    bbm_config *cfg = bbm_config_create(text, len, &errors);
    bbm_findings_add_errors(&findings, &errors);
    if (cfg)
        bbm_config_check(cfg, &findings);
    if (cfg && o->against)
        in_force = read_in_force(p, o->against);
    if (in_force)
        bbm_config_compare(in_force, cfg, &differences);
    if (o->json)
        print_as_json(&findings, &differences, in_force);
    else
        print_as_text(&findings, &differences, in_force);
    int rc = exit_status(&findings, o->against && !in_force);
    bbm_config_destroy(in_force);
    bbm_config_destroy(cfg);
    bbm_doc_errors_free(&errors);
    bbm_differences_free(&differences);
    bbm_findings_free(&findings);
    return rc;
}

static int
config_check(const cli_profile *p, int argc, char **argv)
{
    check_options o;
    if (!parse_options(p, argc, argv, &o)) {
        fputs("usage: bluebellmoor config check FILE "
              "[--against ADDRESS|FILE] [--json]\n",
              stderr);
        return CLI_USAGE;
    }
    size_t len;
    BBM_AUTO_FREE char *text = bbm_read_file(o.file, &len);
    if (!text) {
        fprintf(stderr, "%s: cannot be read\n", o.file);
        return CHECK_ERRORS;
    }
    return check_text(p, &o, text, len);
}

const cli_command cli_config_commands[] = {
    {"config check",
     "config check FILE [--against ADDRESS|FILE] [--json]: errors and "
     "warnings about a configuration, and what differs from the one in force",
     config_check},
    {NULL, NULL, NULL},
};
