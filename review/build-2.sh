#!/bin/sh
# Checks the stand-ins of the cases 6 to 10. They are scripts of the standard library that
# run inside the case's own process, so that nothing is built.
cd "$(dirname "$0")/.." || exit 2
exec python3 -B - <<'END'
import ast
import pathlib

names = ["fakes.py", "engines.py", "plain.py"]
names += [f"{number}/case.py" for number in range(6, 11)]
for name in names:
    path = pathlib.Path("review") / name
    ast.parse(path.read_text(), str(path))
END
