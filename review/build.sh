#!/usr/bin/env bash
# Builds the stand-ins that the scripts start: compiles them and checks that
# they can be imported with what the deploy file's build has installed.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH=target/deps:review:.
python3 -m compileall -q tests/standins review/common review/[1-5]
python3 -c 'import common.kit, common.model_engine'
