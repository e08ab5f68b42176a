"""A process configured by an operator file alone: services and fronts, reloads, and the examples."""

from __future__ import annotations

import asyncio
import contextlib
import re
import signal
import socket
import sys

import pytest

from fordtrestle.balancer.model import Tell
from fordtrestle.proxy.config import operator_file
from fordtrestle.proxy.daemon import process
from fordtrestle.proxy.daemon.standalone import Standalone
from fordtrestle.proxy.engine.ports import parse_address
from tests.loopback import App, Registry, Scripted, Upstream, entry, hang, loopback, until
from tests.proxy.daemon.polling import poll
from tests.proxy.daemon.test_process import ROOT, Process

SERVED = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b"
SERVICE = """
[front.{name}]
protocol = "http"
listen = "127.0.0.1:0"
service = "{name}"
[service.{name}]
source = "{name}"
zones = ["east", "west"]
[service.{name}.class.look]
semantics = "safe"
deadline_ms = 5000
[service.{name}.class.pay]
semantics = "unsafe"
deadline_ms = 5000
"""


def upstream_returning(text):
    """Start an upstream that responds with this text."""
    return Upstream([SERVED % (len(text), text.encode())]).start()


def servers(name, *upstreams):
    """Return a static source with these servers, named s0, s1, ..."""
    rows = [
        f'[[source.{name}.server]]\nname = "s{i}"\naddress = "{upstream.address}"\nzone = "west"\n'
        for i, upstream in enumerate(upstreams)
    ]
    return f'[source.{name}]\nkind = "static"\n' + "".join(rows)


def service(name, *upstreams):
    return SERVICE.format(name=name) + servers(name, *upstreams)


@contextlib.asynccontextmanager
async def running_standalone(tmp_path, text, capfd, scripted=()):
    """Run a configuration in this process; `fronts` has the addresses of its fronts."""
    path = tmp_path / "operator.toml"
    path.write_text(text)
    made = Standalone(asyncio.get_running_loop(), str(path), operator_file.read(str(path)))
    for name, module in dict(scripted).items():
        made.services[name].driver._balancer = module
    await made.start()
    made.path, made.fronts = path, listening(capfd.readouterr().err)
    try:
        yield made
    finally:
        await made.drain()
        made.close()


def listening(log):
    """Return the address that each front listens at, from the log."""
    rows = re.findall(r"^front (\S+): listens at (\S+)$", log, re.MULTILINE)
    return {name: parse_address(address) for name, address in rows}


async def fetch_body(address, *args, **headers):
    """Send one request; return the body of the response."""
    app = await App.connect(address)
    answer = await app.ask(*args, **headers)
    app.close()
    return answer and answer.body.decode()


# --- services and fronts ------------------------------------------------------------------


@loopback
async def test_two_fronts_reach_their_own_services_in_one_process(tmp_path, capfd):
    apples, pears = await upstream_returning("apples"), await upstream_returning("pears")
    async with running_standalone(tmp_path, service("a", apples) + service("p", pears), capfd) as made:
        assert await fetch_body(made.fronts["a"]) == "apples"
        assert await fetch_body(made.fronts["p"]) == "pears"
        assert await fetch_body(made.fronts["p"], "POST", "/pay", b"x") == "pears"
        assert (len(apples.seen), len(pears.seen)) == (1, 2)
    for upstream in (apples, pears):
        upstream.stop()


@loopback
async def test_a_service_without_reachable_servers_does_not_affect_the_other(tmp_path, capfd):
    apples, pears = await upstream_returning("apples"), await upstream_returning("pears")
    pears.stop()
    async with running_standalone(tmp_path, service("a", apples) + service("p", pears), capfd) as made:
        for _ in range(20):
            await fetch_body(made.fronts["p"])
        assert await fetch_body(made.fronts["a"]) == "apples"
    apples.stop()


@loopback
async def test_a_front_listens_at_every_address_and_stops_at_all(tmp_path, capfd):
    upstream = await upstream_returning("apples")
    text = service("a", upstream).replace('"127.0.0.1:0"', '["127.0.0.1:0", "[::1]:0"]')
    path = tmp_path / "operator.toml"
    path.write_text(text)
    made = Standalone(asyncio.get_running_loop(), str(path), operator_file.read(str(path)))
    await made.start()
    rows = [parse_address(row.split(" ")[-1]) for row in capfd.readouterr().err.splitlines()]
    assert [address.host for address in rows] == ["127.0.0.1", "::1"]
    for address in rows:
        assert await fetch_body(address) == "apples"
    await made.drain()
    for address in rows:
        with pytest.raises(ConnectionError):
            await App.connect(address)
    made.close()
    upstream.stop()


@loopback
async def test_a_drain_waits_for_the_open_calls_of_all_services(tmp_path, capfd, monkeypatch):
    """Guards against a process that ends once its first service is idle."""
    monkeypatch.setattr(process, "LAST_BYTES_TIMEOUT_S", 0.0)
    release = asyncio.Event()

    async def wait(reader, writer):
        await release.wait()
        return SERVED % (5, b"pears")

    apples, pears = await upstream_returning("apples"), await Upstream([wait]).start()
    async with running_standalone(tmp_path, service("a", apples) + service("p", pears), capfd) as made:
        app = await App.connect(made.fronts["p"])
        app.send()
        await until(lambda: pears.seen)
        drained = asyncio.ensure_future(made.drain())
        await asyncio.sleep(5 * process.DRAIN_POLL_S)
        assert not drained.done()
        release.set()
        assert (await app.answer()).body == b"pears"
        await drained


@loopback
async def test_a_process_exchanges_messages_with_peers_by_their_numbers(tmp_path, capfd):
    upstream = await upstream_returning("apples")
    with socket.socket(type=socket.SOCK_DGRAM) as peer:
        peer.bind(("127.0.0.1", 0))
        peer.setblocking(False)
        at = f'["127.0.0.1:1", "127.0.0.1:{peer.getsockname()[1]}"]'
        peers = f'[peers]\nlisten = "127.0.0.1:0"\nme = 0\nat = {at}\n'
        module = Scripted(peer_message=lambda now, number, data: [Tell(number, b"back")])
        async with running_standalone(tmp_path, service("a", upstream) + peers, capfd, {"a": module}) as made:
            peer.sendto(b"there", made.services["a"].peers._transport.get_extra_info("sockname"))
            await until(lambda: module.named("peer_message"))
            assert module.named("peer_message") == [[1, b"there"]]
            assert await asyncio.get_running_loop().sock_recv(peer, 100) == b"back"
    upstream.stop()


# --- sources and reloads --------------------------------------------------------------------


@loopback
async def test_a_static_list_is_reported_as_remembered_and_then_as_complete(tmp_path, capfd):
    upstream, module = await Upstream().start(), Scripted()
    async with running_standalone(tmp_path, service("a", upstream), capfd, {"a": module}) as made:
        updates = module.named("server_list")
        forms = [(form, [(row.server, row.zone) for row in rows]) for form, rows in updates]
        assert forms == [("remembered", [("s0", 1)]), ("all", [("s0", 1)])]
        made.services["a"].source.fetch()
        assert len(module.named("server_list")) == 2  # not during the request of the decision module
        await until(lambda: len(module.named("server_list")) == 3)


@loopback
async def test_a_reload_changes_the_servers_and_no_open_call(tmp_path, capfd):
    release = asyncio.Event()

    async def wait(reader, writer):
        await release.wait()
        return SERVED % (3, b"old")

    old, new = await Upstream([wait]).start(), await upstream_returning("new")
    async with running_standalone(tmp_path, service("a", old), capfd) as made:
        app = await App.connect(made.fronts["a"])
        app.send()
        await until(lambda: old.seen)
        made.path.write_text(service("a", new).replace('"s0"', '"n0"'))
        made.reload()
        assert await fetch_body(made.fronts["a"]) == "new"
        release.set()
        assert (await app.answer()).body == b"old"
        assert set(made.services["a"].pool._servers) == {"n0"}
        assert "source.a.server changed" in capfd.readouterr().err


@pytest.mark.parametrize(
    ("old", "new", "message"),
    [
        ("5000\n[source", "4000\n[source", "service.a.class.pay.deadline_ms: needs a restart"),
        ('zones = ["east", "west"]', 'zones = ["east"]', "server[0].zone: west is not among service.a.zones"),
        ('kind = "static"', "kind = ", "line 16: Invalid value"),
    ],
)
@loopback
async def test_a_reload_is_applied_completely_or_not_at_all(tmp_path, capfd, old, new, message):
    """Guards against a reload that applies half a file: its new servers must not take effect either."""
    first, second = await upstream_returning("first"), await upstream_returning("second")
    async with running_standalone(tmp_path, service("a", first), capfd) as made:
        made.path.write_text(service("a", second).replace(old, new))
        made.reload()
        logged = capfd.readouterr().err
        assert message in logged
        assert "nothing changes" in logged
        assert await fetch_body(made.fronts["a"]) == "first"
        made.path.unlink()
        made.reload()
        assert "No such file" in capfd.readouterr().err
        assert await fetch_body(made.fronts["a"]) == "first"
        made.path.write_text(service("a", second))
        made.reload()
        assert await fetch_body(made.fronts["a"]) == "second"


@loopback
async def test_a_reload_moves_the_watch_of_one_registry_and_leaves_the_other(tmp_path, capfd):
    upstream = await upstream_returning("apples")
    first, second, other = [await Registry().start() for _ in range(3)]
    for index, registry in ((5, first), (2, second)):
        registry.listed = {"index": index, "snapshot": True, "endpoints": [entry("s0", upstream.address)]}
    source = '[source.{}]\nkind = "registry"\naddress = "{}"\n'
    text = SERVICE.format(name="a") + SERVICE.format(name="p") + source.format("p", other.address)
    async with running_standalone(tmp_path, text + source.format("a", first.address), capfd) as made:
        await until(lambda: first.watches and other.watches)
        first.send_update(5, entry("s0", upstream.address), snapshot=True)
        await until(lambda: made.services["a"].pool._servers)
        assert await fetch_body(made.fronts["a"]) == "apples"
        made.path.write_text(text + source.format("a", second.address))
        made.reload()
        await until(lambda: second.watches and first.watches[0].is_closing())
        assert not other.watches[0].is_closing()
        assert len(other.watches) == 1
    for partner in (upstream, first, second, other):
        partner.stop()


# --- the program and the examples --------------------------------------------------------------


class Serving:
    """`python -m fordtrestle serve FILE` in a separate process."""

    @classmethod
    async def start(cls, path, fronts=1):
        made, log = cls(), path.with_suffix(".log")
        with log.open("w") as out:
            made.process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "fordtrestle", "serve", str(path), cwd=ROOT, stderr=out
            )
        made.log = log
        await until(lambda: len(listening(log.read_text())) == fronts or made.process.returncode is not None)
        assert made.process.returncode is None, log.read_text()
        made.fronts = listening(log.read_text())
        return made

    async def stop(self):
        self.process.terminate()
        return await self.process.wait()


@loopback
async def test_serve_serves_reloads_at_sighup_and_drains_at_sigterm(tmp_path):
    first, second = await upstream_returning("first"), await upstream_returning("second")
    path = tmp_path / "operator.toml"
    path.write_text(service("a", first))
    made = await Serving.start(path)
    assert await fetch_body(made.fronts["a"]) == "first"
    needs_restart = service("a", second).replace("deadline_ms = 5000", "deadline_ms = 4000")
    path.write_text(needs_restart)
    made.process.send_signal(signal.SIGHUP)
    await until(lambda: "nothing changes" in made.log.read_text())
    assert await fetch_body(made.fronts["a"]) == "first"
    path.write_text(service("a", second))
    made.process.send_signal(signal.SIGHUP)
    await until(lambda: "source.a.server changed" in made.log.read_text())
    assert await fetch_body(made.fronts["a"]) == "second"
    assert await made.stop() == 0
    for upstream in (first, second):
        upstream.stop()


def example(tmp_path, name, addresses):
    """Copy an example, with free ports to listen at and the addresses of the test's own servers."""
    text = (ROOT / "deploy" / name).read_text()
    for old, new in addresses.items():
        assert text.count(f' = "{old}"') == 1, old
        text = text.replace(f' = "{old}"', f' = "{new}"')
    (tmp_path / name).write_text(text)
    return tmp_path / name


@loopback
async def test_the_example_with_a_static_source_serves(tmp_path):
    operator_file.read(str(ROOT / "deploy/example-http.toml"))
    upstreams = [await upstream_returning("done") for _ in range(3)]
    moved = {f"127.0.0.1:{9001 + i}": upstream.address for i, upstream in enumerate(upstreams)}
    path = example(tmp_path, "example-http.toml", {"127.0.0.1:8080": "127.0.0.1:0", **moved})
    made = await Serving.start(path)
    assert await fetch_body(made.fronts["web"], X_Caller="site") == "done"
    assert await fetch_body(made.fronts["web"], "POST", "/book", X_Caller="reports") == "done"
    assert await made.stop() == 0
    for upstream in upstreams:
        upstream.stop()


@loopback
async def test_the_example_with_registries_serves_both_services(tmp_path):
    operator_file.read(str(ROOT / "deploy/example-registry.toml"))
    orders, pages = await upstream_returning("ordered"), await upstream_returning("page")
    pushed, requested = await Registry().start(), await Registry().start()
    moved = {"127.0.0.1:8500": pushed.address, "127.0.0.1:8501": requested.address}
    free = {f"127.0.0.1:{port}": "127.0.0.1:0" for port in (8081, 8082)}
    made = await Serving.start(example(tmp_path, "example-registry.toml", {**free, **moved}), fronts=2)
    for registry, upstream in ((pushed, orders), (requested, pages)):
        await until(lambda registry=registry: registry.watches)
        registry.send_update(1, entry("s0", upstream.address), snapshot=True)
    served = set()
    while not served >= {"ordered", "page"}:  # until the lists are applied, calls are rejected
        served.add(await fetch_body(made.fronts["orders"], "POST", "/order"))
        served.add(await fetch_body(made.fronts["catalogue"], target="/page"))
    assert await made.stop() == 0
    for partner in (orders, pages, pushed, requested):
        partner.stop()


@loopback
async def test_the_example_of_a_fleet_serves_records_events_and_stores_lists(tmp_path):
    operator_file.read(str(ROOT / "deploy/example-cluster.toml"))
    ordered, registry = await upstream_returning("ordered"), await Registry().start()
    moved = {
        "127.0.0.1:8083": "127.0.0.1:0",
        "127.0.0.1:7000": "127.0.0.1:0",
        "127.0.0.1:8502": registry.address,
        "/var/lib/fordtrestle": f"{tmp_path}/state",
        "/var/log/fordtrestle.events.jsonl": f"{tmp_path}/events",
    }
    made = await Serving.start(example(tmp_path, "example-cluster.toml", moved))
    await until(lambda: registry.watches)
    registry.send_update(1, entry("s0", ordered.address), snapshot=True)

    async def has_ordered():
        return await fetch_body(made.fronts["orders"], "POST", "/order") == "ordered"

    await poll(has_ordered)
    assert await made.stop() == 0
    events = (tmp_path / "events").read_text()
    assert all(f'"event":"{kind}"' in events for kind in ("started", "learned", "acted", "stored", "ended"))
    assert (tmp_path / "state" / "list-orders").stat().st_size > 0
    for partner in (ordered, registry):
        partner.stop()


@loopback
async def test_the_platforms_sidecar_keeps_an_operators_limits(tmp_path):
    """The operator's limit of 64 descriptors applies although the platform grants 1,024.

    24 of them are reserved, and clients may use 26 of the others, since 14 are guaranteed to servers.
    """
    operator_file.read_limits(str(ROOT / "deploy/platform-limits.toml"))
    text = (ROOT / "deploy/platform-limits.toml").read_text()
    for descriptors, min_calls, max_calls in ((1024, 40, 40), (64, 1, 26)):
        limits = text.replace("descriptors = 1024", f"descriptors = {descriptors}", 1)
        (tmp_path / "limits.toml").write_text(limits)
        upstream = await Upstream([hang]).start()
        made = await Process.start(tmp_path, upstream, words=f"--operator {tmp_path}/limits.toml")
        made.app.close()
        apps = [await App.connect(made.address) for _ in range(40)]
        for app in apps:
            app.send(X_Budget="300m")
        await asyncio.gather(*(app.answer() for app in apps))
        assert min_calls <= len({seen.headers["x-call-id"] for seen in upstream.seen}) <= max_calls
        made.process.terminate()
        assert await made.process.wait() == 0
        upstream.stop()
