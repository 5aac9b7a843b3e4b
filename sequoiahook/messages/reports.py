"""Datagrams between instances that send to targets themselves.

A report is a complete statement of its sender's state at a moment, so a lost one is
superseded by the next. Repeated datagrams of all kinds and late reports are recognised
by their sequence number and ignored; late token messages count. A lost token request,
grant or denial costs tokens or time; a member repeats its request while it waits.
"""

from typing import NamedTuple

from sequoiahook.messages.crashes import CrashReport
from sequoiahook.messages.leaves import LeaveNotice
from sequoiahook.messages.limits import LimitBody
from sequoiahook.messages.reach import ReachBody
from sequoiahook.messages.shares import ShareBody

__all__ = [
    "Datagram",
    "GroupDigest",
    "GroupReport",
    "MemberReport",
    "PeerState",
    "QuotaTable",
    "TokenDenial",
    "TokenGrant",
    "TokenRequest",
]


class QuotaTable(NamedTuple):
    """Demands and shares of all organisations, in the order of their names.

    Attributes:
        digest: Checksum of the organisations' names.
        demands: Demand at the sender, in thousandths of a request a second.
        grants: Share of each rate that the receiver may use, in thousandths.
        spares: Tokens that the sender could lend, in thousandths of a token.
    """

    digest: int
    demands: tuple[int, ...]
    grants: tuple[int, ...]
    spares: tuple[int, ...]


class PeerState(NamedTuple):
    """State of an instance.

    Attributes:
        is_leaving: Whether the instance is about to stop.
        is_serving: Whether it can serve callers.
        configuration_age_ms: Time since the platform confirmed its configuration, in
            milliseconds; negative if it never has.
    """

    is_leaving: bool
    is_serving: bool
    configuration_age_ms: int


class MemberReport(NamedTuple):
    """Report of an instance to the other members of its group.

    Attributes:
        state: State of the sender.
        vote: Name of the member that the sender votes for as leader.
        is_leader: Whether the sender is the leader and can grant tokens.
        open_by_target: Open requests of the sender by target id.
        load_by_service: Load from callers of the sender, in thousandths of a target's
            slot.
    """

    state: PeerState
    vote: str
    is_leader: bool
    open_by_target: dict[str, int]
    load_by_service: dict[str, int]


class GroupReport(NamedTuple):
    """Report of a group's leader to the leaders of the other groups.

    Attributes:
        group: Name of the group.
        state_by_member: States of the responsive members, the leader included.
        open_by_target: Open requests of all members by target id.
        load_by_service: Load from callers of all members, in thousandths of a target's
            slot.
        home_by_service: Share of objects that the region owns, in thousandths; applies
            only if the sender makes the decisions for the region.
        quota: Demands and shares of the rates.
    """

    group: str
    state_by_member: dict[str, PeerState]
    open_by_target: dict[str, int]
    load_by_service: dict[str, int]
    home_by_service: dict[str, int]
    quota: QuotaTable


class GroupDigest(NamedTuple):
    """Report of a group's leader on all other groups, sent to its members.

    Attributes:
        state_by_instance: States of the responsive instances of other groups.
        open_by_target: Open requests of all other groups by target id.
        home_by_service: Share of objects that the region owns, in thousandths.
    """

    state_by_instance: dict[str, PeerState]
    open_by_target: dict[str, int]
    home_by_service: dict[str, int]


class TokenRequest(NamedTuple):
    """Request for tokens of an organisation.

    Attributes:
        organisation: Name of the organisation.
        tokens: Number of tokens; may be fractional between leaders. Less than one from
            a member that repeats the request for a token which it still awaits.
        max_wait_ms: How long a member's request waits for its token, in milliseconds; 0
            between leaders.
    """

    organisation: str
    tokens: float
    max_wait_ms: int = 0


class TokenGrant(NamedTuple):
    """Tokens that the sender has taken out of its own bucket for the receiver.

    Attributes:
        organisation: Name of the organisation.
        tokens: Number of tokens; at least one for a member.
    """

    organisation: str
    tokens: float


class TokenDenial(NamedTuple):
    """Refusal of a member's token request by the leader of its group.

    Attributes:
        organisation: Name of the organisation.
        retry_after_ms: Time after which the caller may retry, in milliseconds.
    """

    organisation: str
    retry_after_ms: int


Body = (
    MemberReport
    | GroupReport
    | GroupDigest
    | TokenRequest
    | TokenGrant
    | TokenDenial
    | LimitBody
    | ReachBody
    | LeaveNotice
    | CrashReport
    | ShareBody
)


class Datagram(NamedTuple):
    """A message with its sender.

    Attributes:
        sender: Name of the sender.
        incarnation: Incarnation of the sender, a random number for each run.
        sequence: Sequence number within the incarnation, increasing.
        body: The message.
    """

    sender: str
    incarnation: int
    sequence: int
    body: Body
