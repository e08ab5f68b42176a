"""Tests that the model and the ledger are pure and the stand-ins do not import the program."""

from __future__ import annotations

import pytest

from rig.helper import ROOT
from tests.test_layout import FORBIDDEN, imported_names

ALLOWED_MODULES = {"rig.model"}


@pytest.mark.parametrize("name", ["model.py", "ledger.py"])
def test_pure_modules_use_no_clock_or_io(name):
    used_names = imported_names(ROOT / "rig" / name)
    assert not {one.split(".")[0] for one in used_names} & FORBIDDEN
    ours = {".".join(one.split(".")[:2]) for one in used_names if one.startswith(("rig.", "benchmarks."))}
    assert ours <= ALLOWED_MODULES


def test_the_stand_ins_do_not_import_the_program():
    for path in (ROOT / "rig").glob("*.py"):
        assert not [one for one in imported_names(path) if one.startswith("fordtrestle")], path
