#!/bin/sh
# Builds every stand-in that a case starts: those in review/standin, and the project's own (bin/lab). The programs of
# the project come from the build of the deploy file (bin/junctionring, bin/fleet, bin/configstream).
set -eu
cd "$(dirname "$0")/.."
mkdir -p bin review/bin
go build -o review/bin/standin ./review/standin
CGO_ENABLED=1 go build -ldflags=-linkmode=external -o bin/lab ./cmd/lab
