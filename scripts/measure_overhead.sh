#!/usr/bin/env bash
# Measures the time that an entry daemon adds to the first token: examples/small on loopback,
# the same call in turn through the entry and to the stand-in engine itself.
# Usage: scripts/measure_overhead.sh [CALLS]
set -euo pipefail
cd "$(dirname "$0")/.."
folder=$(mktemp -d)
stop() {
  # `jobs` leaves out ended children, whose ids may belong to other processes.
  local pid
  for pid in $(jobs -pr); do kill "$pid" 2>/dev/null || true; done
  wait
  rm -rf "$folder"
}
trap stop EXIT
start() {
  "$@" >>"$folder/log" 2>&1 &
}
start build/platform_standin --listen 127.0.0.1:9300
for n in 1 2; do
  start build/engine_standin --id "engine-$n" --listen "127.0.0.1:910$n" --memory-mb 24000 \
    --first-token-ms 40 --token-ms 10 --load-ms 50 --checks-fencing
done
start build/service_standin --listen 127.0.0.1:9201
for _ in $(seq 100); do
  build/coltsfootvane apply examples/small --platform 127.0.0.1:9300 >/dev/null 2>&1 && break
  sleep 0.1
done
cat >"$folder/entry.yaml" <<YAML
daemon_id: entry-1
data_centre: dc1
region: r1
entry: {listen: "127.0.0.1:9501", threads: 64, refusal_threads: 8}
admin: {listen: "127.0.0.1:9511"}
peer: {listen: "127.0.0.1:9521", first_peers: ["127.0.0.1:9521"]}
platform: {address: "127.0.0.1:9300"}
shutdown: {balancer_grace_ms: 100}
YAML
start build/coltsfootvane serve --settings "$folder/entry.yaml"
ready() {
  [ "$(curl -s -X POST -d '{}' "http://127.0.0.1:910$1/v2/repository/index" |
    grep -c '"diagnosis"')" -gt 0 ]
}
for _ in $(seq 300); do
  ready 1 && ready 2 && break
  sleep 0.1
done
sleep 2
build/overhead --entry 127.0.0.1:9501 --engine 127.0.0.1:9101 --api-key key-counter \
  --model diagnosis --calls "${1:-500}"
