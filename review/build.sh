#!/bin/sh
# Builds the stand-ins of the review into review/bin. They use the standard library alone.
set -e
cd "$(dirname "$0")"
mkdir -p bin
cd stand
go build -o ../bin/stand .
