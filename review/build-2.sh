#!/usr/bin/env bash
# Builds the stand-ins of the cases of this review into target/review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
g++ -std=c++17 -O1 -g -Wall -Wextra -o target/review-2/cases review/src-2/cases.cc -ljansson -pthread
