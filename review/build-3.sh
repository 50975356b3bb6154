#!/bin/sh
# Builds the stand-ins of the cases 11 to 15. Run it after the build of the
# deploy file. The store is the project's own stand-in. Replicas and requesters
# are Python programs, as Python comes with the build tool Meson; one replica is
# a C program.
set -e
cd "$(dirname "$0")/.."
ninja -C target tests/fleetstandin
cc -std=gnu11 -O2 -Wall -Wextra -pthread review/standin-3/fast_replica.c \
    -o target/fast_replica
command -v python3 >/dev/null
