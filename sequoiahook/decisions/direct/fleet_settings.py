"""Settings and components of the exchange between the instances of the fleet."""

from typing import NamedTuple

from sequoiahook.decisions.direct.entry_expiry import ExpirySettings
from sequoiahook.decisions.direct.entry_lease import LeaseSettings
from sequoiahook.decisions.direct.groups import GroupSettings
from sequoiahook.decisions.direct.organisation_shares import ShareSettings
from sequoiahook.decisions.direct.peer_exchanges import PeerExchangeSettings
from sequoiahook.decisions.direct.peers import PeerSettings
from sequoiahook.decisions.direct.rates import Rates
from sequoiahook.decisions.direct.target_registry import TargetRegistry
from sequoiahook.decisions.direct.target_selection import TargetSelector

__all__ = ["FleetComponents", "FleetSettings"]


class FleetSettings(NamedTuple):
    """Settings of the exchange between instances.

    Attributes:
        peers: When peers count as unresponsive.
        groups: Division of the fleet and election of leaders.
        exchanges: Permits, suspect requests and lost connectivity to targets.
        shares: Shares of capacity between organisations.
        expiry: When entries of silent instances are deleted.
        lease: When this instance stops using shares that may have been given to others.
    """

    peers: PeerSettings = PeerSettings()
    groups: GroupSettings = GroupSettings()
    exchanges: PeerExchangeSettings = PeerExchangeSettings()
    shares: ShareSettings = ShareSettings()
    expiry: ExpirySettings = ExpirySettings()
    lease: LeaseSettings = LeaseSettings()


class FleetComponents(NamedTuple):
    """Components that reports are built from and applied to.

    Attributes:
        targets: The targets, with the open requests of all peers.
        selector: Holds the region's shares of objects by service.
        rates: Holds the group's shares of the rates.
    """

    targets: TargetRegistry
    selector: TargetSelector
    rates: Rates
