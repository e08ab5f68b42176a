"""The candidate's side of one store: it asks for pre-votes, and drives an epoch change to its end. Pure."""

from __future__ import annotations

from fordtrestle.replication.bootstrap import Bootstrap
from fordtrestle.replication.context import StoreContext
from fordtrestle.replication.epoch_change import EpochChange
from fordtrestle.replication.epoch_plan import EpochPlan
from fordtrestle.replication.epochs import Epoch, Term
from fordtrestle.replication.events import EpochChangeFailed, EpochChangeStarted, Reason
from fordtrestle.replication.messages import PreVoteGrant, Rejected, ToCandidate
from fordtrestle.replication.primary import Primary

RESEND_INTERVAL_S = 0.4  # between two sends of what is unanswered: a round trip and a sync fit in
EPOCH_CHANGE_TIMEOUT_S = 2.5  # an epoch change that takes longer is begun anew,
INSTALL_TIMEOUT_S = 20.0  # unless the whole state is on its way to replicas that are live


class Candidate:
    """What a store does to become primary. Times are s of a steady clock."""

    def __init__(self, context: StoreContext, primary: Primary, bootstrap: Bootstrap) -> None:
        self.epoch_change: EpochChange | None = None  # the one under way
        self.reason = Reason.BOOTSTRAP  # that the one under way, or the last one, was started for
        self._context = context
        self._primary = primary
        self._bootstrap = bootstrap
        self._resend_at = 0.0

    def receive(self, sender: str, message: ToCandidate, now: float) -> None:
        """Take in an answer to what this store has asked for."""
        match message:
            case PreVoteGrant():
                self._on_pre_vote_grant(sender, message, now)
            case Rejected():
                self._on_rejected(message, now)
            case _:
                self._advance(sender, message, now)

    def start_pre_vote(self, now: float) -> None:
        """Ask the witnesses whether they suspect the primary, too.

        Guards against a store that is cut off: it does not raise terms, and so unseats no primary, before a
        majority has said that it misses the primary as well. Stores that are no replicas ask, too: each may
        be one of an epoch that it has yet to hear of.
        """
        context = self._context
        context.detector.reset_timer(context.durable.accepted_epoch, now)
        is_repeat = context.detector.is_returning
        context.send_all(context.pre_votes.ask(context.durable, context.peers.ids(), is_repeat))

    def start(self, plan: EpochPlan, now: float) -> None:
        """Start an epoch change under a term that exceeds all that this store has heard of."""
        context = self._context
        newest = max(context.durable.prepared_term, context.pre_votes.newest_term, plan.base.term)
        change = EpochChange(
            me=context.me,
            term=Term(newest.number + 1, context.me.id),
            base=plan.base,
            witnesses=plan.witnesses,
            replica_count=context.replica_count,
            leaving=context.peers.leaving(),
            started_at=now,
            unanimous=plan.unanimous,
        )
        self.epoch_change, self.reason = change, plan.reason
        context.pre_votes.cancel()
        self._resend_at = now + RESEND_INTERVAL_S
        witnesses = tuple(store.id for store in plan.witnesses)
        context.events.record(EpochChangeStarted(change.term.number, plan.reason, witnesses))
        context.send_all(change.start())

    def maintain_epoch_change(self, now: float) -> None:
        """Send what is unanswered once more, or give up where it takes too long."""
        context, change = self._context, self.epoch_change
        if change is None:
            return
        if self._is_overdue(change, now):
            self.abandon(Reason.TIMED_OUT, now)
        elif now >= self._resend_at:
            self._resend_at = now + RESEND_INTERVAL_S
            context.send_all(change.repeat(context.durable.state))

    def abandon(self, reason: Reason, now: float) -> None:
        """Give up the epoch change under way, and the lead that it was to follow."""
        change, self.epoch_change = self.epoch_change, None
        if change:
            answered = tuple(sorted(change.prepared))
            took_s = now - change.started_at
            self._context.events.record(EpochChangeFailed(change.term.number, reason, answered, took_s))
            if change.is_bootstrap:
                self._bootstrap.on_failed(now)
        self._primary.step_down(reason, now)

    def _is_overdue(self, change: EpochChange, now: float) -> bool:
        context = self._context
        live = {context.me.id} | context.peers.live(now)
        is_installing = bool(change.installing) and not change.proposed
        is_slow = is_installing and live.issuperset(change.installing)
        return now - change.started_at > (INSTALL_TIMEOUT_S if is_slow else EPOCH_CHANGE_TIMEOUT_S)

    def _on_pre_vote_grant(self, sender: str, grant: PreVoteGrant, now: float) -> None:
        """Count a grant, or learn of a newer epoch from it, which this store gives a chance first."""
        context = self._context
        if not context.pre_votes.is_current(grant):
            return
        known = context.durable.accepted_epoch
        if grant.accepted_epoch:
            context.sync(context.durable.learn_epoch(grant.accepted_epoch))
        accepted = context.durable.accepted_epoch
        if accepted is None or known is None or accepted.term > known.term:
            context.await_primary(now)
        elif context.pre_votes.is_granted(sender, grant, context.me.id, accepted):
            self.start(EpochPlan(accepted, accepted.witnesses, Reason.PRIMARY_LOST), now)

    def _on_rejected(self, message: Rejected, now: float) -> None:
        """A newer term exists: stand back, and exceed it at the next attempt."""
        context, change = self._context, self.epoch_change
        context.pre_votes.newest_term = max(context.pre_votes.newest_term, message.prepared_term)
        if change and message.term == change.term:
            self.abandon(Reason.NEWER_TERM, now)
            return
        is_of_epoch = context.epoch is not None and message.term == context.epoch.term
        if is_of_epoch and message.prepared_term.store != context.me.id:
            self._primary.step_down(Reason.NEWER_TERM, now)

    def _advance(self, sender: str, message: ToCandidate, now: float) -> None:
        """Take the epoch change further, as far as this answer lets it."""
        context, change = self._context, self.epoch_change
        if change is None:
            return
        context.send_all(change.receive(sender, message, context.durable.state))
        if change.newer:
            self._yield_to_newer(change.newer, now)
        elif change.opened:
            self._lead(change, change.opened, now)

    def _yield_to_newer(self, newer: Epoch, now: float) -> None:
        """Give way to an epoch newer than the base: one of its replicas has to go on from there."""
        context = self._context
        self.abandon(Reason.NEWER_TERM, now)
        context.sync(context.durable.learn_epoch(newer))
        context.await_primary(now)

    def _lead(self, change: EpochChange, opened: Epoch, now: float) -> None:
        self.epoch_change = None
        is_committed = change.proposed is not None and change.proposed.is_committed
        took_s = now - change.started_at
        self._primary.begin_epoch(
            opened, is_committed=is_committed, reason=self.reason, took_s=took_s, now=now
        )
