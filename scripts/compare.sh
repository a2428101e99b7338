#!/usr/bin/env bash
# Measures granted dispatch against the naive baseline with real processes on loopback:
# the platform, engines and services of a configuration as stand-ins, and 13 daemons.
# Usage: scripts/compare.sh CONFIGURATION RESULTS [SCENE...]
#   CONFIGURATION  directory, for instance examples/shop
#   RESULTS        directory for JSON results, tables and plots
# Settings by environment: MODES (granted naive), SEEDS (11 22 33), DURATION and WARM_UP in
# seconds (30, 6), DAEMONS (13), HOST (127.0.0.31, so that other deployments on this machine
# do not share ports), BUILD (build).
set -euo pipefail
cd "$(dirname "$0")/.."
configuration=$1
results=$2
shift 2
scenes=("$@")
[ ${#scenes[@]} -gt 0 ] || scenes=(ordinary overnight-flood interactive-flood)
read -ra modes <<<"${MODES:-granted naive}"
read -ra seeds <<<"${SEEDS:-11 22 33}"
host=${HOST:-127.0.0.31}
build=${BUILD:-build}
daemons=${DAEMONS:-13}
mix=$(basename "$configuration")

# One engine gives a token in 20 ms up to the knee, its declared slots; beyond it the time
# per token grows in proportion. The 54 ms bound is passed at 2.7 times the knee.
first_token_ms=100
token_ms=20
batch_factor=4
# The 1.6 loads/s of the weight store hold from the first scene on; only the start-up is
# faster, because it is not measured.
startup_loads_per_s=20

mkdir -p "$results"
folder=$(mktemp -d)
declare -A pids
stop_all() {
  # `jobs` leaves out ended children, whose ids may belong to other processes.
  local pid
  for pid in $(jobs -pr); do kill "$pid" 2>/dev/null || true; done
  for _ in $(seq 50); do
    if [ -z "$(jobs -pr)" ]; then break; fi
    sleep 0.1
  done
  for pid in $(jobs -pr); do kill -KILL "$pid" 2>/dev/null || true; done
  wait
  pids=()
}
trap 'stop_all; rm -rf "$folder"' EXIT

start() {
  local name=$1
  shift
  "$@" >>"$folder/$name.log" 2>&1 &
  pids[$name]=$!
}
kill_one() {
  kill -KILL "${pids[$1]}"
  wait "${pids[$1]}" 2>/dev/null || true
  unset "pids[$1]"
}
wait_for() {
  for _ in $(seq 300); do
    curl -fs -o /dev/null "$1" && return 0
    sleep 0.1
  done
  echo "no answer from $1" >&2
  tail -n 5 "$folder"/*.log >&2
  return 1
}

directory=$folder/configuration
mkdir "$directory"
cp "$configuration"/*.yaml "$directory"
sed -i "s/127\.0\.0\.1:/$host:/" "$directory"/endpoints.yaml
# Lines `id kind address memory fencing slots data_centre`.
python3 - "$directory/endpoints.yaml" >"$folder/endpoints" <<'PY'
import sys, yaml
for one in yaml.safe_load(open(sys.argv[1]))["endpoints"]:
    print(one["id"], one["kind"], one["address"], one.get("memory_mb", 0),
          one.get("checks_fencing", False), one.get("slots", 8), one["data_centre"])
PY
mapfile -t centres < <(awk '/- name:/ {print $3}' "$directory/data_centres.yaml")
region=$(awk '/region:/ {print $2; exit}' "$directory/data_centres.yaml")
platform=$host:9790

start_endpoint() {
  local id=$1 kind=$2 address=$3 memory=$4 fencing=$5 slots=$6
  if [ "$kind" = service ]; then
    start "$id" "$build/service_standin" --listen "$address"
    return
  fi
  local flags=()
  if [ "$fencing" = True ]; then flags=(--checks-fencing); fi
  start "$id" "$build/engine_standin" --id "$id" --listen "$address" --memory-mb "$memory" \
    --slots $((batch_factor * slots)) --knee "$slots" --token-ms $token_ms \
    --first-token-ms $first_token_ms ${flags[@]+"${flags[@]}"}
}
start_daemon() {
  local n=$1 mode=$2
  cat >"$folder/entry-$n.yaml" <<YAML
daemon_id: entry-$n
data_centre: ${centres[$(((n - 1) % ${#centres[@]}))]}
region: $region
entry: {listen: "$host:$((9800 + n))", threads: 64, refusal_threads: 8}
admin: {listen: "$host:$((9850 + n))"}
peer: {listen: "$host:$((9900 + n))", first_peers: ["$host:9901", "$host:9902", "$host:9903"]}
platform: {address: "$platform"}
shutdown: {balancer_grace_ms: 200, stop_timeout_ms: 2000}
dispatch: {mode: $mode}
YAML
  start "entry-$n" "$build/coltsfootvane" serve --settings "$folder/entry-$n.yaml"
}
apply_rate() {
  sed -i "s/loads_per_s:.*/loads_per_s: $1/" "$directory/weight_store.yaml"
  "$build/coltsfootvane" apply "$directory" --platform "$platform" --as compare >/dev/null
}
# Prints the declared models and adapters that no endpoint has ready.
count_unready() {
  curl -fs "http://$host:9851/status" >"$folder/status.json" || { echo -1; return; }
  python3 - "$folder/status.json" "$directory" <<'PY'
import glob, json, sys, yaml
ready = set()
for one in json.load(open(sys.argv[1]))["placement"].get("endpoints", []):
    ready |= {item if isinstance(item, str) else item.get("name") for item in one["ready"]}
declared = set()
for path in glob.glob(sys.argv[2] + "/*.yaml"):
    part = yaml.safe_load(open(path)) or {}
    declared |= {one["name"] for key in ("models", "adapters") for one in part.get(key, [])}
print(len(declared - ready))
PY
}
wait_until_placed() {
  for _ in $(seq 120); do
    [ "$(count_unready)" = 0 ] && return 0
    sleep 0.5
  done
  echo "placement is not ready: $(count_unready) items are missing" >&2
  return 1
}
deploy() {
  local mode=$1
  start platform "$build/platform_standin" --listen "$platform"
  while read -r -a endpoint; do start_endpoint "${endpoint[@]}"; done <"$folder/endpoints"
  wait_for "http://$platform/control/calls"
  apply_rate $startup_loads_per_s
  for n in $(seq "$daemons"); do start_daemon "$n" "$mode"; done
  for n in $(seq "$daemons"); do wait_for "http://$host:$((9850 + n))/health"; done
  wait_until_placed
  apply_rate 1.6
  sleep 2
}
# Prints requests started, loads and unloads over all live engines.
engine_totals() {
  while read -r _ kind address _; do
    [ "$kind" = engine ] || continue
    curl -fs -m 2 "http://$address/control/stats" || true
    echo
  done <"$folder/endpoints" | python3 -c '
import json, sys
all = [json.loads(line) for line in sys.stdin if line.strip()]
print(sum(sum(one["started"].values()) for one in all), sum(one["loads"] for one in all),
      sum(one["unloads"] for one in all))'
}
find_dispatcher() {
  for n in $(seq "$daemons"); do
    if curl -fs "http://$host:$((9850 + n))/status" |
      grep -c "\"name\":\"${centres[0]}/0\"" >/dev/null; then
      echo "$n"
      return
    fi
  done
  echo 1
}
# Harms the deployment in mid-run.
disturb() {
  sleep $((WARM_UP_S + (DURATION_S - WARM_UP_S) / 3))
  case $1 in
    dispatcher-killed) kill -KILL "${pids[entry-$2]}" ;;
    data-centre-killed)
      while read -r id kind _ _ _ _ centre; do
        if [ "$kind" = engine ] && [ "$centre" = "${centres[0]}" ]; then
          kill -KILL "${pids[$id]}"
        fi
      done <"$folder/endpoints"
      ;;
  esac
}
restore() {
  local mode=$1 scene=$2 victim=$3
  if [ "$scene" = dispatcher-killed ] && [ -n "$victim" ]; then
    start_daemon "$victim" "$mode"
    wait_for "http://$host:$((9850 + victim))/health"
  elif [ "$scene" = data-centre-killed ]; then
    while read -r -a endpoint; do
      if [ "${endpoint[1]}" = engine ] && [ "${endpoint[6]}" = "${centres[0]}" ]; then
        start_endpoint "${endpoint[@]}"
      fi
    done <"$folder/endpoints"
    apply_rate $startup_loads_per_s
    sleep 5
    wait_until_placed || true
    apply_rate 1.6
  fi
}
run_scene() {
  local mode=$1 scene=$2 seed=$3
  local output=$results/$mode-$scene-$seed.json victim=""
  if [ "$scene" = dispatcher-killed ]; then victim=$(find_dispatcher); fi
  local before after load entries=() helper=""
  for n in $(seq "$daemons"); do entries+=(--entry "$host:$((9800 + n))"); done
  before=$(engine_totals)
  load=$(cut -d' ' -f1 /proc/loadavg)
  if [ "$scene" = dispatcher-killed ] || [ "$scene" = data-centre-killed ]; then
    disturb "$scene" "$victim" &
    helper=$!
  fi
  "$build/loadtool" "$results/$scene.yaml" --config "$directory" --seed "$seed" \
    "${entries[@]}" >"$output"
  if [ -n "$helper" ]; then wait "$helper"; fi
  after=$(engine_totals)
  python3 - "$output" "$mode" "$scene" "$load" "$before" "$after" <<'PY'
import json, sys
path, mode, scene, load, before, after = sys.argv[1:]
result = json.load(open(path))
started, loads, unloads = (int(b) - int(a) for a, b in zip(before.split(), after.split()))
result.update(mode=mode, scene=scene, load_average=float(load),
              load_average_after=float(open("/proc/loadavg").read().split()[0]),
              engine_requests=started, loads=loads, unloads=unloads)
json.dump(result, open(path, "w"), indent=1)
one = result["classes"]
print(mode, scene, result["seed"], "worth %.3f" % result["worth_weighted_attainment"],
      *("%s %.3f" % (name, one[name]["attainment"]) for name in one),
      "load", load, flush=True)
PY
  restore "$mode" "$scene" "$victim"
  sleep 2
}

DURATION_S=${DURATION:-30}
WARM_UP_S=${WARM_UP:-6}
for scene in "${scenes[@]}"; do
  python3 scripts/scene.py "$directory" --mix "$mix" --scene "$scene" \
    --duration "$DURATION_S" --warm-up "$WARM_UP_S" >"$results/$scene.yaml"
done
for mode in "${modes[@]}"; do
  deploy "$mode"
  for scene in "${scenes[@]}"; do
    for seed in "${seeds[@]}"; do run_scene "$mode" "$scene" "$seed"; done
  done
  if [ -n "${KEEP_LOGS:-}" ]; then
    mkdir -p "$results/logs-$mode"
    cp "$folder"/*.log "$results/logs-$mode"
    for n in $(seq "$daemons"); do
      curl -fs "http://$host:$((9850 + n))/metrics" >"$results/logs-$mode/metrics-$n.txt" || true
    done
  fi
  stop_all
done
python3 scripts/compare_report.py "$results"
