"""Settings of a target pool."""

from typing import NamedTuple

__all__ = ["PoolSettings"]


class PoolSettings(NamedTuple):
    """Settings of a pool; times in milliseconds.

    Attributes:
        queue_length_max: Maximum number of queued requests.
        organisation_queue_length_max: Maximum number of queued requests of one
            organisation.
        refuse_margin_ms: Minimum time between a refusal and the request's deadline.
        retry_after_min_ms: Shortest retry-after of a refusal.
        service_time_ms: Initial estimate of how long a request runs.
        overrun_ms: Time after its deadline for which a request still holds its slot,
            unless its end is reported.
        suspend_after_faults: Consecutive faults that suspend a target.
        fault_grace_ms: Time of faults without a success that suspends a target.
        suspend_initial_ms: Duration of the first suspension.
        suspend_factor: Growth from one suspension to the next without a success.
        suspend_max_ms: Longest suspension.
        leaving_report_hold_ms: Minimum time for which a target's own report that it is
            leaving stays in force.
        load_report_lifetime_ms: Time for which a load report is used.
        warm_up_initial_slots: Slots of an added target at the start of its warm-up.
    """

    queue_length_max: int = 4096
    organisation_queue_length_max: int = 512
    refuse_margin_ms: int = 20
    retry_after_min_ms: int = 100
    service_time_ms: int = 50
    overrun_ms: int = 1_000
    suspend_after_faults: int = 3
    fault_grace_ms: int = 1_000
    suspend_initial_ms: int = 500
    suspend_factor: float = 2.0
    suspend_max_ms: int = 30_000
    leaving_report_hold_ms: int = 30_000
    load_report_lifetime_ms: int = 3_000
    warm_up_initial_slots: int = 1
