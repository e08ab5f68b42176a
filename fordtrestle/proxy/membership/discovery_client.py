"""The discovery client: watches a registry for changes, and fetches complete lists on demand.

Timeouts and waits are in `timing`, with the reason for each.
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

MAX_LOGGED_CHARS = 200  # of a fault, which may quote data of the registry


@dataclass(frozen=True, slots=True)
class DiscoveryOptions:
    """The options of a discovery client.

    Attributes:
        address: The address of the registry.
        indices: The indices of zones and machine kinds.
        is_pushed: Whether the client keeps a watch open by itself; otherwise the decision module requests
            each watch and list.
        known_list: The last known list, which is reported first.
        seed: The seed of the jitter of waits.
    """

    address: Address
    indices: NameIndices
    is_pushed: bool
    known_list: ServerList
    seed: int


class DiscoveryClient:
    """Reports the endpoint list of a service, as served by a registry, to `on_update`.

    If lists are pushed, this class keeps a watch and restarts it whenever it ends. Otherwise the decision
    module calls `watch` and `fetch`, and each failure is reported to it.
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
        self._has_moved = False  # until the complete list of the new registry is reported
        # Set after a malformed list in a watch: its content is unknown, so the next watch requests
        # everything.
        self._has_missed_list = False
        self._last_fault_at = -timing.FAULT_LOG_QUIET_S
        self._is_closed = False

    def start(self) -> None:
        """Report the last known list, then start the watch if lists are pushed."""
        self._on_update(UpdateForm.REMEMBERED, self._known_list)
        if self._is_pushed:
            self._watch_call = RegistryCall(self._loop, self._keep_watching)

    def watch(self, on: bool) -> None:
        """Start or stop a single watch; called by the decision module if lists are not pushed."""
        if self._is_pushed or self._is_closed:
            return
        if self._watch_call is not None:
            self._watch_call.cancel()
        self._watch_call = RegistryCall(self._loop, self._watch_once) if on else None

    def fetch(self) -> None:
        """Request the complete list once."""
        if not self._is_closed:
            self._fetch_calls.add(RegistryCall(self._loop, self._fetch_once))

    def move(self, address: Address) -> None:
        """Switch to another registry; all calls in flight are repeated there at once.

        The versions of two registries can't be compared, so the complete list of the new one is requested.
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
        """Cancel all calls; no update is reported afterwards."""
        self._is_closed = True
        for call in self._fetch_calls:
            call.cancel()
        if self._watch_call is not None:
            self._watch_call.cancel()

    # --- watches -----------------------------------------------------------------

    async def _keep_watching(self, call: RegistryCall) -> None:
        """Restart the watch whenever it ends; the backoff doubles after each watch that was not stable."""
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
        """Watch until the connection ends or goes silent.

        Returns:
            For how many seconds the watch was alive.
        """
        try:
            if self._has_moved:
                self._report(UpdateForm.COMPLETE, await self._fetch_list(call))
            return await self._watch_changes(call)
        except FetchError:
            return 0.0  # already logged
        except Exception as error:
            # The watch must be restarted: without it, this process would go on sending to draining servers.
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
        return connection.alive_at - connection.requested_at

    async def _wait_until_silent(self, connection: RegistryConnection) -> None:
        """Wait until a connection ends or its deadline has passed.

        When a machine is partitioned from the network, its connections stay open and silent.
        """
        while not connection.ended.done() and (left := connection.deadline - self._loop.time()) > 0.0:
            await asyncio.wait((connection.ended,), timeout=left)

    def _on_watched_list(self, text: bytes) -> None:
        """Report one list of a watch.

        Raises:
            ListError: The list is malformed. The error ends the watch, and the next one starts with the
                complete list.
        """
        try:
            update = decode_list(text, self._indices)
        except ListError as error:
            self._has_missed_list = True
            raise ListError(f"not a list: {error}") from error
        if update.is_complete:
            self._report(UpdateForm.COMPLETE, update)
        elif update.version >= self._version:
            # The current version may be sent again without entries, in response to the request for a watch.
            self._report(UpdateForm.CHANGES, update)
        # Older changes are ignored: a complete list that was fetched in the meantime includes them.

    # --- complete lists ----------------------------------------------------------

    async def _fetch_once(self, call: RegistryCall) -> None:
        update: ServerList | None = None
        try:
            update = await self._fetch_list(call)
        except FetchError:
            pass  # already logged
        finally:
            self._fetch_calls.discard(call)  # before the report, since the listener may call `move`
        if update is None:
            self._on_update(UpdateForm.FAILED, None)
        else:
            self._report(UpdateForm.COMPLETE, update)

    async def _fetch_list(self, call: RegistryCall) -> ServerList:
        """Fetch the complete list.

        Raises:
            FetchError: The call failed, or its list is malformed or older than the current one. The failure
                is already logged.
        """
        try:
            update = decode_list(await self._fetch_text(call), self._indices)
            if update.version < self._version:
                raise FetchError("the list is older than the current one")
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
        """Log a fault, unless another one occurred within the last FAULT_LOG_QUIET_S."""
        now = self._loop.time()
        if now - self._last_fault_at >= timing.FAULT_LOG_QUIET_S:
            log(f"discovery: {reason[:MAX_LOGGED_CHARS]}")
        self._last_fault_at = now
