#!/usr/bin/env bash
# Builds the stand-ins of all cases that have one, into target/review/. The
# programs under test are those that the deploy file's build has left in
# target/bin.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
Builds=()
for Source in review/[1-5]/*.cpp; do
  [ -e "$Source" ] || continue
  Name=$(basename "$Source" .cpp)
  g++ -std=c++20 -O1 -Wall -Wextra -pthread "$Source" -o "target/review/$Name" &
  Builds+=($!)
done
for Build in "${Builds[@]}"; do
  wait "$Build"
done
