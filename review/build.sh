#!/bin/sh
# Builds the scripts of this folder and every stand-in that they start, into build/.
set -e
cd "$(dirname "$0")/.."
[ node_modules -nt package-lock.json ] || npm ci --silent
npx tsc -p review/tsconfig.json
