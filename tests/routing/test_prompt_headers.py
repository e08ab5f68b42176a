"""How the prompt headers of a request are parsed."""

from __future__ import annotations

import pytest

from fordtrestle.routing.common import Prompt
from fordtrestle.routing.prompt_headers import read_prompt
from tests.routing.records import make_prompt


@pytest.mark.parametrize(
    ("count", "prefix", "prompt"),
    [
        ("1460,80", "5c:800,91:410,e4:250", make_prompt(1460, 80, ("5c", 800), ("91", 410), ("e4", 250))),
        ("", "", Prompt()),
        ("x,y", "5c,91:z,:3,e4:1", make_prompt(0, 0, ("", 3), ("e4", 1))),
        ("-5,3", "", Prompt(0, 3, ())),
    ],
)
def test_valid_values_of_prompt_headers_are_parsed_and_invalid_ones_ignored(count, prefix, prompt):
    assert read_prompt(count, prefix) == prompt


def test_only_the_last_part_of_a_prompt_is_its_own():
    assert make_prompt(9000, 10, ("aa", 9000), ("own", 7)).own_tokens == 7
    assert Prompt().own_tokens is None
