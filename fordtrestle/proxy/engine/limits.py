"""One budget for what a process may hold, given out in parts. Pure.

A `Ledger` is the accounting of one resource (descriptors, bytes, calls). Each front, pool or other holder
has a `Part` of it: what it is guaranteed is its own at any time, and is lent to nobody; the rest is
common, and whoever asks first borrows it. When the common rest is used up, a part that holds less
than its fair share may ask for one that holds more: that one evicts by its own order, or says no.
The sum that is held never passes the capacity.

A step costs the same however much is held; only taking from others looks at each part once.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass

Reclaim = Callable[[int], None]


class Part:
    """What one holder has of a ledger.

    `guaranteed` is lent to nobody; `weight` is its share of the common rest in times of shortage.
    `reclaim(n)`, where it is set, is asked to give back at least `n` at once, as far as it can.
    """

    __slots__ = ("_ledger", "guaranteed", "held", "held_most", "name", "reclaim", "stated", "weight")

    def __init__(self, ledger: Ledger, name: str, guaranteed: int, weight: float) -> None:
        self._ledger = ledger
        self.name = name
        self.stated = guaranteed  # what it is guaranteed while the capacity is enough for all
        self.guaranteed = guaranteed
        self.weight = weight
        self.held = 0
        self.held_most = 0  # ever
        self.reclaim: Reclaim | None = None

    @property
    def fair(self) -> float:
        """What it may hold while others want more than they have."""
        return self._ledger.fair(self)

    @property
    def room(self) -> int:
        """How much more it could take now with nobody evicted."""
        return max(0, self.guaranteed - self.held) + self._ledger.free

    def take(self, count: int = 1) -> bool:
        """Hold so much more, if need be of what others hold past their fair share; whether it may."""
        # In one piece, as `give`: each request takes and gives four times.
        ledger, held, guaranteed = self._ledger, self.held + count, self.guaranteed
        grown = 0 if held <= guaranteed else held - max(self.held, guaranteed)
        if ledger.spoken_for + grown > ledger.capacity and not ledger.find(self, count, grown):
            return False
        ledger.spoken_for += grown
        self.held += count
        if held > self.held_most:
            self.held_most = held
        return True

    def take_free(self, count: int = 1) -> bool:
        """The same, but of nobody: only if there is room."""
        return self.room >= count and self.take(count)

    def give(self, count: int = 1) -> None:
        """Hold so much less; `ValueError` if it never held that."""
        held, guaranteed = self.held - count, self.guaranteed
        if count < 0 or held < 0:
            raise ValueError(f"{self._ledger.name}: {self.name} gives {count} of {self.held}")
        if self.held > guaranteed:
            self._ledger.spoken_for -= self.held - max(held, guaranteed)
        self.held = held


class Ledger:
    """The accounting of one resource."""

    def __init__(self, name: str, capacity: int) -> None:
        self.name = name
        self.capacity = capacity
        self.parts: list[Part] = []
        # The sum over all parts of what each holds or is guaranteed, whichever is more. Parts keep it.
        self.spoken_for = 0

    @property
    def held(self) -> int:
        """What all parts hold together."""
        return sum(part.held for part in self.parts)

    @property
    def free(self) -> int:
        """What is left of the common rest; 0 also where a lowered capacity is overdrawn."""
        return max(0, self.capacity - self.spoken_for)

    @property
    def over(self) -> int:
        """By how much more is held than a lowered capacity allows."""
        return max(0, self.held - self.capacity)

    @property
    def pressed(self) -> float:
        """How near any part is to having no more: 1 where one can take nothing but what others give up.

        What is guaranteed to others and not held is no room for it, so the sum held does not tell.
        """
        shares = (part.held / (part.held + part.room) for part in self.parts if part.weight and part.held)
        return max(shares, default=0.0)

    def part(self, name: str, guaranteed: int = 0, weight: float = 1.0) -> Part:
        """A new part; `ValueError` where so much can't be guaranteed."""
        if guaranteed < 0 or sum(part.guaranteed for part in self.parts) + guaranteed > self.capacity:
            raise ValueError(f"{self.name}: {guaranteed} for {name} can't be guaranteed")
        part = Part(self, name, guaranteed, weight)
        self.parts.append(part)
        self.spoken_for += guaranteed
        return part

    def fair(self, part: Part) -> float:
        """A part's guarantee and its share by weight of the common rest."""
        common = max(0, self.capacity - sum(other.guaranteed for other in self.parts))
        return part.guaranteed + common * part.weight / (sum(other.weight for other in self.parts) or 1.0)

    def find(self, part: Part, count: int, grown: int) -> bool:
        """Room for a part that wants so much more, where there seems to be none; whether it was found.

        `grown` is by how much that goes past its guarantee.
        """
        if grown:
            return self._reclaimed(part, count)
        # Within its guarantee, but others hold still what a lowered capacity denies them.
        return self.held + count <= self.capacity

    def resize(self, capacity: int) -> int:
        """Another capacity from now on; by how much more is held still, once all gave what they could.

        Where it is lowered, guarantees shrink in proportion until it is raised again, and who holds more
        than is fair is asked to give back first. Nothing is taken until the sum is under the new capacity.
        """
        whole = sum(part.stated for part in self.parts)
        for part in self.parts:
            part.guaranteed = part.stated * min(capacity, whole) // whole if whole else 0
        self.capacity = capacity
        self.spoken_for = sum(max(part.held, part.guaranteed) for part in self.parts)
        return self.settle()

    def settle(self) -> int:
        """While more is held than a lowered capacity allows, ask for it again; by how much it still is."""
        if self.over:
            for part in self._past_fair():
                if self.over and part.reclaim is not None:
                    part.reclaim(self.over)
        return self.over

    def _grown(self, part: Part, count: int) -> int:
        return max(part.held + count, part.guaranteed) - max(part.held, part.guaranteed)

    def _past_fair(self) -> Iterator[Part]:
        """The parts by how far each is past its fair share, the farthest first."""
        excess = {id(part): part.held - self.fair(part) for part in self.parts}
        return iter(sorted(self.parts, key=lambda part: -excess[id(part)]))

    def _reclaimed(self, part: Part, count: int) -> bool:
        """Have others give back for a part that holds less than its fair share; whether there is room."""
        if part.held + count > self.fair(part):
            return False
        for other in self._past_fair():
            missing = self.spoken_for + self._grown(part, count) - self.capacity
            if missing <= 0:
                break
            past = int(other.held - self.fair(other))
            if other is not part and other.reclaim is not None and past > 0:
                other.reclaim(min(missing, past))
        return self.spoken_for + self._grown(part, count) <= self.capacity


@dataclass(frozen=True, slots=True)
class Budget:
    """What one front or pool has of each resource of its process."""

    descriptors: Part
    buffered: Part  # bytes of heads, bodies and answers that are held
    calls: Part  # taken and not yet answered


class Limits:
    """The accounting of one process: descriptors, bytes held and open calls."""

    def __init__(self, descriptors: int, buffered_bytes: int, calls: int) -> None:
        self.descriptors = Ledger("descriptors", descriptors)
        self.buffered = Ledger("buffered bytes", buffered_bytes)
        self.calls = Ledger("open calls", calls)

    def resize(self, descriptors: int, buffered_bytes: int, calls: int) -> None:
        """Other capacities from now on; see `Ledger.resize`."""
        self.descriptors.resize(descriptors)
        self.buffered.resize(buffered_bytes)
        self.calls.resize(calls)

    def unsettled(self) -> list[str]:
        """What is held still, a text for each part that holds any: none once everything is closed."""
        ledgers = (self.descriptors, self.buffered, self.calls)
        return [
            f"{part.held} {ledger.name} of {part.name}"
            for ledger in ledgers
            for part in ledger.parts
            if part.held
        ]

    def settle(self) -> None:
        """Ask again for what is held over lowered capacities."""
        self.descriptors.settle()
        self.buffered.settle()

    def budget(self, name: str, descriptors: int = 0, buffered_bytes: int = 0, calls: int = 0) -> Budget:
        """A holder's parts, with what each is guaranteed; `ValueError` where that can't be."""
        return Budget(
            self.descriptors.part(name, descriptors),
            self.buffered.part(name, buffered_bytes),
            self.calls.part(name, calls),
        )
