#!/usr/bin/env bash
# Runs the benchmarks of docs/CAPACITY.md, about 3 minutes, and prints the table.
# With an argument, the benchmark output is kept in that file.
set -euo pipefail
cd "$(dirname "$0")/.."
out=${1:-$(mktemp)}
{
  (cd node && go test ./cell -run '^$' -bench Heartbeats -benchtime 5x)
  (cd core && go test ./document -run '^$' -bench Build -benchtime 5x)
  (cd cmd && go test ./internal/fleet -run '^$' -bench IdleFleet -benchtime 5x)
  (cd cmd && go test ./internal/capacity -run '^$' -bench SnapshotMemory -benchtime 1x)
  (cd cmd && go test ./internal/capacity -run '^$' -bench Calls -benchtime 2000x)
  (cd cmd && go test ./internal/fleet -run '^$' -bench AddedLatency -benchtime 1500x)
  (cd core && go test ./target -run '^$' -bench MemoryPerTarget -benchtime 1x)
  (cd node && go test ./rate -run '^$' -bench ActiveWorkspace -benchtime 1x)
} | tee "$out" >&2
go run ./cmd/galenasail capacity <"$out"
