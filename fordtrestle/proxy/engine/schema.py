"""Strict validation of parsed TOML tables: each key has a type and a range; all errors are collected. Pure.

The caller reads the keys of a `TomlTable` one by one and then calls `reject_unknown_keys`, which reports each
key that was not read. No exception is raised: an invalid value is recorded in `SchemaErrors` and read as None
(or an empty text or tuple), so that one pass over a file finds all of its errors.
"""

from __future__ import annotations

import difflib
import ipaddress
import json
import math
import re
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from fordtrestle.proxy.engine.ports import Address, parse_address

IDENTIFIER = re.compile(r"[A-Za-z0-9_-]{1,64}")  # a bare key of TOML, short enough for a log line
DAY_MS = 86_400_000.0  # the longest time that a file may set
MAX_COUNT = 2**40  # above any limit of a machine, and exact as a float
MAX_DESCRIPTION_CHARS = 60  # of a value in an error, so that the message stays one line
SUGGESTION_CUTOFF = 0.6  # the similarity (difflib's ratio) from which a known key is suggested


class SchemaError(NamedTuple):
    """One error in a file.

    Attributes:
        at: The key, as `table.key`; empty for the whole file.
        reason: The error, worded for the author of the file.
    """

    at: str
    reason: str


@dataclass(slots=True)
class SchemaErrors:
    """Collects the errors of one file in the order in which its keys were read."""

    found: list[SchemaError] = field(default_factory=list)

    def add(self, at: str, reason: str) -> None:
        """Record an error at the key `at`."""
        self.found.append(SchemaError(at, reason))


def path(at: str, key: str) -> str:
    """Return the full name of a key; a key that is not an identifier is quoted to stay on one line."""
    name = key if IDENTIFIER.fullmatch(key) else json.dumps(key)
    return f"{at}.{name}" if at else name


def describe(value: Any) -> str:
    """Describe a value for an error message in one short line."""
    if isinstance(value, int) and abs(value) > MAX_COUNT:
        return "a huge number"  # converting a huge integer to text is slow and may raise
    text = json.dumps(value) if isinstance(value, str | bool | int | float) else _kind(value)
    return text if len(text) <= MAX_DESCRIPTION_CHARS else f"{text[: MAX_DESCRIPTION_CHARS - 3]}..."


def _kind(value: Any) -> str:
    if isinstance(value, dict):
        return "a table"
    return "an array" if isinstance(value, list) else f"a {type(value).__name__}"


def address_text(address: Address) -> str:
    """Format an address as `host:port`, with an IPv6 host in brackets."""
    host = f"[{address.host}]" if ":" in address.host else address.host
    return f"{host}:{address.port}"


class TomlTable:
    """Reads one table of a file, key by key.

    Attributes:
        at: The table's full name; empty for the whole file.
        errors: Records the errors of this table and of the tables in it.
    """

    def __init__(self, raw: Mapping[str, Any], at: str, errors: SchemaErrors) -> None:
        self._raw = raw
        self._read_keys: dict[str, None] = {}
        self.at = at
        self.errors = errors

    def has(self, key: str) -> bool:
        """Return whether the key is present, valid or not."""
        return key in self._raw

    def add_error(self, key: str, reason: str) -> None:
        """Record an error of a key of this table."""
        self.errors.add(path(self.at, key), reason)

    def reject_unknown_keys(self) -> None:
        """Record an error for each key that was not read."""
        for key in self._raw:
            if key not in self._read_keys:
                near = difflib.get_close_matches(key, self._read_keys, 1, SUGGESTION_CUTOFF)
                self.add_error(key, "no such key" + (f"; did you mean {near[0]}?" if near else ""))

    # --- numbers --------------------------------------------------------------

    def number(
        self,
        key: str,
        default: float | None = None,
        low: float = 0.0,
        high: float = DAY_MS,
        required: bool = False,
    ) -> float | None:
        """Read a finite number from `low` to `high`; None if it is invalid, or missing without a default."""
        value = self._take(key, required)
        if value is None:
            return default
        if isinstance(value, bool) or not isinstance(value, int | float):
            self.add_error(key, f"expected a number, not {describe(value)}")
        elif not low <= value <= high:  # NaN fails both comparisons
            self.add_error(key, f"{describe(value)} is not within {low:g} to {high:g}")
        else:
            return float(value)
        return None

    def numbers(self, key: str, low: float, high: float, max_length: int) -> tuple[float, ...]:
        """Read an array of 1 to `max_length` numbers from `low` to `high`; empty if it is invalid."""
        value = self._take(key, required=True)
        if value is None:
            return ()
        rows = value if isinstance(value, list) else []
        is_valid = all(
            isinstance(row, int | float) and not isinstance(row, bool) and low <= row <= high for row in rows
        )
        if not is_valid or not 1 <= len(rows) <= max_length:
            self.add_error(
                key, f"expected 1 to {max_length} numbers within {low:g} to {high:g}, not {describe(value)}"
            )
            return ()
        return tuple(map(float, rows))

    def integer(
        self,
        key: str,
        default: int | None = None,
        low: int = 0,
        high: int = MAX_COUNT,
        required: bool = False,
    ) -> int | None:
        """Read an integer from `low` to `high`; None if it is invalid, or missing without a default."""
        value = self._take(key, required)
        if value is None:
            return default
        if isinstance(value, bool) or not isinstance(value, int):
            self.add_error(key, f"expected a whole number, not {describe(value)}")
        elif not low <= value <= high:
            self.add_error(key, f"{describe(value)} is not within {low} to {high}")
        else:
            return value
        return None

    def share(self, key: str, default: float | None = None) -> float | None:
        """Read a number from 0 to 1; None if it is invalid, or missing without a default."""
        return self.number(key, default, 0.0, 1.0)

    def boolean(self, key: str, default: bool) -> bool:
        """Read true or false; `default` if it is invalid or missing."""
        value = self._take(key)
        if value is None:
            return default
        if not isinstance(value, bool):
            self.add_error(key, f"expected true or false, not {describe(value)}")
            return default
        return value

    # --- texts ----------------------------------------------------------------

    def choice(self, key: str, choices: Sequence[str], default: str | None = None) -> str:
        """Read one of `choices`; empty if it is invalid. It is required if there is no default."""
        value = self._take(key, required=default is None)
        if value is None:
            return default or ""
        if value not in choices:
            self.add_error(key, f"expected one of {', '.join(choices)}, not {describe(value)}")
            return ""
        return str(value)

    def identifier(self, key: str, default: str | None = None) -> str:
        """Read an identifier; empty if it is invalid. It is required if there is no default."""
        value = self._take(key, required=default is None)
        if value is None:
            return default or ""
        return value if self._is_identifier(key, value) else ""

    def text(self, key: str, default: str | None, form: re.Pattern[str], expected: str) -> str:
        """Read a text that matches `form`; empty if it is invalid.

        Args:
            key: The key.
            default: The value of a missing key; None if the key is required.
            form: The regular expression that the whole text has to match.
            expected: The description of a valid text in the error message.
        """
        value = self._take(key, required=default is None)
        if value is None:
            return default or ""
        if not isinstance(value, str) or form.fullmatch(value) is None:
            self.add_error(key, f"expected {expected}, not {describe(value)}")
            return ""
        return value

    def file(self, key: str) -> str | None:
        """Read the path of a file; None if it is invalid or missing."""
        value = self._take(key)
        if value is None:
            return None
        if not isinstance(value, str) or not value or not value.isprintable():
            self.add_error(key, f"expected the path of a file, not {describe(value)}")
            return None
        return value

    def identifiers(self, key: str) -> tuple[str, ...]:
        """Read an array of distinct identifiers; invalid ones are left out."""
        value = self._take(key)
        if value is None:
            return ()
        if not isinstance(value, list):
            self.add_error(key, f"expected an array, not {describe(value)}")
            return ()
        words = [word for word in value if self._is_identifier(key, word)]
        for word in sorted({word for word in words if words.count(word) > 1}):
            self.add_error(key, f"{describe(word)} is there more than once")
        return tuple(words)

    def _is_identifier(self, key: str, value: Any) -> bool:
        is_valid = isinstance(value, str) and IDENTIFIER.fullmatch(value) is not None
        if not is_valid:
            self.add_error(key, f"expected a plain word (letters, digits, _ and -), not {describe(value)}")
        return is_valid

    def address(self, key: str, allow_host_name: bool = False) -> Address | None:
        """Read a required address, `IP:port` or, if allowed, `host:port`; None if it is invalid."""
        value = self._take(key, required=True)
        return None if value is None else self._address(key, value, allow_host_name)

    def addresses(self, key: str) -> tuple[Address, ...]:
        """Read one `IP:port` or an array of them; at least one is required, and invalid ones are left out."""
        value = self._take(key, required=True)
        if value is None:
            return ()
        rows = value if isinstance(value, list) else [value]
        if not rows:
            self.add_error(key, "at least one address is needed")
        read = [self._address(key, row, allow_host_name=False) for row in rows]
        return tuple(address for address in read if address is not None)

    def _address(self, key: str, value: Any, allow_host_name: bool) -> Address | None:
        try:
            address = parse_address(value)
            if not allow_host_name or ":" in address.host:
                ipaddress.ip_address(address.host)
            elif re.fullmatch(r"[A-Za-z0-9._-]{1,253}", address.host) is None:
                raise ValueError
        except ValueError:
            kind = "host:port" if allow_host_name else "IP:port"
            self.add_error(key, f"{describe(value)} is not an address ({kind})")
            return None
        return address

    # --- tables ---------------------------------------------------------------

    def table(self, key: str) -> TomlTable:
        """Read a table; empty if it is missing or invalid."""
        value = self._take(key)
        if value is not None and not isinstance(value, dict):
            self.add_error(key, f"expected a table, not {describe(value)}")
        return TomlTable(value if isinstance(value, dict) else {}, path(self.at, key), self.errors)

    def named_tables(self, key: str, required: bool = False) -> Iterator[tuple[str, TomlTable]]:
        """Read tables by name, as `[key.NAME]`; a name that is not an identifier is an error."""
        tables = self.table(key)
        if required and not self._raw.get(key):
            self.add_error(key, "at least one is needed")
        for name in tables._raw:
            if IDENTIFIER.fullmatch(name) is None:
                tables.add_error(name, "a name is a plain word (letters, digits, _ and -)")
            else:
                yield name, tables.table(name)

    def array_of_tables(self, key: str, required: bool = False) -> list[TomlTable]:
        """Read an array of tables, as `[[key]]`; empty if it is missing or invalid."""
        value = self._take(key)
        if required and (value is None or value == []):
            self.add_error(key, "at least one is needed")
        if value is None:
            return []
        if not isinstance(value, list) or not all(isinstance(row, dict) for row in value):
            self.add_error(key, f"expected an array of tables, not {describe(value)}")
            return []
        return [TomlTable(row, f"{path(self.at, key)}[{i}]", self.errors) for i, row in enumerate(value)]

    def _take(self, key: str, required: bool = False) -> Any:
        """Return the raw value; None if it is missing, since TOML has no null."""
        self._read_keys[key] = None
        if required and key not in self._raw:
            self.add_error(key, "missing")
        return self._raw.get(key)


def or_nan(value: float | None) -> float:
    """Return the number, or NaN for an invalid or missing one.

    NaN is neither greater nor less than any number, so later range checks report no second error for it.
    """
    return math.nan if value is None else value
