#!/bin/sh
# Builds the stand-ins of the second review's cases: the standard library alone, no network.
cd "$(dirname "$0")/.." || exit 2
exec cargo build --release --locked --offline --manifest-path review/standin-2/Cargo.toml --target-dir target/review-2
