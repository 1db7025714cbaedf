#!/bin/sh
# Builds the stand-ins of the scripts: they are Python and need only the standard
# library. The system itself is built by the build command of deploy/system.toml.
cd "$(dirname "$0")/.." || exit 2
python3 -m py_compile standins/opaque_platform.py review/harness.py review/*/play.py
