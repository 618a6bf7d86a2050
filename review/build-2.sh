#!/bin/sh
# Builds what the scripts of the second review start beside the programs of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p bin
go build -o bin/review-2 ./review/standin-2
