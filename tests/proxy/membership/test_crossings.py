"""Two events of discovery that cross, each order forced; and answers that are spoilt or never end."""

from __future__ import annotations

import asyncio
import json
import time

import pytest

from fordtrestle.proxy.engine.ports import parse_address
from fordtrestle.proxy.membership import lists, registry
from tests.loopback import Registry, entry, listed
from tests.proxy.membership.standin import HEAD, NewsRecorder, Outage, asking, chunk, line
from tests.virtual import virtual


@pytest.fixture
def channels(monkeypatch):
    """Every connection to discovery that came up."""
    made = []
    whole = registry.Channel.connection_made

    def connection_made(self, transport):
        made.append(self)
        whole(self, transport)

    monkeypatch.setattr(registry.Channel, "connection_made", connection_made)
    return made


async def until(condition):
    async with asyncio.timeout(60.0):
        while not condition():
            await asyncio.sleep(0.01)


async def places():
    """Discovery at version 41, and another place that counts from its own start."""
    return await Registry().start(), await Registry(listed(3, entry("s1"))).start()


def names(recorder):
    return [(form, version) for form, version, _ in recorder.news]


@virtual
async def test_the_old_place_s_news_that_are_in_hand_at_a_move_are_not_told(channels):
    """Guards against the old place's version, for which the new one's whole list is older for good."""
    old, new = await places()
    recorder = NewsRecorder()
    discovery = asking(old.address, recorder)
    discovery.start()
    await until(lambda: old.watches)
    await asyncio.sleep(0.05)
    discovery.move(parse_address(new.address))
    channels[0].data_received(chunk(line(50, "late")))
    assert names(recorder) == [("remembered", 41)]
    await until(lambda: new.watches)
    new.tell(4, entry("s2"))
    await recorder.until(lambda news: news[1] == 4)
    assert names(recorder) == [("remembered", 41), ("all", 3), ("changes", 4)]
    discovery.close()
    old.stop()
    new.stop()


@virtual
async def test_news_that_make_their_hearer_move_are_the_last_of_that_place():
    old, new = await places()
    recorder = NewsRecorder()
    discovery = asking(old.address, recorder)
    recorder.then = lambda form: form == "changes" and discovery.move(parse_address(new.address))
    discovery.start()
    await until(lambda: old.watches)
    old.write(line(42, "a") + line(43, "b"))
    await recorder.until(lambda news: news[1] == 3)
    assert names(recorder) == [("remembered", 41), ("changes", 42), ("all", 3)]
    discovery.close()
    old.stop()
    new.stop()


@pytest.mark.parametrize("how", ["off", "closed"])
@pytest.mark.parametrize("when", ["before", "by its own news"])
@virtual
async def test_a_watch_that_is_ended_with_its_answer_in_hand_tells_nothing_more(when, how, channels):
    """Neither news nor that it was refused."""
    only = await Registry().start()
    recorder = NewsRecorder()
    discovery = asking(only.address, recorder, pushed=False)
    discovery.start()
    discovery.watch(True)
    await until(lambda: only.watches)
    await asyncio.sleep(0.05)

    def end(form):
        if how == "off":
            discovery.watch(False)
        else:
            discovery.close()

    both = chunk(line(42, "a") + line(43, "b"))
    if when == "before":
        end("")
    else:
        recorder.then = end
    channels[0].data_received(both)
    await asyncio.sleep(30.0)
    assert names(recorder) == [("remembered", 41)] + ([("changes", 42)] if when != "before" else [])
    assert only.watches[0].is_closing()
    assert len(only.asked) == 1
    discovery.close()
    only.stop()


@virtual
async def test_a_watch_that_breaks_in_the_turn_in_which_it_is_ended_was_not_refused(channels):
    only = await Registry().start()
    recorder = NewsRecorder()
    discovery = asking(only.address, recorder, pushed=False)
    discovery.watch(True)
    await until(lambda: only.watches)
    await asyncio.sleep(0.05)
    channels[0].connection_lost(None)
    discovery.watch(False)
    await asyncio.sleep(10.0)
    assert recorder.news == []
    discovery.close()
    only.stop()


@virtual
async def test_a_list_that_is_complete_in_the_turn_of_a_move_is_not_told(channels):
    old, new = await Outage("mute").start(), await Registry(listed(3, entry("s1"))).start()
    recorder = NewsRecorder()
    discovery = asking(old.address, recorder, pushed=False)
    discovery.fetch()
    await old.first.wait()
    body = line(60, "late", snapshot=True)
    channels[0].data_received(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
    assert channels[0].complete
    discovery.move(parse_address(new.address))
    await recorder.until(lambda news: news[1] == 3)
    await asyncio.sleep(10.0)
    assert names(recorder) == [("all", 3)]
    discovery.close()
    old.stop()
    new.stop()


@pytest.mark.parametrize("what", ["move", "off", "close"])
@virtual
async def test_a_dial_that_comes_up_in_the_turn_in_which_it_is_given_up_asks_nothing(what, monkeypatch):
    old, new = await places()
    discovery = asking(old.address, NewsRecorder(), pushed=False)
    whole = registry.Channel.connection_made
    given_up = []

    def connection_made(self, transport):
        whole(self, transport)
        if not given_up:
            given_up.append(transport)
            if what == "move":
                discovery.move(parse_address(new.address))
            elif what == "off":
                discovery.watch(False)
            else:
                discovery.close()

    monkeypatch.setattr(registry.Channel, "connection_made", connection_made)
    discovery.watch(True)
    await until(lambda: given_up)
    await asyncio.sleep(1.0)
    assert old.asked == []
    assert given_up[0].is_closing()
    assert bool(new.watches) == (what == "move")
    discovery.close()
    old.stop()
    new.stop()


@virtual
async def test_a_list_older_than_a_spoilt_watch_has_told_is_refused(channels, capfd):
    """Guards against servers that leave being listed as active again."""
    only = await Registry(listed(45, entry("old"))).start()
    recorder = NewsRecorder()
    discovery = asking(only.address, recorder, pushed=False)
    discovery.watch(True)
    await until(lambda: only.watches)
    only.tell(50, entry("new"))
    await recorder.until(lambda news: news[1] == 50)
    channels[0].data_received(chunk(b"{}}\n"))
    discovery.fetch()
    await asyncio.sleep(1.0)
    assert names(recorder) == [("changes", 50), ("refused", None), ("refused", None)]
    discovery.watch(True)
    await until(lambda: len(only.watches) == 2)
    assert only.asked[-1] == "/registry/instances?watch=1&from=0"  # what the spoilt line said is not known
    assert len(capfd.readouterr().err.splitlines()) == 1
    discovery.close()
    only.stop()


@virtual
async def test_nothing_is_asked_once_it_is_closed():
    only = await Registry().start()
    discovery = asking(only.address, NewsRecorder(), pushed=False)
    discovery.close()
    discovery.watch(True)
    discovery.fetch()
    discovery.move(parse_address("127.0.0.1:9"))
    await asyncio.sleep(1.0)
    assert only.asked == []
    only.stop()


@virtual
async def test_moves_in_a_row_end_at_the_last_place_whatever_is_under_way():
    """There and back while a dial hangs; then to a place that counts from its own start."""
    old, new = await places()
    hangs = await Outage("hangs").start()
    recorder = NewsRecorder()
    discovery = asking(old.address, recorder)
    discovery.start()
    await until(lambda: old.watches)
    discovery.move(parse_address(hangs.address))
    await asyncio.sleep(0.4)
    discovery.move(parse_address(hangs.address))
    discovery.move(parse_address(old.address))
    discovery.move(parse_address(hangs.address))
    await asyncio.sleep(7.0)
    discovery.move(parse_address(new.address))
    moved_at = asyncio.get_running_loop().time()
    await recorder.until(lambda news: news[1] == 3)
    assert recorder.at - moved_at < 0.1  # at once, not after the wait
    assert names(recorder) == [("remembered", 41), ("all", 3)]
    discovery.close()
    for place in (old, new, hangs):
        place.stop()


class Hostile:
    """Writes the same bytes to whoever asks, again and again if `repeat`; counts what is asked."""

    def __init__(self, data, repeat=False):
        self.data, self.repeat, self.asked = data, repeat, []

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"
        return self

    async def _serve(self, reader, writer):
        self.asked.append((await reader.readuntil(b"\r\n\r\n")).split(b" ")[1].decode())
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


def answer(body):
    return HEAD + chunk(body)


SPOILT = {
    "no JSON": answer(b"{,}\n"),
    "no list": answer(b'{"index":44,"endpoints":7}\n'),
    "no entry": answer(b'{"index":44,"endpoints":[[7]]}\n'),
    "an index below 0": answer(b'{"index":-5,"endpoints":[]}\n'),
    "an index that none can follow": answer(b'{"index":1e300,"endpoints":[]}\n'),
    "an index that is none": answer(b'{"index":1e999,"endpoints":[]}\n'),
    "changes that look whole": answer(b'{"index":44,"snapshot":"false","endpoints":[]}\n'),
    "no state": answer(b'{"index":44,"endpoints":[{"name":"a","status":["%b"]}]}\n' % (b"x" * 10_000)),
    "too deep": answer(b"[" * 100_000 + b"\n"),
    "too long": answer(b"[" * (5 * 1024 * 1024)),
    "good, then spoilt": answer(line(41) + b"{}}\n"),
    "half, then a heartbeat": answer(b"{\n\n"),
    "no chunk": HEAD + b"zz\r\n{}\r\n",
    "no HTTP": b"\x00\x01\x02\r\n\r\n",
    "refused": b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n",
    "elsewhere": b"HTTP/1.1 302 Found\r\nLocation: http://127.0.0.1:9/\r\nContent-Length: 0\r\n\r\n",
}


@pytest.mark.parametrize("what", SPOILT)
@virtual
async def test_a_watch_whose_answer_is_spoilt_each_time_is_one_line_and_few_calls(what, capfd):
    """What was good stays in force, and the first good answer is taken in."""
    hostile = await Hostile(SPOILT[what]).start()
    recorder = NewsRecorder()
    discovery = asking(hostile.address, recorder)
    discovery.start()
    await asyncio.sleep(20.0)
    assert [form for form, *_ in recorder.news if form != "changes"] == ["remembered"]
    assert all(news[1:] == (41, []) for news in recorder.news)
    assert 10 < len(hostile.asked) <= 6 + 20.0 / (0.5 * registry.BACKOFF_MOST_S)
    logged = capfd.readouterr().err.splitlines()
    assert len(logged) == 1
    assert len(logged[0]) < 300
    hostile.data = answer(line(44, "new", snapshot=True))
    await recorder.until(lambda news: news == ("all", 44, ["new"]))
    discovery.close()
    hostile.stop()


@pytest.mark.parametrize(
    ("body", "repeat"),
    [(b"", False), (b"[\n", False), (b"x" * 65_535 + b"\n", True), (b"x" * 65_536, True)],
    ids=["no body", "half", "endless lines", "one endless line"],
)
@virtual
async def test_a_whole_list_that_never_ends_is_refused_in_bounded_time_and_memory(
    body, repeat, channels, monkeypatch, capfd
):
    hostile = await Hostile(HEAD + (chunk(body) if body else b""), repeat).start()
    recorder = NewsRecorder()
    discovery = asking(hostile.address, recorder, pushed=False)
    taken = []
    whole = registry.Channel.data_received

    def data_received(self, data):
        taken.append(len(data))
        whole(self, data)

    monkeypatch.setattr(registry.Channel, "data_received", data_received)
    began = asyncio.get_running_loop().time()
    discovery.fetch()
    await recorder.until(lambda news: news[0] == "refused")
    assert recorder.at - began <= registry.DIAL_S + registry.ANSWER_S
    assert sum(taken) <= registry.LIST_MOST + 2 * 256 * 1024  # a read is of 256 KiB
    await until(lambda: channels[0].broken.done())
    assert len(capfd.readouterr().err.splitlines()) == 1
    discovery.close()
    hostile.stop()


@virtual
async def test_a_long_line_in_small_pieces_costs_no_more_than_its_length(channels):
    only = await Registry().start()
    discovery = asking(only.address, NewsRecorder())
    discovery.start()
    await until(lambda: only.watches)
    await asyncio.sleep(0.05)
    pieces, began = chunk(b" ") * 40_000, time.process_time()
    for _ in range(4):
        channels[0].data_received(pieces)
    assert time.process_time() - began < 5.0  # some 0.1 s; 25 s where each piece is sought in all before it
    discovery.close()
    only.stop()


def test_a_list_may_come_indented_and_say_nothing_of_being_whole():
    news = lists.parse_list(
        json.loads('{"index": 7,\n "snapshot": null, "endpoints": []}'), lists.NameIndices({}, {})
    )
    assert (news.version, news.is_complete) == (7, False)


def indented(index, *entries):
    return json.dumps(listed(index, *entries, snapshot=False), indent=2).encode() + b"\n"


@virtual
async def test_lists_of_a_watch_may_come_indented_in_any_pieces():
    only = await Registry().start()
    recorder = NewsRecorder()
    discovery = asking(only.address, recorder)
    discovery.start()
    await until(lambda: only.watches)
    text = indented(42, entry("s1"), entry("s2")) + indented(43, entry("s3", status="leaving")) + b"\n"
    for at in range(0, len(text), 11):
        only.write(text[at : at + 11])
    only.tell(44, entry("s4"))
    await until(lambda: len(recorder.news) == 4)
    assert names(recorder)[1:] == [("changes", 42), ("changes", 43), ("changes", 44)]
    assert len(only.watches) == 1
    discovery.close()
    only.stop()


@virtual
async def test_half_a_list_that_no_more_comes_of_ends_its_watch_and_is_asked_for_again():
    """A heartbeat can't stand within a list: what came before it is all that comes."""
    only = await Registry().start()
    recorder = NewsRecorder()
    discovery = asking(only.address, recorder)
    discovery.start()
    await until(lambda: only.watches)
    only.write(indented(42, entry("s1"))[:-4] + b"\n")
    only.write(b"\n")
    await until(lambda: len(only.watches) == 2)
    only.tell(42, entry("s1"))
    await until(lambda: len(recorder.news) == 2)
    assert only.asked[-1].endswith("from=41")
    assert names(recorder)[1:] == [("changes", 42)]
    discovery.close()
    only.stop()


@virtual
async def test_a_list_that_comes_line_by_line_without_an_end_does_not_show_life():
    only = await Registry().start()
    discovery = asking(only.address, NewsRecorder())
    discovery.start()
    await until(lambda: only.watches)
    loop = asyncio.get_running_loop()
    only.write(b"\n")
    began = loop.time()
    only.write(b"{\n")
    while len(only.watches) == 1:
        only.write(b' "more": 1,\n')
        await asyncio.sleep(0.5)
        assert loop.time() - began < registry.SILENT_S + registry.BACKOFF_MOST_S + 1.0
    discovery.close()
    only.stop()
