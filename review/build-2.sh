#!/bin/sh
# Builds the stand-ins of the scripts in review/6 to review/10.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
c++ -std=c++17 -O1 -Wall -Wextra -o target/review-2/cuminfold-review-2 \
  review/stand-in-2/platform.cpp review/stand-in-2/cases.cpp -pthread
