#!/usr/bin/env bash
# Starts 48 idle VMs as processes on loopback and prints CPU time and resident
# memory of one, for docs/CAPACITY.md. Takes about 25 s.
set -euo pipefail
cd "$(dirname "$0")/.."
dir=$(mktemp -d)
pids=()
cleanup() {
  kill "${pids[@]}" 2>/dev/null || true
  wait "${pids[@]}" 2>/dev/null || true
  rm -rf "$dir"
}
trap cleanup EXIT

go build -o "$dir/" ./cmd/galenasail ./cmd/galenasaild
"$dir/galenasail" example --out "$dir/run" >/dev/null
"$dir/galenasail" standin platform --listen 127.0.0.1:9100 --vms "$dir/run/vms.json" --ticket "$dir/run/ticket-1.json" >/dev/null 2>&1 &
pids+=($!)
vms=()
for s in "$dir"/run/settings/vm-*.json; do
  "$dir/galenasaild" --settings "$s" 2>/dev/null &
  pids+=($!)
  vms+=($!)
done
sleep 8

# Clock ticks of all VMs so far, in user and kernel mode.
ticks() {
  for p in "${vms[@]}"; do cat "/proc/$p/stat"; done | awk '{sum += $14 + $15} END {print sum}'
}
seconds=8
before=$(ticks)
sleep "$seconds"
after=$(ticks)
awk -v ticks=$((after - before)) -v hz="$(getconf CLK_TCK)" -v s="$seconds" -v n="${#vms[@]}" \
  'BEGIN {printf "CPU of an idle VM: %.2f%% of a core\n", 100 * ticks / hz / s / n}'
grep VmRSS "/proc/${vms[0]}/status"
