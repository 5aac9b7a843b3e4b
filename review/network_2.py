"""A network between instances that drops what crosses a cut.

``python3 -m review.network_2 FILE`` reads a JSON document with ``hosts`` (the loopback
address of each instance by name), ``proxy_net`` and ``instance_net`` (their first three
bytes; both texts have the same length) and ``store_port``. It listens for each instance
on the address with the same last byte in the other net, and on one port for calls of
the store. It prints a line of JSON with that port when it is ready.

Calls of the store pass unchanged, but for the addresses at which instances reach each
other: in answers, those of the proxies stand for those of the instances. So all traffic
between instances comes through here: reports (UDP) and links (TCP).

Lines on standard input cut and heal: ``cut NAME,NAME NAME,NAME ...`` names the sides;
an instance that is in none reaches all. ``heal`` ends the cut. A cut is silent: nothing
is delivered, and nothing is reset. When it ends, the links that it held are reset.
"""

import asyncio
import contextlib
import json
import re
import sys
from collections.abc import Callable

INTERNAL_PORTS = (7560, 7561)
READ_BYTES = 1 << 20
SETTLE_S = 0.02
HELLO_BYTES_MAX = 8_192
MASK_BYTES = 4


class Cut:
    """Which instances reach each other.

    Attributes:
        side_by_name: Side of each instance; one without a side reaches all.
    """

    def __init__(self):
        self.side_by_name: dict[str, int] = {}
        self.links: set[Link] = set()

    def separates(self, first: str, second: str) -> bool:
        """Return whether two instances are on different sides."""
        sides = self.side_by_name.get(first), self.side_by_name.get(second)
        return None not in sides and sides[0] != sides[1]

    def apply(self, command: str) -> None:
        """Apply a line of the standard input."""
        words = command.split()
        if words[0] == "cut":
            self.side_by_name = {
                name: index
                for index, side in enumerate(words[1:])
                for name in side.split(",")
            }
            return
        for link in list(self.links):
            if self.separates(link.dialler, link.acceptor):
                link.reset()
        self.side_by_name = {}


class ReportProxy(asyncio.DatagramProtocol):
    """Passes on datagrams to one instance."""

    def __init__(self, cut: Cut, name: str, name_by_host: dict[str, str], send):
        self._cut = cut
        self._name = name
        self._name_by_host = name_by_host
        self._send = send

    def datagram_received(self, data: bytes, addr: tuple) -> None:
        """Pass a datagram on unless its sender is cut off."""
        sender = self._name_by_host.get(addr[0], "")
        if not self._cut.separates(sender, self._name):
            self._send(data)


class Link:
    """A connection from one instance to another."""

    def __init__(self, cut: Cut, acceptor: str):
        self.dialler = ""
        self.acceptor = acceptor
        self._cut = cut
        self._writers: list[asyncio.StreamWriter] = []

    def reset(self) -> None:
        """End both connections."""
        for writer in self._writers:
            writer.transport.abort()

    async def run(self, reader, writer, address, names) -> None:
        """Pass data on until either side ends."""
        self._writers.append(writer)
        self._cut.links.add(self)
        try:
            other_reader, other_writer = await asyncio.open_connection(*address)
            self._writers.append(other_writer)
            await asyncio.gather(
                self._pass_on(reader, other_writer, names),
                self._pass_on(other_reader, writer, ()),
            )
        except OSError:
            pass
        finally:
            self._cut.links.discard(self)
            self.reset()

    async def _pass_on(self, reader, writer, names) -> None:
        seen = b""
        while data := await reader.read(READ_BYTES):
            if names and not self.dialler:
                seen += data
                self.dialler = find_name(seen[:HELLO_BYTES_MAX], names)
            while self._cut.separates(self.dialler, self.acceptor):
                await asyncio.sleep(SETTLE_S)
            writer.write(data)
            await writer.drain()
        for other in self._writers:
            other.close()


def find_name(data: bytes, names) -> str:
    """Return the name in the first frame after the upgrade; empty if there is none."""
    _, separator, frame = data.partition(b"\r\n\r\n")
    if not separator or len(frame) < 8:
        return ""
    length, offset = frame[1] & 0x7F, 2
    if length == 126:
        length, offset = int.from_bytes(frame[2:4], "big"), 4
    mask = frame[offset : offset + MASK_BYTES]
    body = frame[offset + MASK_BYTES : offset + MASK_BYTES + length]
    plain = bytes(byte ^ mask[i % MASK_BYTES] for i, byte in enumerate(body))
    return next((name for name in names if _cbor_text(name) in plain), "")


def _cbor_text(text: str) -> bytes:
    return bytes([0x60 + len(text)]) + text.encode()


class StoreProxy:
    """Passes on calls of the store, and replaces addresses in its answers."""

    def __init__(self, port: int, replace: Callable[[bytes], bytes]):
        self._port = port
        self._replace = replace

    async def serve(self, reader, writer) -> None:
        """Pass on one connection."""
        with contextlib.suppress(OSError):
            other_reader, other_writer = await asyncio.open_connection(
                "127.0.0.1", self._port
            )
            calls = asyncio.create_task(self._calls(reader, other_writer))
            with contextlib.suppress(OSError):
                await self._answers(other_reader, writer)
            calls.cancel()
            other_writer.close()
        writer.close()

    async def _calls(self, reader, writer) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(READ_BYTES):
                writer.write(data)
                await writer.drain()
        writer.close()

    async def _answers(self, reader, writer) -> None:
        held = b""
        while data := await reader.read(READ_BYTES):
            held += data
            if not held.endswith((b"}", b"\r\n\r\n", b"null")):
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(SETTLE_S):
                        held += await reader.read(READ_BYTES)
            writer.write(self._replace(held))
            held = b""
            await writer.drain()


async def main(path: str) -> None:
    """Run until the standard input ends."""
    with open(path, encoding="utf-8") as file:
        document = json.load(file)
    host_by_name: dict[str, str] = document["hosts"]
    name_by_host = {host: name for name, host in host_by_name.items()}
    net, proxy_net = document["instance_net"], document["proxy_net"]
    loop = asyncio.get_running_loop()
    cut = Cut()
    for name, host in host_by_name.items():
        proxy_host = proxy_net + host.removeprefix(net)
        sender, _ = await loop.create_datagram_endpoint(
            asyncio.DatagramProtocol, remote_addr=(host, INTERNAL_PORTS[0])
        )
        await loop.create_datagram_endpoint(
            lambda name=name, sender=sender: ReportProxy(
                cut, name, name_by_host, sender.sendto
            ),
            local_addr=(proxy_host, INTERNAL_PORTS[0]),
        )
        for port in INTERNAL_PORTS:

            async def accept(reader, writer, name=name, address=(host, port)):
                link = Link(cut, name)
                await link.run(reader, writer, address, tuple(host_by_name))

            await asyncio.start_server(accept, proxy_host, port)
    pattern = re.compile(re.escape(net).encode() + rb"(\.\d+:756[01])")
    replacement = proxy_net.encode() + rb"\1"
    store = StoreProxy(
        document["store_port"], lambda data: pattern.sub(replacement, data)
    )
    server = await asyncio.start_server(store.serve, "127.0.0.1", 0)
    print(json.dumps({"port": server.sockets[0].getsockname()[1]}), flush=True)
    while line := await loop.run_in_executor(None, sys.stdin.readline):
        cut.apply(line)


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1]))
