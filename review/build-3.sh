#!/bin/sh
# Builds the stand-in of the cases 11 to 15, after the build of the deploy file:
# the project's own store and links. Replicas and requesters are Python programs;
# Python comes with Meson, by which the product is built.
set -e
cd "$(dirname "$0")/.."
ninja -C target tests/fleetstandin
command -v python3 >/dev/null
