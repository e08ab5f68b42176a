"""Opens the store of a control process, or creates a new one."""

from __future__ import annotations

import asyncio
import secrets

import eliot

from fordtrestle.peer.codec import decode, encode
from fordtrestle.replication.durable import Durable
from fordtrestle.storage.errors import StorageError, UnknownFormatError
from fordtrestle.storage.log import RecordLog

STORE_ID_BYTES = 8  # 64 random bits make a collision within a deployment negligible

# Between two attempts on a failing disk. The fault may pass (a full disk), and there is no alternative.
DISK_RETRY_S = 0.5


async def open_store(log: RecordLog, must_bootstrap: bool) -> Durable:
    """Read the store from disk, or write a new one. Retries for as long as the disk fails.

    A new store is on disk before it is returned. If it communicated first and then lost power, it would come
    back under another identity while the first one is still counted.

    Args:
        log: The log, not opened yet.
        must_bootstrap: Whether a new store is to bootstrap the core; ignored if there is a store on disk.

    Returns:
        The state of the store, as it is on disk.

    Raises:
        CodecError: A record is of another version, or is not a record.
        UnknownFormatError: The file has the format of another version.
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
        # Otherwise an older version could rewrite the file later, without the new records' unknown fields.
        await asyncio.to_thread(log.rewrite, [encode(record) for record in durable.snapshot()])
    return durable
