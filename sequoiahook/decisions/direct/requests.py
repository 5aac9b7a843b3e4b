"""Values that describe a request, its attempts and its final answer."""

from typing import NamedTuple

from sequoiahook.decisions.direct.organisation_shares import Verdict
from sequoiahook.decisions.direct.room_wait import RoomWait
from sequoiahook.decisions.direct.target_backlog import OpenWork
from sequoiahook.decisions.direct.target_state import TargetState
from sequoiahook.decisions.exchange.target_result import Stage, TargetResult
from sequoiahook.decisions.keys import KeyName
from sequoiahook.messages.requests import Fields
from sequoiahook.world.routing import Route

__all__ = [
    "CAUSES",
    "Attempt",
    "AttemptRecord",
    "Cause",
    "CrashEvidence",
    "Deliver",
    "ForwardToPeer",
    "HandoverOutcome",
    "Hold",
    "HoldPermit",
    "HoldRoom",
    "HoldTrial",
    "IncomingRequest",
    "OpenRequest",
    "Origin",
    "Refuse",
    "Status",
]


class Status:
    """HTTP statuses of answers that the instance itself gives.

    The first three promise that the request has not run and will not run.
    """

    TOO_MANY = 429
    UNAVAILABLE = 503
    UNAUTHORIZED = 401
    NOT_FOUND = 404
    BAD_REQUEST = 400
    INTERNAL_ERROR = 500
    BAD_GATEWAY = 502
    GATEWAY_TIMEOUT = 504


class Cause:
    """Reasons why a request is refused; written to callers, logs and metrics."""

    BUDGET = "retry budget spent"
    CRASHES = "not run: targets ended each time they ran this request"
    DEADLINE = "deadline passed"
    FAILED = "target failed"
    TARGETS_FULL = "targets are full"
    TARGETS_LIMITED = "targets are at the limits that they state"
    TARGETS_RESTING = "targets have asked this instance for rest"
    NO_COMMON_REGION = "route and organisation have no region in common"
    NO_CONFIGURATION = "no configuration yet"
    NO_KEY = "key missing"
    NO_ROUTE = "no route"
    NO_TARGET = "no target"
    NO_SHARE = "share of the rate not known yet"
    OVER_SHARE = "organisation is over its share of the service"
    OVER_RATE = "organisation is over its rate"
    SHIFT_LIMIT = "shift is at its limit"
    STALE = "configuration too old to admit keys"
    STOPPING = "instance is stopping"
    SUSPECT = "targets ended under this request, and a trial is in progress"
    TOO_LATE = "no answer in time"
    UNKNOWN_KEY = "key unknown"
    UNREADABLE = "entry of the configuration not readable"
    UNREACHABLE = "no connectivity to targets, and no other instance took the request"


CAUSES = frozenset(value for name, value in vars(Cause).items() if name.isupper())
"""All causes; the reasons of failed handovers are others."""

_STATUS_BY_CAUSE = {
    Cause.UNKNOWN_KEY: Status.UNAUTHORIZED,
    Cause.CRASHES: Status.INTERNAL_ERROR,
}


class IncomingRequest(NamedTuple):
    """A complete, decoded request of a caller.

    Attributes:
        id: Request id set by the caller.
        method: HTTP method.
        host: Host header.
        target_path: Path and query.
        key: API key; empty if none.
        object_key: Key of the object that it concerns; empty if it names none.
        deadline_ms: Time that the caller waits; None if not given.
        headers: Fields to forward, without the key and the instance's own fields.
        body: Complete body.
        is_chunked: Whether the body used chunked transfer encoding.
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
    """One attempt, as it is logged.

    Attributes:
        target: Id of the target.
        region: Region of the target.
        at_ms: Start of the attempt, relative to the arrival of the request.
        expected_ms: Expected response time.
        in_flight: Requests known to be queued or running at the target.
        placed_by: What determined the region.
        stage: Stage at which the exchange ended; empty while it runs.
        status: HTTP status; 0 without an answer.
        duration_ms: Duration of the exchange.
        start_ms: Expected time until the target begins it; 0 if the service does not
            state its pace.
        work_ms: Expected time for which it runs; 0 likewise.
        report_age_ms: Age of the target's last report of its load; -1 without one.
    """

    target: str
    region: str
    at_ms: int
    expected_ms: int
    in_flight: int
    placed_by: str = ""
    stage: str = ""
    status: int = 0
    duration_ms: int = 0
    start_ms: int = 0
    work_ms: int = 0
    report_age_ms: int = -1


class CrashEvidence(NamedTuple):
    """Why a request is refused, as it is logged.

    Attributes:
        crashes: Known number of targets that ended under it.
        targets: Ids of these targets.
        age_ms: Time since the last one ended.
    """

    crashes: int
    targets: tuple[str, ...]
    age_ms: int


class OpenRequest:
    """An admitted request that has no final answer yet.

    Attributes:
        regions: Regions that it may run in; empty means all.
        priority: Priority of the request; 0 is the highest.
        tried_ids: Ids of the targets that it was sent to.
        run_count: Attempts that a target ran or may have run.
        arrival_count: Attempts that reached a target; after one, a retry uses budget.
        lost_count: Attempts whose connection the target ended before it had answered.
        records: All attempts, the latest last.
        last_failure: Latest failure that a target answered; delivered if no later
            attempt succeeds.
        passed_over_ids: Ids of targets without a permit for it.
        permit_until: When it stops waiting for permits, in milliseconds; None before
            the first wait.
        fingerprint: Recognises the request when it is sent again; empty until needed.
        is_trial: Whether its present attempt, or its last one, is a trial.
        trial_until: When it stops waiting for the outcome of a trial; None before the
            first wait.
        crash_evidence: Why it is refused; None unless targets ended under it.
        hold_until: When it stops waiting for a token, in milliseconds; None before the
            first wait.
        forward_count: Number of times that it was handed over to other instances.
        origin: The instance that handed it over; None if its caller is connected to
            this one.
        is_offered: Whether it is counted in the demand of its organisation.
        verdict: How it may use targets, as its organisation is over its share of a
            service that is short of capacity; None if as any other.
        room_wait: Its wait for a target with room; None before the first one.

    Args:
        incoming: Request of the caller.
        route: Route of the request.
        service: Name of the service that runs it.
        key_name: Name of its key; None if none is required.
        arrived_at: Time of arrival in milliseconds.
        deadline_at: Time in milliseconds by which the final answer is due.
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
        self.lost_count = 0
        self.records: list[AttemptRecord] = []
        self.last_failure: TargetResult | None = None
        self.passed_over_ids: set[str] = set()
        self.permit_until: int | None = None
        self.fingerprint = b""
        self.is_trial = False
        self.trial_until: int | None = None
        self.crash_evidence: CrashEvidence | None = None
        self.hold_until: int | None = None
        self.forward_count = 0
        self.origin: Origin | None = None
        self.is_offered = False
        self.verdict: Verdict | None = None
        self.room_wait: RoomWait | None = None

    @property
    def organisation(self) -> str:
        """Name of the organisation; empty if no key is required."""
        return self.key_name.organisation if self.key_name else ""

    @property
    def last_sent_at(self) -> int:
        """When the latest attempt started, in milliseconds."""
        return self.arrived_at + self.records[-1].at_ms

    @property
    def may_have_run(self) -> bool:
        """Whether a target may have run the request."""
        return self.run_count > 0


class Origin(NamedTuple):
    """Where a request that was handed over comes from.

    Attributes:
        instance: Name of the instance that its caller is connected to.
        configuration_number: Configuration by which that instance checked the key.
        region_order: Regions in the order in which that instance would use them.
        is_first: Whether no target had received the request before.
    """

    instance: str
    configuration_number: int
    region_order: tuple[str, ...]
    is_first: bool


class Attempt(NamedTuple):
    """A step that sends the request to a target.

    Attributes:
        request: The request.
        state: The target.
        in_flight: Requests known to be queued or running at the target.
        timeout_ms: Time until the request's deadline.
        open_work: Its entry in the target's backlog; None if the service does not state
            its pace.
    """

    request: OpenRequest
    state: TargetState
    in_flight: int
    timeout_ms: int
    open_work: OpenWork | None = None


class Deliver(NamedTuple):
    """A final step that returns a target's answer to the caller unchanged."""

    result: TargetResult


class ForwardToPeer(NamedTuple):
    """A step that hands the request over to another instance.

    Attributes:
        request: The request.
        candidates: Names of the instances that may run it, best first.
        region_order: Regions in which it may run, by preference.
        timeout_ms: Time until the request's deadline.
    """

    request: OpenRequest
    candidates: tuple[str, ...]
    region_order: tuple[str, ...]
    timeout_ms: int


class HandoverOutcome(NamedTuple):
    """The result of a request that was handed over.

    Attributes:
        peer: Name of the last instance that it was handed over to; empty if none.
        ran: ``ran``, ``not run`` or ``unknown``.
        status: HTTP status of the target's answer; 0 without one.
        headers: Header fields of the answer.
        body: Complete body of the answer.
        cause: Reason for a missing answer; empty if there is one.
        retry_after_ms: Time after which to retry; 0 if not given.
    """

    peer: str
    ran: str
    status: int = 0
    headers: Fields = ()
    body: bytes = b""
    cause: str = ""
    retry_after_ms: int = 0

    def refusal(self) -> "Refuse":
        """Return the refusal of a request that another instance refused to run."""
        status = _STATUS_BY_CAUSE.get(self.cause, Status.UNAVAILABLE)
        return Refuse(status, self.cause, self.retry_after_ms)


class Hold(NamedTuple):
    """A step that waits for a token of the request's organisation.

    Attributes:
        organisation: Name of the organisation.
        max_wait_ms: Longest wait.
    """

    organisation: str
    max_wait_ms: int


class HoldPermit(NamedTuple):
    """A step that waits for a permit of a target that states a limit.

    Attributes:
        target: Id of the target.
        max_wait_ms: Longest wait.
    """

    target: str
    max_wait_ms: int


class HoldTrial(NamedTuple):
    """A step that waits for the outcome of another attempt of the same request.

    Attributes:
        max_wait_ms: Time after which to decide again.
    """

    max_wait_ms: int


class HoldRoom(NamedTuple):
    """A step that waits until a target has room for the request.

    Attributes:
        service: Name of the service.
        max_wait_ms: Time after which to decide again.
    """

    service: str
    max_wait_ms: int


class Refuse(NamedTuple):
    """A final step that refuses the request with an answer of the instance itself.

    Attributes:
        status: HTTP status.
        cause: Reason; one of `Cause`.
        retry_after_ms: Time after which to retry; 0 if a retry would not help.
        stage: Stage at which the last attempt ended; None without one.
    """

    status: int
    cause: str
    retry_after_ms: int = 0
    stage: Stage | None = None
