"""Membership: peers, rosters, the view of a data centre, links and leaders."""

from sequoiahook.decisions.membership.effects import (
    LinksChanged,
    LiveChanged,
    Paused,
    PeerDown,
    PeerUp,
    ReadObject,
    ViewChanged,
    WriteObject,
)
from sequoiahook.decisions.membership.membership import Membership
from sequoiahook.decisions.membership.settings import (
    MembershipSettings,
    read_membership_settings,
)

__all__ = [
    "LinksChanged",
    "LiveChanged",
    "Membership",
    "MembershipSettings",
    "Paused",
    "PeerDown",
    "PeerUp",
    "ReadObject",
    "ViewChanged",
    "WriteObject",
    "read_membership_settings",
]
