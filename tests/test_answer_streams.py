"""Large answers are passed on as they come, and never look complete if they are not."""

import asyncio
import socket
import struct
import time

import pytest

from sequoiahook.daemons.answer_reader import HELD_BYTES_MAX, HELD_MS_MAX
from sequoiahook.daemons.answer_stream import STALL_TIMEOUT_MS
from sequoiahook.daemons.caller_http import (
    CallerAnswer,
    CallerServer,
    CallerServerSettings,
)
from sequoiahook.daemons.target_http import (
    TargetClient,
    TargetClientSettings,
    TargetRequest,
)
from sequoiahook.decisions.exchange.target_result import Stage, StreamEnd
from sequoiahook.errors import AnswerIncompleteError
from sequoiahook.platform.dialect import PlatformTargetDialect
from sequoiahook.world.instance import Address

ID = "r1"
LARGE = 20 * 1024 * 1024
DEADLINE_MS = 2_000
GET = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n"


class Target:
    """A target that writes given parts, with pauses, and then ends as told."""

    def __init__(self, parts, head=None, end="close"):
        self.parts = parts
        self.end = end
        length = sum(len(part) for part in parts if isinstance(part, bytes))
        self.head = head or f"HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n"
        self.written_bytes = 0
        self.connection_count = 0
        self.is_aborted = False

    async def __aenter__(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = Address(*self.server.sockets[0].getsockname()[:2])
        return self

    async def __aexit__(self, *_):
        self.server.close()

    async def serve(self, reader, writer):
        self.connection_count += 1
        try:
            while await reader.readuntil(b"\r\n\r\n"):
                writer.write(f"{self.head}Request-Id: {ID}\r\n\r\n".encode())
                await self.write_parts(writer)
                if self.end != "keep":
                    break
        except (asyncio.IncompleteReadError, OSError):
            self.is_aborted = True
        if self.end == "reset":
            await asyncio.sleep(0.05)
            linger = struct.pack("ii", 1, 0)
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()
        writer.close()

    async def write_parts(self, writer):
        for part in self.parts:
            if isinstance(part, bytes):
                writer.write(part)
                await writer.drain()
                self.written_bytes += len(part)
            else:
                await asyncio.sleep(part)


def a_client():
    return TargetClient(
        TargetClientSettings(answer_bytes_max=4 * HELD_BYTES_MAX),
        PlatformTargetDialect(),
    )


def a_target_request(target, **changes):
    request = TargetRequest(
        target.address, "GET", "/a", (), b"", DEADLINE_MS, may_reuse=True, id=ID
    )
    return request._replace(**{"may_stream": True, **changes})


async def read_all(stream):
    parts = []
    while part := await stream.read():
        parts.append(part)
    return b"".join(parts)


def exchange(target, use=None, **changes):
    async def run():
        async with target:
            client = a_client()
            result = await client.exchange(
                a_target_request(target, **changes), lambda: True
            )
            ends = []
            if result.stream is not None:
                result.stream.add_end_callback(ends.append)
            try:
                body = await use(result, client, target) if use else None
            finally:
                client.close()
            return result, ends, body

    return asyncio.run(asyncio.wait_for(run(), 20))


async def read_body(result, client, target):
    return result.body + await read_all(result.stream)


CHUNKED = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
UNFRAMED = "HTTP/1.1 200 OK\r\nConnection: close\r\n"


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


def test_a_small_answer_is_whole():
    result, _, _ = exchange(Target([b"small"]))
    assert result.stream is None
    assert result.body == b"small"


@pytest.mark.parametrize(
    ("head", "parts"),
    [
        (None, [b"x" * LARGE]),
        (CHUNKED, [chunk(b"x" * (LARGE // 4))] * 4 + [b"0\r\n\r\n"]),
        (UNFRAMED, [b"x" * LARGE]),
    ],
)
def test_a_large_answer_is_streamed_whole(head, parts):
    result, ends, body = exchange(Target(parts, head), read_body)
    assert result.stage is Stage.ANSWERED
    assert len(body) == LARGE
    assert ends == [StreamEnd.COMPLETE]


def test_the_first_byte_does_not_wait_for_the_rest():
    target = Target([b"a" * 1_000, 1.0, b"b" * LARGE])

    async def first_part(result, client, target):
        started_at = time.monotonic()
        first = result.body or await result.stream.read()
        result.stream.close()
        return first, time.monotonic() - started_at

    result, _, (first, duration_s) = exchange(target, first_part)
    assert first[:1] == b"a"
    assert result.duration_ms + duration_s * 1_000 < 500


def test_a_small_body_that_pauses_is_passed_on_after_a_while():
    target = Target([b"abc", 1.0, b"def"])
    result, _, body = exchange(target, read_body)
    assert HELD_MS_MAX <= result.duration_ms < 500
    assert (result.body, body) == (b"abc", b"abcdef")


@pytest.mark.parametrize(
    ("head", "parts", "end"),
    [
        ("HTTP/1.1 200 OK\r\nContent-Length: 9000000\r\n", [b"x" * 5_000_000], "close"),
        ("HTTP/1.1 200 OK\r\nContent-Length: 9000000\r\n", [b"x" * 5_000_000], "reset"),
        (CHUNKED, [chunk(b"x" * 500_000)], "close"),
        (CHUNKED, [chunk(b"x" * 500_000), b"zz\r\n"], "close"),
        (UNFRAMED, [b"x" * 500_000], "reset"),
    ],
)
def test_a_broken_body_is_never_complete(head, parts, end):
    async def use(result, client, target):
        with pytest.raises(AnswerIncompleteError):
            await read_all(result.stream)

    _, ends, _ = exchange(Target(parts, head, end), use)
    assert ends == [StreamEnd.BROKEN]


def test_a_failure_is_not_streamed():
    head = "HTTP/1.1 500 No\r\nContent-Length: 100000\r\n"
    result, _, _ = exchange(Target([b"x" * 100_000], head))
    assert result.stream is None
    assert (result.status, len(result.body)) == (500, 100_000)


def test_the_answer_to_another_request_is_not_streamed():
    result, _, _ = exchange(Target([b"x" * 100_000]), id="r2")
    assert result.stage is Stage.ANSWER_TRUNCATED
    assert result.stream is None


def test_a_body_that_arrives_after_the_deadline_is_delivered():
    parts = [b"x" * 100_000, *([0.05, b"y" * 1_000] * 10)]
    _, ends, body = exchange(Target(parts), read_body, timeout_ms=200)
    assert ends == [StreamEnd.COMPLETE]
    assert len(body) == 110_000


def test_a_body_that_stalls_after_the_deadline_is_broken_off():
    async def use(result, client, target):
        started_at = time.monotonic()
        with pytest.raises(AnswerIncompleteError):
            await read_all(result.stream)
        return time.monotonic() - started_at

    target = Target([b"x" * 100_000, 10.0, b"y"])
    _, ends, duration_s = exchange(target, use, timeout_ms=200)
    assert ends == [StreamEnd.TIMED_OUT]
    assert duration_s < (200 + 2 * STALL_TIMEOUT_MS) / 1_000


def test_the_connection_is_used_again_after_a_complete_body():
    async def use(result, client, target):
        await read_all(result.stream)
        second = await client.exchange(a_target_request(target), lambda: True)
        return second.connect_ms, len(second.body + await read_all(second.stream))

    target = Target([b"x" * 100_000], end="keep")
    _, _, (connect_ms, size) = exchange(target, use)
    assert (connect_ms, size, target.connection_count) == (None, 100_000, 1)


def test_a_body_that_is_given_up_ends_the_work_of_the_target():
    async def use(result, client, target):
        result.stream.close()
        async with asyncio.timeout(1):
            while not target.is_aborted:
                await asyncio.sleep(0.01)

    target = Target([b"x" * 100_000, *([0.01, b"y" * 10_000] * 500)])
    _, ends, _ = exchange(target, use)
    assert ends == [StreamEnd.GIVEN_UP]


class Repeating:
    """A target that answers each request, and repeats an answer late."""

    def __init__(self, size, delay_s):
        self.size = size
        self.delay_s = delay_s
        self.requests = []

    async def serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                request_id = head.split(b"request-id: ")[1].split(b"\r\n")[0]
                self.requests.append(request_id)
                answer = (
                    b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\nRequest-Id: %s\r\n\r\n"
                    % (self.size, request_id)
                ) + request_id.ljust(self.size, b".")
                writer.write(answer)
                await writer.drain()
                await asyncio.sleep(self.delay_s)
                writer.write(answer)
        except (asyncio.IncompleteReadError, OSError):
            writer.close()


@pytest.mark.parametrize("size", [100, 200_000])
@pytest.mark.parametrize("pause_s", [0.0, 0.1])
@pytest.mark.parametrize("delay_s", [0.0, 0.05])
def test_a_late_second_answer_never_reaches_the_next_caller(size, pause_s, delay_s):
    """It arrives on a connection that is idle, or that carries the next request."""
    target = Repeating(size, delay_s)

    async def run():
        server = await asyncio.start_server(target.serve, "127.0.0.1", 0)
        client = a_client()
        address = Address(*server.sockets[0].getsockname()[:2])
        delivered = []
        for number in range(6):
            request_id = f"r{number}"
            request = TargetRequest(
                address, "GET", "/a", ((b"request-id", request_id.encode()),), b"",
                DEADLINE_MS, may_reuse=True, id=request_id, may_stream=True,
            )  # fmt: skip
            result = await client.exchange(request, lambda: True)
            if result.stage is Stage.ANSWERED:
                body = result.body
                if result.stream is not None:
                    body += await read_all(result.stream)
                delivered.append(body)
                assert body.rstrip(b".") == request_id.encode()
            await asyncio.sleep(pause_s)
        client.close()
        server.close()
        return delivered

    assert asyncio.run(asyncio.wait_for(run(), 20))


class Relay:
    """A caller server whose handler passes the answers of a target on."""

    def __init__(self, target):
        self.target = target
        self.client = a_client()
        self.ends = []
        self.server = CallerServer(
            CallerServerSettings(idle_timeout_ms=500, write_timeout_ms=500), self.handle
        )

    async def handle(self, request):
        result = await self.client.exchange(
            a_target_request(self.target, timeout_ms=10_000), lambda: True
        )
        if result.stream is not None:
            result.stream.add_end_callback(self.ends.append)
        if result.stage is not Stage.ANSWERED:
            return CallerAnswer(502, (), b"")
        return CallerAnswer(
            result.status, result.headers, result.body, stream=result.stream
        )


def relay(target, use):
    async def run():
        async with target:
            relay = Relay(target)
            await relay.server.start()
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", relay.server.port
            )
            try:
                return await use(relay, reader, writer)
            finally:
                writer.close()
                await relay.server.close_gracefully()
                relay.client.close()

    return asyncio.run(asyncio.wait_for(run(), 30))


def test_a_caller_receives_a_large_answer_and_uses_the_connection_again():
    async def use(relay, reader, writer):
        heads = []
        for _ in range(2):
            writer.write(GET)
            heads.append(await reader.readuntil(b"\r\n\r\n"))
            assert await reader.readexactly(LARGE) == b"x" * LARGE
        return heads

    for head in relay(Target([b"x" * LARGE], end="keep"), use):
        assert b"content-length: %d" % LARGE in head.lower()


def test_an_answer_without_a_length_is_passed_on_in_chunks():
    async def use(relay, reader, writer):
        writer.write(GET.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n"))
        return await reader.read()

    answer = relay(Target([b"x" * 300_000], UNFRAMED), use)
    assert b"transfer-encoding: chunked" in answer.lower()
    assert answer.count(b"x") == 300_000
    assert answer.endswith(b"\r\n0\r\n\r\n")


@pytest.mark.parametrize("version", [b"HTTP/1.1", b"HTTP/1.0"])
@pytest.mark.parametrize(
    ("head", "end"),
    [
        ("HTTP/1.1 200 OK\r\nContent-Length: 9000000\r\n", "close"),
        (CHUNKED, "close"),
        (UNFRAMED, "reset"),
    ],
)
def test_a_broken_answer_does_not_look_complete_to_the_caller(head, end, version):
    parts = [chunk(b"x" * 300_000)] if head is CHUNKED else [b"x" * 300_000]

    async def use(relay, reader, writer):
        writer.write(GET.replace(b"HTTP/1.1", version))
        try:
            data = await reader.read()
        except ConnectionResetError:
            return None
        return data

    data = relay(Target(parts, head, end), use)
    if data is None:
        return
    head, _, body = data.partition(b"\r\n\r\n")
    if b"chunked" in head.lower():
        assert not body.endswith(b"0\r\n\r\n")
    else:
        assert b"content-length: 9000000" in head.lower()
        assert len(body) < 9_000_000


def test_a_caller_that_leaves_ends_the_work_of_the_target():
    target = Target([b"x" * 100_000, *([0.01, b"y" * 10_000] * 500)])

    async def use(relay, reader, writer):
        writer.write(GET)
        await reader.readexactly(50_000)
        writer.transport.abort()
        async with asyncio.timeout(1):
            while not target.is_aborted:
                await asyncio.sleep(0.01)
        return relay.ends

    assert relay(target, use) == [StreamEnd.GIVEN_UP]


def test_a_caller_that_stops_reading_is_given_up():
    target = Target([b"x" * LARGE])

    async def use(relay, reader, writer):
        writer.write(GET)
        reader._transport.pause_reading()
        async with asyncio.timeout(5):
            while not relay.ends:
                await asyncio.sleep(0.05)
        assert target.written_bytes < LARGE
        return relay.ends

    assert relay(target, use) == [StreamEnd.GIVEN_UP]


def test_a_slow_caller_does_not_delay_others():
    part = b"x" * 65_536
    target = Target([part] * (LARGE // len(part)))

    async def use(relay, reader, writer):
        callers = []
        for _ in range(20):
            caller = await asyncio.open_connection("127.0.0.1", relay.server.port)
            caller[1].write(GET)
            await caller[0].readexactly(1_000)
            callers.append(caller)
        started_at = time.monotonic()
        fast = await asyncio.open_connection("127.0.0.1", relay.server.port)
        fast[1].write(GET)
        await fast[0].readuntil(b"\r\n\r\n")
        await fast[0].readexactly(LARGE)
        duration_s = time.monotonic() - started_at
        for _, caller_writer in [*callers, fast]:
            caller_writer.transport.abort()
        return duration_s

    assert relay(target, use) < 2
