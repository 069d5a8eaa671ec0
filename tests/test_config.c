#include "bbm_config.h"
#include "test_main.h"

#include <stdio.h>
#include <string.h>

static const char good[] =
    "{\"rates\":[{\"name\":\"r\",\"tokens_per_s\":10,\"burst\":100}],"
    "\"customers\":[{\"name\":\"c\",\"rate\":\"r\"}],"
    "\"weights\":[{\"name\":\"v1\"},{\"name\":\"v2\",\"base\":\"v1\"}],"
    "\"models\":[{\"name\":\"m\",\"weights\":\"v2\"}],"
    "\"engines\":[{\"name\":\"e\",\"model\":\"m\",\"zone\":\"z\","
    "\"url\":\"http://127.0.0.1:1\"}],"
    "\"services\":[{\"name\":\"s\",\"zone\":\"z\",\"url\":\"http://h:1\"}],"
    "\"routes\":[{\"name\":\"a\",\"path\":\"/v1/completions\","
    "\"model\":\"m\",\"repeatable\":true},"
    "{\"name\":\"b\",\"path\":\"/book\",\"services\":[\"s\"]}]}";

/* The document with one text replaced must have this mistake. */
static void
expect_mistake(const char *from, const char *to, const char *mistake)
{
    char text[4096];
    const char *at = strstr(good, from);
    ck_assert_ptr_nonnull(at);
    snprintf(text, sizeof(text), "%.*s%s%s", (int)(at - good), good, to,
             at + strlen(from));
    bbm_doc_errors wrong = {0};
    bbm_config *cfg = bbm_config_create(text, strlen(text), &wrong);
    ck_assert_ptr_null(cfg);
    bool found = false;
    for (size_t i = 0; i < wrong.len; i++)
        found = found || strstr(wrong.lines[i], mistake);
    ck_assert_msg(found, "no \"%s\"; first: %s", mistake, wrong.lines[0]);
    bbm_doc_errors_free(&wrong);
}

START_TEST(good_document_is_taken)
{
    bbm_doc_errors wrong = {0};
    bbm_config *cfg = bbm_config_create(good, strlen(good), &wrong);
    ck_assert_uint_eq(wrong.total, 0);
    ck_assert_ptr_nonnull(cfg);
    ck_assert_int_eq(bbm_config_customer(cfg, "c")->rate_ref->burst, 100);
    const bbm_route *r = bbm_config_route(cfg, "/book/7?x=1", NULL);
    ck_assert_str_eq(r->name, "b");
    ck_assert_ptr_null(bbm_config_route(cfg, "/bookings", NULL));
    ck_assert_ptr_null(bbm_config_route(cfg, "/v1/completions", "other"));
    bbm_config_destroy(cfg);
}
END_TEST

START_TEST(every_mistake_is_named)
{
    expect_mistake("\"rate\":\"r\"", "\"rate\":\"x\"",
                   "found \"x\"; allowed: a name in rates");
    expect_mistake("\"tokens_per_s\":10", "\"tokens_per_s\":0",
                   "rates[0].tokens_per_s: found 0");
    expect_mistake("\"tokens_per_s\":10", "\"tokens_per_s\":1.5",
                   "allowed: a whole number");
    expect_mistake("\"burst\":100", "\"burst\":100,\"colour\":1",
                   "rates[0].colour: unknown field");
    expect_mistake("{\"name\":\"v1\"}", "{\"name\":\"v2\"}", "named twice");
    expect_mistake("{\"name\":\"v1\"}", "{\"name\":\"v1\",\"base\":\"v2\"}",
                   "builds on itself");
    expect_mistake("\"services\":[\"s\"]", "\"services\":[]",
                   "has no upstream");
    expect_mistake("\"services\":[\"s\"]", "\"services\":[\"t\"]",
                   "services[0]: found \"t\"");
    expect_mistake("http://127.0.0.1:1", "ftp://x", "allowed: http://");
    expect_mistake("/book", "/metrics", "is the daemon's own");
    expect_mistake("\"model\":\"m\",\"zone\"", "\"zone\"",
                   "engines[0].model: missing");
    expect_mistake("\"services\":[\"s\"]",
                   "\"open\":true,\"services\":[\"s\"]",
                   "an open route must be repeatable");
}
END_TEST

START_TEST(all_mistakes_come_at_once)
{
    static const char bad[] =
        "{\"rates\":[{\"name\":\"r\",\"tokens_per_s\":0,\"burst\":0}],"
        "\"customers\":[{\"name\":\"a b\",\"rate\":\"none\"}],\"x\":1}";
    bbm_doc_errors wrong = {0};
    ck_assert_ptr_null(bbm_config_create(bad, strlen(bad), &wrong));
    ck_assert_uint_eq(wrong.total, 5);
    bbm_doc_errors_free(&wrong);
}
END_TEST

START_TEST(a_mistake_is_plain_text_whatever_was_found)
{
    /* Cut within a letter of several bytes it would not be valid text. */
    char name[121] = "";
    for (size_t i = 0; i < 120; i += 2) {
        name[i] = (char)0xc5;
        name[i + 1] = (char)0xbe;
    }
    char text[512];
    snprintf(text, sizeof(text),
             "{\"customers\":[{\"name\":\"%sx\",\"rate\":\"r\"}]}", name);
    bbm_doc_errors wrong = {0};
    ck_assert_ptr_null(bbm_config_create(text, strlen(text), &wrong));
    ck_assert_uint_gt(wrong.len, 0);
    for (size_t i = 0; i < wrong.len; i++) {
        for (const char *c = wrong.lines[i]; *c; c++)
            ck_assert((unsigned char)*c < 0x80);
    }
    bbm_doc_errors_free(&wrong);
}
END_TEST

START_TEST(doubled_fields_and_broken_json_are_refused)
{
    static const char *const bad[] = {
        "{\"rates\":[],\"rates\":[]}",
        "{",
        "[]",
        "\"x\"",
        "",
        "{\"rates\":[{\"name\":\"r\",\"burst\":99999999999999999999}]}"};
    for (size_t i = 0; i < BBM_COUNT(bad); i++) {
        bbm_doc_errors wrong = {0};
        ck_assert_ptr_null(bbm_config_create(bad[i], strlen(bad[i]), &wrong));
        ck_assert_uint_gt(wrong.total, 0);
        bbm_doc_errors_free(&wrong);
    }
}
END_TEST

TEST_MAIN("config", good_document_is_taken, every_mistake_is_named,
          all_mistakes_come_at_once,
          a_mistake_is_plain_text_whatever_was_found,
          doubled_fields_and_broken_json_are_refused);
