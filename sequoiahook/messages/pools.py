"""Messages about pools: summaries for the choice of a place, and credit."""

from typing import NamedTuple

from sequoiahook.messages.base import message

__all__ = ["CreditAsk", "CreditGrant", "HandedRun", "PoolHandover", "PoolSummary"]


@message
class PoolSummary(NamedTuple):
    """What a pool's owner says of the pool; a hint, never a permission.

    Lost: the receiver goes on with an older one until it counts as stale. Repeated or
    out of order: the lower sequence of one owner is ignored; between owners the younger
    one counts. Delayed: its age is counted from when it was made as far as is known.

    Attributes:
        service: Name of the service.
        data_centre: Name of the data centre of the pool.
        owner: Name of the instance that owns the pool.
        incarnation: Incarnation of the owner.
        sequence: Grows with each summary of this incarnation.
        age_ms: How long ago the owner made it, as known to the sender.
        free_slots: How many requests could start at once.
        capacity: How many requests may run together.
        wait_ms: How long a new request would wait; -1 if nothing can start.
        target_count: Targets that take new work.
        service_time_ms: How long a request runs.
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
    """A borrower asks a pool's owner for credit to send it requests.

    Lost: the borrower asks again with a new id. Repeated: the lender answers with the
    grant that it made for the id and grants nothing more. Out of order: each id stands
    for itself. Delayed: a grant made late is worth less, since the borrower counts its
    lease from when it asked.

    Attributes:
        service: Name of the service.
        data_centre: Data centre of the pool.
        borrower: Name of the instance that asks.
        incarnation: Incarnation of the borrower.
        ask_id: Grows with each ask of this incarnation.
        wanted: How many requests it would like to send.
    """

    service: str
    data_centre: str
    borrower: str
    incarnation: int
    ask_id: int
    wanted: int


@message
class CreditGrant(NamedTuple):
    """A pool's owner grants credit: each unit lets one request be sent, once.

    The lender has counted the units before it sends this. Lost: the units lapse unused.
    Repeated: the borrower knows the ask and takes it once. Out of order: each ask
    stands for itself. Delayed: past the lease it is worth nothing, as the lease counts
    from the ask on the borrower's clock, and from the grant on the lender's.

    Attributes:
        service: Name of the service.
        data_centre: Data centre of the pool.
        lender: Name of the instance that grants.
        lender_incarnation: Incarnation of the lender.
        incarnation: Incarnation of the borrower, as in the ask.
        ask_id: As in the ask.
        grant_id: Names the grant among all of this incarnation of the lender.
        count: How many requests may be sent; 0 refuses.
        lease_ms: How long the credit lives.
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
    """Work of a previous owner that still holds a slot.

    Attributes:
        host: IP number of the target.
        port: Port of the target.
        left_ms: How long it may still run.
    """

    host: str
    port: int
    left_ms: int


@message
class PoolHandover(NamedTuple):
    """A pool's owner has stopped, and tells its successor what still runs.

    It is sent again as runs end. Lost: the successor counts on with the one before, or
    waits until everything has ended by its deadline. Repeated or out of order: a
    sequence that is not higher is ignored. Delayed: it names more than still runs. One
    of another view is ignored.

    Attributes:
        service: Name of the service.
        data_centre: Data centre of the pool.
        view_number: The view by which the successor owns the pool.
        sequence: Grows with each one for this view.
        blocked_ms: How long unknown work of an earlier owner may still run.
        runs: What runs for the sender.
    """

    service: str
    data_centre: str
    view_number: int
    sequence: int
    blocked_ms: int
    runs: tuple[HandedRun, ...]
