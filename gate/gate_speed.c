#include "gate_core.h"

/* Speeds of runners, measured by their answers (see bbm_speed.h). */

/* Prompt tokens from which the time of an answer tells of the rate; the rest
   of the time doesn't depend on it. */
#define SAMPLE_TOKENS_MIN 1000.0
/* Maximum of prompt tokens ahead, relative to the own ones: what others have
   sent there isn't known exactly. */
#define SAMPLE_BACKLOG_RATIO 1.0

double
gate_prefill_rate(const gate_upstream *u)
{
    return u->pool->prefill_tokens_per_ms * u->speed;
}

/* Only answers whose prompts are known to be processed are samples: shared
   prefixes are held, so the rest is the request's own. */
void
gate_expect_speed(const bbm_gate *g, gate_request *r, const gate_choice *c)
{
    const gate_upstream *u = c->upstream;
    r->speed_expected_ms = 0;
    if (!u->pool->is_engine || !r->stream || r->attempts > 1
        || c->prefixes_held != r->prefixes_len
        || c->miss_tokens < SAMPLE_TOKENS_MIN)
        return;
    double backlog = gate_backlog_tokens(g, u);
    if (backlog > c->miss_tokens * SAMPLE_BACKLOG_RATIO
        || gate_open_requests(g, u) >= gate_slots_of(u))
        return;
    r->speed_expected_ms =
        (backlog + c->miss_tokens) / u->pool->prefill_tokens_per_ms;
}

void
gate_record_speed(bbm_gate *g, const gate_request *r)
{
    if (!g->desc.use_speeds || r->speed_expected_ms <= 0
        || r->upstream_run != gate_run_of(&r->upstream->info))
        return;
    bbm_speed_add(g->speeds, r->upstream->hash, r->speed_expected_ms,
                  (double)(g->now - r->sent_at) / (double)BBM_MS, g->now);
}

void
gate_list_speeds(bbm_gate *g)
{
    bbm_speed_begin_listing(g->speeds);
    for (const gate_upstream *u = g->upstreams; u; u = u->hh.next) {
        if (u->listed && u->pool && u->pool->is_engine)
            bbm_speed_list(g->speeds, u->hash, bbm_hash_text(u->pool->name, 0),
                           gate_run_of(&u->info));
    }
    bbm_speed_end_listing(g->speeds);
    gate_apply_speeds(g);
}

void
gate_apply_speeds(bbm_gate *g)
{
    for (gate_upstream *u = g->upstreams; u; u = u->hh.next)
        u->speed = bbm_speed_factor(g->speeds, u->hash);
}

/* ---- news ---- */

/* What follows the pools that are cut off is absent if there is none. */
void
gate_put_speeds(bbm_gate *g, bbm_buf *buf)
{
    if (bbm_speed_news_len(g->speeds))
        bbm_speed_put_news(g->speeds, buf);
}

void
gate_get_speeds(bbm_gate *g, bbm_reader *rd, bool own)
{
    if (!rd->failed && rd->pos < rd->len)
        bbm_speed_get_news(g->speeds, rd, own, g->now);
}

void
gate_convert_speeds(bbm_reader *rd, bbm_format from, bbm_format to,
                    bbm_buf *buf)
{
    if (from < BBM_FORMAT_SPEEDS || rd->failed || rd->pos == rd->len)
        return;
    bbm_buf skipped = {0};
    bbm_speed_copy_news(rd, to >= BBM_FORMAT_SPEEDS ? buf : &skipped);
    bbm_buf_free(&skipped);
}
