"""Tests of the stand-in for discovery: the list, and watches that receive changes."""

from __future__ import annotations

import asyncio
import json

from rig.clients import ask_raw
from rig.registry import Board, Registry, entries, entry
from tests.rig.waiting import PATIENCE_S, address_of, bounded, until


async def send_request(registry, target):
    reader, writer = await asyncio.open_connection(*address_of(registry.address))
    writer.write(f"GET {target} HTTP/1.1\r\nHost: registry\r\n\r\n".encode())
    return reader, writer


async def chunk(reader):
    async with asyncio.timeout(PATIENCE_S):
        size = int(await reader.readuntil(b"\r\n"), 16)
        return (await reader.readexactly(size + 2))[:-2]


@bounded
async def test_a_watch_receives_changes_after_the_list():
    registry = await Registry(entries(["127.0.0.1:1", "127.0.0.1:2"])).start()
    head = b"GET /registry/instances HTTP/1.1\r\nHost: registry\r\n\r\n"
    body = json.loads((await ask_raw(address_of(registry.address), head, PATIENCE_S)).body)
    assert (body["index"], body["snapshot"], [row["name"] for row in body["endpoints"]]) == (
        41,
        True,
        ["s0", "s1"],
    )
    reader, writer = await send_request(registry, "/registry/instances?watch=1&from=41")
    async with asyncio.timeout(PATIENCE_S):
        assert b"chunked" in await reader.readuntil(b"\r\n\r\n")
    assert json.loads(await chunk(reader))["endpoints"] == []
    registry.change(entry("s1", "127.0.0.1:2", status="left"))
    news = json.loads(await chunk(reader))
    assert (news["index"], news["snapshot"], news["endpoints"][0]["status"]) == (42, False, "left")
    assert [row["name"] for row in registry.snapshot()["endpoints"]] == ["s0"]
    assert (await chunk(reader)).strip() == b""  # the heartbeat while nothing changes
    writer.close()
    await registry.stop()


@bounded
async def test_a_watch_from_an_unknown_version_gets_the_whole_list():
    registry = await Registry(entries(["127.0.0.1:1"])).start()
    reader, writer = await send_request(registry, "/registry/instances?watch=1&from=7")
    async with asyncio.timeout(PATIENCE_S):
        await reader.readuntil(b"\r\n\r\n")
    assert json.loads(await chunk(reader))["snapshot"] is True
    writer.close()
    await registry.stop()


async def watching(board, sidecar):
    reader, writer = await send_request(board.agents[sidecar], "/registry/instances?watch=1&from=41")
    async with asyncio.timeout(PATIENCE_S):
        await reader.readuntil(b"\r\n\r\n")
    await chunk(reader)
    return reader, writer


@bounded
async def test_sidecars_are_notified_with_a_delay_that_is_recorded():
    board = await Board(entries(["127.0.0.1:1", "127.0.0.1:2"]), ["n0", "n1"]).start()
    reader, writer = await watching(board, "n0")
    board.delay_ms = 50.0
    board.change("s1", "left")
    news = json.loads(await chunk(reader))
    assert [(row["name"], row["status"]) for row in news["endpoints"]] == [("s1", "left")]
    seen, unseen = board.notifications
    assert 0.07 <= seen.notified_s - seen.changed_s < 5.0
    assert unseen.notified_s is None
    await until(lambda: [row["name"] for row in board.list_at("n1")] == ["s0"])
    board.started("s1")
    board.change("s1", "active")
    news = json.loads(await chunk(reader))
    assert news["endpoints"][0]["since_ms"] > 0
    await until(lambda: board.list_at("n1")[-1]["name"] == "s1")
    _, late = await watching(board, "n1")  # n1 has not watched before and receives only the newest change
    assert [one.notified_s is not None for one in board.notifications] == [True, False, True, True]
    writer.close()
    late.close()
    await board.stop()


@bounded
async def test_a_silent_board_delivers_its_changes_later_in_order():
    board = await Board(entries(["127.0.0.1:1"]), ["n0"]).start()
    reader, writer = await watching(board, "n0")
    board.hush(True)
    for status in ("leaving", "left", "active"):
        board.change("s0", status)
    await until(lambda: len(board._pending) == 3)
    head = b"GET /registry/instances HTTP/1.1\r\nHost: registry\r\n\r\n"
    answer = await ask_raw(address_of(board.agents["n0"].address), head, 0.1)
    assert (answer.status, answer.ended) == (0, False)
    assert all(one.notified_s is None for one in board.notifications)
    board.hush(False)
    statuses = [json.loads(await chunk(reader))["endpoints"][0]["status"] for _ in range(3)]
    assert statuses == ["leaving", "left", "active"]
    assert all(one.notified_s is not None for one in board.notifications)
    writer.close()
    await board.stop()


@bounded
async def test_without_watches_a_change_counts_as_written_when_its_agent_receives_it():
    board = await Board(entries(["127.0.0.1:1"]), ["n0"], watched=False).start()
    board.change("s0", "leaving")
    await until(lambda: board.notifications[0].notified_s is not None)
    assert board.list_at("n0")[0]["status"] == "leaving"
    await board.stop()
