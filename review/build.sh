#!/bin/sh
# Builds the stand-ins and the cases into target/review; needs node_modules, and no network.
set -eu
cd "$(dirname "$0")/.."
node node_modules/typescript/bin/tsc --project review/tsconfig.json
