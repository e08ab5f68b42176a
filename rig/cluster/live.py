"""Live display of a cluster while a schedule is played.

On a terminal it is one line per node, rewritten twice a second; elsewhere one line is written per second. The
figures come from the nodes' own event files. Reading is bounded, so that the display costs a run little, and
nothing when it is off.
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
MAX_READ_BYTES = 256 * 1024  # of one node's events per update; older events are skipped
MAX_NODES = 40  # shown on a terminal
UP_AND_CLEAR = "\x1b[{lines}F\x1b[J"


@dataclass(slots=True)
class NodeView:
    """State of one node, from its events."""

    version: int = 0
    life: int = 0
    active: int = 0
    leaving: int = 0
    acts: int = 0
    state: str = "begins"
    read_to: int = 0

    def apply(self, event: Event) -> None:
        """Apply one event."""
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
        """Format the state as one line."""
        return (
            f"{name:<5} {state:<7} life {self.life:<3} list {self.version:<5} active {self.active:<3} "
            f"leaving {self.leaving:<3} acts {self.acts}"
        )


@dataclass
class LiveDisplay:
    """Display of all nodes of a cluster."""

    cluster: Cluster
    out: TextIO
    views: dict[str, NodeView] = field(default_factory=dict)
    lines_written: int = 0  # written by the last update

    async def run(self) -> None:
        """Update the display until cancelled."""
        terminal = self.out.isatty()
        while True:
            await asyncio.sleep(TERMINAL_PERIOD_S if terminal else PLAIN_PERIOD_S)
            self.read_events()
            self._show(terminal)

    def read_events(self) -> None:
        """Read the events that the nodes have written since the last call."""
        for name, node in self.cluster.nodes.items():
            view = self.views.setdefault(name, NodeView())
            for event in tail(node.events, view):
                view.apply(event)

    def _show(self, terminal: bool) -> None:
        if not terminal:
            views = " ".join(f"{name}:{view.version}/{view.acts}" for name, view in self.views.items())
            self.out.write(f"list/acts {views}; {self.schedule_line()}\n")
        else:
            lines = [view.line(name, self._state(name, view)) for name, view in self.views.items()]
            lines = [*lines[:MAX_NODES], self.schedule_line()]
            self.out.write(
                (UP_AND_CLEAR.format(lines=self.lines_written) if self.lines_written else "")
                + "\n".join(lines)
            )
            self.out.write("\n")
            self.lines_written = len(lines)
        self.out.flush()

    def _state(self, name: str, view: NodeView) -> str:
        node = self.cluster.nodes[name]
        return "away" if node.program is None else "still" if node.is_paused else view.state

    def schedule_line(self) -> str:
        """Return the time of the schedule and the steps that are active."""
        if not self.cluster.began_ms:
            return "starting"
        now_ms = asyncio.get_running_loop().time() * 1000.0 - self.cluster.began_ms
        steps = [
            line_of(step).strip()
            for step in self.cluster.schedule.steps
            if step.at_ms <= now_ms < step.at_ms + step.lasts_ms
        ]
        return f"{now_ms / 1000.0:.1f} s: {'; '.join(steps) or 'no fault is on'}"


def tail(path: Path, view: NodeView) -> Sequence[Event]:
    """Return the complete events of a file beyond what was read before.

    Lines that are no events are skipped.
    """
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
    events: list[Event] = []
    for line in whole.split(b"\n"):
        try:
            events.append(DECODER.decode(line))
        except msgspec.MsgspecError:
            continue
    return events
