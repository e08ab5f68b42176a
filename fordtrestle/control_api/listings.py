"""Lists members, servers and the epoch as rows for `fordtrestle ctl`, which shows keys and values. Pure."""

from __future__ import annotations

from fordtrestle.dissemination.catalog import Catalog
from fordtrestle.dissemination.items import Phase, ServerRecord
from fordtrestle.replication.epochs import Epoch, Store

Row = dict[str, str | int | float]

# Shown to operators as the reason why a server gets no requests.
PHASE_LABELS = {Phase.DRAINING: "draining", Phase.DEPARTED: "gone"}
UNRESPONSIVE_LABEL = "silent"


def members(catalog: Catalog) -> list[Row]:
    """Return a row for each process of the system, sorted by region and name."""
    sorted_records = sorted((record.region, record.node, record) for record, _ in catalog.members())
    return [
        {
            "node": record.node,
            "role": record.role,
            "region": record.region,
            "zone": record.zone,
            "peer": record.peer,
            "state": record.availability.name.lower(),
        }
        for _, _, record in sorted_records
    ]


def servers(catalog: Catalog) -> list[Row]:
    """Return a row for each server, sorted by service and zone, with the reason if it gets no requests."""
    control = catalog.control
    evacuated = control.evacuated if control else ()
    sorted_records = sorted(
        (record.service, record.zone, record.instance, record) for record, _ in catalog.servers()
    )
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
        for _, _, _, record in sorted_records
    ]


def _reason_unusable(record: ServerRecord, evacuated: tuple[str, ...]) -> str:
    """Return why a server gets no requests; empty if it gets some."""
    if record.phase is not Phase.SERVING:
        return PHASE_LABELS[record.phase]
    if record.is_unresponsive:
        return UNRESPONSIVE_LABEL
    return "evacuated" if record.zone in evacuated else ""


def epoch(newest: Epoch | None) -> list[Row]:
    """Return a row for each store of the newest epoch, with its role in it."""
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
