"""Messages about pools: load summaries for placement, credit and handovers."""

from typing import NamedTuple

from sequoiahook.messages.base import message

__all__ = ["CreditAsk", "CreditGrant", "HandedRun", "PoolHandover", "PoolSummary"]


@message
class PoolSummary(NamedTuple):
    """Load summary of a pool by its owner; a hint, never a permission.

    Lost: the receiver uses an older summary until that is stale. Repeated or reordered:
    of one owner the highest sequence counts, between owners the younger summary.
    Delayed: its age includes the known time since it was made.

    Attributes:
        service: Name of the service.
        data_centre: Name of the data centre of the pool.
        owner: Name of the instance that owns the pool.
        incarnation: Incarnation of the owner.
        sequence: Grows with each summary of this incarnation.
        age_ms: Age of the summary as known to the sender, in milliseconds.
        free_slots: Number of requests that could start immediately.
        capacity: Number of requests that may run concurrently.
        wait_ms: Expected wait of a new request, in milliseconds; -1 if none can start.
        target_count: Number of targets that accept new requests.
        service_time_ms: Run time of a request, in milliseconds.
    """

    service: str
    data_centre: str
    owner: str
    incarnation: int
    sequence: int
    age_ms: int
    free_slots: int
    capacity: int
    wait_ms: int
    target_count: int
    service_time_ms: int


@message
class CreditAsk(NamedTuple):
    """Requests credit from the owner of a pool for sending requests to it.

    Lost: the borrower sends another one with a new id. Repeated: the lender repeats the
    grant that it made for the id. Reordered: ids are independent of each other.
    Delayed: the remaining lease is shorter, since the borrower counts it from the
    sending of this message.

    Attributes:
        service: Name of the service.
        data_centre: Data centre of the pool.
        borrower: Name of the requesting instance.
        incarnation: Incarnation of the borrower.
        ask_id: Id of this message; grows within the incarnation.
        wanted: Number of requests that the borrower wants to send.
    """

    service: str
    data_centre: str
    borrower: str
    incarnation: int
    ask_id: int
    wanted: int


@message
class CreditGrant(NamedTuple):
    """Grants credit for a pool; each unit permits sending one request once.

    The lender counts the units before it sends this. Lost: the units lapse unused.
    Repeated: the borrower applies the grant of an ask id once. Reordered: ids are
    independent of each other. Delayed: ignored after the lease, which counts from the
    CreditAsk on the borrower's clock and from the grant on the lender's.

    Attributes:
        service: Name of the service.
        data_centre: Data centre of the pool.
        lender: Name of the granting instance.
        lender_incarnation: Incarnation of the lender.
        incarnation: Incarnation of the borrower.
        ask_id: Id of the CreditAsk that this answers.
        grant_id: Id of the grant, unique within the lender's incarnation.
        count: Number of requests that may be sent; 0 for a refusal.
        lease_ms: Lifetime of the credit, in milliseconds.
    """

    service: str
    data_centre: str
    lender: str
    lender_incarnation: int
    incarnation: int
    ask_id: int
    grant_id: int
    count: int
    lease_ms: int


class HandedRun(NamedTuple):
    """A request of a previous owner that still occupies a slot.

    Attributes:
        host: IP address of the target.
        port: TCP port of the target.
        left_ms: Longest remaining run time, in milliseconds.
    """

    host: str
    port: int
    left_ms: int


@message
class PoolHandover(NamedTuple):
    """Reports the running requests of a former pool owner to its successor.

    It is sent again as requests end. Lost: the successor uses the preceding one, or
    waits until the deadlines of all requests have passed. Repeated or reordered:
    ignored unless the sequence is higher. Delayed: it lists requests that have ended
    since. One for another view is ignored.

    Attributes:
        service: Name of the service.
        data_centre: Data centre of the pool.
        view_number: Number of the view that makes the successor the owner.
        sequence: Number of the message; grows within the view.
        blocked_ms: Longest remaining run time of unknown requests of an earlier owner,
            in milliseconds.
        runs: Requests that still run for the sender.
    """

    service: str
    data_centre: str
    view_number: int
    sequence: int
    blocked_ms: int
    runs: tuple[HandedRun, ...]
