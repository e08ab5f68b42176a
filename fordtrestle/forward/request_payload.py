"""The body of a request to a server, written in parts."""

from __future__ import annotations

from aiohttp.abc import AbstractStreamWriter
from aiohttp.payload import Payload


class PartsPayload(Payload):
    """A body that is written part by part, as fast as its server reads.

    aiohttp writes a body in one piece, and what its server has not read is then held a second time in the
    buffer of the connection.
    """

    _autoclose = True  # there is nothing to close

    def __init__(self, parts: tuple[bytes, ...]) -> None:
        """Create the payload of a body with these parts."""
        super().__init__(parts)
        self._size = sum(map(len, parts))

    def decode(self, encoding: str = "utf-8", errors: str = "strict") -> str:
        """Return the body as text."""
        return b"".join(self._value).decode(encoding, errors)

    async def write(self, writer: AbstractStreamWriter) -> None:
        """Write the body."""
        for part in self._value:
            await writer.write(part)

    async def write_with_length(self, writer: AbstractStreamWriter, content_length: int | None) -> None:
        """Write the body, whose length is `content_length`."""
        await self.write(writer)
