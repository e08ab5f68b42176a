"""Known red tests, as a pytest plugin: `KNOWN-RED.txt` at the root names tests that fail and why.

One line each, three at most: `test id | cause | issue`. A test id is the node id of one test, as
`pytest --collect-only -q` prints it. A listed test is run and has to fail in its own body. The run fails
if it does not, if a run of the whole suite does not collect it, and if the file can't be read."""

from __future__ import annotations

import re
from dataclasses import dataclass
from pathlib import Path

import pytest

FILE = "KNOWN-RED.txt"
MOST = 3  # lines
FIELDS = ("test id", "cause", "issue")
FORMS = (r"\S+\.py::.+", r".+", r"#?[0-9]+")  # of the fields
RED = "fails"

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
    seen: str = "was not collected"


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
        config.pluginmanager.register(KnownRed(entries), "known-red")


class KnownRed:
    """Turns the listed tests' verdicts round, and tells at the end what came of each."""

    def __init__(self, entries: list[Entry]) -> None:
        self._entries = {entry.test: entry for entry in entries}
        self._whole = False

    def pytest_collection_finish(self, session: pytest.Session) -> None:
        """Note which tests will run."""
        self._whole = _is_whole(session.config)
        for item in session.items:
            if item.nodeid in self._entries:
                self._entries[item.nodeid].seen = "was not run"

    @pytest.hookimpl(wrapper=True, tryfirst=True)  # outside the hook that reads the marks
    def pytest_runtest_makereport(self, item: pytest.Item, call: pytest.CallInfo):
        report = yield
        entry = self._entries.get(item.nodeid)
        if entry is not None and call.when != "teardown":
            _judge(entry, call, report)
        return report

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
        return entry.seen != RED and (self._whole or entry.seen != "was not collected")


def _judge(entry: Entry, call: pytest.CallInfo, report: pytest.TestReport) -> None:
    """A failure in the test's own body is what was listed; whatever else ends it fails the run.

    Guards against a fault that is gone, or no longer looked at, while its line still stands: a skip, an
    error in a fixture and a failure told by `pytest.xfail()` say nothing of it."""
    if call.excinfo is None:
        if call.when == "setup":
            return
        entry.seen = "passes"
    elif call.excinfo.errisinstance((pytest.skip.Exception, pytest.xfail.Exception)):
        entry.seen = "was skipped"
    elif call.when == "setup":
        entry.seen = "fails before its body"
    else:
        entry.seen = RED
        report.outcome, report.wasxfail = "skipped", f"{FILE}: {entry.cause}"
        return
    if not report.failed:
        report.outcome, report.longrepr = "failed", f"{FILE}, line {entry.line}: {entry.test} {entry.seen}"


def _is_whole(config: pytest.Config) -> bool:
    """Whether a run is one of the whole suite: all test paths, and no choice among the tests."""
    root = config.rootpath
    given = {(config.invocation_params.dir / arg).resolve() for arg in config.args}
    suite = {(root / path).resolve() for path in config.getini("testpaths")} or {root}
    whole = root in given or suite <= given
    return whole and not any(config.getoption(name, default=None) for name in PARTS)
