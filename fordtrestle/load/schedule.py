"""A load's requests in order of their intended times, the same for a spec and its seed."""

from __future__ import annotations

import random
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

from fordtrestle.load import trace
from fordtrestle.load.arrivals import US_PER_S, even_counts, merge_schedules, poisson_counts, send_times_us
from fordtrestle.load.errors import TraceError
from fordtrestle.load.mix import Mix, Request, zipf_choice
from fordtrestle.load.spec import Arrivals, Replay, Spec


@dataclass(frozen=True, slots=True)
class Schedule:
    """All that is to be sent.

    Attributes:
        spec: The load file.
        length_us: From the start to the last moment at which a request may be due, in microseconds.
        tenants: The names of all tenants.
        max_budget_us: The longest budget of a request, in microseconds.
        trace: The trace that is replayed; None: the spec's arrivals.
        trace_length_us: How long that trace lasts, in microseconds.
    """

    spec: Spec
    length_us: int
    tenants: tuple[str, ...]
    max_budget_us: int
    trace: Path | None = None
    trace_length_us: int = 0

    def requests(self) -> Iterator[Request]:
        """The requests, lazily.

        Raises:
            TraceError: The trace has changed since it was inspected.
        """
        spec = self.spec
        if self.trace is not None:
            assert spec.replay is not None
            return trace.replay(self.trace, _replay_range(spec.replay), self.trace_length_us)
        times_us = merge_schedules([self._send_times_us(each) for each in spec.arrivals])
        keys = zipf_choice(spec.keys.count, spec.keys.exponent) if spec.keys.count else None
        classes = [each.weight() for each in spec.classes]
        mix = Mix(classes, spec.tenants, spec.sizes, keys, spec.keys.share)
        return mix.requests(times_us, random.Random(f"mix/{spec.seed}").random)

    def _send_times_us(self, arrivals: Arrivals) -> Iterator[int]:
        """The times of one schedule, whose random stream is named after it and the seed."""
        draw = random.Random(f"arrivals/{arrivals.name}/{self.spec.seed}").random
        counts = poisson_counts(draw) if arrivals.is_poisson else even_counts()
        pieces = arrivals.pieces_until(self.length_us / US_PER_S)
        return send_times_us(pieces, counts, round(arrivals.starts_s * US_PER_S))


def make_schedule(spec: Spec, folder: Path) -> Schedule:
    """The schedule of a spec; a trace is read to its end.

    Args:
        spec: The load file.
        folder: Where the load file is; the path of its trace is relative to it.

    Raises:
        TraceError: The file is no complete trace, has classes that the spec does not have, or ends
            before the range that is replayed.
    """
    if spec.replay is not None:
        return _replay_schedule(spec, spec.replay, folder / spec.replay.file)
    return Schedule(
        spec=spec,
        length_us=round(spec.length_s * US_PER_S),
        tenants=tuple(name for name, _ in spec.tenants),
        max_budget_us=max(each.weight().budget_us for each in spec.classes),
    )


def _replay_schedule(spec: Spec, replay: Replay, path: Path) -> Schedule:
    """The schedule of a spec that replays the trace at `path`."""
    summary = trace.inspect(path)
    unknown = sorted(summary.classes.keys() - {each.name for each in spec.classes})
    if unknown:
        raise TraceError(f"{path}: class: the load has no [class.{unknown[0]}]")
    part = _replay_range(replay)
    to_us = summary.length_us if part.to_us is None else min(part.to_us, summary.length_us)
    if to_us <= part.from_us:
        raise TraceError(f"{path}: from_s: nothing is left of {summary.length_us / US_PER_S:g} s")
    return Schedule(
        spec=spec,
        length_us=round((to_us - part.from_us) / part.speed * part.loop),
        tenants=tuple(sorted(summary.tenants)),
        max_budget_us=summary.max_budget_us,
        trace=path,
        trace_length_us=summary.length_us,
    )


def _replay_range(replay: Replay) -> trace.ReplayRange:
    """The part of the trace that a spec asks for, in microseconds."""
    to_us = None if replay.to_s is None else round(replay.to_s * US_PER_S)
    return trace.ReplayRange(round(replay.from_s * US_PER_S), to_us, replay.speed, replay.loop)
