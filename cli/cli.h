/** @file
 *  The operator's command: what its sources share.
 *
 *  A profile names the daemons' admin addresses and the operator's key.  A
 *  call goes to one address after another until one can answer it.
 */
#ifndef CLI_H
#define CLI_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>

/** Exit statuses; docs/OPERATIONS.md lists them. */
typedef enum cli_exit {
    CLI_OK = 0,          /**< Done. */
    CLI_REFUSED = 1,     /**< The system refused it. */
    CLI_USAGE = 2,       /**< Mistakes in arguments or in a document. */
    CLI_UNREACHABLE = 3, /**< No daemon could be asked: nothing changed. */
    CLI_OUTCOME_UNKNOWN = 4,     /**< No answer came: it may have been accepted. */
    CLI_CONFLICT = 5,    /**< Another revision was published first. */
} cli_exit;

/** Whom to ask, and how to print. */
typedef struct cli_profile {
    const char *admin; /**< host:port, several split by commas. */
    const char *key;   /**< Operator's key. */
    bool json;         /**< Print the daemon's JSON. */
} cli_profile;

/** An answer. */
typedef struct cli_answer {
    long status; /**< HTTP status; 0: none came. */
    bool sent;   /**< A request may have reached a daemon. */
    json_t *doc; /**< NULL if none. */
} cli_answer;

/** Call a path with a body, which is released.  Goes on to the next address
 *  where one can't be reached or isn't the one to ask. */
cli_answer cli_call(const cli_profile *p, const char *path, json_t *body);
/** Call every address and give the answers in a list. */
json_t *cli_call_all(const cli_profile *p, const char *path);
/** Exit status for an answer; prints what went wrong. */
int cli_check_answer(const cli_profile *p, const cli_answer *a);
/** Print a document as JSON. */
void cli_print_json(const json_t *doc);
/** A new identifier for a change, or the given one. */
void cli_make_id(const char *given, char id[64]);

/** A subcommand. */
typedef struct cli_command {
    const char *name;  /**< First words on the command line. */
    const char *help; /**< Arguments and purpose, for --help. */
    int (*run)(const cli_profile *p, int argc, char **argv); /**< Does it. */
} cli_command;

/** Commands that look; closed by an empty row. */
extern const cli_command cli_query_commands[];
/** Commands that change; closed by an empty row. */
extern const cli_command cli_change_commands[];

#endif
