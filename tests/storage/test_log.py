"""The record log before disks that tear, refuse and forget: what was synced is found again, whole and in
order.
"""

from __future__ import annotations

import errno
import os

import pytest
from hypothesis import given
from hypothesis import strategies as st

from fordtrestle.storage.log import NAME, NEW_NAME, RecordLog, StorageError
from fordtrestle.storage.records import frame, scan


def reopened(folder):
    log = RecordLog(folder)
    records = log.open()
    log.close()
    return records


def test_records_are_found_again(tmp_path):
    log = RecordLog(tmp_path / "data")
    assert log.open() == []
    log.append([b"one", b""])
    log.append([b"two"])
    log.close()
    assert reopened(tmp_path / "data") == [b"one", b"", b"two"]


@given(st.lists(st.binary(max_size=40), max_size=6), st.data())
def test_a_torn_tail_is_cut_off_at_the_last_whole_record(payloads, data):
    whole = b"".join(map(frame, payloads))
    cut = data.draw(st.integers(0, len(whole)))
    found = [payload for payload, _ in scan(whole[:cut])]
    assert found == payloads[: len(found)]
    assert cut < len(whole) or found == payloads


@given(st.lists(st.binary(min_size=1, max_size=20), min_size=2, max_size=5), st.data())
def test_a_spoilt_record_ends_what_is_read(payloads, data):
    whole = bytearray(b"".join(map(frame, payloads)))
    at = data.draw(st.integers(0, len(whole) - 1))
    whole[at] ^= data.draw(st.integers(1, 255))
    found = [payload for payload, _ in scan(bytes(whole))]
    assert found == payloads[: len(found)] and len(found) < len(payloads)


def test_appends_go_on_behind_a_tail_that_was_cut_off(tmp_path):
    log = RecordLog(tmp_path)
    log.open()
    log.append([b"one"])
    log.close()
    with open(tmp_path / NAME, "ab") as file:
        file.write(frame(b"torn")[:-1])
    log.open()
    log.append([b"two"])
    log.close()
    assert reopened(tmp_path) == [b"one", b"two"]


def test_rewriting_replaces_all_and_appends_go_on(tmp_path):
    log = RecordLog(tmp_path)
    log.open()
    log.append([b"one", b"two"])
    log.rewrite([b"all"])
    log.append([b"three"])
    log.close()
    assert reopened(tmp_path) == [b"all", b"three"]


def test_an_unfinished_rewrite_is_as_if_it_had_not_begun(tmp_path):
    log = RecordLog(tmp_path)
    log.open()
    log.append([b"one"])
    log.close()
    (tmp_path / NEW_NAME).write_bytes(frame(b"half")[:-2])
    assert reopened(tmp_path) == [b"one"]
    assert not (tmp_path / NEW_NAME).exists()


class Disk:
    """Notes the order of calls to the disk, and refuses one of them."""

    def __init__(self, patch, refused=None):
        self.calls = []
        for name in ("pwrite", "fdatasync", "fsync", "rename", "ftruncate"):
            patch.setattr(os, name, self._watched(name, getattr(os, name), refused))

    def _watched(self, name, call, refused):
        def watched(*args):
            self.calls.append(name)
            if name == refused:
                raise OSError(errno.ENOSPC, "full")
            return call(*args)

        return watched


@pytest.mark.parametrize("refused", ["pwrite", "fdatasync"])
def test_a_disk_that_refuses_leaves_the_file_as_it_was(tmp_path, monkeypatch, refused):
    log = RecordLog(tmp_path)
    log.open()
    log.append([b"one"])
    with monkeypatch.context() as patch:
        Disk(patch, refused)
        with pytest.raises(StorageError):
            log.append([b"two"])
    log.append([b"three"])
    log.close()
    assert reopened(tmp_path) == [b"one", b"three"]


@pytest.mark.parametrize("refused", ["pwrite", "fsync", "rename"])
def test_a_rewrite_that_is_refused_leaves_the_old_file_in_force(tmp_path, monkeypatch, refused):
    log = RecordLog(tmp_path)
    log.open()
    log.append([b"one"])
    with monkeypatch.context() as patch:
        Disk(patch, refused)
        with pytest.raises(StorageError):
            log.rewrite([b"all"])
    log.append([b"two"])
    log.close()
    assert reopened(tmp_path) == [b"one", b"two"]


def test_the_new_file_is_synced_before_its_name_and_the_folder_before_anything_else(tmp_path, monkeypatch):
    log = RecordLog(tmp_path)
    log.open()
    disk = Disk(monkeypatch)
    log.rewrite([b"all"])
    assert disk.calls == ["pwrite", "fsync", "rename", "fsync"]


def test_a_folder_that_was_not_synced_is_before_the_next_append(tmp_path, monkeypatch):
    log = RecordLog(tmp_path)
    log.open()
    whole = RecordLog._sync_folder
    with monkeypatch.context() as patch:
        patch.setattr(RecordLog, "_sync_folder", lambda self: (_ for _ in ()).throw(OSError()))
        with pytest.raises(StorageError):
            log.rewrite([b"all"])
    synced = []
    monkeypatch.setattr(RecordLog, "_sync_folder", lambda self: (synced.append(1), whole(self)))
    log.append([b"two"])
    assert synced
    log.close()
    assert reopened(tmp_path) == [b"all", b"two"]


def test_what_a_killed_process_left_unsynced_is_synced_before_anything_rests_on_it(tmp_path, monkeypatch):
    log = RecordLog(tmp_path)
    log.open()
    log.append([b"one"])
    log.close()
    disk = Disk(monkeypatch)
    log.open()
    assert "fsync" in disk.calls
