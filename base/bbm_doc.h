/** @file
 *  Decoding of JSON documents into structs; reports all errors of a document.
 *
 *  An array of bbm_field describes one kind of object.  bbm_doc_read fills a
 *  struct from a JSON object by that array.  An error is one line with the
 *  path, the value found and the values allowed.  A field that is not in the
 *  array is an error.
 *
 *      static const bbm_field fields[] = {
 *          {.name = "port", .kind = BBM_FIELD_INT,
 *           .offset = offsetof(thing, port), .min = 1, .max = 65535,
 *           .required = true, .description = "TCP port"},
 *      };
 *      bbm_doc_errors errors = {0};
 *      json_t *doc = bbm_doc_parse(text, len, &errors);
 *      bbm_doc_read(doc, "$", fields, BBM_COUNT(fields), &out, &errors);
 */
#ifndef BBM_DOC_H
#define BBM_DOC_H

#include "bbm_mem.h"

#include <jansson.h>

/** Maximum number of error lines; further errors are only counted. */
#define BBM_DOC_ERRORS_MAX 200

/** A list of names. */
typedef struct bbm_names {
    char (*items)[BBM_NAME_SIZE]; /**< Owned. */
    size_t len;                   /**< Number of names. */
} bbm_names;

/** A list of integers. */
typedef struct bbm_ints {
    int64_t *items; /**< Owned. */
    size_t len;     /**< Number of items. */
} bbm_ints;

/** JSON type of a field, and the C type that it is stored in. */
typedef enum bbm_field_kind {
    BBM_FIELD_NAME,  /**< char[BBM_NAME_SIZE]; letters, digits, "._-". */
    BBM_FIELD_TEXT,  /**< char *, owned. */
    BBM_FIELD_INT,   /**< int64_t. */
    BBM_FIELD_REAL,  /**< double. */
    BBM_FIELD_BOOL,  /**< bool. */
    BBM_FIELD_NAMES, /**< bbm_names, from an array of strings. */
    BBM_FIELD_INTS,  /**< bbm_ints, from an array of integers. */
    BBM_FIELD_LIST,  /**< An array that the caller decodes; not stored. */
} bbm_field_kind;

/** One field of an object. */
typedef struct bbm_field {
    const char *name;           /**< Key in the JSON object. */
    bbm_field_kind kind;        /**< Type. */
    size_t offset;              /**< Offset in the struct. */
    bool required;              /**< An error if missing. */
    double min;                 /**< Minimum of a number, or of each item of
                                     BBM_FIELD_INTS; else ignored. */
    double max;                 /**< Maximum of the same; 0: no limit. */
    double default_number;      /**< Default of a number or bool. */
    const char *default_text;   /**< Default of a name or text; NULL: "". */
    const char *reference_kind; /**< Name of the list whose items the name
                                     refers to; NULL: none. */
    const char *description;    /**< One line of documentation, with the unit;
                                     NULL: none. */
} bbm_field;

/** Errors found in a document; all zero is none. */
typedef struct bbm_doc_errors {
    char *lines[BBM_DOC_ERRORS_MAX]; /**< Owned. */
    size_t len;                      /**< Number of lines. */
    size_t total; /**< Errors found, those without a line included. */
} bbm_doc_errors;

/** Add an error, printf style.  The line is truncated to 511 bytes; bytes
 *  above ASCII are written as "?". */
void bbm_doc_error_add(bbm_doc_errors *errors, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

/** Release the lines. */
void bbm_doc_errors_free(bbm_doc_errors *errors);

/** All errors as one string, a line each; the caller frees it. */
char *bbm_doc_errors_text(const bbm_doc_errors *errors);

/** Parse a JSON document; NULL and an error with its line and column if it is
 *  not valid.  The caller calls json_decref on the result. */
json_t *bbm_doc_parse(const char *text, size_t len, bbm_doc_errors *errors);

/** Estimate of the memory that the tree of a JSON document takes, bytes; not
 *  below it but for texts of a few bytes each.  The document isn't checked. */
size_t bbm_doc_tree_bytes(const char *text, size_t len);

/** Decode @p object into the struct @p out by @p fields; @p path is the path
 *  of the object in error lines.  Missing fields, and numbers, names and texts
 *  that are invalid, get their defaults.  The caller calls bbm_doc_release on
 *  @p out, after errors too. */
void bbm_doc_read(const json_t *object, const char *path,
                  const bbm_field *fields, size_t count, void *out,
                  bbm_doc_errors *errors);

/** Free the texts and lists that bbm_doc_read stored in @p out. */
void bbm_doc_release(const bbm_field *fields, size_t count, void *out);

/** Free a list of names. */
void bbm_names_free(bbm_names *names);

/** True if the list contains @p name. */
bool bbm_names_has(const bbm_names *names, const char *name);

#endif
