"""The file store on a real folder: syncs use the writing descriptor, and only one process has the lock."""

from __future__ import annotations

import contextlib
import errno
import os
import subprocess
import sys

import pytest

from fordtrestle.proxy.state import posix_file_store
from fordtrestle.proxy.state.posix_file_store import PosixFileStore


@pytest.fixture
def folder(tmp_path):
    return tmp_path / "above" / "state"


@pytest.fixture
def store(folder):
    with contextlib.closing(PosixFileStore(str(folder))) as opened:
        yield opened


def open_descriptors():
    return len(os.listdir("/proc/self/fd"))


def test_an_appended_file_can_be_read_replaced_and_removed(store):
    store.append("a", b"one")
    store.append("a", b"two")
    store.append("b", b"old")
    store.sync("a")
    store.replace("a", "b")
    store.append("b", b"!")  # appended to the renamed file
    store.sync("b")
    store.sync_folder()
    assert store.names() == store.names() == ["b"]
    assert store.read("b", 7) == b"onetwo!"
    store.remove("b")
    store.remove("b")
    store.append("b", b"new")
    assert store.read("b", 9) == b"new"
    with pytest.raises(FileNotFoundError):
        store.read("a", 9)
    with pytest.raises(FileNotFoundError):
        store.sync("a")


def test_folder_and_files_are_accessible_to_their_owner_only(store, folder):
    store.append("a", b"")
    assert [path.stat().st_mode & 0o777 for path in (folder, folder.parent, folder / "a")] == [
        *(0o700, 0o700, 0o600)
    ]


@pytest.mark.parametrize("name", ["", ".", "..", ".a", "a/b", "/a", "a\n", "a\0", "ä", "a" * 129])
def test_a_name_that_leads_out_of_the_folder_is_rejected(store, name):
    calls = (lambda: store.append(name, b""), lambda: store.read(name, 1), lambda: store.remove(name))
    for call in (*calls, lambda: store.replace(name, "a"), lambda: store.replace("a", name)):
        with pytest.raises(ValueError, match="not a valid file name"):
            call()


def test_links_are_not_followed_and_pipes_are_not_waited_for(store, folder, tmp_path):
    (tmp_path / "secret").write_bytes(b"s")
    (folder / "link").symlink_to(tmp_path / "secret")
    os.mkfifo(folder / "pipe")
    for call in (lambda: store.read("link", 9), lambda: store.append("link", b"x")):
        with pytest.raises(OSError, match="symbolic"):
            call()
    with pytest.raises(OSError, match="No such device"):
        store.append("pipe", b"x")
    assert store.read("pipe", 9) == b""
    assert store.names() == []


def test_a_file_larger_than_the_limit_is_not_read(store):
    store.append("a", b"12345")
    with pytest.raises(OSError, match="more than 4 bytes") as raised:
        store.read("a", 4)
    assert raised.value.errno == errno.EFBIG


def test_short_writes_are_continued(store, monkeypatch):
    write = os.write
    monkeypatch.setattr(os, "write", lambda descriptor, data: write(descriptor, data[:3]))
    store.append("a", b"0123456789")
    assert store.read("a", 99) == b"0123456789"


def test_a_file_is_synced_through_the_descriptor_that_wrote_it(store, monkeypatch):
    written, synced, write = [], [], os.write
    monkeypatch.setattr(os, "write", lambda fd, data: written.append(fd) or write(fd, data))
    monkeypatch.setattr(os, "fsync", synced.append)
    store.append("a", b"x")
    store.replace("a", "b")
    monkeypatch.delattr(os, "open")
    store.sync("b")
    assert synced == written


def test_the_name_of_a_folder_that_is_created_is_synced(folder, monkeypatch):
    synced = []
    monkeypatch.setattr(os, "fsync", lambda fd: synced.append(os.readlink(f"/proc/self/fd/{fd}")))
    PosixFileStore(str(folder)).close()
    assert synced == [str(folder.parent.parent), str(folder.parent)]


def test_few_descriptors_stay_open_and_the_oldest_is_synced_before_it_is_closed(store, monkeypatch):
    synced, fsync = [], os.fsync
    monkeypatch.setattr(
        os, "fsync", lambda fd: synced.append(os.readlink(f"/proc/self/fd/{fd}")[-1]) or fsync(fd)
    )
    before = open_descriptors()
    for name in "abcdaefgh":
        store.append(name, b"x")
    assert open_descriptors() - before == posix_file_store.MAX_OPEN_FILES
    assert synced == ["b", "c", "d", "a"]
    store.replace("h", "g")
    store.remove("g")
    assert open_descriptors() - before == posix_file_store.MAX_OPEN_FILES - 2
    store.close()
    store.close()
    assert open_descriptors() - before == -1
    with pytest.raises(OSError, match="Bad file descriptor"):
        store.read("a", 1)


@pytest.mark.parametrize("case", ["file", "folder", "oldest"])
def test_nothing_is_written_after_a_failed_sync(store, monkeypatch, case):
    def fails(descriptor):
        raise OSError(errno.EIO, "Input/output error")

    for name in "abcd":
        store.append(name, b"x")
    with monkeypatch.context() as broken:
        broken.setattr(os, "fsync", fails)
        failing = {"file": lambda: store.sync("a"), "folder": store.sync_folder}
        with pytest.raises(OSError, match="Input/output error"):
            failing.get(case, lambda: store.append("e", b"x"))()
    # The kernel would report success from now on.
    calls = (lambda: store.sync("a"), store.sync_folder, lambda: store.append("b", b"x"))
    for call in (*calls, lambda: store.replace("a", "b")):
        with pytest.raises(OSError, match="an earlier sync failed"):
            call()
    assert store.read("a", 9) == b"x"


def test_a_second_process_can_not_open_a_locked_folder(store, folder):
    code = (
        "import sys; from fordtrestle.proxy.state.posix_file_store import PosixFileStore as S; S(sys.argv[1])"
    )
    command = [sys.executable, "-c", code, str(folder)]
    rejected = subprocess.run(command, capture_output=True, text=True, timeout=30.0)
    assert rejected.stderr.splitlines()[-1].endswith(f"another process has locked this folder: '{folder}'")
    store.close()
    assert subprocess.run(command, timeout=30.0).returncode == 0


def test_a_folder_that_can_not_be_created_is_one_clear_error(tmp_path):
    (tmp_path / "file").write_bytes(b"")
    for path in ("file", "file/below"):
        with pytest.raises(OSError, match="file"):
            PosixFileStore(str(tmp_path / path))
