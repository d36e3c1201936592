#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case cannot run.
cd "$(dirname "$0")/../.." || exit 2
export PYTHONPATH=target/deps:review:.
python3 -c 'import common.kit, common.model_engine' || exit 2
exec python3 review/5/case.py
