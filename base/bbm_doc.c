#include "bbm_doc.h"

#include <ctype.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define LABEL_BYTES 256

/* ---- errors ---- */

void
bbm_doc_error_add(bbm_doc_errors *errors, const char *format, ...)
{
    errors->total++;
    if (errors->len == BBM_DOC_ERRORS_MAX)
        return;
    char line[512];
    va_list args;
    va_start(args, format);
    vsnprintf(line, sizeof(line), format, args);
    va_end(args);
    /* Truncation may split a multi-byte UTF-8 character, and the line could
       then not be encoded as JSON. */
    for (char *c = line; *c; c++) {
        if ((unsigned char)*c >= 0x80)
            *c = '?';
    }
    errors->lines[errors->len++] = bbm_strdup(line);
}

void
bbm_doc_errors_free(bbm_doc_errors *errors)
{
    for (size_t i = 0; i < errors->len; i++)
        free(errors->lines[i]);
    *errors = (bbm_doc_errors){0};
}

char *
bbm_doc_errors_text(const bbm_doc_errors *errors)
{
    size_t size = 64;
    for (size_t i = 0; i < errors->len; i++)
        size += strlen(errors->lines[i]) + 1;
    char *text = bbm_calloc(size, 1);
    size_t at = 0;
    for (size_t i = 0; i < errors->len; i++)
        at += (size_t)snprintf(text + at, size - at, "%s\n", errors->lines[i]);
    if (errors->total > errors->len)
        snprintf(text + at, size - at, "and %zu more\n",
                 errors->total - errors->len);
    return text;
}

/* ---- documents ---- */

json_t *
bbm_doc_parse(const char *text, size_t len, bbm_doc_errors *errors)
{
    json_error_t error;
    json_t *doc = json_loadb(text, len, JSON_REJECT_DUPLICATES, &error);
    if (!doc)
        bbm_doc_error_add(errors, "line %d, column %d: %s", error.line,
                          error.column, error.text);
    return doc;
}

/* What jansson and the allocator take, besides the texts: an object or a list
   with its first table, a member of an object with its place in the table, any
   other value. */
#define OBJECT_BYTES ((size_t)256)
#define LIST_BYTES ((size_t)144)
#define MEMBER_BYTES ((size_t)96)
#define VALUE_BYTES ((size_t)72)

size_t
bbm_doc_tree_bytes(const char *text, size_t len)
{
    size_t bytes = VALUE_BYTES + len;
    for (size_t i = 0; i < len; i++) {
        switch (text[i]) {
        case '{':
            bytes += OBJECT_BYTES;
            break;
        case '[':
            bytes += LIST_BYTES;
            break;
        case ':':
            bytes += MEMBER_BYTES;
            break;
        case ',':
            bytes += VALUE_BYTES;
            break;
        default:
            break;
        }
    }
    return bytes;
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
add_type_error(bbm_doc_errors *errors, const char *path, const bbm_field *f,
               const json_t *value, const char *allowed)
{
    bbm_doc_error_add(errors, "%s.%s: found %s; allowed: %s", path, f->name,
                      type_text(value), allowed);
}

static bool
is_name(const char *name)
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
          bbm_doc_errors *errors)
{
    const char *text = json_string_value(value);
    if (!text) {
        add_type_error(errors, path, f, value, "a name");
        return;
    }
    if (!is_name(text)) {
        bbm_doc_error_add(errors,
                          "%s.%s: found \"%.80s\"; allowed: 1 to %d letters, "
                          "digits, dots, dashes, underscores",
                          path, f->name, text, BBM_NAME_SIZE - 1);
        return;
    }
    bbm_name_set(dst, text);
}

static void
read_names(const json_t *value, const char *path, const bbm_field *f,
           bbm_names *dst, bbm_doc_errors *errors)
{
    if (!json_is_array(value)) {
        add_type_error(errors, path, f, value, "a list of names");
        return;
    }
    size_t len = json_array_size(value);
    dst->items = bbm_calloc(len, BBM_NAME_SIZE);
    dst->len = len;
    for (size_t i = 0; i < len; i++) {
        char label[LABEL_BYTES];
        snprintf(label, sizeof(label), "%.180s[%zu]", f->name, i);
        bbm_field item = *f;
        item.name = label;
        read_name(json_array_get(value, i), path, &item, dst->items[i],
                  errors);
    }
}

/* Adds an error and returns false if a number is out of range. */
static bool
check_range(const char *path, const bbm_field *f, double found,
            bbm_doc_errors *errors)
{
    bool too_low = found < f->min;
    bool too_high = f->max > 0 && found > f->max;
    if (!too_low && !too_high)
        return true;
    if (f->max > 0)
        bbm_doc_error_add(errors,
                          "%s.%s: found %.10g; allowed: %.10g to %.10g", path,
                          f->name, found, f->min, f->max);
    else
        bbm_doc_error_add(errors, "%s.%s: found %.10g; allowed: %.10g or more",
                          path, f->name, found, f->min);
    return false;
}

static void
read_ints(const json_t *value, const char *path, const bbm_field *f,
          bbm_ints *dst, bbm_doc_errors *errors)
{
    if (!json_is_array(value)) {
        add_type_error(errors, path, f, value, "a list of whole numbers");
        return;
    }
    size_t len = json_array_size(value);
    dst->items = bbm_calloc(len, sizeof(*dst->items));
    dst->len = len;
    for (size_t i = 0; i < len; i++) {
        char label[LABEL_BYTES];
        snprintf(label, sizeof(label), "%.180s[%zu]", f->name, i);
        bbm_field item = *f;
        item.name = label;
        const json_t *element = json_array_get(value, i);
        if (!json_is_integer(element))
            add_type_error(errors, path, &item, element, "a whole number");
        else if (check_range(path, &item, (double)json_integer_value(element),
                             errors))
            dst->items[i] = json_integer_value(element);
    }
}

static void
read_value(const json_t *value, const char *path, const bbm_field *f,
           char *dst, bbm_doc_errors *errors)
{
    switch (f->kind) {
    case BBM_FIELD_NAME:
        read_name(value, path, f, dst, errors);
        return;
    case BBM_FIELD_TEXT:
        if (json_is_string(value)) {
            free(*(char **)(void *)dst);
            *(char **)(void *)dst = bbm_strdup(json_string_value(value));
        }
        else {
            add_type_error(errors, path, f, value, "a text");
        }
        return;
    case BBM_FIELD_INT:
        if (!json_is_integer(value))
            add_type_error(errors, path, f, value, "a whole number");
        else if (check_range(path, f, (double)json_integer_value(value),
                             errors))
            *(int64_t *)(void *)dst = json_integer_value(value);
        return;
    case BBM_FIELD_REAL:
        if (!json_is_number(value))
            add_type_error(errors, path, f, value, "a number");
        else if (check_range(path, f, json_number_value(value), errors))
            *(double *)(void *)dst = json_number_value(value);
        return;
    case BBM_FIELD_BOOL:
        if (!json_is_boolean(value))
            add_type_error(errors, path, f, value, "true or false");
        else
            *(bool *)dst = json_is_true(value);
        return;
    case BBM_FIELD_NAMES:
        read_names(value, path, f, (bbm_names *)(void *)dst, errors);
        return;
    case BBM_FIELD_INTS:
        read_ints(value, path, f, (bbm_ints *)(void *)dst, errors);
        return;
    case BBM_FIELD_LIST:
        if (!json_is_array(value))
            add_type_error(errors, path, f, value, "a list of objects");
        return;
    }
}

static void
set_default(const bbm_field *f, char *dst)
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
has_field(const char *name, const bbm_field *fields, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        if (strcmp(fields[i].name, name) == 0)
            return true;
    }
    return false;
}

void
bbm_doc_read(const json_t *object, const char *path, const bbm_field *fields,
             size_t count, void *out, bbm_doc_errors *errors)
{
    for (size_t i = 0; i < count; i++)
        set_default(&fields[i], (char *)out + fields[i].offset);
    if (!json_is_object(object)) {
        bbm_doc_error_add(errors, "%s: found %s; allowed: an object", path,
                          type_text(object));
        return;
    }
    for (size_t i = 0; i < count; i++) {
        const bbm_field *f = &fields[i];
        const json_t *value = json_object_get(object, f->name);
        if (value)
            read_value(value, path, f, (char *)out + f->offset, errors);
        else if (f->required)
            bbm_doc_error_add(errors, "%s.%s: missing; needed: %s", path,
                              f->name,
                              f->description ? f->description : "a value");
    }
    const char *key;
    json_t *value;
    json_object_foreach((json_t *)(uintptr_t)object, key, value)
    {
        if (!has_field(key, fields, count))
            bbm_doc_error_add(errors, "%s.%.80s: unknown field", path, key);
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
