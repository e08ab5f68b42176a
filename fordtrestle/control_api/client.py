"""A client of the control endpoint: any process will do, unclear answers are asked for again."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from http import HTTPStatus
from types import TracebackType

import aiohttp

from fordtrestle.control_api.errors import UnreachableError
from fordtrestle.settings.records import Address

# For one process to answer: a write may wait for its turn and for an epoch change (`commands.py`).
ATTEMPT_TIMEOUT_S = 6.0

# Between two attempts, so that a core that is electing a primary is not flooded.
RETRY_S = 0.3

# In one attempt: a process that was primary may still be named by one that has not heard of the next.
MAX_REDIRECTS = 2

# What does not say whether the call was carried out. The same call may be sent again: calls are idempotent.
UNCLEAR_STATUSES = (
    HTTPStatus.REQUEST_TIMEOUT,
    HTTPStatus.TOO_MANY_REQUESTS,
    HTTPStatus.BAD_GATEWAY,
    HTTPStatus.SERVICE_UNAVAILABLE,
    HTTPStatus.GATEWAY_TIMEOUT,
)


@dataclass(frozen=True, slots=True)
class ControlResponse:
    """A clear answer of a control process.

    Attributes:
        status: The HTTP status.
        body: The body, in JSON.
    """

    status: int
    body: bytes


class ControlClient:
    """Calls control processes in turn until one gives a clear answer. Use it in `async with`."""

    def __init__(self, controls: Sequence[str], timeout_s: float) -> None:
        """Keep what to call.

        Args:
            controls: Control processes, each as HOST:PORT.
            timeout_s: For how long a call is sent again, in seconds.

        Raises:
            ValueError: One of them is no address.
        """
        self._controls = [str(Address.parse(control)) for control in controls]
        self._timeout_s = timeout_s

    async def __aenter__(self) -> ControlClient:
        self._session = aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=ATTEMPT_TIMEOUT_S))
        return self

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        await self._session.close()

    async def send(
        self, method: str, path: str, body: bytes = b"", headers: Mapping[str, str] | None = None
    ) -> ControlResponse:
        """Send a call, unchanged, until there is a clear answer.

        Args:
            method: The HTTP method.
            path: The path with its query.
            body: The body.
            headers: Header fields besides those of every call.

        Returns:
            The first clear answer.

        Raises:
            UnreachableError: There was none in time.
        """
        last = "no answer"
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self._timeout_s):
                for control in itertools.cycle(self._controls):
                    try:
                        response = await self._attempt(method, f"http://{control}{path}", body, headers or {})
                    except (aiohttp.ClientError, TimeoutError, OSError) as error:
                        last = f"{control}: {error or 'no answer'}"
                    else:
                        if response.status not in UNCLEAR_STATUSES:
                            return response
                        last = f"{control}: status {response.status}"
                    await asyncio.sleep(RETRY_S)
        raise UnreachableError(f"no clear answer within {self._timeout_s:g} s; last {last}")

    async def _attempt(
        self, method: str, url: str, body: bytes, headers: Mapping[str, str]
    ) -> ControlResponse:
        """The answer of one process, or of the primary that it names."""
        for _ in range(MAX_REDIRECTS + 1):
            async with self._session.request(
                method, url, data=body or None, headers=headers, allow_redirects=False
            ) as response:
                if response.status != HTTPStatus.TEMPORARY_REDIRECT:
                    return ControlResponse(response.status, await response.read())
                url = response.headers.get("Location", "")
        return ControlResponse(HTTPStatus.SERVICE_UNAVAILABLE.value, b"")
