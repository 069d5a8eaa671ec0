/** @file
 *  The operator's command `bluebellmoor`: options, help and dispatch.
 */
#include "cli.h"

#include "bbm_hash.h"

#include <curl/curl.h>
#include <getopt.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define KEY_SIZE 512 /* bytes, including the terminating NUL */

static const cli_command *const command_tables[] = {cli_query_commands,
                                                    cli_change_commands};

static void
usage(FILE *to)
{
    fputs("usage: bluebellmoor [--admin HOST:PORT[,HOST:PORT...]] "
          "[--key-file FILE] [--json] COMMAND\n"
          "\n"
          "The environment variables BLUEBELLMOOR_ADMIN and BLUEBELLMOOR_KEY\n"
          "(the key itself) are the defaults of the first two options.\n"
          "\n"
          "Commands:\n",
          to);
    for (size_t t = 0; t < sizeof(command_tables) / sizeof(command_tables[0]);
         t++) {
        for (const cli_command *c = command_tables[t]; c->name; c++)
            fprintf(to, "  %s\n", c->help);
    }
    fputs("\n"
          "Exit status: 0 success, 1 refused, 2 invalid arguments or\n"
          "document, 3 no daemon reached, 4 outcome unknown: the change may\n"
          "have been accepted, 5 another revision was published first.\n",
          to);
}

/* Number of words in the command's name if the arguments start with it, else
   0. */
static int
matched_words(const cli_command *c, int argc, char **argv)
{
    const char *space = strchr(c->name, ' ');
    size_t first = space ? (size_t)(space - c->name) : strlen(c->name);
    if (argc < 1 || strlen(argv[0]) != first
        || strncmp(argv[0], c->name, first) != 0)
        return 0;
    if (!space)
        return 1;
    return argc >= 2 && strcmp(argv[1], space + 1) == 0 ? 2 : 0;
}

/* The first line of a file; exits if it can't be read. */
static char *
read_key(const char *path)
{
    static char key[KEY_SIZE];
    FILE *file = fopen(path, "r");
    if (!file || !fgets(key, sizeof(key), file)) {
        fprintf(stderr, "%s: cannot be read\n", path);
        exit(CLI_USAGE);
    }
    fclose(file);
    key[strcspn(key, "\r\n")] = '\0';
    return key;
}

static int
run(const cli_profile *p, int argc, char **argv)
{
    for (size_t t = 0; t < sizeof(command_tables) / sizeof(command_tables[0]);
         t++) {
        for (const cli_command *c = command_tables[t]; c->name; c++) {
            int words = matched_words(c, argc, argv);
            if (!words)
                continue;
            bool help = argc > words && strcmp(argv[words], "--help") == 0;
            if (help) {
                printf("bluebellmoor %s\n", c->help);
                return CLI_OK;
            }
            return c->run(p, argc - words, argv + words);
        }
    }
    usage(stderr);
    return CLI_USAGE;
}

int
main(int argc, char **argv)
{
    static const struct option options[] = {
        {"admin", required_argument, NULL, 'a'},
        {"key-file", required_argument, NULL, 'k'},
        {"json", no_argument, NULL, 'j'},
        {"help", no_argument, NULL, 'h'},
        {"version", no_argument, NULL, 'v'},
        {NULL, 0, NULL, 0},
    };
    const char *admin = getenv("BLUEBELLMOOR_ADMIN");
    const char *key = getenv("BLUEBELLMOOR_KEY");
    cli_profile p = {
        .admin = admin ? admin : "127.0.0.1:7402",
        .key = key ? key : "",
    };
    int opt;
    while ((opt = getopt_long(argc, argv, "+", options, NULL)) != -1) {
        switch (opt) {
        case 'a':
            p.admin = optarg;
            break;
        case 'k':
            p.key = read_key(optarg);
            break;
        case 'j':
            p.json = true;
            break;
        case 'h':
            usage(stdout);
            return CLI_OK;
        case 'v':
            puts("bluebellmoor " BBM_VERSION);
            return CLI_OK;
        default:
            usage(stderr);
            return CLI_USAGE;
        }
    }
    if (bbm_hash_setup() < 0)
        return CLI_REFUSED;
    curl_global_init(CURL_GLOBAL_ALL);
    int rc = run(&p, argc - optind, argv + optind);
    curl_global_cleanup();
    return rc;
}
