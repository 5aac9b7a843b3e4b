"""Links close in time, whatever the peer does."""

import asyncio
import time

import pytest

from sequoiahook.daemons.links import Links, LinksSettings
from sequoiahook.world.instance import Address

STOP_S = 1.0
CONNECT_S = 3.0


async def linked(name, peers=None):
    links = Links(
        LinksSettings(name, 1, "secret", Address("127.0.0.1", 0)), lambda event: None
    )
    address = await links.start()
    links.set_peers(peers or {})
    return links, address


async def stop_beside_a_frozen_peer(*, dials):
    peer, peer_address = await linked("peer")
    own, own_address = await linked("own", {"peer": peer_address} if dials else {})
    if not dials:
        peer.set_peers({"own": own_address})
    async with asyncio.timeout(CONNECT_S):
        while not (own.is_connected("peer") and peer.is_connected("own")):
            await asyncio.sleep(0.01)
    (link,) = peer._links_by_peer["own"]
    link.connection.transport.pause_reading()
    started_at = time.monotonic()
    await own.stop()
    duration_s = time.monotonic() - started_at
    link.connection.transport.resume_reading()
    await peer.stop()
    return duration_s


@pytest.mark.parametrize("dials", [True, False])
def test_frozen_peer_does_not_delay_the_stop(dials):
    assert asyncio.run(stop_beside_a_frozen_peer(dials=dials)) < STOP_S
