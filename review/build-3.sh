#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/11 to review/15 start. Run it
# after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
g++ -std=c++17 -O1 -Wall -Wextra -pthread -o target/review-3/stand-in \
  review/stand-in-3/main.cpp review/stand-in-3/scenarios.cpp -lboost_system
