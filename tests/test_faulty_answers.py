"""Answers of faulty targets that must not be taken for what they are not.

Guards against a refusal that is written once more and taken for the answer to a later
request, which then counts as not run, and against a head that breaks off and is taken
for a complete answer.
"""

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
from standins.platform_target import reset_connection

TIMEOUT_MS = 1_000
BODY = b"whole body"


def head(request_id, status="200 OK", fields=()):
    lines = [f"HTTP/1.1 {status}", f"Request-Id: {request_id}", "Server-Stamp: s"]
    return "\r\n".join([*lines, *fields, "", ""]).encode()


def refusal(request_id):
    fields = ("Not-Executed: 1", "Content-Length: 0")
    return head(request_id, "503 Service Unavailable", fields)


class Target:
    """A target that answers the requests of all connections from a script.

    Each item of the script is called with the id of the request and returns the bytes
    to write.
    """

    def __init__(self, *script):
        self.script = list(script)
        self.connection_by_request = []
        self._connections = 0

    async def serve(self, reader, writer):
        self._connections += 1
        connection = self._connections
        while True:
            try:
                request = await reader.readuntil(b"\r\n\r\n")
            except asyncio.IncompleteReadError:
                writer.close()
                return
            request_id = request.lower().split(b"request-id: ")[1].split(b"\r\n")[0]
            self.connection_by_request.append(connection)
            await self.answer(writer, self.script.pop(0)(request_id.decode()))

    async def answer(self, writer, data):
        writer.write(data)


class EndingTarget(Target):
    """A target that ends each connection after what it has written."""

    def __init__(self, *script, resets=False):
        super().__init__(*script)
        self.resets = resets

    async def answer(self, writer, data):
        writer.write(data)
        await writer.drain()
        if self.resets:
            await asyncio.sleep(0.02)
            reset_connection(writer)
        else:
            writer.close()


def exchange(target, *request_ids):
    async def play():
        server = await asyncio.start_server(target.serve, "127.0.0.1", 0)
        address = Address(*server.sockets[0].getsockname())
        client = TargetClient(TargetClientSettings(), PlatformTargetDialect())
        results = []
        for request_id in request_ids:
            fields = ((b"request-id", request_id.encode()),)
            request = TargetRequest(
                address, "GET", "/", fields, b"", TIMEOUT_MS, True, request_id
            )
            results.append(await client.exchange(request, lambda: True))
            await asyncio.sleep(0.01)
        client.close()
        server.close()
        return results

    return asyncio.run(play())


def whole(request_id):
    return head(request_id, fields=(f"Content-Length: {len(BODY)}",)) + BODY


@pytest.mark.parametrize("delayed", [False, True])
def test_repeated_refusal_is_not_taken_for_the_answer_to_a_later_request(delayed):
    def twice(request_id):
        return refusal(request_id) * (1 if delayed else 2)

    def late(request_id):
        return refusal("a") + whole(request_id) if delayed else whole(request_id)

    target = Target(twice, late)
    first, second = exchange(target, "a", "b")
    assert first.stage is Stage.SHED
    assert second.stage is not Stage.SHED
    if delayed:
        assert second.stage.ran == "unknown"


def test_repeated_refusal_is_not_taken_for_the_answer_to_the_same_request():
    """A caller may send an id again, and another instance may hand a request back."""
    target = Target(refusal, whole, lambda _: refusal("a") + whole("a"), whole)
    results = exchange(target, "a", "b", "a", "c")
    assert results[2].stage.ran != "not run" or target.connection_by_request[2] == 2


@pytest.mark.parametrize("resets", [False, True])
@pytest.mark.parametrize("fields", [(f"Content-Length: {len(BODY)}",), ()])
def test_head_that_breaks_off_is_no_answer(fields, resets):
    text = head("a", fields=fields)
    cuts = range(0, len(text), 1 if not resets else 9)
    script = [lambda _, cut=cut: text[:cut] for cut in cuts]
    target = EndingTarget(*script, resets=resets)
    for cut, result in zip(cuts, exchange(target, *["a"] * len(cuts)), strict=True):
        assert result.stage.ran == "unknown", cut
        assert (result.status, result.body) == (0, b""), cut


def test_body_that_breaks_off_is_no_whole_answer():
    text = whole("a")
    cuts = range(len(text) - len(BODY), len(text))
    target = EndingTarget(*[lambda _, cut=cut: text[:cut] for cut in cuts])
    for result in exchange(target, *["a"] * len(cuts)):
        assert result.stage is Stage.ANSWER_TRUNCATED
        assert result.body == b""
