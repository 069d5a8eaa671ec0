/* Checks that the tables in docs match the code: result codes, log events,
   settings, fields of the configuration, counters.  `test_docs --write`
   updates the tables. */
#include "bbm_codes.h"
#include "bbm_config.h"
#include "bbm_log.h"
#include "bbm_settings.h"
#include "metrics.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

typedef void print_fn(FILE *out);

typedef struct doc_table {
    const char *file;
    const char *name;
    print_fn *print;
} doc_table;

static void
print_codes(FILE *out)
{
    fputs("| number | name | HTTP | ran | text |\n"
          "| --- | --- | --- | --- | --- |\n",
          out);
#define X(name, number, status, ran, text)                                    \
    fprintf(out, "| %d | `%s` | %d | %s | %s |\n", (number), #name, (status), \
            bbm_ran_text(BBM_RAN_##ran), (text));
    BBM_CODE_TABLE(X)
#undef X
}

static void
print_events(FILE *out)
{
    static const char *const levels[] = {"debug", "info", "warn", "error"};
    fputs("| number | level | text |\n| --- | --- | --- |\n", out);
#define X(name, number, level, text)                                          \
    fprintf(out, "| %d | %s | %s |\n", (number), levels[BBM_##level], (text));
    BBM_EVENT_TABLE(X)
#undef X
}

static void
print_default(const bbm_field *f, FILE *out)
{
    if (f->required)
        fputs("required", out);
    else if (f->kind == BBM_FIELD_INT || f->kind == BBM_FIELD_REAL)
        fprintf(out, "%.10g", f->default_number);
    else if (f->kind == BBM_FIELD_BOOL)
        fputs(f->default_number != 0 ? "true" : "false", out);
    else
        fputs(f->default_text ? f->default_text : "none", out);
}

static void
print_allowed(const bbm_field *f, FILE *out)
{
    switch (f->kind) {
    case BBM_FIELD_NAME:
        fputs(f->reference_kind ? "name in " : "name", out);
        fputs(f->reference_kind ? f->reference_kind : "", out);
        return;
    case BBM_FIELD_TEXT:
        fputs("text", out);
        return;
    case BBM_FIELD_INT:
    case BBM_FIELD_REAL:
        fprintf(out, "%.10g to %.10g", f->min, f->max);
        return;
    case BBM_FIELD_BOOL:
        fputs("true, false", out);
        return;
    case BBM_FIELD_NAMES:
        fputs("list of names", out);
        return;
    case BBM_FIELD_INTS:
        fprintf(out, "list of numbers, %.10g to %.10g", f->min, f->max);
        return;
    case BBM_FIELD_LIST:
        fputs("list of objects", out);
        return;
    }
}

static void
print_fields(const char *prefix, const bbm_field *fields, size_t count,
             FILE *out)
{
    for (size_t i = 0; i < count; i++) {
        fprintf(out, "| `%s%s` | ", prefix, fields[i].name);
        print_allowed(&fields[i], out);
        fputs(" | ", out);
        print_default(&fields[i], out);
        fprintf(out, " | %s |\n",
                fields[i].description ? fields[i].description : "");
    }
}

static const char field_table_head[] =
    "| field | allowed | default | meaning |\n"
    "| --- | --- | --- | --- |\n";

static void
print_settings(FILE *out)
{
    static const char *const prefixes[] = {"", "peers[].", "operators[]."};
    fputs(field_table_head, out);
    for (int i = 0; i < 3; i++) {
        size_t count;
        const bbm_field *fields = bbm_settings_fields(i, &count);
        print_fields(prefixes[i], fields, count, out);
    }
}

static void
print_config(FILE *out)
{
    size_t count;
    const bbm_config_kind *kinds = bbm_config_kinds(&count);
    fputs(field_table_head, out);
    for (size_t i = 0; i < count; i++) {
        char prefix[BBM_NAME_SIZE];
        snprintf(prefix, sizeof(prefix), "%s[].", kinds[i].list);
        print_fields(prefix, kinds[i].fields, kinds[i].count, out);
    }
}

static void
print_metrics(FILE *out)
{
    bbm_node_counts counts = {0};
    transport_counts links = {0};
    bbm_buf text = {0};
    metrics_write(&counts, &links, NULL, &text);
    bbm_buf_add(&text, "", 1);
    fputs("| counter | meaning |\n| --- | --- |\n", out);
    char *rest = NULL;
    for (char *line = strtok_r((char *)text.data, "\n", &rest); line;
         line = strtok_r(NULL, "\n", &rest)) {
        char name[BBM_NAME_SIZE];
        int at = 0;
        if (sscanf(line, "# HELP %63s %n", name, &at) == 1 && at)
            fprintf(out, "| `%s` | %s |\n", name, line + at);
    }
    bbm_buf_free(&text);
}

static const doc_table tables[] = {
    {"docs/ERRORS.md", "codes", print_codes},
    {"docs/EVENTS.md", "events", print_events},
    {"docs/OPERATIONS.md", "settings", print_settings},
    {"docs/CONFIGURATION.md", "fields", print_config},
    {"docs/OPERATIONS.md", "counters", print_metrics},
};

/* The table as text; the caller frees it. */
static char *
render(const doc_table *t)
{
    char *text = NULL;
    size_t size = 0;
    FILE *out = open_memstream(&text, &size);
    t->print(out);
    fclose(out);
    return text;
}

/* Finds a table in a page: the byte offsets of its start, behind its marker,
   and of the end marker. */
static bool
find_table(const char *page, const char *name, size_t *table_begin,
           size_t *table_end)
{
    char marker[BBM_NAME_SIZE];
    snprintf(marker, sizeof(marker), "<!-- table %s -->\n", name);
    const char *start = strstr(page, marker);
    const char *end = start ? strstr(start, "<!-- end -->") : NULL;
    if (!end)
        return false;
    *table_begin = (size_t)(start - page) + strlen(marker);
    *table_end = (size_t)(end - page);
    return true;
}

static bool
check_table(const doc_table *t, bool write)
{
    size_t len;
    size_t table_begin;
    size_t table_end;
    BBM_AUTO_FREE char *page = bbm_read_file(t->file, &len);
    if (!page || !find_table(page, t->name, &table_begin, &table_end)) {
        printf("%s: no table %s\n", t->file, t->name);
        return false;
    }
    BBM_AUTO_FREE char *text = render(t);
    bool up_to_date =
        strlen(text) == table_end - table_begin
        && strncmp(text, page + table_begin, table_end - table_begin) == 0;
    if (up_to_date || !write) {
        printf("%s: table %s %s\n", t->file, t->name,
               up_to_date ? "is up to date"
                          : "is out of date: run test_docs --write");
        return up_to_date;
    }
    FILE *out = fopen(t->file, "w");
    fprintf(out, "%.*s%s%s", (int)table_begin, page, text, page + table_end);
    fclose(out);
    return true;
}

int
main(int argc, char **argv)
{
    bool write = argc > 1 && strcmp(argv[1], "--write") == 0;
    int failed = 0;
    for (size_t i = 0; i < BBM_COUNT(tables); i++)
        failed += !check_table(&tables[i], write);
    printf("%zu passed, %d failed\n", BBM_COUNT(tables) - (size_t)failed,
           failed);
    return failed ? 1 : 0;
}
