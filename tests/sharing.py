"""A pytest plugin that distributes the tests of the suite among the workers of pytest-xdist.

Each test is sent on its own to an idle worker, the slowest tests first, so that the run does not end with
workers that wait for a slow one. The marks of `--dist loadgroup` cannot be used to keep tests together: xdist
3.8 writes the group into an item's id, which pytest 9.2 does not allow to change.
"""

from __future__ import annotations

import pytest
from xdist.scheduler import LoadScopeScheduling

# Files whose tests share an expensive fixture: each is run by a single worker.
SINGLE_WORKER_FILES = ("tests/rig/test_demo.py",)

# Files and folders with tests that take several seconds, ordered by the slowest test of each.
SLOW_TEST_PATHS = (
    *SINGLE_WORKER_FILES,
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
    """Return the position of a test in the order of execution; tests with a lower rank start earlier."""
    return next(
        (index for index, path in enumerate(SLOW_TEST_PATHS) if nodeid.startswith(path)), len(SLOW_TEST_PATHS)
    )


def work_unit(nodeid: str) -> str:
    """Return the unit that is sent to one worker: a file of `SINGLE_WORKER_FILES`, or the test alone."""
    file = nodeid.partition("::")[0]
    return file if file in SINGLE_WORKER_FILES else nodeid


@pytest.hookimpl(trylast=True)
def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Sort the slowest tests first; the order is the same in all workers, as xdist requires."""
    items.sort(key=lambda item: rank(item.nodeid))


class WorkUnitScheduling(LoadScopeScheduling):
    """The scheduler of `--dist loadscope`, with the work units of this module as scopes."""

    def _split_scope(self, nodeid: str) -> str:
        return work_unit(nodeid)


@pytest.hookimpl(optionalhook=True)
def pytest_xdist_make_scheduler(config: pytest.Config, log: object) -> WorkUnitScheduling | None:
    """Return the scheduler for `--dist loadscope`, or None for other options, which keep theirs."""
    return WorkUnitScheduling(config, log) if config.getoption("dist") == "loadscope" else None
