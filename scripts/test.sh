#!/usr/bin/env bash
# Installs what is missing, builds, and runs every check and test.
set -euo pipefail
cd "$(dirname "$0")/.."
step() { printf '\n== %s (%s s)\n' "$1" "$SECONDS"; }
# Each integration test starts several processes, whose timing must not depend on the others': groups run side by
# side on more than 6 cores only.
integration_jobs=$(($(nproc) > 6 ? 3 : 1))

step packages
scripts/install_packages.sh
step build
scripts/build.sh build
step lint
scripts/lint.sh
step "unit tests"
TEST_JOBS=$(nproc) scripts/run_tests.sh build/unit_tests
step "unit tests with address and undefined sanitizers"
BUILD_TARGET=unit_tests scripts/build.sh build-asan -DCOLTSFOOTVANE_ASAN=ON -DCMAKE_BUILD_TYPE=Debug \
  -DCMAKE_CXX_FLAGS_DEBUG="-O1 -g"
TEST_JOBS=$(nproc) scripts/run_tests.sh build-asan/unit_tests
if [ -x build/integration_tests ]; then
  step "integration tests"
  # Tests of memory run apart from other load.
  TEST_JOBS=$integration_jobs TESTS_ALONE="UncontrolledCallers Memory EndlessBytes ServeCallers" \
    scripts/run_tests.sh build/integration_tests -v
fi
step done
