"""Opening a store rewrites a file of an older format, since older versions would drop new fields from it."""

from __future__ import annotations

import asyncio

from fordtrestle.peer.codec import encode
from fordtrestle.replication.durable import Durable
from fordtrestle.roles.control_store import open_store
from fordtrestle.storage.log import FILE_NAME, HEADER, MAGIC, RecordLog
from fordtrestle.storage.records import frame


def test_a_file_of_an_older_format_has_the_newest_format_once_its_store_is_open(tmp_path):
    records = [frame(encode(record)) for record in Durable("s1").snapshot()]
    (tmp_path / FILE_NAME).write_bytes(frame(MAGIC + b"1") + b"".join(records))
    with RecordLog(tmp_path) as log:
        durable = asyncio.run(open_store(log, must_bootstrap=False))
    assert durable.store == "s1"
    assert (tmp_path / FILE_NAME).read_bytes().startswith(HEADER)
