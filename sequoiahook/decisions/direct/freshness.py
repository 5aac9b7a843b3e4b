"""Time limit up to which the configuration in force may admit keys.

A key may be withdrawn at any time after the platform last confirmed that the
configuration in force is the newest. A request with a key therefore runs only for a
limited time after that confirmation, whether or not the platform can be reached.
"""

from typing import NamedTuple

__all__ = ["Freshness", "FreshnessSettings"]


class FreshnessSettings(NamedTuple):
    """Bounds on the age of the configuration.

    Attributes:
        withdrawal_ms: Time after which a withdrawn key must not work anywhere.
        margin_ms: Reserve for events that a watch of the platform delivers late and for
            the transmission to the target.
    """

    withdrawal_ms: int = 5_000
    margin_ms: int = 1_100


class Freshness:
    """Last time at which the configuration in force is known to have been the newest.

    Times are readings, in milliseconds, of a clock that includes system suspension.

    Args:
        settings: The bounds.
    """

    def __init__(self, settings: FreshnessSettings):
        self.settings = settings
        self._confirmed_at: int | None = None

    def confirm(self, requested_at: int) -> None:
        """Record that a call made at that time returned no newer configuration."""
        if self._confirmed_at is None or requested_at > self._confirmed_at:
            self._confirmed_at = requested_at

    def age_ms(self, now: int) -> int | None:
        """Return the time since the last confirmation; None if there is none."""
        return None if self._confirmed_at is None else now - self._confirmed_at

    def allows_keys(self, now: int) -> bool:
        """Return whether a request with a key may be sent to a target now."""
        age_ms = self.age_ms(now)
        if age_ms is None:
            return False
        return age_ms <= self.settings.withdrawal_ms - self.settings.margin_ms
