"""Opens the store of a control process: what its disk holds, or a new one."""

from __future__ import annotations

import asyncio
import secrets

import eliot

from fordtrestle.peer.codec import decode, encode
from fordtrestle.replication.durable import Durable
from fordtrestle.storage.errors import StorageError, UnknownFormatError
from fordtrestle.storage.log import RecordLog

STORE_ID_BYTES = 8  # 64 random bits: no two disks of a deployment get the same by chance

# Between two tries of a disk that refuses. Its fault may pass (a full disk), and there is nobody else to ask.
DISK_RETRY_S = 0.5


async def open_store(log: RecordLog, must_bootstrap: bool) -> Durable:
    """Read what the disk holds, or write a new store to it. Waits for a disk that refuses.

    A new store is on disk before it is returned: one that spoke to others first, and lost power, would come
    back under another identity while the first is still counted.

    Args:
        log: The log, not opened yet.
        must_bootstrap: Whether a new store is to bootstrap the core. What is on disk outdoes it.

    Returns:
        The state of the store, on disk.

    Raises:
        CodecError: The file is of another version, or no log.
        UnknownFormatError: The file is of another version.
    """
    while True:
        try:
            return await _read_or_create(log, must_bootstrap)
        except UnknownFormatError:
            raise
        except StorageError as error:
            eliot.log_message("control:disk-refuses", reason=repr(error.__cause__))
            await asyncio.sleep(DISK_RETRY_S)


async def _read_or_create(log: RecordLog, must_bootstrap: bool) -> Durable:
    records = await asyncio.to_thread(log.open)
    durable = Durable.restore(map(decode, records))
    if durable is None:
        durable = Durable(secrets.token_hex(STORE_ID_BYTES), must_bootstrap)
        await asyncio.to_thread(log.append, [encode(record) for record in durable.snapshot()])
    elif log.is_outdated:
        # Whatever is appended from here on, an older version would rewrite without the fields that it lacks.
        await asyncio.to_thread(log.rewrite, [encode(record) for record in durable.snapshot()])
    return durable
