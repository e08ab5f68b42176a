"""One store that applies at once what commands come to, with a clock that a test moves. No I/O."""

from __future__ import annotations

from fordtrestle.coordination.answers import Answer
from fordtrestle.coordination.commands import Command
from fordtrestle.coordination.evaluation import EvaluationContext, evaluate
from fordtrestle.coordination.observation_clock import ObservationClock
from fordtrestle.coordination.state import EMPTY

RETENTION_S = 30.0


class Stage:
    def __init__(self):
        self.state, self.sequence, self.now = EMPTY, 0, 100.0
        self.clock = ObservationClock(RETENTION_S)

    def ask(self, command: Command) -> Answer:
        """Evaluate a command, and apply what it changes."""
        context = EvaluationContext(self.state, self.sequence, self.clock, self.now)
        evaluation = evaluate(command, context)
        if evaluation.change:
            self.sequence += 1
            self.state = self.state.apply(evaluation.change, self.sequence)
            self.clock.observe(self.state, self.now)
        return evaluation.answer

    def fail_over(self, unseen_s: float = 0.0) -> None:
        """Go on with a store that holds the same state, and observes it only now."""
        self.now += unseen_s
        self.clock = ObservationClock(RETENTION_S)
        self.clock.observe(self.state, self.now)
