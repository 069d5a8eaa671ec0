#!/usr/bin/env bash
# See claim.txt.  TROUBLE=0: only the ordinary clients come.
number=12 daemons=3 memory_mb=88 program_of=13
export PRESS=config
# shellcheck source=../run-3.sh
. "$(dirname "${BASH_SOURCE[0]}")/../run-3.sh"
