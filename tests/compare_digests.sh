#!/usr/bin/env bash
# Shows whether the present tree behaves as COMMIT does: builds and runs
# sorrelwood_action_digest of both, and compares the digest of actions and the
# number of log lines of each level, run by run. The texts of log lines are not
# compared. JOBS (default 4) limits the build and the runs at the same time.
#
# Usage: tests/compare_digests.sh COMMIT
set -euo pipefail

if [[ $# -ne 1 ]]; then
  echo "usage: $0 COMMIT" >&2
  exit 2
fi
cd "$(dirname "$0")/.."
jobs=${JOBS:-4}
commit=$(git rev-parse --verify --quiet "$1^{commit}") || {
  echo "no such commit: $1" >&2
  exit 2
}

before=$PWD/target/digest-before
old_tree=$before/tree
old_result=$before/$commit.txt
new_result=$before/present.txt
program=sorrelwood_action_digest
mkdir -p "$before"

# build SOURCE BUILD_DIRECTORY
build() {
  local log=$before/build.log
  if ! { cmake -S "$1" -B "$2" -DCMAKE_BUILD_TYPE=Release \
    -DSORRELWOOD_TESTS=ON &&
    cmake --build "$2" --target "$program" --parallel "$jobs"; } \
    >"$log" 2>&1; then
    tail -n 30 "$log" >&2
    echo "the build of $1 failed; all of its output: $log" >&2
    exit 2
  fi
}

# run BUILD_DIRECTORY RESULT: a run that is cut short leaves no result.
run() {
  "$1/$program" --jobs "$jobs" >"$2.part"
  mv "$2.part" "$2"
}

# The lines of the runs, without the digest of texts, in the order of names.
compared() {
  grep -v '^all ' "$1" | sed 's/ log_text=.*//' | sort
}

if [[ ! -s $old_result ]]; then
  git worktree prune
  if [[ -e $old_tree/.git ]]; then
    git -C "$old_tree" checkout --quiet --force --detach "$commit"
  else
    git worktree add --quiet --force --detach "$old_tree" "$commit"
  fi
  if [[ ! -e $old_tree/tests/digest_measurement.cc ]]; then
    echo "$commit has no $program yet" >&2
    exit 2
  fi
  build "$old_tree" "$before/build"
  run "$before/build" "$old_result"
fi
build "$PWD" target/test
run target/test "$new_result"

if difference=$(diff --unchanged-line-format= --old-line-format='before: %L' \
  --new-line-format='now:    %L' <(compared "$old_result") \
  <(compared "$new_result")); then
  echo "equal, $(compared "$new_result" | wc -l) runs"
else
  echo "$difference"
  exit 1
fi
