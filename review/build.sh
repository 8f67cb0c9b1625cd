#!/usr/bin/env bash
# Builds the balancer as deploy/system.toml does, and the stand-in of the review.
set -eu
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/ ./cmd/gaugeyard-platform
go build -o target/review-standin ./review/standin
