"""Atomically replaced files: any corruption is rejected, and a stored list is read back unchanged."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from fordtrestle.balancer.model import Listing
from fordtrestle.proxy.engine.ports import Address, ServerList
from fordtrestle.proxy.state import records, snapshots
from fordtrestle.proxy.state.errors import SnapshotError
from tests.proxy.state.memory_file_store import MemoryFileStore

INTEGERS = st.integers(-(2**63), 2**63 - 1)
FLOATS = st.floats(allow_nan=False)
TEXTS = st.text(st.characters(exclude_categories=["Cs"]))
ENTRIES = st.builds(Listing, TEXTS, INTEGERS, INTEGERS, INTEGERS, TEXTS, FLOATS, FLOATS)
ADDRESSES = st.builds(Address, TEXTS, st.integers(0, 65535))
LISTS = st.builds(ServerList, INTEGERS, st.booleans(), st.lists(ENTRIES), st.dictionaries(TEXTS, ADDRESSES))


@given(LISTS)
def test_any_list_comes_back_as_it_was(server_list):
    raw = records.seal(records.encode_list("a", "z", server_list))
    found = records.decode_list("a", "z", records.unseal(raw))
    assert found == server_list
    assert all(type(entry) is Listing for entry in found.entries)
    assert all(type(address) is Address for address in found.addresses.values())


def test_a_file_of_this_format_stays_readable():
    raw = bytes.fromhex(
        "465453544154450a000000010000006405305d83"
        "83a773657276696365a161a56261736973a17aa66c697374656484a776657273696f6e03a577686f6c65c3a765"
        "6e74726965739197a163010203a6616374697665cb4000000000000000cb4008000000000000a9616464726573"
        "73657381a16392a16807"
    )
    server_list = ServerList(3, True, [Listing("c", 1, 2, 3, "active", 2.0, 3.0)], {"c": Address("h", 7)})
    assert records.decode_list("a", "z", records.unseal(raw)) == server_list
    assert records.seal(records.encode_list("a", "z", server_list)) == raw


def test_every_truncation_and_every_flipped_bit_is_rejected():
    raw = records.seal(b"some bytes")
    corrupt = [raw[:size] for size in range(len(raw))] + [raw + b"\0"]
    for bit in range(8 * len(raw)):
        flipped = bytearray(raw)
        flipped[bit // 8] ^= 1 << bit % 8
        corrupt.append(bytes(flipped))
    for bad in corrupt:
        store = MemoryFileStore()
        store.files["a"] = bytearray(bad)
        with pytest.raises(SnapshotError, match=r"^[^\n]+$"):
            snapshots.read(store, "a", 100)


@pytest.mark.parametrize(
    ("raw", "reason"),
    [
        (b"", "truncated"),
        (records.HEADER.pack(records.MAGIC, 1, 9, 0) + b"x", "truncated"),
        (records.HEADER.pack(b"somefile", 1, 0, 0), "wrong magic"),
        (records.HEADER.pack(records.MAGIC, 2, 0, 0), "format version 2"),
        (records.HEADER.pack(records.MAGIC, 1, 0, 0), "wrong checksum"),
        (records.seal(b"x") + b"y", "too long"),
        (bytes(200), "more than 100 bytes"),
    ],
)
def test_the_reason_why_a_file_is_rejected_is_given(raw, reason, store):
    store.files["a"] = bytearray(raw)
    with pytest.raises(SnapshotError, match=reason):
        snapshots.read(store, "a", 100)


@pytest.mark.parametrize("fail_at", range(6))
def test_a_failed_write_and_a_crash_leave_the_old_or_the_new_file(fail_at):
    for has_current_names in (True, False):
        store = MemoryFileStore()
        snapshots.write(store, "a", b"old")
        store.calls.clear()
        store.fail_at = fail_at
        done = True
        try:
            snapshots.write(store, "a", b"new")
        except OSError:
            done = False
        found = snapshots.read(store.crash(has_current_names), "a", 100)
        assert found == b"new" if done else found in (b"old", b"new")


def test_a_temporary_file_left_by_a_crash_is_not_appended_to(store):
    store.append("a.tmp", b"half of")
    snapshots.write(store, "a", b"new")
    assert snapshots.read(store, "a", 100) == b"new"
    snapshots.set_aside(store, "a")
    snapshots.write(store, "a", b"newer")
    snapshots.set_aside(store, "a")
    assert store.names() == ["a.damaged"]
    with pytest.raises(FileNotFoundError):
        snapshots.read(store, "a", 100)


@pytest.mark.parametrize(
    ("data", "reason"),
    [
        (records.encode_list("b", "z", ServerList(1, True, [], {})), "another service"),
        (records.encode_list("a", "y", ServerList(1, True, [], {})), "other zones"),
        (records.encode_incarnation(3), "not a list"),
        (b"\xa1\xff", "not a list"),
    ],
)
def test_a_record_of_another_kind_is_rejected(data, reason):
    with pytest.raises(SnapshotError, match=reason):
        records.decode_list("a", "z", data)
    with pytest.raises(SnapshotError, match="not an incarnation"):
        records.decode_incarnation(records.encode_incarnation(0))
