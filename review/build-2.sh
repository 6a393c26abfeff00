#!/bin/bash
# Builds the stand-ins of the scripted cases of the second review.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review2-rig ./review/rig2
go build -o target/review-rig3 ./review/rig3
