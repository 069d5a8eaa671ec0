/** @file
 *  Measures how costs grow with size, for docs/CAPACITY.md: each at three or
 *  more sizes, with a line fitted by least squares and its worst residual.
 *
 *  Fleets run in virtual time on the node code of the daemon.  Bytes are those
 *  of the node's messages without the 40 bytes that encryption adds to each;
 *  processor time is the time spent in the node.
 */
#include "fleet.h"
#include "cpu_clock.h"

#include "bbm_claims.h"
#include "bbm_fleet.h"
#include "bbm_rate.h"

#include <malloc.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SIZES_MAX 6
#define FLEET_START_S 40
#define FLEET_SETTLE_S 10
#define FLEET_WINDOW_S 30
#define PUBLISH_TIMEOUT_S 20
#define PICKS_COUNT 2000
#define PROMPT_BLOCKS_COUNT 12
#define REPORT_ROUNDS_COUNT 10
#define REPORT_HOLDERS_COUNT 350
#define REPORT_CUSTOMERS_COUNT 3
#define ANSWER_BYTES 200
#define BYTES_PER_MIB 1048576

typedef struct series {
    const char *name;
    const char *unit;   /* of y */
    const char *per;    /* what x counts */
    double target_size; /* x to extrapolate to: the largest required size */
    double x[SIZES_MAX];
    double y[SIZES_MAX];
    size_t len;
} series;

static double
heap_bytes(void)
{
    struct mallinfo2 m = mallinfo2();
    return (double)m.uordblks + (double)m.hblkhd;
}

static void
add_point(series *s, double x, double y)
{
    s->x[s->len] = x;
    s->y[s->len++] = y;
}

static void
print_fit(const series *s)
{
    double n = (double)s->len;
    double sx = 0;
    double sy = 0;
    double sxx = 0;
    double sxy = 0;
    for (size_t i = 0; i < s->len; i++) {
        sx += s->x[i];
        sy += s->y[i];
        sxx += s->x[i] * s->x[i];
        sxy += s->x[i] * s->y[i];
    }
    double slope = (n * sxy - sx * sy) / (n * sxx - sx * sx);
    double base = (sy - slope * sx) / n;
    double residual = 0;
    for (size_t i = 0; i < s->len; i++) {
        double deviation = fabs(s->y[i] - base - slope * s->x[i]);
        residual = deviation > residual ? deviation : residual;
    }
    printf("%-38s", s->name);
    for (size_t i = 0; i < s->len; i++)
        printf(" %.0f:%.4g", s->x[i], s->y[i]);
    printf("\n  = %.4g + %.4g a %s, worst residual %.3g; at %.0f: %.4g %s\n",
           base, slope, s->per, residual, s->target_size,
           base + slope * s->target_size, s->unit);
}

/* ---- fleets ---- */

static const char document[] =
    "{\"rates\":[{\"name\":\"r\",\"tokens_per_s\":1000,\"burst\":10000}],"
    "\"customers\":[{\"name\":\"c\",\"rate\":\"r\"}]}";

static void
measure_fleets(void)
{
    static const int sizes[] = {10, 30, 100, 200};
    series sent_series = {.name = "control bytes sent, a daemon",
                          .unit = "B/s",
                          .per = "daemon",
                          .target_size = 350};
    series received_series = {.name = "control bytes received, a daemon",
                              .unit = "B/s",
                              .per = "daemon",
                              .target_size = 350};
    series max_sent_series = {.name = "control bytes sent, the busiest",
                              .unit = "B/s",
                              .per = "daemon",
                              .target_size = 350};
    series cpu_series = {.name = "processor for control, a daemon",
                         .unit = "us/s",
                         .per = "daemon",
                         .target_size = 350};
    series publish_series = {.name = "publish in force everywhere",
                             .unit = "ms",
                             .per = "daemon",
                             .target_size = 350};
    series heap_series = {.name = "memory, a daemon without traffic",
                          .unit = "KiB",
                          .per = "daemon",
                          .target_size = 350};
    for (size_t k = 0; k < BBM_COUNT(sizes); k++) {
        int n = sizes[k];
        double heap_before = heap_bytes();
        fleet *f = fleet_create(&(fleet_desc){.seed = 1,
                                              .nodes = n,
                                              .founders = 5,
                                              .delay_max = 3 * BBM_MS,
                                              .sync_max = 5 * BBM_MS},
                                &(fleet_hooks){0});
        fleet_run(f, FLEET_START_S * BBM_SECOND);
        int leader = fleet_leader(f);
        fleet_publish(f, leader, 1, "one", 0, document);
        fleet_run(f, FLEET_SETTLE_S * BBM_SECOND);
        add_point(&heap_series, n, (heap_bytes() - heap_before) / 1024 / n);
        uint64_t sent = 0;
        uint64_t received = 0;
        uint64_t *sent_before = bbm_calloc((size_t)n, sizeof(*sent_before));
        for (int i = 0; i < n; i++) {
            bbm_node_counts c = bbm_node_count(fleet_node(f, i), fleet_now(f));
            sent -= c.bytes_out;
            received -= c.bytes_in;
            sent_before[i] = c.bytes_out;
        }
        double cpu_before = fleet_cpu_ns(f);
        fleet_run(f, FLEET_WINDOW_S * BBM_SECOND);
        double cpu_spent_ns = fleet_cpu_ns(f) - cpu_before;
        double max_sent = 0;
        for (int i = 0; i < n; i++) {
            bbm_node_counts c = bbm_node_count(fleet_node(f, i), fleet_now(f));
            sent += c.bytes_out;
            received += c.bytes_in;
            double sent_per_s =
                (double)(c.bytes_out - sent_before[i]) / FLEET_WINDOW_S;
            max_sent = sent_per_s > max_sent ? sent_per_s : max_sent;
        }
        free(sent_before);
        add_point(&sent_series, n, (double)sent / n / FLEET_WINDOW_S);
        add_point(&received_series, n, (double)received / n / FLEET_WINDOW_S);
        add_point(&max_sent_series, n, max_sent);
        add_point(&cpu_series, n, cpu_spent_ns / 1e3 / n / FLEET_WINDOW_S);
        bbm_time published_at = fleet_now(f);
        fleet_publish(f, leader, 2, "two", 1, document);
        int in_force = 0;
        while (in_force < n
               && fleet_now(f) - published_at
                      < PUBLISH_TIMEOUT_S * BBM_SECOND) {
            fleet_step(f);
            in_force = 0;
            for (int i = 0; i < n; i++)
                in_force +=
                    bbm_node_count(fleet_node(f, i), fleet_now(f)).revision
                    == 2;
        }
        add_point(&publish_series, n,
                  (double)(fleet_now(f) - published_at) / 1e6);
        fleet_destroy(f);
    }
    print_fit(&sent_series);
    print_fit(&received_series);
    print_fit(&max_sent_series);
    print_fit(&cpu_series);
    print_fit(&publish_series);
    print_fit(&heap_series);
}

/* ---- placement and the prefix index ---- */

static bbm_config *
make_engines_config(int n)
{
    bbm_buf text = {0};
    char line[256];
    snprintf(line, sizeof(line),
             "{\"weights\":[{\"name\":\"v\"}],\"models\":[{\"name\":\"m\","
             "\"weights\":\"v\"}],\"engines\":[");
    bbm_buf_add(&text, line, strlen(line));
    for (int i = 0; i < n; i++) {
        snprintf(line, sizeof(line),
                 "%s{\"name\":\"e%d\",\"model\":\"m\",\"zone\":\"z\","
                 "\"url\":\"http://h:1\",\"cache_blocks\":100000}",
                 i ? "," : "", i);
        bbm_buf_add(&text, line, strlen(line));
    }
    bbm_buf_add(&text, "]}", 2);
    bbm_doc_errors errors = {0};
    bbm_config *cfg = bbm_config_create((char *)text.data, text.len, &errors);
    bbm_buf_free(&text);
    return cfg;
}

static void
measure_picks(void)
{
    static const int sizes[] = {18, 100, 300, 790};
    series pick = {.name = "one placement",
                   .unit = "us",
                   .per = "runner",
                   .target_size = 790};
    for (size_t k = 0; k < BBM_COUNT(sizes); k++) {
        bbm_config *cfg = make_engines_config(sizes[k]);
        bbm_fleet *f = bbm_fleet_create(&(bbm_fleet_desc){.seed = 1});
        bbm_fleet_configure(f, cfg, 0);
        bbm_time now = BBM_SECOND;
        bbm_report r = {.incarnation = 1};
        bbm_name_set(r.weights, "v");
        for (const bbm_engine *e = cfg->engines; e; e = e->hh.next)
            bbm_fleet_report(f, e->name, &r, now);
        bbm_block_id blocks[PROMPT_BLOCKS_COUNT];
        for (size_t i = 0; i < PROMPT_BLOCKS_COUNT; i++)
            blocks[i] = bbm_block_hash(&i, sizeof(i));
        bbm_prompt p = {.model = "m",
                        .scope = "c",
                        .blocks = blocks,
                        .block_count = PROMPT_BLOCKS_COUNT,
                        .tokens = 25000,
                        .block_tokens = 2048};
        bbm_pick choice;
        bbm_fleet_pick(f, &p, now, &choice);
        bbm_fleet_started(f, &p, &choice, now);
        double before = cpu_clock_ns();
        for (int i = 0; i < PICKS_COUNT; i++)
            bbm_fleet_pick(f, &p, now, &choice);
        add_point(&pick, sizes[k],
                  (cpu_clock_ns() - before) / PICKS_COUNT / 1e3);
        bbm_fleet_destroy(f);
        bbm_config_destroy(cfg);
    }
    print_fit(&pick);
}

static void
measure_index(void)
{
    static const int sizes[] = {10000, 50000, 200000};
    series bytes = {.name = "memory of the index",
                    .unit = "MiB",
                    .per = "block",
                    .target_size = 140e6};
    series event = {.name = "one cache event",
                    .unit = "us",
                    .per = "block held",
                    .target_size = 400000};
    for (size_t k = 0; k < BBM_COUNT(sizes); k++) {
        bbm_cache *c = bbm_cache_create(&(bbm_cache_desc){0});
        bbm_cache_set_runner(c, 0, 1, 1000000);
        double heap_before = heap_bytes();
        double before = cpu_clock_ns();
        for (int i = 0; i < sizes[k]; i++) {
            bbm_block_id id = bbm_block_hash(&i, sizeof(i));
            bbm_cache_store(c, 0, 1, id, i);
        }
        add_point(&event, sizes[k],
                  (cpu_clock_ns() - before) / 1e3 / sizes[k]);
        add_point(&bytes, sizes[k],
                  (heap_bytes() - heap_before) / BYTES_PER_MIB);
        bbm_cache_destroy(c);
    }
    print_fit(&bytes);
    print_fit(&event);
}

/* ---- rates ---- */

static void
measure_owner(void)
{
    static const int sizes[] = {100, 400, 1100};
    series report_series = {.name = "rate owner, one report of 3 customers",
                            .unit = "us",
                            .per = "customer",
                            .target_size = 1100};
    for (size_t k = 0; k < BBM_COUNT(sizes); k++) {
        bbm_rate_owner *o =
            bbm_rate_owner_create(&(bbm_rate_desc){.epoch = 1});
        for (int i = 0; i < sizes[k]; i++) {
            char name[BBM_NAME_SIZE];
            snprintf(name, sizeof(name), "c%d", i);
            bbm_rate_owner_set_customer(o, name, 1000, 10000, 0);
        }
        double cpu_spent_ns = 0;
        int reports = 0;
        for (int round = 0; round < REPORT_ROUNDS_COUNT; round++) {
            for (int h = 0; h < REPORT_HOLDERS_COUNT; h++) {
                bbm_rate_desc d = {.run = 1};
                snprintf(d.node, sizeof(d.node), "vm-%d", h);
                bbm_rate_holder *holder = bbm_rate_holder_create(&d);
                bbm_time now = (round + 1) * BBM_SECOND;
                for (int j = 0; j < REPORT_CUSTOMERS_COUNT; j++) {
                    char name[BBM_NAME_SIZE];
                    snprintf(name, sizeof(name), "c%d",
                             (h * REPORT_CUSTOMERS_COUNT + j) % sizes[k]);
                    bbm_rate_reserve(holder, name, 50, false, now);
                }
                bbm_buf buf = {0};
                bbm_rate_report(holder, 1, now, &buf);
                double before = cpu_clock_ns();
                bbm_rate_owner_apply_report(o, buf.data, buf.len, now);
                cpu_spent_ns += cpu_clock_ns() - before;
                reports++;
                bbm_rate_grant g;
                while (bbm_rate_owner_next_grant(o, &g))
                    bbm_buf_free(&g.bytes);
                bbm_buf_free(&buf);
                bbm_rate_holder_destroy(holder);
            }
        }
        add_point(&report_series, sizes[k], cpu_spent_ns / 1e3 / reports);
        bbm_rate_owner_destroy(o);
    }
    print_fit(&report_series);
}

/* ---- claims ---- */

static void
measure_claims(void)
{
    static const int sizes[] = {1000, 5000, 20000};
    series bytes = {.name = "memory of claims with 200-byte answers",
                    .unit = "MiB",
                    .per = "claim",
                    .target_size = 100000};
    for (size_t k = 0; k < BBM_COUNT(sizes); k++) {
        bbm_claims *c = bbm_claims_create(&(bbm_claims_desc){0});
        double heap_before = heap_bytes();
        for (int i = 0; i < sizes[k]; i++) {
            bbm_command cmd = {.kind = BBM_CMD_CLAIM, .at_ms = 1};
            bbm_outcome outcome = {0};
            bbm_name_set(cmd.u.claim.customer, "c");
            bbm_name_set(cmd.u.claim.node, "vm-1");
            cmd.u.claim.key_digest = bbm_digest_of(&i, sizeof(i), NULL);
            cmd.u.claim.request = (bbm_request_id){1, (uint64_t)i};
            bbm_claims_apply(c, &cmd, &outcome);
            bbm_command end = {.kind = BBM_CMD_CLAIM_END, .at_ms = 1};
            uint8_t body[ANSWER_BYTES] = {0};
            bbm_name_set(end.u.claim_end.customer, "c");
            end.u.claim_end.key_digest = cmd.u.claim.key_digest;
            end.u.claim_end.request = cmd.u.claim.request;
            end.u.claim_end.result = BBM_CLAIM_ANSWERED;
            end.u.claim_end.body = (bbm_bytes){body, sizeof(body)};
            bbm_claims_apply(c, &end, &outcome);
        }
        add_point(&bytes, sizes[k],
                  (heap_bytes() - heap_before) / BYTES_PER_MIB);
        bbm_claims_destroy(c);
    }
    print_fit(&bytes);
}

int
main(void)
{
    if (bbm_hash_setup() < 0)
        return 1;
    measure_picks();
    measure_index();
    measure_owner();
    measure_claims();
    measure_fleets();
    return 0;
}
