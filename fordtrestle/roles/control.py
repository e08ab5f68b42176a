"""The `control` role: runs one control process from start-up to shutdown.

The components of the process are in `control_process.py`.
"""

from __future__ import annotations

import asyncio

import eliot
from aiohttp import web

from fordtrestle.control_api.http import ControlApi
from fordtrestle.dissemination.items import Availability
from fordtrestle.peer.errors import CodecError
from fordtrestle.roles.control_process import ControlProcess
from fordtrestle.roles.control_store import open_store
from fordtrestle.roles.endpoints import ENDPOINT_CLOSE_TIMEOUT_S, serve_http, serve_metrics
from fordtrestle.roles.event_loop import RecordingEventLoop
from fordtrestle.roles.process import LINKS_CLOSE_TIMEOUT_S
from fordtrestle.roles.role_runner import EXIT_FAILED, run_role
from fordtrestle.roles.shutdown import EXIT_DONE, ShutdownBudget
from fordtrestle.settings.records import BootSettings
from fordtrestle.storage.errors import UnknownFormatError
from fordtrestle.storage.log import RecordLog

# Part of the remaining time that is reserved for closing endpoints and links after the hand-over.
CLOSE_RESERVE_S = 1.5

# For accepted calls to be answered: as long as a call may take (`control_api/coordination_http.py`).
CALLS_CLOSE_TIMEOUT_S = 1.0


async def run(boot: BootSettings) -> int:
    """Serve until SIGTERM and return the exit code."""
    if boot.data_dir is None:
        eliot.log_message("control:no-disk", reason="data_dir is not set")
        return EXIT_FAILED
    with RecordLog(boot.data_dir) as log:
        try:
            durable = await open_store(log, _must_bootstrap(boot))
        except (CodecError, UnknownFormatError) as error:
            eliot.log_message("control:disk-unreadable", reason=str(error))
            return EXIT_FAILED
        await _serve(ControlProcess(boot, log, durable), boot)
    return EXIT_DONE


def _must_bootstrap(boot: BootSettings) -> bool:
    """Return whether a new store of this process bootstraps the core: only on the first seed, if enabled."""
    is_first_seed = bool(boot.seeds) and boot.listen["control"] == boot.seeds[0]
    return boot.bootstrap and is_first_seed


async def _serve(control: ControlProcess, boot: BootSettings) -> None:
    """Start, serve until SIGTERM, and shut down.

    Endpoints are closed after the hand-over, so that this process serves callers until another one can.
    """
    await control.process.start()
    control.process.announce(Availability.READY)
    api = control.make_api(boot)
    runners = await _serve_endpoints(control, api, boot)
    budget = await _run_until_handed_over(control)
    control.watches.close()
    await budget.run_step("open calls", api.open_calls.close(), CALLS_CLOSE_TIMEOUT_S)
    for runner in runners:
        await budget.run_step("endpoint", runner.cleanup(), ENDPOINT_CLOSE_TIMEOUT_S)
    await budget.run_step("links", control.process.mesh.close(), LINKS_CLOSE_TIMEOUT_S)


async def _serve_endpoints(
    control: ControlProcess, api: ControlApi, boot: BootSettings
) -> list[web.AppRunner]:
    """Start the control API, and the directory and metrics endpoints if the settings name addresses."""
    loop = asyncio.get_running_loop()
    assert isinstance(loop, RecordingEventLoop)
    quotas = control.quotas
    control_budget = quotas.budget("control")
    runners = [await serve_http(api.application(), boot.listen["control"], control_budget, loop.poll_times)]
    directory = control.make_directory(boot)
    if "directory" in boot.listen:
        directory_budget = quotas.budget("directory")
        runners.append(await serve_http(directory.application(), boot.listen["directory"], directory_budget))
    runners += await serve_metrics(
        boot, quotas, lambda: {**control.figures(), **api.figures(), **directory.figures()}
    )
    return runners


async def _run_until_handed_over(control: ControlProcess) -> ShutdownBudget:
    """Run until SIGTERM and hand over the state of this store; return the remaining shutdown budget."""
    async with asyncio.TaskGroup() as tasks:
        background = [tasks.create_task(work) for work in control.background_tasks()]
        await control.process.shutdown_requested.wait()
        budget = control.process.begin_shutdown()
        hand_over_s = budget.remaining_s() - CLOSE_RESERVE_S
        is_handed_over = await budget.run_step("hand over", control.leave(), hand_over_s)
        eliot.log_message("control:shut-down", needed=not is_handed_over)
        for task in background:
            task.cancel()
    return budget


def main() -> int:
    """Run the role as a process and return the exit code."""
    return run_role(run, RecordingEventLoop)
