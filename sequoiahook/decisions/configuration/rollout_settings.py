"""Settings of the distribution of configurations to all instances."""

from typing import NamedTuple

from sequoiahook.decisions.configuration.watcher_election import WatcherElectionSettings

__all__ = ["RolloutSettings"]


class RolloutSettings(NamedTuple):
    """Settings of a configuration replica.

    Attributes:
        watcher_election: Choice of the instances that watch the platform.
        compare_interval_ms: Longest time between two comparisons of numbers; jitter
            shortens it by up to a quarter.
        reply_every: Number of comparisons of which one requests replies.
        links_per_pair: Links over which two data centres compare numbers.
        boot_wait_ms: Max wait of a new instance for the numbers of its peers, before
            it applies the highest.
        watch_wait_ms: Time for which the platform holds a watch open.
        watch_pause_ms: Shortest time between the starts of two watches.
        watch_retry_ms: Longest pause after a failed watch.
        call_timeout_ms: Timeout of a platform call; for a watch, on top of
            ``watch_wait_ms``.
        request_timeout_ms: Timeout of a piece request to an instance.
        stall_timeout_ms: Time without a new piece after which a root is abandoned.
        status_interval_ms: Shortest time between two writes of the status.
        status_expiry_ms: Time without a report after which an instance is removed
            from the status.
        push_bytes_max: Most bytes of pieces in one message; a single larger piece
            is sent alone.
        push_retry_ms: Time after which an unacknowledged push is repeated.
        push_retries_max: Most repetitions of a push.
    """

    watcher_election: WatcherElectionSettings = WatcherElectionSettings()
    compare_interval_ms: int = 1000
    reply_every: int = 5
    links_per_pair: int = 3
    boot_wait_ms: int = 1000
    watch_wait_ms: int = 1500
    watch_pause_ms: int = 200
    watch_retry_ms: int = 1000
    call_timeout_ms: int = 500
    request_timeout_ms: int = 250
    stall_timeout_ms: int = 2000
    status_interval_ms: int = 2000
    status_expiry_ms: int = 15_000
    push_bytes_max: int = 262_144
    push_retry_ms: int = 300
    push_retries_max: int = 3
