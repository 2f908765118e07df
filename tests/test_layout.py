"""Tests of the imports of the package."""

from __future__ import annotations

import ast
import graphlib
import pathlib

ROOT = pathlib.Path(__file__).parents[1]
PACKAGE = ROOT / 'jasminebeam'


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


def test_modules_imported_each_other():
    """No module depends on itself by way of others."""
    modules = dict(_modules())
    graph = {
        name: _imports(path, modules.keys()) - {name}
        for name, path in modules.items()
    }
    tuple(graphlib.TopologicalSorter(graph).static_order())
