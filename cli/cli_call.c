#include "cli.h"

#include "bbm_codes.h"
#include "bbm_hash.h"
#include "bbm_pack.h"

#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define CONNECT_TIMEOUT_MS 2000L
#define REQUEST_TIMEOUT_MS 70000L
#define URL_SIZE 256

static size_t
on_data(char *data, size_t size, size_t n, void *context)
{
    bbm_buf_add(context, data, size * n);
    return size * n;
}

/* Runs when a connection is made, before the request is sent: from here on the
   daemon may have received it. */
static int
on_connected(void *context, char *remote_ip, char *local_ip, int remote_port,
             int local_port)
{
    (void)remote_ip;
    (void)local_ip;
    (void)remote_port;
    (void)local_port;
    *(bool *)context = true;
    return CURL_PREREQFUNC_OK;
}

static cli_answer
call_one(const cli_profile *p, const char *address, const char *path,
         const char *body)
{
    cli_answer a = {0};
    bbm_buf text = {0};
    char url[URL_SIZE];
    char header[URL_SIZE];
    snprintf(url, sizeof(url), "http://%s/admin/v1/%s", address, path);
    snprintf(header, sizeof(header), "Authorization: Bearer %s", p->key);
    struct curl_slist *headers = curl_slist_append(NULL, header);
    CURL *e = curl_easy_init();
    curl_easy_setopt(e, CURLOPT_URL, url);
    curl_easy_setopt(e, CURLOPT_PROXY, "");
    curl_easy_setopt(e, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(e, CURLOPT_CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS);
    curl_easy_setopt(e, CURLOPT_TIMEOUT_MS, REQUEST_TIMEOUT_MS);
    curl_easy_setopt(e, CURLOPT_HTTPHEADER, headers);
    curl_easy_setopt(e, CURLOPT_POSTFIELDS, body);
    curl_easy_setopt(e, CURLOPT_WRITEFUNCTION, on_data);
    curl_easy_setopt(e, CURLOPT_WRITEDATA, &text);
    curl_easy_setopt(e, CURLOPT_PREREQFUNCTION, on_connected);
    curl_easy_setopt(e, CURLOPT_PREREQDATA, &a.sent);
    if (curl_easy_perform(e) == CURLE_OK) {
        json_error_t error;
        curl_easy_getinfo(e, CURLINFO_RESPONSE_CODE, &a.status);
        a.doc = json_loadb((char *)text.data, text.len, 0, &error);
    }
    curl_easy_cleanup(e);
    curl_slist_free_all(headers);
    bbm_buf_free(&text);
    return a;
}

int
cli_answer_code(const json_t *doc)
{
    json_t *error = json_object_get(doc, "error");
    return (int)json_integer_value(
        json_object_get(error ? error : doc, "code"));
}

static bool
should_try_next(const cli_answer *a)
{
    int code = cli_answer_code(a->doc);
    return a->status == 0 || code == BBM_ERR_NOT_LEADER;
}

cli_answer
cli_call(const cli_profile *p, const char *path, json_t *body)
{
    json_t *doc = body ? body : json_object();
    char *text = json_dumps(doc, JSON_COMPACT);
    json_decref(doc);
    BBM_AUTO_FREE char *list = bbm_strdup(p->admin);
    cli_answer last = {0};
    bool sent = false;
    char *rest = NULL;
    for (char *address = strtok_r(list, ",", &rest); address;
         address = strtok_r(NULL, ",", &rest)) {
        json_decref(last.doc);
        last = call_one(p, address, path, text);
        sent = sent || last.sent;
        if (!should_try_next(&last))
            break;
    }
    last.sent = sent;
    free(text);
    return last;
}

json_t *
cli_call_all(const cli_profile *p, const char *path)
{
    json_t *answers = json_array();
    BBM_AUTO_FREE char *list = bbm_strdup(p->admin);
    char *rest = NULL;
    for (char *address = strtok_r(list, ",", &rest); address;
         address = strtok_r(NULL, ",", &rest)) {
        cli_answer a = call_one(p, address, path, "{}");
        if (a.doc)
            json_array_append_new(answers, a.doc);
    }
    return answers;
}

static int
exit_status(int code)
{
    switch (code) {
    case BBM_OK:
        return CLI_OK;
    case BBM_ERR_INVALID_CONFIG:
        return CLI_USAGE;
    case BBM_ERR_CONFLICT:
        return CLI_CONFLICT;
    case BBM_ERR_NO_QUORUM:
        return CLI_OUTCOME_UNKNOWN;
    default:
        return CLI_REFUSED;
    }
}

int
cli_check_answer(const cli_profile *p, const cli_answer *a)
{
    if (!a->status && !a->sent) {
        fputs("no daemon could be reached; nothing was changed\n", stderr);
        return CLI_UNREACHABLE;
    }
    if (!a->status || !a->doc) {
        fputs("no answer was received; the change may have been accepted: "
              "check its state, or repeat it with the same identifier\n",
              stderr);
        return CLI_OUTCOME_UNKNOWN;
    }
    int code = cli_answer_code(a->doc);
    if (code == BBM_OK && a->status == 200)
        return CLI_OK;
    if (p->json) {
        cli_print_json(a->doc);
        return exit_status(code);
    }
    fprintf(stderr, "%s (%d): %s\n", bbm_code_name(code), code,
            bbm_code_text(code));
    const char *detail = json_string_value(json_object_get(a->doc, "detail"));
    if (detail)
        fputs(detail, stderr);
    if (code == BBM_ERR_CONFLICT)
        fprintf(
            stderr, "revision in force: %lld\n",
            (long long)json_integer_value(json_object_get(a->doc, "number")));
    return exit_status(code);
}

void
cli_print_json(const json_t *doc)
{
    json_dumpf(doc, stdout, JSON_INDENT(2));
    putchar('\n');
}

void
cli_make_id(const char *given, char id[64])
{
    if (given) {
        bbm_name_set(id, given);
        return;
    }
    uint64_t words[2];
    bbm_random_bytes(words, sizeof(words));
    snprintf(id, 64, "%016llx%016llx", (unsigned long long)words[0],
             (unsigned long long)words[1]);
}
