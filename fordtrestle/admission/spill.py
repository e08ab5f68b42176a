"""The share of a callee's requests that goes to other regions because the own one is slower. Pure.

Each sidecar moves its share by small steps on what it sees of both sides, so that a region's sidecars come
to a share together without being told of one another. A crossing costs its delay, which is part of what is
seen.
"""

from __future__ import annotations

GAIN = 0.1  # weight of the newest answer
STEP = 0.03  # of the share, an answer
SHARE_MOST = 0.6
SLOW = 0.25  # of the objective: answers that begin sooner have no reason to cross
MARGIN = 0.05  # of the objective that the other side has to be quicker by
FORGET = 0.003  # of the other side's lateness, an answer of the near one: it is seen little of


class Spill:
    """Delays are shares of the objective."""

    def __init__(self) -> None:
        self.share = 0.0
        self._near = 0.0
        self._far = 0.0

    def learn(self, near: bool, delay: float) -> None:
        """Take in how late an answer began."""
        if near:
            self._near += GAIN * (delay - self._near)
            self._far -= FORGET * self._far
        else:
            self._far += GAIN * (delay - self._far)
        slower = self._near > SLOW and self._near > self._far + MARGIN
        self.share = min(SHARE_MOST, max(0.0, self.share + (STEP if slower else -STEP)))
