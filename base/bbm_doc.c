#include "bbm_doc.h"

#include <ctype.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define PATH_SIZE 256

/* ---- mistakes ---- */

void
bbm_doc_error_add(bbm_doc_errors *m, const char *format, ...)
{
    m->total++;
    if (m->len == BBM_DOC_ERRORS_MAX)
        return;
    char line[512];
    va_list args;
    va_start(args, format);
    vsnprintf(line, sizeof(line), format, args);
    va_end(args);
    /* What was found may be cut within a letter: such a text could not be
       passed on as JSON. */
    for (char *c = line; *c; c++) {
        if ((unsigned char)*c >= 0x80)
            *c = '?';
    }
    m->lines[m->len++] = bbm_strdup(line);
}

void
bbm_doc_errors_free(bbm_doc_errors *m)
{
    for (size_t i = 0; i < m->len; i++)
        free(m->lines[i]);
    *m = (bbm_doc_errors){0};
}

char *
bbm_doc_errors_text(const bbm_doc_errors *m)
{
    size_t size = 64;
    for (size_t i = 0; i < m->len; i++)
        size += strlen(m->lines[i]) + 1;
    char *text = bbm_calloc(size, 1);
    size_t at = 0;
    for (size_t i = 0; i < m->len; i++)
        at += (size_t)snprintf(text + at, size - at, "%s\n", m->lines[i]);
    if (m->total > m->len)
        snprintf(text + at, size - at, "and %zu more\n", m->total - m->len);
    return text;
}

/* ---- documents ---- */

json_t *
bbm_doc_parse(const char *text, size_t len, bbm_doc_errors *m)
{
    json_error_t error;
    json_t *doc = json_loadb(text, len, JSON_REJECT_DUPLICATES, &error);
    if (!doc)
        bbm_doc_error_add(m, "line %d, column %d: %s", error.line,
                          error.column, error.text);
    return doc;
}

static const char *
type_text(const json_t *value)
{
    switch (json_typeof(value)) {
    case JSON_OBJECT:
        return "an object";
    case JSON_ARRAY:
        return "a list";
    case JSON_STRING:
        return "a text";
    case JSON_INTEGER:
        return "a whole number";
    case JSON_REAL:
        return "a number";
    case JSON_TRUE:
    case JSON_FALSE:
        return "true or false";
    case JSON_NULL:
        break;
    }
    return "null";
}

static void
wrong_type(bbm_doc_errors *m, const char *path, const bbm_field *f,
           const json_t *value, const char *allowed)
{
    bbm_doc_error_add(m, "%s.%s: found %s; allowed: %s", path, f->name,
                      type_text(value), allowed);
}

static bool
name_valid(const char *name)
{
    size_t len = strlen(name);
    if (len == 0 || len >= BBM_NAME_SIZE)
        return false;
    for (size_t i = 0; i < len; i++) {
        unsigned char c = (unsigned char)name[i];
        if (!isalnum(c) && !strchr("._-", c))
            return false;
    }
    return true;
}

static void
read_name(const json_t *value, const char *path, const bbm_field *f, char *dst,
          bbm_doc_errors *m)
{
    const char *text = json_string_value(value);
    if (!text) {
        wrong_type(m, path, f, value, "a name");
        return;
    }
    if (!name_valid(text)) {
        bbm_doc_error_add(m,
                          "%s.%s: found \"%.80s\"; allowed: 1 to %d letters, "
                          "digits, dots, dashes, underscores",
                          path, f->name, text, BBM_NAME_SIZE - 1);
        return;
    }
    bbm_name_set(dst, text);
}

static void
read_names(const json_t *value, const char *path, const bbm_field *f,
           bbm_names *dst, bbm_doc_errors *m)
{
    if (!json_is_array(value)) {
        wrong_type(m, path, f, value, "a list of names");
        return;
    }
    size_t len = json_array_size(value);
    dst->items = bbm_calloc(len, BBM_NAME_SIZE);
    dst->len = len;
    for (size_t i = 0; i < len; i++) {
        char label[PATH_SIZE];
        snprintf(label, sizeof(label), "%.180s[%zu]", f->name, i);
        bbm_field item = *f;
        item.name = label;
        read_name(json_array_get(value, i), path, &item, dst->items[i], m);
    }
}

static bool
number_allowed(const char *path, const bbm_field *f, double found,
               bbm_doc_errors *m)
{
    bool low = found < f->min;
    bool high = f->max > 0 && found > f->max;
    if (!low && !high)
        return true;
    if (f->max > 0)
        bbm_doc_error_add(m, "%s.%s: found %.10g; allowed: %.10g to %.10g",
                          path, f->name, found, f->min, f->max);
    else
        bbm_doc_error_add(m, "%s.%s: found %.10g; allowed: %.10g or more",
                          path, f->name, found, f->min);
    return false;
}

static void
read_ints(const json_t *value, const char *path, const bbm_field *f,
          bbm_ints *dst, bbm_doc_errors *m)
{
    if (!json_is_array(value)) {
        wrong_type(m, path, f, value, "a list of whole numbers");
        return;
    }
    size_t len = json_array_size(value);
    dst->items = bbm_calloc(len, sizeof(*dst->items));
    dst->len = len;
    for (size_t i = 0; i < len; i++) {
        char label[PATH_SIZE];
        snprintf(label, sizeof(label), "%.180s[%zu]", f->name, i);
        bbm_field item = *f;
        item.name = label;
        const json_t *one = json_array_get(value, i);
        if (!json_is_integer(one))
            wrong_type(m, path, &item, one, "a whole number");
        else if (number_allowed(path, &item, (double)json_integer_value(one),
                                m))
            dst->items[i] = json_integer_value(one);
    }
}

static void
read_value(const json_t *value, const char *path, const bbm_field *f,
           char *dst, bbm_doc_errors *m)
{
    switch (f->kind) {
    case BBM_FIELD_NAME:
        read_name(value, path, f, dst, m);
        return;
    case BBM_FIELD_TEXT:
        if (json_is_string(value)) {
            free(*(char **)(void *)dst);
            *(char **)(void *)dst = bbm_strdup(json_string_value(value));
        }
        else {
            wrong_type(m, path, f, value, "a text");
        }
        return;
    case BBM_FIELD_INT:
        if (!json_is_integer(value))
            wrong_type(m, path, f, value, "a whole number");
        else if (number_allowed(path, f, (double)json_integer_value(value), m))
            *(int64_t *)(void *)dst = json_integer_value(value);
        return;
    case BBM_FIELD_REAL:
        if (!json_is_number(value))
            wrong_type(m, path, f, value, "a number");
        else if (number_allowed(path, f, json_number_value(value), m))
            *(double *)(void *)dst = json_number_value(value);
        return;
    case BBM_FIELD_BOOL:
        if (!json_is_boolean(value))
            wrong_type(m, path, f, value, "true or false");
        else
            *(bool *)dst = json_is_true(value);
        return;
    case BBM_FIELD_NAMES:
        read_names(value, path, f, (bbm_names *)(void *)dst, m);
        return;
    case BBM_FIELD_INTS:
        read_ints(value, path, f, (bbm_ints *)(void *)dst, m);
        return;
    case BBM_FIELD_LIST:
        if (!json_is_array(value))
            wrong_type(m, path, f, value, "a list of objects");
        return;
    }
}

static void
set_fallback(const bbm_field *f, char *dst)
{
    switch (f->kind) {
    case BBM_FIELD_NAME:
        bbm_name_set(dst, f->default_text);
        return;
    case BBM_FIELD_TEXT:
        *(char **)(void *)dst =
            bbm_strdup(f->default_text ? f->default_text : "");
        return;
    case BBM_FIELD_INT:
        *(int64_t *)(void *)dst = (int64_t)f->default_number;
        return;
    case BBM_FIELD_REAL:
        *(double *)(void *)dst = f->default_number;
        return;
    case BBM_FIELD_BOOL:
        *(bool *)dst = f->default_number != 0;
        return;
    case BBM_FIELD_NAMES:
        *(bbm_names *)(void *)dst = (bbm_names){0};
        return;
    case BBM_FIELD_INTS:
        *(bbm_ints *)(void *)dst = (bbm_ints){0};
        return;
    case BBM_FIELD_LIST:
        return;
    }
}

static bool
is_known(const char *name, const bbm_field *fields, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        if (strcmp(fields[i].name, name) == 0)
            return true;
    }
    return false;
}

void
bbm_doc_read(const json_t *object, const char *path, const bbm_field *fields,
             size_t count, void *out, bbm_doc_errors *m)
{
    for (size_t i = 0; i < count; i++)
        set_fallback(&fields[i], (char *)out + fields[i].offset);
    if (!json_is_object(object)) {
        bbm_doc_error_add(m, "%s: found %s; allowed: an object", path,
                          type_text(object));
        return;
    }
    for (size_t i = 0; i < count; i++) {
        const bbm_field *f = &fields[i];
        const json_t *value = json_object_get(object, f->name);
        if (value)
            read_value(value, path, f, (char *)out + f->offset, m);
        else if (f->required)
            bbm_doc_error_add(m, "%s.%s: missing; needed: %s", path, f->name,
                              f->description ? f->description : "a value");
    }
    const char *key;
    json_t *value;
    json_object_foreach((json_t *)(uintptr_t)object, key, value)
    {
        if (!is_known(key, fields, count))
            bbm_doc_error_add(m, "%s.%.80s: unknown field", path, key);
    }
}

void
bbm_doc_release(const bbm_field *fields, size_t count, void *out)
{
    for (size_t i = 0; i < count; i++) {
        char *dst = (char *)out + fields[i].offset;
        if (fields[i].kind == BBM_FIELD_TEXT) {
            free(*(char **)(void *)dst);
            *(char **)(void *)dst = NULL;
        }
        else if (fields[i].kind == BBM_FIELD_NAMES) {
            bbm_names_free((bbm_names *)(void *)dst);
        }
        else if (fields[i].kind == BBM_FIELD_INTS) {
            bbm_ints *ints = (bbm_ints *)(void *)dst;
            free(ints->items);
            *ints = (bbm_ints){0};
        }
    }
}

void
bbm_names_free(bbm_names *names)
{
    free(names->items);
    *names = (bbm_names){0};
}

bool
bbm_names_has(const bbm_names *names, const char *name)
{
    for (size_t i = 0; i < names->len; i++) {
        if (strcmp(names->items[i], name) == 0)
            return true;
    }
    return false;
}
