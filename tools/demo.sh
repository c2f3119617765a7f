#!/usr/bin/env bash
# Usage: tools/demo.sh [BUILD], with a path relative to the root of the tree.
# Runs Kushiro's shop on this machine: a store stand-in, two entries, and ten
# workers with agents in three failure domains. Sends fit checks, orders and
# tint batches, prints the results, and stops all processes gracefully. Exits
# with 0 only if all requests and batches were done and all processes stopped
# gracefully.
set -euo pipefail
cd "$(dirname "$0")/.."
build=$PWD/${1:-build}
dir=$(mktemp -d)
pids=()

stop_all() {
  for ((i = ${#pids[@]} - 1; i >= 0; i--)); do
    kill "${pids[i]}" 2> /dev/null || true
  done
  wait 2> /dev/null || true
  rm -rf "$dir"
}
trap stop_all EXIT

start_process() {
  local name=$1
  shift
  "$@" > "$dir/$name.log" 2>&1 &
  pids+=($!)
}

hk() {
  "$build/hyssopkeel" --store http://127.0.0.1:2379 "$@"
}

wait_ready() {
  for _ in $(seq 200); do
    if curl -sf "$1/readyz" > /dev/null; then
      return 0
    fi
    sleep 0.05
  done
  echo "demo: $1 was not ready after 200 polls; ends of the entry logs:" >&2
  tail -5 "$dir"/entry-*.log >&2
  return 1
}

echo "== starting the processes"
start_process store "$build/store-standin" --listen 127.0.0.1:2379
for i in 1 2; do
  sed -e "s/entry-1/entry-$i/; s/8080/808$((i - 1))/; s/:7001/:700$i/" \
    -e "s/\"peers\": .*/\"peers\": [\"127.0.0.1:700$((3 - i))\"],/" \
    examples/kushiro/entry.json > "$dir/entry-$i.json"
  start_process "entry-$i" "$build/hyssopkeeld" --settings "$dir/entry-$i.json"
done
domains=(kushiro-a kushiro-b kushiro-c)
for i in $(seq 10); do
  sed -e "s/shop-01/shop-$(printf %02d "$i")/" \
    -e "s/kushiro-a/${domains[i % 3]}/" \
    -e "s/7201/$((7200 + i))/; s/7101/$((7100 + i))/" \
    examples/kushiro/agent.json > "$dir/agent-$i.json"
  start_process "worker-$i" "$build/worker-standin" \
    --listen "127.0.0.1:$((7100 + i))"
  start_process "agent-$i" "$build/hyssopkeeld" --settings "$dir/agent-$i.json"
done

echo "== applying Kushiro's tables"
for _ in $(seq 100); do
  if hk --who demo apply examples/kushiro/tables.json > "$dir/apply" 2>&1; then
    break
  fi
  sleep 0.05
done
cat "$dir/apply"
wait_ready http://127.0.0.1:8080
wait_ready http://127.0.0.1:8081
for _ in $(seq 200); do
  if [ "$(hk --entry http://127.0.0.1:8080 status | grep -c 'revision=1$')" \
    = 10 ]; then
    break
  fi
  sleep 0.05
done

echo "== sending fit checks and orders for 5 s, and 8 tint batches"
for i in $(seq 8); do
  hk jobs submit lens-tint --id "tint-$i" --team crew-orders \
    --payload '{"work_ms": 2000, "result": "tinted"}' > /dev/null
done
"$build/hyssopkeel-load" -e http://127.0.0.1:8080 -e http://127.0.0.1:8081 \
  -d 5 --json "$dir/load.json" \
  -k fit-check:rate=200,query=work_ms=10,reuse=1 \
  -k order:rate=20,query=work_ms=20,keyed=1
echo "-- requests by instance"
grep -oE '"shop-[0-9]+":[0-9]+' "$dir/load.json" | sort |
  awk -F: '{n[$1] += $2} END {for (i in n) print "  " i ": " n[i]}' | sort

echo "== tint batches"
for _ in $(seq 200); do
  if [ "$(hk jobs list --state done | wc -l)" = 8 ]; then
    break
  fi
  sleep 0.1
done
hk jobs list
echo "== status"
hk --entry http://127.0.0.1:8080 status
echo "== audit trail"
hk audit | head -4

echo "== stopping the processes gracefully"
stop_failed=0
for ((i = ${#pids[@]} - 1; i >= 0; i--)); do
  kill "${pids[i]}"
done
for pid in "${pids[@]}"; do
  wait "$pid" || stop_failed=1
done
pids=()
if grep -qE '"(unknown|lost|not-run)":[1-9]' "$dir/load.json"; then
  echo "demo: some requests had no result; see the table above"
  exit 1
fi
if [ "$(grep -c 'state=done' "$dir"/agent-*.log | awk -F: '{s += $2}
  END {print s}')" != 8 ]; then
  echo "demo: the agents' logs do not show 8 batches as done"
  exit 1
fi
if [ "$stop_failed" = 1 ]; then
  echo "demo: a process exited with a non-zero status"
  exit 1
fi
echo "demo: all requests and batches were done"
