"""Planted breaches change a module as it is loaded and not its file; an edit that does not fit is refused."""

from __future__ import annotations

import json
import subprocess
import sys

import pytest

from rig.cluster import breaching
from rig.cluster.breaching import Breach, BreachError, Edit
from rig.helper import ROOT

FILE = "pack/deep/thing.py"
SOURCE = "LIMIT = 3\n\n\ndef kept(count):\n    return count <= LIMIT\n"


@pytest.fixture
def tree(tmp_path):
    """A tree with one module and no compiled files."""
    path = tmp_path / FILE
    path.parent.mkdir(parents=True)
    (path.parent / "__init__.py").write_text("AT = 1\n")
    (path.parent.parent / "__init__.py").write_text("")
    path.write_text(SOURCE)
    return tmp_path


def breach(*edits):
    return Breach("tiny", tuple(Edit(*edit) for edit in edits), "a bound", "bounds")


def files(tree):
    """Return all files of a tree with their bytes."""
    return {str(path.relative_to(tree)): path.read_bytes() for path in tree.rglob("*") if path.is_file()}


def python(tree, code):
    """Return the output of a process that runs code in a tree."""
    return subprocess.run(
        [sys.executable, "-c", code],
        cwd=tree,
        env={"PYTHONPATH": f"{tree}:{ROOT}"},
        capture_output=True,
        text=True,
        check=True,
        timeout=30,
    ).stdout.strip()


ASK = "import pack.deep\nfrom pack.deep import thing\nprint(pack.deep.AT, thing.kept(4), thing.__file__)\n"
PLANT = """
from pathlib import Path
from rig.cluster import breaching
edits = (breaching.Edit("pack/deep/thing.py", "<= LIMIT", "<= LIMIT + WITH"),
         breaching.Edit("pack/deep/thing.py", "LIMIT = 3", "LIMIT = 3\\nWITH = 1"),
         breaching.Edit("pack/deep/__init__.py", "AT = 1", "AT = 2"))
breaching.install(breaching.Breach("tiny", edits, "a bound", "bounds"), Path("."))
"""


def test_a_breach_changes_the_loaded_module_and_nothing_on_disk(tree):
    """Guards against a compiled file that is read instead of the changed code, or left for the next run."""
    path = str(tree / FILE)
    assert python(tree, ASK) == f"1 False {path}"  # leaves its compiled files in the tree
    before = files(tree)
    assert any(name.endswith(".pyc") for name in before)
    assert python(tree, PLANT + ASK).split()[:2] == ["2", "True"]
    assert files(tree) == before
    assert python(tree, ASK) == f"1 False {path}"


@pytest.mark.parametrize(
    ("edits", "wrong"),
    [
        (
            [(FILE, "no such line", "x")],
            r"edits\[0\].old: found 0 times in pack/deep/thing.py, expected once",
        ),
        ([(FILE, "LIMIT", "x")], r"edits\[0\].old: found 2 times"),
        ([(FILE, "", "x")], r"edits\[0\].old: found 0 times"),
        ([(FILE, "LIMIT = 3", "LIMIT = 3")], r"edits\[0\].old: equal to new"),
        ([(FILE, "LIMIT = 3", "LIMIT = 4"), (FILE, "= 3", "= 5")], r"edits\[1\].old: found 0 times"),
        ([(FILE, "return", "return (")], "pack/deep/thing.py: "),
        ([("../secret.py", "a", "b")], r"edits\[0\].file: '../secret.py' is not the path of a module"),
        ([("/etc/passwd", "a", "b")], r"edits\[0\].file: '/etc/passwd' is not the path of a module"),
        ([("pack/none.py", "a", "b")], r"edits\[0\].file: pack/none.py: No such file"),
        ([], "edits: empty, expected at least one"),
    ],
)
def test_an_edit_that_does_not_fit_is_refused_in_one_line(tree, edits, wrong):
    before = list(sys.meta_path)
    with pytest.raises(BreachError, match=wrong) as refused:
        breaching.install(breach(*edits), tree)
    assert "\n" not in str(refused.value)
    assert str(refused.value).startswith("breach tiny: ")
    assert sys.meta_path == before


def test_a_module_that_is_loaded_already_can_not_be_changed(tree):
    """Guards against a breach that is planted too late and then seems to go unnoticed by its checker."""
    made = breach(("rig/cluster/breaching.py", "MAX_BYTES = 64", "MAX_BYTES = 65"))
    with pytest.raises(BreachError, match=r"rig\.cluster\.breaching: loaded already"):
        breaching.install(made)


WHOLE = {
    "name": "tiny",
    "edits": [{"file": FILE, "old": "LIMIT = 3", "new": "LIMIT = 4"}],
    "why": "a bound",
    "checker": "bounds",
}


def test_a_breach_is_read_by_its_name(tmp_path):
    (tmp_path / "tiny.json").write_text(json.dumps(WHOLE))
    assert breaching.names(tmp_path) == ["tiny"]
    assert breaching.read("tiny", tmp_path) == breach((FILE, "LIMIT = 3", "LIMIT = 4"))


@pytest.mark.parametrize(
    ("changes", "wrong"),
    [
        ({"name": "other"}, "tiny.json: name: 'other', expected the file's name, 'tiny'"),
        ({"edits": [{"file": FILE, "old": 3, "new": ""}]}, r"tiny.json: edits\[0\].old: Expected"),
        ({"more": 1}, "tiny.json: breach: Object contains unknown field `more`"),
        ({"why": None}, "tiny.json: why: Expected"),
        ({"why": "x" * 70_000}, "tiny.json: larger than"),
    ],
)
def test_an_invalid_breach_file_is_reported_in_one_line(tmp_path, changes, wrong):
    (tmp_path / "tiny.json").write_text(json.dumps({**WHOLE, **changes}))
    with pytest.raises(BreachError, match=wrong) as refused:
        breaching.read("tiny", tmp_path)
    assert "\n" not in str(refused.value)


@pytest.mark.parametrize("name", ["none", "../tiny", "", "a/b"])
def test_an_unknown_breach_is_reported_in_one_line(tmp_path, name):
    with pytest.raises(BreachError, match="breach: no "):
        breaching.read(name, tmp_path)


@pytest.mark.parametrize("name", breaching.names())
def test_each_planted_breach_still_fits_the_program(name):
    assert breaching.breached(breaching.read(name))
