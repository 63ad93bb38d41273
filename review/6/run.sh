#!/bin/sh
cd "$(dirname "$0")/../.." && exec node target/review/review/6/case.js
