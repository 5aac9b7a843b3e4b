"""A stand-in for the object store of the users' platform, with injectable faults."""

import asyncio
import copy
import json
import sys
from collections import Counter, deque
from collections.abc import Iterable
from typing import Any, NamedTuple

from standins.control import check_control, read_faults
from standins.http_server import (
    CloseConnectionError,
    HttpRequest,
    HttpResponse,
    serve,
)

__all__ = ["PlatformStore", "StoreFaults"]

OBJECTS_PREFIX = "/-/objects/"
PAGE_SIZE = 50
HISTORY_MAX = 1_000
CONTROL_PATH = "/control"
CONTROL_NAMES = (
    "faults",
    "put",
    "delete",
    "forget",
    "keep_copy",
    "return_to_copy",
    "rewritten",
)


class StoreFaults(NamedTuple):
    """Active faults of the store.

    Attributes:
        is_down: Whether every call gets status 503.
        is_silent: Whether calls get no response.
        loses_writes: Whether writes take effect but their responses are lost.
    """

    is_down: bool = False
    is_silent: bool = False
    loses_writes: bool = False


class _Event(NamedTuple):
    revision: int
    kind: str
    object: dict[str, Any]
    is_deleted: bool


class PlatformStore:
    """Objects by kind and name, with one revision counter for all of them.

    Attributes:
        revision: Revision of the last change.
        era: Number of times that it returned from a copy, plus one.
        faults: Active faults.
        calls: Number of calls by HTTP method.
        lists: Number of list calls by kind of object.
    """

    def __init__(self):
        self.revision = 1
        self.era = 1
        self._copy: tuple[int, dict] = (1, {})
        self.faults = StoreFaults()
        self.calls = Counter()
        self.lists = Counter()
        self._objects_by_kind: dict[str, dict[str, dict[str, Any]]] = {}
        self._events: deque[_Event] = deque(maxlen=HISTORY_MAX)
        self._oldest_revision = 1
        self._changed = asyncio.Condition()

    async def start(self, host: str, port: int) -> int:
        """Start serving and return the port."""
        server = await serve(self.handle, host, port)
        return server.sockets[0].getsockname()[1]

    async def put(self, kind: str, name: str, spec: Any) -> dict[str, Any]:
        """Write an object and return it; an equal specification changes nothing."""
        objects = self._objects_by_kind.setdefault(kind, {})
        stored = objects.get(name)
        if stored is not None and stored["spec"] == spec:
            return stored
        created = self.revision + 1 if stored is None else stored["metadata"]["created"]
        return await self._store_object(kind, name, spec, created)

    async def delete(self, kind: str, name: str) -> None:
        """Remove an object if it exists."""
        stored = self._objects_by_kind.get(kind, {}).pop(name, None)
        if stored is not None:
            self.revision += 1
            await self._publish(_Event(self.revision, kind, stored, True))

    def forget_history(self) -> None:
        """Discard all events, so that watches from older revisions get status 410."""
        self._events.clear()
        self._oldest_revision = self.revision

    def keep_copy(self) -> None:
        """Keep a copy of all objects, to which the store may return."""
        self._copy = (self.revision, copy.deepcopy(self._objects_by_kind))

    async def return_to_copy(self, rewritten: Iterable[str] = ()) -> None:
        """Return to the copy: what was written since is gone, and revisions go back.

        Args:
            rewritten: Kinds whose objects are written again at once.
        """
        lost = {kind: self._objects_by_kind.get(kind, {}) for kind in rewritten}
        self.revision, self._objects_by_kind = copy.deepcopy(self._copy)
        self.era += 1
        self.forget_history()
        async with self._changed:
            self._changed.notify_all()
        for kind, objects in lost.items():
            for name in set(self._objects_by_kind.get(kind, {})) - set(objects):
                await self.delete(kind, name)
            for name, stored in objects.items():
                await self.put(kind, name, stored["spec"])

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Handle a call and return the response, which states the era."""
        response = await self._handle(request)
        return response._replace(headers=(("store-era", str(self.era)),))

    async def _handle(self, request: HttpRequest) -> HttpResponse:
        if request.path == CONTROL_PATH:
            return await self._handle_control(request)
        self.calls[request.method] += 1
        if self.faults.is_silent:
            await asyncio.Event().wait()
        if self.faults.is_down:
            return HttpResponse(503)
        if not request.path.startswith(OBJECTS_PREFIX):
            return HttpResponse(404)
        kind, _, name = request.path[len(OBJECTS_PREFIX) :].partition("/")
        if request.method == "GET":
            return await self._read(kind, name, request.query)
        response = await self._write(request, kind, name)
        if self.faults.loses_writes:
            raise CloseConnectionError
        return response

    async def _handle_control(self, request: HttpRequest) -> HttpResponse:
        try:
            return await self._control(request.json())
        except (TypeError, ValueError) as error:
            return HttpResponse(400, {"error": f"control call: {error}"})

    async def _control(self, document: dict[str, Any]) -> HttpResponse:
        check_control(document, CONTROL_NAMES)
        if "faults" in document:
            self.faults = read_faults(StoreFaults, document["faults"])
        for kind, name, spec in document.get("put", ()):
            await self.put(kind, name, spec)
        for kind, name in document.get("delete", ()):
            await self.delete(kind, name)
        if document.get("forget"):
            self.forget_history()
        if document.get("keep_copy"):
            self.keep_copy()
        if document.get("return_to_copy"):
            await self.return_to_copy(document.get("rewritten", ()))
        counts = {"calls": dict(self.calls), "lists": dict(self.lists)}
        return HttpResponse(200, {"revision": self.revision, **counts})

    async def _read(self, kind: str, name: str, query: dict[str, str]) -> HttpResponse:
        objects = self._objects_by_kind.get(kind, {})
        if name:
            stored = objects.get(name)
            return HttpResponse(404) if stored is None else HttpResponse(200, stored)
        if "watch" in query:
            wait_ms = int(query.get("wait_ms", 0))
            return await self._watch(kind, int(query["watch"]), wait_ms)
        self.lists[kind] += 1
        names = sorted(n for n in objects if n > query.get("after", ""))
        items = [objects[n] for n in names[:PAGE_SIZE]]
        has_more = len(names) > PAGE_SIZE
        return HttpResponse(
            200, {"items": items, "has_more": has_more, "at": self.revision}
        )

    async def _watch(self, kind: str, revision: int, wait_ms: int) -> HttpResponse:
        if not self._oldest_revision <= revision <= self.revision:
            return HttpResponse(410)
        era = self.era
        try:
            async with asyncio.timeout(wait_ms / 1000):
                async with self._changed:
                    await self._changed.wait_for(
                        lambda: self._events_since(kind, revision) or era != self.era
                    )
        except TimeoutError:
            pass
        if revision < self._oldest_revision or era != self.era:
            return HttpResponse(410)
        events = [
            {"object": event.object, "deleted": event.is_deleted}
            for event in self._events_since(kind, revision)
        ]
        return HttpResponse(200, {"events": events, "at": self.revision})

    def _events_since(self, kind: str, revision: int) -> list[_Event]:
        return [e for e in self._events if e.kind == kind and e.revision > revision]

    async def _write(self, request: HttpRequest, kind: str, name: str) -> HttpResponse:
        objects = self._objects_by_kind.setdefault(kind, {})
        if request.method == "DELETE":
            return await self._delete(request, kind, name)
        document = request.json()
        if request.method == "POST":
            name = document["metadata"]["name"]
            if name in objects:
                return HttpResponse(409, objects[name])
            return HttpResponse(200, await self.put(kind, name, document["spec"]))
        if name not in objects:
            return HttpResponse(404)
        revision = document.get("metadata", {}).get("revision")
        if revision not in (None, objects[name]["metadata"]["revision"]):
            return HttpResponse(409, objects[name])
        return HttpResponse(200, await self.put(kind, name, document["spec"]))

    async def _delete(self, request: HttpRequest, kind: str, name: str) -> HttpResponse:
        objects = self._objects_by_kind[kind]
        if name not in objects:
            return HttpResponse(404)
        stored = objects[name]
        expected_revision = request.query.get("revision")
        if (
            expected_revision
            and int(expected_revision) != stored["metadata"]["revision"]
        ):
            return HttpResponse(409, stored)
        await self.delete(kind, name)
        return HttpResponse(200, stored)

    async def _store_object(
        self, kind: str, name: str, spec: Any, created: int
    ) -> dict:
        self.revision += 1
        stored = {
            "metadata": {
                "name": name,
                "revision": self.revision,
                "created": created,
                "finalizers": [],
                "deletion_timestamp": False,
            },
            "spec": json.loads(json.dumps(spec)),
            "status": None,
        }
        self._objects_by_kind[kind][name] = stored
        await self._publish(_Event(self.revision, kind, stored, False))
        return stored

    async def _publish(self, event: _Event) -> None:
        self._events.append(event)
        async with self._changed:
            self._changed.notify_all()


async def _main() -> None:
    port = await PlatformStore().start("127.0.0.1", int(sys.argv[1]))
    print(json.dumps({"port": port}), flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(_main())
