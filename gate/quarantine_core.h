/** @file
 *  Internal state of a quarantine (private).
 */
#ifndef QUARANTINE_CORE_H
#define QUARANTINE_CORE_H

#include "bbm_hash.h"
#include "bbm_quarantine.h"

#include <sys/queue.h>
#include <uthash.h>

/** Number of crashes from which a part is quarantined. */
#define QUARANTINE_CRASHES_MIN 3
/** Maximum number of parts in one news row; more are sent in several. */
#define QUARANTINE_ROW_PARTS_MAX 32

/** A part that was accused. */
typedef struct quarantine_part {
    bbm_quarantine_entry entry; /**< What other modules see. */
    bbm_time acquitted_at; /**< Latest beginning of an answer that acquitted
                                it; 0: none. */
    bbm_time accused_at;   /**< First crash since it was last acquitted, also
                                if that is no longer recorded; 0: none. */
    bbm_time changed_at;   /**< Last evidence. */
    uint64_t pool;         /**< Pool of the last crash. */
    bbm_time answered_at;  /**< When an answer of that pool that began after
                                counted_at was first known here; 0: not
                                yet. */
    bbm_time counted_at;   /**< Crash with which it had enough of them to be
                                quarantined; 0: it hasn't. */
    bool crashed_again;    /**< A crash ended a request that was sent after
                                the first crash was known. */
    bbm_time tried_at;     /**< Begin of the last trial here; 0: none. */
    bool in_force;         /**< Quarantined; valid until entry.until. */
    uint32_t times;        /**< Number of times that it was quarantined. */
    bbm_time announce_at;  /**< Next time that other VMs are told of it,
                                while it is in force. */
    uint64_t judged;       /**< Last judgement of a request that has it. */
    size_t list;           /**< Index of its list in bbm_quarantine. */
    TAILQ_ENTRY(quarantine_part) link; /**< In that list. */
    UT_hash_handle hh;                 /**< By entry.part. */
} quarantine_part;

TAILQ_HEAD(quarantine_parts, quarantine_part);

/** Lists of parts by the number of their crashes, and one of those that are in
 *  force. */
#define QUARANTINE_LIST_IN_FORCE (BBM_QUARANTINE_CRASHES_MAX + 1)
#define QUARANTINE_LISTS (QUARANTINE_LIST_IN_FORCE + 1)

/** A run of an upstream that is thought to have crashed. */
typedef struct quarantine_run {
    bbm_upstream_run run; /**< The run. */
    bbm_time at;          /**< Its last supposed crash. */
    bbm_time alive_at;    /**< It was alive after crashes up to then; 0: not
                               known. */
    TAILQ_ENTRY(quarantine_run) link; /**< By time of the crash. */
    UT_hash_handle hh;                /**< By run. */
} quarantine_run;

TAILQ_HEAD(quarantine_runs, quarantine_run);

/** A pool. */
typedef struct quarantine_pool {
    uint64_t pool;            /**< Hash of its name. */
    bbm_time answer_began_at; /**< Latest beginning of an answer of the pool
                                   that ended here. */
    UT_hash_handle hh;        /**< By hash. */
} quarantine_pool;

/** Kinds of news; sent. */
typedef enum quarantine_news_kind {
    QUARANTINE_NEWS_CRASH = 1,
    QUARANTINE_NEWS_ACQUITTAL = 2,
    QUARANTINE_NEWS_ALIVE = 3,
    QUARANTINE_NEWS_QUARANTINED = 4,
} quarantine_news_kind;

/** Something that is sent to the other VMs. */
typedef struct quarantine_news {
    quarantine_news_kind kind; /**< Selects the member of the union. */
    int sends_left;            /**< How often it is still to be sent. */
    bbm_time next_at;          /**< When it is sent next. */
    union {
        struct {
            bbm_part_crash crash;
            size_t len;
            uint64_t parts[QUARANTINE_ROW_PARTS_MAX];
        } crash; /**< QUARANTINE_NEWS_CRASH. */
        struct {
            uint64_t part;
            bbm_time began_at;
        } acquittal; /**< QUARANTINE_NEWS_ACQUITTAL. */
        struct {
            bbm_upstream_run run;
            bbm_time at;
        } alive; /**< QUARANTINE_NEWS_ALIVE. */
        struct {
            bbm_quarantine_entry entry; /* sent without the crashes */
            uint32_t times;
        } quarantined;                  /**< QUARANTINE_NEWS_QUARANTINED. */
    } u;                                /**< Selected by kind. */
    STAILQ_ENTRY(quarantine_news) link; /**< Next to be sent. */
} quarantine_news;

/** A queued change. */
typedef struct quarantine_change {
    bbm_quarantine_change change;         /**< The change. */
    STAILQ_ENTRY(quarantine_change) link; /**< Next in the queue. */
} quarantine_change;

/** A quarantine. */
struct bbm_quarantine {
    bbm_rng rng;            /**< For the times of announcements. */
    size_t vms;             /**< Number of VMs. */
    size_t parts_max;       /**< Maximum number of parts. */
    quarantine_part *parts; /**< By id. */
    struct quarantine_parts lists[QUARANTINE_LISTS]; /**< All parts; in each
                                                          list those first
                                                          whose last evidence
                                                          is oldest. */
    uint64_t judged;                     /**< Number of the last judgement. */
    size_t in_force_len;                 /**< Number of parts in force. */
    quarantine_run *runs;                /**< By run. */
    struct quarantine_runs runs_by_time; /**< The same, by the time of the
                                              crash. */
    quarantine_pool *pools;              /**< By hash. */
    STAILQ_HEAD(, quarantine_news) news; /**< To be sent. */
    size_t news_len;                     /**< Number of these. */
    STAILQ_HEAD(, quarantine_change) changes; /**< To be logged. */
};

/** Accuse parts of a crash. */
void quarantine_accuse(bbm_quarantine *q, const bbm_part_crash *crash,
                       const uint64_t *parts, size_t len, bbm_time now);
/** Acquit a part of the crashes before @p began_at; true if it was accused or
 *  quarantined for one of them. */
bool quarantine_acquit(bbm_quarantine *q, uint64_t part, bbm_time began_at,
                       bbm_time now);
/** Record that a run was alive after its supposed crashes up to @p at; true if
 *  that wasn't known. */
bool quarantine_withdraw(bbm_quarantine *q, const bbm_upstream_run *run,
                         bbm_time at, bbm_time now);
/** Queue news, to be sent @p sends times; the caller fills in the union. */
quarantine_news *quarantine_push_news(bbm_quarantine *q,
                                      quarantine_news_kind kind, int sends,
                                      bbm_time now);
/** Queue the news that a part was acquitted. */
void quarantine_tell_acquittal(bbm_quarantine *q, uint64_t part, bbm_time now);
/** Queue the announcement of a quarantined part. */
void quarantine_announce(bbm_quarantine *q, quarantine_part *p, int sends,
                         bbm_time now);

#endif
