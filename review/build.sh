#!/usr/bin/env bash
# Builds the programs of the review's scripts, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for n in 1 2 3; do
    if [ -f "review/$n/case.cpp" ]; then
        g++ -std=c++20 -O1 -pthread -o "target/review/case-$n" "review/$n/case.cpp"
    fi
done
