#!/usr/bin/env bash
# Runs a soak: tests/soak/run.sh BUILD FOLDER [OPTIONS of soak...].  It starts
# the daemons that the soak asks for, by their numbers on a pipe, and writes
# their ids and exit statuses into the folder.  Only processes that it started
# are ended, by id.
set -u
build=$1
folder=$2
shift 2
mkdir -p "$folder"
mkfifo "$folder/starts" || exit 2
preload=
case " $* " in *" --cut "*) preload=$build/libsoak_cut.so ;; esac
put() { # FILE NUMBER: the file is there only with its content
    echo "$2" >"$1.new" && mv "$1.new" "$1"
}
run_daemon() { # VM
    env ${preload:+"LD_PRELOAD=$preload" "SOAK_CUT_FILE=$folder/vm-$1.cut" "SOAK_CUT_SOURCE=127.0.2.$1"} \
        "$build/bluebellmoord" --settings "$folder/vm-$1.json" >>"$folder/vm-$1.log" 2>&1 &
    local pid=$!
    put "$folder/vm-$1.pid" "$pid"
    wait "$pid" 2>/dev/null
    put "$folder/vm-$1.status" $?
}
while read -r vm; do run_daemon "$vm" & done <"$folder/starts" &
starter=$!
"$build/soak" --folder "$folder" "$@"
rc=$?
wait "$starter"
exit $rc
