"""Polling for a condition of another process, which sends no event to the test."""

from __future__ import annotations

import asyncio


async def poll(is_fulfilled, interval_s=0.01):
    """Call an asynchronous function until it returns true; the caller sets the timeout."""
    while True:
        if await is_fulfilled():
            return
        await asyncio.sleep(interval_s)
