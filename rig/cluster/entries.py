"""Contradictions by entry: what nodes did with each server of a list, and on which settings. Pure.

Two nodes contradict each other on a server's entry if one sends to it by a list in which it is active, after
another has sent to any server by a newer list in which it is not (leaving or not listed): the rule
"list:SERVICE/SERVER". An entry that changes in another way, its address or weight, is a rule for sends to
that server only: "entry:SERVICE/SERVER". Settings are a rule for every act: "settings:SERVICE".

The version of such a rule is the lowest version of the list since which the entry has not changed. Lists are
ordered by their versions, whenever they were acted on; lists and settings without a version are ordered by
their digests, in an order that the caller gives.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass, field

from rig.cluster.checkers import (
    MAX_FINDINGS,
    UNSEEN,
    Finding,
    Span,
    contradictions,
    judge_acts,
    missing_starts,
    record_first_and_last,
    recovered_ms,
)
from rig.cluster.history import ACTIVE, LIST, SETTINGS, Acted, Event, Learned
from rig.cluster.lives import Gap, lives

ENTRY = "entry:"
NOT_ACTIVE = "pick without"  # kind of an act by a list in which a server is not active

Orders = Mapping[str, Sequence[str]]  # by rule: the digests of versions without a number, oldest first


@dataclass(slots=True)
class ListView:
    """One version of a list, reduced to the servers whose entries change during the run."""

    entries: dict[str, str]  # by server: "STATE/DIGEST"
    # By server: the position since which it has been active, or since which it has not.
    active_since: dict[str, int] = field(default_factory=dict)
    # By listed server: the position since which its entry has been the same, apart from its state.
    content_since: dict[str, int] = field(default_factory=dict)
    inactive: list[str] = field(default_factory=list)

    def active(self, server: str) -> bool:
        """Whether the server may receive new work."""
        return self.entries.get(server, "").startswith(ACTIVE)

    def content(self, server: str) -> str:
        """Return the digest of the server's entry; empty if it is not listed."""
        return self.entries.get(server, "").partition("/")[2]


class Lists:
    """All lists and settings of a run, each kind in its order."""

    def __init__(self, events: Iterable[Event], acts: _FirstAndLastActs, orders: Orders) -> None:
        learned: dict[str, dict[tuple[int, str], dict[str, str]]] = defaultdict(dict)
        unversioned: dict[str, set[str]] = defaultdict(set)  # by rule: digests without a version
        for event in events:
            if not isinstance(event, Learned):
                continue
            version_key = (event.version, "" if event.version else event.digest)
            learned[event.rule].setdefault(version_key, event.entries)
            if not event.version:
                unversioned[event.rule].add(event.digest)
        for _, rule, digest in acts.by_settings:
            unversioned[settings_rule(rule)].add(digest)
        for _, rule, version, digest, _ in acts.sends:
            if not version:
                unversioned[rule].add(digest)
        self.unordered: set[str] = set()  # rules for which no order was given
        self._positions: dict[tuple[str, str], int] = {}
        for rule, digests in unversioned.items():
            self._set_order(rule, digests, orders.get(rule, ()))
        self._views: dict[str, dict[int, ListView]] = {}
        self._listed: dict[str, set[str]] = {}
        self._about: dict[str, tuple[str, str]] = {}  # by rule of an entry: its list and server
        for rule, lists in learned.items():
            if rule.startswith(LIST):
                self._add_lists(rule, lists)

    def _set_order(self, rule: str, digests: set[str], order: Sequence[str]) -> None:
        if len(digests) == 1 and not order:
            order = tuple(digests)
        if not digests <= set(order) or len(set(order)) < len(order):
            self.unordered.add(rule)
            return
        # A list that has no version is older than any that has one.
        first = 1 - len(order) if rule.startswith(LIST) else 1
        self._positions |= {(rule, digest): first + position for position, digest in enumerate(order)}

    def _add_lists(self, rule: str, lists: Mapping[tuple[int, str], dict[str, str]]) -> None:
        placed = {self.position(rule, *version_key): entries for version_key, entries in lists.items()}
        known = sorted(position for position in placed if position is not None)
        order = [(position, placed[position]) for position in known]
        listed = self._listed[rule] = {server for _, entries in order for server in entries}
        changing = [s for s in sorted(listed) if len({entries.get(s) for _, entries in order}) > 1]
        for server in changing:
            self._about[entry_rule(rule, server)] = self._about[entry_rule(rule, server, ENTRY)] = (
                rule,
                server,
            )
        views = self._views[rule] = {}
        before = ListView({})
        for position, entries in order:
            view = ListView({server: entries[server] for server in changing if server in entries})
            for server in changing:
                since = before.active_since.get(server, position)
                same = view.active(server) == before.active(server)
                view.active_since[server] = since if same else position
                if server in entries:
                    since = before.content_since.get(server, position)
                    view.content_since[server] = (
                        since if view.content(server) == before.content(server) else position
                    )
            view.inactive = [server for server in changing if not view.active(server)]
            views[position] = before = view

    def position(self, rule: str, version: int, digest: str) -> int | None:
        """Return the position of a version of a rule in its order; None if no order was given."""
        return version or self._positions.get((rule, digest))

    def view(self, rule: str, position: int | None) -> ListView | None:
        """Return the list at a position; None if no node reported it."""
        return None if position is None else self._views.get(rule, {}).get(position)

    def lists(self, rule: str, server: str) -> bool:
        """Whether a server is in any version of a list."""
        return server in self._listed.get(rule, ())

    def newest(self, rule: str) -> ListView | None:
        """Return the newest list that any node learned."""
        views = self._views.get(rule)
        return views[max(views)] if views else None

    def newest_settings(self) -> dict[str, int]:
        """Return the position of the newest settings that any node reported, by rule."""
        newest: dict[str, int] = {}
        for (rule, _), position in self._positions.items():
            newest[rule] = max(position, newest.get(rule, position))
        return newest

    def contradicts(self, rule: str, older: int, newer: int) -> bool:
        """Whether acts on two versions of a rule of `EntryActs` contradict each other."""
        if rule not in self._about:
            return older != newer
        name, server = self._about[rule]
        old, new = self._views[name][older], self._views[name][newer]
        if rule.startswith(ENTRY):
            return old.content(server) != new.content(server)
        return old.active(server) and not new.active(server)


def entry_rule(rule: str, server: str, prefix: str = LIST) -> str:
    """Return the rule of one server of a list."""
    return f"{prefix}{rule.removeprefix(LIST)}/{server}"


def settings_rule(rule: str) -> str:
    """Return the rule of the settings of a list's service."""
    return SETTINGS + rule.removeprefix(LIST)


class _FirstAndLastActs:
    """The first and the last of all acts that are equal but for their time.

    Sends are grouped by list and server, all acts by settings.
    """

    def __init__(self, events: Iterable[Event]) -> None:
        self.sends: dict[tuple[str, str, int, str, str], list[Acted]] = {}
        self.by_settings: dict[tuple[str, str, str], list[Acted]] = {}
        for event in events:
            if not isinstance(event, Acted):
                continue
            if event.server and event.rule.startswith(LIST):
                digest = "" if event.version else event.digest
                key = (event.node, event.rule, event.version, digest, event.server)
                record_first_and_last(self.sends, key, event)
            if event.settings:
                record_first_and_last(self.by_settings, (event.node, event.rule, event.settings), event)


class EntryActs:
    """Acts by entry: the first and the last of each node on each version, and those that gaps may hide.

    Attributes:
        lists: The lists of the run; `lists.contradicts` is the relation for `contradictions`.
        acts: Recorded acts, for `contradictions`.
        unseen: Acts that gaps may hide.
        unknown: Findings on what can't be judged at all.
    """

    def __init__(self, events: Sequence[Event], orders: Orders) -> None:
        ends = _FirstAndLastActs(events)
        self.lists = Lists(events, ends, orders)
        self.acts: list[Acted] = []
        self.unseen: list[Acted] = []
        self._unknown = {f"{rule}: no order was given for its digests" for rule in self.lists.unordered}
        for (_, rule, digest), pair in ends.by_settings.items():
            for act in pair:
                self.acts += self._by_settings(act, act.at_ms, settings_rule(rule), digest, act.what)
        self._add_sends(ends.sends)
        gaps = [gap for life in lives(events) for gap in life.gaps]
        for gap in gaps:
            self._add_unseen(gap)
        texts = sorted(self._unknown)[:MAX_FINDINGS]
        self.unknown = [Finding("unknown", "contradiction", text) for text in texts] + missing_starts(gaps)

    def _add_sends(self, sends: Mapping[tuple[str, str, int, str, str], list[Acted]]) -> None:
        """Add sends.

        Each is an act on its server's entry, and on the state of all servers that are not active in its list.
        """
        acts_by_entry: dict[tuple[str, int, str], list[Acted]] = {}  # by rule of one server, version and node
        acts_by_list: dict[tuple[str, int, str], list[Acted]] = {}  # by list, version and node
        for (node, rule, version, digest, server), pair in sends.items():
            position = self.lists.position(rule, version, digest)
            if position is None:
                continue  # `unordered` reports it once for the rule
            view = self.lists.view(rule, position)
            if view is None or not self.lists.lists(rule, server):
                self._unknown.add(f"{rule}: no node reported {server} in version {version}")
                continue
            for act in pair:
                record_first_and_last(acts_by_list, (rule, position, node), act)
                if server in view.active_since:
                    record_first_and_last(
                        acts_by_entry, (entry_rule(rule, server), view.active_since[server], node), act
                    )
                if server in view.content_since:
                    record_first_and_last(
                        acts_by_entry,
                        (entry_rule(rule, server, ENTRY), view.content_since[server], node),
                        act,
                    )
        for (about, since, _), pair in acts_by_entry.items():
            self.acts += [_entry_act(act, act.at_ms, about, since, act.what) for act in pair]
        self._add_changes_of_state(acts_by_list)

    def _add_changes_of_state(self, acts_by_list: Mapping[tuple[str, int, str], list[Acted]]) -> None:
        acts_by_entry: dict[tuple[str, int, str], list[Acted]] = {}
        for (rule, position, node), pair in acts_by_list.items():
            if (view := self.lists.view(rule, position)) is not None:
                for server in view.inactive:
                    record_first_and_last(
                        acts_by_entry, (entry_rule(rule, server), view.active_since[server], node), pair[0]
                    )
        for (about, since, _), (act, _) in acts_by_entry.items():
            self.acts.append(_entry_act(act, act.at_ms, about, since, NOT_ACTIVE))

    def _by_settings(
        self, by: Acted | Learned, at_ms: float, rule: str, digest: str, what: str
    ) -> Iterator[Acted]:
        position = self.lists.position(rule, 0, digest) if digest else None
        if position is not None:
            yield _entry_act(by, at_ms, rule, position, what, digest)

    def _add_unseen(self, gap: Gap) -> None:
        """Add what a node may have done first and last in a gap, by all rules that were in force for it."""
        for at_ms, by in gap.acts():
            if by.rule.startswith(SETTINGS):
                self.unseen += self._by_settings(by, at_ms, by.rule, by.digest, UNSEEN)
                continue
            view = self.lists.view(by.rule, self.lists.position(by.rule, by.version, by.digest))
            if view is not None:
                self.unseen += _by_view(by, at_ms, view)
            own = settings_rule(by.rule)
            learned = gap.in_force.get(own)
            if isinstance(by, Acted) and (learned is None or learned.number < by.number):
                self.unseen += self._by_settings(by, at_ms, own, by.settings, UNSEEN)


def _entry_act(
    by: Acted | Learned, at_ms: float, rule: str, version: int, what: str, digest: str = ""
) -> Acted:
    call = by.call if isinstance(by, Acted) else ""
    return Acted(by.node, by.number, at_ms, rule, version, digest, what, call)


def _by_view(by: Acted | Learned, at_ms: float, view: ListView) -> Iterator[Acted]:
    """Yield a hidden act on each server whose entry changes."""
    for server, since in view.active_since.items():
        yield _entry_act(by, at_ms, entry_rule(by.rule, server), since, UNSEEN)
    for server, since in view.content_since.items():
        yield _entry_act(by, at_ms, entry_rule(by.rule, server, ENTRY), since, UNSEEN)


# --- checks ------------------------------------------------------------------------------------


def contradictions_by_entry(events: Sequence[Event], orders: Orders | None = None) -> list[Span]:
    """Return the longest contradiction of each entry and of the settings, longest first."""
    entry_acts = EntryActs(events, orders or {})
    return contradictions(entry_acts.acts, entry_acts.lists.contradicts)


def check_entries(events: Sequence[Event], bound_ms: float, orders: Orders | None = None) -> list[Finding]:
    """Check that no two nodes contradicted each other on an entry or on settings for longer than `bound_ms`.

    The answer is unknown where a gap may hide a contradiction, where an act is based on a list that no node
    reported, or where it is based on rules without an order.
    """
    entry_acts = EntryActs(events, orders or {})
    return (
        judge_acts(entry_acts.acts, entry_acts.unseen, bound_ms, entry_acts.lists.contradicts)
        + entry_acts.unknown
    )


def recovery_by_entry_ms(
    events: Sequence[Event], healed_ms: float, nodes: Iterable[str], orders: Orders | None = None
) -> float:
    """Return the time from the end of the last fault until no node acts on an old entry or old settings.

    Infinite if a node does so at its end, or never acts on the newest list after the fault.
    """
    lists = Lists(events, _FirstAndLastActs(events), orders or {})
    settings = lists.newest_settings()
    known: dict[tuple[str, int, str, str, str], bool | None] = {}

    def marks() -> Iterator[tuple[Acted, bool | None]]:
        for act in events:
            if isinstance(act, Acted) and act.at_ms >= healed_ms:
                key = (act.rule, act.version, act.digest, act.server, act.settings)
                if key not in known:
                    known[key] = _is_newest(act, lists, settings)
                yield act, known[key]

    return recovered_ms(marks(), healed_ms, nodes)


def _is_newest(act: Acted, lists: Lists, settings: Mapping[str, int]) -> bool | None:
    """Return whether an act is based on the newest list and settings.

    None if it is based on an older list, of which nothing that the act used has changed since.
    """
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
