"""Plugins of the whole suite, and what its property tests draw."""

from hypothesis import HealthCheck, settings

pytest_plugins = ("tests.known_red", "tests.sharing", "pytester")

# The same examples each time, and no verdict by the time that one takes: that is the machine's.
settings.register_profile(
    "suite", derandomize=True, deadline=None, suppress_health_check=[HealthCheck.too_slow]
)
settings.load_profile("suite")
