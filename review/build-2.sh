#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts into build/review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o build/review-2/standin2 ./review/standin2
