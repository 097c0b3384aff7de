#!/usr/bin/env bash
# Builds the stand-ins of the third review, one program for each case, into target/review-3.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/src-3/*.cc; do
  name=$(basename "$source" .cc)
  g++ -std=c++17 -O1 -Wall -Wextra -o "target/review-3/$name" "$source" -ljansson -pthread
done
