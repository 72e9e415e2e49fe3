"""Imports in the package: only modules are imported, never names, and there are no cycles."""

import ast
import graphlib
import subprocess
import sys

from tests import source


def module_name(path):
    parts = path.relative_to(source.ROOT).with_suffix("").parts
    return ".".join(parts).removesuffix(".__init__")


def imported_names(tree):
    """Yields the dotted names that a module imports from the package."""
    for node in ast.walk(tree):
        if isinstance(node, ast.ImportFrom) and (node.module or "").startswith("bergamotridge"):
            yield from (f"{node.module}.{alias.name}" for alias in node.names)


def test_only_modules_are_imported():
    known = {module_name(path) for path in source.PACKAGE.rglob("*.py")}
    names = {
        f"{module_name(path)}: {name}"
        for path, tree in source.trees()
        for name in imported_names(tree)
        if name not in known
    }
    assert names == set()


def test_there_are_no_import_cycles():
    graph = {module_name(path): set(imported_names(tree)) for path, tree in source.trees()}
    graphlib.TopologicalSorter(graph).prepare()


# Strategies that know records or outcomes can't be tested or replaced by themselves.
def test_balancing_imports_no_other_package():
    names = {
        name
        for path, tree in source.trees()
        if path.parent.name == "balancing"
        for name in imported_names(tree)
    }
    assert {name for name in names if not name.startswith("bergamotridge.balancing.")} == set()


# A node loaded 505 modules before its first request, many of them for pages that nobody asked for.
def test_a_node_starts_without_the_libraries_of_pages_and_commands():
    code = (
        "import sys, bergamotridge.application;"
        "print([name for name in ('werkzeug', 'cattrs', 'http.server') if name in sys.modules])"
    )
    completed = subprocess.run(
        [sys.executable, "-c", code], cwd=source.ROOT, capture_output=True, text=True, check=True
    )
    assert completed.stdout.strip() == "[]"
