#include "bbm_command.h"

#include "bbm_codes.h"
#include "bbm_deflate.h"

/* Commands with another format version are refused. */
#define COMMAND_FORMAT_VERSION 2
/* Result codes are encoded as their absolute value, up to this. */
#define RESULT_CODE_MAX 100000
/* Documents of fewer bytes are not compressed. */
#define DEFLATE_BYTES_MIN ((size_t)4 * 1024)
/* Documents of more bytes are neither compressed nor restored: a few bytes of
   a message must not take the memory of a VM. */
#define DEFLATE_BYTES_MAX ((size_t)16 * 1024 * 1024)

/* ---- shared fields ---- */

static void
put_digest(bbm_buf *buf, const bbm_digest *d)
{
    bbm_put_bytes(buf, d->bytes, sizeof(d->bytes));
}

static void
get_digest(bbm_reader *rd, bbm_digest *d)
{
    bbm_get_fixed(rd, d->bytes, sizeof(d->bytes));
}

static void
put_request(bbm_buf *buf, bbm_request_id id)
{
    bbm_put_u64(buf, id.run);
    bbm_put_u64(buf, id.sequence);
}

static bbm_request_id
get_request(bbm_reader *rd)
{
    bbm_request_id id = {.run = bbm_get_u64(rd)};
    id.sequence = bbm_get_u64(rd);
    return id;
}

static void
put_code(bbm_buf *buf, int code)
{
    bbm_put_u64(buf, (uint64_t)-code);
}

static int
get_code(bbm_reader *rd)
{
    return -(int)bbm_get_u32(rd, RESULT_CODE_MAX);
}

bool
bbm_request_same(bbm_request_id a, bbm_request_id b)
{
    return a.run == b.run && a.sequence == b.sequence;
}

/* ---- commands ---- */

void
bbm_quarantined_put(bbm_buf *buf, const bbm_quarantined *q)
{
    bbm_put_u64(buf, q->part);
    bbm_put_i64(buf, q->last_crash_ms);
    bbm_put_i64(buf, q->until_ms);
    bbm_put_u64(buf, q->times);
}

void
bbm_quarantined_get(bbm_reader *rd, bbm_quarantined *q)
{
    q->part = bbm_get_u64(rd);
    q->last_crash_ms = bbm_get_i64(rd);
    q->until_ms = bbm_get_i64(rd);
    q->times = bbm_get_u32(rd, UINT32_MAX);
}

static void
put_publish(const bbm_command *cmd, bbm_buf *buf)
{
    bbm_put_str(buf, cmd->u.publish.id);
    bbm_put_str(buf, cmd->u.publish.author);
    bbm_put_u64(buf, cmd->u.publish.expected);
    bbm_put_u64(buf, cmd->u.publish.version);
}

void
bbm_command_encode(const bbm_command *cmd, bbm_buf *buf)
{
    bbm_put_u64(buf, COMMAND_FORMAT_VERSION);
    bbm_put_u64(buf, cmd->kind);
    bbm_put_i64(buf, cmd->at_ms);
    switch (cmd->kind) {
    case BBM_CMD_PUBLISH:
        put_publish(cmd, buf);
        bbm_put_bytes(buf, cmd->u.publish.text.data, cmd->u.publish.text.len);
        bbm_put_bytes(buf, cmd->u.publish.source.data,
                      cmd->u.publish.source.len);
        return;
    case BBM_CMD_PUBLISH_DEFLATED:
        put_publish(cmd, buf);
        bbm_put_u64(buf, cmd->u.publish.text.len);
        bbm_put_u64(buf, cmd->u.publish.source.len);
        bbm_put_bytes(buf, cmd->u.publish.deflated.data,
                      cmd->u.publish.deflated.len);
        return;
    case BBM_CMD_KEY_ADD:
        bbm_put_str(buf, cmd->u.key.name);
        bbm_put_str(buf, cmd->u.key.customer);
        put_digest(buf, &cmd->u.key.digest);
        return;
    case BBM_CMD_KEY_WITHDRAW:
        bbm_put_str(buf, cmd->u.key.name);
        return;
    case BBM_CMD_DRAIN:
        bbm_put_str(buf, cmd->u.drain.node);
        bbm_put_u64(buf, cmd->u.drain.draining);
        return;
    case BBM_CMD_WEIGHTS:
        bbm_put_str(buf, cmd->u.weights.model);
        bbm_put_u64(buf, cmd->u.weights.version);
        return;
    case BBM_CMD_CLAIM:
        bbm_put_str(buf, cmd->u.claim.customer);
        put_digest(buf, &cmd->u.claim.key_digest);
        put_digest(buf, &cmd->u.claim.request_digest);
        put_request(buf, cmd->u.claim.request);
        bbm_put_str(buf, cmd->u.claim.node);
        return;
    case BBM_CMD_CLAIM_END:
        bbm_put_str(buf, cmd->u.claim_end.customer);
        put_digest(buf, &cmd->u.claim_end.key_digest);
        put_request(buf, cmd->u.claim_end.request);
        bbm_put_u64(buf, cmd->u.claim_end.result);
        bbm_put_u64(buf, cmd->u.claim_end.status);
        bbm_put_str(buf, cmd->u.claim_end.type);
        bbm_put_bytes(buf, cmd->u.claim_end.body.data,
                      cmd->u.claim_end.body.len);
        return;
    case BBM_CMD_RUN_ENDED:
        bbm_put_str(buf, cmd->u.run_ended.node);
        bbm_put_u64(buf, cmd->u.run_ended.run);
        return;
    case BBM_CMD_ORDER:
        bbm_put_str(buf, cmd->u.order.id);
        bbm_put_str(buf, cmd->u.order.engine);
        bbm_put_str(buf, cmd->u.order.weights);
        return;
    case BBM_CMD_ORDER_END:
        bbm_put_str(buf, cmd->u.order_end.id);
        bbm_put_u64(buf, cmd->u.order_end.state);
        put_code(buf, cmd->u.order_end.code);
        return;
    case BBM_CMD_ORDER_PAUSE:
        bbm_put_u64(buf, cmd->u.order_pause.paused);
        return;
    case BBM_CMD_LEDGER:
        bbm_put_str(buf, cmd->u.ledger.customer);
        bbm_put_bytes(buf, cmd->u.ledger.ledger.data,
                      cmd->u.ledger.ledger.len);
        return;
    case BBM_CMD_QUARANTINE:
        bbm_quarantined_put(buf, &cmd->u.quarantine);
        return;
    case BBM_CMD_ORIGINS:
        bbm_put_bytes(buf, cmd->u.origins.rows.data, cmd->u.origins.rows.len);
        return;
    case BBM_CMD_RELEASE:
        bbm_put_u64(buf, cmd->u.release.is_order);
        bbm_release_info_put(buf, &cmd->u.release.info);
        return;
    case BBM_CMD_KIND_COUNT:
        return;
    }
}

static void
decode_claim_end(bbm_reader *rd, bbm_command *cmd)
{
    bbm_get_name(rd, cmd->u.claim_end.customer);
    get_digest(rd, &cmd->u.claim_end.key_digest);
    cmd->u.claim_end.request = get_request(rd);
    cmd->u.claim_end.result =
        (bbm_claim_end)bbm_get_u32(rd, BBM_CLAIM_NOT_RUN);
    cmd->u.claim_end.status = bbm_get_u32(rd, 999);
    bbm_get_name(rd, cmd->u.claim_end.type);
    cmd->u.claim_end.body = bbm_get_bytes(rd);
    if (cmd->u.claim_end.body.len > BBM_ANSWER_BYTES_MAX)
        rd->failed = true;
}

static void
decode_claim(bbm_reader *rd, bbm_command *cmd)
{
    bbm_get_name(rd, cmd->u.claim.customer);
    get_digest(rd, &cmd->u.claim.key_digest);
    get_digest(rd, &cmd->u.claim.request_digest);
    cmd->u.claim.request = get_request(rd);
    bbm_get_name(rd, cmd->u.claim.node);
}

static void
decode_publish(bbm_reader *rd, bbm_command *cmd)
{
    bbm_get_name(rd, cmd->u.publish.id);
    bbm_get_name(rd, cmd->u.publish.author);
    cmd->u.publish.expected = bbm_get_u64(rd);
    cmd->u.publish.version = bbm_get_u64(rd);
    if (cmd->kind == BBM_CMD_PUBLISH) {
        cmd->u.publish.text = bbm_get_bytes(rd);
        cmd->u.publish.source = bbm_get_bytes(rd);
        return;
    }
    cmd->u.publish.text.len = bbm_get_u32(rd, DEFLATE_BYTES_MAX);
    cmd->u.publish.source.len = bbm_get_u32(rd, DEFLATE_BYTES_MAX);
    cmd->u.publish.deflated = bbm_get_bytes(rd);
}

static void
decode_fields(bbm_reader *rd, bbm_command *cmd)
{
    switch (cmd->kind) {
    case BBM_CMD_PUBLISH:
    case BBM_CMD_PUBLISH_DEFLATED:
        decode_publish(rd, cmd);
        return;
    case BBM_CMD_KEY_ADD:
        bbm_get_name(rd, cmd->u.key.name);
        bbm_get_name(rd, cmd->u.key.customer);
        get_digest(rd, &cmd->u.key.digest);
        return;
    case BBM_CMD_KEY_WITHDRAW:
        bbm_get_name(rd, cmd->u.key.name);
        return;
    case BBM_CMD_DRAIN:
        bbm_get_name(rd, cmd->u.drain.node);
        cmd->u.drain.draining = bbm_get_u32(rd, 1) != 0;
        return;
    case BBM_CMD_WEIGHTS:
        bbm_get_name(rd, cmd->u.weights.model);
        cmd->u.weights.version = bbm_get_u64(rd);
        return;
    case BBM_CMD_CLAIM:
        decode_claim(rd, cmd);
        return;
    case BBM_CMD_CLAIM_END:
        decode_claim_end(rd, cmd);
        return;
    case BBM_CMD_RUN_ENDED:
        bbm_get_name(rd, cmd->u.run_ended.node);
        cmd->u.run_ended.run = bbm_get_u64(rd);
        return;
    case BBM_CMD_ORDER:
        bbm_get_name(rd, cmd->u.order.id);
        bbm_get_name(rd, cmd->u.order.engine);
        bbm_get_name(rd, cmd->u.order.weights);
        return;
    case BBM_CMD_ORDER_END:
        bbm_get_name(rd, cmd->u.order_end.id);
        cmd->u.order_end.state =
            (bbm_order_state)bbm_get_u32(rd, BBM_ORDER_FAILED);
        cmd->u.order_end.code = get_code(rd);
        return;
    case BBM_CMD_ORDER_PAUSE:
        cmd->u.order_pause.paused = bbm_get_u32(rd, 1) != 0;
        return;
    case BBM_CMD_LEDGER:
        bbm_get_name(rd, cmd->u.ledger.customer);
        cmd->u.ledger.ledger = bbm_get_bytes(rd);
        return;
    case BBM_CMD_QUARANTINE:
        bbm_quarantined_get(rd, &cmd->u.quarantine);
        return;
    case BBM_CMD_ORIGINS:
        cmd->u.origins.rows = bbm_get_bytes(rd);
        return;
    case BBM_CMD_RELEASE:
        cmd->u.release.is_order = bbm_get_u32(rd, 1) != 0;
        bbm_release_info_get(rd, &cmd->u.release.info);
        return;
    case BBM_CMD_KIND_COUNT:
        return;
    }
}

int
bbm_command_decode(const uint8_t *data, size_t len, bbm_command *cmd)
{
    *cmd = (bbm_command){0};
    bbm_reader rd = bbm_reader_of(data, len);
    if (bbm_get_u64(&rd) != COMMAND_FORMAT_VERSION)
        return BBM_ERR_DECODE;
    cmd->kind = (bbm_command_kind)bbm_get_u32(&rd, BBM_CMD_KIND_COUNT - 1);
    cmd->at_ms = bbm_get_i64(&rd);
    if (!rd.failed)
        decode_fields(&rd, cmd);
    return bbm_reader_done(&rd) ? BBM_OK : BBM_ERR_DECODE;
}

/* Type of an encoded command; BBM_CMD_KIND_COUNT if it isn't known. */
static bbm_command_kind
kind_of(const uint8_t *data, size_t len)
{
    bbm_reader rd = bbm_reader_of(data, len);
    uint64_t version = bbm_get_u64(&rd);
    uint64_t kind = bbm_get_u64(&rd);
    bool known = !rd.failed && version == COMMAND_FORMAT_VERSION
                 && kind < BBM_CMD_KIND_COUNT;
    return known ? (bbm_command_kind)kind : BBM_CMD_KIND_COUNT;
}

bool
bbm_command_is_public(const uint8_t *data, size_t len)
{
    return bbm_command_kind_is_public(kind_of(data, len));
}

bbm_format
bbm_command_format(const uint8_t *data, size_t len)
{
    switch (kind_of(data, len)) {
    case BBM_CMD_QUARANTINE:
        return BBM_FORMAT_QUARANTINE;
    case BBM_CMD_ORIGINS:
        return BBM_FORMAT_ORIGINS;
    case BBM_CMD_RELEASE:
        return BBM_FORMAT_RELEASES;
    case BBM_CMD_PUBLISH_DEFLATED:
        return BBM_FORMAT_DEFLATED;
    case BBM_CMD_KIND_COUNT:
        return BBM_FORMAT_COUNT;
    default:
        return BBM_FORMAT_PLACEMENTS;
    }
}

/* ---- compressed documents ---- */

void
bbm_command_deflate(bbm_command *cmd, bbm_buf *storage)
{
    bbm_bytes text = cmd->u.publish.text;
    bbm_bytes source = cmd->u.publish.source;
    size_t len = text.len + source.len;
    if (cmd->kind != BBM_CMD_PUBLISH || len < DEFLATE_BYTES_MIN
        || len > DEFLATE_BYTES_MAX)
        return;
    bbm_buf documents = {0};
    bbm_buf_add(&documents, text.data, text.len);
    bbm_buf_add(&documents, source.data, source.len);
    bbm_deflate(bbm_buf_view(&documents), storage);
    bbm_buf_free(&documents);
    cmd->kind = BBM_CMD_PUBLISH_DEFLATED;
    cmd->u.publish.text.data = NULL;
    cmd->u.publish.source.data = NULL;
    cmd->u.publish.deflated = bbm_buf_view(storage);
}

int
bbm_command_inflate(bbm_command *cmd, bbm_buf *storage)
{
    if (cmd->kind != BBM_CMD_PUBLISH_DEFLATED)
        return BBM_OK;
    bbm_bytes *text = &cmd->u.publish.text;
    bbm_bytes *source = &cmd->u.publish.source;
    size_t len = text->len + source->len;
    if (text->len > DEFLATE_BYTES_MAX || source->len > DEFLATE_BYTES_MAX
        || len > DEFLATE_BYTES_MAX
        || bbm_inflate(cmd->u.publish.deflated, len, storage) < 0)
        return BBM_ERR_DECODE;
    cmd->kind = BBM_CMD_PUBLISH;
    text->data = storage->data;
    source->data = storage->data + text->len;
    return BBM_OK;
}

int
bbm_command_convert(const uint8_t *data, size_t len, bbm_format format,
                    bbm_buf *buf)
{
    if (bbm_command_format(data, len) <= format) {
        bbm_buf_add(buf, data, len);
        return BBM_OK;
    }
    bbm_command cmd;
    bbm_buf documents = {0};
    int rc = bbm_command_decode(data, len, &cmd);
    if (rc == BBM_OK && cmd.kind != BBM_CMD_PUBLISH_DEFLATED)
        rc = BBM_ERR_DECODE;
    if (rc == BBM_OK)
        rc = bbm_command_inflate(&cmd, &documents);
    if (rc == BBM_OK)
        bbm_command_encode(&cmd, buf);
    bbm_buf_free(&documents);
    return rc;
}

/* ---- outcomes ---- */

void
bbm_outcome_encode(const bbm_outcome *out, bbm_buf *buf)
{
    put_code(buf, out->code);
    bbm_put_u64(buf, out->number);
    bbm_put_u64(buf, out->answered);
    bbm_put_u64(buf, out->status);
    bbm_put_str(buf, out->type);
    bbm_put_bytes(buf, out->body.data, out->body.len);
}

void
bbm_outcome_decode(bbm_reader *rd, bbm_outcome *out)
{
    *out = (bbm_outcome){.code = get_code(rd)};
    out->number = bbm_get_u64(rd);
    out->answered = bbm_get_u32(rd, 1) != 0;
    out->status = bbm_get_u32(rd, 999);
    bbm_get_name(rd, out->type);
    bbm_bytes body = bbm_get_bytes(rd);
    bbm_buf_add(&out->body, body.data, body.len);
}

void
bbm_outcome_free(bbm_outcome *out)
{
    bbm_buf_free(&out->body);
}
