#!/usr/bin/env bash
# Builds the stand-ins of the second review's cases (from 6 on) into target/review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
"${CXX:-g++}" -std=c++20 -O1 -fcoroutines -DASIO_STANDALONE -pthread -Wall -Wextra -Wno-mismatched-new-delete \
  -o target/review-2/cases.new review/stand-ins-2/world.cc review/stand-ins-2/cases.cc
mv target/review-2/cases.new target/review-2/cases
