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


def exchange(target, *request_ids, method="GET", fields=(), body=b"", may_stream=False):
    async def play():
        server = await asyncio.start_server(target.serve, "127.0.0.1", 0)
        address = Address(*server.sockets[0].getsockname())
        client = TargetClient(TargetClientSettings(), PlatformTargetDialect())
        results = []
        for request_id in request_ids:
            headers = ((b"request-id", request_id.encode()), *fields)
            request = TargetRequest(
                address, method, "/", headers, body, TIMEOUT_MS, True, request_id
            )._replace(may_stream=may_stream)
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


INVALID_STATUSES = (
    "000",
    "099",
    "20",
    "abc",
    "600",
    "601",
    "777",
    "999",
    "1000",
    "-20",
)


@pytest.mark.parametrize("status", INVALID_STATUSES)
@pytest.mark.parametrize("upload", [b"", b"x" * 4_000_000])
@pytest.mark.parametrize("size", [len(BODY), 200_000])
def test_status_outside_the_range_is_no_answer(status, upload, size):
    """It may not be passed on, nor show that the request ran or did not run."""
    fields = (f"Content-Length: {size}", "Not-Executed: 1")
    data = head("a", f"{status} No", fields) + b"x" * size
    target = Target(lambda _: data)
    (result,) = exchange(target, "a", body=upload, may_stream=True)
    assert result.stage.ran == "unknown"
    assert (result.status, result.body, result.stream) == (0, b"", None)


@pytest.mark.parametrize("status", ["200", "299", "404", "599"])
def test_status_within_the_range_is_passed_on(status):
    target = Target(lambda _: head("a", status, ("Content-Length: 0",)))
    (result,) = exchange(target, "a")
    assert (result.stage, result.status) == (Stage.ANSWERED, int(status))


@pytest.mark.parametrize("status", ["100", "101", "102", "103", "199"])
@pytest.mark.parametrize("method", ["GET", "CONNECT"])
@pytest.mark.parametrize("fields", [(), ((b"upgrade", b"websocket"),)])
@pytest.mark.parametrize("ends", [False, True])
def test_interim_status_is_no_final_answer(status, method, fields, ends):
    """An accepted change of protocol must not stop the reading of all answers."""
    data = (
        head("a", f"{status} No", ("Upgrade: websocket", "Content-Length: 2")) + b"ok"
    )
    target = (EndingTarget if ends else Target)(lambda _: data)
    (result,) = exchange(target, "a", method=method, fields=fields)
    assert result.stage.ran == "unknown"
    assert (result.status, result.body) == (0, b"")


@pytest.mark.parametrize("status", ["100", "102", "103"])
def test_final_answer_after_an_interim_one_is_passed_on(status):
    target = Target(lambda _: head("a", f"{status} No") + whole("a"))
    (result,) = exchange(target, "a")
    assert (result.stage, result.body) == (Stage.ANSWERED, BODY)


def test_accepted_tunnel_is_no_answer():
    """Nothing on the connection belongs to HTTP after a target accepts CONNECT."""
    (result,) = exchange(Target(whole), "a", method="CONNECT")
    assert result.stage.ran == "unknown"
    assert (result.status, result.body) == (0, b"")
