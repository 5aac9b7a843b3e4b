"""Answers that are held whole are counted, and passed on if they take too much."""

import asyncio
import contextlib
import gc
import tracemalloc
from types import SimpleNamespace

import pytest

from sequoiahook.daemons.answer_reader import HELD_BYTES_MAX
from sequoiahook.daemons.held_answers import AnswerMemory, HeldAnswers
from sequoiahook.daemons.target_http import (
    TargetClient,
    TargetClientSettings,
    TargetRequest,
)
from sequoiahook.decisions.direct.attempts import Attempts
from sequoiahook.decisions.direct.requests import Deliver
from sequoiahook.decisions.exchange.target_result import Stage, TargetResult
from sequoiahook.world.instance import Address

BODY_BYTES = 8 * HELD_BYTES_MAX
BODY = b"x" * BODY_BYTES
HEAD_BYTES_MAX = 1_000
"""Most bytes that the head of an answer of the target counts for."""

EXCHANGES = 10
SETTLE_S = 0.3


class Target:
    """Answers each connection with a failure, as a whole or in part."""

    def __init__(self, sent_bytes=BODY_BYTES):
        self.sent_bytes = sent_bytes

    async def __aenter__(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = Address(*self.server.sockets[0].getsockname()[:2])
        return self

    async def __aexit__(self, *_):
        self.server.close()

    async def serve(self, reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        head = f"HTTP/1.1 500 No\r\nContent-Length: {BODY_BYTES}\r\n\r\n"
        writer.write(head.encode() + BODY[: self.sent_bytes])
        with contextlib.suppress(OSError):
            await reader.read()
        writer.close()


def a_request(target, *, may_stream):
    return TargetRequest(
        target.address, "GET", "/", (), b"", 5_000, False, may_stream=may_stream
    )


def a_client(memory, bytes_max=0):
    settings = TargetClientSettings(all_answer_bytes_max=bytes_max)
    return TargetClient(settings, memory=memory)


async def result_of(memory, *, may_stream, bytes_max=0):
    client = a_client(memory, bytes_max)
    held = client.hold_answers()
    async with Target() as target:
        exchange = client.open(a_request(target, may_stream=may_stream), held)
        result = await exchange.run(lambda: True)
        held_bytes = memory.held_bytes
        held.release()
        body = result.body
        while result.stream is not None and (part := await result.stream.read()):
            body += part
    client.close()
    return result, body, held_bytes


def test_a_single_answer_is_held_whatever_the_limit_is():
    memory = AnswerMemory()
    result, body, held_bytes = asyncio.run(result_of(memory, may_stream=True))
    assert result.stage is Stage.ANSWERED
    assert result.stream is None
    assert body == BODY
    assert BODY_BYTES <= held_bytes <= BODY_BYTES + HEAD_BYTES_MAX
    assert memory.held_bytes == 0


@pytest.mark.parametrize("field", ["held_bytes", "unread_bytes", "outcome_bytes"])
def test_a_failure_is_passed_on_if_others_take_the_memory(field):
    memory = AnswerMemory()
    setattr(memory, field, 1)
    result, body, held_bytes = asyncio.run(result_of(memory, may_stream=True))
    assert result.status == 500
    assert result.stream is not None
    assert body == BODY
    assert 0 < held_bytes - memory.held_bytes < BODY_BYTES // 2


def test_a_failure_that_cannot_be_passed_on_is_given_up():
    memory = AnswerMemory()
    memory.unread_bytes = 1
    result, _, _ = asyncio.run(result_of(memory, may_stream=False))
    assert result.stage is Stage.ANSWER_TRUNCATED
    assert memory.held_bytes == 0


def test_a_failure_is_held_below_the_limit():
    memory = AnswerMemory()
    memory.unread_bytes = BODY_BYTES - HEAD_BYTES_MAX
    result, _, _ = asyncio.run(
        result_of(memory, may_stream=True, bytes_max=2 * BODY_BYTES)
    )
    assert result.stream is None


def test_a_failure_that_is_passed_on_is_delivered_without_another_attempt():
    result = TargetResult(Stage.ANSWERED, 500, stream=SimpleNamespace())
    request = SimpleNamespace(route=SimpleNamespace(is_idempotent=True))
    step = Attempts._answered(None, request, result, 0)
    assert step == Deliver(result)


def test_several_answers_to_a_request_count_until_the_release():
    memory = AnswerMemory()
    held = HeldAnswers(memory, 10)
    held.add(6)
    held.add(6)
    assert memory.byte_count == 12
    assert not held.is_over_limit
    memory.unread_bytes = 1
    assert held.is_over_limit
    held.release()
    held.release()
    assert memory.byte_count == 1


def test_answers_are_freed_when_exchanges_are_cancelled():
    """Exceptions of the cancelled tasks referred to what had been read."""
    memory = AnswerMemory()
    exchanges = []

    async def play():
        client = a_client(memory, EXCHANGES * BODY_BYTES)
        async with Target(BODY_BYTES - 1) as target:
            request = a_request(target, may_stream=False)
            tracemalloc.start()
            before, _ = tracemalloc.get_traced_memory()
            for _ in range(EXCHANGES):
                exchange = client.open(request, client.hold_answers())
                exchanges.append(exchange)
                task = asyncio.create_task(exchange.run(lambda: True))
                await asyncio.sleep(0.05)
                task.cancel()
                with contextlib.suppress(asyncio.CancelledError):
                    await task
            await asyncio.sleep(SETTLE_S)
            after, _ = tracemalloc.get_traced_memory()
        client.close()
        return after - before

    gc.collect()
    gc.disable()
    try:
        assert asyncio.run(play()) < 2 * BODY_BYTES
    finally:
        tracemalloc.stop()
        gc.enable()
