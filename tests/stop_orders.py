"""Generated orders of planned stops, and what callers must see around them.

An order is drawn from a seed: the size of the fleet, which instances stop, in series or
overlapping, which others freeze meanwhile, and callers that go on using each stopping
instance until its process is gone, over several kinds of connections, with several
kinds of bodies, deadlines and work.
"""

import asyncio
import random
from typing import NamedTuple

from standins.platform_documents import PORTS, configuration_document
from standins.platform_target import TargetFaults
from tests.virtual_platform import VirtualPlatform

GRACE_S = 6.0
LAST_SIXTH_S = 5.0
EARLY_S = 3.0
"""A request sent until then may be cut while its target works in the last sixth."""

UNREAD_SLACK_S = 0.2
WARM_UP_S = 5.0
RUN_S = 18.0
STOPS_MAX = 3
CALLERS_PER_STOP = 20
ZONES = ("north-a", "north-b", "north-a", "south-a", "north-b")
TARGETS = tuple(f"i-{number + 1}" for number in range(6))
CONNECTIONS = ("new", "kept", "late", "ahead")
BODIES = ("none", "small", "chunked", "slow", "large")
TIMEOUT_MS = 5_000
SLOW_PARTS = 4
REQUESTS_AHEAD = 3
ANSWER_BYTES = (0, 0, 0, 200_000)


class Stop(NamedTuple):
    """A planned stop.

    Attributes:
        at_s: Time since the end of the warm-up, in seconds.
        name: The instance.
        again_after_s: When the signal comes a second time; None for once.
        frozen: Another instance that freezes meanwhile; empty for none.
    """

    at_s: float
    name: str
    again_after_s: float | None = None
    frozen: str = ""


class Sent(NamedTuple):
    """A request and what its caller saw.

    Attributes:
        id: Id of the request.
        name: The instance.
        connection: Kind of the connection.
        is_idempotent: Whether the request may run more than once.
        sent_at: When its last byte was sent, in seconds.
        ended_at: When its answer was complete or the connection ended.
        deadline_at: When its caller stopped waiting.
        status: Status of the complete answer; 0 without one.
    """

    id: str
    name: str
    connection: str
    is_idempotent: bool
    sent_at: float
    ended_at: float
    deadline_at: float
    status: int


class StopOrder:
    """One play.

    Attributes:
        stops: The stops in the order of their times.
        violations: What broke a rule, as text.

    Args:
        seed: Seed of the order.
        count: Number of instances; drawn by default.
        stops: The stops, instead of drawn ones.
        connections: Kinds of connections to draw from.
    """

    def __init__(self, seed, count=None, stops=None, connections=CONNECTIONS):
        self._rng = random.Random(seed)
        random.seed(seed)
        count = count or self._rng.randint(2, len(ZONES))
        self._zone_by_name = {f"n{i + 1}": ZONES[i] for i in range(count)}
        self.stops = self._draw_stops() if stops is None else stops
        self.violations = []
        self._connections = connections
        self._signals_by_name = {}
        self._sent = []
        self._work_by_target = {target_id: [] for target_id in TARGETS}

    def __str__(self):
        return "\n".join(map(str, (self._zone_by_name, *self.stops, *self.violations)))

    def play(self):
        """Play it; return the violations."""
        with VirtualPlatform(self._zone_by_name, TARGETS) as self._platform:
            self._network = self._platform.network
            document = configuration_document(1)
            for route in document["routes"].values():
                route["timeout_ms"] = TIMEOUT_MS
            self._platform.put("config", "main", document)
            for name in self._zone_by_name:
                self._platform.start(name)
            self._vary_work()
            self._platform.run_for(WARM_UP_S)
            for stop in self.stops:
                self._network.schedule(stop.at_s, lambda stop=stop: self._begin(stop))
            self._platform.run_for(RUN_S)
            self._judge()
        return self.violations

    # What happens

    def _draw_stops(self):
        rng, names = self._rng, list(self._zone_by_name)
        stopped = rng.sample(names, rng.randint(1, min(STOPS_MAX, len(names) - 1)))
        others = [name for name in names if name not in stopped]
        at_s, stops = 0.0, []
        for name in stopped:
            at_s += rng.choice((0.0, 0.3, 2.0, 6.5))
            again_after_s = rng.choice((None, None, rng.uniform(0, GRACE_S)))
            frozen = rng.choice(("", rng.choice(others)))
            stops.append(Stop(round(at_s, 3), name, again_after_s, frozen))
        return stops

    def _vary_work(self):
        """Change the work of the targets from time to time."""
        for target_id, target in self._platform.targets_by_id.items():
            work_ms = round(
                self._rng.choice((2, 300, 1_500, 2_400)) * self._rng.random()
            )
            pause_ms = self._rng.choice((0, 400))
            target.faults = TargetFaults(
                how="slow" if pause_ms else "",
                work_ms=work_ms,
                pause_ms=pause_ms,
                body_bytes=self._rng.choice(ANSWER_BYTES),
            )
            entry = (self._network.now_s, work_ms + pause_ms)
            self._work_by_target[target_id].append(entry)
        self._network.schedule(0.4, self._vary_work)

    def _begin(self, stop):
        now_s = self._network.now_s
        self._signals_by_name[stop.name] = now_s
        self._platform.terminate(stop.name)
        self._network.schedule(GRACE_S, lambda: self._platform.kill(stop.name))
        if stop.again_after_s is not None:
            again = lambda: self._platform.terminate(stop.name)  # noqa: E731
            self._network.schedule(stop.again_after_s, again)
        loop = self._platform.loop(stop.frozen) if stop.frozen else None
        if loop is not None:
            loop.is_frozen = True
            thaw = lambda: setattr(loop, "is_frozen", False)  # noqa: E731
            self._network.schedule(self._rng.uniform(0.5, 4), thaw)
        for number in range(CALLERS_PER_STOP):
            how = self._connections[number % len(self._connections)]
            caller = _Caller(self, stop.name, how, self._rng.random())
            self._platform.run_caller(caller.run())

    @property
    def now_s(self):
        """The virtual time, in seconds."""
        return self._network.now_s

    def connect(self, name):
        """Open a connection to an instance."""
        return asyncio.open_connection(self._platform.host(name), PORTS.callers)

    def record(self, sent):
        """Record a request that has ended."""
        self._sent.append(sent)

    # The rules

    def _judge(self):
        runs_by_id = {}
        for target_id, target in self._platform.targets_by_id.items():
            for run in target.runs:
                runs_by_id.setdefault(run["id"], []).append((run["at"], target_id))
        for sent in self._sent:
            runs = runs_by_id.get(sent.id, [])
            if not sent.is_idempotent and len(runs) > 1:
                self._report(sent, "ran twice")
            if not sent.is_idempotent and runs and sent.status in (429, 503):
                self._report(sent, "refused, but ran")
            if sent.status == 0 and sent.ended_at < sent.deadline_at:
                self._judge_cut(sent, runs)

    def _judge_cut(self, sent, runs):
        signal_s = self._signals_by_name[sent.name]
        is_early = sent.sent_at <= signal_s + EARLY_S
        if not runs and sent.ended_at > sent.sent_at + UNREAD_SLACK_S:
            self._report(sent, "ended without an answer")
        if runs and not (is_early and self._is_worked_on_late(runs, signal_s)):
            self._report(sent, "was passed on and cut")

    def _is_worked_on_late(self, runs, signal_s):
        at_s, target_id = max(runs)
        entries = [e for e in self._work_by_target[target_id] if e[0] <= at_s]
        return at_s + entries[-1][1] / 1_000 > signal_s + LAST_SIXTH_S

    def _report(self, sent, text):
        after_s = sent.sent_at - self._signals_by_name[sent.name]
        ended_s = sent.ended_at - self._signals_by_name[sent.name]
        self.violations.append(
            f"{sent.name}: {sent.connection} request {sent.id}, sent {after_s:.3f} s "
            f"after the signal, {text} at {ended_s:.3f} s"
        )


class _Request(NamedTuple):
    id: str
    parts: list[bytes]
    is_idempotent: bool
    deadline_ms: int


class _Caller:
    """Sends requests to a stopping instance until its process is gone."""

    def __init__(self, order, name, how, seed):
        self._order = order
        self._name = name
        self._how = how
        self._rng = random.Random(seed)
        self._count = 0
        self._seed = seed

    async def run(self):
        """Send until no connection can be opened."""
        end_s = self._order.now_s + GRACE_S + 1
        while self._order.now_s < end_s:
            try:
                reader, writer = await self._order.connect(self._name)
            except OSError:
                return
            await self._use(reader, writer)
            writer.transport.abort()
            await asyncio.sleep(self._rng.uniform(0, 0.4))

    async def _use(self, reader, writer):
        if self._how == "late":
            await asyncio.sleep(self._rng.uniform(0, 4.5))
        is_open = True
        while is_open:
            if self._how == "ahead":
                is_open = await self._send_ahead(reader, writer)
            else:
                is_open = await self._send(reader, writer)
            if self._how == "new":
                return
            await asyncio.sleep(self._rng.choice((0, 0.02, 0.3, 1.0)))

    async def _send_ahead(self, reader, writer):
        requests = [self._request("none") for _ in range(REQUESTS_AHEAD)]
        writer.write(b"".join(part for request in requests for part in request.parts))
        sent_at = self._order.now_s
        is_open = True
        for request in requests:
            # What lies behind an answer that closes the connection was not read.
            if is_open:
                is_open = await self._receive(reader, request, sent_at)
        return is_open

    async def _send(self, reader, writer):
        request = self._request(self._rng.choice(BODIES))
        for part in request.parts[:-1]:
            writer.write(part)
            await asyncio.sleep(self._rng.uniform(0, 0.4))
        writer.write(request.parts[-1])
        return await self._receive(reader, request, self._order.now_s)

    def _request(self, body_kind):
        self._count += 1
        request_id = f"{self._name}-{self._seed:.6f}-{self._count}"
        path = "/look/1" if body_kind == "none" else "/write/1"
        method = "GET" if body_kind == "none" else "POST"
        deadline_ms = self._rng.choice((500, 1_500, 2_500, 3_000, 8_000))
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: a.example\r\nRequest-Id: {request_id}"
            f"\r\nDeadline-Ms: {deadline_ms}\r\nAuthorization: Bearer key-one-a\r\n"
        )
        parts = _parts(head.encode(), body_kind)
        return _Request(request_id, parts, body_kind == "none", deadline_ms)

    async def _receive(self, reader, request, sent_at):
        """Record the answer; return whether the connection stays open."""
        status, is_open = 0, False
        try:
            async with asyncio.timeout(TIMEOUT_MS / 1_000 + 4):
                status, is_open = await _read_answer(reader)
        except (OSError, EOFError, TimeoutError):
            pass
        self._order.record(
            Sent(
                request.id,
                self._name,
                self._how,
                request.is_idempotent,
                sent_at,
                self._order.now_s,
                sent_at + request.deadline_ms / 1_000,
                status,
            )
        )
        return is_open


def _parts(head, body_kind):
    if body_kind == "none":
        return [head + b"\r\n"]
    if body_kind == "chunked":
        parts = [b"5\r\nabcde\r\n"] * SLOW_PARTS + [b"0\r\n\r\n"]
        return [head + b"Transfer-Encoding: chunked\r\n\r\n", *parts]
    body = {"small": b"x", "slow": b"xyz", "large": b"x" * 300_000}[body_kind]
    head += b"Content-Length: %d\r\n\r\n" % len(body)
    if body_kind == "slow":
        return [head, *(bytes([byte]) for byte in body)]
    return [head + body]


async def _read_answer(reader):
    """Return the status of a complete answer, and whether the connection stays open."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
    status = int(head.split()[1])
    fields = dict(line.split(": ", 1) for line in head.split("\r\n")[1:] if line)
    if "content-length" in fields:
        await reader.readexactly(int(fields["content-length"]))
    else:
        await _read_chunks(reader)
    return status, fields.get("connection") != "close"


async def _read_chunks(reader):
    size = 1
    while size:
        size = int(await reader.readline(), 16)
        await reader.readexactly(size + 2)
