"""The witness and replica roles of a store: votes, and follows the primary. Pure.

A witness votes and stores epochs; a replica also holds the state (Harp, Liskov et al. 1991).
"""

from __future__ import annotations

from fordtrestle.replication.candidate import Candidate
from fordtrestle.replication.context import StoreContext
from fordtrestle.replication.epochs import Term, is_same_core
from fordtrestle.replication.events import Reason
from fordtrestle.replication.messages import (
    CommitNotice,
    Heartbeat,
    HeartbeatAck,
    PreVote,
    PreVoteGrant,
    Rejected,
    Resign,
    ToWitness,
    VoteRequest,
)
from fordtrestle.replication.primary import Primary
from fordtrestle.replication.voting import GrantedVote, cast_vote


class Witness:
    """Handles requests of primaries and candidates. Times are in seconds of a monotonic clock."""

    def __init__(self, context: StoreContext, primary: Primary, candidate: Candidate) -> None:
        self._context = context
        self._primary = primary
        self._candidate = candidate

    def receive(self, sender: str, message: ToWitness, now: float) -> None:
        """Handle a message from a primary or candidate."""
        match message:
            case Heartbeat():
                self._on_heartbeat(sender, message, now)
            case CommitNotice(term, sequence):
                self._context.learn_committed(term, sequence)
            case Resign(term):
                self._on_resign(term, now)
            case PreVote():
                self._on_pre_vote(sender, message, now)
            case _:
                self._on_vote_request(sender, message, now)

    def _on_vote_request(self, sender: str, request: VoteRequest, now: float) -> None:
        """Vote on a request; if it is granted to another store, yield to the term of that store."""
        context = self._context
        vote = cast_vote(context.durable, request)
        if not isinstance(vote, GrantedVote):
            if vote:
                context.send(sender, vote)
            return
        if sender != context.me.id:
            self._yield_to(vote.term, now)
        context.sync(vote.records)
        context.send(sender, vote.response)

    def _on_heartbeat(self, sender: str, message: Heartbeat, now: float) -> None:
        """Follow the primary that sent a heartbeat, unless it belongs to another core.

        Guards against an older primary that was partitioned: the rejection reports the newer term that this
        store has prepared, and the primary steps down.
        """
        context, durable, epoch = self._context, self._context.durable, message.epoch
        core = durable.core
        if core and not is_same_core(core, epoch.core):
            return
        if epoch.term < durable.prepared_term:
            context.send(sender, Rejected(epoch.term, durable.prepared_term))
            return
        context.sync(durable.learn_epoch(epoch))
        sequence = durable.state.sequence
        context.send(sender, HeartbeatAck(epoch.term, message.number, durable.installed_term, sequence))
        context.epoch = epoch
        context.learn_committed(epoch.term, message.committed_sequence)
        if sender == context.me.id:
            return
        context.detector.on_heartbeat(epoch.store(epoch.primary), now)
        self._yield_to(epoch.term, now)

    def _on_resign(self, term: Term, now: float) -> None:
        """Mark the primary as lost after its resignation; one from another epoch is ignored."""
        accepted = self._context.durable.accepted_epoch
        if accepted and accepted.term == term:
            self._context.detector.mark_lost(accepted.primary, now)

    def _on_pre_vote(self, sender: str, message: PreVote, now: float) -> None:
        """Grant a pre-vote if this store also suspects the primary and is not primary itself."""
        context, durable = self._context, self._context.durable
        is_suspected = context.detector.suspects(durable.accepted_epoch, sender, now)
        if is_suspected and not (self._primary.leadership and sender != context.me.id):
            grant = PreVoteGrant(message.attempt, durable.prepared_term, durable.accepted_epoch)
            context.send(sender, grant)

    def _yield_to(self, term: Term, now: float) -> None:
        """Give up being an older primary or candidate: another store acts under this term."""
        self._context.detector.is_restarted_primary = False
        change = self._candidate.epoch_change
        if change and term > change.term:
            self._candidate.abandon(Reason.NEWER_TERM, now)
        leadership = self._primary.leadership
        if leadership and term > leadership.epoch.term:
            self._primary.step_down(Reason.NEWER_TERM, now)
        self._context.await_primary(now)
