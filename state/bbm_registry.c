#include "bbm_registry.h"

#include "bbm_codes.h"
#include "bbm_table.h"

#include <stdlib.h>
#include <string.h>

/* Identifiers of publishes that are remembered, for resends. */
#define REVISIONS_MOST 1024
/* Versions of weights that may be remembered. */
#define NAMED_MOST 32768

typedef struct revision {
    bbm_revision info; /* text and source are owned here */
    char *text;
    char *source;
} revision;

typedef struct weights_row {
    char model[BBM_NAME_SIZE];
    bbm_weights_version named[BBM_WEIGHTS_VERSIONS_MAX]; /* oldest first */
    size_t len;
    UT_hash_handle hh;
} weights_row;

typedef struct key_row {
    char name[BBM_NAME_SIZE];
    char customer[BBM_NAME_SIZE];
    bbm_digest digest;
    bool withdrawn;
    bool from_config; /* lives as long as the revision in force */
    UT_hash_handle hh;
} key_row;

/* Rows are found by the first bytes of the digest, then compared in constant
   time. */
typedef struct key_digest {
    uint64_t prefix;
    key_row *row;
    UT_hash_handle hh;
} key_digest;

typedef struct drain_row {
    char name[BBM_NAME_SIZE];
    UT_hash_handle hh;
} drain_row;

struct bbm_registry {
    size_t texts_kept;
    revision *revisions; /* oldest first */
    size_t len;
    size_t cap;
    bbm_config *config;
    key_row *keys;
    key_digest *digests;
    drain_row *drains;
    weights_row *weights;
};

bbm_registry *
bbm_registry_create(size_t texts_kept)
{
    bbm_registry *reg = bbm_calloc(1, sizeof(*reg));
    reg->texts_kept = texts_kept ? texts_kept : 1;
    return reg;
}

static void
clear_digests(bbm_registry *reg)
{
    BBM_TABLE_FREE(key_digest, reg->digests);
}

static void
free_texts(revision *rev)
{
    free(rev->text);
    free(rev->source);
    rev->text = NULL;
    rev->source = NULL;
}

static void
clear(bbm_registry *reg)
{
    for (size_t i = 0; i < reg->len; i++)
        free_texts(&reg->revisions[i]);
    free(reg->revisions);
    reg->revisions = NULL;
    reg->len = 0;
    reg->cap = 0;
    bbm_config_destroy(reg->config);
    reg->config = NULL;
    clear_digests(reg);
    BBM_TABLE_FREE(key_row, reg->keys);
    BBM_TABLE_FREE(drain_row, reg->drains);
    BBM_TABLE_FREE(weights_row, reg->weights);
}

void
bbm_registry_destroy(bbm_registry *reg)
{
    if (!reg)
        return;
    clear(reg);
    free(reg);
}

/* ---- keys ---- */

static key_row *
find_key(const bbm_registry *reg, const char *name)
{
    key_row *row = NULL;
    HASH_FIND_STR(reg->keys, name, row);
    return row;
}

static uint64_t
digest_prefix(const bbm_digest *digest)
{
    uint64_t prefix;
    memcpy(&prefix, digest->bytes, sizeof(prefix));
    return prefix;
}

static void
index_digests(bbm_registry *reg)
{
    clear_digests(reg);
    for (key_row *k = reg->keys; k; k = k->hh.next) {
        if (k->withdrawn)
            continue;
        key_digest *d = bbm_calloc(1, sizeof(*d));
        d->prefix = digest_prefix(&k->digest);
        d->row = k;
        key_digest *twin = NULL;
        HASH_FIND(hh, reg->digests, &d->prefix, sizeof(d->prefix), twin);
        if (twin) {
            free(d);
            continue;
        }
        HASH_ADD(hh, reg->digests, prefix, sizeof(d->prefix), d);
    }
}

static key_row *
add_key(bbm_registry *reg, const char *name, const char *customer,
        const bbm_digest *digest, bool from_config)
{
    key_row *row = bbm_calloc(1, sizeof(*row));
    bbm_name_set(row->name, name);
    bbm_name_set(row->customer, customer);
    row->digest = *digest;
    row->from_config = from_config;
    HASH_ADD_STR(reg->keys, name, row);
    return row;
}

static void
give_key(bbm_registry *reg, const bbm_command *cmd, bbm_outcome *out)
{
    key_row *row = find_key(reg, cmd->u.key.name);
    if (row) {
        bool same = bbm_digest_same(&row->digest, &cmd->u.key.digest)
                    && !row->withdrawn
                    && strcmp(row->customer, cmd->u.key.customer) == 0;
        out->code = same ? BBM_OK : BBM_ERR_EXISTS;
        return;
    }
    bool customer =
        reg->config && bbm_config_customer(reg->config, cmd->u.key.customer);
    bool full = HASH_COUNT(reg->keys) >= BBM_KEYS_MAX;
    if (!customer || full) {
        out->code = customer ? BBM_ERR_BUSY : BBM_ERR_NOT_FOUND;
        return;
    }
    add_key(reg, cmd->u.key.name, cmd->u.key.customer, &cmd->u.key.digest,
            false);
    index_digests(reg);
}

static void
withdraw_key(bbm_registry *reg, const bbm_command *cmd, bbm_outcome *out)
{
    key_row *row = find_key(reg, cmd->u.key.name);
    if (!row) {
        out->code = BBM_ERR_NOT_FOUND;
        return;
    }
    row->withdrawn = true;
    row->from_config = false;
    index_digests(reg);
}

/* Keys of the old document go, those of the new one come; a withdrawn name
   and a name given by command stay as they are. */
static void
replace_config_keys(bbm_registry *reg)
{
    key_row *k, *next;
    HASH_ITER(hh, reg->keys, k, next)
    {
        if (!k->from_config)
            continue;
        HASH_DEL(reg->keys, k);
        free(k);
    }
    for (const bbm_key *c = reg->config->keys; c; c = c->hh.next) {
        bbm_digest digest;
        if (find_key(reg, c->name) || !bbm_digest_parse(c->digest, &digest))
            continue;
        add_key(reg, c->name, c->customer, &digest, true);
    }
    index_digests(reg);
}

/* ---- publishing ---- */

static void
forget_old(bbm_registry *reg)
{
    if (reg->len > REVISIONS_MOST) {
        free_texts(&reg->revisions[0]);
        reg->len--;
        memmove(reg->revisions, reg->revisions + 1,
                reg->len * sizeof(revision));
    }
    if (reg->len > reg->texts_kept) {
        free_texts(&reg->revisions[reg->len - reg->texts_kept - 1]);
    }
}

static void
add_revision(bbm_registry *reg, const bbm_revision *info, char *text,
             char *source)
{
    bbm_grow(&reg->revisions, &reg->cap, reg->len, sizeof(revision));
    reg->revisions[reg->len++] =
        (revision){.info = *info, .text = text, .source = source};
    forget_old(reg);
}

static char *
copy_text(bbm_bytes bytes)
{
    char *copy = bbm_calloc(bytes.len + 1, 1);
    if (bytes.len)
        memcpy(copy, bytes.data, bytes.len);
    return copy;
}

static bool
is_resend(const bbm_registry *reg, const bbm_command *cmd, bbm_outcome *out)
{
    if (cmd->u.publish.version)
        return false;
    for (size_t i = 0; i < reg->len; i++) {
        if (strcmp(reg->revisions[i].info.id, cmd->u.publish.id) == 0) {
            out->number = reg->revisions[i].info.number;
            return true;
        }
    }
    return false;
}

/* True if the publish goes on top of what is in force; else the outcome says
   what becomes of it. */
static bool
goes_on_top(const bbm_registry *reg, const bbm_command *cmd, bbm_outcome *out)
{
    out->number = bbm_registry_revision(reg);
    uint64_t version = cmd->u.publish.version;
    if (!version) {
        bool expected = cmd->u.publish.expected == out->number;
        out->code = expected ? BBM_OK : BBM_ERR_CONFLICT;
        return expected;
    }
    bbm_revision now = {0};
    if (!bbm_registry_current(reg, &now) || version > now.version)
        return true;
    bbm_bytes source = cmd->u.publish.source;
    bool same = now.source && source.len == now.source_len
                && memcmp(source.data, now.source, source.len) == 0;
    if (version == now.version && !same)
        out->code = BBM_ERR_CONFLICT;
    return false;
}

static void
publish(bbm_registry *reg, const bbm_command *cmd, bbm_outcome *out)
{
    if (is_resend(reg, cmd, out) || !goes_on_top(reg, cmd, out))
        return;
    bbm_bytes text = cmd->u.publish.text;
    bbm_bytes source = cmd->u.publish.source;
    bbm_doc_errors wrong = {0};
    bbm_config *cfg =
        bbm_config_create((const char *)text.data, text.len, &wrong);
    if (!cfg) {
        char *lines = bbm_doc_errors_text(&wrong);
        bbm_buf_add(&out->body, lines, strlen(lines));
        free(lines);
        bbm_doc_errors_free(&wrong);
        out->code = BBM_ERR_INVALID_CONFIG;
        return;
    }
    bbm_config_destroy(reg->config);
    reg->config = cfg;
    bbm_revision info = {
        .number = out->number + 1,
        .at_ms = cmd->at_ms,
        .version = cmd->u.publish.version,
        .len = text.len,
        .source_len = source.len,
    };
    bbm_name_set(info.id, cmd->u.publish.id);
    bbm_name_set(info.author, cmd->u.publish.author);
    add_revision(reg, &info, copy_text(text), copy_text(source));
    replace_config_keys(reg);
    out->number = info.number;
}

/* ---- weights ---- */

static weights_row *
find_weights(const bbm_registry *reg, const char *model)
{
    weights_row *row = NULL;
    HASH_FIND_STR(reg->weights, model, row);
    return row;
}

/* Versions only rise; one that was named before is no mistake. */
static void
name_weights(bbm_registry *reg, const char *model, uint64_t version,
             int64_t at_ms)
{
    weights_row *row = find_weights(reg, model);
    if (!row) {
        row = bbm_calloc(1, sizeof(*row));
        bbm_name_set(row->model, model);
        HASH_ADD_STR(reg->weights, model, row);
    }
    if (row->len && version <= row->named[row->len - 1].version)
        return;
    if (row->len == BBM_WEIGHTS_VERSIONS_MAX) {
        row->len--;
        memmove(row->named, row->named + 1, row->len * sizeof(*row->named));
    }
    bbm_weights_version *named = &row->named[row->len++];
    bbm_name_set(named->model, model);
    named->version = version;
    named->at_ms = at_ms;
}

uint64_t
bbm_registry_latest_weights(const bbm_registry *reg, const char *model)
{
    const weights_row *row = find_weights(reg, model);
    return row ? row->named[row->len - 1].version : 0;
}

bool
bbm_registry_weights_at(const bbm_registry *reg, size_t i,
                        bbm_weights_version *named)
{
    const weights_row *row = reg->weights;
    while (row && i >= row->len) {
        i -= row->len;
        row = row->hh.next;
    }
    if (!row)
        return false;
    *named = row->named[i];
    return true;
}

/* ---- leaving VMs ---- */

static drain_row *
find_drain(const bbm_registry *reg, const char *node)
{
    drain_row *row = NULL;
    HASH_FIND_STR(reg->drains, node, row);
    return row;
}

static void
set_drain(bbm_registry *reg, const char *node, bool on)
{
    drain_row *row = find_drain(reg, node);
    if (on && !row) {
        row = bbm_calloc(1, sizeof(*row));
        bbm_name_set(row->name, node);
        HASH_ADD_STR(reg->drains, name, row);
    }
    else if (!on && row) {
        HASH_DEL(reg->drains, row);
        free(row);
    }
}

void
bbm_registry_apply(bbm_registry *reg, const bbm_command *cmd, bbm_outcome *out)
{
    switch (cmd->kind) {
    case BBM_CMD_PUBLISH:
        publish(reg, cmd, out);
        return;
    case BBM_CMD_KEY_ADD:
        give_key(reg, cmd, out);
        return;
    case BBM_CMD_KEY_WITHDRAW:
        withdraw_key(reg, cmd, out);
        return;
    case BBM_CMD_DRAIN:
        set_drain(reg, cmd->u.drain.node, cmd->u.drain.on);
        return;
    case BBM_CMD_WEIGHTS:
        name_weights(reg, cmd->u.weights.model, cmd->u.weights.version,
                     cmd->at_ms);
        return;
    case BBM_CMD_CLAIM:
    case BBM_CMD_CLAIM_END:
    case BBM_CMD_RUN_ENDED:
    case BBM_CMD_ORDER:
    case BBM_CMD_ORDER_END:
    case BBM_CMD_ORDER_PAUSE:
    case BBM_CMD_LEDGER:
    case BBM_CMD_KIND_COUNT:
        out->code = BBM_ERR_ARGUMENT;
        return;
    }
}

/* ---- what can be asked ---- */

const bbm_config *
bbm_registry_config(const bbm_registry *reg)
{
    return reg->config;
}

uint64_t
bbm_registry_revision(const bbm_registry *reg)
{
    return reg->len ? reg->revisions[reg->len - 1].info.number : 0;
}

bool
bbm_registry_history(const bbm_registry *reg, size_t i, bbm_revision *rev)
{
    if (i >= reg->len)
        return false;
    *rev = reg->revisions[i].info;
    rev->text = reg->revisions[i].text;
    rev->source = reg->revisions[i].source;
    return true;
}

bool
bbm_registry_current(const bbm_registry *reg, bbm_revision *rev)
{
    return reg->len && bbm_registry_history(reg, reg->len - 1, rev);
}

static void
fill_found(const key_row *row, bbm_key_info *found)
{
    *found = (bbm_key_info){.withdrawn = row->withdrawn};
    bbm_name_set(found->name, row->name);
    bbm_name_set(found->customer, row->customer);
}

bool
bbm_registry_find_key(const bbm_registry *reg, const bbm_digest *digest,
                      bbm_key_info *found)
{
    uint64_t prefix = digest_prefix(digest);
    key_digest *d = NULL;
    HASH_FIND(hh, reg->digests, &prefix, sizeof(prefix), d);
    if (!d || !bbm_digest_same(&d->row->digest, digest))
        return false;
    fill_found(d->row, found);
    return !d->row->withdrawn;
}

bool
bbm_registry_key_valid(const bbm_registry *reg, const char *name)
{
    key_row *row = find_key(reg, name);
    return row && !row->withdrawn;
}

bool
bbm_registry_key_at(const bbm_registry *reg, size_t i, bbm_key_info *found)
{
    key_row *row = reg->keys;
    while (row && i--)
        row = row->hh.next;
    if (!row)
        return false;
    fill_found(row, found);
    return true;
}

bool
bbm_registry_is_draining(const bbm_registry *reg, const char *node)
{
    return find_drain(reg, node) != NULL;
}

/* ---- snapshots ---- */

void
bbm_registry_encode(const bbm_registry *reg, size_t revisions, bbm_buf *buf)
{
    size_t first = reg->len > revisions ? reg->len - revisions : 0;
    bbm_put_u64(buf, reg->len - first);
    for (size_t i = first; i < reg->len; i++) {
        const revision *rev = &reg->revisions[i];
        bool with_text = rev->text != NULL;
        bbm_put_u64(buf, rev->info.number);
        bbm_put_i64(buf, rev->info.at_ms);
        bbm_put_str(buf, rev->info.id);
        bbm_put_str(buf, rev->info.author);
        bbm_put_u64(buf, rev->info.version);
        bbm_put_u64(buf, rev->info.len);
        bbm_put_u64(buf, rev->info.source_len);
        bbm_put_u64(buf, with_text);
        if (with_text) {
            bbm_put_bytes(buf, rev->text, rev->info.len);
            bbm_put_bytes(buf, rev->source, rev->info.source_len);
        }
    }
    bbm_put_u64(buf, HASH_COUNT(reg->keys));
    for (const key_row *k = reg->keys; k; k = k->hh.next) {
        bbm_put_str(buf, k->name);
        bbm_put_str(buf, k->customer);
        bbm_put_bytes(buf, k->digest.bytes, sizeof(k->digest.bytes));
        bbm_put_u64(buf, k->withdrawn);
        bbm_put_u64(buf, k->from_config);
    }
    bbm_put_u64(buf, HASH_COUNT(reg->drains));
    for (const drain_row *d = reg->drains; d; d = d->hh.next)
        bbm_put_str(buf, d->name);
    bbm_weights_version named;
    size_t len = 0;
    while (bbm_registry_weights_at(reg, len, &named))
        len++;
    bbm_put_u64(buf, len);
    for (size_t i = 0; bbm_registry_weights_at(reg, i, &named); i++) {
        bbm_put_str(buf, named.model);
        bbm_put_u64(buf, named.version);
        bbm_put_i64(buf, named.at_ms);
    }
}

/* A text of exactly so many bytes. */
static char *
get_text(bbm_reader *rd, size_t len)
{
    bbm_bytes bytes = bbm_get_bytes(rd);
    if (bytes.len != len)
        rd->failed = true;
    return copy_text(bytes);
}

static void
decode_revisions(bbm_registry *reg, bbm_reader *rd)
{
    size_t len = bbm_get_u32(rd, REVISIONS_MOST);
    for (size_t i = 0; i < len && !rd->failed; i++) {
        bbm_revision info = {.number = bbm_get_u64(rd)};
        info.at_ms = bbm_get_i64(rd);
        bbm_get_name(rd, info.id);
        bbm_get_name(rd, info.author);
        info.version = bbm_get_u64(rd);
        info.len = (size_t)bbm_get_u64(rd);
        info.source_len = (size_t)bbm_get_u64(rd);
        char *text = NULL;
        char *source = NULL;
        if (bbm_get_u32(rd, 1)) {
            text = get_text(rd, info.len);
            source = get_text(rd, info.source_len);
        }
        add_revision(reg, &info, text, source);
    }
}

static void
decode_keys(bbm_registry *reg, bbm_reader *rd)
{
    size_t len = bbm_get_u32(rd, BBM_KEYS_MAX);
    for (size_t i = 0; i < len && !rd->failed; i++) {
        char name[BBM_NAME_SIZE];
        char customer[BBM_NAME_SIZE];
        bbm_digest digest;
        bbm_get_name(rd, name);
        bbm_get_name(rd, customer);
        bbm_get_fixed(rd, digest.bytes, sizeof(digest.bytes));
        bool withdrawn = bbm_get_u32(rd, 1) != 0;
        bool from_config = bbm_get_u32(rd, 1) != 0;
        if (find_key(reg, name)) {
            rd->failed = true;
            return;
        }
        key_row *row = add_key(reg, name, customer, &digest, from_config);
        row->withdrawn = withdrawn;
    }
    index_digests(reg);
}

static void
decode_config(bbm_registry *reg, bbm_reader *rd)
{
    if (!reg->len || rd->failed)
        return;
    const revision *last = &reg->revisions[reg->len - 1];
    if (!last->text) {
        rd->failed = true;
        return;
    }
    bbm_doc_errors wrong = {0};
    reg->config = bbm_config_create(last->text, last->info.len, &wrong);
    bbm_doc_errors_free(&wrong);
    if (!reg->config)
        rd->failed = true;
}

int
bbm_registry_decode(bbm_registry *reg, bbm_reader *rd)
{
    bbm_registry fresh = {.texts_kept = reg->texts_kept};
    decode_revisions(&fresh, rd);
    decode_config(&fresh, rd);
    decode_keys(&fresh, rd);
    size_t drains = bbm_get_u32(rd, BBM_KEYS_MAX);
    for (size_t i = 0; i < drains && !rd->failed; i++) {
        char node[BBM_NAME_SIZE];
        bbm_get_name(rd, node);
        set_drain(&fresh, node, true);
    }
    size_t named = bbm_get_u32(rd, NAMED_MOST);
    for (size_t i = 0; i < named && !rd->failed; i++) {
        char model[BBM_NAME_SIZE];
        bbm_get_name(rd, model);
        uint64_t version = bbm_get_u64(rd);
        name_weights(&fresh, model, version, bbm_get_i64(rd));
    }
    if (rd->failed) {
        clear(&fresh);
        return BBM_ERR_DECODE;
    }
    clear(reg);
    *reg = fresh;
    return BBM_OK;
}
