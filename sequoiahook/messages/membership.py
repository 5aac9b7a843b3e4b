"""Messages about the membership of instances.

Each may be lost, repeated, reordered and delayed by any time. An envelope carries the
sender's incarnation; the receiver drops messages of a replaced incarnation.
"""

from typing import NamedTuple

from sequoiahook.messages.base import message
from sequoiahook.world.instance import Instance
from sequoiahook.world.view import DataCentreView

__all__ = [
    "LEAVING",
    "LEFT",
    "LIVE",
    "STATES",
    "Announce",
    "Heartbeat",
    "Introduction",
    "Leaving",
    "Member",
    "Roster",
    "RosterChange",
    "RosterRequest",
    "RosterSnapshot",
    "ViewAnswer",
    "ViewRequest",
]

LIVE = "live"
LEAVING = "leaving"
LEFT = "left"
STATES = (LIVE, LEAVING, LEFT)
"""States of an incarnation, in the only order in which they follow each other."""


class Member(NamedTuple):
    """An instance and its state.

    Attributes:
        instance: The instance.
        state: One of STATES.
    """

    instance: Instance
    state: str


class Roster(NamedTuple):
    """The instances of one data centre that one reporter considers live.

    Attributes:
        data_centre: Name of the data centre.
        members: Its instances with their states.
    """

    data_centre: str
    members: tuple[Member, ...]


@message
class Heartbeat(NamedTuple):
    """Shows that the sender was running when it sent this.

    Lost: replaced by the next heartbeat. Repeated or reordered: ignored unless the
    probe number is above the highest received. Delayed: the heartbeat is no older than
    the echoed probe, whose sending time the receiver has recorded.

    Attributes:
        probe: Number of the sender's round of heartbeats; grows within an incarnation.
        echo: Highest probe number that the sender has received from the receiver's
            current incarnation; 0 for none.
        view: Number of the view that the sender holds of its data centre.
        state: The sender's state, one of STATES.
        roster: Version of the rosters that the sender keeps for the receiver.
    """

    probe: int
    echo: int
    view: int
    state: str
    roster: int


@message
class Announce(NamedTuple):
    """Announces an instance.

    Sent by the instance itself and forwarded once by peers that did not know it. Lost:
    a heartbeat from an unknown instance is answered with a request to announce itself.
    Repeated: ignored. Reordered or delayed: a forwarded announcement never replaces an
    incarnation from which the receiver gets heartbeats.

    Attributes:
        member: The instance and its state.
        wants_answer: Whether the receiver is to announce itself to the sender.
    """

    member: Member
    wants_answer: bool


@message
class Introduction(NamedTuple):
    """Answers an announcement with the instances of the announced one's data centre.

    Lost: the announcement is repeated while its sender has no responding peer.
    Repeated, reordered or delayed: it only adds candidates, and those that never answer
    are removed.

    Attributes:
        members: Instances that the sender considers live.
    """

    members: tuple[Member, ...]


@message
class Leaving(NamedTuple):
    """Announces that the sender is stopping and must get no new callers.

    Lost: later heartbeats carry the state too. Repeated: no effect. Reordered or
    delayed: the state of an incarnation never goes back.

    Attributes:
        state: LEAVING, or LEFT once its rights are handed over.
    """

    state: str


@message
class ViewRequest(NamedTuple):
    """Requests the view of a peer in the same data centre.

    Lost: sent again after the next heartbeat with a higher number. Repeated: answered
    again. Reordered or delayed: no effect.

    Attributes:
        held: Number of the view that the sender holds.
    """

    held: int


@message
class ViewAnswer(NamedTuple):
    """Carries a view, on request or after a change.

    Lost: the next heartbeat reports its number. Repeated, reordered or delayed: a view
    is adopted only if its number is higher than that of the held one.

    Attributes:
        view: The view.
    """

    view: DataCentreView


@message
class RosterRequest(NamedTuple):
    """Requests all rosters that the receiver keeps for the sender.

    Lost: sent again after the next heartbeat with a different version. Repeated:
    answered again. Reordered or delayed: no effect.

    Attributes:
        held: Version that the sender holds; 0 for none.
    """

    held: int


@message
class RosterSnapshot(NamedTuple):
    """Carries all rosters that the sender keeps for the receiver.

    Lost: see RosterRequest. Repeated, reordered or delayed: ignored unless its version
    is higher than the held one.

    Attributes:
        version: Version of the rosters; grows within an incarnation.
        rosters: One for each data centre that the sender has evidence of.
    """

    version: int
    rosters: tuple[Roster, ...]


@message
class RosterChange(NamedTuple):
    """Carries the change from one version of the sender's rosters to the next.

    Lost or reordered: applied only to the preceding version; the version in the next
    heartbeat leads to a request for a snapshot. Repeated or delayed: ignored if the
    version is already held.

    Attributes:
        version: The version that the change leads to.
        data_centre: The data centre that it concerns.
        is_known: False if the sender no longer has evidence of the data centre.
        changed: New and changed members.
        removed: Names of removed members.
    """

    version: int
    data_centre: str
    is_known: bool
    changed: tuple[Member, ...]
    removed: tuple[str, ...]
