/** @file
 *  Releases of software to pools, as replicated to every VM.
 *
 *  A release moves the requests of a pool to upstreams of another build.  An
 *  operator's order creates it; the leader changes its exposure in steps and
 *  ends it.  Each step names the step that it follows and the leader's term,
 *  so that a late proposal of an earlier leader changes nothing.  A release
 *  that has ended stays as it is: its outcome is kept, and a resend of its
 *  order is recognized.
 *
 *  Times are ages of a release, never calendar times.
 *
 *      bbm_releases all = {0};
 *      bbm_releases_order(&all, &order, &outcome);
 *      bbm_releases_step(&all, &step, &outcome);
 *      const bbm_release_info *r = bbm_releases_latest(&all, "booking");
 *      bbm_releases_free(&all);
 */
#ifndef BBM_RELEASES_H
#define BBM_RELEASES_H

#include "bbm_pack.h"

/** State of a release. */
typedef enum bbm_release_state {
    BBM_RELEASE_IN_PROGRESS, /**< Both builds may serve. */
    BBM_RELEASE_COMPLETED,   /**< Only the new build serves. */
    BBM_RELEASE_REVERTED,    /**< The new build gets no requests. */
} bbm_release_state;

/** Exposure of a release that is in progress. */
typedef enum bbm_release_stage {
    BBM_RELEASE_TRIAL, /**< The new build gets a small share. */
    BBM_RELEASE_RAMP,  /**< The new build gets a large share for a moment. */
    BBM_RELEASE_FULL,  /**< The new build gets all; the old one finishes what
                            it has. */
} bbm_release_stage;

/** A release. */
typedef struct bbm_release_info {
    uint64_t serial;           /**< Number of the order, from 1. */
    char pool[BBM_NAME_SIZE];  /**< Pool whose requests move. */
    char build[BBM_NAME_SIZE]; /**< Build that they move to. */
    uint64_t duration_ms;      /**< Time from the order by which it ends. */
    bbm_release_state state;   /**< State. */
    bbm_release_stage stage;   /**< Stage, also the last one after its end. */
    uint32_t share;            /**< Requests per 1,000 that the new build may
                                    get; 1,000 in the last stage. */
    uint64_t step;             /**< Number of changes since the order. */
    uint64_t fence;            /**< Term of the leader that changed it last. */
    uint64_t age_ms;           /**< Its age when it was changed last. */
} bbm_release_info;

/** Maximum number of releases that are kept.  The oldest one that has ended
 *  makes room. */
#define BBM_RELEASES_MAX 256
/** Maximum number of releases that are kept for a pool. */
#define BBM_RELEASES_PER_POOL 4

/** Releases in the order of their serial numbers; zeroed: none. */
typedef struct bbm_releases {
    bbm_release_info *items; /**< Owned. */
    size_t len;              /**< Number of entries. */
    size_t cap;              /**< Allocated number. */
    uint64_t last_serial;    /**< Of the last accepted order; 0: none. */
} bbm_releases;

/** Release memory; the set is empty afterwards. */
void bbm_releases_free(bbm_releases *all);
/** Apply an order, of which pool, build, duration and share count.  BBM_OK if
 *  it is accepted or if it resends a stored one.  BBM_ERR_CONFLICT if another
 *  release of the pool is in progress, BBM_ERR_BUSY if too many are.
 *  @param serial receives the number of the release */
int bbm_releases_order(bbm_releases *all, const bbm_release_info *order,
                       uint64_t *serial);
/** Apply a change, of which all but pool, build and duration count; its step
 *  is the one that it follows.  BBM_ERR_NOT_FOUND, BBM_ERR_ORDER_FENCED if a
 *  later leader has changed the release, BBM_ERR_CONFLICT if it has ended or
 *  another step came first. */
int bbm_releases_step(bbm_releases *all, const bbm_release_info *change);
/** Latest release of a pool, or NULL. */
const bbm_release_info *bbm_releases_latest(const bbm_releases *all,
                                            const char *pool);

/** Append a release. */
void bbm_release_info_put(bbm_buf *buf, const bbm_release_info *r);
/** Read one; malformed input sets the reader's error. */
void bbm_release_info_get(bbm_reader *rd, bbm_release_info *r);
/** Append all releases. */
void bbm_releases_encode(const bbm_releases *all, bbm_buf *buf);
/** Read them into an empty set; malformed input sets the reader's error. */
void bbm_releases_decode(bbm_releases *all, bbm_reader *rd);

#endif
