"""Parses the headers in which a client describes its prompt (PROTOCOL: requests). Pure."""

from __future__ import annotations

from fordtrestle.routing.common import Prompt, PromptPart

MAX_PARTS = 64  # further parts are ignored, to bound the work that a header can cause


def read_prompt(token_count: str, prefix: str) -> Prompt:
    """Parse the description of a prompt; invalid values are treated as missing.

    Args:
        token_count: The value of `X-Token-Count`: the numbers of tokens in the prompt and in the response,
            separated by a comma.
        prefix: The value of `X-Prompt-Prefix`: the parts of the prompt as `id:tokens`, separated by commas.
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
