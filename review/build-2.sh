#!/usr/bin/env bash
# Builds the stand-ins and drivers of the cases 6 to 10 into target/review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/*/case_*.cc; do
  program=target/review-2/$(basename "$source" .cc)
  g++ -std=c++17 -O1 -Wall -Wextra -o "$program" "$source" review/rig-2/*.cc -pthread
done
