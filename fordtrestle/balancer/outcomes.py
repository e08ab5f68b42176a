"""Outcomes of attempts as plain integers, and sets of outcomes with a common meaning. Pure.

Plain integers are used since the outcome of each attempt is compared several times.
"""

from __future__ import annotations

from fordtrestle.balancer import model

OK, ERROR, FULL, TIMEOUT, CONNECT_FAILED, RESET, CANCELLED, ABANDONED = map(int, model.Outcome)

NEVER_RAN = frozenset((FULL, CONNECT_FAILED, ABANDONED))
ENDED_LOCALLY = frozenset((CANCELLED, ABANDONED))  # no evidence of the service
MAY_STILL_RUN = frozenset((TIMEOUT, RESET, CANCELLED))  # the server may still work on the request
ANSWERS = frozenset((OK, ERROR, FULL))  # a complete answer arrived, and the connection can be reused
