"""Planted breaches: the program's source is changed as it is loaded; nothing on disk changes.

A breach is a JSON file in `breaches/` with its name, its edits, the promise that it breaks, and the checker
that must find it. The `old` text of each edit must occur exactly once in its file, so that a breach that no
longer fits the program is refused rather than played as if it were planted.
"""

from __future__ import annotations

import importlib.abc
import importlib.machinery
import importlib.util
import re
import sys
from collections.abc import Sequence
from pathlib import Path
from types import CodeType, ModuleType

import msgspec
from msgspec import Struct

FOLDER = Path(__file__).resolve().parent / "breaches"
TREE = FOLDER.parent.parent.parent
NAME = re.compile(r"[a-z0-9][a-z0-9_-]{0,63}")
FILE = re.compile(r"([a-z0-9_]+/)+[a-z0-9_]+\.py")
MAX_BYTES = 64 * 1024


class BreachError(ValueError):
    """A breach that is invalid or can't be planted. The text is one line."""


class Edit(Struct, frozen=True, forbid_unknown_fields=True):
    """Replaces `old` by `new` in the source of `file`, a path under the tree."""

    file: str
    old: str
    new: str


class Breach(Struct, frozen=True, forbid_unknown_fields=True):
    """One planted breach. `why`: the promise that it breaks. `checker`: the checker that must find it."""

    name: str
    edits: tuple[Edit, ...]
    why: str
    checker: str


def names(folder: Path = FOLDER) -> list[str]:
    """Return the names of all breaches, sorted."""
    return sorted(path.stem for path in folder.glob("*.json"))


def read(name: str, folder: Path = FOLDER) -> Breach:
    """Read a breach by its name.

    Raises:
        BreachError: The breach is unknown or its file is invalid; the text names the file and the field.
    """
    path = folder / f"{name}.json"
    if NAME.fullmatch(name) is None or not path.is_file():
        raise BreachError(f"breach: no {name!r}; there are {', '.join(names(folder)) or 'none'}")
    try:
        with path.open("rb") as opened:
            data = opened.read(MAX_BYTES + 1)
    except OSError as error:
        raise BreachError(f"{path}: {error.strerror}") from None
    if len(data) > MAX_BYTES:
        raise BreachError(f"{path}: larger than {MAX_BYTES} bytes")
    try:
        breach = msgspec.json.decode(data, type=Breach)
    except msgspec.ValidationError as error:
        reason, _, where = str(error).partition(" - at `$.")
        raise BreachError(f"{path}: {where.rstrip('`') or 'breach'}: {reason}") from None
    except msgspec.DecodeError as error:
        raise BreachError(f"{path}: {error}") from None
    if breach.name != name:
        raise BreachError(f"{path}: name: {breach.name!r}, expected the file's name, {name!r}")
    return breach


def install(breach: Breach, tree: Path = TREE) -> None:
    """Plant a breach in the modules that this process loads from now on.

    Raises:
        BreachError: An edit does not fit, or a module that it changes is loaded already.
    """
    finder = Finder(breached(breach, tree))
    loaded = [module for module in finder.sources if module in sys.modules]
    if loaded:
        raise BreachError(f"breach {breach.name}: {', '.join(loaded)}: loaded already")
    sys.meta_path.insert(0, finder)


def breached(breach: Breach, tree: Path = TREE) -> dict[str, CodeType]:
    """Return the changed code of each module, by the module's name.

    Raises:
        BreachError: An edit does not fit.
    """
    if not breach.edits:
        raise BreachError(f"breach {breach.name}: edits: empty, expected at least one")
    texts: dict[str, str] = {}
    for index, edit in enumerate(breach.edits):
        at = f"breach {breach.name}: edits[{index}]"
        if FILE.fullmatch(edit.file) is None:
            raise BreachError(f"{at}.file: {edit.file!r} is not the path of a module under the tree")
        try:
            text = texts.get(edit.file) or (tree / edit.file).read_text()
        except (OSError, UnicodeDecodeError) as error:
            reason = error.strerror if isinstance(error, OSError) else "not UTF-8"
            raise BreachError(f"{at}.file: {edit.file}: {reason}") from None
        count = text.count(edit.old) if edit.old else 0
        if count != 1 or edit.new == edit.old:
            wrong = "equal to new" if count == 1 else f"found {count} times in {edit.file}, expected once"
            raise BreachError(f"{at}.old: {wrong}")
        texts[edit.file] = text.replace(edit.old, edit.new)
    return {module_of(file): _compiled(breach, file, text, tree) for file, text in texts.items()}


def _compiled(breach: Breach, file: str, text: str, tree: Path) -> CodeType:
    try:
        return compile(text, str(tree / file), "exec", dont_inherit=True)
    except (SyntaxError, ValueError) as error:
        raise BreachError(f"breach {breach.name}: {file}: {error}") from None


def module_of(file: str) -> str:
    """Return the name of the module in a file under the tree."""
    return file.removesuffix(".py").removesuffix("/__init__").replace("/", ".")


class Finder(importlib.abc.MetaPathFinder):
    """Import finder for the changed modules, and only them."""

    def __init__(self, sources: dict[str, CodeType]) -> None:
        self.sources = sources

    def find_spec(
        self, fullname: str, path: Sequence[str] | None, target: ModuleType | None = None
    ) -> importlib.machinery.ModuleSpec | None:
        """Return the spec of a changed module, as if it came from its file; None for any other."""
        code = self.sources.get(fullname)
        if code is None:
            return None
        loader = Loader(fullname, code.co_filename, code)
        return importlib.util.spec_from_file_location(fullname, code.co_filename, loader=loader)


class Loader(importlib.machinery.SourceFileLoader):
    """Loader of given code: it neither reads nor writes a compiled file."""

    def __init__(self, fullname: str, path: str, code: CodeType) -> None:
        super().__init__(fullname, path)
        self._code = code

    def get_code(self, fullname: str) -> CodeType:
        """Return the changed code."""
        return self._code
