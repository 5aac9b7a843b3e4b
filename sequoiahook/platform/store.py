"""Client of the platform's object store."""

import json
from collections.abc import Mapping
from typing import Any
from urllib.parse import quote

import logbook

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
from sequoiahook.decisions.direct.revisions import Revision
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
from sequoiahook.wire.lenient_json import parse_leniently

__all__ = ["CALL_TIMEOUT_MS", "WATCH_MARGIN_MS", "StoreClient"]

CALL_TIMEOUT_MS = 1_000
"""An answer takes 4 ms by specification; a slow store takes up to 60 times as long."""

WATCH_MARGIN_MS = 600
"""Added to the wait of a watch; a watch without an answer by then has failed."""

CONNECT_TIMEOUT_MS = 500
CONNECTIONS_MAX = 8
IDLE_MS = 1_000
"""An instance that reads the store uses its connections more often."""

ANSWER_BYTES_FACTOR = 2
"""A page of a list may end with an object that exceeds the size of a page."""

ERA_HEADER = "store-era"
"""Header with a number that rises each time that the store returns from a copy."""

ERA_DIGITS_MAX = 18
CONFIGURATION_NAME = "main"
log = logbook.Logger("store")

_NAME_BY_KIND = {
    Kind.CONFIGURATION: "config",
    Kind.EVACUATIONS: "evacuations",
    Kind.INSTANCES: "instances",
    Kind.SECRETS: "secrets",
    Kind.TARGETS: "servers",
}
_HEADERS = {"content-type": "application/json"}
_SUCCESS_STATUSES = frozenset({200, 201})
_CONFLICT_STATUS = 409
_GONE_STATUS = 410
_NOT_FOUND_STATUS = 404
_NOT_EXECUTED_STATUSES = frozenset({429, 503})


class StoreClient:
    """Calls the store and decodes its objects.

    Args:
        settings: Settings of the process.
    """

    def __init__(self, settings: PlatformSettings):
        self._newest_era = 0
        self._region_by_data_centre = settings.direct.region_by_data_centre
        self._http = HttpClient(
            HttpClientSettings(
                *settings.store_address,
                connections_max=CONNECTIONS_MAX,
                connect_timeout_ms=CONNECT_TIMEOUT_MS,
                body_bytes_max=ANSWER_BYTES_FACTOR * settings.store_object_bytes_max,
                idle_ms=IDLE_MS,
            )
        )

    async def list_objects(self, kind: Kind, *, may_be_stale: bool = False) -> Listing:
        """Return all objects of a kind, page by page."""
        objects_by_name: dict[str, StoredObject] = {}
        revision = None
        stale = "stale_ok=1" if may_be_stale else ""
        query = f"?{stale}" if stale else ""
        while True:
            page, era = await self._call("GET", _object_path(kind) + query)
            # A later page may show a later state; a watch from the revision of the
            # first page returns the changes in between.
            number = _required_field(page, "at", int)
            revision = Revision(era, number) if revision is None else revision
            _require_era(kind, era, revision)
            for item in _required_field(page, "items", list):
                stored = self.decode_object(kind, item)
                objects_by_name[stored.name] = stored
            after = _last_name(page["items"])
            if not page.get("has_more") or not after:
                return Listing(objects_by_name, revision)
            query = f"?after={_quoted(after)}" + (f"&{stale}" if stale else "")

    async def watch(self, kind: Kind, revision: Revision, wait_ms: int) -> Changes:
        """Return the changes after a revision."""
        path = f"{_object_path(kind)}?watch={revision.number}&wait_ms={wait_ms}"
        timeout_ms = wait_ms + WATCH_MARGIN_MS
        answer, era = await self._call("GET", path, timeout_ms=timeout_ms)
        _require_era(kind, era, revision)
        changes = tuple(
            Change(
                self.decode_object(kind, event.get("object")),
                bool(event.get("deleted")),
            )
            for event in _required_field(answer, "events", list)
            if isinstance(event, Mapping)
        )
        number = _required_field(answer, "at", int)
        return Changes(changes, Revision(era, number))

    async def create(self, kind: Kind, name: str, value: Any) -> StoredObject:
        """Create an object."""
        body = {"metadata": {"name": name}, "spec": _encode_value(kind, value)}
        document, era = await self._call("POST", _object_path(kind), body)
        return self.decode_object(kind, document)._replace(era=era)

    async def replace(
        self, kind: Kind, name: str, value: Any, revision: int | None = None
    ) -> StoredObject:
        """Replace the content of an object, if it has the revision, if one is given."""
        metadata = {"name": name}
        if revision is not None:
            metadata["revision"] = revision
        body = {"metadata": metadata, "spec": _encode_value(kind, value)}
        document, era = await self._call("PUT", _object_path(kind, name), body)
        return self.decode_object(kind, document)._replace(era=era)

    async def delete(self, kind: Kind, name: str, revision: int) -> None:
        """Delete an object if it still has the given revision."""
        await self._call("DELETE", f"{_object_path(kind, name)}?revision={revision}")

    def close(self) -> None:
        """Close all connections."""
        self._http.close()

    async def _call(
        self,
        method: str,
        path: str,
        document: Any = None,
        timeout_ms: int = CALL_TIMEOUT_MS,
    ) -> tuple[dict[str, Any], int]:
        """Return the document of the answer, and the era of the store."""
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
        era = self._read_era(response)
        return _response_document(response, f"{method} {path}"), era

    def _read_era(self, response: HttpResponse) -> int:
        """Return the era that an answer states, or else the newest one known.

        It is 0 if the store has stated none so far.
        """
        text = response.headers.get(ERA_HEADER, "")
        if not text.isascii() or not text.isdigit() or len(text) > ERA_DIGITS_MAX:
            return self._newest_era
        era = int(text)
        if 0 < self._newest_era < era:
            fields = {"era": era, "previous": self._newest_era}
            log.warning("store returned from a copy", extra=fields)
        self._newest_era = max(era, self._newest_era)
        return era

    def decode_object(self, kind: Kind, item: Any) -> StoredObject:
        """Decode an object of the store; one without a name affects no other."""
        name = _name_of(item)
        if not name:
            problem = f"object of kind {kind.value} has no name"
            return StoredObject("", 0, None, problem)
        revision = item["metadata"].get("revision", 0)
        revision = revision if type(revision) is int else 0
        try:
            value = self._decode_value(kind, name, item)
        except CheckError as error:
            return StoredObject(name, revision, None, str(error), item)
        except Exception as error:
            # Nothing that another writer leaves may end the task that reads it.
            problem = f"{kind.value}/{name}: {type(error).__name__}: {error}"
            return StoredObject(name, revision, None, problem, item)
        return StoredObject(name, revision, value, document=item)

    def _decode_value(self, kind: Kind, name: str, item: Mapping) -> Any:
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


def _require_era(kind: Kind, era: int, revision: Revision) -> None:
    """Require that an answer is of the era of a revision.

    Revisions are given out again in each era, so that changes may have lower ones.
    """
    if era != revision.era:
        raise HistoryExpiredError(f"{kind.value}: store returned from a copy")


def _name_of(item: Any) -> str:
    """Return the name of an object; empty if it has none."""
    metadata = item.get("metadata") if isinstance(item, Mapping) else None
    name = metadata.get("name") if isinstance(metadata, Mapping) else None
    return name if isinstance(name, str) else ""


def _quoted(name: str) -> str:
    return quote(name, safe="", errors="surrogatepass")


def _last_name(items: list) -> str:
    """Return the name after which the next page begins; empty if there is none."""
    return next(filter(None, map(_name_of, reversed(items))), "")


def _encode_value(kind: Kind, value: Any) -> Any:
    return instance_document(value) if kind is Kind.INSTANCES else value


def _object_path(kind: Kind, name: str | None = None) -> str:
    path = f"/-/objects/{_NAME_BY_KIND[kind]}"
    return path if name is None else f"{path}/{_quoted(name)}"


def _response_document(response: HttpResponse, call: str) -> dict[str, Any]:
    status = response.status
    if status == _GONE_STATUS:
        raise HistoryExpiredError(call)
    if status in _NOT_EXECUTED_STATUSES:
        raise PlatformUnavailableError(f"{call}: status {status}")
    if status == _NOT_FOUND_STATUS:
        raise VersionConflictError(call, 0)
    if status not in (*_SUCCESS_STATUSES, _CONFLICT_STATUS):
        raise PlatformOutcomeUnknownError(f"{call}: status {status}")
    try:
        document = _parse_body(response.body)
    except (ValueError, RecursionError) as error:
        raise PlatformOutcomeUnknownError(
            f"{call}: answer is not JSON: {error}"
        ) from error
    if not isinstance(document, dict):
        raise PlatformOutcomeUnknownError(f"{call}: answer is not a JSON object")
    if status == _CONFLICT_STATUS:
        metadata = document.get("metadata") or {}
        raise VersionConflictError(call, int(metadata.get("revision", 0)))
    return document


def _parse_body(body: bytes) -> Any:
    """Parse an answer; an entry of another writer in it may exceed the usual limits."""
    if not body:
        return {}
    try:
        return json.loads(body)
    except json.JSONDecodeError:
        raise
    except (ValueError, RecursionError) as error:
        log.warning("answer parsed without parts of it", extra={"error": str(error)})
        return parse_leniently(body)


def _required_field(document: Any, name: str, expected_type: type) -> Any:
    value = document.get(name) if isinstance(document, Mapping) else None
    if not isinstance(value, expected_type):
        raise PlatformError(f"field {name} of the store's answer is missing or invalid")
    return value
