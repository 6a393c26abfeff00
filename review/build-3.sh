#!/bin/bash
# Builds the stand-ins that the scripts of the third review start. The build of the deploy file comes before it.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-rig4
go build -o target/review-rig4/rig4 ./review/rig4
