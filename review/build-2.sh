#!/bin/sh
# Builds the stand-ins of the second review. Run it from anywhere; it needs no network.
set -eu
cd "$(dirname "$0")/.."
exec cargo build --release --offline --locked \
    --manifest-path review/standins-2/Cargo.toml --target-dir target/review-standins-2
