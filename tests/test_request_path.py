"""Tests of requests from a caller's bytes to a target's, over two instances."""

import asyncio
import json
from random import Random

from sequoiahook.clock import MonotonicClock
from sequoiahook.daemons.caller_http import (
    CallerAnswer,
    CallerServer,
    CallerServerSettings,
    refusal_answer,
)
from sequoiahook.daemons.target_http import (
    TargetClient,
    TargetClientSettings,
    TargetRequest,
)
from sequoiahook.decisions.effects import Send
from sequoiahook.decisions.exchange.effects import Answer, Refusal, Write
from sequoiahook.decisions.exchange.entry import (
    AdmittedRequest,
    EntryExchanges,
    EntrySettings,
)
from sequoiahook.decisions.exchange.executor import Executor, ExecutorSettings
from sequoiahook.decisions.exchange.pool_protocol import Start
from sequoiahook.messages.base import Envelope
from sequoiahook.messages.requests import Outcome, StampGrant
from sequoiahook.wire.codec import decode_envelope, encode_envelope
from sequoiahook.wire.fields import clean_request, presented_keys, target_fields
from sequoiahook.world.instance import Address
from standins.target import Control, StandInTarget

KEY = b"secret-key-1"


class UnlimitedPool:
    def submit(self, request_id, organisation, deadline_at, now):
        return [Start(request_id, "t")]

    def finish(self, request_id, result, now):
        return []

    cancel = finish

    def tick(self, now):
        return []

    def next_wake(self, now):
        return None


class RequestPath:
    """Entry instance ``a`` and executor ``b``, connected by encoded messages."""

    def __init__(self, port):
        self.address = Address("127.0.0.1", port)
        self.clock = MonotonicClock()
        self.entry = EntryExchanges(EntrySettings(), "a", 1, Random(1))
        self.executor = Executor(ExecutorSettings(), "b", 2, Random(2))
        self.executor.set_pool("s", UnlimitedPool())
        self.client = TargetClient(TargetClientSettings())
        self.answers = {}
        self.tasks = []

    async def handle(self, request):
        keys = presented_keys(request.target_path, request.headers)
        clean = clean_request(
            request.target_path, request.headers, request.body, keys.all_keys
        )
        if clean.problem:
            return refusal_answer(400, clean.problem, "not run")
        number = len(self.answers) + 1
        self.answers[number] = asyncio.get_running_loop().create_future()
        admitted = AdmittedRequest(
            number=number,
            reservation=number,
            service="s",
            organisation="org",
            key_name="k",
            configuration_number=1,
            method=request.method,
            target_path=clean.target_path.decode(),
            headers=clean.headers,
            body=request.body,
            deadline_ms=3000,
            idempotent=request.method == "GET",
            traceparent="",
            token_lease_ms=2000,
        )
        self.apply("a", self.entry.admit(admitted, ("b",), self.clock.now()))
        answer = await self.answers[number]
        if isinstance(answer, Refusal):
            return refusal_answer(*answer[1:])
        return CallerAnswer(answer.status, answer.headers, answer.body)

    def apply(self, name, effects):
        for effect in effects:
            if isinstance(effect, Send):
                self.send(name, effect)
            elif isinstance(effect, Write):
                self.tasks.append(asyncio.ensure_future(self.write(effect)))
            elif isinstance(effect, Answer | Refusal):
                self.answers[effect.number].set_result(effect)

    def send(self, name, effect):
        envelope = Envelope(name, 1, 1, effect.destination, effect.body)
        body = decode_envelope(encode_envelope(envelope)).body
        is_for_entry = isinstance(body, Outcome | StampGrant)
        receiver = self.entry if is_for_entry else self.executor
        effects = receiver.received(name, body, self.clock.now())
        self.apply(effect.destination, effects)

    async def write(self, write):
        fields = target_fields(
            write.headers, write.organisation, write.remaining_ms, write.traceparent
        )
        request = TargetRequest(
            self.address,
            write.method,
            write.target_path,
            fields,
            write.body,
            write.remaining_ms,
            write.may_reuse,
        )
        request_id = write.request_id
        result = await self.client.exchange(
            request, lambda: self.executor.may_write(request_id, self.clock.now())
        )
        now = self.clock.now()
        self.apply("b", self.executor.target_result(request_id, result, now))


def run(request_bytes, **control):
    """Send bytes as a caller; return the answer's bytes and the target."""

    async def exchange():
        target = StandInTarget("t", 4, Control(service_ms=1))
        request_path = RequestPath(await target.start("127.0.0.1", 0))
        await target.set_control(control)
        server = CallerServer(CallerServerSettings(), request_path.handle)
        await server.start()
        reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
        writer.write(request_bytes)
        answer = await asyncio.wait_for(reader.read(), 10)
        writer.close()
        await server.close_gracefully()
        request_path.client.close()
        await target.close()
        assert request_path.entry.open_count == request_path.executor.open_count == 0
        return answer, target

    return asyncio.run(exchange())


def test_key_never_reaches_the_target():
    answer, target = run(
        b"POST /a?key=" + KEY + b"&%6bEy=x&b=1 HTTP/1.1\r\nHost: h\r\n"
        b"aUTHORIZATION: Bearer " + KEY + b"\r\nX-Api-Key: " + KEY + b"\r\n"
        b"x-api-key: " + KEY + b"\r\nX-Copy: a" + KEY + b"b\r\n"
        b"Cookie: key=" + KEY + b"; c=1\r\nReferer: /?key=" + KEY + b"\r\n"
        b"Connection: close, x-nominated\r\nX-Nominated: " + KEY + b"\r\n"
        b"Sequoiahook-Organisation: other\r\nX-Request-Id: r1\r\n"
        b"Trailer: x-api-key\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"4\r\nbody\r\n0\r\nX-Api-Key: " + KEY + b"\r\n\r\n"
    )
    assert answer.startswith(b"HTTP/1.1 200")
    assert KEY not in bytes(target.received)
    assert b"other" not in bytes(target.received)
    (ran,) = target.runs
    assert (ran.request_id, ran.organisation) == ("r1", "org")
    assert ran.path == "/a?b=1"
    assert json.loads(answer.partition(b"\r\n\r\n")[2])["body_bytes"] == 4


GET = b"GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
POST = GET.replace(b"GET", b"POST")


def test_truncated_answer_becomes_a_refusal():
    answer, target = run(POST, truncate=True)
    assert answer.startswith(b"HTTP/1.1 502")
    assert b'"ran": "unknown"' in answer
    assert len(target.runs) == 1


def test_shed_request_is_retried_and_then_refused_as_not_run():
    answer, target = run(POST, shed=True)
    assert answer.startswith(b"HTTP/1.1 503")
    assert b'"ran": "not run"' in answer
    assert target.shed_count == 3
    assert not target.runs


def test_target_sheds_requests_that_would_miss_the_deadline():
    answer, target = run(POST, accept_deadlines=True, service_ms=3500)
    assert b'"ran": "not run"' in answer
    assert not target.runs


def test_answer_to_head_has_no_body():
    answer, _ = run(GET.replace(b"GET", b"HEAD"))
    assert answer.startswith(b"HTTP/1.1 200")
    assert answer.endswith(b"\r\n\r\n")
