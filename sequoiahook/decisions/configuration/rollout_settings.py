"""Settings of the way of a configuration to every instance."""

from typing import NamedTuple

from sequoiahook.decisions.configuration.watching import WatchDutySettings

__all__ = ["RolloutSettings"]


class RolloutSettings(NamedTuple):
    """Settings of a configuration holder.

    Attributes:
        duty: Which instances watch the platform.
        compare_interval_ms: Time between two comparisons of numbers.
        reply_every: A watcher asks for a reply in each so-many-th comparison.
        links_per_pair: Links between two data centres that compare numbers.
        boot_wait_ms: How long a new instance waits for the numbers of its peers
            before it takes the highest.
        watch_wait_ms: How long the platform holds a watch.
        watch_pause_ms: Shortest time between the starts of two watches.
        watch_retry_ms: Longest pause after a watch that failed.
        call_timeout_ms: When a platform call, beyond the wait of a watch, is given up.
        request_timeout_ms: When a request to an instance is given up.
        hopeless_ms: When a root is dropped for which no piece has come.
        status_interval_ms: Shortest time between two writes of the status.
        forget_ms: When a silent instance leaves the status.
        push_bytes_max: Most bytes of pieces in one message.
        push_again_ms: When a push that is not acknowledged is repeated.
        push_again_max: How often it is repeated.
    """

    duty: WatchDutySettings = WatchDutySettings()
    compare_interval_ms: int = 1000
    reply_every: int = 5
    links_per_pair: int = 3
    boot_wait_ms: int = 1000
    watch_wait_ms: int = 1500
    watch_pause_ms: int = 200
    watch_retry_ms: int = 1000
    call_timeout_ms: int = 500
    request_timeout_ms: int = 250
    hopeless_ms: int = 2000
    status_interval_ms: int = 2000
    forget_ms: int = 15_000
    push_bytes_max: int = 262_144
    push_again_ms: int = 300
    push_again_max: int = 3
