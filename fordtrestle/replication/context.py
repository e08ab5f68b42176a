"""The context that the roles of a store share: durable state, view of its peers, pending effects. Pure."""

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
    """Context shared by the witness, primary, candidate and membership roles of one store.

    Attributes:
        me: This store.
        durable: The state that it keeps on disk.
        detector: Its failure detector for the primary.
        witness_count: How many witnesses a complete core has.
        replica_count: How many replicas must hold a write before it is acknowledged.
        counts_for_quorum: Whether this store may become a witness.
        epoch: The newest epoch that is known to be open.
        events: Events to report to operators.
        effects: Records to sync and messages to send next.
        peers: The other stores, from their announcements.
        pre_votes: The tally of this store's current pre-vote.
        committed_sequence: The newest sequence that is known to be committed.
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
        """Advance the committed sequence, if this store's state was installed under that term.

        Guards against a state of an older epoch, whose last writes may differ from those that were committed
        under the same sequence numbers. Committed writes remain committed in every later state.
        """
        if term == self.durable.installed_term:
            self.committed_sequence = max(self.committed_sequence, sequence)

    def sync(self, records: Sequence[Record]) -> None:
        """Queue records to sync before any pending message is sent."""
        self.effects.records.extend(records)

    def send(self, receiver: str, message: Message) -> None:
        """Queue a message to send once all records queued before it are synced.

        Messages to itself go the same way, so that a store's own votes count only once they are on disk.
        """
        if isinstance(message, Install) and receiver != self.me.id:
            state = message.state
            self.events.record(StateSent(receiver, state.sequence, len(state.document)))
        self.effects.messages.append(Outgoing(receiver, message))

    def send_all(self, messages: Iterable[Outgoing]) -> None:
        """Queue several messages, in order."""
        for receiver, message in messages:
            self.send(receiver, message)

    def await_primary(self, now: float) -> None:
        """Restart the election timeout and cancel the current pre-vote.

        Guards against a race between a pre-vote and a new primary: grants given before the primary was heard
        must not count.
        """
        self.detector.reset_timer(self.durable.accepted_epoch, now)
        self.pre_votes.cancel()
