#include "bbm_burn.h"

#include <stdlib.h>
#include <string.h>

/* Counts are kept in cells of this length, for the longest window. */
#define CELL (30 * BBM_SECOND)
#define CELLS 720

/* Both windows of a pair above this rate raise the level. */
#define PAGE_RATE 14.4
#define TICKET_RATE 6.0

static const bbm_time windows[BBM_BURN_WINDOW_COUNT] = {
    [BBM_BURN_5_MIN] = 300 * BBM_SECOND,
    [BBM_BURN_30_MIN] = 1800 * BBM_SECOND,
    [BBM_BURN_1_H] = 3600 * BBM_SECOND,
    [BBM_BURN_6_H] = 21600 * BBM_SECOND,
};

typedef struct cell {
    uint32_t total;
    uint32_t bad;
} cell;

typedef struct objective {
    char name[BBM_NAME_SIZE];
    char customer[BBM_NAME_SIZE];
    char route[BBM_NAME_SIZE];
    bbm_time first_token;
    bool complete;
    bool refusals;
    double target;
    bool kept;
    int64_t newest; /* number of the newest cell */
    cell cells[CELLS];
    UT_hash_handle hh;
} objective;

struct bbm_burn {
    objective *rows;
};

bbm_burn *
bbm_burn_create(void)
{
    return bbm_calloc(1, sizeof(bbm_burn));
}

static void
drop_row(bbm_burn *b, objective *r)
{
    HASH_DEL(b->rows, r);
    free(r);
}

void
bbm_burn_destroy(bbm_burn *b)
{
    if (!b)
        return;
    objective *r, *next;
    HASH_ITER(hh, b->rows, r, next)
    {
        drop_row(b, r);
    }
    free(b);
}

static void
configure_row(bbm_burn *b, const bbm_objective *o)
{
    objective *r = NULL;
    HASH_FIND_STR(b->rows, o->name, r);
    if (!r) {
        r = bbm_calloc(1, sizeof(*r));
        bbm_name_set(r->name, o->name);
        HASH_ADD_STR(b->rows, name, r);
    }
    bbm_name_set(r->customer, o->customer);
    bbm_name_set(r->route, o->route);
    r->first_token = o->first_token_ms * BBM_MS;
    r->complete = o->complete;
    r->refusals = o->refusals;
    r->target = o->target;
    r->kept = true;
}

void
bbm_burn_configure(bbm_burn *b, const bbm_config *cfg)
{
    objective *r, *next;
    for (r = b->rows; r; r = r->hh.next)
        r->kept = false;
    for (const bbm_objective *o = cfg->objectives; o; o = o->hh.next)
        configure_row(b, o);
    HASH_ITER(hh, b->rows, r, next)
    {
        if (!r->kept)
            drop_row(b, r);
    }
}

/* Move on to the cell of now; cells in between are empty. */
static cell *
present_cell(objective *r, bbm_time now)
{
    int64_t number = now / CELL;
    if (number - r->newest >= CELLS)
        memset(r->cells, 0, sizeof(r->cells));
    else
        for (int64_t i = r->newest + 1; i <= number; i++)
            r->cells[i % CELLS] = (cell){0};
    if (number > r->newest)
        r->newest = number;
    return &r->cells[r->newest % CELLS];
}

static bool
is_bad(const objective *r, const bbm_burn_sample *s)
{
    bool late =
        r->first_token && !s->refused_within_rate
        && (s->first_token_time == 0 || s->first_token_time > r->first_token);
    return late || (r->complete && s->truncated)
           || (r->refusals && s->refused_within_rate);
}

void
bbm_burn_record(bbm_burn *b, const bbm_burn_sample *s, bbm_time now)
{
    for (objective *r = b->rows; r; r = r->hh.next) {
        if (r->customer[0] && strcmp(r->customer, s->customer) != 0)
            continue;
        if (r->route[0] && strcmp(r->route, s->route) != 0)
            continue;
        cell *c = present_cell(r, now);
        c->total++;
        c->bad += is_bad(r, s);
    }
}

void
bbm_burn_evaluate(bbm_burn_row *row)
{
    double allowed = 1 - row->target;
    for (int w = 0; w < BBM_BURN_WINDOW_COUNT; w++) {
        double total = (double)row->total[w];
        double share = total > 0 ? (double)row->bad[w] / total : 0;
        row->rate[w] = allowed > 0 ? share / allowed : 0;
    }
    bool page = row->rate[BBM_BURN_5_MIN] > PAGE_RATE
                && row->rate[BBM_BURN_1_H] > PAGE_RATE;
    bool ticket = row->rate[BBM_BURN_30_MIN] > TICKET_RATE
                  && row->rate[BBM_BURN_6_H] > TICKET_RATE;
    row->level =
        page ? BBM_BURN_PAGE : (ticket ? BBM_BURN_TICKET : BBM_BURN_NONE);
}

bool
bbm_burn_at(bbm_burn *b, size_t i, bbm_time now, bbm_burn_row *out)
{
    objective *r = b->rows;
    while (r && i--)
        r = r->hh.next;
    if (!r)
        return false;
    present_cell(r, now);
    *out = (bbm_burn_row){.target = r->target};
    bbm_name_set(out->name, r->name);
    for (int w = 0; w < BBM_BURN_WINDOW_COUNT; w++) {
        int64_t cells = windows[w] / CELL;
        for (int64_t n = r->newest; n > r->newest - cells && n >= 0; n--) {
            out->total[w] += r->cells[n % CELLS].total;
            out->bad[w] += r->cells[n % CELLS].bad;
        }
    }
    bbm_burn_evaluate(out);
    return true;
}

const char *
bbm_burn_level_text(bbm_burn_level level)
{
    switch (level) {
    case BBM_BURN_PAGE:
        return "page";
    case BBM_BURN_TICKET:
        return "ticket";
    case BBM_BURN_NONE:
        break;
    }
    return "fine";
}
