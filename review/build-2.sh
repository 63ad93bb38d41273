#!/bin/sh
# Builds the cases and every stand-in that they start, the project's own included, into target/review.
# Run it in the repository root after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
node node_modules/typescript/bin/tsc --project review/tsconfig.json
