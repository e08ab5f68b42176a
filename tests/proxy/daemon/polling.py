"""Waiting for what only asking can tell: a process of its own sends no event to the test."""

from __future__ import annotations

import asyncio


async def poll(ask, interval_s=0.01):
    """Call an asynchronous function until it returns true; the caller's time-out ends it."""
    while True:
        if await ask():
            return
        await asyncio.sleep(interval_s)
