/* Clients take streams up again at VMs that have never seen them: where each
   began is known to the control group, and outlives its VMs. */
#include "bbm_codes.h"
#include "fleet.h"
#include "test_main.h"

#include <stdio.h>
#include <string.h>

#define NODES 6
#define SEEDS 3
#define DISKS 5
#define STREAMS 40
#define STEP_MS 10

static const char config_text[] =
    "{\"pools\":[{\"name\":\"p\",\"slots\":64}],\"routes\":["
    "{\"name\":\"ask\",\"host\":\"h\",\"path\":\"/ask/\",\"pools\":[\"p\"],"
    "\"open\":true,\"stream\":true,\"resumable\":true,\"attempts\":2,"
    "\"timeout_ms\":15000,\"aim_ms\":400}]}";

typedef struct stream {
    char build[BBM_NAME_SIZE]; /* that began it; "": not sent */
    char next[BBM_NAME_SIZE];  /* that it was last sent to */
    int code;                  /* of a refusal; BBM_OK: none */
} stream;

typedef struct world {
    fleet *fleet;
    bool one_build; /* the listing has only "v2" */
    bool asked[NODES];
    stream streams[STREAMS];
} world;

static void
on_list(void *context, int node)
{
    world *w = context;
    w->asked[node] = true;
}

static void
deliver_listing(world *w, int node)
{
    bbm_listing listing = {0};
    for (int i = 0; i < 6; i++) {
        bbm_listing_entry u = {.started_at_ms = 1, .slots = 64};
        snprintf(u.id, sizeof(u.id), "runner-%d", i);
        snprintf(u.address, sizeof(u.address), "10.9.0.%d:80", i + 1);
        snprintf(u.build, sizeof(u.build), "v%d",
                 w->one_build ? 2 : 1 + i % 2);
        bbm_name_set(u.pool, "p");
        bbm_name_set(u.zone, "z");
        bbm_listing_add(&listing, &u);
    }
    bbm_event ev = {.kind = BBM_EV_LISTING};
    ev.u.listing.listing = &listing;
    fleet_deliver(w->fleet, node, &ev);
    bbm_listing_free(&listing);
}

static void
run(world *w, bbm_time span)
{
    for (bbm_time t = 0; t < span; t += STEP_MS * BBM_MS) {
        fleet_step(w->fleet);
        for (int i = 0; i < NODES; i++) {
            if (w->asked[i])
                deliver_listing(w, i);
            w->asked[i] = false;
        }
    }
}

/* A new stream's first events arrive at once. */
static void
on_forward(void *context, int node, const bbm_forward_request *send)
{
    world *w = context;
    stream *s = &w->streams[send->request % STREAMS];
    bbm_name_set(s->next, send->build);
    if (s->build[0])
        return;
    bbm_name_set(s->build, send->build);
    bbm_event ev = {.kind = BBM_EV_RESPONSE_HEAD};
    ev.u.response_head.request = send->request;
    ev.u.response_head.attempt = send->attempt;
    ev.u.response_head.origin = send->origin;
    fleet_deliver(w->fleet, node, &ev);
}

static void
on_answer(void *context, const fleet_answer *answer)
{
    world *w = context;
    if (!answer->operator_call)
        w->streams[answer->id % STREAMS].code = answer->code;
}

static void
send_request(world *w, int node, int number, bool takes_up, bool names_first)
{
    bbm_event ev = {.kind = BBM_EV_POOL_REQUEST};
    bbm_gate_request_desc *r = &ev.u.pool_request.request;
    ev.u.pool_request.host = "h";
    ev.u.pool_request.path = "/ask/x";
    uint64_t first = (uint64_t)number + STREAMS;
    r->request = takes_up ? first + STREAMS : first;
    r->id = "id";
    r->id_hash = r->request + 1000;
    r->resumes = takes_up;
    r->first_id_hash = names_first ? (uint64_t)(number + STREAMS + 1000) : 0;
    r->model = "";
    r->prompt_tokens = r->output_tokens_max = -1;
    ck_assert(fleet_deliver(w->fleet, node, &ev));
}

static void
create(world *w)
{
    *w = (world){0};
    w->fleet = fleet_create(
        &(fleet_desc){
            .seed = 41,
            .nodes = NODES,
            .seeds = SEEDS,
            .disks = DISKS,
            .delay_max = 5 * BBM_MS,
            .sync_max = 2 * BBM_MS,
            .node.discovery = true,
        },
        &(fleet_hooks){.context = w,
                       .read_listing = on_list,
                       .forward = on_forward,
                       .answer = on_answer});
    run(w, 4 * BBM_SECOND);
    ck_assert(fleet_publish(w->fleet, 0, 1, "one", 0, config_text));
    run(w, 3 * BBM_SECOND);
}

/* Starts streams at all VMs, each 10 ms, and waits for @p span. */
static void
begin_streams(world *w, bbm_time span)
{
    for (int i = 0; i < STREAMS; i++) {
        send_request(w, i % NODES, i, false, false);
        run(w, STEP_MS * BBM_MS);
    }
    run(w, span);
}

/* All VMs lose power at once. */
static void
restart_all(world *w)
{
    for (int i = 0; i < NODES; i++)
        fleet_crash(w->fleet, i);
    for (int i = 0; i < NODES; i++)
        fleet_start(w->fleet, i);
    run(w, 5 * BBM_SECOND);
}

/* Each stream is taken up at another VM than the one where it began. */
static void
take_up_streams(world *w, bool names_first)
{
    for (int i = 0; i < STREAMS; i++) {
        w->streams[i].next[0] = '\0';
        w->streams[i].code = BBM_OK;
        send_request(w, (i + 1) % NODES, i, true, names_first);
    }
    run(w, 2 * BBM_SECOND);
}

static void
check_all_went_on(const world *w)
{
    size_t of_build[3] = {0};
    for (int i = 0; i < STREAMS; i++) {
        const stream *s = &w->streams[i];
        ck_assert_str_ne(s->build, "");
        ck_assert_str_eq(s->next, s->build);
        of_build[s->build[1] - '0']++;
    }
    ck_assert_uint_gt(of_build[1], 0);
    ck_assert_uint_gt(of_build[2], 0);
}

START_TEST(stream_is_taken_up_at_its_build_at_another_vm)
{
    world w;
    create(&w);
    begin_streams(&w, 300 * BBM_MS);
    take_up_streams(&w, true);
    check_all_went_on(&w);
    fleet_destroy(w.fleet);
}
END_TEST

START_TEST(stream_is_taken_up_at_its_build_after_all_vms_lost_power)
{
    world w;
    create(&w);
    begin_streams(&w, 500 * BBM_MS);
    restart_all(&w);
    take_up_streams(&w, true);
    check_all_went_on(&w);
    fleet_destroy(w.fleet);
}
END_TEST

START_TEST(stream_is_taken_up_at_its_build_after_the_leader_is_lost)
{
    world w;
    create(&w);
    begin_streams(&w, 0);
    int leader = fleet_leader(w.fleet);
    fleet_crash(w.fleet, leader);
    run(&w, 5 * BBM_SECOND);
    fleet_start(w.fleet, leader);
    run(&w, 3 * BBM_SECOND);
    take_up_streams(&w, true);
    /* What began at the lost VM just before it was lost may be unknown, but
       isn't sent to another build. */
    size_t went_on = 0;
    for (int i = 0; i < STREAMS; i++) {
        const stream *s = &w.streams[i];
        if (s->next[0])
            ck_assert_str_eq(s->next, s->build);
        went_on += s->next[0] != '\0';
    }
    ck_assert_uint_ge(went_on, STREAMS - STREAMS / NODES);
    fleet_destroy(w.fleet);
}
END_TEST

/* Of a build that serves no more, and of one that nobody knows. */
START_TEST(stream_that_cannot_go_on_is_refused_at_once)
{
    world w;
    create(&w);
    begin_streams(&w, 300 * BBM_MS);
    w.one_build = true;
    run(&w, 3 * BBM_SECOND);
    take_up_streams(&w, true);
    size_t refused = 0;
    for (int i = 0; i < STREAMS; i++) {
        const stream *s = &w.streams[i];
        bool gone = strcmp(s->build, "v1") == 0;
        refused += gone;
        ck_assert_str_eq(s->next, gone ? "" : "v2");
        ck_assert_int_eq(s->code, gone ? BBM_ERR_STREAM_ORIGIN : BBM_OK);
    }
    ck_assert_uint_gt(refused, 0);
    w.streams[0] = (stream){0};
    bbm_event ev = {.kind = BBM_EV_POOL_REQUEST};
    bbm_gate_request_desc *r = &ev.u.pool_request.request;
    ev.u.pool_request.host = "h";
    ev.u.pool_request.path = "/ask/x";
    *r = (bbm_gate_request_desc){.request = (uint64_t)10 * STREAMS,
                                 .id = "id",
                                 .model = "",
                                 .resumes = true,
                                 .first_id_hash = 77,
                                 .prompt_tokens = -1,
                                 .output_tokens_max = -1};
    ck_assert(fleet_deliver(w.fleet, 5, &ev));
    run(&w, 100 * BBM_MS);
    ck_assert_str_eq(w.streams[0].next, "");
    ck_assert_int_eq(w.streams[0].code, BBM_ERR_STREAM_ORIGIN);
    fleet_destroy(w.fleet);
}
END_TEST

/* A client that doesn't name the first attempt, as clients didn't before there
   were builds. */
START_TEST(unnamed_stream_goes_on_only_where_one_build_is_possible)
{
    world w;
    create(&w);
    w.one_build = true;
    run(&w, 3 * BBM_SECOND);
    begin_streams(&w, 500 * BBM_MS);
    restart_all(&w);
    take_up_streams(&w, false);
    for (int i = 0; i < STREAMS; i++)
        ck_assert_str_eq(w.streams[i].next, "v2");
    fleet_destroy(w.fleet);
    /* The other build has just left. */
    create(&w);
    begin_streams(&w, 300 * BBM_MS);
    w.one_build = true;
    run(&w, 3 * BBM_SECOND);
    take_up_streams(&w, false);
    for (int i = 0; i < STREAMS; i++) {
        ck_assert_str_eq(w.streams[i].next, "");
        ck_assert_int_eq(w.streams[i].code, BBM_ERR_STREAM_ORIGIN);
    }
    fleet_destroy(w.fleet);
}
END_TEST

/* A VM that has just started gets the listing soon. */
START_TEST(stream_is_not_refused_before_the_first_listing)
{
    bbm_doc_errors errors = {0};
    bbm_time now = BBM_SECOND;
    bbm_config *cfg =
        bbm_config_create(config_text, strlen(config_text), &errors);
    bbm_gate *g = bbm_gate_create(&(bbm_gate_desc){.zone = "z"});
    bbm_gate_configure(g, cfg, now);
    bbm_gate_request_desc r = {.request = 1,
                               .id = "id",
                               .model = "",
                               .resumes = true,
                               .first_id_hash = 77,
                               .prompt_tokens = -1,
                               .output_tokens_max = -1};
    bbm_gate_begin_request(g, &r, bbm_config_host_route(cfg, "h", "/ask/x"),
                           NULL, now);
    const bbm_gate_output *out = bbm_gate_next_output(g);
    ck_assert_ptr_nonnull(out);
    ck_assert_int_eq(out->kind, BBM_GATE_FIND_ORIGIN);
    bbm_gate_set_origin(g, 1, bbm_origin_of("p", "v1"), now);
    ck_assert_ptr_null(bbm_gate_next_output(g));
    ck_assert(bbm_gate_has_request(g, 1));
    bbm_gate_destroy(g);
    bbm_config_destroy(cfg);
}
END_TEST

TEST_MAIN("takeup", stream_is_taken_up_at_its_build_at_another_vm,
          stream_is_taken_up_at_its_build_after_all_vms_lost_power,
          stream_is_taken_up_at_its_build_after_the_leader_is_lost,
          stream_that_cannot_go_on_is_refused_at_once,
          unnamed_stream_goes_on_only_where_one_build_is_possible,
          stream_is_not_refused_before_the_first_listing);
