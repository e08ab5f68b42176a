"""Compatibility between protocol versions, on the wire and on disk.

The rules are in `docs/design/versions.md`; the table of each recorded protocol version is in `wire/`.
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


def with_current_names(recorded: dict) -> dict:
    """Return a recorded table with the current names of its types, fields and values.

    Names are not sent, only tags, positions and numbers. `renamed.json` maps each name that has changed; any
    other name has to be the same as recorded.
    """
    fields, values = RENAMED["fields"], RENAMED["values"]

    def renamed_row(name: str, *names: str) -> list[str]:
        current_name = RENAMED["types"].get(name, name)
        renamed_fields = {**fields["*"], **fields.get(current_name, {})}
        return [current_name, *(renamed_fields.get(field, field) for field in names)]

    def renamed_key(key: str) -> str:
        name, _, field = key.partition(".")
        return ".".join(renamed_row(name, field))

    return {
        **recorded,
        "types": {tag: renamed_row(*row) for tag, row in recorded["types"].items()},
        "values": {
            renamed_key(key): {
                values.get(renamed_key(key), {}).get(name, name): number for name, number in numbers.items()
            }
            for key, numbers in recorded["values"].items()
        },
    }


def incompatibilities(old: dict, new: dict) -> list[str]:
    """Return the incompatible changes from an older table to a newer one."""
    changes = []
    for tag, (name, *fields) in old["types"].items():
        new_name, *new_fields = new["types"].get(tag, [""])
        if (name, fields) != (new_name, new_fields[: len(fields)]):
            changes.append(f"{name} has become {new_name} {new_fields}")
        elif len(new_fields) - len(fields) > new["optional"][tag] - old["optional"][tag]:
            changes.append(f"{name} has a new field without a default")
    for name, values in old["values"].items():
        if values.items() - new["values"].get(name, {}).items():
            changes.append(f"{name} has lost values")
    return changes


@pytest.mark.parametrize("path", TABLES, ids=lambda path: path.stem)
def test_each_recorded_protocol_can_still_be_read(path):
    assert not incompatibilities(with_current_names(json.loads(path.read_text())), wire_table())


def test_the_newest_table_is_up_to_date():
    """If this fails, record the table under its protocol number, or a new number if peers have to know of it.

    The rules allow the change unless the test above fails too.
    """
    newest = with_current_names(json.loads(TABLES[-1].read_text()))
    assert newest == json.loads(json.dumps(wire_table()))


def test_renamed_types_and_fields_are_in_the_recorded_and_in_the_current_table():
    """Guards against a rename map that hides a type, field or value that was removed."""
    # All renames are later than the first table.
    recorded, current = json.loads(TABLES[0].read_text()), wire_table()
    recorded_types = {name: fields for name, *fields in recorded["types"].values()}
    current_types = {name: fields for name, *fields in current["types"].values()}
    for old, new in RENAMED["types"].items():
        assert old in recorded_types
        assert new in current_types
    for kind, names in RENAMED["fields"].items():
        field_lists = [fields for name, fields in current_types.items() if kind in ("*", name)]
        assert set(names.values()) <= {field for fields in field_lists for field in fields}
        assert not set(names) & {field for fields in field_lists for field in fields}
        assert set(names) <= {field for fields in recorded_types.values() for field in fields}


def _without_a_field(new):
    new["types"]["48103"].pop()


def _in_another_order(new):
    new["types"]["48103"][1:3] = reversed(new["types"]["48103"][1:3])


def _under_another_tag(new):
    new["types"]["48999"] = new["types"].pop("48103")


def _with_a_required_field(new):
    new["types"]["48103"].append("new_field")


def _with_another_value(new):
    new["values"]["ServerRecord.phase"]["SERVING"] = 9


INCOMPATIBLE_CHANGES = (
    _without_a_field,
    _in_another_order,
    _under_another_tag,
    _with_a_required_field,
    _with_another_value,
)


@pytest.mark.parametrize("change", INCOMPATIBLE_CHANGES)
def test_an_incompatible_change_is_detected(change):
    new = copy.deepcopy(json.loads(json.dumps(wire_table())))
    change(new)
    assert len(incompatibilities(wire_table(), new)) == 1


def test_an_optional_field_and_a_new_type_and_a_new_value_are_allowed():
    new = copy.deepcopy(json.loads(json.dumps(wire_table())))
    new["types"]["48103"].append("new_field")
    new["optional"]["48103"] += 1
    new["types"]["48999"] = ["Notice", "text"]
    new["values"]["ServerRecord.phase"]["NEW_PHASE"] = 9
    assert not incompatibilities(wire_table(), new)


def tag_and_values(message) -> tuple[int, list]:
    tagged = cbor2.loads(encode(message), tag_hook=None)
    return tagged.tag, list(tagged.value)


def test_missing_fields_get_their_defaults_and_unknown_ones_are_ignored():
    earlier = Epoch(Term(3, "a"), "a", ("a",), (), core="c")
    tag, values = tag_and_values(earlier)
    with_extra_field = decode(cbor2.dumps(cbor2.CBORTag(tag, [*values, "later"])))
    assert with_extra_field == earlier
    without_last_field = decode(cbor2.dumps(cbor2.CBORTag(tag, values[:-1])))
    assert without_last_field.core == UNKNOWN_CORE
    with pytest.raises(CodecError):
        decode(cbor2.dumps(cbor2.CBORTag(tag, values[:3])))


def test_an_unknown_enum_value_raises_an_unknown_message_error():
    member = MemberRecord("n", "sidecar", "z", "r", "p", "f", Availability.READY)
    tag, values = tag_and_values(member)
    values[-1] = 99
    with pytest.raises(UnknownMessageError):
        decode(cbor2.dumps(cbor2.CBORTag(tag, values)))


def test_an_announce_of_the_previous_version_has_no_core():
    tag, values = tag_and_values(Announce("s", True, False, "c", True))
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
def test_both_sides_agree_on_the_newest_version_that_both_support(mine, other, agreed):
    one, two = Hello("a", "", *mine), Hello("b", "", *other)
    assert agreed_version(one, two) == agreed_version(two, one) == agreed


@pytest.mark.parametrize(("other", "agreed"), [((3, 1), 1), ((3, 2), None)])
@loopback
async def test_a_link_is_up_only_if_both_sides_support_a_common_version(other, agreed, monkeypatch):
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
