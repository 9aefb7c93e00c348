#!/usr/bin/env bash
# Builds the stand-ins that the cases under review/ start. They use the standard library alone, so nothing is
# fetched. They are built into the root's target folder, which git ignores; the routers are built by the command of
# deploy/balancer.toml.
set -euo pipefail
cd "$(dirname "$0")/standin"
CARGO_TARGET_DIR="$PWD/../../target/review" cargo build --release --offline
