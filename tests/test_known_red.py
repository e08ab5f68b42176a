"""The reading of KNOWN-RED.txt: runs of pytest in a folder of their own, with files of all kinds.

Where the verdict has another way to take with workers, the tests are run with them too (`shared`).
"""

from __future__ import annotations

import pytest

from tests import known_red

SHARED = ("-p", "xdist", "-n", "2", "--dist", "loadscope")
RED, GREEN = "testing/test_one.py::test_red", "testing/test_one.py::test_green"
SUITE = """
    import pytest

    def test_green():
        pass

    def test_red():
        assert 1 == 2
"""


@pytest.fixture
def run(pytester, monkeypatch):
    """Run a suite of one file, `testing/test_one.py`, beside a file of these lines, if there are any."""
    monkeypatch.setenv("PYTEST_DISABLE_PLUGIN_AUTOLOAD", "1")
    pytester.makepyprojecttoml('[tool.pytest.ini_options]\ntestpaths = ["testing"]')
    pytester.mkdir("testing").joinpath("conftest.py").write_text('pytest_plugins = ("tests.known_red",)')

    def with_lines(*lines, suite=SUITE, options=()):
        pytester.makepyfile(**{"testing/test_one": suite})
        if lines:
            pytester.path.joinpath(known_red.FILE).write_text("\n".join(lines) + "\n", encoding="utf-8")
        return pytester.runpytest_inprocess("-p", "no:cacheprovider", *options)

    return with_lines


@pytest.fixture
def shared(run):
    """The same suite shared out between two workers."""
    return lambda *lines, suite=SUITE, options=(): run(*lines, suite=suite, options=(*SHARED, *options))


def listed(test=RED, cause="counts wrong", issue="30"):
    return f"{test} | {cause} | {issue}"


def lines_of(result, word):
    """The lines of a run's output that hold a word."""
    return [line for line in result.outlines + result.errlines if word in line]


def test_this_suite_reads_its_file(request):
    assert request.config.pluginmanager.has_plugin("tests.known_red")


def test_a_listed_test_that_fails_lets_the_run_pass_and_is_printed_with_its_cause(run):
    result = run(listed())
    assert result.ret == pytest.ExitCode.OK
    result.assert_outcomes(passed=1, xfailed=1)
    assert lines_of(result, "line 1") == [f"KNOWN-RED.txt, line 1: known: {RED} fails | counts wrong | 30"]


def test_without_its_line_the_same_test_fails_the_run(run):
    result = run()
    assert result.ret == pytest.ExitCode.TESTS_FAILED
    result.assert_outcomes(passed=1, failed=1)


def test_a_test_that_is_not_listed_fails_the_run_beside_one_that_is(run):
    result = run(listed(), suite=SUITE + "\n    def test_other():\n        assert False\n")
    assert result.ret == pytest.ExitCode.TESTS_FAILED
    result.assert_outcomes(passed=1, xfailed=1, failed=1)


@pytest.mark.parametrize(
    ("body", "seen"),
    [
        ("def test_red(): pass", "passes"),
        ("@pytest.mark.xfail\ndef test_red(): pass", "passes"),
        ("@pytest.mark.xfail(strict=True)\ndef test_red(): pass", "passes"),
        ("def test_red(): pytest.skip('not here')", "was skipped"),
        ("@pytest.mark.skip\ndef test_red(): assert False", "was skipped"),
        ("@pytest.mark.xfail(run=False)\ndef test_red(): assert False", "was skipped"),
        ("def test_red(): pytest.xfail('so it says')", "was skipped"),
        (
            "@pytest.fixture\ndef none(): assert False\ndef test_red(none): assert False",
            "fails before its body",
        ),
        ("@pytest.fixture\ndef none(): pytest.skip()\ndef test_red(none): assert False", "was skipped"),
        (
            "@pytest.fixture\ndef none(): assert False\n@pytest.mark.xfail\ndef test_red(none): assert False",
            "fails before its body",
        ),
    ],
)
def test_a_listed_test_that_does_not_fail_in_its_body_fails_the_run(run, body, seen):
    """Guards against a line that stays when its fault is gone, or when nothing looks at it any more."""
    result = run(listed(), suite=f"import pytest\n{body}\n")
    assert result.ret == pytest.ExitCode.TESTS_FAILED
    assert lines_of(result, "line 1: FAILED") == [
        f"KNOWN-RED.txt, line 1: FAILED: {RED} {seen} | counts wrong | 30"
    ]


def test_a_listed_test_that_its_own_mark_expects_to_fail_is_known_all_the_same(run):
    result = run(listed(), suite="import pytest\n@pytest.mark.xfail\ndef test_red(): assert False\n")
    assert result.ret == pytest.ExitCode.OK
    assert lines_of(result, "known: ")


def test_what_a_listed_test_leaves_behind_fails_the_run(run):
    fixture = "import pytest\n@pytest.fixture\ndef leaves():\n    yield\n    assert False\n"
    suite = fixture + "def test_red(leaves): assert False\n"
    result = run(listed(), suite=suite)
    assert result.ret == pytest.ExitCode.TESTS_FAILED
    result.assert_outcomes(xfailed=1, errors=1)


@pytest.mark.parametrize("options", [(), ("testing",), (".",)])
def test_a_listed_test_that_is_not_there_fails_a_run_of_the_whole_suite(run, options):
    missing = "testing/test_one.py::test_gone"
    result = run(listed(missing), suite="def test_green(): pass", options=options)
    assert result.ret == pytest.ExitCode.TESTS_FAILED
    assert lines_of(result, "line 1: FAILED") == [
        f"KNOWN-RED.txt, line 1: FAILED: {missing} was not collected | counts wrong | 30"
    ]


def test_a_listed_name_of_several_tests_names_none_of_them(run):
    suite = "import pytest\n@pytest.mark.parametrize('n', [1, 2])\ndef test_red(n): assert n == {n}\n"
    assert lines_of(run(listed(), suite=suite.format(n=1)), "FAILED: testing/test_one.py::test_red was not")
    assert run(listed(f"{RED}[2]"), suite=suite.format(n=1)).ret == pytest.ExitCode.OK


@pytest.mark.parametrize(
    "options",
    [("testing/test_one.py::test_green",), ("-k", "green"), ("--deselect", RED), ("-m", "not slow")],
)
def test_a_run_of_a_part_passes_without_the_listed_tests_that_it_leaves_out(run, options):
    result = run(listed(), listed("testing/test_two.py::test_far"), options=options)
    assert result.ret == pytest.ExitCode.OK
    assert len(lines_of(result, "left out: ")) == (1 if "-m" in options else 2)


def test_a_listed_test_that_passes_fails_a_run_of_a_part_too(run):
    assert run(listed(GREEN), options=("-k", "green")).ret == pytest.ExitCode.TESTS_FAILED


def test_listing_the_tests_judges_none(run):
    assert run(listed(GREEN), options=("--collect-only",)).ret == pytest.ExitCode.OK


@pytest.mark.parametrize("text", [None, "", "\n  \n"])
def test_with_no_file_or_nothing_in_it_a_run_is_as_ever(run, pytester, text):
    if text is not None:
        pytester.path.joinpath(known_red.FILE).write_text(text)
    result = run(suite="def test_green(): pass")
    assert result.ret == pytest.ExitCode.OK
    assert not lines_of(result, "known red")


def test_three_lines_are_read_and_a_fourth_fails_the_run(run):
    suite = "\n".join(f"def test_{n}(): assert False" for n in range(4))
    lines = [listed(f"testing/test_one.py::test_{n}") for n in range(4)]
    result = run(*lines[:3], suite=suite, options=("--deselect", "testing/test_one.py::test_3"))
    assert result.ret == pytest.ExitCode.OK
    result.assert_outcomes(xfailed=3, deselected=1)
    result = run(*lines, suite=suite)
    assert result.ret == pytest.ExitCode.USAGE_ERROR
    assert lines_of(result, "KNOWN-RED") == ["ERROR: KNOWN-RED.txt, line 4: one line too many: 3 at most"]


@pytest.mark.parametrize(
    ("row", "told"),
    [
        ("test_red", "test id: can't be read: 'test_red'"),
        (" | counts wrong | 30", "test id: is missing"),
        ("testing/test_one.py | counts wrong | 30", "test id: can't be read: 'testing/test_one.py'"),
        (RED, "cause: is missing"),
        (f"{RED}|counts wrong|30", "cause: is missing"),
        (f"{RED} |  | 30", "cause: is missing"),
        (f"{RED} | counts wrong", "issue: is missing"),
        (f"{RED} | counts wrong | ", "issue: is missing"),
        (f"{RED} | counts wrong | soon", "issue: can't be read: 'soon'"),
        (f"{RED} | counts wrong | 30 | 31", "issue: more follows it"),
        (listed(GREEN), "test id: stands there twice"),
    ],
)
def test_a_line_that_can_not_be_read_fails_the_run_and_is_told_by_file_line_and_field(run, row, told):
    result = run(listed(GREEN), row)
    assert result.ret == pytest.ExitCode.USAGE_ERROR
    assert lines_of(result, "KNOWN-RED") == [f"ERROR: KNOWN-RED.txt, line 2: {told}"]


def test_a_file_that_can_not_be_read_fails_the_run(run, pytester):
    pytester.path.joinpath(known_red.FILE).write_bytes(b"\xff\xfe\n")
    result = run()
    assert result.ret == pytest.ExitCode.USAGE_ERROR
    assert len(lines_of(result, "ERROR: KNOWN-RED.txt: ")) == 1


def test_workers_know_a_listed_test_that_fails(shared):
    suite = SUITE + "\n    @pytest.mark.parametrize('n', ['a@b'])\n    def test_more(n): assert False\n"
    result = shared(listed(), listed("testing/test_one.py::test_more[a@b]"), suite=suite)
    assert result.ret == pytest.ExitCode.OK
    result.assert_outcomes(passed=1, xfailed=2)
    assert lines_of(result, "line 1") == [f"KNOWN-RED.txt, line 1: known: {RED} fails | counts wrong | 30"]
    assert len(lines_of(result, "known: ")) == 2


def test_workers_fail_the_run_for_a_test_that_is_not_listed(shared):
    result = shared(listed(), suite=SUITE + "\n    def test_other():\n        assert False\n")
    assert result.ret == pytest.ExitCode.TESTS_FAILED
    result.assert_outcomes(passed=1, xfailed=1, failed=1)


def test_workers_fail_the_run_for_each_listed_test_that_does_not_fail_in_its_body(shared):
    bodies = {
        "passes": "def test_passes(): pass",
        "was skipped": "def test_skipped(): pytest.skip('not here')",
        "fails before its body": "@pytest.fixture\ndef none(): assert 0\ndef test_before(none): assert 0",
    }
    names = ["test_passes", "test_skipped", "test_before"]
    suite = "\n".join(["import pytest", *bodies.values()])
    result = shared(*(listed(f"testing/test_one.py::{name}") for name in names), suite=suite)
    assert result.ret == pytest.ExitCode.TESTS_FAILED
    for number, (name, seen) in enumerate(zip(names, bodies, strict=True), 1):
        assert lines_of(result, f"line {number}: FAILED") == [
            f"KNOWN-RED.txt, line {number}: FAILED: testing/test_one.py::{name} {seen} | counts wrong | 30"
        ]


def test_workers_fail_the_run_for_a_listed_test_that_is_not_there_and_for_nothing_else(shared):
    missing = "testing/test_one.py::test_gone"
    result = shared(listed(missing), suite="def test_green(): pass")
    assert result.ret == pytest.ExitCode.TESTS_FAILED
    result.assert_outcomes(passed=1)
    assert lines_of(result, "line 1: FAILED") == [
        f"KNOWN-RED.txt, line 1: FAILED: {missing} was not collected | counts wrong | 30"
    ]


def test_workers_pass_a_part_of_the_suite_without_what_it_leaves_out(shared):
    result = shared(listed(), options=("-k", "green"))
    assert result.ret == pytest.ExitCode.OK
    assert lines_of(result, "left out: ")


def test_a_listed_test_that_ends_its_worker_fails_the_run(shared):
    """Guards against a crash that is taken for the failure which is listed."""
    suite = "import os\ndef test_green(): pass\ndef test_red(): os._exit(1)\n"
    result = shared(listed(), suite=suite, options=("--max-worker-restart", "0"))
    assert result.ret == pytest.ExitCode.TESTS_FAILED
    assert lines_of(result, "line 1: FAILED") == [
        f"KNOWN-RED.txt, line 1: FAILED: {RED} was not run | counts wrong | 30"
    ]


def test_a_file_that_can_not_be_read_fails_the_run_before_there_are_workers(shared):
    result = shared("test_red")
    assert result.ret == pytest.ExitCode.USAGE_ERROR
    assert lines_of(result, "KNOWN-RED") == [
        "ERROR: KNOWN-RED.txt, line 1: test id: can't be read: 'test_red'"
    ]
