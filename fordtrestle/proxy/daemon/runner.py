"""Runs a program from its start to its end, moved by signals."""

from __future__ import annotations

import asyncio
import gc
from collections.abc import Callable
from typing import Protocol, TypeVar

from fordtrestle.proxy.daemon.process import LISTEN_AFTER_SIGNAL_S
from fordtrestle.proxy.daemon.signals import Reloads, Signals
from fordtrestle.proxy.engine.log import log

CLOSING_TURNS = 4  # of the loop, until the callbacks of all that was closed have run


class Program(Protocol):
    """What `run` runs."""

    async def start(self) -> object:
        """Be ready.

        Raises:
            OSError: It can't listen, or can't open a file that it needs.
        """

    def reload(self) -> None:
        """Read the configuration again."""

    async def drain(self, signalled_at: float | None = None) -> None:
        """Stop listening and finish what was accepted.

        Args:
            signalled_at: When the signal to end came, in the loop's seconds.
        """

    def close(self) -> None:
        """Close what is left."""

    def unreleased(self) -> list[str]:
        """Return what is still used of quotas though everything is closed, a text each."""


P = TypeVar("P", bound=Program)


def _ignore(program: object) -> None:
    pass


async def run(
    make: Callable[[asyncio.AbstractEventLoop], P],
    signals: Signals,
    on_draining: Callable[[P], None] = _ignore,
) -> None:
    """Run a program until SIGTERM, and then until all that it accepted is answered.

    However it ends, no signal ends the process from then on.

    Args:
        make: Makes the program.
        signals: The process' signals, whose handlers are installed already.
        on_draining: Called with the program as soon as it is signalled to end.

    Raises:
        OSError: It can't start.
    """
    loop = asyncio.get_running_loop()
    try:
        program = make(loop)
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
        # What is there now stays: later collections need not walk it, and so stop the loop for less long.
        gc.collect()
        gc.freeze()
        await stop.wait()
        on_draining()
        # Guards against a signal that came during the start, or long before this turn of the loop: the time
        # to SIGKILL runs from then.
        signalled_at = loop.time() if signals.signalled_at is None else signals.signalled_at
        await asyncio.sleep(max(0.0, signalled_at + LISTEN_AFTER_SIGNAL_S - loop.time()))
        await program.drain(signalled_at)
    finally:
        reloads.close()
        program.close()
    for _ in range(CLOSING_TURNS):
        await asyncio.sleep(0)
    if program.unreleased():
        log(f"ledgers: not given back: {', '.join(program.unreleased())}")
