"""Writes the events of the replication to the log: a message type each, with the event's fields."""

from __future__ import annotations

from dataclasses import fields

import eliot

from fordtrestle.replication.events import Event, Events
from fordtrestle.roles.metrics import snake

PREFIX = "replication:"


def message_type(event: Event) -> str:
    """The name of an event's lines on the log."""
    return PREFIX + snake(type(event).__name__).replace("_", "-")


class EventLog:
    """Takes events and logs them when it is called."""

    def __init__(self, events: Events) -> None:
        self._events = events

    def __call__(self) -> None:
        for event in self._events.drain():
            told = {field.name: _plain(getattr(event, field.name)) for field in fields(event)}
            eliot.log_message(message_type(event), **told)


def _plain(value: object) -> object:
    """A value as JSON has it: times to the millisecond."""
    if isinstance(value, tuple):
        return list(value)
    return round(value, 3) if isinstance(value, float) else value
