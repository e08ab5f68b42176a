"""Which of the usable servers is picked."""

from __future__ import annotations

import random

from fordtrestle.routing.common import Prompt
from fordtrestle.routing.pick_server import pick_server
from fordtrestle.routing.server_table import ServerTable
from tests.routing.records import ZONES, make_prompt, make_record


def make_servers(*loads):
    servers = ServerTable(ZONES)
    for index in range(len(loads)):
        servers.update(make_record(f"i-{index}"), (0, 1, 0), 0.0)
    for server, load in zip(servers.of_service("pool"), loads, strict=True):
        server.in_flight = load
    return list(servers.of_service("pool"))


def test_without_a_prompt_the_least_loaded_of_three_random_candidates_is_picked():
    draw = random.Random(1).random
    assert pick_server(make_servers(3, 0, 2), Prompt(), (), 0.0, draw).instance == "i-1"
    assert pick_server(make_servers(3, 0, 2), Prompt(), {"i-1"}, 0.0, draw).instance == "i-2"
    assert pick_server(make_servers(1), Prompt(), {"i-0"}, 0.0, draw) is None
    drawn = {pick_server(make_servers(*[0] * 10), Prompt(), (), 0.0, draw).instance for _ in range(200)}
    assert len(drawn) == 10
    loads = [pick_server(make_servers(*range(10)), Prompt(), (), 0.0, draw).in_flight for _ in range(500)]
    assert 0 < loads.count(0) < 400
    assert max(loads) <= 7


def test_requests_with_the_same_prefix_get_the_same_server_until_it_is_far_more_loaded():
    draw = random.Random(1).random
    prompt = make_prompt(10, 10, ("aa", 5), ("bb", 5), ("own", 1))
    servers = make_servers(0, 0, 0, 0)
    first = pick_server(servers, prompt, (), 0.0, draw)
    assert {pick_server(servers, prompt, (), 0.0, draw) for _ in range(20)} == {first}
    assert (
        pick_server(servers, make_prompt(10, 10, ("aa", 5), ("bb", 5), ("other", 1)), (), 0.0, draw) is first
    )
    first.in_flight = 5
    assert pick_server(servers, prompt, (), 0.0, draw) is first
    first.in_flight = 9
    assert pick_server(servers, prompt, (), 0.0, draw) is not first


def test_prompts_in_prefill_count_as_load_by_their_size():
    draw = random.Random(1).random
    servers = make_servers(1, 3)
    servers[0].prefill_tokens = 5000
    assert pick_server(servers, Prompt(), (), 0.0, draw, mean_tokens=1000.0) is servers[1]
    assert pick_server(servers, Prompt(), (), 0.0, draw, mean_tokens=50_000.0) is servers[0]


def test_late_responses_count_as_load_until_they_have_decayed():
    draw = random.Random(1).random
    servers = make_servers(0, 2)
    for _ in range(20):
        servers[0].record_delay(2.0, 0.0)
        servers[1].record_delay(0.4, 0.0)
    assert pick_server(servers, Prompt(), (), 0.0, draw) is servers[1]
    assert pick_server(servers, Prompt(), (), 30.0, draw) is servers[0]
