#include "cli.h"

#include "bbm_codes.h"
#include "bbm_config.h"
#include "bbm_settings.h"

#include <getopt.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Commands that change something, and those that need no daemon. */

#define KEY_BYTES_MAX 512

static int
usage(const char *text)
{
    fprintf(stderr, "usage: bluebellmoor %s\n", text);
    return CLI_USAGE;
}

/* Calls a path; on success prints the answer as JSON or the line @p done. */
static int
run_change(const cli_profile *p, const char *path, json_t *body,
           const char *done)
{
    cli_answer a = cli_call(p, path, body);
    int rc = cli_check_answer(p, &a);
    if (rc == CLI_OK && p->json)
        cli_print_json(a.doc);
    else if (rc == CLI_OK)
        puts(done);
    json_decref(a.doc);
    return rc;
}

/* ---- configuration ---- */

static char *
read_document(const char *path, size_t *len)
{
    char *text = bbm_read_file(path, len);
    if (!text)
        fprintf(stderr, "%s: cannot be read\n", path);
    return text;
}

/* Print all mistakes in a configuration; CLI_OK if there are none. */
static int
check_text(const cli_profile *p, const char *text, size_t len)
{
    bbm_doc_errors errors = {0};
    bbm_config *cfg = bbm_config_create(text, len, &errors);
    BBM_AUTO_FREE char *lines = bbm_doc_errors_text(&errors);
    if (p->json) {
        json_t *list = json_array();
        for (size_t i = 0; i < errors.len; i++)
            json_array_append_new(list, json_string(errors.lines[i]));
        json_t *doc =
            json_pack("{s:b, s:o}", "valid", cfg != NULL, "mistakes", list);
        cli_print_json(doc);
        json_decref(doc);
    }
    else {
        fputs(lines, stderr);
    }
    int rc = cfg ? CLI_OK : CLI_USAGE;
    bbm_config_destroy(cfg);
    bbm_doc_errors_free(&errors);
    return rc;
}

static int
check(const cli_profile *p, int argc, char **argv)
{
    if (argc != 1)
        return usage("check FILE");
    size_t len;
    BBM_AUTO_FREE char *text = read_document(argv[0], &len);
    if (!text)
        return CLI_USAGE;
    int rc = check_text(p, text, len);
    if (rc == CLI_OK && !p->json)
        puts("configuration is valid");
    return rc;
}

static int
publish(const cli_profile *p, int argc, char **argv)
{
    if (argc < 2 || argc > 3)
        return usage("publish FILE EXPECTED-REVISION [ID]");
    size_t len;
    BBM_AUTO_FREE char *text = read_document(argv[0], &len);
    if (!text || check_text(&(cli_profile){0}, text, len) != CLI_OK)
        return CLI_USAGE;
    char id[64];
    cli_make_id(argc == 3 ? argv[2] : NULL, id);
    json_int_t expected = strtoll(argv[1], NULL, 10);
    cli_answer a = cli_call(p, "publish",
                            json_pack("{s:s, s:I, s:s%}", "id", id, "number",
                                      expected, "text", text, len));
    int rc = cli_check_answer(p, &a);
    if (rc == CLI_OUTCOME_UNKNOWN)
        fprintf(stderr, "identifier of this publish: %s\n", id);
    if (rc == CLI_OK && p->json)
        cli_print_json(a.doc);
    else if (rc == CLI_OK)
        printf(
            "revision %lld is in force\n",
            (long long)json_integer_value(json_object_get(a.doc, "number")));
    json_decref(a.doc);
    return rc;
}

/* ---- keys ---- */

static int
keys_add(const cli_profile *p, int argc, char **argv)
{
    if (argc != 2)
        return usage("keys add NAME CUSTOMER");
    cli_answer a =
        cli_call(p, "keys/add",
                 json_pack("{s:s, s:s}", "name", argv[0], "other", argv[1]));
    int rc = cli_check_answer(p, &a);
    if (rc == CLI_OK && p->json)
        cli_print_json(a.doc);
    else if (rc == CLI_OK)
        puts(json_string_value(json_object_get(a.doc, "key")));
    if (rc == CLI_OUTCOME_UNKNOWN)
        fputs("the key may have been added, but can't be shown: withdraw "
              "this name and add another\n",
              stderr);
    json_decref(a.doc);
    return rc;
}

static int
keys_withdraw(const cli_profile *p, int argc, char **argv)
{
    if (argc != 1)
        return usage("keys withdraw NAME");
    return run_change(p, "keys/withdraw", json_pack("{s:s}", "name", argv[0]),
                      "withdrawn");
}

/* Print the digest that settings and configurations hold in place of a key. */
static int
digest(const cli_profile *p, int argc, char **argv)
{
    (void)p;
    if (argc != 1)
        return usage("digest SECRET-FILE < KEY");
    size_t len;
    BBM_AUTO_FREE char *secret = read_document(argv[0], &len);
    char key[KEY_BYTES_MAX + 1];
    if (!secret || !fgets(key, sizeof(key), stdin))
        return CLI_USAGE;
    key[strcspn(key, "\r\n")] = '\0';
    uint8_t derived[BBM_DIGEST_SIZE];
    bbm_digest root = bbm_secret_from_text(secret, len);
    bbm_secret_derive(root.bytes, BBM_SECRET_KEYS, derived);
    bbm_digest d = bbm_digest_of(key, strlen(key), derived);
    char hex[2 * BBM_DIGEST_SIZE + 1];
    bbm_digest_hex(&d, hex);
    puts(hex);
    explicit_bzero(key, sizeof(key));
    return CLI_OK;
}

/* ---- VMs and engines ---- */

static bool
is_on_off(const char *word)
{
    return strcmp(word, "on") == 0 || strcmp(word, "off") == 0;
}

static int
drain(const cli_profile *p, int argc, char **argv)
{
    if (argc != 2 || !is_on_off(argv[1]))
        return usage("drain VM on|off");
    bool on = strcmp(argv[1], "on") == 0;
    return run_change(p, "drain",
                      json_pack("{s:s, s:b}", "name", argv[0], "on", on),
                      on ? "leaving" : "back");
}

static int
replace(const cli_profile *p, int argc, char **argv)
{
    if (argc != 2)
        return usage("replace LOST-VM NEW-VM");
    return run_change(
        p, "replace",
        json_pack("{s:s, s:s}", "name", argv[0], "other", argv[1]),
        "replaced");
}

static int
orders_give(const cli_profile *p, int argc, char **argv)
{
    if (argc < 2 || argc > 3)
        return usage("orders give ENGINE WEIGHTS [ID]");
    char id[64];
    cli_make_id(argc == 3 ? argv[2] : NULL, id);
    int rc = run_change(p, "orders/give",
                        json_pack("{s:s, s:s, s:s}", "id", id, "name", argv[0],
                                  "other", argv[1]),
                        id);
    if (rc == CLI_OUTCOME_UNKNOWN)
        fprintf(stderr, "identifier of this order: %s\n", id);
    return rc;
}

static int
orders_pause(const cli_profile *p, int argc, char **argv)
{
    if (argc != 1 || !is_on_off(argv[0]))
        return usage("orders pause on|off");
    bool on = strcmp(argv[0], "on") == 0;
    return run_change(p, "orders/pause", json_pack("{s:b}", "on", on),
                      on ? "paused" : "resumed");
}

static int
release(const cli_profile *p, int argc, char **argv)
{
    char *end = NULL;
    double seconds = argc == 3 ? strtod(argv[2], &end) : 0;
    if (argc != 3 || *end || !(seconds >= 0.001 && seconds <= 86400))
        return usage("release SERVICE VERSION SECONDS");
    return run_change(p, "release",
                      json_pack("{s:s, s:s, s:I}", "name", argv[0], "other",
                                argv[1], "number",
                                (json_int_t)(seconds * 1000 + 0.5)),
                      "ordered");
}

const cli_command cli_change_commands[] = {
    {"check", "check FILE: find all mistakes in a configuration", check},
    {"publish",
     "publish FILE EXPECTED-REVISION [ID]: put a configuration in force if "
     "EXPECTED-REVISION is still the current one",
     publish},
    {"keys add", "keys add NAME CUSTOMER: create a key; it is shown only once",
     keys_add},
    {"keys withdraw", "keys withdraw NAME: invalidate a key", keys_withdraw},
    {"drain", "drain VM on|off: stop or resume sending new callers to a VM",
     drain},
    {"replace",
     "replace LOST-VM NEW-VM: replace a lost control VM by another VM",
     replace},
    {"orders give",
     "orders give ENGINE WEIGHTS [ID]: order an engine to load a version "
     "of weights",
     orders_give},
    {"orders pause", "orders pause on|off: pause or resume sending orders",
     orders_pause},
    {"release",
     "release SERVICE VERSION SECONDS: move the requests of a service to "
     "upstreams of another software version, or revert, within a time",
     release},
    {"digest",
     "digest SECRET-FILE: print the digest of the key on standard input",
     digest},
    {NULL, NULL, NULL},
};
