#include "front_admin.h"

#include <jansson.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#define PATH_PREFIX "/admin/v1/"
/* Random bytes in a new API key. */
#define KEY_RANDOM_BYTES 24
#define KEY_PREFIX "bbm-"

typedef struct verb_path {
    const char *path;
    bbm_verb verb;
} verb_path;

static const verb_path verb_paths[] = {
    {"status", BBM_VERB_STATUS},
    {"members", BBM_VERB_MEMBERS},
    {"runners", BBM_VERB_RUNNERS},
    {"burn", BBM_VERB_BURN},
    {"show", BBM_VERB_SHOW},
    {"history", BBM_VERB_HISTORY},
    {"publish", BBM_VERB_PUBLISH},
    {"keys", BBM_VERB_KEYS},
    {"keys/add", BBM_VERB_KEY_ADD},
    {"keys/withdraw", BBM_VERB_KEY_WITHDRAW},
    {"drain", BBM_VERB_DRAIN},
    {"orders", BBM_VERB_ORDERS},
    {"orders/give", BBM_VERB_ORDER},
    {"orders/pause", BBM_VERB_PAUSE},
    {"replace", BBM_VERB_REPLACE},
    {"release", BBM_VERB_RELEASE},
    {"release/show", BBM_VERB_RELEASE_GET},
};

/* Fields of the JSON body; their meaning depends on the verb. */
typedef struct call_body {
    char id[BBM_NAME_SIZE];
    char name[BBM_NAME_SIZE];
    char other[BBM_NAME_SIZE];
    int64_t number;
    bool on;
    char *text;
} call_body;

#define FIELD_OFFSET(member) .offset = offsetof(call_body, member)
static const bbm_field body_fields[] = {
    {.name = "id", .kind = BBM_FIELD_NAME, FIELD_OFFSET(id)},
    {.name = "name", .kind = BBM_FIELD_NAME, FIELD_OFFSET(name)},
    {.name = "other", .kind = BBM_FIELD_NAME, FIELD_OFFSET(other)},
    {.name = "number",
     .kind = BBM_FIELD_INT,
     FIELD_OFFSET(number),
     .max = 1e15},
    {.name = "on", .kind = BBM_FIELD_BOOL, FIELD_OFFSET(on)},
    {.name = "text", .kind = BBM_FIELD_TEXT, FIELD_OFFSET(text)},
};

static const bbm_operator *
find_operator(const bbm_settings *s, const exchange *ex)
{
    const bbm_operator *found = NULL;
    for (size_t i = 0; i < s->operators_len; i++) {
        bbm_digest operator_digest;
        bool parsed =
            bbm_digest_parse(s->operators[i].digest, &operator_digest);
        if (parsed && ex->has_key
            && bbm_digest_same(&operator_digest, &ex->key_digest))
            found = &s->operators[i];
    }
    return found;
}

static bool
find_verb(const char *path, bbm_verb *verb)
{
    size_t len = strlen(PATH_PREFIX);
    if (strncmp(path, PATH_PREFIX, len) != 0)
        return false;
    for (size_t i = 0; i < BBM_COUNT(verb_paths); i++) {
        if (strcmp(path + len, verb_paths[i].path) == 0) {
            *verb = verb_paths[i].verb;
            return true;
        }
    }
    return false;
}

static int
read_fields(exchange *ex, call_body *fields)
{
    bbm_doc_errors errors = {0};
    json_t *doc = bbm_doc_parse(ex->body.len ? (char *)ex->body.data : "{}",
                                ex->body.len ? ex->body.len : 2, &errors);
    int rc = doc ? BBM_OK : BBM_ERR_BAD_JSON;
    if (doc)
        bbm_doc_read(doc, "$", body_fields, BBM_COUNT(body_fields), fields,
                     &errors);
    if (rc == BBM_OK && errors.total)
        rc = BBM_ERR_BAD_FIELD;
    json_decref(doc);
    bbm_doc_errors_free(&errors);
    return rc;
}

/* Generates an API key.  The key is returned to the operator once; control
   gets only its digest. */
static void
generate_key(const uint8_t *key_secret, exchange *ex)
{
    uint8_t bytes[KEY_RANDOM_BYTES];
    char hex[2 * KEY_RANDOM_BYTES + 1];
    bbm_random_bytes(bytes, sizeof(bytes));
    sodium_bin2hex(hex, sizeof(hex), bytes, sizeof(bytes));
    size_t size = sizeof(KEY_PREFIX) + sizeof(hex);
    ex->new_key = bbm_calloc(size, 1);
    snprintf(ex->new_key, size, "%s%s", KEY_PREFIX, hex);
    ex->operator_event.digest =
        bbm_digest_of(ex->new_key, strlen(ex->new_key), key_secret);
    explicit_bzero(hex, sizeof(hex));
    explicit_bzero(bytes, sizeof(bytes));
}

static void
fill_event(exchange *ex, call_body *f)
{
    bbm_name_set(ex->operator_event.id, f->id);
    bbm_name_set(ex->operator_event.name, f->name);
    bbm_name_set(ex->operator_event.other_name, f->other);
    ex->operator_event.revision = (uint64_t)f->number;
    ex->operator_event.on = f->on;
    /* operator_event.text must outlive `f`: the body buffer, which has been
       parsed, is reused for it. */
    ex->body.len = 0;
    bbm_buf_add(&ex->body, f->text, strlen(f->text));
    ex->operator_event.text = bbm_buf_view(&ex->body);
}

/* Refuses a document that the VMs have no room to read. */
static int
count_document(exchange *ex)
{
    bbm_bytes text = ex->operator_event.text;
    int rc = exchange_count_change(
        ex, bbm_doc_tree_bytes((const char *)text.data, text.len) + text.len);
    return rc < 0 ? rc : exchange_count_change(ex, text.len);
}

int
front_admin_parse(const bbm_settings *settings, const uint8_t *key_secret,
                  exchange *ex)
{
    const bbm_operator *op = find_operator(settings, ex);
    if (!op)
        return BBM_ERR_OPERATOR_KEY;
    if (!find_verb(ex->path, &ex->operator_event.verb))
        return BBM_ERR_NO_ROUTE;
    call_body fields = {0};
    int rc = read_fields(ex, &fields);
    if (rc == BBM_OK)
        fill_event(ex, &fields);
    bbm_doc_release(body_fields, BBM_COUNT(body_fields), &fields);
    ex->operator_event.op = ex->id;
    bbm_name_set(ex->operator_event.author, op->name);
    /* The control group reads the document, and has no part in its size. */
    if (rc == BBM_OK && ex->operator_event.verb == BBM_VERB_PUBLISH)
        rc = count_document(ex);
    bool adds_key = ex->operator_event.verb == BBM_VERB_KEY_ADD;
    if (rc == BBM_OK && adds_key)
        generate_key(key_secret, ex);
    return rc;
}
