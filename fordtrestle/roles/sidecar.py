"""The `sidecar` role: serves one sidecar process from its start to its end.

What the process consists of stands in `sidecar_process.py`, how it hands its clients over in `drain.py`.
"""

from __future__ import annotations

import asyncio
from functools import partial

from aiohttp import web

from fordtrestle.ingress.early_listener import EarlyListener
from fordtrestle.roles.drain import drain_sidecar
from fordtrestle.roles.endpoints import ENDPOINT_CLOSE_TIMEOUT_S, serve_http, serve_metrics
from fordtrestle.roles.process import LINKS_CLOSE_TIMEOUT_S
from fordtrestle.roles.role_runner import run_role
from fordtrestle.roles.shutdown import EXIT_DONE, ShutdownBudget
from fordtrestle.roles.sidecar_process import SidecarProcess
from fordtrestle.settings.records import BootSettings

CONNECTIONS_CLOSE_TIMEOUT_S = 0.25  # for all connections of clients to close


async def run(boot: BootSettings, early: EarlyListener | None = None) -> int:
    """Serve until SIGTERM.

    Args:
        boot: The settings.
        early: A listener where clients have connected while the process started.

    Returns:
        The exit code.
    """
    sidecar = SidecarProcess(boot)
    await sidecar.process.start()
    await sidecar.server.listen(boot.listen["front"], early)
    runners = [await serve_http(sidecar.make_readiness().application(), boot.listen["readiness"])]
    runners += await serve_metrics(boot, sidecar.figures)
    budget = await _run_until_drained(sidecar)
    await _close(sidecar, runners, budget)
    return EXIT_DONE


async def _run_until_drained(sidecar: SidecarProcess) -> ShutdownBudget:
    """Run until SIGTERM and until clients have gone elsewhere; the time that remains.

    The background tasks run until then: the drain rests on what others announce.
    """
    async with asyncio.TaskGroup() as tasks:
        background = [tasks.create_task(work) for work in sidecar.background_tasks()]
        await sidecar.process.shutdown_requested.wait()
        budget = sidecar.process.begin_shutdown()
        await drain_sidecar(sidecar.process, sidecar.server, budget)
        for task in background:
            task.cancel()
    return budget


async def _close(sidecar: SidecarProcess, runners: list[web.AppRunner], budget: ShutdownBudget) -> None:
    """Close all connections, those of clients first."""
    await budget.run_step("connections of clients", sidecar.server.close(), CONNECTIONS_CLOSE_TIMEOUT_S)
    for runner in runners:
        await budget.run_step("endpoint", runner.cleanup(), ENDPOINT_CLOSE_TIMEOUT_S)
    await budget.run_step("connections to servers", sidecar.forwarder.close(), ENDPOINT_CLOSE_TIMEOUT_S)
    await budget.run_step("links", sidecar.process.mesh.close(), LINKS_CLOSE_TIMEOUT_S)


def main(early: EarlyListener | None = None) -> int:
    """Run as a process of its own; the exit code."""
    return run_role(partial(run, early=early))
