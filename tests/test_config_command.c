/* `bluebellmoor config check`: arguments, exit status and output.  A stand-in
   answers in place of a daemon's admin address. */
#include "cli.h"

#include "bbm_codes.h"
#include "stand_http.h"
#include "test_main.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define ARGS_MAX 6
#define OUTPUT_SIZE 65536

#define RATES(burst)                                                          \
    "{\"rates\":[{\"name\":\"r\",\"tokens_per_s\":10,\"burst\":" burst "}],"  \
    "\"customers\":[{\"name\":\"c\",\"rate\":\"r\"}]}"

static const cli_profile profile = {.admin = "", .key = "secret"};

/* ---- stand-in of a daemon ---- */

/* What the stand-in answers; set before the request is sent. */
static const char *text_in_force; /* NULL: no revision exists. */

static enum MHD_Result
on_request(void *context, stand_request *r)
{
    (void)context;
    json_error_t error;
    json_t *call = json_loads((char *)r->body.data, 0, &error);
    json_int_t number = json_integer_value(json_object_get(call, "number"));
    json_decref(call);
    if (strcmp(stand_header(r, "Authorization"), "Bearer secret") != 0)
        return stand_reply(
            r, 401, json_pack("{s:{s:i}}", "error", "code", BBM_ERR_BAD_KEY));
    if (strcmp(r->path, "/admin/v1/show") != 0 || number || !text_in_force)
        return stand_reply(r, 404,
                           json_pack("{s:i}", "code", BBM_ERR_NOT_FOUND));
    return stand_reply(r, 200,
                       json_pack("{s:i, s:i, s:s}", "code", BBM_OK, "revision",
                                 7, "text", text_in_force));
}

/* A port of loopback that is free at the moment. */
static uint16_t
free_port(void)
{
    struct sockaddr_in a = {.sin_family = AF_INET};
    a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t len = sizeof(a);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    ck_assert_int_eq(bind(fd, (struct sockaddr *)&a, len), 0);
    ck_assert_int_eq(getsockname(fd, (struct sockaddr *)&a, &len), 0);
    close(fd);
    return ntohs(a.sin_port);
}

/* Address of the stand-in, which is started by the first call. */
static const char *
stand_address(void)
{
    static char address[32];
    if (!address[0]) {
        uint16_t port = free_port();
        stand_listen(port, on_request, NULL);
        snprintf(address, sizeof(address), "127.0.0.1:%u", port);
    }
    return address;
}

/* ---- calls ---- */

/* A temporary file with this text; the caller unlinks it. */
static void
write_file(char path[32], const char *text)
{
    snprintf(path, 32, "/tmp/bbm-check-XXXXXX");
    int fd = mkstemp(path);
    ck_assert_int_ge(fd, 0);
    ck_assert_int_eq(write(fd, text, strlen(text)), (ssize_t)strlen(text));
    close(fd);
}

/* Runs the command with a document and up to three further arguments; returns
   its exit status and what it printed. */
static int
run_check(const cli_profile *p, const char *document, const char *const *more,
          char output[OUTPUT_SIZE])
{
    char path[32];
    char *argv[ARGS_MAX] = {"check", path};
    int argc = 1;
    write_file(path, document);
    for (; *more; more++)
        argv[++argc] = (char *)(uintptr_t)*more;
    fflush(stdout);
    FILE *printed = tmpfile();
    int terminal = dup(STDOUT_FILENO);
    dup2(fileno(printed), STDOUT_FILENO);
    int rc = cli_config_commands[0].run(p, argc, argv + 1);
    fflush(stdout);
    dup2(terminal, STDOUT_FILENO);
    close(terminal);
    rewind(printed);
    output[fread(output, 1, OUTPUT_SIZE - 1, printed)] = '\0';
    fclose(printed);
    unlink(path);
    return rc;
}

#define RUN(document, output, ...)                                            \
    run_check(&profile, document, (const char *const[]){__VA_ARGS__ NULL},    \
              output)

static char out[OUTPUT_SIZE];

/* Guards against a script that sends a document with errors, as the status
   didn't tell of them. */
START_TEST(status_is_that_of_the_worst_finding)
{
    ck_assert_int_eq(RUN(RATES("10"), out, ), 0);
    ck_assert_str_eq(out, "no findings\n");
    ck_assert_int_eq(RUN(RATES("9"), out, ), 1);
    ck_assert_str_eq(out, "warning: rate \"r\".burst: 9 is too small for one "
                          "second at tokens_per_s, 10\n");
    ck_assert_int_eq(RUN(RATES("0"), out, ), 2);
    ck_assert_str_eq(out, "error: rates[0].burst: found 0; allowed: 1 to "
                          "1e+12\n");
    ck_assert_int_eq(RUN("{", out, ), 2);
    ck_assert_int_eq(RUN(RATES("10"), out, "--colour", ), CLI_USAGE);
    ck_assert_int_eq(RUN(RATES("10"), out, "--against", ), CLI_USAGE);
    ck_assert_int_eq(RUN(RATES("10"), out, "second", ), CLI_USAGE);
}
END_TEST

/* Guards against differences from a file that are lost or reversed. */
START_TEST(file_is_compared)
{
    char path[32];
    write_file(path, RATES("20"));
    ck_assert_int_eq(RUN(RATES("30"), out, "--against", path, ), 0);
    ck_assert_str_eq(out, "no findings\n"
                          "changed: rate \"r\".burst: from 20 to 30\n");
    ck_assert_int_eq(RUN(RATES("20"), out, "--against", path, ), 0);
    ck_assert_str_eq(out, "no findings\nno differences\n");
    unlink(path);
    ck_assert_int_eq(RUN(RATES("20"), out, "--against", path, ), 3);
    write_file(path, RATES("0"));
    ck_assert_int_eq(RUN(RATES("20"), out, "--against", path, ), 3);
    /* Errors of the document to be sent come first. */
    ck_assert_int_eq(RUN(RATES("0"), out, "--against", path, ), 2);
    unlink(path);
}
END_TEST

/* Guards against a comparison with another revision than the one in force,
   and against "no differences" if it couldn't be read. */
START_TEST(revision_in_force_is_compared)
{
    const char *address = stand_address();
    text_in_force = RATES("20");
    ck_assert_int_eq(RUN(RATES("9"), out, "--against", address, ), 1);
    ck_assert_ptr_nonnull(
        strstr(out, "changed: rate \"r\".burst: from 20 to 9\n"));
    ck_assert_int_eq(RUN(RATES("20"), out, "--against", address, ), 0);
    ck_assert_str_eq(out, "no findings\nno differences\n");
    text_in_force = NULL;
    ck_assert_int_eq(RUN(RATES("9"), out, "--against", address, ), 3);
    ck_assert_ptr_null(strstr(out, "differences"));
    ck_assert_ptr_nonnull(strstr(out, "warning: "));
    text_in_force = "{";
    ck_assert_int_eq(RUN(RATES("20"), out, "--against", address, ), 3);
    text_in_force = RATES("20");
    const cli_profile other = {.admin = "", .key = "other"};
    const char *const against[] = {"--against", address, NULL};
    ck_assert_int_eq(run_check(&other, RATES("20"), against, out), 3);
    char closed[32];
    snprintf(closed, sizeof(closed), "127.0.0.1:%u", free_port());
    ck_assert_int_eq(RUN(RATES("20"), out, "--against", closed, ), 3);
}
END_TEST

static const char *
text_at(const json_t *item, const char *field)
{
    const char *text = json_string_value(json_object_get(item, field));
    return text ? text : "";
}

/* Guards against JSON that a script can't rely on: other names, differences
   that are [] although nothing was compared. */
START_TEST(findings_and_differences_are_printed_as_json)
{
    json_error_t error;
    text_in_force = RATES("20");
    ck_assert_int_eq(
        RUN(RATES("9"), out, "--json", "--against", stand_address(), ), 1);
    json_t *doc = json_loads(out, 0, &error);
    json_t *findings = json_object_get(doc, "findings");
    json_t *differences = json_object_get(doc, "differences");
    ck_assert_uint_eq(json_array_size(findings), 1);
    ck_assert_uint_eq(json_array_size(differences), 1);
    json_t *f = json_array_get(findings, 0);
    ck_assert_str_eq(text_at(f, "severity"), "warning");
    ck_assert_str_eq(text_at(f, "kind"), "burst-below-rate");
    ck_assert_str_eq(text_at(f, "object"), "rate");
    ck_assert_str_eq(text_at(f, "name"), "r");
    ck_assert_str_eq(text_at(f, "field"), "burst");
    ck_assert_ptr_nonnull(strstr(text_at(f, "text"), "too small"));
    json_t *d = json_array_get(differences, 0);
    ck_assert_str_eq(text_at(d, "kind"), "changed");
    ck_assert_str_eq(text_at(d, "object"), "rate");
    ck_assert_str_eq(text_at(d, "name"), "r");
    ck_assert_str_eq(text_at(d, "field"), "burst");
    ck_assert_int_eq(json_integer_value(json_object_get(d, "before")), 20);
    ck_assert_int_eq(json_integer_value(json_object_get(d, "after")), 9);
    json_decref(doc);

    /* The global option --json has the same effect. */
    const cli_profile as_json = {.admin = "", .key = "", .json = true};
    const char *const none[] = {NULL};
    ck_assert_int_eq(run_check(&as_json, RATES("0"), none, out), 2);
    doc = json_loads(out, 0, &error);
    f = json_array_get(json_object_get(doc, "findings"), 0);
    ck_assert_str_eq(text_at(f, "severity"), "error");
    ck_assert(json_is_null(json_object_get(doc, "differences")));
    json_decref(doc);
}
END_TEST

TEST_MAIN("config_command", status_is_that_of_the_worst_finding,
          file_is_compared, revision_in_force_is_compared,
          findings_and_differences_are_printed_as_json);
