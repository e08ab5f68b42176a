"""The program's own load generator in a process of its own, and the line that it shows each second."""

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
NEW_LINE = "\r\x1b[K"  # what it writes in place of an old one
PATIENCE_S = 30.0  # from a line to the next, the first included
END_S = 90.0  # from its last line to its end: the first plot on a machine looks for all fonts
STOP_S = 30.0  # from being told to end to its report: a plot takes seconds of CPU
READ = 65536  # bytes


class Loading:
    """`fordtrestle load` at work. It shows lines to terminals only, so its standard error is one."""

    def __init__(self, program: Program, terminal: int) -> None:
        self._program = program
        self._terminal: int | None = terminal
        self._lines: asyncio.Queue[tuple[int, str] | None] = asyncio.Queue()
        self._last = "no word"  # that is no live line: what was wrong
        asyncio.get_running_loop().add_reader(terminal, self._read)

    @classmethod
    async def start(cls, arguments: Sequence[str]) -> Loading:
        """Start `fordtrestle load` with these arguments; `ProgramError` if it can't be."""
        try:
            terminal, other = os.openpty()
        except OSError as error:
            raise ProgramError(f"no terminal for the load generator: {error.strerror}") from error
        try:
            tty.setraw(other)  # each line comes in one piece, as it was written
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
        """Its process id."""
        return self._program.pid

    async def lines(self) -> AsyncIterator[tuple[int, str]]:
        """Each line with its second, as it comes, to the last; `ProgramError` if none comes in time."""
        while True:
            try:
                line = await asyncio.wait_for(self._lines.get(), PATIENCE_S)
            except TimeoutError:
                raise ProgramError(f"the load generator says nothing for {PATIENCE_S:g} s") from None
            if line is None:
                return
            yield line

    async def end(self) -> str:
        """Its table, once it has ended; `ProgramError` where it has none."""
        table = await self._program.hear_all(END_S)
        code = await self._program.wait(END_S)
        if code not in (0, 1):  # 1: unsound or past a bound, which the table tells
            raise ProgramError(f"the load generator ended with code {code}: {self._last}")
        return table.decode(errors="replace").rstrip()

    async def stop(self) -> None:
        """End it, if it still runs; it reports what it has measured until then."""
        try:
            await self._program.stop(STOP_S)
        finally:
            self._close()

    def _read(self) -> None:
        assert self._terminal is not None
        try:
            data = os.read(self._terminal, READ)
        except BlockingIOError:
            return
        except OSError:  # nobody holds its other end any more
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
