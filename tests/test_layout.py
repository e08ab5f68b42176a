"""The shape that reviews rely on: a short decision module and imports that run one way."""

from __future__ import annotations

import ast
from pathlib import Path

import pytest

PACKAGE = Path(__file__).resolve().parent.parent / "poppypulley"


def imported(name: str) -> set[str]:
    """The modules of this package that one file imports."""
    met = set()
    for node in ast.walk(ast.parse((PACKAGE / name).read_text())):
        if isinstance(node, ast.ImportFrom) and (node.module or "").startswith("poppypulley"):
            module = node.module or ""
            met |= {module} if module != "poppypulley" else {f"poppypulley.{a.name}" for a in node.names}
        elif isinstance(node, ast.Import):
            met |= {alias.name for alias in node.names if alias.name.startswith("poppypulley")}
        elif isinstance(node, ast.ImportFrom):
            assert node.level == 0, "relative imports hide where they lead"
    return met


def test_the_decision_module_can_be_read_aloud():
    lines = (PACKAGE / "balancer.py").read_text().splitlines()
    assert len([line for line in lines if line.strip()]) <= 910
    assert max(map(len, lines)) <= 110


@pytest.mark.parametrize(
    ("name", "allowed"),
    [
        ("model.py", set()),
        ("balancer.py", {"poppypulley.model"}),
        ("wirehost.py", {"poppypulley.model", "poppypulley.balancer"}),
    ],
)
def test_imports_run_from_adapter_to_module_to_interface(name, allowed):
    assert imported(name) <= allowed
