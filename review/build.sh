#!/bin/sh
# Builds the scripts of this folder and every stand-in that they start, into build/. Needs the packages that the build
# of the deploy file has installed.
set -e
cd "$(dirname "$0")/.."
node_modules/.bin/tsc -p review/tsconfig.json
