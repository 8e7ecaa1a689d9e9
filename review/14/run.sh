#!/usr/bin/env bash
# Plays the case with the programs that the build of deploy/system.toml and review/build-3.sh leave
# in target/. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/galenasaild ] && [ -x target/lab3 ] || { echo "build the programs first" >&2; exit 2; }
exec target/lab3 crash-of-the-only-server review/14/record.txt
