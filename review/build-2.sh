#!/bin/sh
# Builds what the scripts of the second review start, into build/review-2: the stand-ins of each case from 6 on.
# Needs g++ alone; the server itself is built by the deploy file's command.
set -e
cd "$(dirname "$0")/.."
mkdir -p build/review-2
for n in 6 7 8 9 10; do
  [ -f "review/$n/case.cpp" ] || continue
  g++ -std=c++20 -O2 -Wall -Wextra -pthread "review/$n/case.cpp" -o "build/review-2/case$n"
done
