"""Memory of connections whose callers have left, without garbage collections.

Reference cycles through exceptions kept bodies that no longer counted towards any
limit. A collection frees them only after seconds.
"""

import asyncio
import contextlib
import gc
import tracemalloc

import pytest

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
from sequoiahook.world.instance import Address

BODY_BYTES = 500_000
CALLERS = 10
RETAINED_BYTES_MAX = BODY_BYTES
SETTLE_S = 0.7


@pytest.fixture(autouse=True)
def no_collections():
    gc.collect()
    gc.disable()
    yield
    gc.enable()


async def connect(port, length):
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    head = f"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: {length}\r\n\r\n"
    writer.write(head.encode() + b"x" * BODY_BYTES)
    await writer.drain()
    return reader, writer


def retained_bytes(handler, length, leave, **settings):
    """Return what a server keeps of requests whose callers have left."""

    async def play():
        server = CallerServer(CallerServerSettings(**settings), handler)
        await server.start()
        tracemalloc.start()
        before, _ = tracemalloc.get_traced_memory()
        for _ in range(CALLERS):
            reader, writer = await connect(server.port, length)
            await asyncio.sleep(0.05)
            await leave(reader, writer)
        await asyncio.sleep(SETTLE_S)
        assert server.connection_count == 0
        assert server.load.head_bytes == server.load.body_bytes == 0
        assert server.load.read_ahead_bytes == server.load.unread_bytes == 0
        assert server.load.upload_count == 0
        after, _ = tracemalloc.get_traced_memory()
        await server.close_gracefully()
        return after - before

    try:
        return asyncio.run(play())
    finally:
        tracemalloc.stop()


async def answer_at_once(request):
    return CallerAnswer(200, (), b"")


async def answer_late(request):
    await asyncio.sleep(60)


async def close(reader, writer):
    writer.close()
    await writer.wait_closed()


async def reset(reader, writer):
    writer.transport.abort()


async def read_and_close(reader, writer):
    await reader.read(4_096)
    await close(reader, writer)


@pytest.mark.parametrize("leave", [close, reset])
@pytest.mark.parametrize("length", [BODY_BYTES, 2 * BODY_BYTES])
def test_bodies_of_callers_that_leave_are_freed(leave, length):
    assert retained_bytes(answer_late, length, leave) < RETAINED_BYTES_MAX


@pytest.mark.parametrize(
    "settings",
    [
        {"body_bytes_max": BODY_BYTES // 2},
        {"body_timeout_ms": 100},
        {},
    ],
    ids=["too large", "too slow", "answered"],
)
def test_bodies_of_refused_requests_are_freed(settings):
    length = 2 * BODY_BYTES if settings else BODY_BYTES
    retained = retained_bytes(answer_at_once, length, read_and_close, **settings)
    assert retained < RETAINED_BYTES_MAX


def test_bodies_are_freed_when_exchanges_with_targets_are_cancelled():
    """The task of an exchange and its exception referred to each other."""

    async def answer_nothing(reader, writer):
        with contextlib.suppress(OSError):
            while await reader.read(4_096):
                pass
        writer.close()

    async def handle(request):
        address = Address("127.0.0.1", target_port)
        request = TargetRequest(
            address, "POST", "/", (), request.body, timeout_ms=10_000, may_reuse=False
        )
        exchanges.append(client.open(request))
        result = await exchanges[-1].run(lambda: True)
        return CallerAnswer(result.status, (), b"")

    client = TargetClient(TargetClientSettings())
    target_port = 0
    exchanges = []

    async def play():
        nonlocal target_port
        target = await asyncio.start_server(answer_nothing, "127.0.0.1", 0)
        target_port = target.sockets[0].getsockname()[1]
        server = CallerServer(CallerServerSettings(), handle)
        await server.start()
        tracemalloc.start()
        before, _ = tracemalloc.get_traced_memory()
        for _ in range(CALLERS):
            reader, writer = await connect(server.port, BODY_BYTES)
            await asyncio.sleep(0.05)
            await reset(reader, writer)
        await asyncio.sleep(SETTLE_S)
        assert len(exchanges) == CALLERS
        exchanges.clear()
        after, _ = tracemalloc.get_traced_memory()
        target.close()
        return after - before

    try:
        assert asyncio.run(play()) < RETAINED_BYTES_MAX
    finally:
        tracemalloc.stop()
