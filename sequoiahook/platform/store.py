"""The client of the platform's store of objects."""

import json
from collections.abc import Mapping
from typing import Any
from urllib.parse import quote

from sequoiahook.daemons.direct.object_store import (
    Change,
    Changes,
    Kind,
    Listing,
    StoredObject,
)
from sequoiahook.daemons.http_client import (
    HttpAnswerLostError,
    HttpClient,
    HttpClientSettings,
    HttpNotSentError,
    HttpResponse,
)
from sequoiahook.errors import (
    CheckError,
    HistoryExpiredError,
    PlatformError,
    PlatformOutcomeUnknownError,
    PlatformUnavailableError,
    VersionConflictError,
)
from sequoiahook.platform.configuration import read_routing
from sequoiahook.platform.entries import (
    instance_document,
    read_instance_entry,
    read_target_entry,
)
from sequoiahook.platform.settings import PlatformSettings

__all__ = ["CALL_TIMEOUT_MS", "WATCH_MARGIN_MS", "StoreClient"]

CALL_TIMEOUT_MS = 1_000
"""An answer takes 4 ms by the sheet; a slow store takes up to 60 times as long."""

WATCH_MARGIN_MS = 600
"""Added to the wait of a watch: one that is silent for longer has lost its store."""

CONNECT_TIMEOUT_MS = 500
CONNECTIONS_MAX = 8
ANSWER_BYTES_FACTOR = 2
"""A page of a list may end with an object that exceeds the size of a page."""

CONFIGURATION_NAME = "main"
_NAME_BY_KIND = {
    Kind.CONFIGURATION: "config",
    Kind.EVACUATIONS: "evacuations",
    Kind.INSTANCES: "instances",
    Kind.SECRETS: "secrets",
    Kind.TARGETS: "servers",
}
_HEADERS = {"content-type": "application/json"}
_OK = frozenset({200, 201})
_CONFLICT = 409
_GONE = 410
_MISSING = 404
_NOT_DONE = frozenset({429, 503})


class StoreClient:
    """Calls to the store; objects come back as types of the product.

    Args:
        settings: Settings of the process.
    """

    def __init__(self, settings: PlatformSettings):
        self._region_by_data_centre = settings.direct.region_by_data_centre
        self._http = HttpClient(
            HttpClientSettings(
                *settings.store_address,
                connections_max=CONNECTIONS_MAX,
                connect_timeout_ms=CONNECT_TIMEOUT_MS,
                body_bytes_max=ANSWER_BYTES_FACTOR * settings.store_object_bytes_max,
            )
        )

    async def list_objects(self, kind: Kind) -> Listing:
        """Return all objects of a kind, page by page."""
        objects_by_name: dict[str, StoredObject] = {}
        revision = None
        query = ""
        while True:
            page = await self._call("GET", _path(kind) + query)
            # A later page may show a later state; the watch from the first one tells
            # what changed meanwhile.
            revision = _field(page, "at", int) if revision is None else revision
            for item in _field(page, "items", list):
                found = self.read(kind, item)
                objects_by_name[found.name] = found
            if not page.get("has_more") or not page["items"]:
                return Listing(objects_by_name, revision)
            query = "?after=" + quote(found.name, safe="")

    async def watch(self, kind: Kind, revision: int, wait_ms: int) -> Changes:
        """Return what changed after a revision."""
        path = f"{_path(kind)}?watch={revision}&wait_ms={wait_ms}"
        answer = await self._call("GET", path, timeout_ms=wait_ms + WATCH_MARGIN_MS)
        changes = tuple(
            Change(
                self.read(kind, _field(event, "object", dict)),
                bool(event.get("deleted")),
            )
            for event in _field(answer, "events", list)
        )
        return Changes(changes, _field(answer, "at", int))

    async def create(self, kind: Kind, name: str, value: Any) -> StoredObject:
        """Create an object."""
        body = {"metadata": {"name": name}, "spec": _write(kind, value)}
        return self.read(kind, await self._call("POST", _path(kind), body))

    async def replace(self, kind: Kind, name: str, value: Any) -> StoredObject:
        """Replace the content of an object."""
        body = {"metadata": {"name": name}, "spec": _write(kind, value)}
        return self.read(kind, await self._call("PUT", _path(kind, name), body))

    async def delete(self, kind: Kind, name: str, revision: int) -> None:
        """Delete an object if it still has a revision."""
        await self._call("DELETE", f"{_path(kind, name)}?revision={revision}")

    def close(self) -> None:
        """Close all connections."""
        self._http.close()

    async def _call(
        self,
        method: str,
        path: str,
        document: Any = None,
        timeout_ms: int = CALL_TIMEOUT_MS,
    ) -> dict[str, Any]:
        body = b"" if document is None else json.dumps(document).encode()
        headers = _HEADERS if body else {}
        try:
            response = await self._http.request(
                method, path, headers, body, timeout_ms=timeout_ms
            )
        except HttpNotSentError as error:
            raise PlatformUnavailableError(str(error)) from error
        except HttpAnswerLostError as error:
            raise PlatformOutcomeUnknownError(f"{method} {path}: {error}") from error
        return _document(response, f"{method} {path}")

    def read(self, kind: Kind, item: Any) -> StoredObject:
        """Decode an object as the store wrote it."""
        metadata = item.get("metadata") if isinstance(item, Mapping) else None
        if not isinstance(metadata, Mapping):
            raise PlatformError(f"an object of kind {kind.value} has no metadata")
        name = str(metadata.get("name", ""))
        revision = metadata.get("revision", 0)
        try:
            value = self._read_value(kind, name, item)
        except CheckError as error:
            return StoredObject(name, revision, None, str(error), item)
        return StoredObject(name, revision, value, document=item)

    def _read_value(self, kind: Kind, name: str, item: Mapping) -> Any:
        match kind:
            case Kind.CONFIGURATION:
                is_main = name == CONFIGURATION_NAME
                return read_routing(item.get("spec")) if is_main else None
            case Kind.TARGETS:
                return read_target_entry(name, item, self._region_by_data_centre)
            case Kind.INSTANCES:
                return read_instance_entry(name, item)
            case Kind.SECRETS:
                return str(item.get("spec"))
        return name


def _write(kind: Kind, value: Any) -> Any:
    return instance_document(value) if kind is Kind.INSTANCES else value


def _path(kind: Kind, name: str | None = None) -> str:
    path = f"/-/objects/{_NAME_BY_KIND[kind]}"
    return path if name is None else f"{path}/{quote(name, safe='')}"


def _document(response: HttpResponse, call: str) -> dict[str, Any]:
    status = response.status
    if status == _GONE:
        raise HistoryExpiredError(call)
    if status in _NOT_DONE:
        raise PlatformUnavailableError(f"{call}: status {status}")
    if status not in (*_OK, _CONFLICT, _MISSING):
        raise PlatformOutcomeUnknownError(f"{call}: status {status}")
    try:
        document = json.loads(response.body) if response.body else {}
    except ValueError as error:
        raise PlatformOutcomeUnknownError(f"{call}: not JSON: {error}") from error
    if not isinstance(document, dict):
        raise PlatformOutcomeUnknownError(f"{call}: not an object")
    if status == _CONFLICT:
        metadata = document.get("metadata") or {}
        raise VersionConflictError(call, int(metadata.get("revision", 0)))
    if status == _MISSING:
        raise VersionConflictError(call, 0)
    return document


def _field(document: Any, name: str, kind: type) -> Any:
    value = document.get(name) if isinstance(document, Mapping) else None
    if not isinstance(value, kind):
        raise PlatformError(f"an answer of the store has no usable {name}")
    return value
