#include "bbm_registry.h"

#include "bbm_codes.h"
#include "bbm_table.h"

#include <stdlib.h>
#include <string.h>

/* Maximum number of stored revisions.  A resent publish is recognized by its
   id while its revision is among them. */
#define REVISIONS_MAX 1024
/* Maximum number of rows of a kind in a snapshot.  What a configuration or an
   operator adds has no limit of its own, and a VM must read what it wrote; the
   rows that a malformed snapshot can have are limited by its length. */
#define SNAPSHOT_ROWS_MAX UINT32_MAX

typedef struct revision {
    bbm_revision info; /* texts are in the fields below, which own them */
    char *text;
    char *source;
    bbm_buf deflated; /* both, as they were published; empty if they weren't
                         compressed */
} revision;

/* What a snapshot has of a revision's texts. */
typedef enum texts_form {
    TEXTS_NONE,
    TEXTS_PLAIN,
    TEXTS_DEFLATED,
} texts_form;

typedef struct weights_row {
    char model[BBM_NAME_SIZE];
    bbm_weights_version versions[BBM_WEIGHTS_VERSIONS_MAX]; /* oldest first */
    size_t len;
    UT_hash_handle hh;
} weights_row;

typedef struct key_row {
    char name[BBM_NAME_SIZE];
    char customer[BBM_NAME_SIZE];
    bbm_digest digest;
    bool withdrawn;
    bool from_config; /* removed when another revision is published */
    UT_hash_handle hh;
} key_row;

/* Index of valid keys by the first 8 bytes of the digest; the whole digest is
   then compared in constant time. */
typedef struct digest_row {
    uint64_t prefix;
    key_row *row;
    UT_hash_handle hh;
} digest_row;

typedef struct drain_row {
    char name[BBM_NAME_SIZE];
    UT_hash_handle hh;
} drain_row;

typedef struct quarantine_row {
    bbm_quarantined info;
    UT_hash_handle hh; /* by part */
} quarantine_row;

struct bbm_registry {
    size_t revision_texts_max;
    revision *revisions; /* oldest first */
    size_t len;
    size_t cap;
    bbm_config *config;
    key_row *keys;
    digest_row *digests;
    drain_row *drains;
    weights_row *weights;
    quarantine_row *quarantined;
    bbm_releases releases;
};

bbm_registry *
bbm_registry_create(size_t revision_texts_max)
{
    bbm_registry *reg = bbm_calloc(1, sizeof(*reg));
    reg->revision_texts_max = revision_texts_max ? revision_texts_max : 1;
    return reg;
}

static void
clear_digest_index(bbm_registry *reg)
{
    BBM_TABLE_FREE(digest_row, reg->digests);
}

static void
free_texts(revision *rev)
{
    free(rev->text);
    free(rev->source);
    bbm_buf_free(&rev->deflated);
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
    clear_digest_index(reg);
    BBM_TABLE_FREE(key_row, reg->keys);
    BBM_TABLE_FREE(drain_row, reg->drains);
    BBM_TABLE_FREE(weights_row, reg->weights);
    BBM_TABLE_FREE(quarantine_row, reg->quarantined);
    bbm_releases_free(&reg->releases);
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
rebuild_digest_index(bbm_registry *reg)
{
    clear_digest_index(reg);
    for (key_row *k = reg->keys; k; k = k->hh.next) {
        if (k->withdrawn)
            continue;
        digest_row *d = bbm_calloc(1, sizeof(*d));
        d->prefix = digest_prefix(&k->digest);
        d->row = k;
        digest_row *existing = NULL;
        HASH_FIND(hh, reg->digests, &d->prefix, sizeof(d->prefix), existing);
        if (existing) {
            free(d);
            continue;
        }
        HASH_ADD(hh, reg->digests, prefix, sizeof(d->prefix), d);
    }
}

static key_row *
insert_key(bbm_registry *reg, const char *name, const char *customer,
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
add_key(bbm_registry *reg, const bbm_command *cmd, bbm_outcome *out)
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
    insert_key(reg, cmd->u.key.name, cmd->u.key.customer, &cmd->u.key.digest,
               false);
    rebuild_digest_index(reg);
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
    rebuild_digest_index(reg);
}

/* Replaces the keys of the previous configuration by those of the new one.
   Keys that were withdrawn or added by command stay as they are. */
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
        insert_key(reg, c->name, c->customer, &digest, true);
    }
    rebuild_digest_index(reg);
}

/* ---- revisions ---- */

static void
trim_history(bbm_registry *reg)
{
    if (reg->len > REVISIONS_MAX) {
        free_texts(&reg->revisions[0]);
        reg->len--;
        memmove(reg->revisions, reg->revisions + 1,
                reg->len * sizeof(revision));
    }
    if (reg->len > reg->revision_texts_max) {
        free_texts(&reg->revisions[reg->len - reg->revision_texts_max - 1]);
    }
}

static void
add_revision(bbm_registry *reg, const revision *rev)
{
    bbm_grow(&reg->revisions, &reg->cap, reg->len, sizeof(revision));
    reg->revisions[reg->len++] = *rev;
    trim_history(reg);
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
is_duplicate_publish(const bbm_registry *reg, const bbm_command *cmd,
                     bbm_outcome *out)
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

/* True if the publish is to replace the revision in force.  Otherwise it
   conflicts or changes nothing, and the outcome says which. */
static bool
accepts_publish(const bbm_registry *reg, const bbm_command *cmd,
                bbm_outcome *out)
{
    out->number = bbm_registry_revision(reg);
    uint64_t version = cmd->u.publish.version;
    if (!version) {
        bool expected = cmd->u.publish.expected == out->number;
        out->code = expected ? BBM_OK : BBM_ERR_CONFLICT;
        return expected;
    }
    bbm_revision current = {0};
    if (!bbm_registry_current(reg, &current) || version > current.version)
        return true;
    bbm_bytes source = cmd->u.publish.source;
    bool same = current.source && source.len == current.source_len
                && memcmp(source.data, current.source, source.len) == 0;
    if (version == current.version && !same)
        out->code = BBM_ERR_CONFLICT;
    return false;
}

static void
publish_plain(bbm_registry *reg, const bbm_command *cmd, bbm_outcome *out)
{
    if (!accepts_publish(reg, cmd, out))
        return;
    bbm_bytes text = cmd->u.publish.text;
    bbm_bytes source = cmd->u.publish.source;
    bbm_doc_errors errors = {0};
    bbm_config *cfg =
        bbm_config_create((const char *)text.data, text.len, &errors);
    if (!cfg) {
        char *lines = bbm_doc_errors_text(&errors);
        bbm_buf_add(&out->body, lines, strlen(lines));
        free(lines);
        bbm_doc_errors_free(&errors);
        out->code = BBM_ERR_INVALID_CONFIG;
        return;
    }
    bbm_config_destroy(reg->config);
    reg->config = cfg;
    revision rev = {.text = copy_text(text), .source = copy_text(source)};
    bbm_buf_add(&rev.deflated, cmd->u.publish.deflated.data,
                cmd->u.publish.deflated.len);
    rev.info = (bbm_revision){
        .number = out->number + 1,
        .at_ms = cmd->at_ms,
        .version = cmd->u.publish.version,
        .len = text.len,
        .source_len = source.len,
    };
    bbm_name_set(rev.info.id, cmd->u.publish.id);
    bbm_name_set(rev.info.author, cmd->u.publish.author);
    add_revision(reg, &rev);
    replace_config_keys(reg);
    out->number = rev.info.number;
}

static void
publish(bbm_registry *reg, const bbm_command *cmd, bbm_outcome *out)
{
    if (is_duplicate_publish(reg, cmd, out))
        return;
    bbm_command plain = *cmd;
    bbm_buf documents = {0};
    out->code = bbm_command_inflate(&plain, &documents);
    if (out->code == BBM_OK)
        publish_plain(reg, &plain, out);
    bbm_buf_free(&documents);
}

/* ---- weights ---- */

static weights_row *
find_weights(const bbm_registry *reg, const char *model)
{
    weights_row *row = NULL;
    HASH_FIND_STR(reg->weights, model, row);
    return row;
}

/* A version that isn't higher than the last is ignored and isn't an error. */
static void
record_weights(bbm_registry *reg, const char *model, uint64_t version,
               int64_t at_ms)
{
    weights_row *row = find_weights(reg, model);
    if (!row) {
        row = bbm_calloc(1, sizeof(*row));
        bbm_name_set(row->model, model);
        HASH_ADD_STR(reg->weights, model, row);
    }
    if (row->len && version <= row->versions[row->len - 1].version)
        return;
    if (row->len == BBM_WEIGHTS_VERSIONS_MAX) {
        row->len--;
        memmove(row->versions, row->versions + 1,
                row->len * sizeof(*row->versions));
    }
    bbm_weights_version *entry = &row->versions[row->len++];
    bbm_name_set(entry->model, model);
    entry->version = version;
    entry->at_ms = at_ms;
}

uint64_t
bbm_registry_latest_weights(const bbm_registry *reg, const char *model)
{
    const weights_row *row = find_weights(reg, model);
    return row ? row->versions[row->len - 1].version : 0;
}

bool
bbm_registry_weights_at(const bbm_registry *reg, size_t i,
                        bbm_weights_version *entry)
{
    const weights_row *row = reg->weights;
    while (row && i >= row->len) {
        i -= row->len;
        row = row->hh.next;
    }
    if (!row)
        return false;
    *entry = row->versions[i];
    return true;
}

/* ---- quarantined prompt parts ---- */

static void
remove_quarantined(bbm_registry *reg, quarantine_row *row)
{
    HASH_DEL(reg->quarantined, row);
    free(row);
}

/* Parts whose time was over at @p now_ms, the time of the command, are removed
   at the same position of the log everywhere. */
static void
set_quarantined(bbm_registry *reg, const bbm_quarantined *q, int64_t now_ms)
{
    quarantine_row *row, *next;
    HASH_ITER(hh, reg->quarantined, row, next)
    {
        if (row->info.until_ms <= now_ms || row->info.part == q->part)
            remove_quarantined(reg, row);
    }
    if (q->until_ms <= now_ms
        || HASH_COUNT(reg->quarantined) >= BBM_QUARANTINED_MAX)
        return;
    row = bbm_calloc(1, sizeof(*row));
    row->info = *q;
    HASH_ADD(hh, reg->quarantined, info.part, sizeof(q->part), row);
}

bool
bbm_registry_quarantined_at(const bbm_registry *reg, size_t i,
                            bbm_quarantined *q)
{
    const quarantine_row *row = reg->quarantined;
    while (row && i--)
        row = row->hh.next;
    if (row)
        *q = row->info;
    return row != NULL;
}

bool
bbm_registry_is_quarantined(const bbm_registry *reg, uint64_t part)
{
    quarantine_row *row = NULL;
    HASH_FIND(hh, reg->quarantined, &part, sizeof(part), row);
    return row != NULL;
}

/* ---- releases ---- */

static void
apply_release(bbm_registry *reg, const bbm_command *cmd, bbm_outcome *out)
{
    const bbm_release_info *info = &cmd->u.release.info;
    if (!cmd->u.release.is_order) {
        out->code = bbm_releases_step(&reg->releases, info);
        return;
    }
    if (!reg->config || !bbm_config_pool(reg->config, info->pool)) {
        out->code = reg->config ? BBM_ERR_BAD_FIELD : BBM_ERR_NOT_READY;
        return;
    }
    out->code = bbm_releases_order(&reg->releases, info, &out->number);
}

const bbm_releases *
bbm_registry_releases(const bbm_registry *reg)
{
    return &reg->releases;
}

/* ---- draining VMs ---- */

static drain_row *
find_drain(const bbm_registry *reg, const char *node)
{
    drain_row *row = NULL;
    HASH_FIND_STR(reg->drains, node, row);
    return row;
}

static void
set_drain(bbm_registry *reg, const char *node, bool draining)
{
    drain_row *row = find_drain(reg, node);
    if (draining && !row) {
        row = bbm_calloc(1, sizeof(*row));
        bbm_name_set(row->name, node);
        HASH_ADD_STR(reg->drains, name, row);
    }
    else if (!draining && row) {
        HASH_DEL(reg->drains, row);
        free(row);
    }
}

void
bbm_registry_apply(bbm_registry *reg, const bbm_command *cmd, bbm_outcome *out)
{
    switch (cmd->kind) {
    case BBM_CMD_PUBLISH:
    case BBM_CMD_PUBLISH_DEFLATED:
        publish(reg, cmd, out);
        return;
    case BBM_CMD_KEY_ADD:
        add_key(reg, cmd, out);
        return;
    case BBM_CMD_KEY_WITHDRAW:
        withdraw_key(reg, cmd, out);
        return;
    case BBM_CMD_DRAIN:
        set_drain(reg, cmd->u.drain.node, cmd->u.drain.draining);
        return;
    case BBM_CMD_WEIGHTS:
        record_weights(reg, cmd->u.weights.model, cmd->u.weights.version,
                       cmd->at_ms);
        return;
    case BBM_CMD_QUARANTINE:
        set_quarantined(reg, &cmd->u.quarantine, cmd->at_ms);
        return;
    case BBM_CMD_RELEASE:
        apply_release(reg, cmd, out);
        return;
    case BBM_CMD_CLAIM:
    case BBM_CMD_CLAIM_END:
    case BBM_CMD_RUN_ENDED:
    case BBM_CMD_ORDER:
    case BBM_CMD_ORDER_END:
    case BBM_CMD_ORDER_PAUSE:
    case BBM_CMD_LEDGER:
    case BBM_CMD_ORIGINS:
    case BBM_CMD_KIND_COUNT:
        out->code = BBM_ERR_ARGUMENT;
        return;
    }
}

/* ---- accessors ---- */

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
fill_key_info(const key_row *row, bbm_key_info *info)
{
    *info = (bbm_key_info){.withdrawn = row->withdrawn};
    bbm_name_set(info->name, row->name);
    bbm_name_set(info->customer, row->customer);
}

bool
bbm_registry_find_key(const bbm_registry *reg, const bbm_digest *digest,
                      bbm_key_info *info)
{
    uint64_t prefix = digest_prefix(digest);
    digest_row *d = NULL;
    HASH_FIND(hh, reg->digests, &prefix, sizeof(prefix), d);
    if (!d || !bbm_digest_same(&d->row->digest, digest))
        return false;
    fill_key_info(d->row, info);
    return !d->row->withdrawn;
}

bool
bbm_registry_key_valid(const bbm_registry *reg, const char *name)
{
    key_row *row = find_key(reg, name);
    return row && !row->withdrawn;
}

bool
bbm_registry_key_at(const bbm_registry *reg, size_t i, bbm_key_info *info)
{
    key_row *row = reg->keys;
    while (row && i--)
        row = row->hh.next;
    if (!row)
        return false;
    fill_key_info(row, info);
    return true;
}

bool
bbm_registry_is_draining(const bbm_registry *reg, const char *node)
{
    return find_drain(reg, node) != NULL;
}

/* ---- snapshots ---- */

static void
encode_texts(const revision *rev, bbm_format format, bbm_buf *buf)
{
    texts_form form = !rev->text ? TEXTS_NONE
                      : rev->deflated.len && format >= BBM_FORMAT_DEFLATED
                          ? TEXTS_DEFLATED
                          : TEXTS_PLAIN;
    bbm_put_u64(buf, form);
    switch (form) {
    case TEXTS_NONE:
        return;
    case TEXTS_PLAIN:
        bbm_put_bytes(buf, rev->text, rev->info.len);
        bbm_put_bytes(buf, rev->source, rev->info.source_len);
        return;
    case TEXTS_DEFLATED:
        bbm_put_bytes(buf, rev->deflated.data, rev->deflated.len);
        return;
    }
}

void
bbm_registry_encode(const bbm_registry *reg, size_t revisions,
                    bbm_format format, bbm_buf *buf)
{
    size_t first = reg->len > revisions ? reg->len - revisions : 0;
    bbm_put_u64(buf, reg->len - first);
    for (size_t i = first; i < reg->len; i++) {
        const revision *rev = &reg->revisions[i];
        bbm_put_u64(buf, rev->info.number);
        bbm_put_i64(buf, rev->info.at_ms);
        bbm_put_str(buf, rev->info.id);
        bbm_put_str(buf, rev->info.author);
        bbm_put_u64(buf, rev->info.version);
        bbm_put_u64(buf, rev->info.len);
        bbm_put_u64(buf, rev->info.source_len);
        encode_texts(rev, format, buf);
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
    size_t len = 0;
    for (const weights_row *w = reg->weights; w; w = w->hh.next)
        len += w->len;
    bbm_put_u64(buf, len);
    for (const weights_row *w = reg->weights; w; w = w->hh.next) {
        for (size_t i = 0; i < w->len; i++) {
            bbm_put_str(buf, w->versions[i].model);
            bbm_put_u64(buf, w->versions[i].version);
            bbm_put_i64(buf, w->versions[i].at_ms);
        }
    }
    if (format < BBM_FORMAT_QUARANTINE)
        return;
    bbm_put_u64(buf, HASH_COUNT(reg->quarantined));
    for (const quarantine_row *q = reg->quarantined; q; q = q->hh.next)
        bbm_quarantined_put(buf, &q->info);
    if (format >= BBM_FORMAT_RELEASES)
        bbm_releases_encode(&reg->releases, buf);
}

/* Reads a text; sets the reader's error if it isn't of @p len bytes. */
static char *
get_text(bbm_reader *rd, size_t len)
{
    bbm_bytes bytes = bbm_get_bytes(rd);
    if (bytes.len != len)
        rd->failed = true;
    return copy_text(bytes);
}

static void
decode_deflated(revision *rev, bbm_reader *rd)
{
    bbm_bytes deflated = bbm_get_bytes(rd);
    bbm_command cmd = {.kind = BBM_CMD_PUBLISH_DEFLATED};
    cmd.u.publish.deflated = deflated;
    cmd.u.publish.text.len = rev->info.len;
    cmd.u.publish.source.len = rev->info.source_len;
    bbm_buf documents = {0};
    if (bbm_command_inflate(&cmd, &documents) < 0) {
        rd->failed = true;
    }
    else {
        rev->text = copy_text(cmd.u.publish.text);
        rev->source = copy_text(cmd.u.publish.source);
        bbm_buf_add(&rev->deflated, deflated.data, deflated.len);
    }
    bbm_buf_free(&documents);
}

static void
decode_texts(revision *rev, bbm_format format, bbm_reader *rd)
{
    uint32_t last =
        format >= BBM_FORMAT_DEFLATED ? TEXTS_DEFLATED : TEXTS_PLAIN;
    switch ((texts_form)bbm_get_u32(rd, last)) {
    case TEXTS_NONE:
        return;
    case TEXTS_PLAIN:
        rev->text = get_text(rd, rev->info.len);
        rev->source = get_text(rd, rev->info.source_len);
        return;
    case TEXTS_DEFLATED:
        decode_deflated(rev, rd);
        return;
    }
}

static void
decode_revisions(bbm_registry *reg, bbm_format format, bbm_reader *rd)
{
    size_t len = bbm_get_u32(rd, REVISIONS_MAX);
    for (size_t i = 0; i < len && !rd->failed; i++) {
        revision rev = {.info.number = bbm_get_u64(rd)};
        rev.info.at_ms = bbm_get_i64(rd);
        bbm_get_name(rd, rev.info.id);
        bbm_get_name(rd, rev.info.author);
        rev.info.version = bbm_get_u64(rd);
        rev.info.len = (size_t)bbm_get_u64(rd);
        rev.info.source_len = (size_t)bbm_get_u64(rd);
        decode_texts(&rev, format, rd);
        add_revision(reg, &rev);
    }
}

static void
decode_keys(bbm_registry *reg, bbm_reader *rd)
{
    size_t len = bbm_get_u32(rd, SNAPSHOT_ROWS_MAX);
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
        key_row *row = insert_key(reg, name, customer, &digest, from_config);
        row->withdrawn = withdrawn;
    }
    rebuild_digest_index(reg);
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
    bbm_doc_errors errors = {0};
    reg->config = bbm_config_create(last->text, last->info.len, &errors);
    bbm_doc_errors_free(&errors);
    if (!reg->config)
        rd->failed = true;
}

static void
decode_quarantined(bbm_registry *reg, bbm_reader *rd)
{
    size_t len = bbm_get_u32(rd, BBM_QUARANTINED_MAX);
    for (size_t i = 0; i < len && !rd->failed; i++) {
        bbm_quarantined q;
        bbm_quarantined_get(rd, &q);
        set_quarantined(reg, &q, INT64_MIN);
    }
}

int
bbm_registry_decode(bbm_registry *reg, bbm_format format, bbm_reader *rd)
{
    bbm_registry decoded = {.revision_texts_max = reg->revision_texts_max};
    decode_revisions(&decoded, format, rd);
    decode_config(&decoded, rd);
    decode_keys(&decoded, rd);
    size_t draining_len = bbm_get_u32(rd, SNAPSHOT_ROWS_MAX);
    for (size_t i = 0; i < draining_len && !rd->failed; i++) {
        char node[BBM_NAME_SIZE];
        bbm_get_name(rd, node);
        set_drain(&decoded, node, true);
    }
    size_t weights_len = bbm_get_u32(rd, SNAPSHOT_ROWS_MAX);
    for (size_t i = 0; i < weights_len && !rd->failed; i++) {
        char model[BBM_NAME_SIZE];
        bbm_get_name(rd, model);
        uint64_t version = bbm_get_u64(rd);
        record_weights(&decoded, model, version, bbm_get_i64(rd));
    }
    if (format >= BBM_FORMAT_QUARANTINE)
        decode_quarantined(&decoded, rd);
    if (format >= BBM_FORMAT_RELEASES)
        bbm_releases_decode(&decoded.releases, rd);
    if (rd->failed) {
        clear(&decoded);
        return BBM_ERR_DECODE;
    }
    clear(reg);
    *reg = decoded;
    return BBM_OK;
}

size_t
bbm_registry_text_bytes(const bbm_registry *reg)
{
    size_t bytes = 0;
    for (size_t i = 0; i < reg->len; i++) {
        const revision *rev = &reg->revisions[i];
        bytes += rev->text ? rev->info.len : 0;
        bytes += rev->source ? rev->info.source_len : 0;
        bytes += rev->deflated.len;
    }
    return bytes;
}
