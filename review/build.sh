#!/usr/bin/env bash
# Builds the stand-ins and the cases that the scripts start, into review/build.
# Needs g++ and nlohmann-json3-dev, as the build of the deploy file does.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build
pids=()
for source in standins/*.cc; do
  g++ -O1 -std=c++17 -pthread -c "$source" -o "build/$(basename "$source" .cc).o" &
  pids+=($!)
done
for pid in "${pids[@]}"; do wait "$pid"; done
pids=()
for source in */case.cc; do
  g++ -O1 -std=c++17 -pthread "$source" build/*.o -o "build/case-$(dirname "$source")" &
  pids+=($!)
done
for pid in "${pids[@]}"; do wait "$pid"; done
