/** @file
 *  Slopes for docs/CAPACITY.md: each measured at three or more sizes, with a
 *  line fitted by least squares and its residual.
 *
 *  Fleets run in virtual time through the same node as in the daemon; bytes
 *  are those of its messages, before the 40 bytes that sealing adds to each,
 *  and processor time is that spent in the node.
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

#define SIZES_MOST 6

typedef struct series {
    const char *name;
    const char *unit;
    const char *per;
    double target; /* size of the letter */
    double x[SIZES_MOST];
    double y[SIZES_MOST];
    size_t len;
} series;

static double
heap_now(void)
{
    struct mallinfo2 m = mallinfo2();
    return (double)m.uordblks + (double)m.hblkhd;
}

static void
add(series *s, double x, double y)
{
    s->x[s->len] = x;
    s->y[s->len++] = y;
}

static void
print(const series *s)
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
        double off = fabs(s->y[i] - base - slope * s->x[i]);
        residual = off > residual ? off : residual;
    }
    printf("%-38s", s->name);
    for (size_t i = 0; i < s->len; i++)
        printf(" %.0f:%.4g", s->x[i], s->y[i]);
    printf("\n  = %.4g + %.4g a %s, worst residual %.3g; at %.0f: %.4g %s\n",
           base, slope, s->per, residual, s->target, base + slope * s->target,
           s->unit);
}

/* ---- fleets ---- */

static const char document[] =
    "{\"rates\":[{\"name\":\"r\",\"tokens_per_s\":1000,\"burst\":10000}],"
    "\"customers\":[{\"name\":\"c\",\"rate\":\"r\"}]}";

static void
measure_fleets(void)
{
    static const int sizes[] = {10, 30, 100, 200};
    series out = {.name = "control bytes sent, a daemon",
                  .unit = "B/s",
                  .per = "daemon",
                  .target = 350};
    series in = {.name = "control bytes received, a daemon",
                 .unit = "B/s",
                 .per = "daemon",
                 .target = 350};
    series worst = {.name = "control bytes sent, the busiest",
                    .unit = "B/s",
                    .per = "daemon",
                    .target = 350};
    series cpu = {.name = "processor for control, a daemon",
                  .unit = "us/s",
                  .per = "daemon",
                  .target = 350};
    series last = {.name = "publish in force everywhere",
                   .unit = "ms",
                   .per = "daemon",
                   .target = 350};
    series heap = {.name = "memory, a daemon without traffic",
                   .unit = "KiB",
                   .per = "daemon",
                   .target = 350};
    for (size_t k = 0; k < BBM_COUNT(sizes); k++) {
        int n = sizes[k];
        double before_heap = heap_now();
        fleet *f = fleet_create(&(fleet_desc){.seed = 1,
                                              .nodes = n,
                                              .founders = 5,
                                              .delay_max = 3 * BBM_MS,
                                              .sync_max = 5 * BBM_MS},
                                &(fleet_hooks){0});
        fleet_run(f, 40 * BBM_SECOND);
        int leader = fleet_leader(f);
        fleet_publish(f, leader, 1, "one", 0, document);
        fleet_run(f, 10 * BBM_SECOND);
        add(&heap, n, (heap_now() - before_heap) / 1024 / n);
        uint64_t sent = 0;
        uint64_t got = 0;
        uint64_t *each = bbm_calloc((size_t)n, sizeof(*each));
        for (int i = 0; i < n; i++) {
            bbm_node_counts c = bbm_node_count(fleet_node(f, i), fleet_now(f));
            sent -= c.bytes_out;
            got -= c.bytes_in;
            each[i] = c.bytes_out;
        }
        double cpu_before = fleet_cpu_ns(f);
        fleet_run(f, 30 * BBM_SECOND);
        double spent = fleet_cpu_ns(f) - cpu_before;
        double most = 0;
        for (int i = 0; i < n; i++) {
            bbm_node_counts c = bbm_node_count(fleet_node(f, i), fleet_now(f));
            sent += c.bytes_out;
            got += c.bytes_in;
            double own = (double)(c.bytes_out - each[i]) / 30;
            most = own > most ? own : most;
        }
        free(each);
        add(&out, n, (double)sent / n / 30);
        add(&in, n, (double)got / n / 30);
        add(&worst, n, most);
        add(&cpu, n, spent / 1e3 / n / 30);
        bbm_time began = fleet_now(f);
        fleet_publish(f, leader, 2, "two", 1, document);
        int in_force = 0;
        while (in_force < n && fleet_now(f) - began < 20 * BBM_SECOND) {
            fleet_step(f);
            in_force = 0;
            for (int i = 0; i < n; i++)
                in_force +=
                    bbm_node_count(fleet_node(f, i), fleet_now(f)).revision
                    == 2;
        }
        add(&last, n, (double)(fleet_now(f) - began) / 1e6);
        fleet_destroy(f);
    }
    print(&out);
    print(&in);
    print(&worst);
    print(&cpu);
    print(&last);
    print(&heap);
}

/* ---- the index and placement ---- */

static bbm_config *
engines(int n)
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
    bbm_doc_errors wrong = {0};
    bbm_config *cfg = bbm_config_create((char *)text.data, text.len, &wrong);
    bbm_buf_free(&text);
    return cfg;
}

static void
measure_picks(void)
{
    static const int sizes[] = {18, 100, 300, 790};
    series pick = {
        .name = "one placement", .unit = "us", .per = "runner", .target = 790};
    for (size_t k = 0; k < BBM_COUNT(sizes); k++) {
        bbm_config *cfg = engines(sizes[k]);
        bbm_fleet *f = bbm_fleet_create(&(bbm_fleet_desc){.seed = 1});
        bbm_fleet_configure(f, cfg, 0);
        bbm_time now = BBM_SECOND;
        bbm_report r = {.incarnation = 1};
        bbm_name_set(r.weights, "v");
        for (const bbm_engine *e = cfg->engines; e; e = e->hh.next)
            bbm_fleet_report(f, e->name, &r, now);
        bbm_block_id blocks[12];
        for (size_t i = 0; i < 12; i++)
            blocks[i] = bbm_block_hash(&i, sizeof(i));
        bbm_prompt p = {.model = "m",
                        .scope = "c",
                        .blocks = blocks,
                        .block_count = 12,
                        .tokens = 25000,
                        .block_tokens = 2048};
        bbm_pick got;
        bbm_fleet_pick(f, &p, now, &got);
        bbm_fleet_started(f, &p, &got, now);
        double before = cpu_clock_ns();
        for (int i = 0; i < 2000; i++)
            bbm_fleet_pick(f, &p, now, &got);
        add(&pick, sizes[k], (cpu_clock_ns() - before) / 2000 / 1e3);
        bbm_fleet_destroy(f);
        bbm_config_destroy(cfg);
    }
    print(&pick);
}

static void
measure_index(void)
{
    static const int sizes[] = {10000, 50000, 200000};
    series bytes = {.name = "memory of the index",
                    .unit = "MiB",
                    .per = "block",
                    .target = 140e6};
    series event = {.name = "one cache event",
                    .unit = "us",
                    .per = "block held",
                    .target = 400000};
    for (size_t k = 0; k < BBM_COUNT(sizes); k++) {
        bbm_cache *c = bbm_cache_create(&(bbm_cache_desc){0});
        bbm_cache_set_runner(c, 0, 1, 1000000);
        double heap = heap_now();
        double before = cpu_clock_ns();
        for (int i = 0; i < sizes[k]; i++) {
            bbm_block_id id = bbm_block_hash(&i, sizeof(i));
            bbm_cache_store(c, 0, 1, id, i);
        }
        add(&event, sizes[k], (cpu_clock_ns() - before) / 1e3 / sizes[k]);
        add(&bytes, sizes[k], (heap_now() - heap) / 1048576);
        bbm_cache_destroy(c);
    }
    print(&bytes);
    print(&event);
}

/* ---- rates ---- */

static void
measure_owner(void)
{
    static const int sizes[] = {100, 400, 1100};
    series cost = {.name = "rate owner, one report of 3 customers",
                   .unit = "us",
                   .per = "customer",
                   .target = 1100};
    for (size_t k = 0; k < BBM_COUNT(sizes); k++) {
        bbm_rate_owner *o =
            bbm_rate_owner_create(&(bbm_rate_desc){.epoch = 1});
        for (int i = 0; i < sizes[k]; i++) {
            char name[BBM_NAME_SIZE];
            snprintf(name, sizeof(name), "c%d", i);
            bbm_rate_owner_set_customer(o, name, 1000, 10000, 0);
        }
        double spent = 0;
        int reports = 0;
        for (int round = 0; round < 10; round++) {
            for (int h = 0; h < 350; h++) {
                bbm_rate_desc d = {.run = 1};
                snprintf(d.node, sizeof(d.node), "vm-%d", h);
                bbm_rate_holder *holder = bbm_rate_holder_create(&d);
                bbm_time now = (round + 1) * BBM_SECOND;
                for (int j = 0; j < 3; j++) {
                    char name[BBM_NAME_SIZE];
                    snprintf(name, sizeof(name), "c%d",
                             (h * 3 + j) % sizes[k]);
                    bbm_rate_reserve(holder, name, 50, false, now);
                }
                bbm_buf buf = {0};
                bbm_rate_report(holder, 1, now, &buf);
                double before = cpu_clock_ns();
                bbm_rate_owner_apply_report(o, buf.data, buf.len, now);
                spent += cpu_clock_ns() - before;
                reports++;
                bbm_rate_grant g;
                while (bbm_rate_owner_next_grant(o, &g))
                    bbm_buf_free(&g.bytes);
                bbm_buf_free(&buf);
                bbm_rate_holder_destroy(holder);
            }
        }
        add(&cost, sizes[k], spent / 1e3 / reports);
        bbm_rate_owner_destroy(o);
    }
    print(&cost);
}

/* ---- claims ---- */

static void
measure_claims(void)
{
    static const int sizes[] = {1000, 5000, 20000};
    series bytes = {.name = "memory of claims with 200-byte answers",
                    .unit = "MiB",
                    .per = "claim",
                    .target = 100000};
    for (size_t k = 0; k < BBM_COUNT(sizes); k++) {
        bbm_claims *c = bbm_claims_create(&(bbm_claims_desc){0});
        double heap = heap_now();
        for (int i = 0; i < sizes[k]; i++) {
            bbm_command cmd = {.kind = BBM_CMD_CLAIM, .at_ms = 1};
            bbm_outcome out = {0};
            bbm_name_set(cmd.u.claim.customer, "c");
            bbm_name_set(cmd.u.claim.node, "vm-1");
            cmd.u.claim.idem = bbm_digest_of(&i, sizeof(i), NULL);
            cmd.u.claim.request = (bbm_request_id){1, (uint64_t)i};
            bbm_claims_apply(c, &cmd, &out);
            bbm_command end = {.kind = BBM_CMD_CLAIM_END, .at_ms = 1};
            uint8_t body[200] = {0};
            bbm_name_set(end.u.claim_end.customer, "c");
            end.u.claim_end.idem = cmd.u.claim.idem;
            end.u.claim_end.request = cmd.u.claim.request;
            end.u.claim_end.how = BBM_CLAIM_ANSWERED;
            end.u.claim_end.body = (bbm_bytes){body, sizeof(body)};
            bbm_claims_apply(c, &end, &out);
        }
        add(&bytes, sizes[k], (heap_now() - heap) / 1048576);
        bbm_claims_destroy(c);
    }
    print(&bytes);
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
