/* Findings about a configuration, and differences between two of them. */
#include "bbm_config_check.h"
#include "test_main.h"

#include <stdio.h>
#include <string.h>

#define EXAMPLE_SIZE 65536

/* Has every kind of object and no findings. */
static const char clean[] =
    "{\"rates\":[{\"name\":\"r\",\"tokens_per_s\":10,\"burst\":10}],"
    "\"customers\":[{\"name\":\"c\",\"rate\":\"r\"}],"
    "\"weights\":[{\"name\":\"v1\"}],"
    "\"models\":[{\"name\":\"m\",\"weights\":\"v1\"}],"
    "\"engines\":[{\"name\":\"e\",\"model\":\"m\",\"zone\":\"z\","
    "\"url\":\"http://127.0.0.1:1\"}],"
    "\"services\":[{\"name\":\"s\",\"zone\":\"z\",\"url\":\"http://h:1\"}],"
    "\"pools\":[{\"name\":\"p\",\"engine\":true,\"slots\":16,"
    "\"connections_most\":16},{\"name\":\"q\",\"connections_most\":2}],"
    "\"stores\":[{\"name\":\"k\",\"address\":\"127.0.0.1:2\"}],"
    "\"limits\":[{\"name\":\"callers\",\"header_bytes\":4096,"
    "\"body_bytes\":4096}],"
    "\"routes\":[{\"name\":\"ask\",\"path\":\"/v1/completions\","
    "\"model\":\"m\",\"repeatable\":true},"
    "{\"name\":\"book\",\"path\":\"/book\",\"services\":[\"s\"]},"
    "{\"name\":\"own\",\"host\":\"a.example\",\"path\":\"/x\","
    "\"pools\":[\"p\",\"q\"],\"shares\":[9,1],\"timeout_ms\":1000},"
    "{\"name\":\"any\",\"path\":\"/x\",\"pools\":[\"p\"],\"stream\":true,"
    "\"timeout_ms\":900,\"aim_ms\":900,\"gap_ms\":900}],"
    "\"objectives\":[{\"name\":\"o\",\"complete\":true,\"target\":0.9}]}";

/* A copy of the clean document in which @p from is replaced by @p to. */
static bbm_config *
create_edited(const char *from, const char *to)
{
    char text[4096];
    const char *at = strstr(clean, from);
    ck_assert_msg(at != NULL, "the document lacks %s", from);
    snprintf(text, sizeof(text), "%.*s%s%s", (int)(at - clean), clean, to,
             at + strlen(from));
    bbm_doc_errors errors = {0};
    bbm_config *cfg = bbm_config_create(text, strlen(text), &errors);
    ck_assert_msg(cfg != NULL, "%s", errors.len ? errors.lines[0] : "");
    return cfg;
}

/* Checks that replacing one text of the document causes this warning and no
   other. */
static void
expect_warning(const char *from, const char *to, bbm_finding_kind kind,
               const char *expected)
{
    bbm_findings findings = {0};
    bbm_config *cfg = create_edited(from, to);
    bbm_config_check(cfg, &findings);
    ck_assert_uint_eq(findings.len, 1);
    char *line = bbm_finding_text(&findings.items[0]);
    ck_assert_str_eq(line, expected);
    ck_assert_int_eq(findings.items[0].kind, kind);
    ck_assert(!bbm_finding_is_error(&findings.items[0]));
    free(line);
    bbm_findings_free(&findings);
    bbm_config_destroy(cfg);
}

static void
expect_clean(const char *from, const char *to)
{
    bbm_findings findings = {0};
    bbm_config *cfg = create_edited(from, to);
    bbm_config_check(cfg, &findings);
    char *line = findings.len ? bbm_finding_text(&findings.items[0]) : NULL;
    ck_assert_msg(!findings.len, "%s", line);
    bbm_findings_free(&findings);
    bbm_config_destroy(cfg);
}

/* Guards against warnings about documents that are in order. */
START_TEST(clean_documents_have_no_findings)
{
    static const char *const examples[] = {"demo", "jadran", "trazado"};
    expect_clean("{", "{");
    for (size_t i = 0; i < BBM_COUNT(examples); i++) {
        static char text[EXAMPLE_SIZE];
        char path[256];
        snprintf(path, sizeof(path), "%s/%s.json", EXAMPLES_DIR, examples[i]);
        FILE *file = fopen(path, "r");
        ck_assert_msg(file != NULL, "%s", path);
        size_t len = fread(text, 1, sizeof(text), file);
        fclose(file);
        ck_assert_uint_lt(len, sizeof(text));
        bbm_doc_errors errors = {0};
        bbm_config *cfg = bbm_config_create(text, len, &errors);
        ck_assert_ptr_nonnull(cfg);
        bbm_findings findings = {0};
        bbm_config_check(cfg, &findings);
        ck_assert_uint_eq(findings.len, 0);
        bbm_differences differences = {0};
        bbm_config_compare(cfg, cfg, &differences);
        ck_assert_uint_eq(differences.len, 0);
        bbm_config_destroy(cfg);
    }
}
END_TEST

/* Guards against a check that accepts what the daemon rejects. */
START_TEST(errors_of_the_document_are_findings)
{
    static const char bad[] =
        "{\"keys\":[{\"name\":\"k\",\"customer\":\"nobody\",\"digest\":"
        "\"00112233445566778899aabbccddeeff"
        "00112233445566778899aabbccddeeff\"}]}";
    bbm_doc_errors errors = {0};
    bbm_findings findings = {0};
    ck_assert_ptr_null(bbm_config_create(bad, strlen(bad), &errors));
    bbm_findings_add_errors(&findings, &errors);
    ck_assert_uint_eq(findings.len, 1);
    ck_assert_int_eq(findings.items[0].kind, BBM_FINDING_INVALID);
    ck_assert(bbm_finding_is_error(&findings.items[0]));
    char *line = bbm_finding_text(&findings.items[0]);
    ck_assert_str_eq(line, "error: key \"k\".customer: found \"nobody\"; "
                           "allowed: a name in customers");
    free(line);
    /* Errors beyond the lines that are kept are not dropped silently. */
    errors.total += 3;
    bbm_findings_add_errors(&findings, &errors);
    ck_assert_uint_eq(findings.len, 3);
    ck_assert_str_eq(findings.items[2].text, "and 3 more");
    bbm_findings_free(&findings);
    bbm_doc_errors_free(&errors);
}
END_TEST

/* Guards against routes that are sent but never used. */
START_TEST(routes_that_never_match_are_found)
{
    expect_warning(
        "\"routes\":[",
        "\"routes\":[{\"name\":\"first\",\"path\":\"/y\",\"pools\":[\"q\"]},"
        "{\"name\":\"late\",\"host\":\"B.example\",\"path\":\"/y\","
        "\"pools\":[\"q\"]},",
        BBM_FINDING_ROUTE_COVERED,
        "warning: route \"late\".path: route \"first\", which is earlier in "
        "the document and applies to any host, takes all its requests");
    expect_warning(
        "\"routes\":[",
        "\"routes\":[{\"name\":\"first\",\"path\":\"/v1/completions\","
        "\"services\":[\"s\"]},",
        BBM_FINDING_ROUTE_COVERED,
        "warning: route \"ask\".path: route \"first\", which is earlier in "
        "the document and has no model, takes all its requests");
    expect_warning("\"/v1/completions\"", "\"/v1/other\"",
                   BBM_FINDING_ROUTE_UNREACHABLE,
                   "warning: route \"ask\".path: no request for model \"m\" "
                   "has the path \"/v1/other\" as its longest match");
    expect_warning("a.example", "http://a.example",
                   BBM_FINDING_ROUTE_UNREACHABLE,
                   "warning: route \"own\".host: no request has the host "
                   "\"http://a.example\"");
    char path[400];
    char text[512];
    memset(path, 'a', sizeof(path) - 1);
    path[sizeof(path) - 1] = '\0';
    snprintf(text, sizeof(text),
             "\"header_bytes\":256,\"body_bytes\":4096}],\"routes\":["
             "{\"name\":\"long\",\"path\":\"/%s\",\"pools\":[\"q\"]},",
             path);
    expect_warning("\"header_bytes\":4096,\"body_bytes\":4096}],\"routes\":[",
                   text, BBM_FINDING_ROUTE_UNREACHABLE,
                   "warning: route \"long\".path: longer than header_bytes of "
                   "limits \"callers\", 256");
}
END_TEST

/* Guards against false warnings about routes that share a path. */
START_TEST(routes_that_match_are_not_found)
{
    expect_clean("\"path\":\"/v1/completions\"", "\"path\":\"/v1\"");
    expect_clean("\"path\":\"/book\"", "\"path\":\"/v1/completions\"");
    expect_clean("\"name\":\"any\",\"path\":\"/x\"",
                 "\"name\":\"any\",\"path\":\"/\"");
    expect_clean("a.example", "a.example:8080");
}
END_TEST

/* Guards against leftovers: objects that nothing names, pools without
   traffic. */
START_TEST(unused_objects_are_found)
{
    expect_warning(
        "\"rates\":[",
        "\"rates\":[{\"name\":\"x\",\"tokens_per_s\":1,\"burst\":1},",
        BBM_FINDING_UNUSED, "warning: rate \"x\": no customer has this rate");
    expect_warning("\"pools\":[{", "\"pools\":[{\"name\":\"x\"},{",
                   BBM_FINDING_UNUSED,
                   "warning: pool \"x\": no route names this pool");
    expect_warning("\"services\":[{",
                   "\"services\":[{\"name\":\"x\",\"zone\":\"z\",\"url\":"
                   "\"http://h:2\"},{",
                   BBM_FINDING_UNUSED,
                   "warning: service \"x\": no route names this service");
    expect_warning("\"shares\":[9,1]", "\"shares\":[9,0]",
                   BBM_FINDING_SHARE_ZERO,
                   "warning: route \"own\".shares: pool \"q\" gets no "
                   "requests");
}
END_TEST

/* Guards against limits of which one makes the other useless. */
START_TEST(contradicting_limits_are_found)
{
    expect_warning(
        "\"timeout_ms\":1000", "\"timeout_ms\":999",
        BBM_FINDING_TIMEOUT_BELOW_TARGET,
        "warning: route \"own\".timeout_ms: 999 is below the target "
        "latency aim_ms, 1000");
    expect_warning("\"gap_ms\":900", "\"gap_ms\":901",
                   BBM_FINDING_GAP_ABOVE_TIMEOUT,
                   "warning: route \"any\".gap_ms: 901 is above timeout_ms, "
                   "900");
    expect_warning("\"burst\":10", "\"burst\":9", BBM_FINDING_BURST_BELOW_RATE,
                   "warning: rate \"r\".burst: 9 is too small for one second "
                   "at tokens_per_s, 10");
    expect_warning("\"body_bytes\":4096", "\"body_bytes\":4095",
                   BBM_FINDING_HEADER_ABOVE_BODY,
                   "warning: limits \"callers\".header_bytes: 4096 is above "
                   "body_bytes, 4095");
    expect_warning(
        "\"connections_most\":16", "\"connections_most\":15",
        BBM_FINDING_CONNECTIONS_BELOW_SLOTS,
        "warning: pool \"p\".connections_most: 15 connections can't "
        "fill the slots, 16");
    /* A route without a timeout has nothing to contradict; answers that
       aren't streams have no gaps. */
    expect_clean(",\"timeout_ms\":1000", "");
    expect_clean("\"timeout_ms\":1000", "\"timeout_ms\":500,\"aim_ms\":500");
}
END_TEST

/* Checks that replacing one text of the document causes one difference, and
   the reverse replacement the reverse difference. */
static void
expect_difference(const char *from, const char *to, const char *expected,
                  const char *reverse)
{
    bbm_config *before = create_edited("{", "{");
    bbm_config *after = create_edited(from, to);
    bbm_differences differences = {0};
    bbm_config_compare(before, after, &differences);
    bbm_config_compare(after, before, &differences);
    ck_assert_uint_eq(differences.len, 2);
    char *forth = bbm_difference_text(&differences.items[0]);
    char *back = bbm_difference_text(&differences.items[1]);
    ck_assert_str_eq(forth, expected);
    ck_assert_str_eq(back, reverse);
    free(forth);
    free(back);
    bbm_differences_free(&differences);
    bbm_config_destroy(before);
    bbm_config_destroy(after);
}

/* Guards against changes of a field of any type that the operator isn't
   shown. */
START_TEST(changed_fields_are_found)
{
    expect_difference("\"timeout_ms\":1000", "\"timeout_ms\":2000",
                      "changed: route \"own\".timeout_ms: from 1000 to 2000",
                      "changed: route \"own\".timeout_ms: from 2000 to 1000");
    expect_difference("\"host\":\"a.example\"", "\"host\":\"b.example\"",
                      "changed: route \"own\".host: from \"a.example\" to "
                      "\"b.example\"",
                      "changed: route \"own\".host: from \"b.example\" to "
                      "\"a.example\"");
    expect_difference("\"repeatable\":true", "\"repeatable\":false",
                      "changed: route \"ask\".repeatable: from true to false",
                      "changed: route \"ask\".repeatable: from false to true");
    expect_difference("\"target\":0.9", "\"target\":0.95",
                      "changed: objective \"o\".target: from 0.9 to 0.95",
                      "changed: objective \"o\".target: from 0.95 to 0.9");
    expect_difference("[9,1]", "[8,2]",
                      "changed: route \"own\".shares: from [9, 1] to [8, 2]",
                      "changed: route \"own\".shares: from [8, 2] to [9, 1]");
    expect_difference("\"pools\":[\"p\"]", "\"pools\":[\"q\"]",
                      "changed: route \"any\".pools: from [\"p\"] to [\"q\"]",
                      "changed: route \"any\".pools: from [\"q\"] to [\"p\"]");
    expect_difference("\"zone\":\"z\"", "\"zone\":\"y\"",
                      "changed: engine \"e\".zone: from \"z\" to \"y\"",
                      "changed: engine \"e\".zone: from \"y\" to \"z\"");
}
END_TEST

/* Guards against objects of any kind that appear or vanish unseen. */
START_TEST(added_and_removed_objects_are_found)
{
    static const char *const objects[][3] = {
        {"rates", "rate", "\"tokens_per_s\":1,\"burst\":2"},
        {"customers", "customer", "\"rate\":\"r\""},
        {"weights", "weights", "\"base\":\"v1\""},
        {"models", "model", "\"weights\":\"v1\""},
        {"engines", "engine",
         "\"model\":\"m\",\"zone\":\"z\",\"url\":\"http://h:3\""},
        {"services", "service", "\"zone\":\"z\",\"url\":\"http://h:3\""},
        {"pools", "pool", "\"slots\":4"},
        {"stores", "store", "\"address\":\"127.0.0.1:4\""},
        {"limits", "limits", "\"idle_ms\":4"},
        {"routes", "route", "\"path\":\"/n\",\"pools\":[\"p\"]"},
        {"objectives", "objective", "\"refusals\":true,\"target\":0.5"},
    };
    for (size_t i = 0; i < BBM_COUNT(objects); i++) {
        char from[64];
        char to[256];
        char forth[256];
        char back[256];
        json_error_t error;
        snprintf(from, sizeof(from), "\"%s\":[{", objects[i][0]);
        snprintf(to, sizeof(to), "\"%s\":[{\"name\":\"new\",%s},{",
                 objects[i][0], objects[i][2]);
        snprintf(forth, sizeof(forth), "{%s}", objects[i][2]);
        /* The line has the fields as jansson prints them. */
        json_t *fields = json_loads(forth, 0, &error);
        char *dumped = json_dumps(fields, 0);
        snprintf(forth, sizeof(forth), "added: %s \"new\": %s", objects[i][1],
                 dumped);
        snprintf(back, sizeof(back), "removed: %s \"new\": %s", objects[i][1],
                 dumped);
        expect_difference(from, to, forth, back);
        free(dumped);
        json_decref(fields);
    }
    static const char digest[] =
        "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff";
    char key[256];
    char forth[256];
    char back[256];
    snprintf(key, sizeof(key),
             "{\"keys\":[{\"name\":\"new\",\"customer\":\"c\",\"digest\":"
             "\"%s\"}],",
             digest);
    snprintf(forth, sizeof(forth),
             "added: key \"new\": {\"customer\": \"c\", \"digest\": \"%s\"}",
             digest);
    snprintf(back, sizeof(back),
             "removed: key \"new\": {\"customer\": \"c\", \"digest\": \"%s\"}",
             digest);
    expect_difference("{", key, forth, back);
}
END_TEST

/* Guards against differences that aren't any: defaults that are written out,
   and another order of the objects. */
START_TEST(equal_configurations_have_no_differences)
{
    static const char *const edits[][2] = {
        {"\"tokens_per_s\":10,\"burst\":10",
         "\"burst\":10,\"tokens_per_s\":10"},
        {"\"name\":\"c\",", "\"name\":\"c\",\"weight\":1,\"priority\":-1,"},
        {"\"path\":\"/book\",", "\"path\":\"/book\",\"host\":\"\",\"open\":"
                                "false,\"shares\":[],"},
        {"{\"name\":\"p\",\"engine\":true,\"slots\":16,"
         "\"connections_most\":16},{\"name\":\"q\",\"connections_most\":2}",
         "{\"name\":\"q\",\"connections_most\":2},{\"name\":\"p\",\"engine\":"
         "true,\"connections_most\":16}"},
    };
    bbm_config *before = create_edited("{", "{");
    for (size_t i = 0; i < BBM_COUNT(edits); i++) {
        bbm_config *after = create_edited(edits[i][0], edits[i][1]);
        bbm_differences differences = {0};
        bbm_config_compare(before, after, &differences);
        ck_assert_uint_eq(differences.len, 0);
        bbm_config_destroy(after);
    }
    bbm_config_destroy(before);
}
END_TEST

TEST_MAIN("config_check", clean_documents_have_no_findings,
          errors_of_the_document_are_findings,
          routes_that_never_match_are_found, routes_that_match_are_not_found,
          unused_objects_are_found, contradicting_limits_are_found,
          changed_fields_are_found, added_and_removed_objects_are_found,
          equal_configurations_have_no_differences);
