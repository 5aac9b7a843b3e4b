"""Shares of the event loop for connections whose bytes take long to parse."""

import asyncio
import time

import pytest

from sequoiahook.daemons.caller_http import (
    CallerAnswer,
    CallerServer,
    CallerServerSettings,
)
from sequoiahook.daemons.caller_progress import SLOW_BYTES_PER_S, Progress
from sequoiahook.daemons.caller_requests import EVENTS_PER_TURN
from sequoiahook.daemons.caller_turns import ROUND_MS_MAX, TURNS_PER_ROUND, Turns

ROUNDS = 20
CHUNKS = 2_000
GET = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n"


class CountingTurns(Turns):
    """Turns that count how often one was waited for."""

    def __init__(self):
        super().__init__()
        self.waited_count = 0

    async def wait(self):
        self.waited_count += 1
        await super().wait()


async def echo(request):
    return CallerAnswer(200, (), b"%d" % len(request.body))


def waited_count(sent, expected):
    """Return how many turns the bytes of one connection took."""

    async def play():
        server = CallerServer(CallerServerSettings(), echo)
        server.turns = CountingTurns()
        await server.start()
        reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
        writer.write(sent)
        assert (await reader.read(4_096)).endswith(expected)
        writer.close()
        await server.close_gracefully()
        return server.turns.waited_count

    return asyncio.run(play())


def test_an_ordinary_request_waits_for_no_turn():
    assert waited_count(GET, b"0") == 0
    body = b"x" * 100_000
    head = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n"
    assert waited_count(head + body, b"100000") <= 2


def test_a_body_in_chunks_of_one_byte_takes_many_turns():
    """All chunks that had arrived were parsed before any other connection was read."""
    head = b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
    sent = head + b"1\r\nx\r\n" * CHUNKS + b"0\r\n\r\n"
    assert waited_count(sent, b"%d" % CHUNKS) >= CHUNKS // EVENTS_PER_TURN


def test_a_head_of_many_fields_takes_turns():
    """Such heads were parsed as soon as they arrived, on all connections in a row."""
    sent = b"GET /a HTTP/1.1\r\nHost: h\r\n" + b"a:\r\n" * 4_000 + b"\r\n"
    assert waited_count(sent, b"0") >= 5


@pytest.mark.parametrize(
    ("work_ms", "per_round"), [(0, TURNS_PER_ROUND), (2 * ROUND_MS_MAX, 1)]
)
def test_fewer_turns_are_given_while_rounds_take_long(work_ms, per_round):
    async def play():
        turns = Turns()
        given_count = 0

        async def use():
            nonlocal given_count
            while True:
                await turns.wait()
                time.sleep(work_ms / 1_000)
                given_count += 1

        users = [asyncio.create_task(use()) for _ in range(20)]
        for _ in range(ROUNDS):
            await asyncio.sleep(0)
        for user in users:
            user.cancel()
        return given_count

    assert asyncio.run(play()) <= TURNS_PER_ROUND + ROUNDS * per_round


def test_callers_are_slow_below_a_rate_after_the_first_second():
    async def play():
        progress = Progress()
        assert not progress.is_slow(progress.since + 0.9)
        assert progress.is_slow(progress.since + 1.1)
        progress.byte_count = 2 * SLOW_BYTES_PER_S
        assert not progress.is_slow(progress.since + 1.9)
        assert progress.is_slow(progress.since + 2.1)

    asyncio.run(play())
