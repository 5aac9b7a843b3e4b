"""A loopback proxy that delays, resets or blackholes connections on demand."""

import asyncio
import contextlib
import socket
import struct

from sequoiahook.world.instance import Address

__all__ = ["FaultProxy"]

CHUNK_BYTES = 65_536
DELAY_S = 0.3
"""Longer than any round trip between regions."""

LINGER_ZERO = struct.pack("ii", 1, 0)
"""Value of SO_LINGER with which a close resets the connection."""


class FaultProxy:
    """Forwards connections to an address, with at most one fault at a time.

    Attributes:
        address: Address that the proxy listens on.
        fault: ``""``, ``delay``, ``reset``, ``silence`` (drops data both ways) or
            ``one_way`` (forwards requests and drops responses).

    Args:
        destination: Address to connect to.
    """

    def __init__(self, destination: Address):
        self.address = Address("127.0.0.1", 0)
        self.fault = ""
        self._destination = destination
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._silent_writers: set[asyncio.StreamWriter] = set()
        self._cleared = asyncio.Event()

    async def start(self) -> Address:
        """Start listening and return the address."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = Address(*self._server.sockets[0].getsockname()[:2])
        return self.address

    def close(self) -> None:
        """Stop listening and reset all connections."""
        self._server.close()
        self._writers |= self._silent_writers
        self._reset_all()

    def inject(self, fault: str) -> None:
        """Begin a fault, which also affects open connections."""
        self.fault = fault
        self._cleared.clear()
        if fault == "reset":
            self._reset_all()

    def silence_open(self) -> None:
        """Silence all open connections for good; new ones are forwarded."""
        self._silent_writers |= self._writers

    def clear(self) -> None:
        """End the fault; connections that lost data are reset."""
        if self.fault in ("silence", "one_way"):
            self._reset_all()
        self.fault = ""
        self._cleared.set()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            if self.fault == "reset":
                _reset(writer)
                return
            upstream_reader, upstream_writer = await asyncio.open_connection(
                *self._destination
            )
            self._writers.add(upstream_writer)
            await asyncio.gather(
                self._forward(reader, upstream_writer, is_response=False),
                self._forward(upstream_reader, writer, is_response=True),
            )
        except OSError:
            _reset(writer)
        except asyncio.CancelledError:
            pass  # The event loop is closing; nothing awaits this task.
        finally:
            self._writers.discard(writer)
            if writer not in self._silent_writers:
                writer.close()

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        is_response: bool,
    ) -> None:
        try:
            while data := await reader.read(CHUNK_BYTES):
                if writer in self._silent_writers:
                    continue
                if self.fault == "delay":
                    await asyncio.sleep(DELAY_S)
                if self.fault == "silence" or (self.fault == "one_way" and is_response):
                    await self._cleared.wait()
                    return
                writer.write(data)
                await writer.drain()
        except ConnectionError:
            # Forwarded as a reset, since a clean close can mark the end of a response.
            _reset(writer)
        if writer not in self._silent_writers:
            writer.close()
        self._writers.discard(writer)

    def _reset_all(self) -> None:
        for writer in list(self._writers):
            _reset(writer)
        self._writers.clear()


def _reset(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info("socket")
    if sock is not None:
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO)
    writer.transport.abort()
