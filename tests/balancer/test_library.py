"""The module as the README shows it, and its handling of invalid values."""

import re
import subprocess
import sys
from pathlib import Path

import pytest

import fordtrestle.balancer
from fordtrestle.balancer import Settings
from fordtrestle.balancer.model import Listing, Outcome, Send
from tests.balancer.helpers import arrival, balancer, listing, of_type, raw_settings

README = Path(__file__).resolve().parent.parent.parent / "README.md"


def test_readme_example_runs(capsys):
    (example,) = re.findall(r"```python\n(.*?)```", README.read_text(), re.S)
    exec(compile(example, "README", "exec"), {})
    first, second = capsys.readouterr().out.splitlines()
    assert first.startswith("[Send(request=1, server=")
    assert second == "[]"


def test_the_throttle_is_loaded_without_the_other_modules():
    """Guards against slow starts of the system's processes, which do not use the decision module."""
    code = "import sys, fordtrestle.balancer.throttle; print(*(m for m in sys.modules if 'fordtrestle' in m))"
    process = subprocess.run(
        [sys.executable, "-c", code], cwd=README.parent, capture_output=True, text=True, check=True
    )
    assert set(process.stdout.split()) == {
        "fordtrestle",
        "fordtrestle.balancer",
        "fordtrestle.balancer.throttle",
    }


def test_a_name_that_the_package_does_not_have_is_an_attribute_error():
    with pytest.raises(AttributeError, match="no attribute 'Nobody'"):
        _ = fordtrestle.balancer.Nobody


@pytest.mark.parametrize(
    ("changes", "field"),
    [
        ({"Profiles": []}, "Profiles"),
        ({"Profiles": [{"Semantics": "pure"}]}, r"Profiles\[0\].Deadline"),
        ({"Profiles": [{"Deadline": 5}]}, r"Profiles\[0\].Semantics"),
        ({"Profiles": 3}, "Profiles"),
        ({"PolicyLimits": {"MaxAttempts": 0}}, "PolicyLimits.MaxAttempts"),
        ({"PolicyLimits": {"MayProbe": "yes"}}, "PolicyLimits.MayProbe"),
        ({"Rules": {"ColdFrom": 2}}, "Rules.ColdFrom"),
        ({"Rules": []}, "Rules"),
        ({"Discovery": "tea leaves"}, "Discovery"),
        ({"Balancers": float("nan")}, "Balancers"),
        ({"Locality": 2}, "Locality"),
        ({"Balancers": float("inf")}, "Balancers"),
        ({"Goal": {"WorstClass": -1}}, "Goal.WorstClass"),
    ],
)
def test_errors_of_invalid_settings_name_the_field(changes, field):
    with pytest.raises(ValueError, match=field):
        Settings.parse(raw_settings(**changes))


def test_events_of_unknown_requests_and_servers_are_ignored():
    instance = balancer("safe")
    instance.request(0.0, arrival(1))
    assert instance.outcome(5.0, 1, 0, Outcome.OK, 5.0, last=True) == []
    assert instance.outcome(6.0, 1, 0, Outcome.TIMEOUT) == []
    assert instance.outcome(6.0, 2, 0, Outcome.OK) == []
    assert instance.client_gone(6.0, 1) == []
    assert instance.timer(6.0, "something else") == []
    assert instance.probe_result(6.0, "never heard of", Outcome.OK) == []


def test_a_server_that_first_appears_among_changes_is_added():
    instance = balancer("safe", servers=0)
    instance.server_list(1.0, "changes", [Listing("new"), Listing("old", state="left")])
    (send,) = of_type(instance.request(2.0, arrival(1)), Send)
    assert send.server == "new"


def test_a_server_that_a_complete_list_lacks_has_left():
    instance = balancer("safe", servers=3)
    instance.server_list(1.0, "all", listing(1))
    sends = [of_type(instance.request(2.0, arrival(i)), Send)[0].server for i in range(10)]
    assert set(sends) == {"s0"}


@pytest.mark.parametrize("bad", [float("nan"), float("inf"), -float("inf")])
def test_figures_that_are_not_finite_do_not_lose_requests(bad):
    instance = balancer("safe", servers=0)
    instance.server_list(0.0, "all", [Listing("a", weight=bad, started=bad), Listing("b")])
    for number in range(30):
        now = 10.0 * number
        request = arrival(number, now)._replace(give_up_at=bad, work=bad, key=number)
        (send,) = of_type(instance.request(now, request), Send)
        assert 0.0 < send.timeout <= 1000.0
        instance.outcome(now + 5.0, number, 0, Outcome.OK, bad, True, {"inflight": bad})
    assert not instance._requests


def test_a_request_of_an_unknown_class_is_an_error():
    for traffic_class in (-1, 1):
        with pytest.raises(ValueError, match="no class"):
            balancer("safe").request(0.0, arrival(1, traffic_class=traffic_class))
