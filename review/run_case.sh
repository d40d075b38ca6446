#!/usr/bin/env bash
# Runs one case: run_case.sh N. TROUBLE=0 leaves the disruption out. Exits with
# 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
set -u
number=$1
cd "$(dirname "$0")/.." || exit 2
run=$(sed -n 's/^run = "\(.*\)"/\1/p' deploy/service.toml)
read -r -a command <<<"$run"
[ -x "${command[0]}" ] || { echo "build the program first" >&2; exit 2; }
driver=target/review/review_driver
mkdir -p target/review || exit 2
(
  flock 9  # cases may be started together
  if [ ! -x "$driver" ] || [ -n "$(find review/standins -newer "$driver")" ]; then
    bash review/build.sh
  fi
) 9>target/review/lock || exit 2
folder=$(mktemp -d) || exit 2
timeout -k 1 118 "$driver" "$number" "${TROUBLE:-1}" "$folder" \
  "review/$number/record.txt" "${command[@]}" &
pid=$!
trap 'kill "$pid" 2>/dev/null; wait "$pid" 2>/dev/null; rm -rf "$folder"' EXIT
wait "$pid"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
