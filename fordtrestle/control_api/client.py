"""A client of the control endpoint that uses any control process and retries inconclusive answers."""

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

# Time limit for the answer of one process: a write may wait for other writes and for an epoch change
# (`commands.py`).
ATTEMPT_TIMEOUT_S = 6.0

# Wait between two attempts, so that a core that is electing a primary is not flooded.
RETRY_S = 0.3

# Redirects followed in one attempt: a process that does not know the new primary yet may name the old one.
MAX_REDIRECTS = 2

# Statuses that do not tell whether the call was executed. Calls are idempotent, so it may be sent again.
RETRY_STATUSES = (
    HTTPStatus.REQUEST_TIMEOUT,
    HTTPStatus.TOO_MANY_REQUESTS,
    HTTPStatus.BAD_GATEWAY,
    HTTPStatus.SERVICE_UNAVAILABLE,
    HTTPStatus.GATEWAY_TIMEOUT,
)


@dataclass(frozen=True, slots=True)
class ControlResponse:
    """The response of a control process.

    Attributes:
        status: The HTTP status.
        body: The body in JSON.
    """

    status: int
    body: bytes


class ControlClient:
    """Calls control processes in turn until one gives a conclusive answer. Use it in `async with`."""

    def __init__(self, controls: Sequence[str], timeout_s: float) -> None:
        """Create a client that is not connected yet.

        Args:
            controls: The control processes, each as HOST:PORT.
            timeout_s: For how long a call is retried, in seconds.

        Raises:
            ValueError: A control process is not given as HOST:PORT.
        """
        self._controls = [str(Address.parse(control)) for control in controls]
        self._timeout_s = timeout_s

    async def __aenter__(self) -> ControlClient:
        self._session = aiohttp.ClientSession(
            # Answers contain no request id: only on a connection of its own does one belong to its attempt.
            connector=aiohttp.TCPConnector(force_close=True),
            timeout=aiohttp.ClientTimeout(total=ATTEMPT_TIMEOUT_S),
        )
        return self

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        await self._session.close()

    async def send(
        self, method: str, path: str, body: bytes = b"", headers: Mapping[str, str] | None = None
    ) -> ControlResponse:
        """Send a call, unchanged, until there is a conclusive answer.

        Args:
            method: The HTTP method.
            path: The path, including the query.
            body: The body.
            headers: Additional header fields.

        Returns:
            The first conclusive answer.

        Raises:
            UnreachableError: There was no conclusive answer in time.
        """
        last_answer = "no answer"
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self._timeout_s):
                for control in itertools.cycle(self._controls):
                    try:
                        response = await self._attempt(method, f"http://{control}{path}", body, headers or {})
                    except (aiohttp.ClientError, TimeoutError, OSError) as error:
                        last_answer = f"{control}: {error or 'no answer'}"
                    else:
                        if response.status not in RETRY_STATUSES:
                            return response
                        last_answer = f"{control}: status {response.status}"
                    await asyncio.sleep(RETRY_S)
        raise UnreachableError(f"no conclusive answer within {self._timeout_s:g} s; last: {last_answer}")

    async def _attempt(
        self, method: str, url: str, body: bytes, headers: Mapping[str, str]
    ) -> ControlResponse:
        """Return the answer of one process, or of the primary to which it redirects."""
        for _ in range(MAX_REDIRECTS + 1):
            async with self._session.request(
                method, url, data=body or None, headers=headers, allow_redirects=False
            ) as response:
                if response.status != HTTPStatus.TEMPORARY_REDIRECT:
                    return ControlResponse(response.status, await response.read())
                url = response.headers.get("Location", "")
        return ControlResponse(HTTPStatus.SERVICE_UNAVAILABLE.value, b"")
