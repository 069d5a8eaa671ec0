/* Mutation fuzzing of all parsers of outside input, with a fixed seed and
   number of inputs.  The environment variables BBM_FUZZ_SEED and
   BBM_FUZZ_COUNT override these. */
#include "answer_reader.h"
#include "bbm_command.h"
#include "bbm_config.h"
#include "bbm_members.h"
#include "bbm_prompt_text.h"
#include "bbm_raft.h"
#include "bbm_rate.h"
#include "bbm_settings.h"
#include "bbm_state.h"
#include "test_main.h"
#include "traffic_answer.h"
#include "watcher_report.h"

#include <string.h>

#define INPUT_MAX_BYTES 2048

static const char *const seeds[] = {
    "{\"model\":\"m\",\"prompt\":\"hello\",\"stream\":true,"
    "\"max_tokens\":5}",
    "{\"model\":\"m\",\"messages\":[{\"role\":\"user\",\"content\":\"x\"}]}",
    "{\"incarnation\":\"12\",\"weights\":\"v\",\"running\":1,\"queued\":0,"
    "\"backlog_tokens\":0,\"age_ms\":1,\"first_event\":1,\"last_event\":1,"
    "\"events\":[[1,\"s\",\"00112233445566778899aabbccddeeff\"]]}",
    "{\"rates\":[{\"name\":\"r\",\"tokens_per_s\":1,\"burst\":1}],"
    "\"customers\":[{\"name\":\"c\",\"rate\":\"r\"}]}",
    "data: {\"usage\":{\"prompt_tokens\":1,\"completion_tokens\":2}}\n\n"
    "data: [DONE]\n\n",
    "{\"name\":\"vm\",\"zone\":\"z\",\"peer_address\":\"127.0.0.1:1\"}",
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nDate: 1\r\n"
    "Transfer-Encoding: chunked\r\n\r\n5;a=b\r\nhello\r\n"
    "01\r\n!\r\n0\r\nX: y\r\n\r\n",
    "HTTP/1.0 200 OK\nContent-Length: 5\n\nhello",
};

static uint64_t
env_number(const char *name, uint64_t default_number)
{
    const char *text = getenv(name);
    return text ? strtoull(text, NULL, 10) : default_number;
}

/* Applies 1 to 6 mutations: each changes a byte or a bit, truncates, or
   inserts 8 bytes.  Returns the new size. */
static size_t
mutate(bbm_rng *rng, uint8_t *data, size_t len)
{
    uint64_t changes = 1 + bbm_rng_below(rng, 6);
    for (uint64_t i = 0; i < changes; i++) {
        size_t at = (size_t)bbm_rng_below(rng, len);
        switch (bbm_rng_below(rng, 4)) {
        case 0:
            data[at] = (uint8_t)bbm_rng_next(rng);
            break;
        case 1:
            data[at] ^= (uint8_t)(1u << bbm_rng_below(rng, 8));
            break;
        case 2:
            len = at + 1;
            break;
        default:
            if (len + 8 < INPUT_MAX_BYTES) {
                memmove(data + at + 8, data + at, len - at);
                len += 8;
            }
        }
    }
    return len;
}

/* Reads the heads line by line, and the rest as a body. */
static void
read_answer(const char *text, size_t len)
{
    answer_reader *r = answer_reader_create();
    answer_line line = {0};
    bbm_buf body = {0};
    size_t pos = 0;
    while (pos < len && line.kind != ANSWER_LINE_HEAD_END
           && line.kind != ANSWER_LINE_MALFORMED) {
        const char *end = memchr(text + pos, '\n', len - pos);
        size_t n = end ? (size_t)(end - text) + 1 - pos : len - pos;
        line = answer_reader_line(r, text + pos, n);
        pos += n;
    }
    answer_reader_body(r, text + pos, len - pos, &body);
    bbm_buf_free(&body);
    answer_reader_destroy(r);
}

static void
parse_text(const char *text, size_t len)
{
    read_answer(text, len);
    bbm_completion_request request;
    if (bbm_completion_request_parse(text, len, &request) == 0)
        bbm_completion_request_free(&request);
    bbm_report report;
    bbm_cache_event *events;
    if (watcher_report_parse(text, len, &report, &events) == 0)
        free(events);
    bbm_doc_errors errors = {0};
    bbm_config_destroy(bbm_config_create(text, len, &errors));
    bbm_doc_errors_free(&errors);
    bbm_settings_destroy(bbm_settings_parse(text, len, &errors));
    bbm_doc_errors_free(&errors);
    answer_parser parser = {.is_event_stream = true};
    answer_parser_append(&parser, text, len);
    answer_parser_finish(&parser);
    answer_parser_free(&parser);
}

static void
decode_message(bbm_raft *raft, bbm_members *members, bbm_rate_owner *owner,
               bbm_rate_holder *holder, bbm_state *state, const uint8_t *data,
               size_t len)
{
    size_t changed;
    bbm_command cmd;
    bbm_command_decode(data, len, &cmd);
    bbm_raft_receive(raft, data, len, BBM_SECOND);
    while (bbm_raft_next_output(raft))
        ;
    bbm_members_receive(members, data, len, BBM_SECOND);
    while (bbm_members_next_output(members))
        ;
    bbm_rate_owner_apply_report(owner, data, len, BBM_SECOND);
    bbm_rate_grant g;
    while (bbm_rate_owner_next_grant(owner, &g))
        bbm_buf_free(&g.bytes);
    bbm_rate_apply_grant(holder, data, len, BBM_SECOND, &changed);
    bbm_rate_owner_restore(owner, "c", data, len, BBM_SECOND);
    bbm_state_decode(state, data, len);
    bbm_state_decode_public(state, data, len);
    bbm_outcome out;
    bbm_state_apply(state, bbm_state_index(state) + 1, data, len, &out);
    bbm_outcome_free(&out);
}

START_TEST(untrusted_texts)
{
    bbm_rng rng = bbm_rng_of(env_number("BBM_FUZZ_SEED", 1));
    uint64_t count = env_number("BBM_FUZZ_COUNT", 20000);
    for (uint64_t i = 0; i < count; i++) {
        uint8_t data[INPUT_MAX_BYTES];
        const char *seed = seeds[bbm_rng_below(&rng, BBM_COUNT(seeds))];
        size_t len = strlen(seed) + 1;
        memcpy(data, seed, len);
        len--;
        len = mutate(&rng, data, len);
        parse_text((char *)data, len);
    }
}
END_TEST

/* Writes a valid message of a random kind, the input of the mutation,
   truncated to half of the buffer so that it can grow.  Returns its size in
   bytes. */
static size_t
make_message(bbm_rng *rng, bbm_rate_holder *holder, bbm_state *state,
             uint8_t data[INPUT_MAX_BYTES])
{
    bbm_buf buf = {0};
    bbm_command cmd = {
        .kind = (bbm_command_kind)bbm_rng_below(rng, BBM_CMD_KIND_COUNT)};
    switch (bbm_rng_below(rng, 4)) {
    case 0:
        bbm_command_encode(&cmd, &buf);
        break;
    case 1:
        bbm_rate_reserve(holder, "c", 5, false, BBM_SECOND);
        bbm_rate_report(holder, 1, BBM_SECOND, &buf);
        break;
    case 2:
        bbm_state_encode(state, BBM_FORMAT_LATEST, &buf);
        break;
    default:
        bbm_state_encode_public(state, BBM_FORMAT_LATEST, &buf);
    }
    size_t len = buf.len < INPUT_MAX_BYTES / 2 ? buf.len : INPUT_MAX_BYTES / 2;
    memcpy(data, buf.data, len);
    bbm_buf_free(&buf);
    return len;
}

START_TEST(messages_and_stored_bytes)
{
    bbm_rng rng = bbm_rng_of(env_number("BBM_FUZZ_SEED", 1));
    uint64_t count = env_number("BBM_FUZZ_COUNT", 20000);
    bbm_raft *raft = bbm_raft_create(&(bbm_raft_desc){.id = 1});
    bbm_members *members = bbm_members_create(
        &(bbm_members_desc){.self = {.name = "vm"}, .run = 1});
    bbm_rate_desc rate = {.node = "vm", .run = 1, .epoch = 1};
    bbm_rate_owner *owner = bbm_rate_owner_create(&rate);
    bbm_rate_owner_set_customer(owner, "c", 10, 100, 0);
    bbm_rate_holder *holder = bbm_rate_holder_create(&rate);
    bbm_state *state = bbm_state_create(&(bbm_state_desc){0});
    for (uint64_t i = 0; i < count; i++) {
        uint8_t data[INPUT_MAX_BYTES];
        size_t len = make_message(&rng, holder, state, data);
        len = mutate(&rng, data, len);
        decode_message(raft, members, owner, holder, state, data, len);
    }
    bbm_state_destroy(state);
    bbm_rate_holder_destroy(holder);
    bbm_rate_owner_destroy(owner);
    bbm_members_destroy(members);
    bbm_raft_destroy(raft);
}
END_TEST

TEST_MAIN("fuzz", untrusted_texts, messages_and_stored_bytes);
