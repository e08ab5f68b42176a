"""Contradiction by entry: what nodes did about each server of a list, and by which settings. Pure.

Two nodes contradict on a server's entry when one sends to it by a list in which it is active after another
has sent to any server by a newer list in which it is not (leaving, or not listed): "list:SERVICE/SERVER". An
entry that changes in another way, its address or weight, is a rule for sends to that server only:
"entry:SERVICE/SERVER". Settings are a rule for every act: "settings:SERVICE".

The version of such a rule is the lowest version of the list since which it stands so. Lists are ordered by
their versions, whenever they were acted on; what has no version by its digests, in an order that is given.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass, field

from rig.cluster.checkers import (
    FINDINGS_MOST,
    UNSEEN,
    Finding,
    Span,
    contradictions,
    headless,
    judged,
    recovered_ms,
    widen,
)
from rig.cluster.history import ACTIVE, LIST, SETTINGS, Acted, Event, Learned
from rig.cluster.lives import Missing, lives

ENTRY = "entry:"
NEWS = "pick without"  # an act by a list in which a server is not active

Orders = Mapping[str, Sequence[str]]  # by rule: the digests of what has no version, oldest first


@dataclass(slots=True)
class View:
    """What one version of a list says of the servers whose entries change in a run."""

    entries: dict[str, str]  # "STATE/DIGEST"
    active_since: dict[str, int] = field(default_factory=dict)  # the version since which it is active, or not
    made_since: dict[str, int] = field(
        default_factory=dict
    )  # of those listed: since which but its state stands
    inactive: list[str] = field(default_factory=list)

    def active(self, server: str) -> bool:
        """Whether it may be sent new work."""
        return self.entries.get(server, "").startswith(ACTIVE)

    def made(self, server: str) -> str:
        """The digest of its entry; empty where it is not listed."""
        return self.entries.get(server, "").partition("/")[2]


class Lists:
    """All lists and settings of a run, each kind in its order."""

    def __init__(self, events: Iterable[Event], acts: _Ends, orders: Orders) -> None:
        learned: dict[str, dict[tuple[int, str], dict[str, str]]] = defaultdict(dict)
        loose: dict[str, set[str]] = defaultdict(set)  # digests of what has no version
        for event in events:
            if not isinstance(event, Learned):
                continue
            which = (event.version, "" if event.version else event.digest)
            learned[event.rule].setdefault(which, event.entries)
            if not event.version:
                loose[event.rule].add(event.digest)
        for _, rule, digest in acts.by_settings:
            loose[settings_rule(rule)].add(digest)
        for _, rule, version, digest, _ in acts.sends:
            if not version:
                loose[rule].add(digest)
        self.unordered: set[str] = set()  # rules whose order nobody gave
        self._positions: dict[tuple[str, str], int] = {}
        for rule, digests in loose.items():
            self._order(rule, digests, orders.get(rule, ()))
        self._views: dict[str, dict[int, View]] = {}
        self._listed: dict[str, set[str]] = {}
        self._about: dict[str, tuple[str, str]] = {}  # by rule of a row: which list and server
        for rule, lists in learned.items():
            if rule.startswith(LIST):
                self._take(rule, lists)

    def _order(self, rule: str, digests: set[str], order: Sequence[str]) -> None:
        if len(digests) == 1 and not order:
            order = tuple(digests)
        if not digests <= set(order) or len(set(order)) < len(order):
            self.unordered.add(rule)
            return
        # A list that has no version is older than any that has one.
        first = 1 - len(order) if rule.startswith(LIST) else 1
        self._positions |= {(rule, digest): first + position for position, digest in enumerate(order)}

    def _take(self, rule: str, lists: Mapping[tuple[int, str], dict[str, str]]) -> None:
        placed = {self.position(rule, *which): entries for which, entries in lists.items()}
        known = sorted(position for position in placed if position is not None)
        order = [(position, placed[position]) for position in known]
        listed = self._listed[rule] = {server for _, entries in order for server in entries}
        changing = [s for s in sorted(listed) if len({entries.get(s) for _, entries in order}) > 1]
        for server in changing:
            self._about[row_rule(rule, server)] = self._about[row_rule(rule, server, ENTRY)] = (rule, server)
        views = self._views[rule] = {}
        before = View({})
        for position, entries in order:
            made = View({server: entries[server] for server in changing if server in entries})
            for server in changing:
                since = before.active_since.get(server, position)
                same = made.active(server) == before.active(server)
                made.active_since[server] = since if same else position
                if server in entries:
                    since = before.made_since.get(server, position)
                    made.made_since[server] = since if made.made(server) == before.made(server) else position
            made.inactive = [server for server in changing if not made.active(server)]
            views[position] = before = made

    def position(self, rule: str, version: int, digest: str) -> int | None:
        """Where a rule stands in its order; None where nobody gave one."""
        return version or self._positions.get((rule, digest))

    def view(self, rule: str, position: int | None) -> View | None:
        """What the list of that position says; None where no node told."""
        return None if position is None else self._views.get(rule, {}).get(position)

    def lists(self, rule: str, server: str) -> bool:
        """Whether a server is in any version of a list."""
        return server in self._listed.get(rule, ())

    def newest(self, rule: str) -> View | None:
        """The newest list that any node learned."""
        views = self._views.get(rule)
        return views[max(views)] if views else None

    def newest_settings(self) -> dict[str, int]:
        """The position of the newest settings that any node told, by rule."""
        made: dict[str, int] = {}
        for (rule, _), position in self._positions.items():
            made[rule] = max(position, made.get(rule, position))
        return made

    def contradicts(self, rule: str, older: int, newer: int) -> bool:
        """Whether acts on two versions of a rule of `Rows` do."""
        if rule not in self._about:
            return older != newer
        name, server = self._about[rule]
        old, new = self._views[name][older], self._views[name][newer]
        if rule.startswith(ENTRY):
            return old.made(server) != new.made(server)
        return old.active(server) and not new.active(server)


def row_rule(rule: str, server: str, prefix: str = LIST) -> str:
    """The rule of one server of a list."""
    return f"{prefix}{rule.removeprefix(LIST)}/{server}"


def settings_rule(rule: str) -> str:
    """The rule of the settings of a list's service."""
    return SETTINGS + rule.removeprefix(LIST)


class _Ends:
    """Of all acts that are alike the first and the last: sends by list and server, acts by settings."""

    def __init__(self, events: Iterable[Event]) -> None:
        self.sends: dict[tuple[str, str, int, str, str], list[Acted]] = {}
        self.by_settings: dict[tuple[str, str, str], list[Acted]] = {}
        for event in events:
            if not isinstance(event, Acted):
                continue
            if event.server and event.rule.startswith(LIST):
                digest = "" if event.version else event.digest
                key = (event.node, event.rule, event.version, digest, event.server)
                widen(self.sends, key, event)
            if event.settings:
                widen(self.by_settings, (event.node, event.rule, event.settings), event)


class Rows:
    """Acts by entry, of each node the first and the last on each version, and what gaps may hide.

    `acts` are for `contradictions` with `lists.contradicts`; `unknown`: what can't be judged at all.
    """

    def __init__(self, events: Sequence[Event], orders: Orders) -> None:
        ends = _Ends(events)
        self.lists = Lists(events, ends, orders)
        self.acts: list[Acted] = []
        self.unseen: list[Acted] = []
        self._unknown = {f"{rule}: nobody gave the order of its digests" for rule in self.lists.unordered}
        for (_, rule, digest), pair in ends.by_settings.items():
            for act in pair:
                self.acts += self._by_settings(act, act.at_ms, settings_rule(rule), digest, act.what)
        self._take(ends.sends)
        gaps = [gap for life in lives(events) for gap in life.missing]
        for gap in gaps:
            self._hide(gap)
        texts = sorted(self._unknown)[:FINDINGS_MOST]
        self.unknown = [Finding("unknown", "contradiction", text) for text in texts] + headless(gaps)

    def _take(self, sends: Mapping[tuple[str, str, int, str, str], list[Acted]]) -> None:
        """Sends: each is an act on its server's entry, and on the news of all that are not active."""
        made: dict[tuple[str, int, str], list[Acted]] = {}  # by rule of one server, version and node
        first: dict[tuple[str, int, str], list[Acted]] = {}  # by list, version and node
        for (node, rule, version, digest, server), pair in sends.items():
            position = self.lists.position(rule, version, digest)
            if position is None:
                continue  # told once, for its rule
            view = self.lists.view(rule, position)
            if view is None or not self.lists.lists(rule, server):
                self._unknown.add(f"{rule}: no node told of {server} in version {version}")
                continue
            for act in pair:
                widen(first, (rule, position, node), act)
                if server in view.active_since:
                    widen(made, (row_rule(rule, server), view.active_since[server], node), act)
                if server in view.made_since:
                    widen(made, (row_rule(rule, server, ENTRY), view.made_since[server], node), act)
        for (about, since, _), pair in made.items():
            self.acts += [_row(act, act.at_ms, about, since, act.what) for act in pair]
        self._news(first)

    def _news(self, first: Mapping[tuple[str, int, str], list[Acted]]) -> None:
        made: dict[tuple[str, int, str], list[Acted]] = {}
        for (rule, position, node), pair in first.items():
            if (view := self.lists.view(rule, position)) is not None:
                for server in view.inactive:
                    widen(made, (row_rule(rule, server), view.active_since[server], node), pair[0])
        for (about, since, _), (act, _) in made.items():
            self.acts.append(_row(act, act.at_ms, about, since, NEWS))

    def _by_settings(
        self, by: Acted | Learned, at_ms: float, rule: str, digest: str, what: str
    ) -> Iterator[Acted]:
        position = self.lists.position(rule, 0, digest) if digest else None
        if position is not None:
            yield _row(by, at_ms, rule, position, what, digest)

    def _hide(self, gap: Missing) -> None:
        """What a node may have done first and last in a gap, by all that it went by."""
        for at_ms, by in gap.acts():
            if by.rule.startswith(SETTINGS):
                self.unseen += self._by_settings(by, at_ms, by.rule, by.digest, UNSEEN)
                continue
            view = self.lists.view(by.rule, self.lists.position(by.rule, by.version, by.digest))
            if view is not None:
                self.unseen += _by_view(by, at_ms, view)
            own = settings_rule(by.rule)
            learned = gap.standing.get(own)
            if isinstance(by, Acted) and (learned is None or learned.number < by.number):
                self.unseen += self._by_settings(by, at_ms, own, by.settings, UNSEEN)


def _row(by: Acted | Learned, at_ms: float, rule: str, version: int, what: str, digest: str = "") -> Acted:
    call = by.call if isinstance(by, Acted) else ""
    return Acted(by.node, by.number, at_ms, rule, version, digest, what, call)


def _by_view(by: Acted | Learned, at_ms: float, view: View) -> Iterator[Acted]:
    """An act that was not seen on each server whose entry changes."""
    for server, since in view.active_since.items():
        yield _row(by, at_ms, row_rule(by.rule, server), since, UNSEEN)
    for server, since in view.made_since.items():
        yield _row(by, at_ms, row_rule(by.rule, server, ENTRY), since, UNSEEN)


# --- checks ------------------------------------------------------------------------------------


def contradictions_by_entry(events: Sequence[Event], orders: Orders | None = None) -> list[Span]:
    """The longest span of each entry and of settings, longest first."""
    made = Rows(events, orders or {})
    return contradictions(made.acts, made.lists.contradicts)


def check_entries(events: Sequence[Event], bound_ms: float, orders: Orders | None = None) -> list[Finding]:
    """Whether no two nodes contradicted on an entry, or on settings, for longer than the bound.

    Unknown where a gap may hide that, or an act rests on what no node told, or on what has no order.
    """
    made = Rows(events, orders or {})
    return judged(made.acts, made.unseen, bound_ms, made.lists.contradicts) + made.unknown


def recovery_by_entry_ms(
    events: Sequence[Event], healed_ms: float, nodes: Iterable[str], orders: Orders | None = None
) -> float:
    """How long after the last healed fault no node sends by an old entry or acts by old settings for good.

    Infinite where a node does so at its end, or never acts on the newest list after it.
    """
    lists = Lists(events, _Ends(events), orders or {})
    settings = lists.newest_settings()
    known: dict[tuple[str, int, str, str, str], bool | None] = {}

    def marks() -> Iterator[tuple[Acted, bool | None]]:
        for act in events:
            if isinstance(act, Acted) and act.at_ms >= healed_ms:
                key = (act.rule, act.version, act.digest, act.server, act.settings)
                if key not in known:
                    known[key] = _fresh(act, lists, settings)
                yield act, known[key]

    return recovered_ms(marks(), healed_ms, nodes)


def _fresh(act: Acted, lists: Lists, settings: Mapping[str, int]) -> bool | None:
    """Whether an act rests on the newest; None where it does not, and nothing shows of it."""
    own = settings_rule(act.rule)
    if act.settings and lists.position(own, 0, act.settings) != settings.get(own):
        return False
    view = lists.view(act.rule, lists.position(act.rule, act.version, act.digest))
    newest = lists.newest(act.rule)
    if view is None or newest is None:
        return None
    if act.server and view.entries.get(act.server) != newest.entries.get(act.server):
        return False
    return True if view.entries == newest.entries else None
