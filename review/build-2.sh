#!/usr/bin/env bash
# Builds the cases 6 to 10 and all stand-ins that they start, the project's own too, into build/.
# The routers' program is built by the command in deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
npx tsc -p review/tsconfig.json
