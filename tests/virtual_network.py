"""A network of simulated processes in virtual time, in which real daemons run.

Each simulated process has an event loop of its own, so that it can be frozen, suspended
or killed while the others run. Connections and datagrams between them can be cut, reset
or silenced. Nothing waits in real time.
"""

import asyncio
import heapq
import itertools
import math
import random
from asyncio import events

from tests.virtual_transports import (
    Connection,
    Endpoint,
    Side,
    VirtualDatagrams,
    VirtualServer,
    VirtualTransport,
)

NEAR_DELAY_S = 0.001
FAR_DELAY_S = 0.035
CONNECT_RETRY_S = 1.0
"""After a lost opening packet, the kernel sends the next one a second later."""

CLOSING_ROUNDS = 20
CLOSING_STEP_S = 0.5
MAX_ROUNDS_AT_ONE_TIME = 100_000


class _NoSelector:
    def select(self, timeout):
        return []

    def close(self):
        pass


class VirtualLoop(asyncio.BaseEventLoop):
    """Event loop of one simulated process.

    Attributes:
        is_frozen: Whether no callback runs.
        suspended_s: Time for which the machine was suspended, which its monotonic clock
            does not count.
    """

    def __init__(self, network, name):
        super().__init__()
        self._selector = _NoSelector()
        self._network = network
        self.name = name
        self.is_frozen = False
        self.suspended_s = 0.0

    def time(self):
        return self._network.now_s - self.suspended_s

    def _process_events(self, event_list):
        pass

    def _write_to_self(self):
        pass

    @property
    def next_at_s(self):
        """Time at which this loop has work to do; infinite if it has none."""
        if self.is_frozen:
            return math.inf
        if self._ready:
            return self._network.now_s
        while self._scheduled and self._scheduled[0]._cancelled:
            heapq.heappop(self._scheduled)._scheduled = False
            self._timer_cancelled_count = max(0, self._timer_cancelled_count - 1)
        if not self._scheduled:
            return math.inf
        return self._scheduled[0]._when + self.suspended_s

    def run_ready(self):
        """Run all callbacks that are ready now."""
        events._set_running_loop(self)
        try:
            self._run_once()
        finally:
            events._set_running_loop(None)

    def remove_reader(self, fd):
        """Do nothing: connections are not accepted by reading."""

    async def create_connection(
        self, protocol_factory, host=None, port=None, **options
    ):
        return await self._network.connect(self, protocol_factory, Endpoint(host, port))

    async def create_server(self, protocol_factory, host=None, port=None, **options):
        return self._network.listen(self, protocol_factory, Endpoint(host, port))

    async def create_datagram_endpoint(
        self, protocol_factory, local_addr=None, **options
    ):
        return self._network.bind(self, protocol_factory, Endpoint(*local_addr))


class VirtualNetwork:
    """Virtual time, the processes in it, and the network between them.

    Attributes:
        now_s: The virtual time in seconds.
        running: The loop whose callbacks run; None outside of all.
        region_by_host: Region of each host; messages between regions take longer.
    """

    def __init__(self):
        self.now_s = 1_000.0
        self.running = None
        self.region_by_host = {}
        self._events = []
        self._order = itertools.count()
        self._loops = []
        self._all_loops = []
        self._is_closed = False
        self._host_by_loop = {}
        self._listeners = {}
        self._datagrams = {}
        self._connections = []
        # Nothing else refers to a connection that has gone silent.
        self._kept = []
        self._cut_pairs = set()
        self._dark_hosts = set()
        self._orphans_by_host = {}

    # The processes

    def start(self, name, host):
        """Return the loop of a new process on a host."""
        loop = VirtualLoop(self, name)
        self._loops.append(loop)
        self._all_loops.append(loop)
        self._host_by_loop[loop] = host
        self._dark_hosts.discard(host)
        for side in self._orphans_by_host.pop(host, ()):
            # The machine knows nothing of connections from before its loss of power.
            self.schedule(NEAR_DELAY_S, side.transport.on_reset)
        return loop

    def is_running(self, loop):
        return loop in self._host_by_loop

    def close(self):
        """Cancel all that still runs, in ended processes too."""
        self._is_closed = True
        for _ in range(CLOSING_ROUNDS):
            self.now_s += CLOSING_STEP_S
            for loop in self._all_loops:
                for task in asyncio.all_tasks(loop):
                    task.cancel()
                loop.run_ready()
        for loop in self._all_loops:
            loop.close()

    def kill(self, loop, *, is_dark=False):
        """End a process; if its machine goes dark, its connections hang."""
        host = self._host_by_loop.pop(loop)
        self._loops.remove(loop)
        self._kept.extend(asyncio.all_tasks(loop))
        if is_dark:
            self._dark_hosts.add(host)
        for connection in list(self._connections):
            if loop in (side.loop for side in connection.sides):
                self._connections.remove(connection)
                self._orphan(connection, loop, host, is_dark)
        for table in (self._listeners, self._datagrams):
            for endpoint, (owner, *_) in list(table.items()):
                if owner is loop:
                    del table[endpoint]

    def _orphan(self, connection, loop, host, is_dark):
        for side in connection.sides:
            if side.loop is loop:
                continue
            if is_dark:
                self._orphans_by_host.setdefault(host, []).append(side)
            else:
                connection.deliver(side, side.transport.on_reset)

    def suspend(self, loop, duration_s):
        """Suspend a machine: nothing runs, and its monotonic clock stands still."""
        loop.is_frozen = True
        self.schedule(duration_s, lambda: self._resume(loop, duration_s))

    def _resume(self, loop, duration_s):
        loop.suspended_s += duration_s
        loop.is_frozen = False

    # Time

    def schedule(self, delay_s, action):
        """Call an action of the world after a delay."""
        if self._is_closed:
            return
        entry = (self.now_s + delay_s, next(self._order), action)
        heapq.heappush(self._events, entry)

    def run_for(self, duration_s):
        """Let time pass."""
        end_s = self.now_s + duration_s
        rounds = 0
        while True:
            next_s = min((loop.next_at_s for loop in self._loops), default=math.inf)
            if self._events:
                next_s = min(next_s, self._events[0][0])
            if next_s > end_s:
                self.now_s = end_s
                return
            rounds = 0 if next_s > self.now_s else rounds + 1
            assert rounds < MAX_ROUNDS_AT_ONE_TIME, "time stands still"
            self.now_s = max(self.now_s, next_s)
            self._step()

    def _step(self):
        while self._events and self._events[0][0] <= self.now_s:
            heapq.heappop(self._events)[2]()
        for loop in list(self._loops):
            if self.is_running(loop) and loop.next_at_s <= self.now_s:
                self.running = loop
                loop.run_ready()
                self.running = None

    # The network

    def delay_s(self, host, other):
        regions = self.region_by_host
        is_near = regions.get(host) == regions.get(other)
        return NEAR_DELAY_S if is_near else FAR_DELAY_S

    def is_cut(self, host, other):
        if host in self._dark_hosts or other in self._dark_hosts:
            return True
        return (host, other) in self._cut_pairs

    def cut(self, host, other, *, is_one_way=False):
        """Lose all that is sent between two hosts until it is healed."""
        self._cut_pairs.add((host, other))
        if not is_one_way:
            self._cut_pairs.add((other, host))

    def heal(self, host, other):
        self._cut_pairs -= {(host, other), (other, host)}
        for connection in list(self._connections):
            if {side.host for side in connection.sides} == {host, other}:
                connection.release_held()

    def silence(self, share=1.0):
        """Silence a share of the open connections for good; new ones work."""
        for connection in self._connections:
            connection.is_silent |= random.random() < share

    def reset(self, loop):
        """Reset all connections of a process."""
        for connection in list(self._connections):
            if loop in (side.loop for side in connection.sides):
                for side in connection.sides:
                    if side.transport is not None:
                        side.loop.call_soon(side.transport.on_reset)

    def listen(self, loop, factory, endpoint):
        self._listeners[endpoint] = (loop, factory)
        return VirtualServer(self, loop, endpoint)

    def unlisten(self, endpoint, loop):
        if self._listeners.get(endpoint, (None,))[0] is loop:
            del self._listeners[endpoint]

    def bind(self, loop, factory, endpoint):
        protocol = factory()
        transport = VirtualDatagrams(self, loop, protocol, endpoint)
        self._datagrams[endpoint] = (loop, transport)
        protocol.connection_made(transport)
        return transport, protocol

    def unbind(self, endpoint, loop):
        if self._datagrams.get(endpoint, (None,))[0] is loop:
            del self._datagrams[endpoint]

    def send_datagram(self, sender, receiver, data):
        if not self.is_cut(sender.host, receiver.host):
            delay_s = self.delay_s(sender.host, receiver.host)
            self.schedule(delay_s, lambda: self._receive(sender, receiver, data))

    def _receive(self, sender, receiver, data):
        loop, transport = self._datagrams.get(receiver, (None, None))
        if transport is not None:
            loop.call_soon(transport.receive, data, sender)

    async def connect(self, loop, factory, endpoint):
        """Open a connection; raise ConnectionRefusedError if nobody listens."""
        host = self._host_by_loop.get(loop)
        if host is None or self._is_closed:
            raise ConnectionRefusedError("the network is closed")
        while self.is_cut(host, endpoint.host) or self.is_cut(endpoint.host, host):
            await asyncio.sleep(CONNECT_RETRY_S)
        await asyncio.sleep(2 * self.delay_s(host, endpoint.host))
        if endpoint not in self._listeners:
            raise ConnectionRefusedError(f"nobody listens at {endpoint}")
        listening_loop, accept = self._listeners[endpoint]
        sides = (Side(loop, host), Side(listening_loop, endpoint.host))
        connection = Connection(self, sides)
        protocols = (factory(), None)
        for side, other in (sides, sides[::-1]):
            side.transport = VirtualTransport(
                connection, side, other, protocols[sides.index(side)], endpoint.port
            )
        self._connections.append(connection)
        self._kept.extend(side.transport for side in sides)
        listening_loop.call_soon(self._accept, sides[1].transport, accept)
        sides[0].transport.start()
        return sides[0].transport, protocols[0]

    def _accept(self, transport, factory):
        if self._is_closed:
            return
        transport.set_protocol(factory())
        transport.start()

    def forget(self, connection, side):
        others = [s for s in connection.sides if s is not side]
        is_over = all(s.transport is None or s.transport.is_closing() for s in others)
        if is_over and connection in self._connections:
            self._connections.remove(connection)
