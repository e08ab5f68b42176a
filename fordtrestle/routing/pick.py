"""Which server a request is sent to: the one with fewest own requests in flight of a few candidates. Pure."""

from __future__ import annotations

from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass

from fordtrestle.dissemination.rendezvous import weight
from fordtrestle.routing.servers import Server

CANDIDATES = 3  # drawn at random where nothing ties a request to some
HOLDERS = 2  # servers that a prompt's shared parts are kept at
READING_HELD = 2.0  # requests that a prompt of mean size counts as holding more until its answer begins
LATE = 0.5  # of the objective: answers that begin sooner are in time
LATE_HELD = (
    12.0  # requests that a server counts as holding more for each objective that its answers are later
)
AFFINITY = 6.0  # requests more in flight that the first holder may have before the next one is taken


@dataclass(frozen=True, slots=True)
class Prompt:
    """What a request to a model says of its prompt (`X-Token-Count`, `X-Prompt-Prefix`)."""

    tokens_in: int = 0
    tokens_out: int = 0
    parts: tuple[tuple[str, int], ...] = ()  # id and tokens, in order; the last is the request's own

    @property
    def tokens(self) -> int:
        """The most memory that the request takes, in tokens."""
        return self.tokens_in + self.tokens_out

    @property
    def own(self) -> int | None:
        """The tokens of the part that no other request has, where the prompt was told."""
        return self.parts[-1][1] if self.parts else None

    @property
    def shared_tokens(self) -> int:
        """The tokens of all parts that other requests have, too."""
        return sum(tokens for _, tokens in self.parts[:-1])

    @property
    def shared(self) -> str:
        """The last part that other requests have, too; empty where there is none."""
        return self.parts[-2][0] if len(self.parts) > 1 else ""


NO_PROMPT = Prompt()
PARTS_MOST = 64


def read_prompt(token_count: str, prefix: str) -> Prompt:
    """Read the two headers; what cannot be read counts as not said."""
    try:
        tokens_in, tokens_out = (int(figure) for figure in token_count.split(","))
    except ValueError:
        tokens_in = tokens_out = 0
    parts = []
    for part in prefix.split(",")[:PARTS_MOST]:
        name, colon, tokens = part.strip().partition(":")
        if colon and tokens.isascii() and tokens.isdigit():
            parts.append((name, int(tokens)))
    return Prompt(max(0, tokens_in), max(0, tokens_out), tuple(parts))


def held(server: Server, now: float, mean_tokens: float) -> float:
    """Own requests in flight at a server.

    Prompts still to be read count by their size, and a server whose answers begin late as holding more.
    """
    late = LATE_HELD * max(0.0, server.lateness(now) - LATE)
    return server.in_flight + READING_HELD * server.reading / mean_tokens + late


def pick(
    usable: Sequence[Server],
    prompt: Prompt,
    tried: Collection[str],
    now: float,
    draw: Callable[[], float],
    mean_tokens: float = 1.0,
) -> Server | None:
    """The server for a request among those it may use; nothing where all were tried."""
    left = [server for server in usable if server.instance not in tried]
    if not left:
        return None
    if prompt.shared:
        return _by_prefix(left, prompt.shared, now, mean_tokens)
    drawn = sorted(left, key=lambda _: draw())[:CANDIDATES]
    return min(drawn, key=lambda server: held(server, now, mean_tokens))


def _by_prefix(servers: Sequence[Server], shared: str, now: float, mean_tokens: float) -> Server:
    holders = sorted(servers, key=lambda server: weight(shared, server.instance), reverse=True)[:HOLDERS]
    ranks = {server.instance: rank for rank, server in enumerate(holders)}
    return min(holders, key=lambda server: held(server, now, mean_tokens) + AFFINITY * ranks[server.instance])
