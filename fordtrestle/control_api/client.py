"""A client of the control endpoint: any process will do, answers that are not clear are asked for again."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping, Sequence
from types import TracebackType

import aiohttp

from fordtrestle.settings.records import Address

TRY_S = 6.0
PAUSE_S = 0.3
REDIRECTS_MOST = 2
UNCLEAR = (408, 429, 502, 503, 504)


class Unreachable(Exception):
    """No control process gave a clear answer in time."""


class ControlClient:
    """Calls control processes in turn until one gives a clear answer. `ValueError`: no address."""

    def __init__(self, controls: Sequence[str], timeout_s: float) -> None:
        self._controls = [str(Address.parse(control)) for control in controls]
        self._timeout_s = timeout_s

    async def __aenter__(self) -> ControlClient:
        self._session = aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=TRY_S))
        return self

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        await self._session.close()

    async def send(
        self, method: str, path: str, body: bytes = b"", headers: Mapping[str, str] | None = None
    ) -> tuple[int, bytes]:
        """Status and body of the first clear answer to an unchanged call. Raises `Unreachable`."""
        last = "no answer"
        try:
            async with asyncio.timeout(self._timeout_s):
                attempt = 0
                while True:
                    control = self._controls[attempt % len(self._controls)]
                    attempt += 1
                    try:
                        status, text = await self._try(method, f"http://{control}{path}", body, headers or {})
                    except (aiohttp.ClientError, TimeoutError, OSError) as error:
                        last = f"{control}: {error or 'no answer'}"
                    else:
                        if status not in UNCLEAR:
                            return status, text
                        last = f"{control}: status {status}"
                    await asyncio.sleep(PAUSE_S)
        except TimeoutError:
            raise Unreachable(f"no clear answer within {self._timeout_s:g} s; last {last}") from None

    async def _try(self, method: str, url: str, body: bytes, headers: Mapping[str, str]) -> tuple[int, bytes]:
        for _ in range(REDIRECTS_MOST + 1):
            async with self._session.request(
                method, url, data=body or None, headers=headers, allow_redirects=False
            ) as answer:
                if answer.status != 307:
                    return answer.status, await answer.read()
                url = answer.headers.get("Location", "")
        return 503, b""
