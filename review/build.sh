#!/bin/sh
# Builds the stand-ins that the scripts of the cases start, with libraries that
# the deploy file lists.
set -eu
cd "$(dirname "$0")"
mkdir -p build
for source in standin/case_*.cpp; do
  name=$(basename "$source" .cpp)
  g++ -std=c++20 -O1 -Wall -Wextra -o "build/$name" "$source" \
    $(pkg-config --cflags --libs cpp-httplib) -lpthread
done
