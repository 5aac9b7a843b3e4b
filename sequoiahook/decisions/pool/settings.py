"""Settings of a pool."""

from typing import NamedTuple

__all__ = ["PoolSettings"]


class PoolSettings(NamedTuple):
    """Settings of a pool; times in milliseconds.

    Attributes:
        queue_length_max: Most queued requests.
        organisation_queue_length_max: Most queued requests of one organisation.
        refuse_margin_ms: Refusals leave this long before the request's deadline.
        retry_after_min_ms: Least time that a refused caller is told to wait.
        service_time_ms: First guess of how long a request runs.
        overrun_ms: A run counts against its target for this long after its deadline,
            unless its end is reported before.
        suspend_after_faults: Faults in a row that suspend a target.
        grace_ms: Longest time of faults without a success before suspension.
        suspend_initial_ms: First suspension.
        suspend_factor: Growth from one suspension to the next without a success.
        suspend_max_ms: Longest suspension.
        leaving_word_ms: A target's word that it leaves holds at least this long.
        load_report_ms: How long a load report counts.
        warm_up_slots: Slots that an added target has at first.
    """

    queue_length_max: int = 4096
    organisation_queue_length_max: int = 512
    refuse_margin_ms: int = 20
    retry_after_min_ms: int = 100
    service_time_ms: int = 50
    overrun_ms: int = 1_000
    suspend_after_faults: int = 3
    grace_ms: int = 1_000
    suspend_initial_ms: int = 500
    suspend_factor: float = 2.0
    suspend_max_ms: int = 30_000
    leaving_word_ms: int = 30_000
    load_report_ms: int = 3_000
    warm_up_slots: int = 1
