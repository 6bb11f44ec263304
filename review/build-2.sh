#!/bin/bash
# Builds the programs of the cases of the second review, stand-ins included, into target/review-2. Needs only g++.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for folder in review/6 review/7 review/8 review/9 review/10; do
    if [ -f "$folder/case.cpp" ]; then
        g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "target/review-2/case-${folder#review/}" "$folder/case.cpp"
    fi
done
