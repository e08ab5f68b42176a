"""Assigns each class, tenant, zone and kind an index that is fixed for the lifetime of a process. Pure.

Calls in flight and learned values refer to names by their indices, so a change of the settings must not
change an index.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Container, Iterable

from fordtrestle.balancer import model
from fordtrestle.proxy.config.services import ClassSpec, ServiceSpec, TenantSpec
from fordtrestle.proxy.http.requests import RequestNames

MAX_NAMES = 256  # of each category over the lifetime of a process, retired names included


def extend_names(known: Iterable[str], names: Iterable[str], category: str = "names") -> tuple[str, ...]:
    """Return the known names, each at its index, followed by the new ones.

    Args:
        known: All names so far.
        names: The names of the new settings.
        category: What the names belong to, such as `zones`, for the error message.

    Raises:
        ValueError: There would be more than `MAX_NAMES`.
    """
    extended = tuple(dict.fromkeys((*known, *names)))
    if len(extended) > MAX_NAMES:
        raise ValueError(
            f"{category}: {len(extended)} names in the lifetime of this process, at most {MAX_NAMES} allowed"
        )
    return extended


def keep_indices(before: ServiceSpec, service: ServiceSpec) -> ServiceSpec:
    """Return a service in which each name has the index that it had before.

    Retired names keep their indices without effect: a class with its last settings and a worth of 0, a tenant
    with a share of 0. If the service has no tenants any more, none are kept.

    Args:
        before: The service as first configured, or as this function last returned it.
        service: The service as it is configured now.

    Raises:
        ValueError: There would be more than `MAX_NAMES` names of a category.
    """
    tenants = {row.name: row for row in service.tenants}
    tenant_names = extend_names([row.name for row in before.tenants], tenants, "tenants") if tenants else ()
    return dataclasses.replace(
        service,
        classes={
            name: service.classes.get(name) or _retire_class(before.classes[name])
            for name in extend_names(before.classes, service.classes, "class")
        },
        tenants=tuple(tenants.get(name) or TenantSpec(name, 0.0, None) for name in tenant_names),
        zones=extend_names(before.zones, service.zones, "zones"),
        kinds=extend_names(before.kinds, service.kinds, "kinds"),
    )


def _retire_class(spec: ClassSpec) -> ClassSpec:
    return dataclasses.replace(spec, worth=0.0)


def mark_retired(settings: model.Settings, service: ServiceSpec, classes: Container[str]) -> model.Settings:
    """Return the settings of a service from `keep_indices`, with all but `classes` marked as retired."""
    profiles = [
        dataclasses.replace(profile, gone=name not in classes)
        for name, profile in zip(service.classes, settings.profiles, strict=True)
    ]
    return dataclasses.replace(settings, profiles=tuple(profiles))


def renumber(names: RequestNames, service: ServiceSpec) -> RequestNames:
    """Return the names with their indices in a service from `keep_indices`; retired names are left out."""
    class_indices = {name: index for index, name in enumerate(service.classes)}
    tenant_indices = {tenant.name: index for index, tenant in enumerate(service.tenants)}
    classes = {
        name: dataclasses.replace(kind, traffic_class=class_indices[name])
        for name, kind in names.classes.items()
    }
    return RequestNames(classes, {name: tenant_indices[name] for name in names.tenants})
