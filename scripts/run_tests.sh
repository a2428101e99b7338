#!/usr/bin/env bash
# Runs a test program group by group, except its tests that are listed in KNOWN-RED.txt, which are printed.
# Usage: scripts/run_tests.sh PROGRAM [OPTION...]
# TEST_JOBS groups run side by side (default 1); those named in TESTS_ALONE run one by one after the others.
set -euo pipefail
cd "$(dirname "$0")/.."
program=$1
shift
options=("$@")
lines_of_failure=8  # After the line that names the test.
lines_of_end=20     # Of a group that ended without naming one.
logs=$(mktemp -d)
trap 'rm -rf "$logs"' EXIT

known=()
if [ -f KNOWN-RED.txt ]; then
  mapfile -t known < <(sed -n 's/^test: //p' KNOWN-RED.txt)
fi
is_known() { [[ " ${known[*]-} " == *" $1 "* ]]; }

declare -A tests=()
declare -A has_known_failures=()
groups=()
for test in $("$program" -ln); do
  group=${test%%.*}
  name=${test#*.}
  [ -n "${tests[$group]+set}" ] || { groups+=("$group"); tests[$group]=; }
  if is_known "$name"; then
    echo "known failure, not run: $name"
    has_known_failures[$group]=1
  else
    tests[$group]+=" $name"
  fi
done

# A test runs if it passes any of several name filters, so exclusions of more
# than one name would exclude nothing. In a group with known failures the other
# tests are named instead.
run_group() {
  local group=$1 selected=() name
  if [ -n "${has_known_failures[$group]+set}" ]; then
    for name in ${tests[$group]}; do selected+=(-sn "$name"); done
  fi
  local status=0
  "$program" "${options[@]}" -sg "$group" "${selected[@]}" >"$logs/$group.log" 2>&1 || status=$?
  echo "$status" >"$logs/$group.status"
  printf -- '-- %s\n%s\n' "$group" "$(<"$logs/$group.log")"
}

alone=()
for group in "${groups[@]}"; do
  [ -n "${tests[$group]}" ] || continue
  if [[ " ${TESTS_ALONE-} " == *" $group "* ]]; then
    alone+=("$group")
    continue
  fi
  while [ "$(jobs -rp | wc -l)" -ge "${TEST_JOBS:-1}" ]; do wait -n || true; done
  run_group "$group" &
done
wait
for group in "${alone[@]}"; do run_group "$group"; done

failed_groups=$({ grep -Lx 0 "$logs"/*.status || true; } | xargs -rn1 basename -s .status | tr '\n' ' ')
# Adds up the numbers that match a pattern in the logs of all groups.
count() { cat "$logs"/*.log | { grep -oP "$1" || true; } | awk '{sum += $1} END {print sum + 0}'; }
ran=$(count '\d+(?= ran,)')
failures=$(count '(?<=^Errors \()\d+(?= failures)')
echo "tests: $((ran - failures)) passed, $failures failed"
if [ -n "$failed_groups" ]; then
  # What failed is said again at the end, of which a kept log may hold no more.
  for group in $failed_groups; do
    printf -- '-- failures of %s\n' "$group"
    grep -A "$lines_of_failure" ': error: Failure in ' "$logs/$group.log" || tail -n "$lines_of_end" "$logs/$group.log"
  done >&2
  echo "failed groups: $failed_groups" >&2
  exit 1
fi
if [ "$ran" -eq 0 ]; then
  echo "no test ran" >&2
  exit 1
fi
