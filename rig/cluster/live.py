"""The state of a cluster on a terminal, while it is played: a line a node, written anew each half second.

What is shown is what the nodes themselves tell: the last lines of their events. Off a terminal it is one line
a second. Reading is bounded, so that showing costs a run little, and nothing where it is off.
"""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import TYPE_CHECKING, TextIO

import msgspec

from rig.cluster.history import DECODER, LIST, Acted, Ended, Event, Learned, Started
from rig.cluster.schedules import line_of

if TYPE_CHECKING:
    from rig.cluster.cluster import Cluster

TERMINAL_PERIOD_S, PLAIN_PERIOD_S = 0.5, 1.0
MAX_READ_BYTES = 256 * 1024  # bytes of one node's events at a time; older ones are passed over
MAX_NODES = 40  # lines on a terminal
UP_AND_CLEAR = "\x1b[{lines}F\x1b[J"


@dataclass(slots=True)
class View:
    """What is known of one node."""

    version: int = 0
    life: int = 0
    active: int = 0
    leaving: int = 0
    acts: int = 0
    state: str = "begins"
    read_to: int = 0

    def take(self, event: Event) -> None:
        """One more event."""
        if isinstance(event, Started):
            self.life, self.state = event.life, "serves"
        elif isinstance(event, Learned) and event.rule.startswith(LIST):
            states = [entry.partition("/")[0] for entry in event.entries.values()]
            self.version = event.version
            self.active, self.leaving = states.count("active"), states.count("leaving")
        elif isinstance(event, Acted):
            self.acts += 1
        elif isinstance(event, Ended):
            self.state = "ended"

    def line(self, name: str, state: str) -> str:
        """As people read it."""
        return (
            f"{name:<5} {state:<7} life {self.life:<3} list {self.version:<5} active {self.active:<3} "
            f"leaving {self.leaving:<3} acts {self.acts}"
        )


@dataclass
class Watch:
    """All nodes of a cluster, and where they are shown."""

    cluster: Cluster
    out: TextIO
    views: dict[str, View] = field(default_factory=dict)
    lines: int = 0  # that were written last

    async def run(self) -> None:
        """Show until it is cancelled."""
        terminal = self.out.isatty()
        while True:
            await asyncio.sleep(TERMINAL_PERIOD_S if terminal else PLAIN_PERIOD_S)
            self.look()
            self._show(terminal)

    def look(self) -> None:
        """Read what the nodes have told since the last time."""
        for name, node in self.cluster.nodes.items():
            view = self.views.setdefault(name, View())
            for event in tail(node.events, view):
                view.take(event)

    def _show(self, terminal: bool) -> None:
        if not terminal:
            views = " ".join(f"{name}:{view.version}/{view.acts}" for name, view in self.views.items())
            self.out.write(f"list/acts {views}; {self.on()}\n")
        else:
            lines = [view.line(name, self._state(name, view)) for name, view in self.views.items()]
            lines = [*lines[:MAX_NODES], self.on()]
            self.out.write((UP_AND_CLEAR.format(lines=self.lines) if self.lines else "") + "\n".join(lines))
            self.out.write("\n")
            self.lines = len(lines)
        self.out.flush()

    def _state(self, name: str, view: View) -> str:
        node = self.cluster.nodes[name]
        return "away" if node.program is None else "still" if node.standing else view.state

    def on(self) -> str:
        """The time of the schedule, and the steps that are on."""
        if not self.cluster.began_ms:
            return "it begins"
        now_ms = asyncio.get_running_loop().time() * 1000.0 - self.cluster.began_ms
        steps = [
            line_of(step).strip()
            for step in self.cluster.schedule.steps
            if step.at_ms <= now_ms < step.at_ms + step.lasts_ms
        ]
        return f"{now_ms / 1000.0:.1f} s: {'; '.join(steps) or 'no fault is on'}"


def tail(path: Path, view: View) -> Sequence[Event]:
    """The whole events that a file has past what was read of it; what is none is passed over."""
    try:
        with path.open("rb") as opened:
            size = opened.seek(0, 2)
            start = max(view.read_to, size - MAX_READ_BYTES)
            opened.seek(start)
            data = opened.read(MAX_READ_BYTES)
    except OSError:
        return ()
    whole, _, _ = data.rpartition(b"\n")
    view.read_to = start + len(whole) + (1 if whole else 0)
    made: list[Event] = []
    for line in whole.split(b"\n"):
        try:
            made.append(DECODER.decode(line))
        except msgspec.MsgspecError:
            continue
    return made
