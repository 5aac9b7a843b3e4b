"""Client of the platform's object API and instance list."""

import json
from typing import Any, NamedTuple
from urllib.parse import quote, urlencode

from sequoiahook.daemons.http_client import (
    HttpAnswerLostError,
    HttpClient,
    HttpClientSettings,
    HttpNotSentError,
    HttpResponse,
)
from sequoiahook.errors import (
    CheckError,
    Finding,
    PlatformOutcomeUnknownError,
    PlatformUnavailableError,
    VersionConflictError,
)
from sequoiahook.options import Section, parse_json
from sequoiahook.world.instance import Address, read_address

__all__ = [
    "InstanceEntry",
    "InstanceList",
    "ObjectVersion",
    "PlatformClient",
    "PlatformClientSettings",
    "read_platform_settings",
]

VERSION_MAX = 2**53
PORT_MAX = 65535
TIMEOUT_MS_MAX = 60_000
CONNECTIONS_MAX = 64
ANSWER_BYTES_MAX = 4_000_000
INSTANCE_STATES = ("live", "leaving")


class PlatformClientSettings(NamedTuple):
    """Settings of the client.

    Attributes:
        host: IP address of the platform's service.
        port: TCP port of the platform's service.
        instance: Name of the calling instance.
        token: Bearer token; empty for none.
        timeout_ms: Longest time to wait for an answer, in milliseconds; the wait of a
            watch is added.
        connections_max: Largest number of open connections.
    """

    host: str
    port: int
    instance: str
    token: str = ""
    timeout_ms: int = 1000
    connections_max: int = 16


def read_platform_settings(section: Section, instance: str) -> PlatformClientSettings:
    """Read the settings of the client from a section; findings are added to it."""
    return PlatformClientSettings(
        section.string("host"),
        section.integer("port", low=1, high=PORT_MAX),
        instance,
        section.string("token", default=""),
        section.integer("timeout_ms", low=1, high=TIMEOUT_MS_MAX, default=1000),
        section.integer("connections_max", low=1, high=CONNECTIONS_MAX, default=16),
    )


class ObjectVersion(NamedTuple):
    """An object at one version.

    Attributes:
        version: Version of the object, 1 or more.
        value: JSON value of the object.
    """

    version: int
    value: Any


class InstanceEntry(NamedTuple):
    """Entry of an instance in the platform's list.

    Attributes:
        name: Unique name.
        state: ``live`` or ``leaving``.
        data_centre: Name of its data centre.
        caller_address: Address for callers.
        link_address: Address for links from other instances.
    """

    name: str
    state: str
    data_centre: str
    caller_address: Address
    link_address: Address


class InstanceList(NamedTuple):
    """The platform's instance list, which lags behind the running instances.

    Attributes:
        version: Version of the list; grows with each change.
        instances: The entries, sorted by name.
    """

    version: int
    instances: tuple[InstanceEntry, ...]


class PlatformClient:
    """Calls the platform.

    Every method raises PlatformUnavailableError if the call certainly had no effect.
    Methods that read raise CheckError, with its findings, if the answer is malformed.
    """

    def __init__(self, settings: PlatformClientSettings):
        self._settings = settings
        self._http = HttpClient(
            HttpClientSettings(
                settings.host,
                settings.port,
                settings.connections_max,
                settings.timeout_ms,
                ANSWER_BYTES_MAX,
            )
        )
        self._headers = {"instance": settings.instance}
        if settings.token:
            self._headers["authorization"] = f"Bearer {settings.token}"

    def close(self) -> None:
        """Close idle connections."""
        self._http.close()

    async def get(self, name: str) -> ObjectVersion | None:
        """Read an object; None if it does not exist."""
        response = await self._read(_object_path(name))
        if response.status == 404:
            return None
        return _object(name, response)

    async def watch(self, name: str, after: int, wait_ms: int) -> ObjectVersion | None:
        """Wait until an object is newer than a version; return None on time-out.

        Args:
            name: Name of the object.
            after: The version; 0 also waits until the object exists.
            wait_ms: Longest time that the platform waits, in milliseconds.
        """
        query = {"after": after, "wait_ms": wait_ms}
        response = await self._read(f"{_object_path(name)}?{urlencode(query)}", wait_ms)
        if response.status in (304, 404):
            return None
        return _object(name, response)

    async def put(self, name: str, value: Any, if_version: int) -> int:
        """Write an object if it has the expected version.

        Args:
            name: Name of the object.
            value: Any JSON value.
            if_version: The expected version; 0 if the object must not exist.

        Returns:
            The new version.

        Raises:
            VersionConflictError: If the object has another version.
            PlatformOutcomeUnknownError: If the write may have taken effect.
            CheckError: If the value is larger than the platform accepts.
        """
        headers = {**self._headers, "if-version": str(if_version)}
        body = json.dumps(value, separators=(",", ":")).encode()
        try:
            response = await self._http.request(
                "PUT",
                _object_path(name),
                headers,
                body,
                timeout_ms=self._settings.timeout_ms,
                use_new_connection=True,
            )
        except HttpNotSentError as error:
            raise PlatformUnavailableError(str(error)) from error
        except HttpAnswerLostError as error:
            raise PlatformOutcomeUnknownError(str(error)) from error
        return _written_version(name, response)

    async def instances(self, after: int | None = None, wait_ms: int = 0):
        """Read the instance list, at once or when it is newer than a version.

        Returns:
            An InstanceList; None if it was not newer in time.
        """
        target_path = "/instances"
        if after is not None:
            target_path = (
                f"/instances?{urlencode({'after': after, 'wait_ms': wait_ms})}"
            )
        response = await self._read(target_path, wait_ms)
        if response.status == 304:
            return None
        return _instance_list(response)

    async def _read(self, target_path: str, wait_ms: int = 0) -> HttpResponse:
        timeout_ms = self._settings.timeout_ms + wait_ms
        try:
            response = await self._http.request(
                "GET", target_path, self._headers, timeout_ms=timeout_ms
            )
        except (HttpNotSentError, HttpAnswerLostError) as error:
            raise PlatformUnavailableError(str(error)) from error
        if response.status not in (200, 304, 404):
            raise PlatformUnavailableError(
                f"platform answered with status {response.status}"
            )
        return response


def _object_path(name: str) -> str:
    return f"/objects/{quote(name, safe='')}"


def _object(name: str, response: HttpResponse) -> ObjectVersion:
    document = parse_json(response.body)
    section = Section(document, name)
    version = section.integer("version", low=1, high=VERSION_MAX)
    if not section.has("value"):
        section.report("value", "is required")
    if section.findings:
        raise CheckError(section.findings)
    return ObjectVersion(version, document["value"])


def _written_version(name: str, response: HttpResponse) -> int:
    if response.status == 413:
        raise CheckError([Finding(name, "is larger than the platform accepts")])
    if response.status in (401, 403, 503):
        raise PlatformUnavailableError(
            f"platform answered with status {response.status}"
        )
    if response.status not in (200, 412):
        raise PlatformOutcomeUnknownError(
            f"platform answered with status {response.status}"
        )
    try:
        section = Section(parse_json(response.body), name)
        version = section.integer("version", low=0, high=VERSION_MAX)
        if section.findings:
            raise CheckError(section.findings)
    except CheckError as error:
        raise PlatformOutcomeUnknownError(f"malformed answer: {error}") from error
    if response.status == 412:
        raise VersionConflictError(name, version)
    return version


def _instance_list(response: HttpResponse) -> InstanceList:
    section = Section(parse_json(response.body), "instances")
    version = section.integer("version", low=0, high=VERSION_MAX)
    entries = section.objects("instances", _instance_entry)
    if section.findings:
        raise CheckError(section.findings)
    return InstanceList(version, tuple(sorted(entries)))


def _instance_entry(section: Section) -> InstanceEntry:
    return InstanceEntry(
        section.string("name"),
        section.choice("state", INSTANCE_STATES),
        section.string("data_centre"),
        read_address(section.section("caller_address")),
        read_address(section.section("link_address")),
    )
