"""Names of classes, tenants, zones and kinds, each with one index for the life of a process. Pure.

Open calls and learned values refer to names by their indices, so a change of the settings must not move them.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Container, Iterable

from fordtrestle.balancer import model
from fordtrestle.proxy.config.services import ClassSpec, ServiceSpec, TenantSpec
from fordtrestle.proxy.http.requests import RequestNames

MAX_NAMES = 256  # of each sort over the life of a process, retired ones included


def extend_names(known: Iterable[str], names: Iterable[str], sort: str = "names") -> tuple[str, ...]:
    """Return the known names, each at its index, followed by those that are new.

    Args:
        known: All names so far.
        names: The names of the new settings.
        sort: What they are the names of, for the error.

    Raises:
        ValueError: There would be more than `MAX_NAMES`.
    """
    extended = tuple(dict.fromkeys((*known, *names)))
    if len(extended) > MAX_NAMES:
        raise ValueError(f"{sort}: {len(extended)} names in the life of this process, at most {MAX_NAMES}")
    return extended


def keep_indices(before: ServiceSpec, service: ServiceSpec) -> ServiceSpec:
    """Return a service with each name at the index that it had before.

    Retired names keep their indices and count for nothing: a class with its last figures and no worth, a
    tenant with no share. If there are no tenants at all, none are kept.

    Args:
        before: The first service, or what this function returned last.
        service: The service as it is configured now.

    Raises:
        ValueError: There would be more than `MAX_NAMES` of a sort.
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
    """Return the settings of a service of `keep_indices` with all classes but these marked as retired."""
    profiles = [
        dataclasses.replace(profile, gone=name not in classes)
        for name, profile in zip(service.classes, settings.profiles, strict=True)
    ]
    return dataclasses.replace(settings, profiles=tuple(profiles))


def renumber(names: RequestNames, service: ServiceSpec) -> RequestNames:
    """Return the same names by their indices in a service of `keep_indices`; retired ones are left out."""
    class_indices = {name: index for index, name in enumerate(service.classes)}
    tenant_indices = {tenant.name: index for index, tenant in enumerate(service.tenants)}
    classes = {
        name: dataclasses.replace(kind, traffic_class=class_indices[name])
        for name, kind in names.classes.items()
    }
    return RequestNames(classes, {name: tenant_indices[name] for name in names.tenants})
