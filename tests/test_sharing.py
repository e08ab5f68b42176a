"""Distribution of tests among xdist workers: files kept together, slow tests first, and no test lost."""

from __future__ import annotations

import os
import re
from pathlib import Path

from benchmarks import common, crowds, load_accuracy, points, soak
from tests import sharing

SUITE = Path(__file__).parent


def test_files_with_a_shared_fixture_are_run_by_one_worker():
    """Guards against an expensive fixture that each worker sets up again."""
    shared_fixture = re.compile(r"""fixture\(.*scope=["'](class|module|package|session)""")
    files = [file for file in SUITE.rglob("test_*.py") if shared_fixture.search(file.read_text())]
    assert sorted(file.relative_to(SUITE.parent).as_posix() for file in files) == sorted(
        sharing.SINGLE_WORKER_FILES
    )
    for file in sharing.SINGLE_WORKER_FILES:
        assert sharing.work_unit(f"{file}::test_one") == sharing.work_unit(f"{file}::test_two[a::b]") == file
    single_test = "tests/test_sharing.py::test_one[a]"
    assert sharing.work_unit(single_test) == single_test


def test_slow_test_paths_exist_and_none_is_covered_by_an_earlier_one():
    for index, path in enumerate(sharing.SLOW_TEST_PATHS):
        assert (SUITE.parent / path).exists(), path
        assert sharing.rank(f"{path}::test_one") == index
    assert sharing.rank("tests/test_sharing.py::test_one") == len(sharing.SLOW_TEST_PATHS)


def test_each_test_is_run_once_and_a_single_worker_file_by_one_worker(pytester, monkeypatch):
    monkeypatch.setenv("PYTEST_DISABLE_PLUGIN_AUTOLOAD", "1")
    (single_worker_file,) = sharing.SINGLE_WORKER_FILES
    suite = "import os, pathlib, pytest\n@pytest.mark.parametrize('n', range(12))\ndef test_one(n):\n"
    suite += "    line = f'{__file__.split(os.sep)[-1]} {os.getpid()}\\n'\n    open(NOTES, 'a').write(line)\n"
    notes = pytester.path / "notes"
    for file in ("tests/rig/test_other.py", single_worker_file):
        path = pytester.path / file
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(suite.replace("NOTES", repr(str(notes))))
    pytester.makeconftest('pytest_plugins = ("tests.sharing",)')
    options = ("-p", "xdist", "-n", "2", "--dist", "loadscope", "--no-loadscope-reorder")
    result = pytester.runpytest_inprocess("-p", "no:cacheprovider", *options)
    result.assert_outcomes(passed=24)
    rows = [row.split() for row in notes.read_text().splitlines()]
    assert len(rows) == 24
    assert len({pid for name, pid in rows if name == Path(single_worker_file).name}) == 1


def test_no_benchmark_that_is_run_by_a_test_reserves_a_core():
    before = os.sched_getaffinity(0)
    assert [module.reserve_core() for module in (common, crowds, load_accuracy, points, soak)] == [None] * 5
    assert os.sched_getaffinity(0) == before
