#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts into target/review-2/.
# Needs only the compiler that the build of the deploy file uses.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/lib-2/*.cpp; do
  name=$(basename "$source" .cpp)
  "${CXX:-c++}" -std=c++20 -O1 -Wall -Wextra -pthread -o "target/review-2/$name" "$source"
done
