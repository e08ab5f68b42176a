"""The metrics of a process as text, one `fordtrestle_NAME VALUE` per line, if the settings name a port.

Metric names are part of the operators' interface and must not change.
"""

from __future__ import annotations

import re
from collections.abc import Callable, Mapping

from aiohttp import web

from fordtrestle.coordination.state import CoordinationState
from fordtrestle.dissemination.catalog import Catalog
from fordtrestle.dissemination.items import Availability, Phase
from fordtrestle.replication.events import Events

Figures = Mapping[str, float]  # by name, without the prefix
PREFIX = "fordtrestle_"  # of each name, since dashboards also show other programs


def render(figures: Figures) -> str:
    """Render metrics as text, sorted by name."""
    return "".join(f"{PREFIX}{name} {value:g}\n" for name, value in sorted(figures.items()))


def of_catalog(catalog: Catalog) -> dict[str, float]:
    """Return the metrics of a catalog: configuration, members and servers."""
    members = [record.availability for record, _ in catalog.members()]
    servers = [record for record, _ in catalog.servers()]
    control = catalog.control
    return {
        "generation": control.generation if control else 0,
        "zones_evacuated": len(control.evacuated) if control else 0,
        "members_ready": members.count(Availability.READY),
        "members_down": members.count(Availability.DOWN),
        "servers_serving": sum(r.phase is Phase.SERVING and not r.is_unresponsive for r in servers),
        "servers_draining": sum(r.phase is Phase.DRAINING for r in servers),
        "servers_silent": sum(r.phase is Phase.SERVING and r.is_unresponsive for r in servers),
    }


# Metric names by event class: they stay the same when a class is renamed.
EVENT_METRICS = {
    "EpochChangeStarted": "replication_opening_began",
    "EpochChangeFailed": "replication_opening_failed",
    "EpochOpened": "replication_epoch_opened",
    "SteppedDown": "replication_stepped_down",
    "StateSent": "replication_state_sent",
    "WriteLate": "replication_write_late",
    "Waiting": "replication_waiting",
    "ForeignStoreSeen": "replication_stranger_met",
}


def of_events(events: Events) -> dict[str, float]:
    """Return the metrics of the replication: the number of events of each class since the start."""
    return {EVENT_METRICS[name]: count for name, count in events.counts.items()}


def of_coordination(state: CoordinationState, answers: Mapping[type, int], watches: int) -> dict[str, float]:
    """Return the metrics of locks, counters and keys, and of this process's answers as primary by type."""
    return {
        "locks": len(state.locks),
        "counters": len(state.counters),
        "keys": sum(len(group.values) for group in state.groups.values()),
        "stored_characters": state.stored_characters,
        "watches_held": watches,
        **{f"coordination_{to_snake_case(kind.__name__)}": count for kind, count in answers.items()},
    }


def to_snake_case(name: str) -> str:
    """Return the name of a class in lower case, its words joined by underscores."""
    return re.sub(r"(?<=.)(?=[A-Z])", "_", name).lower()


def application(path: str, figures: Callable[[], Figures]) -> web.Application:
    """Create the web application that serves metrics.

    Args:
        path: The path to serve them under.
        figures: Returns the current metrics; called once per request.
    """

    async def answer(_: web.Request) -> web.StreamResponse:
        return web.Response(text=render(figures()))

    endpoint = web.Application()
    endpoint.add_routes([web.get(path, answer)])
    return endpoint
