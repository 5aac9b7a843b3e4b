"""Connections and datagrams between simulated processes; see `virtual_network`."""

import asyncio
import contextlib
import socket
from collections import deque
from typing import NamedTuple


class Endpoint(NamedTuple):
    host: str
    port: int


class FakeSocket:
    family = socket.AF_INET

    def __init__(self, endpoint):
        self._endpoint = endpoint

    def getsockname(self):
        return tuple(self._endpoint)

    def fileno(self):
        return -1

    def dup(self):
        """Return a duplicate whose backlog may be set, without effect."""
        return contextlib.nullcontext(self)

    def listen(self, backlog):
        pass

    def setsockopt(self, level, option, value):
        """Do nothing: transports of the network have no socket options."""


class VirtualServer(asyncio.AbstractServer):
    """A listening socket."""

    def __init__(self, network, loop, endpoint):
        self._network = network
        self._endpoint = endpoint
        self.loop = loop
        self.sockets = (FakeSocket(endpoint),)

    def close(self):
        self._network.unlisten(self._endpoint, self.loop)

    def close_connections(self):
        self.close()

    async def wait_closed(self):
        pass

    def is_serving(self):
        return True

    def get_loop(self):
        return self.loop


class Side:
    """One end of a connection."""

    def __init__(self, loop, host):
        self.loop = loop
        self.host = host
        self.transport = None


class Connection:
    """A TCP connection between two processes.

    Attributes:
        is_silent: Whether all that is sent from now on is lost without a trace.
    """

    def __init__(self, network, sides):
        self.network = network
        self.sides = sides
        self.is_silent = False
        self.held = []

    def deliver(self, receiver, action):
        """Call an action in the receiver's loop after the delay, in order."""
        sender = self.sides[1 - self.sides.index(receiver)]
        if self.is_silent:
            return
        if self.held or self.network.is_cut(sender.host, receiver.host):
            self.held.append((receiver, action))
            return
        delay_s = self.network.delay_s(sender.host, receiver.host)
        self.network.schedule(delay_s, lambda: self._arrive(receiver, action))

    def release_held(self):
        """Deliver what was held up by a cut that has ended."""
        held, self.held = self.held, []
        for receiver, action in held:
            self.deliver(receiver, action)

    def _arrive(self, receiver, action):
        if not self.is_silent and self.network.is_running(receiver.loop):
            receiver.loop.call_soon(action)


class VirtualTransport(asyncio.Transport):
    def __init__(self, connection, side, other, protocol, port):
        super().__init__()
        self._connection = connection
        self._side = side
        self._other = other
        self._protocol = protocol
        self._port = port
        self._is_closing = False
        self._is_paused = False
        self._unread = deque()
        self._has_eof = False

    def start(self):
        self._protocol.connection_made(self)

    def get_extra_info(self, name, default=None):
        if name == "socket":
            return FakeSocket(Endpoint(self._side.host, self._port))
        if name in ("peername", "sockname"):
            side = self._other if name == "peername" else self._side
            return (side.host, self._port)
        return default

    def set_protocol(self, protocol):
        self._protocol = protocol

    def get_protocol(self):
        return self._protocol

    def is_closing(self):
        return self._is_closing

    def set_write_buffer_limits(self, high=None, low=None):
        pass

    def get_write_buffer_size(self):
        return 0

    def can_write_eof(self):
        return True

    def is_reading(self):
        return not self._is_paused

    def pause_reading(self):
        self._is_paused = True

    def resume_reading(self):
        self._is_paused = False
        # A reader that resumes starts to wait only after this call.
        self._side.loop.call_soon(self._deliver_unread)

    def _deliver_unread(self):
        while self._unread and not self._is_paused:
            self._protocol.data_received(self._unread.popleft())
        if self._has_eof and not self._unread and not self._is_paused:
            self._on_eof()

    def write(self, data):
        if self._is_closing or not data:
            return
        data, peer = bytes(data), self._other.transport
        self._connection.deliver(self._other, lambda: peer.on_data(data))

    def write_eof(self):
        peer = self._other.transport
        self._connection.deliver(self._other, lambda: peer.on_eof())

    def close(self):
        if not self._is_closing:
            self.write_eof()
            self._end(None)

    def abort(self):
        if not self._is_closing:
            peer = self._other.transport
            self._connection.deliver(self._other, lambda: peer.on_reset())
            self._end(None)

    def on_data(self, data):
        if self._protocol is None:
            return
        if self._is_closing:
            peer = self._other.transport
            self._connection.deliver(self._other, lambda: peer.on_reset())
        elif self._is_paused or self._unread:
            self._unread.append(data)
        else:
            self._protocol.data_received(data)

    def on_eof(self):
        self._has_eof = True
        if not self._unread and self._protocol is not None:
            self._on_eof()

    def on_reset(self):
        if not self._is_closing:
            self._end(ConnectionResetError("connection reset"))

    def _on_eof(self):
        if not self._is_closing and not self._protocol.eof_received():
            self.close()

    def _end(self, error):
        self._is_closing = True
        self._connection.network.forget(self._connection, self._side)
        # A connection may end before it is accepted.
        if self._protocol is not None and not self._side.loop.is_closed():
            self._side.loop.call_soon(self._protocol.connection_lost, error)


class VirtualDatagrams(asyncio.DatagramTransport):
    def __init__(self, network, loop, protocol, endpoint):
        super().__init__()
        self._network = network
        self._loop = loop
        self._protocol = protocol
        self._endpoint = endpoint

    def sendto(self, data, addr=None):
        self._network.send_datagram(self._endpoint, Endpoint(*addr), bytes(data))

    def receive(self, data, sender):
        self._protocol.datagram_received(data, tuple(sender))

    def close(self):
        self._network.unbind(self._endpoint, self._loop)
