#include "bbm_burn.h"

#include <stdlib.h>
#include <string.h>

/* Requests are counted in a ring of cells of this length, which covers the
   longest window. */
#define CELL_NS (30 * BBM_SECOND)
#define CELL_COUNT 720

/* Burn rates above which a level is raised; both windows of its pair, 5 min
   and 1 h or 30 min and 6 h, must exceed it. */
#define PAGE_BURN_RATE 14.4
#define TICKET_BURN_RATE 6.0

static const bbm_time windows[BBM_BURN_WINDOW_COUNT] = {
    [BBM_BURN_5_MIN] = 300 * BBM_SECOND,
    [BBM_BURN_30_MIN] = 1800 * BBM_SECOND,
    [BBM_BURN_1_H] = 3600 * BBM_SECOND,
    [BBM_BURN_6_H] = 21600 * BBM_SECOND,
};

typedef struct cell {
    uint32_t total; /* requests */
    uint32_t bad;
} cell;

typedef struct objective {
    char name[BBM_NAME_SIZE];
    char customer[BBM_NAME_SIZE];
    char route[BBM_NAME_SIZE];
    bbm_time first_token_limit; /* 0: the first token is not rated */
    bool complete;
    bool refusals;
    double target;
    bool configured;        /* mark of the sweep in bbm_burn_configure */
    int64_t newest_cell;    /* its number: time divided by CELL_NS */
    cell cells[CELL_COUNT]; /* indexed by number modulo CELL_COUNT */
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
    r->first_token_limit = o->first_token_ms * BBM_MS;
    r->complete = o->complete;
    r->refusals = o->refusals;
    r->target = o->target;
    r->configured = true;
}

void
bbm_burn_configure(bbm_burn *b, const bbm_config *cfg)
{
    objective *r, *next;
    for (r = b->rows; r; r = r->hh.next)
        r->configured = false;
    for (const bbm_objective *o = cfg->objectives; o; o = o->hh.next)
        configure_row(b, o);
    HASH_ITER(hh, b->rows, r, next)
    {
        if (!r->configured)
            drop_row(b, r);
    }
}

/* Advance to the cell of @p now; the skipped cells become empty.  If @p now is
   before the newest cell, returns that one. */
static cell *
current_cell(objective *r, bbm_time now)
{
    int64_t cell_number = now / CELL_NS;
    if (cell_number - r->newest_cell >= CELL_COUNT)
        memset(r->cells, 0, sizeof(r->cells));
    else
        for (int64_t i = r->newest_cell + 1; i <= cell_number; i++)
            r->cells[i % CELL_COUNT] = (cell){0};
    if (cell_number > r->newest_cell)
        r->newest_cell = cell_number;
    return &r->cells[r->newest_cell % CELL_COUNT];
}

static bool
is_bad(const objective *r, const bbm_burn_sample *s)
{
    bool late = r->first_token_limit && !s->refused_within_rate
                && (s->first_token_time == 0
                    || s->first_token_time > r->first_token_limit);
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
        cell *c = current_cell(r, now);
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
    bool page = row->rate[BBM_BURN_5_MIN] > PAGE_BURN_RATE
                && row->rate[BBM_BURN_1_H] > PAGE_BURN_RATE;
    bool ticket = row->rate[BBM_BURN_30_MIN] > TICKET_BURN_RATE
                  && row->rate[BBM_BURN_6_H] > TICKET_BURN_RATE;
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
    current_cell(r, now);
    *out = (bbm_burn_row){.target = r->target};
    bbm_name_set(out->name, r->name);
    for (int w = 0; w < BBM_BURN_WINDOW_COUNT; w++) {
        int64_t cells = windows[w] / CELL_NS;
        for (int64_t n = r->newest_cell; n > r->newest_cell - cells && n >= 0;
             n--) {
            out->total[w] += r->cells[n % CELL_COUNT].total;
            out->bad[w] += r->cells[n % CELL_COUNT].bad;
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
