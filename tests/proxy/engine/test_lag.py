"""The lag of the event loop, in virtual time."""

from __future__ import annotations

import heapq
import itertools

from fordtrestle.proxy.engine.lag import LoopLagMeter


class VirtualLoop:
    """A scheduler whose time the test advances; after a stall, due timers run late."""

    def __init__(self):
        self.now = 0.0
        self._due = []
        self._order = itertools.count()

    def time(self):
        return self.now

    def call_at(self, when, callback, *args):
        heapq.heappush(self._due, (when, next(self._order), callback, args))

    def call_later(self, delay, callback, *args):
        self.call_at(self.now + delay, callback, *args)

    call_soon = None

    def run(self, until):
        while self._due and self._due[0][0] <= until:
            when, _, callback, args = heapq.heappop(self._due)
            self.now = max(self.now, when)
            callback(*args)
        self.now = until

    def stall(self, seconds):
        self.now += seconds

    def turn(self):
        """Run one iteration of the loop: the timers that are due when it begins."""
        due = [heapq.heappop(self._due) for _ in range(sum(row[0] <= self.now for row in self._due))]
        for _, _, callback, args in due:
            callback(*args)

    @property
    def pending(self):
        return len(self._due)


def test_in_the_turn_after_a_stall_the_lag_is_the_stall():
    loop = VirtualLoop()
    meter = LoopLagMeter(loop, lambda: loop.now * 1000.0, lambda: True)
    meter.wake()
    loop.run(1.0)
    assert meter.now_ms == 0.0
    assert meter.mean_ms < 1e-6
    loop.stall(0.5)
    assert 400.0 <= meter.now_ms <= 500.0
    loop.run(loop.now)
    assert meter.now_ms == 0.0  # the sample was taken
    assert 40.0 <= meter.mean_ms <= 50.0  # one stall in a second of samples
    loop.run(loop.now + 1.1)
    assert meter.mean_ms < 1e-6


def test_repeated_stalls_raise_the_mean_lag():
    loop = VirtualLoop()
    meter = LoopLagMeter(loop, lambda: loop.now * 1000.0, lambda: True)
    meter.wake()
    for _ in range(30):
        loop.stall(0.2)
        loop.run(loop.now)
    assert meter.mean_ms >= 100.0


def test_while_the_process_is_idle_no_timer_is_set():
    loop, busy = VirtualLoop(), True
    meter = LoopLagMeter(loop, lambda: loop.now * 1000.0, lambda: busy)
    assert loop.pending == 0
    meter.wake()
    meter.wake()
    assert loop.pending == 1
    loop.run(0.5)
    busy = False
    loop.stall(0.5)
    loop.run(1.0)
    assert loop.pending == 0
    loop.stall(60.0)
    assert meter.mean_ms < 1e-6
    assert meter.now_ms == 0.0
    meter.wake()
    assert loop.pending == 1
    assert meter.now_ms == 0.0


def test_the_iteration_after_a_late_sample_still_reports_the_lag():
    """A process that was stopped in its sleep handles timers first and sockets in the next iteration."""
    loop = VirtualLoop()
    meter = LoopLagMeter(loop, lambda: loop.now * 1000.0, lambda: True)
    meter.wake()
    loop.run(0.05)
    loop.stall(0.5)
    loop.turn()  # runs the sample but reads no socket
    assert meter.now_ms >= 400.0  # applies to data that is read now
    loop.turn()
    assert meter.now_ms == 0.0
    assert loop.pending == 1
    loop.run(loop.now + 0.1)
    loop.stall(0.03)
    loop.turn()  # a slightly late sample does not indicate a stop
    assert meter.now_ms == 0.0


def test_a_stall_in_the_turn_after_a_late_sample_counts_like_any_other():
    """Guards against ignoring a second stall while the first one is being measured."""
    loop = VirtualLoop()
    meter = LoopLagMeter(loop, lambda: loop.now * 1000.0, lambda: True)
    meter.wake()
    loop.stall(0.5)
    loop.turn()  # the sample
    for _ in range(3):
        loop.stall(0.3)  # before the next iteration ends
        loop.turn()
        assert 299.0 <= meter.now_ms <= 301.0  # applies to data that is read now
    loop.turn()
    assert meter.now_ms == 0.0
    assert loop.pending == 1
    assert 129.0 <= meter.mean_ms <= 131.0  # 400 and three times 300 ms in a second of samples
