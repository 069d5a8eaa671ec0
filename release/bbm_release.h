/** @file
 *  Decides how far a release of software to a pool is exposed, and whether it
 *  is completed or reverted.
 *
 *  One object decides on one release that is in progress.  The leader runs it,
 *  as a pure state machine: evidence of the VMs and the time go in, changes of
 *  the replicated state come out.  It has no clock; the age of the release is
 *  passed on from leader to leader.
 *
 *      bbm_release *r = bbm_release_create(&desc, now);
 *      bbm_release_apply(r, &info, now);              state in force
 *      bbm_release_set_vms(r, vms, len);
 *      bbm_release_set_upstreams(r, listed, now);
 *      bbm_release_add_evidence(r, vm, run, &evidence, now);
 *      if (bbm_release_decide(r, now, &change, &why)) propose the change
 *
 *  Load: releases of 8 to 30 s to pools of services that get some tens to some
 *  hundreds of requests a second over up to 100 VMs, with reports that are
 *  0.1 to 0.4 s old and sometimes lost.
 *
 *  The new build gets a small share of the requests (TRIAL) for most of the
 *  time, as a fault that shows late then costs little; then a large share for
 *  a moment (RAMP), for faults that show under load; then all (FULL), so that
 *  the old build has no work left when the state says COMPLETED.  A bad build
 *  is told by its failures and slow answers, against those of the old build
 *  over the same time and routes.  The comparison must still hold without the
 *  worst upstream of the new build and without the VM that sees it worst.
 */
#ifndef BBM_RELEASE_H
#define BBM_RELEASE_H

#include "bbm_evidence.h"

/** Parameters of a decision.  Zero selects the default. */
typedef struct bbm_release_desc {
    bbm_release_info info; /**< The release, as in force. */
    double share;    /**< Requests that a bad build may get, as a share of all
                          until the release has to end; 0: 0.1. */
    double slack;    /**< Number of requests that it may get in addition; 0:
                          50. */
    uint64_t fence;  /**< Term of this leader. */
    uint64_t age_ms; /**< Age of the release at the time of creation, as far as
                          this VM knows. */
} bbm_release_desc;

/** A decision; opaque. */
typedef struct bbm_release bbm_release;

/** What a change was decided on, for the log. */
typedef struct bbm_release_reason {
    const char *text;         /**< Cause. */
    uint64_t age_ms;          /**< Age of the release. */
    uint64_t requests;        /**< Requests to the pool since the order. */
    uint64_t sends;           /**< Attempts at the new build. */
    uint64_t new_answers;     /**< Attempts at it that have ended. */
    uint64_t new_failures;    /**< Those that failed. */
    uint64_t new_slow;        /**< Answers several times slower than usual. */
    uint64_t old_answers;     /**< The same at the old build. */
    uint64_t old_failures;    /**< The same. */
    uint64_t old_slow;        /**< The same. */
    uint64_t vms;             /**< VMs whose evidence was used. */
    uint64_t evidence_age_ms; /**< Age of the oldest report that was used. */
} bbm_release_reason;

/** Share of requests, per 1,000, that an order begins with; @p share is as in
 *  bbm_release_desc. */
uint32_t bbm_release_first_share(double share);

/** Create a decision. */
bbm_release *bbm_release_create(const bbm_release_desc *desc, bbm_time now);
/** Free it; NULL is allowed. */
void bbm_release_destroy(bbm_release *r);
/** Serial number of the release. */
uint64_t bbm_release_serial(const bbm_release *r);
/** Age of the release in milliseconds. */
uint64_t bbm_release_age_ms(const bbm_release *r, bbm_time now);
/** Apply the state in force. */
void bbm_release_apply(bbm_release *r, const bbm_release_info *info,
                       bbm_time now);
/** Set the VMs that are alive, by the hashes of their names. */
void bbm_release_set_vms(bbm_release *r, const uint64_t *vms, size_t len);
/** Set the number of listed upstreams of the new build that don't leave. */
void bbm_release_set_upstreams(bbm_release *r, size_t listed, bbm_time now);
/** Add a VM's evidence, which is copied.  A later run of a VM adds to what its
 *  earlier ones have reported. */
void bbm_release_add_evidence(bbm_release *r, uint64_t vm, uint64_t run,
                              const bbm_evidence *e, bbm_time now);
/** Decide; true if @p change is to be proposed, until a state with a later
 *  step is applied. */
bool bbm_release_decide(bbm_release *r, bbm_time now, bbm_release_info *change,
                        bbm_release_reason *why);

#endif
