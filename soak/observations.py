"""Records of what callers, targets and operators observed in one run.

All times are in seconds. All processes run on one machine, so readings of its
monotonic clock can be compared.
"""

from typing import NamedTuple

__all__ = [
    "Arrival",
    "CutInterval",
    "FaultInterval",
    "InstanceExit",
    "LimitInterval",
    "Observations",
    "SentRequest",
    "TargetRun",
]


class SentRequest(NamedTuple):
    """A request and its outcome as seen by the caller.

    Attributes:
        id: Request id.
        path: Request path; unique to this request.
        is_idempotent: Whether the request may run more than once.
        key: The key that the caller presented; empty if none.
        instance: The instance that the request was sent to.
        sent_at: When the last byte was written to the socket.
        ended_at: When the response was complete or the caller gave up.
        status: HTTP status; 0 without a complete response.
        error: ``""``, ``connect``, ``cut``, ``timeout``, or ``unread`` if it was sent
            behind an answer that closes the connection.
        response_id: Request id in the response.
        stamp: The target's stamp in the response; empty if an instance responded.
        body: Response body.
        is_reused: Whether the connection had carried a request before.
    """

    id: str
    path: str
    is_idempotent: bool
    key: str
    instance: str
    sent_at: float
    ended_at: float
    status: int = 0
    error: str = ""
    response_id: str = ""
    stamp: str = ""
    body: str = ""
    is_reused: bool = False


class TargetRun(NamedTuple):
    """A request that a target began to run; the fields of a line in its run log."""

    id: str
    target: str
    at: float
    method: str
    path: str
    organisation: str
    bytes: int
    has_key: bool


class Arrival(NamedTuple):
    """A request that arrived at a target, whether or not it ran.

    Attributes:
        id: Request id.
        target: Id of the target.
        at: When it arrived.
        rest: Time in seconds for which its answer asked for rest; empty for none.
        is_leaving: Whether its answer stated that the target leaves.
    """

    id: str
    target: str
    at: float
    rest: str
    is_leaving: bool


class FaultInterval(NamedTuple):
    """A period in which a fault affected one instance or all of them.

    Attributes:
        instance: Name of the instance; empty for all instances.
        started_at: When the fault began.
        ended_at: When the fault ended.
        is_planned: Whether it was planned work.
        is_target_fault: Whether it affected a target. Such a fault does not exempt
            instances from any time limit.
    """

    instance: str
    started_at: float
    ended_at: float
    is_planned: bool
    is_target_fault: bool = False


class LimitInterval(NamedTuple):
    """A period in which a target stated a limit on the requests of all instances.

    Attributes:
        target: Id of the target.
        per_s: The limit, in requests a second.
        started_at: When it began to state it.
        ended_at: When it stopped.
    """

    target: str
    per_s: float
    started_at: float
    ended_at: float


class CutInterval(NamedTuple):
    """A period in which instances had lost connectivity to all targets.

    Attributes:
        instances: Names of the instances.
        started_at: When it began.
        ended_at: When it ended.
    """

    instances: tuple[str, ...]
    started_at: float
    ended_at: float


class InstanceExit(NamedTuple):
    """The exit of an instance after a planned stop without any other fault."""

    instance: str
    exit_code: int
    duration_s: float


class Observations(NamedTuple):
    """Everything recorded in a run.

    Attributes:
        requests: All requests of callers.
        runs: All requests that targets began to run.
        organisation_by_key: Organisation of each key that a configuration ever held.
        rate_limit_by_organisation: Rate per second and burst of each organisation.
        withdrawn_at_by_key: When the store accepted the configuration without a key.
        removed_at_by_prefix: When the store accepted the configuration without a
            route.
        draining_at_by_target: When the store accepted the entry that marks a target
            as draining.
        data_centre_by_target: Data centre of each target.
        evacuations: Data centre, start and end of each evacuation.
        fault_intervals: Periods affected by faults.
        exits: Planned stops.
        recovery_failures: Descriptions of what failed after the last fault.
        limits: Periods in which targets stated limits.
        crash_times_by_path: When targets ended under the requests of a path.
        cuts: Periods in which instances had lost connectivity to all targets.
        arrivals: All requests that arrived at targets.
        added_at_by_prefix: When the store accepted the configuration with a new route.
    """

    requests: tuple[SentRequest, ...]
    runs: tuple[TargetRun, ...]
    organisation_by_key: dict[str, str]
    rate_limit_by_organisation: dict[str, tuple[int, int]]
    withdrawn_at_by_key: dict[str, float]
    removed_at_by_prefix: dict[str, float]
    draining_at_by_target: dict[str, float]
    data_centre_by_target: dict[str, str]
    evacuations: tuple[tuple[str, float, float], ...]
    fault_intervals: tuple[FaultInterval, ...]
    exits: tuple[InstanceExit, ...]
    recovery_failures: tuple[str, ...] = ()
    limits: tuple[LimitInterval, ...] = ()
    crash_times_by_path: dict[str, list[float]] = {}
    cuts: tuple[CutInterval, ...] = ()
    arrivals: tuple[Arrival, ...] = ()
    added_at_by_prefix: dict[str, float] = {}
