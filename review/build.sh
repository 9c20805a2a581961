#!/bin/bash
# Builds the stand-ins of the review's cases, with the standard library alone.
set -eu
cd "$(dirname "$0")"
mkdir -p bin
rustc -O --edition 2021 -o bin/standin standin/main.rs
