#!/bin/bash
# Builds the stand-ins and the tests of the second review into target/review-2.
# Run from anywhere, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
flags="-std=c++20 -O1 -Wall -Wextra -Ireview/standins-2 $(pkg-config --cflags cpp-httplib)"
libs="$(pkg-config --libs cpp-httplib) -lssl -lcrypto -lz -pthread"
pids=""
for source in review/standins-2/*.cc; do
  g++ $flags -c -o "$out/$(basename "$source" .cc).o" "$source" &
  pids="$pids $!"
done
for pid in $pids; do wait "$pid"; done
g++ -o "$out/cases" "$out"/*.o $libs
