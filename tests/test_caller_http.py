import asyncio
import json
import socket

import pytest

from sequoiahook.daemons.caller_http import (
    CallerAnswer,
    CallerServer,
    CallerServerSettings,
    refusal_answer,
)

FAST = CallerServerSettings(
    header_bytes_max=1000,
    body_bytes_max=1000,
    header_timeout_ms=100,
    body_timeout_ms=100,
    idle_timeout_ms=100,
    connections_max=2,
)
GET = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
CLOSING_GET = b"GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"


async def echo(request):
    fields = ((b"x-path", request.target_path),)
    return CallerAnswer(200, fields, request.body)


def serve(use, handler=echo, settings=FAST):
    async def run():
        server = CallerServer(settings, handler)
        await server.start()
        try:
            return await asyncio.wait_for(use(server), 10)
        finally:
            await server.close_gracefully()

    return asyncio.run(run())


async def exchange(server, *parts):
    reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
    for part in parts:
        writer.write(part)
    answer = await reader.read()
    writer.close()
    return answer


@pytest.mark.parametrize(
    ("sent", "status"),
    [
        (b"nonsense\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nHost: h\r\nX: " + b"y" * 2000 + b"\r\n\r\n", 431),
        (
            b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2000\r\n\r\n" + b"y" * 2000,
            413,
        ),
        (b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nhalf", 408),
        (b"GET / HTTP/1.1\r\nHo", 408),
        (b"CONNECT a:1 HTTP/1.1\r\nHost: h\r\n\r\n", 400),
    ],
)
def test_unhandled_request_is_answered_as_not_run(sent, status):
    async def use(server):
        return await exchange(server, sent)

    async def fail_if_called(request):
        raise AssertionError("the handler was called")

    head, _, body = serve(use, fail_if_called).partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 %d" % status)
    assert json.loads(body)["ran"] == "not run"
    assert b"content-length" in head


def test_refusal_arrives_with_an_unread_body():
    head = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 900000\r\n\r\n"

    async def use(server):
        return await exchange(server, head + b"y" * 900_000)

    large_bodies = FAST._replace(body_bytes_max=500_000)
    assert serve(use, settings=large_bodies).startswith(b"HTTP/1.1 413")


def test_last_answer_arrives_with_unread_requests():
    async def use(server):
        server.announce_close()
        return await exchange(server, GET + GET * 30_000)

    assert serve(use).count(b"x-path: /a") == 1


def test_new_connection_is_served_after_announce_close():
    async def use(server):
        server.announce_close()
        reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
        while server.connection_count == 0:
            await asyncio.sleep(0)
        for _ in range(10):
            await asyncio.sleep(0)
        writer.write(GET)
        answer = await reader.read()
        writer.close()
        assert b"200" in answer.splitlines()[0]
        assert b"connection: close" in answer.lower()

    serve(use)


def test_total_body_bytes_are_bounded():
    post = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n"

    async def use(server):
        _, first = await asyncio.open_connection("127.0.0.1", server.port)
        first.write(post % 900 + b"y" * 800)
        while server.buffered_bytes < 800:
            await asyncio.sleep(0)
        answer = await exchange(server, post % 900 + b"y" * 900)
        first.close()
        while server.buffered_bytes:
            await asyncio.sleep(0)
        return answer

    answer = serve(use, settings=FAST._replace(all_body_bytes_max=1500))
    assert answer.startswith(b"HTTP/1.1 503")


def test_pipelined_requests_are_answered_one_by_one_in_order():
    running = []

    async def slow(request):
        running.append(request.target_path)
        assert len(running) == 1
        await asyncio.sleep(0.01)
        running.clear()
        return await echo(request)

    async def use(server):
        second = GET.replace(b"/a", b"/b")
        return await exchange(server, GET + second)

    answers = serve(use, slow)
    assert answers.index(b"x-path: /a") < answers.index(b"x-path: /b")


def test_caller_that_disconnects_cancels_its_request():
    async def use(server):
        _, writer = await asyncio.open_connection("127.0.0.1", server.port)
        writer.write(GET)
        await started.wait()
        writer.close()
        await cancelled.wait()

    started = asyncio.Event()
    cancelled = asyncio.Event()

    async def wait(request):
        started.set()
        try:
            await asyncio.Event().wait()
        except asyncio.CancelledError:
            cancelled.set()
            raise

    serve(use, wait)


def test_graceful_close_answers_running_requests_and_closes_idle():
    async def use(server):
        idle_reader, _ = await asyncio.open_connection("127.0.0.1", server.port)
        busy_reader, busy = await asyncio.open_connection("127.0.0.1", server.port)
        busy.write(GET)
        await started.wait()
        closing = asyncio.ensure_future(server.close_gracefully())
        assert await idle_reader.read() == b""
        assert not closing.done()
        finish.set()
        answer = await busy_reader.read()
        assert b"x-path: /a" in answer
        assert b"connection: close" in answer.lower()
        busy.close()
        await closing

    started = asyncio.Event()
    finish = asyncio.Event()

    async def wait(request):
        started.set()
        await finish.wait()
        return await echo(request)

    serve(use, wait, FAST._replace(idle_timeout_ms=60_000))


def test_close_connection_closes_after_the_next_answer():
    ids = []

    async def record_id(request):
        ids.append(request.connection_id)
        return await echo(request)

    async def use(server):
        reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
        writer.write(GET)
        await reader.readuntil(b"\r\n\r\n")
        server.close_connection(ids[0])
        writer.write(GET)
        rest = await reader.read()
        assert rest.count(b"HTTP/1.1 200") == 1
        assert b"connection: close" in rest.lower()

    serve(use, record_id, FAST._replace(idle_timeout_ms=60_000))


@pytest.mark.parametrize("bytes_come_first", [True, False])
def test_request_that_arrives_during_close_connection_is_answered(bytes_come_first):
    async def use(server):
        reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
        writer.write(GET)
        await reader.readuntil(b"\r\n\r\n")
        (connection,) = server._connections_by_id.values()
        while connection._requests._timer is None or connection._exchanges:
            await asyncio.sleep(0)
        steps = [
            lambda: connection._reader.feed_data(GET),
            lambda: server.close_connection(1),
        ]
        for step in steps if bytes_come_first else reversed(steps):
            step()
        answer = await reader.read()
        writer.close()
        return answer

    assert b"x-path: /a" in serve(use, settings=FAST._replace(idle_timeout_ms=60_000))


def test_large_answer_is_complete_after_a_graceful_close():
    body = b"z" * 3_000_000
    started = asyncio.Event()

    async def large(request):
        started.set()
        return CallerAnswer(200, (), body)

    async def use(server):
        reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
        writer.write(GET)
        await started.wait()
        closing = asyncio.ensure_future(server.close_gracefully())
        answer = await reader.read()
        writer.close()
        await closing
        return answer

    assert serve(use, large).endswith(b"\r\n\r\n" + body)


def test_connections_over_the_limit_are_refused():
    async def use(server):
        opened = [
            await asyncio.open_connection("127.0.0.1", server.port) for _ in range(2)
        ]
        while server.connection_count < len(opened):
            await asyncio.sleep(0)
        return await exchange(server)

    assert serve(use).startswith(b"HTTP/1.1 503")


def test_handler_failure_is_answered_as_unknown():
    async def fail(request):
        raise RuntimeError("secret")

    async def use(server):
        return await exchange(server, GET)

    answer = serve(use, fail)
    assert answer.startswith(b"HTTP/1.1 500")
    assert b'"ran": "unknown"' in answer
    assert b"secret" not in answer


@pytest.mark.parametrize(("retry_after_ms", "seconds"), [(1, b"1"), (1001, b"2")])
def test_retry_after_is_rounded_up(retry_after_ms, seconds):
    answer = refusal_answer(429, "rate", "not run", retry_after_ms)
    assert dict(answer.headers)[b"retry-after"] == seconds


@pytest.mark.parametrize("rounds", range(5))
def test_connection_accepted_as_listening_stops_is_answered_or_reset(rounds):
    """Before, the event loop forgot it, and its caller waited for an answer."""

    async def use(server):
        loop = asyncio.get_running_loop()
        with socket.create_connection(("127.0.0.1", server.port)) as caller:
            caller.sendall(GET)
            for _ in range(rounds):
                await asyncio.sleep(0)
            server.stop_listening()
            caller.setblocking(False)
            try:
                return await asyncio.wait_for(loop.sock_recv(caller, 4096), 3)
            except ConnectionResetError:
                return None

    answer = serve(use, settings=CallerServerSettings())
    assert answer is None or answer.startswith(b"HTTP/1.1 200")
    assert answer is not None or rounds < 2


def test_an_idle_connection_makes_room_for_a_new_one():
    """Idle connections took all places, and others were refused until a time-out."""

    async def use(server):
        idle_reader, idle_writer = await asyncio.open_connection(
            "127.0.0.1", server.port
        )
        kept_reader, kept_writer = await asyncio.open_connection(
            "127.0.0.1", server.port
        )
        kept_writer.write(GET)
        assert b"200" in await kept_reader.readline()
        await asyncio.sleep(0.3)
        assert b"x-path: /a" in await exchange(server, CLOSING_GET)
        assert await idle_reader.read() == b""
        kept_writer.write(GET)
        assert b"x-path" in await kept_reader.read(1_000)
        idle_writer.close()
        kept_writer.close()

    serve(use, settings=FAST._replace(idle_timeout_ms=10_000))


def stop_reading(transport):
    """Leave what arrives to the system, whatever the stream asks for."""
    transport.pause_reading()
    transport.resume_reading = lambda: None


def test_a_caller_that_left_behind_its_upload_makes_room():
    """Connections of callers that had left were read to their end first."""

    async def use(server):
        head = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 900000\r\n\r\n"
        for _ in range(2):
            _, writer = await asyncio.open_connection("127.0.0.1", server.port)
            writer.write(head + b"x" * 50_000)
            await writer.drain()
            while not server.load.body_bytes:
                await asyncio.sleep(0)
            for connection in server._connections_by_id.values():
                stop_reading(connection._writer.transport)
            writer.close()
        assert server.connection_count == 2
        assert b"x-path: /a" in await exchange(server, CLOSING_GET)

    large_bodies = FAST._replace(body_bytes_max=1_000_000, body_timeout_ms=5_000)
    serve(use, settings=large_bodies)


def test_a_request_that_runs_is_not_dropped_for_a_new_connection():
    async def wait(request):
        await asyncio.sleep(0.5)
        return CallerAnswer(200, (), b"done")

    async def use(server):
        running = [asyncio.create_task(exchange(server, CLOSING_GET)) for _ in range(2)]
        await asyncio.sleep(0.3)
        assert b"too many connections" in await exchange(server, CLOSING_GET)
        for answer in await asyncio.gather(*running):
            assert answer.endswith(b"done")

    serve(use, wait)


def test_connections_end_at_the_exit_although_an_answer_is_not_read():
    """The exit waited for callers that read nothing until they timed out."""

    async def large(request):
        return CallerAnswer(200, (), b"x" * 10_000_000)

    async def use(server):
        _, unread_writer = await asyncio.open_connection("127.0.0.1", server.port)
        unread_writer.transport.pause_reading()
        unread_writer.write(GET)
        _, idle_writer = await asyncio.open_connection("127.0.0.1", server.port)
        while server.connection_count < 2 or not server.load.unread_bytes:
            await asyncio.sleep(0.01)
        async with asyncio.timeout(2):
            await server.end_connections(100)
        assert server.connection_count == 0
        unread_writer.close()
        idle_writer.close()

    async def run():
        server = CallerServer(FAST._replace(write_timeout_ms=60_000), large)
        await server.start()
        await use(server)

    asyncio.run(run())
