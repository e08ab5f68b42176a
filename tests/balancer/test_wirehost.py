"""The wire adapter as a process, driven through its standard input and output."""

from __future__ import annotations

import json
import os
import re
import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parent.parent.parent
SETUP = json.dumps(
    {
        "Profiles": [
            {"Semantics": "pure", "Objective": 200, "Deadline": 1000, "Name": "a b"},
            {"Semantics": "side_effect", "Objective": 200, "Deadline": 1000},
        ],
        "FailureDomains": ["x", "y"],
        "PolicyLimits": {"MaxAttempts": 3, "MayProbe": True, "Unheard": {"of": 1}},
        "Report": {"How": "on_probe", "Fields": ["inflight", "x0"]},
        "Unknown": [1, 2],
    }
)
LIST = "snapshot_rows List=3 Elements=3\n" + "".join(
    f"item StageState=active Server=s.{i} RegionPart={i % 2} Other=1\n" for i in range(3)
)


def run(text, hash_seed="0"):
    return subprocess.run(
        [sys.executable, "-m", "fordtrestle.balancer.wirehost"],
        input=text,
        capture_output=True,
        text=True,
        cwd=ROOT,
        env={**os.environ, "PYTHONHASHSEED": hash_seed},
        timeout=60,
    )


def batch(number, body, now=100.0):
    return f"sync seq={number} Now={now + 5 * number}\n{body}over_to_you\n"


def born(instance, seed=7):
    return (
        f"context SidecarId=sidecar/{instance}\nborn RngSeed={seed} Setup={SETUP}\n"
        "discovery Version=1 List=3 Form=remembered\n"
    )


def day(instances):
    """Build the input of a short day of several instances, which share no events."""
    text = batch(0, "") + batch(1, LIST + "".join(born(i, seed=i + 5) for i in instances))
    for number in range(2, 40):
        body = ""
        for i in instances:
            body += f"context SidecarId=sidecar/{i}\n"
            request = 1000 * i + number
            body += f"arrival GiveUpAt=9000 Band={number % 2} RequestId={request} New=1\n"
            for server in range(3):
                body += f"ping_result Server=s.{server} Status=0 Report=x0:1,inflight:4\n"
            if number % 4 == 0:
                body += f"verdict Status={number % 8} RequestId={request - 2} Hop=0 Spent=10\n"
            body += f"tick_due Tag=look:{request}:0\n"
        text += batch(number, body)
    return text


def test_a_day_is_answered_and_ends_at_eof():
    process = run(day([0]))
    assert (process.returncode, process.stderr) == (0, "")
    replies = re.findall(r"^yield seq=(\d+)$", process.stdout, re.M)
    assert replies == [str(n) for n in range(40)]
    sent = re.findall(r"^relay RequestId=(\d+) Server=s\.\d Timeout=[\d.]+$", process.stdout, re.M)
    assert len(sent) > 10
    assert process.stdout.startswith("yield seq=0\n")


def test_the_output_does_not_depend_on_the_hash_seed():
    text = day([0, 1, 2])
    assert run(text, "1").stdout == run(text, "2").stdout


def actions_by_instance(output):
    """Return the actions of each instance, in order."""
    by_instance, speaker = {}, None
    for line in output.splitlines():
        if line.startswith("speaking "):
            speaker = line.partition("=")[2]
        elif not line.startswith("yield "):
            by_instance.setdefault(speaker, []).append(line)
    return by_instance


def test_actions_do_not_depend_on_the_other_instances_of_the_process():
    together = actions_by_instance(run(day([0, 1, 2])).stdout)
    for i in range(3):
        assert actions_by_instance(run(day([i])).stdout) == {f"sidecar/{i}": together[f"sidecar/{i}"]}


def test_lists_are_resolved_in_event_order_and_an_instance_restarts_in_a_batch():
    other = "snapshot_rows List=3 Elements=1\nitem Server=s.9\n"
    body = LIST + born(0) + "kill\n" + other + born(0)
    request = "context SidecarId=sidecar/0\narrival RequestId=1 Band=0 GiveUpAt=900\n"
    process = run(batch(1, body) + batch(2, request))
    assert process.returncode == 0
    assert set(re.findall(r"Server=(\S+)", process.stdout)) == {"s.9"}


@pytest.mark.parametrize(
    ("text", "line", "message"),
    [
        ("nonsense\n", 1, "expected sync"),
        (batch(1, "context SidecarId=sidecar/0\nwhat Now=1\n"), 3, "unknown message"),
        (batch(1, "context SidecarId=sidecar/0\naborted RequestId=1\n"), 3, "not born"),
        (batch(1, "aborted RequestId=1\n"), 2, "before any context"),
        (batch(1, LIST + born(0) + "arrival RequestId=1\n"), 9, "GiveUpAt is missing"),
        (batch(1, LIST + born(0) + "arrival RequestId=x GiveUpAt=1\n"), 9, "invalid literal"),
        (batch(1, LIST + born(0) + "verdict RequestId=1 Status=9\n"), 9, "Status"),
        (batch(1, LIST + born(0) + "discovery Form=all List=4\n"), 9, "list 4"),
        (batch(1, born(0).replace("pure", "odd")), 3, "Profiles[0].Semantics"),
        (f"sync seq=1 Now=1\n{LIST}", 5, "without over_to_you"),
    ],
)
def test_malformed_input_ends_with_a_single_error_line(text, line, message):
    process = run(text)
    assert process.returncode == 1
    assert len(process.stderr.splitlines()) == 1
    assert process.stderr.startswith(f"line {line}: ")
    assert message in process.stderr
    assert "Traceback" not in process.stderr + process.stdout


def test_an_exception_inside_the_module_is_fatal_with_its_text():
    body = LIST + born(0) + "arrival RequestId=1 Band=7 GiveUpAt=900\n"
    process = run(batch(1, body))
    assert process.returncode == 1
    assert re.search(r"^fatal ReasonText=ValueError: request 1: no class 7$", process.stdout, re.M)


def test_a_closed_output_ends_the_adapter_without_an_error():
    with subprocess.Popen(
        [sys.executable, "-m", "fordtrestle.balancer.wirehost"],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
        cwd=ROOT,
    ) as host:
        host.stdout.close()
        host.stdin.write(day([0]))
        host.stdin.close()
        assert host.wait(timeout=60) == 0
        assert host.stderr.read() == ""
