#!/usr/bin/env bash
# Checks format, clang-tidy and cppcheck over all sources but the generated ones.
# Usage: scripts/lint.sh [FILE...]; without files, all of them.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ $# -gt 0 ]; then
  files=("$@")
else
  mapfile -t files < <(git ls-files '*.cc' '*.h' | grep -v '/gen/')
fi
clang-format --dry-run --Werror "${files[@]}"
sources=()
for file in "${files[@]}"; do
  [[ $file == *.cc ]] && sources+=("$file")
done
[ ${#sources[@]} -eq 0 ] && exit 0
printf '%s\n' "${sources[@]}" |
  xargs -P "${LINT_JOBS:-$(nproc)}" -n 1 scripts/tidy_file.sh 2>&1 |
  { grep -vE '^[0-9]+ warnings? generated|^Suppressed|^Use -header-filter' || true; } |
  tee build/clang-tidy.log
if grep -qE '(error|warning):' build/clang-tidy.log; then
  echo "clang-tidy found problems" >&2
  exit 1
fi
cppcheck --quiet --std=c++17 --language=c++ --enable=warning,performance,portability \
  --inline-suppr --error-exitcode=1 -j "${LINT_JOBS:-$(nproc)}" -I src \
  --suppress=missingInclude --suppress=unknownMacro --suppress=syntaxError:*_unittest.cc \
  "${sources[@]}"
