"""A message that this version cannot read does not cost the link.

Guards against a link that is closed, with all open requests on it, because the peer
runs a newer version and sends a message type or a field that is unknown here.
"""

import asyncio

import cbor2
import pytest

from sequoiahook.daemons.direct.object_store import Kind
from sequoiahook.daemons.direct.relay_answers import _kind
from sequoiahook.daemons.links import Received
from sequoiahook.errors import CodecError, UnreadableMessageError
from sequoiahook.messages.base import Envelope
from sequoiahook.messages.relay import StoreAsk
from sequoiahook.wire.codec import decode_envelope, encode_envelope
from tests.test_link_stops import CONNECT_S, linked

ASK = Envelope("peer", 1, 0, "own", StoreAsk(1, "targets", 0, 10))
UNREADABLE_FRAMES = [
    cbor2.dumps(["peer", 1, 0, "own", "Gossip", [1, 2]]),
    cbor2.dumps(["peer", 1, 0, "own", "StoreAsk", [1, "targets", 0, 10, "new"]]),
    cbor2.dumps(["peer", 1, 0, "own", "StoreAsk", {"ticket": 1}]),
]


@pytest.mark.parametrize("frame", UNREADABLE_FRAMES)
def test_an_unreadable_message_is_told_from_a_malformed_envelope(frame):
    with pytest.raises(UnreadableMessageError):
        decode_envelope(frame)


@pytest.mark.parametrize(
    "frame",
    [b"\xff", cbor2.dumps(5), cbor2.dumps(["peer", "1", 0, "own", "StoreAsk", []])],
)
def test_a_malformed_envelope_is_no_unreadable_message(frame):
    with pytest.raises(CodecError) as caught:
        decode_envelope(frame)
    assert not isinstance(caught.value, UnreadableMessageError)


async def receive_behind_unreadable_messages():
    events = []
    own, own_address = await linked("own")
    own._emit_event = events.append
    peer, _ = await linked("peer", {"own": own_address})
    async with asyncio.timeout(CONNECT_S):
        while not (own.is_connected("peer") and peer.is_connected("own")):
            await asyncio.sleep(0.01)
        (link,) = peer._links_by_peer["own"]
        for frame in UNREADABLE_FRAMES:
            await link.connection.send(frame)
        await link.connection.send(encode_envelope(ASK))
        while not any(isinstance(event, Received) for event in events):
            await asyncio.sleep(0.01)
    is_connected = own.is_connected("peer")
    await own.stop()
    await peer.stop()
    return is_connected, [e.envelope for e in events if isinstance(e, Received)]


def test_unreadable_messages_cost_neither_the_link_nor_later_messages():
    assert asyncio.run(receive_behind_unreadable_messages()) == (True, [ASK])


def test_a_kind_of_objects_that_only_the_peer_knows_is_none():
    assert _kind("targets") is Kind.TARGETS
    assert _kind("quotas") is None
