"""A link over which nothing arrives any more is replaced by a new one."""

import asyncio

from sequoiahook.daemons.links import Links, LinksSettings, PeerDown, PeerUp
from sequoiahook.world.instance import Address

CONNECT_S = 3.0


async def linked(name, emit_event=lambda event: None):
    address = Address("127.0.0.1", 0)
    links = Links(LinksSettings(name, 1, "secret", address), emit_event)
    return links, await links.start()


async def wait_for(condition):
    async with asyncio.timeout(CONNECT_S):
        while not condition():
            await asyncio.sleep(0.01)


def test_silent_link_is_dropped_once_and_dialled_again():
    async def play():
        events = []
        own, _ = await linked("own", events.append)
        peer, address = await linked("peer")
        own.set_peers({"peer": address})
        await wait_for(lambda: own.is_connected("peer"))
        own.drop("peer", silent_ms=10_000)
        assert own.is_connected("peer")
        await asyncio.sleep(0.05)
        own.drop("peer", silent_ms=20)
        own.drop("peer")
        assert not own.is_connected("peer")
        await wait_for(lambda: own.is_connected("peer"))
        assert [type(event) for event in events] == [PeerUp, PeerDown, PeerUp]
        await own.stop()
        await peer.stop()

    asyncio.run(play())
