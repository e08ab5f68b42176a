"""Responses of a registry that are malformed, split into arbitrary parts, or endless."""

from __future__ import annotations

import asyncio
import json
import time

import pytest

from fordtrestle.proxy.membership import list_format, registry_protocol, timing
from fordtrestle.proxy.membership.registry_call import RegistryConnection
from tests.loopback import Registry, entry, listed
from tests.proxy.membership.stand_ins import HEAD, UpdateRecorder, chunk, line, make_client, until_virtual
from tests.virtual import virtual


class HostileRegistry:
    """Answers every request with the same bytes, again and again if `repeat`; records request targets."""

    def __init__(self, data, repeat=False):
        self.data, self.repeat, self.targets = data, repeat, []

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"
        return self

    async def _serve(self, reader, writer):
        self.targets.append((await reader.readuntil(b"\r\n\r\n")).split(b" ")[1].decode())
        try:
            writer.write(self.data)
            while self.repeat and not writer.is_closing():
                writer.write(self.data[self.data.index(b"\r\n\r\n") + 4 :])
                await writer.drain()
            await reader.read()
        except ConnectionError:
            pass
        writer.transport.abort()

    def stop(self):
        self._server.close()


def response(body):
    return HEAD + chunk(body)


MALFORMED = {
    "no JSON": response(b"{,}\n"),
    "no list": response(b'{"index":44,"endpoints":7}\n'),
    "no entry": response(b'{"index":44,"endpoints":[[7]]}\n'),
    "an index below 0": response(b'{"index":-5,"endpoints":[]}\n'),
    "an index that none can follow": response(b'{"index":1e300,"endpoints":[]}\n'),
    "an index that is none": response(b'{"index":1e999,"endpoints":[]}\n'),
    "changes that look complete": response(b'{"index":44,"snapshot":"false","endpoints":[]}\n'),
    "no state": response(b'{"index":44,"endpoints":[{"name":"a","status":["%b"]}]}\n' % (b"x" * 10_000)),
    "too deep": response(b"[" * 100_000 + b"\n"),
    "too long": response(b"[" * (5 * 1024 * 1024)),
    "good, then malformed": response(line(41) + b"{}}\n"),
    "half, then a heartbeat": response(b"{\n\n"),
    "no chunk": HEAD + b"zz\r\n{}\r\n",
    "no HTTP": b"\x00\x01\x02\r\n\r\n",
    "refused": b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n",
    "elsewhere": b"HTTP/1.1 302 Found\r\nLocation: http://127.0.0.1:9/\r\nContent-Length: 0\r\n\r\n",
}


@pytest.mark.parametrize("case", MALFORMED)
@virtual
async def test_a_watch_with_malformed_responses_causes_one_log_line_and_few_requests(case, capfd, recorder):
    """The valid part stays in force, and the first valid response is applied."""
    hostile = await HostileRegistry(MALFORMED[case]).start()
    client = make_client(hostile.address, recorder)
    client.start()
    await asyncio.sleep(20.0)
    assert [form for form, *_ in recorder.updates if form != "changes"] == ["remembered"]
    assert all(update[1:] == (41, []) for update in recorder.updates)
    assert 10 < len(hostile.targets) <= 6 + 20.0 / (0.5 * timing.MAX_BACKOFF_S)
    logged = capfd.readouterr().err.splitlines()
    assert len(logged) == 1
    assert len(logged[0]) < 300
    hostile.data = response(line(44, "new", snapshot=True))
    await recorder.until(lambda update: update == ("all", 44, ["new"]))
    client.close()
    hostile.stop()


@pytest.mark.parametrize(
    ("body", "repeat"),
    [(b"", False), (b"[\n", False), (b"x" * 65_535 + b"\n", True), (b"x" * 65_536, True)],
    ids=["no body", "half", "endless lines", "one endless line"],
)
@virtual
async def test_a_complete_list_that_never_ends_fails_in_bounded_time_and_memory(
    body, repeat, connections, monkeypatch, capfd, recorder
):
    hostile = await HostileRegistry(HEAD + (chunk(body) if body else b""), repeat).start()
    client = make_client(hostile.address, recorder, is_pushed=False)
    read_bytes = []
    data_received = RegistryConnection.data_received

    def record(self, data):
        read_bytes.append(len(data))
        data_received(self, data)

    monkeypatch.setattr(RegistryConnection, "data_received", record)
    started_at = asyncio.get_running_loop().time()
    client.fetch()
    await recorder.until(lambda update: update[0] == "refused")
    assert recorder.last_at - started_at <= timing.CONNECT_TIMEOUT_S + timing.ANSWER_TIMEOUT_S
    assert sum(read_bytes) <= registry_protocol.MAX_LIST_BYTES + 2 * 256 * 1024  # a read is of 256 KiB
    await until_virtual(lambda: connections[0].ended.done())
    assert len(capfd.readouterr().err.splitlines()) == 1
    client.close()
    hostile.stop()


@virtual
async def test_a_long_line_in_small_pieces_costs_no_more_than_its_length(connections):
    registry = await Registry().start()
    client = make_client(registry.address, UpdateRecorder())
    client.start()
    await until_virtual(lambda: registry.watches)
    await asyncio.sleep(0.05)
    pieces, started_at = chunk(b" ") * 40_000, time.process_time()
    for _ in range(4):
        connections[0].data_received(pieces)
    assert (
        time.process_time() - started_at < 5.0
    )  # about 0.1 s; 25 s if all earlier data is searched again for each piece
    client.close()
    registry.stop()


def test_a_list_may_be_indented_and_lack_the_snapshot_flag():
    update = list_format.parse_list(
        json.loads('{"index": 7,\n "snapshot": null, "endpoints": []}'), list_format.NameIndices({}, {})
    )
    assert (update.version, update.is_complete) == (7, False)


def indented(index, *entries):
    return json.dumps(listed(index, *entries, snapshot=False), indent=2).encode() + b"\n"


@virtual
async def test_lists_of_a_watch_may_be_indented_and_split_into_any_pieces(recorder):
    registry = await Registry().start()
    client = make_client(registry.address, recorder)
    client.start()
    await until_virtual(lambda: registry.watches)
    text = indented(42, entry("s1"), entry("s2")) + indented(43, entry("s3", status="leaving")) + b"\n"
    for at in range(0, len(text), 11):
        registry.write(text[at : at + 11])
    registry.send_update(44, entry("s4"))
    await until_virtual(lambda: len(recorder.updates) == 4)
    assert recorder.versions()[1:] == [("changes", 42), ("changes", 43), ("changes", 44)]
    assert len(registry.watches) == 1
    client.close()
    registry.stop()


@virtual
async def test_a_list_interrupted_by_a_heartbeat_ends_its_watch_and_is_requested_again(recorder):
    """No heartbeat is sent within a list, so the rest of the list will not follow."""
    registry = await Registry().start()
    client = make_client(registry.address, recorder)
    client.start()
    await until_virtual(lambda: registry.watches)
    registry.write(indented(42, entry("s1"))[:-4] + b"\n")
    registry.write(b"\n")
    await until_virtual(lambda: len(registry.watches) == 2)
    registry.send_update(42, entry("s1"))
    await until_virtual(lambda: len(recorder.updates) == 2)
    assert registry.targets[-1].endswith("from=41")
    assert recorder.versions()[1:] == [("changes", 42)]
    client.close()
    registry.stop()


@virtual
async def test_a_list_sent_line_by_line_without_an_end_is_no_proof_of_liveness():
    registry = await Registry().start()
    client = make_client(registry.address, UpdateRecorder())
    client.start()
    await until_virtual(lambda: registry.watches)
    loop = asyncio.get_running_loop()
    registry.write(b"\n")
    started_at = loop.time()
    registry.write(b"{\n")
    while len(registry.watches) == 1:
        registry.write(b' "more": 1,\n')
        await asyncio.sleep(0.5)
        assert loop.time() - started_at < timing.WATCH_TIMEOUT_S + timing.MAX_BACKOFF_S + 1.0
    client.close()
    registry.stop()
