"""Runs a program from its start to its graceful shutdown, driven by signals."""

from __future__ import annotations

import asyncio
import gc
from collections.abc import Callable
from typing import Protocol, TypeVar

from fordtrestle.proxy.daemon.process import LISTEN_AFTER_SIGNAL_S
from fordtrestle.proxy.daemon.signals import Reloads, Signals
from fordtrestle.proxy.engine.log import log

CLOSING_ITERATIONS = 4  # of the event loop, which run the callbacks of closed connections


class Program(Protocol):
    """The interface of a program to `run`."""

    async def start(self) -> object:
        """Start to listen and to serve.

        Raises:
            OSError: The program can't listen, or can't open a file that it needs.
        """

    def reload(self) -> None:
        """Read the configuration again."""

    async def drain(self, signalled_at: float | None = None) -> None:
        """Stop listening and finish what was accepted.

        Args:
            signalled_at: When the signal to end was received, on the loop's clock in seconds.
        """

    def close(self) -> None:
        """Close everything that is still open."""

    def unreleased(self) -> list[str]:
        """Return a text for each quota that is still in use although everything is closed."""


P = TypeVar("P", bound=Program)


def _ignore(program: object) -> None:
    pass


async def run(
    make_program: Callable[[asyncio.AbstractEventLoop], P],
    signals: Signals,
    on_draining: Callable[[P], None] = _ignore,
) -> None:
    """Run a program until SIGTERM, and then until all accepted requests are answered.

    Signals are ignored afterwards, even if the program failed.

    Args:
        make_program: Creates the program.
        signals: The signals of the process, whose handlers are already installed.
        on_draining: Called with the program as soon as the signal to end is received.

    Raises:
        OSError: The program can't start.
    """
    loop = asyncio.get_running_loop()
    try:
        program = make_program(loop)
        await _run(loop, program, signals, lambda: on_draining(program))
    finally:
        signals.finish()


async def _run(
    loop: asyncio.AbstractEventLoop, program: Program, signals: Signals, on_draining: Callable[[], None]
) -> None:
    stop = asyncio.Event()
    reloads = Reloads(loop, program.reload)
    try:
        await program.start()
        signals.attach(loop, stop.set, reloads.request)
        # The objects of the start live as long as the process: exempt from collection, they don't lengthen
        # the pauses of the event loop.
        gc.collect()
        gc.freeze()
        await stop.wait()
        on_draining()
        # The time to SIGKILL counts from the signal, which may have been received during the start, or long
        # before this iteration of the loop.
        signalled_at = loop.time() if signals.signalled_at is None else signals.signalled_at
        await asyncio.sleep(max(0.0, signalled_at + LISTEN_AFTER_SIGNAL_S - loop.time()))
        await program.drain(signalled_at)
    finally:
        reloads.close()
        program.close()
    for _ in range(CLOSING_ITERATIONS):
        await asyncio.sleep(0)
    if program.unreleased():
        log(f"ledgers: not released: {', '.join(program.unreleased())}")
