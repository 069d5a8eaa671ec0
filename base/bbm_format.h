/** @file
 *  Formats of what VMs send each other and keep on their disks.
 *
 *  Builds with different formats run side by side while VMs are replaced, and
 *  a VM may go back to the build before.  A VM states the latest format that
 *  it reads along with its membership, and gets what it can read; it reads all
 *  earlier ones itself.  Builds before BBM_FORMAT_STATED state none, and read
 *  and write exactly one; which one shows in the reports that they send.
 *
 *  Any change of a message, a command or a snapshot is a new format: add it at
 *  the end, and its bytes to tests/format_bytes.h.
 */
#ifndef BBM_FORMAT_H
#define BBM_FORMAT_H

/** Formats, oldest first. */
typedef enum bbm_format {
    BBM_FORMAT_UNKNOWN,    /**< Nothing is known of a VM yet. */
    BBM_FORMAT_PLACEMENTS, /**< News are placements only. */
    BBM_FORMAT_QUARANTINE, /**< Crashes in the news; quarantined parts in
                                commands and snapshots. */
    BBM_FORMAT_LIMITS,     /**< Request limits in load rows, pools in
                                crashes. */
    BBM_FORMAT_ORIGINS,    /**< Spent tokens in demand rows, cut pools in the
                                news, builds in listings, origins of streams in
                                commands and snapshots; requests may be
                                relayed. */
    BBM_FORMAT_STATED,     /**< The same content; VMs state their format, and
                                reports, totals and listings theirs. */
    BBM_FORMAT_SPEEDS,     /**< Speeds of upstreams in the news. */
    BBM_FORMAT_RELAYED,    /**< Totals have a list of VMs to forward them to,
                                and reports state the latest totals. */
    BBM_FORMAT_RELEASES,   /**< Releases of software in commands and snapshots,
                                and the evidence about them. */
    BBM_FORMAT_DEFLATED,   /**< Compressed configurations in commands and
                                snapshots. */
    BBM_FORMAT_COUNT,      /**< Number of values. */
    BBM_FORMAT_LATEST = BBM_FORMAT_COUNT - 1, /**< Of this build. */
} bbm_format;

#endif
