#!/usr/bin/env bash
# Builds the programs of the cases 6 to 10, stand-ins included, into target/review-2/.
set -eu
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
for source in review/lib2/*.cpp; do
    g++ -std=c++20 -O1 -Wall -Wextra -I review/lib2 -c "$source" -o "$out/$(basename "$source" .cpp).o" &
done
for job in $(jobs -p); do
    wait "$job"
done
for source in review/*/case.cpp; do
    number=$(basename "$(dirname "$source")")
    [ "$number" -ge 6 ] || continue
    g++ -std=c++20 -O1 -Wall -Wextra -I review/lib2 "$source" "$out"/*.o -o "$out/case-$number" -pthread
done
