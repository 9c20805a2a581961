#!/bin/sh
# Builds the stand-ins of the second review's cases: the standard library alone, no network.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/standin-2/Cargo.toml --target-dir target/review-2
# Case 9 plays on the stand-ins of the earlier review.
rustc -O --edition 2021 -o target/review-2/standin-1 review/standin/main.rs
