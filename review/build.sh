#!/usr/bin/env bash
# Builds the stand-ins and the scripts' programs into target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
objects=()
for source in review/harness/*.cpp; do
    object=target/review/$(basename "$source" .cpp).o
    g++ -std=c++20 -O2 -c "$source" -o "$object"
    objects+=("$object")
done
for source in review/[1-5]/case.cpp; do
    [ -e "$source" ] || continue
    number=$(basename "$(dirname "$source")")
    g++ -std=c++20 -O2 "$source" "${objects[@]}" -o "target/review/case-$number" \
        -lboost_json -pthread
done
