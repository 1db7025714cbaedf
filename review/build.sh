#!/bin/sh
# Builds the stand-ins of the scripts. They are Python, and use the packages that the
# build command of deploy/system.toml puts into target/deps. Bytecode goes into target/.
cd "$(dirname "$0")/.." || exit 2
PYTHONPYCACHEPREFIX="$PWD/target/pycache"
export PYTHONPYCACHEPREFIX
python3 -m py_compile standins/*.py review/*.py review/*/play.py
