"""How attempts end, as plain numbers and by what an end tells. Pure.

Plain numbers, since the outcome of each attempt is compared several times.
"""

from __future__ import annotations

from fordtrestle.balancer import model

OK, ERROR, FULL, TIMEOUT, CONNECT_FAILED, RESET, CANCELLED, ABANDONED = map(int, model.Outcome)

NEVER_RAN = frozenset((FULL, CONNECT_FAILED, ABANDONED))
OWN_ENDS = frozenset((CANCELLED, ABANDONED))  # ended on our side: they are no evidence of the service
MAY_RUN_STILL = frozenset((TIMEOUT, RESET, CANCELLED))  # the server may be at it still
ANSWERS = frozenset((OK, ERROR, FULL))  # a whole answer came, and the connection can be used again
