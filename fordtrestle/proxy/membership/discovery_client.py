"""The discovery client: keeps a watch on a registry, and fetches complete lists on demand.

Time-outs and waits are in `timing`, with the reason for each.
"""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass

from fordtrestle.proxy.engine.log import log
from fordtrestle.proxy.engine.ports import Address, ServerList
from fordtrestle.proxy.membership import timing
from fordtrestle.proxy.membership.errors import FetchError, ListError, MembershipError
from fordtrestle.proxy.membership.list_format import NameIndices, decode_list
from fordtrestle.proxy.membership.registry_call import RegistryCall, RegistryConnection
from fordtrestle.proxy.membership.registry_protocol import PATH, ListReader, WatchReader, watch_target
from fordtrestle.proxy.membership.updates import UpdateForm, UpdateListener

MAX_LOGGED_CHARS = 200  # of the text of a fault, which may quote what the registry sent


@dataclass(frozen=True, slots=True)
class DiscoveryOptions:
    """What a discovery client is configured with.

    Attributes:
        address: Where the registry listens.
        indices: How zones and kinds of machine are numbered.
        is_pushed: Whether the client keeps a watch of its own; else the decision module asks for each list.
        known_list: The list as it was last known, which is reported first.
        seed: Of the jitter of waits.
    """

    address: Address
    indices: NameIndices
    is_pushed: bool
    known_list: ServerList
    seed: int


class DiscoveryClient:
    """Reports the endpoint list of a service, as a registry serves it, to `on_update`.

    Where lists are pushed, the watch is this class's own affair and is always restarted. Where they are asked
    for, the decision module calls `watch` and `fetch`, and is told of each failure.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, options: DiscoveryOptions, on_update: UpdateListener
    ) -> None:
        self._loop = loop
        self._address = options.address
        self._indices = options.indices
        self._is_pushed = options.is_pushed
        self._on_update = on_update
        self._version = options.known_list.version
        self._known_list = options.known_list
        self._random = random.Random(options.seed)
        self._watch_call: RegistryCall | None = None
        self._fetch_calls: set[RegistryCall] = set()
        self._has_moved = False  # until the new registry has sent its complete list
        # A list of a watch was malformed: what it said is unknown, so the next watch asks for everything.
        self._has_missed_list = False
        self._last_fault_at = -timing.FAULT_LOG_QUIET_S
        self._is_closed = False

    def start(self) -> None:
        """Report the list as it was last known, then watch if lists are pushed."""
        self._on_update(UpdateForm.REMEMBERED, self._known_list)
        if self._is_pushed:
            self._watch_call = RegistryCall(self._loop, self._keep_watching)

    def watch(self, on: bool) -> None:
        """Start or stop a single watch; called by the decision module where lists are asked for."""
        if self._is_pushed or self._is_closed:
            return
        if self._watch_call is not None:
            self._watch_call.cancel()
        self._watch_call = RegistryCall(self._loop, self._watch_once) if on else None

    def fetch(self) -> None:
        """Ask for the complete list once."""
        if not self._is_closed:
            self._fetch_calls.add(RegistryCall(self._loop, self._fetch_once))

    def move(self, address: Address) -> None:
        """Use another registry from now on; all calls in flight are made again there, at once.

        The versions of two registries can't be compared, so the new one is asked for its complete list.
        """
        if self._is_closed or address == self._address:
            return
        log(f"discovery: moves to {address.host}:{address.port}")
        self._address = address
        self._version = 0
        self._has_moved = True
        self._has_missed_list = False
        if self._watch_call is not None:
            self._watch_call.cancel()
            run = self._keep_watching if self._is_pushed else self._watch_once
            self._watch_call = RegistryCall(self._loop, run)
        for call in list(self._fetch_calls):
            self._fetch_calls.discard(call)
            call.cancel()
            self.fetch()

    def close(self) -> None:
        """Cancel all calls; nothing more is reported."""
        self._is_closed = True
        for call in self._fetch_calls:
            call.cancel()
        if self._watch_call is not None:
            self._watch_call.cancel()

    # --- watches -----------------------------------------------------------------

    async def _keep_watching(self, call: RegistryCall) -> None:
        """Watch for as long as this process runs; the wait doubles after each watch that was not stable."""
        wait_s = timing.MIN_BACKOFF_S
        while True:
            if await self._watch(call) >= timing.STABLE_AFTER_S:
                wait_s = timing.MIN_BACKOFF_S
            await asyncio.sleep(wait_s * (0.5 + 0.5 * self._random.random()))
            wait_s = min(2.0 * wait_s, timing.MAX_BACKOFF_S)

    async def _watch_once(self, call: RegistryCall) -> None:
        await self._watch(call)
        if not call.is_cancelled:
            self._watch_call = None
            self._on_update(UpdateForm.FAILED, None)

    async def _watch(self, call: RegistryCall) -> float:
        """Watch until the connection ends or goes silent; return for how many seconds it was alive."""
        try:
            if self._has_moved:
                self._report(UpdateForm.COMPLETE, await self._fetch_list(call))
            return await self._watch_changes(call)
        except FetchError:
            return 0.0  # logged already
        except Exception as error:
            # Without a watch, this process would go on sending to servers that drain.
            self._log_fault(repr(error))
            return 0.0
        finally:
            call.close()

    async def _watch_changes(self, call: RegistryCall) -> float:
        since = 0 if self._has_missed_list else self._version
        reader = WatchReader(self._on_watched_list)
        connection = await call.request(self._address, watch_target(since), reader.add_line)
        if connection is None:
            return 0.0
        await self._wait_until_silent(connection)
        if connection.fault:
            self._log_fault(connection.fault)
        return connection.alive_at - connection.asked_at

    async def _wait_until_silent(self, connection: RegistryConnection) -> None:
        """Wait until a connection ends or is past its deadline.

        The connections of a machine that was cut off from the network stay open, and silent.
        """
        while not connection.ended.done() and (left := connection.deadline - self._loop.time()) > 0.0:
            await asyncio.wait((connection.ended,), timeout=left)

    def _on_watched_list(self, text: bytes) -> None:
        """Report one list of a watch.

        Raises:
            ListError: It is malformed. That ends the watch, and the next one brings the complete list.
        """
        try:
            update = decode_list(text, self._indices)
        except ListError as error:
            self._has_missed_list = True
            raise ListError(f"not a list: {error}") from error
        if update.is_complete:
            self._report(UpdateForm.COMPLETE, update)
        elif update.version >= self._version:
            # The version held may come again, without entries: the answer to the request for a watch.
            self._report(UpdateForm.CHANGES, update)
        # Older changes were reported already, by a list that was fetched in the meantime.

    # --- complete lists ----------------------------------------------------------

    async def _fetch_once(self, call: RegistryCall) -> None:
        update: ServerList | None = None
        try:
            update = await self._fetch_list(call)
        except FetchError:
            pass  # logged already
        finally:
            self._fetch_calls.discard(call)  # before the report: the listener may move the calls in flight
        if update is None:
            self._on_update(UpdateForm.FAILED, None)
        else:
            self._report(UpdateForm.COMPLETE, update)

    async def _fetch_list(self, call: RegistryCall) -> ServerList:
        """Fetch the complete list.

        Raises:
            FetchError: The call failed, or its list is malformed or older than the one held; it is logged.
        """
        try:
            update = decode_list(await self._fetch_text(call), self._indices)
            if update.version < self._version:
                raise FetchError("the list is older than the one held")
        except MembershipError as error:
            self._log_fault(str(error))
            raise FetchError(str(error)) from error
        finally:
            call.close()
        return update

    async def _fetch_text(self, call: RegistryCall) -> bytearray:
        reader = ListReader()
        connection = await call.request(self._address, PATH, reader.add_line)
        if connection is None:
            raise FetchError("the call failed")
        await asyncio.wait((connection.ended,), timeout=timing.ANSWER_TIMEOUT_S)
        if not connection.is_complete:
            raise FetchError(connection.fault or "the call failed")
        return reader.text

    # --- reports -----------------------------------------------------------------

    def _report(self, form: UpdateForm, update: ServerList) -> None:
        self._version = update.version
        self._has_missed_list = False
        if form is UpdateForm.COMPLETE:
            self._has_moved = False
        self._on_update(form, update)

    def _log_fault(self, reason: str) -> None:
        """Log the first of faults that follow each other closely."""
        now = self._loop.time()
        if now - self._last_fault_at >= timing.FAULT_LOG_QUIET_S:
            log(f"discovery: {reason[:MAX_LOGGED_CHARS]}")
        self._last_fault_at = now
