"""Known red tests, as a pytest plugin: `KNOWN-RED.txt` at the root names tests that fail and why.

One line each, three at most: `test id | cause | issue`. A test id is the node id of one test, as
`pytest --collect-only -q` prints it. A listed test is run and has to fail in its own body. The run fails
if it does not, if a run of the whole suite does not collect it, and if the file can't be read.

With pytest-xdist, `Turned` acts in the workers, which run the tests, and `Told` in the controller, which
judges the run; without it both act in one process. What came of a test goes with its reports.
"""

from __future__ import annotations

import re
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import pytest

FILE = "KNOWN-RED.txt"
MOST = 3  # lines
FIELDS = ("test id", "cause", "issue")
FORMS = (r"\S+\.py::.+", r".+", r"#?[0-9]+")  # of the fields
RED = "fails"
NOT_COLLECTED = "was not collected"
SEEN = "known_red"  # the attribute of a report that says what came of a listed test

# Options with which a run is one of a part of the suite.
PARTS = ("keyword", "markexpr", "deselect", "ignore", "ignore_glob", "lf", "stepwise", "pyargs")


class Unreadable(ValueError):
    """What can't be read, in one line that names file, line and field."""


@dataclass
class Entry:
    """One line of the file, and what came of its test."""

    line: int
    test: str
    cause: str
    issue: str
    seen: str = NOT_COLLECTED


def read(path: Path) -> list[Entry]:
    """The entries of a file; none if there is no such file. Raises Unreadable."""
    try:
        rows = path.read_text(encoding="utf-8").splitlines()
    except FileNotFoundError:
        return []
    except (OSError, UnicodeDecodeError) as error:
        raise Unreadable(f"{path.name}: {error}") from error
    entries: list[Entry] = []
    for line, row in enumerate(rows, 1):
        if row.strip():
            entries.append(_entry(f"{path.name}, line {line}", line, row, {entry.test for entry in entries}))
    return entries


def _entry(where: str, line: int, row: str, before: set[str]) -> Entry:
    if len(before) == MOST:
        raise Unreadable(f"{where}: one line too many: {MOST} at most")
    texts = [text.strip() for text in row.split(" | ")]
    if len(texts) > len(FIELDS):
        raise Unreadable(f"{where}: {FIELDS[-1]}: more follows it")
    for at, (field, form) in enumerate(zip(FIELDS, FORMS, strict=True)):
        text = texts[at] if at < len(texts) else ""
        if not text:
            raise Unreadable(f"{where}: {field}: is missing")
        if not re.fullmatch(form, text):
            raise Unreadable(f"{where}: {field}: can't be read: {text!r}")
    if texts[0] in before:
        raise Unreadable(f"{where}: {FIELDS[0]}: stands there twice")
    return Entry(line, *texts)


def pytest_configure(config: pytest.Config) -> None:
    """Read the file before anything is collected."""
    try:
        entries = read(config.rootpath / FILE)
    except Unreadable as error:
        raise pytest.UsageError(str(error)) from error
    judged = not (config.getoption("collectonly") or config.getoption("setuponly"))
    if entries and judged:
        config.pluginmanager.register(Turned(entries), "known-red-turned")
        if not hasattr(config, "workerinput"):  # a worker judges no run
            config.pluginmanager.register(Told(entries), "known-red")


class Turned:
    """Turns the listed tests' verdicts round where they are run; each report says what came of its test."""

    def __init__(self, entries: list[Entry]) -> None:
        self._entries = {entry.test: entry for entry in entries}

    @pytest.hookimpl(wrapper=True, tryfirst=True)  # outside the hook that reads the marks
    def pytest_runtest_makereport(self, item: pytest.Item, call: pytest.CallInfo):
        report = yield
        entry = self._entries.get(item.nodeid)
        if entry is not None and call.when != "teardown":
            _judge(entry, call, report)
        return report


class Told:
    """Judges the run by the reports of the listed tests, and tells at the end what came of each."""

    def __init__(self, entries: list[Entry]) -> None:
        self._entries = {entry.test: entry for entry in entries}
        self._whole = False

    def pytest_collection_finish(self, session: pytest.Session) -> None:
        """Note which tests will run, where this process runs them."""
        self._collected(session.config, [item.nodeid for item in session.items])

    @pytest.hookimpl(optionalhook=True)
    def pytest_xdist_node_collection_finished(self, node: Any, ids: Sequence[str]) -> None:
        """Note which tests a worker found: all find the same, or xdist fails the run."""
        self._collected(node.config, ids)

    def _collected(self, config: pytest.Config, ids: Iterable[str]) -> None:
        self._whole = _is_whole(config)
        for nodeid in ids:
            entry = self._entries.get(nodeid)
            if entry is not None and entry.seen == NOT_COLLECTED:
                entry.seen = "was not run"

    def pytest_runtest_logreport(self, report: pytest.TestReport) -> None:
        """Take what a report says came of a listed test; one of a worker's crash says nothing."""
        entry = self._entries.get(report.nodeid)
        if entry is not None:
            entry.seen = getattr(report, SEEN, entry.seen)

    def pytest_terminal_summary(self, terminalreporter: pytest.TerminalReporter) -> None:
        """One line for each entry, with its cause."""
        terminalreporter.section("known red")
        for entry in self._entries.values():
            verdict = "known" if entry.seen == RED else "FAILED" if self._breaks(entry) else "left out"
            told = f"{verdict}: {entry.test} {entry.seen} | {entry.cause} | {entry.issue}"
            terminalreporter.line(f"{FILE}, line {entry.line}: {told}")

    @pytest.hookimpl(tryfirst=True)
    def pytest_sessionfinish(self, session: pytest.Session) -> None:
        """A run that went well fails if a listed test did not."""
        well = (pytest.ExitCode.OK, pytest.ExitCode.NO_TESTS_COLLECTED)
        if session.exitstatus in well and any(map(self._breaks, self._entries.values())):
            session.exitstatus = pytest.ExitCode.TESTS_FAILED

    def _breaks(self, entry: Entry) -> bool:
        return entry.seen != RED and (self._whole or entry.seen != NOT_COLLECTED)


def _judge(entry: Entry, call: pytest.CallInfo, report: pytest.TestReport) -> None:
    """A failure in the test's own body is what was listed; whatever else ends it fails the run.

    Guards against a fault that is gone, or no longer looked at, while its line still stands: a skip, an
    error in a fixture and a failure told by `pytest.xfail()` say nothing of it.
    """
    seen = _seen(call)
    if seen is None:
        return
    setattr(report, SEEN, seen)
    if seen == RED:
        report.outcome, report.wasxfail = "skipped", f"{FILE}: {entry.cause}"
    elif not report.failed:
        report.outcome, report.longrepr = "failed", f"{FILE}, line {entry.line}: {entry.test} {seen}"


def _seen(call: pytest.CallInfo) -> str | None:
    """What came of a listed test by its setup or its body; None if it goes on."""
    if call.excinfo is None:
        return None if call.when == "setup" else "passes"
    if call.excinfo.errisinstance((pytest.skip.Exception, pytest.xfail.Exception)):
        return "was skipped"
    return "fails before its body" if call.when == "setup" else RED


def _is_whole(config: pytest.Config) -> bool:
    """Whether a run is one of the whole suite: all test paths, and no choice among the tests."""
    root = config.rootpath
    given = {(config.invocation_params.dir / arg).resolve() for arg in config.args}
    suite = {(root / path).resolve() for path in config.getini("testpaths")} or {root}
    whole = root in given or suite <= given
    return whole and not any(config.getoption(name, default=None) for name in PARTS)
