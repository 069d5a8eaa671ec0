#include "bbm_state.h"

#include "bbm_codes.h"

#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

/* Versions of snapshots.  The first has no quarantined prompt parts, the ones
   from VERSION_ORIGINS have origins of streams, those from VERSION_RELEASES
   have releases, and the last may have compressed configurations. */
#define VERSION_PLACEMENTS 2
#define VERSION_QUARANTINE 3
#define VERSION_ORIGINS 4
#define VERSION_RELEASES 5
#define VERSION_DEFLATED 6
/* Maximum number of streams whose origins are kept. */
#define ORIGINS_MAX 65536
/* Maximum number of ledgers in a snapshot. */
#define LEDGERS_MAX 1000000
#define DEFAULT_REVISION_TEXTS 64
#define DEFAULT_TAIL_COMMANDS 256
#define DEFAULT_TAIL_BYTES ((size_t)4 * 1024 * 1024)

typedef struct tail_row {
    bbm_tail_item item;
    uint8_t *data;
    TAILQ_ENTRY(tail_row) link;
} tail_row;

typedef struct ledger_row {
    char customer[BBM_NAME_SIZE];
    bbm_buf bytes;
    UT_hash_handle hh;
} ledger_row;

struct bbm_state {
    bbm_state_desc desc;
    bbm_registry *registry;
    bbm_claims *claims;
    bbm_orders *orders;
    ledger_row *ledgers;
    bbm_origins *origins;
    uint64_t index;
    uint64_t public_index;
    TAILQ_HEAD(, tail_row) tail;
    size_t tail_len;
    size_t tail_bytes;
};

bbm_state *
bbm_state_create(const bbm_state_desc *desc)
{
    bbm_state *s = bbm_calloc(1, sizeof(*s));
    s->desc = *desc;
    if (!s->desc.format)
        s->desc.format = BBM_FORMAT_LATEST;
    if (!s->desc.revision_texts_max)
        s->desc.revision_texts_max = DEFAULT_REVISION_TEXTS;
    if (!s->desc.tail_commands_max)
        s->desc.tail_commands_max = DEFAULT_TAIL_COMMANDS;
    if (!s->desc.tail_bytes_max)
        s->desc.tail_bytes_max = DEFAULT_TAIL_BYTES;
    s->registry = bbm_registry_create(s->desc.revision_texts_max);
    s->claims = bbm_claims_create(&s->desc.claims);
    s->orders = bbm_orders_create();
    s->origins = bbm_origins_create(ORIGINS_MAX);
    TAILQ_INIT(&s->tail);
    return s;
}

static void
drop_oldest_tail_row(bbm_state *s)
{
    tail_row *row = TAILQ_FIRST(&s->tail);
    TAILQ_REMOVE(&s->tail, row, link);
    s->tail_len--;
    s->tail_bytes -= row->item.bytes.len;
    free(row->data);
    free(row);
}

static void
clear_tail(bbm_state *s)
{
    while (s->tail_len)
        drop_oldest_tail_row(s);
}

/* ---- rate ledgers ---- */

static void
set_ledger(bbm_state *s, const char *customer, bbm_bytes bytes)
{
    ledger_row *row = NULL;
    HASH_FIND_STR(s->ledgers, customer, row);
    if (!row) {
        row = bbm_calloc(1, sizeof(*row));
        bbm_name_set(row->customer, customer);
        HASH_ADD_STR(s->ledgers, customer, row);
    }
    row->bytes.len = 0;
    bbm_buf_add(&row->bytes, bytes.data, bytes.len);
}

static void
clear_ledgers(bbm_state *s)
{
    ledger_row *row, *next;
    HASH_ITER(hh, s->ledgers, row, next)
    {
        HASH_DEL(s->ledgers, row);
        bbm_buf_free(&row->bytes);
        free(row);
    }
}

bool
bbm_state_ledger(const bbm_state *state, const char *customer,
                 bbm_bytes *ledger)
{
    ledger_row *row = NULL;
    HASH_FIND_STR(state->ledgers, customer, row);
    if (row)
        *ledger = bbm_buf_view(&row->bytes);
    return row != NULL;
}

static void
encode_ledgers(const bbm_state *s, bbm_buf *buf)
{
    bbm_put_u64(buf, HASH_COUNT(s->ledgers));
    for (const ledger_row *row = s->ledgers; row; row = row->hh.next) {
        bbm_put_str(buf, row->customer);
        bbm_put_bytes(buf, row->bytes.data, row->bytes.len);
    }
}

static bool
decode_ledgers(bbm_state *s, bbm_reader *rd)
{
    size_t len = bbm_get_u32(rd, LEDGERS_MAX);
    for (size_t i = 0; i < len && !rd->failed; i++) {
        char customer[BBM_NAME_SIZE];
        bbm_get_name(rd, customer);
        set_ledger(s, customer, bbm_get_bytes(rd));
    }
    return !rd->failed;
}

void
bbm_state_destroy(bbm_state *state)
{
    if (!state)
        return;
    clear_tail(state);
    clear_ledgers(state);
    bbm_registry_destroy(state->registry);
    bbm_claims_destroy(state->claims);
    bbm_orders_destroy(state->orders);
    bbm_origins_destroy(state->origins);
    free(state);
}

/* ---- origins of streams ---- */

/* A row outlives the stream by this, as the proposers' clocks may differ. */
#define ORIGIN_CLOCK_MARGIN_MS 15000

static void
add_origins(bbm_state *s, const bbm_command *cmd, bbm_outcome *out)
{
    bbm_reader rd =
        bbm_reader_of(cmd->u.origins.rows.data, cmd->u.origins.rows.len);
    size_t len = bbm_get_u32(&rd, BBM_ORIGIN_ROWS_MAX);
    for (size_t i = 0; i < len && !rd.failed; i++) {
        bbm_origin_row row;
        bbm_origin_row_get(&rd, &row);
        row.life_ms += ORIGIN_CLOCK_MARGIN_MS;
        if (!rd.failed)
            bbm_origins_add(s->origins, &row, cmd->at_ms);
    }
    if (!bbm_reader_done(&rd))
        out->code = BBM_ERR_DECODE;
}

const bbm_origins *
bbm_state_origins(const bbm_state *state)
{
    return state->origins;
}

/* ---- applying ---- */

static void
add_to_tail(bbm_state *s, uint64_t index, const uint8_t *data, size_t len)
{
    tail_row *row = bbm_calloc(1, sizeof(*row));
    row->data = bbm_memdup(data, len);
    row->item = (bbm_tail_item){
        .index = index,
        .previous = s->public_index,
        .bytes = {.data = row->data, .len = len},
    };
    TAILQ_INSERT_TAIL(&s->tail, row, link);
    s->tail_len++;
    s->tail_bytes += len;
    bool tail_full = s->tail_len > s->desc.tail_commands_max
                     || s->tail_bytes > s->desc.tail_bytes_max;
    while (tail_full && s->tail_len > 1) {
        drop_oldest_tail_row(s);
        tail_full = s->tail_len > s->desc.tail_commands_max
                    || s->tail_bytes > s->desc.tail_bytes_max;
    }
}

static void
apply_command(bbm_state *s, const bbm_command *cmd, uint64_t index,
              bbm_outcome *out)
{
    switch (cmd->kind) {
    case BBM_CMD_PUBLISH:
    case BBM_CMD_PUBLISH_DEFLATED:
    case BBM_CMD_KEY_ADD:
    case BBM_CMD_KEY_WITHDRAW:
    case BBM_CMD_DRAIN:
    case BBM_CMD_WEIGHTS:
    case BBM_CMD_QUARANTINE:
    case BBM_CMD_RELEASE:
        bbm_registry_apply(s->registry, cmd, out);
        return;
    case BBM_CMD_CLAIM:
    case BBM_CMD_CLAIM_END:
    case BBM_CMD_RUN_ENDED:
        bbm_claims_apply(s->claims, cmd, out);
        return;
    case BBM_CMD_ORDER:
    case BBM_CMD_ORDER_END:
    case BBM_CMD_ORDER_PAUSE:
        bbm_orders_apply(s->orders, cmd, index, out);
        return;
    case BBM_CMD_LEDGER:
        set_ledger(s, cmd->u.ledger.customer, cmd->u.ledger.ledger);
        return;
    case BBM_CMD_ORIGINS:
        add_origins(s, cmd, out);
        return;
    case BBM_CMD_KIND_COUNT:
        out->code = BBM_ERR_ARGUMENT;
        return;
    }
}

void
bbm_state_apply(bbm_state *state, uint64_t index, const uint8_t *data,
                size_t len, bbm_outcome *out)
{
    *out = (bbm_outcome){0};
    if (index <= state->index)
        return;
    state->index = index;
    bbm_command cmd;
    out->code = bbm_command_decode(data, len, &cmd);
    if (out->code == BBM_OK
        && bbm_command_format(data, len) > state->desc.format)
        out->code = BBM_ERR_DECODE;
    if (out->code < 0)
        return;
    apply_command(state, &cmd, index, out);
    if (!bbm_command_kind_is_public(cmd.kind))
        return;
    add_to_tail(state, index, data, len);
    state->public_index = index;
}

uint64_t
bbm_state_index(const bbm_state *state)
{
    return state->index;
}

uint64_t
bbm_state_public_index(const bbm_state *state)
{
    return state->public_index;
}

const bbm_registry *
bbm_state_registry(const bbm_state *state)
{
    return state->registry;
}

const bbm_claims *
bbm_state_claims(const bbm_state *state)
{
    return state->claims;
}

const bbm_orders *
bbm_state_orders(const bbm_state *state)
{
    return state->orders;
}

bool
bbm_state_tail(const bbm_state *state, uint64_t since, bbm_tail_item *item)
{
    const tail_row *row;
    TAILQ_FOREACH(row, &state->tail, link)
    {
        if (row->item.previous == since) {
            *item = row->item;
            return true;
        }
    }
    return false;
}

size_t
bbm_state_tail_bytes(const bbm_state *state)
{
    return state->tail_bytes;
}

/* ---- snapshots ---- */

uint64_t
bbm_state_version(bbm_format format)
{
    if (format >= BBM_FORMAT_DEFLATED)
        return VERSION_DEFLATED;
    if (format >= BBM_FORMAT_RELEASES)
        return VERSION_RELEASES;
    if (format >= BBM_FORMAT_ORIGINS)
        return VERSION_ORIGINS;
    return format >= BBM_FORMAT_QUARANTINE ? VERSION_QUARANTINE
                                           : VERSION_PLACEMENTS;
}

uint64_t
bbm_state_version_of(const uint8_t *data, size_t len)
{
    bbm_reader rd = bbm_reader_of(data, len);
    return bbm_get_u64(&rd);
}

void
bbm_state_encode(const bbm_state *state, bbm_format format, bbm_buf *buf)
{
    uint64_t version = bbm_state_version(format);
    bbm_put_u64(buf, version);
    bbm_put_u64(buf, state->index);
    bbm_put_u64(buf, state->public_index);
    bbm_registry_encode(state->registry, SIZE_MAX, format, buf);
    bbm_claims_encode(state->claims, buf);
    bbm_orders_encode(state->orders, buf);
    encode_ledgers(state, buf);
    if (version >= VERSION_ORIGINS)
        bbm_origins_encode(state->origins, buf);
}

int
bbm_state_convert(const uint8_t *data, size_t len, bbm_format format,
                  bbm_buf *buf)
{
    bbm_state *state =
        bbm_state_create(&(bbm_state_desc){.revision_texts_max = SIZE_MAX});
    int rc = bbm_state_decode(state, data, len);
    if (rc == BBM_OK)
        bbm_state_encode(state, format, buf);
    bbm_state_destroy(state);
    return rc;
}

static bool
is_known_version(const bbm_state *state, uint64_t version)
{
    return version >= VERSION_PLACEMENTS
           && version <= bbm_state_version(state->desc.format);
}

static int
decode_registry(bbm_state *state, uint64_t version, bbm_reader *rd)
{
    bbm_format format = version >= VERSION_DEFLATED   ? BBM_FORMAT_DEFLATED
                        : version >= VERSION_RELEASES ? BBM_FORMAT_RELEASES
                        : version >= VERSION_QUARANTINE
                            ? BBM_FORMAT_QUARANTINE
                            : BBM_FORMAT_PLACEMENTS;
    return bbm_registry_decode(state->registry, format, rd);
}

int
bbm_state_decode(bbm_state *state, const uint8_t *data, size_t len)
{
    bbm_state *decoded = bbm_state_create(&state->desc);
    bbm_reader rd = bbm_reader_of(data, len);
    uint64_t version = bbm_get_u64(&rd);
    bool version_ok = is_known_version(state, version);
    decoded->index = bbm_get_u64(&rd);
    decoded->public_index = bbm_get_u64(&rd);
    bool valid = version_ok && decode_registry(decoded, version, &rd) == 0
                 && bbm_claims_decode(decoded->claims, &rd) == 0
                 && bbm_orders_decode(decoded->orders, &rd) == 0
                 && decode_ledgers(decoded, &rd)
                 && (version < VERSION_ORIGINS
                     || bbm_origins_decode(decoded->origins, &rd))
                 && bbm_reader_done(&rd);
    if (!valid) {
        bbm_state_destroy(decoded);
        return BBM_ERR_DECODE;
    }
    clear_tail(state);
    bbm_registry_destroy(state->registry);
    bbm_claims_destroy(state->claims);
    bbm_orders_destroy(state->orders);
    bbm_origins_destroy(state->origins);
    state->registry = decoded->registry;
    state->claims = decoded->claims;
    state->orders = decoded->orders;
    state->origins = decoded->origins;
    clear_ledgers(state);
    state->ledgers = decoded->ledgers;
    state->index = decoded->index;
    state->public_index = decoded->public_index;
    free(decoded);
    return BBM_OK;
}

/* The public state has no origins. */
void
bbm_state_encode_public(const bbm_state *state, bbm_format format,
                        bbm_buf *buf)
{
    uint64_t version = bbm_state_version(format);
    if (version == VERSION_ORIGINS)
        version = VERSION_QUARANTINE;
    bbm_put_u64(buf, version);
    bbm_put_u64(buf, state->public_index);
    bbm_registry_encode(state->registry, 1, format, buf);
}

int
bbm_state_decode_public(bbm_state *state, const uint8_t *data, size_t len)
{
    bbm_reader rd = bbm_reader_of(data, len);
    uint64_t version = bbm_get_u64(&rd);
    if (!is_known_version(state, version))
        return BBM_ERR_DECODE;
    uint64_t index = bbm_get_u64(&rd);
    if (!rd.failed && index <= state->public_index)
        return BBM_OK;
    int rc = decode_registry(state, version, &rd);
    if (rc < 0)
        return rc;
    state->public_index = index;
    if (index > state->index)
        state->index = index;
    clear_tail(state);
    return BBM_OK;
}
