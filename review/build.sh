#!/usr/bin/env bash
# Builds the programs of the cases, which contain all stand-ins, to target/review/. Run it after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[1-5]/case.cpp; do
    [ -e "$source" ] || continue
    folder=$(dirname "$source")
    g++ -std=c++20 -O1 -Wall -Wextra -pthread "$source" -o "target/review/case-$(basename "$folder")" -lboost_json
done
