#include "bbm_claims.h"

#include "bbm_codes.h"
#include "bbm_table.h"

#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#define DEFAULT_RETENTION_MS ((int64_t)24 * 3600 * 1000)
#define DEFAULT_CLAIMS_PER_CUSTOMER_MAX 20000
#define DEFAULT_ANSWER_BYTES_MAX ((size_t)32 * 1024 * 1024)
/* A snapshot with more claims is treated as corrupt. */
#define SNAPSHOT_CLAIMS_MAX 10000000

typedef enum claim_state {
    CLAIM_RUNNING,
    CLAIM_ANSWERED,
    CLAIM_UNKNOWN,
} claim_state;

/* Key of the table.  It is hashed as raw bytes, so the bytes after the end of
   the customer's name must be zero. */
typedef struct claim_key {
    char customer[BBM_NAME_SIZE];
    bbm_digest digest; /* of the idempotency key */
} claim_key;

typedef struct claim {
    claim_key key;
    bbm_digest request_digest;
    bbm_request_id request;
    char node[BBM_NAME_SIZE];
    int64_t created_ms;
    claim_state state;
    bool answer_stored;
    uint32_t status;
    char content_type[BBM_NAME_SIZE];
    bbm_buf answer;
    TAILQ_ENTRY(claim) link; /* in by_age, oldest first */
    UT_hash_handle hh;
} claim;

typedef struct customer_count {
    char name[BBM_NAME_SIZE];
    size_t claims;
    UT_hash_handle hh;
} customer_count;

struct bbm_claims {
    bbm_claims_desc desc;
    claim *table;
    TAILQ_HEAD(, claim) by_age;
    customer_count *customer_counts;
    size_t answer_bytes; /* total size of stored answers */
    int64_t now_ms;      /* highest calendar time of the applied commands */
};

bbm_claims *
bbm_claims_create(const bbm_claims_desc *desc)
{
    bbm_claims *c = bbm_calloc(1, sizeof(*c));
    c->desc = *desc;
    if (!c->desc.retention_ms)
        c->desc.retention_ms = DEFAULT_RETENTION_MS;
    if (!c->desc.claims_per_customer_max)
        c->desc.claims_per_customer_max = DEFAULT_CLAIMS_PER_CUSTOMER_MAX;
    if (!c->desc.answer_bytes_max)
        c->desc.answer_bytes_max = DEFAULT_ANSWER_BYTES_MAX;
    TAILQ_INIT(&c->by_age);
    return c;
}

static customer_count *
customer_count_of(bbm_claims *c, const char *customer)
{
    customer_count *count = NULL;
    HASH_FIND_STR(c->customer_counts, customer, count);
    if (!count) {
        count = bbm_calloc(1, sizeof(*count));
        bbm_name_set(count->name, customer);
        HASH_ADD_STR(c->customer_counts, name, count);
    }
    return count;
}

static void
remove_claim(bbm_claims *c, claim *row)
{
    customer_count_of(c, row->key.customer)->claims--;
    c->answer_bytes -= row->answer.len;
    TAILQ_REMOVE(&c->by_age, row, link);
    HASH_DEL(c->table, row);
    bbm_buf_free(&row->answer);
    free(row);
}

static void
clear_claims(bbm_claims *c)
{
    claim *row;
    while ((row = TAILQ_FIRST(&c->by_age)) != NULL)
        remove_claim(c, row);
    BBM_TABLE_FREE(customer_count, c->customer_counts);
}

void
bbm_claims_destroy(bbm_claims *claims)
{
    if (!claims)
        return;
    clear_claims(claims);
    free(claims);
}

static claim_key
claim_key_of(const char *customer, const bbm_digest *key_digest)
{
    claim_key key;
    memset(&key, 0, sizeof(key));
    bbm_name_set(key.customer, customer);
    key.digest = *key_digest;
    return key;
}

static claim *
find_claim(const bbm_claims *c, const claim_key *key)
{
    claim *row = NULL;
    HASH_FIND(hh, c->table, key, sizeof(*key), row);
    return row;
}

static claim *
add_claim(bbm_claims *c, const claim_key *key)
{
    claim *row = bbm_calloc(1, sizeof(*row));
    row->key = *key;
    HASH_ADD(hh, c->table, key, sizeof(row->key), row);
    TAILQ_INSERT_TAIL(&c->by_age, row, link);
    customer_count_of(c, key->customer)->claims++;
    return row;
}

static void
expire_claims(bbm_claims *c, int64_t at_ms)
{
    if (at_ms > c->now_ms)
        c->now_ms = at_ms;
    claim *row;
    while ((row = TAILQ_FIRST(&c->by_age)) != NULL
           && c->now_ms - row->created_ms > c->desc.retention_ms)
        remove_claim(c, row);
}

static void
answer_duplicate(const claim *row, bbm_outcome *out)
{
    switch (row->state) {
    case CLAIM_RUNNING:
        out->code = BBM_ERR_IDEM_RUNNING;
        return;
    case CLAIM_UNKNOWN:
        out->code = BBM_ERR_IDEM_UNKNOWN;
        return;
    case CLAIM_ANSWERED:
        break;
    }
    if (!row->answer_stored) {
        out->code = BBM_ERR_IDEM_UNKNOWN;
        return;
    }
    out->answered = true;
    out->status = row->status;
    bbm_name_set(out->type, row->content_type);
    bbm_buf_add(&out->body, row->answer.data, row->answer.len);
}

static void
create_claim(bbm_claims *c, const bbm_command *cmd, bbm_outcome *out)
{
    claim_key key =
        claim_key_of(cmd->u.claim.customer, &cmd->u.claim.key_digest);
    claim *row = find_claim(c, &key);
    if (row) {
        if (!bbm_digest_same(&row->request_digest,
                             &cmd->u.claim.request_digest))
            out->code = BBM_ERR_IDEM_REUSED;
        else if (bbm_request_same(row->request, cmd->u.claim.request)
                 && row->state == CLAIM_RUNNING)
            out->code = BBM_OK;
        else
            answer_duplicate(row, out);
        return;
    }
    bool at_limit = customer_count_of(c, key.customer)->claims
                    >= c->desc.claims_per_customer_max;
    if (at_limit) {
        out->code = BBM_ERR_IDEM_FULL;
        return;
    }
    row = add_claim(c, &key);
    row->request_digest = cmd->u.claim.request_digest;
    row->request = cmd->u.claim.request;
    bbm_name_set(row->node, cmd->u.claim.node);
    row->created_ms = c->now_ms;
}

static void
end_claim(bbm_claims *c, const bbm_command *cmd, bbm_outcome *out)
{
    claim_key key =
        claim_key_of(cmd->u.claim_end.customer, &cmd->u.claim_end.key_digest);
    claim *row = find_claim(c, &key);
    bool owned =
        row && bbm_request_same(row->request, cmd->u.claim_end.request);
    if (!owned) {
        out->code = BBM_ERR_NOT_FOUND;
        return;
    }
    if (row->state == CLAIM_ANSWERED)
        return;
    switch (cmd->u.claim_end.result) {
    case BBM_CLAIM_NOT_RUN:
        /* A claim that was closed as unknown, because its VM seemed to have
           failed, stays: a repeated request may already have got that
           answer. */
        if (row->state == CLAIM_RUNNING)
            remove_claim(c, row);
        return;
    case BBM_CLAIM_UNKNOWN:
        row->state = CLAIM_UNKNOWN;
        return;
    case BBM_CLAIM_ANSWERED:
        break;
    }
    row->state = CLAIM_ANSWERED;
    row->status = cmd->u.claim_end.status;
    bbm_name_set(row->content_type, cmd->u.claim_end.type);
    bbm_bytes body = cmd->u.claim_end.body;
    row->answer_stored =
        c->answer_bytes + body.len <= c->desc.answer_bytes_max;
    if (row->answer_stored) {
        bbm_buf_add(&row->answer, body.data, body.len);
        c->answer_bytes += row->answer.len;
    }
}

static bool
is_orphaned(const claim *row, const char *node, uint64_t run)
{
    return row->state == CLAIM_RUNNING && strcmp(row->node, node) == 0
           && row->request.run != run;
}

static void
close_orphaned_claims(bbm_claims *c, const bbm_command *cmd)
{
    claim *row;
    TAILQ_FOREACH(row, &c->by_age, link)
    {
        if (is_orphaned(row, cmd->u.run_ended.node, cmd->u.run_ended.run))
            row->state = CLAIM_UNKNOWN;
    }
}

void
bbm_claims_apply(bbm_claims *claims, const bbm_command *cmd, bbm_outcome *out)
{
    expire_claims(claims, cmd->at_ms);
    if (cmd->kind == BBM_CMD_CLAIM)
        create_claim(claims, cmd, out);
    else if (cmd->kind == BBM_CMD_CLAIM_END)
        end_claim(claims, cmd, out);
    else if (cmd->kind == BBM_CMD_RUN_ENDED)
        close_orphaned_claims(claims, cmd);
    else
        out->code = BBM_ERR_ARGUMENT;
}

size_t
bbm_claims_count(const bbm_claims *claims)
{
    return HASH_COUNT(claims->table);
}

void
bbm_claims_each_running(const bbm_claims *claims, bbm_claims_fn *fn,
                        void *context)
{
    const claim *row;
    TAILQ_FOREACH(row, &claims->by_age, link)
    {
        if (row->state != CLAIM_RUNNING)
            continue;
        if (!fn(context, row->node, row->request.run))
            return;
    }
}

/* ---- snapshots ---- */

void
bbm_claims_encode(const bbm_claims *claims, bbm_buf *buf)
{
    bbm_put_i64(buf, claims->now_ms);
    bbm_put_u64(buf, HASH_COUNT(claims->table));
    const claim *row;
    TAILQ_FOREACH(row, &claims->by_age, link)
    {
        bbm_put_str(buf, row->key.customer);
        bbm_put_bytes(buf, row->key.digest.bytes, BBM_DIGEST_SIZE);
        bbm_put_bytes(buf, row->request_digest.bytes, BBM_DIGEST_SIZE);
        bbm_put_u64(buf, row->request.run);
        bbm_put_u64(buf, row->request.sequence);
        bbm_put_str(buf, row->node);
        bbm_put_i64(buf, row->created_ms);
        bbm_put_u64(buf, row->state);
        bbm_put_u64(buf, row->answer_stored);
        bbm_put_u64(buf, row->status);
        bbm_put_str(buf, row->content_type);
        bbm_put_bytes(buf, row->answer.data, row->answer.len);
    }
}

static void
decode_claim(bbm_claims *c, bbm_reader *rd)
{
    char customer[BBM_NAME_SIZE];
    bbm_digest key_digest;
    bbm_get_name(rd, customer);
    bbm_get_fixed(rd, key_digest.bytes, BBM_DIGEST_SIZE);
    claim_key key = claim_key_of(customer, &key_digest);
    if (rd->failed || find_claim(c, &key)) {
        rd->failed = true;
        return;
    }
    claim *row = add_claim(c, &key);
    bbm_get_fixed(rd, row->request_digest.bytes, BBM_DIGEST_SIZE);
    row->request.run = bbm_get_u64(rd);
    row->request.sequence = bbm_get_u64(rd);
    bbm_get_name(rd, row->node);
    row->created_ms = bbm_get_i64(rd);
    row->state = (claim_state)bbm_get_u32(rd, CLAIM_UNKNOWN);
    row->answer_stored = bbm_get_u32(rd, 1) != 0;
    row->status = bbm_get_u32(rd, 999);
    bbm_get_name(rd, row->content_type);
    bbm_bytes answer = bbm_get_bytes(rd);
    bbm_buf_add(&row->answer, answer.data, answer.len);
    c->answer_bytes += row->answer.len;
}

int
bbm_claims_decode(bbm_claims *claims, bbm_reader *rd)
{
    bbm_claims *decoded = bbm_claims_create(&claims->desc);
    decoded->now_ms = bbm_get_i64(rd);
    size_t len = bbm_get_u32(rd, SNAPSHOT_CLAIMS_MAX);
    for (size_t i = 0; i < len && !rd->failed; i++)
        decode_claim(decoded, rd);
    if (rd->failed) {
        bbm_claims_destroy(decoded);
        return BBM_ERR_DECODE;
    }
    clear_claims(claims);
    claims->table = decoded->table;
    claims->customer_counts = decoded->customer_counts;
    claims->answer_bytes = decoded->answer_bytes;
    claims->now_ms = decoded->now_ms;
    TAILQ_CONCAT(&claims->by_age, &decoded->by_age, link);
    free(decoded);
    return BBM_OK;
}
