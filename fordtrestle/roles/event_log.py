"""Writes replication events to the process log, one message type per event class, with the event's fields."""

from __future__ import annotations

from dataclasses import fields

import eliot

from fordtrestle.replication.events import Event, Events
from fordtrestle.roles.metrics import to_snake_case

PREFIX = "replication:"


def message_type(event: Event) -> str:
    """Return the message type of an event: its class name in lower case, hyphenated."""
    return PREFIX + to_snake_case(type(event).__name__).replace("_", "-")


class EventLog:
    """Writes the new events of one store to the log."""

    def __init__(self, events: Events) -> None:
        """Create an event log that reads from `events`."""
        self._events = events

    def write(self) -> None:
        """Write the events since the last call, one message each."""
        for event in self._events.drain():
            values = {field.name: _to_json(getattr(event, field.name)) for field in fields(event)}
            eliot.log_message(message_type(event), **values)


def _to_json(value: object) -> object:
    """Convert a field value for the log: tuples to lists, floats rounded to three decimals."""
    if isinstance(value, tuple):
        return list(value)
    return round(value, 3) if isinstance(value, float) else value
