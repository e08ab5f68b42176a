"""Runs the load generator of the program in a process and reads the line that it shows each second."""

from __future__ import annotations

import asyncio
import contextlib
import os
import re
import sys
import tty
from collections.abc import AsyncIterator, Sequence

from rig.helper import ROOT
from rig.process import Program, ProgramError, clean_environment

LIVE = re.compile(r"\s*(\d+) s  \d+ ended")
NEW_LINE = "\r\x1b[K"  # sequence that replaces the previous line
PATIENCE_S = 30.0  # maximum time until the first and between lines
END_S = 90.0  # from its last line to its end: the first plot on a machine scans all fonts
STOP_S = 30.0  # from the stop signal to its report: a plot takes seconds of CPU
READ_BYTES = 65536


class Loading:
    """A running `fordtrestle load`. Its standard error is a terminal, since it shows lines only there."""

    def __init__(self, program: Program, terminal: int) -> None:
        self._program = program
        self._terminal: int | None = terminal
        self._lines: asyncio.Queue[tuple[int, str] | None] = asyncio.Queue()
        self._last = "no output"  # last line that is not a live line, such as an error
        asyncio.get_running_loop().add_reader(terminal, self._read)

    @classmethod
    async def start(cls, arguments: Sequence[str]) -> Loading:
        """Start `fordtrestle load` with these arguments.

        Raises:
            ProgramError: If it fails to start.
        """
        try:
            terminal, other = os.openpty()
        except OSError as error:
            raise ProgramError(f"cannot open a terminal for the load generator: {error.strerror}") from error
        try:
            tty.setraw(other)  # passes each line through unchanged and in one piece
            os.set_blocking(terminal, False)
            argv = [sys.executable, "-m", "fordtrestle", "load", *arguments]
            environment = clean_environment()
            program = await Program.start(argv, cwd=ROOT, environment=environment, talks=True, errors=other)
        except BaseException:
            os.close(terminal)
            raise
        finally:
            os.close(other)
        return cls(program, terminal)

    @property
    def pid(self) -> int:
        """Process id."""
        return self._program.pid

    async def lines(self) -> AsyncIterator[tuple[int, str]]:
        """Yield each line with its second until the last.

        Raises:
            ProgramError: If no line arrives in time.
        """
        while True:
            try:
                line = await asyncio.wait_for(self._lines.get(), PATIENCE_S)
            except TimeoutError:
                raise ProgramError(f"the load generator wrote no line for {PATIENCE_S:g} s") from None
            if line is None:
                return
            yield line

    async def end(self) -> str:
        """Wait for the end and return its table.

        Raises:
            ProgramError: If it does not end in time, or fails.
        """
        table = await self._program.hear_all(END_S)
        code = await self._program.wait(END_S)
        if code not in (0, 1):  # 1: invalid or over a bound, as the table shows
            raise ProgramError(f"the load generator ended with code {code}: {self._last}")
        return table.decode(errors="replace").rstrip()

    async def stop(self) -> None:
        """Stop it if it still runs; it reports its measurements up to then."""
        try:
            await self._program.stop(STOP_S)
        finally:
            self._close()

    def _read(self) -> None:
        assert self._terminal is not None
        try:
            data = os.read(self._terminal, READ_BYTES)
        except BlockingIOError:
            return
        except OSError:  # the other end is closed
            data = b""
        if not data:
            self._close()
            return
        for text in data.decode(errors="replace").split(NEW_LINE):
            if found := LIVE.match(text):
                self._lines.put_nowait((int(found[1]), text.rstrip()))
            elif text.strip():
                self._last = text.strip().splitlines()[-1]

    def _close(self) -> None:
        if self._terminal is not None:
            asyncio.get_running_loop().remove_reader(self._terminal)
            with contextlib.suppress(OSError):
                os.close(self._terminal)
            self._terminal = None
            self._lines.put_nowait(None)
