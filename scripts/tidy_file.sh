#!/usr/bin/env bash
# Runs clang-tidy on one source, unless it has passed before with the same text, headers, options and version.
# Usage: scripts/tidy_file.sh FILE. Digests of what has passed are kept in the folder
# LINT_CACHE (default: ~/.cache/coltsfootvane-lint); with LINT_CACHE="" none are kept.
set -euo pipefail
file=$1
cache=${LINT_CACHE-${XDG_CACHE_HOME:-$HOME/.cache}/coltsfootvane-lint}

# Comments and macros belong to the key, since checks read both.
key() {
  local expanded
  expanded=$(g++ -std=c++17 -E -C -dD -I. -Isrc -Itests -Itests/integration "$file" 2>/dev/null | sha256sum) || return 1
  { clang-tidy --version; cat .clang-tidy CMakeLists.txt; echo "$file $expanded"; } | sha256sum | cut -d' ' -f1
}

passed=
if [ -n "$cache" ] && digest=$(key); then
  passed=$cache/$digest
  [ -e "$passed" ] && exit 0
fi
status=0
output=$(clang-tidy -p build --quiet "$file" 2>&1) || status=$?
printf '%s\n' "$output"
if [ -n "$passed" ] && [ "$status" -eq 0 ] && ! grep -qE '(error|warning):' <<<"$output"; then
  mkdir -p "$cache"
  : >"$passed"
fi
exit "$status"
