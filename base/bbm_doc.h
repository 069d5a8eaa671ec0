/** @file
 *  Reading a JSON document into structs, with every mistake reported at once.
 *
 *  A table of bbm_field rows describes one kind of object.  bbm_doc_read
 *  fills a struct from a JSON object by that table.  A mistake is a line that
 *  names the path, what was found and what is allowed; fields that the table
 *  doesn't know are mistakes.
 *
 *      static const bbm_field fields[] = {
 *          {.name = "port", .kind = BBM_FIELD_INT,
 *           .offset = offsetof(thing, port), .least = 1, .most = 65535,
 *           .required = true, .about = "TCP port"},
 *      };
 *      bbm_doc_errors wrong = {0};
 *      json_t *doc = bbm_doc_parse(text, len, &wrong);
 *      bbm_doc_read(doc, "$", fields, BBM_COUNT(fields), &out, &wrong);
 */
#ifndef BBM_DOC_H
#define BBM_DOC_H

#include "bbm_mem.h"

#include <jansson.h>

/** Mistakes that are kept; further ones are only counted. */
#define BBM_DOC_ERRORS_MAX 200

/** A list of names. */
typedef struct bbm_names {
    char (*items)[BBM_NAME_SIZE]; /**< Owned. */
    size_t len;                   /**< Names. */
} bbm_names;

/** A list of whole numbers. */
typedef struct bbm_ints {
    int64_t *items; /**< Owned. */
    size_t len;     /**< Numbers. */
} bbm_ints;

/** What a field holds, and the C type that receives it. */
typedef enum bbm_field_kind {
    BBM_FIELD_NAME,  /**< char[BBM_NAME_SIZE]; letters, digits, "._-". */
    BBM_FIELD_TEXT,  /**< char *, owned. */
    BBM_FIELD_INT,   /**< int64_t. */
    BBM_FIELD_REAL,  /**< double. */
    BBM_FIELD_BOOL,  /**< bool. */
    BBM_FIELD_NAMES, /**< bbm_names, from an array of texts. */
    BBM_FIELD_INTS,  /**< bbm_ints, from an array of whole numbers. */
    BBM_FIELD_LIST,  /**< Skipped: an array that the caller reads. */
} bbm_field_kind;

/** One field of an object. */
typedef struct bbm_field {
    const char *name;           /**< In the document. */
    bbm_field_kind kind;        /**< Its type. */
    size_t offset;              /**< Where in the struct. */
    bool required;              /**< Missing is a mistake. */
    double min;                 /**< Smallest number; for texts ignored. */
    double max;                 /**< Largest number; 0 means no limit. */
    double default_number;      /**< Number or bool if missing. */
    const char *default_text;   /**< Name or text if missing; NULL means "". */
    const char *reference_kind; /**< Kind of object that a name refers to. */
    const char *description;    /**< One line for operators, with the unit. */
} bbm_field;

/** Mistakes found in a document. */
typedef struct bbm_doc_errors {
    char *lines[BBM_DOC_ERRORS_MAX]; /**< Owned. */
    size_t len;                      /**< Lines kept. */
    size_t total;                    /**< Mistakes seen. */
} bbm_doc_errors;

/** Add a mistake, printf style. */
void bbm_doc_error_add(bbm_doc_errors *m, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

/** Release the lines. */
void bbm_doc_errors_free(bbm_doc_errors *m);

/** The mistakes as one text, a line each; the caller frees it. */
char *bbm_doc_errors_text(const bbm_doc_errors *m);

/** Parse a text; NULL and a mistake with its line if it isn't JSON. */
json_t *bbm_doc_parse(const char *text, size_t len, bbm_doc_errors *m);

/** Fill @p out from @p object by @p fields. */
void bbm_doc_read(const json_t *object, const char *path,
                  const bbm_field *fields, size_t count, void *out,
                  bbm_doc_errors *m);

/** Free the texts and lists that bbm_doc_read put into @p out. */
void bbm_doc_release(const bbm_field *fields, size_t count, void *out);

/** Free a list of names. */
void bbm_names_free(bbm_names *names);

/** True if @p name is in the list. */
bool bbm_names_has(const bbm_names *names, const char *name);

#endif
