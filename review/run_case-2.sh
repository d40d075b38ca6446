#!/bin/bash
# Runs one case of the second review: run_case-2.sh NAME FOLDER. Exits with 1 if
# the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/.." || exit 2
[ -x target/sorrelwood ] && [ -x target/review-2/cases ] || {
  echo "build the program and run review/build-2.sh first"
  exit 2
}
REVIEW_TMP=$(mktemp -d) || exit 2
export REVIEW_TMP
trap 'rm -rf "$REVIEW_TMP"' EXIT
timeout -k 1 119 target/review-2/cases "$1" "$2"
result=$?
[ $result -le 1 ] && exit $result
exit 2
