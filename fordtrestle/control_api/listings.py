"""What a control process knows, as rows for `fordtrestle ctl`. Keys and values are shown to users. Pure."""

from __future__ import annotations

from fordtrestle.dissemination.catalog import Catalog
from fordtrestle.dissemination.items import Phase, ServerRecord
from fordtrestle.replication.epochs import Epoch, Store

Row = dict[str, str | int | float]

# What operators read of servers that get no requests.
PHASE_LABELS = {Phase.DRAINING: "draining", Phase.DEPARTED: "gone"}
UNRESPONSIVE_LABEL = "silent"


def members(catalog: Catalog) -> list[Row]:
    """A row for each process of the system, by region and name."""
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
    """A row for each server, by service and zone, and why some get no requests."""
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
            "usable": _reason_unusable(record, evacuated) or "yes",
            "heard_by": record.heard_by,
        }
        for _, _, _, record in known
    ]


def _reason_unusable(record: ServerRecord, evacuated: tuple[str, ...]) -> str:
    """Why a server gets no requests; empty where it does."""
    if record.phase is not Phase.SERVING:
        return PHASE_LABELS[record.phase]
    if record.is_unresponsive:
        return UNRESPONSIVE_LABEL
    return "evacuated" if record.zone in evacuated else ""


def epoch(newest: Epoch | None) -> list[Row]:
    """A row for each store of the newest epoch, and its role in it."""
    if newest is None:
        return []
    return [
        {
            "epoch": newest.term.number,
            "store": store.id,
            "zone": store.zone,
            "control": store.control,
            "role": _role_in(newest, store),
        }
        for store in newest.witnesses
    ]


def _role_in(newest: Epoch, store: Store) -> str:
    if store.id == newest.primary:
        return "primary"
    return "backup" if store.id in newest.replicas else "witness"
