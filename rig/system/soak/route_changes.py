"""Configurations whose changes touch the type, the prefix and the attempts of routes. Pure."""

from __future__ import annotations

import random
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

# Within this time after its acknowledgement a configuration is active at all sidecars (`config_apply_ms`).
APPLY_S = 3.0
MAX_ATTEMPTS = 3
PHASE_CHANGES = (1, 14)  # range of the number of configurations for which a route's rules stay as they are
SPECIFIC_PREFIX_SHARE = 0.4  # of the phases, in which a longer prefix has rules of its own


@dataclass(frozen=True, slots=True)
class RouteRule:
    """What one configuration says about the repetition of the requests of a path prefix."""

    path_prefix: str
    route_type: str
    is_resumable: bool
    max_attempts: int

    @property
    def allowed_runs(self) -> int:
        """How often a request of the route may run."""
        is_idempotent = self.route_type == "safe" or (self.route_type == "streaming" and self.is_resumable)
        return self.max_attempts if is_idempotent else 1


@dataclass(slots=True)
class ConfigurationVersion:
    """A configuration that was sent to the control processes. Times are s of the monotonic clock."""

    generation: int
    rules: tuple[RouteRule, ...]
    sent: float
    acknowledged: float | None = None

    def allowed_runs(self, path: str) -> int:
        """Return how often a request of a path may run; 0 if there is no route."""
        matching = [rule for rule in self.rules if path.startswith(rule.path_prefix)]
        longest = max(matching, key=lambda rule: len(rule.path_prefix), default=None)
        return longest.allowed_runs if longest else 0


def possibly_active(versions: Iterable[ConfigurationVersion], at: float) -> list[ConfigurationVersion]:
    """Return the versions by which a sidecar may decide at a time; versions are in order of generation."""
    sent = [version for version in versions if version.sent <= at]
    first = 0
    for index, version in enumerate(sent):
        if version.acknowledged is not None and version.acknowledged + APPLY_S <= at:
            first = index
    return sent[first:]


def allowed_runs(versions: Sequence[ConfigurationVersion], path: str, sent: float, began: float) -> int:
    """Return how many runs of a request are allowed, counted when the last of them begins.

    At each moment since the request was sent, one of the configurations that may be active has to allow them.

    Args:
        versions: All configurations, in order of generation.
        path: The path of the request.
        sent: When the request was sent, in s of the monotonic clock.
        began: When its last run began.
    """
    applied = [version.acknowledged + APPLY_S for version in versions if version.acknowledged is not None]
    moments = [sent, began, *(at for at in applied if sent < at < began)]
    return min(
        max((version.allowed_runs(path) for version in possibly_active(versions, at)), default=1)
        for at in moments
    )


class RuleSource:
    """Draws the rules of each path prefix, which stay as they are for several configurations."""

    def __init__(self, rng: random.Random, prefixes: Sequence[str]) -> None:
        """Create a source for the paths of these prefixes, all of which end with a slash."""
        self._rng = rng
        self._prefixes = prefixes
        self._rules: dict[str, list[RouteRule]] = {}
        self._remaining_changes = dict.fromkeys(prefixes, 0)

    def next_rules(self, streaming_prefixes: Iterable[str]) -> tuple[RouteRule, ...]:
        """Return the rules of the next configuration.

        Args:
            streaming_prefixes: The prefixes whose requests are streams.
        """
        streaming = set(streaming_prefixes)
        for prefix in self._prefixes:
            if self._remaining_changes[prefix] == 0:
                self._remaining_changes[prefix] = self._rng.randint(*PHASE_CHANGES)
                self._rules[prefix] = self._draw_phase(prefix, prefix in streaming)
            self._remaining_changes[prefix] -= 1
        return tuple(rule for prefix in self._prefixes for rule in self._rules[prefix])

    def _draw_phase(self, prefix: str, is_streaming: bool) -> list[RouteRule]:
        rules = [self._draw_rule(prefix, is_streaming)]
        if self._rng.random() < SPECIFIC_PREFIX_SHARE:
            rules.append(self._draw_rule(f"{prefix}x/", is_streaming))
        return rules

    def _draw_rule(self, prefix: str, is_streaming: bool) -> RouteRule:
        is_repeatable = self._rng.random() < 0.5
        route_type = "streaming" if is_streaming else ("safe" if is_repeatable else "unsafe")
        attempts = self._rng.randint(2, MAX_ATTEMPTS) if is_repeatable else self._rng.randint(1, MAX_ATTEMPTS)
        return RouteRule(prefix, route_type, is_streaming and is_repeatable, attempts)
