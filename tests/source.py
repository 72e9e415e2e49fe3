"""Parses the source of the package for tests that compare it with tables and pages."""

import ast
import pathlib
from collections.abc import Iterator

ROOT = pathlib.Path(__file__).resolve().parent.parent
PACKAGE = ROOT / "bergamotridge"


def trees() -> Iterator[tuple[pathlib.Path, ast.Module]]:
    """Yields the path and syntax tree of each module; generated protobuf modules are left out."""
    for path in sorted(PACKAGE.rglob("*.py")):
        if not path.stem.endswith(("_pb2", "_pb2_grpc")):
            yield path, ast.parse(path.read_text(encoding="utf-8"))


def calls(name: str) -> Iterator[tuple[pathlib.Path, ast.Call]]:
    """Yields the path and node of each call of a function or method whose name ends with `name`."""
    for path, tree in trees():
        for node in ast.walk(tree):
            if isinstance(node, ast.Call) and _called_name(node).endswith(name):
                yield path, node


def _called_name(node: ast.Call) -> str:
    if isinstance(node.func, ast.Attribute):
        return node.func.attr
    return node.func.id if isinstance(node.func, ast.Name) else ""


def strings(node: ast.AST) -> set[str]:
    """Returns the constant strings in an expression; a placeholder of an f-string becomes ``*``."""
    if isinstance(node, ast.JoinedStr):
        parts = [str(part.value) if isinstance(part, ast.Constant) else "*" for part in node.values]
        return {"".join(parts)}
    if isinstance(node, ast.Constant):
        return {node.value} if isinstance(node.value, str) else set()
    if isinstance(node, ast.IfExp):
        return strings(node.body) | strings(node.orelse)
    return set()
