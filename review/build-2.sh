#!/usr/bin/env bash
# Builds the stand-ins of the second review. The deploy file's build must have run before.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --offline --locked \
    --manifest-path review/standins-2/Cargo.toml --target-dir target/review-2
