"""Plugins of the whole suite, what its property tests draw, and the cores that its benchmarks play on."""

import sys

import pytest
from hypothesis import HealthCheck, settings

from tests import guards

guards.take_out()

pytest_plugins = ("tests.known_red", "tests.sharing", "pytester")

# The same examples each time, and no verdict by the time that one takes: that is the machine's.
settings.register_profile(
    "suite", derandomize=True, deadline=None, suppress_health_check=[HealthCheck.too_slow]
)
settings.load_profile("suite")


@pytest.fixture(autouse=True, scope="session")
def all_cores():
    """Benchmarks that tests play take no core for the program alone.

    Guards against workers whose programs are all bound to that one core, and which keep off it themselves
    for the rest of the run.
    """
    with pytest.MonkeyPatch.context() as patched:
        for name, module in list(sys.modules.items()):
            if name.startswith("benchmarks.") and hasattr(module, "reserve_core"):
                patched.setattr(module, "reserve_core", lambda: None)
        yield
