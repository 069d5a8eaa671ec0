/* The provider's wire formats: translation into the router's types. */
#include "bbm_codes.h"
#include "bbm_config.h"
#include "bbm_platform.h"
#include "front_provider.h"
#include "events.h"
#include "test_main.h"

#include <stdio.h>
#include <string.h>

static const uint8_t secret[BBM_DIGEST_SIZE] = {1};

#define SERVICES                                                              \
    "\"services\":[{\"name\":\"llm\",\"max-connections\":370,\"engine\":{"    \
    "\"slots\":64,\"kv-capacity\":113846,\"kv-token-bytes\":163840,"          \
    "\"link-mbps\":550000.0,\"models\":[{\"name\":\"m\"}]}},"                 \
    "{\"name\":\"api\",\"max-connections\":110},"                             \
    "{\"name\":\"kv\",\"kv-store-addr\":\"172.20.0.2:8604\",\"zone\":\"b\","  \
    "\"kv-capacity\":1293717}]"
#define LIMITS                                                                \
    "\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,"      \
    "\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}"
#define TENANTS                                                               \
    "\"tenants\":[{\"name\":\"t\",\"api-keys\":[\"k1\",\"k2\"],"              \
    "\"priority\":1,\"unit\":\"tokens\",\"uncached-tokens\":200,"             \
    "\"isolated\":true,\"rate-per-s\":211813,\"burst\":211813}]"
#define ROUTE(extra)                                                          \
    "{\"name\":\"r\",\"host\":\"a.example\",\"path-prefix\":\"/x/\","         \
    "\"type\":\"stream\",\"target-latency-ms\":600,\"priority\":1,"           \
    "\"max-attempts\":2,\"public\":false,\"sticky\":true,"                    \
    "\"resumable\":true,\"target-gap-ms\":300," extra "}"
#define CONFIG(routes, tenants)                                               \
    "{\"version\":7,\"routes\":[" routes "]," SERVICES "," LIMITS "," tenants \
    "}"

/* Translate and load a configuration; NULL if either step rejects it.  The
   caller destroys it. */
static bbm_config *
read_config(const char *text)
{
    platform_config c;
    bbm_doc_errors errors = {0};
    bbm_config *cfg = NULL;
    if (platform_config_read(text, strlen(text), secret, &c) == BBM_OK)
        cfg = bbm_config_create((char *)c.document.data, c.document.len,
                                &errors);
    bbm_buf_free(&c.document);
    bbm_doc_errors_free(&errors);
    return cfg;
}

START_TEST(config_is_translated)
{
    bbm_config *cfg = read_config(CONFIG(
        ROUTE("\"timeout-ms\":6000,\"traffic-split\":[{\"service\":\"llm\","
              "\"weight\":90},{\"service\":\"api\",\"weight\":10}]"),
        TENANTS));
    ck_assert_ptr_nonnull(cfg);
    const bbm_route *r = bbm_config_host_route(cfg, "A.example", "/x/y?z");
    ck_assert_ptr_nonnull(r);
    ck_assert(r->stream && r->resumable && r->prompts && !r->repeatable);
    ck_assert_int_eq(r->timeout_ms, 6000);
    ck_assert_uint_eq(r->pools.len, 2);
    ck_assert_int_eq(r->shares.items[0], 90);
    ck_assert_ptr_null(bbm_config_host_route(cfg, "b.example", "/x/y"));
    ck_assert_ptr_null(bbm_config_host_route(cfg, "a.example", "/xy"));
    const bbm_pool *pool = bbm_config_pool(cfg, "llm");
    ck_assert(pool->is_engine);
    ck_assert_int_eq(pool->memory_tokens, 113846);
    ck_assert(!bbm_config_pool(cfg, "api")->is_engine);
    ck_assert_str_eq(cfg->stores->address, "172.20.0.2:8604");
    const bbm_customer *c = bbm_config_customer(cfg, "t");
    ck_assert(c->private_cache && !c->by_request);
    ck_assert_int_eq(c->rate_ref->tokens_per_s, 211813);
    ck_assert_int_eq(cfg->limits->idle_ms, 15000);
    ck_assert_uint_eq(HASH_COUNT(cfg->keys), 2);
    bbm_config_destroy(cfg);
}
END_TEST

START_TEST(invalid_configs_are_rejected)
{
    static const char *const texts[] = {
        "{\"version\":7,\"routes\":[",
        "[]",
        "{\"version\":0,\"routes\":[],\"services\":[]}",
        CONFIG(ROUTE("\"timeout-ms\":6000,\"service\":\"none\""), TENANTS),
        CONFIG(ROUTE("\"timeout-ms\":0,\"service\":\"llm\""), TENANTS),
        CONFIG(ROUTE("\"timeout-ms\":1,\"traffic-split\":[{\"service\":"
                     "\"llm\",\"weight\":0}]"),
               TENANTS),
        CONFIG(
            ROUTE(
                "\"timeout-ms\":1,\"service\":\"llm\"") ","
                                                        "{\"name\":\"s\","
                                                        "\"host\":\"a."
                                                        "example\",\"path-"
                                                        "prefix\":"
                                                        "\"/x/"
                                                        "\",\"type\":\"safe\","
                                                        "\"timeout-ms\":5,"
                                                        "\"service\":\"api\"}",
            TENANTS),
        CONFIG(ROUTE("\"timeout-ms\":1,\"service\":\"llm\""),
               "\"tenants\":[{\"name\":\"t\",\"api-keys\":[\"k\"]},"
               "{\"name\":\"u\",\"api-keys\":[\"k\"]}]"),
    };
    for (size_t i = 0; i < BBM_COUNT(texts); i++) {
        bbm_config *cfg = read_config(texts[i]);
        ck_assert_msg(cfg == NULL, "text %zu was accepted", i);
    }
    bbm_config *cfg = read_config(CONFIG(
        ROUTE("\"timeout-ms\":1,\"service\":\"llm\""), "\"tenants\":[]"));
    ck_assert_ptr_nonnull(cfg);
    bbm_config_destroy(cfg);
}
END_TEST

START_TEST(listing_page_is_parsed)
{
    static const char text[] =
        "{\"instances\":[{\"service\":\"llm\",\"address\":\"10.0.0.9:80\","
        "\"zone\":\"a\",\"version\":\"v1\",\"slots\":64,\"state\":\"ready\","
        "\"models\":[{\"name\":\"m\",\"version\":3}],\"id\":\"i-1\","
        "\"born\":17},"
        "{\"service\":\"llm\",\"address\":\"10.0.0.8:80\",\"zone\":\"a\","
        "\"slots\":4,\"state\":\"draining\",\"id\":\"i-2\"},"
        "{\"id\":\"i-3\"},7,null,"
        "{\"service\":\"llm\",\"address\":\"nowhere\",\"zone\":\"a\","
        "\"slots\":4,\"state\":\"ready\",\"id\":\"i-4\"},"
        "{\"service\":\"llm\",\"address\":\"10.0.0.8:80\",\"zone\":\"a\","
        "\"slots\":\"many\",\"state\":\"ready\",\"id\":\"i-5\"},"
        "{\"service\":\"llm\",\"address\":\"10.0.0.8:80\",\"zone\":\"a\","
        "\"slots\":4,\"state\":\"asleep\",\"id\":\"i-6\"}],"
        "\"next-token\":\"p-50\"}";
    bbm_listing l = {0};
    size_t bad = 0;
    char next[BBM_NAME_SIZE];
    ck_assert_int_eq(platform_listing_read(text, strlen(text), &l, &bad, next),
                     BBM_OK);
    ck_assert_str_eq(next, "p-50");
    ck_assert_uint_eq(l.len, 2);
    ck_assert_uint_eq(bad, 6);
    const bbm_listing_entry *entry = bbm_listing_find(&l, "i-1");
    ck_assert_uint_eq(bbm_listing_entry_version(entry, "m"), 3);
    ck_assert_uint_eq(entry->started_at_ms, 17);
    ck_assert(bbm_listing_find(&l, "i-2")->leaving);
    bbm_listing_free(&l);
    ck_assert_int_lt(platform_listing_read("{", 1, &l, &bad, next), 0);
}
END_TEST

/* DRAIN: one entry with bytes that aren't UTF-8 hid the whole list, and a
   leaving upstream went on getting requests.  Entries that the parser refuses
   as a whole name no upstream; the others hold. */
START_TEST(unreadable_entries_hide_no_others)
{
    static const char *const bad_entries[] = {
        "{\"id\":\"\xff\xfe\",\"service\":\"api\"}",
        "{\"id\":\"a\\u0000b\",\"service\":\"api\"}",
        "{\"id\":\"i-3\",\"slots\":99999999999999999999}",
        "{\"id\":\"i-3\",\"slots\":1e999}",
        "{\"id\":\"i-3\",\"slots\":tru}",
        "{\"id\" \"i-3\"}",
        "{\"id\":\"i-3,]}\",\"zone\":\"\x80\"}",
        "{\"id\":\"\\\"]\\ud800\",\"list\":[[1,\"}\"],{\"a\":.}]}",
        "nul",
        "\"\x01\"",
    };
    static const char good[] =
        "{\"id\":\"%s\",\"service\":\"api\",\"address\":\"10.0.0.1:80\","
        "\"zone\":\"z\",\"slots\":6,\"state\":\"%s\"}";
    for (size_t i = 0; i < BBM_COUNT(bad_entries); i++) {
        char first[256];
        char last[256];
        char text[1024];
        char next[BBM_NAME_SIZE];
        bbm_listing l = {0};
        size_t bad = 0;
        snprintf(first, sizeof(first), good, "i-1", "draining");
        snprintf(last, sizeof(last), good, "i-2", "ready");
        snprintf(text, sizeof(text),
                 " {\"instances\": [%s , %s, %s], \"next-token\":\"p-2\"} ",
                 first, bad_entries[i], last);
        ck_assert_int_eq(
            platform_listing_read(text, strlen(text), &l, &bad, next), BBM_OK);
        ck_assert_msg(l.len == 2 && bad == 1, "row %zu: %zu, %zu", i, l.len,
                      bad);
        ck_assert(bbm_listing_find(&l, "i-1")->leaving);
        ck_assert_str_eq(next, "p-2");
        bbm_listing_free(&l);
    }
}
END_TEST

/* A page that is cut anywhere is refused: entries that are missing would count
   as gone. */
START_TEST(page_without_its_end_is_refused)
{
    static const char text[] =
        "{\"instances\":[{\"id\":\"\xff\",\"service\":\"api\"},{\"id\":\"b\","
        "\"service\":\"api\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
        "\"slots\":6,\"state\":\"ready\"}],\"next-token\":null}";
    char next[BBM_NAME_SIZE];
    for (size_t len = 0; len <= strlen(text); len++) {
        bbm_listing l = {0};
        size_t bad = 0;
        int rc = platform_listing_read(text, len, &l, &bad, next);
        ck_assert_msg((rc == BBM_OK) == (len == strlen(text)), "%zu bytes",
                      len);
        bbm_listing_free(&l);
    }
    /* A comma is missing: where an entry ends is in doubt. */
    static const char undivided[] =
        "{\"instances\":[{\"id\":\"a\"} {\"id\":\"b\"}]}";
    bbm_listing l = {0};
    size_t bad = 0;
    ck_assert_int_lt(
        platform_listing_read(undivided, strlen(undivided), &l, &bad, next),
        0);
}
END_TEST

/* A runner's report names the ids of its requests, which its clients chose. */
START_TEST(report_is_read_beside_unreadable_ids)
{
    static const char text[] =
        "{\"busy\":false,\"sequence\":3,\"models\":[{\"name\":\"m\","
        "\"version\":2}],\"runs\":[[\"\xff\",1,2,3]],\"born\":5}";
    bbm_runner_report r;
    ck_assert_int_eq(platform_report_read(text, strlen(text), &r), BBM_OK);
    ck_assert_uint_eq(r.sequence, 3);
    ck_assert_uint_eq(r.started_at_ms, 5);
    ck_assert_uint_eq(r.models[0].version, 2);
}
END_TEST

START_TEST(statements_of_brittle_upstreams_are_read)
{
    static const struct {
        const char *value;
        bool brittle;
        double refusals_max;
    } cases[] = {
        {"0", true, 0},    {"5", true, 5},     {"1.5", true, 1.5},
        {"", false, 0},    {"-1", false, 0},   {"many", false, 0},
        {"1e3", false, 0}, {"5 ,6", false, 0}, {"99999999999", true, 1e6}};
    for (size_t i = 0; i < BBM_COUNT(cases); i++) {
        platform_response a = {.keep_alive_s = -1};
        bbm_upstream_notice notice;
        platform_response_add_header(&a, "id", "server-brittle",
                                     cases[i].value);
        platform_response_notice(&a, 200, &notice);
        ck_assert_int_eq(notice.brittle, cases[i].brittle);
        ck_assert_double_eq(notice.refusals_max, cases[i].refusals_max);
        ck_assert_int_eq(notice.invalid, !cases[i].brittle);
    }
}
END_TEST

/* Builds have no order, may be long or absent, and a wrong type makes the
   entry useless. */
START_TEST(builds_of_upstreams_are_told_apart)
{
    static const char entry[] =
        "{\"instances\":[{\"service\":\"p\",\"address\":\"10.0.0.1:1\","
        "\"zone\":\"z\",\"state\":\"ready\",\"id\":\"i\"%s%s}],"
        "\"next-token\":null}";
    char long_a[260];
    char long_b[260];
    snprintf(long_a, sizeof(long_a), "\"%0200da\"", 7);
    snprintf(long_b, sizeof(long_b), "\"%0200db\"", 7);
    const char *const versions[] = {"\"v1\"", "\"v1.1\"", "\"v1.10\"",
                                    "",       long_a,     long_b};
    uint64_t origins[BBM_COUNT(versions)];
    for (size_t i = 0; i < BBM_COUNT(versions); i++) {
        char text[1024];
        char next[BBM_NAME_SIZE];
        size_t bad = 0;
        bbm_listing l = {0};
        snprintf(text, sizeof(text), entry,
                 versions[i][0] ? ",\"version\":" : "", versions[i]);
        ck_assert_int_eq(
            platform_listing_read(text, strlen(text), &l, &bad, next), 0);
        ck_assert_uint_eq(l.len, 1);
        origins[i] = bbm_origin_of("p", l.items[0].build);
        ck_assert_uint_ne(origins[i], bbm_origin_of("q", l.items[0].build));
        for (size_t k = 0; k < i; k++)
            ck_assert_uint_ne(origins[i], origins[k]);
        bbm_listing_free(&l);
    }
    char text[1024];
    char next[BBM_NAME_SIZE];
    size_t bad = 0;
    bbm_listing l = {0};
    snprintf(text, sizeof(text), entry, ",\"version\":", "7");
    ck_assert_int_eq(platform_listing_read(text, strlen(text), &l, &bad, next),
                     0);
    ck_assert_uint_eq(bad, 1);
    bbm_listing_free(&l);
}
END_TEST

START_TEST(stream_that_is_taken_up_names_its_first_attempt)
{
    platform_request r = {0};
    bbm_gate_request_desc first = {0};
    bbm_gate_request_desc again = {0};
    ck_assert(
        platform_request_add_header(&r, "X-Bluebellmoor-Attempt-Id", "a1"));
    platform_request_describe(&r, &first);
    ck_assert(!first.resumes);
    platform_request_free(&r);
    ck_assert(
        platform_request_add_header(&r, "X-Bluebellmoor-Attempt-Id", "a2"));
    ck_assert(platform_request_add_header(&r, "resumes", "a1"));
    ck_assert(platform_request_add_header(&r, "Last-Event-Id", "12"));
    platform_request_describe(&r, &again);
    ck_assert(again.resumes);
    ck_assert_uint_eq(again.first_id_hash, first.id_hash);
    ck_assert_uint_ne(again.id_hash, first.id_hash);
    platform_request_free(&r);
}
END_TEST

/* A VM of an older version sends no builds. */
START_TEST(listing_diff_without_builds_is_read)
{
    bbm_listing a = {0};
    bbm_listing b = {0};
    bbm_listing_add(&a, &(bbm_listing_entry){.id = "x", .build = "v2"});
    bbm_buf buf = {0};
    ck_assert_uint_eq(bbm_listing_diff(NULL, &a, true, &buf), 1);
    bbm_reader rd = bbm_reader_of(buf.data, buf.len);
    bbm_listing_patch(&b, &rd, true);
    ck_assert(bbm_reader_done(&rd));
    ck_assert_str_eq(b.items[0].build, "v2");
    bbm_listing_free(&b);
    /* The build is the last value: its header of two bytes, and its text. */
    rd = bbm_reader_of(buf.data, buf.len - 4);
    bbm_listing_patch(&b, &rd, true);
    ck_assert(bbm_reader_done(&rd));
    ck_assert_str_eq(b.items[0].build, "");
    bbm_listing_free(&a);
    bbm_listing_free(&b);
    bbm_buf_free(&buf);
}
END_TEST

START_TEST(listing_diff_can_be_applied)
{
    bbm_listing a = {0};
    bbm_listing b = {0};
    bbm_listing c = {0};
    bbm_listing_add(&a, &(bbm_listing_entry){.id = "x", .pool = "p"});
    bbm_listing_add(&a, &(bbm_listing_entry){.id = "y", .pool = "p"});
    bbm_listing_copy(&c, &a);
    bbm_listing_add(
        &b, &(bbm_listing_entry){.id = "y", .pool = "p", .leaving = true});
    bbm_listing_add(&b, &(bbm_listing_entry){.id = "z", .pool = "q"});
    bbm_buf buf = {0};
    ck_assert_uint_eq(bbm_listing_diff(&a, &b, true, &buf), 3);
    bbm_reader rd = bbm_reader_of(buf.data, buf.len);
    bbm_listing_patch(&c, &rd, true);
    ck_assert(bbm_reader_done(&rd));
    bbm_buf none = {0};
    ck_assert_uint_eq(bbm_listing_diff(&b, &c, true, &none), 0);
    bbm_buf_free(&buf);
    bbm_buf_free(&none);
    bbm_listing_free(&a);
    bbm_listing_free(&b);
    bbm_listing_free(&c);
}
END_TEST

/* A caller must not set headers by which upstreams trust the router, or that
   concern its own connection alone. */
START_TEST(reserved_headers_are_not_forwarded)
{
    static const char *const reserved[] = {
        "X-Bluebellmoor-Retain",
        "x-bluebellmoor-pin-ms",
        "X-Bluebellmoor-Kv-Backup",
        "Kv-From",
        "X-Bluebellmoor-Cache-Salt",
        "X-Bluebellmoor-Kv-Source",
        "X-Bluebellmoor-Kv-Target",
        "X-Bluebellmoor-Tenant",
        "X-Bluebellmoor-Expect-Instance",
        "X-Bluebellmoor-Expect-Version",
        "X-Bluebellmoor-Request-Priority",
        "X-Bluebellmoor-Deadline-Ms",
        "Authorization",
        "Connection",
        "Transfer-Encoding",
        "Content-Length",
        "Upgrade",
        "TE",
    };
    for (size_t i = 0; i < BBM_COUNT(reserved); i++) {
        platform_request c = {0};
        ck_assert_msg(!platform_request_add_header(&c, reserved[i], "1"),
                      "%s is forwarded", reserved[i]);
    }
    platform_request c = {0};
    ck_assert(
        platform_request_add_header(&c, "X-Bluebellmoor-Attempt-Id", "a1"));
    ck_assert(
        platform_request_add_header(&c, "X-Bluebellmoor-Length-Hint", "9"));
    ck_assert(platform_request_add_header(&c, "Last-Event-Id", "4"));
    ck_assert_str_eq(c.id, "a1");
    ck_assert(platform_connection_has_option("close, X-Private", "x-private"));
    ck_assert(!platform_connection_has_option("close, X-Private", "x-priv"));
}
END_TEST

START_TEST(prompt_headers_are_parsed)
{
    platform_request c = {0};
    bbm_gate_request_desc desc = {0};
    platform_request_add_header(&c, "X-Bluebellmoor-Token-Count", "1460,80");
    platform_request_add_header(&c, "X-Bluebellmoor-Prefix-Hash",
                                "5c1e07a2:800,91bd3f06:410,e4402b7d:250");
    platform_request_add_header(&c, "X-Bluebellmoor-Model", "m");
    platform_request_add_header(&c, "X-Bluebellmoor-Deadline-Ms", "6000");
    platform_request_add_header(&c, "Authorization", "bearer key");
    platform_request_describe(&c, &desc);
    ck_assert_int_eq(desc.prompt_tokens, 1460);
    ck_assert_int_eq(desc.output_tokens_max, 80);
    ck_assert_uint_eq(desc.parts_len, 3);
    ck_assert_uint_eq(desc.parts[1].tokens, 410);
    ck_assert_int_eq(desc.client_timeout, 6 * BBM_SECOND);
    ck_assert_str_eq(c.key, "key");
    platform_request_free(&c);
}
END_TEST

/* Request smuggling: if the router and an upstream disagree about where a body
   ends, its rest is read as another caller's request. */
START_TEST(ambiguous_framing_is_detected)
{
    static const struct {
        const char *names[2];
        const char *values[2];
        bool ambiguous;
    } rows[] = {
        {{"Content-Length", "X"}, {"5", ""}, false},
        {{"Transfer-Encoding", "X"}, {"chunked", ""}, false},
        {{"Content-Length", "Content-Length"}, {"5", "6"}, true},
        {{"Content-Length", "Transfer-Encoding"}, {"5", "chunked"}, true},
        {{"Transfer-Encoding", "X"}, {"xchunked", ""}, true},
        {{"Transfer-Encoding", "X"}, {"gzip, chunked", ""}, true},
        {{"Content-Length", "X"}, {"+5", ""}, true},
        {{"Content-Length", "X"}, {"", ""}, true},
        {{"Transfer-Encoding ", "X"}, {"chunked", ""}, true},
    };
    for (size_t i = 0; i < BBM_COUNT(rows); i++) {
        platform_request c = {0};
        for (int k = 0; k < 2; k++)
            platform_request_add_header(&c, rows[i].names[k],
                                        rows[i].values[k]);
        ck_assert_msg((c.ambiguous_framing || c.invalid_header_name)
                          == rows[i].ambiguous,
                      "row %zu", i);
    }
}
END_TEST

START_TEST(response_heads_are_classified)
{
    bbm_forward_request not_repeatable = {.repeatable = false};
    bbm_forward_request repeatable_request = {.repeatable = true};
    bbm_forward_outcome outcome;
    ck_assert(bbm_gate_accept_head(
        &not_repeatable,
        &(bbm_response_head){.status = 200, .has_signature = true}, &outcome));
    /* Bytes without the upstream's signature are no success of it. */
    ck_assert(!bbm_gate_accept_head(
        &not_repeatable, &(bbm_response_head){.status = 200}, &outcome));
    ck_assert_int_eq(outcome, BBM_FORWARD_NO_ANSWER);
    /* On a connection that is in use again, an answer without an id may be
       another request's, and so may a refusal. */
    bbm_response_head reused = {
        .status = 200, .has_signature = true, .reused_connection = true};
    ck_assert(!bbm_gate_accept_head(&not_repeatable, &reused, &outcome));
    ck_assert_int_eq(outcome, BBM_FORWARD_NO_ANSWER);
    reused.not_run = true;
    ck_assert(!bbm_gate_accept_head(&not_repeatable, &reused, &outcome));
    ck_assert_int_eq(outcome, BBM_FORWARD_NO_ANSWER);
    reused.not_run = false;
    reused.has_request_id = true;
    ck_assert(bbm_gate_accept_head(&not_repeatable, &reused, &outcome));
    ck_assert(bbm_gate_accept_head(
        &not_repeatable, &(bbm_response_head){.status = 500}, &outcome));
    ck_assert(bbm_gate_accept_head(
        &not_repeatable, &(bbm_response_head){.status = 404}, &outcome));
    /* Callers take these statuses as a promise that the request didn't run.
       They are never passed on: without the upstream's mark "not executed" the
       request may have run, and the attempt counts as failed. */
    static const uint32_t not_run_statuses[] = {408, 429, 503};
    for (size_t i = 0; i < BBM_COUNT(not_run_statuses); i++) {
        bbm_response_head h = {.status = not_run_statuses[i]};
        ck_assert(!bbm_gate_accept_head(&not_repeatable, &h, &outcome));
        ck_assert_int_eq(outcome, BBM_FORWARD_FAILED);
        h.not_run = true;
        ck_assert(!bbm_gate_accept_head(&not_repeatable, &h, &outcome));
        ck_assert_int_eq(outcome, BBM_FORWARD_NOT_RUN);
    }
    ck_assert(!bbm_gate_accept_head(
        &repeatable_request, &(bbm_response_head){.status = 500}, &outcome));
    ck_assert_int_eq(outcome, BBM_FORWARD_FAILED);
    ck_assert(!bbm_gate_accept_head(
        &not_repeatable,
        &(bbm_response_head){.status = 200, .wrong_request_id = true},
        &outcome));
    ck_assert_int_eq(outcome, BBM_FORWARD_NO_ANSWER);
    ck_assert(!bbm_gate_accept_head(
        &not_repeatable,
        &(bbm_response_head){
            .status = 200, .has_signature = true, .unexpected_encoding = true},
        &outcome));
}
END_TEST

/* The response carries the id of the attempt; another id means that it belongs
   to another request. */
START_TEST(mismatched_attempt_id_is_detected)
{
    platform_response a = {.keep_alive_s = -1};
    platform_response_add_header(&a, "a1", "X-Bluebellmoor-Attempt-Id", "a1");
    ck_assert(!a.head.wrong_request_id);
    platform_response_add_header(&a, "a1", "X-Bluebellmoor-Attempt-Id", "a2");
    ck_assert(a.head.wrong_request_id);
    ck_assert(
        !platform_response_add_header(&a, "a1", "Keep-Alive", "timeout=10"));
    ck_assert_int_eq(a.keep_alive_s, 10);
    ck_assert(platform_response_add_header(
        &a, "a1", "X-Bluebellmoor-Server-Stamp", "s"));
    ck_assert(!platform_response_add_header(&a, "a1", "Connection", "close"));
    ck_assert(a.closes);
}
END_TEST

/* Retry-After counts with status 503 only, as seconds with a fraction. */
START_TEST(notices_of_upstreams_are_parsed)
{
    static const struct {
        const char *name;
        const char *value;
        uint32_t status;
        bbm_upstream_notice expected;
    } rows[] = {
        {"Server-Leaving", "1", 200, {.leaving = true}},
        {"server-leaving", "1", 404, {.leaving = true}},
        {"Server-Leaving", "0", 200, {.invalid = true}},
        {"Server-Leaving", "yes", 200, {.invalid = true}},
        {"Server-Leaving", "", 200, {.invalid = true}},
        {"Retry-After", "2", 503, {.pause = 2 * BBM_SECOND}},
        {"Retry-After", "2", 200, {0}},
        {"Retry-After", "0.25", 503, {.pause = 250 * BBM_MS}},
        {"Retry-After", "0", 503, {0}},
        {"Retry-After", "-3", 503, {.invalid = true}},
        {"Retry-After", "1e9", 503, {.invalid = true}},
        {"Retry-After", "inf", 503, {.invalid = true}},
        {"Retry-After", "", 503, {.invalid = true}},
        {"Retry-After", "1.", 503, {.invalid = true}},
        {"Retry-After",
         "Fri, 31 Dec 1999 23:59:59 GMT",
         503,
         {.invalid = true}},
        {"Retry-After",
         "99999999999999999999999999",
         503,
         {.pause = 86400 * BBM_SECOND}},
        {"Retry-Later", "2", 503, {0}},
        {"Server-Limit", "1.2", 200, {.limited = true, .limit = 1.2}},
        {"server-limit", "3", 503, {.limited = true, .limit = 3}},
        {"Server-Limit", "0", 200, {.limited = true, .limit = 0}},
        {"Server-Limit", "0.05", 200, {.limited = true, .limit = 0.05}},
        {"Server-Limit",
         "9999999999999999999999999999999999999999",
         200,
         {.limited = true, .limit = 1e6}},
        {"Server-Limit", "-1", 200, {.invalid = true}},
        {"Server-Limit", "nan", 200, {.invalid = true}},
        {"Server-Limit", "inf", 200, {.invalid = true}},
        {"Server-Limit", "1e400", 200, {.invalid = true}},
        {"Server-Limit", "0x10", 200, {.invalid = true}},
        {"Server-Limit", "1,2", 200, {.invalid = true}},
        {"Server-Limit", "", 200, {.invalid = true}},
    };
    for (size_t i = 0; i < BBM_COUNT(rows); i++) {
        platform_response a = {.keep_alive_s = -1};
        bbm_upstream_notice notice;
        platform_response_add_header(&a, "a1", rows[i].name, rows[i].value);
        platform_response_notice(&a, rows[i].status, &notice);
        ck_assert_msg(notice.leaving == rows[i].expected.leaving
                          && notice.pause == rows[i].expected.pause
                          && notice.limited == rows[i].expected.limited
                          && notice.limit == rows[i].expected.limit
                          && notice.invalid == rows[i].expected.invalid,
                      "row %zu", i);
    }
}
END_TEST

static uint64_t
fingerprint_of(const char *method, const char *host, const char *target,
               const char *prompt, const char *timeout, const char *body)
{
    exchange *ex = exchange_create(EXCHANGE_POOL, 1);
    ex->method = bbm_strdup(method);
    ex->host = bbm_strdup(host);
    ex->request_target = bbm_strdup(target);
    platform_request_add_header(&ex->parsed_headers,
                                "X-Bluebellmoor-Prefix-Hash", prompt);
    platform_request_add_header(&ex->parsed_headers,
                                "X-Bluebellmoor-Deadline-Ms", timeout);
    platform_request_add_header(&ex->parsed_headers,
                                "X-Bluebellmoor-Attempt-Id", timeout);
    platform_request_add_header(&ex->parsed_headers, "Last-Event-Id", timeout);
    bbm_buf_add(&ex->body, body, strlen(body));
    front_provider_set_fingerprint(ex);
    uint64_t fingerprint = ex->fingerprint;
    exchange_unref(ex);
    return fingerprint;
}

/* A repeat has another id and another timeout. */
START_TEST(repeats_have_the_same_fingerprint)
{
    uint64_t first = fingerprint_of("GET", "h", "/a?b", "1:2,3:4", "100", "x");
    ck_assert(first
              == fingerprint_of("GET", "h", "/a?b", "1:2,3:4", "700", "x"));
    ck_assert(first
              != fingerprint_of("PUT", "h", "/a?b", "1:2,3:4", "100", "x"));
    ck_assert(first
              != fingerprint_of("GET", "i", "/a?b", "1:2,3:4", "100", "x"));
    ck_assert(first
              != fingerprint_of("GET", "h", "/a?c", "1:2,3:4", "100", "x"));
    ck_assert(first
              != fingerprint_of("GET", "h", "/a?b", "1:2,3:5", "100", "x"));
    ck_assert(first
              != fingerprint_of("GET", "h", "/a?b", "1:2,3:4", "100", "y"));
}
END_TEST

START_TEST(lower_of_two_limits_holds)
{
    platform_response a = {.keep_alive_s = -1};
    bbm_upstream_notice notice;
    platform_response_add_header(&a, "a1", "Server-Limit", "4");
    platform_response_add_header(&a, "a1", "Server-Limit", "2.5");
    platform_response_add_header(&a, "a1", "Server-Limit", "3");
    platform_response_notice(&a, 200, &notice);
    ck_assert(notice.limited);
    ck_assert(notice.limit == 2.5);
}
END_TEST

/* A client's timeout is a number that it chose freely. */
START_TEST(client_timeout_does_not_overflow)
{
    static const char *const values[] = {
        "9223372036854775807", "9300000000000", "99999999999999999999999"};
    for (size_t i = 0; i < BBM_COUNT(values); i++) {
        platform_request c = {0};
        bbm_gate_request_desc desc = {0};
        platform_request_add_header(&c, "X-Bluebellmoor-Deadline-Ms",
                                    values[i]);
        platform_request_describe(&c, &desc);
        ck_assert_int_gt(desc.client_timeout, 86400 * BBM_SECOND);
        ck_assert_int_lt(desc.client_timeout, BBM_NEVER / 2);
    }
}
END_TEST

START_TEST(orders_and_reports)
{
    bbm_rollout_action act = {.version = 2, .sequence = 4, .fence = 41};
    bbm_name_set(act.model, "m");
    bbm_buf body = {0};
    platform_order_body(&act, "vm-7", &body);
    bbm_buf_add(&body, "", 1);
    ck_assert_ptr_nonnull(strstr((char *)body.data, "\"precondition\":4"));
    ck_assert_ptr_nonnull(strstr((char *)body.data, "\"fencing-token\":41"));
    ck_assert_ptr_nonnull(strstr((char *)body.data, "\"mode\":\"wait\""));
    bbm_buf_free(&body);
    static const char text[] =
        "{\"phase\":\"both\",\"models\":[{\"name\":\"m\",\"version\":1}],"
        "\"busy\":true,\"sequence\":2,\"queued\":1,\"born\":99}";
    bbm_runner_report r;
    ck_assert_int_eq(platform_report_read(text, strlen(text), &r), BBM_OK);
    ck_assert(r.order_in_progress);
    ck_assert_uint_eq(r.sequence, 2);
    ck_assert_uint_eq(r.started_at_ms, 99);
    ck_assert_int_lt(platform_report_read("{}", 2, &r), 0);
    ck_assert_int_eq(platform_order_answer(412), BBM_ORDER_FENCED);
    ck_assert_int_eq(platform_order_answer(500), BBM_ORDER_NO_ANSWER);
}
END_TEST

START_TEST(events_are_split_when_complete)
{
    event_splitter c = {0};
    ck_assert_uint_eq(event_splitter_append(&c, "id: 1\nda", 8), 0);
    size_t n = event_splitter_append(&c, "ta: x\n\nid: 2\ndata", 17);
    ck_assert_uint_eq(n, 15);
    ck_assert_str_eq(c.last_id, "1");
    event_splitter_consume(&c, n);
    ck_assert_uint_eq(c.bytes.len, 10);
    n = event_splitter_append(&c, ": y\r\n\r\n", 7);
    ck_assert_uint_eq(n, 17);
    ck_assert_str_eq(c.last_id, "2");
    event_splitter_free(&c);
}
END_TEST

/* MIXED's check of the id compared it with the first 63 bytes of the client's:
   no answer to a longer id was ever passed on. */
START_TEST(answers_to_a_long_id_are_its_own)
{
    char id[201];
    memset(id, 'i', sizeof(id) - 1);
    id[sizeof(id) - 1] = '\0';
    platform_request c = {0};
    platform_request_add_header(&c, "X-Bluebellmoor-Attempt-Id", id);
    platform_response a = {0};
    platform_response_add_header(&a, c.id, "X-Bluebellmoor-Attempt-Id", id);
    ck_assert(a.head.has_request_id && !a.head.wrong_request_id);
    id[199] = 'j';
    a = (platform_response){0};
    platform_response_add_header(&a, c.id, "X-Bluebellmoor-Attempt-Id", id);
    ck_assert(a.head.wrong_request_id);
    platform_request_free(&c);
}
END_TEST

/* An order with a mistake must be refused with 400, and none may be taken for
   another one. */
START_TEST(release_orders_are_read)
{
    static const char *const bad[] = {
        "",
        "{}",
        "[]",
        "{\"service\":\"s\",\"to\":\"v2\"}",
        "{\"service\":\"s\",\"duration-s\":12}",
        "{\"to\":\"v2\",\"duration-s\":12}",
        "{\"service\":\"\",\"to\":\"v2\",\"duration-s\":12}",
        "{\"service\":\"s\",\"to\":\"\",\"duration-s\":12}",
        "{\"service\":\"s\",\"to\":2,\"duration-s\":12}",
        "{\"service\":\"s\",\"to\":\"v2\",\"duration-s\":0}",
        "{\"service\":\"s\",\"to\":\"v2\",\"duration-s\":-3}",
        "{\"service\":\"s\",\"to\":\"v2\",\"duration-s\":\"12\"}",
        "{\"service\":\"s\",\"to\":\"v2\",\"duration-s\":1e99}",
        "{\"service\":\"s\",\"to\":\"v2\",\"duration-s\":12",
    };
    static const char good[] =
        "{\"service\":\"s\",\"to\":\"v2\",\"duration-s\":12.5}";
    platform_release r;
    ck_assert_int_eq(platform_release_read(good, sizeof(good) - 1, &r),
                     BBM_OK);
    ck_assert_str_eq(r.service, "s");
    ck_assert_str_eq(r.build, "v2");
    ck_assert_uint_eq(r.duration_ms, 12500);
    for (size_t i = 0; i < BBM_COUNT(bad); i++)
        ck_assert_int_eq(platform_release_read(bad[i], strlen(bad[i]), &r),
                         BBM_ERR_BAD_FIELD);
    ck_assert_int_eq(platform_call_of("POST", "/-/rollouts"),
                     PLATFORM_RELEASE_ORDER);
    ck_assert_int_eq(platform_call_of("GET", "/-/rollouts/s"),
                     PLATFORM_RELEASE_GET);
    ck_assert_str_eq(platform_release_service("/-/rollouts/s"), "s");
    ck_assert_int_eq(platform_call_of("GET", "/-/rollouts/"), PLATFORM_NONE);
    ck_assert_int_eq(platform_call_of("GET", "/-/rollouts"), PLATFORM_NONE);
    ck_assert_int_eq(platform_call_of("POST", "/-/rollouts/s"), PLATFORM_NONE);
    ck_assert_int_eq(platform_call_of("GET", "/-/rollouts/a/b"),
                     PLATFORM_NONE);
}
END_TEST

START_TEST(release_states_are_written)
{
    static const char reply[] =
        "{\"state\":\"in_progress\",\"pool\":\"s\",\"build\":\"v2\"}";
    bbm_buf out = {0};
    platform_release_body(reply, sizeof(reply) - 1, &out);
    bbm_buf_add(&out, "", 1);
    ck_assert_str_eq((char *)out.data,
                     "{\"state\":\"in_progress\",\"to\":\"v2\"}");
    bbm_buf_free(&out);
}
END_TEST

/* The build of an order and those in the list must be comparable. */
START_TEST(long_builds_are_the_same_in_orders_and_in_the_list)
{
    char version[200];
    char text[512];
    memset(version, 'v', sizeof(version) - 1);
    version[sizeof(version) - 1] = '\0';
    snprintf(text, sizeof(text),
             "{\"service\":\"s\",\"to\":\"%s\",\"duration-s\":1}", version);
    platform_release r;
    ck_assert_int_eq(platform_release_read(text, strlen(text), &r), BBM_OK);
    snprintf(text, sizeof(text),
             "{\"instances\":[{\"id\":\"i\",\"service\":\"s\",\"address\":"
             "\"10.0.0.1:80\",\"zone\":\"a\",\"state\":\"ready\","
             "\"slots\":1,\"born\":1,\"version\":\"%s\"}]}",
             version);
    bbm_listing listing = {0};
    size_t invalid = 0;
    char next[BBM_NAME_SIZE];
    ck_assert_int_eq(
        platform_listing_read(text, strlen(text), &listing, &invalid, next),
        BBM_OK);
    ck_assert_uint_eq(listing.len, 1);
    ck_assert_str_eq(listing.items[0].build, r.build);
    bbm_listing_free(&listing);
}
END_TEST

TEST_MAIN("platform", release_orders_are_read, release_states_are_written,
          long_builds_are_the_same_in_orders_and_in_the_list,
          unreadable_entries_hide_no_others, page_without_its_end_is_refused,
          report_is_read_beside_unreadable_ids,
          answers_to_a_long_id_are_its_own, config_is_translated,
          invalid_configs_are_rejected, listing_page_is_parsed,
          listing_diff_can_be_applied,
          statements_of_brittle_upstreams_are_read,
          builds_of_upstreams_are_told_apart,
          stream_that_is_taken_up_names_its_first_attempt,
          listing_diff_without_builds_is_read,
          reserved_headers_are_not_forwarded, prompt_headers_are_parsed,
          ambiguous_framing_is_detected, response_heads_are_classified,
          mismatched_attempt_id_is_detected, orders_and_reports,
          notices_of_upstreams_are_parsed, lower_of_two_limits_holds,
          repeats_have_the_same_fingerprint, client_timeout_does_not_overflow,
          events_are_split_when_complete);
