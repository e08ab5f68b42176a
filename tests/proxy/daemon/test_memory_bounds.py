"""Memory bounds: nothing grows with the number of identities, keys, connections and servers ever seen."""

from __future__ import annotations

import gc

from fordtrestle.balancer import affinity, known_servers
from fordtrestle.proxy.engine.open_requests import OpenAttempt, OpenRequest
from fordtrestle.proxy.http.call import ClientCall
from fordtrestle.proxy.http.client_connection import ClientConnection
from fordtrestle.proxy.http.upstream_connection import UpstreamExchange
from fordtrestle.proxy.membership.list_format import parse_list
from tests.loopback import OK, App, Upstream, entry, listed, loopback, make_platform_config, running, until

ROUNDS, CLIENTS = 60, 20
TRACKED_TYPES = (OpenRequest, OpenAttempt, ClientConnection, ClientCall, UpstreamExchange)


def count_alive():
    gc.collect()
    return sum(isinstance(instance, TRACKED_TYPES) for instance in gc.get_objects())


@loopback
async def test_sizes_return_to_their_bounds_after_many_new_ids(monkeypatch):
    """Guards against state per id that is never removed.

    In each round, all servers, clients, keys and identities are new. The new servers have the old addresses,
    and no update reports those that left.
    """
    monkeypatch.setattr(known_servers, "FORGET_MS", -1.0)
    upstreams = [await Upstream([OK]).start() for _ in range(3)]
    async with running(*upstreams, Domain={"WarmKeys": True}) as sidecar:
        before = count_alive()
        served = 0
        for round_number in range(ROUNDS):
            rows = [entry(f"s{round_number}-{i}", upstream.address) for i, upstream in enumerate(upstreams)]
            update = parse_list(
                listed(42 + round_number, *rows, snapshot=False), make_platform_config().name_indices
            )
            sidecar.driver.server_list("changes", update)
            apps = [await App.connect(sidecar.address) for _ in range(CLIENTS)]
            for number, app in enumerate(apps):
                app.send("POST", "/pay", b"x" * 900, Cookie=f"user={round_number}-{number}")
            for app in apps:
                served += (await app.answer()).body == b"done"
                app.close()
        assert served > 0.9 * ROUNDS * CLIENTS
        await until(lambda: sidecar.front.is_empty and not sidecar.driver._requests)
        module, pool = sidecar.driver._balancer, sidecar.pool
        assert len(pool._servers) == len(module._servers) == len(upstreams)
        assert not sidecar.front.intake.open_call_ids
        assert not sidecar.front.table.idle_count
        await until(lambda: pool._connections == {c for s in pool._servers.values() for c in s.idle})
        assert not pool._dialer.connecting
        assert not module._requests
        assert len(module._affinity._key_counts) <= len(module._affinity._keys) <= affinity.KEY_MEMORY
        assert module._ejection._ejected_servers.keys() <= module._servers.keys()
        assert count_alive() <= before
