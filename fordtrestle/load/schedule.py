"""A load's requests in order of their intended times, the same for a spec and its seed."""

from __future__ import annotations

import random
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

from fordtrestle.load import trace
from fordtrestle.load.arrivals import US, added, evenly, poisson, times
from fordtrestle.load.errors import TraceError
from fordtrestle.load.mix import Mix, Request, zipf
from fordtrestle.load.spec import Spec


@dataclass(frozen=True, slots=True)
class Schedule:
    """All that is to be sent. `length_us`: from the first moment to the last; `tenants` are all there are."""

    spec: Spec
    length_us: int
    tenants: tuple[str, ...]
    budget_most_us: int
    trace: Path | None = None
    trace_us: int = 0  # how long the file lasts

    def requests(self) -> Iterator[Request]:
        """The requests, lazily; `TraceError` where the file has changed since it was inspected."""
        if self.trace is not None:
            return trace.replay(self.trace, _cut(self.spec), self.trace_us)
        spec = self.spec
        length_s = self.length_us / US
        parts = []
        for part in spec.arrivals:
            draw = random.Random(f"arrivals/{part.name}/{spec.seed}").random
            counts = poisson(draw) if part.poisson else evenly()
            parts.append(times(part.curve(length_s), counts, round(part.starts_s * US)))
        keys = zipf(spec.keys, spec.key_exponent) if spec.keys else None
        kinds = [c.kind() for c in spec.classes]
        mix = Mix(kinds, spec.tenants, spec.sizes, keys, spec.keyed_share)
        return mix.requests(added(parts), random.Random(f"mix/{spec.seed}").random)


def _cut(spec: Spec) -> trace.Cut:
    assert spec.replay is not None
    to_us = None if spec.replay.to_s is None else round(spec.replay.to_s * US)
    return trace.Cut(round(spec.replay.from_s * US), to_us, spec.replay.speed, spec.replay.loop)


def made(spec: Spec, beside: Path) -> Schedule:
    """The schedule of a spec that lies in the directory `beside`; a trace is read to its end.

    Raises `TraceError` where that is no whole trace, or has classes that the spec does not tell.
    """
    if spec.replay is None:
        budget_us = max(c.kind().budget_us for c in spec.classes)
        return Schedule(spec, round(spec.length_s * US), tuple(name for name, _ in spec.tenants), budget_us)
    path = beside / spec.replay.file
    summary = trace.inspect(path)
    unknown = sorted(summary.kinds.keys() - {c.name for c in spec.classes})
    if unknown:
        raise TraceError(f"{path}: class: the load has no [class.{unknown[0]}]")
    cut = _cut(spec)
    to_us = summary.length_us if cut.to_us is None else min(cut.to_us, summary.length_us)
    if to_us <= cut.from_us:
        raise TraceError(f"{path}: from_s: nothing is left of {summary.length_us / US:g} s")
    length_us = round((to_us - cut.from_us) / cut.speed * cut.loop)
    tenants = tuple(sorted(summary.tenants))
    return Schedule(spec, length_us, tenants, summary.budget_most_us, path, summary.length_us)
