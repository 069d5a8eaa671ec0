/** @file
 *  The last log line of a process that a fatal signal ends.
 *
 *  The signal still ends the process, with the status and the core file that
 *  it would have without this.
 */
#ifndef FATAL_H
#define FATAL_H

#include <stdatomic.h>

/** Write event 114 to standard output when a fatal signal arrives.  Call once,
 *  before threads are started.
 *  @param node    name of this VM, copied
 *  @param at_work number that is logged as the requests at work; outlives the
 *                 process's threads */
void fatal_log_setup(const char *node, const atomic_int *at_work);

#endif
