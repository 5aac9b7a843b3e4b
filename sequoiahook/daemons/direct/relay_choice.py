"""Choice of the peer through which an instance reads the platform's store."""

from typing import Protocol

from sequoiahook.clock import Clock
from sequoiahook.decisions.direct.core import DirectCore
from sequoiahook.world.instance import LiveInstance

__all__ = ["CoreRelayChoice", "RelayChoice"]


class RelayChoice(Protocol):
    """Decides through which peer an instance reads the store, and from when alone."""

    def peer(self) -> LiveInstance | None:
        """Return the peer to read from; None to call the store itself."""

    def avoid(self, name: str) -> None:
        """Stop using an instance that did not answer for a while."""

    def rank(self) -> int:
        """Return how many instances of the region rank before this one."""

    def has_all_reports(self) -> bool:
        """Return whether all peers that report to this instance have done so."""

    def awaits_peers(self) -> bool:
        """Return whether only peers of the region have a configuration."""

    def leads_region(self) -> bool:
        """Return whether all others of the region report and rank after this one."""


class CoreRelayChoice:
    """Choice by the decisions of an instance.

    Args:
        core: The decisions.
        clock: The clock.
    """

    def __init__(self, core: DirectCore, clock: Clock):
        self._core = core
        self._clock = clock

    def peer(self) -> LiveInstance | None:
        """Return the peer to read from; None to call the store itself."""
        return self._core.relay_peer(self._clock.now())

    def avoid(self, name: str) -> None:
        """Stop using an instance that did not answer for a while."""
        self._core.avoid_relay(name, self._clock.now())

    def rank(self) -> int:
        """Return how many instances of the region rank before this one."""
        return self._core.relay_rank(self._clock.now())

    def has_all_reports(self) -> bool:
        """Return whether all peers that report to this instance have done so."""
        return self._core.has_all_reports(self._clock.now())

    def awaits_peers(self) -> bool:
        """Return whether only peers of the region have a configuration."""
        return self._core.awaits_peers(self._clock.now())

    def leads_region(self) -> bool:
        """Return whether all others of the region report and rank after this one."""
        return self._core.leads_region(self._clock.now())
