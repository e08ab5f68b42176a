"""One sidecar: starts, is ready, drains at SIGTERM and ends."""

from __future__ import annotations

import asyncio
import gc
import os
import signal
import sys

from fordtrestle import config, peers
from fordtrestle.config import Config, ConfigError
from fordtrestle.discovery import Discovery
from fordtrestle.driver import Clock, Driver, log
from fordtrestle.inbound import Inbound
from fordtrestle.outbound import Pool

# New connections go on coming for up to 0.4 s after SIGTERM; SIGKILL comes no sooner than the
# longest deadline and 0.7 s after it, and nothing may be taken past 0.7 s.
STILL_LISTEN_S = 0.5
POLL_S = 0.02
LAST_BYTES_S = 0.3


async def serve(told: Config) -> None:
    """Run until SIGTERM, and then until all that was taken is answered."""
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    clock = Clock(loop)
    driver = Driver(loop, clock, told)
    pool = Pool(loop, clock, told)
    discovery = Discovery(loop, told, driver.server_list)
    gossip = await peers.listen(loop, told, driver.peer_message)
    driver.connect(pool, discovery, gossip)
    discovery.start()
    inbound = Inbound(loop, clock, told, driver)
    await inbound.listen(told.listen)
    # What is there now stays: later collections need not walk it, and stop the loop for less.
    gc.collect()
    gc.freeze()
    await stop.wait()
    await asyncio.sleep(STILL_LISTEN_S)
    inbound.stop_listening()
    while not driver.idle:
        await asyncio.sleep(POLL_S)
        inbound.close_idle()
    inbound.close_idle()
    until = loop.time() + LAST_BYTES_S
    while not inbound.empty and loop.time() < until:
        await asyncio.sleep(POLL_S)
    inbound.close()
    pool.close()
    discovery.close()
    gossip.close()


def main() -> int:
    """Start; the exit code."""
    try:
        told = config.load(os.environ)
    except ConfigError as error:
        log(str(error))
        return 2
    try:
        asyncio.run(serve(told))
    except OSError as error:
        log(f"can't start: {error}")
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
