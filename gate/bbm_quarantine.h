/** @file
 *  Quarantine of prompt parts that crash runners.
 *
 *  Answers the load in which one part of a prompt ends each runner that begins
 *  to write an answer on it.  Such requests come at any VM, share their
 *  customer and their other parts with sound ones, and no two VMs see the same
 *  one: without a common memory they end one runner after the other.
 *
 *  A runner that ends accuses the parts of all requests that were open there,
 *  as none of the VMs knows which one ended it.  An answer that was completed
 *  acquits its parts of all crashes before it began.  So a sound part that is
 *  in use is acquitted within moments, and one that crashes runners never is.
 *  A part is quarantined when
 *  - three runs of runners have crashed on it since it was last acquitted,
 *  - one of these crashes ended a request that was sent after the first crash
 *    was known, as a loss of many runners accuses what they had in common,
 *  - since the third crash, time for acquittals of other VMs has passed,
 *  - and since the crash with which there was enough evidence, another answer
 *    of the pool began and was completed: otherwise no runner works.
 *
 *  A whole request is judged in the same way, by the hash of all that an
 *  upstream gets of it: it may crash what runs it, also a service without
 *  prompts, and be repeated at any VM.  Two different requests have nothing in
 *  common, so the second condition isn't needed; but in a small pool all
 *  upstreams may be lost before one has answered anything else, so the time
 *  for acquittals counts from the first answer after that.
 *  A run that completes a request sent after its supposed crash hasn't
 *  crashed.
 *
 *  Requests with a quarantined part are to be refused for ten minutes.  One
 *  further crash in the same time after that doubles it.
 *
 *  Sound parts may be quarantined too: those that always came with the one
 *  that crashes runners, or, if most runners are down, those that most
 *  requests have.  So some requests are sent in spite of it, as trials.  A
 *  sound answer releases its parts.
 *  - A request is sent, one at a time at each VM, if the crashes of its parts
 *    are explained by another quarantined part, which it lacks: one that has
 *    been accused for as long and has all these crashes, but for less than
 *    three of which none ended a trial.
 *  - Any other request is sent by one VM at a time; after a crash not again
 *    for 10 s, and three times as long after each further one.
 *
 *  A whole request needs no trial to be told from others, only to be served
 *  again once its upstreams are mended: the first trial comes after a minute.
 *
 *      bbm_quarantine *q = bbm_quarantine_create(seed);
 *      bbm_quarantine_add_crash(q, &crash, ids, len, now);
 *      bbm_quarantine_add_answer(q, &answer, ids, len, now);
 *      bbm_quarantine_tick(q, now);
 *      const bbm_quarantine_entry *e;
 *      if (bbm_quarantine_judge(q, ids, len, now, &e) != BBM_PARTS_CLEAR
 *          && !bbm_quarantine_begin_trial(q, ids, len, chosen, now))
 *          ... refuse the request until e->until ...
 *
 *  The VMs send each other what they see and what they conclude.  Crashes are
 *  sent several times, as messages may be lost; quarantined parts again and
 *  again, for VMs that have restarted or joined.  Several VMs may accuse a
 *  part for the same crash: it counts once per run of a runner.
 *
 *  Memory is bounded: parts with the fewest crashes, and of these the oldest,
 *  are forgotten first.  Pure: the caller passes in the time.
 */
#ifndef BBM_QUARANTINE_H
#define BBM_QUARANTINE_H

#include "bbm_format.h"
#include "bbm_pack.h"
#include "bbm_time.h"

/** This bit is set in the id of a whole request, and clear in that of a prompt
 *  part. */
#define BBM_QUARANTINE_REQUEST (UINT64_C(1) << 63)

/** Maximum number of crashes that are recorded per part. */
#define BBM_QUARANTINE_CRASHES_MAX 8

/** Time in which a trial ends, and its result is known to all VMs. */
#define BBM_TRIAL_TIME (2 * BBM_SECOND)

/** One run of an upstream, from its start to its end. */
typedef struct bbm_upstream_run {
    uint64_t upstream; /**< Hash of the upstream's id. */
    uint64_t run;      /**< Start time of the run, as in its listing. */
} bbm_upstream_run;

/** A request ended because its upstream closed the connection. */
typedef struct bbm_part_crash {
    bbm_upstream_run run; /**< Where. */
    uint64_t pool;        /**< Hash of the name of its pool; 0: unknown. */
    bbm_time sent_at;     /**< When the request was sent there. */
    bbm_time at;          /**< When the connection ended. */
    bool trial;           /**< The request was a trial. */
} bbm_part_crash;

/** An answer was completed, or has been sending events for long. */
typedef struct bbm_part_answer {
    bbm_upstream_run run; /**< By whom. */
    uint64_t pool;        /**< Hash of the name of its pool. */
    bbm_time sent_at;     /**< When the request was sent there. */
    bbm_time began_at;    /**< When the first bytes of the answer's body
                               arrived. */
} bbm_part_answer;

/** What is known of a part. */
typedef struct bbm_quarantine_entry {
    uint64_t part;          /**< Id of the part. */
    bbm_time until;         /**< Quarantined until then; 0: never was. */
    uint32_t failed_trials; /**< Trials that crashed a runner. */
    bbm_time retry_at;      /**< Earliest next trial, if it is guilty. */
    bbm_time last_crash_at; /**< Latest crash that it is accused of. */
    size_t crashes_len;     /**< Number of crashes that are recorded. */
    bbm_part_crash crashes[BBM_QUARANTINE_CRASHES_MAX]; /**< Since it was last
                                                             acquitted, in the
                                                             order in which
                                                             they became
                                                             known. */
} bbm_quarantine_entry;

/** Whether a request may be sent. */
typedef enum bbm_parts_verdict {
    BBM_PARTS_CLEAR,   /**< None of its parts is quarantined. */
    BBM_PARTS_DOUBTED, /**< Another quarantined part, which it lacks, explains
                            the crashes of its own. */
    BBM_PARTS_GUILTY, /**< One of its parts is quarantined in its own right. */
} bbm_parts_verdict;

/** Why a part's state has changed; to be logged. */
typedef enum bbm_quarantine_change_kind {
    BBM_PART_QUARANTINED, /**< By the crashes that this VM knows. */
    BBM_PART_REPORTED,    /**< By another VM. */
    BBM_PART_RELEASED,    /**< An answer acquitted it, here or elsewhere. */
    BBM_PART_EXPIRED,     /**< Its time has passed. */
} bbm_quarantine_change_kind;

/** A change. */
typedef struct bbm_quarantine_change {
    bbm_quarantine_change_kind kind; /**< What has changed. */
    bbm_quarantine_entry entry;      /**< The part after the change; if it was
                                          released, before. */
} bbm_quarantine_change;

/** The quarantine; opaque. */
typedef struct bbm_quarantine bbm_quarantine;

/** Create an empty quarantine.
 *  @param seed      Seed of the random times at which parts are announced.
 *  @param parts_max Maximum number of parts that are remembered; 0: 4096. */
bbm_quarantine *bbm_quarantine_create(uint64_t seed, size_t parts_max);
/** Destroy it; NULL is allowed. */
void bbm_quarantine_destroy(bbm_quarantine *q);
/** Set the number of VMs, among which the announcements are divided. */
void bbm_quarantine_set_vm_count(bbm_quarantine *q, size_t vms);

/** Record that a request with these parts was ended by its upstream.  The last
 *  part of a prompt is the request's own and isn't passed; the id of the whole
 *  request may be one of them. */
void bbm_quarantine_add_crash(bbm_quarantine *q, const bbm_part_crash *crash,
                              const uint64_t *parts, size_t len, bbm_time now);
/** Record a sound answer to a request with these parts. */
void bbm_quarantine_add_answer(bbm_quarantine *q,
                               const bbm_part_answer *answer,
                               const uint64_t *parts, size_t len,
                               bbm_time now);
/** Decide on accused parts, and forget old ones. */
void bbm_quarantine_tick(bbm_quarantine *q, bbm_time now);
/** Judge a request by its parts.
 *  @param entry Receives the part for which it isn't clear; valid until the
 *               quarantine changes. */
bbm_parts_verdict bbm_quarantine_judge(bbm_quarantine *q,
                                       const uint64_t *parts, size_t len,
                                       bbm_time now,
                                       const bbm_quarantine_entry **entry);
/** How much a request is suspected that isn't quarantined. */
typedef enum bbm_request_suspicion {
    BBM_REQUEST_UNSUSPECTED,  /**< Nothing has crashed on it lately. */
    BBM_REQUEST_CRASHED_ONCE, /**< One loss of upstreams has ended it, within
                                   the last second. */
    BBM_REQUEST_SUSPECT,      /**< Several losses have, the last one within a
                                   minute. */
} bbm_request_suspicion;

/** How much a request is suspected.  An answer acquits it.
 *  @param crash_at Receives when the last upstream crashed on it, unless it is
 *                  unsuspected. */
bbm_request_suspicion bbm_quarantine_suspicion(const bbm_quarantine *q,
                                               uint64_t request, bbm_time now,
                                               bbm_time *crash_at);
/** Decide whether a suspect request is sent: if this VM is @p chosen, and not
 *  within BBM_TRIAL_TIME of the last time here. */
bool bbm_quarantine_may_send_suspect(bbm_quarantine *q, uint64_t request,
                                     bool chosen, bbm_time now);
/** True if a run of an upstream has crashed, by what all VMs have seen. */
bool bbm_quarantine_has_crashed(const bbm_quarantine *q,
                                const bbm_upstream_run *run);
/** Decide whether a request with quarantined parts is sent as a trial; to be
 *  called once per request.  False also if another trial of these parts has
 *  begun here less than BBM_TRIAL_TIME ago.
 *  @param chosen This VM may try guilty parts now; the caller sees to it that
 *                the result of a trial is known to all VMs before another VM
 *                is chosen. */
bool bbm_quarantine_begin_trial(bbm_quarantine *q, const uint64_t *parts,
                                size_t len, bool chosen, bbm_time now);
/** Quarantine a part that another VM has quarantined, or this one before a
 *  restart.  False if an answer since its last crash has acquitted it.
 *  @param entry What is known of it, without the crashes.
 *  @param times Number of times that it was quarantined. */
bool bbm_quarantine_adopt(bbm_quarantine *q, const bbm_quarantine_entry *entry,
                          uint32_t times, bbm_time now);
/** The i-th quarantined part, and the number of times that it was; false past
 *  the end. */
bool bbm_quarantine_at(const bbm_quarantine *q, size_t i,
                       bbm_quarantine_entry *entry, uint32_t *times);
/** Number of quarantined parts. */
size_t bbm_quarantine_count(const bbm_quarantine *q);
/** The next change, or false if there is none. */
bool bbm_quarantine_next_change(bbm_quarantine *q,
                                bbm_quarantine_change *change);

/** Append what is to be sent to the other VMs now. */
void bbm_quarantine_put_news(bbm_quarantine *q, bbm_time now, bbm_buf *buf);
/** Apply the news of a VM; if @p own, they are this VM's and are skipped.
 *  Malformed input sets the reader's error. */
void bbm_quarantine_get_news(bbm_quarantine *q, bbm_reader *rd, bool own,
                             bbm_time now);
/** Read news in one format and append them in another; crashes in the news of
 *  formats without pools get pool 0, unknown.  Malformed input sets the
 *  reader's error. */
void bbm_quarantine_convert_news(bbm_reader *rd, bbm_format from,
                                 bbm_format to, bbm_buf *buf);

#endif
