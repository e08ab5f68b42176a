"""What members of a cluster say to one another and write to their disks, as values. Pure.

Encoded by `msgspec` (MessagePack), which is the only parser; the names below are on the wire, so they stay.
Times are milliseconds; no message holds a reading of anybody's clock, only spans
(`docs/design/agreement.md`).
"""

from __future__ import annotations

from typing import Any

from msgspec import Struct

from fordtrestle.cluster.rulebook import Rulebook

FORMAT = 1
NAME_MOST = 64  # characters of a member's name
ENTRIES_MOST = 64  # in one message


class Message(Struct, frozen=True, tag_field="m", forbid_unknown_fields=False):
    """Anything that members say."""


# --- the log ----------------------------------------------------------------------------------


class Voter(Struct, frozen=True):
    """A member's slot: its name, and the identity of the disk by which it votes.

    Without a disk the slot is vacant: it is kept for that name, counts in no majority, and the leader fills
    it once a disk under that name has all that is committed."""

    name: str
    disk: str


class Noop(Struct, frozen=True, tag_field="e", tag="noop"):
    """A leader's first entry: what stands before it from earlier terms is committed with it."""


class Book(Struct, frozen=True, tag_field="e", tag="book"):
    """A rulebook, under the id of the proposal that it came by."""

    book: Rulebook
    proposal: str = ""


class Effective(Struct, frozen=True, tag_field="e", tag="effective"):
    """Every lease that was granted without this rulebook has run out: it may be acted on alone."""

    number: int


class Voters(Struct, frozen=True, tag_field="e", tag="voters"):
    """Who votes from here on; it differs from the one before by one voter at the most."""

    voters: tuple[Voter, ...]


Body = Noop | Book | Effective | Voters


class Entry(Struct, frozen=True):
    """One place in the log. The first index is 1."""

    index: int
    term: int
    body: Body


class Snapshot(Struct, frozen=True):
    """All that the entries up to `index` have come to: what a snapshot holds.

    `books`: from the effective to the pending one, oldest first. `proposals`: the last ids of proposals with
    the numbers that they got, so that one asked for again gets no second number."""

    index: int
    term: int
    voters: tuple[Voter, ...]
    effective: int
    books: tuple[Rulebook, ...]
    proposals: tuple[tuple[str, int], ...] = ()


class Meta(Struct, frozen=True):
    """What a voter must not forget beside its log. `seen`: the highest incarnation of each other disk of
    which anything was counted."""

    disk: str = ""
    incarnation: int = 0
    term: int = 0
    voted_for: str = ""
    seen: tuple[tuple[str, int], ...] = ()


# --- order ------------------------------------------------------------------------------------


class RecoveryQuery(Message, frozen=True, tag="recovery_query"):
    """A voter that has started asks what others remember of its disk. `nonce`: drawn at each start, so that
    an answer to an earlier one can be told."""

    disk: str
    incarnation: int
    last_log_index: int
    nonce: int


class RecoveryResponse(Message, frozen=True, tag="recovery_response"):
    """The answer: the highest incarnation of that disk of which anything was counted, and the highest
    committed index that it acknowledged; 0 for none. `by`: the disk of who answers. `term`, `last_log_index`
    and `last_log_term` are its own: what the asking disk may have promised to it lies within them."""

    disk: str
    incarnation: int
    acknowledged: int
    nonce: int
    by: str
    term: int
    last_log_index: int
    last_log_term: int


class PreVote(Message, frozen=True, tag="pre_vote"):
    """Asks whether a vote would be given in `term`, the one after the own; it raises nobody's term."""

    term: int
    last_log_index: int
    last_log_term: int
    disk: str
    incarnation: int


class PreVoteResponse(Message, frozen=True, tag="pre_vote_response"):
    """The answer. `term` is the asked one where it would be given, else the voter's own."""

    term: int
    vote_granted: bool
    disk: str
    incarnation: int


class RequestVote(Message, frozen=True, tag="request_vote"):
    """A candidate asks for a vote."""

    term: int
    last_log_index: int
    last_log_term: int
    disk: str
    incarnation: int


class RequestVoteResponse(Message, frozen=True, tag="request_vote_response"):
    """The answer. `term` is the voter's own."""

    term: int
    vote_granted: bool
    disk: str
    incarnation: int


class AppendEntries(Message, frozen=True, tag="append_entries"):
    """A leader's entries, or none, as its heartbeat. `sequence` goes up with each message that it sends, by
    which a response tells when it was asked."""

    term: int
    sequence: int
    prev_log_index: int
    prev_log_term: int
    entries: tuple[Entry, ...]
    leader_commit: int


class AppendEntriesResponse(Message, frozen=True, tag="append_entries_response"):
    """The answer, after the sync. `match_index`: up to where the log agrees; where there is no `success`,
    from where to try."""

    term: int
    sequence: int
    success: bool
    match_index: int
    disk: str
    incarnation: int


class InstallSnapshot(Message, frozen=True, tag="install_snapshot"):
    """A leader's snapshot, whole, to who lacks entries that it no longer has. An `AppendEntriesResponse`
    answers it: by `match_index` as much is known as after entries up to there."""

    term: int
    sequence: int
    snapshot: Snapshot


# --- leases and spread ------------------------------------------------------------------------


class Renew(Message, frozen=True, tag="renew"):
    """A node asks for a lease. `heard`: the highest pending number that it, and all to whom it granted, know
    of. `books`: the numbers of the effective and of the pending rulebook that it holds."""

    nonce: int
    heard: int
    books: tuple[int, int]


class Grant(Message, frozen=True, tag="grant"):
    """A lease of `span_ms`, counted from when it was asked for. `depth`: grants between here and the leader.

    The digests are those of the two rulebooks; `term` and `leader` tell the leader at the root."""

    nonce: int
    term: int
    leader: str
    depth: int
    span_ms: float
    effective: int
    pending: int
    effective_digest: str
    pending_digest: str


class Denied(Message, frozen=True, tag="denied"):
    """No lease: `why`, whom to ask instead (empty: nobody known), and when to ask again."""

    nonce: int
    why: str
    ask: str
    again_ms: float


class Fetch(Message, frozen=True, tag="fetch"):
    """Asks for the rulebooks from one number to another, both included."""

    first: int
    last: int


class Books(Message, frozen=True, tag="books"):
    """Some of the rulebooks that were asked for, oldest first."""

    books: tuple[Rulebook, ...]


# --- proposals and questions ------------------------------------------------------------------


class Propose(Message, frozen=True, tag="propose"):
    """A change. `id` names it for good; `base` is the number that it was made on, 0 for any. `content` is as
    `rulebook.Change` has it."""

    id: str
    base: int
    content: Any


class Proposed(Message, frozen=True, tag="proposed"):
    """The answer. `state`: durable (at a majority: it has its `number`), refused (it got none), busy (nor did
    this, for now: ask again) or elsewhere (ask `leader`, by the same id: it may have a number). `effective`:
    the number in effect then."""

    id: str
    state: str
    number: int = 0
    effective: int = 0
    leader: str = ""
    why: str = ""


class Question(Message, frozen=True, tag="question"):
    """An operator asks: `what` is status, log, members or book."""

    id: int
    what: str
    first: int = 0
    last: int = 0


class Reply(Message, frozen=True, tag="reply"):
    """The answer to an operator."""

    id: int
    result: Any


AnyMessage = (
    RecoveryQuery | RecoveryResponse | PreVote | PreVoteResponse | RequestVote | RequestVoteResponse
    | AppendEntries | AppendEntriesResponse | InstallSnapshot | Renew | Grant | Denied | Fetch | Books
    | Propose | Proposed | Question | Reply
)  # fmt: skip


class Envelope(Struct, frozen=True):
    """One frame: of which cluster, from whom, to whom. What is of another cluster, or for another, is
    dropped."""

    cluster: str
    sender: str
    to: str
    body: AnyMessage


# --- actions ----------------------------------------------------------------------------------


class Send(Struct, frozen=True):
    """Say something to a member."""

    to: str
    message: AnyMessage


class Store(Struct, frozen=True):
    """Make this durable, in this order, then tell `stored(now, token)`; nothing that rests on it is said
    before.

    `entries`: written from the first one's index on, in place of it and of all that stood after it.
    `snapshot`: a snapshot, with which all entries up to its index may go; with `cut` also all those after it
    go, none earlier than the snapshot is durable. Where a store has several of them: `meta` first, then
    `snapshot`, then `entries`."""

    token: int
    meta: Meta | None = None
    entries: tuple[Entry, ...] = ()
    snapshot: Snapshot | None = None
    cut: bool = False


class Answer(Struct, frozen=True):
    """What a client of this member asked is answered; `client` is what it was handed in with."""

    client: int
    message: AnyMessage


class Take(Struct, frozen=True):
    """What this member acts on has changed: read `view`."""


class LogLine(Struct, frozen=True):
    """A line for on-call staff."""

    text: str


Action = Send | Store | Answer | Take | LogLine
