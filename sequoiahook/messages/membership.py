"""Messages about who is there.

All of them may be lost, repeated, reordered and delayed by any time. An envelope
carries the sender's incarnation; a message of an incarnation that has been replaced
is dropped by the receiver.
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
"""States of an incarnation in the only order in which it passes through them."""


class Member(NamedTuple):
    """An instance and its state.

    Attributes:
        instance: The instance.
        state: One of STATES.
    """

    instance: Instance
    state: str


class Roster(NamedTuple):
    """The instances of one data centre that one reporter takes to be live.

    Attributes:
        data_centre: Name of the data centre.
        members: Its instances with their states.
    """

    data_centre: str
    members: tuple[Member, ...]


@message
class Heartbeat(NamedTuple):
    """The sender was running when it sent this.

    Loss: the next one makes up for it. Repeat and reorder: one with a probe number
    that is not above the highest received is ignored. Delay: the receiver knows when
    it sent the echoed probe, so the heartbeat is no older than that.

    Attributes:
        probe: Number of the sender's round of heartbeats; grows within an incarnation.
        echo: Highest probe number that the sender has received from the receiver's
            present incarnation; 0 for none.
        view: Number of the view of the sender's data centre that the sender holds.
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
    """An instance exists.

    Sent by the instance itself, and passed on once by peers that did not know it.
    Loss: heartbeats from an unknown instance are answered with a request for it.
    Repeat: ignored. Reorder and delay: hearsay never replaces an incarnation that the
    receiver hears directly.

    Attributes:
        member: The instance and its state.
        wants_answer: Whether the receiver is to announce itself to the sender.
    """

    member: Member
    wants_answer: bool


@message
class Introduction(NamedTuple):
    """Answer to an announcement: the instances of the asker's data centre.

    Loss: the announcement is repeated while the asker hears no peer. Repeat, reorder
    and delay: it only adds candidates, and those that never answer are forgotten.

    Attributes:
        members: Instances that the sender takes to be live.
    """

    members: tuple[Member, ...]


@message
class Leaving(NamedTuple):
    """The sender is about to stop and is to get no new callers.

    Loss: each later heartbeat carries the state too. Repeat: no effect. Reorder and
    delay: an incarnation's state never goes back.

    Attributes:
        state: LEAVING, or LEFT once its rights are handed over.
    """

    state: str


@message
class ViewRequest(NamedTuple):
    """Ask a peer of the same data centre for its view.

    Loss: asked again after the next heartbeat with a higher number. Repeat: answered
    again. Reorder and delay: harmless.

    Attributes:
        held: Number of the view that the asker holds.
    """

    held: int


@message
class ViewAnswer(NamedTuple):
    """A view, sent on request and when it has changed.

    Loss: the next heartbeat shows the number. Repeat, reorder and delay: a view is
    adopted only if its number is higher than the held one.

    Attributes:
        view: The view.
    """

    view: DataCentreView


@message
class RosterRequest(NamedTuple):
    """Ask for all rosters that the receiver keeps for the sender.

    Loss: asked again after the next heartbeat whose version differs. Repeat: answered
    again. Reorder and delay: harmless.

    Attributes:
        held: Version that the asker holds; 0 for none.
    """

    held: int


@message
class RosterSnapshot(NamedTuple):
    """All rosters that the sender keeps for the receiver.

    Loss: see RosterRequest. Repeat, reorder and delay: ignored unless its version is
    higher than the held one.

    Attributes:
        version: Version of the rosters; grows within an incarnation.
        rosters: One for each data centre that the sender has evidence of.
    """

    version: int
    rosters: tuple[Roster, ...]


@message
class RosterChange(NamedTuple):
    """One step from a version of the sender's rosters to the next.

    Loss and reorder: applied only on top of the version before it; the version in the
    next heartbeat leads to a request for a snapshot. Repeat and delay: ignored if the
    version is already held.

    Attributes:
        version: The version that the change leads to.
        data_centre: The data centre that it concerns.
        is_known: False if the sender no longer has evidence of the data centre.
        changed: Members that are new or have changed.
        removed: Names of members that are gone.
    """

    version: int
    data_centre: str
    is_known: bool
    changed: tuple[Member, ...]
    removed: tuple[str, ...]
