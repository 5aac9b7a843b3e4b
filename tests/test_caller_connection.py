"""Connections whose callers read slowly or not at all."""

import asyncio
import socket

import pytest

from sequoiahook.daemons.caller_http import (
    CallerAnswer,
    CallerServer,
    CallerServerSettings,
)
from sequoiahook.daemons.caller_turns import TURNS_PER_ROUND, Turns

BODY = b"x" * 100_000
REQUESTS = 60
RECEIVE_BUFFER_BYTES = 4_096
UNREAD = CallerServerSettings(write_timeout_ms=60_000)
IMPATIENT = UNREAD._replace(write_timeout_ms=400)


def get(number):
    return b"GET /%d HTTP/1.1\r\nHost: h\r\n\r\n" % number


class Served:
    """A server that answers each request with a large body."""

    def __init__(self, settings, handle=None):
        self.started = []
        self.server = CallerServer(
            settings, handle or self.handle, lambda request: True
        )

    async def handle(self, request):
        self.started.append(request.target_path)
        return CallerAnswer(200, (), BODY)

    async def connect(self):
        """Connect with a small receive buffer, so that little is in transit."""
        caller = socket.socket()
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        caller.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(caller, ("127.0.0.1", self.server.port))
        return await asyncio.open_connection(sock=caller, limit=1_024)

    def taken(self):
        load = self.server.load
        return (
            load.connection_count,
            load.request_count,
            load.body_bytes,
            load.read_ahead_bytes,
            load.unread_bytes,
        )


def play(use, settings=UNREAD, handle=None):
    async def run():
        served = Served(settings, handle)
        await served.server.start()
        try:
            result = await asyncio.wait_for(use(served), 20)
            async with asyncio.timeout(5):
                while any(served.taken()):
                    await asyncio.sleep(0.01)
            return result
        finally:
            await served.server.close_gracefully()

    return asyncio.run(run())


def test_nothing_is_started_while_answers_are_not_read():
    """Requests ran, and their answers were held, for a caller that read none."""

    async def use(served):
        reader, writer = await served.connect()
        writer.write(b"".join(get(number) for number in range(REQUESTS)))
        await asyncio.sleep(0.3)
        started = len(served.started)
        await asyncio.sleep(0.3)
        assert len(served.started) == started < REQUESTS / 2
        data = b""
        while data.count(b"HTTP/1.1 200") < REQUESTS or not data.endswith(BODY):
            data += await reader.read(1 << 20)
        writer.close()

    play(use)


def test_little_is_read_ahead_of_unread_answers():
    """Each wait for an earlier answer read further bytes, without a limit."""

    async def use(served):
        _, writer = await served.connect()
        flood = b"".join(get(number) for number in range(100_000))
        writer.write(flood)
        largest = 0
        for _ in range(30):
            await asyncio.sleep(0.02)
            largest = max(largest, served.server.load.read_ahead_bytes)
        assert 0 < largest < 2 * UNREAD.read_ahead_bytes_max
        writer.transport.abort()

    play(use)


def test_a_caller_that_reads_nothing_is_disconnected():
    async def use(served):
        reader, writer = await served.connect()
        _, other = await served.connect()
        writer.write(b"".join(get(number) for number in range(REQUESTS)))
        while served.server.load.connection_count > 1:
            await asyncio.sleep(0.01)
        with pytest.raises((ConnectionResetError, asyncio.IncompleteReadError)):
            await reader.readexactly(REQUESTS * len(BODY))
        other.close()

    play(use, IMPATIENT)


def test_a_slow_caller_that_reads_is_served():
    """The time-out is for callers that read nothing, however long an answer takes."""

    async def use(served):
        reader, writer = await served.connect()
        writer.write(b"".join(get(number) for number in range(10)))
        size = 0
        while size < 10 * len(BODY):
            part = await reader.read(20_000)
            assert part
            size += len(part)
            await asyncio.sleep(0.03)
        writer.close()

    play(use, IMPATIENT)


def test_a_request_beyond_the_limit_is_refused_without_a_start():
    """A 503 promises that the request has not run."""
    finish = asyncio.Event()
    started = []

    async def handle(request):
        started.append(request.target_path)
        await finish.wait()
        return CallerAnswer(200, (), b"")

    async def use(served):
        readers, writers = [], []
        for number in range(3):
            reader, writer = await served.connect()
            writer.write(get(number))
            readers.append(reader)
            writers.append(writer)
            while len(started) < min(number + 1, 2):
                await asyncio.sleep(0.01)
        answer = await readers[2].readuntil(b"}")
        assert answer.startswith(b"HTTP/1.1 503")
        assert b'"ran": "not run"' in answer
        assert started == [b"/0", b"/1"]
        finish.set()
        for reader in readers[:2]:
            assert (await reader.readline()).startswith(b"HTTP/1.1 200")
        for writer in writers:
            writer.close()

    play(use, UNREAD._replace(requests_max=2), handle)


def test_connections_far_beyond_the_limit_are_closed_without_an_answer():
    async def use(served):
        writers = []
        for _ in range(2):
            writers.append((await served.connect())[1])
        while served.server.load.connection_count < 2:
            await asyncio.sleep(0.01)
        served.server.load.refusing_count += 1
        reader, writer = await served.connect()
        with pytest.raises(ConnectionResetError):
            await reader.readexactly(1)
        served.server.load.refusing_count -= 1
        for other in (*writers, writer):
            other.close()

    play(use, UNREAD._replace(connections_max=2, refusals_max=1))


def test_a_caller_with_requests_ahead_makes_room_when_all_connections_are_taken():
    """Others were refused until all of its requests had been answered."""
    started = []

    async def handle(request):
        started.append(request.target_path)
        await asyncio.sleep(0.05)
        return CallerAnswer(200, (), b"ok")

    async def use(served):
        reader, writer = await served.connect()
        writer.write(b"".join(get(number) for number in range(REQUESTS)))
        data = await reader.read()
        assert data.count(b"HTTP/1.1 200") == len(started) < REQUESTS
        assert data.lower().count(b"connection: close") == 1
        writer.close()
        while served.server.load.connection_count:
            await asyncio.sleep(0.01)
        reader, writer = await served.connect()
        writer.write(get(0))
        assert (await reader.readline()).startswith(b"HTTP/1.1 200")
        writer.close()

    play(use, UNREAD._replace(connections_max=1), handle)


def test_the_body_of_an_answered_request_is_given_up_before_its_answer_is_read():
    """Bodies stayed in memory, and did not count, until their answers were read."""
    body = b"y" * 1_000_000

    async def use(served):
        _, writer = await served.connect()
        head = b"PUT /a HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n"
        writer.write(head % len(body) + body)
        while not served.started:
            assert served.server.load.body_bytes <= len(body)
            await asyncio.sleep(0.01)
        while served.server.load.body_bytes:
            await asyncio.sleep(0.01)
        writer.transport.abort()

    play(use)


def test_of_many_uploads_those_within_the_limit_are_served():
    """A refused body counted until its refusal was written; all others were refused."""
    body = b"y" * 400_000
    head = b"PUT /a HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n"

    async def handle(request):
        return CallerAnswer(200, (), b"%d" % len(request.body))

    async def upload(served):
        reader, writer = await served.connect()
        writer.write(head % len(body) + body)
        status = await reader.readline()
        writer.close()
        return status

    async def use(served):
        statuses = await asyncio.gather(*[upload(served) for _ in range(20)])
        assert b"HTTP/1.1 200 \r\n" in statuses
        assert b"HTTP/1.1 503 \r\n" in statuses

    limits = {"body_bytes_max": 400_000, "all_body_bytes_max": 900_000}
    play(use, UNREAD._replace(**limits), handle)


def test_few_connections_continue_in_each_round_of_the_event_loop():
    """Connections with requests ahead kept all other work waiting for seconds."""
    finished_by_round = []

    async def run():
        turns, finished = Turns(), []

        async def take_turn(number):
            await turns.wait()
            finished.append(number)

        tasks = [asyncio.create_task(take_turn(number)) for number in range(30)]
        while len(finished) < 30:
            before = len(finished)
            await asyncio.sleep(0)
            finished_by_round.append(len(finished) - before)
        await asyncio.gather(*tasks)
        return finished

    assert asyncio.run(run()) == list(range(30))
    assert max(finished_by_round) <= TURNS_PER_ROUND


def test_a_turn_whose_connection_has_ended_is_not_counted():
    async def run():
        turns = Turns()
        tasks = [asyncio.create_task(turns.wait()) for _ in range(20)]
        await asyncio.sleep(0)
        for task in tasks[:19]:
            task.cancel()
        await asyncio.wait_for(tasks[19], 1)

    asyncio.run(run())
