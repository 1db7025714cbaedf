#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH="$PWD/target/deps:$PWD"
PYTHONPYCACHEPREFIX="$PWD/target/pycache"
export PYTHONPATH PYTHONPYCACHEPREFIX
python3 -c 'import review.harness' || exit 2
exec python3 review/3/play.py
