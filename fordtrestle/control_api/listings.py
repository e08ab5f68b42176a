"""What a control process knows, as rows that an operator reads. Pure."""

from __future__ import annotations

from fordtrestle.dissemination.catalog import Catalog
from fordtrestle.dissemination.items import Phase, ServerRecord
from fordtrestle.replication.epochs import Epoch

Row = dict[str, str | int | float]

# What operators read of servers that get no requests.
PHASE_LABELS = {Phase.DRAINING: "draining", Phase.DEPARTED: "gone"}
UNRESPONSIVE_LABEL = "silent"


def members(catalog: Catalog) -> list[Row]:
    """The processes of the system, by region and name."""
    known = sorted((record.region, record.node, record) for record, _ in catalog.members())
    return [
        {
            "node": record.node,
            "role": record.role,
            "region": record.region,
            "zone": record.zone,
            "peer": record.peer,
            "state": record.availability.name.lower(),
        }
        for _, _, record in known
    ]


def servers(catalog: Catalog) -> list[Row]:
    """The servers, by service and zone, and why some get nothing."""
    control = catalog.control
    evacuated = control.evacuated if control else ()
    known = sorted((record.service, record.zone, record.instance, record) for record, _ in catalog.servers())
    return [
        {
            "service": record.service,
            "instance": record.instance,
            "zone": record.zone,
            "address": record.address,
            "slots": record.slots,
            "usable": _why_not(record, evacuated) or "yes",
            "heard_by": record.heard_by,
        }
        for _, _, _, record in known
    ]


def _why_not(record: ServerRecord, evacuated: tuple[str, ...]) -> str:
    if record.phase is not Phase.SERVING:
        return PHASE_LABELS[record.phase]
    if record.is_unresponsive:
        return UNRESPONSIVE_LABEL
    return "evacuated" if record.zone in evacuated else ""


def epoch(newest: Epoch | None) -> list[Row]:
    """The stores of the newest epoch, and what each is in it."""
    if newest is None:
        return []
    return [
        {
            "epoch": newest.term.number,
            "store": store.id,
            "zone": store.zone,
            "control": store.control,
            "role": "primary"
            if store.id == newest.primary
            else "backup"
            if store.id in newest.replicas
            else "witness",
        }
        for store in newest.witnesses
    ]
