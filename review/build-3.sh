#!/usr/bin/env bash
# Builds the programs of the cases 11 to 15 into target/review-3/. Needs the
# compiler alone; the programs under review come from the deploy file's build.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for number in 11 12 13 14 15; do
  [ -f "review/$number/main.cc" ] || continue
  g++ -std=c++20 -O2 -Wall -Wextra -pthread -Ireview/stand_in_3 \
    -o "target/review-3/case-$number" "review/$number/main.cc" \
    review/stand_in_3/*.cc
done
