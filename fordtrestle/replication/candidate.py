"""The candidate role of a store: requests pre-votes and drives an epoch change to completion. Pure."""

from __future__ import annotations

from fordtrestle.replication.bootstrap import Bootstrap
from fordtrestle.replication.context import StoreContext
from fordtrestle.replication.epoch_change import EpochChange
from fordtrestle.replication.epoch_plan import EpochPlan
from fordtrestle.replication.epochs import Epoch, Term
from fordtrestle.replication.events import EpochChangeFailed, EpochChangeStarted, Reason
from fordtrestle.replication.messages import PreVoteGrant, Rejected, ToCandidate
from fordtrestle.replication.primary import Primary

RESEND_INTERVAL_S = 0.4  # between resends of a request: covers a round trip and a sync
EPOCH_CHANGE_TIMEOUT_S = 2.5  # an epoch change that takes longer is abandoned and retried
INSTALL_TIMEOUT_S = 20.0  # used instead while the whole state is sent to live replicas


class Candidate:
    """Makes a store primary: pre-vote, then epoch change. Times are in seconds of a monotonic clock.

    Attributes:
        epoch_change: The epoch change in progress, or None.
        reason: Why the current or the last epoch change was started.
    """

    def __init__(self, context: StoreContext, primary: Primary, bootstrap: Bootstrap) -> None:
        self.epoch_change: EpochChange | None = None
        self.reason = Reason.BOOTSTRAP
        self._context = context
        self._primary = primary
        self._bootstrap = bootstrap
        self._resend_at = 0.0

    def receive(self, sender: str, message: ToCandidate, now: float) -> None:
        """Handle a response to a pre-vote or to a request of the epoch change."""
        match message:
            case PreVoteGrant():
                self._on_pre_vote_grant(sender, message, now)
            case Rejected():
                self._on_rejected(message, now)
            case _:
                self._advance(sender, message, now)

    def start_pre_vote(self, now: float) -> None:
        """Ask the witnesses whether they also suspect the primary.

        Guards against disruption by a partitioned store: it does not raise the term, which would depose the
        primary, until a majority has confirmed that it suspects the primary too. Stores that are not replicas
        also ask, because each may be a replica of an epoch that it has not learned of yet.
        """
        context = self._context
        context.detector.reset_timer(context.durable.accepted_epoch, now)
        is_resend = context.detector.is_restarted_primary
        context.send_all(context.pre_votes.request(context.durable, context.peers.ids(), is_resend))

    def start(self, plan: EpochPlan, now: float) -> None:
        """Start an epoch change under a term newer than any that this store knows of."""
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
            required_voters=plan.required_voters,
        )
        self.epoch_change, self.reason = change, plan.reason
        context.pre_votes.cancel()
        self._resend_at = now + RESEND_INTERVAL_S
        witnesses = tuple(store.id for store in plan.witnesses)
        context.events.record(EpochChangeStarted(change.term.number, plan.reason, witnesses))
        context.send_all(change.start())

    def maintain_epoch_change(self, now: float) -> None:
        """Resend unanswered requests when due, or abandon the epoch change once it has timed out."""
        context, change = self._context, self.epoch_change
        if change is None:
            return
        if self._is_overdue(change, now):
            self.abandon(Reason.TIMED_OUT, now)
        elif now >= self._resend_at:
            self._resend_at = now + RESEND_INTERVAL_S
            context.send_all(change.resend(context.durable.state))

    def abandon(self, reason: Reason, now: float) -> None:
        """Abandon the epoch change in progress, if any, and step down as primary."""
        change, self.epoch_change = self.epoch_change, None
        if change:
            answered = tuple(sorted(change.prepared))
            took_s = now - change.started_at
            self._context.events.record(EpochChangeFailed(change.term.number, reason, answered, took_s))
            if change.is_bootstrap:
                self._bootstrap.on_attempt_failed(now)
        self._primary.step_down(reason, now)

    def _is_overdue(self, change: EpochChange, now: float) -> bool:
        context = self._context
        live = {context.me.id} | context.peers.live(now)
        is_installing = bool(change.installing) and not change.proposed_epoch
        is_slow = is_installing and live.issuperset(change.installing)
        return now - change.started_at > (INSTALL_TIMEOUT_S if is_slow else EPOCH_CHANGE_TIMEOUT_S)

    def _on_pre_vote_grant(self, sender: str, grant: PreVoteGrant, now: float) -> None:
        """Count a grant; if it carries a newer epoch, learn that epoch and wait for its primary first."""
        context = self._context
        if not context.pre_votes.is_current(grant):
            return
        known = context.durable.accepted_epoch
        if grant.accepted_epoch:
            context.sync(context.durable.learn_epoch(grant.accepted_epoch))
        accepted = context.durable.accepted_epoch
        if accepted is None or known is None or accepted.term > known.term:
            context.await_primary(now)
        elif context.pre_votes.count_grant(sender, grant, context.me.id, accepted):
            self.start(EpochPlan(accepted, accepted.witnesses, Reason.PRIMARY_LOST), now)

    def _on_rejected(self, message: Rejected, now: float) -> None:
        """Yield to a newer term, and exceed it in the next attempt."""
        context, change = self._context, self.epoch_change
        context.pre_votes.newest_term = max(context.pre_votes.newest_term, message.prepared_term)
        if change and message.term == change.term:
            self.abandon(Reason.NEWER_TERM, now)
            return
        is_own_epoch = context.epoch is not None and message.term == context.epoch.term
        if is_own_epoch and message.prepared_term.store != context.me.id:
            self._primary.step_down(Reason.NEWER_TERM, now)

    def _advance(self, sender: str, message: ToCandidate, now: float) -> None:
        """Advance the epoch change with a response to one of its requests."""
        context, change = self._context, self.epoch_change
        if change is None:
            return
        context.send_all(change.receive(sender, message, context.durable.state))
        if change.newer_epoch:
            self._yield_to_newer(change.newer_epoch, now)
        elif change.opened_epoch:
            self._begin_leading(change, change.opened_epoch, now)

    def _yield_to_newer(self, newer: Epoch, now: float) -> None:
        """Abandon the change for an epoch newer than its base, which only one of its replicas may succeed."""
        context = self._context
        self.abandon(Reason.NEWER_TERM, now)
        context.sync(context.durable.learn_epoch(newer))
        context.await_primary(now)

    def _begin_leading(self, change: EpochChange, opened: Epoch, now: float) -> None:
        self.epoch_change = None
        is_committed = change.proposed_epoch is not None and change.proposed_epoch.is_committed
        took_s = now - change.started_at
        self._primary.begin_epoch(
            opened, is_committed=is_committed, reason=self.reason, took_s=took_s, now=now
        )
