"""Settings of membership."""

from typing import NamedTuple

from sequoiahook.options import Section
from sequoiahook.world.instance import Instance, read_address

__all__ = ["MembershipSettings", "read_membership_settings"]

DURATION_MS_MAX = 600_000
HEARTBEATS_MISSED_MAX = 20
LINKS_PER_PAIR_MAX = 8


class MembershipSettings(NamedTuple):
    """Settings for the discovery and the failure detection of other instances.

    Attributes:
        seeds: Instances to contact first; an incarnation of 0 means unknown.
        heartbeat_ms: Time between two heartbeats to a peer.
        heartbeats_missed: Missed heartbeats after which a peer is no longer live.
        lease_longest_ms: Longest duration of any loan or lease.
        margin_ms: Added to the longest lease before a takeover; covers one heartbeat,
            the delay of a message and clock drift.
        join_after_ms: How long a new instance is live before it is added to the view.
        remove_after_ms: Time without heartbeats after which a member is removed from
            the view.
        forget_after_ms: Time without heartbeats after which a peer outside the view
            is forgotten.
        platform_retry_ms: Wait after a failed platform call. It doubles with each
            further failure up to view_read_ms; random jitter adds up to as much again.
        view_read_ms: Time between two reads of the view by its proposer.
        links_per_pair: Links between two data centres.
        link_retry_ms: Wait before a link to an unresponsive instance is tried again.
    """

    seeds: tuple[Instance, ...] = ()
    heartbeat_ms: int = 1000
    heartbeats_missed: int = 3
    lease_longest_ms: int = 3000
    margin_ms: int = 1500
    join_after_ms: int = 2000
    remove_after_ms: int = 10_000
    forget_after_ms: int = 60_000
    platform_retry_ms: int = 1000
    view_read_ms: int = 60_000
    links_per_pair: int = 2
    link_retry_ms: int = 15_000

    @property
    def suspect_ms(self) -> int:
        """Time without heartbeats after which a peer is no longer live."""
        return self.heartbeat_ms * self.heartbeats_missed

    @property
    def takeover_ms(self) -> int:
        """Time without heartbeats after which the next in order replaces a leader."""
        return self.lease_longest_ms + self.margin_ms


def read_membership_settings(section: Section) -> MembershipSettings:
    """Read the settings; missing fields have their defaults."""
    base = MembershipSettings()

    def duration(key: str) -> int:
        default = getattr(base, key)
        return section.integer(key, low=1, high=DURATION_MS_MAX, default=default)

    settings = MembershipSettings(
        section.objects("seeds", _read_seed),
        duration("heartbeat_ms"),
        section.integer(
            "heartbeats_missed",
            low=1,
            high=HEARTBEATS_MISSED_MAX,
            default=base.heartbeats_missed,
        ),
        duration("lease_longest_ms"),
        duration("margin_ms"),
        duration("join_after_ms"),
        duration("remove_after_ms"),
        duration("forget_after_ms"),
        duration("platform_retry_ms"),
        duration("view_read_ms"),
        section.integer(
            "links_per_pair",
            low=1,
            high=LINKS_PER_PAIR_MAX,
            default=base.links_per_pair,
        ),
        duration("link_retry_ms"),
    )
    _check_durations(section, settings)
    return settings


def _check_durations(section: Section, settings: MembershipSettings) -> None:
    if settings.margin_ms <= settings.heartbeat_ms:
        section.report("margin_ms", "must be longer than heartbeat_ms")
    if settings.remove_after_ms < settings.takeover_ms:
        section.report(
            "remove_after_ms", "must be at least lease_longest_ms plus margin_ms"
        )


def _read_seed(section: Section) -> Instance:
    return Instance(
        section.string("name"),
        0,
        section.string("data_centre"),
        read_address(section.section("caller_address")),
        read_address(section.section("link_address")),
    )
