"""HTTP dialect of the platform's callers and targets."""

import json
import math
import re
from collections.abc import Sequence
from typing import NamedTuple
from urllib.parse import parse_qs

from sequoiahook.clock import MS_PER_S
from sequoiahook.daemons.caller_exchange import CallerAnswer, CallerRequest
from sequoiahook.decisions.direct.requests import Attempt, IncomingRequest, Refuse
from sequoiahook.messages.requests import Fields
from sequoiahook.names import bounded_name
from sequoiahook.wire.fields import bounded_integer, connection_fields
from sequoiahook.world.instance import Address
from sequoiahook.world.target import LoadReport, StatedLimit, StatedRest

__all__ = ["CallerDialect", "LookupQuery", "PlatformTargetDialect"]

Headers = Sequence[tuple[bytes, bytes]]

REQUEST_ID = b"request-id"
DEADLINE = b"deadline-ms"
AUTHORIZATION = b"authorization"
COOKIE = b"cookie"
AFFINITY = b"Affinity-Key"
"""Cookie that names the object of a request."""

EXPECTED_TARGET = b"expect-instance"
ORGANISATION = b"tenant"
NOT_RUN = b"not-executed"
LOAD = b"server-load"
"""Header with the target's running requests, waiting requests, slots and pace.

Targets that do not know their pace report three figures.
"""

LOAD_FIGURES_MIN = 3
PACE_MAX = 10_000
FIGURE_MAX = 10**9
"""Larger figures are read as this one."""

LIMIT = b"server-limit"
"""Header with the requests a second that the target accepts from all instances."""

LEAVING = b"server-leaving"
LEAVING_VALUE = b"1"
LIMIT_PER_S_MAX = 1_000_000
REST_S_MAX = 3_600
UNAVAILABLE_STATUS = 503
KEEP_ALIVE = b"keep-alive"
RETRY_AFTER = b"retry-after"
BEARER = b"bearer"
WRONG_TARGET_STATUS = 421
READY_PATH = "/-/ready"
LOOKUP_PATH = "/-/resolve"
DEFAULT_IDLE_MS = 10_000

_DECIMAL = re.compile(rb"[0-9]{1,9}(\.[0-9]{1,9})?")
_LOGGED_BYTES_MAX = 40
_NOT_FORWARDED_FIELDS = frozenset(
    {DEADLINE, EXPECTED_TARGET, ORGANISATION, AUTHORIZATION, b"host", b"expect"}
)
_FRAMING_FIELDS = frozenset({b"content-length", b"transfer-encoding"})


class LookupQuery(NamedTuple):
    """A caller's look-up of the instances to use.

    Attributes:
        region: Region of the caller; empty if not given.
        data_centre: Data centre that is nearest to the caller; empty if not given.
    """

    region: str
    data_centre: str


class CallerDialect:
    """Decodes callers' requests and encodes the answers."""

    def read_request(self, request: CallerRequest) -> IncomingRequest:
        """Decode a caller's request."""
        value_by_name: dict[bytes, bytes] = {}
        for name, value in request.headers:
            value_by_name.setdefault(name, value)
        key = _bearer_key(value_by_name.get(AUTHORIZATION, b""))
        return IncomingRequest(
            id=value_by_name.get(REQUEST_ID, b"").decode("latin-1"),
            method=request.method,
            host=value_by_name.get(b"host", b"").decode("latin-1"),
            target_path=request.target_path.decode("latin-1"),
            key=key,
            object_key=_object_key(request.headers),
            deadline_ms=_parse_integer(value_by_name.get(DEADLINE)),
            headers=_forwarded_fields(request.headers, key),
            body=request.body,
        )

    def target_fields(self, attempt: Attempt) -> Fields:
        """Return the header fields to send to the target."""
        request = attempt.request
        added = [
            (DEADLINE, b"%d" % attempt.timeout_ms),
            (EXPECTED_TARGET, attempt.state.record.id.encode("latin-1")),
        ]
        if request.organisation:
            added.append((ORGANISATION, request.organisation.encode("utf-8")))
        return (*request.incoming.headers, *added)

    def refusal(self, request_id: str, refusal: Refuse) -> CallerAnswer:
        """Encode an answer of the instance itself."""
        document = {"error": refusal.cause}
        headers = [(b"content-type", b"application/json")]
        if request_id:
            headers.append((REQUEST_ID, request_id.encode("latin-1")))
        if refusal.retry_after_ms > 0:
            seconds = refusal.retry_after_ms / MS_PER_S
            headers.append((RETRY_AFTER, b"%.3f" % seconds))
        body = json.dumps(document).encode()
        return CallerAnswer(refusal.status, tuple(headers), body)

    def read_lookup(self, request: CallerRequest) -> LookupQuery | None:
        """Return the decoded look-up; None if the request is not a look-up."""
        path, _, query = request.target_path.decode("latin-1").partition("?")
        if path != LOOKUP_PATH:
            return None
        fields = parse_qs(query)
        return LookupQuery(fields.get("region", [""])[0], fields.get("zone", [""])[0])

    def lookup_answer(
        self, addresses: Sequence[Address], lifetime_ms: int
    ) -> CallerAnswer:
        """Encode the answer to a look-up."""
        document = {
            "addresses": [str(address) for address in addresses],
            "ttl_s": lifetime_ms / MS_PER_S,
        }
        headers = ((b"content-type", b"application/json"),)
        return CallerAnswer(200, headers, json.dumps(document).encode())

    def is_readiness_check(self, request: CallerRequest) -> bool:
        """Return whether the request is the platform's readiness check."""
        return request.target_path.partition(b"?")[0] == READY_PATH.encode()


class PlatformTargetDialect:
    """Decodes the answers of the platform's targets."""

    allows_close_delimited = True

    def is_answer_to(self, request_id: str, headers: Headers) -> bool:
        """Return whether an answer bears the id of the request."""
        return _first_value(headers, REQUEST_ID) == request_id.encode("latin-1")

    def is_not_run(self, status: int, headers: Headers) -> bool:
        """Return whether the target states that it did not run the request."""
        return (
            status == WRONG_TARGET_STATUS or _first_value(headers, NOT_RUN) is not None
        )

    def answer_fields(self, headers: Headers) -> Fields:
        """Return all header fields except those of the connection and the framing."""
        dropped = connection_fields(headers) | _FRAMING_FIELDS
        return tuple((n, v) for n, v in headers if n not in dropped)

    def load_report(self, status: int, headers: Headers) -> LoadReport | None:
        """Return the reported load; None if it is not reported or not readable.

        Further figures than the known ones are not used. The pace of another target
        than the expected one is not used either.
        """
        parts = (_first_value(headers, LOAD) or b"").split(b",")
        if len(parts) < LOAD_FIGURES_MIN:
            return None
        if not all(part.strip().isdigit() for part in parts):
            return None
        running, waiting, slots, *others = [
            bounded_integer(part.strip(), FIGURE_MAX) for part in parts
        ]
        pace = others[0] if others and status != WRONG_TARGET_STATUS else 0
        is_valid = 0 < pace <= PACE_MAX
        return LoadReport(running + waiting, slots, pace if is_valid else None)

    def stated_limit(self, status: int, headers: Headers) -> StatedLimit | None:
        """Return the limit that an answer states; None if it comes from another."""
        if status == WRONG_TARGET_STATUS:
            return None
        values = [value.strip() for name, value in headers if name == LIMIT]
        if not values:
            return StatedLimit(None)
        per_s = _single_decimal(values, LIMIT_PER_S_MAX)
        invalid = _logged_text(values) if per_s is None else ""
        return StatedLimit(per_s, invalid)

    def stated_rest(self, status: int, headers: Headers) -> StatedRest:
        """Return the rest that a refusal asks for; longer ones are not valid."""
        values = [value.strip() for name, value in headers if name == RETRY_AFTER]
        if status != UNAVAILABLE_STATUS or not values:
            return StatedRest()
        seconds = _single_decimal(values, REST_S_MAX)
        if seconds is None:
            return StatedRest(0, _logged_text(values))
        return StatedRest(math.ceil(seconds * MS_PER_S))

    def is_leaving(self, status: int, headers: Headers) -> bool:
        """Return whether the target states that it leaves."""
        if status == WRONG_TARGET_STATUS:
            return False
        return _first_value(headers, LEAVING) == LEAVING_VALUE

    def idle_ms(self, headers: Headers) -> int:
        """Return how long the target keeps an idle connection, in milliseconds."""
        for part in (_first_value(headers, KEEP_ALIVE) or b"").split(b","):
            name, _, value = part.strip().partition(b"=")
            if name.lower() == b"timeout" and value.isdigit():
                return bounded_integer(value, FIGURE_MAX) * MS_PER_S
        return DEFAULT_IDLE_MS


def _single_decimal(values: Sequence[bytes], maximum: float) -> float | None:
    """Return the only value of a field; None if it is repeated, invalid or larger."""
    if len(values) != 1 or _DECIMAL.fullmatch(values[0]) is None:
        return None
    value = float(values[0])
    return value if value <= maximum else None


def _logged_text(values: Sequence[bytes]) -> str:
    text = b", ".join(values)[:_LOGGED_BYTES_MAX].decode("latin-1")
    return text or "(empty)"


def _forwarded_fields(headers: Headers, key: str) -> Fields:
    dropped = connection_fields(headers) | _FRAMING_FIELDS | _NOT_FORWARDED_FIELDS
    secret = key.encode("latin-1")
    return tuple(
        (name, value)
        for name, value in headers
        if name not in dropped and not (secret and secret in value)
    )


def _bearer_key(value: bytes) -> str:
    scheme, _, credentials = value.strip().partition(b" ")
    return credentials.strip().decode("latin-1") if scheme.lower() == BEARER else ""


def _object_key(headers: Headers) -> str:
    """Return the object of a request; a long name is replaced by a bounded one."""
    for name, value in headers:
        if name != COOKIE:
            continue
        for pair in value.split(b";"):
            cookie, _, content = pair.strip().partition(b"=")
            if cookie == AFFINITY:
                return bounded_name(content.decode("latin-1"))
    return ""


def _first_value(headers: Headers, name: bytes) -> bytes | None:
    for field, value in headers:
        if field == name:
            return value.strip()
    return None


def _parse_integer(value: bytes | None) -> int | None:
    text = (value or b"").strip()
    return bounded_integer(text, FIGURE_MAX) if text.isdigit() else None
