#!/bin/sh
# Builds the stand-ins of the cases, into target/review.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc -O --edition 2021 -o target/review/rig review/rig/rig.rs
