"""The operator file: strict reading, reports of all faults at once, and the options derived from it."""

from __future__ import annotations

import tomllib

import pytest
from hypothesis import given
from hypothesis import strategies as st

from fordtrestle.proxy.config import changes, operator_file
from fordtrestle.proxy.config import operator_options as options
from fordtrestle.proxy.config.errors import OperatorFileError
from fordtrestle.proxy.config.limits import LimitsSpec, make_budget
from fordtrestle.proxy.config.operator_options import StartOptions
from fordtrestle.proxy.engine.ports import Address

GOOD = """
[front.web]
protocol = "http"
listen = "127.0.0.1:8080"
service = "shop"
[service.shop]
source = "fleet"
zones = ["east", "west"]
kinds = ["big"]
zone = "west"
tenants = [{ name = "a", share = 0.6 }, { name = "b", share = 0.4 }]
[service.shop.class.look]
semantics = "safe"
aim_ms = 100
deadline_ms = 1000
[service.shop.class.book]
semantics = "keyed"
group = "zone"
key_window_ms = 1200
deadline_ms = 2000
[source.fleet]
kind = "static"
server = [
    { name = "s0", address = "127.0.0.1:9000", zone = "west", kind = "big", cell = 3, weight = 2.5 },
    { name = "s1", address = "[::1]:9001" },
]
"""
START = StartOptions(number=7, seed=1, granted_descriptors=1024)


def write_file(tmp_path, text):
    path = tmp_path / "file.toml"
    path.write_bytes(text if isinstance(text, bytes) else text.encode())
    return str(path)


def fault_lines(tmp_path, text, read=operator_file.read):
    """Return the faults of a text, without the file's name, which each line must start with."""
    path = write_file(tmp_path, text)
    with pytest.raises(OperatorFileError) as raised:
        read(path)
    assert all(line.startswith(f"{path}: ") and "\n" not in line for line in raised.value.lines)
    return [line.removeprefix(f"{path}: ") for line in raised.value.lines]


def replace_in_good(old, new):
    assert GOOD.count(old) == 1, old
    return GOOD.replace(old, new)


# --- strictness -----------------------------------------------------------------------


# Three lines each: a part of the valid file, its replacement, and the line of the fault.
FAULTS = r"""
[front.web]
[stat]\n[front.web]
stat: no such key; did you mean state?
source = "fleet"
source = "fleet"\nidle_close = 5
service.shop.idle_close: no such key; did you mean idle_close_ms?
aim_ms = 100
aim = 100
service.shop.class.look.aim: no such key; did you mean aim_ms?
aim_ms = 100
aim_ms = "100"
service.shop.class.look.aim_ms: expected a number, not "100"
aim_ms = 100
aim_ms = true
service.shop.class.look.aim_ms: expected a number, not true
aim_ms = 100
aim_ms = 2026-01-01
service.shop.class.look.aim_ms: expected a number, not a date
aim_ms = 100
aim_ms = nan
service.shop.class.look.aim_ms: NaN is not within 1 to 8.64e+07
aim_ms = 100
aim_ms = inf
service.shop.class.look.aim_ms: Infinity is not within 1 to 8.64e+07
aim_ms = 100
aim_ms = 0xfffffffffffffffffffffffffffffffffffffffffffffffff
service.shop.class.look.aim_ms: a huge number is not within 1 to 8.64e+07
aim_ms = 100
aim_ms = 1001
service.shop.class.look.deadline_ms: 1000 is less than aim_ms, 1001
deadline_ms = 1000
worth = 1
service.shop.class.look.deadline_ms: missing
semantics = "safe"
semantics = "pure"
service.shop.class.look.semantics: expected one of safe, keyed, unsafe, not "pure"
semantics = "safe"
semantics = "safe"\ngroup = "all"
service.shop.class.look.group: only for keyed classes, and this one is safe
key_window_ms = 1200
worth = 1
service.shop.class.book.key_window_ms: missing
zone = "west"\ntenants
zone = "north"\ntenants
service.shop.zone: north is not among zones
["east", "west"]
["east", "west", "east"]
service.shop.zones: "east" is there more than once
["big"]
["big", "so big"]
service.shop.kinds: expected a plain word (letters, digits, _ and -), not "so big"
share = 0.6
allowance_per_s = 6
service.shop.tenants: either all tenants need share, or all need allowance_per_s
share = 0.6
share = 0.7
service.shop.tenants: the sum of the shares is 1.1, more than 1
share = 0.6
share = 0.6, allowance_per_s = 6
service.shop.tenants[0].share: exactly one of share and allowance_per_s is needed
name = "b"
name = "a"
service.shop.tenants[1].name: a occurs more than once
[service.shop.class.look]
[service.shop.class."a.b\\n"]
service.shop.class."a.b\\n": a name is a plain word (letters, digits, _ and -)
service = "shop"
service = "shp"
front.web.service: there is no service shp
source = "fleet"
source = "flee"
service.shop.source: there is no source flee
"http"
"dns"
front.web.protocol: expected one of http, not "dns"
"127.0.0.1:8080"
"localhost:8080"
front.web.listen: "localhost:8080" is not an address (IP:port)
"127.0.0.1:8080"
[]
front.web.listen: at least one address is needed
"127.0.0.1:8080"
["127.0.0.1:8080", "0.0.0.0:8080"]
front.web.listen: 0.0.0.0:8080 is already used by front web
"127.0.0.1:9000"
"s0:9000"
source.fleet.server[0].address: "s0:9000" is not an address (IP:port)
"[::1]:9001"
"127.0.0.1:9000"
source.fleet.server[1].address: already used by server[0]
"s1"
"s0"
source.fleet.server[1].name: already used by server[0]
weight = 2.5
weight = 0
source.fleet.server[0].weight: 0 is not within 0.001 to 1000
cell = 3
cell = 3.0
source.fleet.server[0].cell: expected a whole number, not 3.0
kind = "big"
kind = "small"
source.fleet.server[0].kind: small is not among service.shop.kinds
zone = "west", kind
zone = "up", kind
source.fleet.server[0].zone: up is not among service.shop.zones
kind = "static"
kind = "file"
source.fleet.kind: expected one of static, registry, not "file"
[front.web]
[source.r]\nkind = "registry"\naddress = "h:1"\nask_within_ms = 5\n[front.web]
source.r.ask_within_ms: only allowed with pushed = false
[front.web]
[limits]\ndescriptors = 40\nreserved_descriptors = 40\n[front.web]
limits.reserved_descriptors: leaves fewer than 4 of 40 descriptors
[front.web]
[limits]\nfronts_guaranteed_share = 0.7\n[front.web]
limits.upstreams_guaranteed_share: the sum with fronts_guaranteed_share is 1.05, more than 1
[front.web]
[front.web]\nguaranteed_share = 0.5
front: guaranteed_share sums to 0.5, more than limits.fronts_guaranteed_share, 0.35
[front.web]
[limits]\nfronts_guaranteed_share = 0\n[front.web]
front: guaranteed_share leaves nothing for the fronts without guaranteed_share
[front.web]
[process]\nseed = 1.5\n[front.web]
process.seed: expected a whole number, not 1.5
[front.web]
[state]\n[front.web]
state.folder: missing
[front.web]
[state]\nfolder = 3\n[front.web]
state.folder: expected the path of a file, not 3
[front.web]
[events]\nfile = "e"\nmb_mst = 3\n[front.web]
events.mb_mst: no such key; did you mean mb_most?
[front.web]
[events]\nfile = "e"\nmb_most = 0\n[front.web]
events.mb_most: 0 is not within 1 to 1048576
[front.web]
[events]\nmb_most = 1\n[front.web]
events.file: missing
[front.web]
[peers]\nlisten = "h:1"\nme = 9\nat = ["127.0.0.1:1"]\n[front.web]
peers.listen: "h:1" is not an address (IP:port)
[front.web]
[peers]\nlisten = "127.0.0.1:1"\nme = 1\nat = ["127.0.0.1:1"]\n[front.web]
peers.me: 1 is not an index of at, whose length is 1
[front.web]
[peers]\nlisten = "127.0.0.1:1"\nat = ["127.0.0.1:1"]\n[front.web]
peers.me: missing
[front.web]
[peers]\nlisten = "127.0.0.1:1"\nme = 0\nat = ["127.0.0.1:1", "127.0.0.1:1"]\n[front.web]
peers.at: 127.0.0.1:1 occurs more than once
"""


def groups_of_three(text):
    """Split a text into groups of three lines."""
    rows = [row.replace("\\n", "\n").replace("\\\n", "\\n") for row in text.strip().split("\n")]
    return list(zip(rows[::3], rows[1::3], rows[2::3], strict=True))


@pytest.mark.parametrize(("old", "new", "line"), groups_of_three(FAULTS))
def test_a_fault_is_one_line_that_names_the_key_and_the_reason(tmp_path, old, new, line):
    assert fault_lines(tmp_path, replace_in_good(old, new)) == [line]


@pytest.mark.parametrize(
    ("text", "line"),
    [
        ("a = 1\na = 2\n", "line 2: Cannot overwrite a value"),
        ("a = 1\nb = [1,\nc\n", "line 3: Invalid value"),
        ("a = 1\nb = [1,\n\n", "line 2: Invalid value"),
        (b"a = 1\nb = '\xff'\n", "line 2: not UTF-8"),
        ("a = " + "[" * 100_000, "too deeply nested"),
    ],
)
def test_invalid_toml_is_reported_with_its_line(tmp_path, text, line):
    assert fault_lines(tmp_path, text) == [line]


def test_all_faults_are_reported_at_once_and_one_fault_causes_no_others(tmp_path):
    """A missing deadline is not reported as less than the latency target, too."""
    text = replace_in_good("deadline_ms = 1000", "deadline_s = 1").replace('"http"', '"htp"')
    text = text.replace('kind = "static"', 'kind = "list"').replace("deadline_ms = 2000", "deadline_ms = 0")
    assert fault_lines(tmp_path, text) == [
        "service.shop.class.look.deadline_ms: missing",
        "service.shop.class.look.deadline_s: no such key; did you mean deadline_ms?",
        "service.shop.class.book.deadline_ms: 0 is not within 1 to 8.64e+07",
        'front.web.protocol: expected one of http, not "htp"',
        'source.fleet.kind: expected one of static, registry, not "list"',
    ]


def test_an_empty_file_lacks_a_service_and_a_front(tmp_path):
    needed = ["service: at least one is needed", "front: at least one is needed"]
    assert fault_lines(tmp_path, "") == needed
    assert fault_lines(tmp_path, "[front]\n[service]\n") == needed
    empty = '[service.a]\nsource = "r"\n[service.a.class]\n[source.r]\nkind = "static"\nserver = []\n'
    assert "service.a.class: at least one is needed" in fault_lines(tmp_path, empty)
    assert "source.r.server: at least one is needed" in fault_lines(tmp_path, empty)


@pytest.mark.parametrize("place", ["missing.toml", ".", "/dev/zero"])
def test_a_file_that_can_not_be_read_is_one_line_too(tmp_path, place):
    with pytest.raises(OperatorFileError) as raised:
        operator_file.read(str(tmp_path / place))
    assert len(raised.value.lines) == 1


VALUES = st.recursive(
    st.booleans() | st.integers() | st.floats() | st.text(max_size=5),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=3), inner, max_size=3),
    max_leaves=5,
)


def paths(raw, at=()):
    """The path to every value of a file, tables and arrays included."""
    for key, value in raw.items() if isinstance(raw, dict) else enumerate(raw):
        yield (*at, key)
        if isinstance(value, dict | list):
            yield from paths(value, (*at, key))


def read_raw(raw):
    """Read a file with this content; return its configuration and its error, one of them None."""
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(operator_file, "_load", lambda file: raw)
        try:
            return operator_file.read("file"), None
        except OperatorFileError as error:
            return None, error


@given(st.data())
def test_a_file_of_any_content_is_good_or_rejected_in_lines(data):
    """No content raises another error, and the engine can start with each file that passes."""
    raw = tomllib.loads(GOOD)
    for path in data.draw(st.lists(st.sampled_from(list(paths(raw))), min_size=1, max_size=3)):
        *way, last = path
        holder = raw
        try:
            for step in way:
                holder = holder[step]
            holder[last] = data.draw(VALUES)
        except (KeyError, IndexError, TypeError):
            continue  # an earlier value has replaced its table
    config, error = read_raw(raw)
    if error is not None:
        assert error.faults
        assert all("\n" not in line for line in error.lines)
        return
    for name in config.services:
        assert options.settings(config, name, START).profiles
    for name in config.fronts:
        assert options.front_options(config, name, START).clients_most >= 4


# --- the options derived from the file -----------------------------------------------------------


def test_settings_of_an_engine_follow_from_a_service(tmp_path):
    config = operator_file.read(write_file(tmp_path, GOOD))
    settings = options.settings(config, "shop", START)
    look, book = settings.profiles
    assert (look.semantics, look.objective, look.deadline) == ("pure", 100.0, 1000.0)
    assert (book.semantics, book.group, book.key_ttl, book.objective) == ("token", "zone", 1200.0, 2000.0)
    assert (settings.zones, settings.locality, settings.kinds, settings.me) == (2, 1, 1, 7)
    assert settings.allowances == (0.6, 0.4)
    assert (settings.discovery, settings.max_attempts, settings.may_cancel) == ("automatic", 2, True)
    assert not settings.retry_after
    assert not settings.may_probe
    assert not settings.parallel_tries
    names = options.request_names(config.services["shop"])
    assert [(kind.method, kind.keyed) for kind in names.classes.values()] == [("GET", False), ("POST", True)]
    assert names.tenants == {"a": 0, "b": 1}


def test_every_key_of_a_service_reaches_its_setting(tmp_path):
    """Guards against a key that is read and checked but has no effect."""
    expected = {
        "attempts_most": ("max_attempts", 5),
        "connect_timeout_ms": ("connect_timeout", 77.0),
        "idle_close_ms": ("idle_close", 78.0),
        "retry_after_most_ms": ("max_retry_after", 79.0),
        "cold_from_share": ("cold_from", 0.3),
        "warm_up_ms": ("warm_up", 80.0),
        "fall_multiple": ("fall_multiple", 2.5),
        "overload_ms": ("overload_for", 81.0),
        "release_ms": ("release_within", 82.0),
        "settle_ms": ("settle_after_doubt", 83.0),
        "over_share_worth": ("over_share_worth", 0.25),
        "probes": ("may_probe", True),
        "cancel": ("may_cancel", False),
        "parallel_tries": ("parallel_tries", True),
        "warm_keys": ("warm_keys", True),
    }
    rows = "\n".join(f"{key} = {str(value).lower()}" for key, (_, value) in expected.items())
    rows += '\nworth_by = "work"\nload_reports = ["inflight", "queue"]'
    config = operator_file.read(
        write_file(tmp_path, replace_in_good('source = "fleet"', f'source = "fleet"\n{rows}'))
    )
    settings = options.settings(config, "shop", START)
    assert {name: getattr(settings, name) for name, _ in expected.values()} == dict(expected.values())
    assert settings.retry_after
    assert settings.worth_by_work
    assert (settings.report_how, settings.report_fields) == ("inline", ("inflight", "queue"))
    pool = options.pool_options(config, "shop")
    assert (pool.connect_timeout_ms, pool.idle_close_ms) == (77.0, 78.0)
    assert (pool.drain_grace_ms, pool.report_fields) == (500.0, ("inflight", "queue"))


def test_a_static_source_becomes_a_complete_list(tmp_path):
    config = operator_file.read(write_file(tmp_path, GOOD))
    update = options.server_list(config.sources["fleet"], config.services["shop"], 4)
    first, second = update.entries
    assert (update.version, update.is_complete) == (4, True)
    assert (first.server, first.zone, first.kind, first.cell, first.weight) == ("s0", 1, 0, 3, 2.5)
    assert (second.zone, second.weight, second.state, second.started) == (0, 1.0, "active", 0.0)
    assert update.addresses == {"s0": Address("127.0.0.1", 9000), "s1": Address("::1", 9001)}


def test_a_registry_that_is_not_pushed_is_queried_on_demand_of_the_engine(tmp_path):
    source = (
        '[source.r]\nkind = "registry"\naddress = "registry.local:80"\npushed = false\nask_within_ms = 700\n'
    )
    config = operator_file.read(write_file(tmp_path, GOOD.replace('"fleet"', '"r"') + source))
    settings = options.settings(config, "shop", START)
    assert (settings.discovery, settings.ask_within) == ("subscribe", 700.0)
    registry = options.discovery_options(config.sources["r"], config.services["shop"], 1)
    assert (registry.address, registry.is_pushed) == (("registry.local", 80), False)


def test_descriptors_are_divided_and_never_overcommitted(tmp_path):
    """The guarantee of one front is not available to others."""
    more = '[front.{0}]\nprotocol = "http"\nlisten = "127.0.0.1:0"\nservice = "shop"\n'
    text = GOOD + more.format("b") + "guaranteed_share = 0.24\n" + more.format("c")
    config = operator_file.read(write_file(tmp_path, text + "[limits]\nopen_calls_most = 9\n"))
    limits = config.limits.make_limits(1024)
    parts = {name: make_budget(limits, name, options.front_share(config, name)) for name in config.fronts}
    parts["servers"] = make_budget(limits, "servers", options.upstream_share(config))
    guaranteed = {name: part.descriptors.guaranteed for name, part in parts.items()}
    assert guaranteed == {"web": 54, "b": 240, "c": 54, "servers": 350}
    assert limits.descriptors.capacity == 1000
    assert limits.descriptors.free == 302
    assert parts["web"].calls.acquire(9)
    assert not parts["b"].calls.acquire()


def test_the_system_s_limit_bounds_the_operator_s():
    limits = LimitsSpec(descriptors=500, reserved_descriptors=20)
    assert [limits.max_connections(granted) for granted in (None, 1024, 100, 5)] == [480, 480, 80, 4]
    assert limits.within(300, 64).descriptors == 300
    assert limits.within(900, None).descriptors == 500


@pytest.mark.parametrize(
    ("memory_mb", "buffered"), [(None, 256 * 2**20), (32, 4 * 2**20), (96, 24 * 2**20), (192, 56 * 2**20)]
)
def test_buffered_bytes_follow_from_the_memory_unless_they_are_configured(memory_mb, buffered):
    assert LimitsSpec(memory_mb=memory_mb).make_limits(100).buffered.capacity == buffered
    assert LimitsSpec(memory_mb=memory_mb, buffered_bytes_most=7).make_limits(100).buffered.capacity == 7


PEERS = '[peers]\nlisten = "127.0.0.1:7"\nme = 1\nat = ["127.0.0.1:8", "127.0.0.1:7"]\n'


def test_peers_become_their_settings(tmp_path):
    config = operator_file.read(write_file(tmp_path, GOOD + PEERS))
    settings = options.settings(config, "shop", START)
    assert (settings.me, settings.balancers, settings.peer_messages) == (1, 2, True)
    assert (config.peers.listen, config.peers.at[1]) == (Address("127.0.0.1", 7), Address("127.0.0.1", 7))
    alone = options.settings(operator_file.read(write_file(tmp_path, GOOD)), "shop", START)
    assert (alone.balancers, alone.peer_messages) == (1, False)
    two = GOOD + '[service.b]\nsource = "fleet"\nzones = ["west"]\nkinds = ["big"]\n'
    two += '[service.b.class.look]\nsemantics = "safe"\ndeadline_ms = 1\n' + PEERS
    assert fault_lines(tmp_path, two) == ["peers: only one service may have peers, and there are 2 services"]


@pytest.mark.parametrize(
    ("old", "new", "same"),
    [
        ('zone = "west"\ntenants', 'zone = "east"\ntenants', True),  # differs between processes
        ("127.0.0.1:8080", "127.0.0.1:8081", True),
        ("weight = 2.5", "weight = 3", True),  # lists have their own digests
        ("aim_ms = 100", "aim_ms = 101", False),
        ("[front.web]", "[limits]\nopen_calls_most = 7\n[front.web]", False),
    ],
)
def test_the_digest_of_settings_ignores_what_is_specific_to_a_process(tmp_path, old, new, same):
    before = options.settings_digest(operator_file.read(write_file(tmp_path, GOOD)), "shop")
    after = options.settings_digest(
        operator_file.read(write_file(tmp_path, replace_in_good(old, new))), "shop"
    )
    assert (before == after) is same


def test_the_basis_of_lists_differs_with_the_numbering_of_zones_and_kinds(tmp_path):
    texts = (
        GOOD,
        replace_in_good('["east", "west"]', '["west", "east"]'),
        replace_in_good('["big"]', '["small", "big"]'),
    )
    services = [operator_file.read(write_file(tmp_path, text)).services["shop"] for text in texts]
    assert len({options.list_basis(service) for service in services}) == 3


# --- what a reload may change ------------------------------------------------------------


# Three lines each: a part of the file, its replacement, and the keys that need a restart.
CHANGES = """
aim_ms = 100
aim_ms = 90
service.shop.class.look.aim_ms
8080
8081
front.web.listen
[front.web]
[front.net]
front.web front.net
share = 0.6
share = 0.5
service.shop.tenants
[front.web]
[limits]\\nmemory_mb = 64\\n[front.web]
limits.memory_mb
[front.web]
[state]\\nfolder = "a"\\n[front.web]
state
[front.web]
[events]\\nfile = "a"\\n[front.web]
events
[front.web]
[peers]\\nlisten = "127.0.0.1:1"\\nme = 0\\nat = "127.0.0.1:1"\\n[front.web]
peers
aim_ms = 100
aim_ms = 100.0  # the same figure
-
aim_ms = 100
aim_ms = 100\\nworth = 1
-
weight = 2.5
weight = 2
-"""


@pytest.mark.parametrize(("old", "new", "keys"), groups_of_three(CHANGES))
def test_a_change_that_needs_a_restart_is_named_by_its_key(tmp_path, old, new, keys):
    before = operator_file.read(write_file(tmp_path, GOOD))
    found = changes.changed_keys(before, operator_file.read(write_file(tmp_path, replace_in_good(old, new))))
    assert changes.keys_needing_restart(found) == keys.strip("-").split()
    assert found == changes.keys_needing_restart(found) or found == ["source.fleet.server"]


def test_another_kind_of_source_needs_a_restart_and_another_address_does_not(tmp_path):
    registry = '[source.{}]\nkind = "registry"\naddress = "127.0.0.1:{}"\n'
    before = operator_file.read(write_file(tmp_path, GOOD + registry.format("r", 1)))
    moved = operator_file.read(write_file(tmp_path, GOOD + registry.format("r", 2)))
    found = changes.changed_keys(before, moved)
    assert (found, changes.keys_needing_restart(found)) == (["source.r.address"], [])
    static = GOOD[: GOOD.index("[source.fleet]")] + registry.format("fleet", 1) + registry.format("r", 1)
    found = changes.changed_keys(before, operator_file.read(write_file(tmp_path, static)))
    assert changes.keys_needing_restart(found) == found == ["source.fleet"]


def test_the_platform_reads_limits_and_nothing_else(tmp_path):
    text = "[limits]\ndescriptors = 100\n[process]\nseed = 1\n[limit]\n"
    reason = "only [limits] is read on the platform, which configures the rest"
    assert fault_lines(tmp_path, text, operator_file.read_limits) == [
        f"process: {reason}",
        f"limit: {reason}",
    ]
    limits = operator_file.read_limits(write_file(tmp_path, "[limits]\ndescriptors = 100\nmemory_mb = 64\n"))
    assert limits == LimitsSpec(descriptors=100, memory_mb=64)
    assert operator_file.read_limits(write_file(tmp_path, "")) == LimitsSpec()
