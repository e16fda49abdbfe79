#!/usr/bin/env bash
# Runs one data centre as separate processes on loopback addresses and sends it
# the load of a profile: one process for the platform's stand-in, one for the
# workers, three instances.
#
#   run.sh BINARY TEXT PROFILE WORKERS OUT [SERVE-FLAGS...]
#
# PORT is the first of 400 ports, DC the data centre, which becomes the only one
# of the text, SHAPE the workers' shape, TASKS the number of instances that
# replaces @TASKS@ in the text, SETTLE the pause in seconds between the text's
# publication and the load, PUBLISHES the number of further versions of the text
# that are published every 2 s during the load. OUT takes the result, the page
# and the processes' logs. The last lines give each process's CPU seconds (user
# and system, from /proc) during the load and its resident memory.
set -euo pipefail
binary=$1 text=$2 profile=$3 workers=$4 out=$5
shift 5
port=${PORT:-20000} dc=${DC:-tartu}
mkdir -p "$out"
pids=() names=()
stop() { # waits, so that the ports are free for the next run
  for p in "${pids[@]}"; do kill -9 "$p" 2>/dev/null || true; done
  wait 2>/dev/null || true
}
trap stop EXIT
start() { # name command...
  local name=$1
  shift
  "$@" >"$out/$name.log" 2>&1 &
  pids+=($!) names+=("$name")
}
platform=http://127.0.0.1:$port
start platform "$binary" standin platform --listen 127.0.0.1:"$port"
start workers "$binary" standin workers --platform "$platform" --data-centre "$dc" --count "$workers" \
  --listen-base 127.0.0.1:$((port + 100)) --shape "${SHAPE:-}" --seed 1
servers=()
for i in 1 2 3; do
  cat >"$out/$dc-$i.settings.jsonc" <<SETTINGS
{"name": "$dc-$i", "data_centre": "$dc", "platform": "$platform",
 "http_listen": "127.0.0.1:$((port + 10 + i))", "peer_listen": "127.0.0.1:$((port + 20 + i))",
 "seeds": {"$dc": ["127.0.0.1:$((port + 21))", "127.0.0.1:$((port + 22))", "127.0.0.1:$((port + 23))"]}}
SETTINGS
  start "$dc-$i" "$binary" serve --settings "$out/$dc-$i.settings.jsonc" "$@"
  servers+=(--server "http://127.0.0.1:$((port + 10 + i))")
done
sed -e "s/@TASKS@/${TASKS:-1}/" -e "s/\"data_centres\": \[.*\]/\"data_centres\": [\"$dc\"]/" "$text" >"$out/text.jsonc"
published=
for _ in $(seq 60); do
  if "$binary" publish --server "http://127.0.0.1:$((port + 11))" --timeout 5s "$out/text.jsonc" >"$out/publish.log" 2>&1; then
    published=1
    break
  fi
  sleep 1
done
[ -n "$published" ] || { cat "$out/publish.log"; exit 1; }
sleep "${SETTLE:-5}"
cpu() { awk '{print ($14 + $15) / 100}' "/proc/$1/stat"; } # 100 clock ticks a second
before=()
for p in "${pids[@]}"; do before+=("$(cpu "$p")"); done
from=$(date +%s.%N)
for i in $(seq "${PUBLISHES:-0}"); do
  sleep 2
  echo "// version $i" >>"$out/text.jsonc"
  "$binary" publish --server "http://127.0.0.1:$((port + 11))" "$out/text.jsonc" || true
done >>"$out/publish.log" 2>&1 &
publisher=$!
"$binary" load "${servers[@]}" --result "$out/result.json" --page "$out/page.html" "$profile"
wait "$publisher"
took=$(awk "BEGIN {print $(date +%s.%N) - $from}")
for i in "${!pids[@]}"; do
  rss=$(awk '/VmRSS/ {print $2 / 1024}' "/proc/${pids[$i]}/status")
  awk -v n="${names[$i]}" -v a="${before[$i]}" -v b="$(cpu "${pids[$i]}")" -v t="$took" -v r="$rss" \
    'BEGIN {printf "process %s: %.2f CPU s in %.1f s, %.2f%% of a core, %.1f MB resident\n", n, b - a, t, 100 * (b - a) / t, r}'
done
