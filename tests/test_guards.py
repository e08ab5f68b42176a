"""Each guard is taken out once, and its tests have to fail: a test that passes without what it is there for
proves nothing.
"""

from __future__ import annotations

import os
import subprocess
import sys

import pytest

from tests.guards import GUARDS, ROOT, VARIABLE, without

FAILED = 1  # pytest's exit code where tests ran and some failed
PATIENCE_S = 120.0


def test_each_guard_stands_where_the_table_says():
    """In milliseconds, where the test below takes minutes to notice that lines have moved."""
    moved = []
    for name, guard in GUARDS.items():
        try:
            without(guard)
        except ValueError as error:
            moved.append(f"{name}: {error}")
    assert not moved


@pytest.mark.parametrize("name", GUARDS)
def test_without_the_guard_a_test_fails(name):
    command = [sys.executable, "-m", "pytest", "-q", "-x", "-p", "no:cacheprovider", GUARDS[name].tests]
    environment = {**os.environ, VARIABLE: name, "PYTEST_ADDOPTS": ""}
    environment.pop("PYTEST_XDIST_WORKER", None)
    ran = subprocess.run(
        command, cwd=ROOT, env=environment, capture_output=True, text=True, timeout=PATIENCE_S, check=False
    )
    assert ran.returncode == FAILED, ran.stdout[-2000:] + ran.stderr[-500:]
