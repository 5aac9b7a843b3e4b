import asyncio

import pytest

from sequoiahook.daemons.target_exchange import CountingReader
from sequoiahook.daemons.target_http import (
    TargetClient,
    TargetClientSettings,
    TargetRequest,
)
from sequoiahook.decisions.exchange.target_result import Stage
from sequoiahook.world.instance import Address
from standins.target import Control, StandInTarget

STAGE_BY_CONTROL = {
    "shed": Stage.SHED,
    "truncate": Stage.ANSWER_TRUNCATED,
    "close_silently": Stage.WRITTEN_NO_ANSWER,
    "refuse_connections": Stage.CONNECT_REFUSED,
    "fail_fast": Stage.ANSWERED,
}


def request_to(port, *, method="POST", body=b"x" * 100, timeout_ms=2000, reuse=False):
    fields = ((b"x-request-id", b"r1"),)
    address = Address("127.0.0.1", port)
    return TargetRequest(address, method, "/p?q=1", fields, body, timeout_ms, reuse)


async def run_with_target(use, **control):
    target = StandInTarget("t", 2, Control(service_ms=1))
    port = await target.start("127.0.0.1", 0)
    await target.set_control(control)
    client = TargetClient(TargetClientSettings())
    try:
        return await use(target, port, client)
    finally:
        client.close()
        await target.close()


@pytest.mark.parametrize("name", STAGE_BY_CONTROL)
def test_stage_by_fault(name):
    async def use(target, port, client):
        result = await client.exchange(request_to(port), lambda: True)
        assert result.stage is STAGE_BY_CONTROL[name]
        may_have_run = result.stage.ran != "not run"
        assert bool(target.runs) == may_have_run

    asyncio.run(run_with_target(use, **{name: True}))


def test_nothing_is_written_without_permission():
    async def use(target, port, client):
        result = await client.exchange(request_to(port), lambda: False)
        assert result.stage is Stage.NOTHING_WRITTEN
        assert target.received == b""

    asyncio.run(run_with_target(use))


def test_request_that_cannot_be_encoded_is_not_written():
    async def use(target, port, client):
        request = request_to(port)._replace(target_path="/\u0142")
        result = await client.exchange(request, lambda: True)
        assert result.stage is Stage.NOTHING_WRITTEN
        assert target.received == b""

    asyncio.run(run_with_target(use))


def test_only_reusable_requests_share_a_connection():
    async def use(target, port, client):
        for reuse in (True, True, False):
            request = request_to(port, method="GET", body=b"", reuse=reuse)
            result = await client.exchange(request, lambda: True)
            assert (result.stage, result.status) == (Stage.ANSWERED, 200)
        assert [run.connection for run in target.runs] == [1, 1, 2]

    asyncio.run(run_with_target(use))


def test_closed_reused_connection_leaves_the_outcome_unknown():
    async def use(target, port, client):
        request = request_to(port, method="GET", body=b"", reuse=True)
        await client.exchange(request, lambda: True)
        await target.set_control({"close_reused": True})
        result = await client.exchange(request, lambda: True)
        assert result.stage.ran == "unknown"

    asyncio.run(run_with_target(use))


def test_timed_out_exchange_closes_its_connection():
    async def use(target, port, client):
        slow = request_to(port, method="GET", body=b"", reuse=True, timeout_ms=30)
        result = await client.exchange(slow, lambda: True)
        assert result.stage is Stage.WRITTEN_NO_ANSWER
        await target.set_control({"service_ms": 1})
        fast = request_to(port, method="GET", body=b"", reuse=True)
        result = await client.exchange(fast, lambda: True)
        assert result.stage is Stage.ANSWERED
        assert target.runs[-1].connection == 2

    asyncio.run(run_with_target(use, service_ms=200))


def test_abort_returns_the_stage():
    async def use(target, port, client):
        exchange = client.open(request_to(port))
        running = asyncio.ensure_future(exchange.run(lambda: True))
        while not target.runs:
            await asyncio.sleep(0)
        exchange.abort()
        assert (await running).stage is Stage.WRITTEN_NO_ANSWER
        while not target.cancelled_count:
            await asyncio.sleep(0)
        assert target.running == 0

    asyncio.run(run_with_target(use, service_ms=5000))


def test_body_that_ends_with_the_connection_is_truncated():
    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\n\r\nhalf")
        writer.close()

    async def run():
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        client = TargetClient(TargetClientSettings())
        request = request_to(port, body=b"")
        result = await client.exchange(request, lambda: True)
        assert result.stage is Stage.ANSWER_TRUNCATED
        assert result.body == b""
        server.close()

    asyncio.run(run())


def test_bytes_after_an_answer_count_as_unread():
    async def run():
        reader = CountingReader(1024)
        reader.feed_data(b"answer")
        assert await reader.read(1024) == b"answer"
        assert reader.unread_bytes == 0
        reader.feed_data(b"second answer")
        assert reader.unread_bytes > 0

    asyncio.run(run())
