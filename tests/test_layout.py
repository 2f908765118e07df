"""Tests of the size of the package's files and of their imports."""

from __future__ import annotations

import ast
import graphlib
import pathlib

ROOT = pathlib.Path(__file__).parents[1]
PACKAGE = ROOT / 'jasminebeam'
MAX_LINES = 500


def _modules():
    for path in PACKAGE.rglob('*.py'):
        if 'generated' not in path.parts:
            parts = path.relative_to(ROOT).with_suffix('').parts
            yield '.'.join(parts).removesuffix('.__init__'), path


def _imports(path, names):
    """Return the modules of the package that a file imports, types too."""
    found = set()
    for statement in ast.walk(ast.parse(path.read_text())):
        if isinstance(statement, ast.ImportFrom) and statement.module:
            for alias in statement.names:
                found.add(f'{statement.module}.{alias.name}')
        elif isinstance(statement, ast.Import):
            found.update(alias.name for alias in statement.names)
    return found & names


def test_file_held_more_than_one_job():
    """A file that has grown beyond the limit is split."""
    too_long = {
        name: lines
        for name, path in _modules()
        if (lines := len(path.read_text().splitlines())) > MAX_LINES
    }
    assert not too_long


def test_modules_imported_each_other():
    """No module depends on itself by way of others."""
    modules = dict(_modules())
    graph = {
        name: _imports(path, modules.keys()) - {name}
        for name, path in modules.items()
    }
    tuple(graphlib.TopologicalSorter(graph).static_order())
