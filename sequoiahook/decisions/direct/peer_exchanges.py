"""Messages between instances on what they learn from targets."""

from typing import NamedTuple

from sequoiahook.decisions.direct.connectivity import (
    Connectivity,
    ConnectivitySettings,
)
from sequoiahook.decisions.direct.leaves import Leaves
from sequoiahook.decisions.direct.outgoing import OutgoingBody
from sequoiahook.decisions.direct.peers import Peers
from sequoiahook.decisions.direct.permits import Permits, PermitSettings
from sequoiahook.decisions.direct.suspects import Suspects, SuspectSettings
from sequoiahook.decisions.direct.target_registry import TargetRegistry
from sequoiahook.messages.crashes import CrashReport
from sequoiahook.messages.leaves import LeaveNotice
from sequoiahook.messages.limits import LimitBody
from sequoiahook.messages.reach import ReachBody
from sequoiahook.messages.reports import Body
from sequoiahook.world.instance import LiveInstance

__all__ = ["PeerExchangeSettings", "PeerExchanges"]


class PeerExchangeSettings(NamedTuple):
    """Settings of what is exchanged.

    Attributes:
        permits: Permits for targets that state a limit.
        suspects: Requests under which targets ended.
        connectivity: Whether connectivity to targets is lost.
    """

    permits: PermitSettings = PermitSettings()
    suspects: SuspectSettings = SuspectSettings()
    connectivity: ConnectivitySettings = ConnectivitySettings()


class PeerExchanges:
    """Collects and distributes these messages.

    Attributes:
        permits: Permits for targets that state a limit.
        suspects: Requests under which targets ended.
        connectivity: Whether connectivity to targets is lost.
        leaves: Targets that state that they leave.

    Args:
        settings: The settings.
        me: This instance.
        peers: The other instances.
        targets: The targets.
    """

    def __init__(
        self,
        settings: PeerExchangeSettings,
        me: LiveInstance,
        peers: Peers,
        targets: TargetRegistry,
    ):
        self.permits = Permits(settings.permits, me, peers, targets)
        self.suspects = Suspects(settings.suspects, me, peers, targets)
        self.connectivity = Connectivity(settings.connectivity, me, peers, targets)
        self.leaves = Leaves(peers, targets)

    def reports(self, now: int) -> list[OutgoingBody]:
        """Return the regular reports that are due."""
        return self.permits.reports(now) + self.suspects.reports(now)

    def urgent(self, now: int) -> list[OutgoingBody]:
        """Return the messages that do not wait for the next report."""
        bodies = self.permits.requests(now) + self.suspects.urgent_reports(now)
        return bodies + self.connectivity.queries(now) + self.leaves.notices()

    def receive(self, sender: str, body: Body, now: int) -> list[OutgoingBody] | None:
        """Apply a message; return answers, or None if it is of another kind."""
        if isinstance(body, LimitBody):
            return self.permits.receive(sender, body, now)
        if isinstance(body, ReachBody):
            return self.connectivity.receive(sender, body, now)
        if isinstance(body, CrashReport):
            self.suspects.receive(body, now)
        elif isinstance(body, LeaveNotice):
            self.leaves.receive(body)
        else:
            return None
        return []
