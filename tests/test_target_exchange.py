"""Requests whose bodies are written while the answer is already awaited."""

import asyncio

import pytest

from sequoiahook.daemons.target_http import (
    TargetClient,
    TargetClientSettings,
    TargetRequest,
)
from sequoiahook.decisions.exchange.target_result import Stage
from sequoiahook.platform.dialect import PlatformTargetDialect
from sequoiahook.world.instance import Address

BODY = bytes(range(256)) * 12_000
UNREAD_BODY = BODY * 10
"""A body that is larger than what the system holds for both ends."""

ANSWER_BYTES = 3_000_000
HEAD = b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: %d\r\n\r\n"


def exchange(serve, use, **changes):
    async def run():
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        address = Address(*server.sockets[0].getsockname()[:2])
        client = TargetClient(TargetClientSettings(), PlatformTargetDialect())
        request = TargetRequest(
            address, "POST", "/a", (), BODY, 5_000, may_reuse=True, id="r1"
        )
        result = await client.exchange(request._replace(**changes), lambda: True)
        try:
            return await use(client, request, result)
        finally:
            client.close()
            server.close()

    return asyncio.run(asyncio.wait_for(run(), 10))


async def read_request(reader):
    await reader.readuntil(b"\r\n\r\n")
    return await reader.readexactly(len(BODY))


def test_a_large_body_arrives_whole_and_the_connection_is_kept():
    bodies, connections = [], []

    async def serve(reader, writer):
        connections.append(writer)
        for _ in range(2):
            bodies.append(await read_request(reader))
            writer.write(HEAD % 2 + b"ok")

    async def use(client, request, result):
        again = await client.exchange(request, lambda: True)
        return [result.body, again.body]

    assert exchange(serve, use) == [b"ok", b"ok"]
    assert bodies == [BODY, BODY]
    assert len(connections) == 1


def test_an_answer_that_begins_early_does_not_end_the_upload():
    """The rest of the body is written while the answer is already passed on."""
    bodies = []

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(HEAD % ANSWER_BYTES + b"y" * 100_000)
        await writer.drain()
        await asyncio.sleep(0.1)
        bodies.append(await reader.readexactly(len(BODY)))
        writer.write(b"y" * (ANSWER_BYTES - 100_000))

    async def use(client, request, result):
        size = len(result.body)
        while part := await result.stream.read():
            size += len(part)
        return size

    assert exchange(serve, use, may_stream=True) == ANSWER_BYTES
    assert bodies == [BODY]


def test_an_answer_before_the_end_of_the_body_is_delivered():
    """The connection is not used again, since the rest of the body was not sent."""
    connections = []

    async def serve(reader, writer):
        connections.append(writer)
        await reader.readuntil(b"\r\n\r\n")
        writer.write(HEAD % 2 + b"no")

    async def use(client, request, result):
        again = await client.exchange(request._replace(body=b""), lambda: True)
        return result.stage, result.body, again.body

    expected = (Stage.ANSWERED, b"no", b"no")
    assert exchange(serve, use, body=UNREAD_BODY) == expected
    assert len(connections) == 2


@pytest.mark.parametrize(
    ("reads_all", "stage"),
    [(True, Stage.WRITTEN_NO_ANSWER), (False, Stage.PARTLY_WRITTEN)],
)
def test_a_body_counts_as_written_only_once_all_of_it_is(reads_all, stage):
    async def serve(reader, writer):
        if reads_all:
            await read_request(reader)
        else:
            await reader.readuntil(b"\r\n\r\n")
        await asyncio.sleep(0.5)
        writer.close()

    async def use(client, request, result):
        return result.stage

    body = BODY if reads_all else UNREAD_BODY
    assert exchange(serve, use, timeout_ms=300, body=body) is stage
