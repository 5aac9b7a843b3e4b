"""Settings of look-ups."""

from typing import NamedTuple

__all__ = ["LookupSettings"]


class LookupSettings(NamedTuple):
    """Size, lifetime and balancing of the answers to look-ups.

    Attributes:
        lifetime_ms: Longest lifetime of an answer.
        lifetime_jitter_ms: Upper bound of the random reduction of a lifetime, which
            keeps callers from returning all at once.
        lifetime_empty_ms: Lifetime of an answer without instances.
        nearest_instances_max: Most instances of the nearest data centre in an answer.
        further_data_centres_max: Most further data centres in an answer, with one
            instance each.
        load_factor_percent: Highest number of answers that list one instance first, in
            percent of the average of its data centre.
        load_half_life_ms: Time after which counts of answers are halved.
        data_centres: All data centres, in order of preference for callers outside all
            blocks.
    """

    lifetime_ms: int = 10_000
    lifetime_jitter_ms: int = 2000
    lifetime_empty_ms: int = 1000
    nearest_instances_max: int = 3
    further_data_centres_max: int = 2
    load_factor_percent: int = 125
    load_half_life_ms: int = 10_000
    data_centres: tuple[str, ...] = ()
