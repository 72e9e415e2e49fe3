"""Imports of the package: modules and not names, and never in a circle."""

import ast
import graphlib

from tests import source


def module_name(path):
    parts = path.relative_to(source.ROOT).with_suffix("").parts
    return ".".join(parts).removesuffix(".__init__")


def imported(tree):
    """Yields the dotted names that a module takes from the package."""
    for node in ast.walk(tree):
        if isinstance(node, ast.ImportFrom) and (node.module or "").startswith("bergamotridge"):
            yield from (f"{node.module}.{alias.name}" for alias in node.names)


def test_modules_are_imported_and_not_names():
    known = {module_name(path) for path in source.PACKAGE.rglob("*.py")}
    names = {
        f"{module_name(path)}: {name}"
        for path, tree in source.trees()
        for name in imported(tree)
        if name not in known
    }
    assert names == set()


def test_no_import_goes_in_a_circle():
    graph = {module_name(path): set(imported(tree)) for path, tree in source.trees()}
    graphlib.TopologicalSorter(graph).prepare()
