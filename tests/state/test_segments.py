"""Records in files: what rotted is told from what was never whole; files are bounded and go in order."""

from __future__ import annotations

import errno

import pytest

from fordtrestle.state import frames
from fordtrestle.state.frames import CUT, ENTRY, HEADER, META, FormatError, scan
from fordtrestle.state.recovery import Start
from fordtrestle.state.segments import Segments
from tests.state.platter import Platter
from tests.state.test_journal import packed

START = packed(Start(None, False))
ONE = frames.encode(ENTRY, 7, 6, 3, 2, b"data")


def begun(disk, segment_bytes=200, bytes_most=2**20):
    made = Segments(disk, segment_bytes, bytes_most)
    found = made.read()
    made.begin(found.highest, found.highest, 0, START, ())
    return made


def test_a_record_of_this_format_is_read_for_ever():
    raw = bytes.fromhex(
        "f746544a01030000000000040000000000000007000000000000000600000000000000030000000000000002ae"
        "d87dd10a33e8a464617461fe454e44"
    )
    assert raw == ONE
    assert scan(raw).records == [frames.Record(ENTRY, 7, 6, 3, 2, b"data")]


def test_a_record_cut_short_or_ended_by_zeros_was_never_whole():
    before = frames.encode(META, 6, 5, 0, 2, b"x")
    for size in range(len(ONE) - len(frames.END)):
        for zeros in (b"", bytes(100)):
            found = scan(before + ONE[:size] + zeros)
            assert [record.data for record in found.records][:1] == [b"x"]
            assert [(record.data, record.short) for record in found.records[1:]] in ([], [(None, True)])
            assert not found.unknown and found.rest == size + len(zeros)


def test_a_record_that_rotted_is_not_taken_for_one_that_was_never_whole():
    for bit in range(8 * len(ONE)):
        bad = bytearray(ONE)
        bad[bit // 8] ^= 1 << bit % 8
        found = scan(bytes(bad) + ONE)
        data = [record.data for record in found.records]
        if bit < 8 * HEADER:
            assert data == [b"data"]
        elif bit < 8 * (HEADER + 4):
            assert data == [None, b"data"] and not found.records[0].short
        else:
            assert data == [b"data", b"data"]
        alone = scan(bytes(bad))
        assert alone.unknown == (bit < 8 * HEADER) and not any(record.short for record in alone.records)


def test_what_stands_within_a_record_that_was_cut_short_is_found():
    found = scan(ONE[:-6] + frames.encode(META, 9, 6, 0, 3, b"later"))
    assert [record.data for record in found.records] == [None, b"later"]


def test_no_number_is_used_twice_though_its_record_can_not_be_read():
    disk = Platter({"log-0000000000000001": ONE + bytes(3 * len(ONE))})
    assert Segments(disk).read().highest >= 7 + 3


def test_other_formats_are_refused(monkeypatch):
    disk = Platter()
    with monkeypatch.context() as patch:
        patch.setattr(frames, "FORMAT", 2)
        begun(disk)
    with pytest.raises(FormatError, match=r"^log-0{15}1: format version 2, not 1$"):
        begun(disk)
    with pytest.raises(FormatError, match="kind 9"):
        scan(frames.encode(9, 1, 0, 0, 0, b"x"))


def test_a_new_file_has_its_name_on_disk_before_its_records_count():
    made = begun(disk := Platter())
    for index in range(1, 9):
        calls = len(disk.calls)
        made.append([(ENTRY, index, b"x" * 60)], START)
        assert [call.split()[0] for call in disk.calls[calls:]] in (
            ["append", "sync"],
            ["append", "sync", "sync_folder"],
        )
    assert len(disk.names()) > 2 and all(len(data) < 400 for data in disk.files().values())
    assert [record.data for record in begun(disk).read().records if record.kind == ENTRY] == [b"x" * 60] * 8


def test_files_go_oldest_first_and_only_those_of_old_entries():
    made = begun(disk := Platter())
    for index in (1, 2, 9, 3, 4, 5, 6):  # 9 stands in the way until all up to it may go
        made.append([(ENTRY, index, b"x" * 200)], START)
    names = disk.names()
    made.drop(2)
    assert disk.names() == names[2:]
    made.drop(8)
    assert disk.names() == names[2:]
    calls = len(disk.calls)
    made.drop(9)
    assert disk.names() == names[-1:]
    gone = [f"remove {name}" for name in names[2:-1]]
    assert disk.calls[calls:] == [call for one in gone for call in (one, "sync_folder")]


def test_bytes_are_bounded():
    made = begun(Platter(), bytes_most=1000)
    made.room(900, False)
    made.append([(CUT, 1, b""), (ENTRY, 2, b"x" * 900)], START)
    with pytest.raises(OSError, match="more than 1000 bytes") as raised:
        made.room(1, False)
    assert raised.value.errno == errno.ENOSPC
    made.room(900, True)
    with pytest.raises(OSError):
        made.room(1000, True)
