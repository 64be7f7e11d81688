#!/usr/bin/env bash
# Builds the stand-ins that the script cases start, into review/bin.
set -euo pipefail
cd "$(dirname "$0")/standins"
go build -o ../bin/standins .
