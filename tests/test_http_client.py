"""The HTTP client gives up connections that may have gone silent.

Guards against a chain of time-outs: after one connection has gone silent, each further
one that was opened before would cost a time-out of its own.
"""

import asyncio

import pytest

from sequoiahook.daemons.http_client import (
    SILENCE_MS,
    HttpAnswerLostError,
    HttpClient,
    HttpClientSettings,
)
from standins.http_server import HttpResponse, serve

TIMEOUT_MS = SILENCE_MS + 150
LONG_MS = 5_000


class Server:
    """Answers at once, after an event, or never, depending on the path."""

    def __init__(self):
        self.connections = set()
        self.released = asyncio.Event()

    async def handle(self, request):
        self.connections.add(asyncio.current_task())
        if request.path == "/silent":
            await asyncio.Event().wait()
        if request.path == "/later":
            await self.released.wait()
        return HttpResponse(200, request.path)


def run(play, **settings):
    async def main():
        server = Server()
        listener = await serve(server.handle, "127.0.0.1", 0)
        port = listener.sockets[0].getsockname()[1]
        client = HttpClient(HttpClientSettings("127.0.0.1", port, **settings))
        try:
            await asyncio.wait_for(play(server, client), LONG_MS / 1000)
        finally:
            client.close()
            listener.close()

    asyncio.run(main())


async def get(client, path, method="GET", timeout_ms=LONG_MS):
    body = b"{}" if method == "PUT" else b""
    return await client.request(method, path, {}, body, timeout_ms=timeout_ms)


def test_a_time_out_ends_reads_and_idle_connections_without_a_sign_of_life():
    async def play(server, client):
        earlier = asyncio.create_task(get(client, "/later"))
        await asyncio.gather(*(get(client, "/now") for _ in range(3)))
        await asyncio.sleep(0.02)
        with pytest.raises(HttpAnswerLostError):
            await get(client, "/silent", timeout_ms=TIMEOUT_MS)
        with pytest.raises(HttpAnswerLostError):
            await earlier
        known = set(server.connections)
        await get(client, "/now")
        assert server.connections - known, "an earlier connection was used again"

    run(play)


def test_a_time_out_leaves_writes_and_connections_with_a_sign_of_life():
    async def play(server, client):
        write = asyncio.create_task(get(client, "/later", "PUT"))
        await asyncio.sleep(0.02)
        silent = asyncio.create_task(get(client, "/silent", timeout_ms=TIMEOUT_MS))
        await asyncio.sleep((TIMEOUT_MS - SILENCE_MS / 2) / 1000)
        await get(client, "/now")
        later = asyncio.create_task(get(client, "/later"))
        with pytest.raises(HttpAnswerLostError):
            await silent
        server.released.set()
        assert (await write).status == 200
        assert (await later).status == 200

    run(play)


def test_a_connection_is_not_used_after_it_was_idle_for_long():
    async def play(server, client):
        await get(client, "/now")
        await get(client, "/now")
        assert len(server.connections) == 1
        await asyncio.sleep(0.1)
        await get(client, "/now")
        assert len(server.connections) == 2

    run(play, idle_ms=50)
