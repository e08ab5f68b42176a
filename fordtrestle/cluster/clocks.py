"""Whether the own clocks can be believed: jumps, stops, and rates against peers. Pure.

A lease is time on the own monotonic clock. `Watch` is fed next to each act and says whether a lease must go
first. `Rates` bounds how a peer's clock runs against the own one by round trips (Cristian 1989): what the
peer read lies between the sending of the question and the coming of its answer, whatever the network did.
"""

from __future__ import annotations

import math
from collections import Counter
from dataclasses import dataclass

WINDOW_MS = 60_000.0  # over which a rate is measured
PEERS_MOST = 64
SLEW_PPM = 2000.0  # how fast a wall clock may be put right without being a jump


@dataclass(frozen=True, slots=True)
class Reading:
    """One look at all clocks, in ms. `boot_ms`: of the one that counts suspension, None if there is none."""

    mono_ms: float
    wall_ms: float
    boot_ms: float | None = None


class Watch:
    """Finds jumps and stops between two looks."""

    def __init__(self, tolerance_ms: float = 100.0, stall_ms: float = 1000.0) -> None:
        self._tolerance_ms = tolerance_ms
        self._stall_ms = stall_ms
        self._last: Reading | None = None
        self.counts: Counter[str] = Counter()  # leases dropped, by why

    def look(self, now: Reading) -> str:
        """Why a lease must be dropped at once: back, jump, asleep or stalled; empty if it need not be."""
        last, self._last = self._last, now
        why = "" if last is None else self._why(last, now)
        if why:
            self.counts[why] += 1
        return why

    def _why(self, last: Reading, now: Reading) -> str:
        mono_ms = now.mono_ms - last.mono_ms
        asleep_ms = 0.0
        if now.boot_ms is not None and last.boot_ms is not None:
            asleep_ms = now.boot_ms - last.boot_ms - mono_ms
        if not mono_ms >= 0.0 or asleep_ms < -self._tolerance_ms:
            return "back"
        if asleep_ms > self._tolerance_ms:
            return "asleep"
        allowed_ms = self._tolerance_ms + mono_ms * SLEW_PPM / 1e6
        if not abs(now.wall_ms - last.wall_ms - mono_ms) <= allowed_ms:
            return "jump"
        return "stalled" if mono_ms > self._stall_ms else ""


@dataclass(frozen=True, slots=True)
class Sample:
    """One round trip: sent and received on the own clock, and what the peer read in between on its own."""

    sent_ms: float
    peer_ms: float
    received_ms: float

    @property
    def wide_ms(self) -> float:
        """The time that it took."""
        return self.received_ms - self.sent_ms


@dataclass(slots=True)
class _Peer:
    first: Sample
    best: Sample  # the shortest of late
    ppm: tuple[float, float] | None = None


class Rates:
    """Bounds of peers' clocks against the own one. Peers may read any clock that goes on steadily."""

    def __init__(self, drift_ppm: float) -> None:
        self._drift_ppm = drift_ppm
        self._peers: dict[str, _Peer] = {}
        self._said = ""

    def sample(self, peer: str, sample: Sample) -> None:
        """Take one round trip; one that can't be is dropped."""
        if not (sample.wide_ms >= 0.0 and math.isfinite(sample.wide_ms) and math.isfinite(sample.peer_ms)):
            return
        known = self._peers.get(peer)
        if known is None or sample.peer_ms < known.best.peer_ms or sample.sent_ms < known.best.sent_ms:
            self._peers.pop(peer, None)  # another incarnation of the peer, or of ours
            while len(self._peers) >= PEERS_MOST:
                del self._peers[next(iter(self._peers))]
            self._peers[peer] = _Peer(sample, sample)
            return
        age_ms = sample.sent_ms - known.first.received_ms
        if age_ms < WINDOW_MS / 4.0:
            if sample.wide_ms < known.first.wide_ms:
                known.first = sample
        elif age_ms >= WINDOW_MS:
            known.ppm = _rate(known.first, sample)
            known.first = sample
        if self._error_ms(sample, sample.sent_ms) <= self._error_ms(known.best, sample.sent_ms):
            known.best = sample

    def _error_ms(self, sample: Sample, now_ms: float) -> float:
        return sample.wide_ms + max(0.0, now_ms - sample.received_ms) * 2.0 * self._drift_ppm / 1e6

    def offset_ms(self, peer: str, now_ms: float) -> tuple[float, float] | None:
        """Bounds of the peer's reading less the own one; None if nothing is known."""
        known = self._peers.get(peer)
        if known is None:
            return None
        best = known.best
        spread_ms = (self._error_ms(best, now_ms) - best.wide_ms) / 2.0
        return best.peer_ms - best.received_ms - spread_ms, best.peer_ms - best.sent_ms + spread_ms

    def ppm(self, peer: str) -> tuple[float, float] | None:
        """Bounds of how far the peer's rate is off the own one, over the last whole window; None without."""
        known = self._peers.get(peer)
        return known.ppm if known is not None else None

    def doubt(self) -> str:
        """Why the own clock can't be believed, empty if it can: against most peers measured it is off by more
        than is stated, whatever the network did."""
        measured = {name: peer.ppm for name, peer in self._peers.items() if peer.ppm is not None}
        off = {
            n: low if low > 0.0 else high for n, (low, high) in measured.items() if self._beyond(low, high)
        }
        if 2 * len(off) <= len(measured):
            return ""
        name, worst = max(off.items(), key=lambda item: abs(item[1]))
        return (
            f"the clock runs by at least {abs(worst):.0f} ppm otherwise than that of {name}, and "
            f"drift_ppm is {self._drift_ppm:g}; {len(off)} of {len(measured)} peers measured say so"
        )

    def _beyond(self, low: float, high: float) -> bool:
        return low > self._drift_ppm or high < -self._drift_ppm

    def news(self) -> str:
        """The same as a line to be told: once when the clock comes into doubt, once when it is out of it."""
        why = self.doubt()
        if bool(why) == bool(self._said):
            return ""
        self._said = why
        return f"no lease is held: {why}" if why else "the clock is believed again"


def _rate(first: Sample, last: Sample) -> tuple[float, float] | None:
    least_ms, most_ms = last.sent_ms - first.received_ms, last.received_ms - first.sent_ms
    if least_ms <= 0.0:
        return None
    peer_ms = last.peer_ms - first.peer_ms
    return (peer_ms / most_ms - 1.0) * 1e6, (peer_ms / least_ms - 1.0) * 1e6
