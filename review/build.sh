#!/bin/sh
# Builds the stand-ins that the scripts start. It needs the Go toolchain alone.
set -eu
cd "$(dirname "$0")/stand"
go build -o ../../target/review/stand .
