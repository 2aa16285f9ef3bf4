#!/bin/sh
# Builds the stand-ins of the cases into build/review. Needs g++ alone.
set -e
cd "$(dirname "$0")/.."
mkdir -p build/review
for case in review/[0-9]*/; do
  name=$(basename "$case")
  g++ -std=c++20 -O2 -Wall -Wextra -pthread "${case}case.cpp" -o "build/review/case$name"
done
