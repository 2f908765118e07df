#!/bin/sh
# Checks the stand-ins of the second review: they are Python and need no
# compiler. They use the packages that the deploy file builds.
set -e
cd "$(dirname "$0")/.."
test -d target/deps || { echo 'build the deploy file first' >&2; exit 1; }
PYTHONPATH=target/deps python3 - <<'PYTHON'
import ast
import pathlib

for path in [
    pathlib.Path('review/harness2.py'),
    *sorted(pathlib.Path('review').glob('[6-9]/case.py')),
    *sorted(pathlib.Path('review').glob('10/case.py')),
]:
    ast.parse(path.read_text())
from bench.standins import platform_store  # noqa
PYTHON
