"""Generates the requests of a load in order of their intended times, reproducibly for a spec and its seed."""

from __future__ import annotations

import random
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

from fordtrestle.load import trace
from fordtrestle.load.arrivals import US_PER_S, even_counts, merge_schedules, poisson_counts, send_times_us
from fordtrestle.load.errors import TraceError
from fordtrestle.load.mix import Mix, Request, zipf_choice
from fordtrestle.load.records import Arrivals, Replay, Spec


@dataclass(frozen=True, slots=True)
class Schedule:
    """The requests to send in a run.

    Attributes:
        spec: The parsed load file.
        length_us: The time from the start up to which requests may be due, in microseconds.
        tenants: The names of all tenants.
        max_budget_us: The longest budget of a request, in microseconds.
        trace: The trace to replay; None if the arrivals of the spec are used.
        trace_length_us: The duration of that trace, in microseconds; 0 without a trace.
    """

    spec: Spec
    length_us: int
    tenants: tuple[str, ...]
    max_budget_us: int
    trace: Path | None = None
    trace_length_us: int = 0

    def requests(self) -> Iterator[Request]:
        """Return an iterator over the requests, which are generated lazily.

        Raises:
            TraceError: The trace has changed since it was inspected and is no longer valid.
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
        """Return the send times of one schedule; its random stream is seeded with its name and the seed."""
        draw = random.Random(f"arrivals/{arrivals.name}/{self.spec.seed}").random
        counts = poisson_counts(draw) if arrivals.is_poisson else even_counts()
        pieces = arrivals.pieces_until(self.length_us / US_PER_S)
        return send_times_us(pieces, counts, round(arrivals.starts_s * US_PER_S))


def make_schedule(spec: Spec, folder: Path) -> Schedule:
    """Return the schedule of a spec; if it replays a trace, the complete trace is read and checked.

    Args:
        spec: The parsed load file.
        folder: The folder of the load file; the path of its trace is relative to it.

    Raises:
        TraceError: The file is not a complete trace, has classes that are missing in the spec, or ends
            before the range to replay.
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
    """Return the schedule of a spec that replays the trace at `path`."""
    summary = trace.inspect(path)
    unknown = sorted(summary.classes.keys() - {each.name for each in spec.classes})
    if unknown:
        raise TraceError(f"{path}: class: the load has no [class.{unknown[0]}]")
    replay_range = _replay_range(replay)
    to_us = summary.length_us if replay_range.to_us is None else min(replay_range.to_us, summary.length_us)
    if to_us <= replay_range.from_us:
        raise TraceError(f"{path}: from_s: nothing is left of {summary.length_us / US_PER_S:g} s")
    return Schedule(
        spec=spec,
        length_us=round((to_us - replay_range.from_us) / replay_range.speed * replay_range.loop),
        tenants=tuple(sorted(summary.tenants)),
        max_budget_us=summary.max_budget_us,
        trace=path,
        trace_length_us=summary.length_us,
    )


def _replay_range(replay: Replay) -> trace.ReplayRange:
    """Return the part of the trace to replay, in microseconds."""
    to_us = None if replay.to_s is None else round(replay.to_s * US_PER_S)
    return trace.ReplayRange(round(replay.from_s * US_PER_S), to_us, replay.speed, replay.loop)
