"""Versions of the program speak with one another, and read what others wrote.

As far as the rules of `docs/design/versions.md` go; the tables of each landed protocol stand in `wire/`.
"""

from __future__ import annotations

import asyncio
import copy
import json
from pathlib import Path

import cbor2
import pytest

from fordtrestle.dissemination.items import Availability, MemberRecord
from fordtrestle.dissemination.messages import Want
from fordtrestle.peer.codec import decode, encode
from fordtrestle.peer.connection import Connection
from fordtrestle.peer.errors import CodecError, UnknownMessageError
from fordtrestle.peer.frames import encode_frame
from fordtrestle.peer.handshake import agreed_version
from fordtrestle.peer.mesh import Mesh
from fordtrestle.peer.messages import Hello
from fordtrestle.peer.wire_types import FIRST_TAG, wire_table
from fordtrestle.replication.epochs import UNKNOWN_CORE, Epoch, Term
from fordtrestle.replication.messages import Announce
from tests.exchanges import loopback, until
from tests.peer.peers import connected, listen

WIRE = Path(__file__).parent / "wire"
TABLES = sorted(WIRE.glob("protocol-*.json"))
RENAMED = json.loads((WIRE / "renamed.json").read_text())
UNKNOWN = cbor2.dumps(cbor2.CBORTag(FIRST_TAG + 400, ["of a later version"]))


def in_names_of_today(landed: dict) -> dict:
    """A table that landed, with the names that the code has for the same types, fields and values now.

    Names do not travel: tags, positions and numbers do. `renamed.json` maps each name that has changed; one
    that is not in the map has to be the same as then.
    """
    fields, values = RENAMED["fields"], RENAMED["values"]

    def renamed_row(name: str, *names: str) -> list[str]:
        now = RENAMED["types"].get(name, name)
        known = {**fields["*"], **fields.get(now, {})}
        return [now, *(known.get(field, field) for field in names)]

    def renamed_key(key: str) -> str:
        name, _, field = key.partition(".")
        return ".".join(renamed_row(name, field))

    return {
        **landed,
        "types": {tag: renamed_row(*row) for tag, row in landed["types"].items()},
        "values": {
            renamed_key(key): {
                values.get(renamed_key(key), {}).get(name, name): number for name, number in numbers.items()
            }
            for key, numbers in landed["values"].items()
        },
    }


def faults(old: dict, new: dict) -> list[str]:
    """What of an older table a newer one breaks."""
    found = []
    for tag, (name, *fields) in old["types"].items():
        name_now, *fields_now = new["types"].get(tag, [""])
        if (name, fields) != (name_now, fields_now[: len(fields)]):
            found.append(f"{name} is not {name_now} {fields_now}")
        elif len(fields_now) - len(fields) > new["optional"][tag] - old["optional"][tag]:
            found.append(f"{name} has gained a field that has to be there")
    for name, values in old["values"].items():
        if values.items() - new["values"].get(name, {}).items():
            found.append(f"{name} has lost values")
    return found


@pytest.mark.parametrize("path", TABLES, ids=lambda path: path.stem)
def test_each_landed_protocol_can_still_be_read(path):
    assert not faults(in_names_of_today(json.loads(path.read_text())), wire_table())


def test_the_newest_table_is_kept():
    """Where this fails, write the table down under its number, a new one where others have to know of it.

    The change is then one that the rules allow, or the test above fails too.
    """
    newest = in_names_of_today(json.loads(TABLES[-1].read_text()))
    assert newest == json.loads(json.dumps(wire_table()))


def test_renamed_types_and_fields_stood_in_the_landed_table_and_stand_today():
    """Guards against a map that hides a type, field or value that is gone."""
    landed, now = json.loads(TABLES[0].read_text()), wire_table()  # all renames came after the first
    landed_types = {name: fields for name, *fields in landed["types"].values()}
    types_now = {name: fields for name, *fields in now["types"].values()}
    for old, new in RENAMED["types"].items():
        assert old in landed_types
        assert new in types_now
    for kind, names in RENAMED["fields"].items():
        of_kind = [fields for name, fields in types_now.items() if kind in ("*", name)]
        assert set(names.values()) <= {field for fields in of_kind for field in fields}
        assert not set(names) & {field for fields in of_kind for field in fields}
        assert set(names) <= {field for fields in landed_types.values() for field in fields}


def _without_a_field(new):
    new["types"]["48103"].pop()


def _in_another_order(new):
    new["types"]["48103"][1:3] = reversed(new["types"]["48103"][1:3])


def _under_another_tag(new):
    new["types"]["48999"] = new["types"].pop("48103")


def _with_a_field_that_is_needed(new):
    new["types"]["48103"].append("mood")


def _with_another_value(new):
    new["values"]["ServerRecord.phase"]["SERVING"] = 9


BREAKS = (
    _without_a_field,
    _in_another_order,
    _under_another_tag,
    _with_a_field_that_is_needed,
    _with_another_value,
)


@pytest.mark.parametrize("change", BREAKS)
def test_a_change_against_the_rules_is_found(change):
    new = copy.deepcopy(json.loads(json.dumps(wire_table())))
    change(new)
    assert len(faults(wire_table(), new)) == 1


def test_an_optional_field_and_a_new_type_and_a_new_value_are_allowed():
    new = copy.deepcopy(json.loads(json.dumps(wire_table())))
    new["types"]["48103"].append("mood")
    new["optional"]["48103"] += 1
    new["types"]["48999"] = ["Notice", "text"]
    new["values"]["ServerRecord.phase"]["RESTING"] = 9
    assert not faults(wire_table(), new)


def fields_of(message) -> tuple[int, list]:
    tagged = cbor2.loads(encode(message), tag_hook=None)
    return tagged.tag, list(tagged.value)


def test_lacking_fields_have_their_defaults_and_unknown_ones_are_left_out():
    earlier = Epoch(Term(3, "a"), "a", ("a",), (), core="c")
    tag, values = fields_of(earlier)
    with_more = decode(cbor2.dumps(cbor2.CBORTag(tag, [*values, "later"])))
    assert with_more == earlier
    with_fewer = decode(cbor2.dumps(cbor2.CBORTag(tag, values[:-1])))
    assert with_fewer.core == UNKNOWN_CORE
    with pytest.raises(CodecError):
        decode(cbor2.dumps(cbor2.CBORTag(tag, values[:3])))


def test_an_unknown_value_raises_as_of_another_version():
    member = MemberRecord("n", "sidecar", "z", "r", "p", "f", Availability.READY)
    tag, values = fields_of(member)
    values[-1] = 99
    with pytest.raises(UnknownMessageError):
        decode(cbor2.dumps(cbor2.CBORTag(tag, values)))


def test_an_announce_of_the_version_before_has_no_core():
    tag, values = fields_of(Announce("s", True, False, "c", True))
    earlier = decode(cbor2.dumps(cbor2.CBORTag(tag, values[:3])))
    assert (earlier.core, earlier.is_founder) == (UNKNOWN_CORE, False)


@loopback
async def test_messages_of_another_version_are_skipped_and_counted():
    async with connected() as (receiver, reader, writer):
        connection = Connection(reader, writer)
        for payload in (UNKNOWN, encode(Want(("a",))), UNKNOWN, encode(Want(("b",)))):
            connection.write_frame(encode_frame(payload))
        await until(lambda: len(receiver.received) == 2)
        assert receiver.received == [Want(("a",)), Want(("b",))]
        assert receiver.connections[0].skipped_messages == 2
        connection.close()


@pytest.mark.parametrize(
    ("mine", "other", "agreed"),
    [
        ((1, 1), (1, 1), 1),
        ((3, 1), (2, 2), 2),
        ((3, 2), (1, 1), None),
        ((2, 1), (4, 3), None),
        ((1, 1), (0, 0), None),
    ],
)
def test_both_sides_agree_on_the_newest_version_that_both_speak(mine, other, agreed):
    one, two = Hello("a", "", *mine), Hello("b", "", *other)
    assert agreed_version(one, two) == agreed_version(two, one) == agreed


@pytest.mark.parametrize(("other", "agreed"), [((3, 1), 1), ((3, 2), None)])
@loopback
async def test_a_link_is_up_only_where_a_version_is_spoken_on_both_sides(other, agreed, monkeypatch):
    logged = []
    monkeypatch.setattr("fordtrestle.peer.mesh.eliot.log_message", lambda kind, **_: logged.append(kind))
    linked = []
    here = Mesh(Hello("here", "127.0.0.1:0", 1, 1), lambda *_: None, linked.append)
    there = Mesh(Hello("there", "", *other), lambda *_: None, linked.append)
    there.dial([await listen(here)])
    if agreed is None:
        await until(lambda: len(there._mismatches) == len(here._mismatches) == 1)
        await asyncio.sleep(0)
        assert not linked
        assert logged.count("peer:no-common-version") == 2
    else:
        await until(lambda: len(linked) == 2)
        assert {link.version for link in linked} == {agreed}
    await there.close()
    await here.close()
