/** @file
 *  What happens to the VMs of a soak: series of signals, restarts and changes.
 */
#ifndef SOAK_ACTION_H
#define SOAK_ACTION_H

#include "soak_vm.h"

/** Allow the actions of a list split by commas, NULL: all; false if it names
 *  none. */
bool soak_allow_actions(const char *names);
/** Play actions at a VM, and have its process run at the end.
 *  @param pause_ms longest time between two actions; 0: the VM is left alone,
 *                  and only started again if its process ends */
void soak_play_actions(vm *v, int64_t until_ms, int64_t pause_ms);

#endif
