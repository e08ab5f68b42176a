"""Helper processes of the rig, which read commands and write answers as JSON lines."""

from __future__ import annotations

import asyncio
import gc
import json
import os
import signal
import sys
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

from rig.process import MAX_LINE_BYTES, Program, ProgramError, clean_environment, raise_descriptors

ROOT = Path(__file__).resolve().parent.parent
PATIENCE_S = 15.0


class Helper:
    """Controls a helper process."""

    def __init__(self, program: Program) -> None:
        self._program = program

    @classmethod
    async def start(cls, module: str, arguments: Sequence[str] = ()) -> Helper:
        """Start `python -m module`.

        Raises:
            ProgramError: If it fails to start.
        """
        argv = [sys.executable, "-m", module, *arguments]
        environment = clean_environment(PYTHONPATH=str(ROOT))
        return cls(await Program.start(argv, cwd=ROOT, environment=environment, talks=True))

    async def hear(self) -> Any:
        """Read the next message of the helper.

        Raises:
            ProgramError: If none arrives in time.
        """
        return json.loads(await self._program.hear(PATIENCE_S))

    async def ask(self, **command: Any) -> Any:
        """Send a command and return its answer.

        Raises:
            ProgramError: If no answer arrives or the command failed.
        """
        await self._program.say(json.dumps(command).encode() + b"\n", PATIENCE_S)
        answer = await self.hear()
        if isinstance(answer, dict) and "wrong" in answer:
            raise ProgramError(str(answer["wrong"]))
        return answer

    async def kill(self) -> int:
        """Kill the process; return its exit code."""
        self._program.signal(signal.SIGKILL)
        return await self._program.stop()

    async def stop(self) -> int:
        """Stop the process, first by closing its standard input; return its exit code."""
        self._program.hang_up()
        code = await self._program.wait(3.0)
        return await self._program.stop() if code is None else code


def obey(line: bytes, act: Callable[..., Any]) -> None:
    """Run a command and write its answer, or the error if it fails."""
    try:
        answer = act(**json.loads(line))
    except (ValueError, TypeError, KeyError) as error:
        answer = {"wrong": f"{type(error).__name__}: {error}"}
    say(answer)


def say(answer: Any) -> None:
    """Write a message to the owner."""
    sys.stdout.write(json.dumps(answer) + "\n")
    sys.stdout.flush()


def prepare() -> None:
    """Prepare a helper process: raise descriptors to the hard limit and freeze objects for collections."""
    raise_descriptors()
    gc.collect()
    gc.freeze()


async def obey_until_hung_up(act: Callable[..., Any]) -> None:
    """Run commands until the owner closes standard input, which bounds this wait."""
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(limit=MAX_LINE_BYTES)
    # A duplicate, since the file object of standard input would close its descriptor with it.
    pipe = os.fdopen(os.dup(sys.stdin.fileno()), "rb", buffering=0)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), pipe)
    while line := await reader.readline():
        obey(line, act)
