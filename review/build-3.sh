#!/bin/sh
# Builds the stand-ins of the scripts in review/11 to review/15. Needs g++ only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for name in joiner stalefollower newserver; do
  g++ -std=c++20 -O1 -Wall -Wextra -pthread \
    "review/world-3/$name.cpp" review/world-3/world.cpp \
    -o "target/review-3/$name"
done
