#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start, into target/review.
# Needs the compiler and the Boost headers that the build of the deploy file
# needs.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for name in repeated_refusals retired_beside_loss; do
  g++ -std=c++20 -O2 -Wall -Wextra -pthread -Ireview/lib "review/lib/$name.cpp" \
    -o "target/review/$name"
done
