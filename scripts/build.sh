#!/usr/bin/env bash
# Configures and builds everything. Usage: scripts/build.sh [FOLDER] [CMAKE OPTION...]
set -euo pipefail
cd "$(dirname "$0")/.."
export CCACHE_BASEDIR="$PWD" CCACHE_NOHASHDIR=1
folder=${1:-build}
shift || true
cmake -S . -B "$folder" -G Ninja -DCMAKE_CXX_COMPILER_LAUNCHER=ccache "$@" >/dev/null
cmake --build "$folder" ${BUILD_TARGET:+--target "$BUILD_TARGET"} -j "${BUILD_JOBS:-$(nproc)}"
