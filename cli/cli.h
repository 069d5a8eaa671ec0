/** @file
 *  The operator's command: declarations shared by its sources.
 *
 *  A profile holds the daemons' admin addresses and the operator's key.  A
 *  call tries the addresses in order until a daemon can answer it.
 */
#ifndef CLI_H
#define CLI_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>

/** Exit statuses; docs/OPERATIONS.md lists them. */
typedef enum cli_exit {
    CLI_OK = 0,              /**< Success. */
    CLI_REFUSED = 1,         /**< A daemon refused the request. */
    CLI_USAGE = 2,           /**< Invalid arguments or document. */
    CLI_UNREACHABLE = 3,     /**< No daemon reached; nothing changed. */
    CLI_OUTCOME_UNKNOWN = 4, /**< Sent, but without an answer that settles
                                  whether the change was accepted. */
    CLI_CONFLICT = 5,        /**< Another revision was published first. */
} cli_exit;

/** Options given before the command. */
typedef struct cli_profile {
    const char *admin; /**< host:port of admin addresses, comma-separated. */
    const char *key;   /**< Operator's key; "" if none was given. */
    bool json;         /**< Print the daemon's JSON instead of text. */
} cli_profile;

/** Outcome of a call. */
typedef struct cli_answer {
    long status; /**< HTTP status; 0: no answer. */
    bool sent;   /**< A connection was made: a daemon may have received the
                      request. */
    json_t *doc; /**< Body, owned by the receiver; NULL if there is none or it
                      isn't JSON. */
} cli_answer;

/** Call a path of the admin API.  Tries the next address if one doesn't answer
 *  or answers BBM_ERR_NOT_LEADER.  Several daemons may therefore receive the
 *  request.
 *  @param body Reference is consumed; NULL stands for {}. */
cli_answer cli_call(const cli_profile *p, const char *path, json_t *body);
/** Call every address; returns an array of the JSON answers received, owned
 *  by the caller. */
json_t *cli_call_all(const cli_profile *p, const char *path);
/** Exit status for an answer.  Prints the error, if it is one. */
int cli_check_answer(const cli_profile *p, const cli_answer *a);
/** Code of a refusal, from its "error" object or the top level; BBM_OK if
 * there is none. */
int cli_answer_code(const json_t *doc);
/** Print a document as indented JSON on standard output. */
void cli_print_json(const json_t *doc);
/** Copy @p given, or make a random identifier for a change if it is NULL. */
void cli_make_id(const char *given, char id[64]);

/** A subcommand. */
typedef struct cli_command {
    const char *name; /**< One or two words on the command line. */
    const char *help; /**< Arguments and purpose, for --help. */
    /** Run it; returns a cli_exit.  argv starts after the name. */
    int (*run)(const cli_profile *p, int argc, char **argv);
} cli_command;

/** Commands that only read; the last row is all NULL. */
extern const cli_command cli_query_commands[];
/** Commands that change something, and those that run without a daemon; the
 *  last row is all NULL. */
extern const cli_command cli_change_commands[];
/** Check of a configuration; the last row is all NULL. */
extern const cli_command cli_config_commands[];

#endif
