"""Writes the events of the replication to the process's log: a message type each, with the event's fields."""

from __future__ import annotations

from dataclasses import fields

import eliot

from fordtrestle.replication.events import Event, Events
from fordtrestle.roles.metrics import to_snake_case

PREFIX = "replication:"


def message_type(event: Event) -> str:
    """The message type of an event: its class's name in lower case, hyphenated."""
    return PREFIX + to_snake_case(type(event).__name__).replace("_", "-")


class EventLog:
    """Writes the events of one store that have not been written yet."""

    def __init__(self, events: Events) -> None:
        """Keep where the events come from."""
        self._events = events

    def write(self) -> None:
        """Write the events since the last call, each as one message."""
        for event in self._events.drain():
            values = {field.name: _to_json(getattr(event, field.name)) for field in fields(event)}
            eliot.log_message(message_type(event), **values)


def _to_json(value: object) -> object:
    """A field's value as the log has it: times in seconds to the millisecond."""
    if isinstance(value, tuple):
        return list(value)
    return round(value, 3) if isinstance(value, float) else value
