"""The `sidecar` role: runs one sidecar process from start-up to shutdown.

The components of the process are in `sidecar_process.py`, the hand-over of its clients in `drain.py`.
"""

from __future__ import annotations

import asyncio
from functools import partial

from aiohttp import web

from fordtrestle.ingress.early_listener import EarlyListener
from fordtrestle.roles.drain import drain_sidecar
from fordtrestle.roles.early_sigterm import EarlySigterm
from fordtrestle.roles.endpoints import ENDPOINT_CLOSE_TIMEOUT_S, serve_http, serve_metrics
from fordtrestle.roles.process import LINKS_CLOSE_TIMEOUT_S
from fordtrestle.roles.role_runner import run_role
from fordtrestle.roles.shutdown import EXIT_DONE, ShutdownBudget
from fordtrestle.roles.sidecar_process import SidecarProcess
from fordtrestle.settings.records import BootSettings

READINESS_WEIGHT = 0.1  # of the quotas that all listeners share: the front serves the clients
CONNECTIONS_CLOSE_TIMEOUT_S = 0.25  # for all client connections to close


async def run(
    boot: BootSettings, early: EarlyListener | None = None, early_sigterm: EarlySigterm | None = None
) -> int:
    """Serve until SIGTERM.

    Args:
        boot: The settings.
        early: A listener that clients could connect to while the process started.
        early_sigterm: The signal, if it was received while the process started.

    Returns:
        The exit code.
    """
    sidecar = SidecarProcess(boot)
    await sidecar.process.start()
    if early_sigterm is not None:
        sidecar.process.handle_early_sigterm(early_sigterm)
    await sidecar.server.listen(boot.listen["front"], early)
    readiness_budget = sidecar.quotas.budget("readiness", READINESS_WEIGHT)
    readiness = sidecar.make_readiness().application()
    runners = [await serve_http(readiness, boot.listen["readiness"], readiness_budget)]
    runners += await serve_metrics(boot, sidecar.quotas, sidecar.figures)
    budget = await _run_until_drained(sidecar)
    await _close(sidecar, runners, budget)
    return EXIT_DONE


async def _run_until_drained(sidecar: SidecarProcess) -> ShutdownBudget:
    """Run until SIGTERM and until the sidecar is drained; return the remaining shutdown budget.

    The background tasks run until then, since the drain depends on the announcements of other sidecars.
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
    """Close all connections, client connections first."""
    await budget.run_step("connections of clients", sidecar.server.close(), CONNECTIONS_CLOSE_TIMEOUT_S)
    for runner in runners:
        await budget.run_step("endpoint", runner.cleanup(), ENDPOINT_CLOSE_TIMEOUT_S)
    await budget.run_step("connections to servers", sidecar.forwarder.close(), ENDPOINT_CLOSE_TIMEOUT_S)
    await budget.run_step("links", sidecar.process.mesh.close(), LINKS_CLOSE_TIMEOUT_S)


def main(early: EarlyListener | None = None, early_sigterm: EarlySigterm | None = None) -> int:
    """Run the role as a process and return the exit code."""
    return run_role(partial(run, early=early, early_sigterm=early_sigterm))
