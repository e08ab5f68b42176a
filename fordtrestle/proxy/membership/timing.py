"""Timeouts and waits of the discovery client, and the bound that their sums have to meet. Pure.

A change has to take effect within 6 s after the registry has it and is reachable. This also applies to a
client that at this moment has a request in flight which is never answered, or whose watch has gone silent.
The table shows the longest delays before the request that succeeds, in seconds. This request is answered at
once, and at least 1 s of the 6 s is left for it.

| cause of the delay                                 | lists are pushed         | lists are requested     |
| -------------------------------------------------- | ------------------------ | ----------------------- |
| a connect that hangs, then the wait                | 1.25 + 1.0        = 2.25 | 1.25 + 1.5       = 2.75 |
| the same, and 2 s in the registry's queue          |                          | 1.25 + 1.5 + 2.0 = 4.75 |
| a request that is never answered, then the wait    | 2.75 + 1.0        = 3.75 | 2.75 + 1.5       = 4.25 |
| a connect that succeeds late and is never answered | 1.25 + 2.75 + 1.0 = 5.0  |                         |
| a watch that is silent since its last line         | 3.5 + 1.0         = 4.5  | 3.5 + 1.5        = 5.0  |

The wait is `MAX_BACKOFF_S` if lists are pushed, and otherwise the 1.5 s after which the decision module
repeats a request. In the latter case, a request that is finally accepted may be in the registry's queue for
another 2 s after the wait. After a move to another registry, the complete list is requested first, within the
same bounds, and the watch starts from its version.
"""

from __future__ import annotations

CONNECT_TIMEOUT_S = 1.25  # the system retransmits a lost SYN after 1 s
# From the connection to the first complete line, or to the end of a complete list. If lists are requested, a
# request may be queued for 2 s, and a watch without changes may start with its heartbeat.
ANSWER_TIMEOUT_S = 2.75
HEARTBEAT_INTERVAL_S = 2.0  # the interval at which the registry sends an empty line on a watch
WATCH_TIMEOUT_S = HEARTBEAT_INTERVAL_S + 1.5  # a watch without a heartbeat for this long is broken
# The waits between two watches, including jitter. With the longest wait, 200 processes without a registry
# connect 270 times per second.
MIN_BACKOFF_S = 0.1
MAX_BACKOFF_S = 1.0
STABLE_AFTER_S = 10.0  # a watch that was alive for this long resets the wait to the shortest one
FAULT_LOG_QUIET_S = 10.0  # of faults with shorter intervals, only the first is logged
