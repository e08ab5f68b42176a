"""Time-outs and waits of the discovery client, and why they add up. Pure.

A change has to take effect within 6 s after the registry had it and could be reached. This includes a client
that at that moment has a request in flight which will never be answered, and one whose watch has gone silent.
The bounds, in seconds; what is left of the 6 s (at least 1 s) is for the request that succeeds, which is
answered at once:

| in the way                                         | lists are pushed         | lists are asked for     |
| -------------------------------------------------- | ------------------------ | ----------------------- |
| a connect that hangs, then the wait                | 1.25 + 1.0        = 2.25 | 1.25 + 1.5       = 2.75 |
| the same, and 2 s in the registry's queue          |                          | 1.25 + 1.5 + 2.0 = 4.75 |
| a request that is never answered, then the wait    | 2.75 + 1.0        = 3.75 | 2.75 + 1.5       = 4.25 |
| a connect that succeeds late and is never answered | 1.25 + 2.75 + 1.0 = 5.0  |                         |
| a watch that is silent since its last line         | 3.5 + 1.0         = 4.5  | 3.5 + 1.5        = 5.0  |

The waits are `MAX_BACKOFF_S`, and where lists are asked for what the decision module takes to ask again,
1.5 s. There a request that is accepted at last stands in the registry's queue, and has 2 s more from the end
of that wait. After a move to another registry the complete list is asked for first, within the same bounds,
and the watch starts from it.
"""

from __future__ import annotations

CONNECT_TIMEOUT_S = 1.25  # the system sends a lost first packet again after 1 s
# From the connection to the first complete line, or to the end of a complete list. Where lists are asked for,
# a request may be queued for 2 s, and a watch without changes may start with its heartbeat.
ANSWER_TIMEOUT_S = 2.75
HEARTBEAT_INTERVAL_S = 2.0  # the registry sends an empty line as often on a watch
WATCH_TIMEOUT_S = HEARTBEAT_INTERVAL_S + 1.5  # a watch whose heartbeat is later than that is broken
# The waits between two watches, jitter included. With the longest, 200 processes without a registry connect
# 270 times a second.
MIN_BACKOFF_S = 0.1
MAX_BACKOFF_S = 1.0
STABLE_AFTER_S = 10.0  # a watch that worked that long is followed by the shortest wait
FAULT_LOG_QUIET_S = 10.0  # faults that follow each other sooner are logged once
