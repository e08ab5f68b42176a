"""Reads the headers by which a client describes its prompt (PROTOCOL: requests). Pure."""

from __future__ import annotations

from fordtrestle.routing.common import Prompt, PromptPart

MAX_PARTS = 64  # parts that are read: a bound on the work that a header can cause


def read_prompt(token_count: str, prefix: str) -> Prompt:
    """Read a prompt's description; what cannot be read counts as not said.

    Args:
        token_count: `X-Token-Count`: tokens of the prompt and of the answer, separated by a comma.
        prefix: `X-Prompt-Prefix`: the parts of the prompt as `id:tokens`, separated by commas.
    """
    tokens_in, tokens_out = _read_token_count(token_count)
    parts = []
    for text in prefix.split(",")[:MAX_PARTS]:
        part_id, colon, tokens = text.strip().partition(":")
        if colon and tokens.isascii() and tokens.isdigit():
            parts.append(PromptPart(part_id, int(tokens)))
    return Prompt(max(0, tokens_in), max(0, tokens_out), tuple(parts))


def _read_token_count(text: str) -> tuple[int, int]:
    try:
        tokens_in, tokens_out = (int(number) for number in text.split(","))
    except ValueError:
        return 0, 0
    return tokens_in, tokens_out
