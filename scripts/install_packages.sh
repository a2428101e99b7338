#!/usr/bin/env bash
# Installs the Debian packages that the build, the tests and the checks need.
set -euo pipefail
packages=(g++ cmake ninja-build ccache pkg-config clang-format clang-tidy cppcheck
  libcxxtools-dev libcurl4-openssl-dev libthrift-dev thrift-compiler prometheus-cpp-dev
  libyaml-cpp-dev libcli11-dev libeasyloggingpp-dev libboost-dev libboost-filesystem-dev
  libcpputest-dev libmsgsl-dev nlohmann-json3-dev libxxhash-dev zlib1g-dev gnuplot-nox curl)
missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' || missing+=("$package")
done
[ ${#missing[@]} -eq 0 ] && exit 0
export DEBIAN_FRONTEND=noninteractive
apt-get update -qq
apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
