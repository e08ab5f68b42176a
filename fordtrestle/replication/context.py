"""What the parts of one store share: its disk, its view of the others, and what it does next. Pure."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from fordtrestle.replication.durable import Durable
from fordtrestle.replication.effects import Effects
from fordtrestle.replication.epochs import Epoch, Store, Term
from fordtrestle.replication.events import Events, StateSent
from fordtrestle.replication.failure_detector import PrimaryFailureDetector
from fordtrestle.replication.messages import Install, Message, Outgoing, Record
from fordtrestle.replication.peer_table import PeerTable
from fordtrestle.replication.pre_vote import PreVoteTally


@dataclass(slots=True)
class StoreContext:
    """Shared by the witness, primary, candidate and membership side of one store.

    Attributes:
        me: This store.
        durable: What it holds on disk.
        detector: Its view of the primary.
        witness_count: How many witnesses a complete core has.
        replica_count: How many replicas hold each acknowledged write.
        counts_for_quorum: Whether this store may become a witness.
        epoch: The newest epoch that is known to be open.
        events: What operators are to know.
        effects: What is to be synced and sent next.
        peers: The other stores, as they have announced themselves.
        pre_votes: Who has granted this store's pre-vote.
        committed_sequence: Writes up to this sequence are known to be committed.
    """

    me: Store
    durable: Durable
    detector: PrimaryFailureDetector
    witness_count: int
    replica_count: int
    counts_for_quorum: bool
    epoch: Epoch | None = None
    events: Events = field(default_factory=Events)
    effects: Effects = field(default_factory=Effects)
    peers: PeerTable = field(default_factory=PeerTable)
    pre_votes: PreVoteTally = field(default_factory=PreVoteTally)
    committed_sequence: int = 0

    def learn_committed(self, term: Term, sequence: int) -> None:
        """Take in how far the writes of an epoch are committed.

        Guards against the state of an older epoch, whose last writes may be others than those that were
        committed under the same numbers. What was committed stays so in every later state.
        """
        if term == self.durable.installed_term:
            self.committed_sequence = max(self.committed_sequence, sequence)

    def sync(self, records: Sequence[Record]) -> None:
        """Have records synced before any message that waits is sent."""
        self.effects.records.extend(records)

    def send(self, receiver: str, message: Message) -> None:
        """Send a message once all records before it are synced.

        A store sends to itself in the same way, so that its own votes count no sooner than they are on disk.
        """
        if isinstance(message, Install) and receiver != self.me.id:
            state = message.state
            self.events.record(StateSent(receiver, state.sequence, len(state.document)))
        self.effects.messages.append(Outgoing(receiver, message))

    def send_all(self, messages: Iterable[Outgoing]) -> None:
        """Send several messages, in their order."""
        for receiver, message in messages:
            self.send(receiver, message)

    def await_primary(self, now: float) -> None:
        """Give a primary a whole election time-out once more.

        Guards against the race of a pre-vote with a new primary: grants that were given before it was heard
        are void.
        """
        self.detector.reset_timer(self.durable.accepted_epoch, now)
        self.pre_votes.cancel()
