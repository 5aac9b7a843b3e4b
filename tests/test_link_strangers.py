"""Connections to the port for links whose peers do not authenticate themselves."""

import asyncio
import contextlib

from sequoiahook.clock import MS_PER_S
from sequoiahook.daemons.link_server import UNAUTHENTICATED_BYTES_MAX
from sequoiahook.daemons.links import HANDSHAKE_TIMEOUT_MS, Links, LinksSettings
from sequoiahook.world.instance import Address
from tests.test_link_silence import linked, wait_for

STRANGERS_MAX = 3
STRANGERS = 12


async def accepting(name):
    address = Address("127.0.0.1", 0)
    settings = LinksSettings(name, 1, "secret", address, STRANGERS_MAX)
    links = Links(settings, lambda event: None)
    return links, await links.start()


async def connect(address):
    reader, writer = await asyncio.open_connection(*address)
    await asyncio.sleep(0.02)
    return reader, writer


def test_the_oldest_strangers_are_closed_and_peers_are_accepted():
    """Any number of connections took the descriptors of the process."""

    async def play():
        acceptor, address = await accepting("acceptor")
        strangers = [await connect(address) for _ in range(STRANGERS)]
        for reader, _ in strangers[:-STRANGERS_MAX]:
            async with asyncio.timeout(1):
                assert await reader.read() == b""
        assert not any(reader.at_eof() for reader, _ in strangers[-STRANGERS_MAX:])
        peer, _ = await linked("peer")
        peer.set_peers({"acceptor": address})
        await wait_for(lambda: acceptor.is_connected("peer"))
        strangers += [await connect(address) for _ in range(STRANGERS)]
        assert acceptor.is_connected("peer")
        for _, writer in strangers:
            writer.close()
        await peer.stop()
        await acceptor.stop()

    asyncio.run(play())


def test_a_stranger_that_sends_much_is_closed():
    """Handshakes of any size were held before their senders were known."""

    async def play():
        acceptor, address = await accepting("acceptor")
        reader, writer = await connect(address)
        fields = b"X-Other: " + b"x" * UNAUTHENTICATED_BYTES_MAX
        writer.write(b"GET / HTTP/1.1\r\nHost: a\r\n" + fields)
        async with asyncio.timeout(1):
            with contextlib.suppress(ConnectionResetError):
                assert await reader.read() == b""
        writer.close()
        await acceptor.stop()

    asyncio.run(play())


def test_a_stop_does_not_wait_for_strangers():
    """The exit waited for handshakes that strangers had begun until they timed out."""

    async def play():
        acceptor, address = await accepting("acceptor")
        _, writer = await connect(address)
        async with asyncio.timeout(HANDSHAKE_TIMEOUT_MS / MS_PER_S / 2):
            await acceptor.stop()
        writer.close()

    asyncio.run(play())
