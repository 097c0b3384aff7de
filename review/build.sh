#!/bin/sh
# Builds the stand-ins of review/ into review/out/. Needs only what the deploy file lists: a compiler and libjansson.
set -eu
cd "$(dirname "$0")"
mkdir -p out
for source in src/*.cc; do
    name=$(basename "$source" .cc)
    g++ -std=c++17 -O1 -Wall -Wextra -o "out/$name" "$source" -ljansson -pthread
done
