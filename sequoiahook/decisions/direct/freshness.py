"""Until when the configuration in force may still admit keys.

A key may be withdrawn at any time after the moment for which the platform last said
which configuration is the newest. A request with a key therefore runs only for a
limited time after that moment, whether or not the platform can be reached.
"""

from typing import NamedTuple

__all__ = ["Freshness", "FreshnessSettings"]


class FreshnessSettings(NamedTuple):
    """Bounds on the age of what an instance knows.

    Attributes:
        withdrawal_ms: Time after which a withdrawn key must not work anywhere.
        margin_ms: Kept back for events that a watch of the platform delivers late and
            for the way to the target.
    """

    withdrawal_ms: int = 5_000
    margin_ms: int = 1_100


class Freshness:
    """The moment for which the configuration in force is known to be the newest.

    Times are readings of a clock that goes on while the machine is suspended.

    Args:
        settings: The bounds.
    """

    def __init__(self, settings: FreshnessSettings):
        self.settings = settings
        self._confirmed_at: int | None = None

    def confirm(self, asked_at: int) -> None:
        """Note that an answer to a call made at a time named no newer configuration."""
        if self._confirmed_at is None or asked_at > self._confirmed_at:
            self._confirmed_at = asked_at

    def age_ms(self, now: int) -> int | None:
        """Return the age of the last confirmation; None if there is none."""
        return None if self._confirmed_at is None else now - self._confirmed_at

    def allows_keys(self, now: int) -> bool:
        """Return whether a request with a key may be sent to a target now."""
        age_ms = self.age_ms(now)
        if age_ms is None:
            return False
        return age_ms <= self.settings.withdrawal_ms - self.settings.margin_ms
