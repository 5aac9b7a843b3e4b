"""Settings of look-up."""

from typing import NamedTuple

__all__ = ["LookupSettings"]


class LookupSettings(NamedTuple):
    """What callers are told.

    Attributes:
        lifetime_ms: Longest time for which a caller may use an answer.
        lifetime_jitter_ms: Answers live up to this much less, so that callers do not
            come back together.
        lifetime_empty_ms: Lifetime of an answer without any instance.
        instances_near: Instances of the nearest data centre in an answer.
        data_centres_far: Further data centres in an answer, one instance each.
        load_factor_percent: How far the answers that name an instance first may
            exceed the average of its data centre.
        load_window_ms: Time after which half of a counted answer is forgotten.
        data_centres: All data centres in the order for callers that no block holds.
    """

    lifetime_ms: int = 10_000
    lifetime_jitter_ms: int = 2000
    lifetime_empty_ms: int = 1000
    instances_near: int = 3
    data_centres_far: int = 2
    load_factor_percent: int = 125
    load_window_ms: int = 10_000
    data_centres: tuple[str, ...] = ()
