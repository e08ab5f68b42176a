"""What is done next with a request: the order in which all is asked before a send. Pure.

Routes, homes, admission, servers and budgets are looked at anew for each step, so that a request that has
waited goes by what is in force at that moment.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from fordtrestle.admission.budgets import RetryBudget
from fordtrestle.admission.window import Admission
from fordtrestle.routing.evidence import Reporter
from fordtrestle.routing.intake import Intake
from fordtrestle.routing.pick import Prompt
from fordtrestle.routing.selection import Selection
from fordtrestle.routing.servers import Server
from fordtrestle.routing.table import Route
from fordtrestle.routing.view import View

PEERS_UNKNOWN = 1000  # sidecars that share a budget, while it is not known how many
SENDS_MOST = 4  # of one request, those that servers rejected included
UNREACHABLE_MOST = 4  # servers that a request may find unreachable before it is refused
NO_CONFIGURATION_S = 5.0  # that a request is taken to have where its route is not known
NO_ROUTE_TARGET_S = 1.0  # its objective, likewise
BACK_S = 4.0  # in which this sidecar, or another one of its region, is ready again
WAIT_SHARE = 0.3  # of the time that a request has, that it may wait before its first send
WAIT_MOST_S = 1.5


@dataclass(frozen=True, slots=True)
class Wanted:
    """What a client asks for. Times in s, of the loop's clock."""

    host: str
    path: str
    prompt: Prompt
    arrived: float
    given_s: float | None  # the time that the client gives it; nothing where it says none

    def has_s(self, at_most: float) -> float:
        """The time that the request has in all."""
        return at_most if self.given_s is None else min(at_most, self.given_s)


@dataclass(slots=True)
class Attempts:
    """What has become of a request so far."""

    tried: set[str] = field(default_factory=set)
    sends: int = 0  # that reached a server
    runs: int = 0  # sends that a server may have begun to work on
    unreachable: int = 0  # servers that could not be reached
    admitted: bool = False
    may_have_run: bool = False

    def sent(self, instance: str, rejected: bool) -> None:
        """A server was sent the request, and may have begun to work on it unless it rejected it."""
        self.tried.add(instance)
        self.sends += 1
        self.runs += not rejected

    def may_go_on(self, route: Route) -> bool:
        """Whether another server may be asked after a rejection."""
        return self.runs < route.max_attempts and self.sends < SENDS_MOST

    def may_run_again(self, route: Route) -> bool:
        """Whether another server may be asked although one may have run it."""
        return route.repeatable and self.runs < route.max_attempts

    @property
    def cannot_reach(self) -> bool:
        """Whether too many servers could not be reached."""
        return self.unreachable >= UNREACHABLE_MOST


@dataclass(frozen=True, slots=True)
class Send:
    """To this server, with an answer by `deadline` (s, loop clock)."""

    route: Route
    callee: str
    server: Server
    deadline: float


@dataclass(frozen=True, slots=True)
class Wait:
    """For news, until a time (s, loop clock); then it is refused for that reason."""

    until: float
    refusal: Refuse


@dataclass(frozen=True, slots=True)
class Refuse:
    """It has not run, as far as is known; the client may come back within about that time (s)."""

    target_s: float
    reason: str


@dataclass(frozen=True, slots=True)
class NoRoute:
    """No configuration in force has a route for it."""


Decision = Send | Wait | Refuse | NoRoute


@dataclass(slots=True)
class Decider:
    """Decides for all requests of one sidecar; `draw` is uniform in [0, 1)."""

    view: View
    admission: Admission
    retries: RetryBudget
    selection: Selection
    draw: Callable[[], float]
    intake: Intake = field(default_factory=Intake)
    reporter: Reporter = field(default_factory=Reporter)

    def next(self, wanted: Wanted, attempts: Attempts, now: float) -> Decision:
        """What is done now."""
        table = self.view.table
        if table is None:
            refusal = Refuse(NO_ROUTE_TARGET_S, "no configuration yet")
            return self._wait(wanted, attempts, NO_CONFIGURATION_S, refusal)
        route = table.match(wanted.host, wanted.path)
        if route is None:
            return NoRoute()
        if not self.intake.takes(route.type, wanted.prompt.tokens_out, wanted.arrived):
            return Refuse(BACK_S, "this sidecar ends")
        deadline = wanted.arrived + wanted.has_s(route.timeout_s)
        if now >= deadline:
            return Refuse(route.target_s, "the time is up")
        callee = route.backend(self.draw)
        if not self._admits(callee, attempts, now):
            return Refuse(route.target_s, "too many requests are turned away")
        server = self.selection.choose(route, callee, wanted.prompt, attempts.tried, now)
        if server is None:
            refusal = Refuse(route.target_s, "no server may take it")
            return self._wait(wanted, attempts, route.timeout_s, refusal)
        if attempts.sends and not self._may_send_again(callee, now):
            return Refuse(route.target_s, "the budget of second sends is used up")
        return Send(route, callee, server, deadline)

    def resume(self, wanted: Wanted, attempts: Attempts, now: float, deadline: float) -> Send | None:
        """The server that goes on with a stream which broke off; nothing where none may or can."""
        table = self.view.table
        route = table.match(wanted.host, wanted.path) if table else None
        if route is None or not route.resumable or attempts.runs >= route.max_attempts:
            return None
        if attempts.cannot_reach or now >= deadline:
            return None
        callee = route.backend(self.draw)
        server = self.selection.choose(route, callee, wanted.prompt, attempts.tried, now)
        if server is None or not self._may_send_again(callee, now):
            return None
        return Send(route, callee, server, deadline)

    def ended(self, server: Server, failed: bool, now: float) -> bool:
        """How a request ended at a server; whether that ejects it here."""
        self.reporter.note(server.record.service, server.instance, failed, now)
        return self.view.servers.note_end(server, failed, now)

    def _wait(self, wanted: Wanted, attempts: Attempts, timeout_s: float, refusal: Refuse) -> Wait | Refuse:
        """Before its first send a request may wait for a part of its time."""
        if attempts.sends:
            return refusal
        longest_s = min(WAIT_MOST_S, WAIT_SHARE * wanted.has_s(timeout_s))
        return Wait(wanted.arrived + longest_s, refusal)

    def _admits(self, callee: str, attempts: Attempts, now: float) -> bool:
        """The window's word, asked before any send, and not again once it has admitted the request."""
        if not attempts.admitted:
            self.retries.request(callee, now)
            attempts.admitted = self.admission.admits(callee, now)
        return attempts.admitted

    def _may_send_again(self, callee: str, now: float) -> bool:
        """Whether this sidecar's part of the budget of second sends has room, and count it if so."""
        sidecars = len(self.view.sidecars) if self.view.knows_peers(now) else PEERS_UNKNOWN
        return self.retries.allows(callee, sidecars, now)
