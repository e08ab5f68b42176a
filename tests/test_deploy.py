"""The deploy file lists every package that its commands need, since users' machines have nothing else."""

from __future__ import annotations

import ast
import re
import shlex
import sys
import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parent.parent
DEPLOY = tomllib.loads((ROOT / "deploy/system.toml").read_text())
# The Debian package that contains a program, or a Python module that is run as a program.
PACKAGE_OF = {"python3": "python3", "pip": "python3-pip"}
PREINSTALLED = {"[", "test", "true", "mkdir", "cp", "rm", "touch"}
OWN_PACKAGES = {"fordtrestle"}


def called_programs(command: str) -> set[str]:
    """Return the programs and Python modules that a shell command calls."""
    programs = set()
    for part in re.split(r"\|\||&&|;|[{}]", command):
        words = shlex.split(part)
        if not words:
            continue
        programs.add(words[0])
        if "-m" in words:
            programs.add(words[words.index("-m") + 1])
    return programs


def needed_packages(deploy: dict) -> set[str]:
    """Return the Debian packages that the commands of a deploy file need."""
    commands = [deploy["build"], *(role["run"] for role in deploy["roles"].values())]
    programs = set().union(*map(called_programs, commands)) - PREINSTALLED - OWN_PACKAGES
    return {PACKAGE_OF[program] for program in programs}


def test_exactly_the_needed_system_packages_are_listed():
    assert set(DEPLOY["packages"]) == needed_packages(DEPLOY)


def test_a_program_that_no_listed_package_contains_is_found():
    with pytest.raises(KeyError):
        needed_packages({**DEPLOY, "build": "cmake . && " + DEPLOY["build"]})
    assert called_programs("[ a -nt b ] || python3 -m pip install x") == {"[", "python3", "pip"}


def test_the_build_installs_every_library_that_the_system_imports():
    """Only the libraries in `requirements-system.txt` and their dependencies are installed there."""
    pinned = (ROOT / "requirements-system.txt").read_text() + (ROOT / "requirements.txt").read_text()
    names = {re.split(r"[=<>\[]", line)[0].replace("-", "_") for line in pinned.split() if "==" in line}
    dependencies = {"multidict", "yarl"}  # of aiohttp
    for file in ROOT.glob("fordtrestle/**/*.py"):
        package = file.relative_to(ROOT).parts[1]
        if package not in SYSTEM:
            continue
        for module in imported(file):
            top = module.split(".")[0]
            assert top in names | dependencies | OWN_PACKAGES | sys.stdlib_module_names, (file, module)


SYSTEM = {
    *("roles", "ingress", "forward", "control_api", "routing", "admission", "replication", "dissemination"),
    *("peer", "storage", "settings"),
}


def imported(file: Path) -> set[str]:
    """Return the modules that a file imports."""
    modules = set()
    for node in ast.walk(ast.parse(file.read_text())):
        if isinstance(node, ast.Import):
            modules |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom) and node.module:
            modules.add(node.module)
    return modules
