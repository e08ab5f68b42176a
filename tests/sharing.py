"""How the workers of pytest-xdist share out the tests, as a plugin of the whole suite.

Each test goes by itself to a worker that is free, the longest first, so that none is left to wait for at the
end. The marks of `--dist loadgroup` can't tell which belong together: xdist 3.8 writes the group into an
item's id, which pytest 9.2 lets nobody change.
"""

from __future__ import annotations

import pytest
from xdist.scheduler import LoadScopeScheduling

# Files whose tests share one costly fixture: they stay with one worker.
TOGETHER = ("tests/rig/test_demo.py",)

# Where the tests of several seconds are, in the order of the longest of each.
FIRST = (
    *TOGETHER,
    "tests/rig/cluster/test_cluster.py",
    "tests/replication/test_exhaustive.py",
    "tests/rig/test_soak.py",
    "tests/balancer/test_departures.py",
    "tests/rig/cluster/",
    "tests/replication/test_search.py",
    "tests/test_guards.py",
    "tests/proxy/http/test_hostile.py",
    "tests/rig/",
)


def rank(nodeid: str) -> int:
    """How early a test is begun: the less, the earlier."""
    return next((place for place, start in enumerate(FIRST) if nodeid.startswith(start)), len(FIRST))


def unit(nodeid: str) -> str:
    """What goes to one worker as a whole: a file of those above, or the test alone."""
    file = nodeid.partition("::")[0]
    return file if file in TOGETHER else nodeid


@pytest.hookimpl(trylast=True)
def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Put the longest first; all workers find the same order."""
    items.sort(key=lambda item: rank(item.nodeid))


class Sharing(LoadScopeScheduling):
    """The scheduler of `--dist loadscope`, by units of ours."""

    def _split_scope(self, nodeid: str) -> str:
        return unit(nodeid)


@pytest.hookimpl(optionalhook=True)
def pytest_xdist_make_scheduler(config: pytest.Config, log: object) -> Sharing | None:
    """What shares the tests out."""
    return Sharing(config, log) if config.getoption("dist") == "loadscope" else None
