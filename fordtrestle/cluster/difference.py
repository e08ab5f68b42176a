"""What differs between two rulebooks: by keys for people, by services and servers for catching up. Pure."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from typing import Annotated, Any

from msgspec import Meta, Struct

from fordtrestle.cluster.content import (
    SERVERS_MOST,
    SERVICES_MOST,
    ClassRules,
    Count,
    Digest,
    Listed,
    Rulebook,
    ServerName,
    ServerRules,
    Services,
    TenantRules,
    Word,
    digest_of,
)

MISSING = "(none)"


# --- for people -------------------------------------------------------------------------------


class Difference(Struct, frozen=True):
    """One key that differs, as `service.NAME.class.CLASS.KEY` or `list.NAME.SERVER.KEY`.

    `old` and `new` are plain values, those of a server, class or tenant by keys; None where it is missing."""

    key: str
    old: Any
    new: Any

    @property
    def line(self) -> str:
        """As one line."""
        return f"{self.key}: {_shown(self.old)} -> {_shown(self.new)}"


def difference(old: Rulebook, new: Rulebook) -> list[Difference]:
    """All keys of the content that differ, in the order of their names; empty only where it is the same."""
    return [
        *_differ("service", old.services, new.services),
        *_differ("list", _lists(old), _lists(new)),
    ]


def _lists(book: Rulebook) -> dict[str, dict[str, Struct]]:
    return {name: {row.name: row for row in rows} for name, rows in book.lists.items()}


def _differ(at: str, old: Any, new: Any) -> Iterator[Difference]:
    if old == new:
        return
    before, after = _parts(old), _parts(new)
    if None in (old, new) and isinstance(old or new, ServerRules | ClassRules | TenantRules):
        yield Difference(at, dict(before) or None, dict(after) or None)
        return
    if not before and not after:
        yield Difference(at, old, new)
        return
    for key in sorted(before.keys() | after.keys()):
        yield from _differ(f"{at}.{key}", before.get(key), after.get(key))
    if list(before) != list(after) and sorted(before) == sorted(after):
        yield Difference(f"{at}: order", list(before), list(after))


def _parts(value: Any) -> Mapping[str, Any]:
    """What a value holds by names; nothing where it is a single one."""
    if isinstance(value, Mapping):
        return value
    if isinstance(value, tuple) and value and isinstance(value[0], Struct):
        return {row.name: row for row in value}
    if isinstance(value, Struct):
        parts = {key: getattr(value, key) for key in value.__struct_fields__ if key != "name"}
        return {"class" if key == "classes" else key: part for key, part in parts.items()}
    return {}


def _shown(value: Any) -> str:
    if value is None:
        return MISSING
    if isinstance(value, list | tuple):
        return f"[{', '.join(map(_shown, value))}]"
    if isinstance(value, Mapping):
        return ", ".join(f"{key} {_shown(part)}" for key, part in value.items() if part not in ("", None))
    return f"{value:g}" if isinstance(value, float) else str(value)


# --- for catching up --------------------------------------------------------------------------


class ListDelta(Struct, frozen=True):
    """What is new in a list: servers that are there now, or otherwise, and those that are gone."""

    put: Listed = ()
    gone: Annotated[tuple[ServerName, ...], Meta(max_length=SERVERS_MOST)] = ()


class Delta(Struct, frozen=True):
    """What makes one book of another, whose digest is `base`; `digest` is that of the one made."""

    base: Digest
    digest: Digest
    number: Count
    parent: Digest
    services: Services = {}
    lists: Annotated[dict[Word, ListDelta], Meta(max_length=SERVICES_MOST)] = {}
    gone_services: Annotated[tuple[Word, ...], Meta(max_length=SERVICES_MOST)] = ()
    gone_lists: Annotated[tuple[Word, ...], Meta(max_length=SERVICES_MOST)] = ()


def delta(old: Rulebook, new: Rulebook) -> Delta:
    """What makes `new` of `old`: only services and servers that differ."""
    return Delta(
        base=digest_of(old),
        digest=digest_of(new),
        number=new.number,
        parent=new.parent,
        services={name: rules for name, rules in new.services.items() if rules != old.services.get(name)},
        lists={
            name: _list_delta(old.lists.get(name, ()), rows)
            for name, rows in new.lists.items()
            if rows != old.lists.get(name)
        },
        gone_services=tuple(sorted(old.services.keys() - new.services.keys())),
        gone_lists=tuple(sorted(old.lists.keys() - new.lists.keys())),
    )


def patch(old: Rulebook, made: Delta) -> Rulebook:
    """The book that a delta makes; `ValueError` if it was made for another, or does not make what it says."""
    if made.base != digest_of(old):
        raise ValueError(f"made for the rulebook {made.base}, and this is {digest_of(old)}")
    services = {name: rules for name, rules in old.services.items() if name not in made.gone_services}
    lists = {name: rows for name, rows in old.lists.items() if name not in made.gone_lists}
    for name, change in made.lists.items():
        lists[name] = _patched(lists.get(name, ()), change)
    book = Rulebook(made.number, made.parent, {**services, **made.services}, lists)
    if digest_of(book) != made.digest:
        raise ValueError(f"makes the rulebook {digest_of(book)}, and says {made.digest}")
    return book


def _list_delta(old: Listed, new: Listed) -> ListDelta:
    before, after = {row.name: row for row in old}, {row.name for row in new}
    put = tuple(row for row in new if before.get(row.name) != row)
    return ListDelta(put, tuple(name for name in before if name not in after))


def _patched(old: Listed, change: ListDelta) -> Listed:
    rows = {row.name: row for row in old}
    for name in change.gone:
        rows.pop(name, None)
    rows |= {row.name: row for row in change.put}
    return tuple(rows[name] for name in sorted(rows))
