"""Typed values of a request on its way through one instance, and of its end."""

from typing import NamedTuple

from sequoiahook.decisions.direct.target_state import TargetState
from sequoiahook.decisions.exchange.target_result import Stage, TargetResult
from sequoiahook.decisions.keys import KeyName
from sequoiahook.messages.requests import Fields
from sequoiahook.world.routing import Route

__all__ = [
    "Attempt",
    "AttemptRecord",
    "Cause",
    "Deliver",
    "Hold",
    "IncomingRequest",
    "OpenRequest",
    "Refuse",
    "Status",
]


class Status:
    """HTTP statuses of own answers.

    The first three say that the request has not run and will not run.
    """

    TOO_MANY = 429
    UNAVAILABLE = 503
    UNAUTHORIZED = 401
    NOT_FOUND = 404
    BAD_REQUEST = 400
    BAD_GATEWAY = 502
    GATEWAY_TIMEOUT = 504


class Cause:
    """Why a request has no answer of a target."""

    BUDGET = "retry budget spent"
    DEADLINE = "deadline passed"
    FAILED = "target failed"
    FULL = "targets are full"
    HOMELESS = "route and organisation have no region in common"
    NO_CONFIGURATION = "no configuration yet"
    NO_KEY = "key missing"
    NO_ROUTE = "no route"
    NO_TARGET = "no target"
    NO_SHARE = "share of the rate not known yet"
    OVER_RATE = "organisation is over its rate"
    SHIFT = "shift is at its limit"
    STALE = "configuration too old to admit keys"
    STOPPING = "instance is stopping"
    TOO_LATE = "no answer in time"
    UNKNOWN_KEY = "key unknown"


class IncomingRequest(NamedTuple):
    """A whole request of a caller, decoded.

    Attributes:
        id: The caller's id of this request.
        method: HTTP method.
        host: Host that the caller names.
        target_path: Path and query.
        key: The key that it shows; empty if none.
        object_key: The object that it concerns; empty if it names none.
        deadline_ms: How long the caller waits; None if it does not say.
        headers: Fields that go on to the target, without key and own fields.
        body: Whole body.
        is_chunked: Whether the body came in chunks.
    """

    id: str
    method: str
    host: str
    target_path: str
    key: str
    object_key: str
    deadline_ms: int | None
    headers: Fields
    body: bytes
    is_chunked: bool = False


class AttemptRecord(NamedTuple):
    """One attempt, for the log.

    Attributes:
        target: Id of the target.
        region: Region of the target.
        at_ms: When it began, counted from the arrival of the request.
        expected_ms: Time until the answer that was expected.
        in_flight: Requests that the target was known to have.
        stage: How far it got; empty while it runs.
        status: Status of the answer; 0 if none came.
        duration_ms: How long it took.
    """

    target: str
    region: str
    at_ms: int
    expected_ms: int
    in_flight: int
    stage: str = ""
    status: int = 0
    duration_ms: int = 0


class OpenRequest:
    """A request that was admitted and has no final answer yet.

    Args:
        incoming: The request.
        route: Its route.
        service: Name of the service that runs it.
        key_name: The key that it shows; None on open routes.
        arrived_at: When it arrived.
        deadline_at: When its final answer is due.
    """

    def __init__(
        self,
        incoming: IncomingRequest,
        route: Route,
        service: str,
        key_name: KeyName | None,
        arrived_at: int,
        deadline_at: int,
    ):
        self.incoming = incoming
        self.route = route
        self.service = service
        self.key_name = key_name
        self.arrived_at = arrived_at
        self.deadline_at = deadline_at
        self.regions: tuple[str, ...] = ()
        self.priority = route.priority
        self.tried_ids: set[str] = set()
        self.run_count = 0
        self.arrival_count = 0
        self.records: list[AttemptRecord] = []
        self.last_failure: TargetResult | None = None
        self.hold_until: int | None = None

    @property
    def organisation(self) -> str:
        """Name of the organisation; empty on open routes."""
        return self.key_name.organisation if self.key_name else ""

    @property
    def may_have_run(self) -> bool:
        """Whether a target may have run the request."""
        return self.run_count > 0


class Attempt(NamedTuple):
    """One sending of a request to one target.

    Attributes:
        request: The request.
        state: The target.
        in_flight: Requests that the target was known to have.
        timeout_ms: Time until the request's deadline.
    """

    request: OpenRequest
    state: TargetState
    in_flight: int
    timeout_ms: int


class Deliver(NamedTuple):
    """A target's answer goes to the caller unchanged."""

    result: TargetResult


class Hold(NamedTuple):
    """The request waits for a token of its organisation.

    Attributes:
        organisation: Whose token.
        longest_ms: How long it waits at most.
    """

    organisation: str
    longest_ms: int


class Refuse(NamedTuple):
    """The caller gets an answer of the instance itself.

    Attributes:
        status: HTTP status.
        cause: Why.
        retry_after_ms: When to come back; 0 if coming back is of no use.
        stage: How far the last attempt got; None without one.
    """

    status: int
    cause: str
    retry_after_ms: int = 0
    stage: Stage | None = None
