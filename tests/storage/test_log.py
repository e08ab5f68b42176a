"""The record log on disks that tear, fail and lose writes: all synced records are read again, in order."""

from __future__ import annotations

import contextlib
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from fordtrestle.peer.codec import decode
from fordtrestle.peer.errors import CodecError
from fordtrestle.storage import log as log_module
from fordtrestle.storage.errors import StorageError, UnknownFormatError
from fordtrestle.storage.log import (
    FILE_NAME,
    FORMAT,
    HEADER,
    MAGIC,
    NEW_FILE_NAME,
    RecordLog,
)
from fordtrestle.storage.records import frame, scan
from tests.storage.disk import Disk, StoppedError

DIRECTORY = Path("data")

# With `derandomize`, Hypothesis derives the draws of a `@given` test from the source of its function. A test
# that is reworded has other draws, and may no longer notice that a guard is removed.


def write(directory, payloads):
    with RecordLog(directory) as log:
        log.open()
        log.append(payloads)


def reopen(directory):
    with RecordLog(directory) as log:
        return log.open()


def test_records_are_read_again(tmp_path):
    log = RecordLog(tmp_path / "data")
    assert log.open() == []
    log.append([b"one", b""])
    log.append([b"two"])
    log.close()
    assert reopen(tmp_path / "data") == [b"one", b"", b"two"]


@given(st.lists(st.binary(max_size=40), max_size=6), st.data())
def test_a_torn_tail_is_truncated_at_the_last_complete_record(payloads, data):
    complete = b"".join(map(frame, payloads))
    torn_at = data.draw(st.integers(0, len(complete)))
    found = [record.payload for record in scan(complete[:torn_at])]
    assert found == payloads[: len(found)]
    assert torn_at < len(complete) or found == payloads


@given(st.lists(st.binary(min_size=1, max_size=20), min_size=2, max_size=5), st.data())
def test_a_corrupt_record_ends_what_is_read(payloads, data):
    corrupt = bytearray(b"".join(map(frame, payloads)))
    offset = data.draw(st.integers(0, len(corrupt) - 1))
    corrupt[offset] ^= data.draw(st.integers(1, 255))
    found = [record.payload for record in scan(bytes(corrupt))]
    assert found == payloads[: len(found)]
    assert len(found) < len(payloads)


def test_appends_continue_after_a_truncated_tail(tmp_path):
    write(tmp_path, [b"one"])
    with open(tmp_path / FILE_NAME, "ab") as file:
        file.write(frame(b"torn")[:-1])
    write(tmp_path, [b"two"])
    assert reopen(tmp_path) == [b"one", b"two"]


def test_a_rewrite_replaces_all_records_and_appends_continue(tmp_path):
    log = RecordLog(tmp_path)
    log.open()
    log.append([b"one", b"two"])
    log.rewrite([b"all"])
    log.append([b"three"])
    log.close()
    assert reopen(tmp_path) == [b"all", b"three"]


def test_an_unfinished_rewrite_changes_nothing(tmp_path):
    write(tmp_path, [b"one"])
    (tmp_path / NEW_FILE_NAME).write_bytes(frame(b"half")[:-2])
    assert reopen(tmp_path) == [b"one"]
    assert not (tmp_path / NEW_FILE_NAME).exists()


@pytest.fixture
def disk(monkeypatch):
    """Replace the machine's disk by one that loses unsynced writes."""
    disk = Disk()
    monkeypatch.setattr(log_module, "os", disk)
    return disk


@contextlib.contextmanager
def failing(disk, *calls):
    """Make these disk calls fail within the context."""
    disk.failing_calls = set(calls)
    yield
    disk.failing_calls = set()


def opened(disk):
    """Open the log as a newly started process does; return the log and its records."""
    log = RecordLog(DIRECTORY)
    return log, log.open()


@pytest.mark.parametrize("failing_call", ["pwrite", "fdatasync"])
def test_a_failed_append_leaves_the_records_as_they_were(disk, failing_call):
    log, _ = opened(disk)
    log.append([b"one"])
    with failing(disk, failing_call), pytest.raises(StorageError):
        log.append([b"two"])
    log.append([b"three"])
    disk.lose_power()
    assert opened(disk)[1] == [b"one", b"three"]


def test_no_record_of_a_failed_append_is_read_after_the_next_one(disk):
    log, _ = opened(disk)
    with failing(disk, "fdatasync", "ftruncate"):
        with pytest.raises(StorageError):
            log.append([b"one", b"two"])
        with pytest.raises(StorageError):
            log.append([b"six"])
    log.append([b"six"])
    disk.kill()
    assert opened(disk)[1] == [b"six"]


@pytest.mark.parametrize("failing_call", ["pwrite", "fsync", "rename"])
def test_a_failed_rewrite_leaves_the_old_file_valid(disk, failing_call):
    log, _ = opened(disk)
    log.append([b"one"])
    with failing(disk, failing_call), pytest.raises(StorageError):
        log.rewrite([b"all"])
    log.append([b"two"])
    disk.lose_power()
    assert opened(disk)[1] == [b"one", b"two"]


def test_a_rewrite_syncs_the_file_before_its_name_and_the_directory_after_it(disk):
    log, _ = opened(disk)
    disk.calls.clear()
    log.rewrite([b"all"])
    calls = [call for call, before in zip(disk.calls, [None, *disk.calls], strict=False) if call != before]
    assert calls == ["open", "pwrite", "fsync", "rename", "fsync-directory"]


@pytest.mark.parametrize("seed", range(8))
def test_a_directory_that_was_not_synced_is_synced_before_the_next_append(disk, seed):
    disk.rng.seed(seed)
    log, _ = opened(disk)
    with failing(disk, "fsync-directory"), pytest.raises(StorageError):
        log.rewrite([b"all"])
    log.append([b"two"])
    disk.lose_power()
    assert opened(disk)[1] == [b"all", b"two"]


def test_no_record_after_a_corrupt_one_is_read_once_that_is_overwritten(disk):
    log, _ = opened(disk)
    log.append([b"one", b"two"])
    (file,) = disk.names.values()
    file.data[len(frame(b"one")) - 1] ^= 1
    disk.kill()
    log, records = opened(disk)
    assert records == []
    log.append([b"six"])
    disk.kill()
    assert opened(disk)[1] == [b"six"]


def test_records_that_a_killed_process_did_not_sync_are_synced_when_they_are_read(disk):
    log, _ = opened(disk)
    log.append([b"one"])
    disk.stop_at = len(disk.calls) + 2  # the write takes effect, but the sync does not
    disk.rng.random = lambda: 0.9  # writes are complete; the call that stops the process has no effect
    with pytest.raises(StoppedError):
        log.append([b"two"])
    del disk.rng.random
    disk.kill()
    log, records = opened(disk)
    assert records == [b"one", b"two"]
    disk.lose_power()
    assert opened(disk)[1] == records


def test_a_name_that_a_killed_process_did_not_sync_is_synced_when_its_file_is_read(disk):
    log, _ = opened(disk)
    log.append([b"one"])
    with failing(disk, "fsync-directory"), pytest.raises(StorageError):
        log.rewrite([b"all"])
    disk.kill()
    log, records = opened(disk)
    assert records == [b"all"]
    for _ in range(20):
        disk.lose_power()
    assert opened(disk)[1] == records


@given(seed=st.integers(0, 2**32), data=st.data())
def test_records_that_were_written_or_read_survive_any_loss_of_power(seed, data):
    """Any calls, each ended at any point by a kill or a loss of power."""
    disk = Disk(seed)
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(log_module, "os", disk)
        log, expected = opened(disk)
        for number in range(data.draw(st.integers(1, 8))):
            payloads = [f"{number}.{part}".encode() * part for part in range(data.draw(st.integers(1, 4)))]
            is_rewrite = data.draw(st.booleans())
            may_hold = (
                [payloads] if is_rewrite else [expected + payloads[: n + 1] for n in range(len(payloads))]
            )
            if data.draw(st.booleans()):
                disk.stop_at = len(disk.calls) + data.draw(st.integers(1, 6))
            try:
                (log.rewrite if is_rewrite else log.append)(payloads)
                expected = may_hold[-1]
                if disk.stop_at is None and data.draw(st.booleans()):
                    continue
            except StoppedError:
                may_hold.append(expected)
                expected = None
            data.draw(st.sampled_from([disk.kill, disk.lose_power]))()
            log, found = opened(disk)
            assert found == expected if expected is not None else found in may_hold
            expected = found
            if data.draw(st.booleans()):
                disk.lose_power()
                log, found = opened(disk)
                assert found == expected, "what was read was not on disk yet"


def test_a_file_of_an_unknown_format_is_refused_and_unchanged(tmp_path):
    later = frame(MAGIC + b"3") + b"whatever a later version writes"
    (tmp_path / FILE_NAME).write_bytes(later)
    with pytest.raises(UnknownFormatError, match=r"format 3; this version reads 1, 2"):
        RecordLog(tmp_path).open()
    assert (tmp_path / FILE_NAME).read_bytes() == later


def test_a_file_without_a_header_is_read_and_gets_one_with_its_rewrite(tmp_path):
    (tmp_path / FILE_NAME).write_bytes(frame(b"one"))
    log = RecordLog(tmp_path)
    assert log.open() == [b"one"]
    log.append([b"two"])
    log.close()
    assert reopen(tmp_path) == [b"one", b"two"]
    log.open()
    log.rewrite([b"all"])
    log.close()
    assert (tmp_path / FILE_NAME).read_bytes().startswith(HEADER)
    assert reopen(tmp_path) == [b"all"]


def test_a_version_without_headers_refuses_one():
    """It decodes each record as a message, and leaves the file alone if it cannot."""
    with pytest.raises(CodecError):
        decode(MAGIC + FORMAT)


@pytest.mark.parametrize("length", range(len(HEADER) + 3))
def test_a_torn_header_is_truncated(tmp_path, length):
    (tmp_path / FILE_NAME).write_bytes((HEADER + frame(b"one"))[:length])
    log = RecordLog(tmp_path)
    assert log.open() == []
    log.append([b"two"])
    log.close()
    assert reopen(tmp_path) == [b"two"]


def test_a_file_of_an_older_format_is_outdated_until_it_is_rewritten(tmp_path):
    (tmp_path / FILE_NAME).write_bytes(frame(MAGIC + b"1") + frame(b"one"))
    log = RecordLog(tmp_path)
    assert log.open() == [b"one"]
    assert log.is_outdated
    log.rewrite([b"one"])
    assert not log.is_outdated
    log.open()
    assert not log.is_outdated
    log.close()
