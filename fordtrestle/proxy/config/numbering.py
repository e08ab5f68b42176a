"""One index for each name in the life of a process: settings that change keep classes, tenants, zones and
kinds at the indices they had, since what is open and what was learned goes by them. Pure.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Container, Iterable

from fordtrestle.balancer import model
from fordtrestle.proxy.config.services import ClassSpec, ServiceSpec, TenantSpec
from fordtrestle.proxy.http.requests import RequestNames

NAMES_MOST = 256  # of each kind in the life of a process, those that have gone among them


def extended(known: Iterable[str], names: Iterable[str], what: str = "names") -> tuple[str, ...]:
    """The known names, each at its index, and behind them those that are new.

    `ValueError` where there would be too many; `what` they are.
    """
    made = tuple(dict.fromkeys((*known, *names)))
    if len(made) > NAMES_MOST:
        raise ValueError(f"{what}: {len(made)} names in the life of this process, at most {NAMES_MOST}")
    return made


def kept(before: ServiceSpec, service: ServiceSpec) -> ServiceSpec:
    """A service as it is told now, each name at the index that it had `before`, which this made, too, but for
    the first one.

    What has gone keeps its index and counts for nothing: a class with its last figures and no worth, a
    tenant with no share. Where there are no tenants at all, none are kept. `ValueError` as `extended`.
    """
    tenants = {row.name: row for row in service.tenants}
    callers = extended([row.name for row in before.tenants], tenants, "tenants") if tenants else ()
    return dataclasses.replace(
        service,
        classes={
            name: service.classes.get(name) or _gone(before.classes[name])
            for name in extended(before.classes, service.classes, "class")
        },
        tenants=tuple(tenants.get(name) or TenantSpec(name, 0.0, None) for name in callers),
        zones=extended(before.zones, service.zones, "zones"),
        kinds=extended(before.kinds, service.kinds, "kinds"),
    )


def _gone(row: ClassSpec) -> ClassSpec:
    return dataclasses.replace(row, worth=0.0)


def retired(settings: model.Settings, service: ServiceSpec, classes: Container[str]) -> model.Settings:
    """The settings of a service that was `kept`, of which only these classes are there still."""
    profiles = [
        dataclasses.replace(profile, gone=name not in classes)
        for name, profile in zip(service.classes, settings.profiles, strict=True)
    ]
    return dataclasses.replace(settings, profiles=tuple(profiles))


def renumbered(names: RequestNames, service: ServiceSpec) -> RequestNames:
    """The same names by their indices in a service that was `kept`; what has gone is no name of them."""
    class_at = {name: index for index, name in enumerate(service.classes)}
    tenant_at = {tenant.name: index for index, tenant in enumerate(service.tenants)}
    classes = {
        name: dataclasses.replace(kind, traffic_class=class_at[name]) for name, kind in names.classes.items()
    }
    return RequestNames(classes, {name: tenant_at[name] for name in names.tenants})
