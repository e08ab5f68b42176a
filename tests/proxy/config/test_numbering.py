"""Names keep their indices when settings change; retired names keep theirs without effect."""

from __future__ import annotations

import dataclasses

import pytest
from hypothesis import given
from hypothesis import strategies as st

from fordtrestle.proxy.config import numbering, operator_file
from fordtrestle.proxy.config import operator_options as options
from fordtrestle.proxy.config.services import TenantSpec
from tests.proxy.config.test_operator_file import GOOD, START, write_file


def read_shop(tmp_path):
    config = operator_file.read(write_file(tmp_path, GOOD))
    return config, config.services["shop"]


def without(service, name, **added_classes):
    """Return a service without the class, tenant, zone or kind of this name, with additional classes."""
    return dataclasses.replace(
        service,
        classes={**added_classes, **{key: row for key, row in service.classes.items() if key != name}},
        tenants=tuple(row for row in service.tenants if row.name != name),
        zones=tuple(zone for zone in service.zones if zone != name),
        kinds=tuple(kind for kind in service.kinds if kind != name),
    )


NAMES = st.lists(st.sampled_from("abcdefgh"), unique=True)


@given(st.lists(NAMES, max_size=6))
def test_a_name_has_one_index_for_the_life_of_the_process(changes):
    known, index_of = (), {}
    for names in changes:
        known = numbering.extend_names(known, names)
        assert set(names) <= set(known)
        assert len(set(known)) == len(known)
        for name, index in index_of.items():
            assert known.index(name) == index
        index_of = {name: index for index, name in enumerate(known)}


def test_the_number_of_names_is_bounded():
    known = [f"n{i}" for i in range(numbering.MAX_NAMES)]
    assert len(numbering.extend_names(known, known)) == numbering.MAX_NAMES
    with pytest.raises(
        ValueError, match="zones: 257 names in the lifetime of this process, at most 256 allowed"
    ):
        numbering.extend_names(known, ["one more"], "zones")


def test_a_retired_class_keeps_its_index_also_when_it_returns(tmp_path):
    config, service = read_shop(tmp_path)
    current = without(service, "look", new=service.classes["book"])
    numbered = numbering.keep_indices(service, current)
    assert list(numbered.classes) == ["look", "book", "new"]
    assert numbered.classes["look"].worth == 0.0
    settings = options.settings(dataclasses.replace(config, services={"shop": numbered}), "shop", START)
    settings = numbering.mark_retired(settings, numbered, current.classes)
    assert [profile.gone for profile in settings.profiles] == [True, False, False]
    names = numbering.renumber(options.request_names(current), numbered)
    assert {name: kind.traffic_class for name, kind in names.classes.items()} == {"new": 2, "book": 1}
    restored = numbering.keep_indices(numbered, service)
    assert list(restored.classes) == ["look", "book", "new"]
    assert restored.classes["look"] == service.classes["look"]
    assert numbering.renumber(options.request_names(service), restored) == options.request_names(service)


def test_tenants_zones_and_kinds_keep_their_indices(tmp_path):
    config, service = read_shop(tmp_path)
    numbered = numbering.keep_indices(service, without(service, "a"))
    assert numbered.tenants == (TenantSpec("a", 0.0, None), service.tenants[1])
    assert numbering.renumber(options.request_names(without(service, "a")), numbered).tenants == {"b": 1}
    settings = options.settings(dataclasses.replace(config, services={"shop": numbered}), "shop", START)
    assert settings.allowances == (0.0, 0.4)
    assert numbering.keep_indices(service, dataclasses.replace(service, tenants=())).tenants == ()
    numbered = numbering.keep_indices(service, without(service, "east"))
    assert options.name_indices(numbered).zones == {"east": 0, "west": 1}
    assert (
        options.settings(dataclasses.replace(config, services={"shop": numbered}), "shop", START).locality
        == 1
    )
    assert numbering.keep_indices(service, without(service, "big")).kinds == ("big",)


def test_an_unchanged_service_stays_equal(tmp_path):
    _, service = read_shop(tmp_path)
    assert numbering.keep_indices(service, service) == service
