#!/bin/sh
# Builds the stand-ins of the scripts of review/11 to review/15. Run it after the build line of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-3/ ./review/harness-3
