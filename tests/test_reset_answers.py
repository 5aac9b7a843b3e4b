"""Answers that a reset cuts off never pass for complete ones.

Guards against a part of an answer that reaches the caller as a whole answer: bodies
that end with their connection, with a length or in chunks, held or passed on as they
arrive, on new and on kept connections, and while the upload is still being written.
"""

import asyncio
import itertools

import pytest

from sequoiahook.daemons.target_http import (
    TargetClient,
    TargetClientSettings,
    TargetRequest,
)
from sequoiahook.decisions.exchange.target_result import Stage
from sequoiahook.errors import AnswerIncompleteError
from sequoiahook.platform.dialect import PlatformTargetDialect
from sequoiahook.world.instance import Address
from standins.platform_target import reset_connection

TIMEOUT_MS = 2_000
UPLOADS = (0, 1_000, 300_000, 1_000_000, 4_000_000)
LONG_UPLOADS = (1_000_000, 4_000_000)
"""Of these a part stays unread, however fast they are sent."""

DELAYS_S = (0.0, 0.002, 0.05, 0.13, 0.3)
SMALL = 1_000
LARGE = 200_000

UNFRAMED = ()
COUNTED = ("Content-Length: 9000000",)
CHUNKED = ("Transfer-Encoding: chunked",)


def head(request_id, fields=(), status="200 OK"):
    lines = [f"HTTP/1.1 {status}", f"Request-Id: {request_id}", *fields, "", ""]
    return "\r\n".join(lines).encode()


def whole(request_id):
    return head(request_id, ("Content-Length: 2",)) + b"ok"


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


def part(fields, size):
    data = b"x" * size
    return chunk(data) if data and fields is CHUNKED else data


async def reset_at_once(reader, writer):
    """Reset the connection, whatever is still to be read."""
    reset_connection(writer)


async def close_unread(reader, writer):
    """Close the connection; unread bytes of the request turn this into a reset."""
    writer.close()


class Target:
    """A target that answers requests as soon as their heads have arrived.

    Args:
        answers: Bytes of the answers, each with the delay of the reset in seconds; None
            keeps the connection.
        end: Ends the connection.
    """

    def __init__(self, *answers, end=reset_at_once):
        self.answers = list(answers)
        self.end = end
        self.connection_count = 0

    async def serve(self, reader, writer):
        self.connection_count += 1
        try:
            while self.answers:
                await reader.readuntil(b"\r\n\r\n")
                data, delay_s = self.answers.pop(0)
                writer.write(data)
                if delay_s is not None:
                    await asyncio.sleep(delay_s)
                    await self.end(reader, writer)
                    return
        except (asyncio.IncompleteReadError, OSError):
            writer.close()


async def read_all(result):
    """Return the whole body; None if it does not arrive."""
    if result.stage is not Stage.ANSWERED:
        return None
    parts = [result.body]
    if result.stream is not None:
        try:
            while data := await result.stream.read():
                parts.append(data)
        except AnswerIncompleteError:
            return None
    return b"".join(parts)


async def exchange(target, uploads, *, may_stream=True):
    """Send one request after the other; return their results and whole bodies."""
    server = await asyncio.start_server(target.serve, "127.0.0.1", 0)
    address = Address(*server.sockets[0].getsockname()[:2])
    # Up to 75 exchanges start at the same moment, which is not the subject here.
    settings = TargetClientSettings(connect_timeout_ms=TIMEOUT_MS)
    client = TargetClient(settings, PlatformTargetDialect())
    replies = []
    for number, size in enumerate(uploads):
        request = TargetRequest(
            address, "POST" if size else "GET", "/", (), b"u" * size, TIMEOUT_MS,
            may_reuse=True, id=f"r{number}", may_stream=may_stream,
        )  # fmt: skip
        result = await client.exchange(request, lambda: True)
        replies.append((result, await read_all(result)))
        await asyncio.sleep(0.02)
    client.close()
    server.close()
    return replies


def run(*exchanges):
    async def play():
        return await asyncio.wait_for(asyncio.gather(*exchanges), 20)

    return asyncio.run(play())


@pytest.mark.parametrize("is_kept", [False, True])
@pytest.mark.parametrize("end", [reset_at_once, close_unread])
@pytest.mark.parametrize("may_stream", [False, True])
@pytest.mark.parametrize("fields", [UNFRAMED, COUNTED, CHUNKED])
def test_part_of_an_answer_is_incomplete(fields, may_stream, end, is_kept):
    uploads = UPLOADS if end is reset_at_once else LONG_UPLOADS
    cases = list(itertools.product((0, SMALL, LARGE), uploads, DELAYS_S))
    exchanges = []
    for size, upload, delay_s in cases:
        number = 1 if is_kept else 0
        answer = head(f"r{number}", fields) + part(fields, size)
        answers = [(whole("r0"), None)] * number + [(answer, delay_s)]
        exchanges.append(
            exchange(
                Target(*answers, end=end),
                [0] * number + [upload],
                may_stream=may_stream,
            )
        )
    for case, replies in zip(cases, run(*exchanges), strict=True):
        result, body = replies[-1]
        assert body is None, case
        assert result.stage.ran == "unknown" or result.stream is not None, case
        assert not is_kept or result.connect_ms is None, case


@pytest.mark.parametrize("may_stream", [False, True])
def test_an_answer_that_ends_before_a_reset_of_its_upload_is_incomplete(may_stream):
    """The end of the connection ends the body, but the target read no whole request."""

    async def end_and_reset(reader, writer):
        writer.write_eof()
        await asyncio.sleep(0.1)
        reset_connection(writer)

    cases = list(itertools.product((0, SMALL, LARGE), DELAYS_S))
    exchanges = [
        exchange(
            Target((head("r0") + part(UNFRAMED, size), delay_s), end=end_and_reset),
            [16_000_000],
            may_stream=may_stream,
        )
        for size, delay_s in cases
    ]
    for case, ((result, body),) in zip(cases, run(*exchanges), strict=True):
        assert body is None, case
        assert result.stage.ran == "unknown" or result.stream is not None, case


def test_an_answer_that_ends_before_its_upload_is_complete_if_that_is_read():
    async def end_and_read(reader, writer):
        writer.write_eof()
        await reader.read()
        writer.close()

    target = Target((head("r0") + b"early", 0.0), end=end_and_read)
    (((result, body),),) = run(exchange(target, [4_000_000]))
    assert (result.stage, body) == (Stage.ANSWERED, b"early")


@pytest.mark.parametrize("may_stream", [False, True])
@pytest.mark.parametrize("upload", [0, 4_000_000])
def test_a_reset_after_the_last_byte_of_a_chunked_body_leaves_it_whole(
    upload, may_stream
):
    cases = list(itertools.product((SMALL, LARGE), DELAYS_S))
    exchanges = []
    for size, delay_s in cases:
        answer = head("r0", CHUNKED) + chunk(b"x" * size) + b"0\r\n\r\n"
        target = Target((answer, delay_s))
        exchanges.append(exchange(target, [upload], may_stream=may_stream))
    for case, ((result, body),) in zip(cases, run(*exchanges), strict=True):
        size, delay_s = case
        # A reset at once may overtake what the client has not received yet.
        is_lost = body is None and delay_s < 0.05
        assert is_lost or body == b"x" * size, case
        assert result.stage.ran != "not run", case


@pytest.mark.parametrize("may_stream", [False, True])
@pytest.mark.parametrize("pause_s", [0.0, 0.05])
def test_a_second_answer_on_a_kept_connection_is_no_part_of_the_next_one(
    may_stream, pause_s
):
    """It bears the id of the next request, and comes before or after it was sent."""
    second = head("r1") + b"foreign"

    class Repeating(Target):
        async def serve(self, reader, writer):
            self.connection_count += 1
            await reader.readuntil(b"\r\n\r\n")
            if self.connection_count > 1:
                writer.write(whole("r1"))
                return
            writer.write(whole("r0"))
            await asyncio.sleep(pause_s)
            writer.write(second)
            await asyncio.sleep(0.1)
            reset_connection(writer)

    ((_, (result, body)),) = run(exchange(Repeating(), [0, 0], may_stream=may_stream))
    assert result.stage.ran != "not run"
    assert body in (None, b"ok")


@pytest.mark.parametrize("upload", [0, 4_000_000])
def test_a_refusal_while_its_upload_is_written_stays_a_refusal(upload):
    """Only a whole refusal shows that the request did not run."""
    fields = ("Not-Executed: 1", "Content-Length: 4")
    refusal = head("r0", fields, "503 Service Unavailable")
    cases = list(itertools.product((b"", b"bod", b"body"), DELAYS_S))
    exchanges = [
        exchange(Target((refusal + body, delay_s)), [upload]) for body, delay_s in cases
    ]
    for case, ((result, _),) in zip(cases, run(*exchanges), strict=True):
        if case[0] != b"body":
            assert result.stage.ran == "unknown", case
        elif case[1] >= 0.05:
            assert result.stage is Stage.SHED, case
