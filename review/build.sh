#!/bin/bash
# Builds the stand-ins of the review's scripts under target/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-rig ./review/rig
