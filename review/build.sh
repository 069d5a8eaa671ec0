#!/usr/bin/env bash
# Builds the stand-in of the scripts.
set -eu
cd "$(dirname "$0")"
mkdir -p bin
cc -O2 -Wall -Wextra -pthread -o bin/standin standin.c
