/** @file
 *  Check of a configuration before it is sent: what is suspicious in it, and
 *  what differs from another one.
 *
 *  The errors of a document are those of bbm_config_create().  A configuration
 *  without errors can still contain entries that no request reaches and limits
 *  that contradict each other; these are findings of severity "warning".
 *  The load that this handles is a configuration of thousands of routes,
 * edited by a person.  Pure: no I/O, no clock.
 *
 *      bbm_findings findings = {0};
 *      bbm_doc_errors errors = {0};
 *      bbm_config *cfg = bbm_config_create(text, len, &errors);
 *      bbm_findings_add_errors(&findings, &errors);
 *      if (cfg)
 *          bbm_config_check(cfg, &findings);
 *      bbm_differences differences = {0};
 *      if (cfg && in_force)
 *          bbm_config_compare(in_force, cfg, &differences);
 *      ... bbm_finding_text(), bbm_difference_text() ...
 *      bbm_differences_free(&differences);
 *      bbm_findings_free(&findings);
 */
#ifndef BBM_CONFIG_CHECK_H
#define BBM_CONFIG_CHECK_H

#include "bbm_config.h"

/** Kinds of finding, with their names in JSON.  Only BBM_FINDING_INVALID is an
 *  error, the others are warnings. */
#define BBM_FINDING_TABLE(X)                                                  \
    X(INVALID, "invalid")                                                     \
    X(ROUTE_COVERED, "route-covered")                                         \
    X(ROUTE_UNREACHABLE, "route-unreachable")                                 \
    X(UNUSED, "unused")                                                       \
    X(SHARE_ZERO, "share-zero")                                               \
    X(TIMEOUT_BELOW_TARGET, "timeout-below-target")                           \
    X(GAP_ABOVE_TIMEOUT, "gap-above-timeout")                                 \
    X(BURST_BELOW_RATE, "burst-below-rate")                                   \
    X(HEADER_ABOVE_BODY, "header-above-body")                                 \
    X(CONNECTIONS_BELOW_SLOTS, "connections-below-slots")

/** Kind of a finding. */
typedef enum bbm_finding_kind {
#define X(name, text) BBM_FINDING_##name,
    BBM_FINDING_TABLE(X)
#undef X
        BBM_FINDING_KIND_COUNT,
} bbm_finding_kind;

/** One finding. */
typedef struct bbm_finding {
    bbm_finding_kind kind;    /**< Kind. */
    const char *object_kind;  /**< For instance "route"; "": the document. */
    char name[BBM_NAME_SIZE]; /**< Name of the object; "": the document. */
    const char *field;        /**< Its field in the document; "": none. */
    char *text;               /**< What is wrong; owned.  For
                                   BBM_FINDING_INVALID with the place in the
                                   document. */
} bbm_finding;

/** A list of findings; all zero is empty. */
typedef struct bbm_findings {
    bbm_finding *items; /**< Owned. */
    size_t len;         /**< Number of findings. */
    size_t cap;         /**< Capacity of items. */
} bbm_findings;

/** Name of a kind in JSON. */
const char *bbm_finding_kind_text(bbm_finding_kind kind);

/** True for errors, false for warnings. */
bool bbm_finding_is_error(const bbm_finding *finding);

/** Add the errors of a document that bbm_config_create() rejected. */
void bbm_findings_add_errors(bbm_findings *findings,
                             const bbm_doc_errors *errors);

/** Add the warnings about a configuration, by object in document order. */
void bbm_config_check(const bbm_config *cfg, bbm_findings *findings);

/** One line for a person, without a line end; the caller frees it. */
char *bbm_finding_text(const bbm_finding *finding);

/** Free the items. */
void bbm_findings_free(bbm_findings *findings);

/** Kind of a difference. */
typedef enum bbm_difference_kind {
    BBM_DIFFERENCE_ADDED,   /**< An object exists only in the later one. */
    BBM_DIFFERENCE_REMOVED, /**< An object exists only in the earlier one. */
    BBM_DIFFERENCE_CHANGED, /**< A field has another value. */
} bbm_difference_kind;

/** One difference between two configurations. */
typedef struct bbm_difference {
    bbm_difference_kind kind; /**< Kind. */
    const char *object_kind;  /**< For instance "route". */
    char name[BBM_NAME_SIZE]; /**< Name of the object. */
    const char *field;        /**< Field that changed; "": whole object. */
    json_t *before;           /**< Earlier value of the field or, if removed,
                                   the fields that aren't defaults; else
                                   NULL.  Owned. */
    json_t *after;            /**< Later value of the field or, if added, the
                                   fields that aren't defaults; else NULL.
                                   Owned. */
} bbm_difference;

/** A list of differences; all zero is empty. */
typedef struct bbm_differences {
    bbm_difference *items; /**< Owned. */
    size_t len;            /**< Number of differences. */
    size_t cap;            /**< Capacity of items. */
} bbm_differences;

/** Name of a kind in JSON. */
const char *bbm_difference_kind_text(bbm_difference_kind kind);

/** Add the differences of @p after from @p before: by kind of object, the
 *  removed and changed objects in the order of @p before, then the added ones
 *  in the order of @p after.  A field that is left out is equal to one that
 *  has the default value.  The order of objects is not compared. */
void bbm_config_compare(const bbm_config *before, const bbm_config *after,
                        bbm_differences *differences);

/** One line for a person, without a line end; the caller frees it. */
char *bbm_difference_text(const bbm_difference *difference);

/** Free the items. */
void bbm_differences_free(bbm_differences *differences);

#endif
