#!/bin/sh
# Builds the stand-ins that the scripts of the second review start. It needs the Go toolchain alone.
set -eu
cd "$(dirname "$0")/stand-2"
go build -o ../../target/review/stand-2 .
