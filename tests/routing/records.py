"""Factories of records, prompts and configurations for the routing tests."""

from __future__ import annotations

import json

from fordtrestle.dissemination.items import Phase, ServerRecord
from fordtrestle.routing.common import Prompt, PromptPart

ZONES = {"z-1": "r-1", "z-2": "r-1", "z-3": "r-2"}  # regions by zone


def make_prompt(tokens_in, tokens_out, *parts):
    """Return a prompt; each part is an id and its number of tokens."""
    return Prompt(tokens_in, tokens_out, tuple(PromptPart(*part) for part in parts))


def make_record(instance, zone="z-1", service="pool", **fields):
    """Return the record of a serving server, with the given fields overridden."""
    fields_of_record = {
        "slots": 4,
        "phase": Phase.SERVING,
        "is_unresponsive": False,
        "warm_up_ms": 0.0,
        "remaining_ms": None,
        "models": (),
        "heard_by": "core-1",
        **fields,
    }
    return ServerRecord(instance, service, "10.0.0.1:80", zone, **fields_of_record)


def make_document(*routes):
    """Return a configuration with these routes, with defaults for missing fields."""
    defaults = {"authority": "A.example", "timeout_ms": 1000, "backend": "pool"}
    return json.dumps(
        {
            "generation": 1,
            "routes": [{**defaults, **route} for route in routes],
            "services": [{"name": "pool"}],
        }
    ).encode()
