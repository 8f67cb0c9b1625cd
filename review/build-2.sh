#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts into target/. The balancer itself is built by the deploy file.
set -eu
cd "$(dirname "$0")/.."
go build -o target/standin-2 ./review/standin-2
