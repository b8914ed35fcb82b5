#!/usr/bin/env bash
# Prepares the stand-ins of the cases 6 to 10: Python needs no build, so this
# checks that the modules which they use can be imported.
set -euo pipefail
cd "$(dirname "$0")/.."
PYTHONPATH="target/deps:." python3 -c 'import review.lib2.engine_process, review.lib2.steps'
