"""Names keep their indices as settings change, and what has gone keeps its own and counts for nothing."""

from __future__ import annotations

import dataclasses

import pytest
from hypothesis import given
from hypothesis import strategies as st

from fordtrestle.proxy.config import numbering, operator, options
from fordtrestle.proxy.config.services import TenantSpec
from tests.proxy.config.test_operator import GOOD, START, written


def service_of(tmp_path):
    told = operator.read(written(tmp_path, GOOD))
    return told, told.services["shop"]


def less(service, name, **more):
    """A service without the class, tenant, zone or kind of this name, and with more classes."""
    return dataclasses.replace(
        service,
        classes={**more, **{key: row for key, row in service.classes.items() if key != name}},
        tenants=tuple(row for row in service.tenants if row.name != name),
        zones=tuple(zone for zone in service.zones if zone != name),
        kinds=tuple(kind for kind in service.kinds if kind != name),
    )


NAMES = st.lists(st.sampled_from("abcdefgh"), unique=True)


@given(st.lists(NAMES, max_size=6))
def test_a_name_has_one_index_for_good(turns):
    known, index_of = (), {}
    for names in turns:
        known = numbering.extended(known, names)
        assert set(names) <= set(known)
        assert len(set(known)) == len(known)
        for name, index in index_of.items():
            assert known.index(name) == index
        index_of = {name: index for index, name in enumerate(known)}


def test_names_are_bounded():
    known = [f"n{i}" for i in range(numbering.NAMES_MOST)]
    assert len(numbering.extended(known, known)) == numbering.NAMES_MOST
    with pytest.raises(ValueError, match="zones: 257 names in the life of this process, at most 256"):
        numbering.extended(known, ["one more"], "zones")


def test_what_goes_keeps_its_place_and_what_comes_back_has_its_own_again(tmp_path):
    told, service = service_of(tmp_path)
    now = less(service, "look", new=service.classes["book"])
    kept = numbering.kept(service, now)
    assert list(kept.classes) == ["look", "book", "new"]
    assert kept.classes["look"].worth == 0.0
    settings = options.settings(dataclasses.replace(told, services={"shop": kept}), "shop", START)
    settings = numbering.retired(settings, kept, now.classes)
    assert [profile.gone for profile in settings.profiles] == [True, False, False]
    names = numbering.renumbered(options.names(now), kept)
    assert {name: kind.traffic_class for name, kind in names.classes.items()} == {"new": 2, "book": 1}
    back = numbering.kept(kept, service)
    assert list(back.classes) == ["look", "book", "new"]
    assert back.classes["look"] == service.classes["look"]
    assert numbering.renumbered(options.names(service), back) == options.names(service)


def test_tenants_zones_and_kinds_keep_theirs(tmp_path):
    told, service = service_of(tmp_path)
    kept = numbering.kept(service, less(service, "a"))
    assert kept.tenants == (TenantSpec("a", 0.0, None), service.tenants[1])
    assert numbering.renumbered(options.names(less(service, "a")), kept).tenants == {"b": 1}
    settings = options.settings(dataclasses.replace(told, services={"shop": kept}), "shop", START)
    assert settings.allowances == (0.0, 0.4)
    assert numbering.kept(service, dataclasses.replace(service, tenants=())).tenants == ()
    kept = numbering.kept(service, less(service, "east"))
    assert options.indices_of(kept).zones == {"east": 0, "west": 1}
    assert options.settings(dataclasses.replace(told, services={"shop": kept}), "shop", START).locality == 1
    assert numbering.kept(service, less(service, "big")).kinds == ("big",)


def test_a_service_that_has_not_changed_is_kept_as_it_is(tmp_path):
    _, service = service_of(tmp_path)
    assert numbering.kept(service, service) == service
