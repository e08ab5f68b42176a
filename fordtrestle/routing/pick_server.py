"""Picks the least loaded of a few candidate servers. Pure.

Without a shared prompt prefix the candidates are random: the power of d choices (Mitzenmacher 2001) prevents
sidecars, which know only their own requests, from all choosing the same server. For a prompt with shared
parts the candidates are the servers that rendezvous hashing (Thaler, Ravishankar 1998) selects for these
parts, so that all sidecars use the same prefix caches without coordination.
"""

from __future__ import annotations

from collections.abc import Collection, Sequence

from fordtrestle.dissemination.rendezvous import weight
from fordtrestle.routing.common import Draw, InstanceId, Prompt
from fordtrestle.routing.server import Server

RANDOM_CANDIDATES = 3  # number of candidates for a request without a shared prompt prefix
PREFIX_CACHE_HOLDERS = 2  # number of servers whose prefix caches hold the shared parts of a prompt
PREFILL_LOAD = 2.0  # load of a prompt of mean size until its response begins, in requests
MAX_TIMELY_DELAY = 0.5  # largest delay without a latency load, as a share of the latency target
LATENCY_LOAD = 12.0  # load for each latency target by which responses are later than that, in requests
AFFINITY_LOAD = 6.0  # load by which the first holder may exceed the second and be picked, in requests


def load_of(server: Server, now: float, mean_tokens: float) -> float:
    """Return the load of a server, in requests in flight.

    Only this sidecar's own requests are counted. Prompts in prefill add load by their size. Late responses
    also add load, because they indicate requests of other sidecars.

    Args:
        server: The server.
        now: Seconds of the loop's clock.
        mean_tokens: The mean number of tokens in the unshared part of a prompt.
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
        usable: The servers that can accept the request.
        prompt: The description of its prompt.
        tried: Servers that were already sent the request; they are excluded.
        now: Seconds of the loop's clock.
        draw: The random source; called once per untried server, unless the prompt has a shared prefix.
        mean_tokens: The mean number of tokens in the unshared part of a prompt.

    Returns:
        The server; `None` if all were tried.
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
