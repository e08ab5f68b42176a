"""Health probes that the decision module requests."""

from __future__ import annotations

from collections.abc import Callable

from fordtrestle.balancer.model import Outcome
from fordtrestle.proxy.engine.clock import Clock
from fordtrestle.proxy.engine.ports import AttemptResult, Scheduler, Upstreams

# Far longer than a healthy server takes to answer a probe.
PROBE_TIMEOUT_MS = 1000.0

ProbeDone = Callable[[str, AttemptResult, float], None]


class Prober:
    """Sends probes, each with a time-out, and reports each result with its duration."""

    def __init__(self, loop: Scheduler, clock: Clock, on_result: ProbeDone) -> None:
        """Create a prober.

        Args:
            loop: Runs the time-outs.
            clock: Measures how long probes take.
            on_result: Called once per probe, in a later iteration of the loop, with the server, the result
                and the duration in milliseconds.
        """
        self._loop = loop
        self._clock = clock
        self._on_result = on_result

    def probe(self, upstreams: Upstreams, server: str) -> None:
        """Start a probe of a server."""
        sent_at_ms = self._clock.now()

        def done(result: AttemptResult) -> None:
            timer.cancel()
            self._report(server, sent_at_ms, result)

        def expire() -> None:
            exchange.abandon()
            self._report(server, sent_at_ms, AttemptResult(Outcome.TIMEOUT))

        exchange = upstreams.probe(server, done)
        timer = self._loop.call_later(PROBE_TIMEOUT_MS / 1000.0, expire)

    def skip(self, server: str) -> None:
        """Report a probe as abandoned without sending it, as there is no capacity for optional work."""
        now = self._clock.now()
        self._loop.call_soon(self._report, server, now, AttemptResult(Outcome.ABANDONED))

    def _report(self, server: str, sent_at_ms: float, result: AttemptResult) -> None:
        self._on_result(server, result, self._clock.now() - sent_at_ms)
