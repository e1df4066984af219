#!/usr/bin/env bash
# Builds the driver of the scripted cases: the stand-ins of the platform, its
# store, its minions and the clients, in one program. Needs what the deploy file
# lists and no network.
set -euo pipefail
cd "$(dirname "$0")/.."

objects=target/review/objects
rm -rf "$objects"
mkdir -p "$objects"
pids=()
for source in review/driver/*.cpp; do
  c++ -std=c++17 -O1 -DBOOST_ERROR_CODE_HEADER_ONLY -c "$source" \
    -o "$objects/$(basename "$source" .cpp).o" &
  pids+=($!)
done
for pid in "${pids[@]}"; do
  wait "$pid"
done
c++ -pthread -o target/review/driver "$objects"/*.o
