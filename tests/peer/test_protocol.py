"""The protocol of a connection: bytes in, events and states out, without sockets or clocks."""

from __future__ import annotations

import cbor2
import pytest

from fordtrestle.dissemination.messages import Want
from fordtrestle.peer.codec import encode
from fordtrestle.peer.errors import (
    CodecError,
    HandshakeError,
    NoCommonVersionError,
    PeerError,
    UnknownMessageError,
)
from fordtrestle.peer.frames import KEEPALIVE_FRAME, encode_frame
from fordtrestle.peer.handshake import accept_hello
from fordtrestle.peer.messages import Hello
from fordtrestle.peer.protocol import (
    KEEPALIVE_S,
    ConnectionState,
    MessageReceived,
    MessageSkipped,
    PeerProtocol,
)
from fordtrestle.peer.wire_types import FIRST_TAG

WANT = encode_frame(encode(Want(("a",))))
UNKNOWN = encode_frame(cbor2.dumps(cbor2.CBORTag(FIRST_TAG + 400, ["of a later version"])))


@pytest.fixture
def protocol() -> PeerProtocol:
    return PeerProtocol(now=10.0)


def test_a_connection_goes_from_handshake_to_open_to_closed_and_not_back(protocol):
    states = [protocol.state]
    for step in (protocol.open, protocol.close, protocol.open):
        step()
        states.append(protocol.state)
    handshake, opened, closed = ConnectionState
    assert states == [handshake, opened, closed, closed]


def test_messages_are_events_and_keepalives_are_skipped(protocol):
    protocol.receive_data(KEEPALIVE_FRAME + WANT + KEEPALIVE_FRAME + WANT[:-1])
    assert protocol.next_event() == MessageReceived(Want(("a",)))
    assert protocol.next_event() is None
    protocol.receive_data(WANT[-1:])
    assert protocol.next_event() == MessageReceived(Want(("a",)))


def test_an_unknown_message_of_an_open_connection_is_skipped_and_counted(protocol):
    protocol.open()
    protocol.receive_data(UNKNOWN + WANT + UNKNOWN)
    events = [protocol.next_event() for _ in range(3)]
    assert [type(event) for event in events] == [MessageSkipped, MessageReceived, MessageSkipped]
    assert (events[0].is_first, events[2].is_first) == (True, False)
    assert protocol.skipped_messages == 2


def test_an_unknown_message_in_place_of_a_hello_ends_the_handshake(protocol):
    protocol.receive_data(UNKNOWN)
    with pytest.raises(UnknownMessageError):
        protocol.next_event()


def test_a_payload_that_is_not_a_message_raises_an_error_of_the_peer_layer(protocol):
    protocol.open()
    protocol.receive_data(encode_frame(b"\xff"))
    with pytest.raises(CodecError) as raised:
        protocol.next_event()
    assert isinstance(raised.value, PeerError)


def test_a_connection_is_idle_if_nothing_was_sent_for_the_keepalive_interval(protocol):
    assert not protocol.is_idle(10.0 + KEEPALIVE_S / 2)
    assert protocol.is_idle(10.0 + KEEPALIVE_S)
    protocol.on_sent(10.0 + KEEPALIVE_S)
    assert not protocol.is_idle(10.0 + KEEPALIVE_S)
    assert protocol.keepalive_due_at == 10.0 + KEEPALIVE_S + KEEPALIVE_S


def test_a_hello_of_another_process_determines_the_version():
    theirs = Hello("there", "127.0.0.1:2", 2, 1)
    assert accept_hello(Hello("here", "127.0.0.1:1", 3, 2), theirs) == (theirs, 2)


@pytest.mark.parametrize("message", [Want(("a",)), Hello("here", "127.0.0.1:2", 3, 2)])
def test_another_message_and_our_own_hello_are_rejected(message):
    with pytest.raises(HandshakeError):
        accept_hello(Hello("here", "127.0.0.1:1", 3, 2), message)


def test_a_hello_without_a_common_version_is_rejected_with_both_ranges():
    with pytest.raises(NoCommonVersionError) as raised:
        accept_hello(Hello("here", "", 3, 2), Hello("there", "", 1, 1))
    error = raised.value
    assert (error.node, error.theirs, error.ours) == ("there", (1, 1), (2, 3))
