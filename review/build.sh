#!/usr/bin/env bash
# Builds the stand-ins of the review and its cases into review/build. Needs the
# compiler alone; the programs under review come from the deploy file's build.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build
flags=(-std=c++20 -O1 -g -Wall -Wextra -Istand_in -pthread)
pids=()
for source in stand_in/*.cc; do
  g++ "${flags[@]}" -c "$source" -o "build/$(basename "$source" .cc).o" &
  pids+=($!)
done
for pid in "${pids[@]}"; do wait "$pid"; done
pids=()
for source in [1-9]/case.cc; do
  [ -e "$source" ] || continue
  case=$(dirname "$source")
  g++ "${flags[@]}" "$source" build/{http,engine,deployment}.o -o "build/case-$case" &
  pids+=($!)
done
for pid in "${pids[@]}"; do wait "$pid"; done
