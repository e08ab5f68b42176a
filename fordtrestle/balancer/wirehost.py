"""The wire adapter: translates lines of the simulator's wire to events, and actions to lines."""

from __future__ import annotations

import base64
import json
import os
import sys
from collections.abc import Callable, Iterable
from typing import Any, TextIO

from fordtrestle.balancer import model
from fordtrestle.balancer.balancer import Balancer

FORMS = ("changes", "all", "remembered", "refused")
STATES = ("active", "leaving", "left")


class BalancerError(Exception):
    """The base of the errors that end the adapter."""


class WireError(BalancerError):
    """A line is not valid on the wire."""


class ModuleError(BalancerError):
    """The decision module raised an exception."""


_FORMATS: dict[type, Callable[[Any], str]] = {
    model.Send: lambda a: f"relay RequestId={a.request} Server={a.server} Timeout={a.timeout:.3f}",
    model.Refuse: lambda a: f"busy RequestId={a.request} ComeBack={a.retry_after:.3f}",
    model.Fail: lambda a: f"finish_error RequestId={a.request}",
    model.Cancel: lambda a: f"retract RequestId={a.request} Hop={a.attempt}",
    model.Timer: lambda a: f"defer SleepFor={a.delay:.3f} Tag={a.token}",
    model.Fetch: lambda a: "resolve",
    model.Watch: lambda a: f"subscribe Want={int(a.on)}",
    model.Probe: lambda a: f"poll Server={a.server}",
    model.CloseIdle: lambda a: f"close_idle Server={a.server}",
    model.Tell: lambda a: (
        f"tell Whom={'*' if a.peer is None else a.peer} Msg={base64.b64encode(a.data).decode() or '-'}"
    ),
    model.Log: lambda a: f"log ReasonText={a.text}",
}


def _members(line: str, text: str = "") -> dict[str, str]:
    """Parse the name=value pairs of a line; the value of `text`, if given, extends to the end of the line."""
    tail = None
    if text:
        line, found, tail = line.partition(f" {text}=")
        if not found:
            raise WireError(f"expected {text}=value, which is missing")
    members = {}
    for part in line.split(" ")[1:]:
        name, found, value = part.partition("=")
        if not found:
            raise WireError(f"expected name=value, not {part!r}")
        members[name] = value
    if tail is not None:
        members[text] = tail
    return members


def _report(text: str) -> dict[str, float]:
    report = {}
    for pair in text.split(","):
        name, found, value = pair.partition(":")
        if not found:
            raise WireError(f"Report: expected name:value, not {pair!r}")
        report[name] = float(value)
    return report


def _bytes(text: str) -> bytes:
    return b"" if text == "-" else base64.b64decode(text, validate=True)


class Host:
    """Serves the balancer instances of one process, batch by batch."""

    def __init__(self, source: TextIO, sink: TextIO) -> None:
        self._source = source
        self._sink = sink
        self._line_number = 0
        self._balancers: dict[str, Balancer] = {}
        self._lists: dict[int, list[model.Listing]] = {}
        self._instance: str | None = None
        self._speaker: str | None = None
        self._replies: list[str] = []
        self._now = 0.0
        self._events: dict[str, Callable[[str], None]] = {
            "context": self._context,
            "born": self._born,
            "snapshot_rows": self._snapshot_rows,
            "discovery": self._discovery,
            "arrival": self._arrival,
            "verdict": self._verdict,
            "tick_due": self._tick_due,
            "first": self._first,
            "ping_result": self._ping_result,
            "whisper": self._whisper,
            "aborted": self._aborted,
            "kill": self._kill,
        }

    def run(self) -> int:
        """Answer batches until the input ends.

        Returns:
            The exit code of the process.
        """
        try:
            while self._batch():
                pass
        except (WireError, ValueError, KeyError) as error:
            message = f"{error.args[0]} is missing" if isinstance(error, KeyError) else error
            print(f"line {self._line_number}: {message}", file=sys.stderr)
            return 1
        except ModuleError as error:
            self._fatal(error)
            return 1
        return 0

    def _read(self) -> str | None:
        line = self._source.readline()
        if not line:
            return None
        self._line_number += 1
        return line.rstrip("\n")

    def _batch(self) -> bool:
        line = self._read()
        if line is None:
            return False
        if line.partition(" ")[0] != "sync":
            raise WireError(f"expected sync, not {line[:60]!r}")
        members = _members(line)
        self._now, sequence = float(members["Now"]), int(members["seq"])
        self._instance = self._speaker = None
        self._replies = []
        events = self._events
        while True:
            line = self._read()
            if line is None:
                raise WireError("the input ends without over_to_you, which was expected to end the batch")
            kind = line.partition(" ")[0]
            if kind == "over_to_you":
                break
            event = events.get(kind)
            if event is None:
                raise WireError(f"unknown message {kind[:60]!r}")
            event(line)
        self._replies.append(f"yield seq={sequence}\n")
        self._sink.write("\n".join(self._replies))
        self._sink.flush()
        return True

    def _fatal(self, error: ModuleError) -> None:
        cause = error.__cause__
        text = " ".join(f"{type(cause).__name__}: {cause}".split())
        self._sink.write(f"speaking SidecarId={self._instance}\nfatal ReasonText={text}\n")
        self._sink.flush()
        print(f"line {self._line_number}: {text}", file=sys.stderr)

    def _balancer(self) -> Balancer:
        if self._instance is None:
            raise WireError("event before any context: expected a context line first")
        balancer = self._balancers.get(self._instance)
        if balancer is None:
            raise WireError(f"{self._instance} is not born: expected a born line first")
        return balancer

    def _call(self, method: Callable[..., Iterable[model.Action]], *args: Any) -> None:
        """Call the decision module and append its actions to the reply.

        Raises:
            ModuleError: The module raised an exception, which is its own fault and not that of the wire.
        """
        try:
            actions = method(self._now, *args)
        except Exception as error:
            raise ModuleError from error
        if not actions:
            return
        if self._speaker != self._instance:
            self._speaker = self._instance
            self._replies.append(f"speaking SidecarId={self._instance}")
        for action in actions:
            self._replies.append(_FORMATS[type(action)](action))

    def _context(self, line: str) -> None:
        self._instance = _members(line)["SidecarId"]

    def _born(self, line: str) -> None:
        if self._instance is None:
            raise WireError("event before any context: expected a context line first")
        members = _members(line, "Setup")
        settings = model.Settings.parse(json.loads(members["Setup"]))
        seed = int(members["RngSeed"])
        self._balancers[self._instance] = Balancer(self._now, settings, seed)

    def _kill(self, line: str) -> None:
        self._balancer()
        del self._balancers[self._instance or ""]

    def _snapshot_rows(self, line: str) -> None:
        members = _members(line)
        entries = []
        for _ in range(int(members["Elements"])):
            item = self._read()
            if item is None or item.partition(" ")[0] != "item":
                raise WireError(f"expected {members['Elements']} item lines, but the list has fewer")
            entries.append(self._item(_members(item)))
        self._lists[int(members["List"])] = entries

    def _item(self, members: dict[str, str]) -> model.Listing:
        get = members.get
        state = get("StageState", "active")
        if state not in STATES:
            raise WireError(f"StageState: expected one of {', '.join(STATES)}, not {state!r}")
        return model.Listing(
            server=members["Server"],
            zone=int(get("RegionPart", 0)),
            kind=int(get("Sku", 0)),
            cell=int(get("Stripe", 0)),
            state=state,
            weight=float(get("Weight", 1.0)),
            started=float(get("BootTime", 0.0)),
        )

    def _discovery(self, line: str) -> None:
        members = _members(line)
        form = members["Form"]
        if form not in FORMS:
            raise WireError(f"Form: expected one of {', '.join(FORMS)}, not {form!r}")
        entries: list[model.Listing] = []
        if form != "refused":
            number = int(members["List"])
            if number not in self._lists:
                raise WireError(f"expected snapshot_rows of list {number} before its use")
            entries = self._lists[number]
        self._call(self._balancer().server_list, form, entries)

    def _arrival(self, line: str) -> None:
        members = _members(line)
        get = members.get
        key, work = get("NameKey"), get("Work")
        arrival = model.Arrival(
            int(members["RequestId"]),
            int(get("Band", 0)),
            float(members["GiveUpAt"]),
            int(get("Tenant", 0)),
            None if key is None else int(key),
            None if work is None else float(work),
            get("AgainByClient") == "1",
            get("Mutates") == "1",
        )
        self._call(self._balancer().request, arrival)

    def _verdict(self, line: str) -> None:
        members = _members(line)
        get = members.get
        report = get("Report")
        self._call(
            self._balancer().outcome,
            int(members["RequestId"]),
            int(get("Hop", 0)),
            _status(members),
            float(get("Spent", 0.0)),
            get("Last") == "1",
            None if report is None else _report(report),
        )

    def _tick_due(self, line: str) -> None:
        self._call(self._balancer().timer, _members(line)["Tag"])

    def _first(self, line: str) -> None:
        members = _members(line)
        self._call(
            self._balancer().answer_started,
            int(members["RequestId"]),
            int(members.get("Hop", 0)),
        )

    def _ping_result(self, line: str) -> None:
        members = _members(line)
        report = members.get("Report")
        self._call(
            self._balancer().probe_result,
            members["Server"],
            _status(members),
            float(members.get("Spent", 0.0)),
            None if report is None else _report(report),
        )

    def _whisper(self, line: str) -> None:
        members = _members(line)
        self._call(
            self._balancer().peer_message,
            int(members["OriginPeer"]),
            _bytes(members.get("Msg", "-")),
        )

    def _aborted(self, line: str) -> None:
        self._call(self._balancer().client_gone, int(_members(line)["RequestId"]))


def _status(members: dict[str, str]) -> int:
    status = int(members["Status"])
    if not 0 <= status <= model.Outcome.ABANDONED:
        raise WireError(f"Status: expected 0 to {int(model.Outcome.ABANDONED)}, not {status}")
    return status


def main() -> int:
    """Serve the wire on standard input and output, and return the exit code."""
    try:
        return Host(sys.stdin, sys.stdout).run()
    except BrokenPipeError:
        # The reader has closed its end: redirect the output, so that the flush at exit does not fail.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return 0


if __name__ == "__main__":
    sys.exit(main())
