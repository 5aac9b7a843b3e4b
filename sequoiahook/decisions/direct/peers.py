"""The other instances of the fleet, their last reports, and addresses for callers."""

from collections import Counter
from collections.abc import Mapping
from typing import NamedTuple

from sequoiahook.messages.reports import (
    Datagram,
    PeerState,
    TokenDenial,
    TokenGrant,
    TokenRequest,
)
from sequoiahook.messages.shares import ShareDemand, ShareRatios
from sequoiahook.world.instance import Address, LiveInstance

__all__ = ["PeerSettings", "Peers"]

ADDRESSES_MAX = 64
"""Most addresses in one look-up answer."""

NEAR_ADDRESSES_MIN = 2
"""Callers of a region with fewer usable instances get those of all regions."""

LATE_MAX = 256
"""Sequence numbers by which a message may be late. A sender numbers its datagrams
to all receivers together, and a leader sends a few hundred a second."""

_ALL_RECEIVED = (1 << LATE_MAX) - 1
_NOT_SUPERSEDED = (TokenRequest, TokenGrant, TokenDenial, ShareDemand, ShareRatios)
"""Messages of which a later one does not contain what an earlier one states."""

DATA_CENTRE_ADDRESSES_MIN = 4
"""Callers of a data centre with fewer usable instances get those of its region."""

DATA_CENTRE_SIZE_RATIO_MIN = 1 / 3
"""Callers of a data centre with fewer usable instances than this ratio of the average
of the region's others get those of the region, as they would overload them."""


class PeerSettings(NamedTuple):
    """Time limits on missing reports.

    Attributes:
        unresponsive_after_ms: Time without a report after which callers no longer get
            the address of a peer.
    """

    unresponsive_after_ms: int = 2_500


class _DatagramPosition(NamedTuple):
    """Position in a peer's datagrams.

    Attributes:
        incarnation: Incarnation of the peer.
        sequence: Last sequence number.
        received: Bit i tells whether the one that is i before the last was received;
            those before the first are taken for received.
    """

    incarnation: int
    sequence: int
    received: int

    def with_newer(self, sequence: int) -> "_DatagramPosition":
        skipped = min(sequence - self.sequence, LATE_MAX)
        received = (self.received << skipped | 1) & _ALL_RECEIVED
        return self._replace(sequence=sequence, received=received)

    def with_late(self, sequence: int) -> "_DatagramPosition | None":
        """Return the position after a late datagram; None if it was received before."""
        bit = 1 << min(self.sequence - sequence, LATE_MAX)
        if bit > _ALL_RECEIVED or self.received & bit:
            return None
        return self._replace(received=self.received | bit)


class _PeerReport(NamedTuple):
    state: PeerState
    received_at: int


class Peers:
    """The peers that the platform lists, with their last reports.

    Attributes:
        instances_by_name: Listed instances other than this one.

    Args:
        settings: Time limits on missing reports.
        me: This instance.
        now: The time in milliseconds.
    """

    def __init__(self, settings: PeerSettings, me: LiveInstance, now: int):
        self.instances_by_name: dict[str, LiveInstance] = {}
        self._settings = settings
        self._me = me
        self._near_names: list[str] = []
        self._positions_by_name: dict[str, _DatagramPosition] = {}
        self._sequences_by_name: dict[str, dict[type, int]] = {}
        self._reports_by_name: dict[str, _PeerReport] = {}
        self._listed_at_by_name: dict[str, int] = {}
        self._past_incarnations: set[int] = set()

    def set_instances(
        self, instances_by_name: Mapping[str, LiveInstance], now: int
    ) -> None:
        """Apply the platform's list of instances, without this instance."""
        self.instances_by_name = {
            name: instance
            for name, instance in instances_by_name.items()
            if name != self._me.name
        }
        self._near_names = [
            name
            for name, instance in self.instances_by_name.items()
            if instance.region == self._me.region
        ]
        for name in self.instances_by_name:
            self._listed_at_by_name.setdefault(name, now)

    def accept(self, datagram: Datagram, now: int) -> bool:
        """Record a datagram; return whether it is new.

        Repeated datagrams and those of past incarnations are not new. A late report is
        superseded by a later one of its type only: messages that are sent together may
        arrive in any order.
        """
        sender = datagram.sender
        if sender == self._me.name or datagram.incarnation in self._past_incarnations:
            return False
        last = self._positions_by_name.get(sender)
        if last is not None and last.incarnation != datagram.incarnation:
            self._past_incarnations.add(last.incarnation)
            self._sequences_by_name.pop(sender, None)
            last = None
        incarnation, sequence = datagram.incarnation, datagram.sequence
        if last is None:
            position = _DatagramPosition(incarnation, sequence, _ALL_RECEIVED)
        elif sequence > last.sequence:
            position = last.with_newer(sequence)
        elif self._is_superseded(datagram):
            position = None
        else:
            position = last.with_late(sequence)
        if position is None:
            return False
        self._positions_by_name[sender] = position
        sequences = self._sequences_by_name.setdefault(sender, {})
        sequences[type(datagram.body)] = sequence
        return True

    def _is_superseded(self, datagram: Datagram) -> bool:
        """Return whether a later datagram states all that a late one does."""
        if isinstance(datagram.body, _NOT_SUPERSEDED):
            return False
        sequences = self._sequences_by_name.get(datagram.sender, {})
        return datagram.sequence <= sequences.get(type(datagram.body), -1)

    def record_state(self, name: str, state: PeerState, now: int) -> None:
        """Record the state of a peer, reported by itself or by its group's leader."""
        if name != self._me.name:
            self._reports_by_name[name] = _PeerReport(state, now)

    def is_responsive(self, name: str, now: int) -> bool:
        """Return whether a report on a peer was received recently."""
        report = self._reports_by_name.get(name)
        return (
            report is not None
            and now - report.received_at <= self._settings.unresponsive_after_ms
        )

    def active(self, now: int) -> list[str]:
        """Return the names of the responsive peers that are not about to stop."""
        return [
            name
            for name in self.instances_by_name
            if self.is_responsive(name, now)
            and not self._reports_by_name[name].state.is_leaving
        ]

    def near(self, now: int) -> list[str]:
        """Return the names of the responsive peers in the region of this instance."""
        return [name for name in self._near_names if self.is_responsive(name, now)]

    def configuration_age_ms(self, name: str) -> int | None:
        """Return the reported age of a peer's configuration in milliseconds.

        None if the peer has not reported, has no configuration or is about to stop.
        """
        report = self._reports_by_name.get(name)
        if report is None or report.state.is_leaving:
            return None
        age_ms = report.state.configuration_age_ms
        return age_ms if age_ms >= 0 else None

    def count_in(self, region: str) -> int:
        """Return the number of instances in a region, this one included."""
        others = self.instances_by_name.values()
        count = sum(1 for instance in others if instance.region == region)
        return count + (1 if self._me.region == region else 0)

    def rank_in_region(self) -> int:
        """Return the number of instances of the own region whose names come first."""
        others = self.instances_by_name.values()
        near = [i for i in others if i.region == self._me.region]
        return sum(instance.name < self._me.name for instance in near)

    def silent_ms(self, name: str, now: int) -> int:
        """Return the time without a report on a listed peer, in milliseconds."""
        return now - self._last_seen_at(name)

    def announced_ends(self) -> frozenset[str]:
        """Return the peers whose last report was that they are about to stop."""
        reports = self._reports_by_name.items()
        return frozenset(name for name, report in reports if report.state.is_leaving)

    def addresses(
        self,
        region: str,
        is_leaving: bool,
        is_serving: bool,
        now: int,
        data_centre: str = "",
    ) -> list[Address]:
        """Return the addresses to which callers of a region should send requests.

        Args:
            region: Region of the caller; an unknown one gets instances of all regions.
            is_leaving: Whether this instance is about to stop.
            is_serving: Whether this instance can serve callers.
            now: The time in milliseconds.
            data_centre: Data centre of the caller, whose instances are preferred; empty
                to prefer none.
        """
        present = [
            instance
            for name, instance in sorted(self.instances_by_name.items())
            if self.is_responsive(name, now)
            and not self._reports_by_name[name].state.is_leaving
        ]
        serving = [i for i in present if self._reports_by_name[i.name].state.is_serving]
        if not is_leaving:
            present.append(self._me)
            if is_serving:
                serving.append(self._me)
        chosen = serving or present or [self._me]
        near = [instance for instance in chosen if instance.region == region]
        if len(near) >= min(NEAR_ADDRESSES_MIN, len(chosen)):
            chosen = _in_data_centre(near, data_centre) or near
        return [instance.caller_address for instance in chosen[:ADDRESSES_MAX]]

    def _last_seen_at(self, name: str) -> int:
        report = self._reports_by_name.get(name)
        listed_at = self._listed_at_by_name[name]
        return listed_at if report is None else max(listed_at, report.received_at)


def _in_data_centre(near: list[LiveInstance], name: str) -> list[LiveInstance]:
    """Return a region's instances in one data centre; none if they are too few."""
    counts = Counter(instance.data_centre for instance in near)
    count = counts.pop(name, 0)
    others_average = sum(counts.values()) / max(1, len(counts))
    count_min = max(
        DATA_CENTRE_ADDRESSES_MIN, DATA_CENTRE_SIZE_RATIO_MIN * others_average
    )
    if count < count_min:
        return []
    return [instance for instance in near if instance.data_centre == name]
