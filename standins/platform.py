"""A stand-in for the platform's object API, with faults on demand.

Run it as ``python -m standins.platform --port 0``; it prints one JSON line with its
port when it is ready. A caller names itself with the header ``instance``.
"""

import argparse
import asyncio
import contextlib
import json
from collections import Counter
from typing import Any

from standins.http_server import (
    CloseConnectionError,
    HttpAnswer,
    HttpRequest,
    serve,
)
from standins.instance_list import InstanceList
from standins.object_store import ObjectStore, StoredObject

__all__ = ["PlatformStandIn", "main"]

VALUE_BYTES_MAX = 1_000_000
WAIT_MS_MAX = 60_000
OBJECTS = "/objects/"


class Faults:
    """The faults that are in force.

    Attributes:
        outage: False, True (calls are answered with 503) or ``"silent"`` (never).
        slow_ms: Delay before each call takes effect.
        lose_answers: How many more writes take effect without an answer.
        stale_reads: How many more reads answer with an old version.
        cut: Names of instances whose calls are dropped without effect.
    """

    def __init__(self):
        self.outage: bool | str = False
        self.slow_ms = 0
        self.lose_answers = 0
        self.stale_reads = 0
        self.cut: frozenset[str] = frozenset()

    def take(self, name: str) -> bool:
        """Use up one occurrence of a counted fault; False if none is left."""
        left = getattr(self, name)
        if left:
            setattr(self, name, left - 1)
        return bool(left)


class PlatformStandIn:
    """The object API, the instance list, the counts of calls and the faults.

    Args:
        token: Bearer token that each call must carry; empty for none.
    """

    def __init__(self, token: str = ""):
        self._token = token
        self._store = ObjectStore()
        self._instances = InstanceList()
        self._faults = Faults()
        self._calls_by_kind: Counter[str] = Counter()
        self._calls_by_instance: Counter[str] = Counter()
        self._watches: set[asyncio.Task] = set()

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> asyncio.Server:
        """Start to serve; port 0 takes a free one."""
        return await serve(self.handle, host, port)

    async def handle(self, request: HttpRequest) -> HttpAnswer:
        """Answer one request."""
        if self._token and request.headers.get("authorization") != (
            f"Bearer {self._token}"
        ):
            return HttpAnswer(401, {"error": "not authorised"})
        try:
            return await self._route(request)
        except (ValueError, KeyError, TypeError) as error:
            return HttpAnswer(400, {"error": f"malformed request: {error}"})

    async def _route(self, request: HttpRequest) -> HttpAnswer:
        route = (request.method, request.path)
        if route == ("GET", "/calls"):
            return HttpAnswer(200, self._calls())
        if route == ("POST", "/control"):
            return self._control(request.json())
        if route == ("POST", "/instances"):
            return HttpAnswer(200, {"version": self._instances.change(request.json())})
        if route == ("GET", "/instances"):
            return await self._call("instances", request, self._list_instances)
        if request.path.startswith(OBJECTS) and request.method == "PUT":
            return await self._call("write", request, self._write)
        if request.path.startswith(OBJECTS) and request.method == "GET":
            if "after" in request.query:
                return await self._call("watch", request, self._watch)
            return await self._call("read", request, self._read)
        return HttpAnswer(404, {"error": "no such resource"})

    def _calls(self) -> dict[str, Any]:
        counts = {
            kind: self._calls_by_kind[kind]
            for kind in ("read", "write", "watch", "instances")
        }
        return {**counts, "by_instance": dict(self._calls_by_instance)}

    def _control(self, order: dict[str, Any]) -> HttpAnswer:
        faults = self._faults
        for name in ("outage", "slow_ms", "lose_answers", "stale_reads"):
            setattr(faults, name, order.get(name, getattr(faults, name)))
        faults.cut = frozenset(order.get("cut", faults.cut))
        self._instances.lag_ms = order.get("list_lag_ms", self._instances.lag_ms)
        if order.get("end_watches"):
            for watch in self._watches:
                watch.cancel()
        return HttpAnswer(200, {})

    async def _call(self, kind: str, request: HttpRequest, act) -> HttpAnswer:
        instance = request.headers.get("instance", "")
        self._calls_by_kind[kind] += 1
        self._calls_by_instance[instance] += 1
        if self._faults.slow_ms:
            await asyncio.sleep(self._faults.slow_ms / 1000)
        if instance in self._faults.cut:
            raise CloseConnectionError
        while self._faults.outage == "silent":
            await asyncio.sleep(0.02)
        if self._faults.outage:
            return HttpAnswer(503, {"error": "outage"})
        answer = await act(request)
        if instance in self._faults.cut:
            raise CloseConnectionError
        return answer

    async def _read(self, request: HttpRequest) -> HttpAnswer:
        name = request.path.removeprefix(OBJECTS)
        if self._faults.take("stale_reads"):
            return _found(self._store.get_stale(name))
        return _found(self._store.get(name))

    async def _watch(self, request: HttpRequest) -> HttpAnswer:
        name = request.path.removeprefix(OBJECTS)
        wait = self._store.wait_beyond(
            name, int(request.query["after"]), _wait_ms(request)
        )
        found = await self._wait(wait)
        return HttpAnswer(304) if found is None else _found(found)

    async def _write(self, request: HttpRequest) -> HttpAnswer:
        name = request.path.removeprefix(OBJECTS)
        if len(request.body) > VALUE_BYTES_MAX:
            return HttpAnswer(413, {"error": f"over {VALUE_BYTES_MAX} bytes"})
        if_version = int(request.headers["if-version"])
        written = self._store.put(name, request.json(), if_version)
        if written is None:
            return HttpAnswer(412, {"version": self._store.get(name).version})
        if self._faults.take("lose_answers"):
            raise CloseConnectionError
        return HttpAnswer(200, {"version": written.version})

    async def _list_instances(self, request: HttpRequest) -> HttpAnswer:
        if "after" not in request.query:
            found = self._instances.read()
        else:
            after = int(request.query["after"])
            found = await self._wait(
                self._instances.wait_beyond(after, _wait_ms(request))
            )
        if found is None:
            return HttpAnswer(304)
        version, entries = found
        return HttpAnswer(200, {"version": version, "instances": entries})

    async def _wait(self, wait) -> Any:
        task = asyncio.ensure_future(wait)
        self._watches.add(task)
        try:
            return await task
        except asyncio.CancelledError:
            if asyncio.current_task().cancelling():
                raise
            raise CloseConnectionError from None
        finally:
            task.cancel()
            self._watches.discard(task)


def _found(stored: StoredObject) -> HttpAnswer:
    if not stored.version:
        return HttpAnswer(404, {"error": "no such object"})
    return HttpAnswer(200, {"version": stored.version, "value": stored.value})


def _wait_ms(request: HttpRequest) -> int:
    return min(int(request.query.get("wait_ms", "0")), WAIT_MS_MAX)


async def _run(arguments: argparse.Namespace) -> None:
    stand_in = PlatformStandIn(arguments.token)
    server = await stand_in.start(arguments.host, arguments.port)
    port = server.sockets[0].getsockname()[1]
    print(json.dumps({"port": port}), flush=True)
    await server.serve_forever()


def main() -> None:
    """Run the stand-in until it is interrupted."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--token", default="")
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(_run(parser.parse_args()))


if __name__ == "__main__":
    main()
