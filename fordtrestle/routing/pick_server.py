"""The algorithm of a pick: the least loaded of a few candidates. Pure.

Without a prompt the candidates are drawn at random: the power of d choices (Mitzenmacher 2001), which keeps
sidecars that know only their own requests from all choosing the same server. A prompt with shared parts has
the servers that rendezvous hashing (Thaler, Ravishankar 1998) draws for them, so that all sidecars find these
parts in the same prefix caches without asking each other.
"""

from __future__ import annotations

from collections.abc import Collection, Sequence

from fordtrestle.dissemination.rendezvous import weight
from fordtrestle.routing.common import Draw, InstanceId, Prompt
from fordtrestle.routing.server import Server

RANDOM_CANDIDATES = 3  # drawn where no prompt ties a request to some servers
PREFIX_CACHE_HOLDERS = 2  # servers whose prefix caches a prompt's shared parts are kept in
PREFILL_LOAD = 2.0  # requests that a prompt of mean size counts as, until its answer begins
MAX_TIMELY_DELAY = 0.5  # of the latency target: answers that begin sooner are in time
LATENCY_LOAD = 12.0  # requests that a server counts as, for each latency target that its answers are later
AFFINITY_LOAD = 6.0  # requests more that the first holder may have before the next one is taken


def load_of(server: Server, now: float, mean_tokens: float) -> float:
    """Return the load of a server, in requests in flight.

    This sidecar's own requests count alone: prompts that are still to be read by their size besides, and a
    server whose answers begin late as having more, since others send it requests as well.

    Args:
        server: The server.
        now: Seconds of the loop's clock.
        mean_tokens: Tokens of the own part of a prompt of mean size.
    """
    latency_load = LATENCY_LOAD * max(0.0, server.latency_penalty(now) - MAX_TIMELY_DELAY)
    return server.in_flight + PREFILL_LOAD * server.prefill_tokens / mean_tokens + latency_load


def pick_server(
    usable: Sequence[Server],
    prompt: Prompt,
    tried: Collection[InstanceId],
    now: float,
    draw: Draw,
    mean_tokens: float = 1.0,
) -> Server | None:
    """Pick the server for a request.

    Args:
        usable: The servers that may take it.
        prompt: What it says of its prompt.
        tried: Servers that were sent it before, and get it no more.
        now: Seconds of the loop's clock.
        draw: The random source; drawn from once for each server that is left, where no prompt decides.
        mean_tokens: Tokens of the own part of a prompt of mean size.

    Returns:
        The server; `None` where all were tried.
    """
    untried = [server for server in usable if server.instance not in tried]
    if not untried:
        return None
    if prompt.shared_prefix:
        return _pick_by_prefix(untried, prompt.shared_prefix, now, mean_tokens)
    candidates = sorted(untried, key=lambda _: draw())[:RANDOM_CANDIDATES]
    return min(candidates, key=lambda server: load_of(server, now, mean_tokens))


def _pick_by_prefix(servers: Sequence[Server], prefix: str, now: float, mean_tokens: float) -> Server:
    ranked = sorted(servers, key=lambda server: weight(prefix, server.instance), reverse=True)
    holders = ranked[:PREFIX_CACHE_HOLDERS]
    affinity_loads = {server.instance: AFFINITY_LOAD * rank for rank, server in enumerate(holders)}
    return min(
        holders, key=lambda server: load_of(server, now, mean_tokens) + affinity_loads[server.instance]
    )
