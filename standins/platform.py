"""A stand-in for the platform's object API, with injectable faults.

``python -m standins.platform --port 0`` prints one line of JSON with its port when it
is ready. Instances identify themselves with the header ``instance``.
"""

import argparse
import asyncio
import contextlib
import json
from collections import Counter
from typing import Any

from standins.control import check_control
from standins.http_server import (
    CloseConnectionError,
    HttpRequest,
    HttpResponse,
    serve,
)
from standins.instance_list import InstanceList
from standins.object_store import ObjectStore, StoredObject

__all__ = ["PlatformStandIn", "main"]

VALUE_BYTES_MAX = 1_000_000
WAIT_MS_MAX = 60_000
OBJECTS_PATH = "/objects/"
FAULT_NAMES = ("outage", "slow_ms", "lose_answers", "stale_reads")
CONTROL_NAMES = (*FAULT_NAMES, "cut", "list_lag_ms", "end_watches")


class Faults:
    """Active faults.

    Attributes:
        outage: False, True (calls get status 503) or ``"silent"`` (calls get no
            response).
        slow_ms: Delay before each call takes effect, in milliseconds.
        lose_answers: Number of further writes that take effect without a response.
        stale_reads: Number of further reads that return an old version.
        cut: Names of instances whose calls are dropped: they take no effect, and their
            connections are closed. A call in progress at the start of the cut may
            have taken effect.
    """

    def __init__(self):
        self.outage: bool | str = False
        self.slow_ms = 0
        self.lose_answers = 0
        self.stale_reads = 0
        self.cut: frozenset[str] = frozenset()

    def consume(self, name: str) -> bool:
        """Consume one occurrence of a counted fault; return False if none remains."""
        remaining = getattr(self, name)
        if remaining:
            setattr(self, name, remaining - 1)
        return bool(remaining)


class PlatformStandIn:
    """Serves the object API, the instance list, call counts and fault control.

    Args:
        token: Bearer token that every call must carry; empty for none.
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
        """Start serving; port 0 selects a free port."""
        return await serve(self.handle, host, port)

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Handle a request and return the response."""
        if self._token and request.headers.get("authorization") != (
            f"Bearer {self._token}"
        ):
            return HttpResponse(401, {"error": "not authorised"})
        try:
            return await self._route(request)
        except (ValueError, KeyError, TypeError) as error:
            return HttpResponse(400, {"error": f"malformed request: {error}"})

    async def _route(self, request: HttpRequest) -> HttpResponse:
        route = (request.method, request.path)
        if route == ("GET", "/calls"):
            return HttpResponse(200, self._call_counts())
        if route == ("POST", "/control"):
            return self._control(request.json())
        if route == ("POST", "/instances"):
            return HttpResponse(
                200, {"version": self._instances.change(request.json())}
            )
        if route == ("GET", "/instances"):
            return await self._call_with_faults(
                "instances", request, self._list_instances
            )
        if request.path.startswith(OBJECTS_PATH) and request.method == "PUT":
            return await self._call_with_faults("write", request, self._write)
        if request.path.startswith(OBJECTS_PATH) and request.method == "GET":
            if "after" in request.query:
                return await self._call_with_faults("watch", request, self._watch)
            return await self._call_with_faults("read", request, self._read)
        return HttpResponse(404, {"error": "no such resource"})

    def _call_counts(self) -> dict[str, Any]:
        counts = {
            kind: self._calls_by_kind[kind]
            for kind in ("read", "write", "watch", "instances")
        }
        return {**counts, "by_instance": dict(self._calls_by_instance)}

    def _control(self, changes: dict[str, Any]) -> HttpResponse:
        check_control(changes, CONTROL_NAMES)
        faults = self._faults
        for name in FAULT_NAMES:
            setattr(faults, name, changes.get(name, getattr(faults, name)))
        faults.cut = frozenset(changes.get("cut", faults.cut))
        self._instances.lag_ms = changes.get("list_lag_ms", self._instances.lag_ms)
        if changes.get("end_watches"):
            for watch in self._watches:
                watch.cancel()
        return HttpResponse(200, {})

    async def _call_with_faults(
        self, kind: str, request: HttpRequest, operation
    ) -> HttpResponse:
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
            return HttpResponse(503, {"error": "outage"})
        response = await operation(request)
        if instance in self._faults.cut:
            raise CloseConnectionError
        return response

    async def _read(self, request: HttpRequest) -> HttpResponse:
        name = request.path.removeprefix(OBJECTS_PATH)
        if self._faults.consume("stale_reads"):
            return _object_response(self._store.get_stale(name))
        return _object_response(self._store.get(name))

    async def _watch(self, request: HttpRequest) -> HttpResponse:
        name = request.path.removeprefix(OBJECTS_PATH)
        waiting = self._store.wait_newer(
            name, int(request.query["after"]), _wait_ms(request)
        )
        found = await self._await_change(waiting)
        return HttpResponse(304) if found is None else _object_response(found)

    async def _write(self, request: HttpRequest) -> HttpResponse:
        name = request.path.removeprefix(OBJECTS_PATH)
        if len(request.body) > VALUE_BYTES_MAX:
            return HttpResponse(413, {"error": f"over {VALUE_BYTES_MAX} bytes"})
        if_version = int(request.headers["if-version"])
        written = self._store.put(name, request.json(), if_version)
        if written is None:
            return HttpResponse(412, {"version": self._store.get(name).version})
        if self._faults.consume("lose_answers"):
            raise CloseConnectionError
        return HttpResponse(200, {"version": written.version})

    async def _list_instances(self, request: HttpRequest) -> HttpResponse:
        if "after" not in request.query:
            found = self._instances.read()
        else:
            after = int(request.query["after"])
            found = await self._await_change(
                self._instances.wait_newer(after, _wait_ms(request))
            )
        if found is None:
            return HttpResponse(304)
        version, entries = found
        return HttpResponse(200, {"version": version, "instances": entries})

    async def _await_change(self, waiting) -> Any:
        task = asyncio.ensure_future(waiting)
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


def _object_response(stored: StoredObject) -> HttpResponse:
    if not stored.version:
        return HttpResponse(404, {"error": "no such object"})
    return HttpResponse(200, {"version": stored.version, "value": stored.value})


def _wait_ms(request: HttpRequest) -> int:
    return min(int(request.query.get("wait_ms", "0")), WAIT_MS_MAX)


async def _run(arguments: argparse.Namespace) -> None:
    stand_in = PlatformStandIn(arguments.token)
    server = await stand_in.start(arguments.host, arguments.port)
    port = server.sockets[0].getsockname()[1]
    print(json.dumps({"port": port}), flush=True)
    await server.serve_forever()


def main() -> None:
    """Serve until interrupted."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--token", default="")
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(_run(parser.parse_args()))


if __name__ == "__main__":
    main()
