"""A strict reader of tables: each key is typed and ranged, and every fault is gathered. Pure.

A reader asks a `Table` for its keys one by one and closes it with `end`, which refuses what was not
asked for. Nothing is raised: a bad value is noted in `Faults` and stands as None (or an empty
text or tuple), so that one pass over a file finds all that is wrong with it.
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

WORD = re.compile(r"[A-Za-z0-9_-]{1,64}")
DAY_MS = 86_400_000.0
COUNT_MOST = 2**40  # past any limit of a machine; guards against figures that overflow a float


class Fault(NamedTuple):
    """One thing that is wrong: where (`table.key`, or empty for the whole file), and why."""

    at: str
    reason: str


@dataclass(slots=True)
class Faults:
    """All that is wrong with one file, in the order in which it was read."""

    found: list[Fault] = field(default_factory=list)

    def add(self, at: str, reason: str) -> None:
        """Note a fault."""
        self.found.append(Fault(at, reason))


def path(at: str, key: str) -> str:
    """The full name of a key; what is no plain word is quoted, so that it stays one line."""
    name = key if WORD.fullmatch(key) else json.dumps(key)
    return f"{at}.{name}" if at else name


def shown(value: Any) -> str:
    """A value as an error names it: one line, and not long."""
    if isinstance(value, int) and abs(value) > COUNT_MOST:
        return "a number out of all range"  # guards against digits without end, which are no text
    text = json.dumps(value) if isinstance(value, str | bool | int | float) else _kind(value)
    return text if len(text) <= 60 else f"{text[:57]}..."


def _kind(value: Any) -> str:
    if isinstance(value, dict):
        return "a table"
    return "an array" if isinstance(value, list) else f"a {type(value).__name__}"


def address_text(address: Address) -> str:
    """An address as a file has it."""
    host = f"[{address.host}]" if ":" in address.host else address.host
    return f"{host}:{address.port}"


class Table:
    """One table of a file, read key by key; `at` is its full name."""

    def __init__(self, raw: Mapping[str, Any], at: str, faults: Faults) -> None:
        self._raw = raw
        self._asked: dict[str, None] = {}
        self.at = at
        self.faults = faults

    def has(self, key: str) -> bool:
        """Whether the key is there, good or not."""
        return key in self._raw

    def fault(self, key: str, reason: str) -> None:
        """Note what is wrong with a key."""
        self.faults.add(path(self.at, key), reason)

    def end(self) -> None:
        """Refuse every key that was not asked for."""
        for key in self._raw:
            if key not in self._asked:
                near = difflib.get_close_matches(key, self._asked, 1, 0.6)
                self.fault(key, "no such key" + (f"; did you mean {near[0]}?" if near else ""))

    # --- figures --------------------------------------------------------------

    def figure(
        self,
        key: str,
        default: float | None = None,
        low: float = 0.0,
        high: float = DAY_MS,
        needed: bool = False,
    ) -> float | None:
        """A finite number from `low` to `high`; None where it is bad, or missing with no default."""
        value = self._take(key, needed)
        if value is None:
            return default
        if isinstance(value, bool) or not isinstance(value, int | float):
            self.fault(key, f"expected a number, not {shown(value)}")
        elif not low <= value <= high:  # also what is not a number
            self.fault(key, f"{shown(value)} is not within {low:g} to {high:g}")
        else:
            return float(value)
        return None

    def figures(self, key: str, low: float, high: float, most: int) -> tuple[float, ...]:
        """An array of such numbers, at least one and so many at the most; empty where it is bad."""
        value = self._take(key, needed=True)
        if value is None:
            return ()
        rows = value if isinstance(value, list) else []
        good = all(
            isinstance(row, int | float) and not isinstance(row, bool) and low <= row <= high for row in rows
        )
        if not good or not 1 <= len(rows) <= most:
            self.fault(key, f"expected 1 to {most} numbers within {low:g} to {high:g}, not {shown(value)}")
            return ()
        return tuple(map(float, rows))

    def count(
        self,
        key: str,
        default: int | None = None,
        low: int = 0,
        high: int = COUNT_MOST,
        needed: bool = False,
    ) -> int | None:
        """A whole number from `low` to `high`; None where it is bad, or missing with no default."""
        value = self._take(key, needed)
        if value is None:
            return default
        if isinstance(value, bool) or not isinstance(value, int):
            self.fault(key, f"expected a whole number, not {shown(value)}")
        elif not low <= value <= high:
            self.fault(key, f"{shown(value)} is not within {low} to {high}")
        else:
            return value
        return None

    def share(self, key: str, default: float | None = None) -> float | None:
        """A number from 0 to 1."""
        return self.figure(key, default, 0.0, 1.0)

    def flag(self, key: str, default: bool) -> bool:
        """True or false."""
        value = self._take(key)
        if value is None:
            return default
        if not isinstance(value, bool):
            self.fault(key, f"expected true or false, not {shown(value)}")
            return default
        return value

    # --- texts ----------------------------------------------------------------

    def one_of(self, key: str, words: Sequence[str], default: str | None = None) -> str:
        """One of these words; empty where it is bad. It is needed where there is no default."""
        value = self._take(key, needed=default is None)
        if value is None:
            return default or ""
        if value not in words:
            self.fault(key, f"expected one of {', '.join(words)}, not {shown(value)}")
            return ""
        return str(value)

    def word(self, key: str, default: str | None = None) -> str:
        """A plain word; empty where it is bad. It is needed where there is no default."""
        value = self._take(key, needed=default is None)
        if value is None:
            return default or ""
        return value if self._is_word(key, value) else ""

    def text(self, key: str, default: str | None, form: re.Pattern[str], what: str) -> str:
        """A text of this form; empty where it is bad. It is needed where there is no default."""
        value = self._take(key, needed=default is None)
        if value is None:
            return default or ""
        if not isinstance(value, str) or form.fullmatch(value) is None:
            self.fault(key, f"expected {what}, not {shown(value)}")
            return ""
        return value

    def file(self, key: str) -> str | None:
        """The path of a file; None where it is missing or bad."""
        value = self._take(key)
        if value is None:
            return None
        if not isinstance(value, str) or not value or not value.isprintable():
            self.fault(key, f"expected the path of a file, not {shown(value)}")
            return None
        return value

    def words(self, key: str) -> tuple[str, ...]:
        """An array of plain words, each once; bad ones are left out."""
        value = self._take(key)
        if value is None:
            return ()
        if not isinstance(value, list):
            self.fault(key, f"expected an array, not {shown(value)}")
            return ()
        words = [word for word in value if self._is_word(key, word)]
        for word in sorted({word for word in words if words.count(word) > 1}):
            self.fault(key, f"{shown(word)} is there more than once")
        return tuple(words)

    def _is_word(self, key: str, value: Any) -> bool:
        good = isinstance(value, str) and WORD.fullmatch(value) is not None
        if not good:
            self.fault(key, f"{shown(value)} is no plain word (letters, digits, _ and -)")
        return good

    def address(self, key: str, named: bool = False) -> Address | None:
        """`IP:port`, with a host's name in place of the IP where `named`; it is needed."""
        value = self._take(key, needed=True)
        return None if value is None else self._address(key, value, named)

    def addresses(self, key: str) -> tuple[Address, ...]:
        """One `IP:port` or an array of them; at least one is needed."""
        value = self._take(key, needed=True)
        if value is None:
            return ()
        rows = value if isinstance(value, list) else [value]
        if not rows:
            self.fault(key, "at least one address is needed")
        read = [self._address(key, row, named=False) for row in rows]
        return tuple(address for address in read if address is not None)

    def _address(self, key: str, value: Any, named: bool) -> Address | None:
        try:
            address = parse_address(value)
            if not named or ":" in address.host:
                ipaddress.ip_address(address.host)
            elif re.fullmatch(r"[A-Za-z0-9._-]{1,253}", address.host) is None:
                raise ValueError
        except ValueError:
            kind = "host:port" if named else "IP:port"
            self.fault(key, f"{shown(value)} is not an address ({kind})")
            return None
        return address

    # --- tables ---------------------------------------------------------------

    def table(self, key: str) -> Table:
        """A table, empty where it is missing."""
        value = self._take(key)
        if value is not None and not isinstance(value, dict):
            self.fault(key, f"expected a table, not {shown(value)}")
        return Table(value if isinstance(value, dict) else {}, path(self.at, key), self.faults)

    def named(self, key: str, needed: bool = False) -> Iterator[tuple[str, Table]]:
        """Tables by their names, as `[key.NAME]`; one whose name is no plain word is refused."""
        tables = self.table(key)
        if needed and not self._raw.get(key):
            self.fault(key, "at least one is needed")
        for name in tables._raw:
            if WORD.fullmatch(name) is None:
                tables.fault(name, "a name is a plain word (letters, digits, _ and -)")
            else:
                yield name, tables.table(name)

    def rows(self, key: str, needed: bool = False) -> list[Table]:
        """An array of tables, as `[[key]]`."""
        value = self._take(key)
        if needed and (value is None or value == []):
            self.fault(key, "at least one is needed")
        if value is None:
            return []
        if not isinstance(value, list) or not all(isinstance(row, dict) for row in value):
            self.fault(key, f"expected an array of tables, not {shown(value)}")
            return []
        return [Table(row, f"{path(self.at, key)}[{i}]", self.faults) for i, row in enumerate(value)]

    def _take(self, key: str, needed: bool = False) -> Any:
        """The raw value; None where it is missing, since files of this kind have no such value."""
        self._asked[key] = None
        if needed and key not in self._raw:
            self.fault(key, "missing")
        return self._raw.get(key)


def good(value: float | None) -> float:
    """A figure to compute on with: what is bad or missing compares as neither more nor less."""
    return math.nan if value is None else value
