#!/usr/bin/env bash
# Builds the stand-ins that the cases' scripts start.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/standin -B target/review -DCMAKE_BUILD_TYPE=Release
cmake --build target/review -j4 --target review-cases
