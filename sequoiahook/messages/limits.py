"""Datagrams about the limits that targets state on the requests of all instances.

Reports are repeated while a limit is known, so that a lost one is superseded by the
next. A lost request, grant or denial costs permits or a short wait.
"""

from typing import NamedTuple

__all__ = [
    "LimitBody",
    "LimitReport",
    "LimitStatement",
    "PermitDenial",
    "PermitGrant",
    "PermitRequest",
]


class LimitStatement(NamedTuple):
    """What a target last stated about the requests that it accepts.

    Attributes:
        started_at: Start of the target, which distinguishes its runs.
        milli_per_s: Requests a second, in thousandths; negative if it states no limit.
        age_ms: Time since the answer that stated it, in milliseconds.
    """

    started_at: int
    milli_per_s: int
    age_ms: int


class LimitReport(NamedTuple):
    """The known limits of the targets of one region.

    Attributes:
        region: Region of the targets.
        is_delegation: Whether the sender also delegates its part of these limits to the
            receiver.
        statement_by_target: Known statement of each target.
    """

    region: str
    is_delegation: bool
    statement_by_target: dict[str, LimitStatement]


class PermitRequest(NamedTuple):
    """Request for permits to send to a target.

    Attributes:
        target: Id of the target.
        count: Number of permits.
        statement: Statement of the target that the sender knows.
    """

    target: str
    count: int
    statement: LimitStatement


class PermitGrant(NamedTuple):
    """Permits to send requests to a target, each for one request and a short time.

    Attributes:
        target: Id of the target.
        count: Number of permits; at least one.
    """

    target: str
    count: int


class PermitDenial(NamedTuple):
    """Refusal of a permit request.

    Attributes:
        target: Id of the target.
        retry_after_ms: Time after which a permit may be available, in milliseconds.
    """

    target: str
    retry_after_ms: int


LimitBody = LimitReport | PermitRequest | PermitGrant | PermitDenial
