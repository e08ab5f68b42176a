"""What an operator's configuration request comes to on a given state: its result, or the change to write.

Evaluation does no I/O and does not know whether the state is the newest one: `commands.py` confirms that.
"""

from __future__ import annotations

import hashlib
import json
from typing import Any

from returns.result import Failure, Result, Success

from fordtrestle.control_api.configuration import ValidationErrors, check_generation, read_patch, read_put
from fordtrestle.control_api.requests import CommandResult, CommandStatus, ConfigRequest, ConfigRequestKind
from fordtrestle.dissemination.items import MAX_DOCUMENT_BYTES
from fordtrestle.replication.state import ConfigChange, ControlState

DIGEST_BYTES = 16  # 128 bits: no two of the calls that a core ever sees have the same by chance


def digest_of(kind: ConfigRequestKind, base: int, body: bytes) -> bytes:
    """The idempotency key of a request: the same for a call sent again, different for any other.

    Digests are stored: what goes into them must not change.
    """
    head = f"{kind.value} {base}\n".encode()
    return hashlib.blake2b(head + body, digest_size=DIGEST_BYTES).digest()


def evaluate(request: ConfigRequest, state: ControlState) -> CommandResult | ConfigChange:
    """Evaluate a configuration request on a state.

    A call that was applied is never refused when it comes again. Where that was so long ago that only a
    prefix of its digest is known, another call may have the same prefix, and the result is `UNKNOWN`.

    Args:
        request: The operator's call.
        state: The newest state as far as this store knows.

    Returns:
        The result where nothing has to be written, or else the change to write.
    """
    digest = digest_of(request.kind, request.base, request.body)
    if state.has_applied(digest):
        return CommandResult(CommandStatus.DONE)
    if request.base != state.generation:
        may_be_applied = state.may_have_applied(digest, request.base)
        return CommandResult(CommandStatus.UNKNOWN if may_be_applied else CommandStatus.STALE)
    match _read_document(request, state):
        case Success(document):
            return _encode_change(digest, document)
        case Failure(invalid):
            return CommandResult(CommandStatus.INVALID, invalid.errors)
    raise AssertionError("a result is a success or a failure")


def _read_document(request: ConfigRequest, state: ControlState) -> Result[dict[str, Any], ValidationErrors]:
    """The checked configuration that a request asks for, of a generation above the current one."""
    if request.kind is ConfigRequestKind.PUT:
        read = read_put(request.body, state.document)
    else:
        read = read_patch(request.body, state.document)
    return read.bind(lambda document: check_generation(document, state.generation).map(lambda _: document))


def _encode_change(digest: bytes, document: dict[str, Any]) -> CommandResult | ConfigChange:
    """The change that puts a document in force, unless it is too long for one message between processes."""
    encoded = json.dumps(document, separators=(",", ":")).encode()
    if len(encoded) > MAX_DOCUMENT_BYTES:
        error = f"the configuration has more than {MAX_DOCUMENT_BYTES} bytes"
        return CommandResult(CommandStatus.INVALID, (error,))
    return ConfigChange(digest, int(document["generation"]), encoded)
