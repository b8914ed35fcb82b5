#!/usr/bin/env bash
# Builds the stand-ins of the scripts: Python, so only their byte code.
set -euo pipefail
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps python3 -m compileall -q review tests/gateway tests/soak tests/ports.py
