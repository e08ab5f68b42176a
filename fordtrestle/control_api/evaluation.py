"""Evaluates an operator's configuration request on a given state: its result, or the change to write.

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

DIGEST_BYTES = 16  # 128 bits, so that no two calls that a core ever receives collide by chance


def digest_of(kind: ConfigRequestKind, base: int, body: bytes) -> bytes:
    """Return the idempotency key of a request: the same for a resent call, different for any other.

    Digests are stored, so what they are computed from must not change.
    """
    head = f"{kind.value} {base}\n".encode()
    return hashlib.blake2b(head + body, digest_size=DIGEST_BYTES).digest()


def evaluate(request: ConfigRequest, state: ControlState) -> CommandResult | ConfigChange:
    """Evaluate a configuration request on a state.

    A call that was applied is never rejected when it is sent again. If only a prefix of its digest is still
    known, another call may have the same prefix, and the result is `UNKNOWN`.

    Args:
        request: The operator's call.
        state: The newest state that this store knows.

    Returns:
        The change to write, or the result if there is nothing to write.
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
    """Return the configuration that a request asks for, checked, of a generation above the current one."""
    if request.kind is ConfigRequestKind.PUT:
        document_result = read_put(request.body, state.document)
    else:
        document_result = read_patch(request.body, state.document)
    return document_result.bind(
        lambda document: check_generation(document, state.generation).map(lambda _: document)
    )


def _encode_change(digest: bytes, document: dict[str, Any]) -> CommandResult | ConfigChange:
    """Return the change that puts a document in force, unless it exceeds one message between processes."""
    encoded = json.dumps(document, separators=(",", ":")).encode()
    if len(encoded) > MAX_DOCUMENT_BYTES:
        error = f"the configuration has more than {MAX_DOCUMENT_BYTES} bytes"
        return CommandResult(CommandStatus.INVALID, (error,))
    return ConfigChange(digest, int(document["generation"]), encoded)
