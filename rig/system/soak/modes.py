"""The modes of the soak: how a schedule is drawn, and how the processes and clients of a play behave."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum

from rig.system.deployment import REGIONS
from rig.system.soak.applications import LONG_HOLDS, SHORT_HOLDS
from rig.system.soak.clients import SHORT_STREAMS_MIX, STANDARD_MIX
from rig.system.soak.play import PlayOptions
from rig.system.soak.schedule import (
    Schedule,
    Targets,
    draw,
    draw_with_core_freezes,
    draw_with_crowds,
    draw_with_overlaps,
    draw_with_server_faults,
    draw_with_slow_servers,
)
from rig.system.soak.servers import REFUSING_SERVERS, SERVER_FAULTS, SLOW_SERVERS, ServerFaults, server_names


class Mode(Enum):
    """A mode; the value describes it."""

    PLAIN = "rolls and changes; in even seeds kills and freezes, too"
    FAULTS = "servers fail and routes' rules change"
    OVERLAPS = "faults, and series of signals and changes"
    CORE_FREEZES = "control processes freeze beside locks"
    CROWDS = "clients that do not keep to the protocol"
    SLOW_SERVERS = "series of rolls beside slow servers that break off within events"
    REFUSALS = "as overlaps; servers refuse and send copies of that, clients come back with their ids"


_DRAWS: dict[Mode, Callable[[int, float, Targets], Schedule]] = {
    Mode.PLAIN: draw,
    Mode.FAULTS: draw_with_server_faults,
    Mode.OVERLAPS: draw_with_overlaps,
    Mode.CORE_FREEZES: draw_with_core_freezes,
    Mode.CROWDS: draw_with_crowds,
    Mode.SLOW_SERVERS: draw_with_slow_servers,
    Mode.REFUSALS: draw_with_overlaps,
}
_SERVER_FAULTS: dict[Mode, ServerFaults] = {
    Mode.FAULTS: SERVER_FAULTS,
    Mode.OVERLAPS: SERVER_FAULTS,
    Mode.SLOW_SERVERS: SLOW_SERVERS,
    Mode.REFUSALS: REFUSING_SERVERS,
}
_MODES_WITH_CHANGING_RULES = (Mode.FAULTS, Mode.OVERLAPS, Mode.REFUSALS)
_MODES_WITH_KEPT_CONNECTIONS = (Mode.CORE_FREEZES, Mode.CROWDS)


def sidecar_names(sidecars: int) -> list[str]:
    """Return the names of all sidecars, of which each region has `sidecars`."""
    return [
        f"sidecar-{region}" + (f"-{number}" if number > 1 else "")
        for region in REGIONS
        for number in range(1, sidecars + 1)
    ]


def control_names() -> list[str]:
    """Return the names of all control processes."""
    return [f"control-{region}" for region in REGIONS]


def draw_schedule(mode: Mode, seed: int, duration_s: float, sidecars: int) -> Schedule:
    """Draw the schedule of a seed for a deployment with `sidecars` in each region."""
    targets = Targets(sidecar_names(sidecars), control_names(), list(REGIONS), server_names())
    return _DRAWS[mode](seed, duration_s, targets)


def play_options(mode: Mode, sidecars: int, clients: int) -> PlayOptions:
    """Return the options of a play in a mode, with `sidecars` and `clients` in each region."""
    return PlayOptions(
        sidecars,
        clients,
        server_faults=_SERVER_FAULTS.get(mode),
        changes_rules=mode in _MODES_WITH_CHANGING_RULES,
        lock_use=LONG_HOLDS if mode is Mode.CORE_FREEZES else SHORT_HOLDS,
        keeps_connections=mode in _MODES_WITH_KEPT_CONNECTIONS,
        has_crowds=mode is Mode.CROWDS,
        repeats_ids=mode is Mode.REFUSALS,
        mix=SHORT_STREAMS_MIX if mode is Mode.SLOW_SERVERS else STANDARD_MIX,
    )
