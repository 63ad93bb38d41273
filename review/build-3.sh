#!/usr/bin/env bash
# Builds the scripts and stand-ins of cases 11 to 15; run after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
exec node node_modules/typescript/bin/tsc --project review/tsconfig.json
