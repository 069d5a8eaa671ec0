#include "bbm_claims.h"

#include "bbm_codes.h"
#include "bbm_table.h"

#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#define DEFAULT_KEEP_MS ((int64_t)24 * 3600 * 1000)
#define DEFAULT_CLAIMS_MOST 20000
#define DEFAULT_BYTES_MOST ((size_t)32 * 1024 * 1024)
/* More claims in a snapshot than this are taken for damage. */
#define CLAIMS_IN_SNAPSHOT_MOST 10000000

typedef enum claim_state {
    CLAIM_RUNNING,
    CLAIM_ANSWERED,
    CLAIM_UNKNOWN,
} claim_state;

/* What a claim is found by. */
typedef struct claim_name {
    char customer[BBM_NAME_SIZE];
    bbm_digest idem;
} claim_name;

typedef struct claim {
    claim_name name;
    bbm_digest body;
    bbm_request_id request;
    char node[BBM_NAME_SIZE];
    int64_t made_ms;
    claim_state state;
    bool kept; /* the answer is kept */
    uint32_t status;
    char type[BBM_NAME_SIZE];
    bbm_buf answer;
    TAILQ_ENTRY(claim) link; /* oldest first */
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
    customer_count *counts;
    size_t bytes;   /* of kept answers */
    int64_t now_ms; /* highest calendar time seen in a command */
};

bbm_claims *
bbm_claims_create(const bbm_claims_desc *desc)
{
    bbm_claims *c = bbm_calloc(1, sizeof(*c));
    c->desc = *desc;
    if (!c->desc.retention_ms)
        c->desc.retention_ms = DEFAULT_KEEP_MS;
    if (!c->desc.claims_per_customer_max)
        c->desc.claims_per_customer_max = DEFAULT_CLAIMS_MOST;
    if (!c->desc.answer_bytes_max)
        c->desc.answer_bytes_max = DEFAULT_BYTES_MOST;
    TAILQ_INIT(&c->by_age);
    return c;
}

static customer_count *
count_of(bbm_claims *c, const char *customer)
{
    customer_count *count = NULL;
    HASH_FIND_STR(c->counts, customer, count);
    if (!count) {
        count = bbm_calloc(1, sizeof(*count));
        bbm_name_set(count->name, customer);
        HASH_ADD_STR(c->counts, name, count);
    }
    return count;
}

static void
drop_claim(bbm_claims *c, claim *one)
{
    count_of(c, one->name.customer)->claims--;
    c->bytes -= one->answer.len;
    TAILQ_REMOVE(&c->by_age, one, link);
    HASH_DEL(c->table, one);
    bbm_buf_free(&one->answer);
    free(one);
}

static void
clear(bbm_claims *c)
{
    claim *one;
    while ((one = TAILQ_FIRST(&c->by_age)) != NULL)
        drop_claim(c, one);
    BBM_TABLE_FREE(customer_count, c->counts);
}

void
bbm_claims_destroy(bbm_claims *claims)
{
    if (!claims)
        return;
    clear(claims);
    free(claims);
}

static claim_name
name_of(const char *customer, const bbm_digest *idem)
{
    claim_name name;
    memset(&name, 0, sizeof(name));
    bbm_name_set(name.customer, customer);
    name.idem = *idem;
    return name;
}

static claim *
find_claim(const bbm_claims *c, const claim_name *name)
{
    claim *one = NULL;
    HASH_FIND(hh, c->table, name, sizeof(*name), one);
    return one;
}

static claim *
add_claim(bbm_claims *c, const claim_name *name)
{
    claim *one = bbm_calloc(1, sizeof(*one));
    one->name = *name;
    HASH_ADD(hh, c->table, name, sizeof(one->name), one);
    TAILQ_INSERT_TAIL(&c->by_age, one, link);
    count_of(c, name->customer)->claims++;
    return one;
}

static void
expire(bbm_claims *c, int64_t at_ms)
{
    if (at_ms > c->now_ms)
        c->now_ms = at_ms;
    claim *one;
    while ((one = TAILQ_FIRST(&c->by_age)) != NULL
           && c->now_ms - one->made_ms > c->desc.retention_ms)
        drop_claim(c, one);
}

static void
answer_repeat(const claim *one, bbm_outcome *out)
{
    switch (one->state) {
    case CLAIM_RUNNING:
        out->code = BBM_ERR_IDEM_RUNNING;
        return;
    case CLAIM_UNKNOWN:
        out->code = BBM_ERR_IDEM_UNKNOWN;
        return;
    case CLAIM_ANSWERED:
        break;
    }
    if (!one->kept) {
        out->code = BBM_ERR_IDEM_UNKNOWN;
        return;
    }
    out->answered = true;
    out->status = one->status;
    bbm_name_set(out->type, one->type);
    bbm_buf_add(&out->body, one->answer.data, one->answer.len);
}

static void
make_claim(bbm_claims *c, const bbm_command *cmd, bbm_outcome *out)
{
    claim_name name = name_of(cmd->u.claim.customer, &cmd->u.claim.idem);
    claim *one = find_claim(c, &name);
    if (one) {
        if (!bbm_digest_same(&one->body, &cmd->u.claim.body))
            out->code = BBM_ERR_IDEM_REUSED;
        else if (bbm_request_same(one->request, cmd->u.claim.request)
                 && one->state == CLAIM_RUNNING)
            out->code = BBM_OK;
        else
            answer_repeat(one, out);
        return;
    }
    bool full =
        count_of(c, name.customer)->claims >= c->desc.claims_per_customer_max;
    if (full) {
        out->code = BBM_ERR_IDEM_FULL;
        return;
    }
    one = add_claim(c, &name);
    one->body = cmd->u.claim.body;
    one->request = cmd->u.claim.request;
    bbm_name_set(one->node, cmd->u.claim.node);
    one->made_ms = c->now_ms;
}

static void
end_claim(bbm_claims *c, const bbm_command *cmd, bbm_outcome *out)
{
    claim_name name =
        name_of(cmd->u.claim_end.customer, &cmd->u.claim_end.idem);
    claim *one = find_claim(c, &name);
    bool ours =
        one && bbm_request_same(one->request, cmd->u.claim_end.request);
    if (!ours) {
        out->code = BBM_ERR_NOT_FOUND;
        return;
    }
    if (one->state == CLAIM_ANSWERED)
        return;
    switch (cmd->u.claim_end.how) {
    case BBM_CLAIM_NOT_RUN:
        /* Not after it was closed as unknown: its VM was thought gone, and a
           repeat may have been told so already. */
        if (one->state == CLAIM_RUNNING)
            drop_claim(c, one);
        return;
    case BBM_CLAIM_UNKNOWN:
        one->state = CLAIM_UNKNOWN;
        return;
    case BBM_CLAIM_ANSWERED:
        break;
    }
    one->state = CLAIM_ANSWERED;
    one->status = cmd->u.claim_end.status;
    bbm_name_set(one->type, cmd->u.claim_end.type);
    bbm_bytes body = cmd->u.claim_end.body;
    one->kept = c->bytes + body.len <= c->desc.answer_bytes_max;
    if (one->kept) {
        bbm_buf_add(&one->answer, body.data, body.len);
        c->bytes += one->answer.len;
    }
}

static bool
is_orphan(const claim *one, const char *node, uint64_t run)
{
    return one->state == CLAIM_RUNNING && strcmp(one->node, node) == 0
           && one->request.run != run;
}

static void
close_orphans(bbm_claims *c, const bbm_command *cmd)
{
    claim *one;
    TAILQ_FOREACH(one, &c->by_age, link)
    {
        if (is_orphan(one, cmd->u.run_ended.node, cmd->u.run_ended.run))
            one->state = CLAIM_UNKNOWN;
    }
}

void
bbm_claims_apply(bbm_claims *claims, const bbm_command *cmd, bbm_outcome *out)
{
    expire(claims, cmd->at_ms);
    if (cmd->kind == BBM_CMD_CLAIM)
        make_claim(claims, cmd, out);
    else if (cmd->kind == BBM_CMD_CLAIM_END)
        end_claim(claims, cmd, out);
    else if (cmd->kind == BBM_CMD_RUN_ENDED)
        close_orphans(claims, cmd);
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
    const claim *one;
    TAILQ_FOREACH(one, &claims->by_age, link)
    {
        if (one->state != CLAIM_RUNNING)
            continue;
        if (!fn(context, one->node, one->request.run))
            return;
    }
}

/* ---- snapshots ---- */

void
bbm_claims_encode(const bbm_claims *claims, bbm_buf *buf)
{
    bbm_put_i64(buf, claims->now_ms);
    bbm_put_u64(buf, HASH_COUNT(claims->table));
    const claim *one;
    TAILQ_FOREACH(one, &claims->by_age, link)
    {
        bbm_put_str(buf, one->name.customer);
        bbm_put_bytes(buf, one->name.idem.bytes, BBM_DIGEST_SIZE);
        bbm_put_bytes(buf, one->body.bytes, BBM_DIGEST_SIZE);
        bbm_put_u64(buf, one->request.run);
        bbm_put_u64(buf, one->request.sequence);
        bbm_put_str(buf, one->node);
        bbm_put_i64(buf, one->made_ms);
        bbm_put_u64(buf, one->state);
        bbm_put_u64(buf, one->kept);
        bbm_put_u64(buf, one->status);
        bbm_put_str(buf, one->type);
        bbm_put_bytes(buf, one->answer.data, one->answer.len);
    }
}

static void
decode_claim(bbm_claims *c, bbm_reader *rd)
{
    char customer[BBM_NAME_SIZE];
    bbm_digest idem;
    bbm_get_name(rd, customer);
    bbm_get_fixed(rd, idem.bytes, BBM_DIGEST_SIZE);
    claim_name name = name_of(customer, &idem);
    if (rd->failed || find_claim(c, &name)) {
        rd->failed = true;
        return;
    }
    claim *one = add_claim(c, &name);
    bbm_get_fixed(rd, one->body.bytes, BBM_DIGEST_SIZE);
    one->request.run = bbm_get_u64(rd);
    one->request.sequence = bbm_get_u64(rd);
    bbm_get_name(rd, one->node);
    one->made_ms = bbm_get_i64(rd);
    one->state = (claim_state)bbm_get_u32(rd, CLAIM_UNKNOWN);
    one->kept = bbm_get_u32(rd, 1) != 0;
    one->status = bbm_get_u32(rd, 999);
    bbm_get_name(rd, one->type);
    bbm_bytes answer = bbm_get_bytes(rd);
    bbm_buf_add(&one->answer, answer.data, answer.len);
    c->bytes += one->answer.len;
}

int
bbm_claims_decode(bbm_claims *claims, bbm_reader *rd)
{
    bbm_claims *fresh = bbm_claims_create(&claims->desc);
    fresh->now_ms = bbm_get_i64(rd);
    size_t len = bbm_get_u32(rd, CLAIMS_IN_SNAPSHOT_MOST);
    for (size_t i = 0; i < len && !rd->failed; i++)
        decode_claim(fresh, rd);
    if (rd->failed) {
        bbm_claims_destroy(fresh);
        return BBM_ERR_DECODE;
    }
    clear(claims);
    claims->table = fresh->table;
    claims->counts = fresh->counts;
    claims->bytes = fresh->bytes;
    claims->now_ms = fresh->now_ms;
    TAILQ_CONCAT(&claims->by_age, &fresh->by_age, link);
    free(fresh);
    return BBM_OK;
}
