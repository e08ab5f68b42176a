"""The shape that reviews rely on: a short decision module and imports that run one way."""

from __future__ import annotations

import ast
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parent.parent
PACKAGE = ROOT / "poppypulley"
OURS = ("poppypulley", "fordtrestle")


def imported(name: str, package: Path = PACKAGE) -> set[str]:
    """The modules of these packages that one file imports."""
    met = set()
    for node in ast.walk(ast.parse((package / name).read_text())):
        if isinstance(node, ast.ImportFrom) and (node.module or "").startswith(OURS):
            module = node.module or ""
            met |= {module} if module not in OURS else {f"{module}.{a.name}" for a in node.names}
        elif isinstance(node, ast.Import):
            met |= {alias.name for alias in node.names if alias.name.startswith(OURS)}
        elif isinstance(node, ast.ImportFrom):
            assert node.level == 0, "relative imports hide where they lead"
    return met


def test_the_decision_module_can_be_read_aloud():
    lines = (PACKAGE / "balancer.py").read_text().splitlines()
    assert len([line for line in lines if line.strip()]) <= 960
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


CONFIG, DRIVER, FRAMING = "fordtrestle.config", "fordtrestle.driver", "fordtrestle.framing"
MODEL, MODULE = "poppypulley.model", "poppypulley.Balancer"


@pytest.mark.parametrize(
    ("name", "allowed"),
    [
        ("config.py", {MODEL}),
        ("framing.py", set()),
        ("driver.py", {CONFIG, MODEL, MODULE}),
        ("inbound.py", {CONFIG, DRIVER, FRAMING}),
        ("outbound.py", {CONFIG, DRIVER, FRAMING, MODEL}),
        ("discovery.py", {CONFIG, DRIVER}),
        ("peers.py", {CONFIG, DRIVER}),
    ],
)
def test_imports_run_from_sockets_to_driver_to_module(name, allowed):
    assert imported(name, ROOT / "fordtrestle") <= allowed


def test_the_driver_knows_no_sockets():
    tree = ast.parse((ROOT / "fordtrestle" / "driver.py").read_text())
    met = {alias.name for node in ast.walk(tree) if isinstance(node, ast.Import) for alias in node.names}
    assert not met & {"socket", "select", "ssl", "httptools"}
