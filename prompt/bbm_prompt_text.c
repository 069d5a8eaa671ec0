#include "bbm_prompt_text.h"

#include "bbm_codes.h"
#include "bbm_pack.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

static int
add_message(bbm_buf *text, const json_t *message)
{
    const char *role = json_string_value(json_object_get(message, "role"));
    json_t *content = json_object_get(message, "content");
    if (!role || !json_is_string(content))
        return BBM_ERR_BAD_FIELD;
    bbm_buf_add(text, role, strlen(role));
    bbm_buf_add(text, "\n", 1);
    bbm_buf_add(text, json_string_value(content), json_string_length(content));
    bbm_buf_add(text, "\n", 1);
    return BBM_OK;
}

static int
read_prompt_text(const json_t *doc, bbm_buf *text)
{
    json_t *prompt = json_object_get(doc, "prompt");
    if (json_is_string(prompt)) {
        bbm_buf_add(text, json_string_value(prompt),
                    json_string_length(prompt));
        return BBM_OK;
    }
    json_t *messages = json_object_get(doc, "messages");
    if (!json_is_array(messages) || !json_array_size(messages))
        return BBM_ERR_BAD_FIELD;
    size_t i;
    json_t *message;
    json_array_foreach(messages, i, message)
    {
        int rc = add_message(text, message);
        if (rc < 0)
            return rc;
    }
    return BBM_OK;
}

static int
read_output_limit(const json_t *doc, int64_t *output)
{
    static const char *const names[] = {"max_tokens", "max_completion_tokens"};
    for (size_t i = 0; i < BBM_COUNT(names); i++) {
        json_t *value = json_object_get(doc, names[i]);
        if (!value || json_is_null(value))
            continue;
        if (!json_is_integer(value) || json_integer_value(value) < 1)
            return BBM_ERR_BAD_FIELD;
        *output = json_integer_value(value);
    }
    return BBM_OK;
}

static int
read_fields(const json_t *doc, bbm_completion_request *request, bbm_buf *text)
{
    json_t *model = json_object_get(doc, "model");
    json_t *stream = json_object_get(doc, "stream");
    bool model_valid =
        json_is_string(model) && json_string_length(model) < BBM_NAME_SIZE;
    bool stream_valid = !stream || json_is_boolean(stream);
    if (!model_valid || !stream_valid)
        return BBM_ERR_BAD_FIELD;
    bbm_name_set(request->model, json_string_value(model));
    request->stream = json_is_true(stream);
    int rc = read_output_limit(doc, &request->output_tokens_max);
    return rc < 0 ? rc : read_prompt_text(doc, text);
}

static void
hash_units(const bbm_buf *text, bbm_completion_request *request)
{
    size_t len = text->len / BBM_PROMPT_UNIT_BYTES;
    if (len > BBM_PROMPT_UNITS_MAX)
        len = BBM_PROMPT_UNITS_MAX;
    request->units = bbm_calloc(len, sizeof(*request->units));
    request->units_len = len;
    for (size_t i = 0; i < len; i++) {
        request->units[i] = bbm_block_hash(
            text->data + i * BBM_PROMPT_UNIT_BYTES, BBM_PROMPT_UNIT_BYTES);
    }
}

int
bbm_completion_request_parse(const char *body, size_t len,
                             bbm_completion_request *request)
{
    *request = (bbm_completion_request){0};
    json_error_t error;
    json_t *doc = json_loadb(body, len, JSON_REJECT_DUPLICATES, &error);
    if (!doc) {
        bool deep = json_error_code(&error) == json_error_stack_overflow;
        return deep ? BBM_ERR_TOO_DEEP : BBM_ERR_BAD_JSON;
    }
    bbm_buf text = {0};
    int rc = json_is_object(doc) ? read_fields(doc, request, &text)
                                 : BBM_ERR_BAD_FIELD;
    if (rc == BBM_OK) {
        request->prompt_bytes = text.len;
        hash_units(&text, request);
    }
    bbm_buf_free(&text);
    json_decref(doc);
    return rc;
}

void
bbm_completion_request_free(bbm_completion_request *request)
{
    free(request->units);
    request->units = NULL;
    request->units_len = 0;
}

size_t
bbm_prompt_block_ids(const bbm_block_id *units, size_t units_len,
                     size_t block_bytes, bbm_block_id *blocks, size_t max)
{
    size_t per_block = block_bytes / BBM_PROMPT_UNIT_BYTES;
    if (per_block == 0)
        per_block = 1;
    size_t len = units_len / per_block;
    if (len > max)
        len = max;
    for (size_t i = 0; i < len; i++) {
        bbm_block_id id = {0};
        for (size_t j = 0; j < per_block; j++)
            id = bbm_chain_next(id, units[i * per_block + j]);
        blocks[i] = id;
    }
    return len;
}
