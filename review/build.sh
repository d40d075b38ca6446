#!/usr/bin/env bash
# Builds the stand-ins and the cases into target/review, with the packages of
# deploy/service.toml alone.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review
mkdir -p "$out"
for name in common state_service machines cluster cases; do
  g++ -O2 -std=c++20 -Wall -Wextra -c "review/standins/$name.cc" -o "$out/$name.o" &
done
for job in $(jobs -p); do wait "$job"; done
g++ "$out"/{common,state_service,machines,cluster,cases}.o -o "$out/review_driver" \
  -lcpp-httplib -lpthread
