#!/usr/bin/env bash
# Regenerates node/peer/peerv1 with protoc and the plugins pinned in tools/go.mod.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=$(mktemp -d)
trap 'rm -rf "$bin"' EXIT
(cd tools && go build -o "$bin/" google.golang.org/protobuf/cmd/protoc-gen-go connectrpc.com/connect/cmd/protoc-gen-connect-go)
PATH="$bin:$PATH" protoc -I proto \
  --go_out=node --go_opt=module=github.com/galenasail/galenasail/node \
  --connect-go_out=node --connect-go_opt=module=github.com/galenasail/galenasail/node \
  proto/peer/v1/peer.proto
